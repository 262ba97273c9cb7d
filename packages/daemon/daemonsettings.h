/**
 * The settings of one process, read once from its INI file. The operators' tree of settings is another matter: it lives in
 * the platform's service and changes while the process runs.
 *
 * Index of this file
 *   ProcessSection ... AccountSection   one aggregate for each section of the file
 *   DaemonSettings                      all of them
 *   parseDaemonSettings()               text in, settings and every fault out
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
    std::string failureDomain = "local"; ///< as in the platform's list of VMs; only its workers are placed on from here
    Duration drainNotice
        = std::chrono::seconds(5); ///< drain_notice_ms: not ready for so long before draining, so that the
                                   ///< balancer has seen it
    Duration drainLimit = std::chrono::seconds(30); ///< drain_limit_ms: the longest wait for requests in flight
};

/** [listen]. TLS is on where both PEM files are named. */
struct ListenSection
{
    std::string requests = "127.0.0.1:8080"; ///< ip:port for callers
    std::string admin = "127.0.0.1:8081";    ///< ip:port of the administration API, /metrics, /healthz, /readyz
    std::int64_t adminThreads = 4;           ///< admin_threads: each call that waits for the journal holds one
    std::string certificateFile;             ///< certificate: PEM
    std::string keyFile;                     ///< key: PEM
};

/** [peers]: calls between the processes of this system. */
struct PeersSection
{
    std::string listen = "127.0.0.1:0"; ///< ip:port; port 0 only for a process that has no peers
    std::string advertised;             ///< ip:port that peers call; empty: the one listened on
    std::vector<PeerKey>
        keys; ///< ID:SECRET,ID:SECRET: the first signs, all are accepted. Rotate: {old,new} everywhere,
              ///< then {new,old}, then {new}. Required with platform kind = http
    std::vector<std::string> seeds;            ///< ip:port of members to try while the platform's service is away
    Duration settle = std::chrono::seconds(3); ///< settle_ms: hear the others for so long before owning anything
    std::int64_t claimShards
        = 4; ///< claim_shards: idempotency keys are spread over so many owners; the same everywhere
};

/** [platform] */
struct PlatformSection
{
    std::string kind = "embedded";              ///< embedded: in this process, for trying things out; http: at address
    std::string address = "127.0.0.1:9000";     ///< ip:port, with kind = http
    std::string token;                          ///< bearer token, with kind = http
    Duration timeout = std::chrono::seconds(2); ///< timeout_ms: of one call
    Duration workerTimeout = std::chrono::milliseconds(500); ///< worker_timeout_ms: of one call to a worker
};

/** [embedded]: what the embedded platform consists of. */
struct EmbeddedSection
{
    std::int64_t workers = 8;                    ///< eight to a rack
    std::int64_t workerCpuMillis = 32'000;       ///< worker_cpu_millis
    std::int64_t workerMemoryMib = 125'000;      ///< worker_memory_mib
    std::int64_t workerAccelerators = 0;         ///< worker_accelerators
    std::int64_t upstreams = 2;                  ///< stand-in instances that answer callers
    Duration usageLag = std::chrono::seconds(5); ///< usage_lag_ms: how late usage is reported
};

/** [scheduler] */
struct SchedulerSection
{
    std::int64_t shard = 1; ///< number of this failure domain's shard, unique over all domains
    Duration stepEvery = std::chrono::milliseconds(100); ///< step_ms: the longest wait between two looks at the workers
    Duration appendEvery = std::chrono::milliseconds(100); ///< append_ms: the shortest time between two writes
    Duration answerWithin = std::chrono::seconds(5); ///< answer_ms: after that an operator's request is outcome_unknown
};

/** [admin] and one [account.NAME] for each account. */
struct AdminSection
{
    bool open = false; ///< true: no token is asked for. Only for one machine
    std::vector<Account> accounts;
};

/** [upstream.NAME]: an instance that is named here and not in the platform's list. */
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
    RequestSettings requests; ///< [requests] and one [class.NAME] for each class
    std::vector<UpstreamSection> upstreams;
};

/** Every fault goes to @p faults; the settings may be used only where there is none. */
DaemonSettings parseDaemonSettings(std::string_view file, std::string_view text, std::vector<SettingFault> &faults);

/** The effective settings as an INI file that parses to the same; tokens, keys and accounts are left out. */
void printSettings(const DaemonSettings &settings, std::ostream &out);

} // namespace QuetzalRock
