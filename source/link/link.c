#include "link/link-imp.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

typedef enum
{
  LINK_CONNECTING,
  LINK_OPEN,
  LINK_CLOSED
} link_state_t;

struct csp_link
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  uv_connect_t connect;
  uint8_t open_handles;
  link_state_t state;
  csp_http_reader_t *reader;
  const csp_link_events_t *events;
  void *events_state;
  csp_link_lost_t lost;
  void *lost_state;
  csp_buffer_t unsent; /* written before the connection */
  bool sent;
  bool write_reset; /* a write has met a reset */
  bool request_complete;
  bool answer_complete;
  bool reused;
  bool timed_out;
  bool headless;
  bool unexpected_bytes;
  bool reading;
  bool yielding;            /* reads on in the next turn of the loop */
  uint32_t interim_answers; /* before the final one */
  bool head_late;
  uint32_t usable_ms;
  int64_t opened_ms;
};

enum
{
  /* Keep-alive time of a server that states none.  The common default of
     servers is 5 s; a request that is sent while the server closes must count
     as possibly run, so links are given up earlier.  */
  DEFAULT_KEEP_ALIVE_MS = 4000,
  /* From the first byte of a head to its end.  A head fits into a few packets;
     this bears the loss of one.  */
  HEAD_TIMEOUT_MS = 2000,
  /* Once that is over, what has come meanwhile is read first.  */
  HEAD_GRACE_MS = 10,
  INTERIM_ANSWERS_MAX = 16,
  MS_PER_S = 1000
};

/* Bodies are limited by the owner of the request; heads are limited here.  */
static const csp_http_limits_t answer_limits
    = { .head_max_bytes = 65536, .body_max_bytes = UINT64_MAX };

static void
free_closed (uv_handle_t *handle)
{
  csp_link_t *link = handle->data;

  if (--link->open_handles > 0)
    return;
  csp_destroy_http_reader (link->reader);
  csp_clear_buffer (&link->unsent);
  free (link);
}

void
csp_close_link (csp_link_t *link)
{
  if (link->state == LINK_CLOSED)
    return;
  link->state = LINK_CLOSED;
  link->events = NULL;
  link->lost = NULL;
  uv_close ((uv_handle_t *)&link->tcp, free_closed);
  uv_close ((uv_handle_t *)&link->timer, free_closed);
}

/* Reports to the owner, or to the owner of the idle link, that the link can't
   be used any more.  */
static void
fail_link (csp_link_t *link, csp_link_failure_t failure)
{
  const csp_link_events_t *events = link->events;
  csp_link_lost_t lost = link->lost;

  link->events = NULL;
  link->lost = NULL;
  link->usable_ms = 0;
  link->unexpected_bytes = true;
  if (events != NULL)
    events->failed (link->events_state, failure);
  else if (lost != NULL)
    {
      lost (link->lost_state, link);
      csp_close_link (link);
    }
}

/* How long the server keeps the connection, from "timeout=5" in Keep-Alive; 0
   when it doesn't.  */
static uint32_t
read_keep_alive_ms (const csp_http_head_t *head)
{
  const char *value = csp_find_http_field (head, "Keep-Alive");
  const char *timeout = value == NULL ? NULL : strstr (value, "timeout=");

  if (!head->keep_alive)
    return 0;
  if (timeout == NULL)
    return DEFAULT_KEEP_ALIVE_MS;
  return (uint32_t)strtoul (timeout + strlen ("timeout="), NULL, 10)
         * MS_PER_S;
}

static void
end_answer (csp_link_t *link, bool unexpected_bytes)
{
  const csp_link_events_t *events = link->events;
  const csp_http_head_t *head = csp_http_head (link->reader);

  link->answer_complete = true;
  link->unexpected_bytes = unexpected_bytes;
  link->usable_ms = 0;
  if (link->request_complete && !unexpected_bytes
      && head->framing != CSP_BODY_UNTIL_CLOSE)
    link->usable_ms = read_keep_alive_ms (head);
  link->events = NULL;
  if (events != NULL)
    events->ended (link->events_state);
}

enum
{
  STATUS_FINAL = 200
};

static void
on_head_timeout (uv_timer_t *timer)
{
  csp_link_t *link = timer->data;

  if (link->state != LINK_OPEN || link->events == NULL)
    return;
  if (link->head_late)
    {
      fail_link (link, CSP_LINK_MALFORMED);
      return;
    }
  link->head_late = true;
  uv_timer_start (timer, on_head_timeout, HEAD_GRACE_MS, 0);
}

/* Bounds the time for the rest of a head whose beginning has come.  */
static void
await_rest_of_head (csp_link_t *link)
{
  if (csp_http_head_complete (link->reader)
      || !csp_http_message_begun (link->reader)
      || uv_is_active ((uv_handle_t *)&link->timer))
    return;
  link->head_late = false;
  uv_timer_start (&link->timer, on_head_timeout, HEAD_TIMEOUT_MS, 0);
}

