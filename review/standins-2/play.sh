#!/usr/bin/env bash
# play.sh PROGRAM CASE: plays a case of the second review, with a temporary folder of its own. Ends with
# 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
program=build/review-2/$1
[ -x "$program" ] && [ -x target/platform/comfrey-node ] || exit 2
work=$(mktemp -d) || exit 2
child=
# The routers end with the stand-in that started them.
cleanup() {
    [ -n "$child" ] && kill -KILL "$child" 2>/dev/null && wait "$child" 2>/dev/null
    rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM HUP
"$program" "review/$2" "$work" &
child=$!
wait "$child"
code=$?
child=
[ "$code" -le 1 ] || code=2
exit "$code"
