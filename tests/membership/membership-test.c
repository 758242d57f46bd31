#include "cowslipspoke/hash.h"
#include "support/fleet.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static fleet_t *
start_fleet (size_t nodes, size_t data_centres, uint64_t seed)
{
  fleet_settings_t settings = { 0 };
  fleet_t *fleet;

  settings.nodes = nodes;
  settings.data_centres = data_centres;
  settings.targets = 6;
  settings.seed = seed;
  settings.delay_ms = 20;
  settings.list_lag_ms = 3000;
  settings.report_lag_ms = 2000;
  fleet = fleet_create (&settings);
  fleet_start_all (fleet);
  return fleet;
}

static bool
all_alive (const fleet_t *fleet)
{
  size_t a;
  size_t b;

  for (a = 0; a < fleet->settings.nodes; a++)
    for (b = 0; b < fleet->settings.nodes; b++)
      if (fleet->nodes[a].data_centre == fleet->nodes[b].data_centre
          && fleet_liveness (fleet, a, b) != CSP_PEER_ALIVE)
        return false;
  return true;
}

static csp_host_view_t
view (const fleet_t *fleet, size_t from, size_t of)
{
  csp_host_view_t found = { 0 };

  ck_assert (csp_find_host (fleet->nodes[from].membership,
                            fleet->nodes[of].name, fleet->now_ms, &found));
  return found;
}

/* Counts the events of a kind that a node has logged; takes all of its
   events.  */
static size_t
count_events (fleet_t *fleet, size_t node, csp_member_event_kind_t kind)
{
  csp_member_event_t event;
  size_t count = 0;

  while (csp_pop_member_event (fleet->nodes[node].membership, &event))
    count += event.kind == kind;
  return count;
}

typedef struct
{
  const char *deployment;
  const char *name;
  int64_t incarnation_step;
  uint32_t protocol;
  csp_heartbeat_result_t result;
} refusal_case_t;

static const refusal_case_t refusal_cases[] = {
  { "test", "h1", 0, CSP_PROTOCOL_VERSION, CSP_HEARTBEAT_OK },
  { "test", "h1", 0, CSP_PROTOCOL_VERSION + 1, CSP_HEARTBEAT_OK },
  { "test", "h1", 1, CSP_PROTOCOL_VERSION, CSP_HEARTBEAT_OK },
  { "other", "h1", 0, CSP_PROTOCOL_VERSION, CSP_HEARTBEAT_OTHER_DEPLOYMENT },
  { "test", "h1", 0, CSP_PROTOCOL_OLDEST - 1, CSP_HEARTBEAT_OTHER_PROTOCOL },
  { "test", "h1", -1, CSP_PROTOCOL_VERSION, CSP_HEARTBEAT_OLD_INCARNATION },
  { "test", "h0", 0, CSP_PROTOCOL_VERSION, CSP_HEARTBEAT_DUPLICATE_NAME },
  { "test", "", 0, CSP_PROTOCOL_VERSION, CSP_HEARTBEAT_MALFORMED },
};

/* Heartbeats arrive from another deployment that was given the same address,
   from an unsupported protocol version, from a replaced process that resumes,
   and from a second host with this host's name.  If they were accepted, that
   host would be given targets or requests.  */
START_TEST (invalid_heartbeats_are_refused)
{
  const refusal_case_t *row = &refusal_cases[_i];
  fleet_t *fleet = start_fleet (3, 1, 1);
  csp_host_view_t before = view (fleet, 0, 1);
  csp_heartbeat_t ask = { 0 };
  csp_heartbeat_t reply;

  ask.deployment = csp_hash_pair ("deployment", row->deployment);
  ask.protocol = row->protocol;
  ask.incarnation = before.incarnation + (uint64_t)row->incarnation_step;
  ask.revision = 777;
  snprintf (ask.name, sizeof ask.name, "%s", row->name);
  count_events (fleet, 0, CSP_MEMBER_EVENT_REFUSED);
  ck_assert_int_eq (csp_handle_heartbeat (fleet->nodes[0].membership, &ask,
                                          fleet->now_ms, &reply),
                    row->result);
  ck_assert_uint_eq (count_events (fleet, 0, CSP_MEMBER_EVENT_REFUSED),
                     row->result != CSP_HEARTBEAT_OK);
  ck_assert_int_eq (view (fleet, 0, 1).revision == 777,
                    row->result == CSP_HEARTBEAT_OK);
  if (row->result != CSP_HEARTBEAT_OK)
    ck_assert_uint_eq (reply.alive_ms, 0);
  fleet_destroy (fleet);
}
END_TEST

typedef struct
{
  size_t nodes;
  csp_peer_liveness_t liveness;
  bool in_view;
} one_way_case_t;

static const one_way_case_t one_way_cases[] = {
  { 2, CSP_PEER_SILENT, false },
  { 3, CSP_PEER_UNREACHABLE, true },
  { 6, CSP_PEER_UNREACHABLE, true },
};

