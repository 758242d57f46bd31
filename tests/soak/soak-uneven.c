#include "soak/soak-server-imp.h"

#include <string.h>

/* Uneven engines and competing routes: an engine that flaps, engines that are
   slow, an urgent route beside the regular one, and a resumable route.  Which
   of them a soak has, and when, is drawn from a random generator of its own,
   so that they don't change the other faults of a seed.  */

enum
{
  PER_CENT = 100,
  FLAPS_PER_CENT = 75,
  CALM_PER_CENT = 50,
  SLOW_PER_CENT = 50,
  CLASSES_PER_CENT = 50,
  RESUMABLE_PER_CENT = 50,
  FLAP_START_MS = 3000,
  FLAP_START_SPREAD_MS = 2000,
  FLAP_RETRY_MS = 100,
  DOWN_TIMES = 4,
  DOWN_MIN_MS = 700,
  DOWN_SPREAD_MS = 200,
  UP_MIN_MS = 1300,
  UP_SPREAD_MS = 200,
  /* Requests that hosts may send to the flapping engine within one of its
     second and later down times: two losses are the evidence, one is that of
     the probation, and one may be under way while the last loss is
     reported.  */
  LOST_MAX = 4,
  /* A third of the engines are slow.  */
  SLOW_ONE_IN = 3,
  SLOW_PERIOD_MS = 4000,
  SLOW_SPELL_MS = 600,
  SLOW_PHASE_MS = 700
};

static const double slow_factor = 2.4;
static const double spell_factor = 2.5;

static bool
draws (soak_t *soak, uint32_t per_cent)
{
  return csp_random_below (&soak->uneven.random, PER_CENT) < per_cent;
}

/* Counts a request that the flapping engine received while it was down.  Only
   undisturbed hosts count: others may not know what the fleet knows.  */
static void
on_request_closed (void *context, const char *data, size_t size_bytes)
{
  soak_t *soak = context;
  uneven_t *uneven = &soak->uneven;
  static const char field[] = "X-Attempt-Id: ";
  char head[WIRE_TEXT_BYTES];
  char id[SOAK_ID_BYTES];
  const char *at;
  const request_t *request;

  snprintf (head, sizeof head, "%.*s", (int)size_bytes, data);
  at = strcasestr (head, field);
  if (at == NULL
      || strncmp (head, "POST /kv-move", strlen ("POST /kv-move")) == 0)
    return;
  at += strlen (field);
  snprintf (id, sizeof id, "%.*s", (int)strcspn (at, "\r\n"), at);
  request = ledger_find (soak, id);
  if (request == NULL
      || !host_is_undisturbed (soak, &soak->hosts[request->host]))
    return;
  uneven->lost++;
  uneven->lost_later += uneven->down_times > 1;
  soak_log_event (soak, "%s from h%u is lost at the flapping %s", id,
                  request->host, uneven->flapping->id);
  /* A host that places alone knows only its own losses, and a second engine
     with losses ends the damping of the first: only one in six may be damped.
     So other faults add one loss for each host.  */
  if (uneven->down_times > 1
      && uneven->lost == LOST_MAX + (uneven->calm ? 0 : soak->host_count) + 1)
    soak_report_violation (
        soak, "FLAP", "%s is number %u sent to %s in down time %u", id,
        uneven->lost, uneven->flapping->id, uneven->down_times);
}

/* Returns how long it takes.  */
static uint64_t
begin_down_time (soak_t *soak)
{
  uneven_t *uneven = &soak->uneven;
  server_t *server = uneven->flapping;
  uint64_t for_ms
      = DOWN_MIN_MS + csp_random_below (&uneven->random, DOWN_SPREAD_MS);
  uint32_t running = 0;
  size_t i;

  for (i = 0; i < RUNS_MAX; i++)
    running += server->runs[i] != NULL;
  soak->faults++;
  uneven->down = true;
  uneven->lost = 0;
  uneven->down_times++;
  uneven->cut_later += uneven->down_times > 1 ? running : 0;
  soak_log_event (
      soak, "%s is down for the time %u, for %llu ms, with %u runs",
      server->id, uneven->down_times, (unsigned long long)for_ms, running);
  server_mark_disturbed (server, soak_now_ms (soak) + for_ms);
  proxy_set_mode (server->proxy, PROXY_CLOSE, 0);
  proxy_reset_all (server->proxy);
  return for_ms;
}

