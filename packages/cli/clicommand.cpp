#include <cli/clicommand.h>

#include <base/inifile.h>

#include <cstdlib>

namespace QuetzalRock {

namespace {

std::string defaultServer()
{
    const char *server = std::getenv("QUETZALROCK_SERVER");
    return server ? server : "http://127.0.0.1:8081";
}

} // namespace

ServerArguments::ServerArguments(TCLAP::CmdLine &cmd)
    : m_server("s", "server", "URL of any entry VM's administration API", false, defaultServer(), "URL", cmd)
    , m_tokenFile("t", "token-file", "file with the token; default: QUETZALROCK_TOKEN", false, "", "FILE", cmd)
    , m_caFile("", "ca-file", "PEM file of the certificate authority, for https", false, "", "FILE", cmd)
    , m_json("j", "json", "print JSON instead of a table", cmd)
{
}

ApiClient ServerArguments::client()
{
    ServerAddress address;
    address.url = m_server.getValue();
    address.caFile = m_caFile.getValue();
    address.host = m_host;
    if (!m_tokenFile.getValue().empty()) {
        address.token = readTextFile(m_tokenFile.getValue());
        address.token.erase(address.token.find_last_not_of(" \r\n") + 1);
    } else if (const char *token = std::getenv("QUETZALROCK_TOKEN")) {
        address.token = token;
    }
    return ApiClient(std::move(address));
}

void ServerArguments::setHost(std::string host)
{
    m_host = std::move(host);
}

bool ServerArguments::json() const
{
    return m_json.getValue();
}

CommandLine::CommandLine(const Command &command)
    : m_cmd(std::string(command.help), ' ', QUETZALROCK_VERSION)
    , m_name("quetzalrock " + std::string(command.name))
{
    m_cmd.setExceptionHandling(false);
}

void CommandLine::parse(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), m_name);
    m_cmd.parse(arguments);
}

TCLAP::CmdLine &CommandLine::operator*()
{
    return m_cmd;
}

} // namespace QuetzalRock
