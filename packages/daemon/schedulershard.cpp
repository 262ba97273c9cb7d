#include <daemon/schedulershard.h>

#include <daemon/placementpolicy.h>

#include <glog/logging.h>

namespace QuetzalRock {

namespace {

constexpr Duration ComeBack = std::chrono::seconds(1);     ///< told to callers while there is no owner here
constexpr Duration AnswerMargin = std::chrono::seconds(1); ///< beyond the scheduler's own limit

SchedulerSettings schedulerSettings(const DaemonSettings &settings)
{
    SchedulerSettings scheduler;
    scheduler.shard = static_cast<std::uint16_t>(settings.scheduler.shard);
    scheduler.failureDomain = settings.process.failureDomain;
    scheduler.stepEvery = settings.scheduler.stepEvery;
    scheduler.appendEvery = settings.scheduler.appendEvery;
    scheduler.unresolvedWriteTimeout = settings.scheduler.answerWithin;
    return scheduler;
}

} // namespace

SchedulerShard::Tenure::Tenure(const DaemonSettings &settings,
                               PlatformBundle &platform,
                               Clock &clock,
                               const JournalSettings &journalSettings)
    : journal(platform.keyValue(), journalSettings)
    , engine(PlacementSettings{})
    , scheduler(schedulerSettings(settings), journal, engine, platform.workers(), platform.vmList(), clock)
{
}

SchedulerShard::SchedulerShard(const DaemonSettings &settings, PlatformBundle &platform, Clock &clock)
    : m_settings(settings)
    , m_platform(platform)
    , m_clock(clock)
    , m_name("shard-" + std::to_string(settings.scheduler.shard))
{
}

SchedulerShard::~SchedulerShard()
{
    release();
}

void SchedulerShard::setSettingsSource(SettingsSource source)
{
    m_settingsSource = std::move(source);
}

const std::string &SchedulerShard::shardName() const
{
    return m_name;
}

std::uint64_t SchedulerShard::acquire()
{
    release();
    if (m_isTooOld) {
        // Each further try would fence off the newer process that owns the shard by now.
        throw Unavailable(m_name + " was written by a newer version than this process");
    }
    const auto tenure = std::make_shared<Tenure>(m_settings, m_platform, m_clock, journalSettings());
    try {
        tenure->scheduler.takeOver();
    } catch (const IncompatibleRecord &error) {
        m_isTooOld = true;
        LOG(ERROR) << m_name << " needs a newer version: " << error.what();
        throw;
    }
    tenure->epoch = tenure->journal.epoch();
    LOG(INFO) << m_name << " taken over, epoch " << tenure->epoch;
    tenure->thread = std::thread([this, tenure = tenure.get()] { serve(*tenure); });
    std::lock_guard guard(m_mutex);
    m_current = tenure;
    return tenure->epoch;
}

void SchedulerShard::release()
{
    std::shared_ptr<Tenure> tenure;
    {
        std::lock_guard guard(m_mutex);
        tenure.swap(m_current);
    }
    if (!tenure) {
        return;
    }
    tenure->isStopping = true;
    tenure->thread.join();
    LOG(INFO) << m_name << " given up, epoch " << tenure->epoch;
}

std::uint64_t SchedulerShard::fencedEpoch() const
{
    std::lock_guard guard(m_mutex);
    return m_current && m_current->isFenced ? m_current->epoch : 0;
}

bool SchedulerShard::isOwner() const
{
    std::lock_guard guard(m_mutex);
    return m_current && !m_current->isFenced;
}

void SchedulerShard::serve(Tenure &tenure)
{
    while (!tenure.isStopping && !tenure.isFenced) {
        applySettings(tenure);
        const StepOutcome outcome = tenure.scheduler.step(m_clock.now());
        if (outcome == StepOutcome::SteppedDown) {
            tenure.isFenced = true;
            break;
        }
        // After a write there is mostly more to write, such as the assignments of what was submitted.
        const bool isBusy = outcome == StepOutcome::Progressed;
        const SchedulerSection &pace = m_settings.scheduler;
        tenure.scheduler.waitForWork(m_clock.now()
                                     + (isBusy ? std::min(pace.appendEvery, pace.stepEvery) : pace.stepEvery));
    }
    tenure.scheduler.stepDown();
}

void SchedulerShard::applySettings(Tenure &tenure)
{
    const auto settings = m_settingsSource ? m_settingsSource() : nullptr;
    if (!settings || settings == tenure.settings) {
        return;
    }
    const SettingsPath domain{m_settings.process.region, m_settings.process.failureDomain, {}, {}};
    const SettingsTree &tree = settings->document.tree;
    tenure.engine.setSettings(placementSettings(domainPolicy(tree, domain)));
    tenure.engine.setTenants(tenantAllotments(tree, domain));
    tenure.settings = settings;
}

JobId SchedulerShard::submit(const JobSpec &spec)
{
    return await(current()->scheduler.submit(spec), true);
}

void SchedulerShard::cancel(std::string_view tenant, std::string_view name)
{
    const auto tenure = current();
    const JobId job = await(tenure->scheduler.find(std::string(tenant), std::string(name)), false);
    await(tenure->scheduler.cancel(job), true);
}

JobStatus SchedulerShard::describe(std::string_view tenant, std::string_view name)
{
    const auto tenure = current();
    const JobId job = await(tenure->scheduler.find(std::string(tenant), std::string(name)), false);
    return await(tenure->scheduler.describe(job), false);
}

std::vector<JobStatus> SchedulerShard::jobs(JobId after, std::size_t limit)
{
    const auto tenure = current();
    const ShardStatus status = await(tenure->scheduler.status(), false);
    std::vector<JobStatus> found;
    for (const JobId it : status.jobs) {
        if (it <= after || found.size() >= limit) {
            continue;
        }
        found.push_back(await(tenure->scheduler.describe(it), false));
    }
    return found;
}

ShardStatus SchedulerShard::shard()
{
    return await(current()->scheduler.status(), false);
}

std::string SchedulerShard::history()
{
    return await(current()->scheduler.exportHistory(), false);
}

void SchedulerShard::changeOperator(std::string_view name)
{
    await(current()->scheduler.changeOperator(std::string(name)), true);
}

std::shared_ptr<SchedulerShard::Tenure> SchedulerShard::current() const
{
    std::lock_guard guard(m_mutex);
    if (!m_current || m_current->isFenced) {
        throw NotRun("this process does not own the failure domain's shard at present", ComeBack);
    }
    return m_current;
}

JournalSettings SchedulerShard::journalSettings()
{
    // The writer is unique over restarts: two processes of one name must not take each other's batches for their own.
    JournalSettings journal;
    journal.name = m_name;
    journal.writer
        = m_settings.process.name + "." + std::to_string(m_clock.wallNow().count()) + "." + std::to_string(++m_tenures);
    return journal;
}

template<typename T>
T SchedulerShard::await(std::future<T> future, bool isWrite) const
{
    const Duration limit = m_settings.scheduler.answerWithin + AnswerMargin;
    if (future.wait_for(limit) == std::future_status::ready) {
        try {
            return future.get();
        } catch (const std::future_error &) {
            throw OutcomeUnknown("the scheduler ended before it could answer");
        }
    }
    if (isWrite) {
        throw OutcomeUnknown("the scheduler did not answer in time");
    }
    throw NotRun("the scheduler did not answer in time", ComeBack);
}

} // namespace QuetzalRock
