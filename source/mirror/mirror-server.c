#include "cowslipspoke/mirror.h"

#include "cowslipspoke/page.h"
#include "mirror/mirror-imp.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Hosts that are kept waiting at once: those of a data centre and some that
     the store turns away.  */
  WAITING_MAX = 256,
  /* How often waits that are over are looked for.  */
  HOLD_TICK_MS = 50,
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  DECIMAL = 10
};

typedef struct
{
  csp_page_t *page;
  int64_t after;
  uint64_t until_ms;
} waiting_t;

struct csp_mirror_server
{
  uv_loop_t *loop;
  const csp_mirror_t *mirror;
  csp_page_server_t *pages;
  uv_timer_t timer;
  bool settled;
  size_t waiting_count;
  waiting_t waiting[WAITING_MAX];
};

static void
answer_mirror (csp_mirror_server_t *server, csp_page_t *page, int64_t after)
{
  csp_buffer_t text = { 0 };

  csp_encode_mirror (server->mirror, after, server->settled, &text);
  csp_answer_page (page, STATUS_OK, "application/json", text.data,
                   text.size_bytes);
  csp_clear_buffer (&text);
}

/* Answer what waits and has something to hear, or whose time is over.  */
static void
answer_waiting (csp_mirror_server_t *server)
{
  uint64_t now_ms = uv_now (server->loop);
  size_t i = 0;

  while (i < server->waiting_count)
    {
      waiting_t waiting = server->waiting[i];

      if (server->settled && now_ms < waiting.until_ms
          && csp_mirror_revision (server->mirror) <= waiting.after)
        {
          i++;
          continue;
        }
      server->waiting[i] = server->waiting[--server->waiting_count];
      answer_mirror (server, waiting.page, waiting.after);
    }
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

static void
on_asked (void *state, csp_page_t *page, const csp_http_head_t *head)
{
  csp_mirror_server_t *server = state;
  int64_t after = number_behind (head->target, "after=");
  int64_t wait_ms = number_behind (head->target, "wait_ms=");
  waiting_t waiting
      = { .page = page,
          .after = after,
          .until_ms = uv_now (server->loop) + (uint64_t)wait_ms };

  if (strncmp (head->target, csp_mirror_path, strlen (csp_mirror_path)) != 0)
    {
      csp_answer_page (page, STATUS_NOT_FOUND, "text/plain", "", 0);
      return;
    }
  if (wait_ms <= 0 || after <= 0 || !server->settled
      || csp_mirror_revision (server->mirror) > after
      || server->waiting_count == WAITING_MAX)
    {
      answer_mirror (server, page, after);
      return;
    }
  server->waiting[server->waiting_count++] = waiting;
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
                        const csp_mirror_t *mirror)
{
  static const csp_page_events_t events
      = { .asked = on_asked, .left = on_left };
  csp_mirror_server_t *server = calloc (1, sizeof *server);
  int fault = 0;

  if (server == NULL)
    return NULL;
  server->loop = loop;
  server->mirror = mirror;
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
  free (handle->data);
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
csp_settle_mirror_server (csp_mirror_server_t *server, bool settled)
{
  if (server == NULL || server->settled == settled)
    return;
  server->settled = settled;
  answer_waiting (server);
}

void
csp_tell_mirror_server (csp_mirror_server_t *server)
{
  if (server != NULL)
    answer_waiting (server);
}
