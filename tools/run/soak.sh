# ./run soak [--minutes N] [--seed S]: a fleet under load; first each process is replaced in a planned
# way, then random ones are killed, paused and stopped. Ends with 0 only if the promises held.
set -eu
minutes=2
seed=1
while [ $# -gt 0 ]; do
    case $1 in
    --minutes) minutes=$2; shift 2 ;;
    --seed) seed=$2; shift 2 ;;
    *) echo "soak: unknown argument \"$1\"" >&2; exit 2 ;;
    esac
done
. tools/run/libsetup.sh
installPackages
[ -n "${fleetBin:-}" ] || configureAndBuild build "" comfreyd comfreyctl standin-platform standin-engine standin-service comfrey-load
. tools/run/libfleet.sh
rm -rf "$fleetDir"
routers=3
engines=4
services=3
model=swarm-7b
RANDOM=$seed
problems=0

broken() {
    echo "  BROKEN  $*"
    problems=$((problems + 1))
}

# startLoad NAME SECONDS
startLoad() {
    local name=$1 index arguments=()
    sed "s/^seconds = .*/seconds = $2/" workloads/soak.toml >"$fleetDir/$name.toml"
    for ((index = 0; index < routers; ++index)); do arguments+=(--router "127.0.0.1:$(callerPort "$index")"); done
    for ((index = 0; index < services; ++index)); do arguments+=(--service "127.0.0.1:$((fleetPorts + 400 + index))"); done
    "$fleetBin/tools/comfrey-load/comfrey-load" "$fleetDir/$name.toml" --seed "$seed" \
        --json "$fleetDir/$name.json" "${arguments[@]}" >"$fleetDir/$name.out" 2>"$fleetDir/$name.log" &
    loadPid=$!
}

# judge NAME: the promises that hold under every fault.
judge() {
    local report=$fleetDir/$1.json key
    [ -s "$report" ] || { broken "$1: comfrey-load wrote no report"; return; }
    echo "$1: chats $(jq -c .chats.ends "$report") codes $(jq -c .chats.refused_by_code "$report")"
    echo "$1: service calls $(jq -c .services "$report")"
    for key in .chats.ends.foreign .chats.ends.wrong .chats.ends.short .services.run_twice .services.false_not_run; do
        [ "$(jq -r "$key // 0" "$report")" = 0 ] || broken "$1: $key is $(jq -r "$key" "$report")"
    done
}

running() { curl -sf "http://127.0.0.1:$((fleetPorts + 300 + $1))/load" | jq -r '.running + .waiting'; }
engineIdle() { [ "$(running "$1")" = 0 ]; }

replaceRouter() {
    local code=0
    curl -s "http://127.0.0.1:$(operatorPort "$1")/debug/dump" >"$fleetDir/r$1.before-stop.json" || true
    kill -TERM "${fleetPids[r$1]}"
    (sleep 20; curl -s -m 2 "http://127.0.0.1:$(operatorPort "$1")/debug/dump" >"$fleetDir/r$1.late-stop.json") &
    killProcess "r$1" TERM || code=$?
    [ "$code" = 0 ] || broken "router r$1 ended with code $code after SIGTERM"
    startRouter "$1" "z$1"
    waitUntil 20 routerReady "$1" || broken "router r$1 is not ready after its replacement"
}

replaceEngine() {
    local address="127.0.0.1:$((fleetPorts + 300 + $1))"
    curl -sf "http://$platform/instances" | jq -c ".instances[] | select(.id == \"e$1\") | .state = \"leaving\"" \
        >"$fleetDir/leaving.json"
    putInstance "e$1" "$(cat "$fleetDir/leaving.json")"
    sleep 3
    waitUntil 30 engineIdle "$1" || broken "engine e$1 still has work 33 s after it began to leave"
    setFaults "$address" '{"leaving":true}'
    killProcess "e$1" TERM || true
    startEngine "$1" "z$(($1 % 3))" "$model" 8
}

startPlatform
for ((index = 0; index < engines; ++index)); do startEngine "$index" "z$((index % 3))" "$model" 8; done
for ((index = 0; index < services; ++index)); do startService "$index" "z$index" dispatch; done
for ((index = 0; index < routers; ++index)); do startRouter "$index" "z$index"; done
waitForRouters 10
"$fleetBin/tools/comfrey-load/comfrey-load" workloads/soak.toml --print-lists >"$fleetDir/lists.toml"
ctl publish "$fleetDir/lists.toml" --wait

echo "planned: every router and every engine is replaced once"
startLoad planned 40
sleep 2
for ((index = 0; index < routers; ++index)); do replaceRouter "$index"; done
for ((index = 0; index < engines; ++index)); do replaceEngine "$index"; done
wait "$loadPid" || true
judge planned
cut=$(jq -r '(.chats.ends.broken // 0) + (.chats.ends.failed // 0) + (.services.ends.broken // 0) + (.services.ends.unknown // 0)' "$fleetDir/planned.json")
[ "$cut" = 0 ] || broken "planned: $cut requests were cut"

echo "random: kill, pause and stop for $minutes min, seed $seed"
startLoad random "$((minutes * 60))"
end=$((SECONDS + minutes * 60))
while [ $SECONDS -lt $end ]; do
    sleep "$((RANDOM % 3 + 1))"
    index=$((RANDOM % routers))
    case $((RANDOM % 6)) in
    0) killProcess "r$index" KILL || true; sleep 1; startRouter "$index" "z$index" ;;
    1) killProcess "r$index" STOP; sleep "$((RANDOM % 6 + 1))"; killProcess "r$index" CONT ;;
    2) replaceRouter "$index" ;;
    3) index=$((RANDOM % engines)); killProcess "e$index" KILL || true; sleep 1; startEngine "$index" "z$((index % 3))" "$model" 8 ;;
    4) index=$((RANDOM % engines)); killProcess "e$index" STOP; sleep "$((RANDOM % 4 + 1))"; killProcess "e$index" CONT ;;
    5) setFaults "$platform" '{"log_down":true}'; sleep "$((RANDOM % 4 + 1))"; setFaults "$platform" '{"log_down":false}' ;;
    esac
done
wait "$loadPid" || true
judge random
[ "$problems" -eq 0 ] && echo "every promise held"
[ "$problems" -eq 0 ]
