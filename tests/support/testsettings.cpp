// Settings of a router in a test.
#include "support/testsettings.h"

namespace comfrey::test {

Settings testSettings(const std::string &router, const std::string &zone)
{
    Settings settings;
    settings.router.id = router;
    settings.router.zone = zone;
    settings.router.peerAddress = router + ":1";
    settings.placement.policy = "bounded-affinity";
    return settings;
}

} // namespace comfrey::test
