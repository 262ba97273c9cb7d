#include <daemon/shardduty.h>

#include <glog/logging.h>

namespace QuetzalRock {

namespace {

constexpr Duration CandidateEvery = std::chrono::milliseconds(200); ///< between two looks at the candidacy
constexpr Duration TakeOverRetry = std::chrono::seconds(1);
constexpr Duration ComeBack = std::chrono::seconds(1);     ///< told to callers while there is no owner here
constexpr Duration AnswerMargin = std::chrono::seconds(1); ///< beyond the scheduler's own limit

SchedulerSettings schedulerSettings(const DaemonSettings &settings)
{
    SchedulerSettings scheduler;
    scheduler.shard = static_cast<std::uint16_t>(settings.scheduler.shard);
    scheduler.failureDomain = settings.process.failureDomain;
    scheduler.stepEvery = settings.scheduler.stepEvery;
    scheduler.appendEvery = settings.scheduler.appendEvery;
    scheduler.answerWithin = settings.scheduler.answerWithin;
    return scheduler;
}

JournalSettings journalSettings(const DaemonSettings &settings, const std::string &writer)
{
    JournalSettings journal;
    journal.name = "shard-" + std::to_string(settings.scheduler.shard);
    journal.writer = writer;
    return journal;
}

} // namespace

ShardDuty::Tenure::Tenure(const DaemonSettings &settings,
                          PlatformBundle &platform,
                          Clock &clock,
                          const std::string &writer)
    : journal(platform.keyValue(), journalSettings(settings, writer))
    , engine(PlacementSettings{})
    , scheduler(schedulerSettings(settings), journal, engine, platform.workers(), platform.vmList(), clock)
{
}

ShardDuty::ShardDuty(const DaemonSettings &settings, PlatformBundle &platform, Candidacy &candidacy, Clock &clock)
    : m_settings(settings)
    , m_platform(platform)
    , m_candidacy(candidacy)
    , m_clock(clock)
{
}

ShardDuty::~ShardDuty()
{
    stop();
}

void ShardDuty::start()
{
    m_thread = std::thread([this] { run(); });
}

void ShardDuty::stop()
{
    {
        std::lock_guard guard(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool ShardDuty::isOwner() const
{
    std::lock_guard guard(m_mutex);
    return m_current != nullptr;
}

void ShardDuty::run()
{
    while (!isStopping()) {
        if (!m_candidacy.shouldOwn()) {
            pause(CandidateEvery);
            continue;
        }
        // Unique over restarts: two processes of one name must not take each other's batches for their own.
        const std::string writer = m_settings.process.name + "." + std::to_string(m_clock.wallNow().count()) + "."
                                   + std::to_string(++m_tenures);
        const auto tenure = std::make_shared<Tenure>(m_settings, m_platform, m_clock, writer);
        try {
            tenure->scheduler.takeOver();
        } catch (const Error &error) {
            LOG_EVERY_N(WARNING, 60) << "shard " << m_settings.scheduler.shard << " not taken over: " << error.what();
            pause(TakeOverRetry);
            continue;
        }
        LOG(INFO) << "shard " << m_settings.scheduler.shard << " taken over, epoch " << tenure->journal.epoch();
        setCurrent(tenure);
        m_candidacy.noteOwner(true);
        serve(*tenure);
        setCurrent(nullptr);
        tenure->scheduler.standDown();
        m_candidacy.noteOwner(false);
        LOG(INFO) << "shard " << m_settings.scheduler.shard << " given up";
    }
}

void ShardDuty::serve(Tenure &tenure)
{
    while (!isStopping()) {
        if (tenure.scheduler.step(m_clock.now()) == StepOutcome::StoodDown) {
            return;
        }
        tenure.scheduler.waitForWork(m_clock.now() + m_settings.scheduler.stepEvery);
    }
}

JobId ShardDuty::submit(const JobSpec &spec)
{
    return await(current()->scheduler.submit(spec), true);
}

void ShardDuty::cancel(std::string_view tenant, std::string_view name)
{
    const auto tenure = current();
    const JobId job = await(tenure->scheduler.find(std::string(tenant), std::string(name)), false);
    await(tenure->scheduler.cancel(job), true);
}

JobStatus ShardDuty::describe(std::string_view tenant, std::string_view name)
{
    const auto tenure = current();
    const JobId job = await(tenure->scheduler.find(std::string(tenant), std::string(name)), false);
    return await(tenure->scheduler.describe(job), false);
}

std::vector<JobStatus> ShardDuty::jobs(JobId after, std::size_t limit)
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

ShardStatus ShardDuty::shard()
{
    return await(current()->scheduler.status(), false);
}

std::string ShardDuty::history()
{
    return await(current()->scheduler.exportHistory(), false);
}

void ShardDuty::changeOperator(std::string_view name)
{
    await(current()->scheduler.changeOperator(std::string(name)), true);
}

nlohmann::json ShardDuty::debugState()
{
    nlohmann::json state{{"name", m_settings.process.name},
                         {"failure_domain", m_settings.process.failureDomain},
                         {"shard", m_settings.scheduler.shard},
                         {"is_owner", isOwner()}};
    return state;
}

void ShardDuty::setCurrent(std::shared_ptr<Tenure> tenure)
{
    std::lock_guard guard(m_mutex);
    m_current = std::move(tenure);
}

std::shared_ptr<ShardDuty::Tenure> ShardDuty::current() const
{
    std::lock_guard guard(m_mutex);
    if (!m_current) {
        throw NotRun("this process does not own the failure domain's shard at present", ComeBack);
    }
    return m_current;
}

bool ShardDuty::isStopping() const
{
    std::lock_guard guard(m_mutex);
    return m_isStopping;
}

void ShardDuty::pause(Duration duration)
{
    const TimePoint until = m_clock.now() + duration;
    std::unique_lock lock(m_mutex);
    while (!m_isStopping && m_clock.now() < until) {
        m_clock.waitUntil(lock, m_wake, until);
    }
}

template<typename T>
T ShardDuty::await(std::future<T> future, bool isWrite) const
{
    const Duration limit = m_settings.scheduler.answerWithin + AnswerMargin;
    if (future.wait_for(limit) == std::future_status::ready) {
        return future.get();
    }
    if (isWrite) {
        throw OutcomeUnknown("the scheduler did not answer in time");
    }
    throw NotRun("the scheduler did not answer in time", ComeBack);
}

} // namespace QuetzalRock
