#include <workflow/metrics.h>
#include <workflow/node.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <span>
#include <sstream>

namespace QuetzalRock::Workflow {

namespace {

const prometheus::Histogram::BucketBoundaries SecondsBuckets{0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};
const prometheus::Histogram::BucketBoundaries WaitBuckets{1, 2, 5, 10, 20, 30, 60, 120, 300, 900};

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
    prometheus::Family<prometheus::Histogram> &oldestWait
        = prometheus::BuildHistogram().Name("quetzalrock_oldest_wait_at_times_seconds").Register(registry);
    std::map<std::string, prometheus::Family<prometheus::Counter> *> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge> *> gauges;

    /** Adds the increase since the last update. A scheduler's counters restart at 0 with each term. */
    void addIncrease(const std::string &name, const Labels &labels, std::uint64_t value, std::uint64_t before)
    {
        auto &family = counters[name];
        if (family == nullptr) {
            family = &prometheus::BuildCounter().Name("quetzalrock_" + name).Register(registry);
        }
        family->Add(labels).Increment(static_cast<double>(value >= before ? value - before : value));
    }

    void set(const std::string &name, double value, const Labels &labels = {})
    {
        auto &family = gauges[name];
        if (family == nullptr) {
            family = &prometheus::BuildGauge().Name("quetzalrock_" + name).Register(registry);
        }
        family->Add(labels).Set(value);
    }

    void addIncreases(ShardId shard, const WorkflowCounters &counters)
    {
        const WorkflowCounters before = lastCounters.contains(shard) ? lastCounters[shard] : WorkflowCounters{};
        const std::string name = std::to_string(shard);
        addIncrease("starts_total", {{"shard", name}}, counters.starts, before.starts);
        addIncrease("starts_rejected_total", {{"shard", name}}, counters.startsRejected, before.startsRejected);
        addIncrease("starts_unanswered_total", {{"shard", name}}, counters.startsUnanswered, before.startsUnanswered);
        addIncrease("runs_total", {{"shard", name}, {"end", "done"}}, counters.done, before.done);
        addIncrease("runs_total", {{"shard", name}, {"end", "failed"}}, counters.failed, before.failed);
        addIncrease("runs_total", {{"shard", name}, {"end", "lost"}}, counters.lost, before.lost);
        addIncrease("worker_crashes_total", {{"shard", name}}, counters.workerCrashes, before.workerCrashes);
        addIncrease("worker_crashes_at_start_total",
                    {{"shard", name}},
                    counters.workerCrashesAtStart,
                    before.workerCrashesAtStart);
        addIncrease("tasks_given_up_total", {{"shard", name}}, counters.tasksGivenUp, before.tasksGivenUp);
        addIncrease("stops_total", {{"shard", name}}, counters.stops, before.stops);
        addIncrease("throttles_total", {{"shard", name}}, counters.throttles, before.throttles);
        addIncrease("paced_starts_total", {{"shard", name}}, counters.pacedStarts, before.pacedStarts);
        addIncrease("untracked_images_total", {{"shard", name}}, counters.untrackedImages, before.untrackedImages);
        addIncrease("tasks_given_total", {{"shard", name}}, counters.tasksGiven, before.tasksGiven);
        addIncrease("tasks_taken_total", {{"shard", name}}, counters.tasksTaken, before.tasksTaken);
        addIncrease("jobs_moved_total", {{"shard", name}}, counters.jobsMoved, before.jobsMoved);
        addIncrease("jobs_taken_total", {{"shard", name}}, counters.jobsTaken, before.jobsTaken);
        addIncrease("writes_total", {{"shard", name}}, counters.writes, before.writes);
    }

    /** Sets the metrics of records that wait to be stored. */
    void setUnstored(std::span<const WorkflowScheduler *const> schedulers, TimePoint now)
    {
        StoreBacklogs sums;
        std::size_t writes = 0;
        for (const WorkflowScheduler *scheduler : schedulers) {
            const StoreBacklogs backlogs = scheduler->storeBacklogs();
            writes += scheduler->writesInFlight();
            for (std::size_t c = 0; c < StoreClassCount; ++c) {
                sums[c].records += backlogs[c].records;
                const TimePoint since = std::min(backlogs[c].since.value_or(now), sums[c].since.value_or(now));
                sums[c].since = since;
            }
        }
        for (std::size_t c = 0; c < StoreClassCount; ++c) {
            const Labels labels{{"class", std::string(storeClassName(static_cast<StoreClass>(c)))}};
            set("unstored_jobs", static_cast<double>(sums[c].records), labels);
            set("oldest_unstored_seconds", toSeconds(now - sums[c].since.value_or(now)), labels);
        }
        set("progress_writes_in_flight", static_cast<double>(writes));
    }

