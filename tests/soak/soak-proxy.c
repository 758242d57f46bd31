#include "soak/soak-proxy.h"

#include <stdlib.h>
#include <string.h>

enum
{
  BACKLOG = 256,
  READ_BYTES = 65536
};

/* A piece of data queued in the proxy.  */
typedef struct piece
{
  struct piece *next;
  uint64_t due_ms;
  size_t size_bytes;
  uv_write_t request;
  char data[];
} piece_t;

typedef struct pair pair_t;

/* One direction of a proxied connection.  */
typedef struct
{
  pair_t *pair;
  uv_tcp_t *from;
  uv_tcp_t *to;
  bool towards_client;
  bool ended; /* the sender closed the connection */
  piece_t *first;
  piece_t **last;
  uv_timer_t timer;
} direction_t;

struct pair
{
  proxy_t *proxy;
  pair_t *next;
  pair_t **previous_next;
  uv_tcp_t client;
  uv_tcp_t server;
  uv_connect_t connect;
  struct sockaddr_in client_address;
  direction_t to_server;
  direction_t to_client;
  bool connected;
  bool silent;
  bool closing;
  uint8_t open_handles;
};

struct proxy
{
  uv_tcp_t listener;
  struct sockaddr_in server;
  proxy_mode_t mode;
  uint32_t delay_ms;
  pair_t *pairs;
  proxy_closed_t closed; /* NULL: none */
  void *closed_context;
  proxy_filter_t refuses; /* NULL: none */
  void *filter_context;
  proxy_pacer_t pacer; /* NULL: none */
  void *pacer_context;
};

static char read_buffer[READ_BYTES];

static void
free_pieces (direction_t *direction)
{
  while (direction->first != NULL)
    {
      piece_t *piece = direction->first;

      direction->first = piece->next;
      free (piece);
    }
}

static void
release_handle (pair_t *pair)
{
  if (--pair->open_handles > 0)
    return;
  free_pieces (&pair->to_server);
  free_pieces (&pair->to_client);
  free (pair);
}

static void
on_socket_closed (uv_handle_t *handle)
{
  release_handle (handle->data);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  direction_t *direction = handle->data;

  release_handle (direction->pair);
}

static void
close_pair (pair_t *pair, bool reset)
{
  if (pair->closing)
    return;
  pair->closing = true;
  *pair->previous_next = pair->next;
  if (pair->next != NULL)
    pair->next->previous_next = pair->previous_next;
  if (!reset || uv_tcp_close_reset (&pair->client, on_socket_closed) != 0)
    uv_close ((uv_handle_t *)&pair->client, on_socket_closed);
  if (!reset || uv_tcp_close_reset (&pair->server, on_socket_closed) != 0)
    uv_close ((uv_handle_t *)&pair->server, on_socket_closed);
  uv_close ((uv_handle_t *)&pair->to_server.timer, on_timer_closed);
  uv_close ((uv_handle_t *)&pair->to_client.timer, on_timer_closed);
}

static bool
is_held (const direction_t *direction)
{
  proxy_mode_t mode = direction->pair->proxy->mode;

  return direction->pair->silent || mode == PROXY_HOLD_BOTH
         || mode
                == (direction->towards_client ? PROXY_HOLD_TO_CLIENT
                                              : PROXY_HOLD_TO_SERVER);
}

static void
on_written (uv_write_t *request, int status)
{
  (void)status;
  free (request->data);
}

static void on_due (uv_timer_t *timer);

/* Sends the queued pieces that are due.  */
static void
flush (direction_t *direction)
{
  uint64_t now_ms = uv_now (direction->timer.loop);

  if (direction->pair->closing || !direction->pair->connected
      || is_held (direction))
    return;
  while (direction->first != NULL && direction->first->due_ms <= now_ms)
    {
      piece_t *piece = direction->first;
      uv_buf_t buffer = uv_buf_init (piece->data, (unsigned)piece->size_bytes);

      direction->first = piece->next;
      if (direction->first == NULL)
        direction->last = &direction->first;
      piece->request.data = piece;
      if (uv_write (&piece->request, (uv_stream_t *)direction->to, &buffer, 1,
                    on_written)
          != 0)
        free (piece);
    }
  if (direction->first != NULL)
    uv_timer_start (&direction->timer, on_due,
                    direction->first->due_ms - now_ms, 0);
  else if (direction->ended)
    close_pair (direction->pair, false);
}

