/**
 * Request metrics in a prometheus-cpp registry. One thread records; any thread may collect the registry.
 *
 * Families
 *   qr_request_queue_seconds{tenant,class}      from arrival to the first byte upstream
 *   qr_request_upstream_seconds{tenant,class}   from the first attempt to the answer
 *   qr_request_seconds{tenant,class}            from arrival to answer
 *   qr_requests_total{tenant,class,outcome}     outcome: answered, not_run, failed, outcome_unknown, rejected
 *
 * The histograms of a tenant and class are created with the first request. Tenants beyond
 * RequestSettings::maxTenantLabels share the label "other".
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
    std::optional<Duration> queue;    ///< empty if the request was never sent
    std::optional<Duration> upstream; ///< empty if there was no answer
    Duration total{};
};

class RequestMetrics
{
public:
    RequestMetrics(const RequestSettings &settings, prometheus::Registry &registry);

    void observe(const RequestTiming &timing, const std::string &tenantName);

private:
    static constexpr std::size_t OutcomeCount = 5;

    struct Series
    {
        prometheus::Histogram *queue = nullptr;
        prometheus::Histogram *upstream = nullptr;
        prometheus::Histogram *total = nullptr;
        std::array<prometheus::Counter *, OutcomeCount> outcomes{};
    };

    Series &seriesOf(std::size_t classIndex, TenantIndex tenant, const std::string &tenantName);

    const RequestSettings &m_settings;
    prometheus::Family<prometheus::Histogram> *m_queue;
    prometheus::Family<prometheus::Histogram> *m_upstream;
    prometheus::Family<prometheus::Histogram> *m_total;
    prometheus::Family<prometheus::Counter> *m_outcomes;
    std::vector<std::vector<Series>> m_series; ///< by class index, then tenant index
};

} // namespace QuetzalRock
