#!/bin/sh
# Connections to engines break in mid-stream in every way that the contract
# describes.  The generation continues on the engine, so the caller must get
# the rest of it, each token once, and never a token of another generation.
. "$(dirname "$0")/lib.sh"
start_usual_fleet

for op in cut_after duplicate gap no_done; do
  echo "# $op at token 7"
  fault e1 "{\"op\":\"$op\",\"index\":7}"
  call h1 --tokens 20
  wait_until 5 no_generation_runs e1
  generations_settled e1 | tail -n 1
done

echo "# cut at once, then again at every resume but the fourth"
fault e1 '{"op":"cut_after","index":0}'
fault e1 '{"op":"cut_head","on":"resume","count":3}'
call h1 --tokens 20
generations_settled e1 | tail -n 1

echo "# the whole answer of a cut link"
fault e1 '{"op":"cut_after","index":3}'
call h1 --tokens 20 --whole --text

echo "# each request was started once"
count_starts e1
