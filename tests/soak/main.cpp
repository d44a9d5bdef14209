// platformsoak FOLDER SECONDS SEED...: one run for each seed; ends with "N passed, N failed".
#include <sys/stat.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "soak.h"

int main(int argc, char **argv)
{
    if (argc < 4) {
        std::cerr << "usage: platformsoak FOLDER SECONDS SEED...\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    int failed = 0;
    for (int index = 3; index < argc; ++index) {
        comfrey::soak::SoakSettings settings;
        settings.seed = std::strtoull(argv[index], nullptr, 10);
        settings.length = comfrey::milliseconds(1000 * std::strtoll(argv[2], nullptr, 10));
        settings.folder = std::string(argv[1]) + "/" + argv[index];
        ::mkdir(argv[1], 0755);
        ::mkdir(settings.folder.c_str(), 0755);
        comfrey::soak::Soak soak(settings);
        const auto broken = soak.run();
        std::cout << "seed " << settings.seed << ": " << soak.summary()
                  << std::endl; // A run takes a while.
        for (const std::string &line : broken)
            std::cout << "  BROKEN " << line << '\n';
        failed += broken.empty() ? 0 : 1;
    }
    std::cout << argc - 3 - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
