# ./run measure [NAME...]: the measures of routing under load, ours and the baselines, as a table and
# JSON. NAME is a row (cache, crest, short, slowed, balance, control, routertime) or a workload; with
# none, all. MEASURE_USERS, MEASURE_POLICIES, MEASURE_SEEDS, MEASURE_SCALE, FLEET_PORTS change it.
set -u
. tools/run/libsetup.sh
. tools/run/libfleet.sh
. tools/run/libmeasure.sh
measureDir=out/measure
mkdir -p "$measureDir"
allPolicies="bounded-affinity round-robin random least-reported-load hash-only p2c"
fewPolicies="bounded-affinity random p2c"
scale=${MEASURE_SCALE:-0.5}
seeds=${MEASURE_SEEDS:-1}
users=${MEASURE_USERS:-}
policies=${MEASURE_POLICIES:-}
workloads=""
withRouterTime=no

addWorkloads() { workloads="$workloads $*"; }
for name in "$@"; do
    case $name in
    cache | balance | control) addWorkloads steady ;;
    crest) addWorkloads crest ;;
    short) addWorkloads steady stragglers ;;
    slowed) addWorkloads steady slowed ;;
    routertime) withRouterTime=yes ;;
    *)
        [ -f "workloads/$name.toml" ] || { echo "measure: no row or workload \"$name\"" >&2; exit 2; }
        addWorkloads "$name"
        ;;
    esac
done
if [ $# -eq 0 ]; then
    addWorkloads steady crest stragglers slowed
    withRouterTime=yes
    users=${users:-tsetseg pollukund}
    policies=${policies:-$allPolicies}
fi
users=${users:-tsetseg}
policies=${policies:-$fewPolicies}
workloads=$(echo "$workloads" | tr ' ' '\n' | awk 'NF && !seen[$0]++' | tr '\n' ' ')

[ -n "${MEASURE_NO_BUILD:-}" ] || { installPackages && configureAndBuild build ""; } || exit 1
rm -f "$measureDir"/*.json
for user in $users; do
    for policy in $policies; do
        for seed in $seeds; do
            [ -n "$workloads" ] && measureFleet "$user" "$policy" "$seed"
        done
    done
done
[ $withRouterTime = yes ] && measureRouterTime
printTable
