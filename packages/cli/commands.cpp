#include <cli/commands.h>

#include <admin/credentials.h>
#include <cli/clicommand.h>
#include <cli/settingscommands.h>
#include <cli/table.h>
#include <web/web.h>

#include <array>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace QuetzalRock {

namespace {

using Json = nlohmann::json;

std::string collectionPath(const Command &command)
{
    if (command.name.starts_with("service")) {
        return "/v1/services";
    }
    if (command.name.starts_with("watch")) {
        return "/v1/watches";
    }
    return "/v1/jobs";
}

/** Converts "TENANT/NAME" to "/v1/jobs/TENANT/NAME" (or services, watches). Throws ApiError if the slash is missing. */
std::string objectPath(const Command &command, const std::string &object)
{
    const std::size_t slash = object.find('/');
    if (slash == std::string::npos) {
        throw ApiError(ExitCode::Usage, "expected TENANT/NAME instead of " + object);
    }
    return collectionPath(command) + "/" + encodeUrl(object.substr(0, slash)) + "/"
           + encodeUrl(object.substr(slash + 1));
}

std::string formatPercent(double share)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(0) << share * 100 << "%";
    return text.str();
}

std::string formatPhaseCounts(const Json &job)
{
    std::ostringstream text;
    for (const auto &[phase, count] : job.at("task_phases").items()) {
        text << (text.tellp() > 0 ? " " : "") << phase << ":" << count;
    }
    return text.str();
}

int createWork(const Command &command, std::vector<std::string> arguments, Console &console)
{
    const bool isBatch = collectionPath(command) == "/v1/jobs";
    CommandLine line(command);
    TCLAP::UnlabeledValueArg<std::string> object("object", "tenant and name", true, "", "TENANT/NAME", *line);
    TCLAP::ValueArg<std::string> text("c", "command", "command that the worker runs", true, "", "TEXT", *line);
    TCLAP::ValueArg<std::string> cls("", "class", "workload class; default: the name", false, "", "CLASS", *line);
    TCLAP::ValueArg<int> tasks("n", "tasks", "instances or tasks, default 1", false, 1, "N", *line);
    TCLAP::ValueArg<int> cpu(
        "", "cpu-millis", "CPU for each task, in thousandths of a processor", false, 1000, "N", *line);
    TCLAP::ValueArg<int> memory("", "memory-mib", "memory for each task, in MiB", false, 256, "N", *line);
    TCLAP::ValueArg<int> accelerators("", "accelerators", "accelerators for each task", false, 0, "N", *line);
    TCLAP::ValueArg<int> priority("", "priority", "-100 to 100; higher is scheduled first", false, 0, "N", *line);
    TCLAP::SwitchArg urgent("", "urgent", "start within seconds, with preemption if necessary", *line);
    TCLAP::SwitchArg gang("", "gang", "start all tasks together or none", *line);
    TCLAP::ValueArg<int> runTime("", "run-time-s", "batch jobs: expected run time of a task", false, 0, "S", *line);
    TCLAP::ValueArg<double> target(
        "", "latency-target-ms", "services and watches: p99 latency target", false, 0, "MS", *line);
    ServerArguments server(*line);
    line.parse(std::move(arguments));

    objectPath(command, object.getValue());
    const std::size_t slash = object.getValue().find('/');
    Json body{{"tenant", object.getValue().substr(0, slash)},
              {"name", object.getValue().substr(slash + 1)},
              {"command", text.getValue()},
              {"class", cls.getValue()},
              {"tasks", tasks.getValue()},
              {"cpu_millis", cpu.getValue()},
              {"memory_mib", memory.getValue()},
              {"accelerators", accelerators.getValue()},
              {"priority", priority.getValue()},
              {"urgent", urgent.getValue()},
              {"gang", gang.getValue()}};
    if (isBatch) {
        body["run_time_s"] = runTime.getValue();
    } else {
        body["latency_target_ms"] = target.getValue();
    }
    const Json answer = server.client().call("POST", collectionPath(command), body);
    if (server.json()) {
        console.out << answer.dump() << "\n";
    } else {
        console.out << object.getValue() << " created, id " << answer.at("id") << "\n";
    }
    return Ok;
}

/** Fetches all pages of a collection: every active service, job or watch. */
Json fetchAll(ApiClient &client, const std::string &collection, const std::string &tenant)
{
    const std::string filter = tenant.empty() ? "" : "&tenant=" + encodeUrl(tenant);
    Json items = Json::array();
    std::string after = "0";
    while (!after.empty()) {
        std::string path = collection;
        path += "?after=";
        path += after;
        path += filter;
        const Json page = client.call("GET", path);
        items.insert(items.end(), page.at("items").begin(), page.at("items").end());
        after = page.contains("next_after") ? page["next_after"].dump() : "";
    }
    return items;
}

