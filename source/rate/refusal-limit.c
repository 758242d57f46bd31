#include "cowslipspoke/refusal-limit.h"

/* Of the stated limit, what hosts may cause after their first refusals.  */
static const double used_share = 0.5;

enum
{
  MS_PER_S = 1000,
  /* The same as for a target that states no limit.  */
  PAUSE_MIN_MS = 150,
  /* Capacity changes sooner, and other hosts may have ended.  */
  PAUSE_MAX_MS = 5000
};

uint32_t
csp_refusal_pause_ms (double max_refusals_per_s, size_t hosts)
{
  double pause_ms;

  if (max_refusals_per_s <= 0)
    return PAUSE_MAX_MS;
  pause_ms = (double)hosts * MS_PER_S / (max_refusals_per_s * used_share);
  if (pause_ms < PAUSE_MIN_MS)
    return PAUSE_MIN_MS;
  return pause_ms < PAUSE_MAX_MS ? (uint32_t)pause_ms : PAUSE_MAX_MS;
}
