/**
 * The part of the administration API that reads and changes the operators' tree of settings.
 *
 * Index of this file
 *   SettingsBackend   what it needs of the process
 *   SettingsApi       the routes
 *
 * Routes
 *   GET  /v1/settings                  read: version and the tree as INI
 *   PUT  /v1/settings                  operate: {"base_version", "write_id", "changes": [{"path", "key", "value"}]}
 *   PUT  /v1/settings/import           operate: {"base_version", "write_id", "ini"}: the tree becomes this
 *   POST /v1/settings/validate         read: {"ini"}: every fault, nothing changes
 *   GET  /v1/settings/explain?path=    read: each effective value and the node it came from
 *   GET  /v1/settings/history          read: who changed what, newest last
 *   GET  /v1/settings/in-force?version= read: in which failure domains it is in force
 *
 * A "value" of null inherits again. A change answers with the version it made and where that is in force so far; one that
 * is based on an older version is a 409 with what has changed since. The same write_id again is the same change.
 */
#pragma once

#include <admin/credentials.h>
#include <settings/propagation.h>
#include <settings/settingsstore.h>
#include <web/web.h>

#include <nlohmann/json.hpp>

namespace QuetzalRock {

/** Thread-safe. */
class SettingsBackend
{
public:
    virtual ~SettingsBackend() = default;

    virtual SettingsDocument settings() = 0;                               ///< in force in this process
    virtual SettingsDocument changeSettings(const SettingsEdit &edit) = 0; ///< throws as SettingsStore::write()
    virtual std::vector<DomainRollout> settingsInForce(std::uint64_t version) = 0;
};

class SettingsApi
{
public:
    explicit SettingsApi(SettingsBackend &backend);

    static bool handles(const WebRequest &request);

    WebResponse handle(const WebRequest &request, const Account &account);

private:
    WebResponse change(const WebRequest &request, const Account &account);
    WebResponse importTree(const WebRequest &request, const Account &account);
    WebResponse write(const SettingsEdit &edit);
    nlohmann::json forceJson(std::uint64_t version);

    SettingsBackend &m_backend;
};

} // namespace QuetzalRock
