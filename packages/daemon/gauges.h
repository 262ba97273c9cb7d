/** Numbers that other modules count anyway, shown as gauges: brought up to date when the metrics are read. */
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

    /** Processor seconds, resident bytes and threads of this process. */
    void setProcess();

private:
    prometheus::Registry &m_registry;
    std::map<std::string, prometheus::Gauge *> m_gauges;
};

} // namespace QuetzalRock
