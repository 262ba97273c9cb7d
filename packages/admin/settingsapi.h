/**
 * The part of the administration API that reads and changes the operators' settings tree.
 *
 * Index of this file
 *   SettingsBackend   interface to the process that stores and applies the settings
 *   SettingsApi       handles the routes
 *
 * Routes with the role that each needs
 *   GET  /v1/settings                  read: version and the tree as INI
 *   PUT  /v1/settings                  operate: {"base_version", "write_id", "changes": [{"path", "key", "value"}]}
 *   PUT  /v1/settings/import           operate: {"base_version", "write_id", "ini"}: replaces the tree
 *   POST /v1/settings/validate         read: {"ini"}: reports all errors, changes nothing
 *   GET  /v1/settings/explain?path=    read: effective values and the node that sets each
 *   GET  /v1/settings/history          read: who changed what, oldest first
 *   GET  /v1/settings/in-force?version= read: failure domains in which the version is in effect
 *
 * A "value" of null removes the value from the node, which then inherits it. The response to a change contains the new
 * version and the failure domains in which it is in effect so far. A change whose base_version is outdated fails with 409
 * and the changes made since. Changes are idempotent by write_id.
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

    virtual SettingsDocument settings() = 0; ///< the settings in effect in this process
    virtual SettingsDocument changeSettings(const SettingsEdit &edit)
        = 0; ///< throws the same errors as SettingsStore::write()
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
    nlohmann::json domainsJson(std::uint64_t version);

    SettingsBackend &m_backend;
};

} // namespace QuetzalRock
