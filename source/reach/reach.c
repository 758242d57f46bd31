#include "cowslipspoke/reach.h"

#include "base/array-imp.h"

#include <stdlib.h>

enum
{
  /* Every half second a host sends a hello to some host of every other data
     centre and gets an answer; with many data centres the period is longer.  A
     lossy link drops a few per cent of hellos.  Three losses in a row wrongly
     rule out the data centre for about a second, but lose no request.  */
  SILENT_AFTER_MIN_MS = 1600,
  SILENT_HELLOS = 3,
  /* A partition ends without notice.  A probe every half second detects that
     soon enough, and costs only a few probes per partition.  */
  PROBE_PERIOD_MS = 500
};

typedef struct
{
  uint32_t data_centre;
  int64_t answered_ms; /* 0: never */
  int64_t received_ms; /* last message from a host or target; 0: never */
  int64_t failed_ms;   /* first failure since the last answer; 0: none */
  int64_t next_probe_ms;
  bool reported_unreachable;
} data_centre_state_t;

struct csp_reach
{
  uint32_t home;
  uint32_t hello_period_ms;
  size_t count;
  size_t capacity;
  data_centre_state_t *states;
};

csp_reach_t *
csp_create_reach (uint32_t home)
{
  csp_reach_t *reach = calloc (1, sizeof *reach);

  if (reach != NULL)
    reach->home = home;
  return reach;
}

void
csp_destroy_reach (csp_reach_t *reach)
{
  if (reach != NULL)
    free (reach->states);
  free (reach);
}

static const data_centre_state_t *
find_state (const csp_reach_t *reach, uint32_t data_centre)
{
  size_t i;

  for (i = 0; i < reach->count; i++)
    if (reach->states[i].data_centre == data_centre)
      return &reach->states[i];
  return NULL;
}

/* Returns the row of a data centre, added if it is new; NULL for this host's
   own data centre and when memory fails.  */
static data_centre_state_t *
get_state (csp_reach_t *reach, uint32_t data_centre)
{
  data_centre_state_t *state
      = (data_centre_state_t *)find_state (reach, data_centre);
  data_centre_state_t *states;

  if (state != NULL || data_centre == reach->home)
    return state;
  states = csp_grow_array (reach->states, reach->count, &reach->capacity,
                           sizeof *states);
  if (states == NULL)
    return NULL;
  reach->states = states;
  state = &reach->states[reach->count++];
  *state = (data_centre_state_t){ .data_centre = data_centre };
  return state;
}

void
csp_note_target_answer_from (csp_reach_t *reach, uint32_t data_centre,
                             int64_t now_ms)
{
  data_centre_state_t *state = get_state (reach, data_centre);

  if (state == NULL)
    return;
  state->answered_ms = now_ms;
  state->received_ms = now_ms;
  state->failed_ms = 0;
}

/* This doesn't clear a failure: in a one-way partition messages from hosts
   there still arrive while requests to them are lost.  */
void
csp_note_host_message_from (csp_reach_t *reach, uint32_t data_centre,
                            int64_t now_ms)
{
  data_centre_state_t *state = get_state (reach, data_centre);

  if (state != NULL)
    state->received_ms = now_ms;
}

void
csp_note_exchange_failed (csp_reach_t *reach, uint32_t data_centre,
                          int64_t now_ms)
{
  data_centre_state_t *state = get_state (reach, data_centre);

  if (state != NULL && state->failed_ms == 0)
    state->failed_ms = now_ms;
}

/* A data centre from which nothing was ever received isn't silent: its hosts
   may all be down, which says nothing about its targets.  */
static bool
is_silent (const csp_reach_t *reach, const data_centre_state_t *state,
           int64_t now_ms)
{
  int64_t silent_after_ms = (int64_t)reach->hello_period_ms * SILENT_HELLOS;

  if (silent_after_ms < SILENT_AFTER_MIN_MS)
    silent_after_ms = SILENT_AFTER_MIN_MS;
  return state->received_ms != 0
         && now_ms - state->received_ms >= silent_after_ms;
}

void
csp_note_hello_period (csp_reach_t *reach, uint32_t period_ms)
{
  reach->hello_period_ms = period_ms;
}

bool
csp_is_reachable (const csp_reach_t *reach, uint32_t data_centre,
                  int64_t now_ms)
{
  const data_centre_state_t *state = find_state (reach, data_centre);

  return state == NULL
         || (state->failed_ms == 0 && !is_silent (reach, state, now_ms));
}

bool
csp_is_cut_for_all (const csp_reach_t *reach, uint32_t data_centre,
                    int64_t now_ms)
{
  const data_centre_state_t *state = find_state (reach, data_centre);

  return state != NULL
         && ((state->failed_ms != 0 && state->received_ms <= state->failed_ms)
             || is_silent (reach, state, now_ms));
}

bool
csp_take_reach_change (csp_reach_t *reach, uint32_t data_centre,
                       int64_t now_ms)
{
  data_centre_state_t *state = get_state (reach, data_centre);
  bool unreachable = !csp_is_reachable (reach, data_centre, now_ms);

  if (state == NULL || state->reported_unreachable == unreachable)
    return false;
  state->reported_unreachable = unreachable;
  return true;
}

bool
csp_take_reach_probe (csp_reach_t *reach, uint32_t data_centre, int64_t now_ms)
{
  data_centre_state_t *state = get_state (reach, data_centre);

  if (state == NULL || csp_is_reachable (reach, data_centre, now_ms)
      || now_ms < state->next_probe_ms)
    return false;
  state->next_probe_ms = now_ms + PROBE_PERIOD_MS;
  return true;
}
