/**
 * Policies of instance choice and admission, compared at the level of decisions: several dispatchers share simulated
 * instances in simulated time. Same seed, same figures, on any machine.
 *
 *   benchrequestspolicy load      goodput and tail latency at 0.5, 0.9, 1.0, 1.2 and 2 times the capacity
 *   benchrequestspolicy slow      one instance of 50 is 10 times slower
 *   benchrequestspolicy cost      processor time of the decisions for one request, at 10 to 1,000 instances
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

constexpr int Members = 8; ///< entry VMs
constexpr int Instances = 50;
constexpr int Slots = 8;
constexpr Duration OneWay = 250us; ///< between an entry VM and an instance
constexpr Duration RunTime = 4s;
constexpr Duration WarmUp = 1s; ///< not counted
constexpr Duration TickTime = 1ms;

struct ClassModel
{
    const char *name;
    double share;  ///< of the requests
    Duration mean; ///< upstream time, exponential
    Duration deadline;
    bool idempotent;
    int priority;
};

constexpr ClassModel Models[] = {
    {"lookup", 0.70, 8ms, 300ms, true, 300},
    {"booking", 0.25, 20ms, 2s, false, 200},
    {"manifest", 0.05, 50ms, 30s, true, 100},
};

double meanServiceSeconds()
{
    double sum = 0;
    for (const ClassModel &it : Models) {
        sum += it.share * std::chrono::duration<double>(it.mean).count();
    }
    return sum;
}

struct Policy
{
    const char *name;
    InstancePolicy instance;
    bool sheds; ///< false: no deadline in admission, no retries, no hedges
};

constexpr Policy Policies[] = {
    {"random, no shedding", InstancePolicy::Random, false},
    {"random", InstancePolicy::Random, true},
    {"two choices, in flight", InstancePolicy::TwoChoicesInFlight, true},
    {"two choices, latency", InstancePolicy::TwoChoicesLatency, true},
    {"slot shares, borrowing", InstancePolicy::SlotShares, true},
};

RequestSettings settingsOf(const Policy &policy)
{
    RequestSettings settings;
    for (const ClassModel &it : Models) {
        RequestClass requestClass;
        requestClass.name = it.name;
        requestClass.pathPrefix = std::string("/") + it.name;
        requestClass.deadline = policy.sheds ? it.deadline : Duration(10min);
        requestClass.queueLimit = policy.sheds ? 512 : 10'000'000;
        requestClass.idempotent = it.idempotent;
        requestClass.priority = policy.sheds ? it.priority : 1;
        requestClass.expectedTime = it.mean;
        settings.classes.push_back(requestClass);
    }
    settings.policy = policy.instance;
    settings.entryMembers = Members;
    settings.maxOpenRequests = 10'000'000;
    settings.tenantMaxConcurrency = policy.sheds ? 1024 : 10'000'000;
    settings.connectionsPerInstance = policy.sheds ? 64 : 10'000'000;
    settings.maxAttempts = policy.sheds ? 3 : 1;
    settings.slowStart = 1s;
    return settings;
}

class World;

/** One member's way to the simulated instances. */
class SimTransport final : public UpstreamTransport
{
public:
    SimTransport(World &world, int member)
        : m_world(world)
        , m_member(member)
    {
    }

    void send(const Exchange &exchange) override;
    bool cancel(ExchangeId, bool) override
    {
        return true; // the instance works on, and its answer will be ignored
    }
    void poll(Duration, std::vector<ExchangeResult> &) override
    {
    }
    void wake() override
    {
    }

private:
    World &m_world;
    int m_member;
};

class NoClaims final : public ClaimClient
{
public:
    void claim(RequestId, const ClaimRequest &) override
    {
    }
    void end(const ClaimEnd &) override
    {
    }
};

