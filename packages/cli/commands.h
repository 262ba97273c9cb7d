/**
 * The operators' commands.
 *
 * Index of this file
 *   Command       name, one line of help, function
 *   commands()    all of them; help, completion and docs/CLI.md come from this table
 *   runCommand()  what main() calls
 */
#pragma once

#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

/** Where a command writes: results to out, everything else to err. */
struct Console
{
    std::ostream &out;
    std::ostream &err;
};

struct Command
{
    std::string_view name; ///< two words for some: "job create"
    std::string_view help; ///< one line
    int (*run)(const Command &command, std::vector<std::string> arguments, Console &console);
};

std::span<const Command> commands();

/** Runs the command that @p arguments (without the program's name) call. Returns the exit code; throws nothing. */
int runCommand(std::vector<std::string> arguments, Console &console);

} // namespace QuetzalRock
