#include "cowslipspoke/mirror.h"

#include "cowslipspoke/follow.h"
#include "cowslipspoke/page.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Between hosts: serving the mirror, and following that of another host while
   the store can't be reached.  */

enum
{
  /* Followers that are kept waiting at once; each is one host that the store
     turns away.  */
  WAITING_MAX = 128,
  /* How long the store must have been reachable before removals are passed
     on: its own leases come back within about two seconds.  */
  SETTLED_AFTER_MS = 2500,
  /* Another host is asked when one is of no use.  */
  SWITCH_MS = 100,
  HOSTS_MAX = 64,
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  /* No status says that history is gone: the answer is then whole.  */
  NO_STATUS = 0,
  DECIMAL = 10
};

static const char mirror_path[] = "/mirror?";

typedef struct
{
  csp_page_t *page;
  int64_t after;
  uint64_t until_ms;
} waiting_t;

struct csp_mirror_exchange
{
  uv_loop_t *loop;
  csp_mirror_t *mirror;
  csp_list_hosts_t list_hosts;
  void *state;
  csp_log_t *log;
  csp_page_server_t *server;
  uv_timer_t timer;      /* switches to another host */
  uv_timer_t hold_timer; /* ends what waits */
  uint8_t open_handles;
  csp_follower_t *follower;
  bool away;
  uint64_t back_ms; /* loop time since which the store is reachable */
  size_t waiting_count;
  waiting_t waiting[WAITING_MAX];
  csp_random_t random;
};

static bool
is_settled (const csp_mirror_exchange_t *exchange)
{
  return !exchange->away
         && uv_now (exchange->loop) >= exchange->back_ms + SETTLED_AFTER_MS;
}

static void
answer_mirror (csp_mirror_exchange_t *exchange, csp_page_t *page,
               int64_t after)
{
  csp_buffer_t text = { 0 };

  csp_encode_mirror (exchange->mirror, after, is_settled (exchange), &text);
  csp_answer_page (page, STATUS_OK, "application/json", text.data,
                   text.size_bytes);
  csp_clear_buffer (&text);
}

/* Answer what waits and has something to hear, or whose time is over.  */
static void
answer_waiting (csp_mirror_exchange_t *exchange, bool all)
{
  uint64_t now_ms = uv_now (exchange->loop);
  size_t i = 0;

  while (i < exchange->waiting_count)
    {
      waiting_t waiting = exchange->waiting[i];

      if (!all && now_ms < waiting.until_ms
          && csp_mirror_revision (exchange->mirror) <= waiting.after)
        {
          i++;
          continue;
        }
      exchange->waiting[i] = exchange->waiting[--exchange->waiting_count];
      answer_mirror (exchange, waiting.page, waiting.after);
    }
}

static void
on_hold_end (uv_timer_t *timer)
{
  csp_mirror_exchange_t *exchange = timer->data;

  answer_waiting (exchange, false);
  if (exchange->waiting_count > 0)
    uv_timer_start (timer, on_hold_end, SWITCH_MS, 0);
}

static int64_t
number_behind (const char *target, const char *name)
{
  const char *at = strstr (target, name);

  return at == NULL ? 0 : strtoll (at + strlen (name), NULL, DECIMAL);
}

static void
on_asked (void *state, csp_page_t *page, const csp_http_head_t *head)
{
  csp_mirror_exchange_t *exchange = state;
  int64_t after = number_behind (head->target, "after=");
  int64_t wait_ms = number_behind (head->target, "wait_ms=");
  waiting_t waiting
      = { .page = page,
          .after = after,
          .until_ms = uv_now (exchange->loop) + (uint64_t)wait_ms };

  if (strncmp (head->target, mirror_path, strlen (mirror_path)) != 0)
    {
      csp_answer_page (page, STATUS_NOT_FOUND, "text/plain", "", 0);
      return;
    }
  if (wait_ms <= 0 || after <= 0 || !is_settled (exchange)
      || csp_mirror_revision (exchange->mirror) > after
      || exchange->waiting_count == WAITING_MAX)
    {
      answer_mirror (exchange, page, after);
      return;
    }
  exchange->waiting[exchange->waiting_count++] = waiting;
  if (!uv_is_active ((uv_handle_t *)&exchange->hold_timer))
    uv_timer_start (&exchange->hold_timer, on_hold_end, SWITCH_MS, 0);
}

static void
on_left (void *state, csp_page_t *page)
{
  csp_mirror_exchange_t *exchange = state;
  size_t i;

  for (i = 0; i < exchange->waiting_count; i++)
    if (exchange->waiting[i].page == page)
      {
        exchange->waiting[i] = exchange->waiting[--exchange->waiting_count];
        return;
      }
}

static const csp_page_events_t page_events
    = { .asked = on_asked, .left = on_left };

