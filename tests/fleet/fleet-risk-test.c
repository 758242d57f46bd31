#include "cowslipspoke/fleet.h"

#include "cowslipspoke/hash.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

/* Which engine a request gets when the duration of runs, and the risk of
   losing them meanwhile, weighs more than the time to the first token.  */

enum
{
  MEMORY_TOKENS = 34000,
  DRAWS = 20
};

static csp_fleet_t *fleet;
static csp_random_t prng;

static void
set_up (void)
{
  csp_seed_random (&prng, 5);
  fleet = csp_create_fleet (NULL, NULL, NULL);
  ck_assert_ptr_nonnull (fleet);
}

static void
tear_down (void)
{
  csp_destroy_fleet (fleet);
}

/* The load of an engine; requests come from data centre "a".  */
typedef struct
{
  const char *data_centre;
  uint32_t runs;
  uint64_t tokens;
  uint64_t reading_tokens;
  uint32_t recent_prompt_tokens;
} engine_t;

/* A request, the two engines that it may go to, and the one that is
   chosen.  */
typedef struct
{
  const char *name;
  csp_fleet_need_t need;
  engine_t engines[2];
  const char *chosen;
} case_t;

#define SHORT_REQUEST                                                         \
  {                                                                           \
    .by_memory = true, .tokens = 2504, .prompt_tokens = 2500                  \
  }
#define LONG_RUN                                                              \
  {                                                                           \
    .by_memory = true, .tokens = 3900, .prompt_tokens = 3000                  \
  }
#define COPY                                                                  \
  {                                                                           \
    .by_memory = true, .tokens = 4000, .is_copy = true                        \
  }

static const case_t cases[] = {
  /* Reading the prompt takes 180 ms, which delays five runs, or one.  */
  { "a short request goes where it delays fewer runs",
    SHORT_REQUEST,
    { { "a", 1, 4000, 2500, 0 }, { "a", 5, 20000, 0, 0 } },
    "e0" },
  { "and elsewhere if it would wait at all local engines",
    SHORT_REQUEST,
    { { "a", 1, 4000, 4000, 0 }, { "a", 2, 8000, 0, 0 } },
    "e1" },
  /* Both engines read no prompt at the moment.  */
  { "a long run goes where few prompts are read",
    LONG_RUN,
    { { "a", 2, 8000, 0, 20000 }, { "a", 3, 12000, 0, 0 } },
    "e1" },
  { "a long run stays local behind two prompts",
    LONG_RUN,
    { { "a", 2, 8000, 5000, 0 }, { "b", 2, 8000, 0, 0 } },
    "e0" },
  { "a short request leaves local capacity to it",
    SHORT_REQUEST,
    { { "a", 2, 8000, 1400, 0 }, { "b", 2, 8000, 0, 0 } },
    "e1" },
  { "a long run goes elsewhere if the local engine is full",
    { .by_memory = true,
      .tokens = 3900,
      .prompt_tokens = 3000,
      .memory_share_max = 1.0 },
    { { "a", 8, 33000, 9000, 9000 }, { "b", 2, 8000, 0, 0 } },
    "e1" },
  /* A copy takes 0.2 s of the leaving engine's link, or 0.4 s between data
     centres.  */
  { "a copy stays in its data centre",
    COPY,
    { { "a", 6, 26000, 0, 0 }, { "b", 0, 0, 0, 0 } },
    "e0" },
};

static void
list_engine (size_t index, const engine_t *engine)
{
  csp_fleet_row_t row = { .slots = 24 };
  csp_fleet_target_t *target;

  snprintf (row.id, sizeof row.id, "e%zu", index);
  snprintf (row.service, sizeof row.service, "s");
  snprintf (row.data_centre, sizeof row.data_centre, "%s",
            engine->data_centre);
  ck_assert (csp_update_target (fleet, &row, 0));
  target = csp_find_fleet_target (fleet, row.id);
  target->others.requests = engine->runs;
  target->others.tokens = engine->tokens;
  target->others.prefill_tokens = engine->reading_tokens;
  csp_note_prompt_assigned (target, engine->recent_prompt_tokens, 0);
}

/* Engines read prompts a fifth of their time, mostly for requests with short
   outputs, and each prompt delays all runs beside it.  The longer a run takes,
   the likelier it is lost when a host or an engine fails, or a link if it
   crosses data centres.  */
START_TEST (long_runs_avoid_busy_engines)
{
  const case_t *test_case = &cases[_i];
  csp_fleet_need_t need = test_case->need;
  size_t i;

  list_engine (0, &test_case->engines[0]);
  list_engine (1, &test_case->engines[1]);
  need.service = "s";
  need.data_centre = (uint32_t)csp_hash_pair ("data_centre", "a");
  need.memory_tokens = MEMORY_TOKENS;
  for (i = 0; i < DRAWS; i++)
    ck_assert_msg (
        strcmp (csp_choose_fleet_target (fleet, &need, &prng, 0)->row.id,
                test_case->chosen)
            == 0,
        "%s", test_case->name);
}
END_TEST

/* Prompts that were read some seconds ago don't count any more.  */
START_TEST (recent_prompts_decay)
{
  const engine_t busy = { "a", 2, 8000, 0, 20000 };
  const engine_t other = { "a", 3, 12000, 0, 0 };
  csp_fleet_need_t need = LONG_RUN;

  list_engine (0, &busy);
  list_engine (1, &other);
  need.service = "s";
  need.data_centre = (uint32_t)csp_hash_pair ("data_centre", "a");
  need.memory_tokens = MEMORY_TOKENS;
  ck_assert_str_eq (csp_choose_fleet_target (fleet, &need, &prng, 0)->row.id,
                    "e1");
  ck_assert_str_eq (
      csp_choose_fleet_target (fleet, &need, &prng, 12000)->row.id, "e0");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fleet risk");
  TCase *tcase = tcase_create ("fleet risk");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, long_runs_avoid_busy_engines, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tcase, recent_prompts_decay);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
