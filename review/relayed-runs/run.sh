#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run.  TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cowslip-gateway ] && [ -x target/review-2/relayed-runs ] || exit 2
WORK=$(mktemp -d) || exit 2
export WORK
target/review-2/relayed-runs review/relayed-runs/record.txt
result=$?
[ -z "${KEEP_LOGS:-}" ] && rm -rf "$WORK"
exit $result
