#include <scheduler/shardstate.h>

#include <scheduler/codec.h>

#include <algorithm>
#include <cassert>

namespace QuetzalRock {

namespace detail {

template<typename F, SameIgnoringConst<TaskState> T>
void visitFields(F &f, T &v)
{
    f(v.lastAttempt,
      v.active,
      v.stopping,
      v.done,
      v.failures,
      v.worker,
      v.reserved,
      v.assignedAt,
      v.progress,
      v.checkpoint);
    f(v.reason);
}

template<typename F, SameIgnoringConst<JobState> T>
void visitFields(F &f, T &v)
{
    f(v.spec, v.phase, v.submittedAt, v.endedAt, v.reason, v.tasks, v.doneCount);
}

template<typename F, SameIgnoringConst<EndedAttempt> T>
void visitFields(F &f, T &v)
{
    f(v.attempt, v.worker, v.state, v.cause, v.progress, v.error, v.assignedAt, v.endedAt);
}

template<typename F, SameIgnoringConst<EndedJob> T>
void visitFields(F &f, T &v)
{
    f(v.spec, v.phase, v.reason, v.submittedAt, v.endedAt);
}

template<typename F, SameIgnoringConst<PendingTransfer> T>
void visitFields(F &f, T &v)
{
    f(v.toDomain, v.spec, v.tasks, v.tenant, v.amount);
}

template<typename F, SameIgnoringConst<AcceptedTransferNumbers> T>
void visitFields(F &f, T &v)
{
    f(v.acknowledgedBelow, v.numbers);
}

template<typename F, SameIgnoringConst<ShardState> T>
void visitFields(F &f, T &v)
{
    f(v.lastJobNumber, v.lastTransferNumber, v.operatorName, v.jobs, v.endedJobs, v.endedAttempts, v.allotments);
    f(v.pendingTransfers, v.acceptedTransfers);
}

} // namespace detail

namespace {

constexpr std::uint32_t SnapshotVersion = 1;
constexpr JobId JobNumberMask = (JobId(1) << 48) - 1;

std::pair<std::string, std::string> nameKey(const JobSpec &spec)
{
    return {spec.tenant, spec.name};
}

/** Applies each type of record to the state. */
class RecordApplier
{
public:
    explicit RecordApplier(ShardState &state)
        : m_state(state)
    {
    }

    void operator()(const JobSubmitted &it)
    {
        m_state.lastJobNumber = std::max(m_state.lastJobNumber, it.spec.id & JobNumberMask);
        addJob(it.spec, it.at, std::vector<TaskState>(it.spec.taskCount));
    }

    void operator()(const JobCancelled &it)
    {
        endJob(it.job, JobPhase::Cancelled, "cancelled", it.at);
    }

    void operator()(const AttemptAssigned &it)
    {
        TaskState *task = findTask(it.attempt.task);
        if (task == nullptr || it.attempt.number <= task->lastAttempt) {
            return;
        }
        task->lastAttempt = it.attempt.number;
        task->active = true;
        task->stopping = false;
        task->worker = it.worker;
        task->reserved = it.resources;
        task->assignedAt = it.at;
        task->reason = it.reason;
    }

    void operator()(const StopRequested &it)
    {
        TaskState *task = findActiveTask(it.attempt);
        if (task != nullptr) {
            task->stopping = true;
            task->reason = it.reason;
        }
    }

    void operator()(const AttemptEnded &it)
    {
        TaskState *task = findActiveTask(it.attempt);
        if (task == nullptr) {
            return;
        }
        archiveAttempt(it, *task);
        task->active = false;
        task->stopping = false;
        task->worker.clear();
        task->reserved = {};
        task->progress = std::max(task->progress, it.progress);
        if (it.state == AttemptState::Finished) {
            task->done = true;
            ++m_state.jobs.at(it.attempt.task.job).doneCount;
        }
        task->failures += it.state == AttemptState::Failed ? 1 : 0;
        if (!it.checkpoint.empty()) {
            task->checkpoint = it.checkpoint;
        }
        archiveJob(it.attempt.task.job);
    }

    void operator()(const JobFinished &it)
    {
        endJob(it.job, it.phase, it.reason, it.at);
    }