/* An answer that precedes the final one.  False where there are too many.  */
static bool
skip_interim_answer (csp_link_t *link)
{
  csp_reset_http_reader (link->reader, answer_limits, link->headless);
  return ++link->interim_answers <= INTERIM_ANSWERS_MAX;
}

/* Parses received bytes; the owner may close the link within any callback.  */
static void
read_answer (csp_link_t *link, const char *data, size_t size_bytes)
{
  while (link->events != NULL)
    {
      const char *piece = NULL;
      size_t piece_bytes = 0;
      size_t used = 0;
      csp_http_step_t step = csp_read_http (link->reader, data, size_bytes,
                                            &used, &piece, &piece_bytes);

      data += used;
      size_bytes -= used;
      switch (step)
        {
        case CSP_HTTP_NEED_MORE:
          await_rest_of_head (link);
          return;
        case CSP_HTTP_HEAD:
          uv_timer_stop (&link->timer);
          if (csp_http_head (link->reader)->status < STATUS_FINAL)
            {
              if (!skip_interim_answer (link))
                fail_link (link, CSP_LINK_MALFORMED);
            }
          else
            link->events->answered (link->events_state,
                                    csp_http_head (link->reader));
          break;
        case CSP_HTTP_BODY:
          link->events->body (link->events_state, piece, piece_bytes);
          break;
        case CSP_HTTP_END:
          end_answer (link, size_bytes > 0);
          return;
        case CSP_HTTP_FAULT:
          fail_link (link, CSP_LINK_MALFORMED);
          return;
        }
    }
}

/* Whether the server closed the connection orderly.  libuv reports the end of
   the stream also when a reset followed directly after the last bytes, and a
   truncated answer without a length would look complete.  The socket itself
   still tells the two apart, unless a write was told of the reset.  */
static bool
is_orderly_close (csp_link_t *link)
{
  uv_os_fd_t descriptor;
  char byte;

  return !link->write_reset
         && uv_fileno ((uv_handle_t *)&link->tcp, &descriptor) == 0
         && recv (descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT)
                == 0;
}

static void on_turn_end (uv_timer_t *timer);

/* libuv reads a connection on for as long as it has bytes, which delays all
   others on the loop.  */
static void
yield_to_others (csp_link_t *link)
{
  if (link->state != LINK_OPEN || !link->reading
      || !csp_http_head_complete (link->reader))
    return;
  uv_read_stop ((uv_stream_t *)&link->tcp);
  link->yielding = true;
  uv_timer_start (&link->timer, on_turn_end, 0, 0);
}

static void
on_read (uv_stream_t *stream, ssize_t size_bytes, const uv_buf_t *buffer)
{
  csp_link_t *link = stream->data;
  bool orderly;

  if (size_bytes == 0 || link->state != LINK_OPEN)
    return;
  if (size_bytes > 0)
    {
      csp_count_stream_read (stream, (size_t)size_bytes);
      if (link->events != NULL)
        read_answer (link, buffer->base, (size_t)size_bytes);
      else
        fail_link (link, CSP_LINK_MALFORMED);
      if ((size_t)size_bytes == buffer->len)
        yield_to_others (link);
      return;
    }
  uv_read_stop (stream);
  link->reading = false;
  orderly = size_bytes == UV_EOF && is_orderly_close (link);
  if (link->events != NULL && orderly && csp_handle_http_eof (link->reader))
    end_answer (link, true);
  else
    fail_link (link, orderly ? CSP_LINK_CLOSED : CSP_LINK_RESET);
}

static void
on_turn_end (uv_timer_t *timer)
{
  csp_link_t *link = timer->data;

  if (!link->yielding)
    return;
  link->yielding = false;
  uv_read_start ((uv_stream_t *)&link->tcp, csp_share_read_buffer, on_read);
}

static void
on_written (uv_write_t *request, int status)
{
  csp_link_t *link = request->data;

  link->write_reset |= status == UV_ECONNRESET;
  if (link->state != LINK_OPEN || link->events == NULL)
    return;
  /* The read side reports a broken connection too and may still have an early
     answer, so a failed write is ignored here.  */
  if (status == 0 && link->events->drained != NULL)
    link->events->drained (link->events_state);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  csp_link_t *link = connect->data;
  csp_buffer_t unsent;

  if (link->state != LINK_CONNECTING)
    return;
  uv_timer_stop (&link->timer);
  if (status < 0)
    {
      fail_link (link, CSP_LINK_UNREACHABLE);
      return;
    }
  link->state = LINK_OPEN;
  csp_count_connect (link->tcp.loop,
                     csp_stream_now_ms (link->tcp.loop) - link->opened_ms);
  uv_tcp_nodelay (&link->tcp, 1);
  unsent = link->unsent;
  memset (&link->unsent, 0, sizeof link->unsent);
  if (unsent.size_bytes > 0)
    csp_write_link (link, unsent.data, unsent.size_bytes);
  csp_clear_buffer (&unsent);
  csp_pause_link (link, false);
  if (link->events != NULL && link->events->drained != NULL)
    link->events->drained (link->events_state);
}

