/**
 * Request handler of the administration API, version 1. It opens no sockets; see web/web.h for the HTTP server.
 *
 * Index of this file
 *   AdminApi            authenticates requests and handles the routes
 *   openApiDocument()   the document served at /v1/openapi.json
 *
 * Routes with the role that each needs. Responses are JSON; errors have the fields error, message, field, retry_after_s.
 *   GET    /v1/version                        no token
 *   GET    /v1/openapi.json                   no token
 *   POST   /v1/services, /v1/jobs, /v1/watches        submit: create; idempotent by tenant and name
 *   GET    /v1/services, /v1/jobs, /v1/watches        read: list; ?tenant= &limit= &after=
 *   GET    /v1/{services|jobs|watches}/TENANT/NAME    read: one, with its tasks
 *   DELETE /v1/{services|jobs|watches}/TENANT/NAME    submit: cancel
 *   GET    /v1/status                         read: the scheduler shard
 *   GET    /v1/workers                        read: workers and the resources reserved on them
 *   GET    /v1/history                        operate: the job history as newline-delimited JSON
 *   GET    /v1/members                        read: members of the failure domain and the shards they own
 *   GET    /v1/debug                          operate: internal state of this process
 *   /v1/settings...                           see settingsapi.h
 *   PUT    /v1/operator                       operate: record a change of operator
 */
#pragma once

#include <admin/backend.h>
#include <admin/credentials.h>
#include <admin/settingsapi.h>
#include <web/web.h>

namespace QuetzalRock {

class AdminApi
{
public:
    AdminApi(ControlBackend &backend, ProcessBackend &process, SettingsBackend &settings, Credentials credentials);

    /** Throws Error unless the request succeeds; WebServer converts it to an error response. Thread-safe. */
    WebResponse handle(const WebRequest &request);

    /** True for requests that only the owner of the scheduler shard can handle. */
    static bool needsOwner(const WebRequest &request);

private:
    WebResponse handleWork(const WebRequest &request, const Account &account, WorkloadKind kind);
    WebResponse create(const WebRequest &request, const Account &account, WorkloadKind kind);
    WebResponse list(const WebRequest &request, const Account &account, WorkloadKind kind);
    WebResponse changeOperator(const WebRequest &request);

    ControlBackend &m_backend;
    ProcessBackend &m_process;
    SettingsApi m_settings;
    Credentials m_credentials;
};

/** The OpenAPI 3.0 document that describes the routes above. */
std::string_view openApiDocument();

} // namespace QuetzalRock
