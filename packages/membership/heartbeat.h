/**
 * The heartbeat message that members exchange, and its JSON encoding.
 *
 * Index of this file
 *   MemberInfo        identity and address of a member
 *   ShardClaim        a shard that a member believes to own
 *   HeardMember       report about a member that the sender has heard directly
 *   Heartbeat         one message
 *   encodeHeartbeat, decodeHeartbeat, encodeMember, decodeMember   JSON
 */
#pragma once

#include <base/clock.h>
#include <base/errors.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

/** The process on one entry VM. */
struct MemberInfo
{
    std::string name; ///< unique; the VM's name in the platform's list
    std::string region;
    std::string failureDomain;
    std::string address;           ///< "ip:port" of its PeerServer
    std::uint64_t incarnation = 0; ///< start time in ms since the Unix epoch; a restart under the same name is higher
    bool leaving = false;          ///< shutting down: still live, but must not be given shards

    bool operator==(const MemberInfo &) const = default;
};

struct ShardClaim
{
    std::string shard;
    std::uint64_t epoch = 0; ///< epoch of the shard's journal; of two claims, the one with the higher epoch is valid

    bool operator==(const ShardClaim &) const = default;
};

/** Indirect report: what the sender of a heartbeat has heard directly from another member. */
struct HeardMember
{
    std::string name;
    std::uint64_t incarnation = 0;
    Duration age{};            ///< time since the sender last heard this member
    Duration platformOutage{}; ///< as reported by this member itself
    std::vector<ShardClaim> claims;
};

struct Heartbeat
{
    MemberInfo from;
    Duration platformOutage{}; ///< how long the sender's calls to the platform's service have been failing; zero: none
    std::string note;          ///< opaque text set by a higher layer, such as the version of the settings
    std::vector<ShardClaim> claims; ///< empty in heartbeats to other failure domains
    std::vector<HeardMember> heard; ///< empty in heartbeats to other failure domains
};

std::string encodeHeartbeat(const Heartbeat &heartbeat);
Heartbeat decodeHeartbeat(std::string_view json); ///< throws InvalidArgument

std::string encodeMember(const MemberInfo &member);
MemberInfo decodeMember(std::string_view json); ///< throws InvalidArgument

} // namespace QuetzalRock
