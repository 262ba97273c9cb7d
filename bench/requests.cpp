/**
 * Measures the request path over real sockets on 127.0.0.1, with stand-in upstream instances in the same process.
 *
 *   benchrequests added [calls]       latency added by the path, compared with direct calls; one caller
 *   benchrequests throughput          requests/s with 64 callers, and processor time of path and front per request
 *   benchrequests connections [n]     memory per 1,000 open connections of callers
 *   benchrequests faults [bookings]   bookings under injected faults; exits with 1 if a booking ran twice, ran although
 *                                     its outcome was not_run, was answered without having run, or got a wrong answer
 *   benchrequests claims [claims]     claims on an in-memory log: processor time, batches, bytes, memory
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

using SteadyClock = std::chrono::steady_clock;

double micros(SteadyClock::duration duration)
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

/** Processor seconds used so far by the threads of this process that are called @p name. */
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

/** Latency in us of each call, after a warm-up of a tenth as many calls. */
std::vector<double> timeCalls(std::uint16_t port, int calls)
{
    HttpCaller caller(port);
    std::vector<double> latenciesUs;
    for (int i = -calls / 10; i < calls; ++i) {
        const auto start = SteadyClock::now();
        const HttpReply reply = caller.call({"GET", "/lookup/berth", {"Connection: keep-alive"}, ""});
        if (reply.status != 200) {
            std::printf("unexpected HTTP status %d\n", reply.status);
            std::exit(1);
        }
        if (i >= 0) {
            latenciesUs.push_back(micros(SteadyClock::now() - start));
        }
    }
    return latenciesUs;
}

