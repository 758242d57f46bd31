#!/bin/sh
# Broken and malicious callers: requests that aren't HTTP, have a wrong length
# or broken JSON, or stop in the middle and keep the connection open.  Each
# connection holds a thread of the host.  Without limits a few of them hold all
# threads, and all other callers wait with nothing in the log.  If a truncated
# body were taken for a complete one, a service would run half a request.
. "$(dirname "$0")/lib.sh"
start_platform
publish_usual_config
start_engine e1 --token-ms 1 --slots 100
start_service s1
start_host h1
# AddressSanitizer keeps freed memory in quarantine, which would count as
# growth.
ASAN_OPTIONS=${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1
export ASAN_OPTIONS
start_host h2 --max-streams 8 --caller-timeout-ms 1000
unset ASAN_OPTIONS
publish_hosts
wait_ready h1 h2

hostile() {
  "$BUILD/standin-hostile" "$(port_of h1)" send
}

# hold KIND LIMIT_MS HELD_MS [COUNT]: holds connections to h2, which has 8
# threads; another caller must get its whole answer within the limit meanwhile.
hold() {
  : >"$work/hold-$1.call"
  "$BUILD/standin-hostile" "$(port_of h2)" hold "${4:-40}" "$1" "$3" \
    >"$work/hold-$1.call" 2>&1 &
  note_process "hold-$1" $!
  wait_until 5 grep -q held "$work/hold-$1.call"
  call h2 --tokens 5 --limit-ms "$2"
}

# All four unread answers are cancelled.  None got far, since the kernel
# buffers little for a caller that doesn't read.
unread_is_ended() {
  [ "$(generations e1 | grep -c 'tokens=60000.*state=cancelled')" = 4 ]
}

resident_kb() {
  sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$(pid_of "$1")/status"
}

keys_are_decided() {
  new_key
  call h1 --tokens 1 --non-idempotent --idempotency-key "$new_key" |
    grep -q 'status=200'
}

# leaks FILE: counts lines with callers' keys, which must not appear on any
# page or in any log line.
leaks() {
  grep -a -c -e key-llanfair -e secret-key -e 'secret-' "$1"
}

echo "# what no HTTP library sends, with a caller beside it"
call_later beside h1 --tokens 300
hostile
finish beside
echo "engine starts: $(count_starts e1), service calls: $(count_calls s1)"

echo "# a service gets the path as it was written"
call h1 --service 'leases/a%20b?c=%2F' --method GET | head -n 1
request s1 GET /test/log | grep -o '"path":"[^"]*"'

echo "# connections that say nothing hold no thread"
hold silent 3000 3500
wait "$(pid_of hold-silent)"
echo "# half a head, half a body, a body of drops: held, and ended by the host"
for kind in head body drip; do
  hold $kind 15000 30000
  finish hold-$kind
done

echo "# four that read nothing: their answers are cancelled, little was made"
before_kb=$(resident_kb h2)
hold unread 5000 15000 4
wait_until 15 unread_is_ended
generations e1 | grep 'tokens=60000' |
  sed 's/.*made=\([0-9]*\) .*/\1/' | awk '$1 > 6000 { print "made", $1 }'
grown_kb=$(($(resident_kb h2) - before_kb))
[ $grown_kb -lt 16384 ] || echo "resident memory grew by $grown_kb kB"
wait "$(pid_of hold-unread)"

echo "# calls that run once, keyed; then nobody's key is anywhere"
wait_until 30 keys_are_decided
call h1 --tokens 3 --non-idempotent --idempotency-key "$new_key" | head -n 1
request h1 GET /status >"$work/status"
request h1 GET /metrics >"$work/metrics"
grep -a -c "$new_key" "$work/h1.err"
for page in h1.err h2.err status metrics; do
  echo "$page: $(leaks "$work/$page")"
done
