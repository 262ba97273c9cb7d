/**
 * Prints the size and the processing cost of the settings document, and the time until a change is in force on all
 * members.
 *
 *   benchsettings [failure domains] [members of each] [changes]
 */
#include "members.h"

#include <settings/propagation.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace QuetzalRock;
using namespace QuetzalRock::Bench;

namespace {

constexpr int Regions = 8;
constexpr int DomainsPerRegion = 3;
constexpr int Tenants = 270;
constexpr int ServicesPerDomain = 10;
constexpr int Repeats = 50;

SettingsPath domainPath(int region, int domain)
{
    return {
        "region-" + std::to_string(region), "domain-" + std::to_string(region) + "-" + std::to_string(domain), "", ""};
}

void fillNode(SettingsTree &tree, const SettingsPath &path, std::initializer_list<std::pair<const char *, int>> values)
{
    for (const auto &[key, value] : values) {
        detail::setValue(tree, path, key, std::to_string(value));
    }
}

/** A tree of the target size: each tenant has a global quota and a quota of its own in every third failure domain. */
SettingsTree makeTargetTree()
{
    SettingsTree tree;
    for (int region = 0; region < Regions; ++region) {
        fillNode(tree, {"region-" + std::to_string(region), "", "", ""}, {{"scheduling.tail-weight", 1 + region}});
        for (int domain = 0; domain < DomainsPerRegion; ++domain) {
            SettingsPath path = domainPath(region, domain);
            fillNode(
                tree, path, {{"journal.writes-per-second", 10 + domain}, {"guard.evictions-per-minute", 20 + region}});
            for (int i = 0; i < ServicesPerDomain; ++i) {
                path.service = "service-" + std::to_string(i);
                fillNode(tree, path, {{"service.queue-limit", 100 + i}, {"service.slots-per-instance", 8 + i % 3}});
            }
        }
    }
    for (int i = 0; i < Tenants; ++i) {
        const std::string name = "tenant-" + std::to_string(i);
        fillNode(
            tree, {"", "", "", name}, {{"tenant.cpu-millis", 1000 * (i + 1)}, {"tenant.memory-mib", 4096 * (i + 1)}});
        for (int domain = i % 3; domain < Regions * DomainsPerRegion; domain += 3) {
            SettingsPath path = domainPath(domain / DomainsPerRegion, domain % DomainsPerRegion);
            path.tenant = name;
            fillNode(tree, path, {{"tenant.cpu-millis", 500 * (i + 1) + domain}});
        }
    }
    return tree;
}

/** Mean time of one call of @p work, over Repeats calls. */
template<typename Work>
double meanMillis(SystemClock &clock, Work work)
{
    const TimePoint start = clock.now();
    for (int i = 0; i < Repeats; ++i) {
        work();
    }
    return static_cast<double>((clock.now() - start).count()) / 1e3 / Repeats;
}

/** A document with the tree of makeTargetTree() and a full history. */
SettingsDocument makeTargetDocument()
{
    SettingsDocument document{0, makeTargetTree(), {}};
    for (std::size_t i = 0; i < MaxHistoryEntries; ++i) {
        const SettingsPath tenant{"", "", "", "tenant-" + std::to_string(i % Tenants)};
        const std::string weight = std::to_string(1 + i % 1000);
        applyHistoryEntry(document,
                          {document.version + 1,
                           "operator-" + std::to_string(i % 7),
                           WallTime(1'764'000'000'000 + i),
                           "write-" + std::to_string(i * 7919),
                           {{tenant, "tenant.weight", std::nullopt, weight}}});
    }
    return document;
}

void measureDocument(SystemClock &clock, const SettingsDocument &document)
{
    const std::string json = encodeDocumentUncompressed(document);
    const std::string value = encodeDocument(document);
    SettingsTree tree = document.tree;
    std::printf("document: %zu nodes, %zu versions of history, JSON %zu B, stored %zu B, INI %zu B\n",
                document.tree.size(),
                document.history.size(),
                json.size(),
                value.size(),
                formatIni(document.tree).size());
    std::printf("encode %.2f ms, decode %.2f ms, validate %.2f ms, digest %.2f ms\n",
                meanMillis(clock, [&] { return encodeDocument(document).size(); }),
                meanMillis(clock, [&] { return decodeDocument(value).version; }),
                meanMillis(clock, [&] { return validateTree(tree).size(); }),
                meanMillis(clock, [&] { return digestOf(1, tree).size(); }));
}

/** A member that also propagates settings. */
struct SettingsMember
{
    std::unique_ptr<Member> member;
    std::unique_ptr<SettingsPropagation> settings;
};

std::vector<SettingsMember> startMembers(int domains, int membersEach, KeyValueService &service, SystemClock &clock)
{
    std::vector<SettingsMember> members;
    for (int i = 0; i < domains * membersEach; ++i) {
        SettingsMember started;
        const std::string domain = "domain-" + std::to_string(i / membersEach);
        started.member = std::make_unique<Member>("member-" + std::to_string(i), domain, service, clock);
        started.member->start([&](Member &it) {
            started.settings = std::make_unique<SettingsPropagation>(
                PropagationSettings{}, service, *it.membership, it.client, clock);
            started.settings->bind(it.router);
            SettingsPropagation *settings = started.settings.get();
            it.runRepeatedly([settings] { settings->stepWatch(std::chrono::milliseconds(500)); });
            it.runRepeatedly([settings] { settings->stepRelay(std::chrono::milliseconds(500)); });
        });
        members.push_back(std::move(started));
    }
    return members;
}

/** Waits until @p version is in force on every member. */
void waitForVersion(const std::vector<SettingsMember> &members, std::uint64_t version, SystemClock &clock)
{
    for (const SettingsMember &it : members) {
        while (it.settings->current()->document.version < version) {
            clock.sleepFor(std::chrono::microseconds(200));
        }
    }
}

/** Use of resources since the start, by all members together. */
struct ResourceTotals
{
    double bytes = 0;
    double calls = 0;
    double cpu = 0;
    double platformReads = 0;
    double platformBytes = 0;
};

ResourceTotals readTotals(const std::vector<SettingsMember> &members, const EmbeddedKeyValue &service)
{
    ResourceTotals sum;
    for (const SettingsMember &it : members) {
        sum.bytes += static_cast<double>(it.member->transferredBytes());
        sum.calls += static_cast<double>(it.member->server->counters().calls);
    }
    sum.cpu = cpuSeconds();
    sum.platformReads = static_cast<double>(service.counters().reads);
    sum.platformBytes = static_cast<double>(service.counters().bytesRead);
    return sum;
}

ResourceTotals operator-(ResourceTotals a, const ResourceTotals &b)
{
    return {a.bytes - b.bytes,
            a.calls - b.calls,
            a.cpu - b.cpu,
            a.platformReads - b.platformReads,
            a.platformBytes - b.platformBytes};
}

void measurePropagation(SystemClock &clock, const SettingsDocument &document, int domains, int membersEach, int changes)
{
    EmbeddedKeyValue service(clock);
    service.compareAndSwap(SettingsKeyName, 0, encodeDocument(document), 0);
    std::vector<SettingsMember> members = startMembers(domains, membersEach, service, clock);
    waitForVersion(members, document.version, clock);
    clock.sleepFor(std::chrono::seconds(6)); // until every member has received heartbeats of the others

    const TimePoint idleStart = clock.now();
    const ResourceTotals idleBefore = readTotals(members, service);
    clock.sleepFor(std::chrono::seconds(10));
    const ResourceTotals idle = readTotals(members, service) - idleBefore;
    const double idleSeconds = static_cast<double>((clock.now() - idleStart).count()) / 1e6;

    SettingsStore store(service, clock);
    std::vector<double> delaysMs;
    const TimePoint start = clock.now();
    const ResourceTotals before = readTotals(members, service);
    std::uint64_t version = document.version;
    for (int i = 0; i < changes; ++i) {
        const SettingsPath tenant{"", "", "", "tenant-" + std::to_string(i % Tenants)};
        const std::string pending = std::to_string(1 + i);
        const TimePoint writeStart = clock.now();
        version = store
                      .write({version,
                              {{tenant, "tenant.pending-jobs", std::nullopt, pending}},
                              "bench",
                              "bench-" + std::to_string(i)})
                      .version;
        waitForVersion(members, version, clock);
        delaysMs.push_back(static_cast<double>((clock.now() - writeStart).count()) / 1e3);
        clock.sleepFor(std::chrono::milliseconds(50));
    }
    const ResourceTotals busy = readTotals(members, service) - before;
    const double seconds = static_cast<double>((clock.now() - start).count()) / 1e6;
    const double idleScale = seconds / idleSeconds; // scales idle use to the length of the busy period
    std::sort(delaysMs.begin(), delaysMs.end());
    const auto perChange
        = [&](double busyTotal, double idleTotal) { return (busyTotal - idleTotal * idleScale) / changes; };
    std::printf("in force, %d failure domains x %d members, %d changes: median %.1f ms, p99 %.1f ms, max %.1f ms\n",
                domains,
                membersEach,
                changes,
                delaysMs[delaysMs.size() / 2],
                delaysMs[delaysMs.size() * 99 / 100],
                delaysMs.back());
    std::printf(
        "per change, all members together and without idle use: %.1f peer calls, %.0f B between peers, %.1f ms CPU, "
        "%.1f platform reads, %.0f B read from the platform\n",
        perChange(busy.calls, idle.calls),
        perChange(busy.bytes, idle.bytes),
        perChange(busy.cpu, idle.cpu) * 1e3,
        perChange(busy.platformReads, idle.platformReads),
        perChange(busy.platformBytes, idle.platformBytes));
    for (const SettingsMember &it : members) {
        it.member->stop();
    }
    for (SettingsMember &it : members) {
        it.member->server.reset();
    }
}

} // namespace

int main(int argc, char **argv)
{
    const int domains = argc > 1 ? std::atoi(argv[1]) : 4;
    const int members = argc > 2 ? std::atoi(argv[2]) : 2;
    const int changes = argc > 3 ? std::atoi(argv[3]) : 50;
    SystemClock clock;
    const SettingsDocument document = makeTargetDocument();
    measureDocument(clock, document);
    measurePropagation(clock, document, domains, members, changes);
    return 0;
}
