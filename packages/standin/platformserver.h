/**
 * HTTP server for the interface that HttpPlatform calls, backed by the in-memory platform, with fault injection. For
 * development only; not installed.
 *
 * Index of this file
 *   PlatformServer   /kv, /lease, /vms, /workers, GET /counters, POST /faults
 *
 * POST /faults accepts any combination of
 *   {"down": true}                          calls to the key-value service fail with Unavailable; false restores it
 *   {"lose_write_answers": 3}               the next 3 writes take effect but their responses are lost
 *   {"lose_writes": 3}                      the next 3 writes have no effect and their responses are lost
 *   {"vm": "w1", "state": "leaving"}        sets the state of the VM
 *   {"worker": "w1", "unreachable": true, "lose_answers": true, "fail_starts": true}
 */
#pragma once

#include <platform/embeddedkeyvalue.h>
#include <platform/embeddedworkers.h>
#include <platform/faultykeyvalue.h>
#include <platform/platformjson.h>
#include <web/web.h>

namespace QuetzalRock {

class PlatformServer
{
public:
    PlatformServer(Clock &clock, Duration usageLag, const std::string &address);

    EmbeddedKeyValue &keyValue();
    EmbeddedWorkers &workers();
    std::uint16_t port() const;
    void stop();

private:
    WebResponse handle(const WebRequest &request);
    nlohmann::json handleKeyValue(const WebRequest &request);
    nlohmann::json handleLease(const WebRequest &request);
    nlohmann::json handleWorker(const WebRequest &request);
    nlohmann::json setFaults(const nlohmann::json &faults);
    nlohmann::json counters() const;

    EmbeddedKeyValue m_keyValue;
    FaultyKeyValue m_faulty;
    EmbeddedWorkers m_workers;
    std::atomic<std::uint64_t> m_workerCalls = 0;
    std::atomic<std::uint64_t> m_workerBytes = 0; ///< paths and bodies; headers add about 250 bytes per call
    WebServer m_server;                           ///< declared last because it serves from construction
};

/** Adds @p count workers to failure domain @p domain, named DOMAIN-w1, DOMAIN-w2, ..., eight per rack. */
void addWorkers(EmbeddedWorkers &workers, std::string_view domain, int count, const Resources &capacity);

} // namespace QuetzalRock
