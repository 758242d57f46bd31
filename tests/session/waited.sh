#!/bin/sh
# A long answer fills the only engine of a pool, and the requests behind it
# wait.  Rules must apply to waiting requests too: by their time in the queue
# they are refused or sent to another pool, and by the load new ones are
# refused.  A host that evaluates rules only on arrival makes callers wait for
# the end of the long answer, whatever operators have declared.
. "$(dirname "$0")/lib.sh"
start_platform
publish_usual_config
start_engine e1
start_engine t1 --memory-tokens 2400 --token-ms 6
add_target t1 engine tight
start_host h1
publish_hosts
wait_ready h1

# use_rule WHEN THEN: publishes one rule on the route of the tight pool, ahead
# of the usual ones.
use_rule() {
  publish_config "\"targets/tight\": {\"kind\": \"engines\"},
    \"route/m-tight\": {\"pool\": \"tight\", \"model\": \"m-small\"},
    \"rule/tight\": {\"when\": {\"route\": \"m-tight\", $1}, \"then\": {$2}},
    \"rule-order\": [\"tight\", \"large-prompts\", \"all\"]"
  wait_until 5 has_revision h1
}

# fill N: starts the Nth generation on the tight engine.  Its prompt takes two
# thirds of the memory, and the one of wait_behind needs half.  A host measures
# load ten times a second, so an answer's start or end doesn't show at once.
fill() {
  wait_until 5 has_pool_load h1 tight '== 0'
  call_later full h1 --model m-tight --tokens 700 --prompt "$(text 6400)"
  wait_until 5 has_started t1 "$1"
}

wait_behind() {
  call h1 --model m-tight --tokens 300 --prompt "$(text 4000)"
}

use_rule '"time_in_queue_ms": {"min": 1000}' \
  '"turn_away": {"reason": "waited too long", "retry_after_ms": 2000}'
wait_until 10 serves_model h1 m-tight
starts=$(count_starts t1)
fill $((starts + 1))
echo "# turned away after a second in the queue"
wait_behind
finish full 1q

use_rule '"time_in_queue_ms": {"min": 1000}' '"send": {"pool": "general"}'
fill $((starts + 2))
echo "# sent to another pool after a second in the queue"
wait_behind
echo "starts at e1: $(count_starts e1)"
finish full 1q

use_rule '"load": {"min": 0.6}' \
  '"turn_away": {"reason": "full", "retry_after_ms": 2000}'
echo "# a rule on load: let in, and turned away while that runs"
fill $((starts + 3))
wait_until 5 has_made t1 20
wait_until 5 has_pool_load h1 tight '>= 0.6'
wait_behind
finish full 1q
echo "# and let in when it has ended"
wait_until 5 serves_model h1 m-tight
wait_behind | head -n 1
