/** Members with real sockets and threads for the benchmarks; all in one process, one stand-in for the platform. */
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

/** Bytes of HTTP around one call and its answer, as sent by curl and Pistache here; TCP and IP come on top. */
constexpr std::uint64_t HttpBytesPerCall = 210;

inline double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &it) { return static_cast<double>(it.tv_sec) + it.tv_usec / 1e6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/** One member: server, client, heartbeat and registry threads. */
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

    /** @p extend adds handlers and threads of packages above. */
    template<typename Extend>
    void start(Extend extend)
    {
        MembershipSettings settings;
        // The address is known only when the server listens, and the server wants its handlers: so find a port first.
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
        run([this] {
            membership->step();
            clock.sleepFor(StepInterval);
        });
        run([this] { registry->step(std::chrono::milliseconds(500)); });
    }

    template<typename Duty>
    void run(Duty duty)
    {
        m_threads.emplace_back([this, duty] {
            while (!m_stop) {
                duty();
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

    std::uint64_t bytes() const ///< in and out of the server, with HTTP
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
