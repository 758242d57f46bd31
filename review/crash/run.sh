#!/bin/sh
# Not a case of its own: another way to the fault of case 1; see REPORT.md.
#
# Servers of a plain service crash one after another, each for 4.5 seconds,
# while clients send bodies of 200,000 bytes.  Every server that runs a request
# has to get the body that the client sent.
# Exit code: 1: the rule was broken; 0: it held; 2: the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
standin=$root/target/review/standin
record=$here/record.txt
work=$(mktemp -d) || exit 2
pids=
: >"$record" || exit 2

stop_all ()
{
  for pid in $pids; do
    # The number of a child that has ended may be another process's by now.
    parent=$(sed -n 's/^PPid:[[:space:]]*//p' "/proc/$pid/status" 2>/dev/null)
    [ "$parent" = $$ ] && kill -KILL "$pid"
  done
  rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

[ -x "$standin" ] && [ -x "$root/target/cowslip-gateway" ] || exit 2
set -- $("$standin" ports 13)
store=127.0.0.1:$1
front=127.0.0.1:$2
ready=127.0.0.1:$3
shift 3
peers=$1 metrics=$2 relay=$3
shift 3
server_ports="$1 $2 $3 $4 $5 $6 $7"

"$standin" store "$store" &
pids="$pids $!"
sleep 0.3

# start_server NUMBER PORT
start_server ()
{
  "$standin" server "i-$1-$3" "127.0.0.1:$2" newsdesk-app hall-taff \
    "$store" "$record" 30 &
  eval "server_$1=$!"
  pids="$pids $!"
}

number=0
for port in $server_ports; do
  number=$((number + 1))
  start_server $number "$port" 0
done

config='{"version":7,"routes":[
{"name":"r-fetch","host":"h.example","path_prefix":"/fetch/","route_kind":"unsafe","timeout_ms":1200,"slo_ms":150,"priority":2,"service":"newsdesk-app","max_attempts":1,"public":false,"sticky":false,"resumable":false}],
"services":[{"name":"newsdesk-app","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"huka270","api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}'
"$standin" put "$store" op/config "$config" || exit 2

cat >"$work/settings.json" <<EOF
{ "host": "edge-hall-taff-1", "data_centre": "hall-taff",
  "callers": "$front", "readiness": "$ready", "metrics": "127.0.0.1:$metrics",
  "peers": "127.0.0.1:$peers", "relay": "127.0.0.1:$relay",
  "seeds": ["127.0.0.1:$peers"], "store": "$store", "cores": 1,
  "core_share": 0.25, "link_mbps": 1000.0, "stop_limit_s": 8,
  "retry_share": 0.2, "retry_extra": 58, "retry_window_s": 10 }
EOF
cd "$root" || exit 2
COWSLIPSPOKE_CONFIG=$work/settings.json target/cowslip-gateway \
  >"$work/gateway.log" 2>&1 &
gateway=$!
pids="$pids $gateway"
sleep 3
kill -0 "$gateway" 2>/dev/null || exit 2

"$standin" client "$front" "$record" up 1000 50 /fetch/2f 200000 "${FRAMING:-chunks}" \
  2500 "X-Credential: xd9dnn2ctnfzs989anu6" &
client=$!
pids="$pids $client"

sleep 2
round=0
while [ $round -lt 8 ]; do
  round=$((round + 1))
  number=$(((round - 1) % 7 + 1))
  if [ "${TROUBLE:-1}" != 0 ]; then
    eval "pid=\$server_$number"
    echo "- server $number is killed" >>"$record"
    kill -KILL "$pid"
    wait "$pid" 2>/dev/null
  fi
  sleep 4.5
  if [ "${TROUBLE:-1}" != 0 ]; then
    port=$(echo $server_ports | cut -d' ' -f$number)
    start_server $number "$port" $round
  fi
  sleep 1
done
wait "$client"
kill -0 "$gateway" 2>/dev/null || { echo "- the gateway has ended" >>"$record"; exit 1; }

# A request has run with another body than the client's.
awk '$2 == "sent" { sent[$3] = $4 " " $6 " " $7; count++ }
     $2 == "run" { runs++; now = $7 " " $9 " " $10
       if ($6 != "POST" || sent[$3] != now)
         { broken++; print "UNASKED: " $3 " was sent as " sent[$3] " and run at " $5 " as " now } }
     $2 == "malformed" { malformed++; print "at " $5 " " $3 " came behind other bytes" }
     $2 == "answered" && $5 == 200 { served++ }
     END { print "sent " count ", run " runs ", served " served ", run with another body " broken + 0 ", malformed at a server " malformed + 0
       exit count < 500 || served < 250 ? 2 : broken > 0 }' "$record" >"$work/verdict"
status=$?
cat "$work/verdict"
cat "$work/verdict" >>"$record"
exit $status
