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
  csp_waiting_request_t waiting = { .id = next_id++,
                                    .organisation = organisation,
                                    .priority = priority,
                                    .memory_tokens = COST,
                                    .cost_tokens = COST,
                                    .start_by_ms = start_by_ms };

  return csp_push_waiting (queue, &waiting, now_ms, error);
}

static bool
take (int64_t now_ms, csp_waiting_request_t *waiting)
{
  bool borrowing;

  csp_begin_pump (queue, now_ms);
  if (!csp_next_waiting (queue, waiting, &borrowing))
    return false;
  csp_take_waiting (queue, now_ms);
  return true;
}

/* Serves the queue at 10 requests a second.  */
static void
serve_for (int64_t from_ms, int64_t until_ms)
{
  csp_waiting_request_t waiting;

  for (; from_ms < until_ms; from_ms += 100)
    if (take (from_ms, &waiting))
      csp_settle_waiting (queue, waiting.organisation, COST, COST, COST,
                          from_ms);
}

/* The largest organisation has sent 500 requests when a small one sends one.
   First come, first served would make the small one wait for all 500.  */
START_TEST (small_organisation_overtakes_largest)
{
  csp_error_t error;
  csp_waiting_request_t waiting;
  uint32_t taken_count = 0;
  uint32_t i;

  for (i = 0; i < 500; i++)
    ck_assert (push (LARGEST, 9, 0, 1000, &error));
  ck_assert (take (1000, &waiting));
  ck_assert (push (SMALL, 0, 0, 1000, &error));
  do
    {
      ck_assert (take (1000, &waiting));
      taken_count++;
    }
  while (waiting.organisation != SMALL);
  ck_assert_uint_le (taken_count, 4);
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
  csp_waiting_request_t waiting;
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

/* An organisation sends urgent requests all the time.  Its background request
   of priority 0 must still be served, once the urgent requests' advance is
   used up.  */
START_TEST (lowest_priority_is_not_starved)
{
  csp_error_t error;
  csp_waiting_request_t waiting = { 0 };
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

/* At saturation a request that can't start in time is refused on arrival, with
   the time after which to retry, as waiting would be useless.  */
START_TEST (unmeetable_deadline_is_refused_on_arrival)
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

START_TEST (waiting_count_is_limited)
{
  csp_error_t error = { 0 };
  uint32_t accepted = 0;

  while (push (LARGEST, 5, 0, 1000, &error))
    accepted++;
  ck_assert_uint_eq (accepted,
                     csp_default_queue_policy ().max_waiting_per_organisation);
  ck_assert_int_eq (error.reason, CSP_REASON_QUEUE_FULL);
  ck_assert (push (SMALL, 5, 0, 1000, &error));
}
END_TEST

/* The targets slow down to a tenth.  Requests that can no longer start in time
   are answered now; kept until their deadline, they would cost their callers
   the time to retry elsewhere.  */
START_TEST (unmeetable_request_expires_before_deadline)
{
  csp_error_t error;
  csp_waiting_request_t waiting;
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

/* A host has just started and its targets are available two seconds later.
   Its first callers must not be refused because nothing was served so far, but
   when nothing is served for long they must be told to retry later.  */
START_TEST (startup_is_not_taken_for_standstill)
{
  csp_waiting_request_t waiting;
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

START_TEST (wait_ends_at_deadline)
{
  csp_error_t error;
  csp_waiting_request_t waiting;

  push (SMALL, 5, 1500, 1000, &error);
  ck_assert (!csp_expire_waiting (queue, 1499, &waiting, &error));
  ck_assert (csp_expire_waiting (queue, 1500, &waiting, &error));
  ck_assert_int_eq (error.reason, CSP_REASON_DEADLINE);
  ck_assert (!csp_expire_waiting (queue, 1500, &waiting, &error));
}
END_TEST

/* The largest organisation may use what others leave, and is reported as a
   borrower, so that it leaves lending_reserve free.  When the small one sends
   again, every second request served is its own, from the first on.  */
START_TEST (lent_share_is_taken_back)
{
  csp_error_t error;
  csp_waiting_request_t waiting;
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

/* Guards against shares of memory that follow what requests are charged: with
   short requests, which are charged little, an organisation could hold all of
   it.  */
START_TEST (memory_in_flight_is_not_the_charge)
{
  static const struct
  {
    uint32_t memory_tokens;
    uint32_t cost_tokens;
  } rows[] = { { 4000, 100 }, { 100, 4000 } };
  csp_waiting_request_t waiting = { .id = 1,
                                    .organisation = SMALL,
                                    .memory_tokens = rows[_i].memory_tokens,
                                    .cost_tokens = rows[_i].cost_tokens };
  csp_error_t error;

  ck_assert (csp_push_waiting (queue, &waiting, 1000, &error));
  ck_assert (take (1000, &waiting));
  ck_assert_uint_eq (csp_queue_in_flight_tokens (queue, SMALL),
                     rows[_i].memory_tokens);
  csp_settle_waiting (queue, SMALL, waiting.memory_tokens, waiting.cost_tokens,
                      waiting.cost_tokens, 2000);
  ck_assert_uint_eq (csp_queue_in_flight_tokens (queue, SMALL), 0);
}
END_TEST

/* A request that needs much memory never gets it, as smaller ones take all
   memory that gets free.  After blocking_after_ms the queue waits for it.  */
START_TEST (large_request_is_not_skipped_forever)
{
  csp_waiting_request_t large = { .id = 1000,
                                  .organisation = SMALL,
                                  .memory_tokens = 40000,
                                  .cost_tokens = 40000 };
  csp_waiting_request_t waiting;
  csp_error_t error;
  bool borrowing;
  uint32_t overtaken = 0;
  int64_t now_ms;

  csp_set_capacity (queue, 1000000);
  ck_assert (csp_push_waiting (queue, &large, 1000, &error));
  for (now_ms = 1000; now_ms < 5000; now_ms += 100)
    {
      push (LARGEST, 5, 0, now_ms, &error);
      csp_begin_pump (queue, now_ms);
      while (csp_next_waiting (queue, &waiting, &borrowing))
        if (waiting.id == large.id)
          csp_skip_waiting (queue);
        else
          {
            csp_take_waiting (queue, now_ms);
            overtaken++;
          }
    }
  ck_assert_uint_ge (overtaken, 15);
  ck_assert_uint_le (overtaken, 25);
  ck_assert (csp_drop_waiting (queue, SMALL, large.id));
  ck_assert (!csp_drop_waiting (queue, SMALL, large.id));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("queue");
  TCase *tcase = tcase_create ("queue");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, small_organisation_overtakes_largest);
  tcase_add_loop_test (tcase, shares_follow_weights, 0,
                       sizeof weight_rows / sizeof weight_rows[0]);
  tcase_add_test (tcase, lowest_priority_is_not_starved);
  tcase_add_test (tcase, unmeetable_deadline_is_refused_on_arrival);
  tcase_add_test (tcase, waiting_count_is_limited);
  tcase_add_test (tcase, unmeetable_request_expires_before_deadline);
  tcase_add_test (tcase, startup_is_not_taken_for_standstill);
  tcase_add_test (tcase, wait_ends_at_deadline);
  tcase_add_test (tcase, lent_share_is_taken_back);
  tcase_add_loop_test (tcase, memory_in_flight_is_not_the_charge, 0, 2);
  tcase_add_test (tcase, large_request_is_not_skipped_forever);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
