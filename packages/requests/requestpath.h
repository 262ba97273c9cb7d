/**
 * The request path: callers' requests in, whole answers or typed failures out.
 *
 * Use
 *   RequestPath path(settings, clock, claims, &registry);  // claims: LocalClaims or ShardedClaims; null: keys are refused
 *   path.start();
 *   path.setUpstreams(instances);             // each time the platform's list changes
 *   path.submit(request, [](CallerResponse response) { ... });
 *   path.beginDrain();                        // nothing new from here on: not_run with Retry-After
 *   ... until path.isDrained() ...
 *   path.stop();
 *
 * One thread drives the dispatcher and libcurl; requests, claims' replies and upstream lists reach it by bounded rings.
 */
#pragma once

#include <requests/claims.h>
#include <requests/curltransport.h>
#include <requests/dispatcher.h>
#include <requests/httpfront.h>

namespace QuetzalRock {

class RequestPath final : public RequestSink
{
public:
    /** Throws InvalidArgument where check() finds faults in @p settings. @p settings, @p clock and the rest outlive it. */
    RequestPath(const RequestSettings &settings, Clock &clock, ClaimOwner *claims, prometheus::Registry *registry);
    ~RequestPath() override;
    RequestPath(const RequestPath &) = delete;
    RequestPath &operator=(const RequestPath &) = delete;

    void start();
    void stop(); ///< answers whatever is still open, without its upstream's answer; drain first

    void setUpstreams(std::span<const UpstreamInstance> instances); ///< from any thread
    void submit(CallerRequest request, Done done) override;         ///< from any thread; @p done runs on the path's

    void beginDrain();
    bool isDrained() const; ///< nothing is open: stop() cuts nothing off

    const DispatchCounters &counters() const;
    const TransportCounters &transportCounters() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace QuetzalRock
