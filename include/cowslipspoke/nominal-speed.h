#ifndef COWSLIPSPOKE_NOMINAL_SPEED_H
#define COWSLIPSPOKE_NOMINAL_SPEED_H

/* Nominal speed of a model engine, the same for all; speed.h has what is
   observed of each.  */
enum
{
  /* Prompt tokens that an engine without other runs reads per ms.  */
  CSP_IDLE_PREFILL_TOKENS_PER_MS = 14,
  /* Prompt tokens that a busy engine reads per ms: half of the rate without
     other runs, as it reads between their steps.  */
  CSP_BUSY_PREFILL_TOKENS_PER_MS = 7,
  /* Time per output token of a run beside some others.  */
  CSP_DECODE_TOKEN_MS = 9
};

#endif
