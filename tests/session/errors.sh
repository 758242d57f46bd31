#!/bin/sh
# Every error that a single host can return, with its verdict.  A caller that
# gets a wrong "not run" sends its request again and the request runs twice.
# One that gets a wrong "may have run" gives up an answer that it could have
# had.
. "$(dirname "$0")/lib.sh"
start_platform
start_host h1
echo "# before any configuration"
call h1 --tokens 5
publish_usual_config
start_engine e1
start_service s1
publish_hosts
wait_ready h1

echo "# no key, a wrong key"
call h1 --key '' --tokens 5 | head -n 1
call h1 --key wrong --tokens 5 | head -n 1
echo "# bodies"
for body in '' '{' '[]' '{"model":"m-small"}' '{"model":7,"prompt":"x"}' \
  '{"model":"m-small","prompt":"x","stream":"yes"}' \
  '{"model":"m-small","prompt":"x","max_tokens":0}'; do
  call h1 --body "$body" | head -n 1
done
echo "# headers"
call h1 --attempt 5000 --tokens 5 | head -n 1
call h1 --header 'X-Deadline-Ms: soon' --tokens 5 | head -n 1
call h1 --header 'X-Non-Idempotent: perhaps' --tokens 5 | head -n 1
echo "# an unknown model, class, service and path"
call h1 --model none --tokens 5 | head -n 1
call h1 --class none --tokens 5 | head -n 1
call h1 --service none/x --method GET | head -n 1
call h1 --path /v2/nothing --method GET | head -n 1
echo "# a body over the limit"
call h1 --body-bytes 1100000 | head -n 1
echo "# turned away by a rule"
call h1 --prompt "$(head -c 40000 /dev/zero | tr '\0' a)" | head -n 1
echo "starts: $(count_starts e1)"

echo "# the engine refuses: not run"
fault e1 '{"op":"refuse","count":50}'
call h1 --tokens 5 --deadline-ms 1500
fault e1 '{"op":"refuse","count":0}'
wait_until 10 serves_model h1 m-small
echo "# the engine fails: it may have run"
fault e1 '{"op":"fail","count":1}'
call h1 --tokens 5 --non-idempotent
wait_until 10 serves_model h1 m-small
echo "# the link ends before the first token of a call that runs once"
fault e1 '{"op":"cut_head"}'
fault e1 '{"op":"cut_head","on":"resume","count":50}'
call h1 --tokens 5 --non-idempotent
fault e1 '{"op":"cut_head","on":"resume","count":0}'
wait_until 10 serves_model h1 m-small
echo "# the link ends in mid-stream for good"
fault e1 '{"op":"cut_after","index":4}'
fault e1 '{"op":"cut_head","on":"resume","count":50}'
call h1 --tokens 50
fault e1 '{"op":"cut_head","on":"resume","count":0}'
wait_until 10 serves_model h1 m-small
echo "# the deadline passes in mid-stream"
call h1 --tokens 5000 --deadline-ms 400 | sed 's/^tokens=[0-9]*/tokens=N/'
echo "# whole: the same without an answer"
call h1 --tokens 5000 --deadline-ms 400 --whole