std::string joinWithSpaces(const Json &words)
{
    std::ostringstream text;
    for (const Json &it : words) {
        text << (text.tellp() > 0 ? " " : "") << it.get<std::string>();
    }
    return text.str();
}

void printWork(const Json &items, Console &console)
{
    Table table({"TENANT/NAME", "KIND", "TASKS", "WORKERS", "WAITS FOR"});
    for (const Json &it : items) {
        const Json &spec = it.at("spec");
        table.addRow({spec.at("tenant").get<std::string>() + "/" + spec.at("name").get<std::string>(),
                      spec.at("kind"),
                      formatPhaseCounts(it),
                      joinWithSpaces(it.at("workers")),
                      it.at("waits_for")});
    }
    table.print(console.out);
}

int listWork(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    TCLAP::ValueArg<std::string> tenant("", "tenant", "list this tenant only", false, "", "TENANT", *line);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    ApiClient client = server.client();
    const Json items = fetchAll(client, collectionPath(command), tenant.getValue());
    if (server.json()) {
        console.out << items.dump() << "\n";
    } else {
        printWork(items, console);
    }
    return Ok;
}

/** Converts milliseconds since 1970 to UTC, such as "2026-12-04T07:08:09Z". */
std::string formatTime(std::int64_t wallTimeMs)
{
    const std::time_t time = wallTimeMs / 1000;
    std::tm utc{};
    gmtime_r(&time, &utc);
    std::ostringstream text;
    text << std::put_time(&utc, "%Y-%m-%dT%H:%M:%SZ");
    return text.str();
}

/** How the attempt ended: its state, and its error or the loss of its VM. */
std::string formatEnd(const Json &end)
{
    const std::string error = end.at("error");
    const std::string cause = end.at("cause") == "vm_gone" ? "the VM is gone" : error;
    return end.at("state").get<std::string>() + (cause.empty() ? "" : ": " + cause);
}

/** A task that will not run again shows the worker, time and kind of its last end. */
void addTaskRow(Table &table, const Json &task)
{
    const bool isOver = task.at("phase") == "done" || task.at("phase") == "ended";
    const Json lastEnd = isOver ? task.value("last_end", Json()) : Json();
    const bool hasEnd = lastEnd.is_object();
    table.addRow({task.at("task"),
                  task.at("attempt").dump(),
                  task.at("phase"),
                  hasEnd ? lastEnd.at("worker") : task.at("worker"),
                  formatPercent(task.at("progress").get<double>()),
                  hasEnd ? formatTime(lastEnd.at("ended_at_ms")) : "",
                  hasEnd ? formatEnd(lastEnd) : task.at("reason").get<std::string>()});
}

/** Shows a job of a node of a fleet, which serves jobs on the path under which they were submitted. */
int showNodeJob(const std::string &path, ServerArguments &server, Console &console)
{
    const Json job = server.client().call("GET", path);
    if (server.json()) {
        console.out << job.dump() << "\n";
        return Ok;
    }
    console.out << path << ": " << job.at("state").get<std::string>();
    if (const std::string reason = job.value("reason", ""); !reason.empty()) {
        console.out << " (" << reason << ")";
    }
    console.out << "\n";
    return Ok;
}

int showWork(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    TCLAP::UnlabeledValueArg<std::string> object(
        "object",
        "tenant and name; on a node of a fleet, the path of the job's requests",
        true,
        "",
        "TENANT/NAME or /PREFIX/KEY",
        *line);
    TCLAP::ValueArg<std::string> host("", "host", "Host header of the job's queue", false, "", "NAME", *line);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    if (object.getValue().starts_with('/')) {
        server.setHost(host.getValue());
        return showNodeJob(object.getValue(), server, console);
    }
    const Json job = server.client().call("GET", objectPath(command, object.getValue()));
    if (server.json()) {
        console.out << job.dump() << "\n";
        return Ok;
    }
    console.out << object.getValue() << ": " << job.at("phase").get<std::string>();
    if (const std::string reason = job.at("reason"); !reason.empty()) {
        console.out << " (" << reason << ")";
    }
    console.out << "\n";
    Table table({"TASK", "ATTEMPT", "PHASE", "WORKER", "PROGRESS", "ENDED", "WHY"});
    for (const Json &it : job.at("tasks")) {
        addTaskRow(table, it);
    }
    table.print(console.out);
    return Ok;
}

