// Prints docs/CONFIGURATION.md.
#include <iostream>

#include "settings/settingspage.h"

int main()
{
    std::cout << comfrey::settingsPage();
    return 0;
}
