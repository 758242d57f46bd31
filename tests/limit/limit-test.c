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
static int64_t heard_ms[HOSTS][HOSTS];
static double heard[HOSTS][HOSTS];

static void
set_up (void)
{
  csp_limit_policy_t policy = csp_default_limit_policy ();
  int i;

  for (i = 0; i < HOSTS; i++)
    csp_open_limit (&limits[i], &policy, RATE, 0, HOSTS, 1000);
}

/* One round of a second: hosts ask for their demand in small requests and
   hear of the others on their side of a cut; hosts [0, cut) are one side.
   listed is false where the host list dropped the other side as well.
   Returns the tokens that were let through in all.  */
static double
play_round (const double demand[HOSTS], int cut, bool listed, int64_t now_ms)
{
  csp_limit_peer_t peers[HOSTS];
  double through = 0;
  uint32_t after;
  uint32_t count;
  int asked;
  int i;
  int j;

  for (i = 0; i < HOSTS; i++)
    for (asked = 0; asked < demand[i]; asked += 100)
      if (csp_open_limited (&limits[i], 100,
                            now_ms + (int64_t)(1000.0 * asked / demand[i]),
                            &after))
        {
          csp_close_limited (&limits[i], 100, 100);
          through += 100;
        }
  for (i = 0; i < HOSTS; i++)
    published[i] = csp_publish_demand (&limits[i]);
  for (i = 0; i < HOSTS; i++)
    {
      count = 0;
      for (j = 0; j < HOSTS; j++)
        {
          if (j == i || (!listed && (i < cut) != (j < cut)))
            continue;
          if ((i < cut) == (j < cut))
            {
              heard[i][j] = published[j];
              heard_ms[i][j] = now_ms;
            }
          peers[count].demand = heard[i][j];
          peers[count++].age_ms = (uint32_t)(now_ms - heard_ms[i][j]);
        }
      csp_share_limit (&limits[i], peers, count);
    }
  return through;
}

static double
play_rounds (const double demand[HOSTS], int cut, bool listed, int64_t from_ms,
             int rounds)
{
  double most = 0;
  double through;
  int i;

  for (i = 0; i < rounds; i++)
    {
      through = play_round (demand, cut, listed, from_ms + 1000 * i);
      if (i >= rounds / 2 && through > most)
        most = through;
    }
  return most;
}

static const double all_even[HOSTS] = { 3000, 3000, 3000, 3000, 3000, 3000,
                                        3000, 3000, 3000, 3000, 3000, 3000 };
static const double all_at_one[HOSTS] = { 36000 };
static const double both_sides[HOSTS] = { [0] = 36000, [6] = 36000 };

/* An organisation sends three times its limit.  Through all hosts or through
   one, it gets its limit: not twelve times, and not a twelfth.  */
static const struct
{
  const double *demand;
  double least;
} demand_rows[] = { { all_even, 0.95 }, { all_at_one, 0.8 } };

START_TEST (the_limit_holds_wherever_the_load_comes_in)
{
  double most = play_rounds (demand_rows[_i].demand, 0, true, 2000, 60);

  ck_assert_double_le (most, RATE * 1.05);
  ck_assert_double_ge (most, RATE * demand_rows[_i].least);
}
END_TEST

/* The hosts are cut in two, and load begins on the other side as well.  Each
   side knows that the other is still listed, so it keeps to its share, and
   the limit isn't exceeded.  Afterwards the load is served in full again.  */
START_TEST (a_split_exceeds_nothing_while_all_are_listed)
{
  double most;

  play_rounds (all_at_one, 0, true, 2000, 30);
  most = play_rounds (both_sides, 6, true, 32000, 60);
  ck_assert_double_le (most, RATE * 1.05);
  most = play_rounds (both_sides, 0, true, 92000, 40);
  ck_assert_double_ge (most, RATE * 0.75);
}
END_TEST

/* When the host list splits as well, each side serves the whole limit: twice
   in all, as stated, and no more.  */
START_TEST (a_split_list_exceeds_by_its_sides)
{
  double most;

  play_rounds (all_even, 0, true, 2000, 30);
  most = play_rounds (all_even, 6, false, 32000, 60);
  ck_assert_double_gt (most, RATE * 1.5);
  ck_assert_double_le (most, RATE * 2.05);
}
END_TEST

/* A bound on open streams, with the time to come back.  */
START_TEST (open_streams_are_bounded)
{
  csp_limit_policy_t policy = csp_default_limit_policy ();
  csp_limit_t limit;
  uint32_t after = 0;

  csp_open_limit (&limit, &policy, 0, 2, 1, 1000);
  ck_assert (csp_open_limited (&limit, 100, 1000, &after));
  ck_assert (csp_open_limited (&limit, 100, 1000, &after));
  ck_assert (!csp_open_limited (&limit, 100, 1000, &after));
  ck_assert_uint_gt (after, 0);
  csp_close_limited (&limit, 100, 100);
  ck_assert (csp_open_limited (&limit, 100, 1000, &after));
}
END_TEST

/* An answer much longer than guessed is paid for by what comes later.  */
START_TEST (what_ran_without_a_rate_is_no_debt)
{
  csp_limit_policy_t policy = csp_default_limit_policy ();
  csp_limit_t limit;
  uint32_t after = 0;

  csp_open_limit (&limit, &policy, 0, 2, 1, 1000);
  ck_assert (csp_open_limited (&limit, 100, 1000, &after));
  csp_close_limited (&limit, 100, 1000000);
  csp_change_limit (&limit, 100, 2);
  ck_assert (csp_open_limited (&limit, 250, 1000, &after));
  ck_assert (!csp_open_limited (&limit, 100, 1000, &after));
}
END_TEST

START_TEST (long_answers_are_charged)
{
  csp_limit_policy_t policy = csp_default_limit_policy ();
  csp_limit_t limit;
  uint32_t after = 0;

  csp_open_limit (&limit, &policy, 100, 0, 1, 1000);
  ck_assert (csp_open_limited (&limit, 100, 1000, &after));
  csp_close_limited (&limit, 100, 1200);
  ck_assert (!csp_open_limited (&limit, 100, 2000, &after));
  ck_assert_uint_ge (after, 8000);
  ck_assert_uint_le (after, 10001);
  ck_assert (csp_open_limited (&limit, 100, 2000 + after + 100, &after));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("limit");
  TCase *tcase = tcase_create ("limit");

  tcase_add_checked_fixture (tcase, set_up, NULL);
  tcase_add_loop_test (tcase, the_limit_holds_wherever_the_load_comes_in, 0,
                       sizeof demand_rows / sizeof demand_rows[0]);
  tcase_add_test (tcase, a_split_exceeds_nothing_while_all_are_listed);
  tcase_add_test (tcase, a_split_list_exceeds_by_its_sides);
  tcase_add_test (tcase, open_streams_are_bounded);
  tcase_add_test (tcase, what_ran_without_a_rate_is_no_debt);
  tcase_add_test (tcase, long_answers_are_charged);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
