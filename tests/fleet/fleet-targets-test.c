#include "cowslipspoke/fleet.h"

#include "cowslipspoke/hash.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static csp_fleet_t *fleet;
static csp_random_t prng;
static char left[256];
static const char *also_leaves; /* as soon as another target has left */

/* Each listed target is a live one.  */
static void
check_targets (void)
{
  size_t i;

  for (i = 0; i < csp_fleet_size (fleet); i++)
    {
      csp_fleet_target_t *target = csp_fleet_at (fleet, i);

      ck_assert_ptr_eq (csp_find_target_by_hash (fleet, target->hash), target);
    }
}

static void
note_left (void *state, csp_fleet_target_t *target)
{
  size_t used_bytes = strlen (left);
  const char *next = also_leaves;

  (void)state;
  snprintf (left + used_bytes, sizeof left - used_bytes, "%s ",
            target->row.id);
  also_leaves = NULL;
  if (next == NULL)
    return;
  check_targets ();
  csp_note_target_leaves (fleet, csp_find_fleet_target (fleet, next));
}

static void
set_up (void)
{
  left[0] = '\0';
  also_leaves = NULL;
  csp_seed_random (&prng, 11);
  fleet = csp_create_fleet (note_left, NULL, NULL);
  ck_assert_ptr_nonnull (fleet);
}

static void
tear_down (void)
{
  csp_destroy_fleet (fleet);
}

static csp_fleet_target_t *
list (const char *id, const char *data_centre, bool leaving, int64_t now_ms)
{
  csp_fleet_row_t row = { .slots = 8, .leaving = leaving };

  snprintf (row.id, sizeof row.id, "%s", id);
  snprintf (row.service, sizeof row.service, "s");
  snprintf (row.data_centre, sizeof row.data_centre, "%s", data_centre);
  ck_assert (csp_update_target (fleet, &row, now_ms));
  return csp_find_fleet_target (fleet, id);
}

static const char *
choose (csp_fleet_need_t need, int64_t now_ms)
{
  csp_fleet_target_t *target;

  need.service = "s";
  if (need.data_centre == 0)
    need.data_centre = (uint32_t)csp_hash_pair ("data_centre", "a");
  target = csp_choose_fleet_target (fleet, &need, &prng, now_ms);
  return target == NULL ? "none" : target->row.id;
}

/* Updates of the list, step by step, and the target that is chosen then.  */
typedef enum
{
  READY,
  LEAVING,
  REMOVED,
  AWAY,
  BACK,
  EXPIRE
} step_t;

static const struct
{
  const char *what;
  struct
  {
    step_t step;
    int64_t at_ms;
  } steps[8];
  size_t count;
  const char *chosen;
  const char *left;
} cases[] = {
  { "a target that is listed", { { READY, 0 } }, 1, "t", "" },
  { "one that leaves", { { READY, 0 }, { LEAVING, 1 } }, 2, "none", "t " },
  { "its leaving is final",
    { { READY, 0 }, { LEAVING, 1 }, { READY, 2 } },
    3,
    "none",
    "t " },
  { "one that is removed without notice",
    { { READY, 0 }, { REMOVED, 5000 } },
    2,
    "none",
    "t " },
  { "removed after its notice: reported once",
    { { READY, 0 }, { LEAVING, 1 }, { REMOVED, 2000 } },
    3,
    "none",
    "t " },
  { "a row that lapsed in an outage of the platform",
    { { READY, 0 }, { AWAY, 1 }, { BACK, 5000 }, { REMOVED, 5001 } },
    4,
    "t",
    "" },
  { "and came back",
    { { READY, 0 },
      { AWAY, 1 },
      { BACK, 5000 },
      { REMOVED, 5001 },
      { READY, 6500 },
      { EXPIRE, 9000 } },
    6,
    "t",
    "" },
  { "and did not come back",
    { { READY, 0 },
      { AWAY, 1 },
      { BACK, 5000 },
      { REMOVED, 5001 },
      { EXPIRE, 7300 } },
    5,
    "none",
    "t " },
  { "removed long after an outage",
    { { READY, 0 }, { AWAY, 1 }, { BACK, 5000 }, { REMOVED, 7300 } },
    4,
    "none",
    "t " },
  { "leaving in an outage is leaving",
    { { READY, 0 }, { AWAY, 1 }, { BACK, 5000 }, { LEAVING, 5001 } },
    4,
    "none",
    "t " },
};

