#ifndef STANDIN_CALLER_CALL_H
#define STANDIN_CALLER_CALL_H

#include "caller-answer.h"
#include "caller-options.h"

/* Send one request and read its answer.  try_number counts from 0 and
   chooses the port; number tells callers side by side apart.  */
void caller_send (const caller_options_t *options, int64_t number,
                  int64_t try_number, answer_t *answer);

/* Send a request and come back while it was not run, as often as the options
   allow; the answer is the last one.  */
void caller_run (const caller_options_t *options, int64_t number,
                 answer_t *answer);

#endif
