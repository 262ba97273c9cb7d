#include "nodeprocess.h"

#include <base/errors.h>

#include <csignal>
#include <fstream>
#include <random>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace QuetzalRock::Soak {

namespace {

/** Ports below those of outgoing connections, which could take a node's port while the node is down. */
constexpr std::uint32_t FirstPort = 16'000;
constexpr std::uint32_t PortCount = 16'000;

bool isFree(std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool isBound = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
    ::close(fd);
    return isBound;
}

/** Returns a random port that is free at the moment of the call; nothing reserves it. */
std::uint16_t findFreePort()
{
    std::random_device random; // not of the run's seed: runs beside each other use different ports
    for (int attempts = 0; attempts < 100; ++attempts) {
        const auto port = static_cast<std::uint16_t>(FirstPort + random() % PortCount);
        if (isFree(port)) {
            return port;
        }
    }
    throw Unavailable("cannot find a free port on loopback");
}

} // namespace

NodeProcess::NodeProcess(NodeFiles files, std::string name, const std::string &failureDomain, std::uint16_t storePort)
    : m_files(std::move(files))
    , m_name(std::move(name))
    , m_requestsPort(findFreePort())
    , m_readyPort(findFreePort())
    , m_settingsFile(m_files.folder + "/" + m_name + ".ini")
{
    std::ofstream out(m_settingsFile);
    out << "[process]\nname = " << m_name << "\nfailure_domain = " << failureDomain << "\n"
        << "[listen]\nrequests = " << address() << "\nready = 127.0.0.1:" << m_readyPort << "\n"
        << "[platform]\nkind = fleet\nstore = 127.0.0.1:" << storePort << "\n"
        << "[workflow]\nforward_requests = " << (m_files.forwardsRequests ? "yes" : "no") << "\n";
    if (m_files.workersPerShard > 0) {
        out << "max_single_shard_workers = 0\nworkers_per_shard = " << m_files.workersPerShard << "\n";
    }
}

NodeProcess::~NodeProcess()
{
    if (isRunning()) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

void NodeProcess::start()
{
    const std::string log = m_files.folder + "/" + m_name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (const int it : {STDOUT_FILENO, STDERR_FILENO}) {
        posix_spawn_file_actions_addopen(&actions, it, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    std::string program = m_files.program;
    std::string option = "--config";
    char *arguments[] = {program.data(), option.data(), m_settingsFile.data(), nullptr};
    const int ec = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0) {
        m_pid = 0;
        throw Unavailable("cannot start " + program);
    }
}

void NodeProcess::signal(int number)
{
    if (isRunning()) {
        kill(m_pid, number);
    }
}

bool NodeProcess::isRunning()
{
    if (m_pid == 0) {
        return false;
    }
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return true;
    }
    m_pid = 0;
    m_exitStatus = status;
    return false;
}

std::optional<int> NodeProcess::takeExitStatus()
{
    isRunning();
    return std::exchange(m_exitStatus, std::nullopt);
}

const std::string &NodeProcess::name() const
{
    return m_name;
}

std::string NodeProcess::address() const
{
    return "127.0.0.1:" + std::to_string(m_requestsPort);
}

} // namespace QuetzalRock::Soak
