#!/bin/sh
# Plain services: calls that may be repeated and calls that may run at most
# once, through hosts that can't see into the service.  If a call ran twice, a
# buyer would get two quotes; if one were lost, a lease would stay unpriced.
. "$(dirname "$0")/lib.sh"
start_usual_fleet
start_host h2
publish_hosts
wait_ready h2

echo "# passed on with path, query and body"
call h1 --service "leases/score?lease=7" --method POST --body '{"a":1}' \
  --show-body
call h1 --service leases/status/9 --method GET --show-body

echo "# the service fails: ran or may have run, never repeated"
fault s1 '{"op":"fail"}'
call h1 --service leases/score --method POST --body x | head -n 1
fault s1 '{"op":"cut"}'
call h1 --service leases/score --method POST --body x | head -n 1
echo "calls: $(count_calls s1)"
wait_until 10 serves_service h1
echo "# a call that may be repeated goes to another one"
start_service s2
publish_hosts
wait_until 5 list_was_read
fault s1 '{"op":"cut","count":1}'
fault s2 '{"op":"cut","count":0}'
call h1 --service leases/status/9 --method GET | head -n 1
call h2 --service leases/status/9 --method GET | head -n 1
