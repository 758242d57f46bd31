#ifndef COWSLIPSPOKE_ROSTER_H
#define COWSLIPSPOKE_ROSTER_H

#include "cowslipspoke/buffer.h"
#include "cowslipspoke/quarantine.h"
#include "cowslipspoke/random.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The other hosts of a deployment that nobody lists: found from a few seeds,
   which may be stale or down, and from what hosts say of each other; and what
   each has under way at the targets.  Hosts speak in single datagrams; a lost
   one is made good by the next whole one a second later, and in a cut each
   side simply stops counting the other's load.

   Load pattern: callers of one burst reach all hosts at once.  Hosts that
   know only their own requests pick the same idle target, whose streams then
   pause together while its neighbours stand empty.  One notices first tokens
   that take seconds at a third of the fleet's capacity.  So loads are told to
   the hosts that decide, each change within milliseconds.

   Load pattern: hundreds of hosts.  Where each greets and tells each other,
   what a host sends and hears grows with their number, and all together with
   its square: 78 kB a second for the busiest host at 30 hosts, 1,612 at 300,
   most of it between data centres.  So a host greets a few others a second,
   drawn by lot, some in each data centre, and names to them the hosts that
   rank first, each with the time since it was last heard by anybody.  A word
   reaches all hosts in a second or so, at a cost to each host that doesn't
   grow with the fleet.  */

enum
{
  CSP_ROSTER_MAX = 4096,
  /* Below what Ethernet carries in one frame, so that a lost fragment loses
     no more than itself.  */
  CSP_HELLO_MAX_BYTES = 1400,
  CSP_HELLO_LOADS_MAX = 20,
  CSP_HELLO_KNOWN_MAX = 18,
  CSP_HELLO_ASKS_MAX = 4,
  CSP_HELLO_LEFT_MAX = 8,
  CSP_HELLO_LEASES_MAX = 2,
  CSP_HELLO_SUSPECTS_MAX = 4,
  /* Targets that an ask leaves out.  */
  CSP_ASK_BACKOFFS_MAX = 8,
  /* Whom loads are told, see csp_list_deciders.  */
  CSP_DECIDERS_MAX = 3,
  /* Hosts of one data centre and of the fleet that may read the platform for
     others, best first.  */
  CSP_READERS_NEAR_MAX = 4,
  /* Hosts that the store turns away, from which on it counts as away for all
     while nobody is known whom it answers.  */
  CSP_OUTAGE_HOSTS = 6,
  CSP_READERS_FLEET_MAX = 3
};

enum
{
  CSP_PEER_TEXT_BYTES = 32
};

typedef struct
{
  uint32_t ip; /* in the host's byte order */
  uint16_t port;
} csp_peer_address_t;

bool csp_is_same_peer (csp_peer_address_t a, csp_peer_address_t b);
csp_peer_address_t csp_peer_of_socket (const struct sockaddr_in *address);
struct sockaddr_in csp_socket_of_peer (csp_peer_address_t peer);

/* Address and port as one number; 0 is none.  */
uint64_t csp_pack_peer (csp_peer_address_t peer);

/* Address and port as a text, for logs.  */
void csp_print_peer (csp_peer_address_t peer, char text[CSP_PEER_TEXT_BYTES]);

/* A place in an order of hosts that all work out alike; another salt gives
   another order.  */
uint64_t csp_order_peer (csp_peer_address_t peer, uint64_t salt);

/* A host as another one names it.  */
typedef struct
{
  csp_peer_address_t address;
  uint32_t data_centre; /* hash of its name */
  uint32_t capacity;    /* see csp_set_roster_self */
  uint32_t age_ms;      /* since its own last word, by whatever way it came */
  uint32_t up_ms;       /* since its start, as of that word; no more than
                           CSP_UP_TOLD_MAX_MS is told */
  bool leaving;
  bool blind;
  bool sighted;
} csp_known_host_t;

enum
{
  /* Beyond this all hosts count as equally old.  */
  CSP_UP_TOLD_MAX_MS = 10000
};

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
  size_t backoff_count;
  uint64_t backoffs[CSP_ASK_BACKOFFS_MAX]; /* hashes of targets that have asked
                                              its host for a wait */
} csp_hello_ask_t;

/* Retries beyond a host's own that it wants, or gets; see retry-lease.h.  */
typedef struct
{
  uint32_t service; /* hash of its name */
  uint64_t id;      /* of the asking host's choosing */
  uint32_t amount;
} csp_hello_lease_t;

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
  uint32_t pool_percent;   /* of the memory of all its engines that is given
                              away, where placed */
} csp_ask_answer_t;

