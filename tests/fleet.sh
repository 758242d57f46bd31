# Helpers that start and drive a small fleet of real processes on loopback, on
# ports that the kernel picks; for the golden sessions, the demo and the bench.
#
# No check relies on a fixed sleep: wait_until polls a condition that can be
# observed from outside, and exits when its time limit has passed.

BUILD=${BUILD:-build/plain}
work=$(mktemp -d "$BUILD/fleet.XXXXXX")
started=
: >"$work/hosts"
: >"$work/targets"

# The key of the organisation NAME is key-NAME.
hash_of_key() {
  printf 'key-%s' "$1" | sha256sum | cut -d' ' -f1
}

# Prints the state, parent and start time of a process; nothing when it has
# ended.
identity_of() {
  sed 's/.*) //' "/proc/$1/stat" 2>/dev/null | awk '{ print $1, $2, $20 }'
}

# is_running NAME: whether the process still exists and is the one that was
# started.  The shell reaps its children on its own and the kernel reuses
# process ids, so a signal to the id alone could hit an unrelated process.
is_running() {
  identity=$(identity_of "$(pid_of "$1")")
  case $identity in
  '' | Z*) return 1 ;;
  esac
  [ "${identity#* }" = "$(cat "$work/$1.identity")" ]
}

# note_process NAME PID: records a process and its identity.
note_process() {
  echo "$2" >"$work/$1.pid"
  identity=$(identity_of "$2")
  echo "${identity#* }" >"$work/$1.identity"
}

pid_of() {
  cat "$work/$1.pid"
}

port_of() {
  sed -n 's/^ready http=\([0-9]*\).*/\1/p' "$work/$1.out"
}

peer_port_of() {
  sed -n 's/^ready .*peer=\([0-9]*\).*/\1/p' "$work/$1.out"
}

wait_until() {
  limit_s=$1
  shift
  give_up_s=$(($(date +%s) + limit_s))
  until "$@"; do
    if [ "$(date +%s)" -gt $give_up_s ] || [ ! -d "$work" ]; then
      echo "gave up after $limit_s s: $*"
      exit 1
    fi
    sleep 0.05
  done
}

is_ready() {
  if [ -z "$(port_of "$1")" ] && has_ended "$1"; then
    echo "$1 ended before it served"
    exit 1
  fi
  [ -n "$(port_of "$1")" ]
}

# start NAME PROGRAM OPTION...
start() {
  name=$1
  program=$2
  shift 2
  "$BUILD/$program" "$@" >"$work/$name.out" 2>"$work/$name.err" &
  note_process "$name" $!
  started="$started $name"
  wait_until 20 is_ready "$name"
}

start_platform() {
  start platform standin-platform "$@"
}

# start_engine NAME OPTION...: an engine in data centre $data_centre, pool
# general.
start_engine() {
  start "$1" standin-engine --name "$@"
  add_target "$1" engine general
}

start_service() {
  start "$1" standin-service --name "$@"
  add_target "$1" service plain
}

# start_host NAME OPTION...
start_host() {
  host_name=$1
  shift
  start "$host_name" cowslipd --host "$host_name" --deployment test \
    --region wales --data-centre "${data_centre:-cardiff}" \
    --listen-address 127.0.0.1 --http-port 0 --peer-port 0 \
    --platform-address 127.0.0.1 --platform-port "$(port_of platform)" \
    --stall-timeout-ms 600 --drain-notice-ms 300 \
    --heartbeat-interval-ms 50 --suspect-after-ms 400 --max-streams 100 "$@"
  echo "$host_name" >>"$work/hosts"
  echo "${data_centre:-cardiff}" >"$work/$host_name.centre"
}

# add_target NAME KIND POOL [STATE]: adds a target, or replaces a known one.
add_target() {
  sed -i "/^$1 /d" "$work/targets"
  echo "$1 $2 $3 ${4:-live} ${data_centre:-cardiff} ${checks_fence:-true}" \
    >>"$work/targets"
}

remove_host() {
  sed -i "/^$1\$/d" "$work/hosts"
}

# Prints the data centre that start_host gave a host.
centre_of() {
  cat "$work/$1.centre" 2>/dev/null || echo "${data_centre:-cardiff}"
}

describe_hosts() {
  comma=
  while read -r name; do
    printf '%s{"name":"%s","region":"wales","data_centre":"%s",' \
      "$comma" "$name" "$(centre_of "$name")"
    printf '"address":"127.0.0.1","http_port":%s,"peer_port":%s,' \
      "$(port_of "$name")" "$(peer_port_of "$name")"
    printf '"state":"live"}'
    comma=,
  done <"$work/hosts"
}

describe_targets() {
  comma=
  while read -r name kind pool state centre checks; do
    printf '%s{"name":"%s","data_centre":"%s","address":"127.0.0.1",' \
      "$comma" "$name" "$centre"
    printf '"port":%s,"kind":"%s","pool":"%s","state":"%s",' \
      "$(port_of "$name")" "$kind" "$pool" "$state"
    printf '"checks_fence":%s}' "$checks"
    comma=,
  done <"$work/targets"
}

