#ifndef COWSLIPSPOKE_PEERS_IMP_H
#define COWSLIPSPOKE_PEERS_IMP_H

#include <nng/nng.h>
#include <pthread.h>
#include <stdatomic.h>

#include "cowslipspoke/peer.h"

enum
{
  /* Requests that may wait for the control thread at once.  Each holds one
     message in memory; further requests queue at their senders.  */
  CSP_PEER_MAX_CALLS = 64,
  /* Client sockets to peers: enough for the planned 330 hosts and some
     growth.  */
  CSP_PEER_MAX_SOCKETS = 512,
  CSP_PEER_URL_BYTES = 96
};

typedef enum
{
  CSP_CALL_RECEIVING,
  CSP_CALL_HANDLING,
  CSP_CALL_REPLYING
} csp_call_state_t;

/* One context of the listener, which handles one request at a time.  */
struct csp_peer_call
{
  csp_peers_t *peers;
  nng_ctx context;
  nng_aio *aio;
  csp_call_state_t state;
};

/* A client socket to one peer.  */
typedef struct
{
  char url[CSP_PEER_URL_BYTES];
  nng_socket socket;
} csp_peer_socket_t;

struct csp_peers
{
  nng_socket listener;
  uint16_t port;
  csp_handle_peer_request_t take;
  void *state;
  const csp_tls_settings_t *tls;
  struct nng_tls_config *client_tls;
  pthread_mutex_t lock;
  pthread_cond_t no_open_requests;
  uint32_t open_requests;
  csp_peer_socket_t sockets[CSP_PEER_MAX_SOCKETS];
  uint32_t socket_count;
  csp_peer_call_t calls[CSP_PEER_MAX_CALLS];
  uint32_t call_count;
  atomic_uint_fast64_t bytes;
};

/* Load the TLS configuration of the client or server side from the files that
   the settings name.  NULL if one can't be read or is invalid.  */
struct nng_tls_config *csp_create_peer_tls (const csp_tls_settings_t *tls,
                                            const char *deployment,
                                            bool server);

/* Whether links to peers are encrypted.  */
bool csp_peers_use_tls (const csp_peers_t *peers);

#endif