    /** Sets the metrics of waiting tasks. The gauges of queues and reasons without any return to 0. */
    void setWaits(std::span<const WorkflowScheduler *const> schedulers)
    {
        for (auto &[queue, it] : waits) {
            it = {};
        }
        for (auto &[why, tasks] : diagnosedTasks) {
            tasks = 0;
        }
        for (auto &[why, wait] : turnedAwayWaits) {
            wait = {};
        }
        std::uint32_t forUnreadWorkers = 0;
        std::uint32_t forRoom = 0;
        SuspectCounts suspects;
        for (auto &[shard, wait] : shardWaits) {
            wait = {};
        }
        for (const WorkflowScheduler *scheduler : schedulers) {
            const WaitingTasks &waiting = scheduler->waitingTasks();
            shardWaits[scheduler->shard()] = {waiting.oldest, waiting.oldestLongRunning};
            forUnreadWorkers += waiting.forUnreadWorkers;
            forRoom += waiting.forRoom;
            suspects.waiting += waiting.suspects.waiting;
            suspects.tried += waiting.suspects.tried;
            suspects.oldest = std::max(suspects.oldest, waiting.suspects.oldest);
            for (const auto &[queue, wait] : waiting.queues) {
                QueueWait &it = waits[queue];
                it.oldest = std::max(it.oldest, wait.oldest);
                it.tasks += wait.tasks;
            }
            for (const WaitDiagnosis &it : waiting.diagnoses) {
                diagnosedTasks[std::string(it.why())] += it.tasks;
            }
            for (const auto &[refusal, wait] : waiting.turnedAway) {
                Duration &oldest = turnedAwayWaits[std::string(refusalName(refusal))];
                oldest = std::max(oldest, wait);
            }
        }
        for (const auto &[queue, it] : waits) {
            set("waiting_tasks", it.tasks, {{"queue", queue}});
            set("oldest_wait_seconds", toSeconds(it.oldest), {{"queue", queue}});
            oldestWait.Add({{"queue", queue}}, WaitBuckets).Observe(toSeconds(it.oldest));
        }
        for (const auto &[shard, wait] : shardWaits) {
            const std::string name = std::to_string(shard);
            set("shard_oldest_wait_seconds", toSeconds(wait.first), {{"shard", name}, {"tasks", "other"}});
            set("shard_oldest_wait_seconds", toSeconds(wait.second), {{"shard", name}, {"tasks", "long_running"}});
        }
        for (const auto &[why, tasks] : diagnosedTasks) {
            set("diagnosed_waiting_tasks", tasks, {{"why", why}});
        }
        for (const auto &[why, wait] : turnedAwayWaits) {
            set("turned_away_wait_seconds", toSeconds(wait), {{"why", why}});
        }
        set("waiting_long_running_tasks", forUnreadWorkers, {{"why", "unread_workers"}});
        set("waiting_long_running_tasks", forRoom, {{"why", "no_room"}});
        set("suspected_tasks", suspects.waiting, {{"state", "waiting"}});
        set("suspected_tasks", suspects.tried, {{"state", "tried"}});
        set("oldest_suspect_wait_seconds", toSeconds(suspects.oldest), {});
    }

    std::map<std::string, QueueWait> waits;                      ///< by queue
    std::map<ShardId, std::pair<Duration, Duration>> shardWaits; ///< the oldest, the oldest of long-running tasks
    std::map<std::string, std::uint32_t> diagnosedTasks;         ///< by reason
    std::map<std::string, Duration> turnedAwayWaits;             ///< by refusal

