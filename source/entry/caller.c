#include "entry/entry-imp.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "cowslipspoke/hash.h"

enum
{
  INITIAL_BODY_BYTES = 16384,
  RETRY_WITHOUT_CONFIGURATION_MS = 2000
};

static const char bearer[] = "Bearer ";

static int
grow_body (csp_entry_exchange_t *exchange, size_t *capacity_bytes)
{
  size_t new_capacity
      = *capacity_bytes == 0 ? INITIAL_BODY_BYTES : *capacity_bytes * 2;
  char *body = realloc (exchange->body, new_capacity + 1);

  if (body == NULL)
    return -1;
  exchange->body = body;
  *capacity_bytes = new_capacity;
  return 0;
}

static int
read_whole_body (csp_entry_exchange_t *exchange, csp_error_t *error)
{
  uint32_t limit_bytes = exchange->entry->context->settings.max_body_bytes;
  size_t capacity_bytes = 0;
  int got = 1;

  if (exchange->info->content_length > (long long)limit_bytes)
    goto too_large;
  while (got > 0)
    {
      if (exchange->body_bytes == capacity_bytes
          && grow_body (exchange, &capacity_bytes) != 0)
        {
          csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_INTERNAL, 0,
                         "out of memory");
          return -1;
        }
      got = mg_read (exchange->connection,
                     exchange->body + exchange->body_bytes,
                     capacity_bytes - exchange->body_bytes);
      if (got > 0)
        exchange->body_bytes += (size_t)got;
      if (exchange->body_bytes > limit_bytes)
        goto too_large;
    }
  exchange->body[exchange->body_bytes] = '\0';
  /* A chunked body has no Content-Length: only a failed read shows that it
     was cut off.  */
  if (got < 0
      || exchange->info->content_length > (long long)exchange->body_bytes)
    {
      csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_BAD_REQUEST, 0,
                     "the body ended before its end");
      return -1;
    }
  return 0;

too_large:
  csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_TOO_LARGE, 0,
                 "the body is larger than %u bytes", limit_bytes);
  return -1;
}

int
csp_read_body (csp_entry_exchange_t *exchange, csp_error_t *error)
{
  uint32_t limit_ms = exchange->entry->context->settings.caller_timeout_ms;
  int result;

  csp_begin_timed_read (exchange, limit_ms);
  result = read_whole_body (exchange, error);
  /* The rest of a body over the limit must still be discarded.  */
  exchange->body_read = result == 0 || error->reason != CSP_REASON_TOO_LARGE;
  if (csp_end_timed_read (exchange) || result == 0)
    return result;
  csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_BAD_REQUEST, 0,
                 "the body was not there within %u ms", limit_ms);
  return -1;
}

int
csp_identify_caller (csp_entry_exchange_t *exchange, csp_error_t *error)
{
  const char *field = mg_get_header (exchange->connection, "Authorization");
  const csp_declaration_t *declaration;
  char hex[CSP_SHA256_HEX_BYTES];

  exchange->view = csp_acquire_view (exchange->entry->control);
  declaration = csp_view_declaration (exchange->view);
  if (declaration == NULL)
    {
      csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_NO_CONFIGURATION,
                     RETRY_WITHOUT_CONFIGURATION_MS,
                     "this host has no configuration yet");
      return -1;
    }
  if (field != NULL && strncasecmp (field, bearer, sizeof bearer - 1) == 0)
    {
      field += sizeof bearer - 1;
      csp_hash_sha256_hex (field, strlen (field), hex);
      exchange->organisation = csp_find_organisation_by_key (declaration, hex);
    }
  if (exchange->organisation == NULL)
    {
      csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_UNKNOWN_KEY, 0,
                     "the bearer key belongs to no organisation");
      return -1;
    }
  exchange->labels = csp_get_labels (exchange->entry->context->metrics,
                                     exchange->organisation->name, NULL);
  return 0;
}

int
csp_apply_rules (csp_entry_exchange_t *exchange, csp_request_facts_t *facts,
                 csp_admission_ask_t *ask, csp_error_t *error)
{
  csp_rule_outcome_t outcome;

  facts->organisation = exchange->organisation->name;
  facts->data_centre = exchange->entry->context->settings.data_centre;
  csp_evaluate_rules (csp_view_declaration (exchange->view), facts, &outcome);
  ask->facts = *facts;
  ask->declaration = csp_view_declaration (exchange->view);
  if (outcome.action != CSP_ACTION_TURN_AWAY)
    {
      csp_apply_rule_terms (ask, &outcome);
      return 0;
    }
  csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_TURNED_AWAY,
                 outcome.is.turn_away.retry_after_ms, "%s",
                 outcome.is.turn_away.reason);
  return -1;
}
