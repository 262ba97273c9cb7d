#include <daemon/platformbundle.h>

#include <standin/platformserver.h>

namespace QuetzalRock {

namespace {

constexpr Duration ProbeInterval = std::chrono::seconds(1); ///< maximum delay until a recovered worker is used again

} // namespace

PlatformBundle::PlatformBundle(const DaemonSettings &settings, Clock &clock)
    : m_clock(clock)
{
    if (settings.platform.kind == "http") {
        const PlatformSection &platform = settings.platform;
        m_http = std::make_unique<HttpPlatform>(
            HttpPlatformSettings{platform.address, platform.token, platform.timeout, platform.workerTimeout});
    } else {
        makeEmbedded(settings, clock);
    }
    m_circuitBreaker = std::make_unique<WorkerCircuitBreaker>(agent());
    m_probeThread = std::thread([this] { probeWorkers(); });
}

PlatformBundle::~PlatformBundle()
{
    {
        std::lock_guard guard(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    m_probeThread.join();
}

KeyValueService &PlatformBundle::keyValue()
{
    if (m_http) {
        return *m_http;
    }
    return *m_keyValue;
}

VmList &PlatformBundle::vmList()
{
    if (m_http) {
        return *m_http;
    }
    return *m_workers;
}

WorkerCircuitBreaker &PlatformBundle::workers()
{
    return *m_circuitBreaker;
}

WorkerAgent &PlatformBundle::agent()
{
    if (m_http) {
        return *m_http;
    }
    return *m_workers;
}

void PlatformBundle::probeWorkers()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        m_circuitBreaker->probe();
        lock.lock();
        if (!m_isStopping) {
            m_clock.waitUntil(lock, m_wake, m_clock.now() + ProbeInterval);
        }
    }
}

void PlatformBundle::makeEmbedded(const DaemonSettings &settings, Clock &clock)
{
    const EmbeddedSection &embedded = settings.embedded;
    const std::string &domain = settings.process.failureDomain;
    m_keyValue = std::make_unique<EmbeddedKeyValue>(clock);
    m_workers = std::make_unique<EmbeddedWorkers>(clock, embedded.usageLag);
    const Resources capacity{embedded.workerCpuMillis, embedded.workerMemoryMib, embedded.workerAccelerators};
    addWorkers(*m_workers, domain, static_cast<int>(embedded.workers), capacity);
    for (std::int64_t n = 1; n <= embedded.upstreams; ++n) {
        m_upstreams.push_back(std::make_unique<StandInUpstream>(clock, m_ledger));
        Vm vm;
        vm.name = domain + "-u" + std::to_string(n);
        vm.role = VmRole::Upstream;
        vm.region = settings.process.region;
        vm.failureDomain = domain;
        vm.address = m_upstreams.back()->address();
        m_workers->addVm(vm);
    }
}

} // namespace QuetzalRock
