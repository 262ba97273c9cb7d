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
constexpr Duration FullRetryAfter = 500ms;
constexpr std::size_t ListRingCapacity = 64;

struct Submission
{
    CallerRequest request;
    RequestSink::Done done;
};

struct ClaimAnswer
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
        , lists(ListRingCapacity)
        , transport(pathSettings, pathClock)
        , metrics(registry == nullptr ? nullptr : std::make_unique<RequestMetrics>(pathSettings, *registry))
        , dispatcher(pathSettings, transport, *this, metrics.get(), std::random_device()())
    {
    }

    /** What reaches the thread from claim owners. Outlives the path where an owner answers late. */
    struct ClaimInbox
    {
        explicit ClaimInbox(std::size_t capacity)
            : ring(capacity)
        {
        }

        BoundedRing<ClaimAnswer> ring;
        std::mutex mutex;                       ///< guards transport
        UpstreamTransport *transport = nullptr; ///< to be woken; null once the path has gone
    };

    void claim(RequestId id, const ClaimRequest &request) override
    {
        if (claims == nullptr) {
            answers->ring.tryPush({id, {ClaimVerdict::Unavailable, {}}});
            transport.wake();
            return;
        }
        claims->claim(request, [inbox = answers, id](ClaimReply reply) {
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

    void takeInputs()
    {
        while (auto it = lists.tryPop()) {
            dispatcher.setUpstreams(*it, clock.now());
        }
        while (auto it = answers->ring.tryPop()) {
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
        while (!ended) {
            takeInputs();
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
    BoundedRing<InstanceList> lists;
    std::shared_ptr<ClaimInbox> answers;
    CurlTransport transport;
    std::unique_ptr<RequestMetrics> metrics;
    Dispatcher dispatcher;
    std::thread thread; ///< duty: everything between the front and the instances
    std::atomic<bool> ended = false;
    std::atomic<bool> draining = false;
    std::atomic<std::uint64_t> given = 0;    ///< calls of submit()
    std::atomic<std::uint64_t> answered = 0; ///< of them, answered
};

RequestPath::RequestPath(const RequestSettings &settings,
                         Clock &clock,
                         ClaimOwner *claims,
                         prometheus::Registry *registry)
{
    const std::vector<std::string> faults = check(settings);
    if (!faults.empty()) {
        std::string message;
        for (const std::string &it : faults) {
            message += (message.empty() ? "" : "; ") + it;
        }
        throw InvalidArgument("requests", message);
    }
    m_impl = std::make_unique<Impl>(settings, clock, claims, registry);
    // A repeat gets two replies: Waiting, then the end of the first run.
    const std::size_t replies = 2 * (static_cast<std::size_t>(settings.maxOpenRequests) + 1);
    m_impl->answers = std::make_shared<Impl::ClaimInbox>(replies);
    m_impl->answers->transport = &m_impl->transport;
}

RequestPath::~RequestPath()
{
    stop();
    std::lock_guard guard(m_impl->answers->mutex);
    m_impl->answers->transport = nullptr;
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
    m_impl->ended = true;
    m_impl->transport.wake();
    m_impl->thread.join();
    m_impl->submissions.close();
    while (auto it = m_impl->submissions.tryPop()) {
        it->done(notRunResponse("the system is shutting down", DrainRetryAfter));
    }
    m_impl->dispatcher.abandonAll(m_impl->clock.now());
}

void RequestPath::setUpstreams(std::span<const UpstreamInstance> instances)
{
    const InstanceList list(instances.begin(), instances.end());
    while (!m_impl->lists.tryPush(InstanceList(list))) {
        m_impl->lists.tryPop(); // the oldest has been overtaken
    }
    m_impl->transport.wake();
}

void RequestPath::submit(CallerRequest request, Done done)
{
    Impl &impl = *m_impl;
    ++impl.given; // before the look at draining: see isDrained()
    if (impl.draining) {
        done(notRunResponse("this entry VM is leaving", DrainRetryAfter));
        ++impl.answered;
        return;
    }
    const Done counted = [&impl, done = std::move(done)](CallerResponse response) {
        done(std::move(response));
        ++impl.answered;
    };
    if (!impl.submissions.tryPush({std::move(request), counted})) {
        counted(notRunResponse("too many requests arrive at once", FullRetryAfter));
        return;
    }
    impl.transport.wake();
}

void RequestPath::beginDrain()
{
    m_impl->draining = true;
}

bool RequestPath::isDrained() const
{
    if (!m_impl->draining) {
        return false;
    }
    const std::uint64_t answered = m_impl->answered; // first, so that it can't overtake what was given
    return answered == m_impl->given;
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
