#include "cowslipspoke/fleet.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

static csp_fleet_t *fleet;
static unsigned left_count;

static void
note_left (void *state, csp_fleet_target_t *target)
{
  (void)state;
  (void)target;
  left_count++;
}

static void
set_up (void)
{
  left_count = 0;
  fleet = csp_create_fleet (note_left, NULL, NULL);
  ck_assert_ptr_nonnull (fleet);
}

static void
tear_down (void)
{
  csp_destroy_fleet (fleet);
}

enum
{
  STEPS_MAX = 6
};

typedef enum
{
  ROW,          /* the list says that it is ready */
  NOTICE,       /* the list says that it leaves */
  REMOVED,      /* the list drops it */
  REPORTS_START /* the target itself reports its start */
} step_kind_t;

typedef struct
{
  step_kind_t kind;
  int64_t born_ms;
} step_t;

/* Updates of one id, with a run under way after the first step.  Expected:
   whether the run's target is still the current one, and the current target's
   start and state.  */
typedef struct
{
  const char *name;
  step_t steps[STEPS_MAX];
  size_t step_count;
  bool same;
  int64_t born_ms;
  csp_fleet_state_t state;
  unsigned left_count;
} case_t;

static const case_t cases[] = {
  { "one start, listed twice",
    { { ROW, 100 }, { ROW, 100 } },
    2,
    true,
    100,
    CSP_FLEET_READY,
    0 },
  { "it restarts",
    { { ROW, 100 }, { ROW, 200 } },
    2,
    false,
    200,
    CSP_FLEET_READY,
    1 },
  { "it restarts twice",
    { { ROW, 100 }, { ROW, 200 }, { ROW, 300 } },
    3,
    false,
    300,
    CSP_FLEET_READY,
    2 },
  { "an old row arrives after a new one",
    { { ROW, 100 }, { ROW, 200 }, { ROW, 100 } },
    3,
    false,
    200,
    CSP_FLEET_READY,
    1 },
  { "a late notice of the previous start",
    { { ROW, 100 }, { ROW, 200 }, { NOTICE, 100 } },
    3,
    false,
    200,
    CSP_FLEET_READY,
    1 },
  { "it left, and restarts",
    { { ROW, 100 }, { NOTICE, 100 }, { ROW, 200 } },
    3,
    false,
    200,
    CSP_FLEET_READY,
    1 },
  { "it was removed, and restarts",
    { { ROW, 100 }, { REMOVED, 0 }, { ROW, 200 } },
    3,
    false,
    200,
    CSP_FLEET_READY,
    1 },
  { "rows without a start",
    { { ROW, 0 }, { ROW, 0 } },
    2,
    true,
    0,
    CSP_FLEET_READY,
    0 },
  { "a row without a start after one with it",
    { { ROW, 100 }, { ROW, 0 } },
    2,
    true,
    100,
    CSP_FLEET_READY,
    0 },
  { "the start becomes known later",
    { { ROW, 0 }, { ROW, 100 } },
    2,
    true,
    100,
    CSP_FLEET_READY,
    0 },
  { "the target reports it before the list does",
    { { ROW, 100 }, { REPORTS_START, 200 } },
    2,
    false,
    200,
    CSP_FLEET_READY,
    1 },
  { "and then the list does",
    { { ROW, 100 }, { REPORTS_START, 200 }, { ROW, 200 } },
    3,
    false,
    200,
    CSP_FLEET_READY,
    1 },
  { "the target reports a known start",
    { { ROW, 200 }, { REPORTS_START, 200 }, { REPORTS_START, 100 } },
    3,
    true,
    200,
    CSP_FLEET_READY,
    0 },
};

static void
take_step (const step_t *step, int64_t now_ms)
{
  csp_fleet_row_t row = { .id = "t",
                          .service = "s",
                          .data_centre = "a",
                          .start_unix_ms = step->born_ms };

  switch (step->kind)
    {
    case ROW:
    case NOTICE:
      row.leaving = step->kind == NOTICE;
      ck_assert (csp_update_target (fleet, &row, now_ms));
      break;
    case REMOVED:
      csp_remove_target (fleet, "t", now_ms);
      break;
    case REPORTS_START:
      csp_note_target_start (fleet, csp_find_fleet_target (fleet, "t"),
                             step->born_ms, now_ms);
      break;
    }
}

/* Guards against a restarted engine that is taken for the one before it.  Its
   runs, their copies and its prompt cache are lost in the restart; if the
   engine were taken for the same, the old load would stay counted, streams
   would be resumed from copies that it doesn't have, and requests would go
   over dead connections.  */
START_TEST (a_restarted_target_is_a_new_target)
{
  const case_t *test_case = &cases[_i];
  csp_fleet_target_t *first;
  csp_fleet_target_t *last;
  size_t i;

  take_step (&test_case->steps[0], 0);
  first = csp_find_fleet_target (fleet, "t");
  first->users = 1;
  first->own.requests = 3;
  csp_note_outcome (first, true, 0);
  for (i = 1; i < test_case->step_count; i++)
    take_step (&test_case->steps[i], (int64_t)i);
  last = csp_find_fleet_target (fleet, "t");
  ck_assert_msg ((first == last) == test_case->same, "%s", test_case->name);
  ck_assert_int_eq (last->row.start_unix_ms, test_case->born_ms);
  ck_assert_int_eq (last->state, test_case->state);
  ck_assert_uint_eq (left_count, test_case->left_count);
  ck_assert_ptr_eq (csp_find_target_by_hash (fleet, last->hash), last);
  if (test_case->same)
    return;
  ck_assert_int_eq (first->state, CSP_FLEET_GONE);
  ck_assert_uint_eq (last->own.requests, 0);
  ck_assert (last->failure_share == 0);
  ck_assert (first->hash != last->hash);
  ck_assert_ptr_eq (csp_find_target_by_hash (fleet, first->hash), first);
}
END_TEST

/* Hosts identify targets by hash.  A host that knows a newer start counts a
   load reported for the start before for that one alone.  */
START_TEST (loads_of_two_starts_are_counted_separately)
{
  const step_t steps[] = { { ROW, 100 }, { ROW, 200 } };
  csp_peer_load_t load = { .requests = 2, .tokens = 500 };
  csp_fleet_target_t *first;

  take_step (&steps[0], 0);
  first = csp_find_fleet_target (fleet, "t");
  first->users = 1;
  load.target = first->hash;
  take_step (&steps[1], 1);
  csp_add_peer_load (fleet, &load);
  ck_assert_uint_eq (first->others.tokens, 500);
  ck_assert_uint_eq (csp_find_fleet_target (fleet, "t")->others.tokens, 0);
  first->users = 0;
  csp_expire_targets (fleet, 2);
  csp_expire_targets (fleet, 10002);
  ck_assert_uint_eq (csp_fleet_size (fleet), 1);
  ck_assert_ptr_null (csp_find_target_by_hash (fleet, load.target));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fleet restart");
  TCase *tcase = tcase_create ("fleet restart");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, a_restarted_target_is_a_new_target, 0,
                       sizeof cases / sizeof *cases);
  tcase_add_test (tcase, loads_of_two_starts_are_counted_separately);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
