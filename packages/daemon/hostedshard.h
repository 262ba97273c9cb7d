/** Interface of a shard that this process can own: the scheduler shard, or a shard of idempotency-key claims. */
#pragma once

#include <cstdint>
#include <string>

namespace QuetzalRock {

class HostedShard
{
public:
    virtual ~HostedShard() = default;

    virtual const std::string &shardName() const = 0; ///< also the name of its journal

    /** Takes over the journal and starts processing. Returns the epoch. If it throws an Error, the shard is not owned. */
    virtual std::uint64_t acquire() = 0;

    virtual void release() = 0; ///< stops processing; the journal stays for the next owner. Idempotent
    /** The epoch of this process's ownership if another owner has fenced it and it is not yet released; else 0. */
    virtual std::uint64_t fencedEpoch() const = 0;
};

} // namespace QuetzalRock
