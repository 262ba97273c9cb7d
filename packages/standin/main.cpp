// quetzalrock-standin: serves the simulated platform as a separate process, so that several daemons can share it and
// outages of it can be tested. For development only; not installed.
#include <standin/platformserver.h>
#include <standin/upstream.h>

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

namespace {

using namespace QuetzalRock;

void addUpstreams(EmbeddedWorkers &workers,
                  std::vector<std::unique_ptr<StandInUpstream>> &upstreams,
                  Clock &clock,
                  ExecutionLedger &ledger,
                  const std::string &domain,
                  int count,
                  const UpstreamOptions &options)
{
    for (int n = 1; n <= count; ++n) {
        upstreams.push_back(std::make_unique<StandInUpstream>(clock, ledger, options));
        Vm vm;
        vm.name = domain + "-u" + std::to_string(n);
        vm.role = VmRole::Upstream;
        vm.failureDomain = domain;
        vm.address = upstreams.back()->address();
        workers.addVm(vm);
    }
}

int runStandIn(int argc, char **argv)
{
    TCLAP::CmdLine cmd("Serves a simulated platform: key-value service, VM list, workers and upstreams.", ' ', "dev");
    TCLAP::ValueArg<std::string> listen("l", "listen", "ip:port", false, "127.0.0.1:9000", "ADDRESS", cmd);
    TCLAP::MultiArg<std::string> domains("d", "domain", "a failure domain; may be repeated", true, "NAME", cmd);
    TCLAP::ValueArg<int> workers("w", "workers", "workers in each failure domain", false, 8, "N", cmd);
    TCLAP::ValueArg<int> upstreams("u", "upstreams", "instances in each failure domain", false, 2, "N", cmd);
    TCLAP::ValueArg<int> service("", "service-ms", "service time of a request", false, 0, "MS", cmd);
    TCLAP::ValueArg<int> lag("", "usage-lag-ms", "delay of reported usage measurements", false, 5000, "MS", cmd);
    cmd.parse(argc, argv);

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    SystemClock clock;
    ExecutionLedger ledger;
    std::vector<std::unique_ptr<StandInUpstream>> instances;
    PlatformServer server(clock, std::chrono::milliseconds(lag.getValue()), listen.getValue());
    UpstreamOptions options;
    options.serviceTime = std::chrono::milliseconds(service.getValue());
    for (const std::string &it : domains.getValue()) {
        addWorkers(server.workers(), it, workers.getValue(), {32'000, 125'000, 0});
        addUpstreams(server.workers(), instances, clock, ledger, it, upstreams.getValue(), options);
    }
    std::cout << "serving on port " << server.port() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    std::cout << "bookings " << ledger.bookings() << ", highest count of one " << ledger.highestCount() << std::endl;
    server.stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runStandIn(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "quetzalrock-standin: " << error.what() << "\n";
        return 1;
    }
}
