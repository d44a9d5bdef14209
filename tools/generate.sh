#!/usr/bin/env bash
# Regenerates src/generated from schema/. Needs flatc (Debian: flatbuffers-compiler).
set -eu
cd "$(dirname "$0")/.."
flatc --cpp --cpp-std c++17 --scoped-enums --gen-object-api --cpp-ptr-type std::unique_ptr --cpp-field-case-style lower \
    --filename-suffix .generated -o src/generated schema/*.fbs
