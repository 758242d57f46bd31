#!/bin/sh
# A pool of one organisation is lent to another while its load is below one
# half.  A long answer of the owner uses three fifths of the memory, so the
# borrower has to wait and the owner's next request is served.  Without that
# limit the borrower would take the rest, and the owner would wait for the
# borrower's answer.
. "$(dirname "$0")/lib.sh"
start_platform
publish_usual_config
# The long answers last 9 s, so that checks during them finish before their end
# on a busy machine too.
start_engine t1 --memory-tokens 6000 --token-ms 18
add_target t1 engine tight
start_host h1
publish_hosts
wait_ready h1
publish_config '"targets/tight": {"kind": "engines"},
  "route/m-tight": {"pool": "tight", "model": "m-small"},
  "rule/tight": {"when": {"route": "m-tight", "organisation": "pwani"},
    "then": {"lend": {"max_load": 0.5}}},
  "rule-order": ["tight", "large-prompts", "all"]'
wait_until 5 has_revision h1
wait_until 10 serves_model h1 m-tight

# Prints what t1 ran or runs, by prompt: o for the owner, b for the borrower.
ran() {
  generations t1 | sed -n 's/^prompt=\([ob]*[0-9]\).*/\1/p' | tr '\n' ' '
  echo
}

echo "# the pool is empty: lent"
call h1 --key key-pwani --model m-tight --tokens 5 --prompt b1 | head -n 1
echo "# the owner has three fifths of it"
call_later full h1 --model m-tight --tokens 500 --prompt "$(text 14400)"
wait_until 5 has_made t1 10
call_later borrowed h1 --key key-pwani --model m-tight --tokens 5 --prompt b2
wait_until 5 waits_at h1 1
call h1 --model m-tight --tokens 5 --prompt o1 | head -n 1
echo "ran: $(ran)"
echo "# the owner's long answer has ended"
finish full 1q
finish borrowed 1q
echo "ran: $(ran)"

# Whether the host that owns the target admits new work up to its full
# capacity.
is_open() {
  for host in h1 h2; do
    request "$host" GET /status | tr -d ' \n' |
      grep -q "\"name\":\"$1\",[^{]*\"state\":\"open\"" && return 0
  done
  return 1
}

start_host h2
publish_hosts
wait_ready h1 h2
wait_until 5 list_was_read
wait_until 5 has_revision h2
wait_until 10 serves_model h1 m-tight
wait_until 10 serves_model h2 m-tight
wait_until 20 is_open t1
echo "# two hosts, one of which owns the engine: both keep the bound"
call_later full h1 --model m-tight --tokens 500 --prompt "$(text 14400)"
wait_until 5 has_made t1 10
for host in h1 h2; do
  call "$host" --key key-pwani --model m-tight --tokens 5 --prompt b3 \
    --deadline-ms 800 | head -n 1
done
finish full 1q
echo "ran: $(ran)"
