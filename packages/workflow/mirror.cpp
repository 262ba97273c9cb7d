#include <workflow/mirror.h>

#include <algorithm>

namespace QuetzalRock::Workflow {

PrefixMirror::PrefixMirror(
    RecordStore &store, Clock &clock, EventLog &log, std::string prefix, OnItem onItem, const MirrorSettings &settings)
    : m_store(store)
    , m_clock(clock)
    , m_log(log)
    , m_prefix(std::move(prefix))
    , m_onItem(std::move(onItem))
    , m_settings(settings)
    , m_retryDelay(m_settings.minRetryDelay)
{
}

bool PrefixMirror::isLoaded() const
{
    return m_isLoaded;
}

std::uint64_t PrefixMirror::revision() const
{
    return m_revision;
}

TimePoint PrefixMirror::lastReplyAt() const
{
    return m_lastReplyAt;
}

TimePoint PrefixMirror::confirmedAt() const
{
    return m_confirmedAt;
}

void PrefixMirror::tick(TimePoint now)
{
    if (m_isCallInFlight || now < m_nextCallAt) {
        return;
    }
    m_isCallInFlight = true;
    m_callSentAt = now;
    if (m_mustLoad) {
        m_loadedKeys.clear();
        m_loadRevision = 0;
        load({});
    } else {
        watch();
    }
}

void PrefixMirror::load(const std::string &afterKey)
{
    m_store.range(m_prefix, afterKey, [this, alive = std::weak_ptr(m_alive)](const StoreReply &reply) {
        if (!alive.expired()) {
            onPage(reply);
        }
    });
}

void PrefixMirror::onPage(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok) {
        onCallFailed("load");
        return;
    }
    // Pages are read at different revisions. The watch starts at the first page's revision, so that it delivers every
    // change that a page may have missed; changes that a later page already showed are skipped by reportIfNew().
    m_loadRevision = m_loadRevision == 0 ? reply.revision : m_loadRevision;
    for (const StoreItem &it : reply.items) {
        m_loadedKeys.insert(it.key);
        reportIfNew(it);
    }
    if (reply.hasMore && !reply.items.empty()) {
        load(reply.items.back().key);
        return;
    }
    std::vector<std::string> deletedKeys;
    for (const auto &[key, revision] : m_knownRevisions) {
        if (!m_loadedKeys.contains(key)) {
            deletedKeys.push_back(key);
        }
    }
    for (const std::string &key : deletedKeys) {
        StoreItem item;
        item.key = key;
        item.isDeleted = true;
        item.revision = m_loadRevision;
        reportIfNew(item);
    }
    m_loadedKeys.clear();
    m_revision = m_loadRevision;
    m_mustLoad = false;
    m_isLoaded = true;
    m_confirmedAt = std::max(m_confirmedAt, m_callSentAt);
    onCallSucceeded();
}

void PrefixMirror::watch()
{
    m_store.watch(
        m_prefix, m_revision, m_settings.watchTimeout, [this, alive = std::weak_ptr(m_alive)](const StoreReply &it) {
            if (!alive.expired()) {
                onEvents(it);
            }
        });
}

void PrefixMirror::onEvents(const StoreReply &reply)
{
    if (reply.status == StoreStatus::NotFound) {
        m_log.write("watch_history_lost", "prefix", m_prefix, "revision", m_revision);
        m_mustLoad = true;
        onCallSucceeded();
        return;
    }
    if (reply.status != StoreStatus::Ok) {
        m_mustLoad = true;
        onCallFailed("watch");
        return;
    }
    for (const StoreItem &it : reply.items) {
        reportIfNew(it);
    }
    m_revision = std::max(m_revision, reply.revision);
    m_confirmedAt = std::max(m_confirmedAt, timeOfReading(reply));
    onCallSucceeded();
    m_nextCallAt = reply.items.empty() ? m_nextCallAt : m_clock.now() + m_settings.batchDelay;
}

/** The earliest time at which the store may have read what the watch in flight returned. */
TimePoint PrefixMirror::timeOfReading(const StoreReply &reply) const
{
    // Without changes the store reads when the wait is over; a reply before that is from a watch that was cut short.
    const TimePoint waitEndsAt = m_callSentAt + m_settings.watchTimeout;
    return reply.items.empty() && m_clock.now() >= waitEndsAt ? waitEndsAt : m_callSentAt;
}

void PrefixMirror::reportIfNew(const StoreItem &item)
{
    const auto it = m_knownRevisions.find(item.key);
    if (it != m_knownRevisions.end() && item.revision <= it->second) {
        return; // already reported, or older than what was reported
    }
    if (item.isDeleted) {
        if (it == m_knownRevisions.end()) {
            return;
        }
        m_knownRevisions.erase(it);
    } else {
        m_knownRevisions[item.key] = item.revision;
    }
    try {
        m_onItem(item);
    } catch (const std::exception &error) {
        m_log.write("item_failed", "key", item.key, "revision", item.revision, "error", error.what());
    }
}

void PrefixMirror::onCallFailed(std::string_view call)
{
    m_isCallInFlight = false;
    // Counted from when the call was sent: a call that timed out has already taken longer than the delay.
    m_nextCallAt = m_callSentAt + m_retryDelay;
    m_retryDelay = std::min(m_settings.maxRetryDelay, m_retryDelay * 2);
    m_log.write("mirror_call_failed",
                "prefix",
                m_prefix,
                "call",
                call,
                "revision",
                m_revision,
                "after_ms",
                toMilliseconds(m_clock.now() - m_callSentAt));
}

void PrefixMirror::onCallSucceeded()
{
    m_isCallInFlight = false;
    m_retryDelay = m_settings.minRetryDelay;
    m_lastReplyAt = m_clock.now();
}

} // namespace QuetzalRock::Workflow
