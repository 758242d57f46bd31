#include "mirror/mirror-imp.h"

#include <arpa/inet.h>
#include "support/free-port.h"
#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* The callbacks that a mirror made, as one line.  */
static char event_log[1024];

static void
log_event (const char *what, const char *key, const char *value)
{
  size_t used_bytes = strlen (event_log);

  snprintf (event_log + used_bytes, sizeof event_log - used_bytes, "%s%s=%s ",
            what, key, value == NULL ? "-" : value);
}

static void
on_changed (void *state, const csp_mirror_item_t *item)
{
  (void)state;
  log_event ("", item->key, item->value);
}

static void
on_listing_ended (void *state, const char *prefix)
{
  (void)state;
  log_event ("listed:", prefix, "");
}

static void
on_lapsing (void *state)
{
  (void)state;
  log_event ("lapsing:", "", "");
}

static const csp_mirror_events_t events = { .item_changed = on_changed,
                                            .listing_ended = on_listing_ended,
                                            .rows_may_lapse = on_lapsing };

/* The status that is sent with a settled mirror, and the one received.  */
static const csp_mirror_status_t settled_status
    = { .settled = true, .age_ms = 7 };
static csp_mirror_status_t received_status;

static csp_mirror_t *mirror;

static void
set_up (void)
{
  event_log[0] = '\0';
  mirror = csp_create_mirror (&events, NULL);
  ck_assert_ptr_nonnull (mirror);
}

static void
tear_down (void)
{
  csp_destroy_mirror (mirror);
}

START_TEST (the_newest_revision_of_an_item_wins)
{
  ck_assert (csp_put_mirror_item (mirror, "s/a", "1", 5));
  ck_assert (!csp_put_mirror_item (mirror, "s/a", "0", 4));
  ck_assert (!csp_put_mirror_item (mirror, "s/a", "1", 5));
  ck_assert (csp_put_mirror_item (mirror, "s/a", NULL, 6));
  ck_assert (!csp_put_mirror_item (mirror, "s/a", "1", 5));
  ck_assert_str_eq (event_log, "s/a=1 s/a=- ");
  /* A single item doesn't show that all changes up to it are known.  */
  ck_assert_int_eq (csp_mirror_revision (mirror), 0);
  csp_note_mirror_revision (mirror, 6);
  csp_note_mirror_revision (mirror, 5);
  ck_assert_int_eq (csp_mirror_revision (mirror), 6);
}
END_TEST

/* The store's history was lost and all items are listed again: those that the
   list lacks are removed, except items that are newer than the list.  */
START_TEST (items_missing_from_a_full_listing_are_removed)
{
  csp_put_mirror_item (mirror, "s/a", "1", 1);
  csp_put_mirror_item (mirror, "s/b", "2", 2);
  csp_put_mirror_item (mirror, "s/new", "3", 9);
  csp_put_mirror_item (mirror, "other", "4", 1);
  event_log[0] = '\0';
  csp_begin_mirror_listing (mirror, "s/");
  csp_put_mirror_item (mirror, "s/b", "2", 2);
  csp_end_mirror_listing (mirror, "s/", 8);
  ck_assert_str_eq (event_log, "s/a=- listed:s/= ");
}
END_TEST

/* Revisions at which a host knew all items before it listed them anew, if it
   did, and those that a follower has; the list is of revision 20.  */
static const struct
{
  int64_t known;
  int64_t follower;
  bool whole;
} gaps[] = {
  { 0, 10, true }, /* the host has just started */
  { 8, 10, true }, /* it missed what came and went behind 8 */
  { 10, 10, false }, { 12, 10, false }, { 0, 20, false }, { 0, 21, false },
};

/* Guards against a follower that keeps an item for ever because its new source
   never knew the item and so has no removal of it, such as a cordon that was
   lifted before the source started.  */
START_TEST (a_follower_is_told_of_items_that_its_source_never_knew)
{
  csp_mirror_t *follower = csp_create_mirror (&events, NULL);
  csp_buffer_t text = { 0 };
  int64_t as_of = 0;

  csp_note_mirror_revision (mirror, gaps[_i].known);
  csp_begin_mirror_listing (mirror, "");
  csp_put_mirror_item (mirror, "s/a", "1", 5);
  csp_end_mirror_listing (mirror, "", 20);
  csp_put_mirror_item (follower, "s/a", "1", 5);
  csp_put_mirror_item (follower, "cordon", "1", 9);
  csp_note_mirror_revision (follower, gaps[_i].follower);
  ck_assert_int_eq (csp_needs_whole_mirror (mirror, gaps[_i].follower),
                    gaps[_i].whole);
  event_log[0] = '\0';
  csp_encode_mirror (mirror, gaps[_i].follower, &settled_status, &text);
  csp_append_buffer (&text, "", 1);
  ck_assert (
      csp_decode_mirror (follower, text.data, &received_status, &as_of));
  ck_assert_str_eq (event_log, gaps[_i].whole ? "cordon=- listed:= " : "");
  csp_clear_buffer (&text);
  csp_destroy_mirror (follower);
}
END_TEST

