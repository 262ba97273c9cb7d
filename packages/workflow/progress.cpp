#include <workflow/progress.h>
#include <workflow/records.h>

#include <base/errors.h>

#include <algorithm>

namespace QuetzalRock::Workflow {

namespace {

using nlohmann::json;

json stepToJson(const StepSpec &it)
{
    const unsigned flags = (it.isGang ? 1U : 0U) | (it.prefersSingleRack ? 2U : 0U) | (it.isCheckpointed ? 4U : 0U)
                           | (it.mayRunCopies ? 8U : 0U) | (it.isLongRunning ? 16U : 0U) | (it.usesSpareCpu ? 32U : 0U);
    return json::array({it.taskCount,
                        it.need.cpuMillis,
                        it.need.memoryMib,
                        it.need.accelerators,
                        it.estimateMs,
                        it.after,
                        it.requiredLabel,
                        it.preferredRack,
                        it.maxPerWorker,
                        flags,
                        it.image,
                        it.latencyTargetMs,
                        it.maxUnavailable});
}

StepSpec stepFromJson(const json &row)
{
    StepSpec it;
    it.taskCount = row.at(0);
    it.need = {row.at(1), row.at(2), row.at(3)};
    it.estimateMs = row.at(4);
    it.after = row.at(5).get<std::vector<std::uint32_t>>();
    it.requiredLabel = row.at(6);
    it.preferredRack = row.at(7);
    it.maxPerWorker = row.at(8);
    const unsigned flags = row.at(9);
    it.isGang = (flags & 1U) != 0;
    it.prefersSingleRack = (flags & 2U) != 0;
    it.isCheckpointed = (flags & 4U) != 0;
    it.mayRunCopies = (flags & 8U) != 0;
    it.isLongRunning = (flags & 16U) != 0;
    it.usesSpareCpu = (flags & 32U) != 0;
    it.image = row.at(10);
    it.latencyTargetMs = row.at(11);
    it.maxUnavailable = row.at(12);
    return it;
}

constexpr std::uint64_t MaxStoredTasks = 1'000'000; ///< of a job, over all occurrences; callers get far fewer
constexpr std::int64_t MaxStoredFigure = 1'000'000'000'000;

/** Throws InvalidArgument if a record of another writer describes a job that cannot be held in memory or placed. */
void checkSteps(const WorkflowSpec &spec)
{
    std::uint64_t tasks = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const StepSpec &it = spec.steps[i];
        tasks += it.taskCount;
        const bool isAfterEarlier
            = std::all_of(it.after.begin(), it.after.end(), [i](std::uint32_t step) { return step < i; });
        const auto isPossible = [](std::int64_t figure) { return figure >= 0 && figure <= MaxStoredFigure; };
        if (!isAfterEarlier || !isPossible(it.need.cpuMillis) || !isPossible(it.need.memoryMib)
            || !isPossible(it.need.accelerators) || !isPossible(it.estimateMs)) {
            throw InvalidArgument("job", "step " + std::to_string(i) + " is impossible");
        }
    }
    const std::uint64_t occurrences = std::max<std::uint64_t>(1, spec.repeatCount);
    if (tasks > MaxStoredTasks || occurrences > MaxStoredTasks || tasks * occurrences > MaxStoredTasks) {
        throw InvalidArgument("job", "too many tasks");
    }
}

WorkflowState toState(const json &value)
{
    const int state = value.get<int>();
    if (state < static_cast<int>(WorkflowState::Queued) || state > static_cast<int>(WorkflowState::Cancelled)) {
        throw InvalidArgument("progress", "unknown state");
    }
    return static_cast<WorkflowState>(state);
}

bool hasProgress(const TaskState &task)
{
    return task.phase == TaskPhase::Done || !task.failedAttempts.empty() || !task.checkpoint.empty()
           || !task.crashes.empty() || task.trial || task.silentStart;
}

json crashesToJson(const std::vector<CrashEvidence> &crashes)
{
    json rows = json::array();
    for (const CrashEvidence &it : crashes) {
        rows.push_back(json::array({it.attempt,
                                    static_cast<int>(it.role),
                                    it.suspects,
                                    it.crash.worker,
                                    it.crash.workerStartedAtMs,
                                    it.recordedMs,
                                    it.isExplained,
                                    it.areStartsToBlame}));
    }
    return rows;
}

std::vector<CrashEvidence> crashesFromJson(const json &rows)
{
    std::vector<CrashEvidence> crashes;
    for (const json &it : rows) {
        const int role = it.at(1);
        if (role < static_cast<int>(CrashRole::Present) || role > static_cast<int>(CrashRole::Trial)) {
            throw InvalidArgument("crash", "unknown role");
        }
        CrashEvidence crash{it.at(0), static_cast<CrashRole>(role), it.at(2)};
        if (it.size() > 6) { // older versions wrote none
            crash.crash = {it.at(3), it.at(4)};
            crash.recordedMs = it.at(5);
            crash.isExplained = it.at(6);
        }
        crash.areStartsToBlame = it.size() > 7 && it.at(7).get<bool>();
        crashes.push_back(std::move(crash));
    }
    return crashes;
}

json trialToJson(const std::optional<TaskTrial> &trial)
{
    return trial ? json::array(
               {trial->attempt, trial->worker, trial->workerStartedAtMs, trial->preparedMs, trial->isOrdered})
                 : json::array();
}

std::optional<TaskTrial> trialFromJson(const json &row)
{
    if (row.empty()) {
        return std::nullopt;
    }
    TaskTrial trial;
    trial.attempt = row.at(0);
    trial.worker = row.at(1);
    trial.workerStartedAtMs = row.at(2);
    trial.preparedMs = row.size() > 3 ? row.at(3).get<std::int64_t>() : 0; // older versions wrote none
    trial.isOrdered = row.size() > 4 && row.at(4).get<bool>();
    return trial;
}

std::vector<std::uint8_t> binaryOf(const std::string &bytes)
{
    return {bytes.begin(), bytes.end()};
}

void readTask(const json &row, JobState &job)
{
    auto &steps = job.occurrences.at(row.at(0).get<std::size_t>()).steps;
    StepState &step = steps.at(row.at(1).get<std::size_t>());
    TaskState &task = step.tasks.at(row.at(2).get<std::size_t>());
    if (row.at(3).get<bool>()) {
        task.phase = TaskPhase::Done;
        ++step.doneCount;
    }
    task.failedAttempts = row.at(4).get<std::vector<std::uint64_t>>();
    task.checkpoint = row.at(5);
    if (row.size() > 8) { // older versions wrote none
        task.crashes = crashesFromJson(row.at(6));
        task.trial = trialFromJson(row.at(7));
        task.silentStart = trialFromJson(row.at(8));
    }
    task.hasEverStartedUp = row.size() > 9 && row.at(9).get<bool>();
}

} // namespace

