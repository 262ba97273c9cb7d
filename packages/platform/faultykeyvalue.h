/** One client's way to a key-value service, with faults that a test switches on. */
#pragma once

#include <platform/platform.h>

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace QuetzalRock {

class FaultyKeyValue final : public KeyValueService
{
public:
    explicit FaultyKeyValue(KeyValueService &service);

    std::atomic<bool> down = false;        ///< every call throws Unavailable and has no effect
    std::atomic<int> loseWriteAnswers = 0; ///< so many next writes take effect and throw OutcomeUnknown
    std::atomic<int> loseWrites = 0;       ///< so many next writes have no effect and throw OutcomeUnknown
    std::atomic<int> refuseWrites = 0;     ///< so many next writes have no effect and throw Unavailable

    /** While stalled, every call waits, as in a service that hangs; then it goes on as usual. */
    void setStalled(bool isStalled);
    int stalledCalls() const; ///< calls that wait now

    std::optional<KeyValue> get(std::string_view key) override;
    std::vector<KeyValue> list(std::string_view prefix) override;
    CasResult compareAndSwap(std::string_view key, Revision expected, std::string_view value, LeaseId lease) override;
    CasResult remove(std::string_view key, Revision expected) override;
    LeaseId grantLease(Duration ttl) override;
    bool renewLease(LeaseId lease) override;
    void revokeLease(LeaseId lease) override;
    WatchResult watch(std::string_view prefix, Revision after, Duration timeout) override;

private:
    void waitWhileStalled();
    void throwIfDown();
    void beforeWrite();
    void afterWrite();

    KeyValueService &m_service;

    mutable std::mutex m_mutex; ///< guards the two below
    std::condition_variable m_changed;
    bool m_isStalled = false;
    int m_stalledCalls = 0;
};

} // namespace QuetzalRock
