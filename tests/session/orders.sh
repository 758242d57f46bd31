#!/bin/sh
# Operators change the wanted model of all engines through the configuration
# alone, on an engine that checks fencing numbers and on one that ignores them.
# Then a second host with an older configuration claims the engines too.  If
# its orders took effect, the model that callers rely on would be unloaded.
. "$(dirname "$0")/lib.sh"

# loaded ENGINE: the models that it reports as loaded, with versions.
loaded() {
  request "$1" GET /v1/load | sed -n 's/.*"model_versions":\({[^}]*}\).*/\1/p'
}

has_loaded() {
  [ "$(loaded "$1")" = "$2" ]
}

# orders_of ENGINE: every order that it received, with its result, in order.
orders_of() {
  request "$1" GET /test/log | sed 's/.*"orders"://' | grep -o '{[^}]*}' |
    sed -n 's/.*"fence":\([0-9]*\),"op":"\([a-z_]*\)","name":"\([^"]*\)","version":"\([^"]*\)".*"result":"\([a-z_]*\)".*/\2 \3 \4 \5/p' |
    sed 's/  */ /g'
}

orders_state_is() {
  request "$1" GET /status | tr -d ' \n' |
    grep -q "\"name\":\"$2\".*\"orders\":{\"state\":\"$3\""
}

saw_event() {
  grep -q "\"$2\"" "$work/$1.err"
}

want() {
  publish_config "\"targets/general\": {\"kind\": \"engines\",
    \"longest_order_ms\": 1500, \"loads_per_minute\": 6000,
    \"wanted\": {\"models\": {\"m-small\": {\"version\": \"$1\"}$2},
      \"role\": \"mixed\"}}"
}

start_platform
publish_usual_config
start_engine e1
checks_fence=false
start_engine e2 --checks-fence 0
checks_fence=true
start_host h1
publish_hosts
wait_ready h1

echo "# no wanted state, no orders"
orders_of e1
orders_of e2
echo "# version 3, and a second model"
want 3 ', "m-large": {"version": "1"}'
for engine in e1 e2; do
  wait_until 20 has_loaded "$engine" '{"m-small":"3","m-large":"1"}'
  wait_until 20 orders_state_is h1 "$engine" settled
  echo "$engine:"
  orders_of "$engine"
done
call h1 --tokens 5

echo "# the second model goes"
want 3 ''
for engine in e1 e2; do
  wait_until 20 has_loaded "$engine" '{"m-small":"3"}'
done

echo "# an engine that restarts empty is loaded again"
signal_to e1 KILL
forget e1
start e1 standin-engine --name e1
publish_hosts
wait_until 20 has_loaded e1 '{"m-small":"3"}'
echo "e1:"
orders_of e1 | grep -v set_role

echo "# a host with an older configuration takes the engines over"
request platform POST /test/mode '{"stale_revision":2}' >"$work/mode"
signal_to h1 STOP
start h2 cowslipd --host h2 --deployment test \
  --region wales --data-centre cardiff \
  --listen-address 127.0.0.1 --http-port 0 --peer-port 0 \
  --platform-address 127.0.0.1 --platform-port "$(port_of platform)" \
  --heartbeat-interval-ms 50 --suspect-after-ms 400
remove_host h1
echo h2 >>"$work/hosts"
publish_hosts
wait_ready h2
wait_until 30 saw_event h2 order-held-back
wait_until 30 has_loaded e2 '{"m-small":"3","m-large":"1"}'
loaded e1
signal_to h1 CONT
echo "# e2 ignores the number and took the old order; healed, it goes again"
wait_until 30 has_loaded e2 '{"m-small":"3"}'
wait_until 30 revision_is h2 3
loaded e2
