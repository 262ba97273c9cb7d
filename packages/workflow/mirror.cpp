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
    , m_retryAfter(m_settings.retryAfter)
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
    return m_freshAt;
}

void PrefixMirror::tick(TimePoint now)
{
    if (m_isBusy || now < m_nextAt) {
        return;
    }
    m_isBusy = true;
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
        fail("load");
        return;
    }
    // Pages are no snapshot: watching from the first page's revision repeats what the later ones may have missed.
    m_loadRevision = m_loadRevision == 0 ? reply.revision : m_loadRevision;
    for (const StoreItem &it : reply.items) {
        m_loadedKeys.insert(it.key);
        report(it);
    }
    if (reply.hasMore && !reply.items.empty()) {
        load(reply.items.back().key);
        return;
    }
    std::vector<std::string> gone;
    for (const auto &[key, revision] : m_known) {
        if (!m_loadedKeys.contains(key)) {
            gone.push_back(key);
        }
    }
    for (const std::string &key : gone) {
        StoreItem item;
        item.key = key;
        item.isDeleted = true;
        item.revision = m_loadRevision;
        report(item);
    }
    m_loadedKeys.clear();
    m_revision = m_loadRevision;
    m_mustLoad = false;
    m_isLoaded = true;
    succeed();
}

void PrefixMirror::watch()
{
    m_store.watch(
        m_prefix, m_revision, m_settings.watchWait, [this, alive = std::weak_ptr(m_alive)](const StoreReply &it) {
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
        succeed();
        return;
    }
    if (reply.status != StoreStatus::Ok) {
        fail("watch");
        return;
    }
    for (const StoreItem &it : reply.items) {
        report(it);
    }
    m_revision = std::max(m_revision, reply.revision);
    succeed();
    m_nextAt = reply.items.empty() ? m_nextAt : m_clock.now() + m_settings.gather;
}

void PrefixMirror::report(const StoreItem &item)
{
    const auto it = m_known.find(item.key);
    if (it != m_known.end() && item.revision <= it->second) {
        return; // a repeat, or older than what is known
    }
    if (item.isDeleted) {
        if (it == m_known.end()) {
            return;
        }
        m_known.erase(it);
    } else {
        m_known[item.key] = item.revision;
    }
    m_onItem(item);
}

void PrefixMirror::fail(std::string_view what)
{
    m_isBusy = false;
    m_nextAt = m_clock.now() + m_retryAfter;
    m_retryAfter = std::min(m_settings.retryMost, m_retryAfter * 2);
    m_log.write("mirror_call_failed", "prefix", m_prefix, "call", what, "revision", m_revision);
}

void PrefixMirror::succeed()
{
    m_isBusy = false;
    m_retryAfter = m_settings.retryAfter;
    m_freshAt = m_clock.now();
}

} // namespace QuetzalRock::Workflow
