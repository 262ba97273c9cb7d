/**
 * Prints the cost of the journal: writes and bytes sent to the key-value store per task start, compared with two other
 * key layouts; processor time of an append; and time and memory of replay and snapshots by number of tasks. The load
 * runs in simulated time; processor times are real.
 *
 * Usage: benchjournal [SECONDS]    seconds of simulated load, default 600
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

constexpr std::size_t AssignmentBytes = 90; // a record with task, attempt, worker, resources, class
constexpr std::size_t EndBytes = 40;        // a record with task, attempt, state, checkpoint name
constexpr std::size_t TaskStateBytes = 100; // one task in a snapshot
constexpr int DomainTasks = 27'300 / 24;    // running tasks of one failure domain at the target size
constexpr int Domains = 24;
constexpr double MaxWritesPerSecond = 300;       // upper bound, writes/s of all failure domains together
constexpr double MaxNodeBytesPerSecond = 27'000; // upper bound, bytes/s of control traffic of one node
constexpr Duration Tick = 1ms;

JournalSettings makeSettings(std::uint32_t slots)
{
    JournalSettings settings;
    settings.name = "muuga";
    settings.writer = "entry-1.20261203";
    settings.slots = slots;
    return settings;
}

struct LoadResult
{
    double writes = 0;      ///< per second
    double bytes = 0;       ///< sent in values, per second
    double meanWait = 0;    ///< ms from the creation of a record to its append
    double longestWait = 0; ///< ms
    double urgentWait = 0;  ///< ms, longest wait of an urgent record
};

enum class Layout {
    Ring,       ///< class Journal
    HeadKey,    ///< one key holds all records since the last snapshot and is rewritten with each batch
    KeyPerTask, ///< one write per record, for the start and the end of each task, without group commit
};

/** Number of batches between snapshots that sends the fewest bytes with Layout::HeadKey: sqrt(2 * snapshot / batch). */
constexpr int OptimalHeadBatches = 19;

/** Simulates one failure domain: task starts and ends occur at random at the same rate, one start in ten is urgent. */
class FailureDomain
{
public:
    FailureDomain(double startsPerSecond,
                  Layout layout,
                  std::uint32_t slots,
                  const GroupCommitSettings &groupCommit = {})
        : m_startsPerSecond(startsPerSecond)
        , m_layout(layout)
        , m_headBatches(static_cast<int>(slots))
        , m_budget(m_clock, WriteBudgetSettings())
        , m_commit(m_clock, m_budget, groupCommit)
        , m_journal(m_store, makeSettings(slots))
    {
        m_journal.takeOver();
    }

    LoadResult run(int seconds)
    {
        const KeyValueCounters before = m_store.counters();
        const int ticks = seconds * 1000;
        for (int n = 0; n < ticks; ++n) {
            addRandomRecords();
            appendIfDue();
            m_clock.advance(Tick);
        }
        const KeyValueCounters after = m_store.counters();
        LoadResult load = m_load;
        load.writes = static_cast<double>(after.writes - before.writes) / seconds;
        load.bytes = static_cast<double>(after.bytesWritten - before.bytesWritten) / seconds;
        load.meanWait = m_appended > 0 ? m_totalWait / static_cast<double>(m_appended) : 0;
        return load;
    }
    /** Fraction of the written bytes that belongs to snapshots. */
    double snapshotShare() const
    {
        const JournalCounters &counters = m_journal.counters();
        return static_cast<double>(counters.snapshotBytes) / static_cast<double>(counters.writeBytes);
    }

private:
    struct WaitingRecord
    {
        TimePoint addedAt;
        bool urgent;
    };