std::string_view stateName(WorkflowState state)
{
    switch (state) {
    case WorkflowState::Queued:
        return "queued";
    case WorkflowState::Running:
        return "running";
    case WorkflowState::Completed:
        return "completed";
    case WorkflowState::Failed:
        return "failed";
    case WorkflowState::Cancelled:
        return "cancelled";
    }
    return "queued";
}

void resetTasks(JobState &job)
{
    const WorkflowSpec &spec = job.accepted.spec;
    OccurrenceState occurrence;
    for (const StepSpec &it : spec.steps) {
        occurrence.steps.emplace_back();
        occurrence.steps.back().tasks.resize(it.taskCount);
    }
    job.occurrences.assign(std::max<std::uint32_t>(1, spec.repeatCount), occurrence);
}

std::string encodeAccepted(const AcceptedJob &job)
{
    json steps = json::array();
    for (const StepSpec &it : job.spec.steps) {
        steps.push_back(stepToJson(it));
    }
    json moved = json::array();
    if (job.moved) {
        moved = json::array({json::binary(binaryOf(job.moved->progress)), job.moved->attemptBase, job.moved->moves});
    }
    return packRecord(json::array({StoredVersion,
                                   job.spec.key,
                                   job.spec.payload,
                                   std::move(steps),
                                   job.spec.repeatCount,
                                   job.spec.firstStartMs,
                                   job.spec.intervalMs,
                                   job.queue,
                                   job.host,
                                   job.pathPrefix,
                                   job.pool,
                                   job.priority,
                                   job.maxFailures,
                                   job.stretch,
                                   job.slackMs,
                                   job.acceptedMs,
                                   std::move(moved)}));
}

AcceptedJob decodeAccepted(std::string_view bytes)
{
    const json value = unpackRecord(bytes);
    try {
        AcceptedJob job;
        job.spec.key = value.at(1);
        job.spec.payload = value.at(2);
        for (const json &it : value.at(3)) {
            job.spec.steps.push_back(stepFromJson(it));
        }
        job.spec.repeatCount = value.at(4);
        job.spec.firstStartMs = value.at(5);
        job.spec.intervalMs = value.at(6);
        job.queue = value.at(7);
        job.host = value.at(8);
        job.pathPrefix = value.at(9);
        job.pool = value.at(10);
        job.priority = value.at(11);
        job.maxFailures = value.at(12);
        job.stretch = value.at(13);
        job.slackMs = value.at(14);
        job.acceptedMs = value.at(15);
        if (value.size() > 16 && !value.at(16).empty()) { // older versions wrote none
            const json &moved = value.at(16);
            const auto &progress = moved.at(0).get_binary();
            job.moved = MovedJob{std::string(progress.begin(), progress.end()), moved.at(1), moved.at(2)};
        }
        checkSteps(job.spec);
        return job;
    } catch (const json::exception &error) {
        throw InvalidArgument("job", error.what());
    }
}

