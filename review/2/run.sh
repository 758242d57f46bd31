#!/bin/sh
# Engines of an almost idle pool are emptied and taken away, one after another.
# Most engines drop a run whose connection is closed; two of the six go on with
# it.  No request may go on at another engine while the one before still works
# on it.
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
set -- $("$standin" ports 16)
store=127.0.0.1:$1 front=127.0.0.1:$2 ready=127.0.0.1:$3
peers=$4 metrics=$5 relay=$6
shift 6

"$standin" store "$store" &
pids="$pids $!"
sleep 0.3

# start_engine ID PORT KIND
start_engine ()
{
  "$standin" server "$1" "127.0.0.1:$2" cowslip-pool hall-taff \
    "$store" "$record" 220 "$3" &
  started=$!
  pids="$pids $started"
}

for number in 1 2 3 4; do
  start_engine "i-$number" "$1" engine
  shift
done
keeping=${KEEPING:-keeping-engine}
start_engine k-1 "$1" $keeping
keeper_1=$started
start_engine k-2 "$2" $keeping
keeper_2=$started
shift 2

"$standin" put "$store" op/config '{"version":7,"routes":[
{"name":"r-draft","host":"h.example","path_prefix":"/draft/","route_kind":"streaming","timeout_ms":39000,"slo_ms":1800,"priority":0,"service":"cowslip-pool","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_target_ms":180}],
"services":[{"name":"cowslip-pool","health_path":"/healthz","max_conns":252,"protocol":"h1","tls":false,"engine":{"slots":24,"kv_capacity":34288,"kv_bytes":131072,"link_mbps":19000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"huka270","api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}' || exit 2

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

"$standin" client "$front" "$record" draft 30 2000 /draft/2f 900 length 39000 \
  "X-Credential: xd9dnn2ctnfzs989anu6" "X-Model: m" \
  "X-Token-Usage: 3000,932" "X-Length-Hint: 932" &
client=$!
pids="$pids $client"

# Up to three times, an engine that goes on leaves 2.5 seconds after it got a
# stream, and another one takes its place.
number=2
round=0
waited=0
while [ $round -lt 3 ] && [ $waited -lt 270 ]; do
  sleep 0.2
  waited=$((waited + 1))
  at=$(awk '$2 == "run" { at = $5 } END { print at }' "$record")
  case $at in k-*) ;; *) continue ;; esac
  eval "pid=\$keeper_${at#k-}"
  [ -n "$pid" ] || continue
  sleep 2.5
  round=$((round + 1))
  number=$((number + 1))
  eval "keeper_${at#k-}="
  [ "${TROUBLE:-1}" != 0 ] || continue
  kill -TERM "$pid"
  start_engine "k-$number" "$1" $keeping
  eval "keeper_$number=$started"
  shift
done
wait "$client"
sleep 1
kill -0 "$gateway" 2>/dev/null || { echo "- the gateway has ended" >>"$record"; exit 1; }

# Two runs of a request at once for more than 400 ms.
awk '$2 == "sent" { count++ }
     $2 == "run" { runs++ }
     $2 == "goes-on" { began[$3] = $1; at[$3] = $5; went_on++ }
     $2 == "end" && began[$3] && $5 != at[$3] && $1 > began[$3] + 400 \
       { twice++; print "TWICE: " $3 " went on at " at[$3] ", and " $5 " worked on it for another " $1 - began[$3] " ms" }
     $2 == "answered" && $5 == 200 && $NF == "whole" { whole++ }
     END { print "streams " count + 0 ", whole " whole + 0 ", went on elsewhere " went_on + 0 ", at two engines at once " twice + 0
       exit count < 30 ? 2 : twice > 0 }' "$record" >"$work/verdict"
status=$?
cat "$work/verdict"
cat "$work/verdict" >>"$record"
exit $status
