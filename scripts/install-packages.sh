#!/usr/bin/env bash
# Installs the Debian packages that the build, the linter and the tests need. Does nothing when all are there.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache make git clang-14 libclang-rt-14-dev clang-format-16 clang-tidy-16
    libboost-all-dev libjsonrpccpp-dev libjsoncpp-dev libspdlog-dev libfmt-dev libtoml11-dev nlohmann-json3-dev
    libmsgpack-cxx-dev libxxhash-dev librapidcheck-dev libssl-dev zlib1g-dev spin gnuplot-nox curl
)
missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi
run=()
if [ "$(id -u)" -ne 0 ]; then
    run=(sudo)
fi
"${run[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
