#include "quarantine/part-quarantine-imp.h"

/* What the end of a target under a trial proves: the part is held, or it is
   tried again where the end may have another cause.  */

enum
{
  /* Strikes of other hosts arrive within this time.  */
  STRIKES_SETTLE_MS = 300,
  /* Targets that end this close to each other may have one cause.  */
  ENDS_TOGETHER_MS = 500
};

typedef enum
{
  CAUSE_PART,
  CAUSE_OTHER,
  CAUSE_UNCLEAR
} cause_t;

/* The trial has ended one more target.  */
static void
begin_hold (csp_part_row_t *row, int64_t now_ms)
{
  uint32_t doublings = row->failed_trials < CSP_PART_HOLD_DOUBLINGS_MAX
                           ? row->failed_trials
                           : CSP_PART_HOLD_DOUBLINGS_MAX;

  csp_begin_part_trial (row, now_ms);
  row->held_until_ms += (int64_t)CSP_PART_HOLD_MS << doublings;
  row->failed_trials++;
}

/* Whether a part that has failed a trial ended the target as well.  */
static bool
ended_by_another (const csp_part_quarantine_t *quarantine,
                  const csp_part_row_t *row)
{
  size_t i;

  for (i = 0; i < quarantine->row_end; i++)
    if (&quarantine->rows[i] != row && quarantine->rows[i].failed_trials > 0
        && csp_has_part_strike (&quarantine->rows[i], row->failed_at))
      return true;
  return false;
}

/* Whether another part, which is on trial or held, was at a target that
   ended.  */
static bool
was_at_target (const csp_part_row_t *other, const csp_part_row_t *row,
               uint64_t target)
{
  return other != row && other->held_until_ms != 0
         && csp_has_part_strike (other, target);
}

/* Whether such a part, of which the last sound answer began longer ago, was at
   the target of the trial.  */
static bool
was_beside_suspect (const csp_part_quarantine_t *quarantine,
                    const csp_part_row_t *row)
{
  size_t i;

  for (i = 0; i < quarantine->row_end; i++)
    if (was_at_target (&quarantine->rows[i], row, row->failed_at)
        && csp_sound_since_ms (quarantine, quarantine->rows[i].part)
               < csp_sound_since_ms (quarantine, row->part))
      return true;
  return false;
}

/* Whether such a part explains the end of a target.  */
static bool
is_explained (const csp_part_quarantine_t *quarantine,
              const csp_part_row_t *row, uint64_t target)
{
  size_t i;

  for (i = 0; i < quarantine->row_end; i++)
    if (was_at_target (&quarantine->rows[i], row, target))
      return true;
  return false;
}

/* Whether one of the strikes is of another target that ended at about the same
   time as the one under the trial, for no known reason.  */
static bool
has_end_beside (const csp_part_quarantine_t *quarantine,
                const csp_part_row_t *row, const csp_part_row_t *struck)
{
  size_t i;

  for (i = 0; i < struck->strike_count; i++)
    {
      const csp_strike_row_t *strike = &struck->strikes[i];

      if (strike->target != row->failed_at
          && strike->at_ms > row->failed_ms - ENDS_TOGETHER_MS
          && strike->at_ms < row->failed_ms + ENDS_TOGETHER_MS
          && !is_explained (quarantine, row, strike->target))
        return true;
    }
  return false;
}

static bool
ended_beside_others (const csp_part_quarantine_t *quarantine,
                     const csp_part_row_t *row)
{
  size_t i;

  for (i = 0; i < quarantine->row_end; i++)
    if (has_end_beside (quarantine, row, &quarantine->rows[i]))
      return true;
  return false;
}

/* A cause is unclear once, so that a part that crashes targets is tried at
   most twice before it is held.  */
static cause_t
find_cause (const csp_part_quarantine_t *quarantine, const csp_part_row_t *row)
{
  if (ended_by_another (quarantine, row))
    return CAUSE_OTHER;
  if (row->failed_trials > 0 || row->tried_again)
    return CAUSE_PART;
  return was_beside_suspect (quarantine, row)
                 || ended_beside_others (quarantine, row)
             ? CAUSE_UNCLEAR
             : CAUSE_PART;
}

size_t
csp_judge_failed_trials (csp_part_quarantine_t *quarantine,
                         csp_trial_verdict_t *verdicts, size_t capacity,
                         int64_t now_ms)
{
  size_t listed = 0;
  size_t i;

  for (i = 0; i < quarantine->row_end && listed < capacity; i++)
    {
      csp_part_row_t *row = &quarantine->rows[i];

      if (row->failed_ms == 0 || now_ms - row->failed_ms < STRIKES_SETTLE_MS)
        continue;
      switch (find_cause (quarantine, row))
        {
        case CAUSE_PART:
          begin_hold (row, now_ms);
          verdicts[listed++] = (csp_trial_verdict_t){ row->part, true };
          break;
        case CAUSE_OTHER:
          row->failed_ms = 0;
          row->trial_until_ms = 0;
          break;
        case CAUSE_UNCLEAR:
          csp_begin_part_trial (row, now_ms);
          row->tried_again = true;
          verdicts[listed++] = (csp_trial_verdict_t){ row->part, false };
          break;
        }
    }
  return listed;
}
