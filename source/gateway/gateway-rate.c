#include "gateway/gateway-host-imp.h"
#include "gateway/gateway-target-imp.h"

#include <strings.h>

/* Rate limits that targets state in their answers, see rate-limit.h.

   All hosts hear at once when a limit begins or ends, and the deciders of each
   other value.  Periodic hellos repeat limits for hosts that have just started
   or missed a report.  */

enum
{
  MILLI = 1000,
  /* Each takes 25 bytes, and a host sends and gets dozens of hellos a
     second.  */
  PERIODIC_RATES_MAX = 2
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

csp_hello_rate_t
csp_make_hello_rate (const csp_gateway_t *gateway,
                     const csp_fleet_target_t *target)
{
  return (csp_hello_rate_t){ .target = target->hash,
                             .report = csp_make_rate_report (
                                 &target->rate_limit,
                                 csp_gateway_now_ms (gateway)) };
}

void
csp_repeat_rate_notices (csp_gateway_t *gateway)
{
  csp_hello_t hello = { .rate_count = 0 };
  uint64_t targets[CSP_NOTICES_MAX];
  size_t count = csp_take_notices (&gateway->rate_notices, targets);
  size_t i;

  for (i = 0; i < count; i++)
    {
      const csp_fleet_target_t *target
          = csp_find_target_by_hash (gateway->fleet, targets[i]);

      if (target != NULL)
        hello.rates[hello.rate_count++]
            = csp_make_hello_rate (gateway, target);
    }
  if (hello.rate_count > 0)
    csp_broadcast_hello (gateway, &hello);
}

static void
report_to_all (csp_gateway_t *gateway, const csp_fleet_target_t *target)
{
  while (!csp_add_notice (&gateway->rate_notices, target->hash))
    csp_repeat_rate_notices (gateway);
  csp_repeat_rate_notices (gateway);
}

static void
report_to_deciders (csp_gateway_t *gateway, const csp_fleet_target_t *target)
{
  csp_hello_t hello = { .rate_count = 1 };

  hello.rates[0] = csp_make_hello_rate (gateway, target);
  csp_send_hello (gateway, &hello, gateway->deciders, gateway->decider_count);
}

/* Apply a report and log what it changes.  */
static csp_rate_change_t
note_rate_report (csp_gateway_t *gateway, csp_fleet_target_t *target,
                  const csp_rate_report_t *report, const char *told_by)
{
  csp_rate_limit_t *limit = &target->rate_limit;
  int64_t now_ms = csp_gateway_now_ms (gateway);
  int64_t began_ms = limit->changed_ms;
  csp_rate_change_t change
      = csp_note_target_rate (gateway->fleet, target, report, now_ms);

  switch (change)
    {
    case CSP_RATE_UNCHANGED:
      break;
    case CSP_RATE_BEGAN:
      log_limit (gateway, target, report, told_by);
      break;
    case CSP_RATE_CHANGED:
      if (is_change_logged (limit))
        log_limit (gateway, target, report, told_by);
      break;
    case CSP_RATE_ENDED:
      CSP_LOG (gateway->log, CSP_EVENT_RATE_LIMIT_ENDED, NULL,
               csp_text ("target", target->row.id),
               csp_text ("told_by", told_by),
               csp_number ("held_ms", now_ms - began_ms));
      break;
    }
  return change;
}

void
csp_add_rates_to_hello (csp_gateway_t *gateway, csp_hello_t *hello)
{
  hello->rate_count = csp_list_target_rates (gateway->fleet, hello->rates,
                                             PERIODIC_RATES_MAX,
                                             csp_gateway_now_ms (gateway));
}

void
csp_handle_rates (csp_gateway_t *gateway, csp_peer_address_t from,
                  const csp_hello_t *hello)
{
  char host[CSP_PEER_TEXT_BYTES];
  size_t i;

  if (hello->rate_count == 0)
    return;
  csp_format_peer (from, host);
  for (i = 0; i < hello->rate_count; i++)
    {
      csp_fleet_target_t *target
          = csp_find_target_by_hash (gateway->fleet, hello->rates[i].target);

      if (target != NULL)
        note_rate_report (gateway, target, &hello->rates[i].report, host);
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
  switch (note_rate_report (gateway, target, &report, "target"))
    {
    case CSP_RATE_UNCHANGED:
      return;
    case CSP_RATE_CHANGED:
      report_to_deciders (gateway, target);
      return;
    case CSP_RATE_BEGAN:
    case CSP_RATE_ENDED:
      report_to_all (gateway, target);
      return;
    }
}
