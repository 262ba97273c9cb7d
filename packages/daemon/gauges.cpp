#include <daemon/gauges.h>

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace QuetzalRock {

namespace {

double seconds(const timeval &time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

double residentBytes()
{
    std::ifstream in("/proc/self/statm");
    double total = 0;
    double resident = 0;
    in >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

Gauges::Gauges(prometheus::Registry &registry)
    : m_registry(registry)
{
}

void Gauges::set(const std::string &name, const std::string &help, double value)
{
    auto it = m_gauges.find(name);
    if (it == m_gauges.end()) {
        auto &family = prometheus::BuildGauge().Name(name).Help(help).Register(m_registry);
        it = m_gauges.emplace(name, &family.Add({})).first;
    }
    it->second->Set(value);
}

void Gauges::setProcessGauges()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    set("qr_process_cpu_seconds",
        "Processor time used by this process",
        seconds(usage.ru_utime) + seconds(usage.ru_stime));
    set("qr_process_resident_bytes", "Resident memory of this process", residentBytes());
}

} // namespace QuetzalRock