static void
on_due (uv_timer_t *timer)
{
  flush (timer->data);
}

static void
provide_buffer (uv_handle_t *handle, size_t wanted, uv_buf_t *buffer)
{
  (void)handle;
  (void)wanted;
  *buffer = uv_buf_init (read_buffer, sizeof read_buffer);
}

static void
queue_bytes (direction_t *direction, ssize_t size_bytes, const char *data)
{
  const proxy_t *proxy = direction->pair->proxy;
  piece_t *piece;

  if (direction->pair->closing || size_bytes == 0)
    return;
  if (size_bytes == UV_ECONNRESET)
    {
      close_pair (direction->pair, true);
      return;
    }
  if (size_bytes < 0)
    {
      uv_read_stop ((uv_stream_t *)direction->from);
      direction->ended = true;
      flush (direction);
      return;
    }
  piece = malloc (sizeof *piece + (size_t)size_bytes);
  if (piece == NULL)
    abort ();
  piece->next = NULL;
  piece->size_bytes = (size_t)size_bytes;
  piece->due_ms = uv_now (direction->timer.loop)
                  + (proxy->mode == PROXY_DELAY ? proxy->delay_ms : 0);
  if (proxy->pacer != NULL)
    piece->due_ms
        = proxy->pacer (proxy->pacer_context, &direction->pair->client_address,
                        direction->towards_client, (size_t)size_bytes);
  memcpy (piece->data, data, (size_t)size_bytes);
  *direction->last = piece;
  direction->last = &piece->next;
  flush (direction);
}

static void
on_client_read (uv_stream_t *stream, ssize_t size_bytes,
                const uv_buf_t *buffer)
{
  pair_t *pair = stream->data;
  proxy_t *proxy = pair->proxy;

  if (proxy->mode == PROXY_CLOSE && size_bytes > 0)
    {
      if (proxy->closed != NULL)
        proxy->closed (proxy->closed_context, buffer->base,
                       (size_t)size_bytes);
      close_pair (pair, false);
      return;
    }
  queue_bytes (&pair->to_server, size_bytes, buffer->base);
}

static void
on_server_read (uv_stream_t *stream, ssize_t size_bytes,
                const uv_buf_t *buffer)
{
  pair_t *pair = stream->data;

  queue_bytes (&pair->to_client, size_bytes, buffer->base);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  pair_t *pair = connect->data;

  if (pair->closing)
    return;
  if (status != 0)
    {
      close_pair (pair, true);
      return;
    }
  pair->connected = true;
  uv_read_start ((uv_stream_t *)&pair->server, provide_buffer, on_server_read);
  flush (&pair->to_server);
}

static void
init_direction (direction_t *direction, pair_t *pair, uv_tcp_t *from,
                uv_tcp_t *to, bool towards_client)
{
  direction->pair = pair;
  direction->from = from;
  direction->to = to;
  direction->towards_client = towards_client;
  direction->last = &direction->first;
  uv_timer_init (from->loop, &direction->timer);
  direction->timer.data = direction;
}

static bool
is_refused (const pair_t *pair)
{
  const proxy_t *proxy = pair->proxy;

  return proxy->refuses != NULL
         && proxy->refuses (proxy->filter_context, &pair->client_address);
}

/* Accepts the client's connection.  */
static bool
accept_client (uv_stream_t *listener, pair_t *pair)
{
  int size_bytes = sizeof pair->client_address;

  return uv_accept (listener, (uv_stream_t *)&pair->client) == 0
         && uv_tcp_getpeername (&pair->client,
                                (struct sockaddr *)&pair->client_address,
                                &size_bytes)
                == 0;
}

