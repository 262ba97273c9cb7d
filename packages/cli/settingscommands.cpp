#include <cli/settingscommands.h>

#include <admin/credentials.h>
#include <base/inifile.h>
#include <cli/clicommand.h>
#include <cli/table.h>
#include <settings/settings.h>

namespace QuetzalRock {

namespace {

using Json = nlohmann::json;

std::uint64_t currentVersion(ApiClient &client)
{
    return client.call("GET", "/v1/settings").at("version").get<std::uint64_t>();
}

int printWriteResult(const Json &answer, bool isJson, Console &console)
{
    if (isJson) {
        console.out << answer.dump() << "\n";
        return Ok;
    }
    console.out << "version " << answer.at("version") << "\n";
    Table table({"FAILURE DOMAIN", "STATE", "LOWEST VERSION", "MEMBERS"});
    for (const Json &it : answer.at("domains")) {
        table.addRow({it.at("region").get<std::string>() + "/" + it.at("failure_domain").get<std::string>(),
                      it.at("state"),
                      it.at("lowest").dump(),
                      it.at("members").dump()});
    }
    table.print(console.out);
    return Ok;
}

/** Writes one change, based on version @p base, or on the current version if @p base is negative. */
Json writeOneChange(ApiClient &client, int base, const std::string &path, const std::string &key, const Json &value)
{
    const std::uint64_t version = base >= 0 ? static_cast<std::uint64_t>(base) : currentVersion(client);
    const Json change{{"path", path}, {"key", key}, {"value", value}};
    // Each run gets a new write id. After a lost response the command can be run again: it has the same result whether or not
    // the first run was applied.
    const Json body{{"base_version", version}, {"write_id", newToken()}, {"changes", {change}}};
    return client.call("PUT", "/v1/settings", body);
}

int printFaults(const Json &faults, Console &console)
{
    for (const Json &it : faults) {
        console.err << it.at("file").get<std::string>() << ":" << it.at("line") << ": ["
                    << it.at("section").get<std::string>() << "] " << it.at("key").get<std::string>() << " = "
                    << it.at("value").get<std::string>() << ": " << it.at("message").get<std::string>() << "\n";
    }
    return faults.empty() ? Ok : static_cast<int>(ExitCode::Usage);
}

} // namespace

int explainSettings(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    TCLAP::UnlabeledValueArg<std::string> path(
        "path", "root, \"region R\", \"domain R/D\", \"service R/D/S\", \"tenant T\"", true, "", "PATH", *line);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    const Json answer = server.client().call("GET", "/v1/settings/explain?path=" + encodeUrl(path.getValue()));
    if (server.json()) {
        console.out << answer.dump() << "\n";
        return Ok;
    }
    console.out << path.getValue() << ", version " << answer.at("version") << "\n";
    Table table({"KEY", "VALUE", "FROM", "ACTS"});
    for (const Json &it : answer.at("values")) {
        table.addRow({it.at("key"), it.at("value"), it.at("from"), it.at("acts").get<bool>() ? "yes" : "not yet"});
    }
    table.print(console.out);
    return Ok;
}

int setSetting(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    TCLAP::UnlabeledValueArg<std::string> path(
        "path", "node of the settings tree, such as \"domain R/D\"", true, "", "PATH", *line);
    TCLAP::UnlabeledValueArg<std::string> key("key", "setting, see docs/SETTINGS.md", true, "", "KEY", *line);
    TCLAP::UnlabeledValueArg<std::string> value("value", "value with its unit", true, "", "VALUE", *line);
    TCLAP::ValueArg<int> base("b",
                              "base",
                              "settings version on which the change is based; default: the current one",
                              false,
                              -1,
                              "VERSION",
                              *line);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    ApiClient client = server.client();
    const Json answer = writeOneChange(client, base.getValue(), path.getValue(), key.getValue(), value.getValue());
    return printWriteResult(answer, server.json(), console);
}

int unsetSetting(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    TCLAP::UnlabeledValueArg<std::string> path(
        "path", "node of the settings tree, such as \"domain R/D\"", true, "", "PATH", *line);
    TCLAP::UnlabeledValueArg<std::string> key("key", "setting to remove, see docs/SETTINGS.md", true, "", "KEY", *line);
    TCLAP::ValueArg<int> base("b",
                              "base",
                              "settings version on which the change is based; default: the current one",
                              false,
                              -1,
                              "VERSION",
                              *line);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    ApiClient client = server.client();
    return printWriteResult(
        writeOneChange(client, base.getValue(), path.getValue(), key.getValue(), nullptr), server.json(), console);
}

int exportSettings(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    const Json answer = server.client().call("GET", "/v1/settings");
    console.out << (server.json() ? answer.dump() + "\n" : answer.at("ini").get<std::string>());
    return Ok;
}

int importSettings(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    TCLAP::UnlabeledValueArg<std::string> file(
        "file", "INI file that replaces the settings tree", true, "", "FILE", *line);
    TCLAP::ValueArg<int> base("b", "base", "settings version on which the file is based", true, -1, "VERSION", *line);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    const Json body{
        {"base_version", base.getValue()}, {"write_id", newToken()}, {"ini", readTextFile(file.getValue())}};
    return printWriteResult(server.client().call("PUT", "/v1/settings/import", body), server.json(), console);
}

int diffSettings(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    TCLAP::UnlabeledValueArg<std::string> file("file", "INI file to compare with", true, "", "FILE", *line);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    const std::string stored = server.client().call("GET", "/v1/settings").at("ini").get<std::string>();
    const SettingsParseResult wanted = parseIni(readTextFile(file.getValue()), file.getValue());
    for (const SettingsIssue &it : wanted.issues) {
        console.err << toString(it) << "\n";
    }
    Json changes = Json::array();
    for (const SettingsChange &it : difference(parseIni(stored, "stored").tree, wanted.tree)) {
        changes.push_back(toString(it));
    }
    if (server.json()) {
        console.out << changes.dump() << "\n";
    } else {
        for (const Json &it : changes) {
            console.out << it.get<std::string>() << "\n";
        }
    }
    return wanted.issues.empty() ? Ok : static_cast<int>(ExitCode::Usage);
}

int validateSettings(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    TCLAP::UnlabeledValueArg<std::string> file("file", "INI file to check", true, "", "FILE", *line);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    const Json body{{"ini", readTextFile(file.getValue())}};
    const Json answer = server.client().call("POST", "/v1/settings/validate", body);
    if (server.json()) {
        console.out << answer.dump() << "\n";
        return answer.at("valid").get<bool>() ? Ok : static_cast<int>(ExitCode::Usage);
    }
    return printFaults(answer.at("faults"), console);
}

int showSettingsHistory(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    const Json answer = server.client().call("GET", "/v1/settings/history");
    if (server.json()) {
        console.out << answer.dump() << "\n";
        return Ok;
    }
    Table table({"VERSION", "WHO", "CHANGE"});
    for (const Json &it : answer.at("history")) {
        for (const Json &change : it.at("changes")) {
            table.addRow({it.at("version").dump(), it.at("who"), change});
        }
    }
    table.print(console.out);
    return Ok;
}

int showSettingsInForce(const Command &command, std::vector<std::string> arguments, Console &console)
{
    CommandLine line(command);
    TCLAP::ValueArg<int> version(
        "n", "number", "settings version; default: the current one of this server", false, -1, "VERSION", *line);
    ServerArguments server(*line);
    line.parse(std::move(arguments));
    ApiClient client = server.client();
    const std::uint64_t wanted
        = version.getValue() >= 0 ? static_cast<std::uint64_t>(version.getValue()) : currentVersion(client);
    Json answer = client.call("GET", "/v1/settings/in-force?version=" + std::to_string(wanted));
    answer["version"] = wanted;
    return printWriteResult(answer, server.json(), console);
}

} // namespace QuetzalRock
