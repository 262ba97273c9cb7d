/**
 * Workers whose leases no leader extends: how long a new leader waits for a worker that it cannot read does not begin anew
 * with each leader.
 *
 * Index of this file
 *   WithheldLease     a worker that is silent, as the leader has stored it
 *   WithheldLeases    a node's view of one shard's list, with the times at which it learned of each entry
 *
 * A leader that gets no reply from a worker lists it under ctl/board/withheld/N, and from then on sends it nothing that
 * extends its lease or starts a task, until the worker replies and is off the list again. Each later leader reads the list
 * before its first order and is bound by it in the same way. So the lease has expired once its length has passed since any
 * node learned of the entry, however many leaders there were in between. A restart may begin a lease after that, see
 * KnownWorker::settledStartedAtMs, so the entry of a worker that is not settled counts for the incarnation that it names only.
 */
#pragma once

#include <workflow/ports.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock::Workflow {

struct WithheldLease
{
    WorkerId worker;
    std::uint64_t number = 0;     ///< tells apart two entries of the same worker; unique among all leaders of the shard
    std::int64_t startedAtMs = 0; ///< start time of the incarnation that was silent; 0: not known

    bool operator==(const WithheldLease &) const = default;
};

class WithheldLeases
{
public:
    /** Takes the current list. @p now is when this node learned of it. */
    void update(const std::vector<WithheldLease> &leases, TimePoint now);

    /** When this node learned of the entry, none if it has not. */
    std::optional<TimePoint> learnedAt(const WithheldLease &lease) const;

private:
    struct Entry
    {
        std::uint64_t number = 0;
        TimePoint learnedAt;
    };
    std::map<WorkerId, Entry> m_entries;
};

std::string encodeWithheldLeases(const std::vector<WithheldLease> &leases);

/** Throws InvalidArgument for an unreadable record. */
std::vector<WithheldLease> decodeWithheldLeases(std::string_view bytes);

} // namespace QuetzalRock::Workflow
