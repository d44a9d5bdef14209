# A short seeded run of the routers' program under faults from outside; docs/SOAK.md.
set -u
# Each seed that ever failed stays here, with a line on its cause in docs/SOAK.md.
regressions="31"
fresh=$(date +%s)
folder=$(mktemp -d)
echo "fresh seed $fresh"
# shellcheck disable=SC2086
build/tests/soak/platformsoak "$folder" 6 $regressions "$fresh"
code=$?
rm -rf "$folder"
exit $code
