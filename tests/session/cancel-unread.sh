#!/bin/sh
# A caller gives up before it has read anything: it asked for a whole answer,
# or the first token is late.  Nothing is written to it meanwhile, so its
# hanging up doesn't show by a failing write; without another way to see it
# the engine's memory goes to answers that nobody reads.
. "$(dirname "$0")/lib.sh"
start_usual_fleet

echo "# a whole answer"
call h1 --tokens 4000 --whole --limit-ms 500
wait_until 5 is_state e1 cancelled
generations_settled e1

echo "# a first token that is late"
fault e1 '{"op":"late_head","for_ms":2000}'
call h1 --tokens 4001 --limit-ms 500
wait_until 5 is_state e1 cancelled
generations_settled e1 | tail -n 1
