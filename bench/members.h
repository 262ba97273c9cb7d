/** Members with real sockets and threads for the benchmarks, all in one process over one in-memory key-value store. */
#pragma once

#include <membership/membership.h>
#include <platform/embeddedkeyvalue.h>

#include <sys/resource.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace QuetzalRock::Bench {

/** Size of the HTTP headers of one call and its answer, as sent by curl and Pistache here. Excludes TCP and IP. */
constexpr std::uint64_t HttpBytesPerCall = 210;

/** Processor seconds used by this process so far, all threads together. */
inline double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &it) { return static_cast<double>(it.tv_sec) + it.tv_usec / 1e6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/** One member with a peer server, a peer client, a heartbeat thread and a registry thread. */
class Member
{
public:
    Member(const std::string &name, const std::string &domain, KeyValueService &service, Clock &clockIn)
        : clock(clockIn)
        , auth({name, {{"bench", "0123456789abcdef0123456789abcdef"}}}, clock)
        , client(auth)
        , m_name(name)
        , m_domain(domain)
        , m_service(service)
    {
    }

    /** @p extend is called before the server starts; it may bind more handlers and start more threads. */
    template<typename Extend>
    void start(Extend extend)
    {
        MembershipSettings settings;
        // Membership needs the address of the server, and the server needs the handlers of membership when it starts.
        // A short-lived server therefore finds a free port first.
        {
            const PeerServer probe(auth, PeerRouter(), {});
            settings.self = {m_name, "region", m_domain, probe.address(), 1};
        }
        membership = std::make_unique<Membership>(settings, client, clock);
        membership->bind(router);
        registry = std::make_unique<MemberRegistry>(RegistrySettings{}, m_service, nullptr, *membership, clock);
        extend(*this);
        PeerServerSettings serverSettings;
        serverSettings.listen = settings.self.address;
        server = std::make_unique<PeerServer>(auth, router, serverSettings);
        runRepeatedly([this] {
            membership->step();
            clock.sleepFor(StepInterval);
        });
        runRepeatedly([this] { registry->step(std::chrono::milliseconds(500)); });
    }

    /** Calls @p duty repeatedly on a new thread until stop(). */
    template<typename Work>
    void runRepeatedly(Work work)
    {
        m_threads.emplace_back([this, work] {
            while (!m_stop) {
                work();
            }
        });
    }

    void stop()
    {
        m_stop = true;
        for (std::thread &it : m_threads) {
            it.join();
        }
        m_threads.clear();
    }

    /** Bytes received and sent by the server, including an estimate of the HTTP headers. */
    std::uint64_t transferredBytes() const
    {
        return server->counters().bytesIn + server->counters().bytesOut + server->counters().calls * HttpBytesPerCall;
    }

    Clock &clock;
    PeerAuth auth;
    PeerClient client;
    PeerRouter router;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<MemberRegistry> registry;
    std::unique_ptr<PeerServer> server;

private:
    std::string m_name;
    std::string m_domain;
    KeyValueService &m_service;
    std::atomic<bool> m_stop = false;
    std::vector<std::thread> m_threads;
};

} // namespace QuetzalRock::Bench
