#include "cowslipspoke/quarantine.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Hold after the third strike.  It doubles each time that the request gets
     a further strike after a hold has expired.  */
  HOLD_MS = 300000,
  HOLD_DOUBLINGS_MAX = 4,
  /* Strikes that led to no hold are dropped after this time, and so are
     expired holds.  */
  FORGET_MS = 600000,
  /* Maximum age of a strike that still counts: the last strike before the
     longest hold.  */
  STRIKE_AGE_MAX_MS = (HOLD_MS << HOLD_DOUBLINGS_MAX) + FORGET_MS,
  /* For this long after a success a request gets no strikes.  */
  RECENTLY_SERVED_MS = 60000,
  SERVED_ROWS = 4096,
  /* For this long a request with a single strike is listed in hellos.  */
  RECENT_STRIKE_MS = 5000,
  /* A host that receives a strike's age computes the strike's time too late by
     the network delay.  Times that differ by less than this are the same
     strike.  */
  AGE_TOLERANCE_MS = 1000
};

typedef struct
{
  uint64_t request; /* 0: unused row */
  size_t strike_count;
  uint64_t targets[CSP_STRIKES_MAX];
  int64_t struck_at_ms;
  uint32_t failed_trials;
  uint32_t broadcasts_left;
  bool seen_here; /* this host saw one of the strikes itself */
} suspect_row_t;

typedef struct
{
  uint64_t request;
  int64_t served_at_ms;
} served_row_t;

/* Classes of suspects in hellos, in order of precedence.  A target that
   ends leaves a single strike on each of its dozens of requests; these must
   not keep a host that has just started from learning what is
   quarantined.  */
typedef enum
{
  CLASS_QUARANTINED,
  CLASS_SUSPECT,
  SUSPECT_CLASSES
} suspect_class_t;

struct csp_quarantine
{
  size_t count;                     /* rows in use */
  size_t next_row[SUSPECT_CLASSES]; /* where the round robin continues */
  suspect_row_t rows[CSP_SUSPECTS_MAX];
  served_row_t served[SERVED_ROWS];
};

csp_quarantine_t *
csp_create_quarantine (void)
{
  return calloc (1, sizeof (csp_quarantine_t));
}

void
csp_destroy_quarantine (csp_quarantine_t *quarantine)
{
  free (quarantine);
}

static suspect_row_t *
find_row (const csp_quarantine_t *quarantine, uint64_t request)
{
  size_t i;

  if (quarantine->count == 0)
    return NULL;
  for (i = 0; i < CSP_SUSPECTS_MAX; i++)
    if (quarantine->rows[i].request == request)
      return (suspect_row_t *)&quarantine->rows[i];
  return NULL;
}

/* Whether a row is evicted before another one.  Rows with fewer strikes go
   first, so many requests with one strike each can't evict one with more
   strikes.  */
static bool
ranks_below (const suspect_row_t *row, const suspect_row_t *other)
{
  if (row->strike_count != other->strike_count)
    return row->strike_count < other->strike_count;
  return row->struck_at_ms < other->struck_at_ms;
}

/* Returns a row for a new suspect.  When the table is full, evicts the row
   that ranks lowest.  */
static suspect_row_t *
allocate_row (csp_quarantine_t *quarantine, uint64_t request)
{
  suspect_row_t *lowest = &quarantine->rows[0];
  size_t i;

  for (i = 0; i < CSP_SUSPECTS_MAX && lowest->request != 0; i++)
    if (quarantine->rows[i].request == 0
        || ranks_below (&quarantine->rows[i], lowest))
      lowest = &quarantine->rows[i];
  quarantine->count += lowest->request == 0;
  memset (lowest, 0, sizeof *lowest);
  lowest->request = request;
  return lowest;
}

static void
release_row (csp_quarantine_t *quarantine, suspect_row_t *row)
{
  memset (row, 0, sizeof *row);
  quarantine->count--;
}

static bool
was_served_recently (const csp_quarantine_t *quarantine, uint64_t request,
                     int64_t now_ms)
{
  const served_row_t *row = &quarantine->served[request % SERVED_ROWS];

  return row->request == request
         && now_ms - row->served_at_ms < RECENTLY_SERVED_MS;
}

