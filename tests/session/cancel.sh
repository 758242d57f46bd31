#!/bin/sh
# A caller disconnects in mid-stream.  Without a cancel the engine would
# continue an answer that nobody reads, and other callers would wait for its
# memory.
. "$(dirname "$0")/lib.sh"
start_usual_fleet

echo "# streamed"
call h1 --tokens 4000 --hang-up-after 5
wait_until 5 is_state e1 cancelled
generations_settled e1

echo "# the next caller is served"
call h1 --tokens 5
