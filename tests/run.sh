#!/bin/sh
# Runs every test program named on the command line, several in parallel, and
# prints a final line: N passed, N failed.  A check program reports its own
# counts; a program that ends without a report counts as one failure.  Tests
# listed in KNOWN-RED.txt, and lines that begin with KNOWN RED, are printed and
# don't fail the run.
out=$BUILD/test-output
rm -rf "$out"
mkdir -p "$out"
for test in "$@"; do
  echo "$test"
done | xargs -P "${TEST_JOBS:-6}" -I{} sh -c '
  name=$(echo "{}" | sed "s|.*/tests/||; s|/|-|g")
  timeout "${TEST_LIMIT_S:-300}" "{}" >"$0/$name.out" 2>&1
  echo $? >"$0/$name.rc"' "$out"
passed=0
failed=0
for rc in "$out"/*.rc; do
  base=${rc%.rc}
  name=$(basename "$base")
  line=$(grep -a -E '^[0-9]+%: Checks: ' "$base.out" | tail -n 1)
  total=$(echo "$line" | sed -n 's/.*Checks: \([0-9]*\).*/\1/p')
  bad=$(echo "$line" | sed -n 's/.*Failures: \([0-9]*\), Errors: \([0-9]*\).*/\1 \2/p' |
    awk '{print $1 + $2}')
  if [ -z "$total" ] || { [ "$(cat "$rc")" != 0 ] && [ "${bad:-0}" = 0 ]; }; then
    total=${total:-1}
    bad=1
  fi
  if [ "$bad" != 0 ]; then
    if [ -f KNOWN-RED.txt ] && grep -v '^#' KNOWN-RED.txt | grep -q "$name"; then
      echo "KNOWN RED $name:"
      bad=0
    else
      echo "FAILED $name (exit $(cat "$rc")):"
    fi
    tail -n 40 "$base.out"
  fi
  grep -a '^KNOWN RED' "$base.out"
  failed=$((failed + bad))
  passed=$((passed + total - bad))
done
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
