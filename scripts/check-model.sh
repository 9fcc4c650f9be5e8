#!/usr/bin/env bash
# Checks the ownership model with Spin: the protocol must hold, each broken variant must be caught.
set -euo pipefail
model=$(cd "$(dirname "$0")/.." && pwd)/model/ownership.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# check NAME holds|breaks [DEFINE]
check()
{
    local name=$1 expected=$2 define=${3:-}
    local folder="$work/$name"
    mkdir "$folder"
    (
        cd "$folder"
        spin -a ${define:+-D$define} "$model" >spin.log
        cc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c >cc.log 2>&1
        ./pan -m2000000 >pan.log 2>&1
    ) || true
    local errors states complete
    errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$folder/pan.log")
    states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$folder/pan.log")
    complete=yes
    if grep -qi 'search incomplete\|max search depth too small\|out of memory\|Search not completed' "$folder/pan.log"; then
        complete=no
    fi
    local ok=no
    if [ "$expected" = holds ] && [ "$errors" = 0 ] && [ "$complete" = yes ]; then ok=yes; fi
    if [ "$expected" = breaks ] && [ "${errors:-0}" != 0 ]; then ok=yes; fi
    echo "model: $name: errors ${errors:-none reported}, states ${states:-?}, complete $complete, expected $expected"
    if [ "$ok" = yes ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
}

check protocol holds
check no_fencing breaks NO_FENCING
check duration_from_arrival breaks DURATION_FROM_ARRIVAL
check no_wait breaks NO_WAIT
check no_incarnation breaks NO_INCARNATION
check keep_longer_grant breaks KEEP_LONGER_GRANT
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
