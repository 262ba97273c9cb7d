#include <requests/metrics.h>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>

namespace QuetzalRock {

namespace {

/** Upper bounds in seconds. Only twelve buckets, because each tenant and class has three histograms. */
const std::vector<double> &latencyBuckets()
{
    static const std::vector<double> values{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 2, 10};
    return values;
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

RequestMetrics::RequestMetrics(const RequestSettings &settings, prometheus::Registry &registry)
    : m_settings(settings)
    , m_queue(&prometheus::BuildHistogram()
                   .Name("qr_request_queue_seconds")
                   .Help("Time from arrival to the first byte sent upstream")
                   .Register(registry))
    , m_upstream(&prometheus::BuildHistogram()
                      .Name("qr_request_upstream_seconds")
                      .Help("Time from the first attempt to the answer")
                      .Register(registry))
    , m_total(&prometheus::BuildHistogram()
                   .Name("qr_request_seconds")
                   .Help("Time from arrival to the answer")
                   .Register(registry))
    , m_outcomes(&prometheus::BuildCounter().Name("qr_requests_total").Help("Requests by outcome").Register(registry))
    , m_series(settings.classes.size())
{
}

RequestMetrics::Series &
RequestMetrics::seriesOf(std::size_t classIndex, TenantIndex tenant, const std::string &tenantName)
{
    auto &seriesByTenant = m_series[classIndex];
    if (tenant >= seriesByTenant.size()) {
        seriesByTenant.resize(tenant + 1);
    }
    Series &series = seriesByTenant[tenant];
    if (series.total == nullptr) {
        const prometheus::Labels labels{{"tenant", tenantName}, {"class", m_settings.classes[classIndex].name}};
        series.queue = &m_queue->Add(labels, latencyBuckets());
        series.upstream = &m_upstream->Add(labels, latencyBuckets());
        series.total = &m_total->Add(labels, latencyBuckets());
    }
    return series;
}

void RequestMetrics::observe(const RequestTiming &timing, const std::string &tenantName)
{
    Series &series = seriesOf(timing.classIndex, timing.tenant, tenantName);
    if (timing.queue) {
        series.queue->Observe(toSeconds(*timing.queue));
    }
    if (timing.upstream) {
        series.upstream->Observe(toSeconds(*timing.upstream));
    }
    series.total->Observe(toSeconds(timing.total));
    prometheus::Counter *&counter = series.outcomes[static_cast<std::size_t>(timing.outcome)];
    if (counter == nullptr) {
        counter = &m_outcomes->Add({{"tenant", tenantName},
                                    {"class", m_settings.classes[timing.classIndex].name},
                                    {"outcome", std::string(outcomeName(timing.outcome))}});
    }
    counter->Increment();
}

} // namespace QuetzalRock
