/**
 * What members tell each other about themselves.
 *
 * Index of this file
 *   MemberInfo    who a member is
 *   ShardClaim    a shard that a member owns, as far as it knows
 *   Heartbeat     one message; its JSON
 */
#pragma once

#include <base/clock.h>
#include <base/errors.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

/** One entry VM's process. */
struct MemberInfo
{
    std::string name; ///< unique; the VM's name in the platform's list
    std::string region;
    std::string failureDomain;
    std::string address;           ///< "ip:port" of its PeerServer
    std::uint64_t incarnation = 0; ///< start time in ms since the Unix epoch; a restart under the same name is higher
    bool leaving = false;          ///< shutting down: live, but takes no shard

    bool operator==(const MemberInfo &) const = default;
};

struct ShardClaim
{
    std::string shard;
    std::uint64_t epoch = 0; ///< of the shard's journal; the higher of two claims is the true one

    bool operator==(const ShardClaim &) const = default;
};

/** What a member has heard directly from another. */
struct HeardMember
{
    std::string name;
    std::uint64_t incarnation = 0;
    Duration age{};            ///< since it was heard
    Duration platformOutage{}; ///< as it said itself
    std::vector<ShardClaim> claims;
};

struct Heartbeat
{
    MemberInfo from;
    Duration platformOutage{};      ///< for how long the sender's calls to the platform's service have failed
    std::string note;               ///< of a package above, such as the version of the settings; opaque here
    std::vector<ShardClaim> claims; ///< empty towards other failure domains
    std::vector<HeardMember> heard; ///< empty towards other failure domains
};

std::string encodeHeartbeat(const Heartbeat &heartbeat);
Heartbeat decodeHeartbeat(std::string_view json); ///< throws InvalidArgument

std::string encodeMember(const MemberInfo &member);
MemberInfo decodeMember(std::string_view json); ///< throws InvalidArgument

} // namespace QuetzalRock
