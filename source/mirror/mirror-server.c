#include "cowslipspoke/mirror.h"

#include "cowslipspoke/pack.h"
#include "cowslipspoke/page.h"
#include "mirror/mirror-imp.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Hosts that are kept waiting at once, at first: those of a data centre.  */
  WAITING_FIRST = 64,
  /* A mirror that is confirmed that much later than when a host asked is worth
     an answer without news.  Hosts that follow each other would answer each
     other without end otherwise, as ages are rounded on their way.  */
  CONFIRMED_AGAIN_MS = 50,
  COUNT_MS = 1000,
  /* How often waits that are over are looked for.  */
  HOLD_TICK_MS = 50,
  /* Shorter texts go as they are: they fit into a packet with their head.  */
  PACKED_LEAST_BYTES = 1000,
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  DECIMAL = 10
};

typedef struct
{
  csp_page_t *page;
  bool unpacks; /* the host takes what is packed */
  int64_t after;
  uint64_t until_ms;
  uint64_t fed_ms; /* of the mirror, as it was when the host asked */
} waiting_t;

struct csp_mirror_server
{
  uv_loop_t *loop;
  const csp_mirror_t *mirror;
  csp_page_server_t *pages;
  uv_timer_t timer;
  bool settled;
  bool lapsing;
  uint64_t fed_ms;
  uint64_t link_bytes_per_s;
  csp_mirror_followers_t followers;
  uint64_t sent_bytes; /* since counted_ms */
  uint64_t counted_ms;
  uint64_t follower_bytes_per_s;
  size_t waiting_count;
  size_t waiting_room;
  waiting_t *waiting;
};

/* An answer, kept for as long as others ask for the same: hosts that follow
   closely all wait behind the same revision.  */
typedef struct
{
  int64_t after;
  csp_buffer_t text;
  csp_buffer_t packed; /* none where that isn't worth it, or memory failed */
} answer_t;

static void
clear_answer (answer_t *answer)
{
  csp_clear_buffer (&answer->text);
  csp_clear_buffer (&answer->packed);
}

static void
encode_answer (const csp_mirror_server_t *server, int64_t after,
               answer_t *answer)
{
  csp_mirror_word_t word
      = { .settled = server->settled,
          .lapsing = server->lapsing,
          .age_ms = (uint32_t)(uv_now (server->loop) - server->fed_ms) };

  if (answer->text.size_bytes > 0 && answer->after == after)
    return;
  clear_answer (answer);
  answer->after = after;
  csp_encode_mirror (server->mirror, after, &word, &answer->text);
  if (answer->text.size_bytes >= PACKED_LEAST_BYTES
      && !csp_pack_bytes (answer->text.data, answer->text.size_bytes,
                          &answer->packed))
    csp_clear_buffer (&answer->packed);
}

/* What one follower costs, counted each second.  It falls by half at most: a
   calm second isn't the next one.  */
static void
count_sent (csp_mirror_server_t *server, size_t size_bytes)
{
  uint64_t passed_ms = uv_now (server->loop) - server->counted_ms;
  uint64_t followers = server->followers.count;
  uint64_t rate;

  server->sent_bytes += size_bytes;
  if (passed_ms < COUNT_MS)
    return;
  rate = server->sent_bytes * COUNT_MS / passed_ms
         / (followers == 0 ? 1 : followers);
  if (rate < server->follower_bytes_per_s / 2)
    rate = server->follower_bytes_per_s / 2;
  server->follower_bytes_per_s = rate;
  server->sent_bytes = 0;
  server->counted_ms = uv_now (server->loop);
}

void
csp_note_follower_cost (csp_mirror_server_t *server, uint64_t bytes_per_s)
{
  server->follower_bytes_per_s = bytes_per_s;
}

static void
send_text (csp_mirror_server_t *server, csp_page_t *page,
           const csp_buffer_t *text)
{
  count_sent (server, text->size_bytes);
  csp_answer_page (page, STATUS_OK, "application/json", text->data,
                   text->size_bytes);
}

/* A host that doesn't say that it unpacks is an older version's.  */
static void
send_answer (csp_mirror_server_t *server, const waiting_t *waiting,
             const answer_t *answer)
{
  if (!waiting->unpacks || answer->packed.size_bytes == 0)
    {
      send_text (server, waiting->page, &answer->text);
      return;
    }
  count_sent (server, answer->packed.size_bytes);
  csp_answer_page (waiting->page, STATUS_OK, csp_packed_type,
                   answer->packed.data, answer->packed.size_bytes);
}

static void
answer_at_once (csp_mirror_server_t *server, const waiting_t *waiting)
{
  answer_t answer = { .after = waiting->after };

  encode_answer (server, waiting->after, &answer);
  send_answer (server, waiting, &answer);
  clear_answer (&answer);
}

static bool
has_to_wait (const csp_mirror_server_t *server, const waiting_t *waiting)
{
  return server->settled && uv_now (server->loop) < waiting->until_ms
         && csp_mirror_revision (server->mirror) <= waiting->after
         && server->fed_ms < waiting->fed_ms + CONFIRMED_AGAIN_MS;
}

