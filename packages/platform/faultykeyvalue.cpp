#include <platform/faultykeyvalue.h>

namespace QuetzalRock {

namespace {

/** Decrements @p counter if it is positive; returns whether it was. */
bool decrementIfPositive(std::atomic<int> &counter)
{
    int n = counter.load();
    while (n > 0) {
        if (counter.compare_exchange_weak(n, n - 1)) {
            return true;
        }
    }
    return false;
}

} // namespace

FaultyKeyValue::FaultyKeyValue(KeyValueService &service)
    : m_service(service)
{
}

std::optional<KeyValue> FaultyKeyValue::get(std::string_view key)
{
    throwIfDown();
    return m_service.get(key);
}

std::vector<KeyValue> FaultyKeyValue::list(std::string_view prefix)
{
    throwIfDown();
    return m_service.list(prefix);
}

CasResult FaultyKeyValue::compareAndSwap(std::string_view key, Revision expected, std::string_view value, LeaseId lease)
{
    beforeWrite();
    const CasResult result = m_service.compareAndSwap(key, expected, value, lease);
    afterWrite();
    return result;
}

CasResult FaultyKeyValue::remove(std::string_view key, Revision expected)
{
    beforeWrite();
    const CasResult result = m_service.remove(key, expected);
    afterWrite();
    return result;
}

LeaseId FaultyKeyValue::grantLease(Duration ttl)
{
    beforeWrite();
    const LeaseId lease = m_service.grantLease(ttl);
    afterWrite();
    return lease;
}

bool FaultyKeyValue::renewLease(LeaseId lease)
{
    beforeWrite();
    const bool renewed = m_service.renewLease(lease);
    afterWrite();
    return renewed;
}

void FaultyKeyValue::revokeLease(LeaseId lease)
{
    beforeWrite();
    m_service.revokeLease(lease);
    afterWrite();
}

WatchResult FaultyKeyValue::watch(std::string_view prefix, Revision after, Duration timeout)
{
    throwIfDown();
    return m_service.watch(prefix, after, timeout);
}

void FaultyKeyValue::setStalled(bool isStalled)
{
    {
        std::lock_guard guard(m_mutex);
        m_isStalled = isStalled;
    }
    m_changed.notify_all();
}

int FaultyKeyValue::stalledCalls() const
{
    std::lock_guard guard(m_mutex);
    return m_stalledCalls;
}

void FaultyKeyValue::waitWhileStalled()
{
    std::unique_lock lock(m_mutex);
    ++m_stalledCalls;
    m_changed.wait(lock, [this] { return !m_isStalled; });
    --m_stalledCalls;
}

void FaultyKeyValue::throwIfDown()
{
    waitWhileStalled();
    if (down) {
        throw Unavailable("key-value service is down (injected fault)");
    }
}

void FaultyKeyValue::beforeWrite()
{
    throwIfDown();
    if (decrementIfPositive(refuseWrites)) {
        throw Unavailable("write rejected (injected fault)");
    }
    if (decrementIfPositive(loseWrites)) {
        throw OutcomeUnknown("write lost (injected fault)");
    }
}

void FaultyKeyValue::afterWrite()
{
    if (decrementIfPositive(loseWriteAnswers)) {
        throw OutcomeUnknown("write response lost (injected fault)");
    }
}

} // namespace QuetzalRock
