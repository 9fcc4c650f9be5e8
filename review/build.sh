#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into build/review. Needs no network and no other build.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build/review -G Ninja -DCMAKE_BUILD_TYPE=Release -DBRIARFOLD_EDGE_ONLY=ON \
    -DCMAKE_PROJECT_briarfold_INCLUDE="$PWD/review/stand_ins.cmake" >/dev/null
cmake --build build/review --target review_cases -j "${JOBS:-4}"