struct Figures
{
    std::map<std::string, std::vector<double>> milliseconds; ///< of good answers, by class
    std::uint64_t offered = 0;
    std::uint64_t good = 0; ///< answered within the class's deadline
    double goodWork = 0;    ///< their mean upstream time, in seconds
    std::uint64_t refused = 0;
    std::vector<double> refusalMs; ///< from arrival to refusal
    std::uint64_t hedges = 0;
};

class World
{
public:
    World(const Policy &policy, double load, double slowdown, std::uint64_t seed)
        : m_settings(settingsOf(policy))
        , m_random(seed)
        , m_rate(load * Instances * Slots / meanServiceSeconds())
        , m_instances(Instances)
    {
        std::vector<UpstreamInstance> list;
        list.reserve(Instances);
        for (int i = 0; i < Instances; ++i) {
            list.push_back({std::to_string(i), std::to_string(i), "muuga", false});
        }
        m_instances[0].slowdown = slowdown;
        for (int i = 0; i < Members; ++i) {
            m_transports.push_back(std::make_unique<SimTransport>(*this, i));
            m_members.push_back(std::make_unique<Dispatcher>(
                m_settings, *m_transports.back(), m_noClaims, nullptr, seed + static_cast<std::uint64_t>(i)));
            m_members.back()->setUpstreams(list, m_now);
        }
    }

    Figures run()
    {
        const TimePoint end = m_now + RunTime;
        m_countFrom = m_now + WarmUp;
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
                nextArrival = m_now < end ? m_now + gap() : TimePoint::max();
            } else {
                for (auto &it : m_members) {
                    it->tick(m_now);
                }
                nextTick = m_now + TickTime;
            }
        }
        for (auto &it : m_members) {
            m_figures.hedges += it->counters().hedges;
        }
        return m_figures;
    }

    void arriveAt(std::size_t instance, int member, ExchangeId exchange, const CallerRequest &request)
    {
        m_events.push({m_now + OneWay, Event::Arrive, instance, member, exchange, serviceOf(request)});
    }

