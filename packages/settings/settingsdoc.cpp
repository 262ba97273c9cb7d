/** Prints the contents of docs/SETTINGS.md to stdout. */
#include <settings/settings.h>

#include <cstdio>

int main()
{
    std::fputs(QuetzalRock::settingsReferencePage().c_str(), stdout);
    return 0;
}
