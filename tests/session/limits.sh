#!/bin/sh
# One organisation sends twenty requests at once and is allowed two open
# streams; another organisation must not wait behind them.  If the limit
# weren't enforced, the backlog would fill the engines although operators have
# declared a limit.
. "$(dirname "$0")/lib.sh"
start_platform
publish_usual_config
start_engine e1 --token-ms 2
start_service s1
start_host h1
publish_hosts
wait_ready h1

# Prints the results of twenty concurrent calls, without times.  The served
# calls last for seconds: on a busy machine the last of the twenty is sent some
# hundred ms after the first, and would be served too if the first had ended by
# then.
served_tokens=2000
burst() {
  call "$@" --repeat 20 | sed 's/ first_p50.*//'
}

organisation_limits() {
  publish_config "\"organisation/llanfair\":
    {\"key_sha256\": [\"$(hash_of_key llanfair)\"], \"limits\": {$1}}"
  wait_until 5 has_revision h1
}


echo "# no limit"
burst h1 --tokens 100
echo "# two open streams of the organisation"
organisation_limits '"max_open_streams": 2'
burst h1 --tokens $served_tokens
call_later a h1 --tokens 3000 --prompt a
call_later b h1 --tokens 3000 --prompt b
wait_until 5 has_started e1 24
echo "# a third call is told when to come back"
call h1 --tokens 5
echo "# another organisation is served"
call h1 --key key-pwani --tokens 5 | head -n 1
echo "# when the streams have ended, so is the first"
finish a >"$work/finished"
finish b >>"$work/finished"
call h1 --tokens 5 | head -n 1

echo "# tokens a second: the bucket takes the first calls, then none for long"
organisation_limits '"tokens_per_s": 1'
call h1 --tokens 50 | head -n 1
call h1 --tokens 5 | head -n 1
organisation_limits ''

echo "# three open streams of a route, one of a rule"
publish_config '"route/m-small": {"pool": "general",
  "limits": {"max_open_streams": 3}}'
wait_until 5 has_revision h1
burst h1 --tokens $served_tokens
publish_config '"rule/all": {"when": {},
  "then": {"send": {"max_open_streams": 1}}}'
wait_until 5 has_revision h1
burst h1 --tokens $served_tokens

# An engine that is listed more than ten seconds after the host's start gets
# its load in steps over 6.6 s; the long answer needs nearly all of its
# capacity.
echo "# three wait while a long answer fills the only engine of a pool"
start_engine t1 --memory-tokens 2400 --token-ms 2
add_target t1 engine tight
publish_hosts
publish_config '"targets/tight": {"kind": "engines"},
  "rule/all": {"when": {}, "then": {"send": {}}},
  "route/m-tight": {"pool": "tight", "model": "m-small", "limits": {"max_waiting": 3}}'
wait_until 5 has_revision h1
wait_until 5 list_was_read
wait_until 10 serves_model h1 m-tight
call_later full h1 --model m-tight --tokens 700 --prompt "$(text 6400)"
wait_until 15 has_started t1 2
burst h1 --model m-tight --tokens 300 --prompt "$(text 4000)"
finish full 1q

echo "# with a second host each has its part of four"
publish_config '"route/m-small": {"pool": "general"},
  "rule/all": {"when": {}, "then": {"send": {"max_open_streams": 4}}}'
start_host h2
publish_hosts
wait_ready h1 h2
wait_until 5 list_was_read
wait_until 5 has_revision h1
wait_until 5 has_revision h2
for host in h1 h2; do
  call_later "at-$host" "$host" --tokens $served_tokens --repeat 10
done
for host in h1 h2; do
  finish "at-$host" 's/ first_p50.*//'
done
