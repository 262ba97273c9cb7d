/**
 * The duty of scheduling this failure domain's shard: one thread that takes over the journal when this process is the
 * candidate, drives the scheduler, and stands down when it is fenced off.
 *
 * Index of this file
 *   Candidacy    who says whether this process should own the shard
 *   ShardDuty    the thread, and what the administration API needs of it
 */
#pragma once

#include <admin/backend.h>
#include <daemon/daemonsettings.h>
#include <daemon/platformbundle.h>
#include <journal/journal.h>
#include <placement/placementengine.h>

#include <memory>
#include <mutex>
#include <thread>

namespace QuetzalRock {

/** A hint only: the journal's fencing keeps the promise, this keeps candidates from taking turns. */
class Candidacy
{
public:
    virtual ~Candidacy() = default;

    virtual bool shouldOwn() = 0;
    virtual void noteOwner(bool isOwner) = 0; ///< this process has taken over, or has stood down
};

class ShardDuty final : public ControlBackend
{
public:
    ShardDuty(const DaemonSettings &settings, PlatformBundle &platform, Candidacy &candidacy, Clock &clock);
    ~ShardDuty() override;

    void start();
    void stop(); ///< stands down and ends the thread; idempotent

    bool isOwner() const;

    JobId submit(const JobSpec &spec) override;
    void cancel(std::string_view tenant, std::string_view name) override;
    JobStatus describe(std::string_view tenant, std::string_view name) override;
    std::vector<JobStatus> jobs(JobId after, std::size_t limit) override;
    ShardStatus shard() override;
    std::string history() override;
    void changeOperator(std::string_view name) override;
    nlohmann::json debugState() override;

private:
    /** What lives from a takeover to standing down. */
    struct Tenure
    {
        Tenure(const DaemonSettings &settings, PlatformBundle &platform, Clock &clock, const std::string &writer);

        Journal journal;
        PlacementEngine engine;
        ShardScheduler scheduler;
    };

    void run();
    void serve(Tenure &tenure);
    void setCurrent(std::shared_ptr<Tenure> tenure);
    std::shared_ptr<Tenure> current() const; ///< throws NotRun where this process is not the owner
    bool isStopping() const;
    void pause(Duration duration); ///< shorter where the process stops

    template<typename T>
    T await(std::future<T> future, bool isWrite) const;

    const DaemonSettings &m_settings;
    PlatformBundle &m_platform;
    Candidacy &m_candidacy;
    Clock &m_clock;

    mutable std::mutex m_mutex; ///< guards the three below
    std::condition_variable m_wake;
    std::shared_ptr<Tenure> m_current;
    bool m_isStopping = false;

    std::uint64_t m_tenures = 0; ///< the thread's own
    std::thread m_thread;
};

} // namespace QuetzalRock
