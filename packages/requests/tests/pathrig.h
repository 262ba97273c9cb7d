/** Shared by the socket tests: a whole request path over stand-in instances, a fake log and an HTTP client. */
#pragma once

#include <requests/httpfront.h>
#include <requests/requestpath.h>
#include <standin/upstream.h>

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <curl/curl.h>

namespace QuetzalRock::Test {

using namespace std::chrono_literals;

/** A log in memory with fault injection. Records survive their owner, as in the platform's service. */
class FakeLog final : public Log
{
public:
    struct Store
    {
        std::mutex mutex;
        std::uint64_t epoch = 0;
        std::string snapshot;
        std::vector<std::string> records;
        int appends = 0;
    };

    explicit FakeLog(std::shared_ptr<Store> store)
        : m_store(std::move(store))
    {
    }

    std::atomic<bool> down = false;   ///< every call throws Unavailable and writes nothing
    std::atomic<int> loseAnswers = 0; ///< this many next appends write and throw OutcomeUnknown
    std::atomic<int> loseWrites = 0;  ///< this many next appends throw OutcomeUnknown without writing
    std::atomic<bool> isSnapshotDue = false;

    Replay takeOver() override
    {
        std::lock_guard guard(m_store->mutex);
        throwIfDown();
        m_epoch = ++m_store->epoch;
        return {m_epoch, m_store->snapshot, m_store->records};
    }

    void append(std::span<const std::string> records) override
    {
        std::lock_guard guard(m_store->mutex);
        throwIfDown();
        throwIfFenced();
        ++m_store->appends;
        m_written = !decrementIfPositive(loseWrites);
        const bool isLost = !m_written || decrementIfPositive(loseAnswers);
        if (m_written) {
            m_store->records.insert(m_store->records.end(), records.begin(), records.end());
        }
        if (isLost) {
            throw OutcomeUnknown("the log's answer was lost");
        }
    }

    bool resolve() override
    {
        std::lock_guard guard(m_store->mutex);
        throwIfDown();
        throwIfFenced();
        return m_written;
    }

    void snapshot(std::string_view state) override
    {
        std::lock_guard guard(m_store->mutex);
        throwIfDown();
        throwIfFenced();
        m_store->snapshot = state;
        m_store->records.clear();
        isSnapshotDue = false;
    }

    bool snapshotDue() const override
    {
        return isSnapshotDue;
    }

    std::size_t maxBatchBytes() const override
    {
        return 1000;
    }

    std::uint64_t epoch() const override
    {
        return m_epoch;
    }

private:
    static bool decrementIfPositive(std::atomic<int> &count)
    {
        if (count <= 0) {
            return false;
        }
        --count;
        return true;
    }

    void throwIfDown() const
    {
        if (down) {
            throw Unavailable("the log is down");
        }
    }

    void throwIfFenced() const
    {
        if (m_epoch != m_store->epoch) {
            throw Fenced("another owner has taken over the log");
        }
    }

    std::shared_ptr<Store> m_store;
    std::uint64_t m_epoch = 0;
    bool m_written = false;
};

struct HttpReply
{
    int status = 0; ///< 0: no whole answer
    std::string head;
    std::string body;

    bool headContains(const std::string &text) const
    {
        return head.find(text) != std::string::npos;
    }
};

struct HttpCall
{
    std::string method = "GET";
    std::string path = "/";
    std::vector<std::string> headers;
    std::string body;
};

inline std::size_t appendTo(char *data, std::size_t size, std::size_t count, void *user)
{
    static_cast<std::string *>(user)->append(data, size * count);
    return size * count;
}

/** An HTTP client that keeps one connection alive. */
class HttpCaller
{
public:
    explicit HttpCaller(std::uint16_t port)
        : m_base("http://127.0.0.1:" + std::to_string(port))
        , m_easy(curl_easy_init())
    {
    }

