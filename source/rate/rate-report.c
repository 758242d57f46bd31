#include "cowslipspoke/rate-limit.h"

#include <string.h>

enum
{
  DECIMAL = 10
};

static bool
is_digit (char c)
{
  return c >= '0' && c <= '9';
}

bool
csp_parse_rate (const char *value, double *max_per_s)
{
  const char *at = value;
  double digit_value = 1;
  double rate = 0;

  if (!is_digit (*at))
    return false;
  for (; is_digit (*at); at++)
    if (rate < CSP_RATE_MAX_PER_S)
      rate = rate * DECIMAL + (*at - '0');
  if (*at == '.')
    for (at++; is_digit (*at); at++)
      {
        digit_value /= DECIMAL;
        rate += (*at - '0') * digit_value;
      }
  if (at[strspn (at, " \t")] != '\0')
    return false;
  *max_per_s = rate < CSP_RATE_MAX_PER_S ? rate : CSP_RATE_MAX_PER_S;
  return true;
}

static csp_rate_change_t
note_end (csp_rate_limit_t *limit, int64_t sent_ms, int64_t now_ms)
{
  bool was_limited = limit->limited;

  if (sent_ms > limit->ended_ms)
    limit->ended_ms = sent_ms;
  if (!was_limited || sent_ms <= limit->stated_ms)
    return CSP_RATE_UNCHANGED;
  limit->limited = false;
  limit->changed_ms = now_ms;
  return CSP_RATE_ENDED;
}

csp_rate_change_t
csp_note_rate_report (csp_rate_limit_t *limit, const csp_rate_report_t *report,
                      int64_t now_ms)
{
  int64_t at_ms = now_ms - report->age_ms;
  bool changes = report->max_per_s != limit->max_per_s;
  bool was_limited = limit->limited;

  if (report->ended)
    return note_end (limit, at_ms, now_ms);
  if (at_ms <= limit->ended_ms || at_ms < limit->stated_ms)
    return CSP_RATE_UNCHANGED;
  limit->limited = true;
  limit->stated_ms = at_ms;
  limit->max_per_s = report->max_per_s;
  if (was_limited)
    return changes ? CSP_RATE_CHANGED : CSP_RATE_UNCHANGED;
  limit->changed_ms = now_ms;
  return CSP_RATE_BEGAN;
}

static uint32_t
clamp_age_ms (int64_t age_ms)
{
  if (age_ms < 0)
    return 0;
  return age_ms < UINT32_MAX ? (uint32_t)age_ms : UINT32_MAX;
}

csp_rate_report_t
csp_make_rate_report (const csp_rate_limit_t *limit, int64_t now_ms)
{
  int64_t at_ms = limit->limited ? limit->stated_ms : limit->ended_ms;

  return (csp_rate_report_t){ .ended = !limit->limited,
                              .max_per_s = limit->max_per_s,
                              .age_ms = clamp_age_ms (now_ms - at_ms) };
}
