#ifndef STANDIN_ENGINE_CACHE_H
#define STANDIN_ENGINE_CACHE_H

#include <json-c/json.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  CACHE_PREFIXES = 64,
  CACHE_EVENTS = 512,
  CACHE_PREFIX_BYTES = 32
};

typedef struct
{
  int64_t seq;
  int64_t visible_ms; /* not listed before this time */
  bool stored;        /* false: evicted */
  uint64_t prefix;
} cache_event_t;

/* The prefix cache of an engine and the events that it publishes.  An event
   is listed lag_ms late; every loss_interval-th one is lost, none when that is
   0.  */
typedef struct
{
  pthread_mutex_t lock;
  int64_t lag_ms;
  int64_t loss_interval;
  uint64_t prefixes[CACHE_PREFIXES]; /* oldest first */
  int64_t prefix_count;
  cache_event_t events[CACHE_EVENTS];
  int64_t next_seq;
  int64_t event_count; /* published so far */
} engine_cache_t;

void engine_init_cache (engine_cache_t *cache, int64_t lag_ms,
                        int64_t loss_interval);

/* Store the prefix of a prompt, which is its first CACHE_PREFIX_BYTES bytes,
   and evict the oldest prefix from a full cache.  */
void engine_store_prefix (engine_cache_t *cache, const char *prompt);

/* The events after a sequence number that are visible by now.  */
json_object *engine_list_cache_events (engine_cache_t *cache, int64_t after);

#endif
