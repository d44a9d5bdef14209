// Preloaded into a router of the soak: moves its time of day by the seconds in the file that
// SOAK_CLOCK names, read again every 50 calls. The steady clock stays.
#include <dlfcn.h>
#include <time.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace {

long shiftSeconds()
{
    static std::atomic<unsigned> calls{0};
    static std::atomic<long> shift{0};
    constexpr unsigned callsPerRead = 50;
    if (calls++ % callsPerRead != 0)
        return shift;
    const char *path = std::getenv("SOAK_CLOCK");
    std::FILE *file = path ? std::fopen(path, "r") : nullptr;
    long seconds = 0;
    if (file && std::fscanf(file, "%ld", &seconds) == 1)
        shift = seconds;
    if (file)
        std::fclose(file);
    return shift;
}

} // namespace

extern "C" int clock_gettime(clockid_t clock, struct timespec *time)
{
    using Function = int (*)(clockid_t, struct timespec *);
    static const auto real = reinterpret_cast<Function>(::dlsym(RTLD_NEXT, "clock_gettime"));
    const int result = real(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME)
        time->tv_sec += shiftSeconds();
    return result;
}
