/** The platform that the settings name: embedded in this process, or reached over HTTP. */
#pragma once

#include <daemon/daemonsettings.h>
#include <platform/embeddedkeyvalue.h>
#include <platform/embeddedworkers.h>
#include <platform/httpplatform.h>
#include <standin/upstream.h>

#include <memory>
#include <vector>

namespace QuetzalRock {

/** Owns the platform's adapters for the life of the process. */
class PlatformBundle
{
public:
    PlatformBundle(const DaemonSettings &settings, Clock &clock);

    KeyValueService &keyValue();
    VmList &vmList();
    WorkerAgent &workers();

private:
    void makeEmbedded(const DaemonSettings &settings, Clock &clock);

    std::unique_ptr<HttpPlatform> m_http; ///< with kind = http

    // With kind = embedded.
    std::unique_ptr<EmbeddedKeyValue> m_keyValue;
    std::unique_ptr<EmbeddedWorkers> m_workers;
    ExecutionLedger m_ledger;
    std::vector<std::unique_ptr<StandInUpstream>> m_upstreams;
};

} // namespace QuetzalRock
