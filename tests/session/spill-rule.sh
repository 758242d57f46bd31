#!/bin/sh
# A rule sends a class of requests to the other data centre.  Callers of that
# class must get their answers from there, and callers of other classes from
# the home data centre.  If the rule didn't take effect, the home engine would
# run all of them, and operators couldn't free capacity there.
. "$(dirname "$0")/lib.sh"
start_platform
publish_usual_config
start_engine e1
start_host h1
data_centre=swansea
start_engine e2
start_host h2
data_centre=
publish_hosts
wait_ready h1 h2
publish_config '"route/m-small": {"pool": "general",
    "classes": {"bulletin": {}, "chat": {}}},
  "rule/away": {"when": {"class": "bulletin", "data_centre": "cardiff"},
    "then": {"spill": {"data_centre": "swansea"}}},
  "rule-order": ["away", "large-prompts", "all"]'
wait_until 5 has_revision h1
wait_until 5 has_revision h2
wait_until 10 serves_model h1 m-small
wait_until 10 serves_model h2 m-small

bulletin() {
  call h1 --tokens 5 --class bulletin --prompt "$1" | head -n 1
}

sent_away() {
  bulletin early >"$work/early"
  generations e2 | grep -q 'prompt=early'
}

# Prints what an engine ran, by prompt.
ran() {
  generations "$1" | sed -n 's/^prompt=\([a-z]*[0-9]\) .*/\1/p' | tr '\n' ' '
  echo
}

wait_until 15 sent_away
echo "# of a class: to the other data centre, though home is empty"
for number in 1 2 3 4 5; do
  bulletin "away$number"
done
call h1 --tokens 5 --class chat --prompt home1 | head -n 1
echo "cardiff ran: $(ran e1)"
echo "swansea ran: $(ran e2)"
