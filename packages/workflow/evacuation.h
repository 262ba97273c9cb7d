/**
 * Evacuation of failure domains: while an operator requests it, nothing is started on the workers of a domain.
 *
 * A request is a key under RecordDecoder::evacuationPrefix() in the store; the rest of the key names the domain. It is in
 * force while the key exists. Each node knows the requests from its mirror of the operator's keys. A leader may start a
 * task only while it knows the requests from a time that the store has confirmed lately, so that the start has taken
 * effect, or is void, before a request that it does not know yet has to be in force.
 *
 * Index of this file
 *   EvacuationSettings   how soon a request has to be in force
 *   EvacuationRequests   what a node knows of the requests; decides where tasks may be started
 *   availableShards()    the shards to which new work goes
 */
#pragma once

#include <workflow/election.h>
#include <workflow/shards.h>

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace QuetzalRock::Workflow {

struct EvacuationSettings
{
    Duration startBound{};         ///< after a request no task starts in the domain later than this; zero: no
                                   ///< evacuations, requests are ignored
    Duration unstableStoreExtra{}; ///< how much later it may be while the store does not answer a node

    bool isEnabled() const
    {
        return startBound > Duration::zero();
    }
    /** Validity of start orders: @p wanted, but at most half of startBound, which leaves time to learn of a request. */
    Duration orderValidity(Duration wanted) const;
};

class EvacuationRequests
{
public:
    /** @p orderValidity is the time in which a start order takes effect once it has been sent. */
    EvacuationRequests(const EvacuationSettings &settings, Duration orderValidity);

    bool isEnabled() const;

    /** The request for @p domain exists, or no longer exists, as of a store revision. Older news is ignored. */
    void set(std::string_view domain, std::uint64_t revision);
    void remove(std::string_view domain, std::uint64_t revision);

    /** As of @p revision there are no requests but those for @p domains. */
    void endAllBut(std::span<const std::string> domains, std::uint64_t revision);

    /** All changes before @p at are known. */
    void confirm(TimePoint at);

    bool isRequested(std::string_view domain) const;
    std::vector<std::string> domains() const; ///< with a request in force, sorted

    /** Whether the requests are known from a time late enough for starts anywhere. */
    bool isConfirmed(TimePoint now, Authority authority) const;

    /** Whether a task may be started on a worker of @p domain. */
    bool mayStart(std::string_view domain, TimePoint now, Authority authority) const;

private:
    struct Request
    {
        std::uint64_t revision = 0; ///< of the last change
        bool isInForce = false;
    };

    EvacuationSettings m_settings;
    Duration m_maxAge{}; ///< of the knowledge on which a start rests, while the store answers
    TimePoint m_confirmedAt{};
    std::map<std::string, Request, std::less<>> m_requests; ///< by failure domain, also those that have ended
};

/**
 * Returns @p map without the capacity of the shards whose failure domain is evacuated, so that no new work goes there;
 * @p map itself if that would leave none.
 */
ShardMap availableShards(const ShardMap &map, const EvacuationRequests &requests);

} // namespace QuetzalRock::Workflow
