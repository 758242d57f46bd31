#include "entry/entry-imp.h"

#include <sys/socket.h>
#include <unistd.h>

/* A body that comes a byte at a time never runs into the HTTP library's
   timeout, which begins again with each byte, and a caller costs nothing while
   it sends so; a few of them hold every thread, and the others wait for a
   thread without any trace in the log.  One thread looks at the bodies that
   are being read and ends the reading of those that are late.  The answer can
   still be sent.  */

enum
{
  WATCH_US = 50000,
  DROP_LIMIT_MS = 1000
};

static void
end_late (csp_entry_t *entry)
{
  int64_t now_ms = csp_now_ms (&entry->context->clock);
  csp_exchange_t *exchange;

  LIST_FOREACH (exchange, &entry->reading, reading)
  if (!exchange->late && now_ms >= exchange->read_until_ms)
    {
      exchange->late = true;
      shutdown (exchange->socket, SHUT_RD);
    }
}

static void *
watch_bodies (void *state)
{
  csp_entry_t *entry = state;

  pthread_mutex_lock (&entry->reading_lock);
  while (!entry->watch_stops)
    if (LIST_EMPTY (&entry->reading))
      pthread_cond_wait (&entry->reading_began, &entry->reading_lock);
    else
      {
        end_late (entry);
        pthread_mutex_unlock (&entry->reading_lock);
        usleep (WATCH_US);
        pthread_mutex_lock (&entry->reading_lock);
      }
  pthread_mutex_unlock (&entry->reading_lock);
  return NULL;
}

int
csp_start_watch (csp_entry_t *entry)
{
  LIST_INIT (&entry->reading);
  pthread_mutex_init (&entry->reading_lock, NULL);
  pthread_cond_init (&entry->reading_began, NULL);
  if (pthread_create (&entry->watch, NULL, watch_bodies, entry) == 0)
    return 0;
  pthread_cond_destroy (&entry->reading_began);
  pthread_mutex_destroy (&entry->reading_lock);
  return -1;
}

void
csp_stop_watch (csp_entry_t *entry)
{
  pthread_mutex_lock (&entry->reading_lock);
  entry->watch_stops = true;
  pthread_cond_signal (&entry->reading_began);
  pthread_mutex_unlock (&entry->reading_lock);
  pthread_join (entry->watch, NULL);
  pthread_cond_destroy (&entry->reading_began);
  pthread_mutex_destroy (&entry->reading_lock);
}

void
csp_begin_reading (csp_exchange_t *exchange, uint32_t limit_ms)
{
  csp_entry_t *entry = exchange->entry;

  exchange->late = false;
  exchange->read_until_ms = csp_now_ms (&entry->context->clock) + limit_ms;
  if (exchange->socket < 0)
    return;
  pthread_mutex_lock (&entry->reading_lock);
  LIST_INSERT_HEAD (&entry->reading, exchange, reading);
  pthread_cond_signal (&entry->reading_began);
  pthread_mutex_unlock (&entry->reading_lock);
}

bool
csp_end_reading (csp_exchange_t *exchange)
{
  csp_entry_t *entry = exchange->entry;
  bool late;

  if (exchange->socket < 0)
    return true;
  pthread_mutex_lock (&entry->reading_lock);
  LIST_REMOVE (exchange, reading);
  late = exchange->late;
  pthread_mutex_unlock (&entry->reading_lock);
  return !late;
}

/* What the caller sent and nobody read: closing a connection over it would
   destroy the answer on its way, so a little of it is read and dropped.
   Behind that the library reads on until nothing is left, which a caller that
   drips would make forever; with the reading shut it ends at once.  */
void
csp_drop_rest (csp_exchange_t *exchange)
{
  char dropped[4096];

  if (!exchange->body_read)
    {
      csp_begin_reading (exchange, DROP_LIMIT_MS);
      while (mg_read (exchange->connection, dropped, sizeof dropped) > 0)
        continue;
      csp_end_reading (exchange);
    }
  if (exchange->socket >= 0)
    shutdown (exchange->socket, SHUT_RD);
}
