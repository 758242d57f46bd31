#!/bin/sh
# The connection to an engine stays open but carries no data.  Only the gap
# between tokens reveals it; otherwise the caller's text would stop, and the
# stream would be cut off at last.
. "$(dirname "$0")/lib.sh"
start_usual_fleet

echo "# the link is silent for 20 s after token 5"
fault e1 '{"op":"stall_after","index":5,"for_ms":20000}'
call h1 --tokens 20 --limit-ms 8000
generations_settled e1

echo "# the engine takes the request and sends no head; another takes over"
fault e1 '{"op":"late_head","for_ms":20000}'
call_later late h1 --tokens 21
wait_until 5 has_started e1 2
start_engine e2
publish_hosts
finish late
generations_settled e2

echo "# a long answer without a stall"
call h1 --tokens 300
