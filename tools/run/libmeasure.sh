# Sourced by ./run measure: runs workloads against one fleet after the other, and prints the table.
loadTool() { "$fleetBin/tools/comfrey-load/comfrey-load" "$@"; }

# True if nobody serves on the platform's address: another fleet must not be measured or changed.
portsAreFree() {
    ! curl -s -o /dev/null "http://$platform/instances" && return 0
    echo "measure: another process serves on $platform; set FLEET_PORTS" >&2
    exit 2
}

# True while every process that was started runs.
fleetRuns() {
    local name
    for name in "${!fleetPids[@]}"; do
        kill -0 "${fleetPids[$name]}" 2>/dev/null && continue
        echo "measure: $name ended: $(tail -n 1 "$fleetDir/$name.log")" >&2
        return 1
    done
}

# startSizes SIZES SCALE EXTRA_TOML: the fleet that a line of comfrey-load --print-sizes names.
startSizes() {
    local sizes=$1 engineScale=$2 extra=$3 pair index
    local routers=1 engines=1 slots=4 zones=1 services=0 cache_tokens=30000 model="" service=""
    for pair in $sizes; do local "${pair%%=*}=${pair#*=}"; done
    portsAreFree
    rm -rf "$fleetDir"
    mkdir -p "$fleetDir"
    fleetRouters=()
    loadArguments=(--platform "$platform")
    startPlatform
    for ((index = 0; index < engines; ++index)); do
        startEngine "$index" "z$((index % zones))" "$model" "$slots" --time-scale "$engineScale" \
            --cache-tokens "$cache_tokens" --report-lag-ms 200
        loadArguments+=(--engine "127.0.0.1:$((fleetPorts + 300 + index))")
    done
    if [ -n "$service" ]; then
        for ((index = 0; index < services; ++index)); do
            startService "$index" "z$((index % zones))" "$service" --delay-ms 10
            loadArguments+=(--service "127.0.0.1:$((fleetPorts + 400 + index))")
        done
    fi
    for ((index = 0; index < routers; ++index)); do
        startRouter "$index" "z$((index % zones))" "$extra"
        loadArguments+=(--router "127.0.0.1:$(callerPort "$index")")
    done
}

# publishWorkload FILE... : the workload's lists become the lists in force.
publishWorkload() {
    loadTool --print-lists --time-scale "$scale" "$@" >"$fleetDir/lists.toml" || return 1
    ctl --wait --timeout-ms 20000 publish "$fleetDir/lists.toml" >"$fleetDir/publish.out" 2>&1 \
        || { cat "$fleetDir/publish.out" >&2; return 1; }
    waitForRouters 20 && fleetRuns
}

# routerDumps FILE: the state of every router, as one JSON list.
routerDumps() {
    local index
    for index in "${fleetRouters[@]}"; do
        curl -sf "http://127.0.0.1:$(operatorPort "$index")/debug/dump"
        echo
    done >"$1"
}

# engineTruth FROM_US FILE: each engine's true load since then, a line each.
engineTruth() {
    local address
    for address in $(printf '%s\n' "${loadArguments[@]}" | grep -A1 '^--engine$' | grep '^127'); do
        curl -sf "http://$address/truth?samples_from_us=$1"
        echo
    done >"$2"
}

