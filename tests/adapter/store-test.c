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

/* Runs the store's client against a store that the test scripts request by
   request, and checks the resulting state of a gateway.  */

static fixture_t fixture;
static csp_adapter_settings_t settings;
static csp_store_client_t *client;
static uv_loop_t loop;
static uv_async_t stop;
static pthread_t thread;
static int store_socket;

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
  store_socket = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (
      bind (store_socket, (struct sockaddr *)&address, sizeof address), 0);
  ck_assert_int_eq (listen (store_socket, 16), 0);
  setsockopt (store_socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  memset (&settings, 0, sizeof settings);
  getsockname (store_socket, (struct sockaddr *)&settings.store_address,
               &size_bytes);
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
  close (store_socket);
  fixture_close (&fixture);
}

/* Read one request and check that its request target begins with target.  */
static void
expect_request (int connection, const char *target)
{
  char expected[200];
  const char *text = read_target_request (connection, 0);

  snprintf (expected, sizeof expected, "GET %s", target);
  ck_assert_msg (strncmp (text, expected, strlen (expected)) == 0,
                 "awaited %s, got %.200s", target, text);
}

static void
send_response (int connection, int status, const char *body)
{
  char head[200];

  snprintf (head, sizeof head, "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n\r\n",
            status, strlen (body));
  send_text (connection, head);
  send_text (connection, body);
}

/* Format an item as the store sends it.  */
static const char *
format_item (const char *key, int revision, const char *json)
{
  static char buffers[4][2048];
  static int next;
  char *buffer = buffers[next++ % 4];
  unsigned char base64[1536];

  EVP_EncodeBlock (base64, (const unsigned char *)json, (int)strlen (json));
  snprintf (buffer, sizeof buffers[0],
            "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":1,"
            "\"lease\":0}",
            key, base64, revision);
  return buffer;
}

#define CONFIG(version)                                                       \
  "{\"version\":" version ",\"routes\":[{\"name\":\"r\",\"host\":\"h\","      \
  "\"path_prefix\":\"/p/\",\"route_kind\":\"unsafe\",\"timeout_ms\":4000,"    \
  "\"max_attempts\":1,\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}]}"
#define SERVER(state)                                                         \
  "{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\","            \
  "\"slots\":4,\"state\":\"" state "\"}"

static void
wait_for_page (const char *path, const char *expected)
{
  while (strstr (fixture_get_page (&fixture, path), expected) == NULL)
    continue;
}

/* Answer the watch that checks whether a possibly stale listing is current:
   nothing has changed.  */
static void
confirm_listing (int connection)
{
  expect_request (connection, "/kv-watch?path_prefix=&after=40&wait_ms=1 ");
  send_response (connection, 200, "{\"events\":[],\"as_of\":40}");
}

/* Answer the first listing with one page that holds a configuration and a
   server.  Returns the connection to the store.  */
static int
answer_listing (void)
{
  char body[8192];
  int connection = accept_target_connection (store_socket);

  expect_request (connection, "/kv-range?path_prefix=&stale_ok=1 HTTP/1.1\r\n"
                              "Host: store:1\r\n");
  snprintf (body, sizeof body,
            "{\"items\":[%s,%s,%s],\"has_more\":false,\"as_of\":40}",
            format_item ("op/config", 30, CONFIG ("7")),
            format_item ("other/thing", 31, "x"),
            format_item ("servers/i-1", 32, SERVER ("ready")));
  send_response (connection, 200, body);
  return connection;
}

static int
answer_and_confirm_listing (void)
{
  int connection = answer_listing ();

  confirm_listing (connection);
  return connection;
}

/* When all hosts start at once, each reads a listing that may be some seconds
   old.  A host that served callers by it would refuse a recently added key, so
   the host first reads the changes since that listing.  */
