#include <workflow/intake.h>

#include <base/errors.h>

#include <algorithm>
#include <utility>

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

/** @p cause is the status of the store call without which the request cannot be accepted; Ok: not such a call. */
IntakeReply Intake::notAcceptedReply(StoreStatus cause) const
{
    return {IntakeOutcome::NotAccepted, m_settings.retryAfter, cause == StoreStatus::NotExecuted};
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
    auto write = std::make_shared<PendingWrite>();
    write->key = job.spec.key;
    write->shard = shard;
    write->value = encodeAccepted(job);
    write->deadline = deadline;
    write->done = std::move(done);
    m_writes.push_back(write);
    send(write);
}

void Intake::rejectUnlessStored(const JobKey &key, Duration retryAfter, std::function<void()> submit, Done done)
{
    m_store.get(std::string(RegistrationPrefix) + key,
                [this, key, retryAfter, submit = std::move(submit), done = std::move(done)](const StoreReply &reply) {
                    const bool isBeingWritten = std::any_of(
                        m_writes.begin(), m_writes.end(), [&key](const WritePtr &it) { return it->key == key; });
                    if (reply.status != StoreStatus::NotFound || isBeingWritten) {
                        submit();
                        return;
                    }
                    ++m_counters.noRoom;
                    done({IntakeOutcome::NoRoom, retryAfter});
                });
}

void Intake::cancel(const JobKey &key, TimePoint deadline, Done done)
{
    ++m_counters.cancels;
    readJobForCancel(key, deadline, std::move(done));
}

void Intake::readJobForCancel(const JobKey &key, TimePoint deadline, Done done)
{
    m_store.get(std::string(RegistrationPrefix) + key,
                [this, key, deadline, done = std::move(done)](const StoreReply &reply) {
                    onJobReadForCancel(key, deadline, reply, done);
                });
}

