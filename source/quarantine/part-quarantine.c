#include "quarantine/part-quarantine-imp.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* For this long only the host that began a hold or a trial sends
     requests.  */
  TRIAL_LEAD_MS = 10000,
  /* Then the others begin to, one after the other.  */
  TRIAL_SPREAD_MS = 20000,
  /* A request on trial that has no answer by then no longer keeps others
     back.  */
  TRIAL_MS = 10000,
  /* A sound part is mostly let go within this time.  */
  TRIAL_RETRY_MS = 1000,
  /* Strikes that led to no hold are dropped after this time, and so are
     expired holds.  */
  FORGET_MS = 600000,
  HOLD_MAX_MS = CSP_PART_HOLD_MS << CSP_PART_HOLD_DOUBLINGS_MAX,
  /* A host computes times of other hosts too late by the network delay.  Times
     that differ by less than this are the same.  */
  TOLERANCE_MS = 1000,
  /* How many times a strike and a hold are broadcast.  Hellos repeat
     holds.  */
  BROADCASTS = 2
};

csp_part_quarantine_t *
csp_create_part_quarantine (uint64_t seed)
{
  csp_part_quarantine_t *quarantine = calloc (1, sizeof *quarantine);

  if (quarantine != NULL)
    csp_seed_random (&quarantine->random, seed);
  return quarantine;
}

void
csp_destroy_part_quarantine (csp_part_quarantine_t *quarantine)
{
  free (quarantine);
}

static csp_part_row_t *
find_row (const csp_part_quarantine_t *quarantine, uint64_t part)
{
  size_t i;

  if (quarantine->count == 0)
    return NULL;
  for (i = 0; i < quarantine->row_end; i++)
    if (quarantine->rows[i].part == part)
      return (csp_part_row_t *)&quarantine->rows[i];
  return NULL;
}

/* Whether a row is evicted before another one.  Callers choose the names of
   parts, so parts with few strikes never evict one that is held or has
   more.  */
static bool
ranks_below (const csp_part_row_t *row, const csp_part_row_t *other)
{
  bool was_held = row->held_until_ms != 0;

  if (was_held != (other->held_until_ms != 0))
    return !was_held;
  if (row->strike_count != other->strike_count)
    return row->strike_count < other->strike_count;
  return row->struck_at_ms < other->struck_at_ms;
}

/* Returns a row for a new part.  When the table is full, evicts the row that
   ranks lowest.  */
static csp_part_row_t *
allocate_row (csp_part_quarantine_t *quarantine, uint64_t part)
{
  csp_part_row_t *lowest = &quarantine->rows[0];
  size_t i;

  for (i = 0; i < CSP_SUSPECTED_PARTS_MAX && lowest->part != 0; i++)
    if (quarantine->rows[i].part == 0
        || ranks_below (&quarantine->rows[i], lowest))
      lowest = &quarantine->rows[i];
  quarantine->count += lowest->part == 0;
  if (lowest >= quarantine->rows + quarantine->row_end)
    quarantine->row_end = (size_t)(lowest - quarantine->rows) + 1;
  memset (lowest, 0, sizeof *lowest);
  lowest->part = part;
  lowest->position = UINT32_MAX;
  return lowest;
}

static void
release_row (csp_part_quarantine_t *quarantine, csp_part_row_t *row)
{
  memset (row, 0, sizeof *row);
  quarantine->count--;
  while (quarantine->row_end > 0
         && quarantine->rows[quarantine->row_end - 1].part == 0)
    quarantine->row_end--;
}

int64_t
csp_sound_since_ms (const csp_part_quarantine_t *quarantine, uint64_t part)
{
  const csp_sound_row_t *row = &quarantine->sound[part % CSP_SOUND_ROWS];

  return row->part == part ? row->began_ms : 0;
}

static void
remember_sound (csp_sound_row_t *row, uint64_t part, int64_t began_ms)
{
  if (row->part == part && row->began_ms >= began_ms)
    return;
  row->part = part;
  row->began_ms = began_ms;
}

int64_t
csp_part_hold_end_ms (const csp_part_row_t *row)
{
  return row->leads || row->held_until_ms == 0
             ? row->held_until_ms
             : row->held_until_ms + TRIAL_LEAD_MS + row->spread_ms;
}

bool
csp_is_part_held (const csp_part_row_t *row, int64_t now_ms)
{
  return now_ms < csp_part_hold_end_ms (row);
}

bool
csp_is_part_on_trial (const csp_part_row_t *row, int64_t now_ms)
{
  return row->held_until_ms != 0 && now_ms >= csp_part_hold_end_ms (row);
}

void
csp_begin_part_trial (csp_part_row_t *row, int64_t now_ms)
{
  row->held_until_ms = now_ms;
  row->asked_ms = 0;
  row->trial_until_ms = 0;
  row->failed_ms = 0;
  row->broadcasts_left = BROADCASTS;
  row->leads = true;
}

void
csp_drop_part_strike (csp_part_row_t *row, size_t index)
{
  row->strike_count--;
  memmove (&row->strikes[index], &row->strikes[index + 1],
           (row->strike_count - index) * sizeof row->strikes[0]);
}

