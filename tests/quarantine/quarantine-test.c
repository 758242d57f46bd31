#include "cowslipspoke/quarantine.h"
#include "cowslipspoke/random.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* Quarantine of requests that crash targets, without a network.  */

enum
{
  REQUEST = 77,
  OTHER = 78,
  HOLD_MS = 300000,
  RECENTLY_SERVED_MS = 60000,
  FORGET_MS = 600000
};

static csp_quarantine_t *here;
static csp_quarantine_t *there;

static void
set_up (void)
{
  here = csp_create_quarantine ();
  there = csp_create_quarantine ();
}

static void
tear_down (void)
{
  csp_destroy_quarantine (here);
  csp_destroy_quarantine (there);
}

/* Strikes and successes with their times, and the hold that results.  */
typedef struct
{
  uint64_t target; /* 0: a successful answer */
  int64_t at_ms;
} step_t;

static const struct
{
  const char *name;
  step_t steps[6];
  int64_t checked_at_ms;
  uint32_t left_ms;
} strike_cases[] = {
  { "none", { { 0, 0 } }, 10, 0 },
  { "two targets", { { 1, 10 }, { 2, 20 } }, 30, 0 },
  { "one target three times", { { 1, 10 }, { 1, 20 }, { 1, 30 } }, 30, 0 },
  { "three targets", { { 1, 10 }, { 2, 20 }, { 3, 30 } }, 30, HOLD_MS },
  { "some time later",
    { { 1, 10 }, { 2, 20 }, { 3, 30 } },
    130,
    HOLD_MS - 100 },
  { "the hold is over", { { 1, 10 }, { 2, 20 }, { 3, 30 } }, HOLD_MS + 30, 0 },
  { "a request in flight ends a fourth",
    { { 1, 10 }, { 2, 20 }, { 3, 30 }, { 4, 90 } },
    100,
    HOLD_MS - 10 },
  { "a fourth ends after the hold",
    { { 1, 10 }, { 2, 20 }, { 3, 30 }, { 4, HOLD_MS + 100 } },
    HOLD_MS + 100,
    2 * HOLD_MS },
  { "a success in between",
    { { 1, RECENTLY_SERVED_MS },
      { 2, RECENTLY_SERVED_MS + 1 },
      { 0, RECENTLY_SERVED_MS + 2 },
      { 3, 2 * RECENTLY_SERVED_MS + 3 } },
    2 * RECENTLY_SERVED_MS + 4,
    0 },
  { "a success clears all strikes",
    { { 1, 10 }, { 2, 20 }, { 3, 30 }, { 0, 40 } },
    50,
    0 },
  { "served recently, then three targets at once",
    { { 0, 10 }, { 1, 20 }, { 2, 20 }, { 3, 20 } },
    30,
    0 },
  { "served long ago",
    { { 0, 10 },
      { 1, RECENTLY_SERVED_MS + 10 },
      { 2, RECENTLY_SERVED_MS + 20 },
      { 3, RECENTLY_SERVED_MS + 30 } },
    RECENTLY_SERVED_MS + 30,
    HOLD_MS },
};

START_TEST (three_ended_targets_quarantine_a_request)
{
  const step_t *step;
  uint32_t left_ms;

  for (step = strike_cases[_i].steps; step->at_ms > 0; step++)
    if (step->target == 0)
      csp_clear_request (here, REQUEST, step->at_ms);
    else
      csp_add_request_strike (here, REQUEST, step->target, step->at_ms);
  left_ms
      = csp_quarantine_left_ms (here, REQUEST, strike_cases[_i].checked_at_ms);
  ck_assert_msg (left_ms == strike_cases[_i].left_ms, "%s: %u",
                 strike_cases[_i].name, left_ms);
  ck_assert_uint_eq (
      csp_quarantine_left_ms (here, OTHER, strike_cases[_i].checked_at_ms), 0);
}
END_TEST

