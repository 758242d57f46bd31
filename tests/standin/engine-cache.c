#include "engine-cache.h"
#include "cowslipspoke/hash.h"
#include "server.h"

#include <stdio.h>
#include <string.h>

void
engine_init_cache (engine_cache_t *cache, int64_t lag_ms,
                   int64_t loss_interval)
{
  memset (cache, 0, sizeof *cache);
  pthread_mutex_init (&cache->lock, NULL);
  cache->lag_ms = lag_ms;
  cache->loss_interval = loss_interval;
}

static void
publish_event (engine_cache_t *cache, bool stored, uint64_t prefix)
{
  cache_event_t event = { ++cache->next_seq, standin_now_ms () + cache->lag_ms,
                          stored, prefix };

  if (cache->loss_interval > 0 && event.seq % cache->loss_interval == 0)
    return;
  cache->events[cache->event_count++ % CACHE_EVENTS] = event;
}

static bool
is_cached (const engine_cache_t *cache, uint64_t prefix)
{
  int64_t i;

  for (i = 0; i < cache->prefix_count; i++)
    if (cache->prefixes[i] == prefix)
      return true;
  return false;
}

void
engine_store_prefix (engine_cache_t *cache, const char *prompt)
{
  char prefix_text[CACHE_PREFIX_BYTES + 1];
  uint64_t prefix;

  snprintf (prefix_text, sizeof prefix_text, "%s", prompt);
  prefix = csp_hash_pair ("prefix", prefix_text);
  pthread_mutex_lock (&cache->lock);
  if (!is_cached (cache, prefix))
    {
      if (cache->prefix_count == CACHE_PREFIXES)
        {
          publish_event (cache, false, cache->prefixes[0]);
          cache->prefix_count--;
          memmove (cache->prefixes, cache->prefixes + 1,
                   sizeof *cache->prefixes * (size_t)cache->prefix_count);
        }
      cache->prefixes[cache->prefix_count++] = prefix;
      publish_event (cache, true, prefix);
    }
  pthread_mutex_unlock (&cache->lock);
}

static json_object *
describe_event (const cache_event_t *event)
{
  json_object *json = json_object_new_object ();
  char prefix[24];

  snprintf (prefix, sizeof prefix, "%016llx",
            (unsigned long long)event->prefix);
  json_object_object_add (json, "seq", json_object_new_int64 (event->seq));
  json_object_object_add (
      json, "op",
      json_object_new_string (event->stored ? "stored" : "evicted"));
  json_object_object_add (json, "prefix", json_object_new_string (prefix));
  return json;
}

json_object *
engine_list_cache_events (engine_cache_t *cache, int64_t after)
{
  json_object *json = json_object_new_object ();
  json_object *list = json_object_new_array ();
  int64_t now_ms = standin_now_ms ();
  int64_t first = after + 1;
  int64_t next = after + 1;
  int64_t i;

  pthread_mutex_lock (&cache->lock);
  i = cache->event_count > CACHE_EVENTS ? cache->event_count - CACHE_EVENTS
                                        : 0;
  for (; i < cache->event_count; i++)
    {
      const cache_event_t *event = &cache->events[i % CACHE_EVENTS];

      if (event->seq <= after || event->visible_ms > now_ms)
        continue;
      if (json_object_array_length (list) == 0)
        first = event->seq;
      next = event->seq + 1;
      json_object_array_add (list, describe_event (event));
    }
  pthread_mutex_unlock (&cache->lock);
  json_object_object_add (json, "first", json_object_new_int64 (first));
  json_object_object_add (json, "next", json_object_new_int64 (next));
  json_object_object_add (json, "events", list);
  return json;
}
