# ./run fleet: a small fleet on loopback to play with; Ctrl-C ends it.
set -eu
. tools/run/libsetup.sh
installPackages
[ -n "${fleetBin:-}" ] || configureAndBuild build "" comfreyd comfreyctl standin-platform standin-engine standin-service
. tools/run/libfleet.sh
rm -rf "$fleetDir"
startPlatform
for index in 0 1 2 3; do startEngine "$index" "z$((index % 3))" swarm-7b 8; done
for index in 0 1; do startService "$index" "z$index" dispatch; done
for index in 0 1 2; do startRouter "$index" "z$index"; done
waitForRouters 10
ctl publish examples/lists.toml --wait
echo "platform   $platform"
for index in 0 1 2; do
    echo "router r$index  callers 127.0.0.1:$(callerPort "$index")  operators 127.0.0.1:$(operatorPort "$index")"
done
echo "API key    herder-key (see examples/lists.toml); settings and logs in $fleetDir; Ctrl-C ends the fleet"
while :; do sleep 1; done
