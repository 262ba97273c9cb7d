#include <requests/settings.h>

#include <algorithm>
#include <set>

namespace QuetzalRock {

namespace {

bool takesMethod(const RequestClass &requestClass, std::string_view method)
{
    const auto &methods = requestClass.methods;
    return methods.empty() || std::find(methods.begin(), methods.end(), method) != methods.end();
}

void checkClass(const RequestClass &it, std::vector<std::string> &faults)
{
    const std::string at = "class " + it.name + ": ";
    if (it.pathPrefix.empty() || it.pathPrefix.front() != '/') {
        faults.push_back(at + "the path prefix must start with /");
    }
    if (it.deadline <= Duration::zero()) {
        faults.push_back(at + "the deadline must be above 0 ms");
    }
    if (it.queueLimit < 1) {
        faults.push_back(at + "the queue limit must be at least 1");
    }
    if (it.idempotent && it.requireKey) {
        faults.push_back(at + "only a non-idempotent class can require a key");
    }
    if (it.tenantRate < 0 || (it.tenantRate > 0 && it.tenantBurst < 1)) {
        faults.push_back(at + "the tenant rate must not be negative and its burst at least 1");
    }
}

} // namespace

std::vector<std::string> check(const RequestSettings &settings)
{
    std::vector<std::string> faults;
    std::set<std::string> names;
    for (const RequestClass &it : settings.classes) {
        checkClass(it, faults);
        if (it.name.empty() || !names.insert(it.name).second) {
            faults.push_back("class names must be unique and not empty: \"" + it.name + "\"");
        }
    }
    if (settings.classes.empty()) {
        faults.emplace_back("at least one class is needed");
    }
    if (settings.slotsPerInstance < 1 || settings.connectionsPerInstance < settings.slotsPerInstance) {
        faults.emplace_back("an instance needs at least 1 slot, and a connection for each slot");
    }
    if (settings.entryMembers < 1) {
        faults.emplace_back("entry members must be at least 1");
    }
    if (settings.maxEjectedShare < 0 || settings.maxEjectedShare > 0.5) {
        faults.emplace_back("the ejected share must be between 0 and 0.5");
    }
    if (settings.maxClaims * ClaimSnapshotBytes > settings.maxClaimSnapshotBytes) {
        faults.emplace_back("the snapshot is too short for so many claims: 40 bytes each");
    }
    if (settings.maxAttempts < 1) {
        faults.emplace_back("attempts must be at least 1");
    }
    return faults;
}

const RequestClass *findClass(const RequestSettings &settings, std::string_view method, std::string_view target)
{
    const RequestClass *best = nullptr;
    for (const RequestClass &it : settings.classes) {
        if (!target.starts_with(it.pathPrefix) || !takesMethod(it, method)) {
            continue;
        }
        if (best == nullptr || it.pathPrefix.size() > best->pathPrefix.size()) {
            best = &it;
        }
    }
    return best;
}

} // namespace QuetzalRock