void measureAddedLatency(int calls)
{
    PathRig rig(4);
    const std::string address = rig.upstreams[0]->address();
    const auto directPort = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    for (int round = 0; round < 3; ++round) {
        std::vector<double> direct = timeCalls(directPort, calls);
        std::vector<double> throughPath = timeCalls(rig.front.port(), calls);
        for (const double it : {0.5, 0.99, 0.999}) {
            const double a = percentile(direct, it);
            const double b = percentile(throughPath, it);
            std::printf("p%-5g direct %7.1f us  through the path %7.1f us  added %7.1f us\n", it * 100, a, b, b - a);
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
    const auto start = SteadyClock::now();
    std::atomic<int> failedCalls = 0;
    for (int i = 0; i < Callers; ++i) {
        callers.emplace_back([&] {
            HttpCaller caller(rig.front.port());
            for (int n = 0; n < CallsEach; ++n) {
                failedCalls
                    += caller.call({"GET", "/lookup/berth", {"Connection: keep-alive"}, ""}).status == 200 ? 0 : 1;
            }
        });
    }
    for (auto &it : callers) {
        it.join();
    }
    const double seconds = micros(SteadyClock::now() - start) / 1e6;
    const int calls = Callers * CallsEach;
    const double pathUs = (threadSeconds("path") - path) / calls * 1e6;
    const double frontUs = (threadSeconds("front") - front) / calls * 1e6;
    std::printf("%.0f requests/s with callers and instances in the same process, %d not answered with 200\n",
                calls / seconds,
                failedCalls.load());
    std::printf("processor time per request: path %.1f us, front %.1f us: %.0f requests/s per core\n",
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
            std::printf("cannot open another connection after %d\n", i);
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
    std::printf("%zu connections: %.1f MiB, %.2f MiB per 1,000\n",
                sockets.size(),
                after - before,
                (after - before) * 1000 / static_cast<double>(sockets.size()));
    for (const int it : sockets) {
        ::close(it);
    }
}

// ---------------------------------------------------------------------------------------------------------------------

/** Replies and bookings of a run with faults, summed over all callers. */
struct FaultTotals
{
    std::atomic<int> answered = 0;
    std::atomic<int> notRun = 0;
    std::atomic<int> unknown = 0;
    std::atomic<int> other = 0;             ///< replies without 200 and without a known outcome
    std::atomic<int> notRunButRan = 0;      ///< replies of not_run for a booking that had run by then
    std::atomic<int> mismatchedAnswers = 0; ///< replies whose body does not belong to the request
    std::mutex mutex;                       ///< guards notRunIds and answeredIds
    std::vector<std::string> notRunIds;     ///< bookings with only not_run replies: must never run, not even later
    std::vector<std::string> answeredIds;   ///< bookings with a 200 reply: must have run exactly once
};

/** Sends bookings as one caller and counts the replies; every second booking has an idempotency key. */
void bookUnderFaults(PathRig &rig, int caller, int bookings, FaultTotals &totals)
{
    HttpCaller http(rig.front.port());
    for (int i = 0; i < bookings; ++i) {
        const std::string id = std::to_string(caller) + "-" + std::to_string(i);
        std::vector<std::string> headers{"Booking-Id: " + id, "Quetzalrock-Deadline-Ms: 200", "Connection: keep-alive"};
        const bool hasKey = i % 2 == 0;
        bool isAlwaysNotRun = true;
        bool isAnswered = false;
        if (hasKey) {
            headers.push_back("Idempotency-Key: " + id);
        }
        for (int attempt = 0; attempt < 3; ++attempt) {
            const HttpReply reply = http.call({"POST", "/book", headers, "hold"});
            const bool isNotRun = reply.headContains("Quetzalrock-Outcome: not_run");
            const bool isUnknown = reply.headContains("Quetzalrock-Outcome: outcome_unknown");
            isAlwaysNotRun = isAlwaysNotRun && isNotRun;
            isAnswered = isAnswered || reply.status == 200;
            totals.answered += reply.status == 200 ? 1 : 0;
            totals.notRun += isNotRun ? 1 : 0;
            totals.unknown += isUnknown ? 1 : 0;
            totals.other += reply.status != 200 && !isNotRun && !isUnknown ? 1 : 0;
            totals.notRunButRan += isNotRun && rig.ledger.count(id) > 0 ? 1 : 0;
            totals.mismatchedAnswers += reply.status == 200 && reply.body != id + " /book hold" ? 1 : 0;
            if (!isNotRun && !(hasKey && isUnknown)) {
                break; // after an unknown outcome, only a retry with the idempotency key cannot run the booking twice
            }
        }
        std::lock_guard guard(totals.mutex);
        if (isAlwaysNotRun) {
            totals.notRunIds.push_back(id);
        } else if (isAnswered) {
            totals.answeredIds.push_back(id);
        }
    }
}

/** Randomly changes the faults of the instances, of the claim log and of the instance list until @p isEnded is set. */
void injectRandomFaults(PathRig &rig, const std::atomic<bool> &isEnded)
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
    while (!isEnded) {
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
    settings.claimRetryDelay = 5ms;
    PathRig rig(8, settings);
    FaultTotals totals;
    std::atomic<bool> isEnded = false;
    std::thread faultInjector([&] { injectRandomFaults(rig, isEnded); });
    std::vector<std::thread> callers;
    callers.reserve(Callers);
    const auto start = SteadyClock::now();
    for (int i = 0; i < Callers; ++i) {
        callers.emplace_back([&, i] { bookUnderFaults(rig, i, (bookings + Callers - 1) / Callers, totals); });
    }
    for (auto &it : callers) {
        it.join();
    }
    isEnded = true;
    faultInjector.join();
    std::printf("%zu bookings ran in %.0f s; highest number of runs of one booking: %d\n",
                rig.ledger.bookings(),
                micros(SteadyClock::now() - start) / 1e6,
                rig.ledger.highestCount());
    std::printf("replies: %d answered, %d not_run, %d outcome_unknown, %d other\n",
                totals.answered.load(),
                totals.notRun.load(),
                totals.unknown.load(),
                totals.other.load());
    std::printf("not_run replies for bookings that had run: %d; answers that belong to another request: %d\n",
                totals.notRunButRan.load(),
                totals.mismatchedAnswers.load());
    const TransportCounters &transport = rig.path.transportCounters();
    std::printf(
        "resends by libcurl prevented: %llu; unverified connection reuses avoided: %llu; truncated answers: %llu\n",
        static_cast<unsigned long long>(transport.resendsPrevented),
        static_cast<unsigned long long>(transport.unverifiedReusesAvoided),
        static_cast<unsigned long long>(transport.truncatedAnswers));
    int runsDespiteNotRun = 0;
    for (const std::string &it : totals.notRunIds) {
        runsDespiteNotRun += rig.ledger.count(it);
    }
    int notRunOnce = 0;
    for (const std::string &it : totals.answeredIds) {
        notRunOnce += rig.ledger.count(it) == 1 ? 0 : 1;
    }
    std::printf("%zu bookings with only not_run replies, total runs of these: %d; %zu answered, of these not run "
                "exactly once: %d\n",
                totals.notRunIds.size(),
                runsDespiteNotRun,
                totals.answeredIds.size(),
                notRunOnce);
    const bool isOk = runsDespiteNotRun == 0 && notRunOnce == 0 && rig.ledger.highestCount() <= 1
                      && totals.notRunButRan == 0 && totals.mismatchedAnswers == 0;
    std::puts(isOk ? "all guarantees held" : "GUARANTEE VIOLATED");
    return isOk ? 0 : 1;
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
    std::printf("%d claims: %.2f us processor time each, %llu batches, %zu bytes in the log per claim and its end,"
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
        measureAddedLatency(count > 0 ? count : 20000);
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