static void
write_call (void *state, const csp_watch_call_t *call, csp_buffer_t *request)
{
  const csp_mirror_exchange_t *exchange = state;
  int64_t after = csp_mirror_revision (exchange->mirror);

  csp_print_buffer (request,
                    "GET %safter=%lld&wait_ms=%u HTTP/1.1\r\nHost: h\r\n\r\n",
                    mirror_path, (long long)after,
                    call->kind == CSP_WATCH_LIST ? 0 : call->wait_ms);
}

static bool
take_answer (void *state, const csp_watch_call_t *call, const char *body,
             csp_watch_t *watch)
{
  csp_mirror_exchange_t *exchange = state;
  int64_t as_of = 0;

  if (!csp_decode_mirror (exchange->mirror, body, &as_of))
    return false;
  if (call->kind == CSP_WATCH_LIST)
    csp_note_watch_page (watch, as_of, false, "");
  else
    csp_note_watch_changes (watch, as_of);
  csp_tell_mirror_followers (exchange);
  return true;
}

/* The host that was followed is of no use any more; take another.  */
static void
on_peer_reach (void *state, bool away)
{
  csp_mirror_exchange_t *exchange = state;

  if (!away)
    return;
  csp_close_follower (exchange->follower);
  exchange->follower = NULL;
}

static const csp_follow_source_t peer_source
    = { .write_call = write_call,
        .take_answer = take_answer,
        .reach_changed = on_peer_reach,
        .compacted_status = NO_STATUS };

static void
follow_some_host (uv_timer_t *timer)
{
  csp_mirror_exchange_t *exchange = timer->data;
  csp_peer_address_t hosts[HOSTS_MAX];
  struct sockaddr_in address = { .sin_family = AF_INET };
  csp_peer_address_t chosen;
  size_t count;

  if (!exchange->away || exchange->follower != NULL)
    return;
  count = exchange->list_hosts (exchange->state, hosts, HOSTS_MAX);
  if (count == 0)
    return;
  chosen = hosts[csp_random_below (&exchange->random, (uint32_t)count)];
  address.sin_addr.s_addr = htonl (chosen.ip);
  address.sin_port = htons (chosen.port);
  exchange->follower
      = csp_open_follower (exchange->loop, &address, &peer_source, exchange);
}

csp_mirror_exchange_t *
csp_open_mirror_exchange (uv_loop_t *loop, const struct sockaddr_in *address,
                          csp_mirror_t *mirror, csp_list_hosts_t list_hosts,
                          void *state, csp_log_t *log)
{
  csp_mirror_exchange_t *exchange = calloc (1, sizeof *exchange);
  int fault = 0;

  if (exchange == NULL)
    return NULL;
  exchange->loop = loop;
  exchange->mirror = mirror;
  exchange->list_hosts = list_hosts;
  exchange->state = state;
  exchange->log = log;
  exchange->away = true;
  csp_seed_random (&exchange->random, csp_random_seed ());
  if (address->sin_port != 0)
    {
      exchange->server = csp_open_page_server (loop, address, &page_events,
                                               exchange, &fault);
      if (exchange->server == NULL)
        {
          free (exchange);
          return NULL;
        }
    }
  uv_timer_init (loop, &exchange->timer);
  uv_timer_init (loop, &exchange->hold_timer);
  exchange->timer.data = exchange;
  exchange->hold_timer.data = exchange;
  exchange->open_handles = 2;
  return exchange;
}

static void
free_closed (uv_handle_t *handle)
{
  csp_mirror_exchange_t *exchange = handle->data;

  if (--exchange->open_handles == 0)
    free (exchange);
}

void
csp_close_mirror_exchange (csp_mirror_exchange_t *exchange)
{
  if (exchange == NULL)
    return;
  exchange->away = false;
  csp_close_follower (exchange->follower);
  exchange->follower = NULL;
  csp_close_page_server (exchange->server);
  exchange->server = NULL;
  uv_close ((uv_handle_t *)&exchange->timer, free_closed);
  uv_close ((uv_handle_t *)&exchange->hold_timer, free_closed);
}

void
csp_set_mirror_away (csp_mirror_exchange_t *exchange, bool away)
{
  if (!away && exchange->away)
    exchange->back_ms = uv_now (exchange->loop);
  exchange->away = away;
  if (away)
    {
      uv_timer_start (&exchange->timer, follow_some_host, 1, SWITCH_MS);
      answer_waiting (exchange, true);
      return;
    }
  uv_timer_stop (&exchange->timer);
  csp_close_follower (exchange->follower);
  exchange->follower = NULL;
}

void
csp_tell_mirror_followers (csp_mirror_exchange_t *exchange)
{
  answer_waiting (exchange, false);
}