/* A link loses packets in one direction only: h0 still gets messages from h1,
   and h1 gets none from h0.  If h0 took incoming messages as proof of life, it
   would hand work to a host whose replies never arrive.  If other hosts still
   reach both, the two stay in each other's view, so that one broken link moves
   no target.  */
START_TEST (one_way_messages_make_no_peer_alive)
{
  const one_way_case_t *row = &one_way_cases[_i];
  fleet_t *fleet = start_fleet (row->nodes, 1, 3);
  csp_ownership_status_t owned;
  size_t i;

  ck_assert (all_alive (fleet));
  fleet_set_link_cut (fleet, 0, 1, true);
  fleet_run (fleet, 30000);
  ck_assert_int_eq (fleet_liveness (fleet, 0, 1), row->liveness);
  ck_assert_int_eq (fleet_liveness (fleet, 1, 0), row->liveness);
  ck_assert_int_eq (view (fleet, 0, 1).in_view, row->in_view);
  ck_assert_int_ge (view (fleet, 0, 1).round_trip_age_ms, 29000);
  for (i = 0; i < row->nodes && row->in_view; i++)
    {
      csp_get_ownership_status (fleet->nodes[i].ownership, &owned);
      ck_assert_uint_eq (owned.lost, 0);
    }
  fleet_set_link_cut (fleet, 0, 1, false);
  fleet_run (fleet, 10000);
  ck_assert (all_alive (fleet));
  fleet_destroy (fleet);
}
END_TEST

/* A host is paused for longer than the silence timeout and resumes.  If it
   judged its peers by its own clock, it would find all of them silent and take
   every target.  */
START_TEST (a_host_that_resumes_keeps_its_peers)
{
  fleet_t *fleet = start_fleet (5, 1, (uint64_t)_i);
  int64_t pause_ms = 1000 + 7000 * _i;
  size_t i;

  fleet_pause (fleet, 2, pause_ms);
  fleet_run (fleet, pause_ms);
  count_events (fleet, 2, CSP_MEMBER_EVENT_SILENT);
  for (i = 0; i < 60; i++)
    {
      fleet_run (fleet, 100);
      ck_assert_uint_eq (count_events (fleet, 2, CSP_MEMBER_EVENT_SILENT), 0);
    }
  fleet_run (fleet, 5000);
  ck_assert (all_alive (fleet));
  ck_assert_uint_eq (fleet->double_grants, 0);
  fleet_destroy (fleet);
}
END_TEST

/* A process is killed and restarted at the same address within a second,
   before any timeout, while messages of the old one are still under way.  The
   old incarnation must be dead at once, or its leases and its streams would be
   taken for those of the new one.  */
START_TEST (a_restart_ends_the_old_incarnation_at_once)
{
  fleet_t *fleet = start_fleet (3, 1, (uint64_t)_i);
  csp_host_view_t before = view (fleet, 0, 1);
  csp_heartbeat_t late = { 0 };
  csp_heartbeat_t reply;

  fleet_kill (fleet, 1);
  fleet_run (fleet, 500);
  count_events (fleet, 0, CSP_MEMBER_EVENT_RESTARTED);
  fleet_start (fleet, 1);
  fleet_run (fleet, 3000);
  ck_assert_uint_eq (count_events (fleet, 0, CSP_MEMBER_EVENT_RESTARTED), 1);
  ck_assert_uint_gt (view (fleet, 0, 1).incarnation, before.incarnation);
  ck_assert_int_le (view (fleet, 0, 1).known_age_ms, 3000);
  late.deployment = csp_hash_pair ("deployment", "test");
  late.protocol = CSP_PROTOCOL_VERSION;
  late.incarnation = before.incarnation;
  memcpy (late.name, before.name, sizeof late.name);
  ck_assert_int_eq (csp_handle_heartbeat (fleet->nodes[0].membership, &late,
                                          fleet->now_ms, &reply),
                    CSP_HEARTBEAT_OLD_INCARNATION);
  ck_assert_uint_eq (reply.known_incarnation, fleet->nodes[1].incarnation);
  fleet_run (fleet, 10000);
  ck_assert (all_alive (fleet));
  ck_assert_uint_eq (fleet->double_grants, 0);
  fleet_destroy (fleet);
}
END_TEST

/* The platform is down, and its last list still names a host that has failed
   since.  The others detect the failure by themselves; the list makes no host
   alive, and the silent host stays known to those that must ask it.  */
START_TEST (failures_are_detected_without_the_platform)
{
  fleet_t *fleet = start_fleet (5, 1, (uint64_t)_i);
  size_t i;

  fleet->platform_down = true;
  fleet_kill (fleet, 4);
  fleet_run (fleet, 12000);
  for (i = 0; i < 4; i++)
    {
      ck_assert_int_eq (fleet_liveness (fleet, i, 4), CSP_PEER_SILENT);
      ck_assert (!view (fleet, i, 4).in_view);
      ck_assert (view (fleet, i, 4).listed);
    }
  fleet_start (fleet, 4);
  fleet_run (fleet, 3000);
  /* It reads no list; it is found through heartbeats of its peers.  */
  fleet_run (fleet, 10000);
  ck_assert (all_alive (fleet));
  fleet_destroy (fleet);
}
END_TEST

