# Case 6: entries of another writer in servers/, whose keys hold an ampersand. About 44 s.
cd "$(dirname "$0")/../.." || exit 2
program=build/review-2/caseforeignkeys
[ -x "$program" ] && [ -x target/platform/comfrey-node ] || exit 2
exec "$program" review/6
