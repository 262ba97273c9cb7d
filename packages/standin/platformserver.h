/**
 * The platform's stand-in over HTTP: what HttpPlatform calls, with faults that a developer switches on. Not shipped.
 *
 * Index of this file
 *   PlatformServer   /kv, /lease, /vms, /workers, GET /counters, POST /faults
 *
 * POST /faults takes any of
 *   {"down": true}                          the key-value service takes no call
 *   {"lose_write_answers": 3}               so many next writes take effect and their answers are lost
 *   {"lose_writes": 3}                      so many next writes are lost
 *   {"vm": "w1", "state": "leaving"}        the VM list says so
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
    std::atomic<std::uint64_t> m_workerBytes = 0; ///< of paths and bodies, both ways; headers add about 250 a call
    WebServer m_server;                           ///< last: it serves from construction
};

/** Adds @p count workers of @p capacity named PREFIX-w1 ..., eight to a rack. */
void addWorkers(EmbeddedWorkers &workers, std::string_view domain, int count, const Resources &capacity);

} // namespace QuetzalRock