/* Merges into `to` the suspect that `from` would list in a hello.  */
static csp_suspect_change_t
merge_hello (csp_quarantine_t *from, csp_quarantine_t *to, int64_t now_ms)
{
  csp_suspect_t listed[1];

  if (csp_list_suspects_for_hello (from, listed, 1, now_ms) == 0)
    return CSP_SUSPECT_UNCHANGED;
  return csp_merge_suspect (to, listed, now_ms);
}

START_TEST (strikes_of_several_hosts_add_up)
{
  csp_add_request_strike (here, REQUEST, 1, 10);
  csp_add_request_strike (there, REQUEST, 2, 20);
  csp_add_request_strike (there, REQUEST, 1, 20);
  ck_assert_int_eq (merge_hello (there, here, 30), CSP_SUSPECT_STRIKE_ADDED);
  ck_assert_int_eq (merge_hello (here, there, 30), CSP_SUSPECT_UNCHANGED);
  csp_add_request_strike (here, REQUEST, 3, 40);
  ck_assert_int_eq (merge_hello (here, there, 40), CSP_SUSPECT_QUARANTINED);
  ck_assert_uint_eq (csp_quarantine_left_ms (there, REQUEST, 40), HOLD_MS);
}
END_TEST

/* Guards against a host that loses its quarantines when its process restarts:
   the first hello restores them.  */
START_TEST (a_restarted_host_learns_of_a_quarantine)
{
  csp_add_request_strike (here, REQUEST, 1, 10);
  csp_add_request_strike (here, REQUEST, 2, 10);
  csp_add_request_strike (here, REQUEST, 3, 10);
  ck_assert_int_eq (merge_hello (here, there, 5010), CSP_SUSPECT_QUARANTINED);
  ck_assert_uint_eq (csp_quarantine_left_ms (there, REQUEST, 5010),
                     HOLD_MS - 5000);
}
END_TEST

/* Guards against a doubled hold that the fleet loses as its hosts restart one
   by one.  */
START_TEST (a_restarted_host_learns_of_a_doubled_hold)
{
  const int64_t first_trial_ms = HOLD_MS + 100;
  const int64_t second_trial_ms = first_trial_ms + 2 * HOLD_MS + 100;

  csp_add_request_strike (here, REQUEST, 1, 10);
  csp_add_request_strike (here, REQUEST, 2, 10);
  csp_add_request_strike (here, REQUEST, 3, 10);
  csp_add_request_strike (here, REQUEST, 4, first_trial_ms);
  csp_add_request_strike (here, REQUEST, 5, second_trial_ms);
  ck_assert_int_eq (merge_hello (here, there, second_trial_ms + FORGET_MS + 1),
                    CSP_SUSPECT_QUARANTINED);
  ck_assert_uint_eq (
      csp_quarantine_left_ms (there, REQUEST, second_trial_ms + FORGET_MS + 1),
      4 * HOLD_MS - FORGET_MS - 1);
}
END_TEST

/* Guards against a hold that never expires: a strike looks newer at the
   receiver by the network delay each time that hosts pass it on.  */
START_TEST (a_hold_is_not_extended_by_relayed_reports)
{
  const int64_t delay_ms = 3;
  int64_t now_ms = 10;
  csp_suspect_t listed;

  csp_add_request_strike (here, REQUEST, 1, now_ms);
  csp_add_request_strike (here, REQUEST, 2, now_ms);
  csp_add_request_strike (here, REQUEST, 3, now_ms);
  csp_add_request_strike (there, REQUEST, 4, now_ms);
  csp_add_request_strike (there, REQUEST, 5, now_ms);
  csp_add_request_strike (there, REQUEST, 6, now_ms);
  while (now_ms < HOLD_MS)
    {
      csp_list_suspects_for_hello (here, &listed, 1, now_ms);
      now_ms += delay_ms;
      csp_merge_suspect (there, &listed, now_ms);
      csp_list_suspects_for_hello (there, &listed, 1, now_ms);
      now_ms += delay_ms;
      csp_merge_suspect (here, &listed, now_ms);
    }
  ck_assert_uint_eq (csp_quarantine_left_ms (here, REQUEST, HOLD_MS + 1010),
                     0);
  ck_assert_uint_eq (csp_quarantine_left_ms (there, REQUEST, HOLD_MS + 1010),
                     0);
}
END_TEST

