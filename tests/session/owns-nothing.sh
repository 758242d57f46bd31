#!/bin/sh
# Two hosts and one engine: one host owns no target and hands off all of its
# work.  Its first caller arrives while ownership is still being settled and
# has to wait.  If the host took that wait for its usual service time, it would
# refuse all later callers.
. "$(dirname "$0")/lib.sh"
start_platform
publish_usual_config
start_engine e1
start_host h1
start_host h2
publish_hosts
wait_ready h1 h2

echo "# one caller at each, at once"
call_later one h1 --tokens 20
call_later two h2 --tokens 20
finish one
finish two
echo "# twenty callers at each"
call h1 --tokens 20 --repeat 20 | sed 's/ first_p50.*//'
call h2 --tokens 20 --repeat 20 | sed 's/ first_p50.*//'
echo "# starts"
count_starts e1
