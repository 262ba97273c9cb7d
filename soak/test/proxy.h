/**
 * A TCP proxy on loopback that spoils connections on purpose.
 *
 * Index of this file
 *   LinkMode        what happens to a link's connections
 *   LoopbackProxy   any number of links, on one thread
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
    Pass = 0,
    Delay = 1,  ///< each piece is passed on later
    Reset = 2,  ///< open connections are reset, new ones as well
    OneWay = 3, ///< what the target answers is lost, for good on connections that are open meanwhile
    Silent = 4, ///< nothing passes, for good on connections that are open meanwhile
};

class LoopbackProxy
{
public:
    explicit LoopbackProxy(Clock &clock);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    /** A new link to @p targetPort on loopback; returns its number. Before or after start(). */
    std::size_t addLink(std::uint16_t targetPort);
    std::uint16_t port(std::size_t link) const;

    void setMode(std::size_t link, LinkMode mode, Duration delay = {});
    void start();

private:
    /** One direction of a connection. */
    struct Flow
    {
        struct Piece
        {
            TimePoint at;
            std::string bytes;
        };
        std::deque<Piece> pieces; ///< read, and not yet passed on
        bool isEnded = false;     ///< the sender has closed
        bool isLost = false;      ///< whatever comes is dropped
    };
    struct Connection
    {
        int caller = -1;
        int target = -1;
        Flow up;   ///< caller to target
        Flow down; ///< target to caller
        bool isBroken = false;
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
    void serve(Link &link, TimePoint now);
    void accept(Link &link);
    void spoil(Link &link);
    void pump(Link &link, int from, int to, Flow &flow, TimePoint now, bool &isBroken);
    static void close(Connection &connection, bool withReset);

    Clock &m_clock;
    mutable std::mutex m_mutex; ///< guards the links
    std::vector<std::unique_ptr<Link>> m_links;
    std::atomic<bool> m_isStopping = false;
    std::condition_variable m_wake; ///< ends the thread's wait
    std::thread m_thread;
};

} // namespace QuetzalRock::Soak
