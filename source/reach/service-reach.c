#include "cowslipspoke/service-reach.h"

#include "base/array-imp.h"

#include <stdlib.h>

enum
{
  /* Distinct targets whose connections have to fail.  */
  FAILED_TARGETS_MIN = 2,
  /* Targets that end at different times don't add up.  A connection may hang
     for 0.4 s, and a failed one is probed again within this time.  */
  FAILURE_VALID_MS = 2000,
  /* A partition ends without notice.  While the service is unreached, its
     requests take a longer way, so probes are frequent; there are a few per
     partition.  */
  PROBE_PERIOD_MS = 500
};

typedef struct
{
  uint32_t service;
  /* Targets whose connections failed since the last that was answered.  */
  size_t failed_count;
  struct
  {
    uint64_t target;
    int64_t failed_ms;
  } failed[FAILED_TARGETS_MIN];
  int64_t unreached_since_ms; /* 0: reached */
  uint64_t answered_before;   /* answered connections, as it became so */
  int64_t next_probe_ms;
  bool reported_unreached;
} service_state_t;

struct csp_service_reach
{
  uint64_t answered; /* connections, to all services */
  size_t count;
  size_t capacity;
  service_state_t *states;
};

csp_service_reach_t *
csp_create_service_reach (void)
{
  return calloc (1, sizeof (csp_service_reach_t));
}

void
csp_destroy_service_reach (csp_service_reach_t *reach)
{
  if (reach != NULL)
    free (reach->states);
  free (reach);
}

static service_state_t *
find_state (const csp_service_reach_t *reach, uint32_t service)
{
  size_t i;

  for (i = 0; i < reach->count; i++)
    if (reach->states[i].service == service)
      return &reach->states[i];
  return NULL;
}

/* Returns the row of a service, added if it is new; NULL when memory fails:
   the service then counts as reached.  */
static service_state_t *
get_state (csp_service_reach_t *reach, uint32_t service)
{
  service_state_t *state = find_state (reach, service);
  service_state_t *states;

  if (state != NULL)
    return state;
  states = csp_grow_array (reach->states, reach->count, &reach->capacity,
                           sizeof *states);
  if (states == NULL)
    return NULL;
  reach->states = states;
  state = &reach->states[reach->count++];
  *state = (service_state_t){ .service = service };
  return state;
}

void
csp_note_connection_answered (csp_service_reach_t *reach, uint32_t service)
{
  service_state_t *state = find_state (reach, service);

  reach->answered++;
  if (state == NULL)
    return;
  state->failed_count = 0;
  state->unreached_since_ms = 0;
}

static void
drop_old_failures (service_state_t *state, int64_t now_ms)
{
  size_t kept = 0;
  size_t i;

  for (i = 0; i < state->failed_count; i++)
    if (now_ms - state->failed[i].failed_ms < FAILURE_VALID_MS)
      state->failed[kept++] = state->failed[i];
  state->failed_count = kept;
}

static void
add_failed_target (service_state_t *state, uint64_t target, int64_t now_ms)
{
  size_t i = 0;

  while (i < state->failed_count && state->failed[i].target != target)
    i++;
  if (i == FAILED_TARGETS_MIN)
    return;
  state->failed[i].target = target;
  state->failed[i].failed_ms = now_ms;
  if (i == state->failed_count)
    state->failed_count++;
}

/* Whether nothing was reached since some service became unreached.  */
static bool
may_be_cut_off (const csp_service_reach_t *reach)
{
  size_t i;

  for (i = 0; i < reach->count; i++)
    if (reach->states[i].unreached_since_ms != 0
        && reach->states[i].answered_before == reach->answered)
      return true;
  return false;
}

void
csp_note_connection_failed (csp_service_reach_t *reach, uint32_t service,
                            uint64_t target, size_t ready_count,
                            int64_t now_ms)
{
  service_state_t *state = get_state (reach, service);

  if (state == NULL)
    return;
  drop_old_failures (state, now_ms);
  add_failed_target (state, target, now_ms);
  if (state->unreached_since_ms != 0
      || (state->failed_count < FAILED_TARGETS_MIN
          && state->failed_count < ready_count && !may_be_cut_off (reach)))
    return;
  state->unreached_since_ms = now_ms;
  state->answered_before = reach->answered;
  state->next_probe_ms = now_ms;
}

bool
csp_is_service_reached (const csp_service_reach_t *reach, uint32_t service)
{
  const service_state_t *state = find_state (reach, service);

  return state == NULL || state->unreached_since_ms == 0;
}

bool
csp_has_lost_paths (const csp_service_reach_t *reach, uint32_t service)
{
  const service_state_t *state = find_state (reach, service);

  return state != NULL && state->failed_count == FAILED_TARGETS_MIN;
}

bool
csp_take_service_reach_change (csp_service_reach_t *reach, uint32_t service)
{
  service_state_t *state = find_state (reach, service);
  bool unreached;

  if (state == NULL)
    return false;
  unreached = state->unreached_since_ms != 0;
  if (state->reported_unreached == unreached)
    return false;
  state->reported_unreached = unreached;
  return true;
}

size_t
csp_list_unreached_services (const csp_service_reach_t *reach,
                             uint32_t *services, size_t max_count)
{
  size_t count = 0;
  size_t i;

  for (i = 0; i < reach->count && count < max_count; i++)
    if (reach->states[i].unreached_since_ms != 0)
      services[count++] = reach->states[i].service;
  return count;
}

bool
csp_take_service_probe (csp_service_reach_t *reach, uint32_t service,
                        int64_t now_ms)
{
  service_state_t *state = find_state (reach, service);

  if (state == NULL || state->unreached_since_ms == 0
      || now_ms < state->next_probe_ms)
    return false;
  state->next_probe_ms = now_ms + PROBE_PERIOD_MS;
  return true;
}
