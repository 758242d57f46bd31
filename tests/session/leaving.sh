#!/bin/sh
# An engine is listed as leaving during a stream.  It must get no new requests
# once hosts have read the list, and its running requests must complete: an
# engine that is switched off while it has work cuts callers off.
. "$(dirname "$0")/lib.sh"
start_platform
publish_usual_config
start_engine e1
start_host h1
publish_hosts
wait_ready h1

call_later long h1 --tokens 250
wait_until 5 has_made e1 10
start_engine e2
add_target e1 engine general leaving
publish_hosts
wait_until 5 list_was_read
echo "# thirty calls after the list was read"
call h1 --tokens 5 --repeat 30 | sed 's/ first_p50.*//'
echo "starts at e1: $(count_starts e1)"
echo "starts at e2: $(count_starts e2)"
echo "# the stream that was open at the leaving engine"
finish long
