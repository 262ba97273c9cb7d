/**
 * Load balancing: chooses the upstream instance for a request. Makes decisions only: no I/O and no threads; the time is
 * passed in as an argument.
 *
 * Index of this file
 *   UpstreamInstance   an instance as listed by the platform
 *   ExchangeOutcome    how an exchange ended, as far as its instance is responsible
 *   InstanceStatus     state of an instance for status pages and tests
 *   Balancer           chooses instances, tracks their exchanges, ejects failing ones
 *
 * Slowness is the duration of an exchange divided by the baseline service time of its class; 1 is normal. It makes
 * instances comparable although each serves a different mix of classes.
 */
#pragma once

#include <requests/settings.h>

#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace QuetzalRock {

struct UpstreamInstance
{
    std::string name;
    std::string address; ///< "ip:port"
    std::string failureDomain;
    bool leaving = false; ///< gets no new requests; those in flight may finish
};

using InstanceId = std::uint32_t; ///< valid from choose() until the matching endExchange()

enum class ExchangeOutcome : std::uint8_t {
    Success = 0, ///< a whole answer without a server error
    Failure,     ///< no connection, connection lost, 5xx, or no answer at all
    Cancelled,   ///< ended early; its duration is only a lower bound of the service time
};

/** State of an instance, for status pages and tests. */
struct InstanceStatus
{
    std::string name;
    int inFlight = 0;
    double limit = 0;
    double slowness = 1;
    bool ejected = false;
    bool leaving = false;
};

class Balancer
{
public:
    Balancer(const RequestSettings &settings, std::uint64_t seed);

    void setInstances(std::span<const UpstreamInstance> instances, TimePoint now);

    /** Chooses an instance with a free slot that is not in @p tried; empty if there is none. */
    std::optional<InstanceId> choose(std::span<const InstanceId> tried, TimePoint now);

    void beginExchange(InstanceId id);
    void endExchange(InstanceId id, ExchangeOutcome outcome, double slowness, TimePoint now);

    void tick(TimePoint now); ///< call it about 10 times a second: ends ejections, ejects slow instances

    const std::string &address(InstanceId id) const;
    TimePoint lastSuccess(InstanceId id) const;

    int usableSlots() const;   ///< slots of this VM on all usable instances
    int freeSlots() const;     ///< usable slots without a request
    int instanceCount() const; ///< instances in the latest list
    int ejectedCount() const;
    std::vector<InstanceStatus> instanceStatuses() const;

private:
    struct Instance
    {
        UpstreamInstance spec;
        bool present = false; ///< in the latest list
        bool isEjected = false;
        int inFlight = 0;
        int failuresInRow = 0;
        int ejectionsInRow = 0;
        int samples = 0;
        double limit = 0;    ///< slots that this VM may use; see InstancePolicy::SlotShares
        double slowness = 1; ///< moving average
        TimePoint sampledAt;
        TimePoint succeededAt;
        TimePoint ejectedUntil;
        TimePoint slowStartFrom;
        TimePoint limitDecreasedAt;
    };
    using Pool = std::vector<InstanceId>;

    bool isUsable(const Instance &it) const;
    bool isFull() const;
    int slotLimit(const Instance &it, TimePoint now) const;
    double slowStartWeight(const Instance &it, TimePoint now) const;
    double cost(const Instance &it, TimePoint now) const;
    std::optional<InstanceId> drawFreeInstance(const Pool &pool, std::span<const InstanceId> tried, TimePoint now);
    std::optional<InstanceId> bestOfTwo(const Pool &pool, std::span<const InstanceId> tried, TimePoint now);
    InstanceId findOrAdd(const std::string &name, TimePoint slowStartFrom);
    void rebuildPools();
    void adaptLimit(Instance &it, TimePoint now);
    void ejectIfAllowed(Instance &it, TimePoint now);
    double medianSlowness() const;

    const RequestSettings &m_settings;
    std::mt19937_64 m_random;
    std::vector<Instance> m_instances;
    std::unordered_map<std::string, InstanceId> m_byName;
    Pool m_sameDomain;     ///< usable instances in this VM's failure domain
    Pool m_otherDomains;   ///< usable instances in other failure domains
    int m_inFlight = 0;    ///< exchanges on usable instances
    double m_limitSum = 0; ///< sum of Instance::limit of usable instances
};

} // namespace QuetzalRock
