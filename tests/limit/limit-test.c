#include "cowslipspoke/limit.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>

enum
{
  HOSTS = 12,
  RATE = 12000
};

static csp_limit_t limits[HOSTS];
static double published[HOSTS];
static int64_t received_ms[HOSTS][HOSTS];
static double received[HOSTS][HOSTS];

static void
set_up (void)
{
  csp_limit_policy_t policy = csp_default_limit_policy ();
  int i;

  for (i = 0; i < HOSTS; i++)
    csp_init_limit (&limits[i], &policy, RATE, 0, HOSTS, 1000);
}

/* Simulates one round of a second: hosts request their demand in small streams
   and receive the published demands of their side of a partition.  Hosts
   [0, split) are one side.  listed is false if the host list is partitioned as
   well.  Returns the total of admitted tokens.  */
static double
simulate_round (const double demand[HOSTS], int split, bool listed,
                int64_t now_ms)
{
  csp_limit_peer_t peers[HOSTS];
  double admitted = 0;
  uint32_t retry_after_ms;
  uint32_t count;
  int requested;
  int i;
  int j;

  for (i = 0; i < HOSTS; i++)
    for (requested = 0; requested < demand[i]; requested += 100)
      if (csp_admit_limited_stream (
              &limits[i], 100,
              now_ms + (int64_t)(1000.0 * requested / demand[i]),
              &retry_after_ms))
        {
          csp_end_limited_stream (&limits[i], 100, 100);
          admitted += 100;
        }
  for (i = 0; i < HOSTS; i++)
    published[i] = csp_publish_demand (&limits[i]);
  for (i = 0; i < HOSTS; i++)
    {
      count = 0;
      for (j = 0; j < HOSTS; j++)
        {
          if (j == i || (!listed && (i < split) != (j < split)))
            continue;
          if ((i < split) == (j < split))
            {
              received[i][j] = published[j];
              received_ms[i][j] = now_ms;
            }
          peers[count].demand = received[i][j];
          peers[count++].age_ms = (uint32_t)(now_ms - received_ms[i][j]);
        }
      csp_update_limit_share (&limits[i], peers, count);
    }
  return admitted;
}

static double
simulate_rounds (const double demand[HOSTS], int split, bool listed,
                 int64_t from_ms, int rounds)
{
  double max_admitted = 0;
  double admitted;
  int i;

  for (i = 0; i < rounds; i++)
    {
      admitted = simulate_round (demand, split, listed, from_ms + 1000 * i);
      if (i >= rounds / 2 && admitted > max_admitted)
        max_admitted = admitted;
    }
  return max_admitted;
}

static const double all_even[HOSTS] = { 3000, 3000, 3000, 3000, 3000, 3000,
                                        3000, 3000, 3000, 3000, 3000, 3000 };
static const double all_at_one[HOSTS] = { 36000 };
static const double both_sides[HOSTS] = { [0] = 36000, [6] = 36000 };

/* An organisation sends three times its limit, through all twelve hosts or
   through one.  Guards against admitting twelve times the limit or a twelfth
   of it.  */
static const struct
{
  const double *demand;
  double min_share;
} demand_rows[] = { { all_even, 0.95 }, { all_at_one, 0.8 } };

START_TEST (the_limit_holds_wherever_the_load_arrives)
{
  double max_admitted
      = simulate_rounds (demand_rows[_i].demand, 0, true, 2000, 60);

  ck_assert_double_le (max_admitted, RATE * 1.05);
  ck_assert_double_ge (max_admitted, RATE * demand_rows[_i].min_share);
}
END_TEST

/* The hosts are partitioned in two, and load starts on the other side as well.
   The host list still has both sides, so the shares don't rise and the limit
   isn't exceeded.  After the partition the limit is used again.  */
