#include "mirror/mirror-imp.h"

#include <arpa/inet.h>
#include "support/free-port.h"
#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define HOST(number) ((csp_peer_address_t){ number, 10 })

enum
{
  FLEET_TARGETS = 6000,
  /* More than are left, so that old removals are dropped.  */
  RELEASED_TARGETS = 4000,
  LINK = 2500000, /* bytes a second */
  MS_PER_S = 1000
};

static const csp_mirror_events_t no_events = { 0 };
static uv_loop_t loop;
static struct sockaddr_in serve; /* of the server under test */
static csp_mirror_t *fleet;
static csp_mirror_server_t *server;

enum
{
  STARTING_HOSTS = 100,
  LISTED_HOSTS = 15,
  /* Half a core, for the first second of the two after a power failure.  */
  STARTING_MAX_CPU_MS = 500,
  LIST_MIN_BYTES = 20000,
  ROW_BYTES = 300
};

/* Fills a mirror with rows of a usual length.  */
static void
put_fleet (void)
{
  char key[32];
  char value[ROW_BYTES];
  int i;

  for (i = 0; i < FLEET_TARGETS; i++)
    {
      snprintf (key, sizeof key, "s/%d", i);
      snprintf (value, sizeof value,
                "{\"service\":\"engines\",\"address\":\"10.0.%d.%d:8080\","
                "\"zone\":\"cardiff\",\"version\":\"v1\",\"slots\":24,"
                "\"state\":\"ready\",\"models\":[{\"name\":\"m\"}]}",
                i / 250, i % 250);
      csp_put_mirror_item (fleet, key, value, 1 + i);
    }
  csp_note_mirror_revision (fleet, FLEET_TARGETS);
}

static void
set_up (void)
{
  uv_loop_init (&loop);
  serve = find_free_port ();
  fleet = csp_create_mirror (&no_events, NULL);
  ck_assert_ptr_nonnull (fleet);
  put_fleet ();
  server = csp_open_mirror_server (&loop, &serve, LINK, fleet);
  csp_update_mirror_server (server, true, false, uv_now (&loop));
}

static void
tear_down (void)
{
  csp_close_mirror_server (server);
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&loop), 0);
  csp_destroy_mirror (fleet);
}

/* Ask as a host for the changes after a revision without waiting for the
   answer.  */
static int
ask_for_items (int host, int after, bool packed)
{
  int client = socket (AF_INET, SOCK_STREAM, 0);
  char request[128];
  int size_bytes = snprintf (request, sizeof request,
                             "GET /mirror?after=%d&wait_ms=1&host=%d&first=0"
                             "&packed=%d HTTP/1.1\r\nHost: h\r\n\r\n",
                             after, host, packed);

  ck_assert_int_eq (
      connect (client, (const struct sockaddr *)&serve, sizeof serve), 0);
  ck_assert_int_eq (send (client, request, (size_t)size_bytes, 0), size_bytes);
  return client;
}

static size_t
receive_available (int client)
{
  static char bytes[65536];
  size_t received = 0;
  ssize_t count;

  while ((count = recv (client, bytes, sizeof bytes, MSG_DONTWAIT)) > 0)
    received += (size_t)count;
  return received;
}

/* Guards against a power failure after which the first host of a data centre
   encodes the list of thousands of targets for each of its followers anew and
   answers nobody in time.  */
START_TEST (starting_hosts_share_one_encoded_list)
{
  size_t received[STARTING_HOSTS] = { 0 };
  int clients[STARTING_HOSTS];
  size_t waiting = STARTING_HOSTS;
  clock_t began;
  size_t i;

  began = clock ();
  for (i = 0; i < STARTING_HOSTS; i++)
    {
      clients[i] = ask_for_items (0, 0, true);
      uv_run (&loop, UV_RUN_NOWAIT);
    }
  while (waiting > 0)
    {
      uv_run (&loop, UV_RUN_NOWAIT);
      for (waiting = 0, i = 0; i < STARTING_HOSTS; i++)
        {
          received[i] += receive_available (clients[i]);
          waiting += received[i] < LIST_MIN_BYTES;
        }
    }
  ck_assert_int_lt ((clock () - began) * MS_PER_S / CLOCKS_PER_SEC,
                    STARTING_MAX_CPU_MS);
  for (i = 0; i < STARTING_HOSTS; i++)
    close (clients[i]);
}
END_TEST

/* Read what a host is answered.  */
static void
read_answer (int client, char *text, size_t text_bytes)
{
  ssize_t size_bytes = 0;

  while (size_bytes <= 0)
    {
      uv_run (&loop, UV_RUN_NOWAIT);
      size_bytes = recv (client, text, text_bytes - 1, MSG_DONTWAIT);
    }
  text[size_bytes] = '\0';
  close (client);
}

/* Guards against lists that count as changes: after a power failure the first
   host of a data centre would serve the minimum of followers for seconds and
   send the others round in redirects.  */
START_TEST (lists_do_not_lower_the_follower_limit)
{
  static char text[65536];
  uint64_t measured_at_ms;
  int i;

  for (i = 1; i <= LISTED_HOSTS; i++)
    read_answer (ask_for_items (i, 0, true), text, sizeof text);
  measured_at_ms = uv_now (&loop) + MS_PER_S;
  while (uv_now (&loop) < measured_at_ms)
    uv_run (&loop, UV_RUN_NOWAIT);
  read_answer (ask_for_items (1, 1, true), text, sizeof text);
  read_answer (ask_for_items (LISTED_HOSTS + 1, 1, true), text, sizeof text);
  ck_assert_ptr_null (strstr (text, "elsewhere"));
}
END_TEST

/* The revision of the items that a host gets which knows the changes up to
   another one.  */
