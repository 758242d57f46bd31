#ifndef CSP_NOMINAL_SPEED_IMP_H
#define CSP_NOMINAL_SPEED_IMP_H

/* The nominal speed of engines, where nothing is known of a single one.  */

/* Prompt tokens that a busy engine reads per ms: half of the rate without
   other runs, as it reads between their steps.  */
static const double busy_prefill_tokens_per_ms = 7.0;

/* Prompt tokens that an engine without other runs reads per ms.  */
static const double idle_prefill_tokens_per_ms = 14.0;

/* Time per output token of a run beside some others.  */
static const double decode_token_ms = 9.0;

#endif
