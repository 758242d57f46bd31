#!/bin/sh
# A caller disconnects before it has received any byte: it asked for a whole
# answer, or the first token is late.  The host writes nothing to it meanwhile,
# so no write fails.  If the host doesn't detect the disconnect otherwise, the
# engine spends its memory on answers that nobody reads.
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
