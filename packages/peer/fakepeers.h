/**
 * Simulated network for tests: calls are dispatched to the router of the called peer in the same process, with
 * injected faults.
 *
 * Index of this file
 *   FakePeers       the network: routers by address, partitions, lost, delayed and duplicated calls
 *   FakeTransport   PeerTransport of one member of the network
 */
#pragma once

#include <peer/peer.h>

#include <set>

namespace QuetzalRock {

/** Not thread-safe. Calls are synchronous and take no time of the test's clock. */
class FakePeers
{
public:
    std::map<std::string, int> loseCalls;   ///< address -> number of next calls that are not delivered: OutcomeUnknown
    std::map<std::string, int> loseAnswers; ///< address -> number of next calls that run, then OutcomeUnknown
    bool duplicateCalls = false;            ///< delivers every call twice and returns the first answer
    bool delayCalls = false;                ///< holds calls until deliverDelayed(); the caller gets OutcomeUnknown

    void attach(const std::string &address, const PeerRouter *router); ///< nullptr: calls throw Unavailable
    void cut(const std::string &a, const std::string &b); ///< in both directions; calls throw OutcomeUnknown
    void heal(const std::string &a, const std::string &b);
    void healAll();

    /** Delivers the delayed calls, the most recent first. */
    void deliverDelayed();

    std::uint64_t callCount() const;

    std::string call(const std::string &from, std::string_view to, std::string_view method, std::string_view json);

private:
    struct DelayedCall
    {
        std::string from;
        std::string to;
        std::string method;
        std::string json;
    };

    std::string deliver(const std::string &from, const std::string &to, std::string_view method, std::string_view json);

    std::map<std::string, const PeerRouter *> m_routers;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::vector<DelayedCall> m_delayed;
    std::uint64_t m_calls = 0;
};

class FakeTransport final : public PeerTransport
{
public:
    FakeTransport(FakePeers &peers, std::string self);

    std::string
    call(std::string_view address, std::string_view method, std::string_view json, Duration timeout) override;

private:
    FakePeers &m_peers;
    std::string m_self;
};

} // namespace QuetzalRock
