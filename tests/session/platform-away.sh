#!/bin/sh
# The platform's service goes away.  Hosts serve on what they have, and a host
# that starts meanwhile gets it from the others.  Without that, every host
# that is replaced during an outage would refuse all callers.
. "$(dirname "$0")/lib.sh"
start_platform
publish_usual_config
start_engine e1
start_service s1
start_host h1
start_host h2
publish_hosts
wait_ready h1 h2

request platform POST /test/mode '{"away":true}'
echo "# away: a host that runs"
call h1 --tokens 5
call h2 --tokens 5
echo "# back, with one route more"
publish_config '"route/m-two": {"model": "m-small", "pool": "general"}'
call h1 --tokens 5 --model m-two | head -n 1
request platform POST /test/mode '{"away":false}'
wait_until 10 serves_model h1 m-two
wait_until 10 serves_model h2 m-two
call h1 --tokens 5 --model m-two
