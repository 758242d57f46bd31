#include "cowslipspoke/generation.h"

#include <stdio.h>
#include <string.h>

void
csp_start_generation (csp_generation_t *generation, const char *id)
{
  memset (generation, 0, sizeof *generation);
  snprintf (generation->id, sizeof generation->id, "%s", id);
}

csp_token_action_t
csp_accept_token (csp_generation_t *generation, const csp_token_t *token)
{
  if (strcmp (generation->id, token->generation) != 0)
    return CSP_TOKEN_FOREIGN;
  if (token->index < generation->next_index)
    {
      generation->duplicates++;
      return CSP_TOKEN_DUPLICATE;
    }
  if (generation->finish_seen)
    return CSP_TOKEN_AFTER_END;
  if (token->index > generation->next_index)
    return CSP_TOKEN_GAP;
  generation->next_index++;
  generation->finish_seen = token->finish_reason != NULL;
  return CSP_TOKEN_DELIVER;
}

bool
csp_accept_end_mark (csp_generation_t *generation)
{
  generation->complete = generation->finish_seen;
  return generation->complete;
}
