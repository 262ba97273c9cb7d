/**
 * Adapter for platforms that serve JSON over HTTP, such as PlatformServer (packages/standin).
 *
 * Index of this file
 *   HttpPlatform   implements all interfaces of platform.h with calls to one address
 */
#pragma once

#include <platform/platform.h>
#include <web/web.h>

namespace QuetzalRock {

struct HttpPlatformSettings
{
    std::string address;                        ///< "ip:port" of the platform's service
    std::string token;                          ///< bearer token; empty: not sent
    Duration timeout = std::chrono::seconds(2); ///< per call; a watch waits for its own timeout in addition
    Duration workerTimeout = std::chrono::milliseconds(500); ///< per call to a worker, which blocks the scheduler
};

/** Thread-safe. If the response is lost, reads throw Unavailable and writes throw OutcomeUnknown. */
class HttpPlatform final : public KeyValueService, public VmList, public WorkerAgent
{
public:
    explicit HttpPlatform(HttpPlatformSettings settings);

    std::optional<KeyValue> get(std::string_view key) override;
    std::vector<KeyValue> list(std::string_view prefix) override;
    CasResult compareAndSwap(std::string_view key, Revision expected, std::string_view value, LeaseId lease) override;
    CasResult remove(std::string_view key, Revision expected) override;
    LeaseId grantLease(Duration ttl) override;
    bool renewLease(LeaseId lease) override;
    void revokeLease(LeaseId lease) override;
    WatchResult watch(std::string_view prefix, Revision after, Duration timeout) override;

    std::vector<Vm> vms() override;

    void start(std::string_view worker, const StartCommand &command) override;
    void
    renew(std::string_view worker, std::uint64_t epoch, std::span<const AttemptId> attempts, Duration lease) override;
    void stop(std::string_view worker, std::uint64_t epoch, const AttemptId &attempt, StopMode mode) override;
    void throttle(std::string_view worker, std::uint64_t epoch, const AttemptId &attempt, int permille) override;
    WorkerReport report(std::string_view worker) override;
    void forget(std::string_view worker, std::span<const AttemptId> attempts) override;

private:
    WebResponse send(std::string method, const std::string &path, std::string body, Duration timeout);
    WebResponse read(const std::string &path,
                     Duration timeout); ///< throws Unavailable if the response is lost, as a read has no effect
    std::string write(const std::string &path, std::string body, Duration timeout); ///< returns the response body

    HttpPlatformSettings m_settings;
    WebClient m_client;
};

} // namespace QuetzalRock
