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
     "Whether batch tasks are throttled and evicted to protect services on the same worker that exceed their latency "
     "target."},
    {"guard.evictions-per-minute",
     Integer,
     ForDomain,
     "evictions",
     0,
     10'000,
     "",
     "20",
     "Maximum number of evictions per minute in a failure domain. The limit prevents a noisy signal from causing a "
     "large number of evictions at once."},
    {"guard.hold",
     Duration,
     ForDomain,
     "",
     Second,
     Hour,
     "",
     "30s",
     "Time for which a service must stay within its latency target before a throttle is lifted."},
    {"guard.throttle-permille",
     Integer,
     ForDomain,
     "permille of a processor share",
     50,
     1000,
     "",
     "400",
     "Part of its processor share, in permille, that a throttled batch task keeps."},
    {"journal.commit-interval",
     Duration,
     ForDomain,
     "",
     Millisecond,
     Second,
     "",
     "50ms",
     "Time for which journal records are collected before they are written together. A longer interval needs fewer "
     "writes; with a shorter one, work starts sooner."},
    {"journal.writes-per-second",
     Integer,
     ForDomain,
     "writes/s",
     1,
     500,
     "",
     "20",
     "Maximum number of writes per second that all journals of one failure domain together send to the platform's "
     "key-value service."},
    {"member.heartbeat-interval",
     Duration,
     ForDomain,
     "",
     100 * Millisecond,
     10 * Second,
     "",
     "1s",
     "Interval between two heartbeats of each pair of members; at most half of `member.suspect-after`."},
    {"member.rebalance-after",
     Duration,
     ForDomain,
     "",
     10 * Second,
     24 * Hour,
     "",
     "1min",
     "Time for which a member must have been the preferred owner of a shard without interruption before the shard is "
     "handed over to it."},
    {"member.suspect-after",
     Duration,
     ForDomain,
     "",
     Second,
     5 * Minute,
     "",
     "3s",
     "Time without a heartbeat after which a member is considered failed; at least twice `member.heartbeat-interval`."},
    {"note", Text, Anywhere, "", 0, 0, "", "", "Comment for operators; it has no effect on any process."},
    {"scheduling.eviction-weight",
     Integer,
     ForDomain,
     "",
     0,
     100,
     "",
     "2",
     "Weight of evictions in placement decisions, relative to `scheduling.tail-weight` and "
     "`scheduling.throughput-weight`. A higher value makes evictions rarer. If all three weights are 0, their defaults "
     "apply."},
    {"scheduling.quarantine-after",
     Integer,
     ForDomain,
     "failures",
     1,
     1000,
     "",
     "4",
     "Number of consecutive failed starts after which a worker is quarantined; a later probe decides whether it is "
     "used again."},
    {"scheduling.starts-per-worker",
     Integer,
     ForDomain,
     "starts/s",
     1,
     1000,
     "",
     "4",
     "Maximum average number of task starts per second on one worker; further starts wait."},
    {"scheduling.tail-weight",
     Integer,
     ForDomain,
     "",
     0,
     100,
     "",
     "5",
     "Weight of the tail latency of services in placement decisions, relative to `scheduling.eviction-weight` and "
     "`scheduling.throughput-weight`. A higher value protects services more. If all three weights are 0, their "
     "defaults apply."},
    {"scheduling.throughput-weight",
     Integer,
     ForDomain,
     "",
     0,
     100,
     "",
     "3",
     "Weight of batch throughput in placement decisions, relative to `scheduling.eviction-weight` and "
     "`scheduling.tail-weight`. With a higher value, batch work is started even where it slows services more. If all "
     "three weights are 0, their defaults apply."},
    {"scheduling.urgent-headroom-permille",
     Integer,
     ForDomain,
     "permille of a failure domain",
     0,
     500,
     "",
     "20",
     "Part of a failure domain's processors, in permille, that batch work leaves free for urgent work."},
    {"service.claim-retention",
     Duration,
     ForService,
     "",
     Minute,
     168 * Hour,
     "",
     "24h",
     "Time for which a repeated request with the same idempotency key receives the answer to the first one."},
    {"service.class",
     Choice,
     ForService,
     "",
     0,
     0,
     "lookup|booking",
     "lookup",
     "Whether a request may run more than once. `lookup`: requests are idempotent and may be retried and hedged. "
     "`booking`: each request runs at most once."},
    {"service.connections-per-instance",
     Integer,
     ForService,
     "connections",
     1,
     10'000,
     "",
     "64",
     "Maximum number of connections that one instance accepts, counted over all members."},
    {"service.deadline",
     Duration,
     ForService,
     "",
     10 * Millisecond,
     10 * Minute,
     "",
     "500ms",
     "Deadline of a request that does not specify its own, measured from its arrival."},
    {"service.hedge-after",
     Duration,
     ForService,
     "",
     5 * Millisecond,
     10 * Minute,
     "",
     "150ms",
     "Time without an answer after which a second attempt of a lookup is started; at most `service.deadline`."},
    {"service.latency-target",
     Duration,
     ForService,
     "",
     Millisecond,
     10 * Minute,
     "",
     "200ms",
     "Target for the 99th percentile of the service's latency. Guards and placement decisions aim to keep the service "
     "within it."},
    {"service.queue-limit",
     Integer,
     ForService,
     "requests",
     0,
     100'000,
     "",
     "256",
     "Maximum number of requests that wait at one member; further requests are refused as not run."},
    {"service.retry-budget-permille",
     Integer,
     ForService,
     "permille of successes",
     0,
     1000,
     "",
     "100",
     "Maximum number of retries and hedges together, in permille of the successful requests. The limit prevents "
     "retries from multiplying an overload."},
    {"service.slots-per-instance",
     Integer,
     ForService,
     "requests",
     1,
     10'000,
     "",
     "8",
     "Maximum number of requests that one instance runs at the same time."},
    {"service.spill",
     Boolean,
     ForService,
     "",
     0,
     0,
     "",
     "true",
     "Whether requests may be sent to instances in other failure domains when those in the member's own failure domain "
     "are slower or more heavily loaded."},
    {"tenant.accelerators",
     Integer,
     ForTenant,
     "devices",
     0,
     1'000'000,
     "",
     "0",
     "Quota of accelerators that the tenant may reserve, in each failure domain separately; 0 allows none."},
    {"tenant.cpu-millis",
     Integer,
     ForTenant,
     "thousandths of a processor",
     0,
     1'000'000'000,
     "",
     "100000",
     "Quota of processor capacity that the tenant may reserve, in thousandths of a processor, in each failure domain "
     "separately."},
    {"tenant.memory-mib",
     Integer,
     ForTenant,
     "MiB",
     0,
     1'000'000'000,
     "",
     "400000",
     "Quota of memory that the tenant may reserve, in MiB, in each failure domain separately."},
    {"tenant.pending-jobs",
     Integer,
     ForTenant,
     "jobs",
     0,
     1'000'000,
     "",
     "1000",
     "Maximum number of the tenant's jobs that wait to start; further jobs are refused as not run."},
    {"tenant.urgent", Boolean, ForTenant, "", 0, 0, "", "false", "Whether the tenant may submit urgent jobs."},
    {"tenant.weight",
     Integer,
     ForTenant,
     "",
     1,
     1000,
     "",
     "10",
     "Relative share of the tenant when capacity is short: a tenant with weight 20 receives twice as much as one with "
     "weight 10."},
    {"worker.lease",
     Duration,
     ForDomain,
     "",
     5 * Second,
     Hour,
     "",
     "30s",
     "Duration of a task's lease: a worker stops a task whose lease has not been renewed for this time."},
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
    std::string page
        = "# Operator settings\n\n"
          "This page is generated by `build/packages/settings/settingsdoc > docs/SETTINGS.md`; a test compares the "
          "two.\n"
          "docs/operating/settings.md describes how to change settings and how values are inherited. The column\n"
          "`acts` states whether processes act on a key; a key with \"not yet\" is validated, stored and\n"
          "propagated, but has no effect.\n\n"
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
