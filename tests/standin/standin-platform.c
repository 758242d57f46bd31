/* The platform's configuration service and host list as docs/PLATFORM.md
   describes them, for tests and the demo.  */

#include "platform-store.h"
#include "server.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

static int
handle_config (struct mg_connection *conn, void *state)
{
  platform_t *platform = state;
  int64_t after = standin_query_number (conn, "after", 0);
  int64_t until_ms
      = standin_now_ms () + standin_query_number (conn, "wait_ms", 0);
  char *answer = NULL;

  pthread_mutex_lock (&platform->lock);
  platform->read_counts[after > 0 ? READ_CONFIG_WATCH : READ_CONFIG_FULL]++;
  while (!platform->unavailable && after > 0
         && after == platform_get_revision (platform)
         && standin_now_ms () < until_ms)
    platform_wait (platform, until_ms);
  if (!platform->unavailable)
    answer = platform_read_config (platform, after);
  pthread_mutex_unlock (&platform->lock);
  if (answer == NULL)
    return standin_drop_connection (conn);
  return standin_send_json_text (conn, answer);
}

static int
handle_hosts (struct mg_connection *conn, void *state)
{
  platform_t *platform = state;
  int64_t after = standin_query_number (conn, "after", 0);
  int64_t until_ms
      = standin_now_ms () + standin_query_number (conn, "wait_ms", 0);
  char *answer = NULL;

  pthread_mutex_lock (&platform->lock);
  platform->read_counts[READ_HOSTS]++;
  while (!platform->unavailable && after > 0
         && after == platform_get_host_list_version (platform)
         && standin_now_ms () < until_ms)
    platform_wait (platform, until_ms);
  if (!platform->unavailable)
    answer = platform_read_hosts (platform);
  pthread_mutex_unlock (&platform->lock);
  if (answer == NULL)
    return standin_drop_connection (conn);
  return standin_send_json_text (conn, answer);
}

/* Answer a test's change with its revision or version.  */
static int
send_number (struct mg_connection *conn, const char *name, int64_t number)
{
  json_object *answer = json_object_new_object ();

  json_object_object_add (answer, name, json_object_new_int64 (number));
  return standin_send_json (conn, 200, "", answer);
}

static int
handle_change (struct mg_connection *conn, void *state)
{
  json_object *change = standin_read_json (conn);
  int64_t revision;

  if (change == NULL)
    return standin_send_error (conn, 400, "", "not_an_object");
  revision = platform_add_change (state, change);
  return send_number (conn, "revision", revision);
}

static int
handle_host_list (struct mg_connection *conn, void *state)
{
  json_object *list = standin_read_json (conn);
  int64_t version;

  if (list == NULL)
    return standin_send_error (conn, 400, "", "not_an_object");
  version = platform_add_host_list (state, list);
  return send_number (conn, "version", version);
}

static int
handle_mode (struct mg_connection *conn, void *state)
{
  platform_t *platform = state;
  json_object *mode = standin_read_json (conn);

  if (mode == NULL)
    return standin_send_error (conn, 400, "", "not_an_object");
  pthread_mutex_lock (&platform->lock);
  platform->unavailable
      = standin_json_number (mode, "away", platform->unavailable) != 0;
  platform->stale_revision = standin_json_number (mode, "stale_revision", 0);
  platform->stale_version = standin_json_number (mode, "stale_version", 0);
  platform->lag_ms = standin_json_number (mode, "lag_ms", platform->lag_ms);
  platform->host_lag_ms
      = standin_json_number (mode, "host_lag_ms", platform->host_lag_ms);
  pthread_cond_broadcast (&platform->changed);
  pthread_mutex_unlock (&platform->lock);
  json_object_put (mode);
  return standin_send_json (conn, 200, "", json_object_new_object ());
}

static int
handle_counts (struct mg_connection *conn, void *state)
{
  static const char *const kinds[READ_KIND_COUNT]
      = { "config_full", "config_watch", "hosts" };
  platform_t *platform = state;
  json_object *answer = json_object_new_object ();
  int kind;

  pthread_mutex_lock (&platform->lock);
  for (kind = 0; kind < READ_KIND_COUNT; kind++)
    json_object_object_add (
        answer, kinds[kind],
        json_object_new_int64 (platform->read_counts[kind]));
  pthread_mutex_unlock (&platform->lock);
  return standin_send_json (conn, 200, "", answer);
}

/* Load the output of "cowslipctl bundle" as one change.  */
static bool
load_bundle (platform_t *platform, const char *path)
{
  json_object *bundle = json_object_from_file (path);
  json_object *values;
  json_object *change;

  if (bundle == NULL || !json_object_object_get_ex (bundle, "values", &values))
    {
      fprintf (stderr, "not a bundle: %s\n", path);
      return false;
    }
  change = json_object_new_object ();
  json_object_object_add (change, "set", json_object_get (values));
  platform_add_change (platform, change);
  json_object_put (bundle);
  return true;
}

int
main (int argc, char **argv)
{
  static const struct option long_options[]
      = { { "port", required_argument, NULL, 'p' },
          { "bundle", required_argument, NULL, 'b' },
          { "host-lag-ms", required_argument, NULL, 'l' },
          { NULL, 0, NULL, 0 } };
  static const standin_route_t routes[]
      = { { "/v1/config$", handle_config },
          { "/v1/hosts$", handle_hosts },
          { "/test/config$", handle_change },
          { "/test/hosts$", handle_host_list },
          { "/test/mode$", handle_mode },
          { "/test/counts$", handle_counts },
          { NULL, NULL } };
  static platform_t platform;
  int64_t port = 0;
  int option;

  platform_init (&platform);
  while ((option = getopt_long (argc, argv, "", long_options, NULL)) != -1)
    switch (option)
      {
      case 'p':
        port = standin_parse_number (optarg);
        break;
      case 'b':
        if (!load_bundle (&platform, optarg))
          return 2;
        break;
      case 'l':
        platform.host_lag_ms = standin_parse_number (optarg);
        break;
      default:
        return 2;
      }
  return standin_serve ((uint16_t)port, 200, routes, &platform);
}
