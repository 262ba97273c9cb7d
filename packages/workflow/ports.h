/**
 * Abstract interfaces to everything outside the workflow scheduler. All calls are asynchronous: they return at once,
 * and each callback runs exactly once, on the thread that drives the node, never inside the call itself.
 *
 * Index of this file
 *   RecordStore     the platform's key-value store: conditional writes, leases, watches
 *   WorkerPort      orders to workers: start, stop, throttle, renew the lease
 *   RecordDecoder   parses the store items that operators and workers write
 *
 * The adapter in platform/ implements all three; tests use in-memory fakes.
 */
#pragma once

#include <base/clock.h>
#include <workflow/model.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock::Workflow {

// ---------------------------------------------------------------------------------------------------------------------
// RecordStore
// ---------------------------------------------------------------------------------------------------------------------

enum class StoreStatus : std::uint8_t {
    Ok = 0,
    Conflict = 1,    ///< a condition did not hold: nothing was written
    NotFound = 2,    ///< no such item or lease, or the requested history has been compacted
    NotExecuted = 3, ///< not executed and never will be: no connection, or refused
    Unknown = 4,     ///< no answer: the call may have been executed, or may still be
};

struct StoreItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< of the last write
    std::uint64_t created = 0;  ///< revision at which the key was created
    std::uint64_t lease = 0;    ///< 0: none
    bool isDeleted = false;     ///< set in watch events only
};

struct StoreCondition
{
    std::string key;
    std::uint64_t revision = 0; ///< required revision of the last write; 0: the key must not exist
};

struct StorePut
{
    std::string key;
    std::string value;
    std::uint64_t lease = 0;
};

/** One atomic write: all of it is applied if every condition holds, otherwise none of it. */
struct StoreChange
{
    std::vector<StoreCondition> conditions;
    std::vector<StorePut> puts;
    std::vector<std::string> removals;
};

constexpr std::size_t MaxChangeEntries = 32; ///< conditions, puts and removals of one change together

struct StoreReply
{
    StoreStatus status = StoreStatus::Unknown;
    std::vector<StoreItem> items; ///< results of reads and watches; on Conflict: current items of the conditions' keys
    std::uint64_t revision = 0;   ///< reads and watches: of the store; changes: of the write
    bool hasMore = false;         ///< range(): call again with the last key as afterKey
    std::uint64_t lease = 0;      ///< grantLease(): the new lease
    Duration lifetime{};          ///< grantLease(): may differ from the requested one; 0: not given
};

using StoreDone = std::function<void(const StoreReply &)>;

constexpr Duration DefaultStoreCallTimeout
    = std::chrono::milliseconds(1500); ///< a call without an answer; a slow store takes up to 0.3 s
constexpr Duration WatchReplyTimeout
    = std::chrono::milliseconds(500); ///< a watch without an answer, after its own wait is over

class RecordStore
{
public:
    virtual ~RecordStore() = default;

    virtual void get(std::string_view key, StoreDone done) = 0;
    virtual void range(std::string_view prefix, std::string_view afterKey, StoreDone done) = 0;

    /**
     * Long poll: waits up to @p wait for changes under @p prefix after revision @p after. Ends as Unknown without an
     * answer WatchReplyTimeout after that.
     */
    virtual void watch(std::string_view prefix, std::uint64_t after, Duration wait, StoreDone done) = 0;
    virtual void change(StoreChange change, StoreDone done) = 0;
    virtual void grantLease(Duration lifetime, StoreDone done) = 0;
    virtual void renewLease(std::uint64_t lease, StoreDone done) = 0;
    virtual void revokeLease(std::uint64_t lease, StoreDone done) = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// WorkerPort
// ---------------------------------------------------------------------------------------------------------------------

enum class OrderStatus : std::uint8_t {
    Accepted = 0,
    Fenced = 1,     ///< the worker has seen a higher fencing token
    Superseded = 2, ///< this attempt, or a later one, has already ended or been stopped on the worker
    Expired = 3,    ///< arrived after StartOrder::validUntilMs
    InsufficientCapacity = 4,
    InvalidTicket = 5,    ///< the advice ticket is missing or has lapsed
    WrongIncarnation = 6, ///< another incarnation of the worker, or another worker, answers at this address
    Unhealthy = 7,        ///< refused by an unhealthy worker: nothing was done
    Malformed = 8,
    NotSent = 9,     ///< no connection: the worker has not received the order
    Unanswered = 10, ///< no answer: the order may have been executed, or may still be
};

struct OrderReply
{
    OrderStatus status = OrderStatus::Unanswered;
    std::int64_t clockMs = 0; ///< the worker's clock; 0: not reported
};

struct WorkerTarget
{
    WorkerId id;
    std::string address;
    std::uint64_t fence = 0; ///< fencing token
};

struct StartOrder
{
    RunName run;
    std::string payload;
    std::string checkpoint;        ///< to resume from; empty: run from the start
    std::string ticket;            ///< of the advice service; empty: none
    std::int64_t validUntilMs = 0; ///< worker's clock; rejected if it arrives later; also extends the lease up to here
};

struct RenewOrder
{
    std::uint64_t acknowledgedSequence = 0;   ///< ends up to this one are stored durably; the worker may discard them
    std::optional<std::int64_t> leaseUntilMs; ///< worker's clock; none: request a report without extending the lease
    Duration wait{};                          ///< long poll: the worker waits this long for a run to end
};

struct RenewReply
{
    OrderReply order;
    WorkerReport report; ///< valid if the order was Accepted
};

class WorkerPort
{
public:
    virtual ~WorkerPort() = default;

    virtual void
    start(const WorkerTarget &worker, const StartOrder &order, std::function<void(const OrderReply &)> done)
        = 0;
    virtual void stop(const WorkerTarget &worker, const RunName &run, std::function<void(const OrderReply &)> done) = 0;
    virtual void
    throttle(const WorkerTarget &worker, const RunName &run, int percent, std::function<void(const OrderReply &)> done)
        = 0;
    virtual void
    renew(const WorkerTarget &worker, const RenewOrder &order, std::function<void(const RenewReply &)> done)
        = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// RecordDecoder
// ---------------------------------------------------------------------------------------------------------------------

class RecordDecoder
{
public:
    virtual ~RecordDecoder() = default;

    virtual std::string_view operatorPrefix() const = 0; ///< prefix of the keys that operators write
    virtual std::string_view
    registryPrefix() const = 0; ///< prefix of the workers' registry entries; the rest of the key is the worker's id
    virtual std::string_view catalogKey() const = 0; ///< begins with operatorPrefix()

    /** Prefix of the keys that request evacuations; the rest of the key is the failure domain. Begins with operatorPrefix(). */
    virtual std::string_view evacuationPrefix() const = 0;

    /** All throw InvalidArgument if the text cannot be parsed. */
    virtual Catalog parseCatalog(std::string_view text) const = 0;
    virtual WorkerRecord parseWorker(std::string_view id, std::string_view text) const = 0;
    virtual void checkEvacuation(std::string_view text) const = 0; ///< a request has no content beyond its key
};

} // namespace QuetzalRock::Workflow
