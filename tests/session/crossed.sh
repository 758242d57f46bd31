#!/bin/sh
# An engine mixes up two answers: in the middle of one stream comes a token of
# another generation.  If the host forwarded that token, the caller would get
# another customer's text.  If it ended the stream there, an answer would be
# lost that the engine still has.
. "$(dirname "$0")/lib.sh"
start_usual_fleet

fault e1 '{"op":"foreign","index":7}'
call h1 --tokens 20 --text
echo "# crossed again at each of three resumes"
fault e1 '{"op":"foreign","index":3}'
fault e1 '{"op":"foreign","index":3,"on":"resume","count":3}'
call h1 --tokens 20
count_starts e1
