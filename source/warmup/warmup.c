#include "cowslipspoke/warmup.h"

enum
{
  WINDOW_MS = 1000,
  /* A grant is sent in a datagram and used at once, but that may take some
     tenths of a second on a busy host or a congested link.  */
  GRANT_MS = 500
};

void
csp_init_warmup (csp_warmup_t *warmup, int64_t now_ms)
{
  const csp_lease_policy_t policy
      = { .window_ms = WINDOW_MS, .lease_ms = GRANT_MS };

  warmup->bound_per_s = 0;
  csp_init_lease_pool (&warmup->grants, &policy, now_ms);
}

void
csp_set_warmup_bound (csp_warmup_t *warmup, uint32_t bound_per_s)
{
  warmup->bound_per_s = bound_per_s;
  warmup->grants.policy.max_per_window = bound_per_s;
}

/* Passes this host's role to the pool.  The first call resets the role, so
   that the pool also takes over a new decides_since_ms after another host was
   the decider unnoticed.  */
static void
note_role (csp_warmup_t *warmup, const csp_decider_role_t *role)
{
  csp_set_lease_decider (&warmup->grants, false, role->decides_since_ms);
  csp_set_lease_decider (&warmup->grants, role->decides,
                         role->decides_since_ms);
}

bool
csp_has_warmup_grant (csp_warmup_t *warmup, const csp_decider_role_t *role,
                      int64_t now_ms)
{
  note_role (warmup, role);
  return csp_count_grantable (&warmup->grants, &role->fleet, now_ms) > 0;
}

bool
csp_take_warmup_grant (csp_warmup_t *warmup, const csp_decider_role_t *role,
                       int64_t now_ms)
{
  note_role (warmup, role);
  return csp_grant_leases (&warmup->grants, &role->fleet, 1, now_ms) == 1;
}
