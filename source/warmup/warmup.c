#include "cowslipspoke/warmup.h"

enum
{
  WINDOW_MS = 1000,
  /* A place is given by a datagram and used at once; a host that is busy or
     whose link is full may take some tenths of a second.  */
  GRANT_MS = 500
};

void
csp_open_warmup (csp_warmup_t *warmup, int64_t now_ms)
{
  const csp_lease_policy_t policy
      = { .window_ms = WINDOW_MS, .lease_ms = GRANT_MS };

  warmup->bound_per_s = 0;
  csp_open_lease_pool (&warmup->given, &policy, now_ms);
}

void
csp_set_warmup_bound (csp_warmup_t *warmup, uint32_t bound_per_s)
{
  warmup->bound_per_s = bound_per_s;
  warmup->given.policy.extra = bound_per_s;
}

/* The pool learns of each turn of the duty, also of one that came and went
   while nobody asked it.  */
static void
note_duty (csp_warmup_t *warmup, const csp_warmup_duty_t *duty)
{
  csp_note_lease_duty (&warmup->given, false, duty->decides_since_ms);
  csp_note_lease_duty (&warmup->given, duty->decides, duty->decides_since_ms);
}

bool
csp_has_warmup_place (csp_warmup_t *warmup, const csp_warmup_duty_t *duty,
                      int64_t now_ms)
{
  note_duty (warmup, duty);
  return csp_count_lendable (&warmup->given, &duty->fleet, now_ms) > 0;
}

bool
csp_take_warmup_place (csp_warmup_t *warmup, const csp_warmup_duty_t *duty,
                       int64_t now_ms)
{
  note_duty (warmup, duty);
  return csp_grant_leases (&warmup->given, &duty->fleet, 1, now_ms) == 1;
}
