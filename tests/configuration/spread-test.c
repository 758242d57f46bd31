#include "support/fleet.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  EVERYWHERE_MS = 10000
};

static fleet_t *
start_fleet (size_t nodes, size_t data_centres, uint64_t seed)
{
  fleet_settings_t settings = { 0 };
  fleet_t *fleet;

  settings.nodes = nodes;
  settings.data_centres = data_centres;
  settings.targets = 2;
  settings.seed = seed;
  settings.delay_ms = 20;
  settings.loss = 0.01;
  settings.list_lag_ms = 3000;
  settings.report_lag_ms = 2000;
  fleet = fleet_create (&settings);
  fleet_start_all (fleet);
  ck_assert (fleet_agrees_on (fleet, fleet->service.revision));
  return fleet;
}

/* All agree on the service's revision in time, and nobody ever went back.  */
static void
finish_fleet (fleet_t *fleet)
{
  int64_t ms
      = fleet_time_to_agree (fleet, fleet->service.revision, EVERYWHERE_MS);

  ck_assert_int_ge (ms, 0);
  ck_assert_uint_eq (fleet->went_back, 0);
  fleet_destroy (fleet);
}

static csp_config_status_t
describe (const fleet_t *fleet, size_t node)
{
  csp_config_status_t status;

  csp_describe_configuration (fleet->nodes[node].configuration, &status);
  return status;
}

typedef struct
{
  size_t nodes;
  size_t data_centres;
  size_t changes_per_s;
} burst_case_t;

static const burst_case_t burst_cases[] = {
  { 9, 4, 1 }, { 9, 4, 50 }, { 36, 3, 10 }, { 36, 3, 50 }, { 110, 10, 50 },
};

/* Operators roll out a large change, tens of revisions a second.  If every
   host read the service at each of them, the reads that everybody shares
   would be used up; so each data centre may read twice a second at most, and
   all hosts have the last revision within ten seconds.  */
START_TEST (bursts_reach_all_with_few_reads)
{
  const burst_case_t *row = &burst_cases[_i];
  fleet_t *fleet = start_fleet (row->nodes, row->data_centres, 7);
  uint64_t reads = fleet->reads;
  size_t s;

  for (s = 0; s < 20; s++)
    {
      fleet_publish (fleet, row->changes_per_s);
      fleet_run (fleet, 1000);
    }
  ck_assert_uint_le (fleet->reads - reads,
                     20 * CSP_READERS * row->data_centres + row->nodes);
  finish_fleet (fleet);
}
END_TEST

/* A host's settings name a peer, since it can't read the host list.  */
static void
name_a_peer (fleet_t *fleet, size_t node, size_t peer)
{
  csp_listed_host_t host = { .address = "127.0.0.1" };

  memcpy (host.name, fleet->nodes[peer].name, sizeof host.name);
  snprintf (host.data_centre, sizeof host.data_centre, "dc-%zu",
            fleet->nodes[peer].data_centre);
  host.peer_port = (uint16_t)(10000 + peer);
  csp_add_known_host (fleet->nodes[node].membership, &host, fleet->now_ms);
}

/* The service goes away, and meanwhile a host is replaced.  The new host can
   read nothing; without its peers it would turn every caller away until the
   service is back.  */
START_TEST (a_new_host_gets_the_configuration_from_peers)
{
  fleet_t *fleet = start_fleet (6, 2, (uint64_t)_i);
  csp_spread_status_t status;

  fleet_kill (fleet, 3);
  fleet_run (fleet, 5000);
  fleet->service_away = true;
  fleet_run (fleet, 20000);
  fleet_start (fleet, 3);
  name_a_peer (fleet, 3, 1);
  fleet_run (fleet, CSP_START_WAIT_MS);
  ck_assert_int_eq (fleet_revision (fleet, 3), fleet->service.revision);
  csp_describe_spread (fleet->nodes[3].spread, &status);
  ck_assert (status.start_over);
  finish_fleet (fleet);
}
END_TEST

/* The service falls back to an old state and answers with it, also to a host
   that starts.  No host may follow it down, and the one that starts gets the
   higher revision from its peers before it serves.  */
