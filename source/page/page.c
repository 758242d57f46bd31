#include "cowslipspoke/page.h"

#include "cowslipspoke/link.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HEAD_MAX_BYTES = 8192,
  /* Clients send their next request within seconds; a connection without input
     for this long is closed.  */
  IDLE_TIMEOUT_MS = 15000,
  BACKLOG = 64
};

struct csp_page_connection
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  uint8_t open_handles;
  csp_page_server_t *server;
  csp_page_connection_t *next;
  csp_page_connection_t *previous;
  csp_http_reader_t *reader;
  bool awaiting_answer;
  bool closed;
};

struct csp_page_server
{
  uv_tcp_t listener;
  uv_loop_t *loop;
  const csp_page_events_t *events;
  void *state;
  csp_page_connection_t *connections;
};

static const csp_http_limits_t request_limits
    = { .head_max_bytes = HEAD_MAX_BYTES, .body_max_bytes = 0 };

static void
on_handle_closed (uv_handle_t *handle)
{
  csp_page_connection_t *connection = handle->data;

  if (--connection->open_handles > 0)
    return;
  csp_destroy_http_reader (connection->reader);
  free (connection);
}

static void
close_connection (csp_page_connection_t *connection)
{
  const csp_page_server_t *server = connection->server;

  if (connection->closed)
    return;
  connection->closed = true;
  if (connection->previous != NULL)
    connection->previous->next = connection->next;
  else
    connection->server->connections = connection->next;
  if (connection->next != NULL)
    connection->next->previous = connection->previous;
  uv_close ((uv_handle_t *)&connection->tcp, on_handle_closed);
  uv_close ((uv_handle_t *)&connection->timer, on_handle_closed);
  if (connection->awaiting_answer && server->events->on_disconnect != NULL)
    server->events->on_disconnect (server->state, connection);
}

static void
on_idle_timeout (uv_timer_t *timer)
{
  close_connection (timer->data);
}

void
csp_answer_page_request (csp_page_connection_t *connection, uint16_t status,
                         const char *type, const void *body, size_t size_bytes)
{
  const csp_http_head_t *head = csp_http_head (connection->reader);
  bool keep_alive = head->keep_alive;
  csp_buffer_t answer = { 0 };

  connection->awaiting_answer = false;
  csp_print_buffer (&answer,
                    "HTTP/1.1 %u %s\r\nContent-Type: %s\r\n"
                    "Content-Length: %zu\r\n%s\r\n",
                    status, csp_http_reason_phrase (status), type, size_bytes,
                    keep_alive ? "" : "Connection: close\r\n");
  if (strcmp (head->method, "HEAD") != 0)
    csp_append_buffer (&answer, body, size_bytes);
  csp_reset_http_reader (connection->reader, request_limits, false);
  if (csp_write_stream ((uv_stream_t *)&connection->tcp, answer.data,
                        answer.size_bytes, NULL, NULL)
          != 0
      || !keep_alive)
    close_connection (connection);
  csp_clear_buffer (&answer);
}

/* Read requests.  Clients don't pipeline: input while a request is still
   unanswered closes the connection.  */
static void
read_requests (csp_page_connection_t *connection, const char *data,
               size_t left_bytes)
{
  while (left_bytes > 0 && !connection->closed)
    {
      const char *piece;
      size_t piece_bytes;
      size_t used;
      csp_http_step_t step;

      if (connection->awaiting_answer)
        {
          close_connection (connection);
          return;
        }
      step = csp_read_http (connection->reader, data, left_bytes, &used,
                            &piece, &piece_bytes);
      data += used;
      left_bytes -= used;
      if (step == CSP_HTTP_NEED_MORE)
        return;
      if (step != CSP_HTTP_HEAD
          || csp_http_head (connection->reader)->framing != CSP_BODY_NONE)
        {
          close_connection (connection);
          return;
        }
      connection->awaiting_answer = true;
      connection->server->events->on_request (
          connection->server->state, connection,
          csp_http_head (connection->reader));
    }
}

static void
on_read (uv_stream_t *stream, ssize_t size_bytes, const uv_buf_t *buffer)
{
  csp_page_connection_t *connection = stream->data;

  if (size_bytes < 0)
    {
      close_connection (connection);
      return;
    }
  if (connection->closed)
    return;
  uv_timer_start (&connection->timer, on_idle_timeout, IDLE_TIMEOUT_MS, 0);
  read_requests (connection, buffer->base, (size_t)size_bytes);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  csp_page_server_t *server = listener->data;
  csp_page_connection_t *connection;

  if (status != 0)
    return;
  connection = calloc (1, sizeof *connection);
  if (connection == NULL)
    return;
  connection->reader
      = csp_create_http_reader (CSP_HTTP_REQUEST, request_limits);
  if (connection->reader == NULL
      || uv_tcp_init (server->loop, &connection->tcp) != 0)
    {
      csp_destroy_http_reader (connection->reader);
      free (connection);
      return;
    }
  uv_timer_init (server->loop, &connection->timer);
  connection->open_handles = 2;
  connection->tcp.data = connection;
  connection->timer.data = connection;
  connection->server = server;
  connection->next = server->connections;
  if (connection->next != NULL)
    connection->next->previous = connection;
  server->connections = connection;
  if (uv_accept (listener, (uv_stream_t *)&connection->tcp) != 0)
    {
      close_connection (connection);
      return;
    }
  uv_timer_start (&connection->timer, on_idle_timeout, IDLE_TIMEOUT_MS, 0);
  uv_read_start ((uv_stream_t *)&connection->tcp, csp_share_read_buffer,
                 on_read);
}

static void
on_listener_closed (uv_handle_t *handle)
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
  uv_close ((uv_handle_t *)&server->listener, on_listener_closed);
  return NULL;
}

void
csp_close_page_server (csp_page_server_t *server)
{
  if (server == NULL)
    return;
  while (server->connections != NULL)
    close_connection (server->connections);
  uv_close ((uv_handle_t *)&server->listener, on_listener_closed);
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
