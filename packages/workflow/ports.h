/**
 * What the workflow scheduler needs from outside, as abstract interfaces. All calls return at once; each callback runs exactly
 * once, on the thread that drives the node, never inside the call itself.
 *
 * Index of this file
 *   RecordStore   the platform's store: items under conditions, leases, watches
 *   WorkerPort    orders to workers
 *   RecordDecoder reads what operators and workers write into the store
 *
 * The platform's adapter implements both; tests bring their own.
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
    NotFound = 2,    ///< no such item or lease, or the history asked for has been dropped
    NotExecuted = 3, ///< certainly not executed: no connection, or refused
    Unknown = 4,     ///< no answer: it may have been executed, or be executed later
};

struct StoreItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< of the last write
    std::uint64_t created = 0;  ///< revision of its creation
    std::uint64_t lease = 0;    ///< 0: none
    bool isDeleted = false;     ///< in watches only
};

struct StoreCondition
{
    std::string key;
    std::uint64_t revision = 0; ///< 0: the key must not exist
};

struct StorePut
{
    std::string key;
    std::string value;
    std::uint64_t lease = 0;
};

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
    std::vector<StoreItem> items; ///< of reads and watches; with Conflict: the items of the conditions as they are
    std::uint64_t revision = 0;   ///< of the store (reads), or of the change
    bool hasMore = false;         ///< range: continue after the last key
    std::uint64_t lease = 0;      ///< grant
    Duration lifetime{};          ///< grant: what applies
};

using StoreDone = std::function<void(const StoreReply &)>;

class RecordStore
{
public:
    virtual ~RecordStore() = default;

    virtual void get(std::string_view key, StoreDone done) = 0;
    virtual void range(std::string_view prefix, std::string_view afterKey, StoreDone done) = 0;

    /** Waits up to @p wait for changes under @p prefix after revision @p after. */
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
    Fenced = 1,     ///< a higher fencing token has been seen there
    Superseded = 2, ///< this attempt, or a later one, has ended or was barred there
    Expired = 3,    ///< its validity had passed by the worker's clock
    InsufficientCapacity = 4,
    InvalidTicket = 5,    ///< the advice ticket is missing or has lapsed
    WrongIncarnation = 6, ///< another life of the worker answers at this address
    Unhealthy = 7,        ///< refused by an unhealthy worker: nothing was done
    Malformed = 8,
    NotSent = 9,     ///< no connection came about: the worker has certainly not seen it
    Unanswered = 10, ///< may be executed, now or later
};

struct OrderReply
{
    OrderStatus status = OrderStatus::Unanswered;
    std::int64_t clockMs = 0; ///< of the worker; 0: not told
};

struct WorkerTarget
{
    WorkerId id;
    std::string address;
    std::uint64_t fence = 0;
};

struct StartOrder
{
    RunName run;
    std::string payload;
    std::string checkpoint;        ///< empty: from the start
    std::string ticket;            ///< empty: none
    std::int64_t validUntilMs = 0; ///< worker's clock: a later arrival is rejected; also prolongs the worker's lease
};

struct RenewOrder
{
    std::uint64_t acknowledgedSequence = 0;   ///< ends up to this sequence are durable here
    std::optional<std::int64_t> leaseUntilMs; ///< worker's clock; none: only look
    Duration wait{};                          ///< the answer waits so long for an end
};

struct RenewReply
{
    OrderReply order;
    WorkerReport report; ///< with Accepted
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

    virtual std::string_view operatorPrefix() const = 0; ///< of keys that operators write
    virtual std::string_view
    registryPrefix() const = 0; ///< of workers' entries; the rest of the key is the worker's id
    virtual bool isCatalog(std::string_view key) const = 0;

    /** Both throw InvalidArgument for what cannot be used. */
    virtual Catalog parseCatalog(std::string_view text) const = 0;
    virtual WorkerRecord parseWorker(std::string_view id, std::string_view text) const = 0;
};

} // namespace QuetzalRock::Workflow