START_TEST (a_stale_service_takes_nobody_back)
{
  fleet_t *fleet = start_fleet (6, 2, (uint64_t)_i);
  fleet_service_t old = fleet->service;
  int64_t highest;

  fleet_publish (fleet, 5);
  fleet_run (fleet, EVERYWHERE_MS);
  highest = fleet->service.revision;
  fleet->service = old;
  fleet_kill (fleet, 0);
  fleet_run (fleet, 1000);
  fleet_start (fleet, 0);
  fleet_run (fleet, EVERYWHERE_MS);
  ck_assert (fleet_agrees_on (fleet, highest));
  ck_assert (describe (fleet, 0).service_stale
             || describe (fleet, 2).service_stale
             || describe (fleet, 4).service_stale);
  /* It counts on and reuses five revisions; the sixth is higher.  */
  fleet_publish (fleet, 6);
  fleet_run (fleet, EVERYWHERE_MS);
  ck_assert (fleet_agrees_on (fleet, highest + 1));
  /* What is in force is what the service holds, not a mixture.  */
  fleet_start (fleet, 0);
  finish_fleet (fleet);
}
END_TEST

/* Both readers of a data centre lose the platform, but not their peers.  Were
   the others to wait for them, the data centre would serve by an old
   configuration for as long as the cut lasts.  */
START_TEST (others_read_when_both_readers_lose_the_platform)
{
  fleet_t *fleet = start_fleet (6, 1, (uint64_t)_i);
  csp_spread_status_t status;
  size_t cut = 0;
  size_t i;

  for (i = 0; i < 6; i++)
    {
      csp_describe_spread (fleet->nodes[i].spread, &status);
      fleet->nodes[i].platform_cut = status.reader;
      cut += status.reader;
    }
  ck_assert_uint_eq (cut, CSP_READERS);
  fleet_publish (fleet, 3);
  finish_fleet (fleet);
}
END_TEST

/* Both readers die at once, in the middle of a burst.  */
START_TEST (others_read_when_both_readers_die)
{
  fleet_t *fleet = start_fleet (6, 1, (uint64_t)_i);
  csp_spread_status_t status;
  size_t i;

  for (i = 0; i < 6; i++)
    {
      csp_describe_spread (fleet->nodes[i].spread, &status);
      if (status.reader)
        fleet_kill (fleet, i);
    }
  fleet_publish (fleet, 30);
  finish_fleet (fleet);
}
END_TEST

/* The fleet is split, and only one side reaches the platform; changes go on.
   The other side serves on what it has, and follows when the split ends.  */
START_TEST (both_sides_of_a_partition_go_forward_only)
{
  fleet_t *fleet = start_fleet (8, 2, (uint64_t)_i);
  int64_t before = fleet->service.revision;
  size_t i;

  fleet_split (fleet, 4, true);
  for (i = 4; i < 8; i++)
    fleet->nodes[i].platform_cut = true;
  for (i = 0; i < 10; i++)
    {
      fleet_publish (fleet, 3);
      fleet_run (fleet, 2000);
    }
  for (i = 4; i < 8; i++)
    ck_assert_int_eq (fleet_revision (fleet, i), before);
  fleet_split (fleet, 4, false);
  /* Still without the platform: the other side brings it.  Silent hosts are
     asked every five seconds.  */
  fleet_run (fleet, CSP_READ_RETRY_MS);
  finish_fleet (fleet);
}
END_TEST

/* The platform is restored and counts on under revisions that were used
   before, while one data centre can't see it.  Two contents then stand under
   one number.  Each host that meets the other content counts it, and the next
   revision, read whole, ends it.  */
START_TEST (two_contents_of_one_revision_are_noticed_and_end)
{
  fleet_t *fleet = start_fleet (6, 2, (uint64_t)_i);
  csp_spread_status_t status;
  fleet_service_t fork = fleet->service;
  size_t conflicts = 0;
  size_t i;

  for (i = 0; i < 6; i++)
    fleet->nodes[i].platform_cut = i % 2 == 1;
  for (i = 0; i < 36; i++)
    fleet->cuts[i / 6][i % 6] = i / 6 % 2 != i % 6 % 2;
  fleet_publish_value (fleet, 1, 11);
  fleet_run (fleet, EVERYWHERE_MS);
  fleet->service = fork;
  fleet_publish_value (fleet, 2, 22);
  for (i = 0; i < 6; i++)
    fleet->nodes[i].platform_cut = i % 2 == 0;
  fleet_run (fleet, EVERYWHERE_MS + CSP_READ_RETRY_MS);
  memset (fleet->cuts, 0, sizeof fleet->cuts);
  for (i = 0; i < 6; i++)
    fleet->nodes[i].platform_cut = false;
  fleet_run (fleet, 70000);
  for (i = 0; i < 6; i++)
    {
      csp_describe_spread (fleet->nodes[i].spread, &status);
      conflicts += status.peer_conflicts;
    }
  ck_assert_uint_gt (conflicts, 0);
  ck_assert (!fleet_agrees_on (fleet, fork.revision + 1));
  fleet_publish_value (fleet, 3, 33);
  finish_fleet (fleet);
}
END_TEST

