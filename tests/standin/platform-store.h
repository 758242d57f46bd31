#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include <json-c/json.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  READ_CONFIG_FULL,  /* GET /v1/config?after=0 */
  READ_CONFIG_WATCH, /* ... with a revision */
  READ_HOSTS,
  READ_KINDS
};

/* What the platform publishes.  Changes of the configuration and versions of
   the host list are kept in the order of their revisions, so that a service
   that has fallen back can be played.  */
typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t news;
  json_object *changes; /* [{"revision", "visible_ms", "set", "delete"}] */
  json_object *lists;   /* [{"version", "visible_ms", "hosts", "targets"}] */
  bool away;
  int64_t stale_revision; /* 0: not stale */
  int64_t stale_version;
  int64_t lag_ms;      /* how much later a change of either shows */
  int64_t host_lag_ms; /* ... and a host list beside that */
  int64_t reads[READ_KINDS];
} platform_t;

void platform_init (platform_t *platform);

/* Take a change {"set": {...}, "delete": [...]} over; returns its revision.
   json-c doesn't count references safely between threads, so an object that
   was handed over is no longer touched by the caller.  */
int64_t platform_change (platform_t *platform, json_object *change);

/* Take a whole host list over; returns its version.  */
int64_t platform_set_hosts (platform_t *platform, json_object *list);

/* The revision and version that readers see now.  Both with lock held.  */
int64_t platform_revision (platform_t *platform);
int64_t platform_version (platform_t *platform);

/* The answers to reads as JSON text that the caller frees, with the lock
   held.  */
char *platform_read_config (platform_t *platform, int64_t after);
char *platform_read_hosts (platform_t *platform);

/* Wait for news until a time, with the lock held.  */
void platform_wait (platform_t *platform, int64_t until_ms);

#endif
