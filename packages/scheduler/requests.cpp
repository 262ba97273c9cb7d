#include <scheduler/scheduler.h>

namespace QuetzalRock {

namespace {

template<typename Request>
void refuse(const Request &request, const std::exception_ptr &error)
{
    if constexpr (std::is_same_v<Request, detail::Question>) {
        request.ask(error);
    } else {
        request.answer->set_exception(error);
    }
}

void refuseAny(const detail::Request &request, const std::exception_ptr &error)
{
    std::visit([&error](const auto &it) { refuse(it, error); }, request);
}

/** Settles @p answer with @p value once a batch is durable, or with the error that befell it. */
template<typename T>
std::function<void(const std::exception_ptr &)> settler(const detail::Answer<T> &answer, const T &value)
{
    return [answer, value](const std::exception_ptr &error) {
        if (error) {
            answer->set_exception(error);
        } else {
            answer->set_value(value);
        }
    };
}

std::function<void(const std::exception_ptr &)> settler(const detail::Answer<void> &answer)
{
    return [answer](const std::exception_ptr &error) {
        if (error) {
            answer->set_exception(error);
        } else {
            answer->set_value();
        }
    };
}

void checkDestination(const std::string &toDomain, const std::string &ownDomain)
{
    if (toDomain.empty() || toDomain == ownDomain) {
        throw InvalidArgument("to_domain", "name another failure domain than " + ownDomain);
    }
}

void checkAmount(const Resources &amount)
{
    if (!Resources{}.fitsIn(amount)) {
        throw InvalidArgument("amount", "no component may be negative");
    }
}

constexpr Duration RetryElsewhere = std::chrono::seconds(1); ///< while this process is not the owner, or has too much
constexpr int ShardBit = 48;                                 ///< of a job id

} // namespace

/** Runs on the caller's thread. */
void ShardScheduler::enqueue(detail::Request request)
{
    if (m_isRefusing) {
        refuseAny(request, std::make_exception_ptr(NotRun("this process does not own the shard", RetryElsewhere)));
        return;
    }
    if (!m_requests.tryPush(std::move(request))) { // untouched where it was not taken
        const auto error = std::make_exception_ptr(NotRun("too many requests wait", RetryElsewhere));
        refuseAny(request, error); // NOLINT(bugprone-use-after-move)
        return;
    }
    if (m_isRefusing) {
        refuseQueue(); // it stood down in between, and may have emptied the queue before this one came
    }
    {
        std::lock_guard guard(m_wakeMutex);
        m_isWoken = true;
    }
    m_wake.notify_one();
}

void ShardScheduler::takeRequests(TimePoint now)
{
    const bool isWriting = !m_doubt && (!m_isAway || now >= m_nextAppend);
    if (!isWriting) {
        refuseWaiting(now);
    }
    while (m_waiting.size() < m_settings.queueCapacity) {
        std::optional<detail::Request> request = m_requests.tryPop();
        if (!request) {
            return;
        }
        if (const auto *question = std::get_if<detail::Question>(&*request)) {
            question->ask(nullptr);
        } else if (isWriting) {
            m_waiting.push_back(std::move(*request));
        } else {
            ++m_counters.refused;
            refuseAny(*request, std::make_exception_ptr(NotRun("the platform does not take writes", retryAfter(now))));
        }
    }
}

void ShardScheduler::judgeWaiting()
{
    while (!m_waiting.empty() && !m_batch.isFull) {
        const detail::Request &request = m_waiting.front();
        try {
            std::visit([this](const auto &it) { judge(it); }, request);
        } catch (const Error &) {
            refuseAny(request, std::current_exception());
        }
        if (!m_batch.isFull) {
            m_waiting.pop_front();
        }
    }
}

void ShardScheduler::refuseWaiting(TimePoint now)
{
    for (const detail::Request &it : m_waiting) {
        ++m_counters.refused;
        refuseAny(it, std::make_exception_ptr(NotRun("the platform does not take writes", retryAfter(now))));
    }
    m_waiting.clear();
}

void ShardScheduler::refuseQueue()
{
    while (const std::optional<detail::Request> request = m_requests.tryPop()) {
        refuseAny(*request, std::make_exception_ptr(NotRun("this process does not own the shard", RetryElsewhere)));
    }
}

void ShardScheduler::judge(const detail::SubmitRequest &it)
{
    checkSpec(it.spec);
    const auto key = std::make_pair(it.spec.tenant, it.spec.name);
    const auto known = m_state.names.find(key);
    const auto inBatch = m_batch.names.find(key);
    const bool isKnown = known != m_state.names.end();
    if (isKnown || inBatch != m_batch.names.end()) {
        const JobSpec *earlier = isKnown ? m_state.findSpec(known->second) : &inBatch->second;
        if (earlier == nullptr || !isSameRequest(*earlier, it.spec)) {
            throw Conflict("another job of " + it.spec.tenant + " is named " + it.spec.name);
        }
        if (isKnown) {
            it.answer->set_value(earlier->id);
        } else {
            m_batch.answers.push_back(settler(it.answer, earlier->id));
        }
        return;
    }
    JobSpec spec = it.spec;
    spec.id = (JobId(m_settings.shard) << ShardBit) | (m_lastJobNumber + 1);
    if (!tryAdd(JobSubmitted{spec, m_clock.wallNow()})) {
        return;
    }
    ++m_lastJobNumber;
    m_batch.answers.push_back(settler(it.answer, spec.id));
    m_batch.names.emplace(key, std::move(spec));
}

void ShardScheduler::judge(const detail::CancelRequest &it)
{
    const JobState *job = m_state.findJob(it.job);
    if (job == nullptr && m_state.findSpec(it.job) == nullptr) {
        throw NotFound("no job " + std::to_string(it.job));
    }
    if (job == nullptr || job->phase != JobPhase::Active) {
        it.answer->set_value();
        return;
    }
    if (!m_batch.endedJobs.contains(it.job)) {
        if (!tryAdd(JobCancelled{it.job, m_clock.wallNow()})) {
            return;
        }
        m_batch.endedJobs.insert(it.job);
    }
    m_batch.answers.push_back(settler(it.answer));
}

void ShardScheduler::judge(const detail::GiveJobRequest &it)
{
    checkDestination(it.toDomain, m_settings.failureDomain);
    const JobState *job = m_state.findJob(it.job);
    if (job == nullptr) {
        throw NotFound("no open job " + std::to_string(it.job));
    }
    if (job->phase != JobPhase::Active || m_batch.endedJobs.contains(it.job)) {
        throw Conflict("job " + std::to_string(it.job) + " is over");
    }
    if (job->hasActiveAttempt()) {
        throw Conflict("job " + std::to_string(it.job) + " has attempts that may be running");
    }
    const TransferId id{m_settings.shard, m_lastTransferNumber + 1};
    if (!tryAdd(TransferGiven{id, it.toDomain, it.job, {}, {}, m_clock.wallNow()})) {
        return;
    }
    ++m_lastTransferNumber;
    m_batch.endedJobs.insert(it.job);
    m_batch.answers.push_back(settler(it.answer, id));
}

void ShardScheduler::judge(const detail::GiveAllotmentRequest &it)
{
    checkDestination(it.toDomain, m_settings.failureDomain);
    checkAmount(it.amount);
    const auto held = m_state.allotments.find(it.tenant);
    const Resources total = held == m_state.allotments.end() ? Resources{} : held->second;
    Resources &given = m_batch.givenAllotments[it.tenant];
    if (!(given + it.amount).fitsIn(total)) {
        throw Conflict("the allotment of " + it.tenant + " in " + m_settings.failureDomain + " is smaller");
    }
    const TransferId id{m_settings.shard, m_lastTransferNumber + 1};
    if (!tryAdd(TransferGiven{id, it.toDomain, 0, it.tenant, it.amount, m_clock.wallNow()})) {
        return;
    }
    ++m_lastTransferNumber;
    given += it.amount;
    m_batch.answers.push_back(settler(it.answer, id));
}

void ShardScheduler::judge(const detail::AcceptRequest &it)
{
    const TransferOffer &offer = it.offer;
    if (offer.toDomain != m_settings.failureDomain) {
        throw InvalidArgument("to_domain", "this is " + m_settings.failureDomain);
    }
    const auto from = m_state.accepted.find(offer.id.shard);
    if (from != m_state.accepted.end() && from->second.contains(offer.id.number)) {
        it.answer->set_value();
        return;
    }
    if (!m_batch.transfers.contains(offer.id)) {
        const TransferAccepted record{offer.id,
                                      offer.fromDomain,
                                      offer.spec,
                                      offer.tasks,
                                      offer.tenant,
                                      offer.amount,
                                      offer.settledBelow,
                                      m_clock.wallNow()};
        if (!tryAdd(record)) {
            return;
        }
        m_batch.transfers.insert(offer.id);
    }
    m_batch.answers.push_back(settler(it.answer));
}

void ShardScheduler::judge(const detail::SettleRequest &it)
{
    if (!m_state.given.contains(it.id)) {
        it.answer->set_value();
        return;
    }
    if (tryAdd(TransferSettled{it.id})) {
        m_batch.answers.push_back(settler(it.answer));
    }
}

void ShardScheduler::judge(const detail::AllotmentRequest &it)
{
    checkAmount(it.amount);
    if (tryAdd(AllotmentSet{it.tenant, it.amount})) {
        m_batch.answers.push_back(settler(it.answer));
    }
}

void ShardScheduler::judge(const detail::OperatorRequest &it)
{
    if (tryAdd(OperatorChanged{it.operatorName, m_clock.wallNow()})) {
        m_batch.answers.push_back(settler(it.answer));
    }
}

void ShardScheduler::judge(const detail::Question &it)
{
    it.ask(nullptr);
}

void ShardScheduler::checkSpec(const JobSpec &spec) const
{
    if (spec.tenant.empty()) {
        throw InvalidArgument("tenant", "a job belongs to a tenant");
    }
    if (spec.name.empty()) {
        throw InvalidArgument("name", "a job needs a name, unique within its tenant");
    }
    if (spec.taskCount == 0 || spec.taskCount > m_settings.maxTasksPerJob) {
        throw InvalidArgument("task_count", "allowed: 1 to " + std::to_string(m_settings.maxTasksPerJob));
    }
    if (!Resources{}.fitsIn(spec.resources)) {
        throw InvalidArgument("resources", "no component may be negative");
    }
}

} // namespace QuetzalRock
