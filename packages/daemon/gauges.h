/** Prometheus gauges for values that other components already count. They are set each time /metrics is read. */
#pragma once

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

namespace QuetzalRock {

class Gauges
{
public:
    explicit Gauges(prometheus::Registry &registry);

    void set(const std::string &name, const std::string &help, double value);

    /** Sets processor time and resident memory of this process. */
    void setProcessGauges();

private:
    prometheus::Registry &m_registry;
    std::map<std::string, prometheus::Gauge *> m_gauges;
};

} // namespace QuetzalRock
