#include "dispatch/dispatch-fixture.h"
#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>

/* What each traffic class gets.  Runs are played by a fake clock on engines of
   nominal speed: short urgent requests (2,400 prompt tokens, 12 output tokens,
   to be placed within 1.1 s) and long regular ones (3,000 prompt tokens, 750
   output tokens, 3.5 s).  */

enum
{
  STEP_MS = 10,
  /* Hosts report a run when its reservation has ended.  */
  REPORT_MS = 30,
  NOTICE_MS = 1500,
  PLAYED_MS = 30000,
  ENGINES = 12,
  MEMORY = 27000,
  TINY_MEMORY = 5000,
  RUNS_MAX = 4096,
  SOURCES_MAX = 4,
  SLOTS = 24
};

typedef struct
{
  uint32_t prompt_tokens;
  uint32_t tokens;
  uint32_t start_within_ms;
  int64_t read_ms;
  int64_t run_ms;
} shape_t;

static const shape_t shapes[CSP_CLASS_COUNT]
    = { [CSP_CLASS_REGULAR] = { 3000, 3750, 3572, 214, 6964 },
        [CSP_CLASS_URGENT] = { 2400, 2412, 1157, 171, 279 } };

/* Organisations that send requests of one class, and the least share of them,
   in percent, that must be placed.  */
typedef struct
{
  csp_traffic_class_t traffic_class;
  uint32_t first_organisation;
  uint32_t organisations;
  double per_s;
  int64_t from_ms;
  int64_t until_ms;
  int placed_percent_min;
} source_t;

typedef struct
{
  const char *name;
  source_t sources[SOURCES_MAX];
  int64_t leave_ms; /* when a sixth of the engines leaves; 0: never */
  bool tiny;        /* a single engine with less memory */
} play_t;

typedef struct
{
  int64_t placed_ms; /* 0: no run */
  int64_t ends_ms;
  size_t engine;
  const shape_t *shape;
} run_t;

typedef struct
{
  int asked;
  int placed;
  int refused;
} outcome_t;

static run_t runs[RUNS_MAX];
static outcome_t outcomes[SOURCES_MAX];
static uint64_t next_id;
static uint64_t digest;
static csp_dispatch_service_t service;

/* The source of an ask is in its id.  */
static size_t
source_of (uint64_t id)
{
  return id % SOURCES_MAX;
}

static void
push_ask (const source_t *source, size_t source_index, int64_t now_ms)
{
  const shape_t *shape = &shapes[source->traffic_class];
  uint64_t count = next_id++;
  csp_ask_t ask = { .host = { 9, 10 },
                    .id = count * SOURCES_MAX + source_index,
                    .organisation = source->first_organisation
                                    + (uint32_t)outcomes[source_index].asked++
                                          % source->organisations,
                    .prompt_tokens = shape->prompt_tokens,
                    .tokens = shape->tokens,
                    .start_within_ms = shape->start_within_ms,
                    .traffic_class = source->traffic_class };

  csp_push_ask (dispatch, &ask, &service, now_ms);
}

/* Runs take from a third to five thirds of the usual time, as otherwise those
   that start together also end together.  */
static int64_t
vary_run_ms (const shape_t *shape, uint64_t id)
{
  uint64_t random = id * 6364136223846793005U >> 33;

  return shape->run_ms / 3 + (int64_t)(random % 1024) * shape->run_ms / 768;
}

static void
start_run (const play_t *play, const csp_ask_answer_t *answer, int64_t now_ms)
{
  const shape_t *shape
      = &shapes[play->sources[source_of (answer->id)].traffic_class];
  size_t i;

  for (i = 0; i < RUNS_MAX && runs[i].placed_ms != 0; i++)
    ;
  ck_assert_uint_lt (i, RUNS_MAX);
  runs[i] = (run_t){ .placed_ms = now_ms,
                     .ends_ms = now_ms + vary_run_ms (shape, answer->id),
                     .shape = shape };
  while (csp_fleet_at (fleet, runs[i].engine)->hash != answer->target)
    runs[i].engine++;
}

static void
read_answers (const play_t *play, int64_t now_ms)
{
  size_t i;

  for (i = 0; i < answer_count; i++)
    {
      outcome_t *outcome = &outcomes[source_of (answers[i].id)];

      digest = (digest ^ answers[i].id ^ answers[i].retry_after_ms
                ^ (uint64_t)answers[i].outcome << 32)
               * 1099511628211U;
      if (answers[i].outcome == CSP_ASK_PLACED)
        {
          outcome->placed++;
          start_run (play, &answers[i], now_ms);
        }
      outcome->refused += answers[i].outcome == CSP_ASK_REFUSED;
    }
  answer_count = 0;
}

static void
report_runs (int64_t now_ms)
{
  size_t i;

  csp_clear_peer_loads (fleet);
  for (i = 0; i < RUNS_MAX; i++)
    {
      run_t *run = &runs[i];
      csp_peer_load_t load = { .requests = 1 };

      if (run->placed_ms == 0 || now_ms < run->placed_ms + REPORT_MS)
        continue;
      if (now_ms >= run->ends_ms)
        {
          run->placed_ms = 0;
          continue;
        }
      load.target = csp_fleet_at (fleet, run->engine)->hash;
      load.tokens = run->shape->tokens;
      if (now_ms < run->placed_ms + run->shape->read_ms)
        load.prefill_tokens = run->shape->prompt_tokens;
      csp_add_peer_load (fleet, &load);
    }
}

