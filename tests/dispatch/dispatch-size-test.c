#include "cowslipspoke/nominal-speed.h"
#include "cowslipspoke/random.h"
#include "dispatch/dispatch-fixture.h"
#include "support/run-suite.h"

#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

/* Which sizes are served while a pool is full.  Two kinds of requests share
   engines of nominal speed: long runs, and runs that are nearly all prompt.
   Refused callers come back once.  The clock is fake, and all that is random
   is seeded.  */

enum
{
  STEP_MS = 10,
  /* Hosts report a run when its reservation has ended.  */
  REPORT_MS = 30,
  PLAYED_MS = 30000,
  MEMORY = 22000,
  SLOTS = 24,
  ORGANISATIONS = 24,
  REQUESTS_MAX = 16384,
  START_WITHIN_MIN_MS = 300,
  /* Callers wait at most this part of the time that they have left.  */
  WAIT_DIVISOR = 3
};

typedef struct
{
  double per_engine_s; /* requests a second for each engine */
  double prompt_tokens;
  double output_tokens;
  int64_t objective_ms;
  int64_t time_ms;
} kind_t;

typedef enum
{
  LONG_RUN,
  PROMPT_ONLY,
  KIND_COUNT
} kind_index_t;

static const kind_t kinds[KIND_COUNT]
    = { [LONG_RUN] = { 0.62, 3000, 750, 1800, 39000 },
        [PROMPT_ONLY] = { 0.7, 2400, 8, 1500, 6000 } };

/* How many times the usual requests of each kind come.  */
typedef struct
{
  int64_t until_ms;
  double factors[KIND_COUNT];
} phase_t;

static const phase_t phases[] = { { 5000, { 1, 1 } },
                                  { 9600, { 2, 1 } },
                                  { 17500, { 1.2, 1.2 } },
                                  { 21300, { 2, 2 } },
                                  { PLAYED_MS, { 1, 1 } } };

typedef enum
{
  STATE_ASKING,
  STATE_RUNNING,
  STATE_COMING_BACK,
  STATE_ENDED
} state_t;

typedef struct
{
  kind_index_t kind;
  state_t state;
  bool served;
  bool came_back;
  uint32_t organisation;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  int64_t began_ms;
  int64_t back_ms;
  int64_t placed_ms;
  int64_t read_ms;
  int64_t ends_ms;
  size_t engine;
} request_t;

typedef struct
{
  const char *name;
  size_t engines;
} pool_t;

/* The load of a fleet grows with its engines.  */
static const pool_t pools[] = { { "the engines of 9 hosts", 12 },
                                { "the engines of 60 hosts", 36 },
                                { "the engines of 300 hosts", 128 } };

enum
{
  POOLS = sizeof pools / sizeof pools[0],
  SEEDS = 3
};

static request_t requests[REQUESTS_MAX];
static size_t request_count;
static csp_random_t chance;

static const csp_dispatch_service_t service
    = { .name = "s", .memory_tokens = MEMORY };

/* A log-normal value with this median; a tenth is above twice the median.  */
static uint32_t
draw_tokens (double median)
{
  double radius = sqrt (-2 * log (1 - csp_random_unit (&chance)));
  double normal = radius * cos (2 * M_PI * csp_random_unit (&chance));

  return (uint32_t)(median * exp (0.54 * normal)) + 1;
}

static void
ask (size_t index, int64_t now_ms)
{
  const request_t *request = &requests[index];
  const kind_t *kind = &kinds[request->kind];
  int64_t within_ms
      = kind->objective_ms
        - request->prompt_tokens / CSP_BUSY_PREFILL_TOKENS_PER_MS;
  csp_ask_t row = { .host = { 9, 10 },
                    .id = 2 * index + request->came_back,
                    .organisation = request->organisation,
                    .prompt_tokens = request->prompt_tokens,
                    .tokens = request->prompt_tokens + request->output_tokens,
                    .start_within_ms = within_ms > START_WITHIN_MIN_MS
                                           ? (uint32_t)within_ms
                                           : START_WITHIN_MIN_MS };

  csp_push_ask (dispatch, &row, &service, now_ms);
}

