#include "peer/peers-imp.h"

#include <arpa/inet.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/supplemental/tls/tls.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
receive_next (csp_peer_call_t *call)
{
  call->state = CSP_CALL_RECEIVING;
  nng_ctx_recv (call->context, call->aio);
}

static void
deliver_request (csp_peer_call_t *call)
{
  nng_msg *message = nng_aio_get_msg (call->aio);

  call->state = CSP_CALL_HANDLING;
  atomic_fetch_add (&call->peers->bytes, nng_msg_len (message));
  call->peers->take (call->peers->state, call, nng_msg_body (message),
                     nng_msg_len (message));
  nng_msg_free (message);
}

static void
on_call_aio (void *state)
{
  csp_peer_call_t *call = state;
  int error = nng_aio_result (call->aio);

  switch (call->state)
    {
    case CSP_CALL_RECEIVING:
      if (error == NNG_ECLOSED || error == NNG_ECANCELED)
        return;
      if (error == 0)
        deliver_request (call);
      else
        receive_next (call);
      break;
    case CSP_CALL_REPLYING:
      if (error == NNG_ECLOSED || error == NNG_ECANCELED)
        return;
      if (error != 0)
        nng_msg_free (nng_aio_get_msg (call->aio));
      receive_next (call);
      break;
    case CSP_CALL_HANDLING:
      break;
    }
}

void
csp_reply_to_peer (csp_peer_call_t *call, const uint8_t *data,
                   size_t size_bytes)
{
  nng_msg *message = NULL;

  if (size_bytes == 0 || nng_msg_alloc (&message, 0) != 0)
    {
      receive_next (call);
      return;
    }
  if (nng_msg_append (message, data, size_bytes) != 0)
    {
      nng_msg_free (message);
      receive_next (call);
      return;
    }
  atomic_fetch_add (&call->peers->bytes, size_bytes);
  call->state = CSP_CALL_REPLYING;
  nng_aio_set_msg (call->aio, message);
  nng_ctx_send (call->context, call->aio);
}

static int
start_listener (csp_peers_t *peers, const csp_peers_settings_t *settings)
{
  char url[CSP_PEER_URL_BYTES];
  struct nng_tls_config *tls = NULL;
  nng_listener listener;
  nng_sockaddr address;
  int error;

  snprintf (url, sizeof url, "%s://%s:%u",
            csp_peers_use_tls (peers) ? "tls+tcp" : "tcp", settings->address,
            settings->port);
  error = nng_listener_create (&listener, peers->listener, url);
  if (error == 0 && csp_peers_use_tls (peers))
    {
      tls = csp_create_peer_tls (peers->tls, settings->deployment, true);
      error = tls == NULL
                  ? NNG_ECRYPTO
                  : nng_listener_set_ptr (listener, NNG_OPT_TLS_CONFIG, tls);
    }
  if (error == 0)
    error = nng_listener_start (listener, 0);
  if (tls != NULL)
    nng_tls_config_free (tls);
  if (error == 0)
    error = nng_listener_get_addr (listener, NNG_OPT_LOCADDR, &address);
  if (error == 0)
    peers->port = ntohs (address.s_in.sa_port);
  return error;
}

static int
start_calls (csp_peers_t *peers)
{
  csp_peer_call_t *call;
  int error;

  while (peers->call_count < CSP_PEER_MAX_CALLS)
    {
      call = &peers->calls[peers->call_count];
      call->peers = peers;
      error = nng_aio_alloc (&call->aio, on_call_aio, call);
      if (error != 0)
        return error;
      error = nng_ctx_open (&call->context, peers->listener);
      if (error != 0)
        {
          nng_aio_free (call->aio);
          return error;
        }
      peers->call_count++;
      receive_next (call);
    }
  return 0;
}

csp_peers_t *
csp_create_peers (const csp_peers_settings_t *settings, char *message,
                  size_t message_bytes)
{
  csp_peers_t *peers = calloc (1, sizeof *peers);
  int error = NNG_ENOMEM;

  if (peers == NULL)
    goto fail;
  peers->take = settings->on_request;
  peers->state = settings->state;
  peers->tls = settings->tls;
  pthread_mutex_init (&peers->lock, NULL);
  pthread_cond_init (&peers->no_open_requests, NULL);
  if (csp_peers_use_tls (peers))
    peers->client_tls
        = csp_create_peer_tls (peers->tls, settings->deployment, false);
  error = nng_rep0_open (&peers->listener);
  if (error != 0)
    goto fail;
  nng_socket_set_size (peers->listener, NNG_OPT_RECVMAXSZ,
                       CSP_PEER_MESSAGE_LIMIT_BYTES);
  error = start_listener (peers, settings);
  if (error == 0)
    error = start_calls (peers);
  if (error == 0)
    return peers;

fail:
  snprintf (message, message_bytes, "can't listen for peers on %s:%u: %s",
            settings->address, settings->port, nng_strerror (error));
  csp_destroy_peers (peers);
  return NULL;
}

static void
wait_for_open_requests (csp_peers_t *peers)
{
  pthread_mutex_lock (&peers->lock);
  while (peers->open_requests > 0)
    pthread_cond_wait (&peers->no_open_requests, &peers->lock);
  pthread_mutex_unlock (&peers->lock);
}

/* Closing a socket of nng 1.5 while the other end closes its own, or while a
   request on it times out, may never return or abort the process.  So requests
   run to their ends, and the sockets stay open.  */
void
csp_destroy_peers (csp_peers_t *peers)
{
  uint32_t i;

  if (peers == NULL)
    return;
  wait_for_open_requests (peers);
  for (i = 0; i < peers->call_count; i++)
    {
      nng_aio_stop (peers->calls[i].aio);
      nng_aio_free (peers->calls[i].aio);
    }
  if (peers->client_tls != NULL)
    nng_tls_config_free (peers->client_tls);
  pthread_cond_destroy (&peers->no_open_requests);
  pthread_mutex_destroy (&peers->lock);
  free (peers);
}

uint16_t
csp_peers_port (const csp_peers_t *peers)
{
  return peers->port;
}

uint64_t
csp_peers_traffic_bytes (const csp_peers_t *peers)
{
  return atomic_load (&((csp_peers_t *)peers)->bytes);
}
