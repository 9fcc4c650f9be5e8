#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review/bin/review_case_1 ] || { echo "run review/build.sh first" >&2; exit 2; }
build/review/bin/review_case_1 review/1
