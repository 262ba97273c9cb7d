/**
 * Prints the cost of a peer call, and of the heartbeats of one failure domain.
 *
 *   benchpeers [members] [seconds]
 */
#include "members.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace QuetzalRock;
using namespace QuetzalRock::Bench;

namespace {

constexpr int WarmUp = 200;
constexpr int Calls = 5000;

void measureCalls(SystemClock &clock, std::size_t bodyBytes)
{
    PeerAuth auth({"bench", {{"bench", "0123456789abcdef0123456789abcdef"}}}, clock);
    PeerRouter router;
    router.on("echo", [](const PeerCall &call) { return std::string(call.body); });
    PeerServer server(auth, router, {});
    PeerClient client(auth);
    const std::string body(bodyBytes, 'x');
    std::vector<double> micros;
    double cpu = 0;
    for (int i = 0; i < WarmUp + Calls; ++i) {
        if (i == WarmUp) {
            cpu = cpuSeconds();
        }
        const TimePoint start = clock.now();
        client.call(server.address(), "echo", body, std::chrono::seconds(5));
        if (i >= WarmUp) {
            micros.push_back(static_cast<double>((clock.now() - start).count()));
        }
    }
    cpu = cpuSeconds() - cpu;
    std::sort(micros.begin(), micros.end());
    std::printf(
        "call, body %6zu B: median %.0f us, p99 %.0f us, CPU of both ends %.0f us, HTTP body in %.0f B out %.0f B\n",
        bodyBytes,
        micros[micros.size() / 2],
        micros[micros.size() * 99 / 100],
        cpu * 1e6 / Calls,
        static_cast<double>(server.counters().bytesIn) / (WarmUp + Calls),
        static_cast<double>(server.counters().bytesOut) / (WarmUp + Calls));
}

void measureHeartbeats(SystemClock &clock, int count, int seconds)
{
    EmbeddedKeyValue service(clock);
    std::vector<std::unique_ptr<Member>> members;
    for (int i = 0; i < count; ++i) {
        members.push_back(std::make_unique<Member>("member-" + std::to_string(i), "muuga", service, clock));
        members.back()->start([](Member &) {});
        members.back()->membership->setClaims({{"rack-group-" + std::to_string(i), 12}});
    }
    clock.sleepFor(std::chrono::seconds(5));
    const auto total = [&](auto what) {
        std::uint64_t n = 0;
        for (const auto &it : members) {
            n += what(*it);
        }
        return static_cast<double>(n);
    };
    const auto calls = [&] { return total([](const Member &it) { return it.server->counters().calls.load(); }); };
    const auto bytes = [&] { return total([](const Member &it) { return it.bytes(); }); };
    const double callsBefore = calls();
    const double bytesBefore = bytes();
    const KeyValueCounters platformBefore = service.counters();
    const double cpuBefore = cpuSeconds();
    const TimePoint start = clock.now();
    clock.sleepFor(std::chrono::seconds(seconds));
    const double elapsed = static_cast<double>((clock.now() - start).count()) / 1e6;
    const double perMember = 1.0 / (elapsed * count);
    const KeyValueCounters platform = service.counters();
    // Each byte is sent by one member and received by another.
    std::printf(
        "heartbeats, %d members, %.0f s: a member makes %.2f calls/s, sends and receives %.2f kB/s, takes %.3f %% "
        "of a core; platform: %.3f reads/s, %.3f writes/s a member\n",
        count,
        elapsed,
        (calls() - callsBefore) * perMember,
        2 * (bytes() - bytesBefore) * perMember / 1e3,
        (cpuSeconds() - cpuBefore) * perMember * 100,
        static_cast<double>(platform.reads - platformBefore.reads) * perMember,
        static_cast<double>(platform.writes - platformBefore.writes) * perMember);
    for (const auto &it : members) {
        it->stop();
    }
}

} // namespace

int main(int argc, char **argv)
{
    const int members = argc > 1 ? std::atoi(argv[1]) : 8;
    const int seconds = argc > 2 ? std::atoi(argv[2]) : 20;
    SystemClock clock;
    for (const std::size_t bytes : {std::size_t(100), std::size_t(1000), std::size_t(100'000)}) {
        measureCalls(clock, bytes);
    }
    measureHeartbeats(clock, members, seconds);
    return 0;
}
