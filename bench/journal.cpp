/**
 * What the journal costs: writes and bytes to the service for each task start, against two other layouts; processor time
 * of an append; replay and snapshots against the number of tasks. Time of the load is simulated, processor time is not.
 *
 * Usage: benchjournal [SECONDS]    of simulated load, default 600
 */
#include "usage.h"

#include <journal/groupcommit.h>
#include <journal/journal.h>
#include <platform/embeddedkeyvalue.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <random>

using namespace QuetzalRock;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t AssignmentBytes = 90; // task, attempt, worker, resources, class
constexpr std::size_t EndBytes = 40;        // task, attempt, state, checkpoint's name
constexpr std::size_t TaskStateBytes = 100; // of one task in a snapshot
constexpr int DomainTasks = 27'300 / 24;    // of the target, running in one failure domain
constexpr int Domains = 24;
constexpr double TargetWrites = 300;       // a second, all domains together
constexpr double TargetNodeBytes = 27'000; // a second, for control, of one node
constexpr Duration Tick = 1ms;

JournalSettings settings(std::uint32_t slots)
{
    JournalSettings settings;
    settings.name = "muuga";
    settings.writer = "entry-1.20261203";
    settings.slots = slots;
    return settings;
}

struct Load
{
    double writes = 0;      ///< a second
    double bytes = 0;       ///< a second, of values sent
    double meanWait = 0;    ///< ms from a record's arrival to its append
    double longestWait = 0; ///< ms
    double urgentWait = 0;  ///< longest of an urgent record, ms
};

enum class Layout {
    Ring,       ///< Journal
    HeadKey,    ///< one key holds every record since the last snapshot and is rewritten for each batch
    KeyPerTask, ///< a key for each task, written for its assignment and its end, without gathering
};

/** Batches between snapshots at which rewriting the head costs the fewest bytes: sqrt(2 * snapshot / batch). */
constexpr int BestHeadBatches = 19;

/** One failure domain: starts and ends arrive at random, one in ten of the starts urgent. */
class Domain
{
public:
    Domain(double startsPerSecond, Layout layout, std::uint32_t slots, const GroupCommitSettings &gather = {})
        : m_startsPerSecond(startsPerSecond)
        , m_layout(layout)
        , m_headBatches(static_cast<int>(slots))
        , m_budget(m_clock, WriteBudgetSettings())
        , m_commit(m_clock, m_budget, gather)
        , m_journal(m_store, settings(slots))
    {
        m_journal.takeOver();
    }

    Load run(int seconds)
    {
        const KeyValueCounters before = m_store.counters();
        const int ticks = seconds * 1000;
        for (int n = 0; n < ticks; ++n) {
            arrive();
            commit();
            m_clock.advance(Tick);
        }
        const KeyValueCounters after = m_store.counters();
        Load load = m_load;
        load.writes = static_cast<double>(after.writes - before.writes) / seconds;
        load.bytes = static_cast<double>(after.bytesWritten - before.bytesWritten) / seconds;
        load.meanWait = m_appended > 0 ? m_waited / static_cast<double>(m_appended) : 0;
        return load;
    }
    double snapshotShare() const
    {
        const JournalCounters &counters = m_journal.counters();
        return static_cast<double>(counters.snapshotBytes) / static_cast<double>(counters.writeBytes);
    }

private:
    struct Waiting
    {
        TimePoint since;
        bool urgent;
    };

