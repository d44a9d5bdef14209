# ./run capacity [SEED [ROUTERS...]]: reprints the measured tables of docs/CAPACITY.md.
set -eu
. tools/run/libsetup.sh
installPackages
configureAndBuild build "" bench_fleet
exec build/benchmark/bench_fleet "$@"