/* Guards against a host that starts while targets end and receives the single
   strikes of all their requests before it learns of the quarantine.  */
START_TEST (hellos_list_quarantined_before_recent_strikes)
{
  csp_suspect_t listed[2];
  uint64_t i;

  for (i = 0; i < 100; i++)
    csp_add_request_strike (here, 1000 + i, 1, 10);
  csp_add_request_strike (here, REQUEST, 1, 10);
  csp_add_request_strike (here, REQUEST, 2, 10);
  csp_add_request_strike (here, REQUEST, 3, 10);
  for (i = 0; i < 10; i++)
    {
      ck_assert_uint_eq (csp_list_suspects_for_hello (here, listed, 2, 20), 2);
      ck_assert_uint_eq (listed[0].request, REQUEST);
      ck_assert_uint_eq (listed[1].request, 1000 + i);
    }
}
END_TEST

START_TEST (a_recently_served_request_gets_no_strike)
{
  csp_clear_request (there, REQUEST, 5);
  csp_add_request_strike (here, REQUEST, 1, 10);
  ck_assert_int_eq (merge_hello (here, there, 20),
                    CSP_SUSPECT_RECENTLY_SERVED);
  ck_assert (csp_clear_request (here, REQUEST, 21));
  ck_assert_uint_eq (csp_count_suspects (here), 0);
}
END_TEST

START_TEST (only_a_host_that_reported_strikes_reports_the_success)
{
  csp_add_request_strike (here, REQUEST, 1, 10);
  merge_hello (here, there, 20);
  ck_assert (!csp_clear_request (there, REQUEST, 30));
  ck_assert (!csp_clear_request (there, REQUEST, 31));
  ck_assert (csp_clear_request (here, REQUEST, 32));
  ck_assert (!csp_clear_request (here, REQUEST, 33));
}
END_TEST

START_TEST (a_new_strike_is_broadcast_twice)
{
  csp_suspect_t listed[2];
  int i;

  csp_add_request_strike (here, REQUEST, 1, 10);
  for (i = 0; i < CSP_SUSPECT_BROADCASTS; i++)
    ck_assert_uint_eq (csp_take_suspects_to_broadcast (here, listed, 2, 20),
                       1);
  ck_assert_uint_eq (csp_take_suspects_to_broadcast (here, listed, 2, 30), 0);
  ck_assert_uint_eq (listed[0].request, REQUEST);
  ck_assert_uint_eq (listed[0].age_ms, 10);
}
END_TEST

/* Guards against a caller who provokes many single strikes to evict a
   quarantined request from the table.  */
START_TEST (single_strikes_do_not_evict_a_quarantine)
{
  uint64_t i;

  csp_add_request_strike (here, REQUEST, 1, 10);
  csp_add_request_strike (here, REQUEST, 2, 10);
  csp_add_request_strike (here, REQUEST, 3, 10);
  for (i = 0; i < 10 * CSP_SUSPECTS_MAX; i++)
    csp_add_request_strike (here, 1000 + i, 1, 20 + (int64_t)i);
  ck_assert_uint_le (csp_count_suspects (here), CSP_SUSPECTS_MAX);
  ck_assert_uint_gt (csp_quarantine_left_ms (here, REQUEST, 20), 0);
}
END_TEST

START_TEST (old_suspects_expire)
{
  csp_add_request_strike (here, REQUEST, 1, 10);
  csp_expire_suspects (here, FORGET_MS + 9);
  ck_assert_uint_eq (csp_count_suspects (here), 1);
  csp_expire_suspects (here, FORGET_MS + 10);
  ck_assert_uint_eq (csp_count_suspects (here), 0);
}
END_TEST

