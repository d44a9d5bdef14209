# Sourced by the commands that start a fleet on loopback. Every process is started here by name and
# ended by its id; nothing outlives the script.
fleetBin=${fleetBin:-build}
fleetPorts=${FLEET_PORTS:-21000}
fleetDir=${FLEET_DIR:-out/fleet}
platform=127.0.0.1:$fleetPorts
declare -A fleetPids
declare -a fleetRouters=()

callerPort() { echo $((fleetPorts + 100 + 3 * $1)); }
operatorPort() { echo $((fleetPorts + 101 + 3 * $1)); }
peerPort() { echo $((fleetPorts + 102 + 3 * $1)); }
callerUrl() { echo "http://127.0.0.1:$(callerPort "$1")"; }

# startProcess NAME COMMAND...
startProcess() {
    local name=$1
    shift
    "$@" >>"$fleetDir/$name.out" 2>>"$fleetDir/$name.log" &
    fleetPids[$name]=$!
}

# waitUntil SECONDS COMMAND...: tries until it succeeds.
waitUntil() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -ge $end ] && return 1
        sleep 0.05
    done
}

putJson() { curl -sf -X PUT -H 'Content-Type: application/json' -d "$2" "http://$1" >/dev/null; }

# putInstance ID JSON
putInstance() { putJson "$platform/instances/$1" "$2"; }

setFaults() { putJson "$1/faults" "$2"; }

startPlatform() {
    mkdir -p "$fleetDir"
    startProcess platform "$fleetBin/tools/standin-platform/standin-platform" --listen "$platform" "$@"
    waitUntil 10 curl -sf "http://$platform/instances"
}

# startEngine INDEX ZONE MODEL SLOTS [ARGUMENTS...]
startEngine() {
    local index=$1 zone=$2 model=$3 slots=$4 address="127.0.0.1:$((fleetPorts + 300 + $1))"
    shift 4
    startProcess "e$index" "$fleetBin/tools/standin-engine/standin-engine" --listen "$address" \
        --model "$model" --slots "$slots" "$@"
    waitUntil 10 curl -sf "http://$address/load"
    putInstance "e$index" "{\"id\":\"e$index\",\"kind\":\"engine\",\"state\":\"live\",\"zone\":\"$zone\",
        \"address\":\"$address\",\"models\":[\"$model\"],\"slots\":$slots,\"checks_fencing\":true}"
}

# startService INDEX ZONE NAME [ARGUMENTS...]
startService() {
    local index=$1 zone=$2 name=$3 address="127.0.0.1:$((fleetPorts + 400 + $1))"
    shift 3
    startProcess "s$index" "$fleetBin/tools/standin-service/standin-service" --listen "$address" "$@"
    waitUntil 10 curl -sf "http://$address/counts"
    putInstance "s$index" "{\"id\":\"s$index\",\"kind\":\"service\",\"state\":\"live\",\"zone\":\"$zone\",
        \"address\":\"$address\",\"service\":\"$name\",\"slots\":64}"
}

# startRouter INDEX ZONE [EXTRA TOML]
startRouter() {
    local index=$1 zone=$2 extra=${3:-} file="$fleetDir/r$1.toml"
    cat >"$file" <<TOML
[router]
id = "r$index"
zone = "$zone"
caller_address = "127.0.0.1:$(callerPort "$index")"
operator_address = "127.0.0.1:$(operatorPort "$index")"
peer_address = "127.0.0.1:$(peerPort "$index")"

[platform]
address = "$platform"

$extra
TOML
    startProcess "r$index" "$fleetBin/tools/comfreyd/comfreyd" --config "$file"
    putInstance "r$index" "{\"id\":\"r$index\",\"kind\":\"router\",\"state\":\"live\",\"zone\":\"$zone\",
        \"address\":\"127.0.0.1:$(peerPort "$index")\",
        \"operator_address\":\"127.0.0.1:$(operatorPort "$index")\"}"
    fleetRouters+=("$index")
}

routerReady() { curl -sf "http://127.0.0.1:$(operatorPort "$1")/readyz"; }

# waitForRouters SECONDS: until every router that was started is ready.
waitForRouters() {
    local index
    for index in "${fleetRouters[@]}"; do
        waitUntil "$1" routerReady "$index" || { echo "router r$index is not ready" >&2; return 1; }
    done
}

# killProcess NAME [SIGNAL]: sends the signal; waits for the end unless it only pauses or wakes.
killProcess() {
    local name=$1 signal=${2:-KILL} pid=${fleetPids[$1]:-}
    [ -n "$pid" ] || return 0
    kill -"$signal" "$pid" 2>/dev/null
    case $signal in STOP | CONT) return 0 ;; esac
    wait "$pid" 2>/dev/null
    local code=$?
    unset "fleetPids[$name]"
    return $code
}

stopFleet() {
    local name pids=()
    set +e
    exec 2>/dev/null # the shell's notes about ended jobs
    for name in "${!fleetPids[@]}"; do
        kill -CONT "${fleetPids[$name]}" 2>/dev/null
        kill -KILL "${fleetPids[$name]}" 2>/dev/null
        pids+=("${fleetPids[$name]}")
    done
    [ ${#pids[@]} -gt 0 ] && wait "${pids[@]}" || true
    fleetPids=()
}
trap stopFleet EXIT
trap 'exit 130' INT TERM

ctl() { "$fleetBin/tools/comfreyctl/comfreyctl" --platform "$platform" "$@"; }