static void
on_connect_timeout (uv_timer_t *timer)
{
  csp_link_t *link = timer->data;

  if (link->state != LINK_CONNECTING)
    return;
  link->timed_out = true;
  fail_link (link, CSP_LINK_UNREACHABLE);
}

csp_link_t *
csp_open_link (uv_loop_t *loop, const struct sockaddr_in *address,
               uint32_t connect_timeout_ms)
{
  return csp_open_link_from (loop, NULL, address, connect_timeout_ms);
}

csp_link_t *
csp_open_link_from (uv_loop_t *loop, const struct sockaddr_in *source,
                    const struct sockaddr_in *address,
                    uint32_t connect_timeout_ms)
{
  csp_link_t *link = calloc (1, sizeof *link);

  if (link == NULL)
    return NULL;
  link->reader = csp_create_http_reader (CSP_HTTP_RESPONSE, answer_limits);
  if (link->reader == NULL || uv_tcp_init (loop, &link->tcp) != 0)
    {
      csp_destroy_http_reader (link->reader);
      free (link);
      return NULL;
    }
  uv_timer_init (loop, &link->timer);
  link->tcp.data = link;
  link->timer.data = link;
  link->connect.data = link;
  link->open_handles = 2;
  link->state = LINK_CONNECTING;
  link->opened_ms = csp_stream_now_ms (loop);
  if ((source != NULL
       && uv_tcp_bind (&link->tcp, (const struct sockaddr *)source, 0) != 0)
      || uv_tcp_connect (&link->connect, &link->tcp,
                         (const struct sockaddr *)address, on_connected)
             != 0)
    {
      csp_close_link (link);
      return NULL;
    }
  uv_timer_start (&link->timer, on_connect_timeout, connect_timeout_ms, 0);
  return link;
}

void
csp_start_link_request (csp_link_t *link, const csp_link_events_t *events,
                        void *state, bool headless)
{
  link->reused = link->answer_complete;
  link->events = events;
  link->events_state = state;
  link->lost = NULL;
  link->sent = false;
  link->request_complete = false;
  link->answer_complete = false;
  link->interim_answers = 0;
  link->headless = headless;
  csp_reset_http_reader (link->reader, answer_limits, headless);
}

bool
csp_write_link (csp_link_t *link, const void *data, size_t size_bytes)
{
  int error;

  if (link->state == LINK_CONNECTING)
    return csp_append_buffer (&link->unsent, data, size_bytes);
  if (link->state != LINK_OPEN)
    return false;
  link->sent = true;
  error = csp_write_stream ((uv_stream_t *)&link->tcp, data, size_bytes,
                            on_written, link);
  link->write_reset |= error == UV_ECONNRESET;
  return error == 0;
}

void
csp_finish_link_request (csp_link_t *link)
{
  link->request_complete = true;
}

size_t
csp_link_backlog (const csp_link_t *link)
{
  return link->unsent.size_bytes + link->tcp.write_queue_size;
}

bool
csp_link_has_sent (const csp_link_t *link)
{
  return link->sent;
}

bool
csp_link_is_answering (const csp_link_t *link)
{
  return csp_http_message_begun (link->reader) || link->interim_answers > 0;
}

bool
csp_is_link_connected (const csp_link_t *link)
{
  return link->state == LINK_OPEN;
}

bool
csp_link_timed_out (const csp_link_t *link)
{
  return link->timed_out;
}

bool
csp_link_is_reused (const csp_link_t *link)
{
  return link->reused;
}

void
csp_pause_link (csp_link_t *link, bool pause)
{
  if (link->state != LINK_OPEN || link->reading != pause)
    return;
  if (link->yielding)
    uv_timer_stop (&link->timer);
  link->yielding = false;
  if (pause)
    uv_read_stop ((uv_stream_t *)&link->tcp);
  else
    uv_read_start ((uv_stream_t *)&link->tcp, csp_share_read_buffer, on_read);
  link->reading = !pause;
}

uint32_t
csp_link_reusable_ms (const csp_link_t *link)
{
  return link->state == LINK_OPEN && link->answer_complete
                 && !link->unexpected_bytes
             ? link->usable_ms
             : 0;
}

void
csp_watch_idle_link (csp_link_t *link, csp_link_lost_t lost, void *state)
{
  link->lost = lost;
  link->lost_state = state;
  csp_pause_link (link, false);
}
