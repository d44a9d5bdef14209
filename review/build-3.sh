#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases into build/review-3, with the compiler and the
# packages of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-3
shared="review/standins-3/fleet.cpp tests/traffic/loopback.cpp tests/soak/standinstore.cpp
    tests/soak/faultypath.cpp"
# The project's libraries lie there after the build of the deploy file.
libraries="target/libcomfreytraffic.a target/libcomfreylanding.a -lxxhash -lflatbuffers"
for case in review/1[1-5]/case.cpp; do
    folder=${case%/case.cpp}
    # shellcheck disable=SC2086 # The list is split at its spaces.
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Iinclude -Isrc -Itests/traffic -Itests/soak \
        "$case" $shared $libraries -o "build/review-3/case-${folder#review/}"
done