    // Values at the last update
    std::map<ShardId, WorkflowCounters> lastCounters; ///< of the shards that this node leads
    IntakeCounters lastIntake;
    std::map<std::string, std::uint32_t> lastEvacuatedRuns; ///< by queue
    ForwardCounters lastForwards;
    std::map<std::string, std::uint64_t> lastRejected; ///< by queue
    std::uint64_t lastLeftOut = 0;
    std::uint64_t lastHandedOver = 0;
};

NodeMetrics::NodeMetrics()
    : m_impl(std::make_unique<Impl>())
{
}

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::onFirstStart(std::string_view queue, Duration age)
{
    m_impl->firstStart.Add({{"queue", std::string(queue)}}, SecondsBuckets).Observe(toSeconds(age));
}

void NodeMetrics::onFinal(std::string_view queue, WorkflowState state, Duration age)
{
    m_impl->jobTime.Add({{"queue", std::string(queue)}, {"state", std::string(stateName(state))}}, SecondsBuckets)
        .Observe(toSeconds(age));
}

void NodeMetrics::update(const Node &node, TimePoint now, std::uint64_t logLinesLeftOut)
{
    Impl &it = *m_impl;
    std::map<ShardId, WorkflowCounters> current;
    std::size_t activeJobs = 0;
    std::map<std::string, std::uint32_t> evacuatedRuns = it.lastEvacuatedRuns;
    for (auto &[queue, runs] : evacuatedRuns) {
        runs = 0; // a gauge of a queue that has left nothing there returns to 0
    }
    for (const WorkflowScheduler *scheduler : node.schedulers()) {
        it.addIncreases(scheduler->shard(), scheduler->counters());
        current[scheduler->shard()] = scheduler->counters();
        activeJobs += scheduler->activeJobs();
        for (const auto &[queue, runs] : scheduler->runsInEvacuatedDomains()) {
            evacuatedRuns[queue] += runs;
        }
    }
    it.setWaits(node.schedulers());
    it.lastCounters = std::move(current);
    const IntakeCounters &intake = node.intakeCounters();
    it.addIncrease("intake_total", {{"outcome", "accepted"}}, intake.accepted, it.lastIntake.accepted);
    it.addIncrease("intake_total", {{"outcome", "not_taken"}}, intake.notAccepted, it.lastIntake.notAccepted);
    it.addIncrease("intake_total", {{"outcome", "unknown"}}, intake.unknown, it.lastIntake.unknown);
    it.addIncrease("intake_total", {{"outcome", "no_room"}}, intake.noRoom, it.lastIntake.noRoom);
    for (const auto &[queue, state] : node.admission().queues()) {
        std::uint64_t &before = it.lastRejected[queue];
        it.addIncrease("rejected_no_room_total", {{"queue", queue}}, state.rejected, before);
        it.set("forecast_wait_seconds", toSeconds(state.wait), {{"queue", queue}});
        before = state.rejected;
    }
    it.addIncrease("questions_total", {}, intake.queries, it.lastIntake.queries);
    it.lastIntake = intake;
    if (node.peers().settings().isEnabled) {
        const ForwardCounters &forwards = node.peers().counters;
        const ForwardCounters &before = it.lastForwards;
        it.addIncrease("forwarded_total", {{"outcome", "served"}}, forwards.served, before.served);
        it.addIncrease("forwarded_total", {{"outcome", "refused"}}, forwards.refused, before.refused);
        it.addIncrease("forwarded_total", {{"outcome", "not_sent"}}, forwards.notSent, before.notSent);
        it.addIncrease("forwarded_total", {{"outcome", "unanswered"}}, forwards.unanswered, before.unanswered);
        it.addIncrease("forwarded_total", {{"outcome", "no_peer"}}, forwards.noPeer, before.noPeer);
        it.addIncrease("forwards_received_total", {}, forwards.received, before.received);
        it.lastForwards = forwards;
        it.set("forwards_in_flight", node.peers().inFlight());
        it.set("peers", static_cast<double>(node.peers().peers()));
    }
    it.addIncrease("log_lines_left_out_total", {}, logLinesLeftOut, it.lastLeftOut);
    it.lastLeftOut = logLinesLeftOut;
    it.addIncrease("shards_handed_over_total", {}, node.handedOverShards(), it.lastHandedOver);
    it.lastHandedOver = node.handedOverShards();
    it.set("led_shards", static_cast<double>(it.lastCounters.size()));
    it.set("ready", node.isReady(now) ? 1 : 0);
    it.set("active_jobs", static_cast<double>(activeJobs));
    it.set("evacuations_requested", static_cast<double>(node.evacuations().domains().size()));
    for (const auto &[queue, runs] : evacuatedRuns) {
        it.set("evacuated_domain_runs", runs, {{"queue", queue}});
    }
    it.lastEvacuatedRuns = std::move(evacuatedRuns);
    it.setUnstored(node.schedulers(), now);
    it.set("catalog_version", static_cast<double>(node.catalog().version));
    it.set("catalog_age_seconds", toSeconds(now - node.catalogConfirmedAt()));
}

std::string NodeMetrics::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, m_impl->registry.Collect());
    return out.str();
}

} // namespace QuetzalRock::Workflow
