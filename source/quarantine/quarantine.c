#include "cowslipspoke/quarantine.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* How long a request is held at its third strike; doubled for each trial.
   */
  HOLD_MS = 300000,
  HOLD_DOUBLINGS_MAX = 4,
  /* Strikes that didn't suffice, and holds that ended, are forgotten.  */
  FORGET_MS = 600000,
  /* The oldest strike that still counts: the last of the longest hold.  */
  STRIKE_AGE_MAX_MS = (HOLD_MS << HOLD_DOUBLINGS_MAX) + FORGET_MS,
  /* A success shows for that long that a request is sound.  */
  SOUND_MS = 60000,
  SOUND_ROOM = 4096,
  /* A single strike is named in greetings that long.  */
  FRESH_MS = 5000,
  /* Ages grow by the way between hosts each time that they are passed on;
     what differs by less is the same strike.  */
  SAME_STRIKE_MS = 1000
};

typedef struct
{
  uint64_t request; /* 0: not in use */
  size_t strike_count;
  uint64_t targets[CSP_STRIKES_MAX];
  int64_t struck_at_ms;
  uint32_t trials;
  uint32_t tells_left;
  bool own; /* one of its strikes was seen here */
} suspect_row_t;

typedef struct
{
  uint64_t request;
  int64_t served_at_ms;
} sound_row_t;

/* What a greeting names, the first kind before the second: a target that ends
   leaves dozens of single strikes behind, and a host that has just started
   must hear of what is held all the same.  */
typedef enum
{
  NAMED_HELD,
  NAMED_SUSPECT,
  NAMED_KINDS
} named_t;

