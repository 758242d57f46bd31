#ifndef STANDIN_CALLER_CALL_H
#define STANDIN_CALLER_CALL_H

#include "caller-answer.h"
#include "caller-options.h"

/* Send one request and read its answer.  number identifies one of several
   concurrent callers; try_number counts its tries from 0.  Both together
   choose the port.  */
void caller_send (const caller_options_t *options, int64_t number,
                  int64_t try_number, answer_t *answer);

/* Send a request and retry it while the verdict is "not run", up to max_tries
   of the options; answer holds the last answer.  */
void caller_send_with_retries (const caller_options_t *options, int64_t number,
                               answer_t *answer);

#endif
