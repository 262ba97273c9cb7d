#include <requests/metrics.h>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>

namespace QuetzalRock {

namespace {

/** In seconds; twelve buckets keep a tenant's three histograms small. */
const std::vector<double> &buckets()
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
                   .Help("Arrival to first byte")
                   .Register(registry))
    , m_upstream(&prometheus::BuildHistogram()
                      .Name("qr_request_upstream_seconds")
                      .Help("First try to answer")
                      .Register(registry))
    , m_total(&prometheus::BuildHistogram().Name("qr_request_seconds").Help("Arrival to answer").Register(registry))
    , m_outcomes(&prometheus::BuildCounter().Name("qr_requests_total").Help("Requests by outcome").Register(registry))
    , m_cells(settings.classes.size())
{
}

RequestMetrics::Cell &RequestMetrics::cellOf(std::size_t classIndex, TenantIndex tenant, const std::string &tenantName)
{
    auto &cells = m_cells[classIndex];
    if (tenant >= cells.size()) {
        cells.resize(tenant + 1);
    }
    Cell &cell = cells[tenant];
    if (cell.total == nullptr) {
        const prometheus::Labels labels{{"tenant", tenantName}, {"class", m_settings.classes[classIndex].name}};
        cell.queue = &m_queue->Add(labels, buckets());
        cell.upstream = &m_upstream->Add(labels, buckets());
        cell.total = &m_total->Add(labels, buckets());
    }
    return cell;
}

void RequestMetrics::observe(const RequestTiming &timing, const std::string &tenantName)
{
    Cell &cell = cellOf(timing.classIndex, timing.tenant, tenantName);
    if (timing.queue) {
        cell.queue->Observe(toSeconds(*timing.queue));
    }
    if (timing.upstream) {
        cell.upstream->Observe(toSeconds(*timing.upstream));
    }
    cell.total->Observe(toSeconds(timing.total));
    prometheus::Counter *&counter = cell.outcomes[static_cast<std::size_t>(timing.outcome)];
    if (counter == nullptr) {
        counter = &m_outcomes->Add({{"tenant", tenantName},
                                    {"class", m_settings.classes[timing.classIndex].name},
                                    {"outcome", std::string(outcomeName(timing.outcome))}});
    }
    counter->Increment();
}

} // namespace QuetzalRock
