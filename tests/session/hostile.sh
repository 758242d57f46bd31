#!/bin/sh
# Callers that are broken or mean harm: requests that are no HTTP, lie about
# their length, break the JSON, or stop in the middle and keep the connection.
# Each connection holds a thread of the host.  Without bounds a few of them
# hold all threads, and every other caller of the host waits without a word in
# the log; with a body taken for whole that was cut, a service runs half a
# request.
. "$(dirname "$0")/lib.sh"
start_platform
publish_usual_config
start_engine e1 --token-ms 1 --slots 100
start_service s1
start_host h1
start_host h2 --max-streams 8 --caller-timeout-ms 1000
publish_hosts
wait_ready h1 h2

hostile() {
  "$BUILD/standin-hostile" "$(port_of h1)" send
}

# hold KIND LIMIT_MS HELD_MS [COUNT]: connections on the 8 threads of h2; a
# caller beside them gets its whole answer within the limit.
hold() {
  : >"$work/hold-$1.call"
  "$BUILD/standin-hostile" "$(port_of h2)" hold "${4:-40}" "$1" "$3" \
    >"$work/hold-$1.call" 2>&1 &
  note_process "hold-$1" $!
  wait_until 5 grep -q held "$work/hold-$1.call"
  call h2 --tokens 5 --limit-ms "$2"
}

# Of the answers that nobody reads, none is still made, and none got far: the
# kernel keeps little for a caller that doesn't read.
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

# leaks FILE: the keys of callers, which no page and no log line may show.
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
