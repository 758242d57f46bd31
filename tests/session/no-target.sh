#!/bin/sh
# No target can take a request: none is listed, or the only one has already
# failed for it.  Each caller must get its answer at once, with the time after
# which to retry.  If its request were held until the deadline, the caller
# would gain nothing, and others of its organisation would wait behind it.
. "$(dirname "$0")/lib.sh"
start_usual_fleet

echo "# the only engine sends no head for 10 s"
fault e1 '{"op":"late_head","for_ms":10000}'
call h1 --tokens 10 --limit-ms 8000
echo "# the next caller doesn't wait behind it"
call h1 --tokens 20 --limit-ms 8000

echo "# the only service refuses"
fault s1 '{"op":"refuse","count":1000}'
call h1 --service leases/score --method POST --body x --limit-ms 4000
fault s1 '{"op":"refuse","count":0}'
echo "calls: $(count_calls s1)"

echo "# no engine is listed"
sed -i '/^e1 /d' "$work/targets"
publish_hosts
wait_until 5 list_was_read
call h1 --tokens 5 --limit-ms 4000
