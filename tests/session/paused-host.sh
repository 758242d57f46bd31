#!/bin/sh
# One of three hosts is paused by SIGSTOP with a stream open, and continues
# later as if no time had passed.  The others must serve meanwhile, and nothing
# may run twice or be cut off when it continues.
. "$(dirname "$0")/lib.sh"
start_platform
publish_usual_config
for engine in e1 e2 e3; do
  start_engine "$engine"
done
for host in h1 h2 h3; do
  start_host "$host" --stall-timeout-ms 10000
done
publish_hosts
wait_ready h1 h2 h3

call_later held h2 --tokens 150
wait_until 5 all_have_made 20 e1 e2 e3
signal_to h2 STOP
echo "# the others serve while h2 is stopped"
call h1 --tokens 10 --repeat 30 --stagger-ms 40 | sed 's/ first_p50.*//'
call h3 --tokens 10 --repeat 30 --stagger-ms 40 | sed 's/ first_p50.*//'
signal_to h2 CONT
echo "# the stream that was open at h2"
finish held
echo "# h2 has not begun to drain"
status_of h2 /ready
echo "# h2 serves again"
call h2 --tokens 10 --repeat 30 | sed 's/ first_p50.*//'
echo "# 91 requests, 91 starts"
starts_of e1 e2 e3
