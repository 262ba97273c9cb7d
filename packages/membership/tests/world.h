/**
 * Simulated members of several failure domains in one process, with fake peers, journals and clock and with fault
 * injection.
 */
#pragma once

#include <membership/ownership.h>
#include <peer/fakepeers.h>
#include <platform/embeddedkeyvalue.h>
#include <platform/faultykeyvalue.h>

#include <gtest/gtest.h>

#include <memory>

namespace QuetzalRock {

/** Fake of the journals: keeps the epoch and the owner of each shard's last takeover. */
struct FakeJournals
{
    struct Journal
    {
        std::uint64_t epoch = 0;
        std::string owner;
    };
    std::map<std::string, Journal> journals; ///< "domain/shard" -> its journal
};

/** Acquires, releases and drops shards in FakeJournals, as the daemon's ShardHost does with real journals. */
class FakeHost final : public ShardHost
{
public:
    FakeHost(FakeJournals &journals, KeyValueService &service, const MemberInfo &self)
        : m_journals(journals)
        , m_service(service)
        , m_self(self)
    {
    }

    std::uint64_t acquire(const std::string &shard) override
    {
        m_service.get("journal/" + shard); // throws if the platform's service is unreachable
        FakeJournals::Journal &journal = m_journals.journals[m_self.failureDomain + "/" + shard];
        journal.owner = m_self.name;
        owned[shard] = ++journal.epoch;
        return journal.epoch;
    }

    void release(const std::string &shard) override
    {
        owned.erase(shard);
        ++releases;
    }

    void drop(const std::string &shard) override
    {
        owned.erase(shard);
        ++drops;
    }

    /** Simulates an append to each owned shard, by which a replaced owner learns that it is fenced. */
    void append(Ownership &ownership)
    {
        for (const auto &[shard, epoch] : owned) {
            try {
                m_service.get("journal/" + shard);
            } catch (const Unavailable &) {
                continue;
            }
            if (m_journals.journals[m_self.failureDomain + "/" + shard].epoch != epoch) {
                ownership.onFenced(shard, epoch);
            }
        }
    }

    std::map<std::string, std::uint64_t> owned;
    int releases = 0;
    int drops = 0;

private:
    FakeJournals &m_journals;
    KeyValueService &m_service;
    MemberInfo m_self;
};

/** One simulated member process. */
struct Node
{
    Node(const MembershipSettings &memberSettings,
         const OwnershipSettings &ownershipSettings,
         KeyValueService &shared,
         FakePeers &peers,
         FakeJournals &journals,
         Clock &clock)
        : service(shared)
        , transport(peers, memberSettings.self.address)
        , membership(memberSettings, transport, clock)
        , registry({}, service, nullptr, membership, clock)
        , host(journals, service, memberSettings.self)
        , ownership(ownershipSettings, membership, host, clock)
    {
        membership.bind(router);
    }

    FaultyKeyValue service;
    PeerRouter router;
    FakeTransport transport;
    Membership membership;
    MemberRegistry registry;
    FakeHost host;
    Ownership ownership;
    bool paused = false;
};

/** The simulated members and everything they share. Time advances only by tick() and run(). */
class World
{
public:
    static constexpr Duration Tick = std::chrono::milliseconds(100);

    World()
        : platform(clock)
    {
        ownershipSettings.shards = {"s0", "s1", "s2"};
        ownershipSettings.fencedBackoffMax = std::chrono::minutes(1);
        memberSettings.rejoinAfterMax = std::chrono::minutes(1);
    }

    static std::string addressOf(const std::string &name)
    {
        return name + ":1";
    }

    Node &start(const std::string &name, const std::string &domain)
    {
        MembershipSettings settings = memberSettings;
        settings.self = {name, "region", domain, addressOf(name), static_cast<std::uint64_t>(clock.wallNow().count())};
        nodes[name] = std::make_unique<Node>(settings, ownershipSettings, platform, peers, journals, clock);
        peers.attach(addressOf(name), &nodes[name]->router);
        return *nodes[name];
    }

    void crash(const std::string &name)
    {
        peers.attach(addressOf(name), nullptr);
        nodes.erase(name);
    }

    void pause(const std::string &name)
    {
        nodes.at(name)->paused = true;
        peers.attach(addressOf(name), nullptr);
    }

    void resume(const std::string &name)
    {
        nodes.at(name)->paused = false;
        peers.attach(addressOf(name), &nodes.at(name)->router);
    }

    void cut(const std::string &a, const std::string &b)
    {
        peers.cut(addressOf(a), addressOf(b));
    }

    void heal(const std::string &a, const std::string &b)
    {
        peers.heal(addressOf(a), addressOf(b));
    }

    void healAll()
    {
        peers.healAll();
        for (auto &[name, node] : nodes) {
            node->service.down = false;
            if (node->paused) {
                resume(name);
            }
        }
    }

    void tick(Duration by = Tick)
    {
        clock.advance(by);
        for (auto &[name, node] : nodes) {
            if (node->paused) {
                continue;
            }
            node->membership.step();
            node->registry.step(Duration::zero());
            node->ownership.step();
            node->host.append(node->ownership);
        }
    }

    void run(Duration duration)
    {
        for (Duration done{}; done < duration; done += Tick) {
            tick();
        }
    }

    /** Names of the members that believe to own the shard. */
    std::vector<std::string> owners(const std::string &domain, const std::string &shard) const
    {
        std::vector<std::string> names;
        for (const auto &[name, node] : nodes) {
            if (node->membership.self().failureDomain == domain && node->host.owned.contains(shard)) {
                names.push_back(name);
            }
        }
        return names;
    }

    std::string owner(const std::string &domain, const std::string &shard) const
    {
        const std::vector<std::string> names = owners(domain, shard);
        return names.size() == 1 ? names.front() : std::to_string(names.size()) + " owners";
    }

    std::uint64_t epoch(const std::string &domain, const std::string &shard)
    {
        return journals.journals[domain + "/" + shard].epoch;
    }

    std::string journalOwner(const std::string &domain, const std::string &shard)
    {
        return journals.journals[domain + "/" + shard].owner;
    }

    /** Expects for each shard of @p domain exactly one owner, equal to the journal's and known to every member. */
    void expectSettled(const std::string &domain)
    {
        for (const std::string &shard : ownershipSettings.shards) {
            const std::string name = owner(domain, shard);
            EXPECT_EQ(journalOwner(domain, shard), name) << domain << "/" << shard;
            for (const auto &[other, node] : nodes) {
                if (node->membership.self().failureDomain == domain) {
                    EXPECT_EQ(node->ownership.ownerOf(shard).value_or("nobody"), name) << other << " on " << shard;
                }
            }
        }
    }

    ManualClock clock;
    EmbeddedKeyValue platform;
    FakePeers peers;
    FakeJournals journals;
    MembershipSettings memberSettings;
    OwnershipSettings ownershipSettings;
    std::map<std::string, std::unique_ptr<Node>> nodes;
};

} // namespace QuetzalRock
