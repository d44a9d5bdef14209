# ./run demo: builds, starts a small fleet on loopback, sends chats and dispatches, publishes a
# change, kills an engine and a router on the way, and prints a report. Ends with 0 only if the
# promises held.
set -eu
. tools/run/libsetup.sh
installPackages
[ -n "${fleetBin:-}" ] || configureAndBuild build "" comfreyd comfreyctl standin-platform standin-engine standin-service comfrey-load
. tools/run/libfleet.sh
workload=workloads/demo.toml
report=$fleetDir/report.json
rm -rf "$fleetDir"

load() { "$fleetBin/tools/comfrey-load/comfrey-load" "$@"; }
now() { date +%s%3N; }

startPlatform
for index in 0 1 2 3; do startEngine "$index" "z$((index % 3))" swarm-7b 8; done
for index in 0 1; do startService "$index" "z$index" dispatch; done
for index in 0 1 2; do startRouter "$index" "z$index"; done
waitForRouters 10
load "$workload" --print-lists >"$fleetDir/lists.toml"
ctl publish "$fleetDir/lists.toml" --wait

echo "sending chats and dispatches for 15 s"
load "$workload" --seed 1 --json "$report" \
    --router "127.0.0.1:$(callerPort 0)" --router "127.0.0.1:$(callerPort 1)" --router "127.0.0.1:$(callerPort 2)" \
    --service "127.0.0.1:$((fleetPorts + 400))" --service "127.0.0.1:$((fleetPorts + 401))" \
    >"$fleetDir/load.out" 2>"$fleetDir/load.log" &
loadPid=$!

sleep 3
echo "publishing a change of one customer's share"
sed 's/^share = 3/share = 5/' "$fleetDir/lists.toml" >"$fleetDir/changed.toml"
begin=$(now)
ctl publish "$fleetDir/changed.toml" --wait | tee "$fleetDir/change.out"
inForce=$(($(now) - begin))
sleep 1
echo "killing engine e1; the platform's list tells of it 2 s later"
killProcess e1 KILL || true
sleep 2
curl -sf -X DELETE "http://$platform/instances/e1" >/dev/null
echo "killing router r1; the platform's list tells of it 2 s later"
killProcess r1 KILL || true
sleep 2
curl -sf -X DELETE "http://$platform/instances/r1" >/dev/null
wait "$loadPid" || echo "comfrey-load ended with $?"

revisions=$(ctl status --json | jq -c '[.. | objects | select(has("revision")) | .revision] | unique')
problems=0
# hold NAME FIGURE WANTED
hold() {
    if [ "$2" = "$3" ]; then
        printf '  held    %-48s %s\n' "$1" "$2"
    else
        printf '  BROKEN  %-48s %s, wanted %s\n' "$1" "$2" "$3"
        problems=$((problems + 1))
    fi
}
figure() { jq -r "$1 // 0" "$report"; }

echo
echo "Measures"
printf '  %-50s %s\n' "cache reuse" "$(figure .chats.cache_reuse)" \
    "crest: in contract over a central queue's" "$(figure .crest.ratio)" \
    "short work: first token p99, ms" "$(figure .chats.first_token_short_ms.p99)" \
    "all chats: first token p99, ms" "$(figure .chats.first_token_ms.p99)" \
    "chats inside their contract" "$(figure .chats.in_contract)" \
    "change in force on every router, ms" "$inForce"
echo "Chats by end:    $(jq -c .chats.ends "$report")"
echo "Service calls:   $(jq -c .services "$report")"
echo
echo "Promises"
hold "answers of another caller" "$(figure .chats.ends.foreign)" 0
hold "answers with a wrong token" "$(figure .chats.ends.wrong)" 0
hold "answers that ended short without an error" "$(figure .chats.ends.short)" 0
hold "dispatches run twice" "$(figure .services.run_twice)" 0
hold "\"not run\" told of a dispatch that ran" "$(figure .services.false_not_run)" 0
hold "revisions in force on the live routers" "$revisions" "[2]"
hold "change in force within 3000 ms" "$([ "$inForce" -le 3000 ] && echo yes || echo no)" yes
[ "$(figure '.chats.ends.answered')" -gt 0 ] || { echo "  BROKEN  no chat was answered"; problems=$((problems + 1)); }
[ "$problems" -eq 0 ]
