#include "gateway/gateway-imp.h"

#include <strings.h>

/* Rate limits that targets state in their answers, see rate-limit.h.  */

enum
{
  MILLI = 1000
};

/* A limit that differs by less from the last one logged isn't logged.  */
static const double logged_change_share = 0.2;

static bool
is_change_logged (const csp_rate_limit_t *limit)
{
  double change = limit->max_per_s - limit->logged_per_s;
  double min_change = limit->logged_per_s * logged_change_share;

  return change > min_change || -change > min_change;
}

static void
log_limit (csp_gateway_t *gateway, csp_fleet_target_t *target,
           const csp_rate_report_t *report, const char *told_by)
{
  csp_rate_limit_t *limit = &target->rate_limit;

  limit->logged_per_s = limit->max_per_s;
  CSP_LOG (gateway->log, CSP_EVENT_RATE_LIMITED, NULL,
           csp_text ("target", target->row.id),
           csp_number ("max_milli_per_s", (int64_t)(limit->max_per_s * MILLI)),
           csp_text ("told_by", told_by),
           csp_number ("age_ms", report->age_ms));
}

static void
note_rate_report (csp_gateway_t *gateway, csp_fleet_target_t *target,
                  const csp_rate_report_t *report, const char *told_by)
{
  csp_rate_limit_t *limit = &target->rate_limit;
  int64_t now_ms = csp_gateway_now_ms (gateway);
  int64_t began_ms = limit->changed_ms;

  switch (csp_note_rate_report (limit, report, now_ms))
    {
    case CSP_RATE_UNCHANGED:
      return;
    case CSP_RATE_BEGAN:
      log_limit (gateway, target, report, told_by);
      return;
    case CSP_RATE_CHANGED:
      if (is_change_logged (limit))
        log_limit (gateway, target, report, told_by);
      return;
    case CSP_RATE_ENDED:
      CSP_LOG (gateway->log, CSP_EVENT_RATE_LIMIT_ENDED, NULL,
               csp_text ("target", target->row.id),
               csp_text ("told_by", told_by),
               csp_number ("held_ms", now_ms - began_ms));
      return;
    }
}

/* Returns the value of the field that states a limit; NULL if there is none.
 *repeated: there are several.  */
static const char *
find_rate_field (const csp_gateway_t *gateway, const csp_http_head_t *head,
                 bool *repeated)
{
  const char *name = gateway->dialect->names[CSP_HEADER_RATE_LIMIT];
  const char *value = NULL;
  size_t i;

  *repeated = false;
  for (i = 0; i < head->field_count; i++)
    if (strcasecmp (head->fields[i].name, name) == 0)
      {
        *repeated = value != NULL;
        value = head->fields[i].value;
      }
  return value;
}

void
csp_handle_rate_limit (csp_gateway_t *gateway, csp_fleet_target_t *target,
                       const csp_http_head_t *head, int64_t sent_ms)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  csp_rate_report_t report = { .ended = false };
  bool repeated;
  const char *value = find_rate_field (gateway, head, &repeated);

  if (value == NULL && sent_ms == 0)
    return;
  if (value == NULL)
    {
      report.ended = true;
      report.age_ms = (uint32_t)(now_ms - sent_ms);
    }
  else if (repeated || !csp_parse_rate (value, &report.max_per_s))
    {
      if (!target->rate_limit.bad_logged)
        CSP_LOG (gateway->log, CSP_EVENT_RATE_LIMIT_BAD, NULL,
                 csp_text ("target", target->row.id),
                 csp_text ("value", value));
      target->rate_limit.bad_logged = true;
      return;
    }
  target->rate_limit.bad_logged = false;
  note_rate_report (gateway, target, &report, "target");
}
