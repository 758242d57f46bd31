#include "peer/peers-imp.h"

#include <nng/protocol/reqrep0/req.h>
#include <nng/supplemental/tls/tls.h>
#include <nng/supplemental/util/platform.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A request in flight: it is sent, then its reply is received, both before
   the deadline.  */
typedef struct
{
  csp_peers_t *peers;
  nng_ctx context;
  nng_aio *aio;
  bool sent;
  nng_time deadline;
  csp_handle_peer_reply_t on_reply;
  void *state;
} peer_request_t;

static int
open_socket (csp_peers_t *peers, const char *url, nng_socket *socket)
{
  nng_dialer dialer;
  int error = nng_req0_open (socket);

  if (error != 0)
    return error;
  /* Turn off nng's own resending: whoever sends a request decides whether to
     retry it.  */
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

/* Find the socket to a peer, or open one.  Called with the lock held.  */
static int
find_socket (csp_peers_t *peers, const char *url, nng_socket *socket)
{
  csp_peer_socket_t *entry;
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
  /* When the table is full, the oldest socket is closed: its open requests
     fail, and the next request to that peer dials again.  */
  if (peers->socket_count == CSP_PEER_MAX_SOCKETS)
    {
      nng_close (peers->sockets[0].socket);
      memmove (&peers->sockets[0], &peers->sockets[1],
               (CSP_PEER_MAX_SOCKETS - 1) * sizeof peers->sockets[0]);
      peers->socket_count--;
    }
  entry = &peers->sockets[peers->socket_count++];
  snprintf (entry->url, sizeof entry->url, "%s", url);
  entry->socket = *socket;
  return 0;
}

static void
remove_open_request (csp_peers_t *peers)
{
  pthread_mutex_lock (&peers->lock);
  peers->open_requests--;
  if (peers->open_requests == 0)
    pthread_cond_broadcast (&peers->no_open_requests);
  pthread_mutex_unlock (&peers->lock);
}

/* This runs in the callback of the request's aio, where the aio must not be
   freed: nng_aio_reap frees it later on another thread.  */
static void
finish_request (peer_request_t *request, const uint8_t *data,
                size_t size_bytes)
{
  request->on_reply (request->state, data, size_bytes);
  nng_ctx_close (request->context);
  nng_aio_reap (request->aio);
  remove_open_request (request->peers);
  free (request);
}

static void
set_remaining_timeout (peer_request_t *request)
{
  nng_time now = nng_clock ();

  nng_aio_set_timeout (request->aio,
                       now < request->deadline
                           ? (nng_duration)(request->deadline - now)
                           : NNG_DURATION_ZERO);
}

static void
on_request_aio (void *state)
{
  peer_request_t *request = state;
  int error = nng_aio_result (request->aio);
  nng_msg *message;

  if (error != 0)
    {
      if (!request->sent)
        nng_msg_free (nng_aio_get_msg (request->aio));
      finish_request (request, NULL, 0);
      return;
    }
  if (!request->sent)
    {
      request->sent = true;
      set_remaining_timeout (request);
      nng_ctx_recv (request->context, request->aio);
      return;
    }
  message = nng_aio_get_msg (request->aio);
  atomic_fetch_add (&request->peers->bytes, nng_msg_len (message));
  finish_request (request, nng_msg_body (message), nng_msg_len (message));
  nng_msg_free (message);
}

static peer_request_t *
create_request (csp_peers_t *peers, const char *url)
{
  peer_request_t *request = calloc (1, sizeof *request);
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  int error = NNG_ENOMEM;

  if (request == NULL)
    return NULL;
  request->peers = peers;
  pthread_mutex_lock (&peers->lock);
  error = find_socket (peers, url, &socket);
  if (error == 0)
    error = nng_ctx_open (&request->context, socket);
  if (error == 0)
    peers->open_requests++;
  pthread_mutex_unlock (&peers->lock);
  if (error != 0)
    {
      free (request);
      return NULL;
    }
  if (nng_aio_alloc (&request->aio, on_request_aio, request) == 0)
    return request;
  nng_ctx_close (request->context);
  free (request);
  remove_open_request (peers);
  return NULL;
}

void
csp_send_peer_request (csp_peers_t *peers, const char *address, uint16_t port,
                       const uint8_t *data, size_t size_bytes,
                       uint32_t timeout_ms, csp_handle_peer_reply_t on_reply,
                       void *state)
{
  char url[CSP_PEER_URL_BYTES];
  nng_msg *message = NULL;
  peer_request_t *request = NULL;

  snprintf (url, sizeof url, "%s://%s:%u",
            csp_peers_use_tls (peers) ? "tls+tcp" : "tcp", address, port);
  if (nng_msg_alloc (&message, 0) == 0
      && nng_msg_append (message, data, size_bytes) == 0)
    request = create_request (peers, url);
  if (request == NULL)
    {
      nng_msg_free (message);
      on_reply (state, NULL, 0);
      return;
    }
  request->on_reply = on_reply;
  request->state = state;
  request->deadline = nng_clock () + timeout_ms;
  atomic_fetch_add (&peers->bytes, size_bytes);
  nng_aio_set_msg (request->aio, message);
  set_remaining_timeout (request);
  nng_ctx_send (request->context, request->aio);
}
