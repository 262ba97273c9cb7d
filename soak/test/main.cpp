// Plays seeds of the fault soak against the real program, one after the other, and says for each what was broken.
#include "soak.h"

#include <tclap/CmdLine.h>

#include <filesystem>
#include <iostream>

namespace {

using namespace QuetzalRock;
using namespace QuetzalRock::Soak;

int runSoak(int argc, char **argv)
{
    TCLAP::CmdLine cmd("Plays randomized faults against real nodes and checks the promises.", ' ', "dev");
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "the first seed", false, 1, "N", cmd);
    TCLAP::ValueArg<int> runs("r", "runs", "seeds to play, one after the other", false, 1, "N", cmd);
    TCLAP::ValueArg<int> nodes("n", "nodes", "processes", false, 4, "N", cmd);
    TCLAP::ValueArg<int> workers("w", "workers", "workers of the stand-in", false, 8, "N", cmd);
    TCLAP::ValueArg<int> seconds(
        "t", "seconds", "with faults; up to a minute more until all has ended", false, 12, "S", cmd);
    TCLAP::ValueArg<std::string> folder("f", "folder", "for settings and logs", false, "soak-run", "PATH", cmd);
    TCLAP::UnlabeledValueArg<std::string> program("program", "quetzalrockd", true, "", "PATH", cmd);
    cmd.parse(argc, argv);

    int failed = 0;
    for (int i = 0; i < runs.getValue(); ++i) {
        SoakSettings settings;
        settings.seed = seed.getValue() + static_cast<std::uint64_t>(i);
        settings.nodes = nodes.getValue();
        settings.workers = workers.getValue();
        settings.time = std::chrono::seconds(seconds.getValue());
        settings.files.program = program.getValue();
        settings.files.folder = folder.getValue() + "/seed-" + std::to_string(settings.seed);
        std::filesystem::remove_all(settings.files.folder);
        std::filesystem::create_directories(settings.files.folder);
        const SoakVerdict verdict = SoakRun(settings).play();
        std::cout << "seed " << settings.seed << ": " << verdict.accepted << " jobs accepted, " << verdict.refused
                  << " refused, " << verdict.starts << " starts, " << verdict.faults << " faults, "
                  << verdict.broken.size() << " promises broken" << std::endl;
        for (const std::string &it : verdict.broken) {
            std::cout << "  " << it << std::endl;
        }
        failed += verdict.broken.empty() ? 0 : 1;
        if (verdict.broken.empty()) {
            std::filesystem::remove_all(settings.files.folder); // logs are kept of failures only
        }
    }
    std::cout << runs.getValue() - failed << " seeds kept every promise, " << failed << " did not" << std::endl;
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
