#ifndef COWSLIPSPOKE_ROSTER_H
#define COWSLIPSPOKE_ROSTER_H

#include "cowslipspoke/buffer.h"
#include "cowslipspoke/random.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The other hosts of a deployment that nobody lists: found from a few seeds,
   which may be stale or down, and from what hosts say of each other; and what
   each has under way at the targets.  Each host tells the others in single
   datagrams.  A lost one is made good by the next whole one a second later,
   and in a cut each side simply stops counting the other's load.

   Load pattern: callers of one burst reach all hosts at once.  Hosts that
   know only their own requests pick the same idle target, whose streams then
   pause together while its neighbours stand empty.  One notices first tokens
   that take seconds at a third of the fleet's capacity.  */

enum
{
  CSP_ROSTER_MAX = 1024,
  /* Below what Ethernet carries in one frame, so that a lost fragment loses
     no more than itself.  */
  CSP_HELLO_MAX_BYTES = 1400,
  CSP_HELLO_LOADS_MAX = 36,
  CSP_HELLO_KNOWN_MAX = 12,
  CSP_HELLO_ASKS_MAX = 4,
  CSP_HELLO_LEFT_MAX = 8
};

typedef struct
{
  uint32_t ip; /* in the host's byte order */
  uint16_t port;
} csp_peer_address_t;

bool csp_is_same_peer (csp_peer_address_t a, csp_peer_address_t b);
csp_peer_address_t csp_peer_of_socket (const struct sockaddr_in *address);
struct sockaddr_in csp_socket_of_peer (csp_peer_address_t peer);

/* A place in an order of hosts that all work out alike; another salt gives
   another order.  */
uint64_t csp_order_peer (csp_peer_address_t peer, uint64_t salt);

/* What one host has under way at one target.  */
typedef struct
{
  uint64_t target; /* hash of the target's id */
  uint32_t requests;
  uint32_t tokens;
  uint32_t backup_tokens;
  uint32_t reading_tokens; /* of prompts that no token has answered yet */
  uint32_t movable_tokens; /* of streams that would have to be moved */
} csp_peer_load_t;

/* A request that asks the host that decides for a place.  */
typedef struct
{
  uint64_t id;
  uint32_t service;      /* hash of its name */
  uint32_t organisation; /* hash of its name */
  uint32_t prompt_tokens;
  uint32_t tokens;
  uint32_t start_within_ms;
  uint8_t urgency;
  uint64_t moves_from; /* hash of the target that a stream leaves; 0: none */
  uint64_t refused_at; /* hash of one that had no room for it; 0: none */
  uint32_t left_ms;    /* how much longer it will probably write */
} csp_hello_ask_t;

/* What an ask for a place comes to.  */
typedef enum
{
  CSP_ASK_WAITS,
  CSP_ASK_PLACED,
  CSP_ASK_REFUSED,
  CSP_ASK_OUTCOME_COUNT
} csp_ask_outcome_t;

typedef struct
{
  csp_peer_address_t host; /* whom it is for; not in the datagram */
  uint64_t id;
  csp_ask_outcome_t outcome;
  uint64_t target;         /* hash of its id, where placed */
  uint32_t retry_after_ms; /* where refused */
} csp_ask_answer_t;

/* One datagram.  */
typedef struct
{
  uint64_t boot;     /* of one start of the sender */
  uint64_t sequence; /* rises with each datagram of a boot */
  bool whole;        /* loads that aren't named are none */
  bool leaving;
  bool blind;           /* the platform can't be reached from there */
  uint32_t data_centre; /* hash of its name */
  size_t load_count;
  csp_peer_load_t loads[CSP_HELLO_LOADS_MAX];
  size_t known_count;
  csp_peer_address_t known[CSP_HELLO_KNOWN_MAX];
  size_t ask_count;
  csp_hello_ask_t asks[CSP_HELLO_ASKS_MAX];
  size_t answer_count;
  csp_ask_answer_t answers[CSP_HELLO_ASKS_MAX];
  size_t cancel_count;
  uint64_t cancels[CSP_HELLO_ASKS_MAX];
  size_t left_count;
  uint64_t
      left[CSP_HELLO_LEFT_MAX]; /* hashes of targets that say they leave */
} csp_hello_t;

/* Encode; false when memory fails.  */
bool csp_encode_hello (const csp_hello_t *hello, csp_buffer_t *bytes);

/* Decode; false where the bytes are none or exceed the bounds.  */
bool csp_decode_hello (const void *bytes, size_t size_bytes,
                       csp_hello_t *hello);

typedef struct csp_roster csp_roster_t;

/* self is never taken for a peer.  */
csp_roster_t *csp_create_roster (csp_peer_address_t self, uint64_t boot,
                                 uint32_t data_centre, uint64_t seed);
void csp_destroy_roster (csp_roster_t *roster);

/* Somebody named a host; it becomes live when it is heard.  */
void csp_learn_peer (csp_roster_t *roster, csp_peer_address_t address);

/* A datagram came.  False where it is from this host itself, late, or of a
   boot that has been replaced.  */
bool csp_hear_peer (csp_roster_t *roster, csp_peer_address_t from,
                    const csp_hello_t *hello, int64_t now_ms);

/* Let go what fell silent.  True where the loads changed.  */
bool csp_expire_peers (csp_roster_t *roster, int64_t now_ms);

/* Whom to greet now: live hosts each second, others that are known more
   rarely.  Returns how many were written.  */
size_t csp_list_due_peers (csp_roster_t *roster, int64_t now_ms,
                           csp_peer_address_t *addresses, size_t room);

/* All live hosts.  */
size_t csp_list_live_peers (const csp_roster_t *roster,
                            csp_peer_address_t *addresses, size_t room);
size_t csp_count_live_peers (const csp_roster_t *roster);

/* The host of the own data centre that reads the platform for all of it: the
   first in an order by hash among the live ones that reach the platform and
   don't leave, this host counted in.  Hosts that see others alive may choose
   differently for some seconds, which costs a few calls more.  */
csp_peer_address_t csp_pick_reader (const csp_roster_t *roster);

/* Whether this host itself reaches the platform.  */
void csp_set_roster_blind (csp_roster_t *roster, bool blind);

/* The host that gives places at engines for all hosts: the first in that order
   among all live ones.  */
csp_peer_address_t csp_pick_decider (const csp_roster_t *roster);

/* Some live hosts drawn by lot, to name to others.  */
size_t csp_draw_known_peers (csp_roster_t *roster,
                             csp_peer_address_t *addresses, size_t room);

/* Each load of each live host.  */
typedef void (*csp_take_load_t) (void *state, csp_peer_address_t peer,
                                 const csp_peer_load_t *load);
void csp_each_peer_load (const csp_roster_t *roster, csp_take_load_t take,
                         void *state);

/* Each load of one host; none where it isn't known.  */
void csp_each_load_of_peer (csp_roster_t *roster, csp_peer_address_t address,
                            csp_take_load_t take, void *state);

#endif
