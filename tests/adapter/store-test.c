#include "gateway/gateway-fixture.h"
#include "platform.h"
#include "support/run-suite.h"

#include <arpa/inet.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The store's client against a store that the test plays call by call, and a
   gateway that shows what came of it.  */

static fixture_t fixture;
static csp_adapter_settings_t settings;
static csp_store_client_t *client;
static uv_loop_t loop;
static uv_async_t stop;
static pthread_t thread;
static int store;

static void
close_handle (uv_handle_t *handle, void *state)
{
  (void)state;
  if (!uv_is_closing (handle))
    uv_close (handle, NULL);
}

static void
on_stop (uv_async_t *handle)
{
  csp_close_store_client (client);
  uv_walk (handle->loop, close_handle, NULL);
}

static void *
run_loop (void *state)
{
  (void)state;
  uv_run (&loop, UV_RUN_DEFAULT);
  return NULL;
}

static void
set_up (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval wait = { .tv_sec = 10 };
  socklen_t size_bytes = sizeof address;

  fixture_open (&fixture);
  store = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (bind (store, (struct sockaddr *)&address, sizeof address),
                    0);
  ck_assert_int_eq (listen (store, 16), 0);
  setsockopt (store, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  memset (&settings, 0, sizeof settings);
  getsockname (store, (struct sockaddr *)&settings.store, &size_bytes);
  snprintf (settings.store_host, sizeof settings.store_host, "store:1");
  uv_loop_init (&loop);
  uv_async_init (&loop, &stop, on_stop);
  client = csp_open_store_client (&loop, &settings, fixture.gateway, NULL);
  ck_assert_ptr_nonnull (client);
  ck_assert_int_eq (pthread_create (&thread, NULL, run_loop, NULL), 0);
}

static void
tear_down (void)
{
  uv_async_send (&stop);
  pthread_join (thread, NULL);
  uv_loop_close (&loop);
  close (store);
  fixture_close (&fixture);
}

/* Read one call and check how its target begins.  */
static void
await_call (int link, const char *target)
{
  char awaited[200];
  const char *text = target_read (link, 0);

  snprintf (awaited, sizeof awaited, "GET %s", target);
  ck_assert_msg (strncmp (text, awaited, strlen (awaited)) == 0,
                 "awaited %s, got %.200s", target, text);
}

static void
answer (int link, int status, const char *body)
{
  char head[200];

  snprintf (head, sizeof head, "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n\r\n",
            status, strlen (body));
  send_text (link, head);
  send_text (link, body);
}

/* An item as the store writes it.  */
static const char *
item (const char *key, int revision, const char *json)
{
  static char rooms[4][2048];
  static int next;
  char *room = rooms[next++ % 4];
  unsigned char base64[1536];

  EVP_EncodeBlock (base64, (const unsigned char *)json, (int)strlen (json));
  snprintf (room, sizeof rooms[0],
            "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":1,"
            "\"lease\":0}",
            key, base64, revision);
  return room;
}

#define CONFIG(version)                                                       \
  "{\"version\":" version ",\"routes\":[{\"name\":\"r\",\"host\":\"h\","      \
  "\"path_prefix\":\"/p/\",\"route_kind\":\"unsafe\",\"timeout_ms\":4000,"    \
  "\"max_attempts\":1,\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}]}"
#define SERVER(state)                                                         \
  "{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\","            \
  "\"slots\":4,\"state\":\"" state "\"}"

static void
await_page (const char *path, const char *awaited)
{
  while (strstr (fixture_page (&fixture, path), awaited) == NULL)
    continue;
}

/* Answer the watch that asks whether a stale list is current: nothing has
   changed.  */
static void
confirm (int link)
{
  await_call (link, "/kv-watch?path_prefix=&after=40&wait_ms=1 ");
  answer (link, 200, "{\"events\":[],\"as_of\":40}");
}

/* Answer the first listing by one page of a configuration and a server; the
   store's connection is returned.  */
static int
list_unconfirmed (void)
{
  char body[8192];
  int link = target_accept (store);

  await_call (link, "/kv-range?path_prefix=&stale_ok=1 HTTP/1.1\r\n"
                    "Host: store:1\r\n");
  snprintf (body, sizeof body,
            "{\"items\":[%s,%s,%s],\"has_more\":false,\"as_of\":40}",
            item ("op/config", 30, CONFIG ("7")),
            item ("other/thing", 31, "x"),
            item ("servers/i-1", 32, SERVER ("ready")));
  answer (link, 200, body);
  return link;
}

static int
list_all (void)
{
  int link = list_unconfirmed ();

  confirm (link);
  return link;
}

/* All hosts start at once and each lists the store, by lists that may be some
   seconds old.  A host that took callers by such a one would refuse a key that
   was added a moment ago; so it asks first what has changed since.  */
START_TEST (a_host_is_ready_when_it_has_read_the_store)
{
  int link;

  ck_assert_ptr_nonnull (strstr (fixture_page (&fixture, "/readyz"), " 503 "));
  link = list_unconfirmed ();
  await_page ("/metrics", "gateway_targets 1\n");
  ck_assert_ptr_nonnull (strstr (fixture_page (&fixture, "/readyz"), " 503 "));
  confirm (link);
  await_page ("/readyz", " 200 ");
  await_page ("/metrics", "gateway_routes_version 7\n");
  await_page ("/metrics", "gateway_targets 1\n");
  await_call (link, "/kv-watch?path_prefix=&after=40&wait_ms=");
  close (link);
}
END_TEST

START_TEST (pages_follow_one_another)
{
  char body[8192];
  int link = target_accept (store);

  await_call (link, "/kv-range?path_prefix=&stale_ok=1 ");
  snprintf (body, sizeof body,
            "{\"items\":[%s],\"has_more\":true,\"as_of\":42}",
            item ("op/config", 30, CONFIG ("7")));
  answer (link, 200, body);
  await_call (link, "/kv-range?path_prefix=&after=op/config&stale_ok=1 ");
  ck_assert_ptr_nonnull (strstr (fixture_page (&fixture, "/readyz"), " 503 "));
  snprintf (body, sizeof body,
            "{\"items\":[%s],\"has_more\":false,\"as_of\":40}",
            item ("servers/i-1", 39, SERVER ("ready")));
  answer (link, 200, body);
  /* From the oldest page's revision: what changed since is seen once more.  */
  confirm (link);
  await_page ("/readyz", " 200 ");
  await_call (link, "/kv-watch?path_prefix=&after=40&wait_ms=600 ");
  close (link);
}
END_TEST

START_TEST (changes_are_taken_and_an_older_version_is_not)
{
  char body[8192];
  int link = list_all ();

  await_call (link, "/kv-watch?path_prefix=&after=40&");
  snprintf (body, sizeof body, "{\"events\":[%s,%s],\"as_of\":43}",
            item ("op/config", 42, CONFIG ("9")),
            item ("servers/i-2", 43, SERVER ("ready")));
  answer (link, 200, body);
  await_page ("/metrics", "gateway_routes_version 9\n");
  await_page ("/metrics", "gateway_targets 2\n");
  await_call (link, "/kv-watch?path_prefix=&after=43&");
  snprintf (body, sizeof body,
            "{\"events\":[%s,{\"key\":\"servers/i-2\",\"revision\":45,"
            "\"deleted\":true}],\"as_of\":45}",
            item ("op/config", 44, CONFIG ("8")));
  answer (link, 200, body);
  await_page ("/metrics", "gateway_targets 1\n");
  ck_assert_ptr_nonnull (strstr (fixture_page (&fixture, "/metrics"),
                                 "gateway_routes_version 9\n"));
  close (link);
}
END_TEST

/* The store has forgotten its history while a server left.  The list is read
   anew, and what it lacks is gone.  */
START_TEST (history_that_is_gone_makes_a_new_list)
{
  char body[8192];
  int link = list_all ();

  await_call (link, "/kv-watch?");
  answer (link, 410, "{\"error\":\"compacted\"}");
  close (link);
  link = target_accept (store);
  await_call (link, "/kv-range?path_prefix= ");
  snprintf (body, sizeof body,
            "{\"items\":[%s],\"has_more\":false,\"as_of\":90}",
            item ("op/config", 30, CONFIG ("7")));
  answer (link, 200, body);
  await_page ("/metrics", "gateway_targets 0\n");
  close (link);
}
END_TEST

/* What the store may answer in place of changes; the client goes on from where
   it was, and nothing in force changes.  */
static const struct
{
  int status; /* 0: the connection is closed */
  const char *body;
} troubles[] = {
  { 503, "" },
  { 429, "" },
  { 200, "no json" },
  { 200, "{\"events\":{},\"as_of\":41}" },
  { 200, "{\"events\":[]}" },
  { 0, "" },
};

START_TEST (a_call_that_failed_is_made_again)
{
  int link = list_all ();

  await_call (link, "/kv-watch?path_prefix=&after=40&");
  if (troubles[_i].status != 0)
    answer (link, troubles[_i].status, troubles[_i].body);
  close (link);
  link = target_accept (store);
  await_call (link, "/kv-watch?path_prefix=&after=40&");
  await_page ("/metrics", "gateway_targets 1\n");
  close (link);
}
END_TEST

/* A configuration or a server that can't be used, between good ones.  */
START_TEST (bad_items_are_passed_over)
{
  char body[8192];
  int link = list_all ();

  await_call (link, "/kv-watch?");
  snprintf (body, sizeof body,
            "{\"events\":[%s,{\"key\":\"op/config\",\"value\":\"***\","
            "\"revision\":42},%s,%s],\"as_of\":44}",
            item ("op/config", 41, "{\"version\":9,\"routes\":[{}]}"),
            item ("servers/i-2", 43, "{}"),
            item ("servers/i-3", 44, SERVER ("ready")));
  answer (link, 200, body);
  await_page ("/metrics", "gateway_targets 2\n");
  ck_assert_ptr_nonnull (strstr (fixture_page (&fixture, "/metrics"),
                                 "gateway_routes_version 7\n"));
  close (link);
}
END_TEST

/* What another writer may leave in the place of a server's entry.  */
static const char *const spoilt_values[] = {
  "\"***\"",      "null",          "7",        "\"e30=\"", "\"\"",
  "\"/////w==\"", "{\"value\":1}", "\"AAAA\"", "[]",
};

/* A server's entry was good and is overwritten by another writer.  It names no
   server to use now; requests that go there all the same meet whatever has its
   address.  The server's own next entry brings it back; the others hold all
   the while.  */
START_TEST (an_entry_that_turns_bad_names_no_server)
{
  char body[8192];
  int link = list_all ();

  await_call (link, "/kv-watch?");
  snprintf (body, sizeof body,
            "{\"events\":[%s,{\"key\":\"servers/i-1\",\"value\":%s,"
            "\"revision\":42},7,{\"key\":9}],\"as_of\":44}",
            item ("servers/i-2", 41, SERVER ("ready")), spoilt_values[_i]);
  answer (link, 200, body);
  await_call (link, "/kv-watch?path_prefix=&after=44&");
  await_page ("/metrics", "gateway_targets 1\n");
  snprintf (body, sizeof body, "{\"events\":[%s],\"as_of\":45}",
            item ("servers/i-1", 45, SERVER ("ready")));
  answer (link, 200, body);
  await_page ("/metrics", "gateway_targets 2\n");
  close (link);
}
END_TEST

/* What an operator, or anybody else, may leave as the value of an evacuation.
   The key alone says it.  */
static const char *const evacuation_values[] = {
  "\"e30=\"", "\"\"", "\"***\"", "null", "7", "\"/////w==\"",
};

#define CORDONED "gateway_cordoned{data_centre=\"z\"} 1\n"

/* The operator evacuates a zone and takes it back.  A host that reads the
   value, or misses the key's deletion while the store forgets its history,
   sends there what is lost, or leaves a quarter of the engines idle.  */
START_TEST (a_zone_is_evacuated_and_taken_back)
{
  char body[8192];
  int link = list_all ();

  await_call (link, "/kv-watch?");
  snprintf (body, sizeof body,
            "{\"events\":[{\"key\":\"op/evacuate/z\",\"value\":%s,"
            "\"revision\":41}],\"as_of\":41}",
            evacuation_values[_i]);
  answer (link, 200, body);
  await_call (link, "/kv-watch?path_prefix=&after=41&");
  await_page ("/metrics", CORDONED);
  answer (link, 200,
          "{\"events\":[{\"key\":\"op/evacuate/z\",\"revision\":42,"
          "\"deleted\":true}],\"as_of\":42}");
  await_call (link, "/kv-watch?path_prefix=&after=42&");
  while (strstr (fixture_page (&fixture, "/metrics"), CORDONED) != NULL)
    continue;
  close (link);
}
END_TEST

START_TEST (a_zone_that_was_taken_back_unseen_is_found)
{
  char body[8192];
  int link = list_all ();

  await_call (link, "/kv-watch?");
  snprintf (body, sizeof body, "{\"events\":[%s],\"as_of\":41}",
            item ("op/evacuate/z", 41, "{}"));
  answer (link, 200, body);
  await_page ("/metrics", CORDONED);
  await_call (link, "/kv-watch?");
  answer (link, 410, "{\"error\":\"compacted\"}");
  close (link);
  link = target_accept (store);
  await_call (link, "/kv-range?path_prefix= ");
  snprintf (body, sizeof body,
            "{\"items\":[%s],\"has_more\":false,\"as_of\":90}",
            item ("op/config", 30, CONFIG ("7")));
  answer (link, 200, body);
  while (strstr (fixture_page (&fixture, "/metrics"), CORDONED) != NULL)
    continue;
  close (link);
}
END_TEST

/* Keys that name no zone, between good ones, change nothing.  */
START_TEST (evacuations_without_a_name_are_passed_over)
{
  char body[8192];
  int link = list_all ();

  await_call (link, "/kv-watch?");
  snprintf (
      body, sizeof body, "{\"events\":[%s,%s,%s],\"as_of\":44}",
      item ("op/evacuate/", 41, "{}"),
      item ("op/evacuate/"
            "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
            "aaaa",
            42, "{}"),
      item ("servers/i-2", 43, SERVER ("ready")));
  answer (link, 200, body);
  await_page ("/metrics", "gateway_targets 2\n");
  ck_assert_ptr_null (
      strstr (fixture_page (&fixture, "/metrics"), "gateway_cordoned{"));
  close (link);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("store");
  TCase *tcase = tcase_create ("store");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, a_host_is_ready_when_it_has_read_the_store);
  tcase_add_test (tcase, pages_follow_one_another);
  tcase_add_test (tcase, changes_are_taken_and_an_older_version_is_not);
  tcase_add_test (tcase, history_that_is_gone_makes_a_new_list);
  tcase_add_loop_test (tcase, a_call_that_failed_is_made_again, 0,
                       sizeof troubles / sizeof troubles[0]);
  tcase_add_test (tcase, bad_items_are_passed_over);
  tcase_add_loop_test (tcase, an_entry_that_turns_bad_names_no_server, 0,
                       sizeof spoilt_values / sizeof spoilt_values[0]);
  tcase_add_loop_test (tcase, a_zone_is_evacuated_and_taken_back, 0,
                       sizeof evacuation_values / sizeof evacuation_values[0]);
  tcase_add_test (tcase, a_zone_that_was_taken_back_unseen_is_found);
  tcase_add_test (tcase, evacuations_without_a_name_are_passed_over);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