# Publishes the whole current host list.
publish_hosts() {
  request platform POST /test/hosts \
    "{\"hosts\":[$(describe_hosts)],\"targets\":[$(describe_targets)]}" \
    >"$work/published"
  list_version=$(sed 's/[^0-9]//g' "$work/published")
}

# publish_config SET [DELETE]: publishes a configuration change; SET has the
# members of "set", DELETE the elements of "delete".
publish_config() {
  request platform POST /test/config "{\"set\":{$1},\"delete\":[${2:-}]}" \
    >"$work/published"
  config_revision=$(sed 's/[^0-9]//g' "$work/published")
}

# Publishes an organisation for each of the two firms, a model route and a
# service route.
publish_usual_config() {
  publish_config "
    \"organisation/llanfair\": {\"key_sha256\": [\"$(hash_of_key llanfair)\"]},
    \"organisation/pwani\": {\"key_sha256\": [\"$(hash_of_key pwani)\"]},
    \"targets/general\": {\"kind\": \"engines\"},
    \"targets/plain\": {\"kind\": \"services\"},
    \"route/m-small\": {\"pool\": \"general\"},
    \"service/leases\": {\"pool\": \"plain\"},
    \"rule/large-prompts\": {\"when\": {\"prompt_tokens\": {\"min\": 5000}},
      \"then\": {\"turn_away\": {\"reason\": \"prompt too long\"}}},
    \"rule/all\": {\"when\": {}, \"then\": {\"send\": {}}},
    \"rule-order\": [\"large-prompts\", \"all\"]"
}

# request PROCESS METHOD PATH [BODY]: prints the body of the answer.
request() {
  "$BUILD/standin-caller" --port "$(port_of "$1")" --method "$2" --path "$3" \
    ${4:+--body "$4"} --limit-ms 5000 --show-body |
    sed -n '/^body=/,$ { s/^body=//; p; }'
}

status_of() {
  "$BUILD/standin-caller" --port "$(port_of "$1")" --method GET --path "$2" \
    --limit-ms 5000 | sed -n 's/^status=\([0-9]*\).*/\1/p'
}

answers_ready() {
  [ "$(status_of "$1" /ready)" = 200 ]
}

fails_ready() {
  [ "$(status_of "$1" /ready)" = 503 ]
}

# Waits until hosts are ready: they have configuration, host list and targets.
wait_ready() {
  for name in "$@"; do
    wait_until 15 answers_ready "$name"
  done
}

# Starts the smallest fleet: platform, one engine, one service and one host.
start_usual_fleet() {
  start_platform
  publish_usual_config
  start_engine e1
  start_service s1
  start_host h1
  publish_hosts
  wait_ready h1
}

# call PROCESS OPTION...: sends one request and prints its transcript.
call() {
  process=$1
  shift
  "$BUILD/standin-caller" --port "$(port_of "$process")" --key key-llanfair \
    "$@"
}

# call_later CALL PROCESS OPTION...: starts a call in the background.  finish
# CALL [SED] waits for it and prints its transcript.  Don't use finish in a
# pipeline: a subshell can't wait for processes of this shell.
call_later() {
  later=$1
  shift
  call "$@" >"$work/$later.call" 2>&1 &
  note_process "$later" $!
}

finish() {
  wait "$(pid_of "$1")"
  sed "${2:-}" "$work/$1.call"
}

# fault PROCESS JSON: injects a fault into a stand-in.
fault() {
  request "$1" POST /test/fault "$2" >"$work/fault"
}

# Makes a key for a call that may run at most once: a UUID of version 7.
new_key() {
  key_count=$((${key_count:-0} + 1))
  hex=$(printf '%012x' "$(date +%s%3N)")
  new_key=$(printf '%s-%s-7000-8000-%06x%06x' "${hex%????}" \
    "${hex#????????}" $$ "$key_count")
}

# Prints one line for each generation that an engine started, oldest first.
generations() {
  request "$1" GET /test/log | sed 's/"orders".*//' |
    grep -o '"prompt":"[^"]*".*' | sed 's/},{/\n/g' |
    sed -n 's/.*"prompt":"\([^"]*\)".*"made":\([0-9]*\),"links":\([0-9]*\),.*"state":"\([a-z]*\)".*/prompt=\1 made=\2 links=\3 state=\4/p'
}

# Prints the same without numbers that depend on timing.
generations_settled() {
  generations "$1" | sed 's/ made=[0-9]*//'
}

count_starts() {
  request "$1" GET /test/log | sed -n 's/.*"starts":\([0-9]*\).*/\1/p'
}

count_calls() {
  request "$1" GET /test/log | sed -n 's/.*"count":\([0-9]*\).*/\1/p'
}

