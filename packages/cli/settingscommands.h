/** The commands that read and change the operators' settings tree. */
#pragma once

#include <cli/commands.h>

namespace QuetzalRock {

int explainSettings(const Command &command, std::vector<std::string> arguments, Console &console);
int setSetting(const Command &command, std::vector<std::string> arguments, Console &console);
int unsetSetting(const Command &command, std::vector<std::string> arguments, Console &console);
int exportSettings(const Command &command, std::vector<std::string> arguments, Console &console);
int importSettings(const Command &command, std::vector<std::string> arguments, Console &console);
int diffSettings(const Command &command, std::vector<std::string> arguments, Console &console);
int validateSettings(const Command &command, std::vector<std::string> arguments, Console &console);
int showSettingsHistory(const Command &command, std::vector<std::string> arguments, Console &console);
int showSettingsInForce(const Command &command, std::vector<std::string> arguments, Console &console);

} // namespace QuetzalRock
