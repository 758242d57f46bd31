#include "peer/peers-imp.h"

#include <nng/protocol/reqrep0/req.h>
#include <nng/supplemental/tls/tls.h>
#include <nng/supplemental/util/platform.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* One ask on its way: sent, then its answer received, both before until.  */
typedef struct
{
  csp_peers_t *peers;
  nng_ctx context;
  nng_aio *aio;
  bool sent;
  nng_time until;
  csp_take_peer_answer_t done;
  void *state;
} peer_ask_t;

static int
open_socket (csp_peers_t *peers, const char *url, nng_socket *socket)
{
  nng_dialer dialer;
  int error = nng_req0_open (socket);

  if (error != 0)
    return error;
  /* The library would repeat an ask by itself; whether it is repeated is for
     the slices to decide.  */
  nng_socket_set_ms (*socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
  nng_socket_set_size (*socket, NNG_OPT_RECVMAXSZ,
                       CSP_PEER_MESSAGE_LIMIT_BYTES);
  error = nng_dialer_create (&dialer, *socket, url);
  if (error == 0 && peers->client_tls != NULL)
    error = nng_dialer_set_ptr (dialer, NNG_OPT_TLS_CONFIG, peers->client_tls);
  if (error == 0)
    error = nng_dialer_start (dialer, NNG_FLAG_NONBLOCK);
  if (error != 0)
    nng_close (*socket);
  return error;
}

/* The socket of a peer; called with the lock held.  */
static int
find_socket (csp_peers_t *peers, const char *url, nng_socket *socket)
{
  csp_peer_socket_t *row;
  uint32_t i;
  int error;

  for (i = 0; i < peers->socket_count; i++)
    if (strcmp (peers->sockets[i].url, url) == 0)
      {
        *socket = peers->sockets[i].socket;
        return 0;
      }
  error = open_socket (peers, url, socket);
  if (error != 0)
    return error;
  /* When the table is full the oldest goes; its open asks end as lost, and
     peers that are still there are dialled again.  */
  if (peers->socket_count == CSP_PEER_SOCKETS)
    {
      nng_close (peers->sockets[0].socket);
      memmove (&peers->sockets[0], &peers->sockets[1],
               (CSP_PEER_SOCKETS - 1) * sizeof peers->sockets[0]);
      peers->socket_count--;
    }
  row = &peers->sockets[peers->socket_count++];
  snprintf (row->url, sizeof row->url, "%s", url);
  row->socket = *socket;
  return 0;
}

static void
count_ask_out (csp_peers_t *peers)
{
  pthread_mutex_lock (&peers->lock);
  peers->open_asks--;
  if (peers->open_asks == 0)
    pthread_cond_broadcast (&peers->idle);
  pthread_mutex_unlock (&peers->lock);
}

/* Called from the handle's own callback, which may not free it; the library
   reaps it on a thread of its own.  */
static void
finish_ask (peer_ask_t *ask, const uint8_t *data, size_t size_bytes)
{
  ask->done (ask->state, data, size_bytes);
  nng_ctx_close (ask->context);
  nng_aio_reap (ask->aio);
  count_ask_out (ask->peers);
  free (ask);
}

static void
set_time_left (peer_ask_t *ask)
{
  nng_time now = nng_clock ();

  nng_aio_set_timeout (ask->aio, now < ask->until
                                     ? (nng_duration)(ask->until - now)
                                     : NNG_DURATION_ZERO);
}

static void
step_ask (void *state)
{
  peer_ask_t *ask = state;
  int error = nng_aio_result (ask->aio);
  nng_msg *message;

  if (error != 0)
    {
      if (!ask->sent)
        nng_msg_free (nng_aio_get_msg (ask->aio));
      finish_ask (ask, NULL, 0);
      return;
    }
  if (!ask->sent)
    {
      ask->sent = true;
      set_time_left (ask);
      nng_ctx_recv (ask->context, ask->aio);
      return;
    }
  message = nng_aio_get_msg (ask->aio);
  atomic_fetch_add (&ask->peers->bytes, nng_msg_len (message));
  finish_ask (ask, nng_msg_body (message), nng_msg_len (message));
  nng_msg_free (message);
}

static peer_ask_t *
create_ask (csp_peers_t *peers, const char *url)
{
  peer_ask_t *ask = calloc (1, sizeof *ask);
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  int error = NNG_ENOMEM;

  if (ask == NULL)
    return NULL;
  ask->peers = peers;
  pthread_mutex_lock (&peers->lock);
  error = find_socket (peers, url, &socket);
  if (error == 0)
    error = nng_ctx_open (&ask->context, socket);
  if (error == 0)
    peers->open_asks++;
  pthread_mutex_unlock (&peers->lock);
  if (error != 0)
    {
      free (ask);
      return NULL;
    }
  if (nng_aio_alloc (&ask->aio, step_ask, ask) == 0)
    return ask;
  nng_ctx_close (ask->context);
  free (ask);
  count_ask_out (peers);
  return NULL;
}

void
csp_ask_peer (csp_peers_t *peers, const char *address, uint16_t port,
              const uint8_t *data, size_t size_bytes, uint32_t timeout_ms,
              csp_take_peer_answer_t done, void *state)
{
  char url[CSP_PEER_URL_BYTES];
  nng_msg *message = NULL;
  peer_ask_t *ask = NULL;

  snprintf (url, sizeof url, "%s://%s:%u",
            csp_peers_use_tls (peers) ? "tls+tcp" : "tcp", address, port);
  if (nng_msg_alloc (&message, 0) == 0
      && nng_msg_append (message, data, size_bytes) == 0)
    ask = create_ask (peers, url);
  if (ask == NULL)
    {
      nng_msg_free (message);
      done (state, NULL, 0);
      return;
    }
  ask->done = done;
  ask->state = state;
  ask->until = nng_clock () + timeout_ms;
  atomic_fetch_add (&peers->bytes, size_bytes);
  nng_aio_set_msg (ask->aio, message);
  set_time_left (ask);
  nng_ctx_send (ask->context, ask->aio);
}