static int64_t
held_until_ms (const suspect_row_t *row)
{
  uint32_t doublings = row->failed_trials < HOLD_DOUBLINGS_MAX
                           ? row->failed_trials
                           : HOLD_DOUBLINGS_MAX;

  if (row->strike_count < CSP_STRIKES_MAX)
    return 0;
  return row->struck_at_ms + ((int64_t)HOLD_MS << doublings);
}

static bool
has_target (const suspect_row_t *row, uint64_t target)
{
  size_t i;

  for (i = 0; i < row->strike_count; i++)
    if (row->targets[i] == target)
      return true;
  return false;
}

/* Adds a strike; returns true if it begins a quarantine.  Targets that end
   after the third strike aren't recorded one by one; they only extend the
   hold.  */
static bool
add_strike (suspect_row_t *row, uint64_t target, int64_t at_ms)
{
  bool held = row->strike_count == CSP_STRIKES_MAX;
  bool trial_failed = held && at_ms >= held_until_ms (row);

  if (!held)
    row->targets[row->strike_count++] = target;
  row->failed_trials += trial_failed;
  if (at_ms > row->struck_at_ms)
    row->struck_at_ms = at_ms;
  return trial_failed || (!held && row->strike_count == CSP_STRIKES_MAX);
}

csp_suspect_change_t
csp_add_request_strike (csp_quarantine_t *quarantine, uint64_t request,
                        uint64_t target, int64_t now_ms)
{
  suspect_row_t *row = find_row (quarantine, request);

  if (was_served_recently (quarantine, request, now_ms))
    return CSP_SUSPECT_RECENTLY_SERVED;
  if (row == NULL)
    row = allocate_row (quarantine, request);
  if (has_target (row, target))
    return CSP_SUSPECT_UNCHANGED;
  row->seen_here = true;
  row->broadcasts_left = CSP_SUSPECT_BROADCASTS;
  return add_strike (row, target, now_ms) ? CSP_SUSPECT_QUARANTINED
                                          : CSP_SUSPECT_STRIKE_ADDED;
}

/* Merges a report about a request that is at the last strike here: the other
   host may have seen a later strike, or more failed trials.  */
static csp_suspect_change_t
merge_held (suspect_row_t *row, const csp_suspect_t *reported, int64_t at_ms,
            int64_t now_ms)
{
  bool was_held = now_ms < held_until_ms (row);

  if (reported->strike_count < CSP_STRIKES_MAX)
    return CSP_SUSPECT_UNCHANGED;
  if (reported->failed_trials > row->failed_trials)
    row->failed_trials = reported->failed_trials;
  if (at_ms > row->struck_at_ms + AGE_TOLERANCE_MS)
    row->struck_at_ms = at_ms;
  return !was_held && now_ms < held_until_ms (row) ? CSP_SUSPECT_QUARANTINED
                                                   : CSP_SUSPECT_UNCHANGED;
}

csp_suspect_change_t
csp_merge_suspect (csp_quarantine_t *quarantine, const csp_suspect_t *reported,
                   int64_t now_ms)
{
  suspect_row_t *row = find_row (quarantine, reported->request);
  csp_suspect_change_t change = CSP_SUSPECT_UNCHANGED;
  int64_t at_ms = now_ms - reported->age_ms;
  size_t i;

  if (reported->request == 0 || reported->strike_count == 0
      || reported->age_ms > STRIKE_AGE_MAX_MS)
    return CSP_SUSPECT_UNCHANGED;
  if (was_served_recently (quarantine, reported->request, now_ms))
    return CSP_SUSPECT_RECENTLY_SERVED;
  if (row != NULL && row->strike_count == CSP_STRIKES_MAX)
    return merge_held (row, reported, at_ms, now_ms);
  if (row == NULL)
    row = allocate_row (quarantine, reported->request);
  if (reported->failed_trials > row->failed_trials)
    row->failed_trials = reported->failed_trials;
  for (i = 0;
       i < reported->strike_count && row->strike_count < CSP_STRIKES_MAX; i++)
    if (!has_target (row, reported->targets[i]))
      change = add_strike (row, reported->targets[i], at_ms)
                   ? CSP_SUSPECT_QUARANTINED
                   : CSP_SUSPECT_STRIKE_ADDED;
  if (change == CSP_SUSPECT_QUARANTINED && now_ms >= held_until_ms (row))
    change = CSP_SUSPECT_STRIKE_ADDED;
  return change;
}

