#!/usr/bin/env bash
# Builds the stand-ins of the second review into build/review-2/. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for case in review/standins-2/case*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/$(basename "$case" .cpp)" \
        "$case" review/standins-2/stage.cpp
done
