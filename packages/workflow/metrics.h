/**
 * Metrics of a node in the Prometheus text format.
 *
 * Index of this file
 *   WorkflowObserver   notified by schedulers of job events that histograms record
 *   NodeMetrics        Prometheus registry with histograms and with counters and gauges copied from the node
 *
 * Metrics (all start with quetzalrock_)
 *   first_start_seconds{queue}        from acceptance to the first start of a task
 *   job_seconds{queue,state}          from acceptance to the end of the job
 *   starts_total, starts_rejected_total, starts_unanswered_total, runs_total{end}, stops_total, throttles_total,
 *   paced_starts_total, untracked_images_total, writes_total, tasks_given_total, tasks_taken_total, jobs_moved_total,
 *   jobs_taken_total, worker_crashes_total, worker_crashes_at_start_total, tasks_given_up_total
 *                                     all with {shard}: counted while this node led the shard
 *   intake_total{outcome}, questions_total
 *                                     callers' writes by outcome ("accepted" counts submissions only), and queries
 *   shards_handed_over_total          shards that this node has handed over to one that leads fewer
 *   led_shards, ready, active_jobs, catalog_version, catalog_age_seconds
 *                                     gauges; active_jobs covers the shards that this node leads; the age is the time
 *                                     since the store confirmed that the catalog is the newest
 *   rejected_no_room_total{queue}     jobs rejected because they would have ended too late
 *   forecast_wait_seconds{queue}      gauge: wait that this node last forecast for a new job
 *   evacuations_requested             gauge: failure domains that an operator has evacuated
 *   evacuated_domain_runs{queue}      gauge: what still runs there, in the shards that this node leads
 *   forwarded_total{outcome}, forwards_received_total, forwards_in_flight, peers
 *                                     requests that this node forwarded to others, by outcome (served, refused, not_sent,
 *                                     unanswered, no_peer), and requests that it got from others; only if forwarding is on
 *   waiting_tasks{queue}, oldest_wait_seconds{queue}
 *                                     gauges, in the shards that this node leads: due tasks that run nowhere, and the
 *                                     wait of the one that has waited longest; 0 without any
 *   shard_oldest_wait_seconds{shard,tasks}   gauge, in the shards that this node leads: the longest wait of a long-running and of
 *                                     any other task; compare the shards
 *   oldest_wait_at_times_seconds{queue}   histogram of oldest_wait_seconds, observed once a second from the first wait
 *                                     in the queue on
 *   diagnosed_waiting_tasks{why}      gauge: tasks of the few steps that the last checks have diagnosed, by reason; see
 *                                     waiting.h
 *   turned_away_wait_seconds{why}     gauge: wait of the oldest task that no worker of its shard takes, by what most of
 *                                     them turn it away for when its step was last diagnosed
 *   waiting_long_running_tasks{why}   gauge: long-running tasks that have waited for seconds, for unread workers or room
 *   suspected_tasks{state}            gauge: tasks that may crash their workers: waiting for a trial, or tried
 *   oldest_suspect_wait_seconds       gauge: longest time since the last crash that a waiting one is suspected for
 *   unstored_jobs{class}, oldest_unstored_seconds{class}
 *                                     gauges: jobs whose progress waits to be stored, apart from those in a write, and the
 *                                     longest wait, by StoreClass; see storequeue.h
 *   progress_writes_in_flight         gauge
 *   log_lines_left_out_total          log lines suppressed by the rate limit
 */
#pragma once

#include <workflow/model.h>

#include <base/clock.h>

#include <memory>
#include <string>

namespace QuetzalRock::Workflow {

class Node;

class WorkflowObserver
{
public:
    virtual ~WorkflowObserver() = default;

    virtual void onFirstStart(std::string_view queue, Duration age) = 0;
    virtual void onFinal(std::string_view queue, WorkflowState state, Duration age) = 0;
};

class NodeMetrics final : public WorkflowObserver
{
public:
    NodeMetrics();
    ~NodeMetrics() override;
    NodeMetrics(const NodeMetrics &) = delete;
    NodeMetrics &operator=(const NodeMetrics &) = delete;

    void onFirstStart(std::string_view queue, Duration age) override;
    void onFinal(std::string_view queue, WorkflowState state, Duration age) override;

    /** Copies the node's counters; to be called on the node's thread, about once a second. */
    void update(const Node &node, TimePoint now, std::uint64_t logLinesLeftOut);

    std::string text() const; ///< thread-safe

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace QuetzalRock::Workflow
