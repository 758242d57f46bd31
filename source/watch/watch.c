#include "cowslipspoke/watch.h"

#include <stdio.h>
#include <string.h>

enum
{
  /* Enough for a page of 1 MB from a slow store.  */
  LIST_TIMEOUT_MS = 1500,
  /* The backoff after failures doubles from the initial value to the policy's
     maximum.  The delay is drawn between half of it and all of it, so that
     hosts whose calls failed together don't retry together.  */
  INITIAL_BACKOFF_MS = 50,
  BACKOFF_DOUBLINGS_MAX = 8,
  /* A single failure may just be a broken watch.  */
  UNREACHABLE_FAILURES = 2,
  /* For a watch that only asks for the changes so far.  */
  CONFIRM_WAIT_MS = 1
};

void
csp_init_watch (csp_watch_t *watch, const csp_watch_policy_t *policy,
                int64_t after, uint64_t seed)
{
  memset (watch, 0, sizeof *watch);
  watch->policy = *policy;
  watch->kind = after > 0 ? CSP_WATCH_FOLLOW : CSP_WATCH_LIST;
  watch->revision = after;
  watch->first_page = true;
  watch->stale_ok = after <= 0;
  csp_seed_random (&watch->random, seed);
}

static uint32_t
backoff_ms (csp_watch_t *watch)
{
  uint32_t doublings;
  uint32_t max_ms;

  if (watch->failures == 0)
    return 0;
  doublings = watch->failures - 1 < BACKOFF_DOUBLINGS_MAX
                  ? watch->failures - 1
                  : BACKOFF_DOUBLINGS_MAX;
  max_ms = (uint32_t)INITIAL_BACKOFF_MS << doublings;
  if (max_ms > watch->policy.max_backoff_ms)
    max_ms = watch->policy.max_backoff_ms;
  return max_ms / 2 + csp_random_below (&watch->random, max_ms / 2 + 1);
}

csp_watch_call_t
csp_next_watch_call (csp_watch_t *watch)
{
  csp_watch_call_t call = { .kind = watch->kind,
                            .first_page = watch->first_page,
                            .stale_ok = watch->stale_ok,
                            .after_revision = watch->revision,
                            .wait_ms = watch->policy.wait_ms,
                            .timeout_ms = LIST_TIMEOUT_MS,
                            .delay_ms = backoff_ms (watch) };

  memcpy (call.after_key, watch->after_key, sizeof call.after_key);
  if (watch->kind != CSP_WATCH_FOLLOW)
    return call;
  if (watch->confirms_list)
    call.wait_ms = CONFIRM_WAIT_MS;
  else if (watch->failures == 0)
    call.delay_ms = watch->policy.gap_ms;
  call.timeout_ms = watch->policy.wait_ms + watch->policy.answer_grace_ms;
  return call;
}

/* Pages are no snapshot, so changes are watched from the revision of the
   oldest page, which is the first one unless pages may be stale.  Changes
   between two pages are then seen twice.  */
void
csp_note_watch_page (csp_watch_t *watch, int64_t as_of, bool has_more,
                     const char *last_key)
{
  watch->failures = 0;
  if (watch->first_page || as_of < watch->revision)
    watch->revision = as_of;
  watch->first_page = false;
  if (has_more)
    {
      snprintf (watch->after_key, sizeof watch->after_key, "%s", last_key);
      return;
    }
  watch->kind = CSP_WATCH_FOLLOW;
  watch->confirms_list = watch->stale_ok;
  watch->stale_ok = false;
  watch->after_key[0] = '\0';
}

void
csp_note_watch_changes (csp_watch_t *watch, int64_t as_of)
{
  watch->failures = 0;
  watch->confirms_list = false;
  if (as_of > watch->revision)
    watch->revision = as_of;
}

void
csp_note_watch_failure (csp_watch_t *watch, csp_watch_failure_t failure)
{
  watch->failures++;
  if (failure != CSP_WATCH_COMPACTED && watch->kind == CSP_WATCH_FOLLOW)
    return;
  watch->kind = CSP_WATCH_LIST;
  watch->confirms_list = false;
  watch->first_page = true;
  watch->after_key[0] = '\0';
}

bool
csp_is_watch_unreachable (const csp_watch_t *watch)
{
  return watch->failures >= UNREACHABLE_FAILURES;
}
