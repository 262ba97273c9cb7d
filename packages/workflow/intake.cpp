#include <workflow/intake.h>

#include <base/errors.h>

#include <algorithm>

namespace QuetzalRock::Workflow {

Intake::Intake(RecordStore &store, Clock &clock, EventLog &log, const IntakeSettings &settings)
    : m_store(store)
    , m_clock(clock)
    , m_log(log)
    , m_settings(settings)
{
}

const IntakeCounters &Intake::counters() const
{
    return m_counters;
}

IntakeReply Intake::notTaken() const
{
    return {IntakeOutcome::NotAccepted, m_settings.retryAfter};
}

// ---------------------------------------------------------------------------------------------------------------------
// Writes
// ---------------------------------------------------------------------------------------------------------------------

void Intake::submit(const Queue &queue, std::optional<ShardId> shard, WorkflowSpec spec, TimePoint deadline, Done done)
{
    AcceptedJob job;
    job.spec = std::move(spec);
    job.queue = queue.name;
    job.host = queue.host;
    job.pathPrefix = queue.pathPrefix;
    job.pool = queue.pool;
    job.priority = queue.priority;
    job.maxFailures = queue.maxFailures;
    job.stretch = queue.stretch;
    job.slackMs = queue.slackMs;
    job.acceptedMs = m_clock.wallNow().count();
    auto write = std::make_shared<Write>();
    write->key = job.spec.key;
    write->shard = shard;
    write->value = encodeAccepted(job);
    write->deadline = deadline;
    write->done = std::move(done);
    m_writes.push_back(write);
    send(write);
}

void Intake::cancel(const JobKey &key, TimePoint deadline, Done done)
{
    ++m_counters.cancels;
    findToCancel(key, deadline, std::move(done));
}

void Intake::findToCancel(const JobKey &key, TimePoint deadline, Done done)
{
    m_store.get(std::string(RegistrationPrefix) + key,
                [this, key, deadline, done = std::move(done)](const StoreReply &reply) {
                    onFoundToCancel(key, deadline, reply, done);
                });
}

void Intake::onFoundToCancel(const JobKey &key, TimePoint deadline, const StoreReply &reply, const Done &done)
{
    if (reply.status == StoreStatus::NotFound) {
        done({IntakeOutcome::NoSuchJob});
        return;
    }
    if (reply.status != StoreStatus::Ok || reply.items.empty()) {
        m_log.write("cancel_not_taken", "job", key);
        done(notTaken());
        return;
    }
    auto write = std::make_shared<Write>();
    write->key = key;
    write->isCancel = true;
    write->jobRevision = reply.items.front().revision;
    write->deadline = deadline;
    write->done = done;
    try {
        write->shard = decodeRegistration(reply.items.front().value);
    } catch (const Error &error) {
        m_log.write("registration_unreadable", "job", key, "error", error.what());
        done(notTaken());
        return;
    }
    if (!write->shard) { // it gets one within a few calls to the store
        if (m_clock.now() + m_settings.retryEvery + m_settings.answerMargin >= deadline) {
            done(notTaken());
        } else {
            m_cancelsToRepeat.push_back({key, deadline, m_clock.now() + m_settings.retryEvery, done});
        }
        return;
    }
    m_writes.push_back(write);
    send(write);
}

void Intake::send(const WritePtr &write)
{
    StoreChange change;
    const std::string registration = std::string(RegistrationPrefix) + write->key;
    if (write->isCancel) {
        change.conditions = {{registration, write->jobRevision}};
        change.puts = {{makeShardKeys(*write->shard).cancels + write->key, {}, 0}};
    } else {
        const std::string inbox = write->shard ? makeShardKeys(*write->shard).jobs : std::string(SpreadPrefix);
        change.conditions = {{registration, 0}};
        change.puts = {{registration, encodeRegistration(write->shard), 0}, {inbox + write->key, write->value, 0}};
    }
    write->isSent = true;
    m_store.change(std::move(change), [this, write](const StoreReply &reply) { onSent(write, reply); });
}

void Intake::onSent(const WritePtr &write, const StoreReply &reply)
{
    if (std::find(m_writes.begin(), m_writes.end(), write) == m_writes.end()) {
        return; // its caller was told that the outcome is unknown
    }
    write->isSent = false;
    switch (reply.status) {
    case StoreStatus::Ok:
        finish(write, IntakeOutcome::Ok);
        return;
    case StoreStatus::Conflict:
        // A submission: the key is registered, so it is this very job. A cancel: the job has gone, long after its end.
        finish(write, write->isCancel ? IntakeOutcome::NoSuchJob : IntakeOutcome::Ok);
        return;
    case StoreStatus::NotExecuted:
    case StoreStatus::NotFound:
        if (!write->mayBeStored) {
            finish(write, IntakeOutcome::NotAccepted);
            return;
        }
        break;
    case StoreStatus::Unknown:
        write->mayBeStored = true;
        break;
    }
    write->retryAt = m_clock.now() + m_settings.retryEvery;
}

void Intake::finish(const WritePtr &write, IntakeOutcome outcome)
{
    std::erase(m_writes, write);
    m_counters.accepted += outcome == IntakeOutcome::Ok && !write->isCancel ? 1 : 0;
    m_counters.notTaken += outcome == IntakeOutcome::NotAccepted ? 1 : 0;
    m_counters.unknown += outcome == IntakeOutcome::Unknown ? 1 : 0;
    m_log.write(write->isCancel ? "cancel_answered" : "job_answered",
                "job",
                write->key,
                "outcome",
                static_cast<int>(outcome),
                "repeated",
                write->mayBeStored);
    IntakeReply reply{outcome};
    reply.retryAfter = outcome == IntakeOutcome::NotAccepted ? m_settings.retryAfter : Duration{};
    write->done(reply);
}

void Intake::tick(TimePoint now)
{
    std::vector<CancelToRepeat> cancels;
    cancels.swap(m_cancelsToRepeat);
    for (CancelToRepeat &it : cancels) {
        if (now >= it.at) {
            findToCancel(it.key, it.deadline, std::move(it.done));
        } else {
            m_cancelsToRepeat.push_back(std::move(it));
        }
    }
    const std::vector<WritePtr> writes = m_writes;
    for (const WritePtr &it : writes) {
        if (now + m_settings.answerMargin >= it->deadline) {
            finish(it, IntakeOutcome::Unknown);
        } else if (!it->isSent && now >= it->retryAt) {
            send(it);
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Questions
// ---------------------------------------------------------------------------------------------------------------------

void Intake::queryState(const JobKey &key, Done done)
{
    ++m_counters.questions;
    m_store.get(std::string(ProgressPrefix) + key, [this, key, done = std::move(done)](const StoreReply &reply) {
        if (reply.status == StoreStatus::NotFound) {
            askJob(key, done);
            return;
        }
        if (reply.status != StoreStatus::Ok || reply.items.empty()) {
            done(notTaken());
            return;
        }
        IntakeReply answer;
        try {
            answer.state = decodeState(reply.items.front().value);
        } catch (const Error &error) {
            m_log.write("progress_unreadable", "job", key, "error", error.what());
            answer = notTaken();
        }
        done(answer);
    });
}

void Intake::askJob(const JobKey &key, const Done &done)
{
    m_store.get(std::string(RegistrationPrefix) + key, [this, done](const StoreReply &reply) {
        if (reply.status == StoreStatus::NotFound) {
            done({IntakeOutcome::NoSuchJob});
        } else if (reply.status == StoreStatus::Ok) {
            done({});
        } else {
            done(notTaken());
        }
    });
}

void Intake::countPending(const std::string &queue, Done done)
{
    ++m_counters.questions;
    if (m_statusesAt != TimePoint{} && m_clock.now() < m_statusesAt + m_settings.countMaxAge) {
        IntakeReply reply;
        reply.pending = pendingOf(queue);
        done(reply);
        return;
    }
    readStatuses([this, queue, done = std::move(done)](IntakeReply reply) {
        reply.pending = reply.outcome == IntakeOutcome::Ok ? pendingOf(queue) : 0;
        done(reply);
    });
}

std::uint32_t Intake::pendingOf(const std::string &queue) const
{
    std::uint32_t n = 0;
    for (const auto &[shard, status] : m_statuses) {
        const auto found = status.pending.find(queue);
        n += found == status.pending.end() ? 0 : found->second;
    }
    return n;
}

const ShardStatuses &Intake::statuses() const
{
    return m_statuses;
}

void Intake::refreshStatuses()
{
    const bool isOld = m_statusesAt == TimePoint{} || m_clock.now() >= m_statusesAt + m_settings.statusMaxAge;
    if (isOld && !m_isReadingStatuses) {
        m_isReadingStatuses = true;
        readStatuses([this](const IntakeReply &) { m_isReadingStatuses = false; });
    }
}

void Intake::readStatuses(Done done)
{
    m_store.range(StatusPrefix, {}, [this, done = std::move(done)](const StoreReply &reply) {
        if (reply.status != StoreStatus::Ok) {
            done(notTaken());
            return;
        }
        try {
            takeStatuses(reply);
        } catch (const Error &error) {
            m_log.write("statuses_unreadable", "error", error.what());
            done(notTaken());
            return;
        }
        done({});
    });
}

void Intake::takeStatuses(const StoreReply &reply)
{
    ShardStatuses statuses;
    for (const StoreItem &it : reply.items) {
        if (const auto shard = shardOfKey(it.key, StatusPrefix)) {
            statuses[*shard] = decodeStatus(it.value);
        }
    }
    m_statuses = std::move(statuses);
    m_statusesAt = m_clock.now();
}

} // namespace QuetzalRock::Workflow
