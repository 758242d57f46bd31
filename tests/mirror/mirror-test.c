#include "mirror/mirror-imp.h"

#include <arpa/inet.h>
#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* What a mirror tells of its changes, as one line.  */
static char told[1024];

static void
tell (const char *what, const char *key, const char *value)
{
  size_t used_bytes = strlen (told);

  snprintf (told + used_bytes, sizeof told - used_bytes, "%s%s=%s ", what, key,
            value == NULL ? "-" : value);
}

static void
on_changed (void *state, const csp_mirror_item_t *item)
{
  (void)state;
  tell ("", item->key, item->value);
}

static void
on_listing_ended (void *state, const char *prefix)
{
  (void)state;
  tell ("listed:", prefix, "");
}

static void
on_lapsing (void *state)
{
  (void)state;
  tell ("lapsing:", "", "");
}

static const csp_mirror_events_t events = { .changed = on_changed,
                                            .listing_ended = on_listing_ended,
                                            .lapsing = on_lapsing };

/* What is said of a mirror that can be believed, and what was heard.  */
static const csp_mirror_word_t sound = { .settled = true, .age_ms = 7 };
static csp_mirror_word_t heard;

static csp_mirror_t *mirror;

static void
set_up (void)
{
  told[0] = '\0';
  mirror = csp_create_mirror (&events, NULL);
  ck_assert_ptr_nonnull (mirror);
}

static void
tear_down (void)
{
  csp_destroy_mirror (mirror);
}

START_TEST (the_newest_revision_of_an_item_stays)
{
  ck_assert (csp_put_mirror_item (mirror, "s/a", "1", 5));
  ck_assert (!csp_put_mirror_item (mirror, "s/a", "0", 4));
  ck_assert (!csp_put_mirror_item (mirror, "s/a", "1", 5));
  ck_assert (csp_put_mirror_item (mirror, "s/a", NULL, 6));
  ck_assert (!csp_put_mirror_item (mirror, "s/a", "1", 5));
  ck_assert_str_eq (told, "s/a=1 s/a=- ");
  /* One item tells nothing of the others' changes.  */
  ck_assert_int_eq (csp_mirror_revision (mirror), 0);
  csp_note_mirror_revision (mirror, 6);
  csp_note_mirror_revision (mirror, 5);
  ck_assert_int_eq (csp_mirror_revision (mirror), 6);
}
END_TEST

/* The history was lost and the list is read anew: what it lacks is gone, but
   for what is newer than the list.  */
START_TEST (what_a_whole_listing_lacks_is_removed)
{
  csp_put_mirror_item (mirror, "s/a", "1", 1);
  csp_put_mirror_item (mirror, "s/b", "2", 2);
  csp_put_mirror_item (mirror, "s/new", "3", 9);
  csp_put_mirror_item (mirror, "other", "4", 1);
  told[0] = '\0';
  csp_begin_mirror_listing (mirror, "s/");
  csp_put_mirror_item (mirror, "s/b", "2", 2);
  csp_end_mirror_listing (mirror, "s/", 8);
  ck_assert_str_eq (told, "s/a=- listed:s/= ");
}
END_TEST

