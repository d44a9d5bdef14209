# daemonfleet.sh FOLDER PORTS BUILD MAX_BODY MEMORY_MB: the stand-in platform, one service and one
# comfreyd, whose id goes to FOLDER/pid once it serves. Ends with its standard input.
set -eu
FLEET_DIR=$1
FLEET_PORTS=$2
fleetBin=$3
. tools/run/libfleet.sh
# A program without the setting is started without it and has to stay under the memory all the same.
memory=
if grep -q '`memory_mb`' docs/CONFIGURATION.md; then memory="memory_mb = $5"; fi
startPlatform
startService 0 z0 dispatch
cat >"$fleetDir/r0.toml" <<TOML
[router]
id = "r0"
zone = "z0"
caller_address = "127.0.0.1:$(callerPort 0)"
operator_address = "127.0.0.1:$(operatorPort 0)"
peer_address = "127.0.0.1:$(peerPort 0)"
max_body_bytes = $4
$memory

[platform]
address = "$platform"
TOML
startProcess r0 "$fleetBin/tools/comfreyd/comfreyd" --config "$fleetDir/r0.toml"
putInstance r0 "{\"id\":\"r0\",\"kind\":\"router\",\"state\":\"live\",\"zone\":\"z0\",
    \"address\":\"127.0.0.1:$(peerPort 0)\",\"operator_address\":\"127.0.0.1:$(operatorPort 0)\"}"
fleetRouters+=(0)
waitForRouters 20
{ cat examples/lists.toml; echo "body_bytes = $4"; } >"$fleetDir/lists.toml"
ctl publish "$fleetDir/lists.toml" --wait
echo "${fleetPids[r0]}" >"$fleetDir/pid.new"
mv "$fleetDir/pid.new" "$fleetDir/pid"
cat >/dev/null