static void
add_request (kind_index_t kind, int64_t now_ms)
{
  double share = csp_random_unit (&chance);

  ck_assert_uint_lt (request_count, REQUESTS_MAX);
  requests[request_count++]
      = (request_t){ .kind = kind,
                     .organisation = (uint32_t)(share * share * ORGANISATIONS),
                     .prompt_tokens = draw_tokens (kinds[kind].prompt_tokens),
                     .output_tokens = draw_tokens (kinds[kind].output_tokens),
                     .began_ms = now_ms };
  ask (request_count - 1, now_ms);
}

/* Adds the requests of one step.  */
static void
add_requests (const pool_t *pool, int64_t now_ms)
{
  const phase_t *phase = phases;
  int kind;

  while (now_ms > phase->until_ms)
    phase++;
  for (kind = 0; kind < KIND_COUNT; kind++)
    {
      double expected = kinds[kind].per_engine_s * (double)pool->engines
                        * STEP_MS / 1000 * phase->factors[kind];
      uint32_t count = (uint32_t)(expected + csp_random_unit (&chance));

      for (; count > 0; count--)
        add_request ((kind_index_t)kind, now_ms);
    }
}

static uint64_t
count_reading_tokens (size_t engine, int64_t now_ms)
{
  uint64_t tokens = 0;
  size_t i;

  for (i = 0; i < request_count; i++)
    if (requests[i].state == STATE_RUNNING && requests[i].engine == engine
        && now_ms < requests[i].read_ms)
      tokens += requests[i].prompt_tokens;
  return tokens;
}

/* An engine reads its prompts together.  */
static void
start_run (request_t *request, uint64_t target, int64_t now_ms)
{
  uint64_t reading;

  request->engine = 0;
  while (csp_fleet_at (fleet, request->engine)->hash != target)
    request->engine++;
  reading = count_reading_tokens (request->engine, now_ms);
  request->served = true;
  request->state = STATE_RUNNING;
  request->placed_ms = now_ms;
  request->read_ms = now_ms
                     + (int64_t)((double)(reading + request->prompt_tokens)
                                 / CSP_BUSY_PREFILL_TOKENS_PER_MS);
  request->ends_ms = request->read_ms
                     + (int64_t)(request->output_tokens * CSP_DECODE_TOKEN_MS);
}

static void
handle_refusal (request_t *request, uint32_t retry_after_ms, int64_t now_ms)
{
  int64_t left_ms = request->began_ms + kinds[request->kind].time_ms - now_ms;
  int64_t wait_ms = retry_after_ms < left_ms / WAIT_DIVISOR
                        ? retry_after_ms
                        : left_ms / WAIT_DIVISOR;

  request->state = request->came_back ? STATE_ENDED : STATE_COMING_BACK;
  request->back_ms = now_ms + wait_ms;
}

static void
handle_answers (int64_t now_ms)
{
  size_t i;

  for (i = 0; i < answer_count; i++)
    {
      request_t *request = &requests[answers[i].id / 2];

      if (answers[i].outcome == CSP_ASK_PLACED)
        start_run (request, answers[i].target, now_ms);
      if (answers[i].outcome == CSP_ASK_REFUSED)
        handle_refusal (request, answers[i].retry_after_ms, now_ms);
    }
  answer_count = 0;
}

static void
report_runs (int64_t now_ms)
{
  size_t i;

  csp_clear_peer_loads (fleet);
  for (i = 0; i < request_count; i++)
    {
      request_t *request = &requests[i];
      csp_peer_load_t load = { .requests = 1 };

      if (request->state == STATE_RUNNING && now_ms >= request->ends_ms)
        request->state = STATE_ENDED;
      if (request->state != STATE_RUNNING
          || now_ms < request->placed_ms + REPORT_MS)
        continue;
      load.target = csp_fleet_at (fleet, request->engine)->hash;
      load.tokens = request->prompt_tokens + request->output_tokens;
      if (now_ms < request->read_ms)
        load.prefill_tokens = request->prompt_tokens;
      csp_add_peer_load (fleet, &load);
    }
}