/* Another host reads ours: first all of it, then what changed.  */
START_TEST (a_mirror_is_followed_by_another)
{
  csp_mirror_t *other = csp_create_mirror (&events, NULL);
  csp_buffer_t text = { 0 };
  int64_t as_of = 0;

  csp_put_mirror_item (mirror, "s/a", "quote \" and\nline", 5);
  csp_put_mirror_item (mirror, "s/b", "2", 6);
  csp_put_mirror_item (mirror, "s/b", NULL, 7);
  csp_note_mirror_revision (mirror, 9);
  told[0] = '\0';
  ck_assert (csp_encode_mirror (mirror, 0, &sound, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert (csp_decode_mirror (other, text.data, &heard, &as_of));
  ck_assert_int_eq (as_of, 9);
  ck_assert_uint_eq (heard.age_ms, 7);
  ck_assert (!heard.lapsing);
  ck_assert_str_eq (told, "s/a=quote \" and\nline listed:= ");
  csp_put_mirror_item (mirror, "s/a", NULL, 10);
  csp_put_mirror_item (mirror, "s/c", "3", 11);
  csp_note_mirror_revision (mirror, 11);
  told[0] = '\0';
  csp_clear_buffer (&text);
  ck_assert (csp_encode_mirror (mirror, 9, &sound, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert (csp_decode_mirror (other, text.data, &heard, &as_of));
  ck_assert_str_eq (told, "s/a=- s/c=3 ");
  csp_clear_buffer (&text);
  csp_destroy_mirror (other);
}
END_TEST

/* A host that has just started has a list that may be seconds old.  Another
   one that starts would take it for what is so now.  */
START_TEST (an_unsettled_mirror_is_not_believed)
{
  static const csp_mirror_word_t unsettled = { .settled = false };
  csp_mirror_t *other = csp_create_mirror (&events, NULL);
  csp_buffer_t text = { 0 };
  int64_t as_of = 0;

  csp_put_mirror_item (other, "s/a", "1", 5);
  csp_put_mirror_item (mirror, "s/a", NULL, 7);
  told[0] = '\0';
  ck_assert (csp_encode_mirror (mirror, 5, &unsettled, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert (!csp_decode_mirror (other, text.data, &heard, &as_of));
  ck_assert_str_eq (told, "");
  csp_clear_buffer (&text);
  csp_destroy_mirror (other);
}
END_TEST

/* The store has just come back and half of its rows have lapsed.  A host that
   follows our mirror, and never saw the store away, would take live targets
   for gone and refuse every request for two seconds; so it is told before it
   is told what is missing.  */
START_TEST (a_follower_is_told_that_rows_may_be_missing)
{
  static const csp_mirror_word_t lapsing
      = { .settled = true, .lapsing = true };
  csp_mirror_t *other = csp_create_mirror (&events, NULL);
  csp_buffer_t text = { 0 };
  int64_t as_of = 0;

  csp_put_mirror_item (other, "s/a", "1", 5);
  csp_put_mirror_item (mirror, "s/a", NULL, 7);
  csp_note_mirror_revision (mirror, 7);
  told[0] = '\0';
  ck_assert (csp_encode_mirror (mirror, 5, &lapsing, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert (csp_decode_mirror (other, text.data, &heard, &as_of));
  ck_assert_str_eq (told, "lapsing:= s/a=- ");
  csp_clear_buffer (&text);
  csp_destroy_mirror (other);
}
END_TEST

/* The other host is behind: its list is older than what is known here.  */
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
  told[0] = '\0';
  ck_assert (csp_encode_mirror (mirror, 0, &sound, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert (csp_decode_mirror (other, text.data, &heard, &as_of));
  ck_assert_str_eq (told, "s/c=1 ");
  csp_clear_buffer (&text);
  csp_destroy_mirror (other);
}
END_TEST

/* Targets come and go for weeks; removals don't pile up, and who is behind
   what was forgotten gets everything.  */
START_TEST (removals_are_forgotten_in_time)
{
  csp_buffer_t text = { 0 };
  int64_t revision = 1;
  char key[32];
  int i;

  csp_put_mirror_item (mirror, "s/stays", "1", revision++);
  for (i = 0; i < 3 * CSP_MIRROR_REMOVED_MAX; i++)
    {
      snprintf (key, sizeof key, "s/%d", i);
      csp_put_mirror_item (mirror, key, "1", revision++);
      csp_put_mirror_item (mirror, key, NULL, revision++);
      told[0] = '\0';
    }
  ck_assert (csp_encode_mirror (mirror, 2, &sound, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert_ptr_nonnull (strstr (text.data, "\"whole\":true"));
  ck_assert_ptr_nonnull (strstr (text.data, "s/stays"));
  ck_assert_uint_lt (text.size_bytes, 400);
  csp_clear_buffer (&text);
  ck_assert (csp_encode_mirror (mirror, revision - 3, &sound, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert_ptr_nonnull (strstr (text.data, "\"whole\":false"));
  csp_clear_buffer (&text);
}
END_TEST

static const char *const no_mirrors[]
    = { "",
        "{",
        "[]",
        "{\"as_of\":1,\"settled\":true}",
        "{\"as_of\":1,\"items\":{},\"settled\":true}",
        "{\"items\":[],\"settled\":true}",
        "{\"as_of\":1,\"items\":[]}" };

START_TEST (what_is_no_mirror_is_refused)
{
  int64_t as_of = 0;

  ck_assert (!csp_decode_mirror (mirror, no_mirrors[_i], &heard, &as_of));
}
END_TEST

/* Who reads where.  */
static const struct
{
  const char *what;
  csp_mirror_facts_t facts;
  bool store;
  bool host;
} choices[] = {
  { "a host that starts",
    { .role = CSP_MIRROR_FOLLOWS, .hosts = 9 },
    true,
    true },
  { "the reader",
    { .role = CSP_MIRROR_READS_FOR_ALL,
      .confirmed = true,
      .up_ms = 9000,
      .hosts = 9 },
    true,
    false },
  { "one that has started just now and has heard of few hosts",
    { .role = CSP_MIRROR_READS_FOR_ALL,
      .confirmed = true,
      .up_ms = 400,
      .hosts = 2 },
    false,
    true },
  { "one that has heard of none",
    { .role = CSP_MIRROR_READS_FOR_ALL,
      .confirmed = true,
      .up_ms = 400,
      .hosts = 1 },
    true,
    false },
  { "the others",
    { .role = CSP_MIRROR_FOLLOWS,
      .confirmed = true,
      .unfed_ms = 900,
      .hosts = 300 },
    false,
    true },
  { "the first of a data centre, in a cut",
    { .role = CSP_MIRROR_READS_FOR_NEAR,
      .confirmed = true,
      .unfed_ms = 1000,
      .host_unfed_ms = 1000,
      .hosts = 300 },
    true,
    true },
  { "it has read for itself, and no host has had word yet",
    { .role = CSP_MIRROR_READS_FOR_NEAR,
      .confirmed = true,
      .reads_store = true,
      .unfed_ms = 10,
      .host_unfed_ms = 2000,
      .hosts = 300 },
    true,
    true },
  { "a host has word again",
    { .role = CSP_MIRROR_READS_FOR_NEAR,
      .confirmed = true,
      .reads_store = true,
      .unfed_ms = 10,
      .host_unfed_ms = 10,
      .hosts = 300 },
    false,
    true },
  { "one of many, in the same cut: others ask first",
    { .role = CSP_MIRROR_FOLLOWS,
      .confirmed = true,
      .unfed_ms = 2300,
      .host_unfed_ms = 2300,
      .hosts = 300,
      .lot = 0.5 },
    false,
    true },
  { "its lot has come",
    { .role = CSP_MIRROR_FOLLOWS,
      .confirmed = true,
      .unfed_ms = 2350,
      .host_unfed_ms = 2350,
      .hosts = 300,
      .lot = 0.5 },
    true,
    true },
  { "the store is away for all",
    { .role = CSP_MIRROR_FOLLOWS,
      .confirmed = true,
      .unfed_ms = 15000,
      .host_unfed_ms = 15000,
      .hosts = 9,
      .outage = true },
    false,
    true },
};

START_TEST (a_host_reads_where_it_is_cheap_and_sure)
{
  csp_mirror_choice_t choice = csp_choose_mirror_source (&choices[_i].facts);

  ck_assert_msg (choice.store == choices[_i].store, "%s", choices[_i].what);
  ck_assert_msg (choice.host == choices[_i].host, "%s", choices[_i].what);
}
END_TEST

/* A data centre of 300 hosts hears nobody, and all of them read the store in
   the end: a watch of each is answered after 0.6 s at the latest, or at once
   where targets come and go.  Together they make no more than 150 calls a
   second then.  */
START_TEST (all_hosts_together_ask_the_store_seldom)
{
  csp_mirror_facts_t facts = { .role = CSP_MIRROR_FOLLOWS,
                               .confirmed = true,
                               .unfed_ms = 60000,
                               .host_unfed_ms = 60000 };
  static const size_t fleets[] = { 9, 30, 100, 300 };
  size_t i;

  for (i = 0; i < sizeof fleets / sizeof fleets[0]; i++)
    {
      csp_mirror_choice_t choice;

      facts.hosts = fleets[i];
      choice = csp_choose_mirror_source (&facts);
      ck_assert_uint_gt (choice.store_gap_ms, 0);
      ck_assert_uint_le (fleets[i] * 1000 / choice.store_gap_ms, 150);
    }
}
END_TEST

#define HOST(number) ((csp_peer_address_t){ number, 10 })

/* Whom a host follows.  Hosts are numbers: of its data centre and of all, the
   best first, and those that failed a moment ago; 0 ends a list, and is nobody
   in particular.  */
static const struct
{
  const char *what;
  uint32_t self;
  uint32_t near[CSP_READERS_NEAR_MAX];
  uint32_t fleet[CSP_READERS_FLEET_MAX];
  uint32_t failed[CSP_UPSTREAMS_FAILED_MAX];
  csp_mirror_role_t role;
  uint32_t upstream;
} upstreams[] = {
  { "alone", 1, { 1 }, { 1 }, { 0 }, CSP_MIRROR_READS_FOR_ALL, 0 },
  { "one of many",
    9,
    { 5, 6, 7, 8 },
    { 1, 5, 2 },
    { 0 },
    CSP_MIRROR_FOLLOWS,
    5 },
  { "its first host died",
    9,
    { 5, 6, 7, 8 },
    { 1, 5, 2 },
    { 5 },
    CSP_MIRROR_FOLLOWS,
    6 },
  { "the next one takes its place",
    6,
    { 5, 6, 7, 8 },
    { 1, 5, 2 },
    { 5 },
    CSP_MIRROR_READS_FOR_NEAR,
    1 },
  { "the first of a data centre",
    5,
    { 5, 6, 7, 8 },
    { 1, 5, 2 },
    { 0 },
    CSP_MIRROR_READS_FOR_NEAR,
    1 },
  { "the reader died, and it is the next",
    5,
    { 5, 6, 7, 8 },
    { 1, 5, 2 },
    { 1 },
    CSP_MIRROR_READS_FOR_ALL,
    0 },
  { "the reader died, and another is the next",
    4,
    { 4, 6, 7, 8 },
    { 1, 5, 2 },
    { 1 },
    CSP_MIRROR_READS_FOR_NEAR,
    5 },
  { "it reads for all, and its data centre follows another",
    6,
    { 5, 6, 7, 8 },
    { 6, 1, 2 },
    { 0 },
    CSP_MIRROR_READS_FOR_ALL,
    0 },
  { "the one that its data centre follows",
    5,
    { 5, 6, 7, 8 },
    { 6, 1, 2 },
    { 0 },
    CSP_MIRROR_READS_FOR_NEAR,
    6 },
  { "no reader can be followed",
    4,
    { 4, 6, 7, 8 },
    { 1, 5, 2 },
    { 1, 5, 2 },
    CSP_MIRROR_READS_FOR_NEAR,
    0 },
  { "nobody near can be followed",
    9,
    { 5, 6, 7, 8 },
    { 1, 5, 2 },
    { 5, 6, 7, 8 },
    CSP_MIRROR_FOLLOWS,
    0 },
};

static size_t
fill_hosts (const uint32_t *numbers, size_t room, csp_peer_address_t *hosts)
{
  size_t i;

  for (i = 0; i < room && numbers[i] != 0; i++)
    hosts[i] = HOST (numbers[i]);
  return i;
}

/* The store turns a third of the hosts away, the first ones among them: the
   host that reads for all isn't the one that its data centre follows any more.
   From whichever host one starts, following leads to the one that reads, in no
   more than three steps; where it led round, configurations and notices
   reached nobody there for four seconds.  Fleets, and who is turned away, are
   drawn.  */
START_TEST (following_leads_to_the_one_that_reads)
{
  enum
  {
    DATA_CENTRES = 4,
    EACH = 6,
    ALL = DATA_CENTRES * EACH,
    STEPS = 3
  };
  static const csp_failed_upstreams_t none = { 0 };
  csp_hello_t hellos[ALL] = { 0 };
  size_t followed[ALL];
  csp_mirror_role_t roles[ALL];
  size_t readers = 0;
  csp_random_t random;
  size_t i;
  size_t j;

  csp_seed_random (&random, (uint64_t)_i + 1);
  for (i = 0; i < ALL; i++)
    {
      hellos[i].boot = 100 + i;
      hellos[i].sequence = 1;
      hellos[i].data_centre = (uint32_t)(i / EACH);
      hellos[i].capacity = csp_random_below (&random, 3) == 0 ? 500 : 120;
      hellos[i].up_ms = CSP_UP_TOLD_MAX_MS;
      hellos[i].blind = csp_random_below (&random, 3) == 0;
    }
  for (i = 0; i < ALL; i++)
    {
      csp_roster_t *roster = csp_create_roster (
          HOST (1 + (uint32_t)i), hellos[i].boot, hellos[i].data_centre, 1);
      csp_reader_ranks_t ranks;
      csp_peer_address_t upstream;

      csp_set_roster_self (roster, hellos[i].capacity, -60000);
      csp_set_roster_blind (roster, hellos[i].blind);
      for (j = 0; j < ALL; j++)
        if (j != i)
          csp_hear_peer (roster, HOST (1 + (uint32_t)j), &hellos[j], 1000);
      csp_rank_readers (roster, &ranks);
      roles[i] = csp_choose_upstream (&ranks, &none, &upstream);
      followed[i] = upstream.ip == 0 ? i : upstream.ip - 1;
      readers += roles[i] == CSP_MIRROR_READS_FOR_ALL;
      csp_destroy_roster (roster);
    }
  ck_assert_uint_eq (readers, 1);
  for (i = 0; i < ALL; i++)
    {
      size_t at = i;

      for (j = 0; j < STEPS; j++)
        at = followed[at];
      ck_assert_msg (roles[at] == CSP_MIRROR_READS_FOR_ALL,
                     "seed %d: host %zu follows in vain", _i + 1, i + 1);
    }
}
END_TEST

START_TEST (who_is_followed_is_an_order_that_all_know)
{
  csp_reader_ranks_t ranks = { .self = HOST (upstreams[_i].self) };
  csp_failed_upstreams_t failed;
  csp_peer_address_t upstream;
  csp_mirror_role_t role;

  ranks.near_count
      = fill_hosts (upstreams[_i].near, CSP_READERS_NEAR_MAX, ranks.near);
  ranks.fleet_count
      = fill_hosts (upstreams[_i].fleet, CSP_READERS_FLEET_MAX, ranks.fleet);
  failed.count = fill_hosts (upstreams[_i].failed, CSP_UPSTREAMS_FAILED_MAX,
                             failed.hosts);
  role = csp_choose_upstream (&ranks, &failed, &upstream);
  ck_assert_msg (role == upstreams[_i].role, "%s", upstreams[_i].what);
  ck_assert_msg (upstream.ip == upstreams[_i].upstream, "%s: %u",
                 upstreams[_i].what, upstream.ip);
}
END_TEST

/* A host for the tests below: a mirror, its feed, and a store that is played
   by its port alone: nobody listens there.  */
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

static struct sockaddr_in
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size_bytes = sizeof address;
  int probe = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (bind (probe, (struct sockaddr *)&address, sizeof address),
                    0);
  getsockname (probe, (struct sockaddr *)&address, &size_bytes);
  close (probe);
  return address;
}

static csp_peer_address_t
peer_of (const struct sockaddr_in *address)
{
  csp_peer_address_t peer
      = { ntohl (address->sin_addr.s_addr), ntohs (address->sin_port) };

  return peer;
}

static size_t
list_hosts (void *state, csp_peer_address_t *addresses, size_t room)
{
  const host_t *host = state;

  (void)room;
  addresses[0] = peer_of (&hosts[host == &hosts[0]].serve);
  return 1;
}

/* All follow the first one.  */
static void
rank_first (void *state, csp_reader_ranks_t *ranks)
{
  const host_t *host = state;

  *ranks = (csp_reader_ranks_t){ .self = peer_of (&host->serve),
                                 .near_count = 1,
                                 .near = { peer_of (&hosts[0].serve) },
                                 .hosts = HOSTS };
}

/* Each host ranks the other one before itself, so that it follows it.  */
static void
rank_readers (void *state, csp_reader_ranks_t *ranks)
{
  const host_t *host = state;

  *ranks = (csp_reader_ranks_t){ .self = peer_of (&host->serve),
                                 .near_count = 2,
                                 .hosts = 2 };
  list_hosts (state, ranks->near, 1);
  ranks->near[1] = ranks->self;
}

static int store_asked; /* calls to the store that failed, of all hosts */

static void
write_call (void *state, const csp_watch_call_t *call, csp_buffer_t *request)
{
  (void)state;
  (void)call;
  store_asked++;
  csp_print_buffer (request, "GET / HTTP/1.1\r\n\r\n");
}

static void
on_reach (void *state, bool away)
{
  host_t *host = state;

  csp_note_store_reach (host->feed, away);
}

static const csp_follow_source_t no_store
    = { .write_call = write_call,
        .reach_changed = on_reach,
        .policy = { .wait_ms = 600, .slack_ms = 500, .pause_last_ms = 400 } };

static void
open_ranked_host (host_t *host, csp_mirror_t *of,
                  void (*rank) (void *, csp_reader_ranks_t *))
{
  csp_mirror_feed_settings_t settings = { .serve = host->serve,
                                          .store = free_port (),
                                          .store_source = &no_store,
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
turn_until_told (const char *awaited)
{
  while (strstr (told, awaited) == NULL)
    uv_run (&loop, UV_RUN_ONCE);
}

/* A host is cut off from the store, or starts while it is away.  It reads the
   copy of a host that is not, and hears of each change at once.  */
START_TEST (a_host_that_is_turned_away_follows_another)
{
  static const csp_mirror_events_t silent = { 0 };
  csp_mirror_t *source = csp_create_mirror (&silent, NULL);
  csp_mirror_server_t *server;

  uv_loop_init (&loop);
  hosts[0].serve = free_port ();
  hosts[1].serve = free_port ();
  csp_put_mirror_item (source, "s/a", "1", 5);
  csp_note_mirror_revision (source, 5);
  server = csp_open_mirror_server (&loop, &hosts[0].serve, LINK, source);
  csp_tell_mirror_server (server, true, false, uv_now (&loop));
  open_host (&hosts[1], mirror);
  csp_note_store_reach (hosts[1].feed, true);
  turn_until_told ("s/a=1 ");
  csp_put_mirror_item (source, "s/b", "2", 7);
  csp_note_mirror_revision (source, 7);
  csp_tell_mirror_server (server, true, false, uv_now (&loop));
  turn_until_told ("s/b=2 ");
  csp_close_mirror_server (server);
  csp_close_mirror_feed (hosts[1].feed);
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&loop), 0);
  csp_destroy_mirror (source);
}
END_TEST

/* Fifty hosts of a data centre follow its first one, which sends each change
   to each of them until its link is full.  It serves what the link can bear,
   here four, and names those to the others; all hear of each change all the
   same.  */
START_TEST (one_host_serves_a_few_and_all_hear)
{
  static const csp_mirror_events_t silent = { 0 };
  csp_mirror_t *mirrors[HOSTS];
  csp_mirror_server_t *root;
  size_t behind = HOSTS;
  size_t i;

  uv_loop_init (&loop);
  for (i = 0; i < HOSTS; i++)
    {
      hosts[i].serve = free_port ();
      mirrors[i] = csp_create_mirror (&silent, NULL);
      csp_put_mirror_item (mirrors[i], "s/a", "1", 5);
      csp_note_mirror_revision (mirrors[i], 5);
    }
  root = csp_open_mirror_server (&loop, &hosts[0].serve, 1, mirrors[0]);
  csp_tell_mirror_server (root, true, false, uv_now (&loop));
  csp_note_follower_cost (root, 1000);
  for (i = 1; i < HOSTS; i++)
    {
      open_ranked_host (&hosts[i], mirrors[i], rank_first);
      csp_note_mirror_fed (hosts[i].feed, true);
    }
  csp_put_mirror_item (mirrors[0], "s/b", "2", 7);
  csp_note_mirror_revision (mirrors[0], 7);
  while (behind > 0)
    {
      uv_run (&loop, UV_RUN_ONCE);
      csp_tell_mirror_server (root, true, false, uv_now (&loop));
      for (behind = 0, i = 1; i < HOSTS; i++)
        behind += csp_mirror_revision (mirrors[i]) < 7;
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

/* Who may follow: as many as a host serves, and one more when one of them has
   not asked for a while.  What the one too many is told names the others.  */
START_TEST (followers_are_as_many_as_may_and_named)
{
  enum
  {
    MOST = 5
  };
  csp_mirror_followers_t followers = { 0 };
  csp_peer_address_t named[2 * MOST];
  csp_buffer_t text = { 0 };
  uint64_t i;

  for (i = 0; i < MOST; i++)
    ck_assert (csp_admit_follower (&followers, csp_pack_peer (HOST (1 + i)),
                                   MOST, 1000));
  ck_assert (
      !csp_admit_follower (&followers, csp_pack_peer (HOST (99)), MOST, 1100));
  csp_write_elsewhere (&followers, &text);
  csp_append_buffer (&text, "", 1);
  ck_assert_uint_eq (csp_read_elsewhere (text.data, named, 2), 2);
  ck_assert_uint_eq (csp_read_elsewhere (text.data, named, 2 * MOST), MOST);
  for (i = 0; i < MOST; i++)
    ck_assert (csp_is_same_peer (named[i], HOST (1 + i)));
  /* All ask again but one.  */
  for (i = 1; i < MOST; i++)
    ck_assert (csp_admit_follower (&followers, csp_pack_peer (HOST (1 + i)),
                                   MOST, 2000));
  ck_assert (
      !csp_admit_follower (&followers, csp_pack_peer (HOST (99)), MOST, 2400));
  ck_assert (
      csp_admit_follower (&followers, csp_pack_peer (HOST (99)), MOST, 2600));
  /* What one costs has risen: those that follow stay.  */
  ck_assert (
      csp_admit_follower (&followers, csp_pack_peer (HOST (99)), 2, 2700));
  ck_assert (
      !csp_admit_follower (&followers, csp_pack_peer (HOST (98)), 2, 2700));
  ck_assert_uint_eq (
      csp_read_elsewhere ("{\"as_of\":1,\"items\":[]}", named, 1), 0);
  ck_assert_uint_eq (csp_read_elsewhere ("no json", named, 1), 0);
  csp_clear_buffer (&text);
}
END_TEST

/* Bytes a second of a link and for one follower, and how many are served.  */
static const struct
{
  uint64_t link;
  uint64_t follower;
  size_t most;
} limits[] = {
  { 25000000, 0, CSP_MIRROR_FOLLOWERS_MAX },
  { 25000000, 8000, CSP_MIRROR_FOLLOWERS_MAX },
  { 25000000, 46000, 54 },
  { 2500000, 8000, 31 },
  { 2500000, 46000, 5 },
  { 2500000, 900000, 4 },
  { 0, 8000, 4 },
};

START_TEST (a_host_serves_what_its_link_can_bear)
{
  ck_assert_uint_eq (
      csp_limit_followers (limits[_i].link, limits[_i].follower),
      limits[_i].most);
}
END_TEST

/* Two hosts follow each other, each by an order in which the other comes
   first, and neither reads the store.  Each would take the other's word for
   the platform's, and none would hear of a notice any more; so word that goes
   round grows old, and a host whose word is old reads the store.  */
START_TEST (hosts_that_follow_each_other_notice)
{
  static const csp_mirror_events_t silent = { 0 };
  csp_mirror_t *others = csp_create_mirror (&silent, NULL);
  uint64_t until_ms;

  uv_loop_init (&loop);
  hosts[0].serve = free_port ();
  hosts[1].serve = free_port ();
  csp_put_mirror_item (mirror, "s/a", "1", 5);
  csp_note_mirror_revision (mirror, 5);
  csp_put_mirror_item (others, "s/a", "1", 5);
  csp_note_mirror_revision (others, 5);
  store_asked = 0;
  open_host (&hosts[0], mirror);
  open_host (&hosts[1], others);
  csp_note_mirror_fed (hosts[0].feed, true);
  csp_note_mirror_fed (hosts[1].feed, true);
  uv_update_time (&loop);
  until_ms = uv_now (&loop) + 10000;
  while (store_asked == 0 && uv_now (&loop) < until_ms)
    uv_run (&loop, UV_RUN_ONCE);
  ck_assert_int_gt (store_asked, 0);
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
  tcase_add_test (tcase, the_newest_revision_of_an_item_stays);
  tcase_add_test (tcase, what_a_whole_listing_lacks_is_removed);
  tcase_add_test (tcase, a_mirror_is_followed_by_another);
  tcase_add_test (tcase, an_unsettled_mirror_is_not_believed);
  tcase_add_test (tcase, a_follower_is_told_that_rows_may_be_missing);
  tcase_add_test (tcase, an_older_listing_removes_nothing);
  tcase_add_test (tcase, removals_are_forgotten_in_time);
  tcase_add_loop_test (tcase, what_is_no_mirror_is_refused, 0,
                       sizeof no_mirrors / sizeof no_mirrors[0]);
  tcase_add_loop_test (tcase, a_host_reads_where_it_is_cheap_and_sure, 0,
                       sizeof choices / sizeof choices[0]);
  tcase_add_test (tcase, all_hosts_together_ask_the_store_seldom);
  tcase_add_loop_test (tcase, who_is_followed_is_an_order_that_all_know, 0,
                       sizeof upstreams / sizeof upstreams[0]);
  tcase_add_loop_test (tcase, following_leads_to_the_one_that_reads, 0, 50);
  tcase_add_test (tcase, a_host_that_is_turned_away_follows_another);
  tcase_add_test (tcase, hosts_that_follow_each_other_notice);
  tcase_add_test (tcase, followers_are_as_many_as_may_and_named);
  tcase_add_loop_test (tcase, a_host_serves_what_its_link_can_bear, 0,
                       sizeof limits / sizeof limits[0]);
  tcase_add_test (tcase, one_host_serves_a_few_and_all_hear);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
