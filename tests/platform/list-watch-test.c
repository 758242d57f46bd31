#include "cowslipspoke/list-watch.h"

#include "support/run-suite.h"

#include <check.h>

typedef enum
{
  READ_SENT,
  READ_SUCCEEDED,
  READ_FAILED,
  HOST_RESUMED
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

/* A sequence of events, and when the next read is due after it.  */
typedef struct
{
  const char *name;
  step_t steps[STEPS_MAX];
  size_t step_count;
  int64_t expected_due_ms;
} scenario_t;

static const scenario_t scenarios[] = {
  { "answered", { { READ_SENT, 1000 }, { READ_SUCCEEDED, 1200 } }, 2, 2200 },
  { "failed", { { READ_SENT, 1000 }, { READ_FAILED, 1200 } }, 2, 3200 },
  { "failed after a pause, failure noted before the resume",
    { { READ_SENT, 1000 }, { READ_FAILED, 9000 }, { HOST_RESUMED, 9000 } },
    3,
    9000 },
  { "failed after a pause, failure noted after the resume",
    { { READ_SENT, 1000 }, { HOST_RESUMED, 9000 }, { READ_FAILED, 9003 } },
    3,
    9003 },
  { "answered after a pause",
    { { READ_SENT, 1000 }, { HOST_RESUMED, 9000 }, { READ_SUCCEEDED, 9002 } },
    3,
    10002 },
  { "sent after a pause and failed",
    { { HOST_RESUMED, 9000 }, { READ_SENT, 9001 }, { READ_FAILED, 9100 } },
    3,
    11100 },
};

static void
apply_step (csp_list_watch_t *watch, const step_t *step)
{
  switch (step->kind)
    {
    case READ_SENT:
      csp_note_list_read_sent (watch, true, step->at_ms);
      break;
    case READ_SUCCEEDED:
    case READ_FAILED:
      csp_note_list_read_ended (watch, step->kind == READ_SUCCEEDED,
                                step->at_ms);
      break;
    case HOST_RESUMED:
      csp_note_list_host_resumed (watch, step->at_ms);
      break;
    }
}

/* A host is paused for some seconds while a read of the host list is pending,
   and the read has timed out when the host resumes.  If the host waits two
   seconds before the next read, as after other failures, and is stopped in
   that time, it never learns of a newly added host: the state that it holds is
   lost, and callers of its engines are served by an older configuration.  */
START_TEST (failed_read_is_retried_at_once_after_a_pause)
{
  const scenario_t *scenario = &scenarios[_i];
  csp_list_watch_t watch = { .pending = false };
  size_t i;

  for (i = 0; i < scenario->step_count; i++)
    apply_step (&watch, &scenario->steps[i]);
  ck_assert_msg (!csp_list_read_is_due (&watch, scenario->expected_due_ms - 1),
                 "%s", scenario->name);
  ck_assert_msg (csp_list_read_is_due (&watch, scenario->expected_due_ms),
                 "%s", scenario->name);
}
END_TEST

/* A list is known to be current as of the time when its read was sent.  */
START_TEST (list_is_current_as_of_the_send_of_its_read)
{
  csp_list_watch_t watch = { .pending = false };

  csp_note_list_read_sent (&watch, true, 1000);
  ck_assert (!csp_list_read_is_due (&watch, 5000));
  csp_note_list_read_ended (&watch, true, 3000);
  ck_assert_int_eq (watch.confirmed_ms, 1000);
  csp_note_list_read_sent (&watch, true, 4000);
  csp_note_list_read_ended (&watch, false, 5000);
  ck_assert_int_eq (watch.confirmed_ms, 1000);
  ck_assert (watch.last_read_failed);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("list watch");
  TCase *tcase = tcase_create ("list watch");

  tcase_add_loop_test (tcase, failed_read_is_retried_at_once_after_a_pause, 0,
                       sizeof scenarios / sizeof *scenarios);
  tcase_add_test (tcase, list_is_current_as_of_the_send_of_its_read);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
