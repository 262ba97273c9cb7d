/**
 * Prints the cost of a peer call, and of the heartbeats among the members of one failure domain.
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

constexpr int WarmUpCalls = 200;
constexpr int MeasuredCalls = 5000;

void measureCalls(SystemClock &clock, std::size_t bodyBytes)
{
    PeerAuth auth({"bench", {{"bench", "0123456789abcdef0123456789abcdef"}}}, clock);
    PeerRouter router;
    router.on("echo", [](const PeerCall &call) { return std::string(call.body); });
    PeerServer server(auth, router, {});
    PeerClient client(auth);
    const std::string body(bodyBytes, 'x');
    std::vector<double> latenciesUs;
    double cpu = 0;
    for (int i = 0; i < WarmUpCalls + MeasuredCalls; ++i) {
        if (i == WarmUpCalls) {
            cpu = cpuSeconds();
        }
        const TimePoint start = clock.now();
        client.call(server.address(), "echo", body, std::chrono::seconds(5));
        if (i >= WarmUpCalls) {
            latenciesUs.push_back(static_cast<double>((clock.now() - start).count()));
        }
    }
    cpu = cpuSeconds() - cpu;
    std::sort(latenciesUs.begin(), latenciesUs.end());
    std::printf("call, body %6zu B: median %.0f us, p99 %.0f us, CPU of client and server %.0f us, HTTP body in %.0f "
                "B, out %.0f B\n",
                bodyBytes,
                latenciesUs[latenciesUs.size() / 2],
                latenciesUs[latenciesUs.size() * 99 / 100],
                cpu * 1e6 / MeasuredCalls,
                static_cast<double>(server.counters().bytesIn) / (WarmUpCalls + MeasuredCalls),
                static_cast<double>(server.counters().bytesOut) / (WarmUpCalls + MeasuredCalls));
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
    const auto sumOverMembers = [&](auto value) {
        std::uint64_t n = 0;
        for (const auto &it : members) {
            n += value(*it);
        }
        return static_cast<double>(n);
    };
    const auto calls
        = [&] { return sumOverMembers([](const Member &it) { return it.server->counters().calls.load(); }); };
    const auto bytes = [&] { return sumOverMembers([](const Member &it) { return it.transferredBytes(); }); };
    const double callsBefore = calls();
    const double bytesBefore = bytes();
    const KeyValueCounters platformBefore = service.counters();
    const double cpuBefore = cpuSeconds();
    const TimePoint start = clock.now();
    clock.sleepFor(std::chrono::seconds(seconds));
    const double elapsed = static_cast<double>((clock.now() - start).count()) / 1e6;
    const double perMember = 1.0 / (elapsed * count);
    const KeyValueCounters platform = service.counters();
    // The servers count each byte once. It is sent by one member and received by another, hence the factor of 2.
    std::printf(
        "heartbeats, %d members, %.0f s: per member %.2f calls/s, %.2f kB/s sent and received, %.3f %% of a core, "
        "%.3f platform reads/s, %.3f platform writes/s\n",
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
