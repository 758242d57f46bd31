#include "quarantine/part-quarantine-imp.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* The first hold.  It doubles with each trial that ends a further target. */
  HOLD_MS = 300000,
  HOLD_DOUBLINGS_MAX = 4,
  /* For this long only the host that began a hold tries whether the part still
     crashes targets.  */
  TRIAL_LEAD_MS = 30000,
  /* A request on trial that has no answer by then no longer keeps others
     back.  */
  TRIAL_MS = 10000,
  /* Strikes that led to no hold are dropped after this time, and so are
     expired holds.  */
  FORGET_MS = 600000,
  HOLD_MAX_MS = HOLD_MS << HOLD_DOUBLINGS_MAX,
  /* A host computes times of other hosts too late by the network delay.  Times
     that differ by less than this are the same.  */
  TOLERANCE_MS = 1000,
  /* How many times a strike and a hold are broadcast.  Hellos repeat
     holds.  */
  BROADCASTS = 2,
  /* An answer that takes back fewer strikes than this isn't reported to the
     hosts that saw them; they are far from holding the part.  */
  REPORTED_STRIKES = 2,
  SERVICE_SHIFT = 32
};

csp_part_quarantine_t *
csp_create_part_quarantine (void)
{
  return calloc (1, sizeof (csp_part_quarantine_t));
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
  for (i = 0; i < CSP_SUSPECTED_PARTS_MAX; i++)
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
}

static size_t
service_slot (uint64_t part)
{
  return (part >> SERVICE_SHIFT) % CSP_SOUND_SERVICES;
}

int64_t
csp_sound_since_ms (const csp_part_quarantine_t *quarantine, uint64_t part)
{
  const csp_sound_row_t *row = &quarantine->sound[part % CSP_SOUND_ROWS];

  return row->part == part ? row->began_ms : 0;
}

