/**
 * Claims of idempotency keys. A keyed request runs at most once, no matter through which entry VM it is repeated and
 * what fails in between.
 *
 * Index of this file
 *   ClaimRequest, ClaimReply, ClaimEnd   the messages
 *   ClaimOwner                           interface of a shard's owner: local, or a peer called by RPC
 *   ClaimTable                           the claims of a shard and their log records; no I/O
 *   LocalClaims                          a ClaimOwner that writes to a Log with group commit
 *   ShardedClaims                        a ClaimOwner that forwards to the owner of each key's shard
 *
 * States of a claim
 *   (none) -> Running          made durable before the first byte is sent upstream
 *   Running -> Done            the answer is stored for repeats (AnswerNotStored if it is too long)
 *   Running -> Unknown         the request may have run; it is not run again within RequestSettings::claimRetention
 *   Running -> (none)          the request did not run; a repeat may run
 *   A takeover turns every Running claim into Unknown, because the new owner cannot know how the run ended.
 *
 * A repeat through another entry VM finds the same claim because the key alone determines the owner. If that owner is
 * unreachable, the request is answered not_run; it was not sent.
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
    std::uint64_t bodyDigest = 0; ///< of method, target and body; a repeat must have the same
    std::uint64_t claimant = 0;   ///< random, new for each request; a call repeated after a lost reply is granted again
};

enum class ClaimVerdict : std::uint8_t {
    Granted = 0,     ///< the claim is durable: run the request, then call end()
    Waiting,         ///< the first run has not ended; a second reply follows when it has
    Done,            ///< the request ran; the reply holds its answer
    AnswerNotStored, ///< the request ran; its answer was too long to be stored
    Unknown,         ///< the request may have run
    Mismatch,        ///< the key was used for a different request
    Unavailable,     ///< the claim cannot be made durable now; the request must not run
};

struct ClaimReply
{
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    CallerResponse answer; ///< valid if Done
};

enum class ClaimEndKind : std::uint8_t {
    Answered = 0,
    Unknown,
    NotRun, ///< the request did not run; the key is released
};

struct ClaimEnd
{
    std::string key;
    std::uint64_t claimant = 0; ///< of the granted ClaimRequest; ends of other claimants are ignored
    ClaimEndKind kind = ClaimEndKind::Unknown;
    CallerResponse answer; ///< valid if Answered
};

class ClaimOwner
{
public:
    /** Called on any thread. After Waiting it is called a second time, when the first run has ended. */
    using Reply = std::function<void(ClaimReply)>;

    virtual ~ClaimOwner() = default;

    virtual void claim(const ClaimRequest &request, Reply reply) = 0; ///< never blocks
    virtual void end(const ClaimEnd &end) = 0; ///< never blocks; a remote owner repeats it until delivered
};

std::string claimKey(std::string_view tenant, std::string_view idempotencyKey);
std::uint64_t requestDigest(const CallerRequest &request);

// ---------------------------------------------------------------------------------------------------------------------
// ClaimTable
// ---------------------------------------------------------------------------------------------------------------------

/** The claims of a shard. Each change yields a record for the log; restore() rebuilds the claims after a takeover. */
class ClaimTable
{
public:
    struct Decision
    {
        ClaimReply reply;
        std::string record; ///< must be durable before Granted is passed on; empty: nothing changed
    };

    explicit ClaimTable(const RequestSettings &settings);

    Decision claim(const ClaimRequest &request, TimePoint now);

    /** Ends a claim and returns the record to append; empty if the claimant holds no running claim of the key. */
    std::string end(const ClaimEnd &end, TimePoint now);

    /** Undoes a claim() whose record was not made durable. */
    void undoClaim(const ClaimRequest &request);

    void restore(std::string_view snapshot, std::span<const std::string> records, TimePoint now);
    std::string snapshot() const;
    void expire(TimePoint now); ///< erases ended claims older than RequestSettings::claimRetention

