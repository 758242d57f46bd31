#include "cowslipspoke/damping.h"

/* The decisions of damping, without input or output.

   A loss is dated by the age in its report, not by the report's arrival, so
   that a report that comes again or late changes nothing.  */

enum
{
  FIRST_DAMPING_MS = 1000,
  MAX_DOUBLINGS = 4, /* from the first to the longest damping */
  /* Losses of two hosts within this time are evidence, and older ones are
     none.  A down time of 0.7 s loses some ten attempts.  */
  EVIDENCE_MS = 2000,
  /* Requests on probation are expected to end within this time.  */
  PROBATION_RUN_MS = 1000,
  PROBATION_REQUESTS_MAX = 1024,
  /* The count of dampings is reset after this many times the last one, and no
     sooner than after RESET_MIN_MS.  */
  RESET_TIMES = 4,
  RESET_MIN_MS = 20000,
  /* One of this many ready targets may be damped.  */
  DAMPED_DIVISOR = 5
};

static void
change_state (csp_damping_t *damping, csp_damping_state_t state,
              int64_t now_ms)
{
  damping->state = state;
  damping->changed_ms = now_ms;
  damping->allowed = state == CSP_TARGET_ON_PROBATION ? 1 : 0;
  damping->served = 0;
}

/* The duration of a damping after a number of earlier ones.  */
static uint32_t
find_duration_ms (uint32_t earlier)
{
  return FIRST_DAMPING_MS << (earlier < MAX_DOUBLINGS ? earlier
                                                      : MAX_DOUBLINGS);
}

static void
damp (csp_damping_t *damping, uint64_t host, int64_t now_ms)
{
  damping->evidence_host = host;
  damping->duration_ms = find_duration_ms (damping->times);
  damping->times++;
  damping->counted_from_ms = now_ms + (int64_t)damping->duration_ms;
  change_state (damping, CSP_TARGET_DAMPED, now_ms);
}

/* Whether the loss and the last one before it are evidence: of two hosts that
   aren't cut off together, or both of the only host.  */
static bool
is_confirmed (const csp_damping_t *damping, const csp_damping_report_t *report,
              int64_t lost_ms)
{
  int64_t apart_ms = lost_ms - damping->failed_ms;

  if (damping->failed_ms == 0 || damping->failed_ms < damping->counted_from_ms
      || apart_ms > EVIDENCE_MS || -apart_ms > EVIDENCE_MS)
    return false;
  return report->is_only_host
         || (damping->failed_host != report->host
             && (report->is_only_data_centre
                 || damping->failed_data_centre != report->host_data_centre
                 || report->host_data_centre == report->target_data_centre));
}

/* Whether one loss is enough to damp the target again.  A host elsewhere that
   is cut off from a healthy target would keep it damped alone.  */
static bool
ends_probation (const csp_damping_t *damping,
                const csp_damping_report_t *report, int64_t lost_ms)
{
  return report->host_data_centre == report->target_data_centre
         || report->host != damping->evidence_host
         || is_confirmed (damping, report, lost_ms);
}

/* Whether the loss damps the target.  What was lost before the end of a
   damping has been counted, or was under way when it began.  */
static bool
is_evidence (const csp_damping_t *damping, const csp_damping_report_t *report,
             int64_t lost_ms)
{
  if (lost_ms < damping->counted_from_ms)
    return false;
  switch (damping->state)
    {
    case CSP_TARGET_TRUSTED:
      return is_confirmed (damping, report, lost_ms);
    case CSP_TARGET_DAMPED:
      return false;
    case CSP_TARGET_ON_PROBATION:
      return ends_probation (damping, report, lost_ms);
    }
  return false;
}

bool
csp_note_damping_report (csp_damping_t *damping,
                         const csp_damping_report_t *report, int64_t now_ms)
{
  int64_t lost_ms = now_ms - (int64_t)report->age_ms;
  bool has_new = report->failures > damping->known_failures
                 && report->age_ms < EVIDENCE_MS;
  bool damps;

  damping->known_failures = report->failures;
  if (!has_new)
    return false;
  csp_update_damping (damping, now_ms);
  damps = is_evidence (damping, report, lost_ms);
  if (lost_ms >= damping->failed_ms)
    {
      damping->failed_ms = lost_ms;
      damping->failed_host = report->host;
      damping->failed_data_centre = report->host_data_centre;
    }
  if (damps)
    damp (damping, report->host, now_ms);
  return damps;
}

/* Allows twice as many once as many as are allowed were served.  */
void
csp_note_damping_success (csp_damping_t *damping)
{
  if (damping->state != CSP_TARGET_ON_PROBATION
      || ++damping->served < damping->allowed)
    return;
  damping->served = 0;
  if (damping->allowed < PROBATION_REQUESTS_MAX)
    damping->allowed *= 2;
}

static int64_t
find_reset_ms (const csp_damping_t *damping)
{
  int64_t healthy_ms = (int64_t)RESET_TIMES * damping->duration_ms;

  return damping->changed_ms
         + (healthy_ms > RESET_MIN_MS ? healthy_ms : RESET_MIN_MS);
}

/* A state begins when the one before it was due to end, so that all deciders
   have the same times however often they update them.  */
bool
csp_update_damping (csp_damping_t *damping, int64_t now_ms)
{
  int64_t ends_ms = damping->changed_ms + damping->duration_ms;
  bool changed = false;

  if (damping->state == CSP_TARGET_DAMPED && now_ms >= ends_ms)
    {
      change_state (damping, CSP_TARGET_ON_PROBATION, ends_ms);
      ends_ms += damping->duration_ms;
      changed = true;
    }
  if (damping->state == CSP_TARGET_ON_PROBATION && now_ms >= ends_ms)
    {
      change_state (damping, CSP_TARGET_TRUSTED, ends_ms);
      changed = true;
    }
  if (damping->state == CSP_TARGET_TRUSTED && damping->times > 0
      && now_ms >= find_reset_ms (damping))
    damping->times = 0;
  return changed;
}

void
csp_release_damping (csp_damping_t *damping, int64_t now_ms)
{
  if (damping->state == CSP_TARGET_TRUSTED)
    return;
  damping->times--;
  damping->duration_ms
      = damping->times > 0 ? find_duration_ms (damping->times - 1) : 0;
  change_state (damping, CSP_TARGET_TRUSTED, now_ms);
}

bool
csp_damping_allows (const csp_damping_t *damping, uint32_t under_way,
                    uint32_t run_ms, int64_t now_ms)
{
  csp_damping_t current = *damping;

  csp_update_damping (&current, now_ms);
  switch (current.state)
    {
    case CSP_TARGET_TRUSTED:
      return true;
    case CSP_TARGET_DAMPED:
      return false;
    case CSP_TARGET_ON_PROBATION:
      return under_way < current.allowed && run_ms < PROBATION_RUN_MS;
    }
  return true;
}

uint32_t
csp_max_damped_targets (uint32_t ready_count)
{
  return ready_count < DAMPED_DIVISOR ? 1 : ready_count / DAMPED_DIVISOR;
}
