/**
 * Claims of idempotency keys, sharded over the members of a failure domain. A key's hash selects its shard, and each shard
 * has one owner.
 *
 * Index of this file
 *   ClaimShard     one shard of claims that this process can own
 *   RemoteClaims   sends claims to the member that owns their shard
 *   ClaimRouter    sends each claim to the owner of its shard, local or remote; handles the claims sent by other members
 *
 * A claim whose owner cannot be reached gets the verdict Unavailable, and the request fails with not_run: nothing was sent
 * upstream.
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

    std::shared_ptr<ClaimOwner> owner() const; ///< null if this process does not own the shard

private:
    /** The state of one ownership of the shard, from the takeover until it is released. */
    struct OwnerTerm
    {
        OwnerTerm(const RequestSettings &settings,
                  KeyValueService &service,
                  Clock &clock,
                  const JournalSettings &journal);
        ~OwnerTerm();

        Journal journal;
        LocalClaims claims;
    };

    std::shared_ptr<OwnerTerm> currentTerm() const;

    const RequestSettings &m_settings;
    KeyValueService &m_service;
    Clock &m_clock;
    const std::string m_name;
    const std::string m_writer;
    std::uint64_t m_termCount = 0; ///< takeovers by this process; only used by the thread that calls acquire()

    mutable std::mutex m_mutex; ///< guards m_currentTerm
    std::shared_ptr<OwnerTerm> m_currentTerm;
};

/** Sends claims to other members. Calls are queued in a ring buffer and sent by a pool of threads. */
class RemoteClaims
{
public:
    RemoteClaims(PeerTransport &transport, Clock &clock);
    ~RemoteClaims();
    RemoteClaims(const RemoteClaims &) = delete;
    RemoteClaims &operator=(const RemoteClaims &) = delete;

    /** A ClaimOwner that forwards to the owner of shard @p shard, which listens at @p address. */
    std::shared_ptr<ClaimOwner> ownerAt(std::string address, std::uint32_t shard);

private:
    class RemoteOwner;
    struct Call
    {
        std::string address;
        std::uint32_t shard = 0;
        bool isEnd = false;
        ClaimRequest request;
        ClaimEnd end;
        ClaimOwner::Reply reply;
        TimePoint retryDeadline;        ///< until then a waiting claim, or an undelivered end, is retried
        bool isWaitingReported = false; ///< the verdict Waiting has been passed to the caller
    };

    void enqueue(Call call);
    void runCalls();
    void sendClaim(Call call);
    void sendEnd(Call call);
    bool scheduleRetry(Call call); ///< returns false if the call will not be retried
    void runRetries();

    PeerTransport &m_transport;
    Clock &m_clock;
    BoundedRing<Call> m_calls;

    std::mutex m_mutex; ///< guards m_retries and m_isStopping
    std::condition_variable m_wake;
    std::vector<Call> m_retries;
    bool m_isStopping = false;

    std::vector<std::thread> m_threads;
};

class ClaimRouter final : public ClaimOwner
{
public:
    /** Returns the address of the member that owns shard @p name; empty if unknown. */
    using OwnerAddressLookup = std::function<std::string(const std::string &name)>;

    ClaimRouter(std::vector<ClaimShard *> shards, RemoteClaims &remote, OwnerAddressLookup ownerAddress);

    void bind(PeerRouter &router); ///< registers the handlers of "claim.claim" and "claim.end"

    void claim(const ClaimRequest &request, Reply reply) override;
    void end(const ClaimEnd &end) override;

private:
    std::shared_ptr<ClaimOwner> findOwner(std::uint32_t shard);
    std::string handleClaim(const PeerCall &call);
    std::string handleEnd(const PeerCall &call);

    std::vector<ClaimShard *> m_shards;
    RemoteClaims &m_remote;
    OwnerAddressLookup m_ownerAddress;
    ShardedClaims m_sharded;
};

} // namespace QuetzalRock