# controlBytes: bodies of load reports, instance lists and log records that the stand-ins answered.
controlBytes() {
    local address
    {
        curl -sf "http://$platform/counters"
        for address in $(printf '%s\n' "${loadArguments[@]}" | grep -A1 '^--engine$' | grep '^127'); do
            curl -sf "http://$address/truth"
        done
    } | jq -s '[.[] | (.report_bytes // 0) + (.instances.bytes // 0)
        + ([.streams // {} | .[] | .bytes_read + .bytes_appended] | add // 0)] | add'
}

# balanceOf FILE: highest load of an engine over the mean, and over the bound of 1.25 times the mean
# rounded up plus one slot, at the worst moment with at least one request an engine on the mean.
balanceOf() {
    jq -s '[.[].samples | select(. != null)] as $all
        | ($all | length) as $n
        | [$all[][]] | group_by(.[0]) | map(map(.[1]) | select(length == $n))
        | map({highest: max, mean: (add / $n)}) | map(select(.mean >= 1))
        | map(. + {ratio: (.highest / .mean), excess: (.highest - ((.mean * 1.25) | ceil) - 1)})
        | {moments: length, highest_over_mean: (map(.ratio) | max // 0),
           p99_over_mean: (map(.ratio) | sort | .[(length * 0.99 | floor)] // 0),
           moments_over_bound: (map(select(.excess > 0)) | length),
           worst_excess: (map(.excess) | max // 0)}' "$1"
}

# runWorkload USER POLICY SEED WORKLOAD: one run on the fleet that is up.
runWorkload() {
    local user=$1 policy=$2 seed=$3 workload=$4 begin end
    local base="$measureDir/$user.$policy.$workload.$seed"
    begin=$(date +%s%6N)
    local controlBefore
    controlBefore=$(controlBytes)
    routerDumps "$fleetDir/dump-before.json"
    loadTool "workloads/$user.toml" "workloads/$workload.toml" "${loadArguments[@]}" --seed "$seed" \
        --time-scale "$scale" --json "$base.load" >"$fleetDir/load.out" 2>"$fleetDir/load.log" \
        || { tail -n 5 "$fleetDir/load.log" >&2; return 1; }
    end=$(date +%s%6N)
    routerDumps "$fleetDir/dump-after.json"
    engineTruth "$begin" "$fleetDir/truth.json"
    jq -n --arg user "$user" --arg policy "$policy" --arg workload "$workload" --argjson seed "$seed" \
        --argjson control "$(($(controlBytes) - controlBefore))" --argjson routers "${#fleetRouters[@]}" \
        --argjson seconds "$(((end - begin) / 1000))" \
        --slurpfile load "$base.load" --argjson balance "$(balanceOf "$fleetDir/truth.json")" \
        --slurpfile before "$fleetDir/dump-before.json" --slurpfile after "$fleetDir/dump-after.json" \
        '{user: $user, policy: $policy, workload: $workload, seed: $seed, balance: $balance,
          seconds: ($seconds / 1000), control_bytes: $control, routers: $routers, load: $load[0],
          dump_before: $before, dump_after: $after}' >"$base.json"
    rm -f "$base.load"
    echo "  $user $policy $workload seed=$seed:" \
        "$(jq -r '.load.chats | "in contract \(.in_contract * 1000 | round / 1000), cache reuse \(.cache_reuse * 1000 | round / 1000), first token p99 \(.first_token_ms.p99 | round) ms, ends \(.ends | tojson)"' "$base.json")" >&2
}

# measureFleet USER POLICY SEED: a new fleet, and all workloads on it.
measureFleet() {
    local user=$1 policy=$2 seed=$3 workload
    startSizes "$(loadTool --print-sizes "workloads/$user.toml")" "$scale" "[placement]
policy = \"$policy\""
    if publishWorkload "workloads/$user.toml"; then
        for workload in $workloads; do
            runWorkload "$user" "$policy" "$seed" "$workload"
        done
    else
        echo "  $user $policy: the fleet did not start" >&2
    fi
    stopFleet
}

# measureRouterTime: the same load to the engines alone and through one router.
measureRouterTime() {
    local scale=1 direct=() address file=workloads/routertime.toml
    startSizes "$(loadTool --print-sizes $file)" 0.001 ""
    for address in $(printf '%s\n' "${loadArguments[@]}" | grep -A1 '^--engine$' | grep '^127'); do
        direct+=(--router "$address")
    done
    if publishWorkload $file; then
        loadTool $file "${direct[@]}" --seed 1 --json "$fleetDir/direct.json" >/dev/null 2>&1
        loadTool $file "${loadArguments[@]}" --seed 2 --json "$fleetDir/routed.json" >/dev/null 2>&1
        jq -n --slurpfile direct "$fleetDir/direct.json" --slurpfile routed "$fleetDir/routed.json" \
            '{routertime: {direct: $direct[0].chats, routed: $routed[0].chats,
              direct_lateness_ms: $direct[0].lateness_ms, routed_lateness_ms: $routed[0].lateness_ms}}' \
            >"$measureDir/routertime.json"
    fi
    stopFleet
}

# printTable: all results of this run as one table, and as out/measure/table.json.
printTable() {
    jq -s -f tools/run/measuretable.jq "$measureDir"/*.json >"$measureDir/table.json" || return 1
    jq -r '.rows[] | [.user, .measure, .target, .policy, .value, .spread] | @tsv' \
        "$measureDir/table.json" \
        | awk -F '\t' 'BEGIN { printf "%-10s %-34s %-10s %-20s %-12s %s\n", "user", "measure", "target", "policy", "value", "spread over seeds" }
            { printf "%-10s %-34s %-10s %-20s %-12s %s\n", $1, $2, $3, $4, $5, $6 }'
}

# To make the table and plots of docs/MEASURES.md from out/measure:
#   jq -r -f tools/run/measurepage.jq out/measure/table.json
#   jq -s -r --arg user tsetseg -f tools/run/plotcrest.jq out/measure/tsetseg.*crest*.json
