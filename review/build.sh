#!/bin/sh
# Builds the stand-ins that the scripts of the review start.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review
gcc -D_GNU_SOURCE -std=gnu11 -O2 -g -Wall -Wextra -Werror \
  -o ../target/review/standin standin/standin.c -lpthread
