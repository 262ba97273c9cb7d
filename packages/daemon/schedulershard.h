/**
 * The scheduler's shard of this failure domain: while this process owns it, one thread drives the scheduler.
 *
 * Index of this file
 *   SchedulerShard   acquire and release; and what the administration API needs
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

    /** Where the operators' settings in force are read; before the first acquire(). */
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
    /** What lives from a takeover to standing down. */
    struct Tenure
    {
        Tenure(const DaemonSettings &settings,
               PlatformBundle &platform,
               Clock &clock,
               const JournalSettings &journalSettings);

        Journal journal;
        PlacementEngine engine;
        ShardScheduler scheduler;
        std::uint64_t epoch = 0;
        std::shared_ptr<const SettingsVersion> settings; ///< as applied; null: none yet
        std::atomic<bool> isStopping = false;
        std::atomic<bool> isFenced = false;
        std::thread thread;
    };

    void serve(Tenure &tenure);
    void applySettings(Tenure &tenure);      ///< where their version has changed
    std::shared_ptr<Tenure> current() const; ///< throws NotRun where this process is not the owner
    JournalSettings journalSettings();

    template<typename T>
    T await(std::future<T> future, bool isWrite) const;

    const DaemonSettings &m_settings;
    PlatformBundle &m_platform;
    Clock &m_clock;
    const std::string m_name;
    SettingsSource m_settingsSource;

    mutable std::mutex m_mutex; ///< guards m_current
    std::shared_ptr<Tenure> m_current;
    std::uint64_t m_tenures = 0; ///< of the thread that acquires
    bool m_isTooOld = false;     ///< of the thread that acquires: a newer version has written the journal
};

} // namespace QuetzalRock
