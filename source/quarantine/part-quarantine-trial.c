#include "quarantine/part-quarantine-imp.h"

#include <stdlib.h>

/* Which suspected parts come on trial.  Parts are looked at in order of
   suspicion; each explains the ends of the targets that it has strikes of, and
   the others come on trial only for ends that are left.  */

enum
{
  /* From the first strike until a trial, so that requests which were waiting
     at other targets can show that the part is sound.  */
  FIRST_STRIKE_AGE_MS = 1500,
  /* Strikes and answers of other hosts arrive within this time.  */
  ASK_MS = 300,
  /* Targets that end within this time may have one cause.  */
  ONE_MOMENT_MS = 300,
  /* Strikes that are enough if only this host saw them: its connections may
     have been cut, and not its targets.  */
  OWN_STRIKES_TRIED = 6,
  /* Parts that are compared with each other; a comparison of all takes
     milliseconds.  */
  RANKED_MAX = 32,
  /* Strikes that are enough if all are of one moment.  */
  STRIKES_AT_ONCE_TRIED = 6
};

/* Parts that explain ends, in order of suspicion.  */
typedef struct
{
  size_t count;
  csp_part_row_t *rows[CSP_SUSPECTED_PARTS_MAX];
} suspects_t;

/* A row and what it is sorted by.  */
typedef struct
{
  csp_part_row_t *row;
  bool was_held;
  int64_t sound_since_ms;
} ranked_t;

static int
compare_suspicion (const void *a, const void *b)
{
  const ranked_t *first = a;
  const ranked_t *second = b;

  if (first->was_held != second->was_held)
    return first->was_held ? -1 : 1;
  if (first->sound_since_ms != second->sound_since_ms)
    return first->sound_since_ms < second->sound_since_ms ? -1 : 1;
  if (first->row->strike_count != second->row->strike_count)
    return first->row->strike_count > second->row->strike_count ? -1 : 1;
  if (first->row->position != second->row->position)
    return first->row->position > second->row->position ? -1 : 1;
  return first->row->part < second->row->part ? -1 : 1;
}

static void
drop_strikes_of_live_targets (csp_part_row_t *row,
                              const csp_trial_facts_t *facts)
{
  size_t i = 0;

  while (i < row->strike_count)
    if (facts->has_ended (facts->state, row->strikes[i].target,
                          row->strikes[i].at_ms))
      i++;
    else
      csp_drop_part_strike (row, i);
}

typedef bool chosen_t[CSP_PART_STRIKES_KEPT];

/* How many of the chosen strikes count, as few of one moment do.  */
static size_t
count_moments (const csp_part_row_t *row, const chosen_t chosen)
{
  int64_t began_ms = 0;
  size_t at_once = 0;
  size_t counted = 0;
  size_t i;

  for (i = 0; i < row->strike_count; i++)
    {
      if (!chosen[i])
        continue;
      if (counted == 0 || row->strikes[i].at_ms - began_ms >= ONE_MOMENT_MS)
        {
          began_ms = row->strikes[i].at_ms;
          at_once = 0;
        }
      counted += at_once++ < CSP_PART_STRIKES_AT_ONCE;
    }
  return counted;
}

/* Whether the chosen strikes are enough for a trial.  */
static bool
are_enough (const csp_part_row_t *row, const chosen_t chosen)
{
  size_t count = 0;
  size_t i;

  for (i = 0; i < row->strike_count; i++)
    count += chosen[i];
  return count >= STRIKES_AT_ONCE_TRIED
         || count_moments (row, chosen) >= CSP_PART_STRIKES_TRIED;
}

static bool
has_enough_strikes (const csp_part_row_t *row)
{
  chosen_t all;
  size_t i;

  for (i = 0; i < CSP_PART_STRIKES_KEPT; i++)
    all[i] = true;
  return are_enough (row, all);
}

/* Rows that are held, on trial, or have enough strikes for it, sorted.  */
static size_t
rank_suspects (csp_part_quarantine_t *quarantine,
               const csp_trial_facts_t *facts,
               ranked_t ranked[CSP_SUSPECTED_PARTS_MAX])
{
  size_t count = 0;
  size_t i;

  for (i = 0; i < quarantine->row_end; i++)
    {
      csp_part_row_t *row = &quarantine->rows[i];

      if (row->held_until_ms == 0 && has_enough_strikes (row))
        drop_strikes_of_live_targets (row, facts);
      if (row->held_until_ms == 0 && !has_enough_strikes (row))
        {
          row->asked_ms = 0;
          continue;
        }
      ranked[count++] = (ranked_t){ .row = row,
                                    .was_held = row->held_until_ms != 0,
                                    .sound_since_ms = csp_sound_since_ms (
                                        quarantine, row->part) };
    }
  qsort (ranked, count, sizeof ranked[0], compare_suspicion);
  return count < RANKED_MAX ? count : RANKED_MAX;
}

/* Whether the ends that the suspects don't explain are enough to try the
   part.  */