START_TEST (host_is_ready_once_its_listing_is_confirmed)
{
  int connection;

  ck_assert_ptr_nonnull (
      strstr (fixture_get_page (&fixture, "/readyz"), " 503 "));
  connection = answer_listing ();
  wait_for_page ("/metrics", "gateway_targets 1\n");
  ck_assert_ptr_nonnull (
      strstr (fixture_get_page (&fixture, "/readyz"), " 503 "));
  confirm_listing (connection);
  wait_for_page ("/readyz", " 200 ");
  wait_for_page ("/metrics", "gateway_routes_version 7\n");
  wait_for_page ("/metrics", "gateway_targets 1\n");
  expect_request (connection, "/kv-watch?path_prefix=&after=40&wait_ms=");
  close (connection);
}
END_TEST

enum
{
  NESTED_TEXT_BYTES = 200001,
  ODD_VALUE_BYTES = 300000,
  ODD_BODY_BYTES = 400000
};

#define ODD_ITEM(value)                                                       \
  "{\"key\":\"servers/odd\",\"value\":\"" value "\",\"revision\":33}"
/* SERVER ("ready") as base64.  */
#define VALID_SERVER                                                          \
  "eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMjcuMC4wLjE6OSIs"                      \
  "InpvbmUiOiJ6Iiwic2xvdHMiOjQsInN0YXRlIjoicmVhZHkifQ=="
#define NESTED_20 "[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]"

/* Items of another writer, whole or by the text of their value.  */
static const struct
{
  const char *item;
  const char *json;
  size_t depth; /* of a value that is nested */
} odd_items[] = {
  /* Values that are no text: not base64, cut off, a zero byte, not UTF-8.  */
  { .item = ODD_ITEM ("!!!!") },
  { .item = ODD_ITEM ("eyJ") },
  { .item = ODD_ITEM ("") },
  { .item = ODD_ITEM ("eyJzIjoiAH0=") },
  { .item = ODD_ITEM ("eyJzZXJ2aWNlIjoi//4ifQ==") },
  /* What is around the value.  */
  { .item = "{\"key\":\"servers/odd\",\"value\":7,\"revision\":33}" },
  { .item = "{\"key\":\"servers/odd\",\"value\":\"e30=\","
            "\"revision\":1e400,\"lease\":-1}" },
  { .item = "{\"key\":\"servers/odd\",\"value\":\"e30=\","
            "\"revision\":\"x\",\"lease\":" NESTED_20 "}" },
  { .item = "{\"key\":\"servers/\",\"value\":\"e30=\",\"revision\":33}" },
  { .item = "{\"key\":null,\"value\":\"e30=\",\"revision\":33}" },
  { .item = "{\"key\":[1],\"value\":\"e30=\",\"revision\":33}" },
  { .item = "{\"value\":\"e30=\",\"revision\":33}" },
  { .item = "{\"key\":\"servers/i\\r\\nX: y\",\"value\":\"" VALID_SERVER
            "\",\"revision\":33}" },
  { .item = "null" },
  { .item = "[]" },
  { .item = "7" },
  /* Numbers out of range.  */
  { .json = "{\"service\":\"s\",\"address\":\"127.0.0.1:9\","
            "\"zone\":\"z\",\"slots\":1e400,\"state\":\"ready\"}" },
  { .json = "{\"service\":\"s\",\"address\":\"127.0.0.1:65536\","
            "\"zone\":\"z\",\"slots\":4,\"state\":\"ready\"}" },
  { .json = "{\"service\":\"s\",\"address\":\"127.0.0.1:0\","
            "\"zone\":\"z\",\"slots\":4,\"state\":\"ready\"}" },
  { .json = "{\"service\":\"s\",\"address\":\"127.0.0.1:9\","
            "\"zone\":\"z\",\"slots\":9223372036854775808,"
            "\"state\":\"ready\"}" },
  { .json = "{\"service\":\"s\",\"address\":\"127.0.0.1:9\","
            "\"zone\":\"z\",\"slots\":4,\"born\":-1,"
            "\"state\":\"ready\"}" },
  /* Nested values.  */
  { .depth = 31 },
  { .depth = 33 },
  { .depth = 100000 },
};

