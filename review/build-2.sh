#!/bin/sh
# Builds the programs that the cases 4 to 8 start, besides the gateway of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/case.c review/relayed-runs/case.c; do
  name=$(basename "$(dirname "$source")")
  case $name in
    [4-8]) name=case-$name ;;
  esac
  gcc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Ireview/standin-2 \
    -o "target/review-2/$name" "$source" review/standin-2/standin.c -lpthread
done
