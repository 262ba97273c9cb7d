/**
 * A TCP proxy on loopback that injects network faults.
 *
 * Index of this file
 *   LinkMode        fault that a link injects into its connections
 *   LoopbackProxy   forwards any number of links, on one thread
 */
#pragma once

#include <base/clock.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace QuetzalRock::Soak {

enum class LinkMode : std::uint8_t {
    Pass = 0,        ///< forwards without a fault
    Delay = 1,       ///< forwards each chunk after a delay
    Reset = 2,       ///< resets open and new connections
    DropReplies = 3, ///< discards what the target sends; a connection that was open in this mode stays affected
    DropAll = 4,     ///< discards everything; a connection that was open in this mode stays affected
};

class LoopbackProxy
{
public:
    explicit LoopbackProxy(Clock &clock);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    /** Adds a link to @p targetPort on loopback and returns its index. Allowed before and after start(). */
    std::size_t addLink(std::uint16_t targetPort);
    std::uint16_t port(std::size_t link) const; ///< where the proxy listens for the link

    void setMode(std::size_t link, LinkMode mode, Duration delay = {}); ///< @p delay: only for Delay
    void start();

private:
    /** One direction of a connection. */
    struct Flow
    {
        struct Chunk
        {
            TimePoint sendAt;
            std::string bytes;
        };
        std::deque<Chunk> chunks; ///< read from the sender, not yet forwarded
        bool isClosed = false;    ///< the sender has closed its side
        bool isDiscarded = false; ///< data that the sender sends is discarded
    };
    struct Connection
    {
        int caller = -1;
        int target = -1;
        Flow toTarget;         ///< from caller to target
        Flow toCaller;         ///< from target to caller
        bool isBroken = false; ///< failed, or to be reset
    };
    struct Link
    {
        int listener = -1;
        std::uint16_t port = 0;
        std::uint16_t targetPort = 0;
        LinkMode mode = LinkMode::Pass;
        Duration delay{};
        std::vector<std::unique_ptr<Connection>> connections;
    };

    void run();
    void processLink(Link &link, TimePoint now);
    void accept(Link &link);
    void applyMode(Link &link);
    void forward(Link &link, int from, int to, Flow &flow, TimePoint now, bool &isBroken);
    static void close(Connection &connection, bool withReset);

    Clock &m_clock;
    mutable std::mutex m_mutex; ///< guards m_links
    std::vector<std::unique_ptr<Link>> m_links;
    std::atomic<bool> m_isStopping = false;
    std::condition_variable m_wake; ///< interrupts the thread's wait
    std::thread m_thread;
};

} // namespace QuetzalRock::Soak
