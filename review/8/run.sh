#!/usr/bin/env bash
# Case 8: an extra answer without end. About 23 s.
cd "$(dirname "$0")/../.." || exit 2
exec bash review/standins-2/play.sh caseendlessextra 8
