# ./run platformsoak SECONDS SEED...: routers as processes under faults from outside (docs/SOAK.md).
set -eu
. tools/run/libsetup.sh
installPackages
configureAndBuild build "" platformsoak
exec build/tests/soak/platformsoak out/soak "$@"
