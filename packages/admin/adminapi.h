/**
 * The administration API, version 1: requests in, responses out; no sockets of its own.
 *
 * Index of this file
 *   AdminApi    the routes
 *   OpenApi     the document served at /v1/openapi.json
 *
 * Routes (all answer JSON; errors have the fields error, message, field, retry_after_s)
 *   GET    /v1/version                        none needed
 *   GET    /v1/openapi.json                   none needed
 *   POST   /v1/services, /v1/jobs, /v1/watches        submit: create, idempotent by tenant and name
 *   GET    /v1/services, /v1/jobs, /v1/watches        read: ?tenant= &limit= &after=
 *   GET    /v1/{services|jobs|watches}/TENANT/NAME    read: with its tasks
 *   DELETE /v1/{services|jobs|watches}/TENANT/NAME    submit: cancel
 *   GET    /v1/status                         read: the shard
 *   GET    /v1/workers                        read: workers with what is reserved on them
 *   GET    /v1/history                        operate: newline-delimited JSON
 *   GET    /v1/members                        read: members of the failure domain, and who owns what
 *   GET    /v1/debug                          operate: this process
 *   /v1/settings...                           see settingsapi.h
 *   PUT    /v1/operator                       operate: records a handover
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

    /** Throws Error for everything that is not a success; WebServer turns it into the typed answer. Thread-safe. */
    WebResponse handle(const WebRequest &request);

    /** True for requests that only the owner of the failure domain's shard can answer. */
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

/** The OpenAPI document of the routes above. */
std::string_view openApiDocument();

} // namespace QuetzalRock