std::string encodeRegistration(const Registration &registration)
{
    const json shard = registration.shard ? json(*registration.shard) : json();
    return packRecord(json::array({StoredVersion, shard, registration.guestOf, registration.isCancelledEarly}));
}

Registration decodeRegistration(std::string_view bytes)
{
    const json value = unpackRecord(bytes);
    try {
        Registration it;
        it.shard = value.at(1).is_null() ? std::nullopt : std::optional(value.at(1).get<ShardId>());
        if (value.size() > 2) { // older versions wrote none
            it.guestOf = value.at(2).get<std::set<ShardId>>();
        }
        if (value.size() > 3) {
            it.isCancelledEarly = value.at(3).get<bool>();
        }
        return it;
    } catch (const json::exception &error) {
        throw InvalidArgument("registration", error.what());
    }
}

std::string givenTaskKey(const ShardKeys &shard, const JobKey &key, std::uint32_t step, std::uint32_t index)
{
    return shard.taken + std::to_string(step) + "." + std::to_string(index) + "/" + key;
}

std::string encodeGivenTask(const GivenTask &task)
{
    return packRecord(json::array({StoredVersion,
                                   json::binary(binaryOf(encodeAccepted(task.accepted))),
                                   task.step,
                                   task.index,
                                   task.attemptBase,
                                   task.checkpoint,
                                   task.moves,
                                   crashesToJson(task.crashes),
                                   trialToJson(task.trial),
                                   trialToJson(task.silentStart),
                                   task.waitingSinceMs}));
}

GivenTask decodeGivenTask(std::string_view bytes)
{
    const json value = unpackRecord(bytes);
    try {
        const auto &accepted = value.at(1).get_binary();
        GivenTask it;
        it.accepted = decodeAccepted(std::string(accepted.begin(), accepted.end()));
        it.step = value.at(2);
        it.index = value.at(3);
        it.attemptBase = value.at(4);
        it.checkpoint = value.at(5);
        it.moves = value.at(6);
        if (value.size() > 9) { // older versions wrote none
            it.crashes = crashesFromJson(value.at(7));
            it.trial = trialFromJson(value.at(8));
            it.silentStart = trialFromJson(value.at(9));
        }
        if (value.size() > 10) {
            it.waitingSinceMs = value.at(10);
        }
        if (it.step >= it.accepted.spec.steps.size() || it.index >= it.accepted.spec.steps[it.step].taskCount) {
            throw InvalidArgument("given task", "no such task");
        }
        return it;
    } catch (const json::exception &error) {
        throw InvalidArgument("given task", error.what());
    }
}

std::string encodeProgress(const JobState &job)
{
    json rows = json::array();
    json given = json::array();
    const bool needsTasks = !isFinal(job.state);
    for (std::size_t k = 0; needsTasks && k < job.occurrences.size(); ++k) {
        const auto &steps = job.occurrences[k].steps;
        for (std::size_t s = 0; s < steps.size(); ++s) {
            for (std::size_t i = 0; i < steps[s].tasks.size(); ++i) {
                const TaskState &it = steps[s].tasks[i];
                if (it.isGivenAway) {
                    given.push_back(json::array({k, s, i}));
                }
                if (hasProgress(it)) {
                    const bool isDone = it.phase == TaskPhase::Done;
                    rows.push_back(json::array({k,
                                                s,
                                                i,
                                                isDone,
                                                it.failedAttempts,
                                                isDone ? std::string() : it.checkpoint,
                                                isDone ? json::array() : crashesToJson(it.crashes),
                                                isDone ? json::array() : trialToJson(it.trial),
                                                isDone ? json::array() : trialToJson(it.silentStart),
                                                it.hasEverStartedUp}));
                }
            }
        }
    }
    return packRecord(
        json::array({StoredVersion, static_cast<int>(job.state), std::move(rows), std::move(given), job.failure}));
}

