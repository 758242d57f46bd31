#!/bin/sh
# One organisation sends 120 requests at once to an engine with capacity for a
# dozen; another sends four a moment later.  In order of arrival the four would
# wait behind all 120, so small customers would suffer from the load of a large
# one.
. "$(dirname "$0")/lib.sh"
start_platform
publish_usual_config
start_engine e1 --memory-tokens 700 --token-ms 10
start_host h1 --max-streams 200
publish_hosts
wait_ready h1

waiting_is() {
  [ "$(request h1 GET /status | tr -d '\n ' |
    sed -n 's/.*"name":"general","waiting":\([0-9]*\).*/\1/p')" -ge "$1" ]
}
call_later large h1 --tokens 50 --max-tokens 50 --repeat 120
wait_until 10 waiting_is 80
call h1 --key key-pwani --tokens 50 --max-tokens 50 --repeat 4 >"$work/small"
echo "# the four of the small organisation"
sed 's/ ran=.*//' "$work/small"
if waiting_is 20; then
  echo "served while at least twenty of the large one waited"
else
  echo "served behind the large one"
fi
echo "# the others, of the large one"
finish large 's/ ran=.*//'
