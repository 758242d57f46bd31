#!/bin/sh
# Runs a small fleet on loopback: platform, engines, a plain service and three
# hosts.  Streams a bulletin and a proposal, sends a lease score twice with one
# key, stops a host with SIGTERM in mid-stream and kills an engine.  Prints
# what each caller got, and the metrics.  Exits 0 when all results were as
# promised and no process is left running.
. "$(dirname "$0")/fleet.sh"
faults=0
began_s=$(date +%s)

conclude() {
  trap - EXIT INT TERM
  end_all
  rm -rf "$work"
  took_s=$(($(date +%s) - began_s))
  if [ $faults = 0 ]; then
    echo "demo: all as promised, in $took_s s; nothing is left running"
  else
    echo "demo: $faults of the promises above were not kept"
  fi
  [ $faults = 0 ]
  exit
}
trap conclude EXIT
trap 'faults=1; exit 1' INT TERM

say() {
  printf '\n== %s\n' "$*"
}

# show WHO CALL: prints what a caller got.
show() {
  sed "s/^/   $1: /" "$work/$2.call"
}

# expect WHAT COMMAND...: prints whether an expectation holds.
expect() {
  what=$1
  shift
  if "$@"; then
    echo "   ok: $what"
  else
    echo "   NOT KEPT: $what"
    faults=$((faults + 1))
  fi
}

got() {
  grep -q "$2" "$work/$1.call"
}

# call_as WHO CALL HOST OPTION...: makes a call, waits for it and shows its
# result.
call_as() {
  who=$1
  call=$2
  shift 2
  call_later "$call" "$@" --key "key-$who"
  finish "$call" >"$work/finished"
  show "$who" "$call"
}

# Finds the engine that runs the newest call, once it has made 20 tokens.
find_busy_engine() {
  busy=
  for engine in e1 e2 e3; do
    if generations "$engine" | grep 'state=running$' |
      grep -q -E 'made=([2-9][0-9]|[0-9]{3,}) '; then
      busy=$engine
    fi
  done
  [ -n "$busy" ]
}

say "platform, three engines, a plain service and three hosts"
start_platform
publish_usual_config
for engine in e1 e2 e3; do
  start_engine "$engine" --token-ms 20
done
start_service s1
for host in h1 h2 h3; do
  start_host "$host"
done
publish_hosts
wait_ready h1 h2 h3
echo "   hosts serve on ports $(port_of h1), $(port_of h2) and $(port_of h3)"

say "Llanfair streams a bulletin through h1"
call_as llanfair bulletin h1 --prompt "Draft a staff bulletin" --tokens 60
expect "the whole bulletin, each token once" got bulletin complete=yes

say "Pwani streams a proposal through h2"
call_as pwani proposal h2 --chat --prompt "Draft a proposal" --tokens 120
expect "the whole proposal, each token once" got proposal complete=yes

say "Pwani scores a lease through h1 and, under the same key, through h2"
home=$(call h1 --path /v1/idempotency-home --method GET --show-body |
  sed -n 's/.*"host_token":"\([^"]*\)".*/\1/p')
call_as pwani score1 h1 --service leases/score --method POST \
  --body '{"lease": 7}' --non-idempotent --idempotency-key "$home~lease-7" \
  --attempt 1 --show-body
call_as pwani score2 h2 --service leases/score --method POST \
  --body '{"lease": 7}' --non-idempotent --idempotency-key "$home~lease-7" \
  --attempt 2 --show-body
calls=$(count_calls s1)
echo "   the service counted $calls call(s)"
expect "the lease was scored once" test "$calls" = 1

say "h1 gets SIGTERM while it streams a bulletin"
call_later drained h1 --key key-llanfair --tokens 150
wait_until 10 find_busy_engine
signal_to h1 TERM
finish drained >"$work/finished"
show llanfair drained
expect "the bulletin came to its end" got drained complete=yes
wait_exit h1 20 >"$work/exit"
sed 's/^/   /' "$work/exit"
expect "h1 ended well" grep -q 'exit=0' "$work/exit"
remove_host h1
publish_hosts

say "an engine is killed with a proposal on it"
call_later cut h2 --key key-pwani --chat --tokens 1000
wait_until 10 find_busy_engine
echo "   killing $busy"
signal_to "$busy" KILL
forget "$busy"
finish cut >"$work/finished"
show pwani cut
expect "no clean end on half an answer" got cut 'end=error verdict=ran'
expect "nothing of another generation" got cut 'gaps=0 generations=1'
call_as pwani after h3 --chat --tokens 40
expect "the next call is served by the other engines" got after complete=yes

say "forty callers side by side through h2 and h3"
call_later crowd h2 --port "$(port_of h2),$(port_of h3)" --tokens 40 \
  --repeat 40 --stagger-ms 10
finish crowd >"$work/finished"
tr ' ' '\n' <"$work/crowd.call" | sed 's/^/   /'
expect "all forty complete" got crowd 'complete=40'

say "measures of h2: counters, and means of its histograms"
request h2 GET /metrics | awk '
  /^#/ { next }
  /_total[{ ]/ && $2 > 0 { print "   " $0 }
  /_sum[{ ]/ { name = $1; sub(/_sum/, "", name); sum[name] = $2 }
  /_count[{ ]/ { name = $1; sub(/_count/, "", name)
    if ($2 > 0)
      printf "   %s n=%d mean=%.4f\n", name, $2, sum[name] / $2 }'
