#!/usr/bin/env bash
# Runs clang-tidy over the given files, or over every .cpp file. Needs a built build folder. A file that was clean is not
# read again while it, the project's headers that it includes, its flags and the checks are the same.
set -euo pipefail
build=${1:?usage: lint.sh BUILD_FOLDER [FILE...]}
database=$(mktemp -d)
trap 'rm -rf "$database"' EXIT
cache=${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/briarfold-lint}
mkdir -p "$cache"
# clang has no -fcoroutines; coroutines are part of its C++20.
sed 's/ -fcoroutines//' "$build/compile_commands.json" >"$database/compile_commands.json"
if [ $# -gt 1 ]; then
    files=$(printf "%s\n" "${@:2}")
else
    files=$(git ls-files --cached --others --exclude-standard "*.cpp")
fi
# Lines "FILE HEADER": the headers of this folder that the compiler read for each file.
root=$PWD
ninja -C "$build" -t deps | awk -v root="$root/" '
    /^[^ ].*: #deps/ { source = ""; next }
    /^ / { path = $1; sub(/^\.\.\//, root, path); if (index(path, root) != 1) next
           path = substr(path, length(root) + 1); if (source == "") source = path; print source, path }' \
    >"$database/headers"
common=$( (clang-tidy-16 --version; cat .clang-tidy) | sha256sum | cut -d' ' -f1)
export common cache database root
check_file()
{
    local key
    # Without the folder's name, so that another checkout of the same sources has the same key.
    key=$( (echo "$common $1"; cat "$1"; awk -v file="$1" '$1 == file { print $2 }' "$database/headers" | sort -u | xargs -r cat
        grep -F "$1" "$database/compile_commands.json" | sed "s#$root##g") | sha256sum | cut -d' ' -f1)
    if [ -e "$cache/$key" ]; then
        return 0
    fi
    # clang needs the two definitions to see coroutine support that g++ announces by itself.
    clang-tidy-16 -p "$database" --quiet --warnings-as-errors='*' --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 \
        --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1 --extra-arg=-Wno-unknown-warning-option "$1" \
        2> >(grep -v 'warnings\? generated\|Suppressed\|Use -header-filter\|^$' >&2 || true) && touch "$cache/$key"
}
export -f check_file
printf '%s\n' "$files" | xargs -P "${JOBS:-$(nproc)}" -I{} bash -c 'check_file {}'
echo "lint: clean"
