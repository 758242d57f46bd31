#include "entry/entry-imp.h"

#include <sys/socket.h>
#include <unistd.h>

/* The HTTP library's timeout restarts with each byte, so a body that arrives a
   byte at a time never times out.  A few such callers could occupy every
   thread at no cost, while other requests wait without a log line.  The
   watchdog thread therefore limits the whole time for a body: it shuts down
   the receiving side of an overdue socket, so that an answer can still be
   sent.  */

enum
{
  WATCHDOG_INTERVAL_US = 50000,
  DISCARD_TIMEOUT_MS = 1000
};

static void
end_overdue_reads (csp_entry_t *entry)
{
  int64_t now_ms = csp_now_ms (&entry->context->clock);
  csp_entry_exchange_t *exchange;

  LIST_FOREACH (exchange, &entry->timed_reads, timed_reads_link)
  if (!exchange->read_timed_out && now_ms >= exchange->read_deadline_ms)
    {
      exchange->read_timed_out = true;
      shutdown (exchange->socket, SHUT_RD);
    }
}

static void *
run_read_watchdog (void *state)
{
  csp_entry_t *entry = state;

  pthread_mutex_lock (&entry->timed_reads_lock);
  while (!entry->watchdog_stops)
    if (LIST_EMPTY (&entry->timed_reads))
      pthread_cond_wait (&entry->timed_read_began, &entry->timed_reads_lock);
    else
      {
        end_overdue_reads (entry);
        pthread_mutex_unlock (&entry->timed_reads_lock);
        usleep (WATCHDOG_INTERVAL_US);
        pthread_mutex_lock (&entry->timed_reads_lock);
      }
  pthread_mutex_unlock (&entry->timed_reads_lock);
  return NULL;
}

int
csp_start_read_watchdog (csp_entry_t *entry)
{
  LIST_INIT (&entry->timed_reads);
  pthread_mutex_init (&entry->timed_reads_lock, NULL);
  pthread_cond_init (&entry->timed_read_began, NULL);
  if (pthread_create (&entry->watchdog, NULL, run_read_watchdog, entry) == 0)
    return 0;
  pthread_cond_destroy (&entry->timed_read_began);
  pthread_mutex_destroy (&entry->timed_reads_lock);
  return -1;
}

void
csp_stop_read_watchdog (csp_entry_t *entry)
{
  pthread_mutex_lock (&entry->timed_reads_lock);
  entry->watchdog_stops = true;
  pthread_cond_signal (&entry->timed_read_began);
  pthread_mutex_unlock (&entry->timed_reads_lock);
  pthread_join (entry->watchdog, NULL);
  pthread_cond_destroy (&entry->timed_read_began);
  pthread_mutex_destroy (&entry->timed_reads_lock);
}

void
csp_begin_timed_read (csp_entry_exchange_t *exchange, uint32_t limit_ms)
{
  csp_entry_t *entry = exchange->entry;

  exchange->read_timed_out = false;
  exchange->read_deadline_ms = csp_now_ms (&entry->context->clock) + limit_ms;
  if (exchange->socket < 0)
    return;
  pthread_mutex_lock (&entry->timed_reads_lock);
  LIST_INSERT_HEAD (&entry->timed_reads, exchange, timed_reads_link);
  pthread_cond_signal (&entry->timed_read_began);
  pthread_mutex_unlock (&entry->timed_reads_lock);
}

bool
csp_end_timed_read (csp_entry_exchange_t *exchange)
{
  csp_entry_t *entry = exchange->entry;
  bool read_timed_out;

  if (exchange->socket < 0)
    return true;
  pthread_mutex_lock (&entry->timed_reads_lock);
  LIST_REMOVE (exchange, timed_reads_link);
  read_timed_out = exchange->read_timed_out;
  pthread_mutex_unlock (&entry->timed_reads_lock);
  return !read_timed_out;
}

/* Closing a connection with unread input resets it, and the answer may be lost
   on its way.  So input is read and discarded for a limited time.  After that
   the library would read until nothing is left, which a slow caller could
   prolong without end; shutting down the receiving side ends it at once.  */
void
csp_discard_unread_input (csp_entry_exchange_t *exchange)
{
  char discarded[4096];

  if (!exchange->body_read)
    {
      csp_begin_timed_read (exchange, DISCARD_TIMEOUT_MS);
      while (mg_read (exchange->connection, discarded, sizeof discarded) > 0)
        continue;
      csp_end_timed_read (exchange);
    }
  if (exchange->socket >= 0)
    shutdown (exchange->socket, SHUT_RD);
}