    void operator()(const TransferInitiated &it)
    {
        m_state.lastTransferNumber = std::max(m_state.lastTransferNumber, it.id.number);
        PendingTransfer transfer;
        transfer.toDomain = it.toDomain;
        transfer.tenant = it.tenant;
        transfer.amount = it.amount;
        const auto job = m_state.jobs.find(it.job);
        if (it.job == 0) {
            m_state.allotments[it.tenant] -= it.amount;
        } else if (job != m_state.jobs.end()) {
            transfer.spec = job->second.spec;
            transfer.tasks = exportTasks(job->second);
            endJob(it.job, JobPhase::Transferred, "given to " + it.toDomain, it.at);
        }
        m_state.pendingTransfers.emplace(it.id, std::move(transfer));
    }

    void operator()(const TransferAccepted &it)
    {
        AcceptedTransferNumbers &fromOrigin = m_state.acceptedTransfers[it.id.shard];
        if (fromOrigin.contains(it.id.number)) {
            return;
        }
        fromOrigin.numbers.insert(it.id.number);
        fromOrigin.acknowledgedBelow = std::max(fromOrigin.acknowledgedBelow, it.acknowledgedBelow);
        fromOrigin.numbers.erase(fromOrigin.numbers.begin(),
                                 fromOrigin.numbers.lower_bound(fromOrigin.acknowledgedBelow));
        if (it.spec.id == 0) {
            m_state.allotments[it.tenant] += it.amount;
            return;
        }
        addJob(it.spec, it.at, importTasks(it));
    }

    void operator()(const TransferAcknowledged &it)
    {
        m_state.pendingTransfers.erase(it.id);
    }

    void operator()(const AllotmentSet &it)
    {
        m_state.allotments[it.tenant] = it.amount;
    }

    void operator()(const OperatorChanged &it)
    {
        m_state.operatorName = it.operatorName;
    }

private:
    TaskState *findTask(const TaskId &id)
    {
        const auto it = m_state.jobs.find(id.job);
        if (it == m_state.jobs.end() || id.index >= it->second.tasks.size()) {
            return nullptr;
        }
        return &it->second.tasks[id.index];
    }

    TaskState *findActiveTask(const AttemptId &id)
    {
        TaskState *task = findTask(id.task);
        return task != nullptr && task->active && task->lastAttempt == id.number ? task : nullptr;
    }

    void addJob(const JobSpec &spec, WallTime at, std::vector<TaskState> tasks)
    {
        JobState job;
        job.spec = spec;
        job.submittedAt = at;
        job.tasks = std::move(tasks);
        const auto isDone = [](const TaskState &it) { return it.done; };
        job.doneCount = static_cast<std::uint32_t>(std::count_if(job.tasks.begin(), job.tasks.end(), isDone));
        m_state.jobs.insert_or_assign(spec.id, std::move(job));
        m_state.jobIdsByName[nameKey(spec)] = spec.id;
    }

    void endJob(JobId id, JobPhase phase, const std::string &reason, WallTime at)
    {
        const auto it = m_state.jobs.find(id);
        if (it == m_state.jobs.end() || it->second.phase != JobPhase::Active) {
            return;
        }
        it->second.phase = phase;
        it->second.reason = reason;
        it->second.endedAt = at;
        archiveJob(id);
    }

    /** Moves the job to the history if it has ended and none of its attempts is active. */
    void archiveJob(JobId id)
    {
        const auto it = m_state.jobs.find(id);
        if (it == m_state.jobs.end() || it->second.phase == JobPhase::Active || it->second.hasActiveAttempt()) {
            return;
        }
        JobState &job = it->second;
        m_state.endedJobs.push_back({std::move(job.spec), job.phase, job.reason, job.submittedAt, job.endedAt});
        m_state.jobs.erase(it);
        while (m_state.endedJobs.size() > m_state.limits.endedJobs) {
            removeName(m_state.endedJobs.front().spec);
            m_state.endedJobs.pop_front();
        }
    }

    void removeName(const JobSpec &spec)
    {
        const auto it = m_state.jobIdsByName.find(nameKey(spec));
        if (it != m_state.jobIdsByName.end() && it->second == spec.id) {
            m_state.jobIdsByName.erase(it);
        }
    }

