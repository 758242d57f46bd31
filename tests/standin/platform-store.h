#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include <json-c/json.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  READ_CONFIG_FULL,  /* GET /v1/config without after, or with after=0 */
  READ_CONFIG_WATCH, /* GET /v1/config?after=REVISION */
  READ_HOSTS,
  READ_KIND_COUNT
};

/* The configuration and host list that the platform publishes.  All changes
   of the configuration and all versions of the host list are kept in order, so
   that the stand-in can also serve an old revision, like a service that has
   returned to an older state.  */
typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  json_object *changes; /* [{"revision", "visible_ms", "set", "delete"}] */
  /* [{"version", "visible_ms", "hosts", "targets"}]  */
  json_object *host_lists;
  bool unavailable;       /* closes connections without an answer */
  int64_t stale_revision; /* the newest one served; 0: no limit */
  int64_t stale_version;  /* the same for the host list */
  int64_t lag_ms;         /* delay until a change of either is visible */
  int64_t host_lag_ms;    /* added to lag_ms for a host list */
  int64_t read_counts[READ_KIND_COUNT];
} platform_t;

void platform_init (platform_t *platform);

/* Add a change {"set": {...}, "delete": [...]} and take ownership of it;
   returns its revision.  The caller must not use the object afterwards, since
   json-c's reference counts aren't thread-safe.  */
int64_t platform_add_change (platform_t *platform, json_object *change);

/* Add a complete host list and take ownership of it; returns its version.  */
int64_t platform_add_host_list (platform_t *platform, json_object *list);

/* The revision of the configuration and the version of the host list that
   readers see now.  Both are called with the lock held.  */
int64_t platform_get_revision (platform_t *platform);
int64_t platform_get_host_list_version (platform_t *platform);

/* The answer to a read, as JSON text that the caller frees.  Both are called
   with the lock held.  */
char *platform_read_config (platform_t *platform, int64_t after);
char *platform_read_hosts (platform_t *platform);

/* Wait for a change, at most until until_ms.  Also returns after a short poll
   interval, since a lagging change becomes visible without a signal.  Called
   with the lock held.  */
void platform_wait (platform_t *platform, int64_t until_ms);

#endif
