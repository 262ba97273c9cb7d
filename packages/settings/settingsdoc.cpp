/** Prints docs/SETTINGS.md. */
#include <settings/settings.h>

#include <cstdio>

int main()
{
    std::fputs(QuetzalRock::settingsPage().c_str(), stdout);
    return 0;
}