/* Answer what waits and has something to hear, or whose time is over.  */
static void
answer_waiting (csp_mirror_server_t *server)
{
  answer_t answer = { 0 };
  size_t i = 0;

  while (i < server->waiting_count)
    {
      waiting_t waiting = server->waiting[i];

      if (has_to_wait (server, &waiting))
        {
          i++;
          continue;
        }
      server->waiting[i] = server->waiting[--server->waiting_count];
      encode_answer (server, waiting.after, &answer);
      send_answer (server, &waiting, &answer);
    }
  clear_answer (&answer);
}

static void
on_tick (uv_timer_t *timer)
{
  csp_mirror_server_t *server = timer->data;

  answer_waiting (server);
  if (server->waiting_count == 0)
    uv_timer_stop (timer);
}

static int64_t
number_behind (const char *target, const char *name)
{
  const char *at = strstr (target, name);

  return at == NULL ? 0 : strtoll (at + strlen (name), NULL, DECIMAL);
}

/* Name others to a host that would be one too many.  A host that tells no
   address is an older version's.  */
static bool
sends_elsewhere (csp_mirror_server_t *server, csp_page_t *page,
                 const char *target)
{
  uint64_t host = (uint64_t)number_behind (target, "host=");
  size_t most = csp_limit_followers (server->link_bytes_per_s,
                                     server->follower_bytes_per_s);
  csp_buffer_t text = { 0 };

  if (host == 0 || number_behind (target, "first=") != 0
      || csp_admit_follower (&server->followers, host, most,
                             uv_now (server->loop)))
    return false;
  csp_write_elsewhere (&server->followers, &text);
  send_text (server, page, &text);
  csp_clear_buffer (&text);
  return true;
}

/* False when memory fails.  */
static bool
keep_waiting (csp_mirror_server_t *server, const waiting_t *waiting)
{
  if (server->waiting_count == server->waiting_room)
    {
      size_t room = server->waiting_room == 0 ? WAITING_FIRST
                                              : 2 * server->waiting_room;
      waiting_t *grown = realloc (server->waiting, room * sizeof *grown);

      if (grown == NULL)
        return false;
      server->waiting = grown;
      server->waiting_room = room;
    }
  server->waiting[server->waiting_count++] = *waiting;
  return true;
}

static void
on_asked (void *state, csp_page_t *page, const csp_http_head_t *head)
{
  csp_mirror_server_t *server = state;
  int64_t after = number_behind (head->target, "after=");
  int64_t wait_ms = number_behind (head->target, "wait_ms=");
  waiting_t waiting
      = { .page = page,
          .unpacks = number_behind (head->target, "packed=") != 0,
          .after = after,
          .until_ms = uv_now (server->loop) + (uint64_t)wait_ms,
          .fed_ms = server->fed_ms };

  if (strncmp (head->target, csp_mirror_path, strlen (csp_mirror_path)) != 0)
    {
      csp_answer_page (page, STATUS_NOT_FOUND, "text/plain", "", 0);
      return;
    }
  if (sends_elsewhere (server, page, head->target))
    return;
  if (wait_ms <= 0 || after <= 0 || !server->settled
      || csp_mirror_revision (server->mirror) > after
      || !keep_waiting (server, &waiting))
    {
      answer_at_once (server, &waiting);
      return;
    }
  if (!uv_is_active ((uv_handle_t *)&server->timer))
    uv_timer_start (&server->timer, on_tick, HOLD_TICK_MS, HOLD_TICK_MS);
}

static void
on_left (void *state, csp_page_t *page)
{
  csp_mirror_server_t *server = state;
  size_t i;

  for (i = 0; i < server->waiting_count; i++)
    if (server->waiting[i].page == page)
      {
        server->waiting[i] = server->waiting[--server->waiting_count];
        return;
      }
}

csp_mirror_server_t *
csp_open_mirror_server (uv_loop_t *loop, const struct sockaddr_in *address,
                        uint64_t link_bytes_per_s, const csp_mirror_t *mirror)
{
  static const csp_page_events_t events
      = { .asked = on_asked, .left = on_left };
  csp_mirror_server_t *server = calloc (1, sizeof *server);
  int fault = 0;

  if (server == NULL)
    return NULL;
  server->loop = loop;
  server->mirror = mirror;
  server->link_bytes_per_s = link_bytes_per_s;
  server->counted_ms = uv_now (loop);
  server->pages
      = csp_open_page_server (loop, address, &events, server, &fault);
  if (server->pages == NULL)
    {
      free (server);
      return NULL;
    }
  uv_timer_init (loop, &server->timer);
  server->timer.data = server;
  return server;
}

static void
free_closed (uv_handle_t *handle)
{
  csp_mirror_server_t *server = handle->data;

  free (server->waiting);
  free (server);
}

void
csp_close_mirror_server (csp_mirror_server_t *server)
{
  if (server == NULL)
    return;
  csp_close_page_server (server->pages);
  uv_close ((uv_handle_t *)&server->timer, free_closed);
}

void
csp_tell_mirror_server (csp_mirror_server_t *server, bool settled,
                        bool lapsing, uint64_t fed_ms)
{
  if (server == NULL)
    return;
  server->settled = settled;
  server->lapsing = lapsing;
  server->fed_ms = fed_ms;
  answer_waiting (server);
}
