#!/bin/sh
# Every host is replaced in turn at its own address while callers keep coming
# through a load balancer.  Callers that are cut off or get half an answer show
# in the summary.
. "$(dirname "$0")/lib.sh"
start_platform
publish_usual_config
for engine in e1 e2 e3; do
  start_engine "$engine"
done
for host in h1 h2 h3; do
  start_host "$host"
done
publish_hosts
wait_ready h1 h2 h3

call_later load h1 --port "$(port_of h2),$(port_of h3)" --balanced \
  --tries 30 --repeat 120 --stagger-ms 50 --tokens 80
for host in h1 h2 h3; do
  old_port=$(port_of "$host")
  signal_to "$host" TERM
  wait_exit "$host" 15
  remove_host "$host"
  start_host "$host" --http-port "$old_port"
  publish_hosts
  wait_ready "$host"
done
finish load 's/ first_p50.*//'
echo "# starts"
starts_of e1 e2 e3
