#ifndef COWSLIPSPOKE_PEER_H
#define COWSLIPSPOKE_PEER_H

#include "cowslipspoke/handoff.h"
#include "cowslipspoke/membership.h"
#include "cowslipspoke/once.h"
#include "cowslipspoke/ownership.h"
#include "cowslipspoke/settings.h"
#include "cowslipspoke/spread.h"

/* What hosts say to each other: typed messages, their codec, and the links
   that carry them.  Every ask has one answer.  */

typedef enum
{
  CSP_PEER_NONE,
  CSP_PEER_HEARTBEAT, /* its answer is a heartbeat too */
  CSP_PEER_CARRY_ASK,
  CSP_PEER_CARRY_ANSWER,
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
  CSP_PEER_OUTCOME_TELL,
  CSP_PEER_HOSTS_ASK,
  CSP_PEER_HOSTS_ANSWER,
  CSP_PEER_ACKNOWLEDGE
} csp_peer_kind_t;

enum
{
  CSP_PEER_TRIED_MAX = 4
};

/* What a reservation needs besides csp_reserve_ask_t: the owner judges the
   stream by its own forecast, and does not give a target that has failed the
   request already.  */
typedef struct
{
  csp_reserve_ask_t ask;
  char tried[CSP_PEER_TRIED_MAX][CSP_TARGET_NAME_BYTES];
  uint32_t tried_count;
  char class_name[CSP_NAME_BYTES];
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  uint32_t lend_below_millis; /* of the pool's load; 0 where it is not lent */
} csp_peer_reserve_t;

/* An answer with where the target listens, for a sender of another data
   centre, whose own list may lag.  */
typedef struct
{
  csp_reserve_answer_t answer;
  char address[CSP_ADDRESS_BYTES];
  uint16_t port;
} csp_peer_reserved_t;

/* failed: the link to the named target failed, so that the owner avoids it for
   a while.  */
typedef struct
{
  csp_release_t release;
  uint64_t tokens;
  bool failed;
  char target[CSP_TARGET_NAME_BYTES];
} csp_peer_release_t;

/* One message.  Texts and arrays that it points to belong to whoever made it;
   those of a decoded message to the message, until csp_clear_peer_message. */
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
    } carry_ask;
    struct
    {
      size_t count;
      csp_carry_t *carries;
    } carry_answer;
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
    csp_peer_reserve_t reserve_ask;
    csp_peer_reserved_t reserve_answer;
    csp_commit_ask_t commit_ask;
    csp_commit_answer_t commit_answer;
    csp_peer_release_t release;
    csp_holdings_t holdings;
    csp_claim_ask_t claim_ask;
    csp_claim_answer_t claim_answer;
    csp_outcome_tell_t outcome_tell;
    struct
    {
      int64_t after;
    } hosts_ask;
    struct
    {
      const char *list;
    } hosts_answer;
  } u;
  void *unpacked; /* of a decoded message */
  void *array;    /* of a decoded message */
} csp_peer_message_t;

enum
{
  CSP_PEER_MESSAGE_LIMIT_BYTES = 64 << 20
};

/* Encode for peers of a deployment (csp_hash_pair ("deployment", NAME)).
   NULL when memory fails; to be freed.  */
uint8_t *csp_encode_peer_message (const csp_peer_message_t *message,
                                  uint64_t deployment, size_t *size_bytes);

/* Decode.  False for what is malformed, of another deployment, or of a
   protocol that this version does not understand.  */
bool csp_decode_peer_message (const uint8_t *data, size_t size_bytes,
                              uint64_t deployment,
                              csp_peer_message_t *message);

/* Free what a decoded message owns.  */
void csp_clear_peer_message (csp_peer_message_t *message);

/* Links to peers over nng: one listener, and a socket for each peer asked.  */
typedef struct csp_peers csp_peers_t;

/* Names an ask that waits for its answer.  */
typedef struct csp_peer_call csp_peer_call_t;

/* An ask came.  It is answered once, on any thread, by csp_answer_peer.  The
   data is freed behind the call.  */
typedef void (*csp_take_peer_ask_t) (void *state, csp_peer_call_t *call,
                                     const uint8_t *data, size_t size_bytes);

/* An answer came; data is NULL when none did in time.  */
typedef void (*csp_take_peer_answer_t) (void *state, const uint8_t *data,
                                        size_t size_bytes);

/* With tls files set, both sides have to show a certificate for the
   deployment's name, signed by the authority in ca_file.  */
typedef struct
{
  const char *address;
  uint16_t port; /* 0: the kernel picks */
  const char *deployment;
  const csp_tls_settings_t *tls;
  csp_take_peer_ask_t take;
  void *state;
} csp_peers_settings_t;

/* Listen.  NULL with a message when that fails.  */
csp_peers_t *csp_create_peers (const csp_peers_settings_t *settings,
                               char *message, size_t message_bytes);

/* Close all links; every open ask gets its answer or NULL first.  */
void csp_destroy_peers (csp_peers_t *peers);

uint16_t csp_peers_port (const csp_peers_t *peers);

/* Ask a peer.  done is called once, perhaps on another thread.  */
void csp_ask_peer (csp_peers_t *peers, const char *address, uint16_t port,
                   const uint8_t *data, size_t size_bytes, uint32_t timeout_ms,
                   csp_take_peer_answer_t done, void *state);

/* Answer an ask; size 0 drops it.  */
void csp_answer_peer (csp_peer_call_t *call, const uint8_t *data,
                      size_t size_bytes);

/* Bytes sent and received so far, for the budget of control traffic.  */
uint64_t csp_peers_bytes (const csp_peers_t *peers);

#endif
