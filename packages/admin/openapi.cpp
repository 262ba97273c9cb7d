#include <admin/adminapi.h>

namespace QuetzalRock {

std::string_view openApiDocument()
{
    // clang-format off
    return R"json({
 "openapi": "3.0.3",
 "info": {
  "title": "quetzalrock administration API",
  "version": "1"
 },
 "components": {
  "securitySchemes": {
   "token": {
    "type": "http",
    "scheme": "bearer"
   }
  },
  "schemas": {
   "Batch": {
    "type": "object",
    "additionalProperties": false,
    "required": ["name", "tenant", "command"],
    "properties": {"name": {"type": "string", "maxLength": 128}, "tenant": {"type": "string", "maxLength": 128}, "class": {"type": "string", "maxLength": 128}, "tasks": {"type": "integer", "minimum": 1, "maximum": 10000, "default": 1}, "cpu_millis": {"type": "integer", "minimum": 0}, "memory_mib": {"type": "integer", "minimum": 0}, "accelerators": {"type": "integer", "minimum": 0}, "priority": {"type": "integer", "minimum": -100, "maximum": 100}, "urgent": {"type": "boolean"}, "gang": {"type": "boolean"}, "command": {"type": "string", "maxLength": 16384}, "run_time_s": {"type": "integer", "minimum": 0}}
   },
   "Standing": {
    "type": "object",
    "additionalProperties": false,
    "required": ["name", "tenant", "command"],
    "properties": {"name": {"type": "string", "maxLength": 128}, "tenant": {"type": "string", "maxLength": 128}, "class": {"type": "string", "maxLength": 128}, "tasks": {"type": "integer", "minimum": 1, "maximum": 10000, "default": 1}, "cpu_millis": {"type": "integer", "minimum": 0}, "memory_mib": {"type": "integer", "minimum": 0}, "accelerators": {"type": "integer", "minimum": 0}, "priority": {"type": "integer", "minimum": -100, "maximum": 100}, "urgent": {"type": "boolean"}, "gang": {"type": "boolean"}, "command": {"type": "string", "maxLength": 16384}, "latency_target_ms": {"type": "number", "minimum": 0}}
   },
   "Operator": {
    "type": "object",
    "additionalProperties": false,
    "required": ["name"],
    "properties": {"name": {"type": "string"}}
   },
   "Error": {
    "type": "object",
    "required": ["error", "message"],
    "properties": {"error": {"type": "string"}, "message": {"type": "string"}, "field": {"type": "string"}, "retry_after_s": {"type": "integer"}}
   },
   "SettingsEdit": {
    "type": "object",
    "additionalProperties": false,
    "required": ["write_id", "changes"],
    "properties": {"base_version": {"type": "integer"}, "write_id": {"type": "string"}, "changes": {"type": "array", "items": {"type": "object", "additionalProperties": false, "required": ["path", "key", "value"], "properties": {"path": {"type": "string"}, "key": {"type": "string"}, "value": {"type": "string", "nullable": true}}}}}
   },
   "SettingsImport": {
    "type": "object",
    "additionalProperties": false,
    "required": ["write_id"],
    "properties": {"base_version": {"type": "integer"}, "write_id": {"type": "string"}, "ini": {"type": "string"}}
   },
   "SettingsText": {
    "type": "object",
    "additionalProperties": false,
    "properties": {"ini": {"type": "string"}}
   }
  }
 },
 "security": [{"token": []}],
 "paths": {
  "/v1/version": {
   "get": {
    "summary": "Name and version",
    "x-role": "none",
    "responses": {"200": {"description": "the version"}}
   }
  },
  "/v1/openapi.json": {
   "get": {
    "summary": "This document",
    "x-role": "none",
    "responses": {"200": {"description": "the document"}}
   }
  },
  "/v1/services": {
   "post": {
    "summary": "Create; idempotent by tenant and name",
    "x-role": "submit",
    "responses": {"201": {"description": "created and stored durably"}, "409": {"description": "conflict: the name is in use with a different specification"}, "503": {"description": "not_run: nothing changed, see Retry-After"}, "504": {"description": "outcome_unknown: retry the same request"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "requestBody": {"required": true, "content": {"application/json": {"schema": {"$ref": "#/components/schemas/Standing"}}}},
    "x-example": {"name": "z", "tenant": "coop", "command": "run 5"}
   },
   "get": {
    "summary": "List active ones of this kind",
    "x-role": "read",
    "responses": {"200": {"description": "a page"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "parameters": [{"name": "tenant", "in": "query", "schema": {"type": "string"}}, {"name": "limit", "in": "query", "schema": {"type": "integer", "maximum": 1000}}, {"name": "after", "in": "query", "schema": {"type": "integer"}}]
   }
  },
  "/v1/services/{tenant}/{name}": {
   "get": {
    "summary": "Show one, with its tasks",
    "x-role": "read",
    "responses": {"200": {"description": "found"}, "404": {"description": "not_found"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "parameters": [{"name": "tenant", "in": "path", "required": true, "schema": {"type": "string"}}, {"name": "name", "in": "path", "required": true, "schema": {"type": "string"}}]
   },
   "delete": {
    "summary": "Cancel",
    "x-role": "submit",
    "responses": {"202": {"description": "cancellation stored durably: no further attempt starts"}, "404": {"description": "not_found"}, "503": {"description": "not_run"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "parameters": [{"name": "tenant", "in": "path", "required": true, "schema": {"type": "string"}}, {"name": "name", "in": "path", "required": true, "schema": {"type": "string"}}]
   }
  },
  "/v1/jobs": {
   "post": {
    "summary": "Create; idempotent by tenant and name",
    "x-role": "submit",
    "responses": {"201": {"description": "created and stored durably"}, "409": {"description": "conflict: the name is in use with a different specification"}, "503": {"description": "not_run: nothing changed, see Retry-After"}, "504": {"description": "outcome_unknown: retry the same request"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "requestBody": {"required": true, "content": {"application/json": {"schema": {"$ref": "#/components/schemas/Batch"}}}},
    "x-example": {"name": "z", "tenant": "coop", "command": "run 5"}
   },
   "get": {
    "summary": "List active ones of this kind",
    "x-role": "read",
    "responses": {"200": {"description": "a page"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "parameters": [{"name": "tenant", "in": "query", "schema": {"type": "string"}}, {"name": "limit", "in": "query", "schema": {"type": "integer", "maximum": 1000}}, {"name": "after", "in": "query", "schema": {"type": "integer"}}]
   }
  },
  "/v1/jobs/{tenant}/{name}": {
   "get": {
    "summary": "Show one, with its tasks",
    "x-role": "read",
    "responses": {"200": {"description": "found"}, "404": {"description": "not_found"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "parameters": [{"name": "tenant", "in": "path", "required": true, "schema": {"type": "string"}}, {"name": "name", "in": "path", "required": true, "schema": {"type": "string"}}]
   },
   "delete": {
    "summary": "Cancel",
    "x-role": "submit",
    "responses": {"202": {"description": "cancellation stored durably: no further attempt starts"}, "404": {"description": "not_found"}, "503": {"description": "not_run"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "parameters": [{"name": "tenant", "in": "path", "required": true, "schema": {"type": "string"}}, {"name": "name", "in": "path", "required": true, "schema": {"type": "string"}}]
   }
  },
  "/v1/watches": {
   "post": {
    "summary": "Create; idempotent by tenant and name",
    "x-role": "submit",
    "responses": {"201": {"description": "created and stored durably"}, "409": {"description": "conflict: the name is in use with a different specification"}, "503": {"description": "not_run: nothing changed, see Retry-After"}, "504": {"description": "outcome_unknown: retry the same request"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "requestBody": {"required": true, "content": {"application/json": {"schema": {"$ref": "#/components/schemas/Standing"}}}},
    "x-example": {"name": "z", "tenant": "coop", "command": "run 5"}
   },
   "get": {
    "summary": "List active ones of this kind",
    "x-role": "read",
    "responses": {"200": {"description": "a page"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "parameters": [{"name": "tenant", "in": "query", "schema": {"type": "string"}}, {"name": "limit", "in": "query", "schema": {"type": "integer", "maximum": 1000}}, {"name": "after", "in": "query", "schema": {"type": "integer"}}]
   }
  },
  "/v1/watches/{tenant}/{name}": {
   "get": {
    "summary": "Show one, with its tasks",
    "x-role": "read",
    "responses": {"200": {"description": "found"}, "404": {"description": "not_found"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "parameters": [{"name": "tenant", "in": "path", "required": true, "schema": {"type": "string"}}, {"name": "name", "in": "path", "required": true, "schema": {"type": "string"}}]
   },
   "delete": {
    "summary": "Cancel",
    "x-role": "submit",
    "responses": {"202": {"description": "cancellation stored durably: no further attempt starts"}, "404": {"description": "not_found"}, "503": {"description": "not_run"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "parameters": [{"name": "tenant", "in": "path", "required": true, "schema": {"type": "string"}}, {"name": "name", "in": "path", "required": true, "schema": {"type": "string"}}]
   }
  },
  "/v1/status": {
   "get": {
    "summary": "Status of the scheduler shard",
    "x-role": "read",
    "responses": {"200": {"description": "status"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}}
   }
  },
  "/v1/workers": {
   "get": {
    "summary": "Workers and the resources reserved on them",
    "x-role": "read",
    "responses": {"200": {"description": "workers"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}}
   }
  },
  "/v1/history": {
   "get": {
    "summary": "Job history as newline-delimited JSON",
    "x-role": "operate",
    "responses": {"200": {"description": "history"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}}
   }
  },
  "/v1/members": {
   "get": {
    "summary": "Members of the failure domain and the shards they own",
    "x-role": "read",
    "responses": {"200": {"description": "members"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}}
   }
  },
  "/v1/debug": {
   "get": {
    "summary": "Internal state of this process",
    "x-role": "operate",
    "responses": {"200": {"description": "state"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}}
   }
  },
  "/v1/operator": {
   "put": {
    "summary": "Record a change of operator",
    "x-role": "operate",
    "responses": {"200": {"description": "recorded"}, "503": {"description": "not_run"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "requestBody": {"required": true, "content": {"application/json": {"schema": {"$ref": "#/components/schemas/Operator"}}}},
    "x-example": {"name": "x"}
   }
  },
  "/v1/settings": {
   "get": {
    "summary": "Settings version and tree as INI",
    "x-role": "read",
    "responses": {"200": {"description": "settings"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}}
   },
   "put": {
    "summary": "Change settings",
    "x-role": "operate",
    "responses": {"200": {"description": "the new version and the failure domains in which it is in effect"}, "409": {"description": "conflict: the response lists the changes since base_version"}, "503": {"description": "not_run"}, "504": {"description": "outcome_unknown: retry with the same write_id"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "requestBody": {"required": true, "content": {"application/json": {"schema": {"$ref": "#/components/schemas/SettingsEdit"}}}},
    "x-example": {"base_version": 0, "write_id": "w", "changes": [{"path": "root", "key": "note", "value": "x"}]}
   }
  },
  "/v1/settings/import": {
   "put": {
    "summary": "Replace the settings tree",
    "x-role": "operate",
    "responses": {"200": {"description": "the new version and the failure domains in which it is in effect"}, "409": {"description": "conflict: the response lists the changes since base_version"}, "503": {"description": "not_run"}, "504": {"description": "outcome_unknown: retry with the same write_id"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "requestBody": {"required": true, "content": {"application/json": {"schema": {"$ref": "#/components/schemas/SettingsImport"}}}},
    "x-example": {"base_version": 0, "write_id": "w", "ini": ""}
   }
  },
  "/v1/settings/validate": {
   "post": {
    "summary": "Report all errors of an INI text",
    "x-role": "read",
    "responses": {"200": {"description": "all errors found"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "requestBody": {"required": true, "content": {"application/json": {"schema": {"$ref": "#/components/schemas/SettingsText"}}}},
    "x-example": {"ini": ""}
   }
  },
  "/v1/settings/explain": {
   "get": {
    "summary": "Effective values and the node that sets each",
    "x-role": "read",
    "responses": {"200": {"description": "values"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "parameters": [{"name": "path", "in": "query", "schema": {"type": "string"}}]
   }
  },
  "/v1/settings/history": {
   "get": {
    "summary": "History of settings changes",
    "x-role": "read",
    "responses": {"200": {"description": "history"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}}
   }
  },
  "/v1/settings/in-force": {
   "get": {
    "summary": "Failure domains in which a version is in effect",
    "x-role": "read",
    "responses": {"200": {"description": "domains"}, "400": {"description": "invalid_argument"}, "401": {"description": "unauthenticated"}, "403": {"description": "permission_denied"}},
    "parameters": [{"name": "version", "in": "query", "schema": {"type": "integer"}}]
   }
  }
 }
}
)json";
    // clang-format on
}

} // namespace QuetzalRock
