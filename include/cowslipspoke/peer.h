#ifndef COWSLIPSPOKE_PEER_H
#define COWSLIPSPOKE_PEER_H

#include "cowslipspoke/handoff.h"
#include "cowslipspoke/membership.h"
#include "cowslipspoke/once.h"
#include "cowslipspoke/ownership.h"
#include "cowslipspoke/settings.h"
#include "cowslipspoke/spread.h"

/* Control traffic between hosts: typed messages, their codec, and the links
   that carry them.  Every request has one reply.  */

typedef enum
{
  CSP_PEER_NONE,
  CSP_PEER_HEARTBEAT, /* request and reply */
  CSP_PEER_LOAD_QUERY,
  CSP_PEER_LOAD_QUERY_ANSWER,
  CSP_PEER_PULL_ASK,
  CSP_PEER_PULL_ANSWER,
  CSP_PEER_RESERVE_ASK,
  CSP_PEER_RESERVE_ANSWER,
  CSP_PEER_COMMIT_ASK,
  CSP_PEER_COMMIT_ANSWER,
  CSP_PEER_RELEASE,
  CSP_PEER_HOLDINGS,
  CSP_PEER_CLAIM_ASK,
  CSP_PEER_CLAIM_ANSWER,
  CSP_PEER_OUTCOME_REPORT,
  CSP_PEER_HOSTS_ASK,
  CSP_PEER_HOSTS_ANSWER,
  CSP_PEER_ACKNOWLEDGE
} csp_peer_kind_t;

enum
{
  CSP_PEER_TRIED_MAX = 4
};

/* A request to reserve a slot.  The fields besides csp_reserve_ask_t let the
   owner forecast the stream's load itself and leave out targets that have
   already failed the request.  */
typedef struct
{
  csp_reserve_ask_t ask;
  char tried[CSP_PEER_TRIED_MAX][CSP_TARGET_NAME_BYTES];
  uint32_t tried_count;
  char class_name[CSP_NAME_BYTES];
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  /* Grant only while the pool's load is below this, in thousandths; 0: the
     slot isn't lent, so there is no such condition.  */
  uint32_t lend_below_millis;
} csp_peer_reserve_ask_t;

/* The reply to a reservation, with the address of the granted target: a sender
   in another data centre may not have it in its own target list yet.  */
typedef struct
{
  csp_reserve_answer_t answer;
  char address[CSP_ADDRESS_BYTES];
  uint16_t port;
} csp_peer_reserve_answer_t;

/* Releases a slot, and reports whether the link to the named target failed, so
   that the owner avoids the target for a while.  */
typedef struct
{
  csp_release_t release;
  uint64_t tokens;
  bool link_failed;
  char target[CSP_TARGET_NAME_BYTES];
} csp_peer_release_t;

/* One message.  A message to be encoded borrows the strings and arrays that it
   points to.  A decoded message owns them; csp_clear_peer_message frees
   them.  */
typedef struct
{
  csp_peer_kind_t kind;
  union
  {
    csp_heartbeat_t heartbeat;
    struct
    {
      size_t count;
      char **targets;
    } load_query;
    struct
    {
      size_t count;
      csp_carried_load_t *loads;
    } load_query_answer;
    struct
    {
      int64_t after;
    } pull_ask;
    struct
    {
      csp_config_delta_t delta;
      int64_t refused_revision;
      const char *fault;
    } pull_answer;
    csp_peer_reserve_ask_t reserve_ask;
    csp_peer_reserve_answer_t reserve_answer;
    csp_commit_ask_t commit_ask;
    csp_commit_answer_t commit_answer;
    csp_peer_release_t release;
    csp_holdings_t holdings;
    csp_claim_ask_t claim_ask;
    csp_claim_answer_t claim_answer;
    csp_outcome_report_t outcome_report;
    struct
    {
      int64_t after;
    } hosts_ask;
    struct
    {
      const char *list;
    } hosts_answer;
  } u;
  void *unpacked; /* the protobuf frame of a decoded message */
  void *array;    /* the list that was converted from that frame, if any */
} csp_peer_message_t;

enum
{
  CSP_PEER_MESSAGE_LIMIT_BYTES = 64 << 20
};

/* Encode a message for peers of a deployment, which is
   csp_hash_pair ("deployment", NAME).  The caller frees the result; NULL when
   out of memory.  */
uint8_t *csp_encode_peer_message (const csp_peer_message_t *message,
                                  uint64_t deployment, size_t *size_bytes);

/* Decode a message.  False if it is malformed, comes from another deployment,
   or has a protocol version that this one does not support.  */
bool csp_decode_peer_message (const uint8_t *data, size_t size_bytes,
                              uint64_t deployment,
                              csp_peer_message_t *message);

/* Free the memory that a decoded message owns.  */
void csp_clear_peer_message (csp_peer_message_t *message);

/* Links to peers over nng: one listener, and one client socket for each peer
   that requests are sent to.  */
typedef struct csp_peers csp_peers_t;

/* A received request that has not been answered yet.  */
typedef struct csp_peer_call csp_peer_call_t;

/* Called for each request received.  The callee answers it exactly once, on
   any thread, by csp_reply_to_peer.  The data is valid only during the
   callback.  */
typedef void (*csp_handle_peer_request_t) (void *state, csp_peer_call_t *call,
                                           const uint8_t *data,
                                           size_t size_bytes);

/* Called with the reply to a request that was sent.  data is NULL if the
   request failed or timed out.  */
typedef void (*csp_handle_peer_reply_t) (void *state, const uint8_t *data,
                                         size_t size_bytes);

/* With TLS files set, both sides must present a certificate signed by the
   authority in ca_file; that of the listener must carry the deployment's
   name.  */
typedef struct
{
  const char *address;
  uint16_t port; /* 0: any free port */
  const char *deployment;
  const csp_tls_settings_t *tls;
  csp_handle_peer_request_t on_request;
  void *state;
} csp_peers_settings_t;

/* Start to listen.  On failure NULL, and message holds the reason.  */
csp_peers_t *csp_create_peers (const csp_peers_settings_t *settings,
                               char *message, size_t message_bytes);

/* End all use of the links: waits until the callback of every open request has
   been called, with the reply or with NULL.  The sockets themselves are closed
   when the process ends.  */
void csp_destroy_peers (csp_peers_t *peers);

/* The port that the listener is bound to.  */
uint16_t csp_peers_port (const csp_peers_t *peers);

/* Send a request to a peer.  on_reply is called once, possibly on another
   thread.  */
void csp_send_peer_request (csp_peers_t *peers, const char *address,
                            uint16_t port, const uint8_t *data,
                            size_t size_bytes, uint32_t timeout_ms,
                            csp_handle_peer_reply_t on_reply, void *state);

/* Send the reply to a request.  With size_bytes 0 no reply is sent, and the
   sender times out.  */
void csp_reply_to_peer (csp_peer_call_t *call, const uint8_t *data,
                        size_t size_bytes);

/* Payload bytes sent and received so far, to check control traffic against
   its budget.  */
uint64_t csp_peers_traffic_bytes (const csp_peers_t *peers);

#endif
