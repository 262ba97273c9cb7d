/**
 * Claims of idempotency keys: at most one run for each key, whoever repeats it, wherever, whatever fails in between.
 *
 * Index of this file
 *   ClaimRequest, ClaimReply, ClaimEnd   the messages
 *   ClaimOwner                           who decides about a key; local, or a peer reached by RPC
 *   ClaimTable                           the state and its records; no I/O
 *   LocalClaims                          a ClaimOwner over a Log, with group commit
 *   ShardedClaims                        a ClaimOwner that asks the owner of each key's shard
 *
 * Life of a claim
 *   (none) -> Running          durable before the first byte goes upstream
 *   Running -> Done            first answer kept for repeats
 *   Running -> Unknown         it may or may not have run: never run again within the window
 *   Running -> (none)          it certainly did not run: a repeat may run
 *   after a takeover every Running claim is Unknown: the run's fate went with its entry VM
 *
 * A repeat through another entry VM meets the same claim because the key alone decides who owns it. Where the owner
 * cannot be reached the request is answered not_run: it was not sent.
 */
#pragma once

#include <journal/log.h>
#include <requests/message.h>
#include <requests/settings.h>

#include <base/ring.h>

#include <atomic>
#include <deque>
#include <functional>
#include <thread>
#include <unordered_map>

namespace QuetzalRock {

struct ClaimRequest
{
    std::string key;              ///< tenant and Idempotency-Key, see claimKey()
    std::uint64_t bodyDigest = 0; ///< of method, target and body: the same key must mean the same request
    std::uint64_t claimant = 0; ///< random, one for each try; a claim call repeated after a lost reply is granted again
};

enum class ClaimVerdict : std::uint8_t {
    Granted = 0, ///< durable: run it, then call end()
    Waiting,     ///< the first run goes on; another reply follows
    Done,        ///< it ran: here is the first answer
    NotKept,     ///< it ran; its answer was too long to keep
    Unknown,     ///< it may have run
    Mismatch,    ///< the key belongs to a different request
    Unavailable, ///< the claim cannot be made durable now; nothing was claimed
};

struct ClaimReply
{
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    CallerResponse answer; ///< with Done
};

enum class ClaimEndKind : std::uint8_t {
    Answered = 0,
    Unknown,
    NotRun, ///< no byte left: the key is free again
};

struct ClaimEnd
{
    std::string key;
    std::uint64_t claimant = 0; ///< as in the ClaimRequest that was granted; any other is ignored
    ClaimEndKind kind = ClaimEndKind::Unknown;
    CallerResponse answer; ///< with Answered
};

class ClaimOwner
{
public:
    /** Called on any thread; for Waiting a second time, with the end of the first run. */
    using Reply = std::function<void(ClaimReply)>;

    virtual ~ClaimOwner() = default;

    virtual void claim(const ClaimRequest &request, Reply reply) = 0; ///< never blocks
    virtual void end(const ClaimEnd &end) = 0;                        ///< never blocks; repeat it until delivered
};

std::string claimKey(std::string_view tenant, std::string_view idempotencyKey);
std::uint64_t requestDigest(const CallerRequest &request);

// ---------------------------------------------------------------------------------------------------------------------
// ClaimTable
// ---------------------------------------------------------------------------------------------------------------------

/** What is claimed. Changes come out as records; apply() and restore() take them in again after a takeover. */
class ClaimTable
{
public:
    struct Decision
    {
        ClaimReply reply;
        std::string record; ///< to be made durable before a Granted is passed on; empty: nothing changed
    };

    explicit ClaimTable(const RequestSettings &settings);

    Decision claim(const ClaimRequest &request, TimePoint now);

    /** The record to append; empty where the claim is not the claimant's. */
    std::string end(const ClaimEnd &end, TimePoint now);

    /** Undoes a claim() whose record did not become durable. */
    void undoClaim(const ClaimRequest &request);

    void restore(std::string_view snapshot, std::span<const std::string> records, TimePoint now);
    std::string snapshot() const;
    void expire(TimePoint now); ///< forgets ended claims older than the window

    std::size_t size() const;
    std::size_t running() const;

private:
    enum class State : std::uint8_t {
        Running = 0,
        Done = 1,
        NotKept = 2,
        Unknown = 3,
    };
    /** Of the key; keys themselves are not kept. */
    using Digest = std::string;
    struct Claim
    {
        State state = State::Running;
        std::uint64_t bodyDigest = 0;
        std::uint64_t claimant = 0;
        TimePoint endedAt;
        CallerResponse answer;
    };

    void apply(std::string_view record, TimePoint now);
    void setEnded(const Digest &digest, Claim &claim, State state, TimePoint now);
    void erase(const Digest &digest);
    ClaimReply replyTo(const Claim &claim, const ClaimRequest &request) const;

