#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Needs the build of the deploy file and review/build.sh.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
work=$(mktemp -d) || exit 2
child=
# The stand-in ends the routers when it ends, and ends when this shell does.
cleanup() {
    [ -n "$child" ] && kill -KILL "$child" 2>/dev/null && wait "$child" 2>/dev/null
    rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM HUP
"$root/build/review/caselostremoval" "$root/target/platform/comfrey-node" "$folder" "$work" newest &
child=$!
wait "$child"
code=$?
child=
[ "$code" -le 1 ] || code=2
exit "$code"