int cancelWork(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    TCLAP::UnlabeledValueArg<std::string> object("object", "tenant and name", true, "", "TENANT/NAME", *line);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    const Json answer = server.client().call("DELETE", objectPath(command, object.getValue()));
    if (server.json()) {
        console.out << answer.dump() << "\n";
    } else {
        console.out << object.getValue() << " cancelled; running tasks are being stopped\n";
    }
    return Ok;
}

int showStatus(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    ApiClient client = server.client();
    Json status = client.call("GET", "/v1/status");
    Json work = Json::array();
    for (const char *collection : {"/v1/services", "/v1/jobs", "/v1/watches"}) {
        const Json items = fetchAll(client, collection, {});
        work.insert(work.end(), items.begin(), items.end());
    }
    if (server.json()) {
        status["work"] = work;
        console.out << status.dump() << "\n";
        return Ok;
    }
    Table table({"WHAT", "VALUE"});
    for (const auto &[key, value] : status.items()) {
        table.addRow({key, value.is_string() ? value.get<std::string>() : value.dump()});
    }
    table.print(console.out);
    console.out << "\n";
    printWork(work, console);
    return Ok;
}

int showWorkers(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    const Json workers = server.client().call("GET", "/v1/workers").at("workers");
    if (server.json()) {
        console.out << workers.dump() << "\n";
        return Ok;
    }
    Table table({"WORKER", "VM", "REACHABLE", "ATTEMPTS", "CPU", "MEMORY MIB", "ACCELERATORS"});
    for (const Json &it : workers) {
        const Json &reserved = it.at("reserved");
        const Json &capacity = it.at("capacity");
        const auto formatUsage
            = [&](const char *key) { return reserved.at(key).dump() + "/" + capacity.at(key).dump(); };
        table.addRow({it.at("worker"),
                      it.at("vm_state"),
                      it.at("reachable").get<bool>() ? "yes" : "no",
                      it.at("attempts").dump(),
                      formatUsage("cpu_millis"),
                      formatUsage("memory_mib"),
                      formatUsage("accelerators")});
    }
    table.print(console.out);
    return Ok;
}

int showMembers(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    const Json answer = server.client().call("GET", "/v1/members");
    if (server.json()) {
        console.out << answer.dump() << "\n";
        return Ok;
    }
    Table table({"MEMBER", "LIVE", "ADDRESS", "OWNS"});
    for (const Json &it : answer.at("members")) {
        std::ostringstream owns;
        for (const auto &[shard, epoch] : it.at("owns").items()) {
            owns << (owns.tellp() > 0 ? " " : "") << shard << "@" << epoch;
        }
        table.addRow({it.at("name"), it.at("live").get<bool>() ? "yes" : "no", it.at("address"), owns.str()});
    }
    table.print(console.out);
    return Ok;
}

int exportHistory(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    console.out << server.client().fetch("GET", "/v1/history");
    return Ok;
}

int showDebug(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    console.out << server.client().call("GET", "/v1/debug").dump(server.json() ? -1 : 2) << "\n";
    return Ok;
}

int changeOperator(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    TCLAP::UnlabeledValueArg<std::string> name("name", "name of the new operator", true, "", "NAME", *line);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    const Json answer = server.client().call("PUT", "/v1/operator", {{"name", name.getValue()}});
    console.out << (server.json() ? answer.dump() : "operator is now " + name.getValue()) << "\n";
    return Ok;
}

int makeToken(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    TCLAP::SwitchArg json("j", "json", "print JSON", *line);
    line.parse(std::move(arguments));
    const std::string token = newToken();
    const std::string hash = hashToken(token);
    if (json.getValue()) {
        console.out << Json{{"token", token}, {"hash", hash}}.dump() << "\n";
    } else {
        console.out << "token " << token << "\nhash  " << hash << "\n";
    }
    return Ok;
}

int printCompletion(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    line.parse(std::move(arguments));
    console.out << "complete -W \"";
    for (const Command &it : commands()) {
        console.out << it.name << " ";
    }
    console.out << "\" quetzalrock\n";
    return Ok;
}

int printVersion(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    TCLAP::SwitchArg json("j", "json", "print JSON", *line);
    line.parse(std::move(arguments));
    if (json.getValue()) {
        console.out << Json{{"version", QUETZALROCK_VERSION}}.dump() << "\n";
    } else {
        console.out << "quetzalrock " << QUETZALROCK_VERSION << "\n";
    }
    return Ok;
}

