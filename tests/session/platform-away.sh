#!/bin/sh
# The platform's services are unavailable.  Hosts continue with the data they
# have, and a host that is replaced meanwhile gets the data from its peers.
# Otherwise every host that is replaced during an outage would refuse all
# callers.
. "$(dirname "$0")/lib.sh"
start_platform
publish_usual_config
start_engine e1
start_host h1
start_host h2
publish_hosts
wait_ready h1 h2
wait_until 5 list_was_read
wait_until 10 serves_model h1 m-small
wait_until 10 serves_model h2 m-small

request platform POST /test/mode '{"away":true}' >"$work/away"
echo "# away: the hosts that run"
call h1 --tokens 5
call h2 --tokens 5

echo "# a host that is replaced at its own address"
old_port=$(port_of h2)
old_peer_port=$(peer_port_of h2)
signal_to h2 TERM
wait_exit h2
remove_host h2
start_host h2 --http-port "$old_port" --peer-port "$old_peer_port"
wait_ready h2
call h2 --tokens 5

echo "# back, with one route more"
publish_config '"route/m-two": {"model": "m-small", "pool": "general"}'
call h1 --tokens 5 --model m-two | head -n 1
request platform POST /test/mode '{"away":false}' >"$work/away"
wait_until 10 serves_model h1 m-two
wait_until 10 serves_model h2 m-two
call h2 --tokens 5 --model m-two
