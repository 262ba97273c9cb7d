#include <workflow/evacuation.h>

#include <algorithm>

namespace QuetzalRock::Workflow {

namespace {

/** Covers a worker's clock that is 2% slow, and the time between the decision and the sending of an order. */
constexpr Duration ConfirmationMargin = std::chrono::milliseconds(100);

} // namespace

Duration EvacuationSettings::orderValidity(Duration wanted) const
{
    return isEnabled() ? std::min(wanted, startBound / 2) : wanted;
}

EvacuationRequests::EvacuationRequests(const EvacuationSettings &settings, Duration orderValidity)
    : m_settings(settings)
    , m_maxAge(settings.startBound - orderValidity - ConfirmationMargin)
{
}

bool EvacuationRequests::isEnabled() const
{
    return m_settings.isEnabled();
}

void EvacuationRequests::set(std::string_view domain, std::uint64_t revision)
{
    Request &it = m_requests[std::string(domain)];
    if (revision > it.revision) {
        it = {revision, true};
    }
}

void EvacuationRequests::remove(std::string_view domain, std::uint64_t revision)
{
    const auto it = m_requests.find(domain);
    if (it != m_requests.end() && revision > it->second.revision) {
        it->second = {revision, false};
    }
}

void EvacuationRequests::endAllBut(std::span<const std::string> domains, std::uint64_t revision)
{
    for (auto &[domain, it] : m_requests) {
        if (std::find(domains.begin(), domains.end(), domain) == domains.end() && revision > it.revision) {
            it = {revision, false};
        }
    }
}

void EvacuationRequests::confirm(TimePoint at)
{
    m_confirmedAt = std::max(m_confirmedAt, at);
}

bool EvacuationRequests::isRequested(std::string_view domain) const
{
    const auto it = m_requests.find(domain);
    return isEnabled() && it != m_requests.end() && it->second.isInForce;
}

std::vector<std::string> EvacuationRequests::domains() const
{
    std::vector<std::string> names;
    for (const auto &[domain, it] : m_requests) {
        if (isRequested(domain)) {
            names.push_back(domain);
        }
    }
    return names;
}

bool EvacuationRequests::isConfirmed(TimePoint now, Authority authority) const
{
    const Duration extra = authority == Authority::Grace ? m_settings.unstableStoreExtra : Duration::zero();
    return !isEnabled() || (m_confirmedAt != TimePoint{} && now <= m_confirmedAt + m_maxAge + extra);
}

bool EvacuationRequests::mayStart(std::string_view domain, TimePoint now, Authority authority) const
{
    return isConfirmed(now, authority) && !isRequested(domain);
}

ShardMap availableShards(const ShardMap &map, const EvacuationRequests &requests)
{
    ShardMap available = map;
    bool hasShard = false;
    for (ShardInfo &it : available.shards) {
        if (requests.isRequested(it.failureDomain)) {
            it.poolCpuMillis.clear();
        }
        hasShard = hasShard || !it.poolCpuMillis.empty();
    }
    return hasShard ? available : map;
}

} // namespace QuetzalRock::Workflow