/* Returns the odd item; valid until the next call.  */
static const char *
format_odd_item (size_t row)
{
  static char item[ODD_BODY_BYTES];
  static char text[NESTED_TEXT_BYTES];
  static unsigned char base64[ODD_VALUE_BYTES];
  const char *json = odd_items[row].json;
  size_t depth = odd_items[row].depth;

  if (odd_items[row].item != NULL)
    return odd_items[row].item;
  if (depth > 0)
    {
      memset (text, '[', depth);
      memset (text + depth, ']', depth);
      text[2 * depth] = '\0';
      json = text;
    }
  EVP_EncodeBlock (base64, (const unsigned char *)json, (int)strlen (json));
  snprintf (item, sizeof item,
            "{\"key\":\"servers/odd\",\"value\":\"%s\",\"revision\":33}",
            base64);
  return item;
}

/* Guards against one entry of another writer that ends the process, or its
   following of the list.  */
START_TEST (an_odd_entry_is_left_out)
{
  static char body[ODD_BODY_BYTES];
  int connection = accept_target_connection (store_socket);

  expect_request (connection, "/kv-range");
  snprintf (body, sizeof body,
            "{\"items\":[%s,%s,%s],\"has_more\":false,\"as_of\":40}",
            format_item ("op/config", 30, CONFIG ("7")),
            format_item ("servers/i-1", 32, SERVER ("ready")),
            format_odd_item ((size_t)_i));
  send_response (connection, 200, body);
  confirm_listing (connection);
  wait_for_page ("/readyz", " 200 ");
  wait_for_page ("/metrics", "gateway_targets 1\n");
  expect_request (connection, "/kv-watch?path_prefix=&after=40&wait_ms=");
  snprintf (body, sizeof body, "{\"events\":[%s,%s],\"as_of\":42}",
            format_odd_item ((size_t)_i),
            format_item ("servers/i-2", 42, SERVER ("ready")));
  send_response (connection, 200, body);
  wait_for_page ("/metrics", "gateway_targets 2\n");
  close (connection);
}
END_TEST

START_TEST (listing_of_two_pages_is_read)
{
  char body[8192];
  int connection = accept_target_connection (store_socket);

  expect_request (connection, "/kv-range?path_prefix=&stale_ok=1 ");
  snprintf (body, sizeof body,
            "{\"items\":[%s],\"has_more\":true,\"as_of\":42}",
            format_item ("op/config", 30, CONFIG ("7")));
  send_response (connection, 200, body);
  expect_request (connection,
                  "/kv-range?path_prefix=&after=op/config&stale_ok=1 ");
  ck_assert_ptr_nonnull (
      strstr (fixture_get_page (&fixture, "/readyz"), " 503 "));
  snprintf (body, sizeof body,
            "{\"items\":[%s],\"has_more\":false,\"as_of\":40}",
            format_item ("servers/i-1", 39, SERVER ("ready")));
  send_response (connection, 200, body);
  /* The watch starts at the older page's revision, so that no change between
     the pages is missed.  */
  confirm_listing (connection);
  wait_for_page ("/readyz", " 200 ");
  expect_request (connection, "/kv-watch?path_prefix=&after=40&wait_ms=600 ");
  close (connection);
}
END_TEST

/* Guards against a key of another writer that ends a page and makes the next
   call malformed, so that the list is never read whole.  */
