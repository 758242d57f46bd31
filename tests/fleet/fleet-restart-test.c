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
  ROW,      /* the list says that it is ready */
  NOTICE,   /* the list says that it leaves */
  REMOVED,  /* the list drops it */
  SAYS_BORN /* the target says of itself when it started */
} step_kind_t;

typedef struct
{
  step_kind_t kind;
  int64_t born_ms;
} step_t;

/* What is told of one id, the first step with a run under way there after it;
   whether that run's target is still the one in use, and what is.  */
typedef struct
{
  const char *name;
  step_t steps[STEPS_MAX];
  size_t step_count;
  bool same;
  int64_t born_ms;
  csp_fleet_state_t state;
  unsigned left_count;
} story_t;

static const story_t stories[] = {
  { "one start, told twice",
    { { ROW, 100 }, { ROW, 100 } },
    2,
    true,
    100,
    CSP_FLEET_READY,
    0 },
  { "it starts again",
    { { ROW, 100 }, { ROW, 200 } },
    2,
    false,
    200,
    CSP_FLEET_READY,
    1 },
  { "it starts again twice",
    { { ROW, 100 }, { ROW, 200 }, { ROW, 300 } },
    3,
    false,
    300,
    CSP_FLEET_READY,
    2 },
  { "an old row comes behind a new one",
    { { ROW, 100 }, { ROW, 200 }, { ROW, 100 } },
    3,
    false,
    200,
    CSP_FLEET_READY,
    1 },
  { "the notice of the start before comes late",
    { { ROW, 100 }, { ROW, 200 }, { NOTICE, 100 } },
    3,
    false,
    200,
    CSP_FLEET_READY,
    1 },
  { "it left, and starts again",
    { { ROW, 100 }, { NOTICE, 100 }, { ROW, 200 } },
    3,
    false,
    200,
    CSP_FLEET_READY,
    1 },
  { "it was removed, and starts again",
    { { ROW, 100 }, { REMOVED, 0 }, { ROW, 200 } },
    3,
    false,
    200,
    CSP_FLEET_READY,
    1 },
  { "rows that don't tell the start",
    { { ROW, 0 }, { ROW, 0 } },
    2,
    true,
    0,
    CSP_FLEET_READY,
    0 },
  { "a row that doesn't tell it behind one that does",
    { { ROW, 100 }, { ROW, 0 } },
    2,
    true,
    100,
    CSP_FLEET_READY,
    0 },
  { "the start is told later",
    { { ROW, 0 }, { ROW, 100 } },
    2,
    true,
    100,
    CSP_FLEET_READY,
    0 },
  { "the target says it before the list does",
    { { ROW, 100 }, { SAYS_BORN, 200 } },
    2,
    false,
    200,
    CSP_FLEET_READY,
    1 },
  { "and then the list",
    { { ROW, 100 }, { SAYS_BORN, 200 }, { ROW, 200 } },
    3,
    false,
    200,
    CSP_FLEET_READY,
    1 },
  { "the target says what is known",
    { { ROW, 200 }, { SAYS_BORN, 200 }, { SAYS_BORN, 100 } },
    3,
    true,
    200,
    CSP_FLEET_READY,
    0 },
};

static void
take_step (const step_t *step, int64_t now_ms)
{
  csp_fleet_row_t row = {
    .id = "t", .service = "s", .data_centre = "a", .born_ms = step->born_ms
  };

  switch (step->kind)
    {
    case ROW:
    case NOTICE:
      row.leaving = step->kind == NOTICE;
      ck_assert (csp_list_target (fleet, &row, now_ms));
      break;
    case REMOVED:
      csp_unlist_target (fleet, "t", now_ms);
      break;
    case SAYS_BORN:
      csp_note_target_born (fleet, csp_find_fleet_target (fleet, "t"),
                            step->born_ms, now_ms);
      break;
    }
}

/* An engine crashes and starts again under its id.  What ran there is gone
   with it, and so are copies of runs and the memory of prompts.  Taken for the
   same, its load stayed counted, streams were resumed from copies that it
   hasn't, and requests went over connections that are dead: callers saw texts
   cut, and requests fail that may have run.  */
START_TEST (a_target_that_starts_again_is_another)
{
  const story_t *story = &stories[_i];
  csp_fleet_target_t *first;
  csp_fleet_target_t *last;
  size_t i;

  take_step (&story->steps[0], 0);
  first = csp_find_fleet_target (fleet, "t");
  first->users = 1;
  first->own.requests = 3;
  csp_note_outcome (first, true, 0);
  for (i = 1; i < story->step_count; i++)
    take_step (&story->steps[i], (int64_t)i);
  last = csp_find_fleet_target (fleet, "t");
  ck_assert_msg ((first == last) == story->same, "%s", story->name);
  ck_assert_int_eq (last->row.born_ms, story->born_ms);
  ck_assert_int_eq (last->state, story->state);
  ck_assert_uint_eq (left_count, story->left_count);
  ck_assert_ptr_eq (csp_find_hashed_target (fleet, last->hash), last);
  if (story->same)
    return;
  ck_assert_int_eq (first->state, CSP_FLEET_GONE);
  ck_assert_uint_eq (last->own.requests, 0);
  ck_assert (last->failing == 0);
  ck_assert (first->hash != last->hash);
  ck_assert_ptr_eq (csp_find_hashed_target (fleet, first->hash), first);
}
END_TEST

/* Hosts speak of targets by hash; a host that knows a later start counts what
   another tells of the one before for that one alone.  */
START_TEST (loads_of_two_starts_are_counted_apart)
{
  const step_t steps[] = { { ROW, 100 }, { ROW, 200 } };
  csp_peer_load_t load = { .requests = 2, .tokens = 500 };
  csp_fleet_target_t *first;

  take_step (&steps[0], 0);
  first = csp_find_fleet_target (fleet, "t");
  first->users = 1;
  load.target = first->hash;
  take_step (&steps[1], 1);
  csp_count_other_load (fleet, &load);
  ck_assert_uint_eq (first->others.tokens, 500);
  ck_assert_uint_eq (csp_find_fleet_target (fleet, "t")->others.tokens, 0);
  first->users = 0;
  csp_expire_targets (fleet, 2);
  csp_expire_targets (fleet, 10002);
  ck_assert_uint_eq (csp_fleet_size (fleet), 1);
  ck_assert_ptr_null (csp_find_hashed_target (fleet, load.target));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fleet restart");
  TCase *tcase = tcase_create ("fleet restart");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, a_target_that_starts_again_is_another, 0,
                       sizeof stories / sizeof *stories);
  tcase_add_test (tcase, loads_of_two_starts_are_counted_apart);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
