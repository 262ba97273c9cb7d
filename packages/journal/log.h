/**
 * The durable log of one owner, as its users see it. Journal implements it over the key-value service; MemoryLog is the
 * fake for tests of whatever stands on a log.
 *
 * Index of this file
 *   Replay          what a new owner reads back
 *   Log             append, resolve, snapshot, take over
 *   Fenced          another owner has taken over
 *   FencedInDoubt   the same, too long ago to tell whether the batch in doubt was written
 *
 * Use
 *   Replay replay = log.takeOver();          // rebuild the state from replay.snapshot, then replay.records in order
 *   log.append(records);                     // durable when it returns; act only now
 *   if (log.snapshotDue()) log.snapshot(s);  // before the ring wraps
 *
 * One thread drives a log. Records are opaque bytes; whoever writes them gives them versions.
 */
#pragma once

#include <base/errors.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

/** What is durable at the moment of a takeover. */
struct Replay
{
    std::uint64_t epoch = 0;          ///< of this owner; above that of every owner before it
    std::string snapshot;             ///< as last given to Log::snapshot(); empty where there is none
    std::vector<std::string> records; ///< appended after the snapshot, oldest first
};

/** Another owner has taken over. This one must stand down: nothing that it had in hand was written. */
class Fenced : public Error
{
public:
    explicit Fenced(const std::string &message)
        : Error(ErrorCode::Conflict, message)
    {
    }
};

/**
 * From resolve() only: another owner has taken over, and so long ago that the slot of the batch in doubt has been used
 * again. This one must stand down too, and must not report the batch as not written. epoch() is 0 afterwards.
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

    /** Becomes the owner and fences off the one before. Throws Unavailable where the service cannot be reached. */
    virtual Replay takeOver() = 0;

    /**
     * Appends @p records as one batch: all or nothing. Throws
     *   Unavailable     nothing was written; try again later
     *   OutcomeUnknown  call resolve() until it answers, before anything else
     *   Fenced          stand down
     */
    virtual void append(std::span<const std::string> records) = 0;

    /**
     * After OutcomeUnknown: true where the batch (or snapshot) in doubt was written, false where it never will be. Throws
     *   OutcomeUnknown  still in doubt: call again later
     *   Fenced          it was not written; stand down
     *   FencedInDoubt   nobody can tell; stand down
     */
    virtual bool resolve() = 0;

    /** Replaces everything up to now by @p state. Throws as append() does; on OutcomeUnknown resolve() settles it too. */
    virtual void snapshot(std::string_view state) = 0;

    virtual bool snapshotDue() const = 0;          ///< true well before the ring would wrap
    virtual std::size_t maxBatchBytes() const = 0; ///< the sum of record sizes that one append() takes
    virtual std::uint64_t epoch() const = 0;       ///< 0 before takeOver() and after Fenced
};

} // namespace QuetzalRock
