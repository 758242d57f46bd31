#!/bin/sh
# One engine of three makes tokens eight times slower than the others, but
# answers every health check.  Its streams are slow and use little memory, so a
# host that ignores the gaps between tokens would see it as the engine with the
# most free capacity and send it the most work.  The two hosts own one or two
# engines each, so neither can detect it alone.
. "$(dirname "$0")/lib.sh"
start_platform
publish_usual_config
start_engine e1 --token-ms 80
start_engine e2 --token-ms 10
start_engine e3 --token-ms 10
start_host h1
start_host h2
publish_hosts
wait_ready h1 h2
both_ports=$(port_of h1),$(port_of h2)

# Sends rounds of load until a round sends the slow engine almost nothing.
round() {
  slow_before=$(count_starts e1)
  call h1 --port "$both_ports" --tokens 60 --repeat 24 >"$work/round"
  slow=$(($(count_starts e1) - slow_before))
  [ "$slow" -le 3 ]
}
wait_until 60 round
echo "# nearly all of 24 callers go to the two engines that are well"
sed 's/ ran=.*//' "$work/round"
