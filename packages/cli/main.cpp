#include <cli/commands.h>

#include <iostream>

int main(int argc, char **argv)
{
    QuetzalRock::Console console{std::cout, std::cerr};
    return QuetzalRock::runCommand({argv + 1, argv + argc}, console);
}
