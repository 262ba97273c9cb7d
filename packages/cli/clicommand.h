/** What the files of commands share: arguments that name the server, and a TCLAP command line that throws. */
#pragma once

#include <cli/apiclient.h>
#include <cli/commands.h>

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

namespace QuetzalRock {

constexpr int Ok = static_cast<int>(ExitCode::Done);

/** The arguments that every command which calls a server takes. */
class ServerArguments
{
public:
    explicit ServerArguments(TCLAP::CmdLine &cmd);

    ApiClient client();
    bool json() const;

private:
    TCLAP::ValueArg<std::string> m_server;
    TCLAP::ValueArg<std::string> m_tokenFile;
    TCLAP::ValueArg<std::string> m_caFile;
    TCLAP::SwitchArg m_json;
};

/** A TCLAP command line that throws instead of ending the process. */
class CommandLine
{
public:
    explicit CommandLine(const Command &command);

    void parse(std::vector<std::string> arguments);
    TCLAP::CmdLine &operator*();

private:
    TCLAP::CmdLine m_cmd;
    std::string m_name;
};

} // namespace QuetzalRock
