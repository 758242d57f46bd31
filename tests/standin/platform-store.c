#include "platform-store.h"
#include "server.h"

#include <string.h>
#include <time.h>

enum
{
  VISIBILITY_POLL_MS = 20 /* how often a lagging change is looked for */
};

void
platform_init (platform_t *platform)
{
  memset (platform, 0, sizeof *platform);
  pthread_mutex_init (&platform->lock, NULL);
  pthread_cond_init (&platform->changed, NULL);
  platform->changes = json_object_new_array ();
  platform->host_lists = json_object_new_array ();
}

int64_t
platform_add_change (platform_t *platform, json_object *change)
{
  int64_t revision;

  pthread_mutex_lock (&platform->lock);
  revision = (int64_t)json_object_array_length (platform->changes) + 1;
  json_object_object_add (
      change, "visible_ms",
      json_object_new_int64 (standin_now_ms () + platform->lag_ms));
  json_object_array_add (platform->changes, change);
  pthread_cond_broadcast (&platform->changed);
  pthread_mutex_unlock (&platform->lock);
  return revision;
}

int64_t
platform_add_host_list (platform_t *platform, json_object *list)
{
  int64_t version;

  pthread_mutex_lock (&platform->lock);
  version = (int64_t)json_object_array_length (platform->host_lists) + 1;
  json_object_object_add (list, "version", json_object_new_int64 (version));
  json_object_object_add (list, "visible_ms",
                          json_object_new_int64 (standin_now_ms ()
                                                 + platform->lag_ms
                                                 + platform->host_lag_ms));
  json_object_array_add (platform->host_lists, list);
  pthread_cond_broadcast (&platform->changed);
  pthread_mutex_unlock (&platform->lock);
  return version;
}

/* How many entries of a history are visible by now.  */
static int64_t
count_visible (json_object *history)
{
  int64_t count = (int64_t)json_object_array_length (history);
  int64_t now_ms = standin_now_ms ();

  while (count > 0
         && standin_json_number (
                json_object_array_get_idx (history, (size_t)count - 1),
                "visible_ms", 0)
                > now_ms)
    count--;
  return count;
}

int64_t
platform_get_revision (platform_t *platform)
{
  int64_t revision = count_visible (platform->changes);

  if (platform->stale_revision > 0 && platform->stale_revision < revision)
    return platform->stale_revision;
  return revision;
}

int64_t
platform_get_host_list_version (platform_t *platform)
{
  int64_t version = count_visible (platform->host_lists);

  if (platform->stale_version > 0 && platform->stale_version < version)
    return platform->stale_version;
  return version;
}

static void
put_value (json_object *values, const char *key, int64_t revision,
           json_object *value)
{
  json_object *entry = json_object_new_object ();

  json_object_object_add (entry, "key", json_object_new_string (key));
  json_object_object_add (entry, "revision", json_object_new_int64 (revision));
  json_object_object_add (entry, "value", json_object_get (value));
  json_object_object_add (values, key, entry);
}

/* Apply one change to values, an object by key.  With keep_deleted a deleted
   key stays with a null value.  */
static void
apply_change (json_object *values, json_object *change, int64_t revision,
              bool keep_deleted)
{
  json_object *set;
  json_object *deleted;
  size_t i;

  if (json_object_object_get_ex (change, "set", &set))
    {
      json_object_object_foreach (set, key, value)
      {
        put_value (values, key, revision, value);
      }
    }
  if (!json_object_object_get_ex (change, "delete", &deleted))
    return;
  for (i = 0; i < json_object_array_length (deleted); i++)
    {
      const char *name
          = json_object_get_string (json_object_array_get_idx (deleted, i));

      json_object_object_del (values, name);
      if (keep_deleted)
        put_value (values, name, revision, NULL);
    }
}

/* The text of a JSON object, which is released.  */
static char *
format_json (json_object *json)
{
  char *text
      = strdup (json_object_to_json_string_ext (json, STANDIN_JSON_STYLE));

  json_object_put (json);
  return text;
}

char *
platform_read_config (platform_t *platform, int64_t after)
{
  int64_t revision = platform_get_revision (platform);
  bool full = after <= 0 || after > revision;
  int64_t i = full ? 0 : after;
  json_object *values = json_object_new_object ();
  json_object *list = json_object_new_array ();
  json_object *answer = json_object_new_object ();

  for (; i < revision; i++)
    apply_change (values,
                  json_object_array_get_idx (platform->changes, (size_t)i),
                  i + 1, !full);
  json_object_object_foreach (values, key, entry)
  {
    (void)key;
    json_object_array_add (list, json_object_get (entry));
  }
  json_object_put (values);
  json_object_object_add (answer, "revision",
                          json_object_new_int64 (revision));
  json_object_object_add (answer, "full", json_object_new_boolean (full));
  json_object_object_add (answer, "values", list);
  return format_json (answer);
}

char *
platform_read_hosts (platform_t *platform)
{
  int64_t version = platform_get_host_list_version (platform);
  json_object *answer = json_object_new_object ();
  json_object *list = NULL;
  static const char *const members[] = { "hosts", "targets" };
  json_object *member;
  size_t i;

  if (version > 0)
    list = json_object_array_get_idx (platform->host_lists,
                                      (size_t)version - 1);
  json_object_object_add (answer, "version", json_object_new_int64 (version));
  for (i = 0; i < sizeof members / sizeof *members; i++)
    {
      if (list != NULL
          && json_object_object_get_ex (list, members[i], &member))
        json_object_get (member);
      else
        member = json_object_new_array ();
      json_object_object_add (answer, members[i], member);
    }
  return format_json (answer);
}

void
platform_wait (platform_t *platform, int64_t until_ms)
{
  int64_t poll_ms = standin_now_ms () + VISIBILITY_POLL_MS;
  int64_t wake_ms = poll_ms < until_ms ? poll_ms : until_ms;
  struct timespec wake = { wake_ms / STANDIN_MS_PER_S,
                           (wake_ms % STANDIN_MS_PER_S) * STANDIN_NS_PER_MS };

  pthread_cond_clockwait (&platform->changed, &platform->lock, CLOCK_MONOTONIC,
                          &wake);
}
