#include "entry/entry-imp.h"

#include <string.h>

/* At-most-once calls.  A call without a key is sent once and never retried.
   For a call with a key the key is claimed first, so that the call and its
   retries through any host run at most once.  */

int
csp_begin_claim (csp_entry_exchange_t *exchange, csp_error_t *error)
{
  csp_once_ask_t ask = { .deadline_ms = exchange->deadline_ms };

  if (exchange->options.idempotency_key[0] == '\0')
    return 0;
  if (!csp_parse_any_once_key (
          exchange->organisation->name, exchange->options.idempotency_key,
          csp_wall_ms (&exchange->entry->context->clock), &ask.key, error))
    return -1;
  return csp_claim_run (exchange->entry->control, &ask, &exchange->claim,
                        error);
}

void
csp_finish_claim (csp_entry_exchange_t *exchange, int result,
                  const csp_error_t *error)
{
  static const csp_once_outcome_t outcomes[]
      = { [CSP_VERDICT_NOT_RUN] = CSP_ONCE_CLOSED,
          [CSP_VERDICT_RAN] = CSP_ONCE_RAN,
          [CSP_VERDICT_MAY_HAVE_RUN] = CSP_ONCE_MAY_HAVE_RUN };

  if (exchange->claim == 0)
    return;
  csp_end_claim (exchange->entry->control, exchange->claim,
                 result == 0 ? CSP_ONCE_RAN : outcomes[error->verdict]);
}
