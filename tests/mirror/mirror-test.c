#include "cowslipspoke/mirror.h"

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

static const csp_mirror_events_t events
    = { .changed = on_changed, .listing_ended = on_listing_ended };

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
  ck_assert (csp_encode_mirror (mirror, 0, true, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert (csp_decode_mirror (other, text.data, &as_of));
  ck_assert_int_eq (as_of, 9);
  ck_assert_str_eq (told, "s/a=quote \" and\nline listed:= ");
  csp_put_mirror_item (mirror, "s/a", NULL, 10);
  csp_put_mirror_item (mirror, "s/c", "3", 11);
  csp_note_mirror_revision (mirror, 11);
  told[0] = '\0';
  csp_clear_buffer (&text);
  ck_assert (csp_encode_mirror (mirror, 9, true, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert (csp_decode_mirror (other, text.data, &as_of));
  ck_assert_str_eq (told, "s/a=- s/c=3 ");
  csp_clear_buffer (&text);
  csp_destroy_mirror (other);
}
END_TEST

/* The store has just come back and half of its rows have lapsed.  A host that
   follows our mirror would take live targets for gone.  */
START_TEST (an_unsettled_mirror_is_not_believed)
{
  csp_mirror_t *other = csp_create_mirror (&events, NULL);
  csp_buffer_t text = { 0 };
  int64_t as_of = 0;

  csp_put_mirror_item (other, "s/a", "1", 5);
  csp_put_mirror_item (mirror, "s/a", NULL, 7);
  told[0] = '\0';
  ck_assert (csp_encode_mirror (mirror, 5, false, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert (!csp_decode_mirror (other, text.data, &as_of));
  ck_assert_str_eq (told, "");
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
  ck_assert (csp_encode_mirror (mirror, 0, true, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert (csp_decode_mirror (other, text.data, &as_of));
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
  ck_assert (csp_encode_mirror (mirror, 2, true, &text));
  csp_append_buffer (&text, "", 1);
  ck_assert_ptr_nonnull (strstr (text.data, "\"whole\":true"));
  ck_assert_ptr_nonnull (strstr (text.data, "s/stays"));
  ck_assert_uint_lt (text.size_bytes, 400);
  csp_clear_buffer (&text);
  ck_assert (csp_encode_mirror (mirror, revision - 3, true, &text));
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

  ck_assert (!csp_decode_mirror (mirror, no_mirrors[_i], &as_of));
}
END_TEST

/* Who reads where.  */
static const struct
{
  const char *what;
  csp_mirror_facts_t facts;
  csp_mirror_source_t source;
} choices[] = {
  { "a host that starts", { .reader_is_other = true }, CSP_SOURCE_STORE },
  { "the reader", { .known = true }, CSP_SOURCE_STORE },
  { "the others",
    { .known = true, .reader_is_other = true },
    CSP_SOURCE_READER },
  { "the others, their reader gone",
    { .known = true,
      .reader_is_other = true,
      .reader_failed = true,
      .reader_failed_ms_ago = 100 },
    CSP_SOURCE_STORE },
  { "the others, a while later",
    { .known = true,
      .reader_is_other = true,
      .reader_failed = true,
      .reader_failed_ms_ago = 1100 },
    CSP_SOURCE_READER },
  { "a reader that the store turns away",
    { .known = true, .store_away = true },
    CSP_SOURCE_ANY_HOST },
  { "a host that starts while the store is away",
    { .store_away = true, .reader_is_other = true },
    CSP_SOURCE_ANY_HOST },
};

START_TEST (a_host_reads_where_it_is_cheap_and_sure)
{
  ck_assert_msg (csp_choose_mirror_source (&choices[_i].facts)
                     == choices[_i].source,
                 "%s", choices[_i].what);
}
END_TEST

/* A host for the tests below: a mirror, its feed, and a store that is played
   by its port alone: nobody listens there.  */
typedef struct
{
  csp_mirror_t *mirror;
  csp_mirror_feed_t *feed;
  struct sockaddr_in serve;
  csp_peer_address_t reader; /* port 0: itself */
} host_t;

static uv_loop_t loop;
static host_t hosts[2];

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

static bool
find_reader (void *state, csp_peer_address_t *reader)
{
  const host_t *host = state;

  *reader = host->reader;
  return reader->port != 0;
}

static void
write_call (void *state, const csp_watch_call_t *call, csp_buffer_t *request)
{
  (void)state;
  (void)call;
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
open_host (host_t *host, csp_mirror_t *of)
{
  csp_mirror_feed_settings_t settings = { .serve = host->serve,
                                          .store = free_port (),
                                          .store_source = &no_store,
                                          .store_state = host,
                                          .list_hosts = list_hosts,
                                          .find_reader = find_reader,
                                          .hosts_state = host };

  host->mirror = of;
  host->feed = csp_open_mirror_feed (&loop, &settings, of, NULL);
  ck_assert_ptr_nonnull (host->feed);
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
  hosts[0].reader.port = 0;
  hosts[1].reader.port = 0;
  csp_put_mirror_item (source, "s/a", "1", 5);
  csp_note_mirror_revision (source, 5);
  server = csp_open_mirror_server (&loop, &hosts[0].serve, source);
  csp_settle_mirror_server (server, true);
  open_host (&hosts[1], mirror);
  csp_note_store_reach (hosts[1].feed, true);
  turn_until_told ("s/a=1 ");
  csp_put_mirror_item (source, "s/b", "2", 7);
  csp_note_mirror_revision (source, 7);
  csp_tell_mirror_server (server);
  turn_until_told ("s/b=2 ");
  csp_close_mirror_server (server);
  csp_close_mirror_feed (hosts[1].feed);
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&loop), 0);
  csp_destroy_mirror (source);
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
  tcase_add_test (tcase, an_older_listing_removes_nothing);
  tcase_add_test (tcase, removals_are_forgotten_in_time);
  tcase_add_loop_test (tcase, what_is_no_mirror_is_refused, 0,
                       sizeof no_mirrors / sizeof no_mirrors[0]);
  tcase_add_loop_test (tcase, a_host_reads_where_it_is_cheap_and_sure, 0,
                       sizeof choices / sizeof choices[0]);
  tcase_add_test (tcase, a_host_that_is_turned_away_follows_another);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