START_TEST (list_updates_decide_who_gets_requests)
{
  int64_t now_ms = 0;
  size_t i;

  for (i = 0; i < cases[_i].count; i++)
    {
      now_ms = cases[_i].steps[i].at_ms;
      switch (cases[_i].steps[i].step)
        {
        case READY:
        case LEAVING:
          list ("t", "a", cases[_i].steps[i].step == LEAVING, now_ms);
          break;
        case REMOVED:
          csp_remove_target (fleet, "t", now_ms);
          break;
        case AWAY:
        case BACK:
          csp_note_platform (fleet, cases[_i].steps[i].step == BACK, now_ms);
          break;
        case EXPIRE:
          csp_expire_targets (fleet, now_ms);
          break;
        }
    }
  ck_assert_msg (
      strcmp (choose ((csp_fleet_need_t){ 0 }, now_ms), cases[_i].chosen) == 0,
      "%s", cases[_i].what);
  ck_assert_msg (strcmp (left, cases[_i].left) == 0, "%s: %s", cases[_i].what,
                 left);
}
END_TEST

/* A target that is gone is kept while a request or a link refers to it, and
   some seconds longer, as other hosts may still ask this host for permission
   to move their streams from it.  */
START_TEST (a_target_in_use_outlives_its_row)
{
  csp_fleet_target_t *target = list ("t", "a", false, 0);

  target->users = 1;
  csp_remove_target (fleet, "t", 1);
  csp_expire_targets (fleet, 2);
  ck_assert_uint_eq (csp_fleet_size (fleet), 1);
  csp_expire_targets (fleet, 20000);
  ck_assert_uint_eq (csp_fleet_size (fleet), 1);
  ck_assert_uint_eq (csp_count_listed_targets (fleet), 0);
  target->users = 0;
  csp_expire_targets (fleet, 20001);
  ck_assert_uint_eq (csp_fleet_size (fleet), 0);
  list ("u", "a", false, 20002);
  csp_remove_target (fleet, "u", 20003);
  csp_expire_targets (fleet, 20004);
  csp_expire_targets (fleet, 30003);
  ck_assert_uint_eq (csp_fleet_size (fleet), 1);
  ck_assert_str_eq (choose ((csp_fleet_need_t){ 0 }, 20005), "none");
  csp_expire_targets (fleet, 30004);
  ck_assert_uint_eq (csp_fleet_size (fleet), 0);
}
END_TEST

/* Guards against hosts that count only their own requests and so collide on
   one engine: loads that other hosts report count like this host's own.  */
START_TEST (the_load_of_other_hosts_counts)
{
  csp_fleet_need_t need
      = { .by_memory = true, .memory_tokens = 30000, .tokens = 3000 };
  csp_peer_load_t reading = { .target = csp_hash_pair ("target", "t"),
                              .requests = 1,
                              .tokens = 3000,
                              .prefill_tokens = 3000 };
  csp_peer_load_t unknown_target = { .target = 1, .requests = 100 };
  int i;

  list ("t", "a", false, 0);
  list ("u", "a", false, 0);
  csp_add_peer_load (fleet, &reading);
  csp_add_peer_load (fleet, &unknown_target);
  for (i = 0; i < 100; i++)
    ck_assert_str_eq (choose (need, 1), "u");
  csp_clear_peer_loads (fleet);
  csp_find_fleet_target (fleet, "u")->own.prefill_tokens = 3000;
  for (i = 0; i < 100; i++)
    ck_assert_str_eq (choose (need, 1), "t");
}
END_TEST

/* A host's new report replaces its previous one and leaves those of other
   hosts as they are.  A load that was reported before the target was listed
   isn't subtracted from it.  */
START_TEST (a_load_is_subtracted_as_it_was_added)
{
  csp_peer_load_t load = { .target = csp_hash_pair ("target", "t"),
                           .requests = 3,
                           .tokens = 9000,
                           .backup_tokens = 8,
                           .prefill_tokens = 7,
                           .movable_tokens = 6 };
  const csp_fleet_load_t none = { 0 };
  uint64_t additions = csp_fleet_additions (fleet);
  csp_fleet_target_t *target;

  csp_add_peer_load (fleet, &load);
  target = list ("t", "a", false, 0);
  ck_assert_uint_eq (csp_fleet_additions (fleet), additions + 1);
  list ("t", "a", false, 0);
  ck_assert_uint_eq (csp_fleet_additions (fleet), additions + 1);
  ck_assert_mem_eq (&target->others, &none, sizeof none);
  csp_add_peer_load (fleet, &load);
  csp_add_peer_load (fleet, &load);
  csp_subtract_peer_load (fleet, &load);
  ck_assert_uint_eq (target->others.tokens, 9000);
  csp_subtract_peer_load (fleet, &load);
  ck_assert_mem_eq (&target->others, &none, sizeof none);
}
END_TEST

/* Guards against index errors when thousands of targets are added and removed:
   each is found by its id and its hash until it is gone, and not after
   that.  */
