#include <peer/fakepeers.h>

#include <algorithm>
#include <utility>

namespace QuetzalRock {

namespace {

std::pair<std::string, std::string> linkBetween(const std::string &a, const std::string &b)
{
    return {std::min(a, b), std::max(a, b)};
}

bool decrementIfPositive(std::map<std::string, int> &counters, const std::string &address)
{
    const auto it = counters.find(address);
    if (it == counters.end() || it->second <= 0) {
        return false;
    }
    --it->second;
    return true;
}

} // namespace

void FakePeers::attach(const std::string &address, const PeerRouter *router)
{
    m_routers[address] = router;
}

void FakePeers::cut(const std::string &a, const std::string &b)
{
    m_cuts.insert(linkBetween(a, b));
}

void FakePeers::heal(const std::string &a, const std::string &b)
{
    m_cuts.erase(linkBetween(a, b));
}

void FakePeers::healAll()
{
    m_cuts.clear();
}

std::uint64_t FakePeers::callCount() const
{
    return m_calls;
}

std::string
FakePeers::call(const std::string &from, std::string_view to, std::string_view method, std::string_view json)
{
    const std::string address(to);
    ++m_calls;
    if (m_cuts.contains(linkBetween(from, address)) || decrementIfPositive(loseCalls, address)) {
        throw OutcomeUnknown("no answer from " + address);
    }
    if (delayCalls) {
        m_delayed.push_back({from, address, std::string(method), std::string(json)});
        throw OutcomeUnknown("no answer yet from " + address);
    }
    std::string answer = deliver(from, address, method, json);
    if (duplicateCalls) {
        deliver(from, address, method, json);
    }
    if (decrementIfPositive(loseAnswers, address)) {
        throw OutcomeUnknown("answer lost from " + address);
    }
    return answer;
}

void FakePeers::deliverDelayed()
{
    const std::vector<DelayedCall> calls = std::exchange(m_delayed, {});
    for (auto it = calls.rbegin(); it != calls.rend(); ++it) {
        try {
            deliver(it->from, it->to, it->method, it->json);
        } catch (const Error &) {
            // The caller got OutcomeUnknown when the call was delayed.
        }
    }
}

std::string
FakePeers::deliver(const std::string &from, const std::string &to, std::string_view method, std::string_view json)
{
    const auto it = m_routers.find(to);
    if (it == m_routers.end() || !it->second) {
        throw Unavailable("no peer listens at " + to);
    }
    return it->second->dispatch({from, method, json});
}

FakeTransport::FakeTransport(FakePeers &peers, std::string self)
    : m_peers(peers)
    , m_self(std::move(self))
{
}

std::string FakeTransport::call(std::string_view address, std::string_view method, std::string_view json, Duration)
{
    return m_peers.call(m_self, address, method, json);
}

} // namespace QuetzalRock
