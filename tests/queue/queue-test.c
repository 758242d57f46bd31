#include "cowslipspoke/queue.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum
{
  COST = 1000,
  LARGEST = 0,
  SMALL = 1
};

static csp_queue_t *queue;
static uint64_t next_id;

static void
set_up (void)
{
  csp_queue_policy_t policy = csp_default_queue_policy ();

  queue = csp_create_queue (&policy);
  csp_set_capacity (queue, 100 * COST);
  csp_set_weight (queue, LARGEST, 1);
  csp_set_weight (queue, SMALL, 1);
  next_id = 1;
}

static void
tear_down (void)
{
  csp_destroy_queue (queue);
}

static bool
push (uint32_t organisation, uint8_t priority, int64_t start_by_ms,
      int64_t now_ms, csp_error_t *error)
{
  csp_waiting_t waiting = { .id = next_id++,
                            .organisation = organisation,
                            .priority = priority,
                            .cost_tokens = COST,
                            .start_by_ms = start_by_ms };

  return csp_push_waiting (queue, &waiting, now_ms, error);
}

static bool
take (int64_t now_ms, csp_waiting_t *waiting)
{
  bool borrowing;

  csp_begin_pump (queue, now_ms);
  if (!csp_next_waiting (queue, waiting, &borrowing))
    return false;
  csp_take_waiting (queue, now_ms);
  return true;
}

/* The queue is served at 10 requests a second for a while.  */
static void
serve_for (int64_t from_ms, int64_t until_ms)
{
  csp_waiting_t waiting;

  for (; from_ms < until_ms; from_ms += 100)
    if (take (from_ms, &waiting))
      csp_settle_waiting (queue, waiting.organisation, COST, COST, from_ms);
}

/* The largest has sent 500 requests when a small organisation sends one.  In
   order of arrival the small one would wait for all 500.  */
START_TEST (a_small_one_passes_the_largest)
{
  csp_error_t error;
  csp_waiting_t waiting;
  uint32_t turns = 0;
  uint32_t i;

  for (i = 0; i < 500; i++)
    ck_assert (push (LARGEST, 9, 0, 1000, &error));
  ck_assert (take (1000, &waiting));
  ck_assert (push (SMALL, 0, 0, 1000, &error));
  do
    {
      ck_assert (take (1000, &waiting));
      turns++;
    }
  while (waiting.organisation != SMALL);
  ck_assert_uint_le (turns, 4);
}
END_TEST

static const struct
{
  uint32_t weight;
  uint32_t most;
  uint32_t least;
} weight_rows[] = { { 1, 52, 48 }, { 3, 27, 23 }, { 9, 12, 8 } };

START_TEST (shares_follow_weights)
{
  csp_error_t error;
  csp_waiting_t waiting;
  uint32_t small = 0;
  uint32_t i;

  csp_set_weight (queue, LARGEST, weight_rows[_i].weight);
  for (i = 0; i < 400; i++)
    push (i % 2 ? LARGEST : SMALL, 5, 0, 1000, &error);
  for (i = 0; i < 100; i++)
    {
      ck_assert (take (1000, &waiting));
      small += waiting.organisation == SMALL;
    }
  ck_assert_uint_ge (small, weight_rows[_i].least);
  ck_assert_uint_le (small, weight_rows[_i].most);
}
END_TEST

/* An organisation sends urgent requests without end.  Its background request
   of priority 0 is served after the head start of the urgent, not never.  */
START_TEST (the_lowest_is_not_starved)
{
  csp_error_t error;
  csp_waiting_t waiting = { 0 };
  int64_t now_ms;

  push (LARGEST, 0, 0, 1000, &error);
  for (now_ms = 1000; now_ms < 30000; now_ms += 100)
    {
      push (LARGEST, 9, 0, now_ms, &error);
      ck_assert (take (now_ms, &waiting));
      if (waiting.priority == 0)
        break;
    }
  ck_assert_int_gt (now_ms, 5000);
  ck_assert_int_lt (now_ms, 12000);
}
END_TEST

/* At saturation a request that can't start in time is told so on arrival,
   with the time to come back.  Let in, its caller would wait for nothing.  */
START_TEST (too_late_is_told_on_arrival)
{
  csp_error_t error = { 0 };
  uint32_t i;

  for (i = 0; i < 200; i++)
    push (LARGEST, 5, 20000, 1000, &error);
  serve_for (1000, 6000);
  ck_assert (!push (LARGEST, 5, 20000, 6000, &error));
  ck_assert_int_eq (error.reason, CSP_REASON_DEADLINE);
  ck_assert_int_eq (error.verdict, CSP_VERDICT_NOT_RUN);
  ck_assert_uint_gt (error.retry_after_ms, 1000);
  ck_assert (push (SMALL, 5, 6000 + 2000, 6000, &error));
  ck_assert (push (LARGEST, 5, 6000 + 2000, 6000, &error));
}
END_TEST

START_TEST (bounds_in_number)
{
  csp_error_t error = { 0 };
  uint32_t accepted = 0;

  while (push (LARGEST, 5, 0, 1000, &error))
    accepted++;
  ck_assert_uint_eq (accepted, csp_default_queue_policy ().max_waiting_each);
  ck_assert_int_eq (error.reason, CSP_REASON_QUEUE_FULL);
  ck_assert (push (SMALL, 5, 0, 1000, &error));
}
END_TEST

/* The targets slow down to a tenth.  What can no longer start in time is
   answered now; held until its deadline, its caller would have lost the time
   in which to ask elsewhere.  */
