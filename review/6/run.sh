#!/usr/bin/env bash
# Case 6: a replica fails requests that it has run with a signed 503. About 21 s.
cd "$(dirname "$0")/../.." || exit 2
exec bash review/standins-2/play.sh casefailedrun 6
