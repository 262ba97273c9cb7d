/**
 * Compares policies of load balancing and admission control: several dispatchers share simulated instances in simulated
 * time. The figures of "load" and "slow" depend only on the seed, which is fixed.
 *
 *   benchrequestspolicy load      goodput and tail latency at 0.5, 0.9, 1.0, 1.2 and 2 times the capacity
 *   benchrequestspolicy slow      the same at half load, with and without one of the 50 instances 10 times slower
 *   benchrequestspolicy cost      processor time of the decisions per request, with 10 to 1,000 instances
 */
#include <requests/dispatcher.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <string>

using namespace QuetzalRock;
using namespace std::chrono_literals;

namespace {

constexpr int EntryVms = 8;
constexpr int InstanceCount = 50;
constexpr int SlotsPerInstance = 8;     ///< requests that an instance processes at once; further ones wait
constexpr Duration OneWayDelay = 250us; ///< network delay between an entry VM and an instance
constexpr Duration SimulatedTime = 4s;  ///< simulated time in which requests are submitted
constexpr Duration WarmUpTime = 1s;     ///< requests submitted in this time are not counted
constexpr Duration TickInterval = 1ms;

struct RequestModel
{
    const char *name;
    double share;  ///< fraction of all requests
    Duration mean; ///< of the processing time upstream, which is exponentially distributed
    Duration deadline;
    bool idempotent;
    int priority;
};

constexpr RequestModel RequestModels[] = {
    {"lookup", 0.70, 8ms, 300ms, true, 300},
    {"booking", 0.25, 20ms, 2s, false, 200},
    {"manifest", 0.05, 50ms, 30s, true, 100},
};

/** Mean processing time of a request, over all classes. */
double meanServiceSeconds()
{
    double sum = 0;
    for (const RequestModel &it : RequestModels) {
        sum += it.share * std::chrono::duration<double>(it.mean).count();
    }
    return sum;
}

struct Policy
{
    const char *name;
    InstancePolicy instance;
    bool hasLoadShedding; ///< false: admission without deadlines and effective limits, no retries and hedges
};

constexpr Policy Policies[] = {
    {"random, no shedding", InstancePolicy::Random, false},
    {"random", InstancePolicy::Random, true},
    {"two choices, in flight", InstancePolicy::TwoChoicesInFlight, true},
    {"two choices, latency", InstancePolicy::TwoChoicesLatency, true},
    {"slot shares, borrowing", InstancePolicy::SlotShares, true},
};

RequestSettings makeSettings(const Policy &policy)
{
    RequestSettings settings;
    for (const RequestModel &it : RequestModels) {
        RequestClass requestClass;
        requestClass.name = it.name;
        requestClass.pathPrefix = std::string("/") + it.name;
        requestClass.deadline = policy.hasLoadShedding ? it.deadline : Duration(10min);
        requestClass.queueLimit = policy.hasLoadShedding ? 512 : 10'000'000;
        requestClass.idempotent = it.idempotent;
        requestClass.priority = policy.hasLoadShedding ? it.priority : 1;
        requestClass.expectedTime = it.mean;
        settings.classes.push_back(requestClass);
    }
    settings.policy = policy.instance;
    settings.entryMembers = EntryVms;
    settings.maxOpenRequests = 10'000'000;
    settings.tenantMaxConcurrency = policy.hasLoadShedding ? 1024 : 10'000'000;
    settings.connectionsPerInstance = policy.hasLoadShedding ? 64 : 10'000'000;
    settings.maxAttempts = policy.hasLoadShedding ? 3 : 1;
    settings.slowStart = 1s;
    return settings;
}

class Simulation;

/** Sends the requests of one entry VM to the simulated instances. */
class SimTransport final : public UpstreamTransport
{
public:
    SimTransport(Simulation &simulation, int member)
        : m_simulation(simulation)
        , m_member(member)
    {
    }