    void addRandomRecords()
    {
        std::bernoulli_distribution start(m_startsPerSecond / 1000);
        std::bernoulli_distribution urgent(0.1);
        if (start(m_random)) {
            addRecord(AssignmentBytes, urgent(m_random));
        }
        if (start(m_random)) {
            addRecord(EndBytes, false);
        }
    }
    void addRecord(std::size_t bytes, bool urgent)
    {
        m_records.emplace_back(bytes, 'x');
        m_waiting.push_back({m_clock.now(), urgent});
        m_commit.add(bytes, urgent);
    }
    void appendIfDue()
    {
        if (m_layout == Layout::KeyPerTask) {
            return writeEachRecord();
        }
        if (!m_commit.tryBegin()) {
            return;
        }
        if (m_layout == Layout::HeadKey) {
            rewriteHead();
        } else {
            append();
        }
        for (const WaitingRecord &it : m_waiting) {
            const double wait = std::chrono::duration<double, std::milli>(m_clock.now() - it.addedAt).count();
            m_totalWait += wait;
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
            m_budget.forceTake(2); // the only chunk of the snapshot, and the batch that refers to it
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
    void writeEachRecord()
    {
        for (const std::string &it : m_records) {
            m_store.compareAndSwap("task/" + std::to_string(++m_appended), 0, it, 0);
        }
        m_waiting.clear();
        m_records.clear();
    }

    double m_startsPerSecond;
    Layout m_layout;
    int m_headBatches; ///< batches between snapshots with Layout::HeadKey; set from the slots argument
    ManualClock m_clock;
    EmbeddedKeyValue m_store{m_clock};
    WriteBudget m_budget;
    GroupCommit m_commit;
    Journal m_journal;
    std::mt19937 m_random{20261203}; // NOLINT: fixed seed, so that each run has the same load
    std::vector<std::string> m_records;
    std::vector<WaitingRecord> m_waiting;
    std::string m_state = std::string(DomainTasks * TaskStateBytes, 's');
    std::string m_head;
    Revision m_headRevision = 0;
    Revision m_snapshotRevision = 0;
    int m_batches = 0;
    LoadResult m_load;
    double m_totalWait = 0;
    std::size_t m_appended = 0;
};

void printLoad(const char *label, double starts, const LoadResult &load, int domains)
{
    std::printf("%-34s %8.1f %9.2f %9.0f %8.3f %8.0f %7.0f %7.0f %7.0f\n",
                label,
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
    std::printf("load: %d s simulated; a task writes a record of %zu bytes at its start and of %zu at its end; "
                "%d tasks in a snapshot\n",
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
        printLoad("ring of 512, one domain", starts, FailureDomain(starts, Layout::Ring, 512).run(seconds), 1);
    }
    for (const std::uint32_t slots : {128U, 512U, 2048U}) {
        FailureDomain domain(50, Layout::Ring, slots);
        const LoadResult load = domain.run(seconds);
        const std::string label = "ring of " + std::to_string(slots) + ", snapshots "
                                  + std::to_string(static_cast<int>(domain.snapshotShare() * 100)) + "% of bytes";
        printLoad(label.c_str(), 50, load, 1);
    }
    const double all = 50.0 * Domains;
    const LoadResult ring = FailureDomain(50, Layout::Ring, 512).run(seconds);
    printLoad("24 domains, ring of 512", all, ring, Domains);
    printLoad("24 domains, head key, 384 batches", all, FailureDomain(50, Layout::HeadKey, 384).run(seconds), Domains);
    printLoad("24 domains, head key, 19 batches",
              all,
              FailureDomain(50, Layout::HeadKey, OptimalHeadBatches).run(seconds),
              Domains);
    printLoad("24 domains, key per task", all, FailureDomain(50, Layout::KeyPerTask, 512).run(seconds), Domains);
    std::printf("targets: at most %.0f writes/s of all domains: %s; at most %.0f bytes/s of a node that owns one "
                "domain: %s\n\n",
                MaxWritesPerSecond,
                ring.writes * Domains < MaxWritesPerSecond ? "met" : "missed",
                MaxNodeBytesPerSecond,
                ring.bytes < MaxNodeBytesPerSecond ? "met" : "missed");
}

void benchGroupCommit(int seconds)
{
    std::printf("group commit: one domain, ring of 512, write budget %.0f writes/s\n",
                WriteBudgetSettings().writesPerSecond);
    std::printf("%8s %14s %9s %9s %12s %12s\n", "starts/s", "gather", "writes/s", "mean ms", "longest ms", "urgent ms");
    struct Variant
    {
        const char *name;
        GroupCommitSettings settings;
    };
    for (const double starts : {1.0, 10.0, 50.0, 200.0}) {
        for (const Variant &it : {Variant{"20 to 200 ms", {20ms, 200ms}},
                                  Variant{"20 ms", {20ms, 20ms}},
                                  Variant{"100 ms", {100ms, 100ms}},
                                  Variant{"200 ms", {200ms, 200ms}}}) {
            const LoadResult load = FailureDomain(starts, Layout::Ring, 512, it.settings).run(seconds);
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
    std::printf("append: processor time with an in-memory key-value store\n");
    std::printf("%12s %14s %16s\n", "records", "us/append", "us/record");
    for (const int records : {1, 10, 50, 200}) {
        const SystemClock clock;
        ManualClock simulatedClock;
        EmbeddedKeyValue store(simulatedClock);
        Journal journal(store, makeSettings(512));
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

/** Prints the cost of a snapshot and of a replay, by number of tasks, with and without records since the snapshot. */
void benchReplay()
{
    std::printf("replay and snapshot: %zu bytes per task, 0 or 384 batches of 20 records since the snapshot\n",
                TaskStateBytes);
    std::printf("%8s %10s %12s %12s %14s %14s %12s\n",
                "tasks",
                "records",
                "snapshot ms",
                "replay ms",
                "heap bytes",
                "bytes read",
                "chunk keys");
    for (const int tasks : {0, 1'000, 5'000, 20'000, 100'000}) {
        for (const int batches : {0, 384}) {
            ManualClock simulatedClock;
            EmbeddedKeyValue store(simulatedClock);
            Journal journal(store, makeSettings(512));
            journal.takeOver();
            const std::string state(static_cast<std::size_t>(tasks) * TaskStateBytes, 's');
            const double snapshotBegin = cpuSeconds();
            journal.snapshot(state);
            const double snapshotMs = (cpuSeconds() - snapshotBegin) * 1e3;
            const std::vector<std::string> batch(20, std::string(AssignmentBytes, 'x'));
            for (int n = 0; n < batches; ++n) {
                journal.append(batch);
            }
            Journal newOwner(store, makeSettings(512));
            const double heapBefore = heapBytes();
            const std::uint64_t readBefore = store.counters().bytesRead;
            const double replayBegin = cpuSeconds();
            const Replay replay = newOwner.takeOver();
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
    const int seconds = argc > 1 ? std::atoi(argv[1]) : DefaultSeconds; // NOLINT: an invalid number is rejected
    if (seconds <= 0) {
        std::fprintf(stderr, "usage: benchjournal [SECONDS]\n");
        return 2;
    }
    benchLoad(seconds);
    benchGroupCommit(seconds);
    benchAppend();
    benchReplay();
    return 0;
}
