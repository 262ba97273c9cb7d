#include <requests/requestpath.h>

#include <base/errors.h>
#include <base/ring.h>

#include <cassert>
#include <thread>

#include <pthread.h>

namespace QuetzalRock {

namespace {

using namespace std::chrono_literals;

constexpr Duration DrainRetryAfter = 1s;
constexpr Duration OverloadRetryAfter = 500ms;
constexpr std::size_t InstanceListRingCapacity = 64;

struct Submission
{
    CallerRequest request;
    RequestSink::Done done;
};

struct ClaimReplyEvent
{
    RequestId id = 0;
    ClaimReply reply;
};

using InstanceList = std::vector<UpstreamInstance>;

} // namespace

struct RequestPath::Impl final : public ClaimClient
{
    Impl(const RequestSettings &pathSettings, Clock &pathClock, ClaimOwner *owner, prometheus::Registry *registry)
        : settings(pathSettings)
        , clock(pathClock)
        , claims(owner)
        , submissions(static_cast<std::size_t>(pathSettings.ringCapacity))
        , instanceLists(InstanceListRingCapacity)
        , transport(pathSettings, pathClock)
        , metrics(registry == nullptr ? nullptr : std::make_unique<RequestMetrics>(pathSettings, *registry))
        , dispatcher(pathSettings, transport, *this, metrics.get(), std::random_device()())
    {
    }

    /** Replies from claim owners to the path's thread. Outlives the path if an owner replies late. */
    struct ClaimInbox
    {
        explicit ClaimInbox(std::size_t capacity)
            : ring(capacity)
        {
        }

        BoundedRing<ClaimReplyEvent> ring;
        std::mutex mutex;                       ///< guards transport
        UpstreamTransport *transport = nullptr; ///< woken after each reply; null once the path is destroyed
    };

    void claim(RequestId id, const ClaimRequest &request) override
    {
        if (claims == nullptr) {
            claimInbox->ring.tryPush({id, {ClaimVerdict::Unavailable, {}}});
            transport.wake();
            return;
        }
        claims->claim(request, [inbox = claimInbox, id](ClaimReply reply) {
            [[maybe_unused]] const bool taken = inbox->ring.tryPush({id, std::move(reply)});
            assert(taken && "at most two replies for each open request");
            std::lock_guard guard(inbox->mutex);
            if (inbox->transport != nullptr) {
                inbox->transport->wake();
            }
        });
    }

    void end(const ClaimEnd &end) override
    {
        if (claims != nullptr) {
            claims->end(end);
        }
    }

    void processInputs()
    {
        while (auto it = instanceLists.tryPop()) {
            dispatcher.setUpstreams(*it, clock.now());
        }
        while (auto it = claimInbox->ring.tryPop()) {
            dispatcher.onClaim(it->id, std::move(it->reply), clock.now());
        }
        while (auto it = submissions.tryPop()) {
            dispatcher.submit(std::move(it->request), std::move(it->done), clock.now());
        }
    }

    void run()
    {
        pthread_setname_np(pthread_self(), "path");
        std::vector<ExchangeResult> results;
        while (!isStopping) {
            processInputs();
            dispatcher.tick(clock.now());
            results.clear();
            transport.poll(dispatcher.nextTimer() - clock.now(), results);
            const TimePoint now = clock.now();
            for (ExchangeResult &it : results) {
                dispatcher.onResult(std::move(it), now);
            }
        }
    }

    const RequestSettings &settings;
    Clock &clock;
    ClaimOwner *claims;
    BoundedRing<Submission> submissions;
    BoundedRing<InstanceList> instanceLists;
    std::shared_ptr<ClaimInbox> claimInbox;
    CurlTransport transport;
    std::unique_ptr<RequestMetrics> metrics;
    Dispatcher dispatcher;
    std::thread thread; ///< duty: dispatcher and upstream connections
    std::atomic<bool> isStopping = false;
    std::atomic<bool> isDraining = false;
    std::atomic<std::uint64_t> submitted = 0; ///< requests passed to submit()
    std::atomic<std::uint64_t> answered = 0;  ///< requests whose done callback has returned
};

RequestPath::RequestPath(const RequestSettings &settings,
                         Clock &clock,
                         ClaimOwner *claims,
                         prometheus::Registry *registry)
{
    const std::vector<std::string> errors = check(settings);
    if (!errors.empty()) {
        std::string message;
        for (const std::string &it : errors) {
            message += (message.empty() ? "" : "; ") + it;
        }
        throw InvalidArgument("requests", message);
    }
    m_impl = std::make_unique<Impl>(settings, clock, claims, registry);
    // A repeat gets two replies: Waiting, and the outcome once the first run has ended.
    const std::size_t replies = 2 * (static_cast<std::size_t>(settings.maxOpenRequests) + 1);
    m_impl->claimInbox = std::make_shared<Impl::ClaimInbox>(replies);
    m_impl->claimInbox->transport = &m_impl->transport;
}

RequestPath::~RequestPath()
{
    stop();
    std::lock_guard guard(m_impl->claimInbox->mutex);
    m_impl->claimInbox->transport = nullptr;
}

void RequestPath::start()
{
    assert(!m_impl->thread.joinable());
    m_impl->thread = std::thread([this] { m_impl->run(); });
}

void RequestPath::stop()
{
    if (!m_impl->thread.joinable()) {
        return;
    }
    m_impl->isStopping = true;
    m_impl->transport.wake();
    m_impl->thread.join();
    m_impl->submissions.close();
    while (auto it = m_impl->submissions.tryPop()) {
        it->done(notRunResponse("this entry VM is shutting down", DrainRetryAfter));
    }
    m_impl->dispatcher.abandonAll(m_impl->clock.now());
}

void RequestPath::setUpstreams(std::span<const UpstreamInstance> instances)
{
    const InstanceList list(instances.begin(), instances.end());
    while (!m_impl->instanceLists.tryPush(InstanceList(list))) {
        m_impl->instanceLists.tryPop(); // the oldest list is outdated
    }
    m_impl->transport.wake();
}

void RequestPath::submit(CallerRequest request, Done done)
{
    Impl &impl = *m_impl;
    ++impl.submitted; // before isDraining is read, so that isDrained() counts this request
    if (impl.isDraining) {
        done(notRunResponse("this entry VM is shutting down", DrainRetryAfter));
        ++impl.answered;
        return;
    }
    const Done counted = [&impl, done = std::move(done)](CallerResponse response) {
        done(std::move(response));
        ++impl.answered;
    };
    if (!impl.submissions.tryPush({std::move(request), counted})) {
        counted(notRunResponse("too many requests are waiting to be processed", OverloadRetryAfter));
        return;
    }
    impl.transport.wake();
}

void RequestPath::beginDrain()
{
    m_impl->isDraining = true;
}

bool RequestPath::isDrained() const
{
    if (!m_impl->isDraining) {
        return false;
    }
    const std::uint64_t answered = m_impl->answered; // read first: submitted may only grow in between
    return answered == m_impl->submitted;
}

const DispatchCounters &RequestPath::counters() const
{
    return m_impl->dispatcher.counters();
}

const TransportCounters &RequestPath::transportCounters() const
{
    return m_impl->transport.counters();
}

} // namespace QuetzalRock