START_TEST (hopeless_is_answered_before_its_deadline)
{
  csp_error_t error;
  csp_waiting_t waiting;
  uint32_t given_up = 0;
  int64_t now_ms;
  uint32_t i;

  for (i = 0; i < 100; i++)
    push (LARGEST, 5, 31000, 1000, &error);
  serve_for (1000, 4000);
  for (now_ms = 4000; now_ms < 20000; now_ms += 1000)
    {
      take (now_ms, &waiting);
      while (csp_expire_waiting (queue, now_ms, &waiting, &error))
        {
          ck_assert_int_eq (error.verdict, CSP_VERDICT_NOT_RUN);
          given_up++;
        }
    }
  ck_assert_uint_gt (given_up, 20);
  ck_assert_uint_gt (csp_queue_length (queue), 0);
}
END_TEST

/* A host has just started; its targets open two seconds later.  Its first
   callers must not be turned away because nothing was served so far; only
   when nothing is served for long are they told to come back.  */
START_TEST (a_start_is_not_taken_for_a_stand_still)
{
  csp_waiting_t waiting;
  csp_error_t error;
  int64_t now_ms;

  ck_assert (push (SMALL, 5, 60000, 0, &error));
  for (now_ms = 0; now_ms <= 5000; now_ms += 100)
    ck_assert (!csp_expire_waiting (queue, now_ms, &waiting, &error));
  for (; now_ms < 40000; now_ms += 100)
    if (csp_expire_waiting (queue, now_ms, &waiting, &error))
      break;
  ck_assert_int_lt (now_ms, 40000);
  ck_assert_int_eq (error.verdict, CSP_VERDICT_NOT_RUN);
}
END_TEST

START_TEST (the_deadline_ends_a_wait)
{
  csp_error_t error;
  csp_waiting_t waiting;

  push (SMALL, 5, 1500, 1000, &error);
  ck_assert (!csp_expire_waiting (queue, 1499, &waiting, &error));
  ck_assert (csp_expire_waiting (queue, 1500, &waiting, &error));
  ck_assert_int_eq (error.reason, CSP_REASON_DEADLINE);
  ck_assert (!csp_expire_waiting (queue, 1500, &waiting, &error));
}
END_TEST

/* The largest may use what others leave, and is told apart as a borrower, so
   that it leaves lend_keep free.  When the small one comes back, every second
   turn is its own from the first on.  */
START_TEST (what_is_lent_is_taken_back)
{
  csp_error_t error;
  csp_waiting_t waiting;
  bool borrowing = false;
  uint32_t taken = 0;
  uint32_t small = 0;
  uint32_t i;

  for (i = 0; i < 200; i++)
    push (LARGEST, 5, 0, 1000, &error);
  csp_begin_pump (queue, 1000);
  while (csp_next_waiting (queue, &waiting, &borrowing) && !borrowing)
    {
      csp_take_waiting (queue, 1000);
      taken++;
    }
  ck_assert_uint_eq (taken, 51);
  for (i = 0; i < 20; i++)
    push (SMALL, 5, 0, 2000, &error);
  for (i = 0; i < 20; i++)
    {
      csp_begin_pump (queue, 2000);
      ck_assert (csp_next_waiting (queue, &waiting, &borrowing));
      ck_assert (borrowing == (waiting.organisation == LARGEST));
      csp_take_waiting (queue, 2000);
      small += waiting.organisation == SMALL;
    }
  ck_assert_uint_ge (small, 9);
}
END_TEST

/* A request that needs much room never finds it, as smaller ones take each
   bit that gets free.  After hold_ms the queue waits for it.  */
START_TEST (a_big_one_is_not_passed_for_ever)
{
  csp_waiting_t big
      = { .id = 1000, .organisation = SMALL, .cost_tokens = 40000 };
  csp_waiting_t waiting;
  csp_error_t error;
  bool borrowing;
  uint32_t passed = 0;
  int64_t now_ms;

  csp_set_capacity (queue, 1000000);
  ck_assert (csp_push_waiting (queue, &big, 1000, &error));
  for (now_ms = 1000; now_ms < 5000; now_ms += 100)
    {
      push (LARGEST, 5, 0, now_ms, &error);
      csp_begin_pump (queue, now_ms);
      while (csp_next_waiting (queue, &waiting, &borrowing))
        if (waiting.id == big.id)
          csp_skip_waiting (queue);
        else
          {
            csp_take_waiting (queue, now_ms);
            passed++;
          }
    }
  ck_assert_uint_ge (passed, 15);
  ck_assert_uint_le (passed, 25);
  ck_assert (csp_drop_waiting (queue, SMALL, big.id));
  ck_assert (!csp_drop_waiting (queue, SMALL, big.id));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("queue");
  TCase *tcase = tcase_create ("queue");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, a_small_one_passes_the_largest);
  tcase_add_loop_test (tcase, shares_follow_weights, 0,
                       sizeof weight_rows / sizeof weight_rows[0]);
  tcase_add_test (tcase, the_lowest_is_not_starved);
  tcase_add_test (tcase, too_late_is_told_on_arrival);
  tcase_add_test (tcase, bounds_in_number);
  tcase_add_test (tcase, hopeless_is_answered_before_its_deadline);
  tcase_add_test (tcase, a_start_is_not_taken_for_a_stand_still);
  tcase_add_test (tcase, the_deadline_ends_a_wait);
  tcase_add_test (tcase, what_is_lent_is_taken_back);
  tcase_add_test (tcase, a_big_one_is_not_passed_for_ever);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