constexpr std::array<Command, 30> AllCommands{{
    {"service create", "Creates a service: instances that run until cancelled and have a latency target", createWork},
    {"service list", "Lists active services", listWork},
    {"service show", "Shows a service's instances, their workers and the reason for their state", showWork},
    {"service cancel", "Cancels a service", cancelWork},
    {"job create", "Creates a batch job", createWork},
    {"job list", "Lists active batch jobs", listWork},
    {"job show", "Shows a batch job's tasks, their workers and the reason for their state", showWork},
    {"job cancel", "Cancels a batch job", cancelWork},
    {"watch create", "Creates a standing watch", createWork},
    {"watch list", "Lists active standing watches", listWork},
    {"watch show", "Shows a standing watch's tasks, their workers and the reason for their state", showWork},
    {"watch cancel", "Cancels a standing watch", cancelWork},
    {"status", "Shows the scheduler of the failure domain and all active work", showStatus},
    {"workers", "Shows workers and the resources reserved on them", showWorkers},
    {"members", "Shows the members of the failure domain and the shards they own", showMembers},
    {"settings explain", "Shows the effective settings of a node, and the node that sets each", explainSettings},
    {"settings set", "Sets one value at a node of the settings tree", setSetting},
    {"settings unset", "Removes a value from a node, which then inherits it", unsetSetting},
    {"settings export", "Prints the settings tree as INI", exportSettings},
    {"settings import", "Replaces the settings tree by that of a file", importSettings},
    {"settings diff", "Shows the changes that importing a file would make", diffSettings},
    {"settings validate", "Checks a file and reports all errors; changes nothing", validateSettings},
    {"settings history", "Shows the history of settings changes", showSettingsHistory},
    {"settings in-force", "Shows the failure domains in which a settings version is in effect", showSettingsInForce},
    {"export", "Prints the job history as newline-delimited JSON", exportHistory},
    {"operator set", "Records a change of operator", changeOperator},
    {"debug", "Shows the internal state of one process", showDebug},
    {"token", "Generates a token, and its hash for [account.NAME] token_hashes", makeToken},
    {"completion", "Prints a bash completion line", printCompletion},
    {"version", "Prints the version", printVersion},
}};

void printHelp(std::ostream &out)
{
    out << "usage: quetzalrock COMMAND [OPTIONS]; quetzalrock COMMAND --help lists the options\n\n";
    Table table({"COMMAND", "WHAT IT DOES"});
    for (const Command &it : AllCommands) {
        table.addRow({std::string(it.name), std::string(it.help)});
    }
    table.print(out);
    out << "\nexit codes: 0 success, 1 failed, 2 usage error, 3 not run (safe to retry), 4 outcome unknown (retry the "
           "same "
           "command),\n"
           "5 rejected (not found, conflict, permission denied)\n";
}

/** Removes the command's words from the front of @p arguments. Returns null if they are not a command. */
const Command *extractCommand(std::vector<std::string> &arguments)
{
    for (const std::size_t words : {2U, 1U}) {
        if (arguments.size() < words) {
            continue;
        }
        const std::string name = words == 2 ? arguments[0] + " " + arguments[1] : arguments[0];
        for (const Command &it : AllCommands) {
            if (it.name == name) {
                arguments.erase(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(words));
                return &it;
            }
        }
    }
    return nullptr;
}

} // namespace

std::span<const Command> commands()
{
    return AllCommands;
}

int runCommand(std::vector<std::string> arguments, Console &console)
{
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "-h" || arguments[0] == "help") {
        printHelp(arguments.empty() ? console.err : console.out);
        return arguments.empty() ? static_cast<int>(ExitCode::Usage) : Ok;
    }
    const Command *command = extractCommand(arguments);
    if (!command) {
        console.err << "quetzalrock: unknown command " << arguments[0] << "; see quetzalrock --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
    try {
        return command->run(*command, std::move(arguments), console);
    } catch (const ApiError &error) {
        console.err << "quetzalrock: " << error.what() << "\n";
        return static_cast<int>(error.exitCode());
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException &error) {
        console.err << "quetzalrock: " << error.argId() << ": " << error.error() << "; see quetzalrock "
                    << command->name << " --help\n";
        return static_cast<int>(ExitCode::Usage);
    } catch (const std::exception &error) {
        console.err << "quetzalrock: " << error.what() << "\n";
        return static_cast<int>(ExitCode::Failed);
    }
}

} // namespace QuetzalRock
