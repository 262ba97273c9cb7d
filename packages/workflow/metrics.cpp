#include <workflow/metrics.h>
#include <workflow/node.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace QuetzalRock::Workflow {

namespace {

const prometheus::Histogram::BucketBoundaries Seconds{0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

struct NodeMetrics::Impl
{
    using Labels = std::map<std::string, std::string>;

    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram> &firstStart
        = prometheus::BuildHistogram().Name("quetzalrock_first_start_seconds").Register(registry);
    prometheus::Family<prometheus::Histogram> &jobTime
        = prometheus::BuildHistogram().Name("quetzalrock_job_seconds").Register(registry);
    std::map<std::string, prometheus::Family<prometheus::Counter> *> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge> *> gauges;

    /** Counters of a term start anew with each term: the sum over terms is what is shown. */
    void raise(const std::string &name, const Labels &labels, std::uint64_t value, std::uint64_t before)
    {
        auto &family = counters[name];
        if (family == nullptr) {
            family = &prometheus::BuildCounter().Name("quetzalrock_" + name).Register(registry);
        }
        family->Add(labels).Increment(static_cast<double>(value >= before ? value - before : value));
    }

    void set(const std::string &name, double value)
    {
        auto &family = gauges[name];
        if (family == nullptr) {
            family = &prometheus::BuildGauge().Name("quetzalrock_" + name).Register(registry);
        }
        family->Add({}).Set(value);
    }

    void raiseAll(ShardId shard, const WorkflowCounters &counters)
    {
        const WorkflowCounters before = seen.contains(shard) ? seen[shard] : WorkflowCounters{};
        const std::string name = std::to_string(shard);
        raise("starts_total", {{"shard", name}}, counters.starts, before.starts);
        raise("starts_rejected_total", {{"shard", name}}, counters.startsRejected, before.startsRejected);
        raise("starts_unanswered_total", {{"shard", name}}, counters.startsUnanswered, before.startsUnanswered);
        raise("runs_total", {{"shard", name}, {"end", "done"}}, counters.done, before.done);
        raise("runs_total", {{"shard", name}, {"end", "failed"}}, counters.failed, before.failed);
        raise("runs_total", {{"shard", name}, {"end", "lost"}}, counters.lost, before.lost);
        raise("stops_total", {{"shard", name}}, counters.stops, before.stops);
        raise("throttles_total", {{"shard", name}}, counters.throttles, before.throttles);
        raise("writes_total", {{"shard", name}}, counters.writes, before.writes);
    }

    std::map<ShardId, WorkflowCounters> seen; ///< of the terms under way
    IntakeCounters seenIntake;
    std::uint64_t seenLeftOut = 0;
};

NodeMetrics::NodeMetrics()
    : m_impl(std::make_unique<Impl>())
{
}

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::onFirstStart(std::string_view queue, Duration age)
{
    m_impl->firstStart.Add({{"queue", std::string(queue)}}, Seconds).Observe(toSeconds(age));
}

void NodeMetrics::onFinal(std::string_view queue, WorkflowState state, Duration age)
{
    m_impl->jobTime.Add({{"queue", std::string(queue)}, {"state", std::string(stateName(state))}}, Seconds)
        .Observe(toSeconds(age));
}

void NodeMetrics::update(const Node &node, TimePoint now, std::uint64_t logLinesLeftOut)
{
    Impl &it = *m_impl;
    std::map<ShardId, WorkflowCounters> seen;
    std::size_t activeJobs = 0;
    for (const WorkflowScheduler *scheduler : node.schedulers()) {
        it.raiseAll(scheduler->shard(), scheduler->counters());
        seen[scheduler->shard()] = scheduler->counters();
        activeJobs += scheduler->activeJobs();
    }
    it.seen = std::move(seen);
    const IntakeCounters &intake = node.intakeCounters();
    it.raise("intake_total", {{"outcome", "accepted"}}, intake.accepted, it.seenIntake.accepted);
    it.raise("intake_total", {{"outcome", "not_taken"}}, intake.notTaken, it.seenIntake.notTaken);
    it.raise("intake_total", {{"outcome", "unknown"}}, intake.unknown, it.seenIntake.unknown);
    it.raise("questions_total", {}, intake.questions, it.seenIntake.questions);
    it.seenIntake = intake;
    it.raise("log_lines_left_out_total", {}, logLinesLeftOut, it.seenLeftOut);
    it.seenLeftOut = logLinesLeftOut;
    it.set("led_shards", static_cast<double>(it.seen.size()));
    it.set("ready", node.isReady(now) ? 1 : 0);
    it.set("active_jobs", static_cast<double>(activeJobs));
    it.set("catalog_version", static_cast<double>(node.catalog().version));
}

std::string NodeMetrics::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, m_impl->registry.Collect());
    return out.str();
}

} // namespace QuetzalRock::Workflow
