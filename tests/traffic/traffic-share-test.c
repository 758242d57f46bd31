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

/* The placed cost and the queues; a held urgent class is released 400 ms after
   the regular class was first tried in vain, for 400 ms.  */
static const struct
{
  const char *name;
  uint32_t placed_regular;
  uint32_t placed_urgent;
  csp_class_queue_state_t regular;
  csp_class_queue_state_t urgent;
  int64_t after_ms;
  int next;
} cases[] = {
  { "nothing waits", 10, 10, { false, false }, { false, false }, 0, NONE },
  { "only regular", 10, 90, { true, false }, { false, false }, 0, REGULAR },
  { "only urgent", 10, 90, { false, false }, { true, false }, 0, URGENT },
  { "nothing placed yet", 0, 0, { true, false }, { true, false }, 0, URGENT },
  { "below half", 60, 40, { true, false }, { true, false }, 0, URGENT },
  { "at half", 50, 50, { true, false }, { true, false }, 0, URGENT },
  { "above half", 49, 51, { true, false }, { true, false }, 0, REGULAR },
  { "none waits", 0, 100, { false, true }, { true, false }, 0, URGENT },
  { "urgent done", 60, 40, { true, false }, { true, true }, 0, REGULAR },
  { "both done", 60, 40, { true, true }, { true, true }, 0, NONE },
  { "regular doesn't fit",
    60,
    40,
    { true, true },
    { true, false },
    0,
    URGENT },
  { "its turn, held", 40, 60, { true, true }, { true, false }, 0, NONE },
  { "held still", 40, 60, { true, true }, { true, false }, 399, NONE },
  { "released", 40, 60, { true, true }, { true, false }, 400, URGENT },
  { "released still", 40, 60, { true, true }, { true, false }, 799, URGENT },
  { "held again", 40, 60, { true, true }, { true, false }, 800, NONE },
};

/* Guards against a class that takes all, and against urgent requests that wait
   for a regular one that never fits.  */
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
  csp_choose_next_class (&share, queues, NOW_MS);
  next = (int)csp_choose_next_class (&share, queues,
                                     NOW_MS + cases[_i].after_ms);
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

/* How long urgent requests may wait when a hold begins and during it, and when
   it ends.  */
static const struct
{
  uint32_t first_ms;
  uint32_t later_ms;
  int64_t hold_ms;
} holds[] = {
  { 230, 230, 57 },  { 230, 0, 57 },    { 1600, 1600, 400 },
  { 9000, 230, 57 }, { 230, 9000, 57 }, { 3, 3, 0 },
};

/* Guards against a hold that takes most of the time in which an urgent request
   can be placed, and against one that begins again before any was.  */
START_TEST (hold_is_limited_by_urgent_wait)
{
  const csp_class_queue_state_t queues[CSP_CLASS_COUNT] = {
    [CSP_CLASS_REGULAR] = { true, true }, [CSP_CLASS_URGENT] = { true, false }
  };
  csp_traffic_share_t share = { 0 };
  int64_t held_ms = 0;

  csp_note_class_placed (&share, CSP_CLASS_URGENT, 1000, NOW_MS);
  csp_note_urgent_wait (&share, holds[_i].first_ms);
  csp_choose_next_class (&share, queues, NOW_MS);
  csp_note_urgent_wait (&share, holds[_i].later_ms);
  while ((int)csp_choose_next_class (&share, queues, NOW_MS + held_ms) == NONE)
    held_ms++;
  ck_assert_int_eq (held_ms, holds[_i].hold_ms);
  ck_assert_int_eq (
      csp_choose_next_class (&share, queues, NOW_MS + held_ms * 3 / 2),
      URGENT);
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
  tcase_add_loop_test (tcase, hold_is_limited_by_urgent_wait, 0,
                       sizeof holds / sizeof holds[0]);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