int64_t
csp_service_sound_since_ms (const csp_part_quarantine_t *quarantine,
                            uint64_t part)
{
  const csp_sound_row_t *row = &quarantine->services[service_slot (part)];

  return row->part == part >> SERVICE_SHIFT ? row->began_ms : 0;
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
  return row->held_here || row->held_until_ms == 0
             ? row->held_until_ms
             : row->held_until_ms + TRIAL_LEAD_MS;
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
csp_begin_part_hold (csp_part_row_t *row, int64_t now_ms)
{
  uint32_t doublings = row->failed_trials < HOLD_DOUBLINGS_MAX
                           ? row->failed_trials
                           : HOLD_DOUBLINGS_MAX;

  row->held_until_ms = now_ms + ((int64_t)HOLD_MS << doublings);
  row->trial_until_ms = 0;
  row->broadcasts_left = BROADCASTS;
  row->held_here = true;
}

void
csp_drop_part_strike (csp_part_row_t *row, size_t index)
{
  row->strike_count--;
  memmove (&row->strikes[index], &row->strikes[index + 1],
           (row->strike_count - index) * sizeof row->strikes[0]);
}

static bool
has_strike (const csp_part_row_t *row, uint64_t target)
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

csp_part_change_t
csp_add_part_strike (csp_part_quarantine_t *quarantine,
                     const csp_part_strike_t *strike, uint64_t reporter,
                     int64_t now_ms)
{
  csp_strike_row_t inserted
      = { .target = strike->target,
          .at_ms = now_ms - strike->age_ms,
          .reporter = reporter,
          .broadcasts_left = reporter == 0 ? BROADCASTS : 0 };
  csp_part_row_t *row = find_row (quarantine, strike->part);

  if (strike->part == 0 || strike->age_ms >= FORGET_MS)
    return CSP_PART_UNCHANGED;
  if (csp_sound_since_ms (quarantine, strike->part) > inserted.at_ms)
    return CSP_PART_SOUND;
  if (row == NULL)
    row = allocate_row (quarantine, strike->part);
  if (strike->position < row->position)
    row->position = strike->position;
  if (has_strike (row, strike->target))
    return CSP_PART_UNCHANGED;
  insert_strike (row, &inserted);
  if (!csp_is_part_on_trial (row, now_ms) || reporter != 0
      || inserted.at_ms < csp_part_hold_end_ms (row))
    return CSP_PART_STRUCK;
  row->failed_trials++;
  csp_begin_part_hold (row, now_ms);
  return CSP_PART_HELD;
}

/* Take back the strikes that are older than a sound answer.  */
static void
drop_older_strikes (csp_part_row_t *row, int64_t began_ms,
                    csp_part_acquittal_t *acquittal)
{
  bool reported = row->strike_count >= REPORTED_STRIKES;

  while (row->strike_count > 0 && row->strikes[0].at_ms < began_ms)
    {
      if (reported && row->strikes[0].reporter != 0)
        acquittal->reporters[acquittal->reporter_count++]
            = row->strikes[0].reporter;
      csp_drop_part_strike (row, 0);
    }
}

csp_part_acquittal_t
csp_note_sound_part (csp_part_quarantine_t *quarantine, uint64_t part,
                     int64_t began_ms, int64_t now_ms)
{
  csp_part_acquittal_t acquittal = { .reporter_count = 0 };
  csp_part_row_t *row = find_row (quarantine, part);

  remember_sound (&quarantine->sound[part % CSP_SOUND_ROWS], part, began_ms);
  remember_sound (&quarantine->services[service_slot (part)],
                  part >> SERVICE_SHIFT, began_ms);
  if (row == NULL)
    return acquittal;
  drop_older_strikes (row, began_ms, &acquittal);
  if (row->strike_count > 0 || row->struck_at_ms >= began_ms)
    return acquittal;
  acquittal.lifted = row->held_until_ms != 0;
  acquittal.held_here = row->held_here;
  release_row (quarantine, row);
  return acquittal;
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
                     const csp_held_part_t *held, int64_t now_ms)
{
  csp_part_row_t *row = find_row (quarantine, held->part);
  int64_t struck_at_ms = now_ms - held->strike_age_ms;
  int64_t until_ms = now_ms + held->left_ms;
  bool was_held;

  if (held->part == 0 || held->left_ms == 0 || held->left_ms > HOLD_MAX_MS)
    return CSP_PART_UNCHANGED;
  if (csp_sound_since_ms (quarantine, held->part) > struck_at_ms)
    return CSP_PART_SOUND;
  if (row == NULL)
    row = allocate_row (quarantine, held->part);
  was_held = csp_is_part_held (row, now_ms);
  if (held->failed_trials > row->failed_trials)
    row->failed_trials = held->failed_trials;
  if (struck_at_ms > row->struck_at_ms + TOLERANCE_MS)
    row->struck_at_ms = struck_at_ms;
  if (until_ms > row->held_until_ms + TOLERANCE_MS)
    {
      row->held_until_ms = until_ms;
      row->trial_until_ms = 0;
      row->held_here = false;
    }
  return was_held ? CSP_PART_UNCHANGED : CSP_PART_HELD;
}

static uint32_t
left_ms (const csp_part_row_t *row, int64_t now_ms)
{
  int64_t until_ms = csp_is_part_held (row, now_ms)
                         ? csp_part_hold_end_ms (row)
                         : row->trial_until_ms;

  return until_ms > now_ms ? (uint32_t)(until_ms - now_ms) : 0;
}

uint32_t
csp_held_part_left_ms (const csp_part_quarantine_t *quarantine,
                       const csp_prompt_parts_t *parts, int64_t now_ms)
{
  uint32_t longest_ms = 0;
  size_t i;

  for (i = 0; i < parts->count; i++)
    {
      const csp_part_row_t *row = find_row (quarantine, parts->parts[i]);
      uint32_t part_ms = row == NULL ? 0 : left_ms (row, now_ms);

      if (part_ms > longest_ms)
        longest_ms = part_ms;
    }
  return longest_ms;
}

void
csp_begin_part_trials (csp_part_quarantine_t *quarantine,
                       const csp_prompt_parts_t *parts, int64_t now_ms)
{
  size_t i;

  for (i = 0; quarantine->count > 0 && i < parts->count; i++)
    {
      csp_part_row_t *row = find_row (quarantine, parts->parts[i]);

      if (row != NULL && csp_is_part_on_trial (row, now_ms))
        row->trial_until_ms = now_ms + TRIAL_MS;
    }
}

void
csp_expire_part_strikes (csp_part_quarantine_t *quarantine, int64_t now_ms)
{
  size_t i;

  for (i = 0; quarantine->count > 0 && i < CSP_SUSPECTED_PARTS_MAX; i++)
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
csp_count_held_parts (const csp_part_quarantine_t *quarantine, int64_t now_ms)
{
  size_t held = 0;
  size_t i;

  for (i = 0; quarantine->count > 0 && i < CSP_SUSPECTED_PARTS_MAX; i++)
    held += csp_is_part_held (&quarantine->rows[i], now_ms);
  return held;
}
