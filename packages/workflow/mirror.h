/**
 * Follows all items under a prefix of the store: loads them, then watches. Reloads where history was lost, and reports
 * what has gone meanwhile.
 *
 * Use
 *   PrefixMirror mirror(store, clock, log, "operator/", [](const StoreItem &it) { ... it.isDeleted ... });
 *   mirror.tick(now);      // again and again; starts the next call where none is under way
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
    Duration watchWait
        = std::chrono::milliseconds(1500); ///< bounds, with the client's margin, how late a connection that
                                           ///< has gone silent is noticed; below the time in which
                                           ///< a configuration has to be in force
    Duration retryAfter = std::chrono::milliseconds(200); ///< after a failed call; doubles up to retryMost
    Duration retryMost = std::chrono::milliseconds(800);
    Duration gather{}; ///< changes are gathered for so long before the next call; zero: each is reported at once
};

class PrefixMirror
{
public:
    using OnItem = std::function<void(const StoreItem &)>;

    PrefixMirror(RecordStore &store,
                 Clock &clock,
                 EventLog &log,
                 std::string prefix,
                 OnItem onItem,
                 const MirrorSettings &settings = {});

    void tick(TimePoint now);

    bool isLoaded() const;          ///< since the start; items may be older than the store where it is away
    std::uint64_t revision() const; ///< all changes up to this have been reported
    TimePoint lastReplyAt() const;  ///< when the store last answered

private:
    void load(const std::string &afterKey);
    void onPage(const StoreReply &reply);
    void watch();
    void onEvents(const StoreReply &reply);
    void report(const StoreItem &item);
    void fail(std::string_view what);
    void succeed();

    RecordStore &m_store;
    Clock &m_clock;
    EventLog &m_log;
    std::string m_prefix;
    OnItem m_onItem;
    MirrorSettings m_settings;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0); ///< callbacks outlive the mirror
    bool m_isLoaded = false;
    bool m_mustLoad = true;
    bool m_isBusy = false;
    std::uint64_t m_revision = 0;
    std::uint64_t m_loadRevision = 0;             ///< of the first page
    std::set<std::string> m_loadedKeys;           ///< of the load under way
    std::map<std::string, std::uint64_t> m_known; ///< revision of each key
    TimePoint m_nextAt{};                         ///< no call before
    TimePoint m_freshAt{};
    Duration m_retryAfter{};
};

} // namespace QuetzalRock::Workflow