START_TEST (listing_goes_on_behind_an_odd_key)
{
  char body[8192];
  int connection = accept_target_connection (store_socket);

  expect_request (connection, "/kv-range?path_prefix=&stale_ok=1 ");
  snprintf (body, sizeof body,
            "{\"items\":[%s,{\"key\":\"a b&c%%\\n\\u00fc\"}],"
            "\"has_more\":true,\"as_of\":40}",
            format_item ("op/config", 30, CONFIG ("7")));
  send_response (connection, 200, body);
  expect_request (connection, "/kv-range?path_prefix=&after="
                              "a%20b%26c%25%0A%C3%BC&stale_ok=1 ");
  snprintf (body, sizeof body,
            "{\"items\":[%s],\"has_more\":false,\"as_of\":40}",
            format_item ("servers/i-1", 39, SERVER ("ready")));
  send_response (connection, 200, body);
  confirm_listing (connection);
  wait_for_page ("/readyz", " 200 ");
  close (connection);
}
END_TEST

START_TEST (newer_configuration_is_applied_and_older_is_ignored)
{
  char body[8192];
  int connection = answer_and_confirm_listing ();

  expect_request (connection, "/kv-watch?path_prefix=&after=40&");
  snprintf (body, sizeof body, "{\"events\":[%s,%s],\"as_of\":43}",
            format_item ("op/config", 42, CONFIG ("9")),
            format_item ("servers/i-2", 43, SERVER ("ready")));
  send_response (connection, 200, body);
  wait_for_page ("/metrics", "gateway_routes_version 9\n");
  wait_for_page ("/metrics", "gateway_targets 2\n");
  expect_request (connection, "/kv-watch?path_prefix=&after=43&");
  snprintf (body, sizeof body,
            "{\"events\":[%s,{\"key\":\"servers/i-2\",\"revision\":45,"
            "\"deleted\":true}],\"as_of\":45}",
            format_item ("op/config", 44, CONFIG ("8")));
  send_response (connection, 200, body);
  wait_for_page ("/metrics", "gateway_targets 1\n");
  ck_assert_ptr_nonnull (strstr (fixture_get_page (&fixture, "/metrics"),
                                 "gateway_routes_version 9\n"));
  close (connection);
}
END_TEST

/* The store has compacted its history after a server was deleted.  The list is
   read again, and servers that it lacks are removed.  */
START_TEST (compacted_history_leads_to_a_new_listing)
{
  char body[8192];
  int connection = answer_and_confirm_listing ();

  expect_request (connection, "/kv-watch?");
  send_response (connection, 410, "{\"error\":\"compacted\"}");
  close (connection);
  connection = accept_target_connection (store_socket);
  expect_request (connection, "/kv-range?path_prefix= ");
  snprintf (body, sizeof body,
            "{\"items\":[%s],\"has_more\":false,\"as_of\":90}",
            format_item ("op/config", 30, CONFIG ("7")));
  send_response (connection, 200, body);
  wait_for_page ("/metrics", "gateway_targets 0\n");
  close (connection);
}
END_TEST

/* Responses without usable changes.  The client repeats the watch from the
   same revision and keeps the state in force.  */
static const struct
{
  int status; /* 0: the connection is closed */
  const char *body;
} failed_responses[] = {
  { 503, "" },
  { 429, "" },
  { 200, "no json" },
  { 200, "{\"events\":{},\"as_of\":41}" },
  { 200, "{\"events\":[]}" },
  { 0, "" },
};

START_TEST (failed_watch_is_repeated)
{
  int connection = answer_and_confirm_listing ();

  expect_request (connection, "/kv-watch?path_prefix=&after=40&");
  if (failed_responses[_i].status != 0)
    send_response (connection, failed_responses[_i].status,
                   failed_responses[_i].body);
  close (connection);
  connection = accept_target_connection (store_socket);
  expect_request (connection, "/kv-watch?path_prefix=&after=40&");
  wait_for_page ("/metrics", "gateway_targets 1\n");
  close (connection);
}
END_TEST

