/**
 * The commands of the operators' command line tool.
 *
 * Index of this file
 *   Console       the output streams of a command
 *   Command       name, one line of help, function
 *   commands()    all commands; help, completion and docs/CLI.md are generated from this table
 *   runCommand()  parses the arguments and runs a command; called by main()
 */
#pragma once

#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

/** The output streams of a command: results go to out, errors to err. */
struct Console
{
    std::ostream &out;
    std::ostream &err;
};

struct Command
{
    std::string_view name; ///< one or two words, such as "job create"
    std::string_view help; ///< one line
    int (*run)(const Command &command, std::vector<std::string> arguments, Console &console);
};

std::span<const Command> commands();

/** Runs the command given by @p arguments (without the program name). Returns the exit code; does not throw. */
int runCommand(std::vector<std::string> arguments, Console &console);

} // namespace QuetzalRock
