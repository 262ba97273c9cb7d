// Runs one case: standin SCENE FOLDER. FOLDER gets record.txt; the settings and logs of the processes go to a temporary folder.
// TROUBLE=0 in the environment leaves the disruption out.
#include "scenes.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace Review {

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string stateOf(const Answer &answer)
{
    const json body = json::parse(answer.body, nullptr, false);
    return answer.status == 200 && body.is_object() ? body.value("state", "") : "";
}

} // namespace Review

int main(int argc, char **argv)
{
    using namespace Review;
    if (argc != 3) {
        std::cerr << "usage: standin SCENE FOLDER\n";
        return 2;
    }
    const std::map<std::string, int (*)(Scene &)> scenes{{"lost-in-trial", &lostInTrial},
                                                         {"lost-after-restart", &lostAfterRestart},
                                                         {"fractional-advice", &fractionalAdvice},
                                                         {"pending-behind-unhealthy", &pendingBehindUnhealthy}};
    const auto scene = scenes.find(argv[1]);
    if (scene == scenes.end()) {
        std::cerr << "no such scene\n";
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    for (const int it : {SIGTERM, SIGINT, SIGHUP}) {
        signal(it, [](int) {
            killStartedProcesses();
            _exit(2);
        });
    }
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr) {
        return 2;
    }
    int status = 2;
    const char *trouble = std::getenv("TROUBLE");
    {
        Record record(std::string(argv[2]) + "/record.txt");
        const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
        record.write(std::string("case ") + argv[1] + (hasTrouble ? ", with trouble" : ", without trouble"));
        try {
            Platform platform(record, folder);
            Scene it{platform, hasTrouble};
            status = scene->second(it);
        } catch (const std::exception &error) {
            record.write(std::string("could not run: ") + error.what());
            status = 2;
        }
        record.write("exit status " + std::to_string(status));
    }
    std::cout << argv[1] << ": " << (status == 0 ? "the rule held" : status == 1 ? "the rule was broken" : "could not run")
              << std::endl;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(folder);
    } else {
        std::cout << folder << std::endl;
    }
    std::_Exit(status); // threads of open connections need not be waited for
}