/* The platform returns an older list that lacks a host that joined since.  If
   it were applied, a healthy host would be dropped.  */
START_TEST (an_older_list_is_ignored)
{
  fleet_t *fleet = start_fleet (3, 1, 1);
  csp_host_list_t old = { .version = fleet->list_version - 1 };

  if (old.version < 1)
    {
      fleet->list_version += 5;
      fleet_run (fleet, 3000);
    }
  ck_assert_int_eq (
      csp_apply_host_list (fleet->nodes[0].membership, &old, fleet->now_ms),
      CSP_LIST_STALE);
  fleet_run (fleet, 10000);
  ck_assert (all_alive (fleet));
  ck_assert (view (fleet, 0, 1).listed);
  fleet_destroy (fleet);
}
END_TEST

typedef struct
{
  size_t nodes;
  size_t data_centres;
} size_case_t;

static const size_case_t size_cases[]
    = { { 9, 4 }, { 24, 2 }, { 60, 5 }, { 110, 10 }, { 60, 1 } };

/* If each host sent heartbeats to each, a host's traffic would grow with the
   fleet; it must stay within what a data centre of twelve hosts needs.  */
START_TEST (traffic_per_host_is_constant)
{
  fleet_t *fleet
      = start_fleet (size_cases[_i].nodes, size_cases[_i].data_centres, 2);
  uint64_t messages[FLEET_MAX_NODES] = { 0 };
  size_t i;

  for (i = 0; i < fleet->settings.nodes; i++)
    messages[i] = fleet->nodes[i].messages;
  fleet_run (fleet, 10000);
  for (i = 0; i < fleet->settings.nodes; i++)
    ck_assert_uint_le (fleet->nodes[i].messages - messages[i],
                       10 * 2 * (CSP_HEARTBEATS_PER_S + 2));
  fleet_destroy (fleet);
}
END_TEST

/* In a data centre of sixty hosts, too many for each to send heartbeats to
   each, two fail at once.  Hosts that send them no heartbeats must learn it
   from those that do.  */
START_TEST (failures_are_detected_in_a_large_data_centre)
{
  fleet_t *fleet = start_fleet (60, 1, (uint64_t)_i);
  size_t i;

  ck_assert_uint_eq (fleet->double_grants, 0);
  fleet->settings.list_lag_ms = 1000000;
  fleet_kill (fleet, 10);
  fleet_kill (fleet, 33);
  fleet_run (fleet, 30000);
  for (i = 0; i < 60; i++)
    if (i != 10 && i != 33)
      {
        ck_assert (!view (fleet, i, 10).in_view);
        ck_assert (!view (fleet, i, 33).in_view);
        ck_assert (view (fleet, i, 11).in_view || i == 11);
      }
  fleet_destroy (fleet);
}
END_TEST

/* A host without headroom looks for a host in another data centre with which
   it never exchanges messages itself.  */
START_TEST (summaries_reach_every_data_centre)
{
  fleet_t *fleet = start_fleet (24, 6, 4);
  csp_summary_t summary;
  size_t count;
  size_t i;

  fleet_run (fleet, 20000);
  for (i = 0; i < 24; i++)
    {
      count = 0;
      while (csp_view_summary (fleet->nodes[i].membership, count,
                               fleet->now_ms, &summary))
        {
          ck_assert_uint_eq (summary.live_hosts, 4);
          ck_assert_uint_le (summary.age_ms, 40000);
          ck_assert_str_ne (summary.best[0].name, "");
          ck_assert_int_ge (summary.best[0].headroom_tokens,
                            summary.best[1].headroom_tokens);
          count++;
        }
      ck_assert_uint_eq (count, 5);
    }
  fleet_destroy (fleet);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("membership");
  TCase *tcase = tcase_create ("membership");

  tcase_set_timeout (tcase, 120);
  tcase_add_loop_test (tcase, invalid_heartbeats_are_refused, 0,
                       sizeof refusal_cases / sizeof *refusal_cases);
  tcase_add_loop_test (tcase, one_way_messages_make_no_peer_alive, 0,
                       sizeof one_way_cases / sizeof *one_way_cases);
  tcase_add_loop_test (tcase, a_host_that_resumes_keeps_its_peers, 0, 6);
  tcase_add_loop_test (tcase, a_restart_ends_the_old_incarnation_at_once, 0,
                       5);
  tcase_add_loop_test (tcase, failures_are_detected_without_the_platform, 0,
                       5);
  tcase_add_test (tcase, an_older_list_is_ignored);
  tcase_add_loop_test (tcase, traffic_per_host_is_constant, 0,
                       sizeof size_cases / sizeof *size_cases);
  tcase_add_loop_test (tcase, failures_are_detected_in_a_large_data_centre, 0,
                       3);
  tcase_add_test (tcase, summaries_reach_every_data_centre);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
