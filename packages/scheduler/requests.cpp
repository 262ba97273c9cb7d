#include <scheduler/scheduler.h>

namespace QuetzalRock {

namespace {

template<typename Request>
void reject(const Request &request, const std::exception_ptr &error)
{
    if constexpr (std::is_same_v<Request, detail::ReadRequest>) {
        request.respond(error);
    } else {
        request.promise->set_exception(error);
    }
}

void rejectRequest(const detail::Request &request, const std::exception_ptr &error)
{
    std::visit([&error](const auto &it) { reject(it, error); }, request);
}

/** Returns a callback that completes @p promise with @p value, or with the error if it gets one. */
template<typename T>
std::function<void(const std::exception_ptr &)> makeCompletion(const detail::SharedPromise<T> &promise, const T &value)
{
    return [promise, value](const std::exception_ptr &error) {
        if (error) {
            promise->set_exception(error);
        } else {
            promise->set_value(value);
        }
    };
}

std::function<void(const std::exception_ptr &)> makeCompletion(const detail::SharedPromise<void> &promise)
{
    return [promise](const std::exception_ptr &error) {
        if (error) {
            promise->set_exception(error);
        } else {
            promise->set_value();
        }
    };
}

void checkDestination(const std::string &toDomain, const std::string &ownDomain)
{
    if (toDomain.empty() || toDomain == ownDomain) {
        throw InvalidArgument("to_domain", "must be a failure domain other than " + ownDomain);
    }
}

void checkAmount(const Resources &amount)
{
    if (!Resources{}.fitsIn(amount)) {
        throw InvalidArgument("amount", "must not contain negative values");
    }
}

constexpr Duration RejectionRetryDelay
    = std::chrono::seconds(1); ///< for callers, if this process is not the owner or its queue is full
constexpr int ShardShift = 48; ///< position of the shard number in a job id

} // namespace

/** Runs on the caller's thread. */
void ShardScheduler::enqueue(detail::Request request)
{
    if (m_isRejecting) {
        rejectRequest(request,
                      std::make_exception_ptr(NotRun("this process does not own the shard", RejectionRetryDelay)));
        return;
    }
    if (!m_requests.tryPush(std::move(request))) { // a failed push does not move from request
        const auto error = std::make_exception_ptr(NotRun("the request queue is full", RejectionRetryDelay));
        rejectRequest(request, error); // NOLINT(bugprone-use-after-move)
        return;
    }
    if (m_isRejecting) {
        rejectQueuedRequests(); // stepDown() may have emptied the queue just before this request was added
    }
    {
        std::lock_guard guard(m_wakeMutex);
        m_isWakeRequested = true;
    }
    m_wake.notify_one();
}

void ShardScheduler::dequeueRequests(TimePoint now)
{
    const bool areWritesPossible = !m_inDoubtBatch && (!m_isPlatformUnavailable || now >= m_nextAppend);
    if (!areWritesPossible) {
        rejectPendingRequests(now);
    }
    while (m_pendingRequests.size() < m_settings.queueCapacity) {
        std::optional<detail::Request> request = m_requests.tryPop();
        if (!request) {
            return;
        }
        if (const auto *read = std::get_if<detail::ReadRequest>(&*request)) {
            read->respond(nullptr);
        } else if (areWritesPossible) {
            m_pendingRequests.push_back(std::move(*request));
        } else {
            ++m_counters.refused;
            rejectRequest(*request,
                          std::make_exception_ptr(NotRun("the platform does not accept writes", retryAfter(now))));
        }
    }
}

void ShardScheduler::processPendingRequests()
{
    while (!m_pendingRequests.empty() && !m_batch.isFull) {
        const detail::Request &request = m_pendingRequests.front();
        try {
            std::visit([this](const auto &it) { process(it); }, request);
        } catch (const Error &) {
            rejectRequest(request, std::current_exception());
        }
        if (!m_batch.isFull) {
            m_pendingRequests.pop_front();
        }
    }
}

void ShardScheduler::rejectPendingRequests(TimePoint now)
{
    for (const detail::Request &it : m_pendingRequests) {
        ++m_counters.refused;
        rejectRequest(it, std::make_exception_ptr(NotRun("the platform does not accept writes", retryAfter(now))));
    }
    m_pendingRequests.clear();
}

void ShardScheduler::rejectQueuedRequests()
{
    while (const std::optional<detail::Request> request = m_requests.tryPop()) {
        rejectRequest(*request,
                      std::make_exception_ptr(NotRun("this process does not own the shard", RejectionRetryDelay)));
    }
}

void ShardScheduler::process(const detail::SubmitRequest &it)
{
    validateSpec(it.spec);
    const auto key = std::make_pair(it.spec.tenant, it.spec.name);
    const auto known = m_state.jobIdsByName.find(key);
    const auto inBatch = m_batch.submittedJobs.find(key);
    const bool isKnown = known != m_state.jobIdsByName.end();
    if (isKnown || inBatch != m_batch.submittedJobs.end()) {
        const JobSpec *earlier = isKnown ? m_state.findSpec(known->second) : &inBatch->second;
        if (earlier == nullptr || !isSameRequest(*earlier, it.spec)) {
            throw Conflict("tenant " + it.spec.tenant + " has a different job named " + it.spec.name);
        }
        if (isKnown) {
            it.promise->set_value(earlier->id);
        } else {
            m_batch.completions.push_back(makeCompletion(it.promise, earlier->id));
        }
        return;
    }
    JobSpec spec = it.spec;
    spec.id = (JobId(m_settings.shard) << ShardShift) | (m_lastJobNumber + 1);
    if (!tryAddRecord(JobSubmitted{spec, m_clock.wallNow()})) {
        return;
    }
    ++m_lastJobNumber;
    m_batch.completions.push_back(makeCompletion(it.promise, spec.id));
    m_batch.submittedJobs.emplace(key, std::move(spec));
}

void ShardScheduler::process(const detail::CancelRequest &it)
{
    const JobState *job = m_state.findJob(it.job);
    if (job == nullptr && m_state.findSpec(it.job) == nullptr) {
        throw NotFound("no job " + std::to_string(it.job));
    }
    if (job == nullptr || job->phase != JobPhase::Active) {
        it.promise->set_value();
        return;
    }
    if (!m_batch.endedJobs.contains(it.job)) {
        if (!tryAddRecord(JobCancelled{it.job, m_clock.wallNow()})) {
            return;
        }
        m_batch.endedJobs.insert(it.job);
    }
    m_batch.completions.push_back(makeCompletion(it.promise));
}

void ShardScheduler::process(const detail::TransferJobRequest &it)
{
    checkDestination(it.toDomain, m_settings.failureDomain);
    const JobState *job = m_state.findJob(it.job);
    if (job == nullptr) {
        throw NotFound("no active job " + std::to_string(it.job));
    }
    if (job->phase != JobPhase::Active || m_batch.endedJobs.contains(it.job)) {
        throw Conflict("job " + std::to_string(it.job) + " has ended");
    }
    if (job->hasActiveAttempt()) {
        throw Conflict("job " + std::to_string(it.job) + " has attempts that may be running");
    }
    const TransferId id{m_settings.shard, m_lastTransferNumber + 1};
    if (!tryAddRecord(TransferInitiated{id, it.toDomain, it.job, {}, {}, m_clock.wallNow()})) {
        return;
    }
    ++m_lastTransferNumber;
    m_batch.endedJobs.insert(it.job);
    m_batch.completions.push_back(makeCompletion(it.promise, id));
}

void ShardScheduler::process(const detail::TransferAllotmentRequest &it)
{
    checkDestination(it.toDomain, m_settings.failureDomain);
    checkAmount(it.amount);
    const auto held = m_state.allotments.find(it.tenant);
    const Resources total = held == m_state.allotments.end() ? Resources{} : held->second;
    Resources &transferred = m_batch.transferredAllotments[it.tenant];
    if (!(transferred + it.amount).fitsIn(total)) {
        throw Conflict("the allotment of tenant " + it.tenant + " in " + m_settings.failureDomain + " is too small");
    }
    const TransferId id{m_settings.shard, m_lastTransferNumber + 1};
    if (!tryAddRecord(TransferInitiated{id, it.toDomain, 0, it.tenant, it.amount, m_clock.wallNow()})) {
        return;
    }
    ++m_lastTransferNumber;
    transferred += it.amount;
    m_batch.completions.push_back(makeCompletion(it.promise, id));
}

void ShardScheduler::process(const detail::AcceptOfferRequest &it)
{
    const TransferOffer &offer = it.offer;
    if (offer.toDomain != m_settings.failureDomain) {
        throw InvalidArgument("to_domain", "the offer must be for " + m_settings.failureDomain);
    }
    const auto from = m_state.acceptedTransfers.find(offer.id.shard);
    if (from != m_state.acceptedTransfers.end() && from->second.contains(offer.id.number)) {
        it.promise->set_value();
        return;
    }
    if (!m_batch.acceptedTransferIds.contains(offer.id)) {
        const TransferAccepted record{offer.id,
                                      offer.fromDomain,
                                      offer.spec,
                                      offer.tasks,
                                      offer.tenant,
                                      offer.amount,
                                      offer.acknowledgedBelow,
                                      m_clock.wallNow()};
        if (!tryAddRecord(record)) {
            return;
        }
        m_batch.acceptedTransferIds.insert(offer.id);
    }
    m_batch.completions.push_back(makeCompletion(it.promise));
}

void ShardScheduler::process(const detail::AcknowledgeTransferRequest &it)
{
    if (!m_state.pendingTransfers.contains(it.id)) {
        it.promise->set_value();
        return;
    }
    if (tryAddRecord(TransferAcknowledged{it.id})) {
        m_batch.completions.push_back(makeCompletion(it.promise));
    }
}

void ShardScheduler::process(const detail::SetAllotmentRequest &it)
{
    checkAmount(it.amount);
    if (tryAddRecord(AllotmentSet{it.tenant, it.amount})) {
        m_batch.completions.push_back(makeCompletion(it.promise));
    }
}

void ShardScheduler::process(const detail::ChangeOperatorRequest &it)
{
    if (tryAddRecord(OperatorChanged{it.operatorName, m_clock.wallNow()})) {
        m_batch.completions.push_back(makeCompletion(it.promise));
    }
}

void ShardScheduler::process(const detail::ReadRequest &it)
{
    it.respond(nullptr);
}

void ShardScheduler::validateSpec(const JobSpec &spec) const
{
    if (spec.tenant.empty()) {
        throw InvalidArgument("tenant", "must not be empty");
    }
    if (spec.name.empty()) {
        throw InvalidArgument("name", "must not be empty; identifies the job within its tenant");
    }
    if (spec.taskCount == 0 || spec.taskCount > m_settings.maxTasksPerJob) {
        throw InvalidArgument("task_count", "must be 1 to " + std::to_string(m_settings.maxTasksPerJob));
    }
    if (!Resources{}.fitsIn(spec.resources)) {
        throw InvalidArgument("resources", "must not contain negative values");
    }
}

} // namespace QuetzalRock
