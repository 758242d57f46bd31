#!/bin/sh
# Runs every bench program named on the command line and then the benches of
# whole processes; prints one line for each measurement:
# name baseline=X now=Y ratio=Z unit=U
for bench in "$@"; do
  "$bench" || exit 1
done
sh bench/path.sh
