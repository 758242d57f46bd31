#include "cowslipspoke/traffic-share.h"

#include "support/run-suite.h"

#include <check.h>

/* Which class of a pool is served next.  */

enum
{
  REGULAR = CSP_CLASS_REGULAR,
  URGENT = CSP_CLASS_URGENT,
  NONE = CSP_CLASS_COUNT,
  NOW_MS = 100000
};

/* The placed cost and the queues.  */
static const struct
{
  const char *name;
  uint32_t placed_regular;
  uint32_t placed_urgent;
  csp_class_queue_state_t regular;
  csp_class_queue_state_t urgent;
  int next;
} cases[] = {
  { "nothing waits", 10, 10, { false, false }, { false, false }, NONE },
  { "only regular", 10, 90, { true, false }, { false, false }, REGULAR },
  { "only urgent", 10, 90, { false, false }, { true, false }, URGENT },
  { "nothing placed yet", 0, 0, { true, false }, { true, false }, URGENT },
  { "below half", 60, 40, { true, false }, { true, false }, URGENT },
  { "at half", 50, 50, { true, false }, { true, false }, URGENT },
  { "above half", 49, 51, { true, false }, { true, false }, REGULAR },
  { "none waits", 0, 100, { false, true }, { true, false }, URGENT },
  { "urgent done", 60, 40, { true, false }, { true, true }, REGULAR },
  { "both done", 60, 40, { true, true }, { true, true }, NONE },
  { "regular doesn't fit", 60, 40, { true, true }, { true, false }, URGENT },
  { "its turn, held", 40, 60, { true, true }, { true, false }, NONE },
};

/* Guards against a class that takes all.  */
START_TEST (next_class_follows_share_and_queues)
{
  csp_traffic_share_t share = { 0 };
  csp_class_queue_state_t queues[CSP_CLASS_COUNT]
      = { [CSP_CLASS_REGULAR] = cases[_i].regular,
          [CSP_CLASS_URGENT] = cases[_i].urgent };
  int next;

  csp_note_class_placed (&share, CSP_CLASS_REGULAR, cases[_i].placed_regular,
                         NOW_MS);
  csp_note_class_placed (&share, CSP_CLASS_URGENT, cases[_i].placed_urgent,
                         NOW_MS);
  next = (int)csp_choose_next_class (&share, queues, NOW_MS);
  ck_assert_msg (next == cases[_i].next, "%s: class %d", cases[_i].name, next);
}
END_TEST

/* Urgent cost of 100 was placed, and then regular cost of 60.  */
static const struct
{
  int64_t later_ms;
  double urgent_share;
} ages[] = {
  { -50, 100.0 / 160 }, { 0, 100.0 / 160 },   { 4000, 50.0 / 110 },
  { 8000, 25.0 / 85 },  { 400000, 0.0 / 60 },
};

/* Guards against a share that forgets too soon or never, and against a clock
   that went back.  */
START_TEST (placed_cost_decays)
{
  csp_traffic_share_t share = { 0 };

  csp_note_class_placed (&share, CSP_CLASS_URGENT, 100, NOW_MS);
  csp_note_class_placed (&share, CSP_CLASS_REGULAR, 60,
                         NOW_MS + ages[_i].later_ms);
  ck_assert_double_eq_tol (csp_urgent_share (&share), ages[_i].urgent_share,
                           1e-9);
}
END_TEST

/* Guards against a hold that counts from an earlier regular request, which was
   placed, and so ends too soon.  */
START_TEST (hold_starts_anew_after_placement)
{
  const csp_class_queue_state_t queues[CSP_CLASS_COUNT] = {
    [CSP_CLASS_REGULAR] = { true, true }, [CSP_CLASS_URGENT] = { true, false }
  };
  csp_traffic_share_t share = { 0 };

  csp_note_class_placed (&share, CSP_CLASS_URGENT, 1000, NOW_MS);
  ck_assert_int_eq (csp_choose_next_class (&share, queues, NOW_MS), NONE);
  csp_note_class_placed (&share, CSP_CLASS_REGULAR, 1, NOW_MS + 300);
  ck_assert_int_eq (csp_choose_next_class (&share, queues, NOW_MS + 300),
                    NONE);
  ck_assert_int_eq (csp_choose_next_class (&share, queues, NOW_MS + 600),
                    NONE);
}
END_TEST

/* How long urgent requests may wait when a hold begins and during it, when it
   ends, and when the next one begins.  */
static const struct
{
  uint32_t first_ms;
  uint32_t later_ms;
  int64_t end_ms;
  int64_t next_ms;
} holds[] = {
  { 0, 0, 400, 800 },       { 230, 230, 57, 114 },  { 230, 0, 57, 114 },
  { 1600, 1600, 400, 800 }, { 9000, 230, 57, 800 }, { 230, 9000, 57, 114 },
  { 4, 4, 1, 2 },
};

/* Guards against urgent requests that wait for a regular one that never fits,
   and against a hold that takes most of the time in which they can be
   placed.  */
START_TEST (hold_ends_in_time_for_urgent_requests)
{
  const csp_class_queue_state_t queues[CSP_CLASS_COUNT] = {
    [CSP_CLASS_REGULAR] = { true, true }, [CSP_CLASS_URGENT] = { true, false }
  };
  csp_traffic_share_t share = { 0 };
  int64_t passed_ms;

  csp_note_class_placed (&share, CSP_CLASS_URGENT, 1000, NOW_MS);
  csp_note_urgent_wait (&share, holds[_i].first_ms);
  ck_assert_int_eq (csp_choose_next_class (&share, queues, NOW_MS), NONE);
  csp_note_urgent_wait (&share, holds[_i].later_ms);
  for (passed_ms = 0; passed_ms <= holds[_i].next_ms; passed_ms++)
    {
      bool is_held
          = passed_ms < holds[_i].end_ms || passed_ms == holds[_i].next_ms;

      ck_assert_int_eq (
          csp_choose_next_class (&share, queues, NOW_MS + passed_ms),
          is_held ? NONE : URGENT);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("traffic-share");
  TCase *tcase = tcase_create ("traffic-share");

  tcase_add_loop_test (tcase, next_class_follows_share_and_queues, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_loop_test (tcase, placed_cost_decays, 0,
                       sizeof ages / sizeof ages[0]);
  tcase_add_test (tcase, hold_starts_anew_after_placement);
  tcase_add_loop_test (tcase, hold_ends_in_time_for_urgent_requests, 0,
                       sizeof holds / sizeof holds[0]);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
