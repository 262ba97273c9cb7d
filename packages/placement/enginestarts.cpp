/** Order, admission and the choice of a worker. */
#include <placement/placementengine.h>

#include <cassert>
#include <limits>

namespace QuetzalRock {

namespace {

constexpr int UrgentBand = 0;
constexpr int BatchBand = 2;
constexpr double GrowthWorthTaking = 1.05; ///< learned over declared size from which a start asks for more

double fraction(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

Resources times(const Resources &one, std::int64_t n)
{
    return {one.cpuMillis * n, one.memoryMib * n, one.accelerators * n};
}

std::int64_t howOften(const Resources &need, const Resources &room)
{
    std::int64_t n = std::numeric_limits<std::int32_t>::max();
    if (need.cpuMillis > 0) {
        n = std::min(n, room.cpuMillis / need.cpuMillis);
    }
    if (need.memoryMib > 0) {
        n = std::min(n, room.memoryMib / need.memoryMib);
    }
    if (need.accelerators > 0) {
        n = std::min(n, room.accelerators / need.accelerators);
    }
    return std::max<std::int64_t>(0, n);
}

bool takesAny(const Resources &need, const Resources &lacking)
{
    return (lacking.cpuMillis > 0 && need.cpuMillis > 0) || (lacking.memoryMib > 0 && need.memoryMib > 0)
           || (lacking.accelerators > 0 && need.accelerators > 0);
}

std::string describe(const Resources &it)
{
    return std::to_string(it.cpuMillis) + " millis of processor, " + std::to_string(it.memoryMib) + " MiB, "
           + std::to_string(it.accelerators) + " accelerators";
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// One round
// ---------------------------------------------------------------------------------------------------------------------

Decisions PlacementEngine::decide(TimePoint now)
{
    m_now = std::max(m_now, now);
    Decisions out;
    if (m_fleetGrew) {
        m_fleetGrewAt = now;
        m_fleetGrew = false;
    }
    wakeDelayed(now);
    for (const WorkerIndex it : m_health.takeDueProbes(now)) {
        m_ledger.setBarred(it, false);
    }
    if (m_model.refresh(now)) {
        for (WorkerIndex it = 0; it < m_ledger.size(); ++it) {
            refreshServices(it);
        }
    }
    nameUnrunnable(now, out);
    pruneHolds();
    runGuards(now, out);
    refillShardTokens(now);
    m_failedShapes.clear();
    for (int band = 0; band < BandCount; ++band) {
        dispatch(band, now, out);
    }
    return out;
}

void PlacementEngine::dispatch(int band, TimePoint now, Decisions &out)
{
    struct Turn
    {
        double share;
        TenantSlot tenant;
        int tries;  ///< searches without a start
        int passed; ///< jobs passed over without a search
        QueueKey after;
        Resources lacking; ///< what the tenant's allotment lacks for a job further ahead: none behind it may take that

        bool operator>(const Turn &other) const
        {
            return std::tie(share, tenant) > std::tie(other.share, other.tenant);
        }
    };
    const QueueKey first{std::numeric_limits<std::int64_t>::min(), 0, 0};
    const Resources total = m_ledger.openCapacity();
    std::priority_queue<Turn, std::vector<Turn>, std::greater<>> turns;
    for (TenantSlot it = 0; it < m_tenants.size(); ++it) {
        if (!m_tenants[it].queues[band].empty()) {
            turns.push({m_tenants.dominantShare(it, total), it, 0, 0, first, {}});
        }
    }
    while (!turns.empty()) {
        Turn turn = turns.top();
        turns.pop();
        QueueKey key = turn.after;
        JobSlot slot = 0;
        if (!nextJob(turn.tenant, band, key, slot)) {
            continue;
        }
        const bool overtakes = takesAny(m_jobs[slot].spec.resources, turn.lacking);
        const Outcome outcome = overtakes ? overQuota(slot) : tryStart(slot, now, out);
        if (outcome == Outcome::ShardPaced) {
            return;
        }
        if (outcome == Outcome::OverQuota && !overtakes) {
            const Job &job = m_jobs[slot];
            const std::int64_t n = job.spec.gang ? static_cast<std::int64_t>(job.ready.size()) : 1;
            turn.lacking += m_tenants.lacking(turn.tenant, times(needOf(job), n));
        }
        if (outcome == Outcome::Started) {
            turn.share = m_tenants.dominantShare(turn.tenant, total);
        } else {
            turn.after = key;
            ++(outcome == Outcome::Blocked ? turn.tries : turn.passed);
        }
        if (turn.tries <= m_settings.backfillDepth && turn.passed <= m_settings.passOverDepth) {
            turns.push(turn);
        }
    }
}

bool PlacementEngine::nextJob(TenantSlot tenant, int band, QueueKey &after, JobSlot &out) const
{
    const std::set<QueueKey> &queue = m_tenants[tenant].queues[band];
    const auto it = queue.upper_bound(after);
    if (it == queue.end()) {
        return false;
    }
    after = *it;
    out = std::get<JobSlot>(*it);
    return true;
}

// ---------------------------------------------------------------------------------------------------------------------
// One job's turn
// ---------------------------------------------------------------------------------------------------------------------

PlacementEngine::Outcome PlacementEngine::tryStart(JobSlot slot, TimePoint now, Decisions &out)
{
    Job &job = m_jobs[slot];
    if (!popStale(job)) {
        dequeue(slot);
        dropHolds(slot);
        return Outcome::Skipped;
    }
    if (m_shardTokens < 1) {
        job.waits = WaitReason::Pacing;
        return Outcome::ShardPaced;
    }
    return job.spec.gang && job.spec.taskCount > 1 ? tryStartGang(slot, now, out) : tryStartOne(slot, now, out);
}

/** Drops stale entries; false where no task is ready. */
bool PlacementEngine::popStale(Job &job)
{
    while (!job.ready.empty() && job.tasks[job.ready.back()].phase != PlacementStage::Pending) {
        job.ready.pop_back();
    }
    return !job.ready.empty();
}

PlacementEngine::Outcome PlacementEngine::block(JobSlot slot, WaitReason reason)
{
    m_jobs[slot].waits = reason;
    return Outcome::Blocked;
}

PlacementEngine::Outcome PlacementEngine::overQuota(JobSlot slot)
{
    m_jobs[slot].waits = WaitReason::Quota;
    return Outcome::OverQuota;
}

PlacementEngine::Outcome PlacementEngine::tryStartOne(JobSlot slot, TimePoint now, Decisions &out)
{
    Job &job = m_jobs[slot];
    const Resources need = needOf(job);
    if (!m_tenants.allows(job.tenant, need)) {
        return overQuota(slot);
    }
    if (!headroomAllows(job, need)) {
        holdForBlocked(slot, need);
        return block(slot, WaitReason::Headroom);
    }
    prepareChoice(job);
    Choice choice = chooseHeld(slot, need, now);
    WaitReason known = WaitReason::None;
    if (choice.worker == NoWorker && isKnownToFail(job, need, known)) {
        choice.refused = known;
    } else if (choice.worker == NoWorker) {
        choice = chooseWorker(slot, need, now);
    }
    if (choice.worker == NoWorker) {
        if (known != WaitReason::None) {
            block(slot, known);
            return Outcome::PassedOver;
        }
        rememberFailure(job, need, choice.refused);
        return choice.refused == WaitReason::Room ? blockForRoom(slot, need, now, out) : block(slot, choice.refused);
    }
    start({slot, job.ready.back()}, choice, need, now, out);
    return Outcome::Started;
}

PlacementEngine::Outcome
PlacementEngine::blockForRoom(JobSlot slot, const Resources &need, TimePoint now, Decisions &out)
{
    Job &job = m_jobs[slot];
    if (job.band != UrgentBand) {
        holdForBlocked(slot, need);
        return block(slot, WaitReason::Room);
    }
    const TimePoint since = job.tasks[job.ready.back()].since;
    while (now - since >= m_settings.preemptAfter && job.holds.size() < job.ready.size()) {
        if (!preemptFor(slot, need, now, out)) {
            break;
        }
    }
    return block(slot, WaitReason::Room);
}

PlacementEngine::Outcome PlacementEngine::tryStartGang(JobSlot slot, TimePoint now, Decisions &out)
{
    Job &job = m_jobs[slot];
    std::erase_if(job.ready, [&job](std::uint32_t it) { return job.tasks[it].phase != PlacementStage::Pending; });
    const auto n = static_cast<std::uint32_t>(job.ready.size());
    if (n < job.unfinished - job.active) {
        return block(slot, WaitReason::Backoff);
    }
    const Resources need = needOf(job);
    if (!m_tenants.allows(job.tenant, times(need, n))) {
        return overQuota(slot);
    }
    if (!headroomAllows(job, times(need, n))) {
        holdForGang(slot, need, n);
        return block(slot, WaitReason::Headroom);
    }
    if (m_shardTokens < std::min<double>(n, m_settings.shardStartBurst)) {
        return block(slot, WaitReason::Pacing);
    }
    prepareChoice(job);
    if (!hasRoomForGang(slot, need, n, now)) {
        holdForGang(slot, need, n);
        return block(slot, WaitReason::Gang);
    }
    Decisions trial;
    while (!job.ready.empty()) {
        Choice choice = chooseHeld(slot, need, now);
        if (choice.worker == NoWorker) {
            choice = chooseWorker(slot, need, now);
        }
        if (choice.worker == NoWorker) {
            for (const StartDecision &it : trial.starts) {
                const TaskRef ref{slot, it.task.index};
                m_views[job.tasks[ref.index].worker].tokens += 1;
                m_shardTokens += 1;
                detach(ref, now);
                makePending(ref, job.tasks[ref.index].since);
            }
            m_counters.starts -= trial.starts.size();
            return block(slot, choice.refused == WaitReason::Room ? WaitReason::Gang : choice.refused);
        }
        start({slot, job.ready.back()}, choice, need, now, trial);
    }
    out.starts.insert(out.starts.end(), trial.starts.begin(), trial.starts.end());
    dropHolds(slot);
    return Outcome::Started;
}

void PlacementEngine::start(TaskRef ref, const Choice &choice, const Resources &need, TimePoint now, Decisions &out)
{
    Job &job = m_jobs[ref.job];
    assert(m_ledger.fits(choice.worker, need));
    detail::WorkerView &view = m_views[choice.worker];
    job.ready.pop_back();
    job.waits = WaitReason::None;
    attach(ref, choice.worker, need, now);
    view.tokens -= 1;
    m_shardTokens -= 1;
    if (view.mark != m_stamp) {
        view.mark = m_stamp;
        view.markCount = 0;
    }
    ++view.markCount;
    ++m_counters.starts;
    if (view.heldBy == ref.job) {
        view.heldBy = detail::NoJob;
        --m_heldWorkers;
        std::erase(job.holds, choice.worker);
        setClaim(job);
        if (job.holds.empty()) {
            dropHolds(ref.job);
        }
    }
    std::string reason = "lowest cost of the workers compared: " + std::to_string(choice.cost);
    out.starts.push_back({m_jobs.idOf(ref), m_ledger.worker(choice.worker).id, std::move(reason)});
    if (job.ready.empty()) {
        dequeue(ref.job);
        dropHolds(ref.job);
    }
}

Resources PlacementEngine::needOf(const Job &job) const
{
    const Resources &declared = job.spec.resources;
    Resources grown = declared;
    if (job.cpuRatio > GrowthWorthTaking && isEvictable(job)) {
        const double factor = job.cpuRatio * m_settings.overuseMargin;
        grown.cpuMillis = static_cast<std::int64_t>(static_cast<double>(declared.cpuMillis) * factor);
    }
    if (job.memoryRatio > GrowthWorthTaking) {
        const double factor = job.memoryRatio * m_settings.overuseMargin;
        grown.memoryMib = static_cast<std::int64_t>(static_cast<double>(declared.memoryMib) * factor);
    }
    const bool usable
        = grown == declared || (m_ledger.everFits(grown) && grown.fitsIn(m_tenants[job.tenant].quota.limit));
    return usable ? grown : declared;
}

bool PlacementEngine::headroomAllows(const Job &job, const Resources &need) const
{
    if (job.band != BatchBand) {
        return true;
    }
    const std::int64_t limit = m_ledger.openCapacity().cpuMillis / 1000 * (1000 - m_settings.headroomPermille);
    const std::int64_t claims = m_claims - job.claim;
    return m_ledger.openReserved().cpuMillis + claims + need.cpuMillis <= limit;
}

// ---------------------------------------------------------------------------------------------------------------------
// Pacing
// ---------------------------------------------------------------------------------------------------------------------

void PlacementEngine::refillTokens(WorkerIndex worker, TimePoint now)
{
    detail::WorkerView &view = m_views[worker];
    if (now <= view.tokensAt) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - view.tokensAt;
    view.tokens += elapsed.count() * m_settings.workerStartsPerSecond;
    view.tokens = std::min(view.tokens, m_settings.workerStartBurst);
    view.tokensAt = now;
}

void PlacementEngine::refillShardTokens(TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - std::min(now, m_shardTokensAt);
    m_shardTokens += elapsed.count() * m_settings.shardStartsPerSecond;
    m_shardTokens = std::min(m_shardTokens, m_settings.shardStartBurst);
    m_shardTokensAt = now;
}

// ---------------------------------------------------------------------------------------------------------------------
// Choice of a worker
// ---------------------------------------------------------------------------------------------------------------------

/** Marks where the job's tasks are, for spreading. */
void PlacementEngine::prepareChoice(const Job &job)
{
    ++m_stamp;
    if (job.spec.kind != WorkloadKind::Batch) {
        markWorkersOf(job);
    }
}

void PlacementEngine::markWorkersOf(const Job &job)
{
    m_rackCounts.assign(m_ledger.rackCount(), 0);
    for (const Task &it : job.tasks) {
        if (it.phase != PlacementStage::Active) {
            continue;
        }
        detail::WorkerView &view = m_views[it.worker];
        if (view.mark != m_stamp) {
            view.mark = m_stamp;
            view.markCount = 0;
        }
        ++view.markCount;
        ++m_rackCounts[m_ledger.worker(it.worker).rackIndex];
    }
}

/** None where the job may start on the worker as far as everything but room and interference goes. */
WaitReason PlacementEngine::mayUse(WorkerIndex worker, JobSlot slot, TimePoint now)
{
    const detail::WorkerView &view = m_views[worker];
    const Job &job = m_jobs[slot];
    if (view.heldBy != detail::NoJob && view.heldBy != slot) {
        return WaitReason::Room;
    }
    if (!job.failedOn.empty() && job.failedOn.size() < m_ledger.openWorkers()
        && std::find(job.failedOn.begin(), job.failedOn.end(), worker) != job.failedOn.end()) {
        return WaitReason::Room;
    }
    if (m_health.health(worker) == WorkerHealth::Probation) {
        const bool fitForProbe = isEvictable(job) && !job.spec.gang && view.tasks.empty();
        if (!fitForProbe) {
            return WaitReason::Room;
        }
    }
    refillTokens(worker, now);
    return view.tokens >= 1 ? WaitReason::None : WaitReason::Pacing;
}

PlacementEngine::Choice PlacementEngine::chooseHeld(JobSlot slot, const Resources &need, TimePoint now)
{
    Choice best;
    for (const WorkerIndex it : m_jobs[slot].holds) {
        if (!m_ledger.fits(it, need) || mayUse(it, slot, now) != WaitReason::None) {
            continue;
        }
        const double cost = costOf(slot, it, need);
        if (best.worker == NoWorker || cost < best.cost) {
            best = {it, cost, WaitReason::None};
        }
    }
    return best;
}

PlacementEngine::Choice PlacementEngine::chooseWorker(JobSlot slot, const Resources &need, TimePoint now)
{
    Choice best;
    int compared = 0;
    const auto from = static_cast<WorkerIndex>(m_random.next() % std::max(1U, m_ledger.size()));
    m_ledger.forEachFitting(need, from, [&](WorkerIndex it) {
        const WaitReason barred = mayUse(it, slot, now);
        if (barred != WaitReason::None) {
            best.refused = barred == WaitReason::Pacing && best.refused == WaitReason::Room ? barred : best.refused;
            return true;
        }
        const double cost = costOf(slot, it, need);
        if (!accepts(slot, it, cost, now)) {
            best.refused = WaitReason::Interference;
        } else if (best.worker == NoWorker || cost < best.cost) {
            best.worker = it;
            best.cost = cost;
        }
        return ++compared < m_settings.candidateLimit;
    });
    m_counters.candidates += static_cast<std::uint64_t>(compared);
    return best;
}

bool PlacementEngine::accepts(JobSlot slot, WorkerIndex worker, double cost, TimePoint now) const
{
    const Job &job = m_jobs[slot];
    if (!isEvictable(job) || m_views[worker].services.empty()) {
        return true;
    }
    const std::chrono::duration<double> waited = now - job.tasks[job.ready.back()].since;
    return cost <= worthOf(job) * (1 + std::max(0.0, waited / m_settings.patience));
}

double PlacementEngine::costOf(JobSlot slot, WorkerIndex worker, const Resources &need) const
{
    const Job &job = m_jobs[slot];
    return job.spec.kind == WorkloadKind::Batch ? batchCost(job, worker, need) : serviceCost(job, worker, need);
}

double PlacementEngine::batchCost(const Job &job, WorkerIndex worker, const Resources &need) const
{
    const WorkerSlot &slot = m_ledger.worker(worker);
    double risk = 0;
    const double harm = harmTo(worker, job.classIndex, shareOf(job, worker), risk);
    const std::int64_t left = slot.capacity.cpuMillis - slot.reserved.cpuMillis - need.cpuMillis;
    const double room = fraction(left, slot.capacity.cpuMillis);
    return m_settings.weights.tailLatency * harm + m_settings.weights.evictions * m_settings.evictionRisk * risk
           + m_settings.weights.throughput * m_settings.packing * room;
}

double PlacementEngine::serviceCost(const Job &job, WorkerIndex worker, const Resources &need) const
{
    const WorkerSlot &slot = m_ledger.worker(worker);
    const detail::WorkerView &view = m_views[worker];
    double risk = 0;
    double cost = harmTo(worker, job.classIndex, shareOf(job, worker), risk);
    ServiceSample sample;
    sample.service = job.classIndex;
    sample.neighbours = view.history.now();
    cost += penalty(m_model.predict(sample));
    cost *= m_settings.weights.tailLatency;
    const std::uint32_t here = view.mark == m_stamp ? view.markCount : 0;
    cost += m_settings.workerSpread * here;
    cost += m_settings.rackSpread * (m_rackCounts.empty() ? 0 : m_rackCounts[slot.rackIndex]);
    const std::int64_t used = slot.reserved.cpuMillis + need.cpuMillis;
    return cost + m_settings.loadSpread * fraction(used, slot.capacity.cpuMillis);
}

/** How much later the services on @p worker get by one more neighbour; @p risk: the same under a surge of load. */
double PlacementEngine::harmTo(WorkerIndex worker, ClassIndex neighbour, float share, double &risk) const
{
    const auto surge = static_cast<float>(std::log(m_settings.surge));
    const auto explore = static_cast<float>(std::log(m_settings.exploreBelow));
    const auto caution = static_cast<float>(std::log(m_settings.cautionAbove));
    double harm = 0;
    for (const detail::ServiceView &it : m_views[worker].services) {
        float slowdown = m_model.slowdown(it.classIndex, neighbour);
        const float doubt = m_model.uncertainty(it.classIndex, neighbour);
        if (it.logRatio < explore) {
            slowdown = std::max(0.0F, slowdown - static_cast<float>(m_settings.exploration) * doubt);
        } else if (it.logRatio > caution) {
            slowdown += doubt;
        }
        const float after = it.logRatio + slowdown * share;
        harm += penalty(after) - it.late;
        risk += penalty(after + surge) - penalty(it.logRatio + surge);
    }
    return harm;
}

/** What running a task of @p job is worth, in the unit of cost. */
double PlacementEngine::worthOf(const Job &job) const
{
    const double processors = static_cast<double>(job.spec.resources.cpuMillis) / 1000;
    return m_settings.weights.throughput * m_settings.batchBenefit * processors;
}

bool PlacementEngine::isKnownToFail(const Job &job, const Resources &need, WaitReason &reason) const
{
    for (const FailedShape &it : m_failedShapes) {
        const bool sameClass = it.reason != WaitReason::Interference || it.classIndex == job.classIndex;
        if (it.band == job.band && sameClass && it.need.fitsIn(need)) {
            reason = it.reason;
            return true;
        }
    }
    return false;
}

void PlacementEngine::rememberFailure(const Job &job, const Resources &need, WaitReason reason)
{
    constexpr std::size_t MaxShapes = 16;
    const bool special = job.spec.kind != WorkloadKind::Batch || !job.failedOn.empty() || !job.holds.empty();
    WaitReason known = WaitReason::None;
    if (!special && m_failedShapes.size() < MaxShapes && !isKnownToFail(job, need, known)) {
        m_failedShapes.push_back({need, job.band, reason, job.classIndex});
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Holds: workers that wait for one blocked job, so that work behind it cannot delay it
// ---------------------------------------------------------------------------------------------------------------------

void PlacementEngine::hold(JobSlot slot, WorkerIndex worker)
{
    assert(m_views[worker].heldBy == detail::NoJob);
    m_views[worker].heldBy = slot;
    ++m_heldWorkers;
    Job &job = m_jobs[slot];
    if (job.holds.empty()) {
        m_holders.push_back(slot);
    }
    job.holds.push_back(worker);
    setClaim(job);
}

/** As work ends on the holds, the claim grows by what the reservations fall: nobody behind gets under the headroom. */
void PlacementEngine::setClaim(Job &job)
{
    m_claims -= job.claim;
    job.claim = 0;
    const std::int64_t together = job.spec.gang ? job.spec.taskCount : 1;
    const std::int64_t most = needOf(job).cpuMillis * together;
    for (const WorkerIndex it : job.holds) {
        const WorkerSlot &worker = m_ledger.worker(it);
        job.claim += std::clamp<std::int64_t>(worker.capacity.cpuMillis - worker.reserved.cpuMillis, 0, most);
    }
    m_claims += job.claim;
}

void PlacementEngine::dropHolds(JobSlot slot)
{
    Job &job = m_jobs[slot];
    for (const WorkerIndex it : job.holds) {
        m_views[it].heldBy = detail::NoJob;
        --m_heldWorkers;
    }
    job.holds.clear();
    setClaim(job);
    std::erase(m_holders, slot);
}

/** Holds on workers that closed are of no use. */
void PlacementEngine::pruneHolds()
{
    const std::vector<JobSlot> holders = m_holders;
    for (const JobSlot slot : holders) {
        Job &job = m_jobs[slot];
        std::erase_if(job.holds, [this](WorkerIndex it) {
            const WorkerSlot &worker = m_ledger.worker(it);
            if (worker.state == VmState::Live && !worker.barred) {
                return false;
            }
            m_views[it].heldBy = detail::NoJob;
            --m_heldWorkers;
            return true;
        });
        if (job.holds.empty() || !popStale(job)) {
            dropHolds(slot);
        }
        setClaim(job);
    }
}

/** How many tasks of @p need the worker takes once its evictable work has ended. */
std::uint32_t PlacementEngine::drainedTasks(WorkerIndex worker, const Resources &need) const
{
    const WorkerSlot &slot = m_ledger.worker(worker);
    const Resources drained = slot.capacity - slot.reserved - slot.overuse + m_views[worker].evictable;
    return static_cast<std::uint32_t>(howOften(need, drained));
}

/** The worker that lacks least for @p need, of those that would have room without their evictable work. */
WorkerIndex PlacementEngine::soonestFor(const Resources &need) const
{
    WorkerIndex best = NoWorker;
    double least = std::numeric_limits<double>::max();
    for (WorkerIndex it = 0; it < m_ledger.size(); ++it) {
        const WorkerSlot &slot = m_ledger.worker(it);
        const bool open = slot.state == VmState::Live && !slot.barred;
        if (!open || m_views[it].heldBy != detail::NoJob || drainedTasks(it, need) == 0
            || m_health.health(it) != WorkerHealth::Healthy) {
            continue;
        }
        const Resources lack = need - (slot.capacity - slot.reserved - slot.overuse);
        const double lacking = std::max(0.0, fraction(lack.cpuMillis, slot.capacity.cpuMillis))
                               + std::max(0.0, fraction(lack.memoryMib, slot.capacity.memoryMib))
                               + std::max(0.0, fraction(lack.accelerators, slot.capacity.accelerators));
        if (lacking < least) {
            least = lacking;
            best = it;
        }
    }
    return best;
}

void PlacementEngine::holdForBlocked(JobSlot slot, const Resources &need)
{
    const std::uint32_t limit = std::max(1U, m_ledger.openWorkers() * m_settings.holdsPerMille / 1000);
    const bool full = static_cast<int>(m_holders.size()) >= m_settings.maxHolds || m_heldWorkers >= limit;
    if (full || !m_jobs[slot].holds.empty()) {
        return;
    }
    const WorkerIndex worker = soonestFor(need);
    if (worker != NoWorker) {
        hold(slot, worker);
    }
}

bool PlacementEngine::hasRoomForGang(JobSlot slot, const Resources &need, std::uint32_t tasks, TimePoint now)
{
    std::int64_t found = 0;
    m_ledger.forEachFitting(need, 0, [&](WorkerIndex it) {
        if (mayUse(it, slot, now) == WaitReason::None) {
            const WorkerSlot &worker = m_ledger.worker(it);
            const std::int64_t byRoom = howOften(need, worker.capacity - worker.reserved - worker.overuse);
            found += std::min(byRoom, static_cast<std::int64_t>(m_views[it].tokens));
        }
        return found < tasks;
    });
    return found >= tasks;
}

void PlacementEngine::holdForGang(JobSlot slot, const Resources &need, std::uint32_t tasks)
{
    const std::uint32_t limit = std::max(1U, m_ledger.openWorkers() * m_settings.holdsPerMille / 1000);
    const bool holder = !m_jobs[slot].holds.empty();
    if (!holder && static_cast<int>(m_holders.size()) >= m_settings.maxHolds) {
        return;
    }
    std::uint32_t covered = 0;
    for (const WorkerIndex it : m_jobs[slot].holds) {
        covered += drainedTasks(it, need);
    }
    while (covered < tasks && m_heldWorkers < limit) {
        const WorkerIndex worker = soonestFor(need);
        if (worker == NoWorker) {
            return;
        }
        hold(slot, worker);
        covered += drainedTasks(worker, need);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Jobs that can never run
// ---------------------------------------------------------------------------------------------------------------------

/** Empty where the job fits an empty fleet and its tenant's allotment. */
std::string PlacementEngine::whyUnrunnable(const Job &job) const
{
    const Resources &need = job.spec.resources;
    const std::uint32_t together = job.spec.gang ? job.spec.taskCount : 1;
    if (!m_ledger.everFits(need)) {
        Resources most;
        for (WorkerIndex it = 0; it < m_ledger.size(); ++it) {
            const Resources &capacity = m_ledger.worker(it).capacity;
            most = capacity.cpuMillis > most.cpuMillis ? capacity : most;
        }
        return "a task needs " + describe(need) + "; no worker has that, the largest has " + describe(most);
    }
    if (!times(need, together).fitsIn(m_tenants[job.tenant].quota.limit)) {
        return "needs " + describe(times(need, together)) + " at once; the allotment of tenant " + job.spec.tenant
               + " is " + describe(m_tenants[job.tenant].quota.limit);
    }
    std::int64_t fit = 0;
    for (WorkerIndex it = 0; it < m_ledger.size() && fit < together; ++it) {
        fit += howOften(need, m_ledger.worker(it).capacity);
    }
    if (fit < together) {
        return "starts " + std::to_string(together) + " tasks together; the empty fleet has room for "
               + std::to_string(fit);
    }
    return {};
}

void PlacementEngine::nameUnrunnable(TimePoint now, Decisions &out)
{
    for (const JobId it : m_faulty) {
        TaskRef ref;
        if (m_jobs.find({it, 0}, ref)) {
            out.unrunnable.push_back({it, m_jobs[ref.job].parkedReason});
        }
    }
    m_faulty.clear();
    if (m_ledger.size() == 0) {
        return;
    }
    std::erase_if(m_unchecked, [&](JobSlot slot) {
        Job &job = m_jobs[slot];
        std::string reason = whyUnrunnable(job);
        if (reason.empty()) {
            job.parked = false;
            enqueue(slot);
            return true;
        }
        // The list of workers lags: after a takeover a job may only seem to fit nowhere.
        if (now - std::max(m_fleetGrewAt, job.added) < m_settings.unrunnableAfter) {
            return false;
        }
        m_parked.push_back(slot);
        if (job.parkedReason.empty()) {
            ++m_counters.unrunnable;
            out.unrunnable.push_back({job.spec.id, reason});
        }
        job.parkedReason = std::move(reason);
        return true;
    });
}

void PlacementEngine::unparkAll()
{
    m_unchecked.insert(m_unchecked.end(), m_parked.begin(), m_parked.end());
    m_parked.clear();
}

} // namespace QuetzalRock
