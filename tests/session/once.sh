#!/bin/sh
# A buyer's portal sends a lease score again, with the same key and through
# another host, because the first answer was lost.  If the score ran twice, the
# buyer would get two quotes.
. "$(dirname "$0")/lib.sh"
start_usual_fleet
start_host h2
start_host h3
publish_hosts
wait_ready h1 h2 h3

# score HOST OPTION...: one attempt under the key $new_key.
score() {
  host=$1
  shift
  call "$host" --service leases/score --method POST --body '{"lease": 7}' \
    --non-idempotent --idempotency-key "$new_key" "$@" | head -n 1
}

# Hosts that started after a key was made can't say that they haven't seen it.
keys_are_decided() {
  new_key
  score h1 --attempt 1 | grep -q 'status=200'
}
wait_until 60 keys_are_decided
before=$(count_calls s1)

echo "# through one host and then through each of the others"
new_key
score h1 --attempt 1
score h2 --attempt 2
score h3 --attempt 3
score h1 --attempt 4
echo "calls: $(($(count_calls s1) - before))"

echo "# the answer is cut after the service ran the call"
new_key
fault s1 '{"op":"cut"}'
score h1 --attempt 1
score h2 --attempt 2
echo "calls: $(($(count_calls s1) - before))"

echo "# six at once, by turns through all three hosts"
new_key
call_later six h1 --port "$(port_of h1),$(port_of h2),$(port_of h3)" \
  --service leases/score --method POST --body '{"lease": 8}' \
  --non-idempotent --idempotency-key "$new_key" --repeat 6
finish six 's/ ran=.*//'
echo "calls: $(($(count_calls s1) - before))"

echo "# a host that may have taken the first attempt is stopped"
new_key
signal_to h3 STOP
score h2 --attempt 2 --limit-ms 14000
signal_to h3 CONT
echo "calls: $(($(count_calls s1) - before))"