void Intake::onJobReadForCancel(const JobKey &key, TimePoint deadline, const StoreReply &reply, const Done &done)
{
    const bool isRegistered = reply.status == StoreStatus::Ok && !reply.items.empty();
    if (!isRegistered && reply.status != StoreStatus::NotFound) {
        m_log.write("cancel_not_accepted", "job", key);
        done(notAcceptedReply(reply.status));
        return;
    }
    auto write = std::make_shared<PendingWrite>();
    write->key = key;
    write->isCancel = true;
    write->deadline = deadline;
    write->done = done;
    if (!isRegistered) {
        write->isEarlyCancel = true;
        write->shard = EarlyCancelShard;
        m_writes.push_back(write);
        send(write);
        return;
    }
    write->jobRevision = reply.items.front().revision;
    try {
        const Registration registration = decodeRegistration(reply.items.front().value);
        if (registration.isCancelledEarly) {
            done({IntakeOutcome::NoSuchJob});
            return;
        }
        write->shard = registration.shard;
        write->guestOf = registration.guestOf;
    } catch (const Error &error) {
        m_log.write("registration_unreadable", "job", key, "error", error.what());
        done(notAcceptedReply());
        return;
    }
    if (!write->shard) { // the ShardAssigner gives it one within a few store calls
        if (m_clock.now() + m_settings.retryInterval + m_settings.replyMargin >= deadline) {
            done(notAcceptedReply());
        } else {
            m_deferredCancels.push_back({key, deadline, m_clock.now() + m_settings.retryInterval, done});
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
    if (write->isEarlyCancel) {
        change.conditions = {{registration, 0}};
        change.puts = {{registration, encodeRegistration({EarlyCancelShard, {}, true}), 0},
                       {makeShardKeys(EarlyCancelShard).cancels + write->key, std::string(CancelWithoutJob), 0}};
    } else if (write->isCancel) {
        change.conditions = {{registration, write->jobRevision}};
        change.puts = {{makeShardKeys(*write->shard).cancels + write->key, {}, 0}};
        for (const ShardId it : write->guestOf) {
            change.puts.push_back({makeShardKeys(it).cancels + write->key, {}, 0});
        }
    } else {
        const std::string inbox = write->shard ? makeShardKeys(*write->shard).jobs : std::string(UnassignedPrefix);
        change.conditions = {{registration, 0}};
        change.puts
            = {{registration, encodeRegistration({write->shard, {}}), 0}, {inbox + write->key, write->value, 0}};
    }
    write->isInFlight = true;
    m_store.change(std::move(change), [this, write](const StoreReply &reply) { onWriteReply(write, reply); });
}

void Intake::onWriteReply(const WritePtr &write, const StoreReply &reply)
{
    if (std::find(m_writes.begin(), m_writes.end(), write) == m_writes.end()) {
        return; // the caller has already been told that the outcome is unknown
    }
    write->isInFlight = false;
    switch (reply.status) {
    case StoreStatus::Ok:
        finish(write, write->isEarlyCancel ? IntakeOutcome::NoSuchJob : IntakeOutcome::Ok);
        return;
    case StoreStatus::Conflict:
        onConflict(write, reply);
        return;
    case StoreStatus::NotExecuted:
    case StoreStatus::NotFound:
        if (!write->mayBeStored) {
            finish(write, IntakeOutcome::NotAccepted, reply.status);
            return;
        }
        break;
    case StoreStatus::Unknown:
        write->mayBeStored = true;
        break;
    }
    write->retryAt = m_clock.now() + m_settings.retryInterval;
}

void Intake::onConflict(const WritePtr &write, const StoreReply &reply)
{
    if (write->isEarlyCancel) { // registered meanwhile, perhaps by an earlier copy of this write
        std::erase(m_writes, write);
        readJobForCancel(write->key, write->deadline, std::move(write->done));
    } else if (!write->isCancel) { // the key is already registered: this very job is stored, or is cancelled
        const bool isCancelled = !reply.items.empty() && wasCancelledEarly(reply.items.front());
        finish(write, isCancelled ? IntakeOutcome::Cancelled : IntakeOutcome::Ok);
    } else if (updateCancel(write, reply)) { // the job or a task has moved to another shard
        send(write);
    } else { // the job was removed, which happens long after its end
        finish(write, IntakeOutcome::NoSuchJob);
    }
}

bool Intake::wasCancelledEarly(const StoreItem &registration)
{
    try {
        return decodeRegistration(registration.value).isCancelledEarly;
    } catch (const Error &error) {
        m_log.write("registration_unreadable", "key", registration.key, "error", error.what());
        return false;
    }
}

/** Takes the shards of the job's current registration; false if there is none. */
bool Intake::updateCancel(const WritePtr &write, const StoreReply &conflict)
{
    if (conflict.items.empty()) {
        return false;
    }
    const StoreItem &item = conflict.items.front();
    try {
        const Registration registration = decodeRegistration(item.value);
        write->shard = registration.shard;
        write->guestOf = registration.guestOf;
    } catch (const Error &error) {
        m_log.write("registration_unreadable", "job", write->key, "error", error.what());
        return false;
    }
    write->jobRevision = item.revision;
    return write->shard.has_value();
}

void Intake::finish(const WritePtr &write, IntakeOutcome outcome, StoreStatus cause)
{
    std::erase(m_writes, write);
    m_counters.accepted += outcome == IntakeOutcome::Ok && !write->isCancel ? 1 : 0;
    m_counters.notAccepted += outcome == IntakeOutcome::NotAccepted ? 1 : 0;
    m_counters.unknown += outcome == IntakeOutcome::Unknown ? 1 : 0;
    m_log.write(write->isCancel ? "cancel_answered" : "job_answered",
                "job",
                write->key,
                "shard",
                write->shard ? std::to_string(*write->shard) : "none",
                "outcome",
                static_cast<int>(outcome),
                "repeated",
                write->mayBeStored);
    write->done(outcome == IntakeOutcome::NotAccepted ? notAcceptedReply(cause) : IntakeReply{outcome});
}

void Intake::tick(TimePoint now)
{
    std::vector<DeferredCancel> cancels;
    cancels.swap(m_deferredCancels);
    for (DeferredCancel &it : cancels) {
        if (now >= it.retryAt) {
            readJobForCancel(it.key, it.deadline, std::move(it.done));
        } else {
            m_deferredCancels.push_back(std::move(it));
        }
    }
    const std::vector<WritePtr> writes = m_writes;
    for (const WritePtr &it : writes) {
        if (now + m_settings.replyMargin >= it->deadline) {
            finish(it, IntakeOutcome::Unknown);
        } else if (!it->isInFlight && now >= it->retryAt) {
            send(it);
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Queries
// ---------------------------------------------------------------------------------------------------------------------

void Intake::queryState(const JobKey &key, Done done)
{
    ++m_counters.queries;
    m_store.get(std::string(ProgressPrefix) + key, [this, key, done = std::move(done)](const StoreReply &reply) {
        if (reply.status == StoreStatus::NotFound) {
            checkRegistration(key, done);
            return;
        }
        if (reply.status != StoreStatus::Ok || reply.items.empty()) {
            done(notAcceptedReply(reply.status));
            return;
        }
        IntakeReply answer;
        try {
            answer.state = decodeState(reply.items.front().value);
            answer.failure = decodeFailure(reply.items.front().value);
        } catch (const Error &error) {
            m_log.write("progress_unreadable", "job", key, "error", error.what());
            answer = notAcceptedReply();
        }
        done(answer);
    });
}

void Intake::checkRegistration(const JobKey &key, const Done &done)
{
    m_store.get(std::string(RegistrationPrefix) + key, [this, done](const StoreReply &reply) {
        const bool isCancelledEarly
            = reply.status == StoreStatus::Ok && !reply.items.empty() && wasCancelledEarly(reply.items.front());
        if (reply.status == StoreStatus::NotFound || isCancelledEarly) {
            done({IntakeOutcome::NoSuchJob});
        } else if (reply.status == StoreStatus::Ok) {
            done({});
        } else {
            done(notAcceptedReply(reply.status));
        }
    });
}

void Intake::countPending(const std::string &queue, Done done)
{
    ++m_counters.queries;
    if (m_statusesReadAt != TimePoint{} && m_clock.now() < m_statusesReadAt + m_settings.countMaxAge) {
        IntakeReply reply;
        reply.pending = countPendingIn(queue);
        done(reply);
        return;
    }
    readStatuses([this, queue, done = std::move(done)](IntakeReply reply) {
        reply.pending = reply.outcome == IntakeOutcome::Ok ? countPendingIn(queue) : 0;
        done(reply);
    });
}

std::uint32_t Intake::countPendingIn(const std::string &queue) const
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
    const bool isOld = m_statusesReadAt == TimePoint{} || m_clock.now() >= m_statusesReadAt + m_settings.statusMaxAge;
    if (isOld && !m_isReadingStatuses) {
        m_isReadingStatuses = true;
        readStatuses([this](const IntakeReply &) { m_isReadingStatuses = false; });
    }
}

void Intake::readStatuses(Done done)
{
    m_store.range(StatusPrefix, {}, [this, done = std::move(done)](const StoreReply &reply) {
        if (reply.status != StoreStatus::Ok) {
            done(notAcceptedReply(reply.status));
            return;
        }
        applyStatuses(reply);
        done({});
    });
}

void Intake::applyStatuses(const StoreReply &reply)
{
    ShardStatuses statuses;
    for (const StoreItem &it : reply.items) {
        const auto shard = shardOfKey(it.key, StatusPrefix);
        if (!shard) {
            continue;
        }
        try {
            statuses[*shard] = decodeStatus(it.value);
        } catch (const Error &error) {
            std::uint64_t &logged = m_unreadableStatuses[*shard];
            if (std::exchange(logged, it.revision) != it.revision) {
                m_log.write("status_unreadable", "key", it.key, "revision", it.revision, "error", error.what());
            }
        }
    }
    m_statuses = std::move(statuses);
    m_statusesReadAt = m_clock.now();
}

} // namespace QuetzalRock::Workflow