/* An operator publishes a value that no host can use.  Each host goes on with
   the last good revision, and each can show the fault, also those that do not
   read the service themselves.  */
START_TEST (every_host_shows_the_fault_of_a_bad_revision)
{
  fleet_t *fleet = start_fleet (8, 2, (uint64_t)_i);
  int64_t good = fleet->service.revision;
  uint64_t reads;
  size_t i;

  fleet_publish_value (fleet, 5, FLEET_BAD_VALUE);
  fleet_run (fleet, EVERYWHERE_MS);
  reads = fleet->reads;
  for (i = 0; i < 8; i++)
    {
      ck_assert_int_eq (describe (fleet, i).revision, good);
      ck_assert_int_eq (describe (fleet, i).refused_revision, good + 1);
      ck_assert_ptr_nonnull (strstr (describe (fleet, i).fault, "o5"));
    }
  /* The bad revision does not make the watch spin.  */
  fleet_run (fleet, 20000);
  ck_assert_uint_le (fleet->reads - reads, 2 * CSP_READERS * 6);
  fleet_publish_value (fleet, 5, 5);
  finish_fleet (fleet);
}
END_TEST

/* A peer's answer comes after it was given up, and once more after the next
   question.  Taken for the answer to that, it would close the wrong
   question, and a delta would meet a base it was not made for.  */
START_TEST (crossed_answers_are_dropped)
{
  fleet_t *fleet = start_fleet (2, 1, 1);
  csp_spread_t *spread = fleet->nodes[0].spread;
  csp_spread_peer_t peer
      = { .name = "h1", .same_data_centre = true, .revision = 1000 };
  csp_config_delta_t delta = { .base = 0, .revision = 5000, .full = true };
  csp_spread_actions_t actions;
  csp_spread_status_t status;
  uint64_t first = 0;

  fleet->now_ms += CSP_PULL_GAP_MS;
  csp_tick_spread (spread, &peer, 1, 1, fleet->now_ms, &actions);
  while (actions.count > 0 && actions.items[0].kind != CSP_SPREAD_PULL_PEER)
    actions.items[0] = actions.items[--actions.count];
  ck_assert_uint_eq (actions.count, 1);
  first = actions.items[0].id;
  fleet->now_ms += CSP_PULL_TIMEOUT_MS;
  csp_tick_spread (spread, &peer, 1, 1, fleet->now_ms, &actions);
  ck_assert_int_eq (
      csp_handle_pull (spread, first, &delta, 0, "", fleet->now_ms),
      CSP_CONFIG_SAME);
  csp_describe_spread (spread, &status);
  ck_assert_uint_eq (status.crossed_answers, 1);
  ck_assert_int_eq (fleet_revision (fleet, 0), fleet->service.revision);
  fleet_destroy (fleet);
}
END_TEST

/* Two random faults at a time: hosts die, start, sleep, links and platform
   are cut, while changes go on.  */
START_TEST (random_faults_never_take_a_host_back)
{
  fleet_t *fleet
      = start_fleet (_i % 2 == 0 ? 6 : 9, _i % 3 == 0 ? 3 : 1, (uint64_t)_i);

  fleet_break_things (fleet, 12, true);
  fleet_run (fleet, CSP_READ_RETRY_MS + 1000);
  fleet_publish (fleet, 3);
  finish_fleet (fleet);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("spread");
  TCase *tcase = tcase_create ("spread");

  tcase_set_timeout (tcase, 120);
  tcase_add_loop_test (tcase, bursts_reach_all_with_few_reads, 0,
                       sizeof burst_cases / sizeof *burst_cases);
  tcase_add_loop_test (tcase, a_new_host_gets_the_configuration_from_peers, 0,
                       5);
  tcase_add_loop_test (tcase, a_stale_service_takes_nobody_back, 0, 5);
  tcase_add_loop_test (tcase, others_read_when_both_readers_lose_the_platform,
                       0, 5);
  tcase_add_loop_test (tcase, others_read_when_both_readers_die, 0, 5);
  tcase_add_loop_test (tcase, both_sides_of_a_partition_go_forward_only, 0, 5);
  tcase_add_loop_test (tcase, two_contents_of_one_revision_are_noticed_and_end,
                       0, 5);
  tcase_add_loop_test (tcase, every_host_shows_the_fault_of_a_bad_revision, 0,
                       5);
  tcase_add_test (tcase, crossed_answers_are_dropped);
  tcase_add_loop_test (tcase, random_faults_never_take_a_host_back, 0, 40);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
