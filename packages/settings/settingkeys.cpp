#include <settings/settings.h>

#include <algorithm>
#include <array>

namespace QuetzalRock {

namespace {

constexpr std::int64_t Millisecond = 1000;
constexpr std::int64_t Second = 1000 * Millisecond;
constexpr std::int64_t Minute = 60 * Second;
constexpr std::int64_t Hour = 60 * Minute;

using enum SettingType;

/** Ordered by name. After adding a key, regenerate docs/SETTINGS.md with settingsdoc: a test compares it. */
constexpr std::array Keys = std::to_array<SettingKey>({
    {"guard.enabled",
     Boolean,
     ForDomain,
     "",
     0,
     0,
     "",
     "true",
     "Whether batch work is throttled and evicted to protect services."},
    {"guard.evictions-per-minute",
     Integer,
     ForDomain,
     "evictions",
     0,
     10'000,
     "",
     "20",
     "Most evictions a minute in a failure domain, so that a noisy signal causes no storm."},
    {"guard.hold",
     Duration,
     ForDomain,
     "",
     Second,
     Hour,
     "",
     "30s",
     "How long a service must be back within its target before a throttle is lifted."},
    {"guard.throttle-permille",
     Integer,
     ForDomain,
     "permille of a processor share",
     50,
     1000,
     "",
     "400",
     "What a throttled batch task keeps of its processors."},
    {"journal.commit-interval",
     Duration,
     ForDomain,
     "",
     Millisecond,
     Second,
     "",
     "50ms",
     "How long records wait to be written together; longer saves writes, shorter starts work sooner."},
    {"journal.writes-per-second",
     Integer,
     ForDomain,
     "writes/s",
     1,
     500,
     "",
     "20",
     "Budget of one failure domain's journals at the platform's service."},
    {"member.heartbeat-interval",
     Duration,
     ForDomain,
     "",
     100 * Millisecond,
     10 * Second,
     "",
     "1s",
     "Between heartbeats of each pair of members."},
    {"member.rebalance-after",
     Duration,
     ForDomain,
     "",
     10 * Second,
     24 * Hour,
     "",
     "1min",
     "How steady the preferred owner must have been before a shard is handed to it."},
    {"member.suspect-after",
     Duration,
     ForDomain,
     "",
     Second,
     5 * Minute,
     "",
     "3s",
     "Silence after which a member counts as failed; at least twice the heartbeat interval."},
    {"note", Text, Anywhere, "", 0, 0, "", "", "For people; no effect."},
    {"scheduling.eviction-weight", Integer, ForDomain, "", 0, 100, "", "2", "What one eviction weighs in placement."},
    {"scheduling.quarantine-after",
     Integer,
     ForDomain,
     "failures",
     1,
     1000,
     "",
     "4",
     "Failed starts in a row after which a worker is quarantined and probed."},
    {"scheduling.starts-per-worker",
     Integer,
     ForDomain,
     "starts/s",
     1,
     1000,
     "",
     "4",
     "Pace of task starts on one worker."},
    {"scheduling.tail-weight",
     Integer,
     ForDomain,
     "",
     0,
     100,
     "",
     "5",
     "What the tail latency of services weighs in placement."},
    {"scheduling.throughput-weight",
     Integer,
     ForDomain,
     "",
     0,
     100,
     "",
     "3",
     "What batch throughput weighs in placement."},
    {"scheduling.urgent-headroom-permille",
     Integer,
     ForDomain,
     "permille of a failure domain",
     0,
     500,
     "",
     "20",
     "Capacity that only urgent work may take."},
    {"service.claim-retention",
     Duration,
     ForService,
     "",
     Minute,
     168 * Hour,
     "",
     "24h",
     "How long a repeat with the same idempotency key meets the first answer."},
    {"service.class",
     Choice,
     ForService,
     "",
     0,
     0,
     "lookup|booking",
     "lookup",
     "lookup: idempotent, may be repeated and hedged; booking: runs at most once."},
    {"service.connections-per-instance",
     Integer,
     ForService,
     "connections",
     1,
     10'000,
     "",
     "64",
     "Connections that one instance takes from all members together."},
    {"service.deadline",
     Duration,
     ForService,
     "",
     10 * Millisecond,
     10 * Minute,
     "",
     "500ms",
     "For a request that brings no deadline of its own."},
    {"service.hedge-after",
     Duration,
     ForService,
     "",
     5 * Millisecond,
     10 * Minute,
     "",
     "150ms",
     "When a second try of a lookup starts; below the deadline."},
    {"service.latency-target",
     Duration,
     ForService,
     "",
     Millisecond,
     10 * Minute,
     "",
     "200ms",
     "Target for the 99th percentile; guards and placement work towards it."},
    {"service.queue-limit",
     Integer,
     ForService,
     "requests",
     0,
     100'000,
     "",
     "256",
     "Requests that may wait at one member; the rest is refused as not run."},
    {"service.retry-budget-permille",
     Integer,
     ForService,
     "permille of successes",
     0,
     1000,
     "",
     "100",
     "Retries and hedges together."},
    {"service.slots-per-instance",
     Integer,
     ForService,
     "requests",
     1,
     10'000,
     "",
     "8",
     "Requests that one instance runs at the same time."},
    {"service.spill",
     Boolean,
     ForService,
     "",
     0,
     0,
     "",
     "true",
     "Whether requests may go to other failure domains when the own one is worse."},
    {"tenant.accelerators", Integer, ForTenant, "devices", 0, 1'000'000, "", "0", "Quota in each failure domain."},
    {"tenant.cpu-millis",
     Integer,
     ForTenant,
     "thousandths of a processor",
     0,
     1'000'000'000,
     "",
     "100000",
     "Quota in each failure domain."},
    {"tenant.memory-mib", Integer, ForTenant, "MiB", 0, 1'000'000'000, "", "400000", "Quota in each failure domain."},
    {"tenant.pending-jobs",
     Integer,
     ForTenant,
     "jobs",
     0,
     1'000'000,
     "",
     "1000",
     "Jobs that may wait; the rest is refused as not run."},
    {"tenant.urgent", Boolean, ForTenant, "", 0, 0, "", "false", "Whether the tenant may submit urgent work."},
    {"tenant.weight", Integer, ForTenant, "", 1, 1000, "", "10", "Share among tenants when capacity is short."},
    {"worker.lease",
     Duration,
     ForDomain,
     "",
     5 * Second,
     Hour,
     "",
     "30s",
     "A worker stops a task whose lease was not renewed for so long."},
});

constexpr bool isOrdered()
{
    for (std::size_t i = 1; i < Keys.size(); ++i) {
        if (Keys[i - 1].name >= Keys[i].name) {
            return false;
        }
    }
    return true;
}

std::string levelNames(std::uint8_t levels)
{
    static constexpr std::array Names{"root", "region", "domain", "service", "tenant"};
    std::string text;
    for (std::size_t i = 0; i < Names.size(); ++i) {
        if (levels & (1U << i)) {
            text += text.empty() ? "" : ", ";
            text += Names[i];
        }
    }
    return text;
}

} // namespace

std::span<const SettingKey> settingKeys()
{
    static_assert(isOrdered(), "keep the table ordered by name");
    return Keys;
}

const SettingKey *findSettingKey(std::string_view name)
{
    const auto it = std::lower_bound(
        Keys.begin(), Keys.end(), name, [](const SettingKey &key, std::string_view x) { return key.name < x; });
    return it != Keys.end() && it->name == name ? &*it : nullptr;
}

bool hasEffect(const SettingKey &key)
{
    // Keys that the daemon passes to the scheduler (daemon/placementpolicy.cpp), and notes.
    constexpr std::array<std::string_view, 14> Names{"guard.enabled",
                                                     "guard.evictions-per-minute",
                                                     "guard.throttle-permille",
                                                     "note",
                                                     "scheduling.eviction-weight",
                                                     "scheduling.quarantine-after",
                                                     "scheduling.starts-per-worker",
                                                     "scheduling.tail-weight",
                                                     "scheduling.throughput-weight",
                                                     "scheduling.urgent-headroom-permille",
                                                     "tenant.accelerators",
                                                     "tenant.cpu-millis",
                                                     "tenant.memory-mib",
                                                     "tenant.weight"};
    return std::find(Names.begin(), Names.end(), key.name) != Names.end();
}

std::string settingsReferencePage()
{
    std::string page = "# Settings of the operators' tree\n\n"
                       "Made by `build/packages/settings/settingsdoc > docs/SETTINGS.md`; a test compares it.\n"
                       "How to change them, and what inherits from what: docs/operating/settings.md.\n\n"
                       "| key | allowed | default | may be set at | acts | meaning |\n"
                       "| --- | --- | --- | --- | --- | --- |\n";
    for (const SettingKey &it : Keys) {
        page += "| `" + std::string(it.name) + "` | " + allowedValues(it) + " | "
                + (it.defaultValue.empty() ? "none" : "`" + std::string(it.defaultValue) + "`") + " | "
                + levelNames(it.levels) + " | " + (hasEffect(it) ? "yes" : "not yet") + " | " + std::string(it.help)
                + " |\n";
    }
    return page;
}

} // namespace QuetzalRock
