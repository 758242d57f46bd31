#!/bin/sh
# A lease score is repeated with its key at a host that is shutting down.  That
# host no longer asks its peers, so it can't know whether the first attempt
# ran.  If it answered "not run", the portal would send the score with a new
# key, and the buyer would get two quotes.
. "$(dirname "$0")/lib.sh"
start_usual_fleet
start_host h2
publish_hosts
wait_ready h2

call_later long h1 --tokens 600
wait_until 5 has_made e1 20
signal_to h1 TERM
wait_until 5 fails_ready h1
is_shutting_down() {
  call "$1" --path /v1/models --method GET | grep -q shutting_down
}
wait_until 5 is_shutting_down h1
echo "# a repeat with its key"
call h1 --service leases/score --method POST --body '{"lease": 7}' \
  --non-idempotent --idempotency-key plain-text-key --attempt 2 | head -n 1
echo "# a call without a key surely did not run"
call h1 --service leases/score --method POST --body '{"lease": 7}' | head -n 1
echo "calls: $(count_calls s1)"
finish long
wait_exit h1 10
