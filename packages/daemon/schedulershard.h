/**
 * The scheduler shard of this failure domain. While this process owns the shard, one thread runs the scheduler.
 *
 * Index of this file
 *   SchedulerShard   acquires and releases the shard; the ControlBackend of the administration API
 */
#pragma once

#include <admin/backend.h>
#include <daemon/daemonsettings.h>
#include <daemon/hostedshard.h>
#include <daemon/platformbundle.h>
#include <journal/journal.h>
#include <placement/placementengine.h>
#include <settings/propagation.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace QuetzalRock {

class SchedulerShard final : public HostedShard, public ControlBackend
{
public:
    SchedulerShard(const DaemonSettings &settings, PlatformBundle &platform, Clock &clock);
    ~SchedulerShard() override;

    /** Returns the operators' settings in effect. Set it before the first acquire(). */
    using SettingsSource = std::function<std::shared_ptr<const SettingsVersion>()>;
    void setSettingsSource(SettingsSource source);

    const std::string &shardName() const override;
    std::uint64_t acquire() override;
    void release() override;
    std::uint64_t fencedEpoch() const override;

    bool isOwner() const;

    JobId submit(const JobSpec &spec) override;
    void cancel(std::string_view tenant, std::string_view name) override;
    JobStatus describe(std::string_view tenant, std::string_view name) override;
    std::vector<JobStatus> jobs(JobId after, std::size_t limit) override;
    ShardStatus shard() override;
    std::string history() override;
    void changeOperator(std::string_view name) override;

private:
    /** The state of one ownership of the shard, from the takeover until it is released or fenced. */
    struct OwnerTerm
    {
        OwnerTerm(const DaemonSettings &settings,
                  PlatformBundle &platform,
                  Clock &clock,
                  const JournalSettings &journalSettings);

        Journal journal;
        PlacementEngine engine;
        ShardScheduler scheduler;
        std::uint64_t epoch = 0;
        std::shared_ptr<const SettingsVersion> settings; ///< settings last applied to the engine; null: none yet
        std::atomic<bool> isStopping = false;
        std::atomic<bool> isFenced = false;
        std::thread thread;
    };

    void runScheduler(OwnerTerm &term);
    void applySettings(OwnerTerm &term);                   ///< only if their version has changed
    std::shared_ptr<OwnerTerm> requireCurrentTerm() const; ///< throws NotRun if this process is not the owner
    JournalSettings journalSettings();

    template<typename T>
    T awaitReply(std::future<T> future, bool isWrite) const;

    const DaemonSettings &m_settings;
    PlatformBundle &m_platform;
    Clock &m_clock;
    const std::string m_name;
    SettingsSource m_settingsSource;

    mutable std::mutex m_mutex; ///< guards m_currentTerm
    std::shared_ptr<OwnerTerm> m_currentTerm;
    std::uint64_t m_termCount = 0; ///< takeovers by this process; only used by the thread that calls acquire()
    /** True if the journal was written by a newer version. Only used by the thread that calls acquire(). */
    bool m_isTooOld = false;
};

} // namespace QuetzalRock