/* Reports that are empty or impossible.  */
static const csp_suspect_t malformed_reports[] = {
  { .request = 0, .strike_count = 1, .targets = { 1 } },
  { .request = REQUEST, .strike_count = 0 },
  { .request = REQUEST,
    .strike_count = 3,
    .targets = { 1, 2, 3 },
    .age_ms = UINT32_MAX },
  { .request = REQUEST, .strike_count = 3, .targets = { 1, 1, 1 } },
};

START_TEST (a_malformed_report_quarantines_nothing)
{
  csp_merge_suspect (here, &malformed_reports[_i], 1000000);
  ck_assert_uint_eq (csp_quarantine_left_ms (here, REQUEST, 1000000), 0);
}
END_TEST

/* A seeded simulation: a request that crashes every target is retried through
   random hosts, which restart, are partitioned and lose messages.  */
enum
{
  SIM_HOSTS = 9,
  SIM_MS = 90000,
  STEP_MS = 10,
  HELLO_MS = 500,
  CONTACT_MS = 3000,
  RETRIES_MAX = 3,
  RUNS_MAX = 64,
  SIM_SEEDS = 40
};

typedef struct
{
  csp_quarantine_t *quarantine;
  int64_t last_fault_ms; /* end of its last partition, or its last restart */
  int64_t partitioned_until_ms;
} sim_host_t;

typedef struct
{
  int host;
  uint64_t target;
  int64_t ends_ms; /* 0: unused */
} sim_run_t;

typedef struct
{
  sim_host_t hosts[SIM_HOSTS];
  sim_run_t runs[RUNS_MAX];
  csp_random_t random;
  uint64_t next_target;
  int64_t next_request_ms;
  int crashes;
  int64_t third_crash_ms; /* when the third target ended; 0: not yet */
  int late_sends; /* by a host in contact, well after the third crash */
} sim_t;

static int64_t
draw_between (sim_t *sim, int64_t min, int64_t max)
{
  return min
         + (int64_t)(csp_random_unit (&sim->random) * (double)(max - min + 1));
}

static bool
is_partitioned (const sim_host_t *host, int64_t now_ms)
{
  return now_ms < host->partitioned_until_ms;
}

static void
deliver (sim_t *sim, int from, int to, const csp_suspect_t *report,
         int64_t now_ms)
{
  if (from != to && !is_partitioned (&sim->hosts[from], now_ms)
      && !is_partitioned (&sim->hosts[to], now_ms)
      && draw_between (sim, 0, 9) > 0)
    csp_merge_suspect (sim->hosts[to].quarantine, report, now_ms);
}

static void
exchange_reports (sim_t *sim, int from, int64_t now_ms)
{
  csp_suspect_t reports[1];
  int to;

  while (csp_take_suspects_to_broadcast (sim->hosts[from].quarantine, reports,
                                         1, now_ms)
         > 0)
    for (to = 0; to < SIM_HOSTS; to++)
      deliver (sim, from, to, reports, now_ms);
  if (now_ms % HELLO_MS == 0
      && csp_list_suspects_for_hello (sim->hosts[from].quarantine, reports, 1,
                                      now_ms)
             > 0)
    deliver (sim, from, (int)draw_between (sim, 0, SIM_HOSTS - 1), reports,
             now_ms);
}

static void
inject_fault (sim_t *sim, int64_t now_ms)
{
  sim_host_t *host = &sim->hosts[draw_between (sim, 0, SIM_HOSTS - 1)];

  if (draw_between (sim, 0, 400) > 0)
    return;
  host->last_fault_ms = now_ms;
  if (draw_between (sim, 0, 1) > 0)
    {
      host->partitioned_until_ms = now_ms + draw_between (sim, 500, 5000);
      host->last_fault_ms = host->partitioned_until_ms;
      return;
    }
  csp_destroy_quarantine (host->quarantine);
  host->quarantine = csp_create_quarantine ();
}