static bool
is_left_to_explain (const suspects_t *suspects, const csp_part_row_t *row)
{
  chosen_t unexplained = { false };
  size_t i;
  size_t j;

  for (i = 0; i < row->strike_count; i++)
    {
      unexplained[i] = true;
      for (j = 0; j < suspects->count; j++)
        unexplained[i] &= !csp_has_part_strike (suspects->rows[j],
                                                row->strikes[i].target);
    }
  return are_enough (row, unexplained);
}

/* Whether one part explains so many ends of another that the other one needs
   no trial.  */
static bool
explains (csp_part_row_t *part, const csp_part_row_t *other)
{
  suspects_t single = { .count = 1, .rows = { part } };

  return part != other && !is_left_to_explain (&single, other);
}

/* Whether the part is suspected beside more suspicious ones: it has ends left
   to explain, or explains alone what takes several of them.  */
static bool
is_suspect (const suspects_t *suspects, const csp_part_row_t *row)
{
  size_t i;

  if (is_left_to_explain (suspects, row))
    return true;
  for (i = 0; i < suspects->count; i++)
    if (explains (suspects->rows[i], row))
      return false;
  return true;
}

/* Whether a part that explains the ends of several suspects, this one among
   them, is tried before them.  */
static bool
waits_for_another (const suspects_t *suspects, const csp_part_row_t *row)
{
  size_t i;
  size_t j;

  for (i = 0; i < suspects->count; i++)
    {
      csp_part_row_t *other = suspects->rows[i];
      size_t explained = 0;

      if (!explains (other, row))
        continue;
      for (j = 0; j < suspects->count; j++)
        explained += explains (other, suspects->rows[j]);
      if (explained > 1)
        return true;
    }
  return false;
}

/* Whether this host has seen one of the strikes; the others are tried by the
   hosts that saw them.  */
static bool
has_own_strike (const csp_part_row_t *row)
{
  size_t i;

  for (i = 0; i < row->strike_count; i++)
    if (row->strikes[i].own)
      return true;
  return false;
}

/* Whether the strikes show more than one host's view.  */
static bool
is_confirmed (const csp_part_row_t *row, const csp_trial_facts_t *facts)
{
  size_t own = 0;
  size_t i;

  for (i = 0; i < row->strike_count; i++)
    own += row->strikes[i].own;
  return own < row->strike_count || own >= OWN_STRIKES_TRIED
         || facts->is_only_host;
}

/* Ask the other hosts about the part; true once they have had time to
   answer.  */
static bool
was_asked_about (csp_part_row_t *row, int64_t now_ms)
{
  if (now_ms - row->strikes[0].at_ms < FIRST_STRIKE_AGE_MS - ASK_MS)
    return false;
  if (row->asked_ms == 0)
    row->asked_ms = now_ms;
  return now_ms - row->asked_ms >= ASK_MS;
}

static bool
may_try_any (const csp_part_quarantine_t *quarantine)
{
  size_t i;

  for (i = 0; i < quarantine->row_end; i++)
    if (quarantine->rows[i].strike_count >= CSP_PART_STRIKES_TRIED
        && quarantine->rows[i].held_until_ms == 0)
      return true;
  return false;
}

/* Suspects in order of suspicion; held parts explain ends too.  */
static void
list_suspects (csp_part_quarantine_t *quarantine,
               const csp_trial_facts_t *facts, suspects_t *suspects)
{
  ranked_t ranked[CSP_SUSPECTED_PARTS_MAX];
  size_t count = rank_suspects (quarantine, facts, ranked);
  size_t i;

  suspects->count = 0;
  for (i = 0; i < count; i++)
    if (ranked[i].was_held || is_suspect (suspects, ranked[i].row))
      suspects->rows[suspects->count++] = ranked[i].row;
    else
      ranked[i].row->asked_ms = 0;
}

/* Whether nothing but the answers of other hosts is missing for a trial.  */
static bool
is_due (const suspects_t *suspects, const csp_part_row_t *row,
        const csp_trial_facts_t *facts)
{
  return row->held_until_ms == 0 && has_own_strike (row)
         && is_confirmed (row, facts) && !waits_for_another (suspects, row);
}

size_t
csp_try_suspected_parts (csp_part_quarantine_t *quarantine,
                         const csp_trial_facts_t *facts, uint64_t *parts,
                         size_t capacity, int64_t now_ms)
{
  suspects_t suspects;
  size_t listed = 0;
  size_t i;

  if (quarantine->count == 0 || !may_try_any (quarantine))
    return 0;
  list_suspects (quarantine, facts, &suspects);
  for (i = 0; i < suspects.count && listed < capacity; i++)
    if (is_due (&suspects, suspects.rows[i], facts)
        && was_asked_about (suspects.rows[i], now_ms))
      {
        csp_begin_part_trial (suspects.rows[i], now_ms);
        parts[listed++] = suspects.rows[i]->part;
      }
  return listed;
}
