#!/bin/sh
# Runs a short soak for each line of tests/soak/seeds: real gateways under
# faults, checked against the documented guarantees.  Reports its result in the
# format of a check program, so tests/run.sh counts it.
BUILD=${BUILD:-build/plain}
here=$(dirname "$0")
work=$(mktemp -d "$BUILD/soak.XXXXXX")
runs=0
failures=0
grep -v '^#' "$here/seeds" >"$work/seeds"
while read -r seed plays seconds hosts callers cause; do
  runs=$((runs + 1))
  mkdir -p "$work/$seed"
  if "$BUILD/soak" --program "$BUILD/cowslip-gateway" --work "$work/$seed" \
    --seed "$seed" --seconds "$seconds" --hosts "$hosts" \
    --callers "$callers" \
    $(test "$plays" = - || echo "--$plays" | sed 's/,/ --/g'); then
    rm -rf "${work:?}/$seed"
  else
    failures=$((failures + 1))
    echo "logs are kept in $work/$seed"
  fi
done <"$work/seeds"
if [ $failures = 0 ]; then
  rm -rf "$work"
fi
echo "$((100 * (runs - failures) / runs))%: Checks: $runs, Failures: $failures, Errors: 0"
exit $failures