static void
bring_back (int64_t now_ms)
{
  size_t i;

  for (i = 0; i < request_count; i++)
    if (requests[i].state == STATE_COMING_BACK
        && now_ms >= requests[i].back_ms)
      {
        requests[i].state = STATE_ASKING;
        requests[i].came_back = true;
        ask (i, now_ms);
        handle_answers (now_ms);
      }
}

static void
play (const pool_t *pool, uint64_t seed)
{
  char name[24];
  int64_t now_ms;
  size_t i;

  open_dispatch ();
  csp_seed_random (&chance, seed);
  request_count = 0;
  for (i = 0; i < pool->engines; i++)
    {
      snprintf (name, sizeof name, "e%zu", i);
      list_engine (name, "", SLOTS, false);
    }
  for (now_ms = STEP_MS; now_ms <= PLAYED_MS; now_ms += STEP_MS)
    {
      report_runs (now_ms);
      csp_pump_dispatch (dispatch, now_ms);
      handle_answers (now_ms);
      bring_back (now_ms);
      add_requests (pool, now_ms);
      handle_answers (now_ms);
    }
}

/* A token that is generated counts as ten that are read.  */
static uint32_t
size_of (const request_t *request)
{
  return request->prompt_tokens + 10 * request->output_tokens;
}

static int
compare_sizes (const void *a, const void *b)
{
  uint32_t first = size_of (*(const request_t *const *)a);
  uint32_t second = size_of (*(const request_t *const *)b);

  return first < second ? -1 : first > second;
}

/* The share of a kind's requests that is served, between two quantiles of
   size.  */
static double
share_served (kind_index_t kind, double from, double to)
{
  static const request_t *sorted[REQUESTS_MAX];
  size_t count = 0;
  size_t served = 0;
  size_t first;
  size_t end;
  size_t i;

  for (i = 0; i < request_count; i++)
    if (requests[i].kind == kind && requests[i].state != STATE_ASKING)
      sorted[count++] = &requests[i];
  qsort (sorted, count, sizeof sorted[0], compare_sizes);
  first = (size_t)(from * (double)count);
  end = (size_t)(to * (double)count);
  for (i = first; i < end; i++)
    served += sorted[i]->served;
  return (double)served / (double)(end - first);
}

/* Guards against a full pool that serves the largest tenth of a kind of
   request, or the fifth below it, less than half as often as the whole kind.
 */
START_TEST (largest_requests_are_served_half_as_often_at_least)
{
  const pool_t *pool = &pools[_i / KIND_COUNT % POOLS];
  kind_index_t kind = (kind_index_t)(_i % KIND_COUNT);
  uint64_t seed = (uint64_t)_i / (KIND_COUNT * POOLS) + 1;
  double all;
  double largest;
  double next;

  play (pool, seed);
  all = share_served (kind, 0, 1);
  largest = share_served (kind, 0.9, 1);
  next = share_served (kind, 0.7, 0.9);
  /* Otherwise the pool isn't full.  */
  ck_assert_double_lt (share_served (LONG_RUN, 0, 1), 0.95);
  ck_assert_msg (
      largest >= all / 2 && next >= all / 2,
      "%s, kind %d, seed %d: %.2f of the largest tenth, %.2f of the next "
      "fifth, %.2f of all",
      pool->name, kind, (int)seed, largest, next, all);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatch-size");
  TCase *tcase = tcase_create ("dispatch-size");

  tcase_set_timeout (tcase, 120);
  tcase_add_checked_fixture (tcase, NULL, close_dispatch);
  tcase_add_loop_test (tcase,
                       largest_requests_are_served_half_as_often_at_least, 0,
                       KIND_COUNT * POOLS * SEEDS);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
