#!/bin/sh
# An engine crosses two answers: in the middle of one stream comes a token of
# another generation.  Passing it on would give an editor somebody else's
# text; ending there would lose an answer that the engine still has.
. "$(dirname "$0")/lib.sh"
start_usual_fleet

fault e1 '{"op":"foreign","index":7}'
call h1 --tokens 20 --text
echo "# crossed again at each of three resumes"
fault e1 '{"op":"foreign","index":3}'
fault e1 '{"op":"foreign","index":3,"on":"resume","count":3}'
call h1 --tokens 20
count_starts e1