    void send(const Exchange &exchange) override;
    bool cancel(ExchangeId, bool) override
    {
        return true; // the instance finishes the request, and the dispatcher ignores the answer
    }
    void poll(Duration, std::vector<ExchangeResult> &) override
    {
    }
    void wake() override
    {
    }

private:
    Simulation &m_simulation;
    int m_member;
};

/** Ignores claims; the simulated requests carry no idempotency key. */
class NullClaimClient final : public ClaimClient
{
public:
    void claim(RequestId, const ClaimRequest &) override
    {
    }
    void end(const ClaimEnd &) override
    {
    }
};

struct Results
{
    std::map<std::string, std::vector<double>> milliseconds; ///< latencies of answered requests by class
    std::uint64_t offered = 0;                               ///< requests counted
    std::uint64_t answeredInTime = 0;                        ///< answered within the deadline of the class
    double usefulSeconds = 0; ///< mean processing time of their classes, summed, in seconds
    std::uint64_t refused = 0;
    std::vector<double> refusalMs; ///< from submission to refusal
    std::uint64_t hedges = 0;      ///< including those of the warm-up
};

/** Discrete-event simulation of entry VMs and instances under one policy and load. */
class Simulation
{
public:
    Simulation(const Policy &policy, double load, double slowdown, std::uint64_t seed)
        : m_settings(makeSettings(policy))
        , m_random(seed)
        , m_requestsPerSecond(load * InstanceCount * SlotsPerInstance / meanServiceSeconds())
        , m_instances(InstanceCount)
    {
        std::vector<UpstreamInstance> instances;
        instances.reserve(InstanceCount);
        for (int i = 0; i < InstanceCount; ++i) {
            instances.push_back({std::to_string(i), std::to_string(i), "muuga", false});
        }
        m_instances[0].slowdown = slowdown;
        for (int i = 0; i < EntryVms; ++i) {
            m_transports.push_back(std::make_unique<SimTransport>(*this, i));
            m_members.push_back(std::make_unique<Dispatcher>(
                m_settings, *m_transports.back(), m_claimClient, nullptr, seed + static_cast<std::uint64_t>(i)));
            m_members.back()->setUpstreams(instances, m_now);
        }
    }

    Results run()
    {
        const TimePoint end = m_now + SimulatedTime;
        m_countFrom = m_now + WarmUpTime;
        m_countTo = end;
        TimePoint nextArrival = m_now;
        TimePoint nextTick = m_now;
        while (m_now < end + 2s) {
            const TimePoint nextEvent = m_events.empty() ? TimePoint::max() : m_events.top().at;
            m_now = std::min({nextEvent, nextTick, nextArrival});
            if (m_now == nextEvent) {
                handleEvent();
            } else if (m_now == nextArrival) {
                submit();
                nextArrival = m_now < end ? m_now + drawInterarrivalTime() : TimePoint::max();
            } else {
                for (auto &it : m_members) {
                    it->tick(m_now);
                }
                nextTick = m_now + TickInterval;
            }
        }
        for (auto &it : m_members) {
            m_results.hedges += it->counters().hedges;
        }
        return m_results;
    }

    void sendToInstance(std::size_t instance, int member, ExchangeId exchange, const CallerRequest &request)
    {
        m_events.push({m_now + OneWayDelay, Event::Arrive, instance, member, exchange, drawProcessingTime(request)});
    }

private:
    struct QueuedRequest
    {
        int member = 0;
        ExchangeId exchange = 0;
        Duration processingTime{};
    };
    struct Instance
    {
        int busy = 0;
        double slowdown = 1;
        std::deque<QueuedRequest> waiting;
    };
    struct Event
    {
        enum Kind {
            Arrive,
            Finish,
            Answer,
        };
        TimePoint at;
        Kind kind;
        std::size_t instance;
        int member;
        ExchangeId exchange;
        Duration processingTime;

        bool operator>(const Event &other) const
        {
            return at > other.at;
        }
    };