bool
csp_clear_request (csp_quarantine_t *quarantine, uint64_t request,
                   int64_t now_ms)
{
  served_row_t *served = &quarantine->served[request % SERVED_ROWS];
  suspect_row_t *row = find_row (quarantine, request);
  bool seen_here = row != NULL && row->seen_here;

  served->request = request;
  served->served_at_ms = now_ms;
  if (row != NULL)
    release_row (quarantine, row);
  return seen_here;
}

uint32_t
csp_quarantine_left_ms (const csp_quarantine_t *quarantine, uint64_t request,
                        int64_t now_ms)
{
  const suspect_row_t *row = find_row (quarantine, request);
  int64_t until_ms = row == NULL ? 0 : held_until_ms (row);

  return until_ms > now_ms ? (uint32_t)(until_ms - now_ms) : 0;
}

static csp_suspect_t
make_report (const suspect_row_t *row, int64_t now_ms)
{
  int64_t age_ms = now_ms - row->struck_at_ms;
  csp_suspect_t suspect = { .request = row->request,
                            .strike_count = row->strike_count,
                            .age_ms = age_ms > 0 ? (uint32_t)age_ms : 0,
                            .failed_trials = row->failed_trials };

  memcpy (suspect.targets, row->targets, sizeof suspect.targets);
  return suspect;
}

size_t
csp_take_suspects_to_broadcast (csp_quarantine_t *quarantine,
                                csp_suspect_t *suspects, size_t capacity,
                                int64_t now_ms)
{
  size_t listed = 0;
  size_t i;

  for (i = 0;
       quarantine->count > 0 && i < CSP_SUSPECTS_MAX && listed < capacity; i++)
    {
      suspect_row_t *row = &quarantine->rows[i];

      if (row->broadcasts_left == 0)
        continue;
      row->broadcasts_left--;
      suspects[listed++] = make_report (row, now_ms);
    }
  return listed;
}

static bool
belongs_in_hello (const suspect_row_t *row, suspect_class_t kind,
                  int64_t now_ms)
{
  bool held = row->strike_count == CSP_STRIKES_MAX;

  if (row->request == 0 || held != (kind == CLASS_QUARANTINED))
    return false;
  return row->strike_count > 1
         || now_ms - row->struck_at_ms < RECENT_STRIKE_MS;
}

size_t
csp_list_suspects_for_hello (csp_quarantine_t *quarantine,
                             csp_suspect_t *suspects, size_t capacity,
                             int64_t now_ms)
{
  size_t listed = 0;
  suspect_class_t kind;
  size_t i;

  for (kind = CLASS_QUARANTINED;
       quarantine->count > 0 && kind < SUSPECT_CLASSES; kind++)
    {
      size_t first = quarantine->next_row[kind];

      for (i = 0; i < CSP_SUSPECTS_MAX && listed < capacity; i++)
        {
          size_t index = (first + i) % CSP_SUSPECTS_MAX;

          if (!belongs_in_hello (&quarantine->rows[index], kind, now_ms))
            continue;
          suspects[listed++] = make_report (&quarantine->rows[index], now_ms);
          quarantine->next_row[kind] = index + 1;
        }
    }
  return listed;
}

void
csp_expire_suspects (csp_quarantine_t *quarantine, int64_t now_ms)
{
  size_t i;

  for (i = 0; quarantine->count > 0 && i < CSP_SUSPECTS_MAX; i++)
    {
      suspect_row_t *row = &quarantine->rows[i];
      int64_t held_ms = held_until_ms (row);
      int64_t since_ms = held_ms > 0 ? held_ms : row->struck_at_ms;

      if (row->request != 0 && now_ms - since_ms >= FORGET_MS)
        release_row (quarantine, row);
    }
}

size_t
csp_count_suspects (const csp_quarantine_t *quarantine)
{
  return quarantine->count;
}

size_t
csp_count_quarantined (const csp_quarantine_t *quarantine, int64_t now_ms)
{
  size_t held = 0;
  size_t i;

  for (i = 0; quarantine->count > 0 && i < CSP_SUSPECTS_MAX; i++)
    held += now_ms < held_until_ms (&quarantine->rows[i]);
  return held;
}