/* Draws the engine that flaps, unless the server drawn is none.  */
static void
choose_flapping (soak_t *soak)
{
  server_t *server = server_draw (soak, &soak->uneven.random);

  if (server == NULL || strcmp (server->service, "engines") != 0)
    return;
  soak->uneven.flapping = server;
  proxy_watch_closed (server->proxy, on_request_closed, soak);
}

static void
on_flap (uv_timer_t *timer)
{
  soak_t *soak = timer->data;
  uneven_t *uneven = &soak->uneven;
  uint64_t next_ms = FLAP_RETRY_MS;

  if (uneven->flapping == NULL)
    choose_flapping (soak);
  else if (uneven->flapping->state == SERVER_GONE
           || (!uneven->down
               && (soak->faults_ended || uneven->down_times == DOWN_TIMES)))
    uneven->flaps = false;
  else if (uneven->down)
    {
      uneven->down = false;
      proxy_set_mode (uneven->flapping->proxy, PROXY_PASS, 0);
      next_ms = UP_MIN_MS + csp_random_below (&uneven->random, UP_SPREAD_MS);
    }
  else
    next_ms = begin_down_time (soak);
  if (uneven->flaps)
    uv_timer_start (timer, on_flap, next_ms, 0);
}

void
uneven_open (soak_t *soak)
{
  uneven_t *uneven = &soak->uneven;

  /* The first draws of near seeds are alike without the factor.  */
  csp_seed_random (&uneven->random, soak->seed * 0x9e3779b97f4a7c15U);
  uneven->flaps = draws (soak, FLAPS_PER_CENT);
  uneven->calm = draws (soak, CALM_PER_CENT) && uneven->flaps;
  uneven->slow = draws (soak, SLOW_PER_CENT);
  uneven->classes = draws (soak, CLASSES_PER_CENT);
  uneven->resumable = draws (soak, RESUMABLE_PER_CENT);
  if (!uneven->flaps)
    return;
  uv_timer_init (&soak->loop, &uneven->timer);
  uneven->timer.data = soak;
  uv_timer_start (
      &uneven->timer, on_flap,
      FLAP_START_MS + csp_random_below (&uneven->random, FLAP_START_SPREAD_MS),
      0);
}

bool
uneven_is_calm (const soak_t *soak)
{
  const uneven_t *uneven = &soak->uneven;

  return uneven->calm && uneven->flaps;
}

uint32_t
uneven_scale_ms (const server_t *server, uint32_t ms)
{
  const soak_t *soak = server->soak;
  uint64_t phase_ms = soak_now_ms (soak) + server->number * SLOW_PHASE_MS;

  if (!soak->uneven.slow || strcmp (server->service, "engines") != 0
      || (server->number + soak->seed) % SLOW_ONE_IN != 0)
    return ms;
  return (uint32_t)(ms * slow_factor
                    * (phase_ms % SLOW_PERIOD_MS < SLOW_SPELL_MS ? spell_factor
                                                                 : 1));
}

void
uneven_print (const soak_t *soak)
{
  const uneven_t *uneven = &soak->uneven;

  printf ("seed %llu: %u down times%s, %u requests sent to the engine in the "
          "later ones, %u runs cut by them, %u repeated starts%s%s%s\n",
          (unsigned long long)soak->seed, uneven->down_times,
          uneven->calm ? " without other faults" : "", uneven->lost_later,
          uneven->cut_later, uneven->restarts,
          uneven->slow ? ", slow engines" : "",
          uneven->classes ? ", traffic classes" : "",
          uneven->resumable ? ", resumable" : "");
}
