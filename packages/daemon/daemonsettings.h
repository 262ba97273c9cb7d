/**
 * The settings of one process, read once at start from its INI file. They are separate from the operators' settings tree,
 * which is kept in the platform's key-value service and changes while the process runs.
 *
 * Index of this file
 *   ProcessSection ... UpstreamSection   one struct for each section of the file
 *   DaemonSettings                       all sections
 *   parseDaemonSettings()                parses an INI text and reports all errors at once
 *   printSettings()                      writes the effective settings as INI text
 */
#pragma once

#include <admin/credentials.h>
#include <base/inifile.h>
#include <peer/peer.h>
#include <requests/settings.h>

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

/** [process] */
struct ProcessSection
{
    std::string name = "entry-1";        ///< unique among entry VMs; part of every lease and journal batch
    std::string region = "local";        ///< as in the platform's list of VMs
    std::string failureDomain = "local"; ///< as in the platform's list of VMs; only its workers are scheduled here
    /** drain_notice_ms: time between reporting "not ready" and draining, so that the load balancer notices. */
    Duration drainNotice = std::chrono::seconds(5);
    Duration drainLimit = std::chrono::seconds(30); ///< drain_limit_ms: maximum wait for requests in flight
};

/** [listen]. TLS is enabled if both PEM files are given. */
struct ListenSection
{
    std::string requests = "127.0.0.1:8080"; ///< ip:port for callers
    std::string admin = "127.0.0.1:8081";    ///< ip:port of the administration API, /metrics, /healthz, /readyz
    std::int64_t adminThreads = 4;           ///< admin_threads: a call blocks one thread while it waits for the journal
    std::string certificateFile;             ///< certificate: PEM
    std::string keyFile;                     ///< key: PEM
};

/** [peers]: remote calls between entry VMs. */
struct PeersSection
{
    std::string listen = "127.0.0.1:0"; ///< ip:port; port 0 (any free port) only for a process without peers
    std::string advertised;             ///< ip:port that peers connect to; empty: the listen address
    /**
     * ID:SECRET,ID:SECRET. The first key signs outgoing calls, all keys are accepted on incoming ones. Rotate in three
     * steps, each on all processes: {old,new}, {new,old}, {new}. Required with [platform] kind = http.
     */
    std::vector<PeerKey> keys;
    std::vector<std::string> seeds; ///< ip:port of members to contact while the key-value service is unavailable
    /** settle_ms: time to listen to heartbeats after a start before trying to own a shard. */
    Duration settleDelay = std::chrono::seconds(3);
    /** claim_shards: number of shards that idempotency keys are hashed to; must be equal on all members. */
    std::int64_t claimShards = 4;
};

/** [platform] */
struct PlatformSection
{
    std::string kind = "embedded";              ///< embedded: simulated in this process, for trials; http: at address
    std::string address = "127.0.0.1:9000";     ///< ip:port, with kind = http
    std::string token;                          ///< bearer token, with kind = http
    Duration timeout = std::chrono::seconds(2); ///< timeout_ms: limit for one call to the platform
    Duration workerTimeout = std::chrono::milliseconds(500); ///< worker_timeout_ms: limit for one call to a worker
};

/** [embedded]: size of the platform simulated with [platform] kind = embedded. */
struct EmbeddedSection
{
    std::int64_t workers = 8;                    ///< number of workers, eight to a rack
    std::int64_t workerCpuMillis = 32'000;       ///< worker_cpu_millis
    std::int64_t workerMemoryMib = 125'000;      ///< worker_memory_mib
    std::int64_t workerAccelerators = 0;         ///< worker_accelerators
    std::int64_t upstreams = 2;                  ///< number of stand-in upstream instances that answer requests
    Duration usageLag = std::chrono::seconds(5); ///< usage_lag_ms: delay of the usage that workers report
};

/** [scheduler] */
struct SchedulerSection
{
    std::int64_t shard = 1; ///< shard number of this failure domain; unique among all failure domains
    Duration maxStepInterval = std::chrono::milliseconds(100);   ///< step_ms: maximum time between two scheduler steps
    Duration minAppendInterval = std::chrono::milliseconds(100); ///< append_ms: minimum time between two journal writes
    Duration unresolvedWriteTimeout
        = std::chrono::seconds(5); ///< answer_ms: a write in doubt for longer fails with outcome_unknown
};

/** [admin], and one [account.NAME] section for each account. */
struct AdminSection
{
    bool allowsAnonymous = false; ///< open: requests without a token get all rights. Only for trials on a single host
    std::vector<Account> accounts;
};

/** [upstream.NAME]: an upstream instance that is configured here because the platform's list of VMs lacks it. */
struct UpstreamSection
{
    std::string name;
    std::string address; ///< ip:port
    std::string failureDomain;
};

struct DaemonSettings
{
    ProcessSection process;
    ListenSection listen;
    PeersSection peers;
    PlatformSection platform;
    EmbeddedSection embedded;
    SchedulerSection scheduler;
    AdminSection admin;
    RequestSettings requests; ///< [requests], and one [class.NAME] section for each request class
    std::vector<UpstreamSection> upstreams;
};

/** Appends every error to @p faults. The returned settings are valid only if there is none. */
DaemonSettings parseDaemonSettings(std::string_view file, std::string_view text, std::vector<SettingFault> &faults);

/** Writes the effective settings as an INI file that can be parsed again. Omits tokens, peer keys and accounts. */
void printSettings(const DaemonSettings &settings, std::ostream &out);

} // namespace QuetzalRock
