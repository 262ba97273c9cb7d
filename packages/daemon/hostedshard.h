/** A shard that this process can own: the scheduler's, or one of claims. */
#pragma once

#include <cstdint>
#include <string>

namespace QuetzalRock {

class HostedShard
{
public:
    virtual ~HostedShard() = default;

    virtual const std::string &shardName() const = 0; ///< also the name of its journal

    /** Takes the journal over and starts working. Returns the epoch. Throws any Error, and is then as before. */
    virtual std::uint64_t acquire() = 0;

    virtual void release() = 0; ///< ends the work; whatever is durable stays for the next owner. Idempotent
    virtual std::uint64_t fencedEpoch() const = 0; ///< of a tenure that another owner has ended; 0: none
};

} // namespace QuetzalRock
