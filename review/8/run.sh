# Case 8: a request that crashes replicas comes again with another query. About 37 s.
cd "$(dirname "$0")/../.." || exit 2
program=build/review-2/casequery
[ -x "$program" ] && [ -x target/platform/comfrey-node ] || exit 2
exec "$program" review/8