START_TEST (each_of_many_targets_is_found)
{
  enum
  {
    MANY = 3000
  };
  char id[16];
  int i;

  for (i = 0; i < MANY; i++)
    {
      snprintf (id, sizeof id, "t-%d", i);
      list (id, "a", false, 0);
      if (i % 3 == 0)
        csp_remove_target (fleet, id, 0);
    }
  csp_expire_targets (fleet, 1);
  ck_assert_uint_eq (csp_count_listed_targets (fleet), MANY - MANY / 3);
  csp_expire_targets (fleet, 10001);
  ck_assert_uint_eq (csp_fleet_size (fleet), MANY - MANY / 3);
  for (i = 0; i < MANY; i++)
    {
      csp_fleet_target_t *target;

      snprintf (id, sizeof id, "t-%d", i);
      target = csp_find_fleet_target (fleet, id);
      ck_assert_int_eq (target != NULL, i % 3 != 0);
      ck_assert_ptr_eq (
          csp_find_target_by_hash (fleet, csp_hash_pair ("target", id)),
          target);
      ck_assert (target == NULL || strcmp (target->row.id, id) == 0);
    }
}
END_TEST

/* Guards against hosts that all choose the same one of two idle engines.  */
START_TEST (equal_targets_are_chosen_at_random)
{
  int first = 0;
  int i;

  list ("t", "a", false, 0);
  list ("u", "a", false, 0);
  for (i = 0; i < 1000; i++)
    first += strcmp (choose ((csp_fleet_need_t){ 0 }, 1), "t") == 0;
  ck_assert_int_gt (first, 400);
  ck_assert_int_lt (first, 600);
}
END_TEST

/* An engine whose memory is full preempts runs, whose prompts are then read
   again.  */
START_TEST (a_full_memory_weighs_more_than_a_longer_queue)
{
  csp_fleet_need_t need
      = { .by_memory = true, .memory_tokens = 30000, .tokens = 3000 };
  csp_fleet_target_t *full = list ("t", "a", false, 0);
  csp_fleet_target_t *busy = list ("u", "a", false, 0);

  full->own.backup_tokens = 27000;
  busy->own.prefill_tokens = 6000;
  busy->own.tokens = 6000;
  ck_assert_str_eq (choose (need, 1), "u");
  need.is_copy = true;
  need.memory_share_max = 0.75;
  busy->own.tokens = 27000;
  ck_assert_str_eq (choose (need, 1), "none");
}
END_TEST

/* Guards against a target that fails half of its requests, answers quickly and
   so looks idle.  */
START_TEST (a_failing_target_attracts_no_load)
{
  csp_fleet_target_t *failing = list ("t", "a", false, 0);
  csp_fleet_target_t *healthy = list ("u", "a", false, 0);
  int i;

  healthy->own.requests = 3;
  for (i = 0; i < 10; i++)
    csp_note_outcome (failing, i % 2 == 0, 100);
  ck_assert_str_eq (choose ((csp_fleet_need_t){ 0 }, 100), "u");
  /* After a while without requests it is tried again.  */
  ck_assert_str_eq (choose ((csp_fleet_need_t){ 0 }, 20000), "t");
}
END_TEST

START_TEST (an_unreachable_target_is_avoided_for_longer_each_time)
{
  csp_fleet_target_t *target = list ("t", "a", false, 0);

  list ("u", "b", false, 0);
  csp_note_unreachable (target, 1000);
  ck_assert_int_eq (target->avoid_until_ms, 1250);
  csp_note_unreachable (target, 1250);
  ck_assert_int_eq (target->avoid_until_ms, 1750);
  ck_assert_str_eq (choose ((csp_fleet_need_t){ 0 }, 1500), "u");
  /* If there is no other target it is still tried.  */
  csp_remove_target (fleet, "u", 1500);
  ck_assert_str_eq (choose ((csp_fleet_need_t){ 0 }, 1500), "t");
}
END_TEST

static const struct
{
  const char *name;
  bool path_failed;
  uint32_t idle_links;
  bool cut_off;
  bool reached;
} paths[] = { { "nothing failed", false, 0, false, true },
              { "a connection failed", true, 0, false, false },
              { "an older connection lives on", true, 1, false, true },
              { "its data centre is cut off", false, 1, true, false } };

/* Guards against requests that each spend their time on a connection that has
   just failed for others.  */
