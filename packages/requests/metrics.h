/**
 * Metrics of requests, by prometheus-cpp. One thread observes; the registry may be collected from any other.
 *
 * Families
 *   qr_request_queue_seconds{tenant,class}      from arrival to the first byte upstream
 *   qr_request_upstream_seconds{tenant,class}   from the first try's start to its answer
 *   qr_request_seconds{tenant,class}            from arrival to answer
 *   qr_requests_total{tenant,class,outcome}     outcome: answered, not_run, failed, outcome_unknown, rejected
 *
 * A histogram is made when its tenant first asks in its class. Tenants beyond RequestSettings::maxTenantLabels share
 * the label "other".
 */
#pragma once

#include <requests/admission.h>
#include <requests/message.h>

#include <array>

#include <prometheus/registry.h>

namespace prometheus {
class Counter;
class Histogram;
template<typename T>
class Family;
} // namespace prometheus

namespace QuetzalRock {

struct RequestTiming
{
    std::size_t classIndex = 0;
    TenantIndex tenant = 0;
    RequestOutcome outcome = RequestOutcome::Answered;
    std::optional<Duration> queue;    ///< nothing where it never left the queue
    std::optional<Duration> upstream; ///< nothing where no answer came
    Duration total{};
};

class RequestMetrics
{
public:
    RequestMetrics(const RequestSettings &settings, prometheus::Registry &registry);

    void observe(const RequestTiming &timing, const std::string &tenantName);

private:
    static constexpr std::size_t OutcomeCount = 5;

    struct Cell
    {
        prometheus::Histogram *queue = nullptr;
        prometheus::Histogram *upstream = nullptr;
        prometheus::Histogram *total = nullptr;
        std::array<prometheus::Counter *, OutcomeCount> outcomes{};
    };

    Cell &cellOf(std::size_t classIndex, TenantIndex tenant, const std::string &tenantName);

    const RequestSettings &m_settings;
    prometheus::Family<prometheus::Histogram> *m_queue;
    prometheus::Family<prometheus::Histogram> *m_upstream;
    prometheus::Family<prometheus::Histogram> *m_total;
    prometheus::Family<prometheus::Counter> *m_outcomes;
    std::vector<std::vector<Cell>> m_cells; ///< by class, tenant
};

} // namespace QuetzalRock