/* Invalid configurations and servers between valid ones.  */
START_TEST (invalid_items_are_skipped)
{
  char body[8192];
  int connection = answer_and_confirm_listing ();

  expect_request (connection, "/kv-watch?");
  snprintf (body, sizeof body,
            "{\"events\":[%s,{\"key\":\"op/config\",\"value\":\"***\","
            "\"revision\":42},%s,%s],\"as_of\":44}",
            format_item ("op/config", 41, "{\"version\":9,\"routes\":[{}]}"),
            format_item ("servers/i-2", 43, "{}"),
            format_item ("servers/i-3", 44, SERVER ("ready")));
  send_response (connection, 200, body);
  wait_for_page ("/metrics", "gateway_targets 2\n");
  ck_assert_ptr_nonnull (strstr (fixture_get_page (&fixture, "/metrics"),
                                 "gateway_routes_version 7\n"));
  close (connection);
}
END_TEST

/* Guards against entries that are refused anew each time the list is read.  */
START_TEST (refused_entries_are_counted_once)
{
  char body[8192];
  int connection = answer_and_confirm_listing ();
  int reads = 2;

  while (reads-- > 0)
    {
      expect_request (connection, "/kv-watch?");
      snprintf (body, sizeof body,
                "{\"events\":[{\"key\":\"op/config\",\"value\":\"***\","
                "\"revision\":42},{\"key\":\"servers/odd\",\"value\":\"*\","
                "\"revision\":43},%s],\"as_of\":44}",
                format_item (reads > 0 ? "servers/i-3" : "servers/i-4",
                             44 + reads, SERVER ("ready")));
      send_response (connection, 200, body);
    }
  wait_for_page ("/metrics", "gateway_targets 3\n");
  ck_assert_ptr_nonnull (strstr (fixture_get_page (&fixture, "/metrics"),
                                 "gateway_entries_refused_total 2\n"));
  close (connection);
}
END_TEST

/* Invalid values that a foreign writer may put at a server's key.  */
static const char *const invalid_values[] = {
  "\"***\"",      "null",          "7",        "\"e30=\"", "\"\"",
  "\"/////w==\"", "{\"value\":1}", "\"AAAA\"", "[]",
};

/* A server's valid entry is overwritten by a foreign writer.  If the server
   stays in use, requests may reach whatever has its address now.  The server's
   own next entry adds it again; other servers are unaffected.  */
START_TEST (invalid_entry_removes_its_server)
{
  char body[8192];
  int connection = answer_and_confirm_listing ();

  expect_request (connection, "/kv-watch?");
  snprintf (body, sizeof body,
            "{\"events\":[%s,{\"key\":\"servers/i-1\",\"value\":%s,"
            "\"revision\":42},7,{\"key\":9}],\"as_of\":44}",
            format_item ("servers/i-2", 41, SERVER ("ready")),
            invalid_values[_i]);
  send_response (connection, 200, body);
  expect_request (connection, "/kv-watch?path_prefix=&after=44&");
  wait_for_page ("/metrics", "gateway_targets 1\n");
  snprintf (body, sizeof body, "{\"events\":[%s],\"as_of\":45}",
            format_item ("servers/i-1", 45, SERVER ("ready")));
  send_response (connection, 200, body);
  wait_for_page ("/metrics", "gateway_targets 2\n");
  close (connection);
}
END_TEST

/* Values of an evacuation's key; only the key's existence counts.  */
static const char *const evacuation_values[] = {
  "\"e30=\"", "\"\"", "\"***\"", "null", "7", "\"/////w==\"",
};

#define CORDONED "gateway_cordoned{data_centre=\"z\"} 1\n"

/* The operator evacuates a zone and restores it.  A host that required a valid
   value would keep sending requests to the zone, where they are lost; a host
   that missed the key's deletion would leave a quarter of the engines idle. */
