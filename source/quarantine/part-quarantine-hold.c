#include "quarantine/part-quarantine-imp.h"

#include <stdlib.h>

/* Which suspected parts are held.  Parts are looked at in order of suspicion;
   each explains the ends of the targets that it has strikes of, and the others
   are held only for ends that are left.  */

enum
{
  /* Strikes of other hosts, and answers that take strikes back, arrive within
     this time.  */
  STRIKE_SETTLE_MS = 300,
  /* From the first strike until a hold, so that requests which were waiting at
     other targets can show that the part is sound.  */
  FIRST_STRIKE_AGE_MS = 1500,
  /* Targets that end within this time may have one cause.  */
  ONE_MOMENT_MS = 1000
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
  if (first->row->position != second->row->position)
    return first->row->position > second->row->position ? -1 : 1;
  return first->row->part < second->row->part ? -1 : 1;
}

static void
drop_strikes_of_live_targets (csp_part_row_t *row,
                              const csp_target_ends_t *ends)
{
  size_t i = 0;

  while (i < row->strike_count)
    if (ends->has_ended (ends->state, row->strikes[i].target,
                         row->strikes[i].at_ms))
      i++;
    else
      csp_drop_part_strike (row, i);
}

/* Rows that are held or have enough strikes for it, sorted.  */
static size_t
rank_suspects (csp_part_quarantine_t *quarantine,
               const csp_target_ends_t *ends,
               ranked_t ranked[CSP_SUSPECTED_PARTS_MAX])
{
  size_t count = 0;
  size_t i;

  for (i = 0; i < CSP_SUSPECTED_PARTS_MAX; i++)
    {
      csp_part_row_t *row = &quarantine->rows[i];

      if (row->strike_count >= CSP_PART_STRIKES_HELD
          && row->held_until_ms == 0)
        drop_strikes_of_live_targets (row, ends);
      if (row->held_until_ms != 0
          || row->strike_count >= CSP_PART_STRIKES_HELD)
        ranked[count++] = (ranked_t){ .row = row,
                                      .was_held = row->held_until_ms != 0,
                                      .sound_since_ms = csp_sound_since_ms (
                                          quarantine, row->part) };
    }
  qsort (ranked, count, sizeof ranked[0], compare_suspicion);
  return count;
}

static bool
is_explained (const suspects_t *suspects, uint64_t target)
{
  size_t i;
  size_t j;

  for (i = 0; i < suspects->count; i++)
    for (j = 0; j < suspects->rows[i]->strike_count; j++)
      if (suspects->rows[i]->strikes[j].target == target)
        return true;
  return false;
}

static size_t
count_unexplained (const suspects_t *suspects, const csp_part_row_t *row)
{
  size_t unexplained = 0;
  size_t i;

  for (i = 0; i < row->strike_count; i++)
    unexplained += !is_explained (suspects, row->strikes[i].target);
  return unexplained;
}

/* Whether this host has seen one of the strikes; the others are held by the
   hosts that saw them.  */
static bool
has_own_strike (const csp_part_row_t *row)
{
  size_t i;

  for (i = 0; i < row->strike_count; i++)
    if (row->strikes[i].reporter == 0)
      return true;
  return false;
}

/* Whether what could show that the part is sound has had its time.  */
static bool
is_settled (const csp_part_quarantine_t *quarantine, const csp_part_row_t *row,
            int64_t now_ms)
{
  int64_t first_ms = row->strikes[0].at_ms;
  int64_t last_ms = row->strikes[row->strike_count - 1].at_ms;
  int64_t decisive_ms = row->strikes[CSP_PART_STRIKES_HELD - 1].at_ms;

  return now_ms - first_ms >= FIRST_STRIKE_AGE_MS
         && now_ms - decisive_ms >= STRIKE_SETTLE_MS
         && (last_ms - first_ms >= ONE_MOMENT_MS
             || csp_service_sound_since_ms (quarantine, row->part) > first_ms);
}

static bool
has_enough_strikes (const csp_part_quarantine_t *quarantine)
{
  size_t i;

  for (i = 0; i < CSP_SUSPECTED_PARTS_MAX; i++)
    if (quarantine->rows[i].strike_count >= CSP_PART_STRIKES_HELD
        && quarantine->rows[i].held_until_ms == 0)
      return true;
  return false;
}

size_t
csp_hold_suspected_parts (csp_part_quarantine_t *quarantine,
                          const csp_target_ends_t *ends, uint64_t *parts,
                          size_t capacity, int64_t now_ms)
{
  ranked_t ranked[CSP_SUSPECTED_PARTS_MAX];
  suspects_t suspects = { .count = 0 };
  size_t listed = 0;
  size_t count;
  size_t i;

  if (quarantine->count == 0 || !has_enough_strikes (quarantine))
    return 0;
  count = rank_suspects (quarantine, ends, ranked);
  for (i = 0; i < count; i++)
    {
      csp_part_row_t *row = ranked[i].row;

      if (!ranked[i].was_held
          && count_unexplained (&suspects, row) < CSP_PART_STRIKES_HELD)
        continue;
      suspects.rows[suspects.count++] = row;
      if (ranked[i].was_held || listed == capacity || !has_own_strike (row)
          || !is_settled (quarantine, row, now_ms))
        continue;
      csp_begin_part_hold (row, now_ms);
      parts[listed++] = row->part;
    }
  return listed;
}