    void arrive()
    {
        std::bernoulli_distribution start(m_startsPerSecond / 1000);
        std::bernoulli_distribution urgent(0.1);
        if (start(m_random)) {
            put(AssignmentBytes, urgent(m_random));
        }
        if (start(m_random)) {
            put(EndBytes, false);
        }
    }
    void put(std::size_t bytes, bool urgent)
    {
        m_records.emplace_back(bytes, 'x');
        m_waiting.push_back({m_clock.now(), urgent});
        m_commit.add(bytes, urgent);
    }
    void commit()
    {
        if (m_layout == Layout::KeyPerTask) {
            return writeKeys();
        }
        if (!m_commit.tryBegin()) {
            return;
        }
        if (m_layout == Layout::HeadKey) {
            rewriteHead();
        } else {
            append();
        }
        for (const Waiting &it : m_waiting) {
            const double wait = std::chrono::duration<double, std::milli>(m_clock.now() - it.since).count();
            m_waited += wait;
            m_load.longestWait = std::max(m_load.longestWait, wait);
            m_load.urgentWait = it.urgent ? std::max(m_load.urgentWait, wait) : m_load.urgentWait;
        }
        m_appended += m_waiting.size();
        m_waiting.clear();
        m_records.clear();
    }
    void append()
    {
        m_journal.append(m_records);
        if (m_journal.snapshotDue()) {
            m_journal.snapshot(m_state);
            m_budget.forceTake(2); // its one chunk, and the batch that names it
        }
    }
    void rewriteHead()
    {
        for (const std::string &it : m_records) {
            m_head += it;
        }
        m_headRevision = m_store.compareAndSwap("head", m_headRevision, m_head, 0).revision;
        if (++m_batches % m_headBatches == 0) {
            m_snapshotRevision = m_store.compareAndSwap("state", m_snapshotRevision, m_state, 0).revision;
            m_head.clear();
            m_budget.forceTake(1);
        }
    }
    void writeKeys()
    {
        for (const std::string &it : m_records) {
            m_store.compareAndSwap("task/" + std::to_string(++m_appended), 0, it, 0);
        }
        m_waiting.clear();
        m_records.clear();
    }

    double m_startsPerSecond;
    Layout m_layout;
    int m_headBatches; ///< between snapshots, with Layout::HeadKey
    ManualClock m_clock;
    EmbeddedKeyValue m_store{m_clock};
    WriteBudget m_budget;
    GroupCommit m_commit;
    Journal m_journal;
    std::mt19937 m_random{20261203}; // NOLINT: the same load at each run
    std::vector<std::string> m_records;
    std::vector<Waiting> m_waiting;
    std::string m_state = std::string(DomainTasks * TaskStateBytes, 's');
    std::string m_head;
    Revision m_headRevision = 0;
    Revision m_snapshotRevision = 0;
    int m_batches = 0;
    Load m_load;
    double m_waited = 0;
    std::size_t m_appended = 0;
};

void reportLoad(const char *what, double starts, const Load &load, int domains)
{
    std::printf("%-34s %8.1f %9.2f %9.0f %8.3f %8.0f %7.0f %7.0f %7.0f\n",
                what,
                starts,
                load.writes * domains,
                load.bytes * domains,
                starts > 0 ? load.writes / starts * domains : 0,
                starts > 0 ? load.bytes / starts * domains : 0,
                load.meanWait,
                load.longestWait,
                load.urgentWait);
}

void benchLoad(int seconds)
{
    std::printf("load: %d s simulated; a start is a record of %zu bytes and later one of %zu; %d tasks in a snapshot\n",
                seconds,
                AssignmentBytes,
                EndBytes,
                DomainTasks);
    std::printf("%-34s %8s %9s %9s %8s %8s %7s %7s %7s\n",
                "layout",
                "starts/s",
                "writes/s",
                "bytes/s",
                "w/start",
                "B/start",
                "mean",
                "max",
                "urgent");
    for (const double starts : {0.0, 0.1, 1.0, 10.0, 50.0, 200.0}) {
        reportLoad("ring of 512, one domain", starts, Domain(starts, Layout::Ring, 512).run(seconds), 1);
    }
    for (const std::uint32_t slots : {128U, 512U, 2048U}) {
        Domain domain(50, Layout::Ring, slots);
        const Load load = domain.run(seconds);
        const std::string what = "ring of " + std::to_string(slots) + ", snapshots "
                                 + std::to_string(static_cast<int>(domain.snapshotShare() * 100)) + "% of bytes";
        reportLoad(what.c_str(), 50, load, 1);
    }
    const double all = 50.0 * Domains;
    const Load ring = Domain(50, Layout::Ring, 512).run(seconds);
    reportLoad("24 domains, ring of 512", all, ring, Domains);
    reportLoad("24 domains, head key, 384 batches", all, Domain(50, Layout::HeadKey, 384).run(seconds), Domains);
    reportLoad(
        "24 domains, head key, 19 batches", all, Domain(50, Layout::HeadKey, BestHeadBatches).run(seconds), Domains);
    reportLoad("24 domains, key for each task", all, Domain(50, Layout::KeyPerTask, 512).run(seconds), Domains);
    std::printf("target: %.0f writes/s of all domains: %s; %.0f bytes/s of a node that owns one domain: %s\n\n",
                TargetWrites,
                ring.writes * Domains < TargetWrites ? "met" : "missed",
                TargetNodeBytes,
                ring.bytes < TargetNodeBytes ? "met" : "missed");
}

