#!/bin/sh
# Tests the stand-in engine by itself.  All other sessions rely on it to keep
# to docs/ENGINE.md; if it didn't, their results would be worthless.
. "$(dirname "$0")/lib.sh"

start e1 standin-engine --name e1 --token-ms 5 --resume-window-ms 300

echo "# streamed, chat, shortened by max_tokens"
call e1 --direct --tokens 6 --text
call e1 --direct --tokens 6 --chat --text
call e1 --direct --tokens 50 --max-tokens 4 --text

echo "# each fault shows"
for op in refuse fail cut_head cut_after duplicate gap foreign no_done; do
  echo "$op"
  fault e1 "{\"op\":\"$op\",\"index\":3}"
  call e1 --direct --tokens 6
done

echo "# a generation id is taken once"
call e1 --direct --tokens 6 --generation-id taken |
  head -n 1
call e1 --direct --tokens 6 --generation-id taken |
  head -n 1

echo "# resume from token 4, then a generation that it doesn't have"
call e1 --path /v1/generations/taken/resume --body '{"from_index":4}' --text
call e1 --path /v1/generations/none/resume --body '{"from_index":4}'

echo "# a cut link is dropped after the resume window"
call e1 --direct --tokens 4000 --generation-id left \
  --hang-up-after 3 --text
wait_until 5 is_state e1 dropped
call e1 --path /v1/generations/left/resume --body '{"from_index":3}'

echo "# cancel"
call_later long e1 --direct --tokens 4000 --generation-id long
wait_until 5 has_made e1 5
call e1 --method POST --path /v1/generations/long/cancel
finish long 2d
is_state e1 cancelled && echo "cancelled"

echo "# a fencing number may not fall"
call e1 --path /v1/orders \
  --body '{"fence":5,"op":"load_model","name":"m-large","version":"1"}'
call e1 --path /v1/orders \
  --body '{"fence":4,"op":"unload_model","name":"m-small","version":"1"}'
