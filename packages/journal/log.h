/**
 * Interface of a durable log with a single owner. Journal implements it on top of the key-value service; MemoryLog is
 * an in-memory fake for tests of code that uses a log.
 *
 * Index of this file
 *   Replay          snapshot and records that a new owner reads back
 *   Fenced          thrown when another owner has taken over
 *   FencedInDoubt   the same, but it can no longer be determined whether the batch in doubt was written
 *   Log             take over, append, resolve, snapshot
 *
 * Use
 *   Replay replay = log.takeOver();          // rebuild the state from replay.snapshot, then replay.records in order
 *   log.append(records);                     // durable when it returns; act on the records only after that
 *   if (log.snapshotDue()) log.snapshot(s);  // before the ring wraps
 *
 * Not thread-safe: call all functions of a log from one thread. Records are opaque bytes; the caller versions them.
 */
#pragma once

#include <base/errors.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

/** Durable content of the log at the time of a takeover. */
struct Replay
{
    std::uint64_t epoch = 0;          ///< epoch of the new owner, higher than that of every earlier owner
    std::string snapshot;             ///< state last passed to Log::snapshot(); empty if there is none
    std::vector<std::string> records; ///< records appended after the snapshot, oldest first
};

/** Another owner has taken over. This process must stop acting as the owner; the call in progress wrote nothing. */
class Fenced : public Error
{
public:
    explicit Fenced(const std::string &message)
        : Error(ErrorCode::Conflict, message)
    {
    }
};

/**
 * Thrown by resolve() only: another owner has taken over and has already reused the slot of the batch in doubt. This
 * process must stop acting as the owner, and must not report the batch as not written. epoch() is 0 afterwards.
 */
class FencedInDoubt : public OutcomeUnknown
{
public:
    explicit FencedInDoubt(const std::string &message)
        : OutcomeUnknown(message)
    {
    }
};

class Log
{
public:
    virtual ~Log() = default;

    /** Becomes the owner and fences off the previous one. Throws Unavailable if the service cannot be reached. */
    virtual Replay takeOver() = 0;

    /**
     * Appends @p records as one batch: all or nothing. Throws
     *   Unavailable     nothing was written; try again later
     *   OutcomeUnknown  the batch is in doubt; call resolve() until it returns before any other call
     *   Fenced          nothing was written; stop acting as the owner
     */
    virtual void append(std::span<const std::string> records) = 0;

    /**
     * Settles the batch (or snapshot) in doubt after OutcomeUnknown: true if it was written, false if it never will be.
     * Throws
     *   OutcomeUnknown  still in doubt; call again later
     *   Fenced          it was not written; stop acting as the owner
     *   FencedInDoubt   it cannot be determined whether it was written; stop acting as the owner
     */
    virtual bool resolve() = 0;

    /** Replaces everything written so far by @p state. Throws as append() does; resolve() also settles a snapshot. */
    virtual void snapshot(std::string_view state) = 0;

    virtual bool snapshotDue() const = 0;          ///< becomes true well before the ring is full
    virtual std::size_t maxBatchBytes() const = 0; ///< limit of the sum of record sizes in one append()
    virtual std::uint64_t epoch() const = 0;       ///< 0 before takeOver() and after Fenced
};

} // namespace QuetzalRock
