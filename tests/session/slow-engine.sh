#!/bin/sh
# One engine of three makes tokens eight times slower than the others, and
# answers every check.  Streams there crawl; they hold little memory, so without
# a look at the gaps it seems to have the most room and gets the most work.  The
# two hosts own one or two engines each and can only tell it together.
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

# Load in rounds until a round sends the slow engine almost nothing.
round() {
  slow_before=$(count_starts e1)
  call h1 --port "$both_ports" --tokens 60 --repeat 24 >"$work/round"
  slow=$(($(count_starts e1) - slow_before))
  [ "$slow" -le 3 ]
}
wait_until 60 round
echo "# nearly all of 24 callers go to the two engines that are well"
sed 's/ ran=.*//' "$work/round"