static long
ask_for_revision (int after)
{
  static const char as_of[] = "\"as_of\":";
  static char text[65536];
  const char *found;

  read_answer (ask_for_items (1, after, false), text, sizeof text);
  found = strstr (text, as_of);
  ck_assert_ptr_nonnull (found);
  return strtol (found + strlen (as_of), NULL, 10);
}

/* Guards against a release beside a start: the list that was encoded for the
   hosts that started lacks the removals, and a host that is further on would
   get it again and again.  */
START_TEST (a_host_that_knows_more_than_the_kept_list_gets_a_newer_one)
{
  int revision = FLEET_TARGETS;
  char key[32];
  int i;

  ck_assert_int_eq (ask_for_revision (0), revision);
  for (i = 0; i < RELEASED_TARGETS; i++)
    {
      snprintf (key, sizeof key, "s/%d", i);
      csp_put_mirror_item (fleet, key, NULL, ++revision);
    }
  csp_note_mirror_revision (fleet, revision);
  ck_assert (csp_needs_whole_mirror (fleet, FLEET_TARGETS + 1));
  ck_assert_int_eq (ask_for_revision (FLEET_TARGETS + 1), revision);
  ck_assert_int_eq (ask_for_revision (FLEET_TARGETS + 1), revision);
}
END_TEST

/* Guards against hosts that have just started and send each other what they
   have read of the list so far, which the others ignore.  */
START_TEST (an_unsettled_host_sends_no_items)
{
  csp_mirror_status_t unsettled = { .settled = false };
  csp_buffer_t text = { 0 };

  ck_assert (csp_encode_mirror (fleet, 0, &unsettled, &text));
  ck_assert_uint_lt (text.size_bytes, 200);
  csp_clear_buffer (&text);
}
END_TEST

/* A host admits followers up to its maximum, and another one when one of them
   has stopped asking.  The redirect names the current followers.  */
START_TEST (followers_are_limited_and_named_in_redirects)
{
  enum
  {
    MAX_FOLLOWERS = 5
  };
  csp_mirror_followers_t followers = { 0 };
  csp_peer_address_t named[2 * MAX_FOLLOWERS];
  csp_buffer_t text = { 0 };
  uint64_t i;

  for (i = 0; i < MAX_FOLLOWERS; i++)
    ck_assert (csp_admit_follower (&followers, csp_pack_peer (HOST (1 + i)),
                                   MAX_FOLLOWERS, 1000));
  ck_assert (!csp_admit_follower (&followers, csp_pack_peer (HOST (99)),
                                  MAX_FOLLOWERS, 1100));
  csp_encode_redirect (&followers, &text);
  csp_append_buffer (&text, "", 1);
  ck_assert_uint_eq (csp_decode_redirect (text.data, named, 2), 2);
  ck_assert_uint_eq (csp_decode_redirect (text.data, named, 2 * MAX_FOLLOWERS),
                     MAX_FOLLOWERS);
  for (i = 0; i < MAX_FOLLOWERS; i++)
    ck_assert (csp_is_same_peer (named[i], HOST (1 + i)));
  /* All but one ask again.  */
  for (i = 1; i < MAX_FOLLOWERS; i++)
    ck_assert (csp_admit_follower (&followers, csp_pack_peer (HOST (1 + i)),
                                   MAX_FOLLOWERS, 2000));
  ck_assert (!csp_admit_follower (&followers, csp_pack_peer (HOST (99)),
                                  MAX_FOLLOWERS, 2400));
  ck_assert (csp_admit_follower (&followers, csp_pack_peer (HOST (99)),
                                 MAX_FOLLOWERS, 2600));
  /* A follower costs more, which lowers the maximum: followers are kept.  */
  ck_assert (
      csp_admit_follower (&followers, csp_pack_peer (HOST (99)), 2, 2700));
  ck_assert (
      !csp_admit_follower (&followers, csp_pack_peer (HOST (98)), 2, 2700));
  ck_assert_uint_eq (
      csp_decode_redirect ("{\"as_of\":1,\"items\":[]}", named, 1), 0);
  ck_assert_uint_eq (csp_decode_redirect ("no json", named, 1), 0);
  csp_clear_buffer (&text);
}
END_TEST

/* Bytes a second of a link and for one follower, and the limit.  */
static const struct
{
  uint64_t link;
  uint64_t follower;
  size_t max_followers;
} limits[] = {
  { 25000000, 0, CSP_MIRROR_FOLLOWERS_MAX },
  { 25000000, 8000, CSP_MIRROR_FOLLOWERS_MAX },
  { 25000000, 46000, 54 },
  { 2500000, 8000, 31 },
  { 2500000, 46000, 5 },
  { 2500000, 900000, 4 },
  { 0, 8000, 4 },
};

START_TEST (the_follower_limit_depends_on_link_bandwidth)
{
  ck_assert_uint_eq (
      csp_compute_follower_limit (limits[_i].link, limits[_i].follower),
      limits[_i].max_followers);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("mirror-server");
  TCase *tcase = tcase_create ("mirror-server");
  TCase *plain = tcase_create ("followers");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, starting_hosts_share_one_encoded_list);
  tcase_add_test (tcase, lists_do_not_lower_the_follower_limit);
  tcase_add_test (tcase,
                  a_host_that_knows_more_than_the_kept_list_gets_a_newer_one);
  tcase_add_test (tcase, an_unsettled_host_sends_no_items);
  tcase_add_test (plain, followers_are_limited_and_named_in_redirects);
  tcase_add_loop_test (plain, the_follower_limit_depends_on_link_bandwidth, 0,
                       sizeof limits / sizeof limits[0]);
  suite_add_tcase (suite, tcase);
  suite_add_tcase (suite, plain);
  return run_suite (suite);
}
