# Turns the results of ./run measure into rows: one for each user, measure and policy.
def round3: . * 1000 | round / 1000;
def over($base): if $base > 0 then . / $base else null end;
def median: sort | if length == 0 then null else .[(length - 1) / 2 | floor] end;
def spread: if length < 2 then "" else "\(min | round3)..\(max | round3)" end;

# Values of one measure by run: {user, policy, seed, value}.
def runs($workload): map(select(.workload == $workload));
def values($workload; value):
    runs($workload) | map({user, policy, seed, value: value});
def ratios($workload; figure):
    . as $all | runs($workload) | map(. as $run
        | ($all | map(select(.workload == "steady" and .user == $run.user
            and .policy == $run.policy and .seed == $run.seed)) | first) as $base
        | select($base != null)
        | {user, policy, seed, value: ($run | figure | over($base | figure))});
def rows($measure; $target):
    map(select(.value != null)) | group_by([.user, .policy])
    | map({user: .[0].user, policy: .[0].policy, measure: $measure, target: $target,
           value: (map(.value) | median | round3), spread: (map(.value) | spread)});
# Bytes a second: the messages of the router that sent most, and a router's mean part of reports,
# lists and records; bodies only.
def controlRate:
    (([.dump_before, .dump_after] | transpose | map(.[1].messages.bytesSent - .[0].messages.bytesSent)
        | max // 0) + .control_bytes / .routers) / .seconds;

map(select(.workload != null)) as $runs
| (map(select(.routertime != null)) | first) as $router
| {rows: (
    ($runs | values("steady"; .load.chats.cache_reuse) | rows("cache reuse"; ">= 0.90"))
    + ($runs | values("crest"; .load.crest.ratio) | rows("crest service"; ">= 0.95"))
    + ($runs | ratios("stragglers"; .load.chats.first_token_short_ms.p99) | rows("short behind long"; "<= 1.3"))
    + ($runs | ratios("slowed"; .load.chats.first_token_ms.p99) | rows("slowed backend server tail"; "<= 1.5"))
    + ($runs | values("steady"; .balance.highest_over_mean) | rows("balance, highest over mean"; "1.25+1"))
    + ($runs | values("steady"; .balance.moments_over_bound / ([.balance.moments, 1] | max)) | rows("balance, moments over the bound"; "0"))
    + ($runs | values("steady"; controlRate) | rows("control traffic, bytes/s"; "<= 3000"))
    + ($runs | map(select(.workload != "")) | group_by(.workload)
        | map(.[0].workload as $w | map({user, policy, seed, value: .load.chats.in_contract})
              | rows("in contract, " + $w; "")) | add // [])
    + (if $router == null then [] else
        [{user: "", policy: "bounded-affinity", measure: "router's own time, p99 ms", target: "<= 3",
          value: (($router.routertime.routed.first_token_ms.p99 - $router.routertime.direct.first_token_ms.p99) | round3),
          spread: ""}] end))}
