/** One real node: its settings file, its process, and the signals that it gets. Ends only what it has started. */
#pragma once

#include <base/clock.h>

#include <cstdint>
#include <optional>
#include <string>

#include <sys/types.h>

namespace QuetzalRock::Soak {

struct NodeFiles
{
    std::string program; ///< quetzalrockd
    std::string folder;  ///< for the settings and the log
};

class NodeProcess
{
public:
    NodeProcess(NodeFiles files, std::string name, std::uint16_t storePort);
    ~NodeProcess();
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    void start();
    void signal(int number);
    bool isRunning(); ///< takes in an end, if there was one

    /** The last end that takeEnd() has not reported: its status as waitpid() gives it. */
    std::optional<int> takeEnd();

    const std::string &name() const;
    std::string address() const; ///< for callers

private:
    NodeFiles m_files;
    std::string m_name;
    std::uint16_t m_requestsPort;
    std::uint16_t m_readyPort;
    std::string m_settingsFile;
    pid_t m_pid = 0; ///< 0: none
    std::optional<int> m_end;
};

} // namespace QuetzalRock::Soak
