/** Creates the platform selected by [platform] kind: embedded in this process, or a client of an HTTP service. */
#pragma once

#include <daemon/daemonsettings.h>
#include <platform/embeddedkeyvalue.h>
#include <platform/embeddedworkers.h>
#include <platform/httpplatform.h>
#include <platform/workercircuitbreaker.h>
#include <standin/upstream.h>

#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace QuetzalRock {

/** Owns the clients of the platform, or the embedded platform, for the lifetime of the process. */
class PlatformBundle
{
public:
    PlatformBundle(const DaemonSettings &settings, Clock &clock);
    ~PlatformBundle();

    KeyValueService &keyValue();
    VmList &vmList();
    WorkerCircuitBreaker &workers(); ///< a thread of this class probes the workers that do not answer

private:
    WorkerAgent &agent();
    void probeWorkers();
    void makeEmbedded(const DaemonSettings &settings, Clock &clock);

    std::unique_ptr<HttpPlatform> m_http; ///< only with kind = http

    // Only with kind = embedded:
    std::unique_ptr<EmbeddedKeyValue> m_keyValue;
    std::unique_ptr<EmbeddedWorkers> m_workers;
    ExecutionLedger m_ledger;
    std::vector<std::unique_ptr<StandInUpstream>> m_upstreams;

    Clock &m_clock;
    std::unique_ptr<WorkerCircuitBreaker> m_circuitBreaker;
    std::mutex m_mutex; ///< guards m_isStopping
    std::condition_variable m_wake;
    bool m_isStopping = false;
    std::thread m_probeThread;
};

} // namespace QuetzalRock
