/**
 * Peers in one process, for tests: calls go straight to the other's router, through faults that a test switches on.
 *
 * Index of this file
 *   FakePeers       the network: who answers at which address, what is cut, lost, delayed or repeated
 *   FakeTransport   one member's way into it
 */
#pragma once

#include <peer/peer.h>

#include <set>

namespace QuetzalRock {

/** One thread drives it. Calls are synchronous and take no time. */
class FakePeers
{
public:
    std::map<std::string, int> loseCalls;   ///< address -> so many next calls to it do not arrive: OutcomeUnknown
    std::map<std::string, int> loseAnswers; ///< address -> so many next calls to it run, then OutcomeUnknown
    bool repeat = false;                    ///< every call is delivered twice; the first answer counts
    bool delay = false;                     ///< calls wait for deliverDelayed(), the caller gets OutcomeUnknown

    void attach(const std::string &address, const PeerRouter *router); ///< nullptr: nobody listens there any more
    void cut(const std::string &a, const std::string &b);              ///< both ways; calls throw OutcomeUnknown
    void heal(const std::string &a, const std::string &b);
    void healAll();

    /** Delivers the calls that were delayed, the youngest first. */
    void deliverDelayed();

    std::uint64_t callCount() const;

    std::string call(const std::string &from, std::string_view to, std::string_view method, std::string_view json);

private:
    struct Delayed
    {
        std::string from;
        std::string to;
        std::string method;
        std::string json;
    };

    std::string deliver(const std::string &from, const std::string &to, std::string_view method, std::string_view json);

    std::map<std::string, const PeerRouter *> m_routers;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::vector<Delayed> m_delayed;
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