    ~HttpCaller()
    {
        curl_easy_cleanup(m_easy);
    }

    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    HttpReply call(const HttpCall &request)
    {
        HttpReply reply;
        const std::string url = m_base + request.path;
        curl_easy_reset(m_easy);
        curl_easy_setopt(m_easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(m_easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(m_easy, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, 60000L);
        curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &appendTo);
        curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, &reply.body);
        curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &appendTo);
        curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, &reply.head);
        if (request.method != "GET") {
            curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, request.body.data());
            curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
            curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        }
        curl_slist *list = curl_slist_append(nullptr, "Expect:");
        for (const std::string &it : request.headers) {
            list = curl_slist_append(list, it.c_str());
        }
        curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, list);
        long status = 0;
        if (curl_easy_perform(m_easy) == CURLE_OK) {
            curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
        }
        long connects = 0;
        curl_easy_getinfo(m_easy, CURLINFO_NUM_CONNECTS, &connects);
        m_connects += static_cast<int>(connects);
        curl_slist_free_all(list);
        reply.status = static_cast<int>(status);
        return reply;
    }

    /** Connections opened so far. */
    int connects() const
    {
        return m_connects;
    }

private:
    std::string m_base;
    CURL *m_easy;
    int m_connects = 0;
};

/** Waits without sleeping until @p condition holds. False if it does not hold within a minute. */
inline bool eventually(const std::function<bool()> &condition)
{
    SystemClock clock;
    const TimePoint end = clock.now() + 60s;
    while (!condition()) {
        if (clock.now() > end) {
            return false;
        }
        std::this_thread::yield();
    }
    return true;
}

/** Two classes: lookups (GET /lookup, idempotent) and bookings (POST /book, non-idempotent). */
inline RequestSettings pathSettings()
{
    RequestSettings settings;
    RequestClass lookup;
    lookup.name = "lookup";
    lookup.pathPrefix = "/lookup";
    lookup.methods = {"GET"};
    lookup.idempotent = true;
    lookup.deadline = 20s;
    lookup.priority = 200;
    RequestClass booking;
    booking.name = "booking";
    booking.pathPrefix = "/book";
    booking.methods = {"POST"};
    booking.deadline = 20s;
    settings.classes = {lookup, booking};
    settings.failureDomain = "muuga";
    settings.minHedgeDelay = 20ms;
    return settings;
}

/** An HTTP front, a request path, claims and upstream instances, all in this process. */
class PathRig
{
public:
    PathRig(int instances, RequestSettings rigSettings = pathSettings())
        : settings(std::move(rigSettings))
        , store(std::make_shared<FakeLog::Store>())
        , log(store)
        , claims(settings, clock, log)
        , path(settings, clock, &claims, &registry)
        , front(settings, clock, path)
    {
        for (int i = 0; i < instances; ++i) {
            upstreams.push_back(std::make_unique<StandInUpstream>(clock, ledger));
        }
        claims.start();
        path.start();
        publishInstances();
        front.start();
        eventually([this] { return claims.isOwner(); });
    }

    ~PathRig()
    {
        for (auto &it : upstreams) {
            it->setFault(UpstreamFault::None);
            it->releaseHeldResponses();
        }
        front.stop();
        path.stop();
        claims.stop();
    }

    PathRig(const PathRig &) = delete;
    PathRig &operator=(const PathRig &) = delete;

    std::vector<UpstreamInstance> instances() const
    {
        std::vector<UpstreamInstance> list;
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            list.push_back({"u" + std::to_string(i), upstreams[i]->address(), "muuga", false});
        }
        return list;
    }

    void publishInstances()
    {
        path.setUpstreams(instances());
    }

    void setFaultOnAll(UpstreamFault fault, int every = 1)
    {
        for (auto &it : upstreams) {
            it->setFault(fault, every);
        }
    }

    HttpReply lookup(const std::string &id)
    {
        return HttpCaller(front.port()).call({"GET", "/lookup/" + id, {"Booking-Id: " + id}, ""});
    }

    HttpReply book(const std::string &id, const std::string &key = {}, const std::string &body = "hold")
    {
        std::vector<std::string> headers{"Booking-Id: " + id};
        if (!key.empty()) {
            headers.push_back("Idempotency-Key: " + key);
        }
        return HttpCaller(front.port()).call({"POST", "/book", headers, body});
    }

    RequestSettings settings;
    SystemClock clock;
    prometheus::Registry registry;
    ExecutionLedger ledger;
    std::shared_ptr<FakeLog::Store> store;
    FakeLog log;
    std::vector<std::unique_ptr<StandInUpstream>> upstreams;
    LocalClaims claims;
    RequestPath path;
    HttpFront front;
};

} // namespace QuetzalRock::Test
