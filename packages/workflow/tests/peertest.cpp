/** Tests of the list of nodes and of the choice of the node that gets a forwarded request. */
#include "rig.h"

#include <cmath>

namespace QuetzalRock::Workflow {

namespace {

StoreItem makeEntry(const std::string &name, const PeerRecord &record, std::uint64_t revision = 1)
{
    StoreItem it;
    it.key = std::string(NodePrefix) + name;
    it.value = encodePeer(record, 1);
    it.revision = revision;
    return it;
}

StoreItem makeDeletion(const std::string &name, std::uint64_t revision = 2)
{
    StoreItem it;
    it.key = std::string(NodePrefix) + name;
    it.isDeleted = true;
    it.revision = revision;
    return it;
}

/** Nodes that forward requests to each other, with the time that calls between them take. */
class ForwardingNodes
{
public:
    static constexpr Duration ServiceTime = 20ms;
    static constexpr Duration RefusalTime = 2ms;
    static constexpr Duration CallerTime = 3s;

    struct SimNode
    {
        std::unique_ptr<PeerDirectory> directory;
        bool isRejected = false; ///< by the store: forwards what it gets, and refuses what others forward to it
        bool isDown = false;     ///< refuses connections
        std::uint32_t open = 0;  ///< forwarded requests that it handles
        std::uint32_t maxOpen = 0;
        std::uint32_t decided = 0;
        std::uint32_t calls = 0; ///< that arrived, or would have if it were up
    };

    explicit ForwardingNodes(int count, int perDomain)
        : log(clock, 0, 0)
        , m_replies(clock)
    {
        settings.isEnabled = true;
        for (int i = 0; i < count; ++i) {
            nodes.emplace_back();
        }
        for (int i = 0; i < count; ++i) {
            settings.address = Rig::peerAddress(i);
            const std::string domain = "d" + std::to_string(i / perDomain);
            auto &it = nodes[static_cast<std::size_t>(i)].directory;
            it = std::make_unique<PeerDirectory>(clock, log, name(i), domain, settings);
            for (int k = 0; k < count; ++k) {
                it->onItem(makeEntry(name(k), {Rig::peerAddress(k), "d" + std::to_string(k / perDomain), "1"}));
            }
        }
    }

    static std::string name(int i)
    {
        return "n" + std::to_string(i);
    }

    /** Each rejected node gets @p perSecond requests for @p time. */
    void run(Duration time, int perSecond)
    {
        const TimePoint until = clock.now() + time;
        const int stepsPerRequest = static_cast<int>(1000 / perSecond);
        for (int step = 0; clock.now() < until; ++step) {
            clock.advance(1ms);
            m_replies.deliver();
            if (onStep) {
                onStep();
            }
            for (SimNode &it : nodes) {
                if (it.isRejected && !it.isDown && step % stepsPerRequest == 0) {
                    ++requests;
                    attempt(it, {}, clock.now() + CallerTime, std::nullopt);
                }
            }
        }
        clock.advance(CallerTime);
        m_replies.deliverAll();
    }

    ManualClock clock;
    EventLog log;
    PeerSettings settings;
    std::vector<SimNode> nodes;
    std::function<void()> onStep;
    int requests = 0;
    int served = 0;
    int rejected = 0;
    int rejectedAtOnce = 0; ///< without a call to a peer

private:
    void attempt(SimNode &from, std::set<std::string> tried, TimePoint deadline, std::optional<PeerAnswer> lastAnswer)
    {
        const auto peer = from.directory->choose(tried);
        if (!peer) {
            ++rejected;
            rejectedAtOnce += lastAnswer ? 0 : 1;
            return;
        }
        tried.insert(peer->name);
        SimNode &to = nodes[std::stoul(peer->name.substr(1))];
        ++to.calls;
        const PeerAnswer answer = to.isDown       ? PeerAnswer::NotSent
                                  : to.isRejected ? PeerAnswer::Refused
                                                  : PeerAnswer::Decided;
        to.open += answer == PeerAnswer::Decided ? 1 : 0;
        to.maxOpen = std::max(to.maxOpen, to.open);
        const Duration time = answer == PeerAnswer::Decided ? ServiceTime : RefusalTime;
        m_replies.schedule(time, [this, &from, &to, peer = *peer, tried, deadline, answer] {
            from.directory->release(peer, answer);
            to.open -= answer == PeerAnswer::Decided ? 1 : 0;
            to.decided += answer == PeerAnswer::Decided ? 1 : 0;
            const int attempts = static_cast<int>(tried.size());
            switch (nextForwardStep(answer, attempts, deadline - clock.now(), settings)) {
            case ForwardStep::PassOn:
                ++(answer == PeerAnswer::Decided ? served : rejected);
                break;
            case ForwardStep::TryNext:
                attempt(from, tried, deadline, answer);
                break;
            case ForwardStep::Reject:
                ++rejected;
                break;
            case ForwardStep::Unknown:
                ADD_FAILURE() << "no call was lost";
                break;
            }
        });
    }

