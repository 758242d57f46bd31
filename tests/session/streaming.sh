#!/bin/sh
# The basic path: a caller's request through a host to an engine, streamed and
# whole, with both APIs.  A fault here shows as text that is duplicated,
# missing or out of order.
. "$(dirname "$0")/lib.sh"
start_usual_fleet

echo "# streamed"
call h1 --tokens 12 --text
call h1 --tokens 12 --chat --text
echo "# whole"
call h1 --tokens 12 --whole --text
call h1 --tokens 12 --chat --whole --text
echo "# shortened by max_tokens"
call h1 --tokens 50 --max-tokens 5 --text
echo "# one token, and many"
call h1 --tokens 1 --text
call h1 --tokens 400
echo "# a slow reader"
call h1 --tokens 20 --slow-ms 30
echo "# forty callers side by side"
call h1 --tokens 20 --repeat 40 | sed 's/ first_p50.*//'
echo "# models"
call h1 --path /v1/models --method GET --show-body
echo "# the engine ran each request once"
count_starts e1
