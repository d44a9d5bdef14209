#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start, into build/review.
set -eu
cd "$(dirname "$0")/.."
cmake -G Ninja -B build/review -S review/standins
ninja -C build/review
