#include "support/fleet.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  AGREEMENT_MS = 10000
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
  ck_assert (fleet_has_converged (fleet, fleet->service.revision));
  return fleet;
}

/* Checks that all hosts reach the service's revision in time, and that no host
   ever went back to a lower revision.  */
static void
finish_fleet (fleet_t *fleet)
{
  int64_t ms = fleet_run_until_converged (fleet, fleet->service.revision,
                                          AGREEMENT_MS);

  ck_assert_int_ge (ms, 0);
  ck_assert_uint_eq (fleet->revision_regressions, 0);
  fleet_destroy (fleet);
}

static csp_config_status_t
describe (const fleet_t *fleet, size_t node)
{
  csp_config_status_t status;

  csp_get_configuration_status (fleet->nodes[node].configuration, &status);
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

/* Operators roll out a large change with tens of revisions a second.  If every
   host read the service for each of them, the shared read limit would be
   exceeded.  So each data centre may read at most twice a second, and all
   hosts must have the last revision within ten seconds.  */
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
                     20 * CSP_READERS_PER_DATA_CENTRE * row->data_centres
                         + row->nodes);
  finish_fleet (fleet);
}
END_TEST

/* Adds a peer as if from the host's settings, since the host can't read the
   host list.  */
static void
add_known_peer (fleet_t *fleet, size_t node, size_t peer)
{
  csp_listed_host_t host = { .address = "127.0.0.1" };

  memcpy (host.name, fleet->nodes[peer].name, sizeof host.name);
  snprintf (host.data_centre, sizeof host.data_centre, "dc-%zu",
            fleet->nodes[peer].data_centre);
  host.peer_port = (uint16_t)(10000 + peer);
  csp_add_known_host (fleet->nodes[node].membership, &host, fleet->now_ms);
}

/* A host is replaced while the service is unreachable.  The new host must get
   the configuration from its peers; otherwise it would refuse every caller
   until the service is back.  */
START_TEST (new_host_gets_the_configuration_from_peers)
{
  fleet_t *fleet = start_fleet (6, 2, (uint64_t)_i);
  csp_config_sync_status_t status;

  fleet_kill (fleet, 3);
  fleet_run (fleet, 5000);
  fleet->platform_down = true;
  fleet_run (fleet, 20000);
  fleet_start (fleet, 3);
  add_known_peer (fleet, 3, 1);
  fleet_run (fleet, CSP_START_WAIT_MS);
  ck_assert_int_eq (fleet_revision (fleet, 3), fleet->service.revision);
  csp_get_config_sync_status (fleet->nodes[3].config_sync, &status);
  ck_assert (status.startup_done);
  finish_fleet (fleet);
}
END_TEST

/* The service returns to an old state and answers with it, also to a host that
   starts.  No host may go back to the lower revision, and the host that starts
   must get the higher revision from its peers.  */
START_TEST (stale_service_rolls_no_host_back)
{
  fleet_t *fleet = start_fleet (6, 2, (uint64_t)_i);
  fleet_config_service_t old = fleet->service;
  int64_t highest;

  fleet_publish (fleet, 5);
  fleet_run (fleet, AGREEMENT_MS);
  highest = fleet->service.revision;
  fleet->service = old;
  fleet_kill (fleet, 0);
  fleet_run (fleet, 1000);
  fleet_start (fleet, 0);
  fleet_run (fleet, AGREEMENT_MS);
  ck_assert (fleet_has_converged (fleet, highest));
  ck_assert (describe (fleet, 0).service_stale
             || describe (fleet, 2).service_stale
             || describe (fleet, 4).service_stale);
  /* The service reuses five revisions; the sixth is higher.  */
  fleet_publish (fleet, 6);
  fleet_run (fleet, AGREEMENT_MS);
  ck_assert (fleet_has_converged (fleet, highest + 1));
  /* The content in force must be the service's, not a mixture.  */
  fleet_start (fleet, 0);
  finish_fleet (fleet);
}
END_TEST

/* Both readers of a data centre lose the platform, but not their peers.  If
   the other hosts waited for them, the data centre would use an old
   configuration until the readers can reach the platform again.  */