private:
    struct Job
    {
        int member = 0;
        ExchangeId exchange = 0;
        Duration service{};
    };
    struct Instance
    {
        int busy = 0;
        double slowdown = 1;
        std::deque<Job> waiting;
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
        Duration service;

        bool operator>(const Event &other) const
        {
            return at > other.at;
        }
    };

    Duration gap()
    {
        const double seconds = std::exponential_distribution<double>(m_rate)(m_random);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    Duration serviceOf(const CallerRequest &request)
    {
        const auto model = std::find_if(std::begin(Models), std::end(Models), [&](const ClassModel &it) {
            return request.target.substr(1) == it.name;
        });
        const double mean = static_cast<double>(model->mean.count());
        return Duration(1 + static_cast<std::int64_t>(std::exponential_distribution<double>(1 / mean)(m_random)));
    }

    void submit()
    {
        const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
        const std::size_t index = draw < Models[0].share ? 0 : draw < Models[0].share + Models[1].share ? 1 : 2;
        const ClassModel &model = Models[index];
        CallerRequest request;
        request.method = "GET";
        request.target = std::string("/") + model.name;
        request.tenant = "t" + std::to_string(m_random() % 20);
        const TimePoint from = m_now;
        const bool counts = from >= m_countFrom && from < m_countTo;
        m_figures.offered += counts ? 1 : 0;
        auto done = [this, from, counts, &model](const CallerResponse &response) {
            if (counts) {
                count(model, response, m_now - from);
            }
        };
        m_members[m_random() % Members]->submit(std::move(request), done, m_now);
    }

    void count(const ClassModel &model, const CallerResponse &response, Duration total)
    {
        const double ms = static_cast<double>(total.count()) / 1000;
        if (response.outcome == RequestOutcome::NotRun) {
            ++m_figures.refused;
            m_figures.refusalMs.push_back(ms);
        }
        if (response.outcome != RequestOutcome::Answered) {
            return;
        }
        m_figures.milliseconds[model.name].push_back(ms);
        if (total <= model.deadline) {
            ++m_figures.good;
            m_figures.goodWork += std::chrono::duration<double>(model.mean).count();
        }
    }

    void start(std::size_t index, const Job &job)
    {
        Instance &it = m_instances[index];
        ++it.busy;
        const auto time = std::chrono::duration_cast<Duration>(job.service * it.slowdown);
        m_events.push({m_now + time, Event::Finish, index, job.member, job.exchange, {}});
    }

    void handleEvent()
    {
        const Event event = m_events.top();
        m_events.pop();
        Instance &it = m_instances[event.instance];
        switch (event.kind) {
        case Event::Arrive:
            if (it.busy < Slots) {
                start(event.instance, {event.member, event.exchange, event.service});
            } else {
                it.waiting.push_back({event.member, event.exchange, event.service});
            }
            break;
        case Event::Finish:
            --it.busy;
            m_events.push({m_now + OneWay, Event::Answer, event.instance, event.member, event.exchange, {}});
            if (!it.waiting.empty()) {
                const Job next = it.waiting.front();
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
    double m_rate;
    TimePoint m_now{1h};
    TimePoint m_countFrom;
    TimePoint m_countTo;
    std::vector<Instance> m_instances;
    NoClaims m_noClaims;
    std::vector<std::unique_ptr<SimTransport>> m_transports;
    std::vector<std::unique_ptr<Dispatcher>> m_members;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    Figures m_figures;
};

void SimTransport::send(const Exchange &exchange)
{
    m_world.arriveAt(std::stoul(std::string(exchange.address)), m_member, exchange.id, *exchange.request);
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

void print(const Policy &policy, double load, const Figures &it)
{
    const double seconds = std::chrono::duration<double>(RunTime - WarmUp).count();
    const auto &lookups = it.milliseconds.contains("lookup") ? it.milliseconds.at("lookup") : std::vector<double>();
    std::printf(
        "%-24s load %.1f  good/s %6.0f  good work %5.1f%%  lookup p50 %7.1f p99 %8.1f p99.9 %8.1f ms  refused %5.1f%%"
        "  refused after p99 %6.1f max %6.1f ms  hedges %llu\n",
        policy.name,
        load,
        static_cast<double>(it.good) / seconds,
        100 * it.goodWork / (seconds * Instances * Slots),
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
            print(policy, load, World(policy, load, 1, 20261203).run());
        }
    }
}

void compareSlowInstance()
{
    for (const Policy &policy : Policies) {
        for (const double slowdown : {1.0, 10.0}) {
            std::printf("slowdown %4.0f  ", slowdown);
            print(policy, 0.5, World(policy, 0.5, slowdown, 20261203).run());
        }
    }
}

/** Answers at once: what is left is the cost of the decisions. */
class EchoTransport final : public UpstreamTransport
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

void measureCost()
{
    constexpr int Requests = 400'000;
    constexpr int Batch = 40;
    for (const int count : {10, 50, 100, 300, 1000}) {
        RequestSettings settings = settingsOf(Policies[4]);
        settings.entryMembers = 1;
        EchoTransport transport;
        NoClaims claims;
        Dispatcher dispatcher(settings, transport, claims, nullptr, 1);
        std::vector<UpstreamInstance> list;
        list.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            list.push_back(
                {std::to_string(i), "10.0.0.1:" + std::to_string(i), i % 3 == 0 ? "muuga" : "paldiski", false});
        }
        TimePoint now{1h};
        dispatcher.setUpstreams(list, now);
        std::vector<ExchangeResult> results;
        const auto from = std::chrono::steady_clock::now();
        for (int i = 0; i < Requests; i += Batch) {
            for (int n = 0; n < Batch; ++n) {
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
        std::printf("instances %5d  decisions %.2f us a request\n", count, took.count() / Requests);
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
        measureCost();
    } else {
        std::puts("benchrequestspolicy load|slow|cost");
        return 2;
    }
    return 0;
}
