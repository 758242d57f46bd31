#!/bin/sh
# Installs the declared packages that are missing; does nothing otherwise.
missing=
for package in $(cat packages.txt); do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "setup: installing$missing"
apt-get update -q >/dev/null && \
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q $missing >/dev/null
