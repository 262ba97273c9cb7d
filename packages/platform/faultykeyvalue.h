/** Decorates a key-value service with injected faults, for one client of it. */
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

    std::atomic<bool> down = false;        ///< each call throws Unavailable and has no effect
    std::atomic<int> loseWriteAnswers = 0; ///< number of next writes that take effect and throw OutcomeUnknown
    std::atomic<int> loseWrites = 0;       ///< number of next writes that have no effect and throw OutcomeUnknown
    std::atomic<int> refuseWrites = 0;     ///< number of next writes that have no effect and throw Unavailable

    /** While stalled, each call blocks like in an unresponsive service, and continues normally afterwards. */
    void setStalled(bool isStalled);
    int stalledCalls() const; ///< calls currently blocked

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

    mutable std::mutex m_mutex; ///< guards m_isStalled and m_stalledCalls
    std::condition_variable m_changed;
    bool m_isStalled = false;
    int m_stalledCalls = 0;
};

} // namespace QuetzalRock
