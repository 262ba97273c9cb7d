/**
 * Claims of idempotency keys, shared by all members of a failure domain: the key decides the shard, the shard has one owner.
 *
 * Index of this file
 *   ClaimShard     one shard that this process can own
 *   RemoteClaims   the claims of a shard that another member owns, by peer calls
 *   ClaimRouter    finds the owner of a key: here, or at a peer; answers peers
 *
 * A claim that cannot reach its owner is Unavailable, and the request is answered "not run": nothing was sent upstream.
 */
#pragma once

#include <base/ring.h>
#include <daemon/hostedshard.h>
#include <journal/journal.h>
#include <peer/peer.h>
#include <requests/claims.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace QuetzalRock {

class ClaimShard final : public HostedShard
{
public:
    ClaimShard(
        const RequestSettings &settings, KeyValueService &service, Clock &clock, std::string name, std::string writer);
    ~ClaimShard() override;

    const std::string &shardName() const override;
    std::uint64_t acquire() override;
    void release() override;
    std::uint64_t fencedEpoch() const override;

    std::shared_ptr<ClaimOwner> owner() const; ///< null where this process does not own it

private:
    struct Tenure
    {
        Tenure(const RequestSettings &settings, KeyValueService &service, Clock &clock, const JournalSettings &journal);
        ~Tenure();

        Journal journal;
        LocalClaims claims;
    };

    std::shared_ptr<Tenure> current() const;

    const RequestSettings &m_settings;
    KeyValueService &m_service;
    Clock &m_clock;
    const std::string m_name;
    const std::string m_writer;
    std::uint64_t m_tenures = 0; ///< of the thread that acquires

    mutable std::mutex m_mutex; ///< guards m_current
    std::shared_ptr<Tenure> m_current;
};

/** Calls another member; the calls run on threads of its own, joined by a ring. */
class RemoteClaims
{
public:
    RemoteClaims(PeerTransport &transport, Clock &clock);
    ~RemoteClaims();
    RemoteClaims(const RemoteClaims &) = delete;
    RemoteClaims &operator=(const RemoteClaims &) = delete;

    /** The claims of shard @p shard at the member that listens at @p address. */
    std::shared_ptr<ClaimOwner> at(std::string address, std::uint32_t shard);

private:
    class Owner;
    struct Call
    {
        std::string address;
        std::uint32_t shard = 0;
        bool isEnd = false;
        ClaimRequest request;
        ClaimEnd end;
        ClaimOwner::Reply reply;
        TimePoint giveUpAt;    ///< of waiting for a first run, and of delivering an end
        bool isRepeat = false; ///< the caller has been told that it waits
    };

    void push(Call call);
    void run();
    void runClaim(Call call);
    void runEnd(Call call);
    bool repeatLater(Call call); ///< false: given up
    void runRepeats();

    PeerTransport &m_transport;
    Clock &m_clock;
    BoundedRing<Call> m_calls;

    std::mutex m_mutex; ///< guards the two below
    std::condition_variable m_wake;
    std::vector<Call> m_repeats;
    bool m_isStopping = false;

    std::vector<std::thread> m_threads;
};

class ClaimRouter final : public ClaimOwner
{
public:
    /** The address of the member that owns shard @p name; empty where none is known. */
    using AddressOf = std::function<std::string(const std::string &name)>;

    ClaimRouter(std::vector<ClaimShard *> shards, RemoteClaims &remote, AddressOf addressOf);

    void bind(PeerRouter &router); ///< answers "claim.claim" and "claim.end"

    void claim(const ClaimRequest &request, Reply reply) override;
    void end(const ClaimEnd &end) override;

private:
    std::shared_ptr<ClaimOwner> ownerOf(std::uint32_t shard);
    std::string onClaim(const PeerCall &call);
    std::string onEnd(const PeerCall &call);

    std::vector<ClaimShard *> m_shards;
    RemoteClaims &m_remote;
    AddressOf m_addressOf;
    ShardedClaims m_sharded;
};

} // namespace QuetzalRock
