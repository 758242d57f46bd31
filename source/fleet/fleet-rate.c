#include "fleet/fleet-imp.h"

#include <string.h>

/* Rate limits that targets state, see rate-limit.h.  */

enum
{
  /* Hosts that missed the report of an end hear of it within this time from
     others.  */
  END_REPORTED_MS = 30000
};

csp_rate_change_t
csp_note_target_rate (csp_fleet_t *fleet, csp_fleet_target_t *target,
                      const csp_rate_report_t *report, int64_t now_ms)
{
  target_entry_t *entry = csp_entry_of_target (target);
  csp_rate_change_t change
      = csp_note_rate_report (&target->rate_limit, report, now_ms);

  target->rate_limited = target->rate_limit.limited;
  if (target->rate_limited && cds_list_empty (&entry->stated_rate))
    cds_list_add_tail (&entry->stated_rate, &fleet->stated_rates);
  return change;
}

size_t
csp_list_target_rates (csp_fleet_t *fleet, csp_hello_rate_t *rates,
                       size_t max_count, int64_t now_ms)
{
  const target_entry_t *first = NULL;
  size_t listed = 0;

  while (listed < max_count && !cds_list_empty (&fleet->stated_rates))
    {
      target_entry_t *entry = cds_list_first_entry (
          &fleet->stated_rates, target_entry_t, stated_rate);
      const csp_rate_limit_t *limit = &entry->target.rate_limit;

      if (entry == first)
        break;
      cds_list_del_init (&entry->stated_rate);
      if (!limit->limited && now_ms - limit->changed_ms >= END_REPORTED_MS)
        continue;
      cds_list_add_tail (&entry->stated_rate, &fleet->stated_rates);
      if (first == NULL)
        first = entry;
      rates[listed++] = (csp_hello_rate_t){ .target = entry->target.hash,
                                            .report = csp_make_rate_report (
                                                limit, now_ms) };
    }
  return listed;
}

uint32_t
csp_service_rate_wait_ms (csp_fleet_t *fleet, const char *service,
                          int64_t now_ms)
{
  int64_t least_ms = 0;
  size_t i;

  if (cds_list_empty (&fleet->stated_rates))
    return 0;
  for (i = 0; i < fleet->count; i++)
    {
      const csp_fleet_target_t *target = fleet->targets[i];
      int64_t left_ms = target->rate_limit.next_ask_ms - now_ms;

      if (!target->rate_limited || left_ms <= 0 || !csp_takes_new_work (target)
          || strcmp (target->row.service, service) != 0)
        continue;
      if (least_ms == 0 || left_ms < least_ms)
        least_ms = left_ms;
    }
  return (uint32_t)least_ms;
}
