#include "soak/soak-proxy.h"

#include <stdlib.h>
#include <string.h>

enum
{
  BACKLOG = 256,
  READ_BYTES = 65536
};

/* A piece on its way.  */
typedef struct piece
{
  struct piece *next;
  uint64_t due_ms;
  size_t size_bytes;
  uv_write_t request;
  char data[];
} piece_t;

typedef struct pair pair_t;

/* One direction of a connection.  */
typedef struct
{
  pair_t *pair;
  uv_tcp_t *from;
  uv_tcp_t *to;
  bool back;
  bool ended; /* nothing more comes */
  piece_t *first;
  piece_t **last;
  uv_timer_t timer;
} way_t;

struct pair
{
  proxy_t *proxy;
  pair_t *next;
  pair_t **place;
  uv_tcp_t client;
  uv_tcp_t server;
  uv_connect_t connect;
  way_t there;
  way_t back;
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
};

static char read_room[READ_BYTES];

static void
free_pieces (way_t *way)
{
  while (way->first != NULL)
    {
      piece_t *piece = way->first;

      way->first = piece->next;
      free (piece);
    }
}

static void
let_go (pair_t *pair)
{
  if (--pair->open_handles > 0)
    return;
  free_pieces (&pair->there);
  free_pieces (&pair->back);
  free (pair);
}

static void
on_socket_closed (uv_handle_t *handle)
{
  let_go (handle->data);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  way_t *way = handle->data;

  let_go (way->pair);
}

static void
close_pair (pair_t *pair, bool reset)
{
  if (pair->closing)
    return;
  pair->closing = true;
  *pair->place = pair->next;
  if (pair->next != NULL)
    pair->next->place = pair->place;
  if (!reset || uv_tcp_close_reset (&pair->client, on_socket_closed) != 0)
    uv_close ((uv_handle_t *)&pair->client, on_socket_closed);
  if (!reset || uv_tcp_close_reset (&pair->server, on_socket_closed) != 0)
    uv_close ((uv_handle_t *)&pair->server, on_socket_closed);
  uv_close ((uv_handle_t *)&pair->there.timer, on_timer_closed);
  uv_close ((uv_handle_t *)&pair->back.timer, on_timer_closed);
}

static bool
is_held (const way_t *way)
{
  proxy_mode_t mode = way->pair->proxy->mode;

  return way->pair->silent || mode == PROXY_HOLD_BOTH
         || mode == (way->back ? PROXY_HOLD_BACK : PROXY_HOLD_TO);
}

static void
on_written (uv_write_t *request, int status)
{
  (void)status;
  free (request->data);
}

static void on_due (uv_timer_t *timer);

/* Pass on what is due.  */
static void
flush (way_t *way)
{
  uint64_t now_ms = uv_now (way->timer.loop);

  if (way->pair->closing || !way->pair->connected || is_held (way))
    return;
  while (way->first != NULL && way->first->due_ms <= now_ms)
    {
      piece_t *piece = way->first;
      uv_buf_t buffer = uv_buf_init (piece->data, (unsigned)piece->size_bytes);

      way->first = piece->next;
      if (way->first == NULL)
        way->last = &way->first;
      piece->request.data = piece;
      if (uv_write (&piece->request, (uv_stream_t *)way->to, &buffer, 1,
                    on_written)
          != 0)
        free (piece);
    }
  if (way->first != NULL)
    uv_timer_start (&way->timer, on_due, way->first->due_ms - now_ms, 0);
  else if (way->ended)
    close_pair (way->pair, false);
}

static void
on_due (uv_timer_t *timer)
{
  flush (timer->data);
}

static void
give_room (uv_handle_t *handle, size_t wanted, uv_buf_t *room)
{
  (void)handle;
  (void)wanted;
  *room = uv_buf_init (read_room, sizeof read_room);
}

static void
take_bytes (way_t *way, ssize_t size_bytes, const char *data)
{
  const proxy_t *proxy = way->pair->proxy;
  piece_t *piece;

  if (way->pair->closing || size_bytes == 0)
    return;
  if (size_bytes == UV_ECONNRESET)
    {
      close_pair (way->pair, true);
      return;
    }
  if (size_bytes < 0)
    {
      uv_read_stop ((uv_stream_t *)way->from);
      way->ended = true;
      flush (way);
      return;
    }
  piece = malloc (sizeof *piece + (size_t)size_bytes);
  if (piece == NULL)
    abort ();
  piece->next = NULL;
  piece->size_bytes = (size_t)size_bytes;
  piece->due_ms = uv_now (way->timer.loop)
                  + (proxy->mode == PROXY_SLOW ? proxy->delay_ms : 0);
  memcpy (piece->data, data, (size_t)size_bytes);
  *way->last = piece;
  way->last = &piece->next;
  flush (way);
}

static void
on_client_read (uv_stream_t *stream, ssize_t size_bytes, const uv_buf_t *room)
{
  pair_t *pair = stream->data;

  take_bytes (&pair->there, size_bytes, room->base);
}

static void
on_server_read (uv_stream_t *stream, ssize_t size_bytes, const uv_buf_t *room)
{
  pair_t *pair = stream->data;

  take_bytes (&pair->back, size_bytes, room->base);
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
  uv_read_start ((uv_stream_t *)&pair->server, give_room, on_server_read);
  flush (&pair->there);
}

static void
open_way (way_t *way, pair_t *pair, uv_tcp_t *from, uv_tcp_t *to, bool back)
{
  way->pair = pair;
  way->from = from;
  way->to = to;
  way->back = back;
  way->last = &way->first;
  uv_timer_init (from->loop, &way->timer);
  way->timer.data = way;
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
  pair->place = &proxy->pairs;
  pair->next = proxy->pairs;
  if (pair->next != NULL)
    pair->next->place = &pair->next;
  proxy->pairs = pair;
  uv_tcp_init (stream->loop, &pair->client);
  uv_tcp_init (stream->loop, &pair->server);
  pair->client.data = pair;
  pair->server.data = pair;
  open_way (&pair->there, pair, &pair->client, &pair->server, false);
  open_way (&pair->back, pair, &pair->server, &pair->client, true);
  pair->open_handles = 4;
  if (uv_accept (stream, (uv_stream_t *)&pair->client) != 0
      || proxy->mode == PROXY_REFUSE)
    {
      close_pair (pair, true);
      return;
    }
  uv_tcp_nodelay (&pair->client, 1);
  uv_tcp_nodelay (&pair->server, 1);
  uv_read_start ((uv_stream_t *)&pair->client, give_room, on_client_read);
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
      flush (&pair->there);
      if (!pair->closing)
        flush (&pair->back);
    }
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
