/**
 * A node that runs as a process of its own: its settings file, its start, signals and exit status. Signals go only to
 * processes that this class has started.
 *
 * Index of this file
 *   NodeFiles     program and working folder
 *   NodeProcess   one node; its process can be started again after it has exited
 */
#pragma once

#include <base/clock.h>

#include <cstdint>
#include <optional>
#include <string>

#include <sys/types.h>

namespace QuetzalRock::Soak {

struct NodeFiles
{
    std::string program;           ///< path of quetzalrockd
    std::string folder;            ///< holds the settings files and the logs
    bool forwardsRequests = false; ///< [workflow] forward_requests
    int workersPerShard = 0;       ///< [workflow] workers_per_shard; 0: one shard
};

class NodeProcess
{
public:
    /** Chooses the node's ports and writes its settings file; @p storePort is the store's port on loopback. */
    NodeProcess(NodeFiles files, std::string name, const std::string &failureDomain, std::uint16_t storePort);
    ~NodeProcess(); ///< kills the process if it still runs
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    void start();
    void signal(int number);
    bool isRunning(); ///< also reaps the process if it has exited

    /** Returns the wait status of an exit, as given by waitpid(), once; none if the process has not exited since. */
    std::optional<int> takeExitStatus();

    const std::string &name() const;
    std::string address() const; ///< ip:port for callers

private:
    NodeFiles m_files;
    std::string m_name;
    std::uint16_t m_requestsPort;
    std::uint16_t m_readyPort;
    std::string m_settingsFile;
    pid_t m_pid = 0; ///< 0: not running
    std::optional<int> m_exitStatus;
};

} // namespace QuetzalRock::Soak