START_TEST (target_without_a_path_is_left_out)
{
  csp_fleet_target_t *target = list ("t", "b", false, 0);
  csp_fleet_need_t need = { .only_reached = true, .repeatable = true };
  csp_fleet_target_t *probes[2];
  uint64_t unreached[2] = { 0 };

  if (paths[_i].path_failed)
    csp_note_path_failed (fleet, target, 1000);
  target->idle_link_count = paths[_i].idle_links;
  target->group->cut_off = paths[_i].cut_off;
  ck_assert_msg (strcmp (choose (need, 1000), paths[_i].reached ? "t" : "none")
                     == 0,
                 "%s", paths[_i].name);
  ck_assert_msg (csp_has_unreached_targets (fleet, "s") != paths[_i].reached,
                 "%s", paths[_i].name);
  ck_assert_uint_eq (csp_list_unreached_targets (fleet, "s", unreached, 2),
                     !paths[_i].reached);
  ck_assert (paths[_i].reached || unreached[0] == target->hash);
  ck_assert (csp_reaches_most_targets (fleet, "s") == paths[_i].reached);
  /* It is still used where there is no other way.  */
  ck_assert_str_eq (choose ((csp_fleet_need_t){ .repeatable = true }, 1000),
                    "t");
  ck_assert_uint_eq (csp_list_paths_to_probe (fleet, 1000, probes, 2),
                     paths[_i].path_failed);
  if (paths[_i].path_failed && !paths[_i].reached)
    {
      csp_let_requests_try_path (target, 1000);
      ck_assert_str_eq (choose (need, 1000), "t");
      need.repeatable = false;
      ck_assert_str_eq (choose (need, 5999), "none");
      ck_assert_str_eq (choose (need, 6000), "t");
    }
  csp_note_path_works (fleet, target);
  ck_assert_uint_eq (csp_list_paths_to_probe (fleet, 1000, probes, 2), 0);
  ck_assert (target->group->cut_off || csp_is_target_reached (target));
}
END_TEST

/* Guards against a report of loads that repeats a target, misses one whose
   start has become known, or reads one that was freed.  */
START_TEST (a_changed_load_is_taken_once)
{
  csp_fleet_row_t row = { .slots = 8, .start_unix_ms = 7 };
  csp_fleet_target_t *first = list ("a", "dc", false, 1000);
  csp_fleet_target_t *second = list ("b", "dc", false, 1000);

  ck_assert_ptr_null (csp_take_changed_load (fleet));
  csp_note_own_load_changed (fleet, second);
  csp_note_own_load_changed (fleet, first);
  csp_note_own_load_changed (fleet, second);
  ck_assert_ptr_eq (csp_take_changed_load (fleet), second);
  ck_assert_ptr_eq (csp_take_changed_load (fleet), first);
  ck_assert_ptr_null (csp_take_changed_load (fleet));

  snprintf (row.id, sizeof row.id, "a");
  snprintf (row.service, sizeof row.service, "s");
  snprintf (row.data_centre, sizeof row.data_centre, "dc");
  ck_assert (csp_update_target (fleet, &row, 1000));
  ck_assert_ptr_eq (csp_take_changed_load (fleet), first);

  csp_note_own_load_changed (fleet, second);
  csp_remove_target (fleet, "b", 2000);
  csp_expire_targets (fleet, 2000);
  csp_expire_targets (fleet, 60000);
  ck_assert_uint_eq (csp_fleet_size (fleet), 1);
  ck_assert_ptr_null (csp_take_changed_load (fleet));
}
END_TEST

/* Guards against a target that is reported as left while the list still has
   targets that were freed in the same pass.  */
START_TEST (lapsed_targets_leave_a_whole_list_behind)
{
  list ("a", "a", false, 0);
  list ("b", "a", false, 0);
  list ("c", "a", false, 0);
  list ("d", "a", false, 0);
  csp_remove_target (fleet, "b", 1);
  csp_expire_targets (fleet, 1);
  csp_note_platform (fleet, false, 8000);
  csp_note_platform (fleet, true, 8000);
  csp_remove_target (fleet, "c", 8000);
  also_leaves = "a";
  csp_expire_targets (fleet, 11000);
  ck_assert_str_eq (left, "b c a ");
  ck_assert_uint_eq (csp_fleet_size (fleet), 3);
  check_targets ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fleet");
  TCase *tcase = tcase_create ("fleet");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, list_updates_decide_who_gets_requests, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tcase, a_target_in_use_outlives_its_row);
  tcase_add_test (tcase, the_load_of_other_hosts_counts);
  tcase_add_test (tcase, equal_targets_are_chosen_at_random);
  tcase_add_test (tcase, a_full_memory_weighs_more_than_a_longer_queue);
  tcase_add_test (tcase, a_failing_target_attracts_no_load);
  tcase_add_test (tcase,
                  an_unreachable_target_is_avoided_for_longer_each_time);
  tcase_add_loop_test (tcase, target_without_a_path_is_left_out, 0,
                       sizeof paths / sizeof paths[0]);
  tcase_add_test (tcase, a_load_is_subtracted_as_it_was_added);
  tcase_add_test (tcase, each_of_many_targets_is_found);
  tcase_add_test (tcase, a_changed_load_is_taken_once);
  tcase_add_test (tcase, lapsed_targets_leave_a_whole_list_behind);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