void decodeProgress(std::string_view bytes, JobState &job)
{
    const json value = unpackRecord(bytes);
    try {
        job.state = toState(value.at(1));
        for (const json &it : value.at(2)) {
            readTask(it, job);
        }
        for (std::size_t i = 0; value.size() > 3 && i < value.at(3).size(); ++i) { // older versions wrote none
            const json &row = value.at(3).at(i);
            auto &steps = job.occurrences.at(row.at(0).get<std::size_t>()).steps;
            TaskState &task = steps.at(row.at(1).get<std::size_t>()).tasks.at(row.at(2).get<std::size_t>());
            task.isGivenAway = true;
            task.phase = TaskPhase::Foreign;
        }
        job.failure = value.size() > 4 ? value.at(4).get<std::string>() : std::string();
    } catch (const std::exception &error) {
        throw InvalidArgument("progress", error.what());
    }
    for (OccurrenceState &occurrence : job.occurrences) {
        for (const StepState &step : occurrence.steps) {
            occurrence.doneSteps += step.doneCount == step.tasks.size() ? 1 : 0;
        }
    }
}

WorkflowState decodeState(std::string_view bytes)
{
    const json value = unpackRecord(bytes);
    try {
        return toState(value.at(1));
    } catch (const json::exception &error) {
        throw InvalidArgument("progress", error.what());
    }
}

std::string decodeFailure(std::string_view bytes)
{
    const json value = unpackRecord(bytes);
    try {
        return value.size() > 4 ? value.at(4).get<std::string>() : std::string(); // older versions wrote none
    } catch (const json::exception &error) {
        throw InvalidArgument("progress", error.what());
    }
}

bool decodeIsDone(std::string_view bytes, const TaskName &task)
{
    const json value = unpackRecord(bytes);
    try {
        if (isFinal(static_cast<WorkflowState>(value.at(1).get<int>()))) {
            return true;
        }
        const json &rows = value.at(2);
        return std::any_of(rows.begin(), rows.end(), [&task](const json &it) {
            return it.at(0) == task.occurrence && it.at(1) == task.step && it.at(2) == task.index
                   && it.at(3).get<bool>();
        });
    } catch (const json::exception &error) {
        throw InvalidArgument("progress", error.what());
    }
}

std::string encodeEpoch(const EpochRecord &record)
{
    json earlier = json::array();
    for (const FormerLeader &it : record.earlier) {
        earlier.push_back(json::array({it.epoch, it.node, it.bootId, it.needsAnswers}));
    }
    return packRecord(json::array({StoredVersion,
                                   record.epoch,
                                   record.node,
                                   record.bootId,
                                   record.hasResigned,
                                   std::move(earlier),
                                   record.needsAnswers}));
}

EpochRecord decodeEpoch(std::string_view bytes)
{
    const json value = unpackRecord(bytes);
    try {
        EpochRecord record{value.at(1), value.at(2), value.at(3), value.at(4), {}, false};
        record.needsAnswers = value.size() > 6 && value.at(6).get<bool>();         // absent in older records
        for (std::size_t i = 0; value.size() > 5 && i < value.at(5).size(); ++i) { // absent in older records
            const json &row = value.at(5).at(i);
            record.earlier.push_back({row.at(0), row.at(1), row.at(2), row.size() > 3 && row.at(3).get<bool>()});
        }
        return record;
    } catch (const json::exception &error) {
        throw InvalidArgument("epoch", error.what());
    }
}

std::vector<FormerLeader> remainingLeaders(const EpochRecord &last, std::string_view node)
{
    std::vector<FormerLeader> leaders = last.earlier;
    std::erase_if(leaders, [&last](const FormerLeader &it) { return it.node == last.node; });
    if (last.epoch > 0 && !last.hasResigned) {
        leaders.push_back({last.epoch, last.node, last.bootId, last.needsAnswers});
    }
    std::erase_if(leaders, [node](const FormerLeader &it) { return it.node == node; });
    return leaders;
}

std::string encodeWorkers(const std::vector<KnownWorker> &workers)
{
    json rows = json::array({StoredVersion});
    for (const KnownWorker &it : workers) {
        rows.push_back(
            json::array({it.id, it.startedAtMs, it.address, it.pool, it.listedSince, it.settledStartedAtMs}));
    }
    return packRecord(rows);
}

std::vector<KnownWorker> decodeWorkers(std::string_view bytes)
{
    const json value = unpackRecord(bytes);
    std::vector<KnownWorker> workers;
    try {
        for (std::size_t i = 1; i < value.size(); ++i) {
            const json &row = value[i];
            const std::uint64_t listedSince = row.size() > 4 ? row.at(4).get<std::uint64_t>() : 0;
            const std::int64_t settled = row.size() > 5 ? row.at(5).get<std::int64_t>() : 0;
            workers.push_back({row.at(0), row.at(1), row.at(2), row.at(3), listedSince, settled});
        }
    } catch (const json::exception &error) {
        throw InvalidArgument("workers", error.what());
    }
    return workers;
}

} // namespace QuetzalRock::Workflow