# has_made ENGINE N: its newest generation has N tokens or more.
has_made() {
  made=$(generations "$1" | tail -n 1 | sed -n 's/.*made=\([0-9]*\).*/\1/p')
  [ "${made:-0}" -ge "$2" ]
}

# is_state ENGINE STATE: its newest generation is in that state.
is_state() {
  generations "$1" | tail -n 1 | grep -q "state=$2\$"
}

no_generation_runs() {
  ! generations "$1" | grep -q -E 'state=(waiting|running|preempted)$'
}

has_started() {
  [ "$(count_starts "$1")" -ge "$2" ]
}

# all_have_made N ENGINE...: all generations of these engines together have N
# tokens or more.
all_have_made() {
  least=$1
  shift
  sum=0
  for engine in "$@"; do
    for made in $(generations "$engine" | sed 's/.*made=\([0-9]*\).*/\1/'); do
      sum=$((sum + made))
    done
  done
  [ "$sum" -ge "$least" ]
}

starts_of() {
  sum=0
  for engine in "$@"; do
    sum=$((sum + $(count_starts "$engine")))
  done
  echo "starts=$sum"
}

count_of_reads() {
  request platform GET /test/counts |
    sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p"
}

# Counts the reads of the configuration.
count_reads() {
  echo $(($(count_of_reads config_full) + $(count_of_reads config_watch)))
}

has_read_more() {
  [ "$(count_reads)" -ge $(($1 + $2)) ]
}

# Prints a number from a host's /status.
status_number() {
  request "$1" GET /status | tr -d ' \n' |
    sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p"
}

# Whether all listed hosts have applied the host list published last.
list_was_read() {
  while read -r reader; do
    seen=$(status_number "$reader" host_list_version)
    [ "${seen:-0}" -ge "$list_version" ] || return 1
  done <"$work/hosts"
}

# revision_is HOST REVISION: the host has that configuration or a later one.
revision_is() {
  seen=$(status_number "$1" revision)
  [ "${seen:-0}" -ge "$2" ]
}

serves_model() {
  call "$1" --model "$2" --tokens 1 | grep -q 'status=200 end=done'
}

serves_service() {
  call "$1" --service leases/ping --method GET | grep -q 'status=200'
}

lacks_model() {
  call "$1" --model "$2" --tokens 1 | grep -q 'status=404'
}

# Whether a draining host refuses new calls, by its answer or by refusing the
# connection.
refuses_new() {
  call "$1" --tokens 1 | grep -q 'verdict=not run'
}

# forget NAME...: reaps processes that the session has killed itself, and leaves
# them out of the checks at its end.
forget() {
  for name in "$@"; do
    wait "$(pid_of "$name")" 2>/dev/null
    started=$(echo " $started " | sed "s/ $name / /")
  done
}

# Waits until a process of the session has ended; prints its exit code.
wait_exit() {
  wait_until "${2:-20}" has_ended "$1"
  wait "$(pid_of "$1")"
  echo "$1 exit=$?"
  forget "$1"
}

has_ended() {
  ! is_running "$1"
}

# signal_to NAME SIGNAL: sends a signal if the process still runs.
signal_to() {
  if is_running "$1"; then
    kill -s "$2" "$(pid_of "$1")"
  fi
}

# Ends all running processes and reports those that don't exit cleanly, which
# makes the session fail.
end_all() {
  for name in $started; do
    signal_to "$name" CONT
    signal_to "$name" TERM
  done
  for name in $started; do
    tries=200
    while ! has_ended "$name" && [ $tries -gt 0 ]; do
      tries=$((tries - 1))
      sleep 0.05
    done
    if ! has_ended "$name"; then
      echo "$name did not end within 10 s of SIGTERM"
      signal_to "$name" KILL
    fi
    wait "$(pid_of "$name")" 2>/dev/null
    code=$?
    if [ $code != 0 ]; then
      echo "$name ended with exit code $code"
      tail -n 30 "$work/$name.err"
    fi
  done
}

# has_revision HOST: it uses the configuration that was published last.
has_revision() {
  request "$1" GET /status | grep -q "\"revision\": *$config_revision,"
}

# has_pool_load HOST POOL TEST: the load that rules see there passes the test,
# as in '>= 0.6'.
has_pool_load() {
  load=$(request "$1" GET /status | tr -d ' \n' |
    sed -n "s/.*\"name\":\"$2\",\"waiting\":[0-9]*,\"load\":\([0-9.]*\).*/\1/p")
  [ -n "$load" ] && awk "BEGIN { exit !($load $3) }"
}

# text BYTES: prints prompt text of that size; a token has about four bytes.
text() {
  head -c "$1" /dev/zero | tr '\0' a
}

# waits_at HOST N: exactly N requests wait at the host, over all pools.
waits_at() {
  waiting=$(request "$1" GET /status | tr -d ' \n' | grep -o '"waiting":[0-9]*' |
    sed 's/.*://' | awk '{ sum += $1 } END { print sum + 0 }')
  [ "$waiting" = "$2" ]
}
