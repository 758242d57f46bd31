#include "cowslipspoke/order.h"

enum
{
  MINUTE_MS = 60000,
  DAY_MS = 86400000,
  THOUSAND = 1000
};

void
csp_set_order_share (csp_order_pace_t *pace, uint32_t loads_per_minute,
                     uint32_t owned, uint32_t listed,
                     uint32_t phase_thousandths)
{
  int64_t share = (int64_t)loads_per_minute * owned;
  int64_t interval_ms = DAY_MS;

  /* A stale list may count fewer engines than this host owns; the share never
     exceeds the whole rate.  */
  if (listed < owned)
    listed = owned;
  if (share > 0)
    interval_ms = (int64_t)MINUTE_MS * listed / share;
  pace->interval_ms = (uint32_t)(interval_ms < DAY_MS ? interval_ms : DAY_MS);
  pace->phase_thousandths = phase_thousandths % THOUSAND;
}

/* After an idle time the first load waits until this host's own point within
   the interval.  A change of the configuration reaches all hosts within
   seconds; without these points each of them, 330 at the planned size, would
   start a load in the same second whatever the rate.  */
bool
csp_may_start_load (csp_order_pace_t *pace, int64_t now_ms)
{
  int64_t first_ms
      = now_ms
        + (int64_t)pace->interval_ms * pace->phase_thousandths / THOUSAND;

  if (now_ms - pace->last_wanted_ms > CSP_ORDER_IDLE_MS
      || pace->last_wanted_ms == 0)
    if (pace->next_load_ms < first_ms)
      pace->next_load_ms = first_ms;
  pace->last_wanted_ms = now_ms;
  return now_ms >= pace->next_load_ms;
}

void
csp_note_load_started (csp_order_pace_t *pace, int64_t now_ms)
{
  pace->next_load_ms = now_ms + pace->interval_ms;
}
