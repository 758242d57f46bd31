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
  int64_t visible_ms;
  bool stored; /* else evicted */
  uint64_t prefix;
} cache_event_t;

/* The prefix cache of an engine and what it tells of it: late, and with
   every gap-th event lost.  */
typedef struct
{
  pthread_mutex_t lock;
  int64_t lag_ms;
  int64_t gap;
  uint64_t prefixes[CACHE_PREFIXES]; /* oldest first */
  int64_t prefix_count;
  cache_event_t events[CACHE_EVENTS];
  int64_t next_seq;
  int64_t event_count; /* published so far */
} engine_cache_t;

void engine_init_cache (engine_cache_t *cache, int64_t lag_ms, int64_t gap);

/* Note that a prompt was read; its first bytes are the prefix.  */
void engine_store_prefix (engine_cache_t *cache, const char *prompt);

/* The events behind seq that may be seen by now.  */
json_object *engine_list_cache_events (engine_cache_t *cache, int64_t after);

#endif