START_TEST (a_partition_exceeds_nothing_while_all_are_listed)
{
  double max_admitted;

  simulate_rounds (all_at_one, 0, true, 2000, 30);
  max_admitted = simulate_rounds (both_sides, 6, true, 32000, 60);
  ck_assert_double_le (max_admitted, RATE * 1.05);
  max_admitted = simulate_rounds (both_sides, 0, true, 92000, 40);
  ck_assert_double_ge (max_admitted, RATE * 0.75);
}
END_TEST

/* If the host list is partitioned as well, each side admits the whole limit:
   at most twice the limit in all.  */
START_TEST (a_partitioned_list_exceeds_by_its_sides)
{
  double max_admitted;

  simulate_rounds (all_even, 0, true, 2000, 30);
  max_admitted = simulate_rounds (all_even, 6, false, 32000, 60);
  ck_assert_double_gt (max_admitted, RATE * 1.5);
  ck_assert_double_le (max_admitted, RATE * 2.05);
}
END_TEST

/* Streams beyond the limit of open streams are refused with a retry time.  */
START_TEST (open_streams_are_limited)
{
  csp_limit_policy_t policy = csp_default_limit_policy ();
  csp_limit_t limit;
  uint32_t retry_after_ms = 0;

  csp_init_limit (&limit, &policy, 0, 2, 1, 1000);
  ck_assert (csp_admit_limited_stream (&limit, 100, 1000, &retry_after_ms));
  ck_assert (csp_admit_limited_stream (&limit, 100, 1000, &retry_after_ms));
  ck_assert (!csp_admit_limited_stream (&limit, 100, 1000, &retry_after_ms));
  ck_assert_uint_gt (retry_after_ms, 0);
  csp_end_limited_stream (&limit, 100, 100);
  ck_assert (csp_admit_limited_stream (&limit, 100, 1000, &retry_after_ms));
}
END_TEST

START_TEST (tokens_used_without_a_rate_are_not_charged)
{
  csp_limit_policy_t policy = csp_default_limit_policy ();
  csp_limit_t limit;
  uint32_t retry_after_ms = 0;

  csp_init_limit (&limit, &policy, 0, 2, 1, 1000);
  ck_assert (csp_admit_limited_stream (&limit, 100, 1000, &retry_after_ms));
  csp_end_limited_stream (&limit, 100, 1000000);
  csp_update_limit (&limit, 100, 2);
  ck_assert (csp_admit_limited_stream (&limit, 250, 1000, &retry_after_ms));
  ck_assert (!csp_admit_limited_stream (&limit, 100, 1000, &retry_after_ms));
}
END_TEST

/* Tokens of an answer beyond its estimate are charged to later requests.  */
START_TEST (long_answers_are_charged)
{
  csp_limit_policy_t policy = csp_default_limit_policy ();
  csp_limit_t limit;
  uint32_t retry_after_ms = 0;

  csp_init_limit (&limit, &policy, 100, 0, 1, 1000);
  ck_assert (csp_admit_limited_stream (&limit, 100, 1000, &retry_after_ms));
  csp_end_limited_stream (&limit, 100, 1200);
  ck_assert (!csp_admit_limited_stream (&limit, 100, 2000, &retry_after_ms));
  ck_assert_uint_ge (retry_after_ms, 8000);
  ck_assert_uint_le (retry_after_ms, 10001);
  ck_assert (csp_admit_limited_stream (
      &limit, 100, 2000 + retry_after_ms + 100, &retry_after_ms));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("limit");
  TCase *tcase = tcase_create ("limit");

  tcase_add_checked_fixture (tcase, set_up, NULL);
  tcase_add_loop_test (tcase, the_limit_holds_wherever_the_load_arrives, 0,
                       sizeof demand_rows / sizeof demand_rows[0]);
  tcase_add_test (tcase, a_partition_exceeds_nothing_while_all_are_listed);
  tcase_add_test (tcase, a_partitioned_list_exceeds_by_its_sides);
  tcase_add_test (tcase, open_streams_are_limited);
  tcase_add_test (tcase, tokens_used_without_a_rate_are_not_charged);
  tcase_add_test (tcase, long_answers_are_charged);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