bool
csp_has_part_strike (const csp_part_row_t *row, uint64_t target)
{
  size_t i;

  for (i = 0; i < row->strike_count; i++)
    if (row->strikes[i].target == target)
      return true;
  return false;
}

/* Insert a strike in order of time; the oldest one gives way where all are
   taken.  */
static void
insert_strike (csp_part_row_t *row, const csp_strike_row_t *strike)
{
  size_t at = row->strike_count;

  if (row->strike_count == CSP_PART_STRIKES_KEPT)
    {
      csp_drop_part_strike (row, 0);
      at--;
    }
  while (at > 0 && row->strikes[at - 1].at_ms > strike->at_ms)
    {
      row->strikes[at] = row->strikes[at - 1];
      at--;
    }
  row->strikes[at] = *strike;
  row->strike_count++;
  if (strike->at_ms > row->struck_at_ms)
    row->struck_at_ms = strike->at_ms;
}

/* Returns whether the strike is a new one that counts.  */
static bool
add_strike (csp_part_quarantine_t *quarantine, const csp_part_strike_t *strike,
            bool own, int64_t now_ms)
{
  csp_strike_row_t inserted = { .target = strike->target,
                                .at_ms = now_ms - strike->age_ms,
                                .own = own,
                                .broadcasts_left = own ? BROADCASTS : 0 };
  csp_part_row_t *row = find_row (quarantine, strike->part);

  if (strike->part == 0 || strike->age_ms >= FORGET_MS
      || csp_sound_since_ms (quarantine, strike->part) > inserted.at_ms)
    return false;
  if (row == NULL)
    row = allocate_row (quarantine, strike->part);
  if (strike->position < row->position)
    row->position = strike->position;
  if (csp_has_part_strike (row, strike->target))
    return false;
  insert_strike (row, &inserted);
  return true;
}

bool
csp_add_part_strike (csp_part_quarantine_t *quarantine,
                     const csp_part_strike_t *strike, int64_t now_ms)
{
  return add_strike (quarantine, strike, false, now_ms);
}

bool
csp_add_own_part_strike (csp_part_quarantine_t *quarantine,
                         const csp_part_strike_t *strike, int64_t sent_ms,
                         int64_t now_ms)
{
  bool added = add_strike (quarantine, strike, true, now_ms);
  csp_part_row_t *row = find_row (quarantine, strike->part);

  if (row != NULL && csp_is_part_on_trial (row, now_ms)
      && sent_ms >= csp_part_hold_end_ms (row))
    {
      row->failed_ms = now_ms;
      row->failed_at = strike->target;
      row->trial_until_ms = now_ms + TRIAL_MS;
    }
  return added;
}

csp_hold_change_t
csp_note_sound_part (csp_part_quarantine_t *quarantine, uint64_t part,
                     int64_t began_ms)
{
  csp_part_row_t *row = find_row (quarantine, part);
  csp_hold_change_t change = CSP_HOLD_UNCHANGED;

  remember_sound (&quarantine->sound[part % CSP_SOUND_ROWS], part, began_ms);
  if (row == NULL)
    return change;
  while (row->strike_count > 0 && row->strikes[0].at_ms < began_ms)
    csp_drop_part_strike (row, 0);
  if (row->strike_count > 0 || row->struck_at_ms >= began_ms)
    return change;
  if (row->held_until_ms != 0)
    change = row->leads ? CSP_OWN_HOLD_LIFTED : CSP_HOLD_LIFTED;
  release_row (quarantine, row);
  return change;
}

bool
csp_find_sound_part (const csp_part_quarantine_t *quarantine, uint64_t part,
                     csp_sound_part_t *sound, int64_t now_ms)
{
  int64_t began_ms = csp_sound_since_ms (quarantine, part);
  int64_t age_ms = now_ms - began_ms;

  if (began_ms == 0 || age_ms > FORGET_MS)
    return false;
  *sound = (csp_sound_part_t){ .part = part,
                               .age_ms = age_ms > 0 ? (uint32_t)age_ms : 0 };
  return true;
}

csp_part_change_t
csp_merge_held_part (csp_part_quarantine_t *quarantine,
                     const csp_held_part_t *held, bool precedes,
                     int64_t now_ms)
{
  csp_part_row_t *row = find_row (quarantine, held->part);
  int64_t struck_at_ms = now_ms - held->strike_age_ms;
  int64_t until_ms = now_ms + held->left_ms - held->trial_age_ms;

  if (held->part == 0 || held->left_ms > HOLD_MAX_MS
      || held->trial_age_ms > FORGET_MS)
    return CSP_PART_UNCHANGED;
  if (csp_sound_since_ms (quarantine, held->part) > struck_at_ms)
    return CSP_PART_SOUND;
  if (held->asks)
    return CSP_PART_UNCHANGED;
  if (row == NULL)
    row = allocate_row (quarantine, held->part);
  if (held->failed_trials > row->failed_trials)
    row->failed_trials = held->failed_trials;
  if (struck_at_ms > row->struck_at_ms + TOLERANCE_MS)
    row->struck_at_ms = struck_at_ms;
  if (until_ms <= row->held_until_ms + TOLERANCE_MS)
    {
      if (held->leads && precedes
          && until_ms + TOLERANCE_MS > row->held_until_ms)
        row->leads = false;
      return CSP_PART_UNCHANGED;
    }
  row->held_until_ms = until_ms;
  row->spread_ms = csp_random_below (&quarantine->random, TRIAL_SPREAD_MS);
  row->asked_ms = 0;
  row->trial_until_ms = 0;
  row->failed_ms = 0;
  row->leads = false;
  return held->left_ms == 0 ? CSP_PART_ON_TRIAL : CSP_PART_HELD;
}