static void
on_connection (uv_stream_t *stream, int status)
{
  proxy_t *proxy = stream->data;
  pair_t *pair;

  if (status != 0)
    return;
  pair = calloc (1, sizeof *pair);
  if (pair == NULL)
    abort ();
  pair->proxy = proxy;
  pair->previous_next = &proxy->pairs;
  pair->next = proxy->pairs;
  if (pair->next != NULL)
    pair->next->previous_next = &pair->next;
  proxy->pairs = pair;
  uv_tcp_init (stream->loop, &pair->client);
  uv_tcp_init (stream->loop, &pair->server);
  pair->client.data = pair;
  pair->server.data = pair;
  init_direction (&pair->to_server, pair, &pair->client, &pair->server, false);
  init_direction (&pair->to_client, pair, &pair->server, &pair->client, true);
  pair->open_handles = 4;
  if (!accept_client (stream, pair) || proxy->mode == PROXY_REFUSE
      || is_refused (pair))
    {
      close_pair (pair, true);
      return;
    }
  uv_tcp_nodelay (&pair->client, 1);
  uv_tcp_nodelay (&pair->server, 1);
  uv_read_start ((uv_stream_t *)&pair->client, provide_buffer, on_client_read);
  pair->connect.data = pair;
  uv_tcp_connect (&pair->connect, &pair->server,
                  (const struct sockaddr *)&proxy->server, on_connected);
}

static void
free_proxy (uv_handle_t *handle)
{
  free (handle->data);
}

proxy_t *
proxy_open (uv_loop_t *loop, struct sockaddr_in *address,
            const struct sockaddr_in *server)
{
  proxy_t *proxy = calloc (1, sizeof *proxy);
  int size_bytes = sizeof *address;

  if (proxy == NULL)
    abort ();
  proxy->server = *server;
  uv_tcp_init (loop, &proxy->listener);
  proxy->listener.data = proxy;
  if (uv_tcp_bind (&proxy->listener, (struct sockaddr *)address, 0) == 0
      && uv_listen ((uv_stream_t *)&proxy->listener, BACKLOG, on_connection)
             == 0
      && uv_tcp_getsockname (&proxy->listener, (struct sockaddr *)address,
                             &size_bytes)
             == 0)
    return proxy;
  uv_close ((uv_handle_t *)&proxy->listener, free_proxy);
  return NULL;
}

bool
proxy_find_client (const proxy_t *proxy, uint16_t port,
                   struct sockaddr_in *client)
{
  const pair_t *pair;

  for (pair = proxy->pairs; pair != NULL; pair = pair->next)
    {
      struct sockaddr_in own;
      int size_bytes = sizeof own;

      if (uv_tcp_getsockname (&pair->server, (struct sockaddr *)&own,
                              &size_bytes)
              != 0
          || own.sin_port != htons (port))
        continue;
      *client = pair->client_address;
      return true;
    }
  return false;
}

void
proxy_reset_all (proxy_t *proxy)
{
  while (proxy->pairs != NULL)
    close_pair (proxy->pairs, true);
}

void
proxy_close (proxy_t *proxy)
{
  proxy_reset_all (proxy);
  uv_close ((uv_handle_t *)&proxy->listener, free_proxy);
}

void
proxy_set_mode (proxy_t *proxy, proxy_mode_t mode, uint32_t delay_ms)
{
  pair_t *pair;
  pair_t *next;

  proxy->mode = mode;
  proxy->delay_ms = delay_ms;
  for (pair = proxy->pairs; pair != NULL; pair = next)
    {
      next = pair->next;
      flush (&pair->to_server);
      if (!pair->closing)
        flush (&pair->to_client);
    }
}

void
proxy_watch_closed (proxy_t *proxy, proxy_closed_t closed, void *context)
{
  proxy->closed = closed;
  proxy->closed_context = context;
}

proxy_mode_t
proxy_mode (const proxy_t *proxy)
{
  return proxy->mode;
}

void
proxy_silence_all (proxy_t *proxy)
{
  pair_t *pair;

  for (pair = proxy->pairs; pair != NULL; pair = pair->next)
    pair->silent = true;
}

void
proxy_set_filter (proxy_t *proxy, proxy_filter_t refuses, void *context)
{
  proxy->refuses = refuses;
  proxy->filter_context = context;
}

void
proxy_set_pacer (proxy_t *proxy, proxy_pacer_t pacer, void *context)
{
  proxy->pacer = pacer;
  proxy->pacer_context = context;
}

void
proxy_reset_refused (proxy_t *proxy)
{
  pair_t *pair = proxy->pairs;

  while (pair != NULL)
    {
      pair_t *next = pair->next;

      if (is_refused (pair))
        close_pair (pair, true);
      pair = next;
    }
}