START_TEST (others_read_when_both_readers_lose_the_platform)
{
  fleet_t *fleet = start_fleet (6, 1, (uint64_t)_i);
  csp_config_sync_status_t status;
  size_t readers = 0;
  size_t i;

  for (i = 0; i < 6; i++)
    {
      csp_get_config_sync_status (fleet->nodes[i].config_sync, &status);
      fleet->nodes[i].platform_unreachable = status.reader;
      readers += status.reader;
    }
  ck_assert_uint_eq (readers, CSP_READERS_PER_DATA_CENTRE);
  fleet_publish (fleet, 3);
  finish_fleet (fleet);
}
END_TEST

/* Both readers fail at once before a burst; other hosts must take over.  */
START_TEST (others_read_when_both_readers_die)
{
  fleet_t *fleet = start_fleet (6, 1, (uint64_t)_i);
  csp_config_sync_status_t status;
  size_t i;

  for (i = 0; i < 6; i++)
    {
      csp_get_config_sync_status (fleet->nodes[i].config_sync, &status);
      if (status.reader)
        fleet_kill (fleet, i);
    }
  fleet_publish (fleet, 30);
  finish_fleet (fleet);
}
END_TEST

/* A partition splits the fleet, and only one side reaches the platform while
   changes continue.  The other side must keep its revision, and catch up when
   the partition ends.  */
START_TEST (partition_never_rolls_a_host_back)
{
  fleet_t *fleet = start_fleet (8, 2, (uint64_t)_i);
  int64_t before = fleet->service.revision;
  size_t i;

  fleet_set_partition (fleet, 4, true);
  for (i = 4; i < 8; i++)
    fleet->nodes[i].platform_unreachable = true;
  for (i = 0; i < 10; i++)
    {
      fleet_publish (fleet, 3);
      fleet_run (fleet, 2000);
    }
  for (i = 4; i < 8; i++)
    ck_assert_int_eq (fleet_revision (fleet, i), before);
  fleet_set_partition (fleet, 4, false);
  /* The platform is still unreachable for these hosts, so they must get the
     changes from the other side.  Silent hosts are asked every 5 s.  */
  fleet_run (fleet, CSP_READ_RETRY_MS);
  finish_fleet (fleet);
}
END_TEST

/* The platform is restored and reuses revisions while one data centre can't
   reach it, so that one revision has two contents.  Hosts must count peers
   with the other content, and the next revision, a full read, must resolve the
   conflict.  */
START_TEST (conflicting_contents_of_a_revision_are_detected_and_resolved)
{
  fleet_t *fleet = start_fleet (6, 2, (uint64_t)_i);
  csp_config_sync_status_t status;
  fleet_config_service_t fork = fleet->service;
  size_t conflicts = 0;
  size_t i;

  for (i = 0; i < 6; i++)
    fleet->nodes[i].platform_unreachable = i % 2 == 1;
  for (i = 0; i < 36; i++)
    fleet->cuts[i / 6][i % 6] = i / 6 % 2 != i % 6 % 2;
  fleet_publish_value (fleet, 1, 11);
  fleet_run (fleet, AGREEMENT_MS);
  fleet->service = fork;
  fleet_publish_value (fleet, 2, 22);
  for (i = 0; i < 6; i++)
    fleet->nodes[i].platform_unreachable = i % 2 == 0;
  fleet_run (fleet, AGREEMENT_MS + CSP_READ_RETRY_MS);
  memset (fleet->cuts, 0, sizeof fleet->cuts);
  for (i = 0; i < 6; i++)
    fleet->nodes[i].platform_unreachable = false;
  fleet_run (fleet, 70000);
  for (i = 0; i < 6; i++)
    {
      csp_get_config_sync_status (fleet->nodes[i].config_sync, &status);
      conflicts += status.peer_conflicts;
    }
  ck_assert_uint_gt (conflicts, 0);
  ck_assert (!fleet_has_converged (fleet, fork.revision + 1));
  fleet_publish_value (fleet, 3, 33);
  finish_fleet (fleet);
}
END_TEST

/* An operator publishes an invalid value.  Each host must keep the last valid
   revision and report the fault, also hosts that don't read the service.  */
