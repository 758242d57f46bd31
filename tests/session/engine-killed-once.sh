#!/bin/sh
# An engine is killed while it runs a call that may run at most once.  The host
# can't know whether the call ran, so it must not send it to another engine,
# and the caller must get the verdict that the call may have run.
. "$(dirname "$0")/lib.sh"
start_platform
publish_usual_config
start_engine e1 --first-ms 60000
start_host h1 --stall-timeout-ms 30000
publish_hosts
wait_ready h1

call_later first h1 --tokens 10 --non-idempotent
wait_until 5 has_started e1 1
start_engine e2
publish_hosts
wait_until 5 list_was_read
signal_to e1 KILL
finish first
echo "starts at e2: $(count_starts e2)"
forget e1
