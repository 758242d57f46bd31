# A golden session is a script NAME.sh that sources this file, starts real
# processes and prints what callers got.  At its end the transcript is compared
# with NAME.golden.  It reports in the format of a check program, so
# tests/run.sh counts it under its own name.
here=$(dirname "$0")
session=$(basename "$0" .sh)
. "$here/../fleet.sh"
exec 3>&1 >"$work/transcript"

conclude() {
  trap - EXIT INT TERM
  end_all
  exec 1>&3
  failures=0
  # A new golden file must be reviewed before it is committed.
  if [ -n "${SESSION_WRITE:-}" ]; then
    cp "$work/transcript" "$here/$session.golden"
  fi
  if ! diff -u "$here/$session.golden" "$work/transcript"; then
    failures=1
    for name in $started; do
      echo "-- last lines of $name:"
      tail -n "${SESSION_LOG_LINES:-5}" "$work/$name.err"
    done
  fi
  echo "$((100 - 100 * failures))%: Checks: 1, Failures: $failures, Errors: 0"
  if [ -z "${SESSION_KEEP:-}" ]; then
    rm -rf "$work"
  fi
  exit $failures
}
trap conclude EXIT
trap 'exit 1' INT TERM