static uint32_t
left_ms (const csp_part_row_t *row, int64_t now_ms)
{
  int64_t until_ms = csp_is_part_held (row, now_ms)
                         ? csp_part_hold_end_ms (row)
                         : row->trial_until_ms;

  return until_ms > now_ms ? (uint32_t)(until_ms - now_ms) : 0;
}

static uint32_t
retry_after_ms (const csp_part_row_t *row, int64_t now_ms)
{
  if (now_ms < row->held_until_ms)
    return (uint32_t)(row->held_until_ms - now_ms);
  return left_ms (row, now_ms) > 0 ? TRIAL_RETRY_MS : 0;
}

static uint32_t
find_longest_ms (const csp_part_quarantine_t *quarantine,
                 const csp_prompt_parts_t *parts, int64_t now_ms,
                 uint32_t (*row_ms) (const csp_part_row_t *row,
                                     int64_t now_ms))
{
  uint32_t longest_ms = 0;
  size_t i;

  for (i = 0; i < parts->count; i++)
    {
      const csp_part_row_t *row = find_row (quarantine, parts->parts[i]);
      uint32_t part_ms = row == NULL ? 0 : row_ms (row, now_ms);

      if (part_ms > longest_ms)
        longest_ms = part_ms;
    }
  return longest_ms;
}

uint32_t
csp_held_part_left_ms (const csp_part_quarantine_t *quarantine,
                       const csp_prompt_parts_t *parts, int64_t now_ms)
{
  return find_longest_ms (quarantine, parts, now_ms, left_ms);
}

uint32_t
csp_part_retry_after_ms (const csp_part_quarantine_t *quarantine,
                         const csp_prompt_parts_t *parts, int64_t now_ms)
{
  return find_longest_ms (quarantine, parts, now_ms, retry_after_ms);
}

/* The row of a part that is on trial; NULL if it isn't, or has just failed. */
static csp_part_row_t *
find_trial (const csp_part_quarantine_t *quarantine, uint64_t part,
            int64_t now_ms)
{
  csp_part_row_t *row = find_row (quarantine, part);

  return row != NULL && csp_is_part_on_trial (row, now_ms)
                 && row->failed_ms == 0
             ? row
             : NULL;
}

void
csp_begin_part_trials (csp_part_quarantine_t *quarantine,
                       const csp_prompt_parts_t *parts, int64_t now_ms)
{
  size_t i;

  for (i = 0; i < parts->count; i++)
    {
      csp_part_row_t *row = find_trial (quarantine, parts->parts[i], now_ms);

      if (row == NULL)
        continue;
      /* The host that led sees no such request; this one leads from now on,
         so that the others don't send one as well.  */
      if (!row->leads)
        csp_begin_part_trial (row, now_ms);
      row->trial_until_ms = now_ms + TRIAL_MS;
    }
}

void
csp_cancel_part_trials (csp_part_quarantine_t *quarantine,
                        const csp_prompt_parts_t *parts, int64_t now_ms)
{
  size_t i;

  for (i = 0; i < parts->count; i++)
    {
      csp_part_row_t *row = find_trial (quarantine, parts->parts[i], now_ms);

      if (row != NULL)
        row->trial_until_ms = 0;
    }
}

void
csp_expire_part_strikes (csp_part_quarantine_t *quarantine, int64_t now_ms)
{
  size_t i;

  for (i = 0; i < quarantine->row_end; i++)
    {
      csp_part_row_t *row = &quarantine->rows[i];
      int64_t since_ms = row->held_until_ms > row->struck_at_ms
                             ? row->held_until_ms
                             : row->struck_at_ms;

      while (row->strike_count > 0
             && now_ms - row->strikes[0].at_ms >= FORGET_MS)
        csp_drop_part_strike (row, 0);
      if (row->part != 0 && now_ms - since_ms >= FORGET_MS)
        release_row (quarantine, row);
    }
}

size_t
csp_count_suspected_parts (const csp_part_quarantine_t *quarantine)
{
  return quarantine->count;
}

size_t
csp_count_held_parts (const csp_part_quarantine_t *quarantine)
{
  size_t held = 0;
  size_t i;

  for (i = 0; i < quarantine->row_end; i++)
    held += quarantine->rows[i].held_until_ms != 0;
  return held;
}