void benchGather(int seconds)
{
    std::printf("gathering: one domain, ring of 512, %.0f writes/s\n", WriteBudgetSettings().writesPerSecond);
    std::printf("%8s %14s %9s %9s %12s %12s\n", "starts/s", "gather", "writes/s", "mean ms", "longest ms", "urgent ms");
    struct Choice
    {
        const char *name;
        GroupCommitSettings settings;
    };
    for (const double starts : {1.0, 10.0, 50.0, 200.0}) {
        for (const Choice &it : {Choice{"20 to 200 ms", {20ms, 200ms}},
                                 Choice{"20 ms", {20ms, 20ms}},
                                 Choice{"100 ms", {100ms, 100ms}},
                                 Choice{"200 ms", {200ms, 200ms}}}) {
            const Load load = Domain(starts, Layout::Ring, 512, it.settings).run(seconds);
            std::printf("%8.0f %14s %9.2f %9.0f %12.0f %12.0f\n",
                        starts,
                        it.name,
                        load.writes,
                        load.meanWait,
                        load.longestWait,
                        load.urgentWait);
        }
    }
    std::printf("\n");
}

void benchAppend()
{
    std::printf("append: processor time with the service in memory\n");
    std::printf("%12s %14s %16s\n", "records", "us/append", "us/record");
    for (const int records : {1, 10, 50, 200}) {
        const SystemClock clock;
        ManualClock still;
        EmbeddedKeyValue store(still);
        Journal journal(store, settings(512));
        journal.takeOver();
        const std::vector<std::string> batch(static_cast<std::size_t>(records), std::string(AssignmentBytes, 'x'));
        constexpr int Appends = 20'000;
        const double begin = cpuSeconds();
        for (int n = 0; n < Appends; ++n) {
            journal.append(batch);
            if (journal.snapshotDue()) {
                journal.snapshot("s");
            }
        }
        const double us = (cpuSeconds() - begin) * 1e6 / Appends;
        std::printf("%12d %14.2f %16.3f\n", records, us, us / records);
    }
    std::printf("\n");
}

/** Replay and snapshot of so many tasks, with records since the snapshot. */
void benchReplay()
{
    std::printf("replay and snapshot: %zu bytes a task, 384 batches of 20 records since the snapshot\n",
                TaskStateBytes);
    std::printf("%8s %10s %12s %12s %14s %14s %12s\n",
                "tasks",
                "records",
                "snapshot ms",
                "replay ms",
                "replay heap",
                "values bytes",
                "chunk keys");
    for (const int tasks : {0, 1'000, 5'000, 20'000, 100'000}) {
        for (const int batches : {0, 384}) {
            ManualClock still;
            EmbeddedKeyValue store(still);
            Journal journal(store, settings(512));
            journal.takeOver();
            const std::string state(static_cast<std::size_t>(tasks) * TaskStateBytes, 's');
            const double snapshotBegin = cpuSeconds();
            journal.snapshot(state);
            const double snapshotMs = (cpuSeconds() - snapshotBegin) * 1e3;
            const std::vector<std::string> batch(20, std::string(AssignmentBytes, 'x'));
            for (int n = 0; n < batches; ++n) {
                journal.append(batch);
            }
            Journal next(store, settings(512));
            const double heapBefore = heapBytes();
            const std::uint64_t readBefore = store.counters().bytesRead;
            const double replayBegin = cpuSeconds();
            const Replay replay = next.takeOver();
            const double replayMs = (cpuSeconds() - replayBegin) * 1e3;
            const double heap = heapBytes() - heapBefore;
            const auto bytesRead = static_cast<double>(store.counters().bytesRead - readBefore);
            std::printf("%8d %10zu %12.2f %12.2f %14.0f %14.0f %12zu\n",
                        tasks,
                        replay.records.size(),
                        snapshotMs,
                        replayMs,
                        heap,
                        bytesRead,
                        store.list("snapshot/").size());
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    constexpr int DefaultSeconds = 600;
    const int seconds = argc > 1 ? std::atoi(argv[1]) : DefaultSeconds; // NOLINT: a bench's own argument
    if (seconds <= 0) {
        std::fprintf(stderr, "usage: benchjournal [SECONDS]\n");
        return 2;
    }
    benchLoad(seconds);
    benchGather(seconds);
    benchAppend();
    benchReplay();
    return 0;
}