/* A sixth of the engines leaves, and is gone after the notice.  */
static void
lose_engines (const play_t *play, int64_t now_ms)
{
  char name[24];
  size_t i;

  for (i = 0; play->leave_ms > 0 && i < ENGINES / 6; i++)
    {
      snprintf (name, sizeof name, "e%zu", i);
      if (now_ms == play->leave_ms)
        list_engine (name, "", SLOTS, true);
      if (now_ms == play->leave_ms + NOTICE_MS)
        csp_remove_target (fleet, name, now_ms);
    }
}

static void
step (const play_t *play, int64_t now_ms)
{
  size_t i;

  lose_engines (play, now_ms);
  report_runs (now_ms);
  csp_pump_dispatch (dispatch, now_ms);
  read_answers (play, now_ms);
  for (i = 0; i < SOURCES_MAX; i++)
    {
      const source_t *source = &play->sources[i];
      double sent_s = (double)(now_ms - source->from_ms + STEP_MS) / 1000;

      if (now_ms < source->from_ms || now_ms >= source->until_ms)
        continue;
      while (outcomes[i].asked < (int)(sent_s * source->per_s))
        push_ask (source, i, now_ms);
    }
  read_answers (play, now_ms);
}

static void
set_up_engines (const play_t *play, bool has_classes)
{
  size_t engines = play->tiny ? 1 : ENGINES;
  char name[24];
  size_t i;

  open_dispatch ();
  service = (csp_dispatch_service_t){ .name = "s",
                                      .memory_tokens
                                      = play->tiny ? TINY_MEMORY : MEMORY,
                                      .has_classes = has_classes };
  for (i = 0; i < engines; i++)
    {
      snprintf (name, sizeof name, "e%zu", i);
      list_engine (name, "", SLOTS, false);
    }
  for (i = 0; i < RUNS_MAX; i++)
    runs[i].placed_ms = 0;
  for (i = 0; i < SOURCES_MAX; i++)
    outcomes[i] = (outcome_t){ .asked = 0 };
  next_id = 1;
  digest = 14695981039346656037U;
}

static void
run_play (const play_t *play, bool has_classes)
{
  int64_t now_ms;

  set_up_engines (play, has_classes);
  for (now_ms = STEP_MS; now_ms <= PLAYED_MS; now_ms += STEP_MS)
    step (play, now_ms);
}

#define REGULAR CSP_CLASS_REGULAR
#define URGENT CSP_CLASS_URGENT

/* Twelve engines hold 84 long runs and end 12 of them a second.  */
static const play_t plays[] = {
  { .name = "a burst of long requests beside steady urgent ones",
    .sources = { { REGULAR, 1, 40, 4, 0, PLAYED_MS, 40 },
                 { REGULAR, 1, 40, 30, 5000, 12000, 20 },
                 { URGENT, 101, 40, 20, 0, PLAYED_MS, 97 } } },
  { .name = "two organisations send most of each class",
    .sources = { { REGULAR, 1, 2, 24, 0, PLAYED_MS, 20 },
                 { REGULAR, 11, 20, 3, 0, PLAYED_MS, 80 },
                 { URGENT, 101, 2, 30, 0, PLAYED_MS, 50 },
                 { URGENT, 111, 20, 6, 0, PLAYED_MS, 97 } } },
  { .name = "saturation for 20 s",
    .sources = { { REGULAR, 1, 40, 24, 5000, 25000, 35 },
                 { URGENT, 101, 40, 20, 0, PLAYED_MS, 97 } } },
  { .name = "a sixth of the engines leaves",
    .sources = { { REGULAR, 1, 40, 12, 0, PLAYED_MS, 60 },
                 { URGENT, 101, 40, 20, 0, PLAYED_MS, 97 } },
    .leave_ms = 10000 },
  { .name = "a flood of urgent requests",
    .sources = { { REGULAR, 1, 40, 1.5, 0, PLAYED_MS, 90 },
                 { URGENT, 101, 2, 114, 0, PLAYED_MS, 30 },
                 { URGENT, 111, 20, 6, 0, PLAYED_MS, 90 } } },
  { .name = "a flood, and a long run needs the memory of two short ones",
    .sources = { { REGULAR, 1, 40, 0.2, 0, PLAYED_MS, 30 },
                 { URGENT, 101, 40, 20, 0, PLAYED_MS, 8 } },
    .tiny = true },
};

/* Guards against a class, or an organisation within its share, that is served
   only what the others leave.  */
START_TEST (each_source_gets_its_part)
{
  const play_t *play = &plays[_i];
  size_t i;

  run_play (play, true);
  for (i = 0; i < SOURCES_MAX; i++)
    ck_assert_msg (
        outcomes[i].placed * 100
            >= outcomes[i].asked * play->sources[i].placed_percent_min,
        "%s: source %zu: placed %d of %d, refused %d", play->name, i,
        outcomes[i].placed, outcomes[i].asked, outcomes[i].refused);
}
END_TEST

/* Digests of all answers and of the time to retry of refusals.  */
static const uint64_t digests[]
    = { 0x90e9c47087228811, 0xc79660301a9a937f, 0xcbaa5961409e4f3a,
        0xeee0e9b4ee8f45d3, 0x6e7b264bebb319d2, 0xa43d61b20042e1fd };

/* Guards against an unintended change for services without classes.  Their
   asks state a class too while routes change.  */
START_TEST (service_without_classes_is_served_the_same)
{
  run_play (&plays[_i], false);
  ck_assert_msg (digest == digests[_i], "%s: 0x%llx", plays[_i].name,
                 (unsigned long long)digest);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatch-class");
  TCase *tcase = tcase_create ("dispatch-class");

  tcase_add_checked_fixture (tcase, NULL, close_dispatch);
  tcase_add_loop_test (tcase, each_source_gets_its_part, 0,
                       sizeof plays / sizeof plays[0]);
  tcase_add_loop_test (tcase, service_without_classes_is_served_the_same, 0,
                       sizeof plays / sizeof plays[0]);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
