#!/bin/sh
# Runs a short soak for each line of tests/soak/seeds, some of them side by
# side: real gateways under faults, checked against the documented guarantees.
# Reports its result in the format of a check program, so tests/run.sh counts
# it.
BUILD=${BUILD:-build/plain}
export BUILD
here=$(dirname "$0")
work=$(mktemp -d "$BUILD/soak.XXXXXX")
export work
grep -v '^#' "$here/seeds" >"$work/seeds"
cut -d ' ' -f 1-5 "$work/seeds" | xargs -P "${SOAK_JOBS:-3}" -L 1 sh -c '
  seed=$0 plays=$1
  mkdir -p "$work/$seed"
  if "$BUILD/soak" --program "$BUILD/cowslip-gateway" --work "$work/$seed" \
    --seed "$seed" --seconds "$2" --hosts "$3" --callers "$4" \
    $(test "$plays" = - || echo "--$plays" | sed "s/,/ --/g") \
    >"$work/$seed.out" 2>&1; then
    rm -rf "${work:?}/$seed"
  else
    echo "logs are kept in $work/$seed" >>"$work/$seed.out"
    if grep -q "^short soak, seed $seed:" KNOWN-RED.txt 2>/dev/null; then
      sed "s/^/KNOWN RED /" "$work/$seed.out" >>"$work/known"
    else
      echo "$seed" >>"$work/failed"
    fi
  fi'
while read -r seed rest; do
  cat "$work/$seed.out"
done <"$work/seeds"
runs=$(wc -l <"$work/seeds")
failures=0
if [ -f "$work/failed" ]; then
  failures=$(wc -l <"$work/failed")
fi
if [ -f "$work/known" ]; then
  cat "$work/known"
elif [ "$failures" = 0 ]; then
  rm -rf "$work"
fi
echo "$((100 * (runs - failures) / runs))%: Checks: $runs, Failures: $failures, Errors: 0"
exit "$failures"
