#include <requests/settings.h>

#include <algorithm>
#include <set>

namespace QuetzalRock {

namespace {

bool acceptsMethod(const RequestClass &requestClass, std::string_view method)
{
    const auto &methods = requestClass.methods;
    return methods.empty() || std::find(methods.begin(), methods.end(), method) != methods.end();
}

void checkClass(const RequestClass &it, std::vector<std::string> &errors)
{
    const std::string prefix = "class " + it.name + ": ";
    if (it.pathPrefix.empty() || it.pathPrefix.front() != '/') {
        errors.push_back(prefix + "the path prefix must start with /");
    }
    if (it.deadline <= Duration::zero()) {
        errors.push_back(prefix + "the deadline must be above 0 ms");
    }
    if (it.queueLimit < 1) {
        errors.push_back(prefix + "the queue limit must be at least 1");
    }
    if (it.idempotent && it.requireKey) {
        errors.push_back(prefix + "only a non-idempotent class can require a key");
    }
    if (it.tenantRate < 0 || (it.tenantRate > 0 && it.tenantBurst < 1)) {
        errors.push_back(prefix + "the tenant rate must not be negative, and its burst must be at least 1");
    }
}

} // namespace

std::vector<std::string> check(const RequestSettings &settings)
{
    std::vector<std::string> errors;
    std::set<std::string> names;
    for (const RequestClass &it : settings.classes) {
        checkClass(it, errors);
        if (it.name.empty() || !names.insert(it.name).second) {
            errors.push_back("class names must be unique and not empty: \"" + it.name + "\"");
        }
    }
    if (settings.classes.empty()) {
        errors.emplace_back("at least one request class is required");
    }
    if (settings.slotsPerInstance < 1 || settings.connectionsPerInstance < settings.slotsPerInstance) {
        errors.emplace_back("an instance needs at least 1 slot, and at least 1 connection for each slot");
    }
    if (settings.entryMembers < 1) {
        errors.emplace_back("the number of entry members must be at least 1");
    }
    if (settings.maxEjectedShare < 0 || settings.maxEjectedShare > 0.5) {
        errors.emplace_back("the ejected share must be between 0 and 0.5");
    }
    if (settings.maxClaims * MaxSnapshotBytesPerClaim > settings.maxClaimSnapshotBytes) {
        errors.emplace_back("the claim snapshot is too small for the maximum number of claims of 40 bytes each");
    }
    if (settings.maxAttempts < 1) {
        errors.emplace_back("the maximum number of attempts must be at least 1");
    }
    return errors;
}

const RequestClass *findClass(const RequestSettings &settings, std::string_view method, std::string_view target)
{
    const RequestClass *best = nullptr;
    for (const RequestClass &it : settings.classes) {
        if (!target.starts_with(it.pathPrefix) || !acceptsMethod(it, method)) {
            continue;
        }
        if (best == nullptr || it.pathPrefix.size() > best->pathPrefix.size()) {
            best = &it;
        }
    }
    return best;
}

} // namespace QuetzalRock