    DelayedCalls m_replies;
};

/** Keys under NodePrefix in the store. */
std::set<std::string> listedNodes(const Rig &rig)
{
    std::set<std::string> names;
    for (const auto &[key, item] : rig.backend.items) {
        if (key.starts_with(NodePrefix)) {
            names.insert(key.substr(NodePrefix.size()));
        }
    }
    return names;
}

int countEntryWrites(const Rig &rig)
{
    return static_cast<int>(std::count_if(rig.backend.history.begin(), rig.backend.history.end(), [](const auto &it) {
        return it.key.starts_with(NodePrefix) && !it.isDeleted;
    }));
}

/** Nodes that list themselves; all have a catalog. */
std::unique_ptr<Rig> makeListedRig(int nodes)
{
    auto rig = std::make_unique<Rig>(nodes, 4);
    rig->peers.isEnabled = true;
    for (int i = 0; i < nodes; ++i) {
        rig->boot(i);
    }
    rig->run(2s);
    return rig;
}

std::size_t peersOf(const Rig &rig, std::size_t i)
{
    return rig.nodes[i]->node->peers().peers();
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Load patterns
// ---------------------------------------------------------------------------------------------------------------------

// Guards against a rejected node that overloads one peer, or crosses failure domains without need.
TEST(PeerLoad, oneNodeRejectedIsServedByAllPeersOfItsDomain)
{
    ForwardingNodes it(9, 3);
    it.nodes[0].isRejected = true;
    it.run(20s, 100);
    EXPECT_EQ(it.served, it.requests);
    EXPECT_EQ(it.nodes[1].decided + it.nodes[2].decided, static_cast<std::uint32_t>(it.requests));
    EXPECT_LE(std::abs(static_cast<int>(it.nodes[1].decided) - static_cast<int>(it.nodes[2].decided)), 1);
}

// Guards against requests that are refused although peers of other failure domains have room: one failure domain, a
// third of the nodes, is rejected.
TEST(PeerLoad, aThirdOfTheNodesRejectedIsServedByOtherDomains)
{
    ForwardingNodes it(9, 3);
    for (std::size_t i = 0; i < 3; ++i) {
        it.nodes[i].isRejected = true;
    }
    it.run(20s, 100);
    EXPECT_EQ(it.rejected, 0) << "the rejected peers of the same domain cost a first attempt only";
    EXPECT_EQ(it.served, it.requests);
    std::uint32_t most = 0;
    for (std::size_t i = 3; i < 9; ++i) {
        most = std::max(most, it.nodes[i].decided);
        EXPECT_LE(it.nodes[i].maxOpen, 3 * it.settings.maxInFlightPerPeer);
    }
    EXPECT_LE(most, static_cast<std::uint32_t>(it.served) / 6 * 3 / 2) << "load is spread over the six peers";
}

// Guards against nodes that keep calling each other when none of them can decide anything.
TEST(PeerLoad, allNodesRejectedReject)
{
    ForwardingNodes it(9, 3);
    for (auto &node : it.nodes) {
        node.isRejected = true;
    }
    it.run(20s, 100);
    EXPECT_EQ(it.served, 0);
    EXPECT_EQ(it.rejected, it.requests);
    // Each of the 8 callers of a node: a call in flight per request until its back-off begins, one after each back-off
    // while that doubles to its maximum, then one per maximum.
    const double doublings = std::log2(it.settings.maxBackOff / it.settings.minBackOff);
    const auto limit = static_cast<std::uint32_t>(8 * (2 + std::ceil(doublings) + 20s / it.settings.maxBackOff));
    for (const auto &node : it.nodes) {
        EXPECT_LE(node.calls, limit);
    }
    EXPECT_GE(it.rejectedAtOnce, it.requests * 9 / 10);
}

// Guards against requests that are lost to peers that restart, and against a peer that stays out of use after its
// restart.
TEST(PeerLoad, peersThatRestartAreReplacedAndUsedAgain)
{
    ForwardingNodes it(6, 3);
    it.nodes[0].isRejected = true;
    const TimePoint start = it.clock.now();
    std::uint64_t revision = 1;
    int boots = 1;
    it.onStep = [&] { // nodes 1 and 2 in turn: down for 1 s, up for 1 s
        const auto second = (it.clock.now() - start) / 1s;
        for (std::size_t i = 1; i <= 2; ++i) {
            const bool isDown = second % 4 == static_cast<std::int64_t>(2 * i - 2);
            if (it.nodes[i].isDown && !isDown) {
                const PeerRecord record{Rig::peerAddress(static_cast<int>(i)), "d0", std::to_string(++boots)};
                it.nodes[0].directory->onItem(
                    makeEntry(ForwardingNodes::name(static_cast<int>(i)), record, ++revision));
            }
            it.nodes[i].isDown = isDown;
        }
    };
    it.run(20s, 100);
    EXPECT_EQ(it.rejected, 0);
    EXPECT_EQ(it.served, it.requests);
    EXPECT_GE(it.nodes[1].decided, static_cast<std::uint32_t>(it.requests) / 4);
    EXPECT_GE(it.nodes[2].decided, static_cast<std::uint32_t>(it.requests) / 4);
}

// Guards against unbounded work in flight to peers that answer slowly.
TEST(PeerDirectory, boundsCallsInFlight)
{
    ForwardingNodes it(9, 3);
    PeerDirectory &directory = *it.nodes[0].directory;
    std::map<std::string, std::uint32_t> perPeer;
    std::vector<ChosenPeer> chosen;
    while (const auto peer = directory.choose({})) {
        ++perPeer[peer->name];
        chosen.push_back(*peer);
    }
    EXPECT_EQ(chosen.size(), it.settings.maxInFlight);
    for (const auto &[name, n] : perPeer) {
        EXPECT_LE(n, it.settings.maxInFlightPerPeer) << name;
    }
    directory.onItem(makeDeletion("n1")); // what is in flight to a removed peer still counts
    EXPECT_FALSE(directory.choose({}));
    for (const ChosenPeer &peer : chosen) {
        directory.release(peer, PeerAnswer::Decided);
    }
    EXPECT_EQ(directory.inFlight(), 0U);
    EXPECT_TRUE(directory.choose({}));
}

// Guards against a second acceptance or a false "not run" after a lost answer, and against endless attempts.
TEST(ForwardStep, followsFromWhatIsCertain)
{
    PeerSettings settings;
    for (int attempts = 1; attempts <= 3; ++attempts) {
        EXPECT_EQ(nextForwardStep(PeerAnswer::Unanswered, attempts, 10s, settings), ForwardStep::Unknown);
        EXPECT_EQ(nextForwardStep(PeerAnswer::Decided, attempts, 10s, settings), ForwardStep::PassOn);
    }
    EXPECT_EQ(nextForwardStep(PeerAnswer::Refused, 1, 1s, settings), ForwardStep::TryNext);
    EXPECT_EQ(nextForwardStep(PeerAnswer::NotSent, 1, 1s, settings), ForwardStep::TryNext);
    EXPECT_EQ(nextForwardStep(PeerAnswer::Refused, 1, settings.minTimeLeft - 1ms, settings), ForwardStep::PassOn);
    EXPECT_EQ(nextForwardStep(PeerAnswer::NotSent, 1, settings.minTimeLeft - 1ms, settings), ForwardStep::Reject);
    EXPECT_EQ(nextForwardStep(PeerAnswer::Refused, settings.maxAttempts, 10s, settings), ForwardStep::PassOn);
    EXPECT_EQ(nextForwardStep(PeerAnswer::NotSent, settings.maxAttempts, 10s, settings), ForwardStep::Reject);
}

// Guards against a malformed entry that takes down every node that reads it, or that directs requests elsewhere.
TEST(PeerDirectory, ignoresUnreadableEntries)
{
    ForwardingNodes it(3, 3);
    PeerDirectory &directory = *it.nodes[0].directory;
    for (const char *text : {"",
                             "[",
                             "[1]",
                             "7",
                             "{}",
                             R"({"address":7})",
                             R"({"address":"10.0.0.1"})",
                             R"({"address":"10.0.0.1:80/x"})",
                             R"({"address":"user@10.0.0.1:80"})",
                             "{\"address\":\"10.0.0.1:80\",\"boot\":\"\xff\"}"}) {
        StoreItem item = makeEntry("n1", {});
        item.value = text;
        directory.onItem(item);
        EXPECT_EQ(directory.peers(), 1U) << text;
    }
    directory.onItem(makeEntry("other", {Rig::peerAddress(0), "d0", "1"}));
    EXPECT_EQ(directory.peers(), 1U) << "a node does not forward to itself under another name";
}

// ---------------------------------------------------------------------------------------------------------------------
// Listing
// ---------------------------------------------------------------------------------------------------------------------

// Guards against a list that costs the store a write for each renewal.
TEST(NodeListing, isWrittenOncePerStart)
{
    const auto rig = makeListedRig(4);
    rig->run(60s);
    EXPECT_EQ(listedNodes(*rig), (std::set<std::string>{"n0", "n1", "n2", "n3"}));
    EXPECT_EQ(countEntryWrites(*rig), 4);
    EXPECT_EQ(peersOf(*rig, 0), 3U);
}

// Guards against a change of behaviour where forwarding is off.
TEST(NodeListing, doesNothingUnlessEnabled)
{
    Rig rig(2, 4);
    rig.run(10s);
    rig.backend.write(std::string(NodePrefix) + "n7", encodePeer({Rig::peerAddress(7), "d", "1"}, 1));
    rig.run(2s);
    EXPECT_EQ(countEntryWrites(rig), 1);
    EXPECT_EQ(peersOf(rig, 0), 0U);
}

// Guards against nodes that stay in use although the store refuses them, and against nodes that are not listed again.
TEST(NodeListing, endsWithTheLeaseAndReturns)
{
    const auto rig = makeListedRig(4);
    rig->nodes[1]->store.isRefusing = true;
    rig->run(rig->peers.leaseDuration + 2s);
    EXPECT_FALSE(listedNodes(*rig).contains("n1"));
    EXPECT_EQ(peersOf(*rig, 0), 2U);
    EXPECT_EQ(peersOf(*rig, 1), 3U) << "a node without contact to the store keeps the list";
    const int before = countEntryWrites(*rig);
    rig->nodes[1]->store.isRefusing = false;
    rig->run(4s);
    EXPECT_TRUE(listedNodes(*rig).contains("n1"));
    EXPECT_EQ(countEntryWrites(*rig), before + 1);
    EXPECT_EQ(peersOf(*rig, 0), 3U);
}

// Guards against a rejected node without peers because their entries ended while it could not hear of them; and against
// one that goes on using nodes that have left, once it hears from the store again.
TEST(NodeListing, isKeptWhileTheStoreIsSilent)
{
    const auto rig = makeListedRig(4);
    rig->nodes[0]->store.isSilent = true;
    rig->run(1s);
    rig->kill(2);
    rig->run(20s);
    EXPECT_FALSE(listedNodes(*rig).contains("n2"));
    EXPECT_EQ(peersOf(*rig, 0), 3U);
    EXPECT_EQ(peersOf(*rig, 1), 1U) << "node 0 has lost its lease, and node 2 is gone";
    rig->nodes[0]->store.isSilent = false;
    rig->run(4s);
    EXPECT_EQ(peersOf(*rig, 0), 2U);
    EXPECT_EQ(peersOf(*rig, 1), 2U);
}

// Guards against an entry that ends with the lease of the node's earlier process, and against one that the earlier
// process's late write replaces for good.
TEST(NodeListing, survivesWhatTheEarlierProcessLeft)
{
    const auto rig = makeListedRig(3);
    rig->kill(1);
    rig->run(1s);
    rig->boot(1);
    rig->run(rig->peers.leaseDuration + 5s); // the lease of the earlier process has ended
    const std::string key = std::string(NodePrefix) + "n1";
    ASSERT_TRUE(rig->backend.items.contains(key));
    const std::string value = rig->backend.items[key].value;
    const std::uint64_t oldLease = ++rig->backend.lastLease;
    rig->backend.leases[oldLease] = {rig->clock.now() + 2s, 2s};
    rig->backend.write(key, encodePeer({"10.0.0.99:80", "d0", "old"}, oldLease), oldLease);
    rig->run(rig->peers.renewInterval + 2s);
    ASSERT_TRUE(rig->backend.items.contains(key));
    EXPECT_EQ(rig->backend.items[key].value, value);
}

// Guards against forwarding to a node that drains, and against a node that has left being listed again.
TEST(NodeListing, isRemovedAtDrain)
{
    const auto rig = makeListedRig(3);
    rig->nodes[1]->node->beginDrain();
    rig->run(1s);
    EXPECT_FALSE(listedNodes(*rig).contains("n1"));
    EXPECT_EQ(peersOf(*rig, 0), 1U);
    rig->run(20s);
    EXPECT_FALSE(listedNodes(*rig).contains("n1"));
}

// Guards against repeated writes and leases when answers of the store are lost.
TEST(NodeListing, isWrittenThoughAnswersAreLost)
{
    Rig rig(1, 4);
    rig.peers.isEnabled = true;
    rig.boot(0);
    rig.nodes[0]->store.lostChangeReplies = 3;
    rig.run(30s);
    EXPECT_TRUE(listedNodes(rig).contains("n0"));
    EXPECT_LE(countEntryWrites(rig), 2);
}

} // namespace QuetzalRock::Workflow
