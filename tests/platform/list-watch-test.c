#include "cowslipspoke/list-watch.h"

#include "support/run-suite.h"

#include <check.h>

typedef enum
{
  ASK,
  GOOD,
  FAILED,
  WAKE
} step_kind_t;

typedef struct
{
  step_kind_t kind;
  int64_t at_ms;
} step_t;

enum
{
  STEPS_MAX = 4
};

/* What happens to a host's reads, and when the next is due.  */
typedef struct
{
  const char *name;
  step_t steps[STEPS_MAX];
  size_t step_count;
  int64_t due_ms;
} story_t;

static const story_t stories[] = {
  { "answered", { { ASK, 1000 }, { GOOD, 1200 } }, 2, 2200 },
  { "failed", { { ASK, 1000 }, { FAILED, 1200 } }, 2, 3200 },
  { "failed behind a pause, seen first",
    { { ASK, 1000 }, { FAILED, 9000 }, { WAKE, 9000 } },
    3,
    9000 },
  { "failed behind a pause, seen later",
    { { ASK, 1000 }, { WAKE, 9000 }, { FAILED, 9003 } },
    3,
    9003 },
  { "answered behind a pause",
    { { ASK, 1000 }, { WAKE, 9000 }, { GOOD, 9002 } },
    3,
    10002 },
  { "failed again behind a pause",
    { { WAKE, 9000 }, { ASK, 9001 }, { FAILED, 9100 } },
    3,
    11100 },
};

static void
take_step (csp_list_watch_t *watch, const step_t *step)
{
  switch (step->kind)
    {
    case ASK:
      csp_note_list_asked (watch, true, step->at_ms);
      break;
    case GOOD:
    case FAILED:
      csp_note_list_read (watch, step->kind == GOOD, step->at_ms);
      break;
    case WAKE:
      csp_note_list_woke (watch, step->at_ms);
      break;
    }
}

/* A host is paused for some seconds while its read of the host list is under
   way.  As it runs again that read has timed out.  Waiting two seconds before
   the next, as behind other failures, it was stopped meanwhile and never heard
   of a host that had come: what it held was lost with it, and callers of its
   engines were served by an older configuration.  */
START_TEST (a_host_that_wakes_up_reads_at_once)
{
  const story_t *story = &stories[_i];
  csp_list_watch_t watch = { .pending = false };
  size_t i;

  for (i = 0; i < story->step_count; i++)
    take_step (&watch, &story->steps[i]);
  ck_assert_msg (!csp_list_read_is_due (&watch, story->due_ms - 1), "%s",
                 story->name);
  ck_assert_msg (csp_list_read_is_due (&watch, story->due_ms), "%s",
                 story->name);
}
END_TEST

/* A list counts as the platform's up to when its read was sent.  */
START_TEST (a_list_is_confirmed_as_of_its_question)
{
  csp_list_watch_t watch = { .pending = false };

  csp_note_list_asked (&watch, true, 1000);
  ck_assert (!csp_list_read_is_due (&watch, 5000));
  csp_note_list_read (&watch, true, 3000);
  ck_assert_int_eq (watch.confirmed_ms, 1000);
  csp_note_list_asked (&watch, true, 4000);
  csp_note_list_read (&watch, false, 5000);
  ck_assert_int_eq (watch.confirmed_ms, 1000);
  ck_assert (watch.away);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("list watch");
  TCase *tcase = tcase_create ("list watch");

  tcase_add_loop_test (tcase, a_host_that_wakes_up_reads_at_once, 0,
                       sizeof stories / sizeof *stories);
  tcase_add_test (tcase, a_list_is_confirmed_as_of_its_question);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