static void
send_request (sim_t *sim, int64_t now_ms)
{
  int at = (int)draw_between (sim, 0, SIM_HOSTS - 1);
  const sim_host_t *host = &sim->hosts[at];
  int i;

  sim->next_request_ms = now_ms + draw_between (sim, 100, 1500);
  if (csp_quarantine_left_ms (host->quarantine, REQUEST, now_ms) > 0)
    return;
  for (i = 0; i < RUNS_MAX; i++)
    if (sim->runs[i].ends_ms == 0)
      {
        sim->runs[i] = (sim_run_t){
          .host = at,
          .target = ++sim->next_target,
          .ends_ms = now_ms + draw_between (sim, 50, 2000),
        };
        break;
      }
  sim->late_sends += sim->third_crash_ms != 0
                     && now_ms - sim->third_crash_ms > CONTACT_MS
                     && now_ms - host->last_fault_ms > CONTACT_MS;
}

static void
end_runs (sim_t *sim, int64_t now_ms)
{
  int i;

  for (i = 0; i < RUNS_MAX; i++)
    {
      sim_run_t *run = &sim->runs[i];

      if (run->ends_ms == 0 || now_ms < run->ends_ms)
        continue;
      run->ends_ms = 0;
      if (++sim->crashes == CSP_STRIKES_MAX)
        sim->third_crash_ms = now_ms;
      csp_add_request_strike (sim->hosts[run->host].quarantine, REQUEST,
                              run->target, now_ms);
    }
}

START_TEST (connected_hosts_do_not_send_a_quarantined_request)
{
  sim_t sim = { .next_request_ms = 1000 };
  int64_t now_ms;
  int i;

  csp_seed_random (&sim.random, (uint64_t)_i + 1);
  for (i = 0; i < SIM_HOSTS; i++)
    sim.hosts[i].quarantine = csp_create_quarantine ();
  for (now_ms = STEP_MS; now_ms < SIM_MS; now_ms += STEP_MS)
    {
      inject_fault (&sim, now_ms);
      end_runs (&sim, now_ms);
      for (i = 0; i < SIM_HOSTS; i++)
        exchange_reports (&sim, i, now_ms);
      if (now_ms >= sim.next_request_ms)
        send_request (&sim, now_ms);
    }
  ck_assert_int_ge (sim.crashes, CSP_STRIKES_MAX);
  ck_assert_msg (sim.late_sends <= RETRIES_MAX,
                 "seed %d: sent %d times too often", _i + 1, sim.late_sends);
  for (i = 0; i < SIM_HOSTS; i++)
    csp_destroy_quarantine (sim.hosts[i].quarantine);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("quarantine");
  TCase *tests = tcase_create ("quarantine");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_loop_test (tests, three_ended_targets_quarantine_a_request, 0,
                       sizeof strike_cases / sizeof strike_cases[0]);
  tcase_add_test (tests, strikes_of_several_hosts_add_up);
  tcase_add_test (tests, a_restarted_host_learns_of_a_quarantine);
  tcase_add_test (tests, a_restarted_host_learns_of_a_doubled_hold);
  tcase_add_test (tests, a_hold_is_not_extended_by_relayed_reports);
  tcase_add_test (tests, hellos_list_quarantined_before_recent_strikes);
  tcase_add_test (tests, a_recently_served_request_gets_no_strike);
  tcase_add_test (tests,
                  only_a_host_that_reported_strikes_reports_the_success);
  tcase_add_test (tests, a_new_strike_is_broadcast_twice);
  tcase_add_test (tests, single_strikes_do_not_evict_a_quarantine);
  tcase_add_test (tests, old_suspects_expire);
  tcase_add_loop_test (tests, a_malformed_report_quarantines_nothing, 0,
                       sizeof malformed_reports / sizeof malformed_reports[0]);
  tcase_add_loop_test (
      tests, connected_hosts_do_not_send_a_quarantined_request, 0, SIM_SEEDS);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
