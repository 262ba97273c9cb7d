#include <workflow/peers.h>

#include <base/errors.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <tuple>

namespace QuetzalRock::Workflow {

namespace {

using nlohmann::json;

constexpr std::size_t MaxAddressLength = 64;

std::string readText(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

std::string encodePeer(const PeerRecord &record, std::uint64_t lease)
{
    const json object{{"address", record.address},
                      {"failure_domain", record.failureDomain},
                      {"boot", record.bootId},
                      {"lease", lease}};
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

PeerRecord decodePeer(std::string_view text)
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        throw InvalidArgument("node", "must be a JSON object");
    }
    PeerRecord it{readText(object, "address"), readText(object, "failure_domain"), readText(object, "boot")};
    // The address becomes part of a URL.
    const bool isAddress = it.address.size() <= MaxAddressLength && it.address.find(':') != std::string::npos
                           && it.address.find_first_not_of("0123456789abcdefABCDEF.:[]") == std::string::npos;
    if (!isAddress) {
        throw InvalidArgument("address", "must be ip:port");
    }
    return it;
}

// ---------------------------------------------------------------------------------------------------------------------
// NodeListing
// ---------------------------------------------------------------------------------------------------------------------

NodeListing::NodeListing(
    RecordStore &store, Clock &clock, EventLog &log, std::string node, PeerRecord record, const PeerSettings &settings)
    : m_store(store)
    , m_clock(clock)
    , m_log(log)
    , m_key(std::string(NodePrefix) + std::move(node))
    , m_record(std::move(record))
    , m_settings(settings)
{
}

bool NodeListing::isListed() const
{
    return m_isStored;
}

void NodeListing::tick(TimePoint now)
{
    if (m_isCallInFlight || now < m_nextCallAt) {
        return;
    }
    if (m_hasEnded) {
        if (m_lease != 0) {
            revokeLease(now);
        }
    } else if (m_lease == 0) {
        grantLease(now);
    } else if (!m_isStored) {
        writeEntry(now);
    } else {
        renewLease(now);
    }
}

/** Sends a store call; until its reply comes there is no other one. */
template<typename Handler>
void NodeListing::call(TimePoint now, Handler onReply, const std::function<void(StoreDone)> &send)
{
    m_isCallInFlight = true;
    m_nextCallAt = now + m_settings.retryInterval;
    send([this, alive = std::weak_ptr(m_alive), onReply](const StoreReply &reply) {
        if (!alive.expired()) {
            m_isCallInFlight = false;
            onReply(reply);
        }
    });
}

void NodeListing::grantLease(TimePoint now)
{
    call(
        now,
        [this](const StoreReply &reply) {
            if (reply.status == StoreStatus::Ok && reply.lease != 0) {
                m_lease = reply.lease;
                m_value = encodePeer(m_record, m_lease);
                m_nextCallAt = m_clock.now();
            }
        },
        [this](StoreDone done) { m_store.grantLease(m_settings.leaseDuration, std::move(done)); });
}

/** An entry is replaced unconditionally: an earlier process of this node may have written it. */
void NodeListing::writeEntry(TimePoint now)
{
    call(
        now,
        [this](const StoreReply &reply) {
            if (reply.status == StoreStatus::Ok) {
                m_isStored = true;
                m_revision = reply.revision;
                m_nextCallAt = m_clock.now() + m_settings.renewInterval;
                m_log.write("node_listed", "address", m_record.address, "revision", m_revision);
            } else if (reply.status == StoreStatus::NotFound) {
                onLeaseLost("the lease had ended before the entry was written");
            }
        },
        [this](StoreDone done) {
            StoreChange change;
            change.puts = {{m_key, m_value, m_lease}};
            m_store.change(std::move(change), std::move(done));
        });
}

void NodeListing::renewLease(TimePoint now)
{
    call(
        now,
        [this, now](const StoreReply &reply) {
            if (reply.status == StoreStatus::Ok) {
                m_nextCallAt = now + m_settings.renewInterval;
            } else if (reply.status == StoreStatus::NotFound) {
                onLeaseLost("the lease has ended");
            }
        },
        [this](StoreDone done) { m_store.renewLease(m_lease, std::move(done)); });
}

void NodeListing::revokeLease(TimePoint now)
{
    call(
        now,
        [this](const StoreReply &reply) {
            if (reply.status == StoreStatus::Ok || reply.status == StoreStatus::NotFound) {
                m_lease = 0;
            }
        },
        [this](StoreDone done) { m_store.revokeLease(m_lease, std::move(done)); });
}

void NodeListing::onLeaseLost(std::string_view reason)
{
    if (m_lease != 0) {
        m_log.write("node_listing_lost", "why", reason);
    }
    m_lease = 0;
    m_isStored = false;
}

void NodeListing::onOwnItem(const StoreItem &item)
{
    if (m_hasEnded || m_lease == 0 || item.revision <= m_revision) {
        return; // news of an entry that this process has replaced since
    }
    if (item.isDeleted) {
        if (m_isStored) {
            onLeaseLost("the entry was deleted");
        }
    } else if (item.value == m_value) {
        m_isStored = true; // written by a call without an answer
        m_revision = item.revision;
    } else if (m_isStored) {
        // A late write of an earlier process, or another node of the same name: hence not at once.
        m_log.write("node_listing_replaced", "revision", item.revision);
        m_isStored = false;
        m_nextCallAt = m_clock.now() + m_settings.renewInterval;
    }
}

void NodeListing::end()
{
    m_hasEnded = true;
    m_isStored = false;
    m_nextCallAt = {};
}

// ---------------------------------------------------------------------------------------------------------------------
// PeerDirectory
// ---------------------------------------------------------------------------------------------------------------------

ForwardStep nextForwardStep(PeerAnswer answer, int attempts, Duration timeLeft, const PeerSettings &settings)
{
    if (answer == PeerAnswer::Unanswered) {
        return ForwardStep::Unknown;
    }
    if (answer == PeerAnswer::Decided) {
        return ForwardStep::PassOn;
    }
    if (attempts < settings.maxAttempts && timeLeft >= settings.minTimeLeft) {
        return ForwardStep::TryNext;
    }
    return answer == PeerAnswer::Refused ? ForwardStep::PassOn : ForwardStep::Reject;
}

PeerDirectory::PeerDirectory(
    Clock &clock, EventLog &log, std::string node, std::string failureDomain, const PeerSettings &settings)
    : m_clock(clock)
    , m_log(log)
    , m_node(std::move(node))
    , m_failureDomain(std::move(failureDomain))
    , m_settings(settings)
{
}

const PeerSettings &PeerDirectory::settings() const
{
    return m_settings;
}

std::size_t PeerDirectory::peers() const
{
    return m_peers.size();
}

std::uint32_t PeerDirectory::inFlight() const
{
    return m_inFlight;
}

void PeerDirectory::onItem(const StoreItem &item)
{
    const std::string name = item.key.substr(NodePrefix.size());
    if (name == m_node || name.empty()) {
        return;
    }
    if (!item.isDeleted) {
        try {
            PeerRecord record = decodePeer(item.value);
            if (record.address != m_settings.address) { // otherwise an entry from before this node was renamed
                const auto [found, isNew] = m_peers.try_emplace(name);
                Peer &peer = found->second;
                if (isNew) {
                    peer.tieBreak = std::hash<std::string>()(m_node + "/" + name);
                    m_log.write("peer_added", "peer", name, "address", record.address, "domain", record.failureDomain);
                } else if (peer.record.bootId != record.bootId || peer.record.address != record.address) {
                    peer.backOff = {};
                    peer.usableAt = {};
                }
                peer.record = std::move(record);
                return;
            }
        } catch (const std::exception &error) {
            m_log.write("peer_unreadable", "peer", name, "revision", item.revision, "error", error.what());
        }
    }
    if (m_peers.erase(name) > 0) {
        m_log.write("peer_removed", "peer", name, "revision", item.revision);
    }
}

bool PeerDirectory::isUsable(const Peer &peer, TimePoint now) const
{
    // After a failure a single call shows whether the peer works again.
    const std::uint32_t limit = peer.backOff > Duration::zero() ? 1 : m_settings.maxInFlightPerPeer;
    return now >= peer.usableAt && peer.inFlight < limit;
}

std::set<std::string> PeerDirectory::domainsOf(const std::set<std::string> &names) const
{
    std::set<std::string> domains;
    for (const std::string &it : names) {
        const auto found = m_peers.find(it);
        if (found != m_peers.end()) {
            domains.insert(found->second.record.failureDomain);
        }
    }
    return domains;
}

std::optional<ChosenPeer> PeerDirectory::choose(const std::set<std::string> &tried)
{
    const TimePoint now = m_clock.now();
    const std::set<std::string> triedDomains = domainsOf(tried);
    const auto rank = [&](const Peer &it) { // the lowest is chosen
        const bool hasFailed = !tried.empty() && it.backOff > Duration::zero();
        const bool isDomainTried = triedDomains.contains(it.record.failureDomain);
        const bool isOtherDomain = it.record.failureDomain != m_failureDomain;
        return std::tuple(hasFailed, isDomainTried, isOtherDomain, it.inFlight, it.chosenAt, it.tieBreak);
    };
    auto best = m_peers.end();
    for (auto it = m_peers.begin(); it != m_peers.end() && m_inFlight < m_settings.maxInFlight; ++it) {
        const bool isCandidate = isUsable(it->second, now) && !tried.contains(it->first);
        if (isCandidate && (best == m_peers.end() || rank(it->second) < rank(best->second))) {
            best = it;
        }
    }
    const bool isWithoutPeers = std::none_of(
        m_peers.begin(), m_peers.end(), [now](const auto &entry) { return now >= entry.second.usableAt; });
    if (isWithoutPeers != m_isWithoutPeers) {
        m_isWithoutPeers = isWithoutPeers;
        m_log.write(isWithoutPeers ? "no_peer_usable" : "peers_usable", "peers", m_peers.size());
    }
    if (best == m_peers.end()) {
        return std::nullopt;
    }
    ++best->second.inFlight;
    ++m_inFlight;
    best->second.chosenAt = ++m_choices;
    return ChosenPeer{best->first, best->second.record.address};
}

void PeerDirectory::release(const ChosenPeer &peer, PeerAnswer answer)
{
    --m_inFlight;
    const auto found = m_peers.find(peer.name);
    if (found == m_peers.end()) {
        return; // removed meanwhile
    }
    Peer &it = found->second;
    it.inFlight -= it.inFlight > 0 ? 1 : 0; // 0 if it was removed and added again meanwhile
    if (it.record.address != peer.address) {
        return; // the answer is from an earlier place of the node
    }
    const TimePoint now = m_clock.now();
    if (answer == PeerAnswer::Decided) {
        if (it.backOff > Duration::zero()) {
            m_log.write("peer_usable", "peer", peer.name);
        }
        it.backOff = {};
        it.usableAt = {};
    } else if (now >= it.usableAt) { // otherwise sent before the failure that the peer is backed off for
        if (it.backOff == Duration::zero()) {
            m_log.write("peer_backed_off", "peer", peer.name, "answer", static_cast<int>(answer));
        }
        it.backOff = std::clamp(it.backOff * 2, m_settings.minBackOff, m_settings.maxBackOff);
        it.usableAt = now + it.backOff;
    }
}

} // namespace QuetzalRock::Workflow
