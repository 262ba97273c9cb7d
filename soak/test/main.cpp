// Runs the fault soak with consecutive seeds against quetzalrockd and prints the violated guarantees of each seed.
#include "soak.h"

#include <tclap/CmdLine.h>

#include <filesystem>
#include <iostream>

namespace {

using namespace QuetzalRock;
using namespace QuetzalRock::Soak;

int runSoak(int argc, char **argv)
{
    TCLAP::CmdLine cmd("Injects randomized faults into real nodes and checks the scheduler's guarantees.", ' ', "dev");
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "first seed", false, 1, "N", cmd);
    TCLAP::ValueArg<int> runs("r", "runs", "number of consecutive seeds to run", false, 1, "N", cmd);
    TCLAP::ValueArg<int> nodes("n", "nodes", "number of node processes", false, 4, "N", cmd);
    TCLAP::ValueArg<int> workers("w", "workers", "number of workers", false, 8, "N", cmd);
    TCLAP::ValueArg<int> seconds(
        "t", "seconds", "duration of fault injection; up to 60 s more until all jobs end", false, 12, "S", cmd);
    TCLAP::ValueArg<std::string> folder(
        "f", "folder", "folder for settings files and logs", false, "soak-run", "PATH", cmd);
    TCLAP::ValueArg<int> shards(
        "", "shards", "number of shards, of two or three failure domains; 0: one shard", false, 0, "N", cmd);
    TCLAP::SwitchArg forward("", "forward", "nodes forward requests that they cannot decide", cmd);
    TCLAP::UnlabeledValueArg<std::string> program("program", "path of quetzalrockd", true, "", "PATH", cmd);
    cmd.parse(argc, argv);

    int failed = 0;
    for (int i = 0; i < runs.getValue(); ++i) {
        SoakSettings settings;
        settings.seed = seed.getValue() + static_cast<std::uint64_t>(i);
        settings.nodes = nodes.getValue();
        settings.workers = workers.getValue();
        settings.shards = shards.getValue();
        settings.faultTime = std::chrono::seconds(seconds.getValue());
        settings.files.forwardsRequests = forward.getValue();
        settings.files.program = program.getValue();
        settings.files.folder = folder.getValue() + "/seed-" + std::to_string(settings.seed);
        std::filesystem::remove_all(settings.files.folder);
        std::filesystem::create_directories(settings.files.folder);
        const SoakResult result = SoakRun(settings).run();
        std::cout << "seed " << settings.seed << ": " << result.accepted << " jobs accepted, " << result.refused
                  << " refused, " << result.starts << " starts, " << result.faults << " faults, "
                  << result.violations.size() << " violations";
        if (settings.shards > 0) {
            std::cout << ", " << result.shards << " shards, " << result.domainFaults << " faults of failure domains, "
                      << result.allKilled << " times all nodes killed, " << result.jobsMoved << " jobs moved, "
                      << result.tasksGiven << " tasks given, " << result.tasksTaken << " taken";
        }
        std::cout << std::endl;
        for (const std::string &it : result.violations) {
            std::cout << "  " << it << std::endl;
        }
        failed += result.violations.empty() ? 0 : 1;
        if (result.violations.empty()) {
            std::filesystem::remove_all(settings.files.folder); // keeps the logs of failed runs only
        }
    }
    std::cout << runs.getValue() - failed << " seeds without violations, " << failed << " with violations" << std::endl;
    return failed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runSoak(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "quetzalrock-soak: " << error.what() << "\n";
        return 2;
    }
}
