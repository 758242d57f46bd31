#!/bin/sh
# Checks that only the adapter uses the platform's names: searches the product,
# its tests and benches for each name and prints where it is used.
# X-Deadline-Ms and path_prefix aren't in the list, since the product's own API
# had them first.  tests/adapter, tests/watch and tests/soak simulate the
# platform and are left out.
names='X-Attempt-Id X-Credential X-Tenant X-Expect-Instance
  X-Engine-Signature X-Not-Executed X-Token-Usage X-Prompt-Prefix X-Model
  X-Length-Hint X-Request-Priority X-Weight-Versions X-Kv-Backup X-Pin-Ms
  X-Hold X-Instance-Id Kv-From Kv-Fetch kv-move kv-range kv-watch kv-handle
  kv_capacity kv_bytes route_kind max_attempts slo_ms api_keys
  max_conns gap_target_ms Server-Leaving op/config servers/ internal_ports COWSLIPSPOKE_CONFIG'
found=0
for name in $names; do
  if grep -rnwF --include='*.[ch]' -e "$name" include source bench tests |
    grep -vE '^tests/(adapter|watch|soak)/'; then
    found=1
  fi
done
[ "$found" = 0 ] && echo "platform names: clean"
exit "$found"