START_TEST (every_host_reports_the_fault_of_a_bad_revision)
{
  fleet_t *fleet = start_fleet (8, 2, (uint64_t)_i);
  int64_t valid_revision = fleet->service.revision;
  uint64_t reads;
  size_t i;

  fleet_publish_value (fleet, 5, FLEET_BAD_VALUE);
  fleet_run (fleet, AGREEMENT_MS);
  reads = fleet->reads;
  for (i = 0; i < 8; i++)
    {
      ck_assert_int_eq (describe (fleet, i).revision, valid_revision);
      ck_assert_int_eq (describe (fleet, i).refused_revision,
                        valid_revision + 1);
      ck_assert_ptr_nonnull (strstr (describe (fleet, i).fault, "o5"));
    }
  /* The bad revision must not make the readers read in a loop.  */
  fleet_run (fleet, 20000);
  ck_assert_uint_le (fleet->reads - reads,
                     2 * CSP_READERS_PER_DATA_CENTRE * 6);
  fleet_publish_value (fleet, 5, 5);
  finish_fleet (fleet);
}
END_TEST

/* A peer's answer arrives after its request timed out and the next request was
   sent.  If it counted as the answer to the next request, a delta could be
   applied to the wrong base.  */
START_TEST (late_answers_are_dropped)
{
  fleet_t *fleet = start_fleet (2, 1, 1);
  csp_config_sync_t *sync = fleet->nodes[0].config_sync;
  csp_config_sync_peer_t peer
      = { .name = "h1", .same_data_centre = true, .revision = 1000 };
  csp_config_delta_t delta = { .base = 0, .revision = 5000, .full = true };
  csp_config_sync_actions_t actions;
  csp_config_sync_status_t status;
  uint64_t first = 0;

  fleet->now_ms += CSP_PULL_GAP_MS;
  csp_tick_config_sync (sync, &peer, 1, 1, fleet->now_ms, &actions);
  while (actions.count > 0
         && actions.items[0].kind != CSP_CONFIG_SYNC_PULL_PEER)
    actions.items[0] = actions.items[--actions.count];
  ck_assert_uint_eq (actions.count, 1);
  first = actions.items[0].id;
  fleet->now_ms += CSP_PULL_TIMEOUT_MS;
  csp_tick_config_sync (sync, &peer, 1, 1, fleet->now_ms, &actions);
  ck_assert_int_eq (
      csp_handle_pull (sync, first, &delta, 0, "", fleet->now_ms),
      CSP_CONFIG_SAME);
  csp_get_config_sync_status (sync, &status);
  ck_assert_uint_eq (status.dropped_answers, 1);
  ck_assert_int_eq (fleet_revision (fleet, 0), fleet->service.revision);
  fleet_destroy (fleet);
}
END_TEST

/* Two random faults at a time while changes continue: hosts fail, start or are
   paused, and links or the platform are cut.  */
START_TEST (random_faults_never_roll_a_host_back)
{
  fleet_t *fleet
      = start_fleet (_i % 2 == 0 ? 6 : 9, _i % 3 == 0 ? 3 : 1, (uint64_t)_i);

  fleet_inject_faults (fleet, 12, true);
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
  tcase_add_loop_test (tcase, new_host_gets_the_configuration_from_peers, 0,
                       5);
  tcase_add_loop_test (tcase, stale_service_rolls_no_host_back, 0, 5);
  tcase_add_loop_test (tcase, others_read_when_both_readers_lose_the_platform,
                       0, 5);
  tcase_add_loop_test (tcase, others_read_when_both_readers_die, 0, 5);
  tcase_add_loop_test (tcase, partition_never_rolls_a_host_back, 0, 5);
  tcase_add_loop_test (
      tcase, conflicting_contents_of_a_revision_are_detected_and_resolved, 0,
      5);
  tcase_add_loop_test (tcase, every_host_reports_the_fault_of_a_bad_revision,
                       0, 5);
  tcase_add_test (tcase, late_answers_are_dropped);
  tcase_add_loop_test (tcase, random_faults_never_roll_a_host_back, 0, 40);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
