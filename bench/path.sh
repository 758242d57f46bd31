#!/bin/sh
# Measures what proxying through one host costs, compared with a caller that
# connects to the same stand-in engine directly: latency at 1, 100 and 800 open
# streams, and, as slopes over four numbers of streams, the processor time per
# token and the resident memory per stream.
. tests/fleet.sh
trap 'end_all >&2; rm -rf "$work"' EXIT
trap 'exit 1' INT TERM
tokens=100
clock_ticks=$(getconf CLK_TCK)

print_line() {
  awk -v name="$1" -v baseline="$2" -v now="$3" -v unit="$4" 'BEGIN {
    ratio = "-"
    if (baseline > 0)
      ratio = sprintf("%.3f", now / baseline)
    printf "%s baseline=%s now=%s ratio=%s unit=%s\n", name, baseline, now,
      ratio, unit }'
}

# summary_field NAME FILE: prints a number of the caller's summary, or an empty
# line when the summary has "unknown" instead.
summary_field() {
  sed -n "s/.*\\b$1=\\([0-9]*\\).*/\\1/p" "$2"
}

# run_streams COUNT FILE PROCESS OPTION...: opens COUNT concurrent streams to
# PROCESS and writes the caller's summary to FILE.  Streams start 3 ms apart,
# since a load balancer wouldn't send them all in one burst.  For a COUNT of 1
# two streams run one after the other.
run_streams() {
  count=$1
  file=$2
  shift 2
  repeat=$count
  [ "$count" = 1 ] && repeat=2
  call "$@" --tokens $tokens --repeat "$repeat" \
    --stagger-ms "$([ "$count" = 1 ] && echo 5000 || echo 3)" >"$file"
  if [ "$(summary_field complete "$file")" != "$repeat" ]; then
    echo "not all of $count streams were complete: $(cat "$file")" >&2
    exit 1
  fi
}

# cpu_ticks PROCESS: prints its clock ticks in user and system mode.
cpu_ticks() {
  sed 's/.*) //' "/proc/$(pid_of "$1")/stat" | awk '{ print $12 + $13 }'
}

resident_kb() {
  sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$(pid_of "$1")/status"
}

engine_has_running() {
  request e1 GET /v1/load | grep -q "\"running\":$1,"
}

# slope FILE: prints the least-squares slope over lines "x y".
slope() {
  awk '{ n++; x += $1; y += $2; xx += $1 * $1; xy += $1 * $2 }
    END { printf "%.4f", (n * xy - x * y) / (n * xx - x * x) }' "$1"
}

start_platform
publish_usual_config
start_engine e1 --token-ms 42 --slots 1000 --threads 1100 \
  --memory-tokens 100000000 --report-lag-ms 0
start_host h1 --max-streams 1000
publish_hosts
wait_ready h1
publish_config '"targets/general": {"kind": "engines",
  "memory_tokens": 100000000, "max_open_streams": 1000}'
wait_until 10 revision_is h1 "$config_revision"

for count in 1 100 800; do
  run_streams $count "$work/direct" e1 --direct
  run_streams $count "$work/path" h1
  for measure in first_p50 first_p99 gap_p50 gap_p99; do
    print_line "path.$measure.streams_$count" \
      "$(summary_field ${measure}_us "$work/direct")" \
      "$(summary_field ${measure}_us "$work/path")" us
  done
done

: >"$work/cpu"
: >"$work/memory"
for count in 100 200 400 800; do
  before=$(cpu_ticks h1)
  call_later load h1 --tokens $tokens --repeat $count --stagger-ms 3
  wait_until 30 engine_has_running $count
  echo "$count $(resident_kb h1)" >>"$work/memory"
  finish load >"$work/load"
  after=$(cpu_ticks h1)
  echo "$((count * tokens)) $(((after - before) * 1000000 / clock_ticks))" \
    >>"$work/cpu"
done
print_line path.cpu_per_token - "$(slope "$work/cpu")" us
print_line path.memory_per_stream - "$(slope "$work/memory")" kB