/* One datagram.  */
typedef struct
{
  uint64_t boot;     /* of one start of the sender */
  uint64_t sequence; /* rises with each datagram of a boot */
  bool whole;        /* loads that aren't named are none */
  bool leaving;
  bool blind;           /* the platform can't be reached from there */
  bool sighted;         /* it reads the platform, and is answered */
  bool wants_answer;    /* a greeting, which is answered by one that doesn't */
  uint32_t data_centre; /* hash of its name */
  uint32_t capacity;
  uint32_t up_ms;
  size_t load_count;
  csp_peer_load_t loads[CSP_HELLO_LOADS_MAX];
  size_t known_count;
  csp_known_host_t known[CSP_HELLO_KNOWN_MAX];
  size_t ask_count;
  csp_hello_ask_t asks[CSP_HELLO_ASKS_MAX];
  size_t answer_count;
  csp_ask_answer_t answers[CSP_HELLO_ASKS_MAX];
  size_t cancel_count;
  uint64_t cancels[CSP_HELLO_ASKS_MAX];
  uint64_t decider; /* whom the sender asks, see csp_pack_peer; 0: not told */
  size_t want_count;
  csp_hello_lease_t wants[CSP_HELLO_LEASES_MAX];
  size_t lease_count;
  csp_hello_lease_t leases[CSP_HELLO_LEASES_MAX];
  size_t left_count;
  uint64_t
      left[CSP_HELLO_LEFT_MAX]; /* hashes of targets that say they leave */
  size_t suspect_count;
  csp_suspect_t suspects[CSP_HELLO_SUSPECTS_MAX];
  size_t cleared_count;
  uint64_t cleared[CSP_HELLO_SUSPECTS_MAX]; /* requests found sound */
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

/* What this host tells of itself.  capacity: what its processor and its link
   can carry, in thousandths of a core; 0: not known.  */
void csp_set_roster_self (csp_roster_t *roster, uint32_t capacity,
                          int64_t started_ms);

/* Whether this host stops, can't reach the platform, or reads it now and is
   answered.  */
void csp_set_roster_leaving (csp_roster_t *roster);
void csp_set_roster_blind (csp_roster_t *roster, bool blind);
void csp_set_roster_sighted (csp_roster_t *roster, bool sighted);

/* Fill in what a datagram tells of this host itself.  */
void csp_describe_self (const csp_roster_t *roster, csp_hello_t *hello,
                        int64_t now_ms);

/* Somebody named a host; it becomes live when it is heard.  */
void csp_learn_peer (csp_roster_t *roster, csp_peer_address_t address);

/* A datagram came.  False where it is from this host itself, late, or of a
   boot that has been replaced.  */
bool csp_hear_peer (csp_roster_t *roster, csp_peer_address_t from,
                    const csp_hello_t *hello, int64_t now_ms);

/* Let go what fell silent.  True where the loads changed.  Call it a few
   times a second: what is asked below is as of the last call.  */
bool csp_expire_peers (csp_roster_t *roster, int64_t now_ms);

/* Hosts that ask this one for places, and all that are remembered, dead or
   alive, this one counted in both; and data centres that are heard, the own
   one counted in.  */
size_t csp_count_askers (const csp_roster_t *roster);
size_t csp_count_known_hosts (const csp_roster_t *roster);
size_t csp_count_heard_data_centres (const csp_roster_t *roster);

/* Whom to greet now: one host of each other data centre and some of the own,
   drawn by lot, and addresses that were never heard.  Returns how many were
   written; each counts as greeted.  */
size_t csp_list_due_peers (csp_roster_t *roster, int64_t now_ms,
                           csp_peer_address_t *addresses, size_t room);

/* How often some host of another data centre is greeted, in ms.  */
uint32_t csp_greeting_period_ms (const csp_roster_t *roster);

/* All hosts that were heard lately, by themselves or through others.  */
size_t csp_list_live_peers (const csp_roster_t *roster,
                            csp_peer_address_t *addresses, size_t room);
size_t csp_count_live_peers (const csp_roster_t *roster);

/* Some live hosts drawn by lot.  */
size_t csp_draw_peers (csp_roster_t *roster, csp_peer_address_t *addresses,
                       size_t room);

/* What to name to a host: those that rank first, for each duty, and others
   drawn by lot.  Returns how many were written.  */
size_t csp_name_known_hosts (csp_roster_t *roster, csp_peer_address_t to,
                             csp_known_host_t *hosts, size_t room,
                             int64_t now_ms);

/* The host that gives places at engines for all hosts.  Hosts with more
   capacity come first, as each ask and each change of load comes to it; then
   an order by hash.  One that has just started waits until the others have
   told it their loads.  */
csp_peer_address_t csp_pick_decider (const csp_roster_t *roster);

/* Who is told all loads: the host that decides; the one that would decide
   next, so that it knows all when it has to; and the first of this data
   centre, so that one that is cut off is whole at once.  This host itself
   isn't listed.  Returns how many were written.  */
size_t csp_list_deciders (const csp_roster_t *roster,
                          csp_peer_address_t hosts[CSP_DECIDERS_MAX]);

/* A host that was asked for a place says nothing: another one is picked for a
   while.  */
void csp_avoid_decider (csp_roster_t *roster, csp_peer_address_t host,
                        int64_t now_ms);

/* Hosts that may read the platform for others, best first, this one counted
   in: of this data centre, and of all.  Hosts that see others alive may choose
   differently for a moment, which costs a few calls more.  */
typedef struct
{
  csp_peer_address_t self;
  size_t near_count;
  csp_peer_address_t near[CSP_READERS_NEAR_MAX];
  size_t fleet_count;
  csp_peer_address_t fleet[CSP_READERS_FLEET_MAX];
  size_t hosts;       /* live ones, this one counted in */
  size_t blind_hosts; /* that can't reach the platform, of those */
  bool outage;        /* many can't, and nobody is known who can */
} csp_reader_ranks_t;

void csp_rank_readers (const csp_roster_t *roster, csp_reader_ranks_t *ranks);

/* Each load of each live host.  */
typedef void (*csp_take_load_t) (void *state, csp_peer_address_t peer,
                                 const csp_peer_load_t *load);
void csp_each_peer_load (const csp_roster_t *roster, csp_take_load_t take,
                         void *state);

/* Each load of one host; none where it isn't known.  */
void csp_each_load_of_peer (csp_roster_t *roster, csp_peer_address_t address,
                            csp_take_load_t take, void *state);

#endif