    std::size_t size() const;
    std::size_t running() const;

private:
    enum class State : std::uint8_t {
        Running = 0,
        Done = 1,
        AnswerNotStored = 2,
        Unknown = 3,
    };
    /** Of a key; the keys themselves are not stored. */
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
    std::deque<std::pair<TimePoint, Digest>> m_expiryQueue; ///< ended claims, oldest first
    std::size_t m_running = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// LocalClaims
// ---------------------------------------------------------------------------------------------------------------------

struct ClaimCounters
{
    std::atomic<std::uint64_t> claims = 0;
    std::atomic<std::uint64_t> repeats = 0; ///< claims of a key that was claimed before
    std::atomic<std::uint64_t> batches = 0; ///< appended to the log
    std::atomic<std::uint64_t> records = 0;
    std::atomic<std::uint64_t> unavailable = 0; ///< claims refused because the log was unavailable
    std::atomic<std::uint64_t> running = 0;     ///< running claims, now
    std::atomic<std::uint64_t> held = 0;        ///< claims in any state, now
};

/**
 * Owner of one shard's claims. One thread drives the log and appends what arrived during an append as the next batch.
 * While the log is unavailable, claims are refused at once and ends are held until they can be written.
 */
class LocalClaims final : public ClaimOwner
{
public:
    LocalClaims(const RequestSettings &settings, Clock &clock, Log &log);
    ~LocalClaims() override;
    LocalClaims(const LocalClaims &) = delete;
    LocalClaims &operator=(const LocalClaims &) = delete;

    void start(); ///< takes over the log in the background; until then claims are Unavailable
    void stop();  ///< tries to write held ends; refuses pending claims, answers waiting repeats Unknown

    void claim(const ClaimRequest &request, Reply reply) override;
    void end(const ClaimEnd &end) override;

    bool isOwner() const;  ///< false before the takeover and after being fenced
    bool isFenced() const; ///< another owner has taken over. Final: retaking could alternate with that owner forever
    std::uint64_t epoch() const; ///< of the last takeover by this object; 0: none yet
    const ClaimCounters &counters() const;

private:
    struct Command
    {
        bool isEnd = false;
        ClaimRequest request;
        ClaimEnd end;
        Reply reply;
    };
    struct PendingGrant
    {
        ClaimRequest request;
        Reply reply;
        std::string record;
    };

    void run();
    bool waitForWork(); ///< false: stop the thread
    bool hasBacklog() const;
    void takeOver();
    void handle(Command &command);
    void handleClaim(Command &command);
    void handleEnd(const ClaimEnd &end);
    void processBacklog();
    void resolveDoubt();
    bool canCommit();
    void commit();
    std::vector<std::string> nextBatch(std::size_t &ends, std::size_t &claims) const;
    void grant(std::size_t claims);
    void refusePendingClaims(bool inDoubt);
    void handleFencing();
    void answerWaiters(const std::string &key, const ClaimReply &reply);
    void writeSnapshotIfDue();

    const RequestSettings &m_settings;
    Clock &m_clock;
    Log &m_log;

    std::mutex m_mutex; ///< guards m_commands and m_isStopping
    std::condition_variable m_wake;
    std::deque<Command> m_commands; ///< bounded by the open requests of this VM and its peers
    bool m_isStopping = false;

    // Used by the thread only, apart from the atomics
    ClaimTable m_table;
    std::vector<std::string> m_pendingEnds;    ///< records of ends to append
    std::vector<PendingGrant> m_pendingGrants; ///< claims to append and then grant
    std::vector<ClaimRequest> m_claimsInDoubt; ///< refused claims whose records may have been written
    std::size_t m_endsInDoubt = 0;  ///< number of records at the front of m_pendingEnds in the append in doubt
    bool m_isAppendInDoubt = false; ///< whether the last append was written is unknown
    std::unordered_map<std::string, std::vector<Reply>> m_waiters; ///< repeats that wait for the first run, by key
    TimePoint m_retryAt;                                           ///< the log is not called before
    TimePoint m_nextCommitAt; ///< earliest next append, see RequestSettings::minClaimAppendInterval
    std::thread m_thread;     ///< duty: the log of claims
    std::atomic<bool> m_isOwner = false;
    std::atomic<bool> m_isFenced = false;
    std::atomic<std::uint64_t> m_epoch = 0;
    ClaimCounters m_counters;
};

// ---------------------------------------------------------------------------------------------------------------------
// ShardedClaims
// ---------------------------------------------------------------------------------------------------------------------

/** Forwards each key to the owner of its shard. @p findOwner returns null if that owner is unknown or unreachable. */
class ShardedClaims final : public ClaimOwner
{
public:
    using FindOwner = std::function<std::shared_ptr<ClaimOwner>(std::uint32_t shard)>;

    ShardedClaims(std::uint32_t shards, FindOwner findOwner);

    /** Depends only on the key and the number of shards, so it is the same on every entry VM. */
    static std::uint32_t shardOf(std::string_view key, std::uint32_t shards);

    void claim(const ClaimRequest &request, Reply reply) override;
    void end(const ClaimEnd &end) override;

private:
    std::uint32_t m_shards;
    FindOwner m_findOwner;
};

} // namespace QuetzalRock
