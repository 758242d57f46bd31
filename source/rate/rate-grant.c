#include "cowslipspoke/rate-limit.h"

#include <math.h>

/* One request in five seconds reaches a target that states 0, as only its
   answers can end the limit.  */
static const double min_rate_per_s = 0.2;

/* Unused tokens are kept for this long, and two in any case, as a host that
   may ask again does so only with its next request.  */
static const double bucket_s = 0.25;
static const double bucket_min = 2;

enum
{
  MS_PER_S = 1000,
  /* A host that missed the report of a limit's end hears of it when it asks,
     so it asks at least this often.  */
  ASK_AGAIN_MAX_MS = 5000,
  /* For a host that has asked one that isn't the decider.  */
  ASK_OTHER_MS = 100
};

/* Returns the rate at which this host may grant, in requests per second.  */
static double
grant_rate (const csp_rate_limit_t *limit, const csp_decider_role_t *role)
{
  return fmax (limit->max_per_s, min_rate_per_s)
         * csp_decider_share (&role->fleet);
}

static double
bucket_size (double rate_per_s)
{
  return bucket_min + rate_per_s * bucket_s;
}

/* Empties the bucket when the limit or this host's role is new.  */
static void
reset_bucket (csp_rate_limit_t *limit, const csp_decider_role_t *role)
{
  int64_t settled_ms = role->decides_since_ms + CSP_RATE_GRANT_MS;

  if (limit->decides_since_ms == role->decides_since_ms
      && limit->filled_ms >= limit->changed_ms)
    return;
  limit->decides_since_ms = role->decides_since_ms;
  limit->tokens = 0;
  limit->waiting = 0;
  limit->filled_ms
      = settled_ms > limit->changed_ms ? settled_ms : limit->changed_ms;
}

static void
fill_bucket (csp_rate_limit_t *limit, const csp_decider_role_t *role,
             int64_t now_ms)
{
  double rate_per_s = grant_rate (limit, role);
  double added;

  reset_bucket (limit, role);
  if (now_ms <= limit->filled_ms)
    return;
  added = rate_per_s * (double)(now_ms - limit->filled_ms) / MS_PER_S;
  limit->tokens = fmin (limit->tokens + added, bucket_size (rate_per_s));
  limit->waiting = fmax (limit->waiting - added, 0);
  limit->filled_ms = now_ms;
}

bool
csp_has_rate_grant (csp_rate_limit_t *limit, const csp_decider_role_t *role,
                    int64_t now_ms)
{
  if (!limit->limited)
    return true;
  if (!role->decides)
    return false;
  fill_bucket (limit, role, now_ms);
  return limit->tokens >= 1;
}

/* Returns when the tokens will do for one more host, behind those that
   wait.  */
static uint32_t
ask_again_ms (csp_rate_limit_t *limit, const csp_decider_role_t *role)
{
  double rate_per_s = grant_rate (limit, role);
  double wait_ms = ASK_AGAIN_MAX_MS;

  if (rate_per_s > 0)
    wait_ms = (1 - limit->tokens + limit->waiting) * MS_PER_S / rate_per_s;
  if (wait_ms >= ASK_AGAIN_MAX_MS)
    return ASK_AGAIN_MAX_MS;
  limit->waiting++;
  return (uint32_t)ceil (wait_ms);
}

bool
csp_take_rate_grant (csp_rate_limit_t *limit, const csp_decider_role_t *role,
                     int64_t now_ms, uint32_t *wait_ms)
{
  bool granted = csp_has_rate_grant (limit, role, now_ms);

  *wait_ms = 0;
  if (granted && limit->limited)
    limit->tokens--;
  else if (!role->decides)
    *wait_ms = ASK_OTHER_MS;
  else if (!granted)
    *wait_ms = ask_again_ms (limit, role);
  return granted;
}

void
csp_charge_rate_limit (csp_rate_limit_t *limit, const csp_decider_role_t *role,
                       int64_t now_ms)
{
  if (!limit->limited || !role->decides)
    return;
  fill_bucket (limit, role, now_ms);
  limit->tokens--;
}

bool
csp_may_ask_rate_grant (const csp_rate_limit_t *limit, int64_t now_ms)
{
  return now_ms >= limit->next_ask_ms;
}

void
csp_note_rate_refusal (csp_rate_limit_t *limit, uint32_t wait_ms,
                       int64_t now_ms)
{
  limit->next_ask_ms
      = now_ms + (wait_ms < ASK_AGAIN_MAX_MS ? wait_ms : ASK_AGAIN_MAX_MS);
}

bool
csp_is_rate_grant_valid (int64_t asked_ms, int64_t now_ms)
{
  return now_ms - asked_ms <= CSP_RATE_GRANT_MS;
}
