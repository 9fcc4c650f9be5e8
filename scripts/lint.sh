#!/usr/bin/env bash
# Runs clang-tidy over the given files, or over every .cpp file. Needs a configured build folder.
set -euo pipefail
build=${1:?usage: lint.sh BUILD_FOLDER [FILE...]}
database=$(mktemp -d)
trap 'rm -rf "$database"' EXIT
# clang has no -fcoroutines; coroutines are part of its C++20.
sed 's/ -fcoroutines//' "$build/compile_commands.json" >"$database/compile_commands.json"
if [ $# -gt 1 ]; then
    files=$(printf "%s\n" "${@:2}")
else
    files=$(git ls-files --cached --others --exclude-standard "*.cpp")
fi
# clang needs the two definitions to see coroutine support that g++ announces by itself.
printf '%s\n' "$files" | xargs -P "${JOBS:-$(nproc)}" -n 2 clang-tidy-16 -p "$database" --quiet --warnings-as-errors='*' \
    --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1 \
    --extra-arg=-Wno-unknown-warning-option 2> >(grep -v 'warnings\? generated\|Suppressed\|Use -header-filter\|^$' >&2 || true)
echo "lint: clean"
