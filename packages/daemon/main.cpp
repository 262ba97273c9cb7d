#include <daemon/daemon.h>
#include <fleetnode.h>

#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <csignal>
#include <iostream>

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2; ///< wrong command line or invalid settings

using namespace QuetzalRock;

struct Arguments
{
    std::string config;
    bool check = false;
    bool print = false;
};

Arguments parseArguments(int argc, char **argv)
{
    TCLAP::CmdLine cmd("The quetzalrock daemon of one entry VM: routes requests and schedules work on the workers of "
                       "its failure domain. "
                       "Exit codes: 0 drained or settings valid, 1 failed, 2 wrong command line or invalid settings.",
                       ' ',
                       QUETZALROCK_VERSION);
    TCLAP::ValueArg<std::string> config(
        "c", "config", "INI file with the settings of this process", true, "", "FILE", cmd);
    TCLAP::SwitchArg check("", "check", "check the settings and exit", cmd);
    TCLAP::SwitchArg print("", "print-settings", "print the effective settings and exit", cmd);
    cmd.setExceptionHandling(false);
    cmd.parse(argc, argv);
    return {config.getValue(), check.getValue(), print.getValue()};
}

/**
 * Blocks the termination signals, so that only sigwait() receives them. Call it before any thread starts: threads inherit
 * the signal mask.
 */
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int runDaemon(const DaemonSettings &settings)
{
    const sigset_t signals = blockSignals();
    SystemClock clock;
    Daemon daemon(settings, clock);
    daemon.start();
    LOG(INFO) << settings.process.name << " serves callers on port " << daemon.requestPort()
              << " and administration on port " << daemon.adminPort();
    int signal = 0;
    sigwait(&signals, &signal);
    LOG(INFO) << "draining on signal " << signal;
    const bool isClean = daemon.drain();
    LOG(INFO) << (isClean ? "drained" : "drain limit reached with requests in flight");
    return isClean ? ExitOk : ExitFailed;
}

bool printFaults(const std::vector<SettingFault> &faults)
{
    for (const SettingFault &it : faults) {
        std::cerr << it.toString() << "\n";
    }
    return !faults.empty();
}

/** True for [platform] kind = fleet, whose settings file has other sections (see platform/fleetsettings.h). */
bool isFleetNode(const Arguments &arguments)
{
    std::vector<SettingFault> faults;
    const IniFile file = parseIni(arguments.config, readTextFile(arguments.config), faults);
    return std::any_of(file.entries.begin(), file.entries.end(), [](const IniEntry &it) {
        return it.section == "platform" && it.key == "kind" && it.value == "fleet";
    });
}

int runFleet(const Arguments &arguments)
{
    std::vector<SettingFault> faults;
    const auto settings = Adapter::parseFleetSettings(arguments.config, readTextFile(arguments.config), faults);
    if (printFaults(faults)) {
        return ExitUsage;
    }
    if (arguments.check) {
        return ExitOk;
    }
    FLAGS_log_prefix = false; // event log lines contain a time stamp already
    blockSignals();
    return Adapter::runFleetNode(settings);
}

int runProcess(const Arguments &arguments)
{
    if (isFleetNode(arguments)) {
        return runFleet(arguments);
    }
    std::vector<SettingFault> faults;
    const DaemonSettings settings = parseDaemonSettings(arguments.config, readTextFile(arguments.config), faults);
    if (printFaults(faults)) {
        return ExitUsage;
    }
    if (arguments.print) {
        printSettings(settings, std::cout);
        return ExitOk;
    }
    if (arguments.check) {
        return ExitOk;
    }
    return runDaemon(settings);
}

} // namespace

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    try {
        return runProcess(parseArguments(argc, argv));
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "quetzalrockd: " << error.argId() << ": " << error.error() << "; see --help\n";
        return ExitUsage;
    } catch (const NotFound &error) {
        std::cerr << "quetzalrockd: " << error.what() << "\n";
        return ExitUsage;
    } catch (const std::exception &error) {
        std::cerr << "quetzalrockd: " << error.what() << "\n";
        return ExitFailed;
    }
}
