#include <daemon/schedulershard.h>

#include <daemon/placementpolicy.h>

#include <glog/logging.h>

namespace QuetzalRock {

namespace {

constexpr Duration RetryAfter = std::chrono::seconds(1); ///< Retry-After of a request that the scheduler did not run
constexpr Duration ReplyTimeoutMargin
    = std::chrono::seconds(1); ///< added to answer_ms, after which the scheduler itself replies

SchedulerSettings schedulerSettings(const DaemonSettings &settings)
{
    SchedulerSettings scheduler;
    scheduler.shard = static_cast<std::uint16_t>(settings.scheduler.shard);
    scheduler.failureDomain = settings.process.failureDomain;
    scheduler.stepEvery = settings.scheduler.maxStepInterval;
    scheduler.appendEvery = settings.scheduler.minAppendInterval;
    scheduler.unresolvedWriteTimeout = settings.scheduler.unresolvedWriteTimeout;
    return scheduler;
}

} // namespace

SchedulerShard::OwnerTerm::OwnerTerm(const DaemonSettings &settings,
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
        // Another takeover would fence the newer process that owns the shard by now.
        throw Unavailable(m_name + " was written by a newer version of quetzalrockd; this process cannot own it");
    }
    const auto term = std::make_shared<OwnerTerm>(m_settings, m_platform, m_clock, journalSettings());
    try {
        term->scheduler.takeOver();
    } catch (const IncompatibleRecord &error) {
        m_isTooOld = true;
        LOG(ERROR) << m_name << " cannot be read by this version: " << error.what();
        throw;
    }
    term->epoch = term->journal.epoch();
    LOG(INFO) << m_name << " taken over, epoch " << term->epoch;
    term->thread = std::thread([this, term = term.get()] { runScheduler(*term); });
    std::lock_guard guard(m_mutex);
    m_currentTerm = term;
    return term->epoch;
}

void SchedulerShard::release()
{
    std::shared_ptr<OwnerTerm> term;
    {
        std::lock_guard guard(m_mutex);
        term.swap(m_currentTerm);
    }
    if (!term) {
        return;
    }
    term->isStopping = true;
    term->thread.join();
    LOG(INFO) << m_name << " released, epoch " << term->epoch;
}

std::uint64_t SchedulerShard::fencedEpoch() const
{
    std::lock_guard guard(m_mutex);
    return m_currentTerm && m_currentTerm->isFenced ? m_currentTerm->epoch : 0;
}

bool SchedulerShard::isOwner() const
{
    std::lock_guard guard(m_mutex);
    return m_currentTerm && !m_currentTerm->isFenced;
}

void SchedulerShard::runScheduler(OwnerTerm &term)
{
    while (!term.isStopping && !term.isFenced) {
        applySettings(term);
        const StepOutcome outcome = term.scheduler.step(m_clock.now());
        if (outcome == StepOutcome::SteppedDown) {
            term.isFenced = true;
            break;
        }
        // A write is usually followed by another, such as the assignments of the jobs just submitted.
        const bool isBusy = outcome == StepOutcome::Progressed;
        const SchedulerSection &section = m_settings.scheduler;
        term.scheduler.waitForWork(
            m_clock.now()
            + (isBusy ? std::min(section.minAppendInterval, section.maxStepInterval) : section.maxStepInterval));
    }
    term.scheduler.stepDown();
}

void SchedulerShard::applySettings(OwnerTerm &term)
{
    const auto settings = m_settingsSource ? m_settingsSource() : nullptr;
    if (!settings || settings == term.settings) {
        return;
    }
    const SettingsPath domain{m_settings.process.region, m_settings.process.failureDomain, {}, {}};
    const SettingsTree &tree = settings->document.tree;
    term.engine.setSettings(placementSettings(domainPolicy(tree, domain)));
    term.engine.setTenants(tenantAllotments(tree, domain));
    term.settings = settings;
}

JobId SchedulerShard::submit(const JobSpec &spec)
{
    return awaitReply(requireCurrentTerm()->scheduler.submit(spec), true);
}

void SchedulerShard::cancel(std::string_view tenant, std::string_view name)
{
    const auto term = requireCurrentTerm();
    const JobId job = awaitReply(term->scheduler.find(std::string(tenant), std::string(name)), false);
    awaitReply(term->scheduler.cancel(job), true);
}

JobStatus SchedulerShard::describe(std::string_view tenant, std::string_view name)
{
    const auto term = requireCurrentTerm();
    const JobId job = awaitReply(term->scheduler.find(std::string(tenant), std::string(name)), false);
    return awaitReply(term->scheduler.describe(job), false);
}

std::vector<JobStatus> SchedulerShard::jobs(JobId after, std::size_t limit)
{
    const auto term = requireCurrentTerm();
    const ShardStatus status = awaitReply(term->scheduler.status(), false);
    std::vector<JobStatus> found;
    for (const JobId it : status.jobs) {
        if (it <= after || found.size() >= limit) {
            continue;
        }
        found.push_back(awaitReply(term->scheduler.describe(it), false));
    }
    return found;
}

ShardStatus SchedulerShard::shard()
{
    return awaitReply(requireCurrentTerm()->scheduler.status(), false);
}

std::string SchedulerShard::history()
{
    return awaitReply(requireCurrentTerm()->scheduler.exportHistory(), false);
}

void SchedulerShard::changeOperator(std::string_view name)
{
    awaitReply(requireCurrentTerm()->scheduler.changeOperator(std::string(name)), true);
}

std::shared_ptr<SchedulerShard::OwnerTerm> SchedulerShard::requireCurrentTerm() const
{
    std::lock_guard guard(m_mutex);
    if (!m_currentTerm || m_currentTerm->isFenced) {
        throw NotRun("this process does not own the scheduler shard of the failure domain", RetryAfter);
    }
    return m_currentTerm;
}

JournalSettings SchedulerShard::journalSettings()
{
    // The writer's name includes the start time, so it differs after a restart: two processes with the same name must not
    // mistake each other's batches for their own.
    JournalSettings journal;
    journal.name = m_name;
    journal.writer = m_settings.process.name + "." + std::to_string(m_clock.wallNow().count()) + "."
                     + std::to_string(++m_termCount);
    return journal;
}

template<typename T>
T SchedulerShard::awaitReply(std::future<T> future, bool isWrite) const
{
    const Duration limit = m_settings.scheduler.unresolvedWriteTimeout + ReplyTimeoutMargin;
    if (future.wait_for(limit) == std::future_status::ready) {
        try {
            return future.get();
        } catch (const std::future_error &) {
            throw OutcomeUnknown("the scheduler stopped before it replied");
        }
    }
    if (isWrite) {
        throw OutcomeUnknown("the scheduler did not reply in time");
    }
    throw NotRun("the scheduler did not reply in time", RetryAfter);
}

} // namespace QuetzalRock
