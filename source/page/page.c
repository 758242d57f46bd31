#include "cowslipspoke/page.h"

#include "cowslipspoke/link.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HEAD_MAX_BYTES = 8192,
  /* Askers come again within seconds.  */
  IDLE_MS = 15000,
  BACKLOG = 64
};

struct csp_page
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  uint8_t open_handles;
  csp_page_server_t *server;
  csp_page_t *next;
  csp_page_t *previous;
  csp_http_reader_t *reader;
  bool held;
  bool closed;
};

struct csp_page_server
{
  uv_tcp_t listener;
  uv_loop_t *loop;
  const csp_page_events_t *events;
  void *state;
  csp_page_t *pages;
};

static const csp_http_limits_t page_limits
    = { .head_max_bytes = HEAD_MAX_BYTES, .body_max_bytes = 0 };

static void
free_closed (uv_handle_t *handle)
{
  csp_page_t *page = handle->data;

  if (--page->open_handles > 0)
    return;
  csp_destroy_http_reader (page->reader);
  free (page);
}

static void
close_page (csp_page_t *page)
{
  const csp_page_server_t *server = page->server;

  if (page->closed)
    return;
  page->closed = true;
  if (page->previous != NULL)
    page->previous->next = page->next;
  else
    page->server->pages = page->next;
  if (page->next != NULL)
    page->next->previous = page->previous;
  uv_close ((uv_handle_t *)&page->tcp, free_closed);
  uv_close ((uv_handle_t *)&page->timer, free_closed);
  if (page->held && server->events->left != NULL)
    server->events->left (server->state, page);
}

static void
on_idle (uv_timer_t *timer)
{
  close_page (timer->data);
}

void
csp_answer_page (csp_page_t *page, uint16_t status, const char *type,
                 const void *body, size_t size_bytes)
{
  const csp_http_head_t *head = csp_http_head (page->reader);
  bool keep = head->keep_alive;
  csp_buffer_t answer = { 0 };

  page->held = false;
  csp_print_buffer (&answer,
                    "HTTP/1.1 %u %s\r\nContent-Type: %s\r\n"
                    "Content-Length: %zu\r\n%s\r\n",
                    status, csp_http_status_words (status), type, size_bytes,
                    keep ? "" : "Connection: close\r\n");
  if (strcmp (head->method, "HEAD") != 0)
    csp_append_buffer (&answer, body, size_bytes);
  csp_next_http_message (page->reader, page_limits, false);
  if (!csp_write_stream ((uv_stream_t *)&page->tcp, answer.data,
                         answer.size_bytes, NULL, NULL)
      || !keep)
    close_page (page);
  csp_clear_buffer (&answer);
}

/* Read questions; one that is held keeps the next ones waiting, and askers
   don't send any.  */
static void
read_questions (csp_page_t *page, const char *data, size_t left_bytes)
{
  while (left_bytes > 0 && !page->closed)
    {
      const char *piece;
      size_t piece_bytes;
      size_t used;
      csp_http_step_t step;

      if (page->held)
        {
          close_page (page);
          return;
        }
      step = csp_read_http (page->reader, data, left_bytes, &used, &piece,
                            &piece_bytes);
      data += used;
      left_bytes -= used;
      if (step == CSP_HTTP_MORE)
        return;
      if (step != CSP_HTTP_HEAD
          || csp_http_head (page->reader)->framing != CSP_BODY_NONE)
        {
          close_page (page);
          return;
        }
      page->held = true;
      page->server->events->asked (page->server->state, page,
                                   csp_http_head (page->reader));
    }
}

static void
on_read (uv_stream_t *stream, ssize_t size_bytes, const uv_buf_t *room)
{
  csp_page_t *page = stream->data;

  if (size_bytes < 0)
    {
      close_page (page);
      return;
    }
  if (page->closed)
    return;
  uv_timer_start (&page->timer, on_idle, IDLE_MS, 0);
  read_questions (page, room->base, (size_t)size_bytes);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  csp_page_server_t *server = listener->data;
  csp_page_t *page;

  if (status != 0)
    return;
  page = calloc (1, sizeof *page);
  if (page == NULL)
    return;
  page->reader = csp_create_http_reader (CSP_HTTP_REQUEST, page_limits);
  if (page->reader == NULL || uv_tcp_init (server->loop, &page->tcp) != 0)
    {
      csp_destroy_http_reader (page->reader);
      free (page);
      return;
    }
  uv_timer_init (server->loop, &page->timer);
  page->open_handles = 2;
  page->tcp.data = page;
  page->timer.data = page;
  page->server = server;
  page->next = server->pages;
  if (page->next != NULL)
    page->next->previous = page;
  server->pages = page;
  if (uv_accept (listener, (uv_stream_t *)&page->tcp) != 0)
    {
      close_page (page);
      return;
    }
  uv_timer_start (&page->timer, on_idle, IDLE_MS, 0);
  uv_read_start ((uv_stream_t *)&page->tcp, csp_share_read_room, on_read);
}

static void
free_server (uv_handle_t *handle)
{
  free (handle->data);
}

csp_page_server_t *
csp_open_page_server (uv_loop_t *loop, const struct sockaddr_in *address,
                      const csp_page_events_t *events, void *state, int *fault)
{
  csp_page_server_t *server = calloc (1, sizeof *server);

  *fault = UV_ENOMEM;
  if (server == NULL)
    return NULL;
  server->loop = loop;
  server->events = events;
  server->state = state;
  uv_tcp_init (loop, &server->listener);
  server->listener.data = server;
  *fault
      = uv_tcp_bind (&server->listener, (const struct sockaddr *)address, 0);
  if (*fault == 0)
    *fault
        = uv_listen ((uv_stream_t *)&server->listener, BACKLOG, on_connection);
  if (*fault == 0)
    return server;
  uv_close ((uv_handle_t *)&server->listener, free_server);
  return NULL;
}

void
csp_close_page_server (csp_page_server_t *server)
{
  if (server == NULL)
    return;
  while (server->pages != NULL)
    close_page (server->pages);
  uv_close ((uv_handle_t *)&server->listener, free_server);
}

uint16_t
csp_page_server_port (const csp_page_server_t *server)
{
  struct sockaddr_in address = { 0 };
  int size_bytes = sizeof address;

  uv_tcp_getsockname (&server->listener, (struct sockaddr *)&address,
                      &size_bytes);
  return ntohs (address.sin_port);
}
