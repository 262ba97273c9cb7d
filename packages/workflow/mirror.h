/**
 * Reports every change of the items under a key prefix of the store: loads all of them, then watches for changes. If
 * the store has compacted the history since the last watch, it loads again and reports items deleted meanwhile as
 * deleted. It also loads after a watch has failed: a load is answered at once or not at all, so that it shows within
 * one call's timeout whether the store is back, and its answer doesn't grow with what was missed.
 *
 * Use
 *   PrefixMirror mirror(store, clock, log, "operator/", [](const StoreItem &it) { ... it.isDeleted ... });
 *   mirror.tick(now);      // periodically; starts the next store call unless one is in flight
 */
#pragma once

#include <workflow/ports.h>

#include <base/eventlog.h>

#include <map>
#include <memory>
#include <set>

namespace QuetzalRock::Workflow {

struct MirrorSettings
{
    Duration watchTimeout
        = std::chrono::milliseconds(1000); ///< of one long poll; with WatchReplyTimeout, the time until a dead
                                           ///< connection is noticed. Must be shorter than the time within which
                                           ///< a new configuration has to be in force
    Duration minRetryDelay
        = std::chrono::milliseconds(200); ///< from one failed call to the next; doubles up to maxRetryDelay
    Duration maxRetryDelay = std::chrono::milliseconds(800);
    Duration batchDelay{}; ///< pause after changes, so that the next call returns several; zero: none
};

class PrefixMirror
{
public:
    /** An item for which it throws an exception is logged and not reported again. */
    using OnItem = std::function<void(const StoreItem &)>;

    PrefixMirror(RecordStore &store,
                 Clock &clock,
                 EventLog &log,
                 std::string prefix,
                 OnItem onItem,
                 const MirrorSettings &settings = {});

    void tick(TimePoint now);

    bool isLoaded() const;          ///< has loaded at least once; items may be stale while the store is unreachable
    std::uint64_t revision() const; ///< all changes up to this revision have been reported
    TimePoint lastReplyAt() const;  ///< when the store last answered

    /** All changes before this time have been reported. A lower bound: when the store read, not when its reply came. */
    TimePoint confirmedAt() const;

private:
    void load(const std::string &afterKey);
    void onPage(const StoreReply &reply);
    void watch();
    void onEvents(const StoreReply &reply);
    TimePoint timeOfReading(const StoreReply &reply) const;
    void reportIfNew(const StoreItem &item);
    void onCallFailed(std::string_view call);
    void onCallSucceeded();

    RecordStore &m_store;
    Clock &m_clock;
    EventLog &m_log;
    std::string m_prefix;
    OnItem m_onItem;
    MirrorSettings m_settings;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0); ///< callbacks outlive the mirror
    bool m_isLoaded = false;
    bool m_mustLoad = true;
    bool m_isCallInFlight = false;
    std::uint64_t m_revision = 0;
    std::uint64_t m_loadRevision = 0;                      ///< revision of the load's first page
    std::set<std::string> m_loadedKeys;                    ///< by the load in progress
    std::map<std::string, std::uint64_t> m_knownRevisions; ///< last reported revision of each existing key
    TimePoint m_nextCallAt{};                              ///< earliest time of the next call
    TimePoint m_callSentAt{};                              ///< of the last call; of a load: of its first page
    TimePoint m_lastReplyAt{};
    TimePoint m_confirmedAt{};
    Duration m_retryDelay{};
};

} // namespace QuetzalRock::Workflow
