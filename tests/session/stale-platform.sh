#!/bin/sh
# The configuration service returns to an older revision, as after a restore
# from a backup.  A host that applied it would undo a change that was already
# in force: here, a removed route would serve again.
. "$(dirname "$0")/lib.sh"
start_usual_fleet
publish_config '"route/m-two": {"model": "m-small", "pool": "general"}'
wait_until 10 serves_model h1 m-two
publish_config '' '"route/m-two"'
wait_until 10 lacks_model h1 m-two

request platform POST /test/mode '{"stale_revision":2}'
reads=$(count_reads)
wait_until 30 has_read_more "$reads" 3
echo "# the host has read the older revision and keeps the newer one"
call h1 --tokens 5 --model m-two | head -n 1
call h1 --tokens 5

echo "# a bad revision leaves the last good one in force"
request platform POST /test/mode '{"stale_revision":0}'
publish_config '"route/m-bad": {"pool": "nowhere"}'
reads=$(count_reads)
wait_until 30 has_read_more "$reads" 2
call h1 --tokens 5 --model m-bad | head -n 1
call h1 --tokens 5
echo "# mended"
publish_config '"route/m-bad": {"pool": "general", "model": "m-small"}'
wait_until 10 serves_model h1 m-bad