struct csp_quarantine
{
  size_t count;             /* rows in use */
  size_t next[NAMED_KINDS]; /* the row whose turn to be named is next */
  suspect_row_t rows[CSP_SUSPECTS_MAX];
  sound_row_t sound[SOUND_ROOM];
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

/* Whether a row is worth less than another one.  A caller whose requests are
   cut once each can't push out what has more strikes.  */
static bool
is_lesser (const suspect_row_t *row, const suspect_row_t *other)
{
  if (row->strike_count != other->strike_count)
    return row->strike_count < other->strike_count;
  return row->struck_at_ms < other->struck_at_ms;
}

/* A row for a new suspect; where none is free the least is given up.  */
static suspect_row_t *
take_row (csp_quarantine_t *quarantine, uint64_t request)
{
  suspect_row_t *least = &quarantine->rows[0];
  size_t i;

  for (i = 0; i < CSP_SUSPECTS_MAX && least->request != 0; i++)
    if (quarantine->rows[i].request == 0
        || is_lesser (&quarantine->rows[i], least))
      least = &quarantine->rows[i];
  quarantine->count += least->request == 0;
  memset (least, 0, sizeof *least);
  least->request = request;
  return least;
}

static void
give_up_row (csp_quarantine_t *quarantine, suspect_row_t *row)
{
  memset (row, 0, sizeof *row);
  quarantine->count--;
}

static bool
is_sound (const csp_quarantine_t *quarantine, uint64_t request, int64_t now_ms)
{
  const sound_row_t *row = &quarantine->sound[request % SOUND_ROOM];

  return row->request == request && now_ms - row->served_at_ms < SOUND_MS;
}

static int64_t
held_until_ms (const suspect_row_t *row)
{
  uint32_t doublings
      = row->trials < HOLD_DOUBLINGS_MAX ? row->trials : HOLD_DOUBLINGS_MAX;

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

/* One more target; true where the request is quarantined by it.  Once it is,
   further ones aren't told apart: they only hold it for longer.  */
static bool
add_strike (suspect_row_t *row, uint64_t target, int64_t at_ms)
{
  bool held = row->strike_count == CSP_STRIKES_MAX;
  bool on_trial = held && at_ms >= held_until_ms (row);

  if (!held)
    row->targets[row->strike_count++] = target;
  row->trials += on_trial;
  if (at_ms > row->struck_at_ms)
    row->struck_at_ms = at_ms;
  return on_trial || (!held && row->strike_count == CSP_STRIKES_MAX);
}

csp_suspect_change_t
csp_strike_request (csp_quarantine_t *quarantine, uint64_t request,
                    uint64_t target, int64_t now_ms)
{
  suspect_row_t *row = find_row (quarantine, request);

  if (is_sound (quarantine, request, now_ms))
    return CSP_SUSPECT_SOUND;
  if (row == NULL)
    row = take_row (quarantine, request);
  if (has_target (row, target))
    return CSP_SUSPECT_AS_BEFORE;
  row->own = true;
  row->tells_left = CSP_SUSPECT_TELLS;
  return add_strike (row, target, now_ms) ? CSP_SUSPECT_QUARANTINED
                                          : CSP_SUSPECT_STRUCK;
}

/* Another host has seen a trial fail, or a strike of its own since.  */
static csp_suspect_change_t
merge_held (suspect_row_t *row, const csp_suspect_t *told, int64_t at_ms,
            int64_t now_ms)
{
  bool was_held = now_ms < held_until_ms (row);

  if (told->strike_count < CSP_STRIKES_MAX)
    return CSP_SUSPECT_AS_BEFORE;
  if (told->trials > row->trials)
    row->trials = told->trials;
  if (at_ms > row->struck_at_ms + SAME_STRIKE_MS)
    row->struck_at_ms = at_ms;
  return !was_held && now_ms < held_until_ms (row) ? CSP_SUSPECT_QUARANTINED
                                                   : CSP_SUSPECT_AS_BEFORE;
}

csp_suspect_change_t
csp_merge_suspect (csp_quarantine_t *quarantine, const csp_suspect_t *told,
                   int64_t now_ms)
{
  suspect_row_t *row = find_row (quarantine, told->request);
  csp_suspect_change_t change = CSP_SUSPECT_AS_BEFORE;
  int64_t at_ms = now_ms - told->age_ms;
  size_t i;

  if (told->request == 0 || told->strike_count == 0
      || told->age_ms > STRIKE_AGE_MAX_MS)
    return CSP_SUSPECT_AS_BEFORE;
  if (is_sound (quarantine, told->request, now_ms))
    return CSP_SUSPECT_SOUND;
  if (row != NULL && row->strike_count == CSP_STRIKES_MAX)
    return merge_held (row, told, at_ms, now_ms);
  if (row == NULL)
    row = take_row (quarantine, told->request);
  if (told->trials > row->trials)
    row->trials = told->trials;
  for (i = 0; i < told->strike_count && row->strike_count < CSP_STRIKES_MAX;
       i++)
    if (!has_target (row, told->targets[i]))
      change = add_strike (row, told->targets[i], at_ms)
                   ? CSP_SUSPECT_QUARANTINED
                   : CSP_SUSPECT_STRUCK;
  if (change == CSP_SUSPECT_QUARANTINED && now_ms >= held_until_ms (row))
    change = CSP_SUSPECT_STRUCK;
  return change;
}

bool
csp_clear_request (csp_quarantine_t *quarantine, uint64_t request,
                   int64_t now_ms)
{
  sound_row_t *sound = &quarantine->sound[request % SOUND_ROOM];
  suspect_row_t *row = find_row (quarantine, request);
  bool own = row != NULL && row->own;

  sound->request = request;
  sound->served_at_ms = now_ms;
  if (row != NULL)
    give_up_row (quarantine, row);
  return own;
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
describe (const suspect_row_t *row, int64_t now_ms)
{
  int64_t age_ms = now_ms - row->struck_at_ms;
  csp_suspect_t suspect = { .request = row->request,
                            .strike_count = row->strike_count,
                            .age_ms = age_ms > 0 ? (uint32_t)age_ms : 0,
                            .trials = row->trials };

  memcpy (suspect.targets, row->targets, sizeof suspect.targets);
  return suspect;
}

size_t
csp_list_fresh_suspects (csp_quarantine_t *quarantine, csp_suspect_t *suspects,
                         size_t room, int64_t now_ms)
{
  size_t listed = 0;
  size_t i;

  for (i = 0; quarantine->count > 0 && i < CSP_SUSPECTS_MAX && listed < room;
       i++)
    {
      suspect_row_t *row = &quarantine->rows[i];

      if (row->tells_left == 0)
        continue;
      row->tells_left--;
      suspects[listed++] = describe (row, now_ms);
    }
  return listed;
}

static bool
is_named (const suspect_row_t *row, named_t kind, int64_t now_ms)
{
  bool held = row->strike_count == CSP_STRIKES_MAX;

  if (row->request == 0 || held != (kind == NAMED_HELD))
    return false;
  return row->strike_count > 1 || now_ms - row->struck_at_ms < FRESH_MS;
}

size_t
csp_name_suspects (csp_quarantine_t *quarantine, csp_suspect_t *suspects,
                   size_t room, int64_t now_ms)
{
  size_t named = 0;
  named_t kind;
  size_t i;

  for (kind = NAMED_HELD; quarantine->count > 0 && kind < NAMED_KINDS; kind++)
    {
      size_t first = quarantine->next[kind];

      for (i = 0; i < CSP_SUSPECTS_MAX && named < room; i++)
        {
          size_t at = (first + i) % CSP_SUSPECTS_MAX;

          if (!is_named (&quarantine->rows[at], kind, now_ms))
            continue;
          suspects[named++] = describe (&quarantine->rows[at], now_ms);
          quarantine->next[kind] = at + 1;
        }
    }
  return named;
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
        give_up_row (quarantine, row);
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
