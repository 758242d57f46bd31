#!/bin/sh
# Not a case: a lesser fault than the three; see REPORT.md.
#
# The operator brings in new pools of engines one after another, each with a
# route of its own, and takes the old ones out of the configuration.  There are
# never more than three pools in it.  The route that was added last has to be
# served like the first one.
# Exit code: 1: the rule was broken; 0: it held; 2: the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
standin=$root/target/review/standin
record=$here/record.txt
changes=10
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
set -- $("$standin" ports $((changes + 7)))
store=127.0.0.1:$1 front=127.0.0.1:$2 ready=127.0.0.1:$3
peers=$4 metrics=$5 relay=$6
shift 6

"$standin" store "$store" &
pids="$pids $!"
sleep 0.3
number=0
for port in "$@"; do
  "$standin" server "i-$number" "127.0.0.1:$port" "pool-$number" hall-taff \
    "$store" "$record" 60 engine &
  pids="$pids $!"
  number=$((number + 1))
done

engine='"engine":{"slots":24,"kv_capacity":34288,"kv_bytes":131072,"link_mbps":19000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}'
route ()
{
  printf '{"name":"r-%s","host":"h.example","path_prefix":"/draft-%s/","route_kind":"streaming","timeout_ms":6000,"slo_ms":1500,"priority":1,"service":"pool-%s","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_target_ms":180}' $1 $1 $1
}
service ()
{
  printf '{"name":"pool-%s","health_path":"/healthz","max_conns":252,"protocol":"h1","tls":false,%s}' $1 "$engine"
}
# publish VERSION POOL...
publish ()
{
  version=$1
  shift
  routes= services= comma=
  for pool in "$@"; do
    routes=$routes$comma$(route $pool)
    services=$services$comma$(service $pool)
    comma=,
  done
  echo "- version $version has the pools $*" >>"$record"
  "$standin" put "$store" op/config "{\"version\":$version,\"routes\":[$routes],\"services\":[$services],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"huka270\",\"api_keys\":[\"xd9dnn2ctnfzs989anu6\"],\"priority\":1}]}"
}
# load PREFIX COUNT POOL
load ()
{
  exec "$standin" client "$front" "$record" "$1" "$2" 250 "/draft-$3/2f" 900 length \
    6000 "X-Credential: xd9dnn2ctnfzs989anu6" "X-Model: m" "X-Token-Usage: 700,40"
}

if [ "${TROUBLE:-1}" != 0 ]; then
  publish 7 0 1 || exit 2
else
  publish 7 0 $changes || exit 2
fi
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

# Each pool gets some requests while it is in the configuration, and so does
# the first one.
pool=1
while [ $pool -le $changes ]; do
  if [ "${TROUBLE:-1}" != 0 ] && [ $pool -gt 1 ]; then
    publish $((7 + pool * 3)) 0 $((pool - 1)) $pool || exit 2
  fi
  sleep 2.2
  current=$pool
  [ "${TROUBLE:-1}" != 0 ] || current=$changes
  (load "early-$pool" 4 "$current")
  (load "old-$pool" 2 0)
  pool=$((pool + 1))
done

# No change for three seconds, then the requests that count.
sleep 3
load first 80 0 &
first=$!
load added 80 "$changes" &
added=$!
pids="$pids $first $added"
wait "$first" "$added"
kill -0 "$gateway" 2>/dev/null || { echo "- the gateway has ended" >>"$record"; exit 1; }

awk '$2 == "sent" { split ($3, id, "-"); sent[id[1]]++ }
     $2 == "answered" { split ($3, id, "-"); status[id[1] " " $5]++
       if ($5 == 200 && $10 == "whole") served[id[1]]++ }
     END { for (s in status) print "answers " s ": " status[s]
       print "first route: sent " sent["first"] + 0 ", served " served["first"] + 0
       print "route added last: sent " sent["added"] + 0 ", served " served["added"] + 0
       if (sent["added"] < 20 || served["first"] < 20) exit 2
       if (served["added"] / sent["added"] < served["first"] / sent["first"] / 4)
         { print "CONFIG: the route that was added last is served less than a quarter as often"; exit 1 } }' \
  "$record" >"$work/verdict"
status=$?
cat "$work/verdict"
cat "$work/verdict" >>"$record"
exit $status
