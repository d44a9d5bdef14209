# ./run regression BENCH FOLDER [OPTIONS]: scores the sites in force on the users' bench, one after the
# other. BENCH is the bench's program, FOLDER the one that holds the folders of site files; further
# options go to `score`. The last lines repeat each site's score and gate.
set -u
. tools/run/libsetup.sh
[ $# -ge 2 ] || { echo "usage: ./run regression BENCH FOLDER [OPTIONS]" >&2; exit 2; }
bench=$1
folder=$2
shift 2
# The sites in force; smaller ones that later sites took the place of are left out.
sites="sites/tsetseg-swarmline sites/kynd-ryhm further/rakbuku-jawa further-grown/rakbuku-jawa-grown
grown/tsetseg-swarmline-grown grown/kynd-ryhm-grown large/tsetseg-swarmline-large
shifted/tsetseg-swarmline-now-grown demands/volta-hullparts-grown demands/earaa-results-grown"
summary=""
failed=0
for site in $sites; do
    file="$folder/$site.toml"
    [ -f "$file" ] || { echo "regression: no site file $file" >&2; failed=1; continue; }
    output=$("$bench" score "$file" "$@")
    printf '%s\n' "$output"
    grep -q '^GATE passed' <<<"$output" || failed=1
    summary+=$(grep -E '^(score|GATE)' <<<"$output")$'\n'
done
printf '\n%s' "$summary"
exit $failed
