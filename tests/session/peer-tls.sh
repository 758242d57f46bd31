#!/bin/sh
# Connections between hosts are encrypted, and both sides present a certificate
# of the deployment's authority.  Without that check, anyone who can reach a
# host's port could claim targets and keys; hosts must not accept such a
# connection as a peer.
. "$(dirname "$0")/lib.sh"
tls=$work/tls
mkdir "$tls"

# make_authority NAME; make_certificate AUTHORITY NAME.
make_authority() {
  openssl req -x509 -newkey rsa:2048 -nodes -days 1 -subj "/CN=$1" \
    -keyout "$tls/$1.key" -out "$tls/$1.pem" 2>/dev/null
}
make_certificate() {
  openssl req -newkey rsa:2048 -nodes -subj /CN=test \
    -keyout "$tls/$2.key" -out "$tls/$2.csr" 2>/dev/null
  openssl x509 -req -days 1 -in "$tls/$2.csr" -CA "$tls/$1.pem" \
    -CAkey "$tls/$1.key" -CAcreateserial -out "$tls/$2.pem" 2>/dev/null
}
# write_settings FILE CERTIFICATE AUTHORITY
write_settings() {
  printf '{"peer_tls": {"certificate_file": "%s", "key_file": "%s",
    "ca_file": "%s"}}' "$tls/$2.pem" "$tls/$2.key" "$tls/$3.pem" >"$1"
}
# hears HOST PEER: the liveness of a peer as HOST reports it.
hears() {
  request "$1" GET /status | tr -d '\n ' |
    sed -n "s/.*\"name\":\"$2\",\"data_centre\":\"[a-z]*\",\"liveness\":\"\([a-z]*\)\".*/\1/p"
}
is_alive() {
  [ "$(hears "$1" "$2")" = alive ]
}

make_authority ours
make_authority theirs
make_certificate ours good
make_certificate theirs bad
write_settings "$tls/good.json" good ours
write_settings "$tls/bad.json" bad theirs

start_platform
publish_usual_config
start_engine e1
start_host h1 --settings "$tls/good.json"
start_host h2 --settings "$tls/good.json"
start_host h3
start_host h4 --settings "$tls/bad.json"
publish_hosts
wait_ready h1 h2
wait_until 15 is_alive h1 h2
wait_until 15 is_alive h2 h1
echo "# with certificates of the deployment"
call h1 --tokens 5
call h2 --tokens 5
echo "# without one, and with somebody else's"
for pair in "h1 h3" "h1 h4" "h3 h1" "h4 h1"; do
  # shellcheck disable=SC2086
  is_alive $pair && echo "$pair: alive" || echo "$pair: not heard"
done
