/**
 * Which upstream instance gets a request. Decisions only: no I/O, no thread, time comes in as an argument.
 *
 * Index of this file
 *   UpstreamInstance   what the daemon knows of an instance
 *   EndKind            how an exchange ended, as far as its instance is to blame
 *   Balancer           choose, begin, end
 *
 * Slowness is an exchange's time over the usual time of its class: 1 is normal. It makes instances comparable whatever
 * mix of classes each one happens to serve.
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
    bool leaving = false; ///< gets nothing new; what it has in work it may finish
};

using InstanceId = std::uint32_t; ///< valid from choose() until the end() that belongs to it

enum class EndKind : std::uint8_t {
    Good = 0,  ///< a whole answer that is not the instance's own failure
    Bad,       ///< no connection, broken, 5xx, silent
    Cancelled, ///< another try was faster; says only that this one took at least so long
};

/** For status pages and tests. */
struct InstanceView
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

    /** An instance with a free slot that is not in @p tried. Nothing where there is none. */
    std::optional<InstanceId> choose(std::span<const InstanceId> tried, TimePoint now);

    void begin(InstanceId id);
    void end(InstanceId id, EndKind kind, double slowness, TimePoint now);

    void tick(TimePoint now); ///< once a second or so: ends ejections, looks for slow instances

    const std::string &address(InstanceId id) const;
    TimePoint lastGoodAnswer(InstanceId id) const;

    int capacity() const;  ///< slots of all instances that may be used
    int freeSlots() const; ///< of them, not in use
    int present() const;   ///< instances in the list
    int ejected() const;
    std::vector<InstanceView> view() const;

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
        double limit = 0;    ///< slots that this VM uses; see InstancePolicy::SlotShares
        double slowness = 1; ///< moving average
        TimePoint sampledAt;
        TimePoint goodAt;
        TimePoint ejectedUntil;
        TimePoint slowStartFrom;
        TimePoint shrunkAt;
    };
    using Pool = std::vector<InstanceId>;

    bool isUsable(const Instance &it) const;
    bool isFull() const;
    int slotsOf(const Instance &it, TimePoint now) const;
    double weightOf(const Instance &it, TimePoint now) const;
    double score(const Instance &it, TimePoint now) const;
    std::optional<InstanceId> draw(const Pool &pool, std::span<const InstanceId> tried, TimePoint now);
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
    Pool m_own;            ///< usable, own failure domain
    Pool m_other;          ///< usable, elsewhere
    int m_inFlight = 0;    ///< on usable instances
    double m_limitSum = 0; ///< of usable instances
};

} // namespace QuetzalRock
