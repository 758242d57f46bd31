#!/bin/sh
# Builds the programs that the cases 4 to 8 start, besides the gateway of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/*.c; do
  number=$(basename "$(dirname "$source")")
  gcc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Ireview/standin-2 \
    -o "target/review-2/case-$number" "$source" review/standin-2/standin.c \
    -lpthread
done
