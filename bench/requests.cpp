/**
 * The request path over real sockets on 127.0.0.1, with stand-in instances in the same process.
 *
 *   benchrequests added [calls]       latency through the path against going straight, one caller
 *   benchrequests throughput          requests/s at 64 callers, and processor time of the path and front for a request
 *   benchrequests connections [n]     memory for each 1,000 open callers' connections
 *   benchrequests faults [bookings]   bookings under faults; fails where one ran twice or a not_run did run
 *   benchrequests claims [claims]     claims over a log that answers at once: processor time, batches, bytes, memory
 */
#include "../packages/requests/tests/pathrig.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>

#include <arpa/inet.h>
#include <dirent.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace QuetzalRock;
using namespace QuetzalRock::Test;

namespace {

using WallClock = std::chrono::steady_clock;

double micros(WallClock::duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

double percentile(std::vector<double> &values, double share)
{
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

double residentMib()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

/** Processor time so far of the threads of this process with the name @p name. */
double threadSeconds(const std::string &name)
{
    double seconds = 0;
    DIR *dir = opendir("/proc/self/task");
    while (const dirent *entry = readdir(dir)) {
        const std::string path = std::string("/proc/self/task/") + entry->d_name;
        std::string comm;
        std::ifstream(path + "/comm") >> comm;
        double nanoseconds = 0;
        std::ifstream(path + "/schedstat") >> nanoseconds;
        seconds += comm == name ? nanoseconds / 1e9 : 0;
    }
    closedir(dir);
    return seconds;
}

// ---------------------------------------------------------------------------------------------------------------------

std::vector<double> timeCalls(std::uint16_t port, int calls)
{
    HttpCaller caller(port);
    std::vector<double> times;
    for (int i = -calls / 10; i < calls; ++i) {
        const auto from = WallClock::now();
        const HttpReply reply = caller.call({"GET", "/lookup/berth", {"Connection: keep-alive"}, ""});
        if (reply.status != 200) {
            std::printf("status %d\n", reply.status);
            std::exit(1);
        }
        if (i >= 0) {
            times.push_back(micros(WallClock::now() - from));
        }
    }
    return times;
}

void measureAdded(int calls)
{
    PathRig rig(4);
    const std::string address = rig.upstreams[0]->address();
    const auto straightPort = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    for (int round = 0; round < 3; ++round) {
        std::vector<double> straight = timeCalls(straightPort, calls);
        std::vector<double> through = timeCalls(rig.front.port(), calls);
        for (const double it : {0.5, 0.99, 0.999}) {
            const double a = percentile(straight, it);
            const double b = percentile(through, it);
            std::printf("p%-5g straight %7.1f us  through %7.1f us  added %7.1f us\n", it * 100, a, b, b - a);
        }
    }
}

void measureThroughput()
{
    constexpr int Callers = 64;
    constexpr int CallsEach = 2000;
    PathRig rig(8);
    std::vector<std::thread> callers;
    callers.reserve(Callers);
    const double path = threadSeconds("path");
    const double front = threadSeconds("front");
    const auto from = WallClock::now();
    std::atomic<int> bad = 0;
    for (int i = 0; i < Callers; ++i) {
        callers.emplace_back([&] {
            HttpCaller caller(rig.front.port());
            for (int n = 0; n < CallsEach; ++n) {
                bad += caller.call({"GET", "/lookup/berth", {"Connection: keep-alive"}, ""}).status == 200 ? 0 : 1;
            }
        });
    }
    for (auto &it : callers) {
        it.join();
    }
    const double seconds = micros(WallClock::now() - from) / 1e6;
    const int calls = Callers * CallsEach;
    const double pathUs = (threadSeconds("path") - path) / calls * 1e6;
    const double frontUs = (threadSeconds("front") - front) / calls * 1e6;
    std::printf("%.0f requests/s with callers and instances on the same machine, %d not answered\n",
                calls / seconds,
                bad.load());
    std::printf("processor time a request: path %.1f us, front %.1f us: %.0f requests/s per core\n",
                pathUs,
                frontUs,
                1e6 / (pathUs + frontUs));
}

void measureConnections(int count)
{
    PathRig rig(1);
    const double before = residentMib();
    std::vector<int> sockets;
    const std::string request = "GET /lookup/berth HTTP/1.1\r\nHost: x\r\nConnection: keep-alive\r\n\r\n";
    for (int i = 0; i < count; ++i) {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(rig.front.port());
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (fd < 0 || ::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            std::printf("stopped at %d connections\n", i);
            break;
        }
        sockets.push_back(fd);
        char buf[2048];
        if (::send(fd, request.data(), request.size(), 0) < 0 || ::recv(fd, buf, sizeof buf, 0) <= 0) {
            std::printf("no answer on connection %d\n", i);
            break;
        }
    }
    const double after = residentMib();
    std::printf("%zu connections: %.1f MiB, %.2f MiB for each 1,000\n",
                sockets.size(),
                after - before,
                (after - before) * 1000 / static_cast<double>(sockets.size()));
    for (const int it : sockets) {
        ::close(it);
    }
}

// ---------------------------------------------------------------------------------------------------------------------

struct FaultTotals
{
    std::atomic<int> answered = 0;
    std::atomic<int> notRun = 0;
    std::atomic<int> unknown = 0;
    std::atomic<int> other = 0;
    std::atomic<int> notRunThatRan = 0;
    std::atomic<int> foreignAnswers = 0;
    std::mutex mutex;                  ///< guards the two below
    std::vector<std::string> refused;  ///< every reply was not_run: must never have run, then or later
    std::vector<std::string> executed; ///< answered: must have run once
};

void bookUnderFaults(PathRig &rig, int caller, int bookings, FaultTotals &totals)
{
    HttpCaller http(rig.front.port());
    for (int i = 0; i < bookings; ++i) {
        const std::string id = std::to_string(caller) + "-" + std::to_string(i);
        std::vector<std::string> headers{"Booking-Id: " + id, "Quetzalrock-Deadline-Ms: 200", "Connection: keep-alive"};
        const bool keyed = i % 2 == 0;
        bool onlyRefused = true;
        bool isAnswered = false;
        if (keyed) {
            headers.push_back("Idempotency-Key: " + id);
        }
        for (int attempt = 0; attempt < 3; ++attempt) {
            const HttpReply reply = http.call({"POST", "/book", headers, "hold"});
            const bool isNotRun = reply.hasHead("Quetzalrock-Outcome: not_run");
            const bool isUnknown = reply.hasHead("Quetzalrock-Outcome: outcome_unknown");
            onlyRefused = onlyRefused && isNotRun;
            isAnswered = isAnswered || reply.status == 200;
            totals.answered += reply.status == 200 ? 1 : 0;
            totals.notRun += isNotRun ? 1 : 0;
            totals.unknown += isUnknown ? 1 : 0;
            totals.other += reply.status != 200 && !isNotRun && !isUnknown ? 1 : 0;
            totals.notRunThatRan += isNotRun && rig.ledger.count(id) > 0 ? 1 : 0;
            totals.foreignAnswers += reply.status == 200 && reply.body != id + " /book hold" ? 1 : 0;
            if (!isNotRun && !(keyed && isUnknown)) {
                break; // an unknown outcome is asked for again under its key: it must not run again
            }
        }
        std::lock_guard guard(totals.mutex);
        if (onlyRefused) {
            totals.refused.push_back(id);
        } else if (isAnswered) {
            totals.executed.push_back(id);
        }
    }
}

/** Changes the faults of instances and of the log of claims until told to stop. */
void stirFaults(PathRig &rig, const std::atomic<bool> &ended)
{
    constexpr UpstreamFault Faults[] = {UpstreamFault::None,
                                        UpstreamFault::Error,
                                        UpstreamFault::Reject,
                                        UpstreamFault::CloseWithoutResponse,
                                        UpstreamFault::CloseMidResponse,
                                        UpstreamFault::CloseMidChunk,
                                        UpstreamFault::CloseWithoutLength,
                                        UpstreamFault::NeverRespond,
                                        UpstreamFault::HoldResponse,
                                        UpstreamFault::None};
    std::mt19937_64 random(20261203);
    while (!ended) {
        auto &upstream = rig.upstreams[random() % rig.upstreams.size()];
        upstream->setFault(Faults[random() % std::size(Faults)], 5 + static_cast<int>(random() % 60));
        upstream->releaseHeldResponses();
        rig.log.loseAnswers = random() % 4 == 0 ? 2 : 0;
        rig.log.loseWrites = random() % 4 == 0 ? 2 : 0;
        rig.log.down = random() % 10 == 0;
        std::vector<UpstreamInstance> list = rig.instances();
        list[random() % list.size()].leaving = true;
        list[random() % list.size()].address = random() % 3 == 0 ? "127.0.0.1:1" : list[0].address;
        rig.path.setUpstreams(list);
        rig.clock.sleepFor(20ms);
    }
}

int measureFaults(int bookings)
{
    constexpr int Callers = 24;
    RequestSettings settings = pathSettings();
    settings.claimRetry = 5ms;
    PathRig rig(8, settings);
    FaultTotals totals;
    std::atomic<bool> ended = false;
    std::thread stirrer([&] { stirFaults(rig, ended); });
    std::vector<std::thread> callers;
    callers.reserve(Callers);
    const auto from = WallClock::now();
    for (int i = 0; i < Callers; ++i) {
        callers.emplace_back([&, i] { bookUnderFaults(rig, i, (bookings + Callers - 1) / Callers, totals); });
    }
    for (auto &it : callers) {
        it.join();
    }
    ended = true;
    stirrer.join();
    std::printf("%zu bookings ran in %.0f s; most runs of one booking: %d\n",
                rig.ledger.bookings(),
                micros(WallClock::now() - from) / 1e6,
                rig.ledger.highestCount());
    std::printf("replies: %d answered, %d not_run, %d outcome_unknown, %d other\n",
                totals.answered.load(),
                totals.notRun.load(),
                totals.unknown.load(),
                totals.other.load());
    std::printf("not_run that had run: %d; answers to somebody else's request: %d\n",
                totals.notRunThatRan.load(),
                totals.foreignAnswers.load());
    const TransportCounters &transport = rig.path.transportCounters();
    std::printf("second sends stopped: %llu; unproven connections avoided: %llu; cut short: %llu\n",
                static_cast<unsigned long long>(transport.resendsPrevented),
                static_cast<unsigned long long>(transport.unprovenAvoided),
                static_cast<unsigned long long>(transport.cutShort));
    int lateRuns = 0;
    for (const std::string &it : totals.refused) {
        lateRuns += rig.ledger.count(it);
    }
    int notOnce = 0;
    for (const std::string &it : totals.executed) {
        notOnce += rig.ledger.count(it) == 1 ? 0 : 1;
    }
    std::printf("%zu bookings refused for good, of which ran: %d; %zu answered, of which did not run once: %d\n",
                totals.refused.size(),
                lateRuns,
                totals.executed.size(),
                notOnce);
    const bool good = lateRuns == 0 && notOnce == 0 && rig.ledger.highestCount() <= 1 && totals.notRunThatRan == 0
                      && totals.foreignAnswers == 0;
    std::puts(good ? "held" : "VIOLATED");
    return good ? 0 : 1;
}

// ---------------------------------------------------------------------------------------------------------------------

void measureClaims(int count)
{
    RequestSettings settings;
    settings.maxClaims = static_cast<std::size_t>(count) + 1;
    SystemClock clock;
    auto store = std::make_shared<FakeLog::Store>();
    FakeLog log(store);
    LocalClaims claims(settings, clock, log);
    claims.start();
    eventually([&] { return claims.isOwner(); });
    const double before = residentMib();
    CallerResponse answer;
    answer.body = std::string(200, 'x');
    std::atomic<int> granted = 0;
    std::mt19937_64 random(20261203);
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    const double cpuBefore
        = static_cast<double>(used.ru_utime.tv_sec) + static_cast<double>(used.ru_utime.tv_usec) / 1e6;
    for (int i = 0; i < count; ++i) {
        const std::string key = claimKey("farm", "6f1c1f0e-0000-4000-8000-" + std::to_string(100000000000 + i));
        const std::uint64_t claimant = random();
        claims.claim({key, random(), claimant}, [&, key, claimant](const ClaimReply &) {
            claims.end({key, claimant, ClaimEndKind::Answered, answer});
            ++granted;
        });
    }
    eventually([&] { return granted == count && claims.counters().running == 0; });
    getrusage(RUSAGE_SELF, &used);
    const double cpu = static_cast<double>(used.ru_utime.tv_sec) + static_cast<double>(used.ru_utime.tv_usec) / 1e6;
    claims.stop();
    std::size_t bytes = 0;
    for (const std::string &it : store->records) {
        bytes += it.size();
    }
    const double after = residentMib() - static_cast<double>(bytes) / (1 << 20);
    ClaimTable table(settings);
    table.restore("", store->records, clock.now());
    std::printf("%d claims: %.2f us processor time each, %llu batches, %zu bytes a claim and its end in the log,"
                " %.0f bytes of memory each, snapshot %zu bytes\n",
                count,
                (cpu - cpuBefore) * 1e6 / count,
                static_cast<unsigned long long>(claims.counters().batches),
                bytes / static_cast<std::size_t>(count),
                (after - before) * (1 << 20) / count,
                table.snapshot().size());
}

} // namespace

int main(int argc, char **argv)
{
    const std::string mode = argc > 1 ? argv[1] : "";
    const int count = argc > 2 ? std::atoi(argv[2]) : 0;
    if (mode == "added") {
        measureAdded(count > 0 ? count : 20000);
    } else if (mode == "throughput") {
        measureThroughput();
    } else if (mode == "connections") {
        measureConnections(count > 0 ? count : 4000);
    } else if (mode == "faults") {
        return measureFaults(count > 0 ? count : 200'000);
    } else if (mode == "claims") {
        measureClaims(count > 0 ? count : 20'000);
    } else {
        std::puts("benchrequests added|throughput|connections|faults|claims [count]");
        return 2;
    }
    return 0;
}
