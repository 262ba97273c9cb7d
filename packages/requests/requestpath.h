/**
 * The request path takes callers' requests and answers each with the upstream's whole answer or a typed failure.
 *
 * Use
 *   RequestPath path(settings, clock, claims, &registry);  // claims: LocalClaims or ShardedClaims, or null
 *   path.start();
 *   path.setUpstreams(instances);             // whenever the platform's list of instances changes
 *   path.submit(request, [](CallerResponse response) { ... });
 *   path.beginDrain();                        // from now on new requests get not_run with Retry-After
 *   ... wait until path.isDrained() ...
 *   path.stop();
 *
 * One thread drives the dispatcher and libcurl. Requests, replies to claims and instance lists reach it through bounded
 * rings.
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
    /**
     * Throws InvalidArgument if check() reports errors in @p settings. All arguments must outlive the RequestPath.
     * Without @p claims, non-idempotent requests that carry a key are answered not_run.
     */
    RequestPath(const RequestSettings &settings, Clock &clock, ClaimOwner *claims, prometheus::Registry *registry);
    ~RequestPath() override;
    RequestPath(const RequestPath &) = delete;
    RequestPath &operator=(const RequestPath &) = delete;

    void start();
    void stop(); ///< ends open requests without their upstreams' answers; drain first

    void setUpstreams(std::span<const UpstreamInstance> instances); ///< from any thread
    void submit(CallerRequest request, Done done) override; ///< from any thread; @p done may run on the path's thread

    void beginDrain();
    bool isDrained() const; ///< draining, and every request has been answered

    const DispatchCounters &counters() const;
    const TransportCounters &transportCounters() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace QuetzalRock