/* Another host reads the mirror: first all items, then the changes.  */
START_TEST (a_follower_receives_all_items_then_changes)
{
  csp_mirror_t *other = csp_create_mirror (&events, NULL);
  csp_buffer_t text = { 0 };
  int64_t as_of = 0;

  csp_put_mirror_item (mirror, "s/a", "quote \" and\nline", 5);
  csp_put_mirror_item (mirror, "s/b", "2", 6);
  csp_put_mirror_item (mirror, "s/b", NULL, 7);
  csp_note_mirror_revision (mirror, 9);
  event_log[0] = '\0';
  ck_assert (csp_encode_mirror (mirror, 0, &settled_status, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert (csp_decode_mirror (other, text.data, &received_status, &as_of));
  ck_assert_int_eq (as_of, 9);
  ck_assert_uint_eq (received_status.age_ms, 7);
  ck_assert (!received_status.lapsing);
  ck_assert_str_eq (event_log, "s/a=quote \" and\nline listed:= ");
  csp_put_mirror_item (mirror, "s/a", NULL, 10);
  csp_put_mirror_item (mirror, "s/c", "3", 11);
  csp_note_mirror_revision (mirror, 11);
  event_log[0] = '\0';
  csp_clear_buffer (&text);
  ck_assert (csp_encode_mirror (mirror, 9, &settled_status, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert (csp_decode_mirror (other, text.data, &received_status, &as_of));
  ck_assert_str_eq (event_log, "s/a=- s/c=3 ");
  csp_clear_buffer (&text);
  csp_destroy_mirror (other);
}
END_TEST

/* The list of a host that has just started may be seconds old.  Another host
   that starts would take it for current.  */
START_TEST (an_unsettled_mirror_is_rejected)
{
  static const csp_mirror_status_t unsettled = { .settled = false };
  csp_mirror_t *other = csp_create_mirror (&events, NULL);
  csp_buffer_t text = { 0 };
  int64_t as_of = 0;

  csp_put_mirror_item (other, "s/a", "1", 5);
  csp_put_mirror_item (mirror, "s/a", NULL, 7);
  event_log[0] = '\0';
  ck_assert (csp_encode_mirror (mirror, 5, &unsettled, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert (!csp_decode_mirror (other, text.data, &received_status, &as_of));
  ck_assert_str_eq (event_log, "");
  csp_clear_buffer (&text);
  csp_destroy_mirror (other);
}
END_TEST

/* The store has just come back and half of its entries have lapsed.  A
   follower that didn't see the outage would take live targets for removed and
   refuse every request for two seconds.  So it must learn that entries may
   have lapsed before the removals are applied.  */
START_TEST (lapsing_is_reported_before_removals)
{
  static const csp_mirror_status_t lapsing
      = { .settled = true, .lapsing = true };
  csp_mirror_t *other = csp_create_mirror (&events, NULL);
  csp_buffer_t text = { 0 };
  int64_t as_of = 0;

  csp_put_mirror_item (other, "s/a", "1", 5);
  csp_put_mirror_item (mirror, "s/a", NULL, 7);
  csp_note_mirror_revision (mirror, 7);
  event_log[0] = '\0';
  ck_assert (csp_encode_mirror (mirror, 5, &lapsing, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert (csp_decode_mirror (other, text.data, &received_status, &as_of));
  ck_assert_str_eq (event_log, "lapsing:= s/a=- ");
  csp_clear_buffer (&text);
  csp_destroy_mirror (other);
}
END_TEST

/* The sender is behind: its list is older than the receiver's items.  */
START_TEST (an_older_listing_removes_nothing)
{
  csp_mirror_t *other = csp_create_mirror (&events, NULL);
  csp_buffer_t text = { 0 };
  int64_t as_of = 0;

  csp_put_mirror_item (other, "s/a", "1", 5);
  csp_put_mirror_item (other, "s/b", "1", 9);
  csp_note_mirror_revision (other, 9);
  csp_put_mirror_item (mirror, "s/c", "1", 4);
  csp_note_mirror_revision (mirror, 4);
  event_log[0] = '\0';
  ck_assert (csp_encode_mirror (mirror, 0, &settled_status, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert (csp_decode_mirror (other, text.data, &received_status, &as_of));
  ck_assert_str_eq (event_log, "s/c=1 ");
  csp_clear_buffer (&text);
  csp_destroy_mirror (other);
}
END_TEST

/* Targets come and go for weeks: removals must not accumulate, and a follower
   that is behind a dropped removal gets all items.  */
START_TEST (old_removals_are_dropped)
{
  csp_buffer_t text = { 0 };
  int64_t revision = 1;
  char key[32];
  int i;

  csp_put_mirror_item (mirror, "s/stays", "1", revision++);
  for (i = 0; i < 3 * CSP_MIRROR_REMOVED_MIN; i++)
    {
      snprintf (key, sizeof key, "s/%d", i);
      csp_put_mirror_item (mirror, key, "1", revision++);
      csp_put_mirror_item (mirror, key, NULL, revision++);
      event_log[0] = '\0';
    }
  ck_assert (csp_encode_mirror (mirror, 2, &settled_status, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert_ptr_nonnull (strstr (text.data, "\"whole\":true"));
  ck_assert_ptr_nonnull (strstr (text.data, "s/stays"));
  ck_assert_uint_lt (text.size_bytes, 400);
  csp_clear_buffer (&text);
  ck_assert (csp_encode_mirror (mirror, revision - 3, &settled_status, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert_ptr_nonnull (strstr (text.data, "\"whole\":false"));
  csp_clear_buffer (&text);
}
END_TEST

enum
{
  FLEET_TARGETS = 6000,
  PLANNED_TARGETS = 12000,
  /* Of a host with an eighth of a core, a second.  */
  LISTING_MAX_CPU_MS = 120,
  MS_PER_S = 1000
};

static void
put_target (int number, const char *value, int64_t revision)
{
  char key[32];

  snprintf (key, sizeof key, "s/%d", number);
  csp_put_mirror_item (mirror, key, value, revision);
}

/* Whether a follower that knows all up to a revision is sent all items.  */
static bool
is_sent_all_items (int64_t revision)
{
  csp_buffer_t text = { 0 };
  bool whole;

  ck_assert (csp_encode_mirror (mirror, revision, &settled_status, &text));
  csp_append_buffer (&text, "", 1);
  whole = strstr (text.data, "\"whole\":true") != NULL;
  csp_clear_buffer (&text);
  return whole;
}

/* Guards against a release of half of the fleet in which followers that are a
   second behind are sent the whole list, as targets are removed in another
   order than they were added.  */
START_TEST (a_release_sends_followers_only_the_changes)
{
  const int step = 4001; /* no divisor in common with the fleet's size */
  int64_t revision = 1;
  int i;

  for (i = 0; i < FLEET_TARGETS; i++)
    put_target (i, "1", revision++);
  for (i = 0; i < FLEET_TARGETS / 2; i++)
    {
      put_target ((int)((long)i * step % FLEET_TARGETS), NULL, revision++);
      if (i % 100 == 0)
        ck_assert_msg (!is_sent_all_items (revision - 100), "removal %d", i);
    }
}
END_TEST

/* Guards against a start that searches the whole list for each of its rows: a
   small host of a fleet twice the planned size couldn't serve for minutes.  */
START_TEST (the_first_list_takes_time_in_proportion_to_its_rows)
{
  clock_t began = clock ();
  int i;

  for (i = 0; i < 2 * PLANNED_TARGETS; i++)
    put_target (i, "1", 1 + i);
  csp_begin_mirror_listing (mirror, "");
  csp_end_mirror_listing (mirror, "", 2 * PLANNED_TARGETS);
  ck_assert_int_lt ((clock () - began) * MS_PER_S / CLOCKS_PER_SEC,
                    2 * LISTING_MAX_CPU_MS);
}
END_TEST

static const char *const malformed_messages[]
    = { "",
        "{",
        "[]",
        "{\"as_of\":1,\"settled\":true}",
        "{\"as_of\":1,\"items\":{},\"settled\":true}",
        "{\"items\":[],\"settled\":true}",
        "{\"as_of\":1,\"items\":[]}" };

START_TEST (malformed_messages_are_refused)
{
  int64_t as_of = 0;

  ck_assert (!csp_decode_mirror (mirror, malformed_messages[_i],
                                 &received_status, &as_of));
}
END_TEST

/* Whether a host reads the store, follows a host, or both.  */
static const struct
{
  const char *what;
  csp_mirror_facts_t facts;
  bool store;
  bool host;
} source_cases[] = {
  { "a host that starts",
    { .role = CSP_MIRROR_FOLLOWER, .live_hosts = 9 },
    true,
    true },
  { "the fleet's reader",
    { .role = CSP_MIRROR_FLEET_READER,
      .confirmed = true,
      .up_ms = 9000,
      .live_hosts = 9 },
    true,
    false },
  { "just started, knows few hosts",
    { .role = CSP_MIRROR_FLEET_READER,
      .confirmed = true,
      .up_ms = 400,
      .live_hosts = 2 },
    false,
    true },
  { "just started, knows no other host",
    { .role = CSP_MIRROR_FLEET_READER,
      .confirmed = true,
      .up_ms = 400,
      .live_hosts = 1 },
    true,
    false },
  { "a follower with current items",
    { .role = CSP_MIRROR_FOLLOWER,
      .confirmed = true,
      .stale_ms = 900,
      .live_hosts = 300 },
    false,
    true },
  { "the first of a data centre, without current items for 1 s",
    { .role = CSP_MIRROR_DATA_CENTRE_READER,
      .confirmed = true,
      .stale_ms = 1000,
      .host_stale_ms = 1000,
      .live_hosts = 300 },
    true,
    true },
  { "reads the store itself, no host has current items yet",
    { .role = CSP_MIRROR_DATA_CENTRE_READER,
      .confirmed = true,
      .reads_store = true,
      .stale_ms = 10,
      .host_stale_ms = 2000,
      .live_hosts = 300 },
    true,
    true },
  { "reads the store itself, a host has current items again",
    { .role = CSP_MIRROR_DATA_CENTRE_READER,
      .confirmed = true,
      .reads_store = true,
      .stale_ms = 10,
      .host_stale_ms = 10,
      .live_hosts = 300 },
    false,
    true },
  { "a follower without current items, before its random time",
    { .role = CSP_MIRROR_FOLLOWER,
      .confirmed = true,
      .stale_ms = 2300,
      .host_stale_ms = 2300,
      .live_hosts = 300,
      .random_share = 0.5 },
    false,
    true },
  { "a follower without current items, after its random time",
    { .role = CSP_MIRROR_FOLLOWER,
      .confirmed = true,
      .stale_ms = 2350,
      .host_stale_ms = 2350,
      .live_hosts = 300,
      .random_share = 0.5 },
    true,
    true },
  { "the store refuses all hosts",
    { .role = CSP_MIRROR_FOLLOWER,
      .confirmed = true,
      .stale_ms = 15000,
      .host_stale_ms = 15000,
      .live_hosts = 9,
      .store_outage = true },
    false,
    true },
};

START_TEST (the_source_depends_on_role_and_data_age)
{
  csp_mirror_choice_t choice
      = csp_choose_mirror_source (&source_cases[_i].facts);

  ck_assert_msg (choice.read_store == source_cases[_i].store, "%s",
                 source_cases[_i].what);
  ck_assert_msg (choice.follow_host == source_cases[_i].host, "%s",
                 source_cases[_i].what);
}
END_TEST

/* A host without current items, and whether it reads the rest of the store's
   list.  */
static const struct
{
  const char *what;
  csp_mirror_facts_t facts;
  bool reads_rest;
} start_cases[] = {
  { "a host that doesn't know the others yet",
    { .role = CSP_MIRROR_FLEET_READER, .up_ms = 100, .live_hosts = 1 },
    false },
  { "the fleet's reader",
    { .role = CSP_MIRROR_FLEET_READER, .up_ms = 500, .live_hosts = 30 },
    true },
  { "the first host of a data centre",
    { .role = CSP_MIRROR_DATA_CENTRE_READER, .up_ms = 500, .live_hosts = 30 },
    true },
  { "a follower that others may still provide for",
    { .role = CSP_MIRROR_FOLLOWER, .up_ms = 1500, .live_hosts = 600 },
    false },
  { "the last of many followers that nobody provides for",
    { .role = CSP_MIRROR_FOLLOWER,
      .up_ms = 4000,
      .live_hosts = 2400,
      .random_share = 1 },
    true },
};

/* Guards against a restart of a large fleet in which each host reads a list of
   thousands of items from the store, whose link is full for ten seconds.  */
START_TEST (starting_hosts_read_a_long_list_in_turn)
{
  csp_mirror_choice_t choice
      = csp_choose_mirror_source (&start_cases[_i].facts);

  ck_assert_msg (choice.read_store && choice.follow_host, "%s",
                 start_cases[_i].what);
  ck_assert_msg (choice.hold_list != start_cases[_i].reads_rest, "%s",
                 start_cases[_i].what);
}
END_TEST

enum
{
  CURRENT_WITHIN_MS = 4000
};

static const size_t fleet_sizes[] = { 30, 300, 600, 1200, 2400 };

/* Guards against a fallback that takes longer the more hosts there are: the
   last hosts of a large fleet would apply a revoked key or a leaving target
   too late.  */
START_TEST (the_last_follower_falls_back_in_time)
{
  csp_mirror_facts_t facts = { .role = CSP_MIRROR_FOLLOWER,
                               .confirmed = true,
                               .stale_ms = CURRENT_WITHIN_MS,
                               .host_stale_ms = CURRENT_WITHIN_MS,
                               .live_hosts = fleet_sizes[_i],
                               .random_share = 1 };

  ck_assert (csp_choose_mirror_source (&facts).read_store);
}
END_TEST

/* The 300 hosts of a data centre are cut off from all others and end up
   reading the store, each with a watch that is answered within 0.6 s, or at
   once when targets change.  Together they must make at most 150 calls a
   second.  */
START_TEST (total_store_call_rate_is_bounded)
{
  csp_mirror_facts_t facts = { .role = CSP_MIRROR_FOLLOWER,
                               .confirmed = true,
                               .stale_ms = 60000,
                               .host_stale_ms = 60000 };
  static const size_t fleets[] = { 9, 30, 100, 300 };
  size_t i;

  for (i = 0; i < sizeof fleets / sizeof fleets[0]; i++)
    {
      csp_mirror_choice_t choice;

      facts.live_hosts = fleets[i];
      choice = csp_choose_mirror_source (&facts);
      ck_assert_uint_gt (choice.store_watch_gap_ms, 0);
      ck_assert_uint_le (fleets[i] * 1000 / choice.store_watch_gap_ms, 150);
    }
}
END_TEST

#define HOST(number) ((csp_peer_address_t){ number, 10 })

/* The upstream of a host.  Hosts are numbers: those of its data centre and
   those of the fleet, the first in rank order first, and those that recently
   failed.  0 ends a list; as upstream it means none in particular.  */
static const struct
{
  const char *what;
  uint32_t self;
  uint32_t near[CSP_LOCAL_READERS_MAX];
  uint32_t fleet[CSP_FLEET_READERS_MAX];
  uint32_t failed[CSP_UPSTREAMS_FAILED_MAX];
  csp_mirror_role_t role;
  uint32_t upstream;
} upstream_cases[] = {
  { "alone", 1, { 1 }, { 1 }, { 0 }, CSP_MIRROR_FLEET_READER, 0 },
  { "one of many followers",
    9,
    { 5, 6, 7, 8 },
    { 1, 5, 2 },
    { 0 },
    CSP_MIRROR_FOLLOWER,
    5 },
  { "its first host died",
    9,
    { 5, 6, 7, 8 },
    { 1, 5, 2 },
    { 5 },
    CSP_MIRROR_FOLLOWER,
    6 },
  { "the next one takes its place",
    6,
    { 5, 6, 7, 8 },
    { 1, 5, 2 },
    { 5 },
    CSP_MIRROR_DATA_CENTRE_READER,
    1 },
  { "the first of a data centre",
    5,
    { 5, 6, 7, 8 },
    { 1, 5, 2 },
    { 0 },
    CSP_MIRROR_DATA_CENTRE_READER,
    1 },
  { "the reader died, and it is the next",
    5,
    { 5, 6, 7, 8 },
    { 1, 5, 2 },
    { 1 },
    CSP_MIRROR_FLEET_READER,
    0 },
  { "the reader died, and another is the next",
    4,
    { 4, 6, 7, 8 },
    { 1, 5, 2 },
    { 1 },
    CSP_MIRROR_DATA_CENTRE_READER,
    5 },
  { "reads for the fleet, while its data centre follows another host",
    6,
    { 5, 6, 7, 8 },
    { 6, 1, 2 },
    { 0 },
    CSP_MIRROR_FLEET_READER,
    0 },
  { "followed by its data centre, but not the fleet's reader",
    5,
    { 5, 6, 7, 8 },
    { 6, 1, 2 },
    { 0 },
    CSP_MIRROR_DATA_CENTRE_READER,
    6 },
  { "no reader can be followed",
    4,
    { 4, 6, 7, 8 },
    { 1, 5, 2 },
    { 1, 5, 2 },
    CSP_MIRROR_DATA_CENTRE_READER,
    0 },
  { "no host of its data centre can be followed",
    9,
    { 5, 6, 7, 8 },
    { 1, 5, 2 },
    { 5, 6, 7, 8 },
    CSP_MIRROR_FOLLOWER,
    0 },
};

static size_t
fill_hosts (const uint32_t *numbers, size_t max_hosts,
            csp_peer_address_t *hosts)
{
  size_t i;

  for (i = 0; i < max_hosts && numbers[i] != 0; i++)
    hosts[i] = HOST (numbers[i]);
  return i;
}

/* The store refuses a random third of the hosts, first hosts among them, so
   that the fleet's reader may not be the host that its data centre follows.
   From each host, at most three upstream hops must lead to the fleet's reader.
   When the chain formed a cycle, configurations and notices didn't reach its
   hosts for four seconds.  */
START_TEST (every_upstream_chain_ends_at_the_fleet_reader)
{
  enum
  {
    DATA_CENTRES = 4,
    HOSTS_PER_DATA_CENTRE = 6,
    FLEET_HOSTS = DATA_CENTRES * HOSTS_PER_DATA_CENTRE,
    MAX_HOPS = 3
  };
  static const csp_failed_upstreams_t none = { 0 };
  csp_hello_t hellos[FLEET_HOSTS] = { 0 };
  size_t followed[FLEET_HOSTS];
  csp_mirror_role_t roles[FLEET_HOSTS];
  size_t readers = 0;
  csp_random_t random;
  size_t i;
  size_t j;

  csp_seed_random (&random, (uint64_t)_i + 1);
  for (i = 0; i < FLEET_HOSTS; i++)
    {
      hellos[i].boot = 100 + i;
      hellos[i].sequence = 1;
      hellos[i].data_centre = (uint32_t)(i / HOSTS_PER_DATA_CENTRE);
      hellos[i].capacity = csp_random_below (&random, 3) == 0 ? 500 : 120;
      hellos[i].up_ms = CSP_UP_REPORTED_MAX_MS;
      hellos[i].platform_unreachable = csp_random_below (&random, 3) == 0;
    }
  for (i = 0; i < FLEET_HOSTS; i++)
    {
      csp_roster_t *roster = csp_create_roster (
          HOST (1 + (uint32_t)i), hellos[i].boot, hellos[i].data_centre, 1);
      csp_reader_ranks_t ranks;
      csp_peer_address_t upstream;

      csp_set_roster_local_info (roster, hellos[i].capacity, -60000);
      csp_set_roster_platform_unreachable (roster,
                                           hellos[i].platform_unreachable);
      for (j = 0; j < FLEET_HOSTS; j++)
        if (j != i)
          csp_receive_hello (roster, HOST (1 + (uint32_t)j), &hellos[j], 1000);
      csp_rank_readers (roster, &ranks);
      roles[i] = csp_choose_upstream (&ranks, &none, &upstream);
      followed[i] = upstream.ip == 0 ? i : upstream.ip - 1;
      readers += roles[i] == CSP_MIRROR_FLEET_READER;
      csp_destroy_roster (roster);
    }
  ck_assert_uint_eq (readers, 1);
  for (i = 0; i < FLEET_HOSTS; i++)
    {
      size_t at = i;

      for (j = 0; j < MAX_HOPS; j++)
        at = followed[at];
      ck_assert_msg (roles[at] == CSP_MIRROR_FLEET_READER,
                     "seed %d: host %zu doesn't reach the fleet's reader",
                     _i + 1, i + 1);
    }
}
END_TEST

START_TEST (upstreams_are_chosen_by_a_shared_rank_order)
{
  csp_reader_ranks_t ranks = { .self = HOST (upstream_cases[_i].self) };
  csp_failed_upstreams_t failed;
  csp_peer_address_t upstream;
  csp_mirror_role_t role;

  ranks.local_reader_count = fill_hosts (
      upstream_cases[_i].near, CSP_LOCAL_READERS_MAX, ranks.local_readers);
  ranks.fleet_reader_count = fill_hosts (
      upstream_cases[_i].fleet, CSP_FLEET_READERS_MAX, ranks.fleet_readers);
  failed.count = fill_hosts (upstream_cases[_i].failed,
                             CSP_UPSTREAMS_FAILED_MAX, failed.hosts);
  role = csp_choose_upstream (&ranks, &failed, &upstream);
  ck_assert_msg (role == upstream_cases[_i].role, "%s",
                 upstream_cases[_i].what);
  ck_assert_msg (upstream.ip == upstream_cases[_i].upstream, "%s: %u",
                 upstream_cases[_i].what, upstream.ip);
}
END_TEST

/* A host for the tests below: a mirror and its feed.  No store listens on the
   port that the feed is given.  */
typedef struct
{
  csp_mirror_t *mirror;
  csp_mirror_feed_t *feed;
  struct sockaddr_in serve;
} host_t;

enum
{
  /* More than a host with the smallest link serves.  */
  HOSTS = 9,
  LINK = 2500000 /* bytes a second */
};

static uv_loop_t loop;
static host_t hosts[HOSTS];

static csp_peer_address_t
peer_of (const struct sockaddr_in *address)
{
  csp_peer_address_t peer
      = { ntohl (address->sin_addr.s_addr), ntohs (address->sin_port) };

  return peer;
}

static size_t
list_hosts (void *state, csp_peer_address_t *addresses, size_t max_hosts)
{
  const host_t *host = state;

  (void)max_hosts;
  addresses[0] = peer_of (&hosts[host == &hosts[0]].serve);
  return 1;
}

/* All hosts follow the first one.  */
static void
rank_first (void *state, csp_reader_ranks_t *ranks)
{
  const host_t *host = state;

  *ranks
      = (csp_reader_ranks_t){ .self = peer_of (&host->serve),
                              .local_reader_count = 1,
                              .local_readers = { peer_of (&hosts[0].serve) },
                              .hosts = HOSTS };
}

/* Each of two hosts ranks the other one before itself, and so follows it.  */
static void
rank_readers (void *state, csp_reader_ranks_t *ranks)
{
  const host_t *host = state;

  *ranks = (csp_reader_ranks_t){ .self = peer_of (&host->serve),
                                 .local_reader_count = 2,
                                 .hosts = 2 };
  list_hosts (state, ranks->local_readers, 1);
  ranks->local_readers[1] = ranks->self;
}

static int store_calls; /* by all hosts; all of them fail */

static void
write_call (void *state, const csp_watch_call_t *call, csp_buffer_t *request)
{
  (void)state;
  (void)call;
  store_calls++;
  csp_print_buffer (request, "GET / HTTP/1.1\r\n\r\n");
}

static void
on_reach_changed (void *state, bool away)
{
  host_t *host = state;

  csp_set_store_unreachable (host->feed, away);
}

static const csp_follow_source_t absent_store
    = { .write_call = write_call,
        .reach_changed = on_reach_changed,
        .policy
        = { .wait_ms = 600, .answer_grace_ms = 500, .max_backoff_ms = 400 } };

static void
open_ranked_host (host_t *host, csp_mirror_t *of,
                  void (*rank) (void *, csp_reader_ranks_t *))
{
  csp_mirror_feed_settings_t settings = { .serve_address = host->serve,
                                          .store_address = find_free_port (),
                                          .store_source = &absent_store,
                                          .store_state = host,
                                          .list_hosts = list_hosts,
                                          .rank_readers = rank,
                                          .hosts_state = host };

  host->mirror = of;
  host->feed = csp_open_mirror_feed (&loop, &settings, of, NULL);
  ck_assert_ptr_nonnull (host->feed);
}

static void
open_host (host_t *host, csp_mirror_t *of)
{
  open_ranked_host (host, of, rank_readers);
}

static void
run_until_logged (const char *awaited)
{
  while (strstr (event_log, awaited) == NULL)
    uv_run (&loop, UV_RUN_ONCE);
}

/* A host is cut off from the store, or starts while it is unreachable.  It
   reads the mirror of a host that isn't, and gets each change at once.  */
START_TEST (a_refused_host_follows_another)
{
  static const csp_mirror_events_t no_events = { 0 };
  csp_mirror_t *source = csp_create_mirror (&no_events, NULL);
  csp_mirror_server_t *server;

  uv_loop_init (&loop);
  hosts[0].serve = find_free_port ();
  hosts[1].serve = find_free_port ();
  csp_put_mirror_item (source, "s/a", "1", 5);
  csp_note_mirror_revision (source, 5);
  server = csp_open_mirror_server (&loop, &hosts[0].serve, LINK, source);
  csp_update_mirror_server (server, true, false, uv_now (&loop));
  open_host (&hosts[1], mirror);
  csp_set_store_unreachable (hosts[1].feed, true);
  run_until_logged ("s/a=1 ");
  csp_put_mirror_item (source, "s/b", "2", 7);
  csp_note_mirror_revision (source, 7);
  csp_update_mirror_server (server, true, false, uv_now (&loop));
  run_until_logged ("s/b=2 ");
  csp_close_mirror_server (server);
  csp_close_mirror_feed (hosts[1].feed);
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&loop), 0);
  csp_destroy_mirror (source);
}
END_TEST

/* Fifty hosts of a data centre follow its first one, whose link fills up as it
   sends each change to each of them.  So it serves only as many as the link
   can carry, here four, and redirects the others to those; all hosts must
   still get each change.  */
START_TEST (redirected_followers_receive_all_changes)
{
  static const csp_mirror_events_t no_events = { 0 };
  csp_mirror_t *mirrors[HOSTS];
  csp_mirror_server_t *root;
  size_t lagging = HOSTS;
  size_t i;

  uv_loop_init (&loop);
  for (i = 0; i < HOSTS; i++)
    {
      hosts[i].serve = find_free_port ();
      mirrors[i] = csp_create_mirror (&no_events, NULL);
      csp_put_mirror_item (mirrors[i], "s/a", "1", 5);
      csp_note_mirror_revision (mirrors[i], 5);
    }
  root = csp_open_mirror_server (&loop, &hosts[0].serve, 1, mirrors[0]);
  csp_update_mirror_server (root, true, false, uv_now (&loop));
  csp_set_follower_cost (root, 1000);
  for (i = 1; i < HOSTS; i++)
    {
      open_ranked_host (&hosts[i], mirrors[i], rank_first);
      csp_note_store_answer (hosts[i].feed, true);
    }
  csp_put_mirror_item (mirrors[0], "s/b", "2", 7);
  csp_note_mirror_revision (mirrors[0], 7);
  while (lagging > 0)
    {
      uv_run (&loop, UV_RUN_ONCE);
      csp_update_mirror_server (root, true, false, uv_now (&loop));
      for (lagging = 0, i = 1; i < HOSTS; i++)
        lagging += csp_mirror_revision (mirrors[i]) < 7;
    }
  csp_close_mirror_server (root);
  for (i = 1; i < HOSTS; i++)
    csp_close_mirror_feed (hosts[i].feed);
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&loop), 0);
  for (i = 0; i < HOSTS; i++)
    csp_destroy_mirror (mirrors[i]);
}
END_TEST

/* Two hosts follow each other, as each ranks the other first, and neither
   reads the store.  Each would take the other's items for current, and neither
   would get notices any more.  Items that circulate must keep their age, and a
   host with old items must read the store.  */
START_TEST (a_cycle_of_followers_is_detected_by_data_age)
{
  static const csp_mirror_events_t no_events = { 0 };
  csp_mirror_t *others = csp_create_mirror (&no_events, NULL);
  uint64_t until_ms;

  uv_loop_init (&loop);
  hosts[0].serve = find_free_port ();
  hosts[1].serve = find_free_port ();
  csp_put_mirror_item (mirror, "s/a", "1", 5);
  csp_note_mirror_revision (mirror, 5);
  csp_put_mirror_item (others, "s/a", "1", 5);
  csp_note_mirror_revision (others, 5);
  store_calls = 0;
  open_host (&hosts[0], mirror);
  open_host (&hosts[1], others);
  csp_note_store_answer (hosts[0].feed, true);
  csp_note_store_answer (hosts[1].feed, true);
  uv_update_time (&loop);
  until_ms = uv_now (&loop) + 10000;
  while (store_calls == 0 && uv_now (&loop) < until_ms)
    uv_run (&loop, UV_RUN_ONCE);
  ck_assert_int_gt (store_calls, 0);
  csp_close_mirror_feed (hosts[0].feed);
  csp_close_mirror_feed (hosts[1].feed);
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&loop), 0);
  csp_destroy_mirror (others);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("mirror");
  TCase *tcase = tcase_create ("mirror");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, the_newest_revision_of_an_item_wins);
  tcase_add_test (tcase, items_missing_from_a_full_listing_are_removed);
  tcase_add_loop_test (tcase,
                       a_follower_is_told_of_items_that_its_source_never_knew,
                       0, sizeof gaps / sizeof gaps[0]);
  tcase_add_test (tcase, a_follower_receives_all_items_then_changes);
  tcase_add_test (tcase, an_unsettled_mirror_is_rejected);
  tcase_add_test (tcase, lapsing_is_reported_before_removals);
  tcase_add_test (tcase, an_older_listing_removes_nothing);
  tcase_add_test (tcase, old_removals_are_dropped);
  tcase_add_test (tcase, a_release_sends_followers_only_the_changes);
  tcase_add_test (tcase, the_first_list_takes_time_in_proportion_to_its_rows);
  tcase_add_loop_test (tcase, malformed_messages_are_refused, 0,
                       sizeof malformed_messages
                           / sizeof malformed_messages[0]);
  tcase_add_loop_test (tcase, the_source_depends_on_role_and_data_age, 0,
                       sizeof source_cases / sizeof source_cases[0]);
  tcase_add_loop_test (tcase, starting_hosts_read_a_long_list_in_turn, 0,
                       sizeof start_cases / sizeof start_cases[0]);
  tcase_add_loop_test (tcase, the_last_follower_falls_back_in_time, 0,
                       sizeof fleet_sizes / sizeof fleet_sizes[0]);
  tcase_add_test (tcase, total_store_call_rate_is_bounded);
  tcase_add_loop_test (tcase, upstreams_are_chosen_by_a_shared_rank_order, 0,
                       sizeof upstream_cases / sizeof upstream_cases[0]);
  tcase_add_loop_test (tcase, every_upstream_chain_ends_at_the_fleet_reader, 0,
                       50);
  tcase_add_test (tcase, a_refused_host_follows_another);
  tcase_add_test (tcase, a_cycle_of_followers_is_detected_by_data_age);
  tcase_add_test (tcase, redirected_followers_receive_all_changes);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