    const RequestSettings &m_settings;
    std::unordered_map<Digest, Claim> m_claims;
    std::deque<std::pair<TimePoint, Digest>> m_ended; ///< in the order of their ends
    std::size_t m_running = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// LocalClaims
// ---------------------------------------------------------------------------------------------------------------------

struct ClaimCounters
{
    std::atomic<std::uint64_t> claims = 0;
    std::atomic<std::uint64_t> repeats = 0; ///< claims that met an earlier one
    std::atomic<std::uint64_t> batches = 0; ///< appended to the log
    std::atomic<std::uint64_t> records = 0;
    std::atomic<std::uint64_t> unavailable = 0; ///< claims refused because the log was away
    std::atomic<std::uint64_t> running = 0;     ///< now
    std::atomic<std::uint64_t> kept = 0;        ///< claims held now, in whatever state
};

/**
 * The claims that this VM owns. One thread drives the log; what arrives while it appends makes up the next batch.
 * While the log is away, claims are refused at once and ends are kept until they can be written.
 */
class LocalClaims final : public ClaimOwner
{
public:
    LocalClaims(const RequestSettings &settings, Clock &clock, Log &log);
    ~LocalClaims() override;
    LocalClaims(const LocalClaims &) = delete;
    LocalClaims &operator=(const LocalClaims &) = delete;

    void start(); ///< takes the log over in the background; claims are Unavailable until that has succeeded
    void stop();  ///< writes what ended, answers what waits with Unavailable

    void claim(const ClaimRequest &request, Reply reply) override;
    void end(const ClaimEnd &end) override;

    bool isOwner() const;        ///< false before the takeover and after a fencing
    bool isFenced() const;       ///< another owner has taken over: for good, or two candidates would take turns
    std::uint64_t epoch() const; ///< of the last takeover here; 0: none yet
    const ClaimCounters &counters() const;

private:
    struct Command
    {
        bool isEnd = false;
        ClaimRequest request;
        ClaimEnd end;
        Reply reply;
    };
    struct Granting
    {
        ClaimRequest request;
        Reply reply;
        std::string record;
    };

    void run();
    bool waitForWork(); ///< false: stop
    bool hasBacklog() const;
    void takeOver();
    void handle(Command &command);
    void handleClaim(Command &command);
    void handleEnd(const ClaimEnd &end);
    void workOffBacklog();
    void settleDoubt();
    bool mayCommit();
    void commit();
    std::vector<std::string> nextBatch(std::size_t &ends, std::size_t &claims) const;
    void grant(std::size_t claims);
    void refuseAll(bool inDoubt);
    void standDown();
    void answerWaiters(const std::string &key, const ClaimReply &reply);
    void snapshotIfDue();

    const RequestSettings &m_settings;
    Clock &m_clock;
    Log &m_log;

    std::mutex m_mutex; ///< guards the three below
    std::condition_variable m_wake;
    std::deque<Command> m_commands; ///< bounded by the open requests of this VM and its peers
    bool m_stopping = false;

    // Of the thread
    ClaimTable m_table;
    std::vector<std::string> m_ends;     ///< records of ends, to be appended
    std::vector<Granting> m_granting;    ///< claims to be appended, then granted
    std::vector<ClaimRequest> m_inDoubt; ///< claims that may have been written; their callers were refused
    std::size_t m_endsInDoubt = 0;       ///< so many at the front of m_ends
    bool m_doubt = false;                ///< the last append may have been written
    std::unordered_map<std::string, std::vector<Reply>> m_waiters; ///< repeats that wait for a first run, by key
    TimePoint m_retryAt;                                           ///< the log is left alone until then
    TimePoint m_nextCommit; ///< of the write budget, see RequestSettings::minClaimAppendInterval
    std::thread m_thread;   ///< duty: the log of claims
    std::atomic<bool> m_isOwner = false;
    std::atomic<bool> m_isFenced = false;
    std::atomic<std::uint64_t> m_epoch = 0;
    ClaimCounters m_counters;
};

// ---------------------------------------------------------------------------------------------------------------------
// ShardedClaims
// ---------------------------------------------------------------------------------------------------------------------

/** Passes each key on to the owner of its shard. @p ownerOf gives null where that owner is not known or not reachable. */
class ShardedClaims final : public ClaimOwner
{
public:
    using OwnerOf = std::function<std::shared_ptr<ClaimOwner>(std::uint32_t shard)>;

    ShardedClaims(std::uint32_t shards, OwnerOf ownerOf);

    /** The same on every entry VM: depends on the key and the number of shards only. */
    static std::uint32_t shardOf(std::string_view key, std::uint32_t shards);

    void claim(const ClaimRequest &request, Reply reply) override;
    void end(const ClaimEnd &end) override;

private:
    std::uint32_t m_shards;
    OwnerOf m_ownerOf;
};

} // namespace QuetzalRock