    Duration drawInterarrivalTime()
    {
        const double seconds = std::exponential_distribution<double>(m_requestsPerSecond)(m_random);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    Duration drawProcessingTime(const CallerRequest &request)
    {
        const auto model = std::find_if(std::begin(RequestModels),
                                        std::end(RequestModels),
                                        [&](const RequestModel &it) { return request.target.substr(1) == it.name; });
        const double mean = static_cast<double>(model->mean.count());
        return Duration(1 + static_cast<std::int64_t>(std::exponential_distribution<double>(1 / mean)(m_random)));
    }

    void submit()
    {
        const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
        const std::size_t index = draw < RequestModels[0].share                            ? 0
                                  : draw < RequestModels[0].share + RequestModels[1].share ? 1
                                                                                           : 2;
        const RequestModel &model = RequestModels[index];
        CallerRequest request;
        request.method = "GET";
        request.target = std::string("/") + model.name;
        request.tenant = "t" + std::to_string(m_random() % 20);
        const TimePoint submittedAt = m_now;
        const bool isCounted = submittedAt >= m_countFrom && submittedAt < m_countTo;
        m_results.offered += isCounted ? 1 : 0;
        auto done = [this, submittedAt, isCounted, &model](const CallerResponse &response) {
            if (isCounted) {
                countResponse(model, response, m_now - submittedAt);
            }
        };
        m_members[m_random() % EntryVms]->submit(std::move(request), done, m_now);
    }

    void countResponse(const RequestModel &model, const CallerResponse &response, Duration total)
    {
        const double ms = static_cast<double>(total.count()) / 1000;
        if (response.outcome == RequestOutcome::NotRun) {
            ++m_results.refused;
            m_results.refusalMs.push_back(ms);
        }
        if (response.outcome != RequestOutcome::Answered) {
            return;
        }
        m_results.milliseconds[model.name].push_back(ms);
        if (total <= model.deadline) {
            ++m_results.answeredInTime;
            m_results.usefulSeconds += std::chrono::duration<double>(model.mean).count();
        }
    }

    void start(std::size_t index, const QueuedRequest &queued)
    {
        Instance &it = m_instances[index];
        ++it.busy;
        const auto time = std::chrono::duration_cast<Duration>(queued.processingTime * it.slowdown);
        m_events.push({m_now + time, Event::Finish, index, queued.member, queued.exchange, {}});
    }

    void handleEvent()
    {
        const Event event = m_events.top();
        m_events.pop();
        Instance &it = m_instances[event.instance];
        switch (event.kind) {
        case Event::Arrive:
            if (it.busy < SlotsPerInstance) {
                start(event.instance, {event.member, event.exchange, event.processingTime});
            } else {
                it.waiting.push_back({event.member, event.exchange, event.processingTime});
            }
            break;
        case Event::Finish:
            --it.busy;
            m_events.push({m_now + OneWayDelay, Event::Answer, event.instance, event.member, event.exchange, {}});
            if (!it.waiting.empty()) {
                const QueuedRequest next = it.waiting.front();
                it.waiting.pop_front();
                start(event.instance, next);
            }
            break;
        case Event::Answer:
            ExchangeResult result;
            result.id = event.exchange;
            result.status = ExchangeStatus::Answered;
            result.mayHaveBeenSent = true;
            m_members[static_cast<std::size_t>(event.member)]->onResult(std::move(result), m_now);
            break;
        }
    }

    RequestSettings m_settings;
    std::mt19937_64 m_random;
    double m_requestsPerSecond;
    TimePoint m_now{1h};
    TimePoint m_countFrom;
    TimePoint m_countTo;
    std::vector<Instance> m_instances;
    NullClaimClient m_claimClient;
    std::vector<std::unique_ptr<SimTransport>> m_transports;
    std::vector<std::unique_ptr<Dispatcher>> m_members;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    Results m_results;
};

void SimTransport::send(const Exchange &exchange)
{
    m_simulation.sendToInstance(std::stoul(std::string(exchange.address)), m_member, exchange.id, *exchange.request);
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

void printResults(const Policy &policy, double load, const Results &it)
{
    const double seconds = std::chrono::duration<double>(SimulatedTime - WarmUpTime).count();
    const auto &lookups = it.milliseconds.contains("lookup") ? it.milliseconds.at("lookup") : std::vector<double>();
    std::printf("%-24s load %.1f  goodput/s %6.0f  useful work %5.1f%%  lookup p50 %7.1f p99 %8.1f p99.9 %8.1f ms  "
                "refused %5.1f%%  refused after p99 %6.1f max %6.1f ms  hedges %llu\n",
                policy.name,
                load,
                static_cast<double>(it.answeredInTime) / seconds,
                100 * it.usefulSeconds / (seconds * InstanceCount * SlotsPerInstance),
                percentile(lookups, 0.5),
                percentile(lookups, 0.99),
                percentile(lookups, 0.999),
                100.0 * static_cast<double>(it.refused) / static_cast<double>(std::max<std::uint64_t>(1, it.offered)),
                percentile(it.refusalMs, 0.99),
                percentile(it.refusalMs, 1),
                static_cast<unsigned long long>(it.hedges));
}

void compareLoads()
{
    for (const Policy &policy : Policies) {
        for (const double load : {0.5, 0.9, 1.0, 1.2, 2.0}) {
            printResults(policy, load, Simulation(policy, load, 1, 20261203).run());
        }
    }
}

void compareSlowInstance()
{
    for (const Policy &policy : Policies) {
        for (const double slowdown : {1.0, 10.0}) {
            std::printf("slowdown %4.0f  ", slowdown);
            printResults(policy, 0.5, Simulation(policy, 0.5, slowdown, 20261203).run());
        }
    }
}

/** Answers every request at once, so that only the processor time of the dispatcher is measured. */
class ImmediateTransport final : public UpstreamTransport
{
public:
    void send(const Exchange &exchange) override
    {
        m_ids.push_back(exchange.id);
    }
    bool cancel(ExchangeId, bool) override
    {
        return true;
    }
    void poll(Duration, std::vector<ExchangeResult> &results) override
    {
        for (const ExchangeId it : m_ids) {
            results.push_back({it, ExchangeStatus::Answered, true, {}});
        }
        m_ids.clear();
    }
    void wake() override
    {
    }

private:
    std::vector<ExchangeId> m_ids;
};

void measureDecisionCost()
{
    constexpr int TotalRequests = 400'000;
    constexpr int RequestsPerTick = 40;
    for (const int count : {10, 50, 100, 300, 1000}) {
        RequestSettings settings = makeSettings(Policies[4]);
        settings.entryMembers = 1;
        ImmediateTransport transport;
        NullClaimClient claims;
        Dispatcher dispatcher(settings, transport, claims, nullptr, 1);
        std::vector<UpstreamInstance> instances;
        instances.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            instances.push_back(
                {std::to_string(i), "10.0.0.1:" + std::to_string(i), i % 3 == 0 ? "muuga" : "paldiski", false});
        }
        TimePoint now{1h};
        dispatcher.setUpstreams(instances, now);
        std::vector<ExchangeResult> results;
        const auto from = std::chrono::steady_clock::now();
        for (int i = 0; i < TotalRequests; i += RequestsPerTick) {
            for (int n = 0; n < RequestsPerTick; ++n) {
                CallerRequest request;
                request.method = "GET";
                request.target = "/lookup";
                request.tenant = "t1";
                dispatcher.submit(
                    std::move(request), [](const CallerResponse &) {}, now);
            }
            now += 2ms;
            transport.poll({}, results);
            for (ExchangeResult &it : results) {
                dispatcher.onResult(std::move(it), now);
            }
            results.clear();
            dispatcher.tick(now);
        }
        const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - from;
        std::printf("instances %5d  decisions %.2f us per request\n", count, took.count() / TotalRequests);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::string mode = argc > 1 ? argv[1] : "";
    if (mode == "load") {
        compareLoads();
    } else if (mode == "slow") {
        compareSlowInstance();
    } else if (mode == "cost") {
        measureDecisionCost();
    } else {
        std::puts("benchrequestspolicy load|slow|cost");
        return 2;
    }
    return 0;
}
