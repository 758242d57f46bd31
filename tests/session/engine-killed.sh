#!/bin/sh
# An engine process is killed: before the first token, when another engine may
# take over, and after it, when none can.  A caller must never get a normal end
# of stream after half an answer, nor text of two generations.
. "$(dirname "$0")/lib.sh"

# The first token comes so late that none is sent before the engine is killed.
start_platform
publish_usual_config
start_engine e1 --first-ms 60000
start_host h1 --stall-timeout-ms 30000
publish_hosts
wait_ready h1

echo "# killed before the first token; another engine takes over"
call_later first h1 --tokens 10
wait_until 5 has_started e1 1
start_engine e2
publish_hosts
wait_until 5 list_was_read
signal_to e1 KILL
finish first
echo "starts at e2: $(count_starts e2)"

echo "# killed after the first token"
call_later second h1 --tokens 2000
wait_until 5 has_made e2 30
signal_to e2 KILL
finish second 's/^tokens=[0-9]*/tokens=N/'

echo "# nobody is left: nothing ran"
call h1 --tokens 10 --deadline-ms 1500
forget e1 e2
