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

/* How many events of a kind a node has logged about a peer, taking all.  */
static size_t
count_events (fleet_t *fleet, size_t node, csp_member_event_kind_t kind)
{
  csp_member_event_t event;
  size_t count = 0;

  while (csp_take_member_event (fleet->nodes[node].membership, &event))
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
   from a version that speaks another protocol, from a process that was
   replaced and wakes up, and from a second host with our own name.  Were they
   heard, that host would be given targets or requests of ours.  */
START_TEST (strangers_are_refused)
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
} cut_case_t;

static const cut_case_t cut_cases[] = {
  { 2, CSP_PEER_SILENT, false },
  { 3, CSP_PEER_CUT, true },
  { 6, CSP_PEER_CUT, true },
};

/* A link loses packets in one direction only: h0 still hears h1, and h1 hears
   nothing from h0.  Did h0 take what it hears for life, it would hand work to
   a host whose answers never come.  With other hosts there that still reach
   both, the two stay in each other's view, so that one bad link moves no
   target.  */
START_TEST (one_direction_is_no_life)
{
  const cut_case_t *row = &cut_cases[_i];
  fleet_t *fleet = start_fleet (row->nodes, 1, 3);
  csp_ownership_status_t owned;
  size_t i;

  ck_assert (all_alive (fleet));
  fleet_cut (fleet, 0, 1, true);
  fleet_run (fleet, 30000);
  ck_assert_int_eq (fleet_liveness (fleet, 0, 1), row->liveness);
  ck_assert_int_eq (fleet_liveness (fleet, 1, 0), row->liveness);
  ck_assert_int_eq (view (fleet, 0, 1).in_view, row->in_view);
  ck_assert_int_ge (view (fleet, 0, 1).confirmed_age_ms, 29000);
  for (i = 0; i < row->nodes && row->in_view; i++)
    {
      csp_describe_ownership (fleet->nodes[i].ownership, &owned);
      ck_assert_uint_eq (owned.lost, 0);
    }
  fleet_cut (fleet, 0, 1, false);
  fleet_run (fleet, 10000);
  ck_assert (all_alive (fleet));
  fleet_destroy (fleet);
}
END_TEST

/* A host is stopped for longer than its peers wait, and continues.  It has
   heard from nobody for that long.  Did it believe its own clock, it would
   find everyone dead, and take every target.  */
START_TEST (a_host_that_wakes_up_does_not_bury_its_peers)
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

/* A process is killed and started again at the same address within a second,
   faster than anyone notices silence.  Messages of the old one are still
   under way.  The old one has to be dead at once, or its promises and its
   streams would be taken for the new one's.  */
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
  ck_assert_int_le (view (fleet, 0, 1).known_ms, 3000);
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

/* The platform is away, and its last list still names a host that died since.
   The others notice by themselves; what the list says brings nobody to life,
   and the silent host stays known for those who must ask it.  */
START_TEST (deaths_are_noticed_without_the_platform)
{
  fleet_t *fleet = start_fleet (5, 1, (uint64_t)_i);
  size_t i;

  fleet->service_away = true;
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
  /* It reads no list; its peers, who ask it now and then, bring it in.  */
  fleet_run (fleet, 10000);
  ck_assert (all_alive (fleet));
  fleet_destroy (fleet);
}
END_TEST

/* The platform answers with an older list, in which a host that joined since
   does not stand.  Taken, it would drop a healthy host.  */
START_TEST (an_older_list_changes_nothing)
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

/* The fleet grows.  If each host talked to each, one host's messages would
   grow with it; they stay within what a data centre of twelve needs.  */
START_TEST (talk_stays_flat_as_the_fleet_grows)
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
                       10 * 2 * (CSP_ASKS_PER_S + 2));
  fleet_destroy (fleet);
}
END_TEST

/* A data centre of sixty hosts, where nobody can ask everybody.  Two hosts die
   at once.  Hosts that never ask them learn it from those that do.  */
START_TEST (deaths_are_noticed_in_a_large_data_centre)
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

/* A host without headroom looks for one in another data centre that it never
   talks to itself.  */
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
  tcase_add_loop_test (tcase, strangers_are_refused, 0,
                       sizeof refusal_cases / sizeof *refusal_cases);
  tcase_add_loop_test (tcase, one_direction_is_no_life, 0,
                       sizeof cut_cases / sizeof *cut_cases);
  tcase_add_loop_test (tcase, a_host_that_wakes_up_does_not_bury_its_peers, 0,
                       6);
  tcase_add_loop_test (tcase, a_restart_ends_the_old_incarnation_at_once, 0,
                       5);
  tcase_add_loop_test (tcase, deaths_are_noticed_without_the_platform, 0, 5);
  tcase_add_test (tcase, an_older_list_changes_nothing);
  tcase_add_loop_test (tcase, talk_stays_flat_as_the_fleet_grows, 0,
                       sizeof size_cases / sizeof *size_cases);
  tcase_add_loop_test (tcase, deaths_are_noticed_in_a_large_data_centre, 0, 3);
  tcase_add_test (tcase, summaries_reach_every_data_centre);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