    void archiveAttempt(const AttemptEnded &end, const TaskState &task)
    {
        m_state.endedAttempts.push_back(
            {end.attempt, task.worker, end.state, end.cause, end.progress, end.error, task.assignedAt, end.at});
        while (m_state.endedAttempts.size() > m_state.limits.endedAttempts) {
            m_state.endedAttempts.pop_front();
        }
    }

    static std::vector<TransferredTask> exportTasks(const JobState &job)
    {
        std::vector<TransferredTask> tasks;
        tasks.reserve(job.tasks.size());
        for (const TaskState &it : job.tasks) {
            assert(!it.active);
            tasks.push_back({it.lastAttempt, it.failures, it.done, it.progress, it.checkpoint});
        }
        return tasks;
    }

    static std::vector<TaskState> importTasks(const TransferAccepted &transfer)
    {
        std::vector<TaskState> tasks(transfer.spec.taskCount);
        const std::size_t n = std::min(tasks.size(), transfer.tasks.size());
        for (std::size_t i = 0; i < n; ++i) {
            const TransferredTask &from = transfer.tasks[i];
            tasks[i].lastAttempt = from.lastAttempt;
            tasks[i].failures = from.failures;
            tasks[i].done = from.done;
            tasks[i].progress = from.progress;
            tasks[i].checkpoint = from.checkpoint;
        }
        return tasks;
    }

    ShardState &m_state;
};

} // namespace

bool JobState::hasActiveAttempt() const
{
    return std::any_of(tasks.begin(), tasks.end(), [](const TaskState &it) { return it.active; });
}

bool AcceptedTransferNumbers::contains(std::uint64_t number) const
{
    return number < acknowledgedBelow || numbers.contains(number);
}

void ShardState::apply(const Record &record)
{
    std::visit(RecordApplier(*this), record);
}

const JobState *ShardState::findJob(JobId id) const
{
    const auto it = jobs.find(id);
    return it == jobs.end() ? nullptr : &it->second;
}

const TaskState *ShardState::findTask(const TaskId &id) const
{
    const JobState *job = findJob(id.job);
    return job == nullptr || id.index >= job->tasks.size() ? nullptr : &job->tasks[id.index];
}

const JobSpec *ShardState::findSpec(JobId id) const
{
    if (const JobState *job = findJob(id)) {
        return &job->spec;
    }
    const auto it
        = std::find_if(endedJobs.rbegin(), endedJobs.rend(), [id](const auto &job) { return job.spec.id == id; });
    return it == endedJobs.rend() ? nullptr : &it->spec;
}

std::uint64_t ShardState::acknowledgedBelow() const
{
    return pendingTransfers.empty() ? lastTransferNumber + 1 : pendingTransfers.begin()->first.number;
}

std::string ShardState::encode() const
{
    msgpack::sbuffer buffer;
    detail::FieldWriter writer(buffer);
    writer.beginArray(2);
    writer.write(SnapshotVersion);
    writer.write(*this);
    return {buffer.data(), buffer.size()};
}

ShardState ShardState::decode(std::string_view snapshot, const HistoryLimits &limits)
{
    ShardState state;
    state.limits = limits;
    if (snapshot.empty()) {
        return state;
    }
    try {
        const msgpack::object_handle handle = msgpack::unpack(snapshot.data(), snapshot.size());
        std::uint32_t version = 0;
        detail::FieldReader reader(handle.get());
        reader.next(version);
        if (version > SnapshotVersion) {
            throw IncompatibleRecord("snapshot has version " + std::to_string(version)
                                     + "; this version of the program reads up to " + std::to_string(SnapshotVersion));
        }
        reader.next(state);
    } catch (const msgpack::type_error &) {
        throw InvalidArgument("snapshot", "a field has the wrong type");
    } catch (const msgpack::unpack_error &) {
        throw InvalidArgument("snapshot", "not valid msgpack");
    }
    for (const EndedJob &it : state.endedJobs) {
        state.jobIdsByName[nameKey(it.spec)] = it.spec.id;
    }
    for (const auto &[id, job] : state.jobs) {
        state.jobIdsByName[nameKey(job.spec)] = id;
    }
    return state;
}

} // namespace QuetzalRock
