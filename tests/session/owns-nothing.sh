#!/bin/sh
# Two hosts and one engine: one of the hosts owns nothing and hands all of its
# work over.  Its first caller comes while ownership is still being settled and
# has to wait.  A host that took that wait for its rate of service would turn
# everybody away from then on.
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
