#!/bin/sh
# An engine is listed as leaving, and then as live again because its reclaim
# was called off.  Hosts must use it again at once.  If it is the only one,
# they would otherwise refuse callers although the engine is idle, until the
# list changes again.
. "$(dirname "$0")/lib.sh"
start_platform
publish_usual_config
start_engine e1
start_host h1
publish_hosts
wait_ready h1
call h1 --tokens 5 | head -n 1

add_target e1 engine general leaving
publish_hosts
wait_until 5 list_was_read
echo "# leaving, and nothing else is listed"
call h1 --tokens 5 | head -n 1
add_target e1 engine general live
publish_hosts
wait_until 5 list_was_read
serves_again() {
  call h1 --tokens 5 | grep -q 'status=200'
}
wait_until 10 serves_again
echo "# live again"
call h1 --tokens 5
