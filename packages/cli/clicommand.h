/** Shared by the implementations of the commands: options that select the server, and the command line parser. */
#pragma once

#include <cli/apiclient.h>
#include <cli/commands.h>

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

namespace QuetzalRock {

constexpr int Ok = static_cast<int>(ExitCode::Done);

/** The options of every command that calls a server. */
class ServerArguments
{
public:
    explicit ServerArguments(TCLAP::CmdLine &cmd);

    ApiClient client();
    bool json() const;
    void setHost(std::string host); ///< see ServerAddress::host

private:
    TCLAP::ValueArg<std::string> m_server;
    TCLAP::ValueArg<std::string> m_tokenFile;
    TCLAP::ValueArg<std::string> m_caFile;
    TCLAP::SwitchArg m_json;
    std::string m_host;
};

/** A TCLAP command line that throws on errors and --help instead of exiting the process. */
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