START_TEST (zone_is_evacuated_and_restored)
{
  char body[8192];
  int connection = answer_and_confirm_listing ();

  expect_request (connection, "/kv-watch?");
  snprintf (body, sizeof body,
            "{\"events\":[{\"key\":\"op/evacuate/z\",\"value\":%s,"
            "\"revision\":41}],\"as_of\":41}",
            evacuation_values[_i]);
  send_response (connection, 200, body);
  expect_request (connection, "/kv-watch?path_prefix=&after=41&");
  wait_for_page ("/metrics", CORDONED);
  send_response (connection, 200,
                 "{\"events\":[{\"key\":\"op/evacuate/z\",\"revision\":42,"
                 "\"deleted\":true}],\"as_of\":42}");
  expect_request (connection, "/kv-watch?path_prefix=&after=42&");
  while (strstr (fixture_get_page (&fixture, "/metrics"), CORDONED) != NULL)
    continue;
  close (connection);
}
END_TEST

START_TEST (new_listing_ends_an_evacuation)
{
  char body[8192];
  int connection = answer_and_confirm_listing ();

  expect_request (connection, "/kv-watch?");
  snprintf (body, sizeof body, "{\"events\":[%s],\"as_of\":41}",
            format_item ("op/evacuate/z", 41, "{}"));
  send_response (connection, 200, body);
  wait_for_page ("/metrics", CORDONED);
  expect_request (connection, "/kv-watch?");
  send_response (connection, 410, "{\"error\":\"compacted\"}");
  close (connection);
  connection = accept_target_connection (store_socket);
  expect_request (connection, "/kv-range?path_prefix= ");
  snprintf (body, sizeof body,
            "{\"items\":[%s],\"has_more\":false,\"as_of\":90}",
            format_item ("op/config", 30, CONFIG ("7")));
  send_response (connection, 200, body);
  while (strstr (fixture_get_page (&fixture, "/metrics"), CORDONED) != NULL)
    continue;
  close (connection);
}
END_TEST

/* Evacuation keys with an empty or too long zone name are ignored.  */
START_TEST (evacuations_with_invalid_names_are_skipped)
{
  char body[8192];
  int connection = answer_and_confirm_listing ();

  expect_request (connection, "/kv-watch?");
  snprintf (body, sizeof body, "{\"events\":[%s,%s,%s],\"as_of\":44}",
            format_item ("op/evacuate/", 41, "{}"),
            format_item (
                "op/evacuate/"
                "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
                "aaaa",
                42, "{}"),
            format_item ("servers/i-2", 43, SERVER ("ready")));
  send_response (connection, 200, body);
  wait_for_page ("/metrics", "gateway_targets 2\n");
  ck_assert_ptr_null (
      strstr (fixture_get_page (&fixture, "/metrics"), "gateway_cordoned{"));
  close (connection);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("store");
  TCase *tcase = tcase_create ("store");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, host_is_ready_once_its_listing_is_confirmed);
  tcase_add_loop_test (tcase, an_odd_entry_is_left_out, 0,
                       sizeof odd_items / sizeof odd_items[0]);
  tcase_add_test (tcase, listing_of_two_pages_is_read);
  tcase_add_test (tcase, listing_goes_on_behind_an_odd_key);
  tcase_add_test (tcase, newer_configuration_is_applied_and_older_is_ignored);
  tcase_add_test (tcase, compacted_history_leads_to_a_new_listing);
  tcase_add_loop_test (tcase, failed_watch_is_repeated, 0,
                       sizeof failed_responses / sizeof failed_responses[0]);
  tcase_add_test (tcase, invalid_items_are_skipped);
  tcase_add_test (tcase, refused_entries_are_counted_once);
  tcase_add_loop_test (tcase, invalid_entry_removes_its_server, 0,
                       sizeof invalid_values / sizeof invalid_values[0]);
  tcase_add_loop_test (tcase, zone_is_evacuated_and_restored, 0,
                       sizeof evacuation_values / sizeof evacuation_values[0]);
  tcase_add_test (tcase, new_listing_ends_an_evacuation);
  tcase_add_test (tcase, evacuations_with_invalid_names_are_skipped);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
