#ifndef COWSLIPSPOKE_ROSTER_H
#define COWSLIPSPOKE_ROSTER_H

#include "cowslipspoke/buffer.h"
#include "cowslipspoke/part-quarantine.h"
#include "cowslipspoke/quarantine.h"
#include "cowslipspoke/random.h"
#include "cowslipspoke/rate-limit.h"
#include "cowslipspoke/relay.h"
#include "cowslipspoke/traffic-class.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The other hosts of a deployment and the load that each has under way at the
   targets.  Hosts aren't configured: they are discovered from a few seeds,
   which may be stale or down, and by gossip.  Messages are single datagrams; a
   lost one is made up for by the next full report a second later, and in a
   network partition each side stops counting the other's load.

   Load pattern: callers of one burst reach all hosts at once.  Hosts that know
   only their own requests choose the same idle target, whose streams then
   pause together while other targets are idle; first tokens take seconds at a
   third of the fleet's capacity.  So each change of load is reported to the
   deciders within milliseconds.

   Load pattern: hundreds of hosts.  If each sent to each other, the traffic of
   a host would grow with their number, and the total with its square: 78 kB a
   second for the busiest host at 30 hosts, 1,612 at 300, most of it between
   data centres.  So a host sends hellos to a few random hosts a second, some
   in each data centre, and names in them the hosts that rank first, each with
   the age of the last report about it.  A change reaches all hosts in about a
   second, at a cost per host that doesn't grow with the fleet.  */

enum
{
  CSP_ROSTER_MAX = 4096,
  /* Below the payload of an Ethernet frame, so that datagrams aren't
     fragmented.  */
  CSP_HELLO_MAX_BYTES = 1400,
  CSP_HELLO_LOADS_MAX = 13,
  CSP_HELLO_KNOWN_MAX = 18,
  CSP_HELLO_ASKS_MAX = 4,
  CSP_HELLO_LEAVING_MAX = 8,
  CSP_HELLO_LEASES_MAX = 2,
  CSP_HELLO_SUSPECTS_MAX = 4,
  CSP_HELLO_PART_STRIKES_MAX = 16,
  CSP_HELLO_HELD_PARTS_MAX = 4,
  CSP_HELLO_SOUND_PARTS_MAX = 16,
  CSP_HELLO_RATES_MAX = 8,
  CSP_HELLO_GRANTS_MAX = 2,
  CSP_HELLO_UNREACHED_MAX = 8,
  /* Backed-off targets that an ask can exclude.  */
  CSP_ASK_BACKOFFS_MAX = 8,
  /* Hosts that get load reports, see csp_list_deciders.  */
  CSP_DECIDERS_MAX = 3,
  /* Hosts of one data centre, and of the fleet, that may read the platform for
     others, best first.  */
  CSP_LOCAL_READERS_MAX = 4,
  /* If the store refuses this many hosts and no host is known to read it, it
     counts as down for all.  */
  CSP_OUTAGE_HOSTS = 6,
  CSP_FLEET_READERS_MAX = 3
};

enum
{
  CSP_PEER_TEXT_BYTES = 32
};

typedef struct
{
  uint32_t ip; /* in host byte order */
  uint16_t port;
} csp_peer_address_t;

bool csp_is_same_peer (csp_peer_address_t a, csp_peer_address_t b);
csp_peer_address_t csp_peer_from_sockaddr (const struct sockaddr_in *address);
struct sockaddr_in csp_sockaddr_from_peer (csp_peer_address_t peer);

/* Packs address and port into one number; 0 is none.  */
uint64_t csp_pack_peer (csp_peer_address_t peer);
csp_peer_address_t csp_unpack_peer (uint64_t packed);

/* Formats address and port for logs.  */
void csp_format_peer (csp_peer_address_t peer, char text[CSP_PEER_TEXT_BYTES]);

/* A pseudo-random rank of a host on which all hosts agree; another salt gives
   another order.  */
uint64_t csp_hash_peer_rank (csp_peer_address_t peer, uint64_t salt);

/* What gossip says about a host.  */
typedef struct
{
  csp_peer_address_t address;
  uint32_t data_centre; /* hash of its name */
  uint32_t capacity;    /* see csp_set_roster_local_info */
  uint32_t age_ms;      /* since its last report, direct or through others */
  uint32_t up_ms;       /* time since its start at that report, at most
                           CSP_UP_REPORTED_MAX_MS */
  bool leaving;
  bool platform_unreachable;
  bool platform_read;
} csp_known_host_t;

enum
{
  /* From this uptime on all hosts count as equally old.  */
  CSP_UP_REPORTED_MAX_MS = 10000
};

/* The load that one host has under way at one target.  */
typedef struct
{
  uint64_t target; /* hash of the target's id */
  uint32_t requests;
  uint32_t tokens;
  uint32_t backup_tokens;
  uint32_t prefill_tokens; /* of prompts without a first token yet */
  uint32_t movable_tokens; /* of streams that must move if the target leaves */
  /* Times between two events of a run there, in us, as this host observes
     them; 0: unknown.  */
  uint32_t event_us;         /* the usual one */
  uint32_t longest_event_us; /* the longest one lately */
  uint32_t failures;         /* attempts lost there since the target's start */
  uint32_t failure_age_ms;   /* since the last of them */
} csp_peer_load_t;

/* A request for a placement, sent to the decider.  */
typedef struct
{
  uint64_t id;
  uint32_t service;      /* hash of its name */
  uint32_t organisation; /* hash of its name */
  uint32_t prompt_tokens;
  uint32_t tokens;
  uint32_t start_within_ms;
  uint8_t urgency;
  csp_traffic_class_t traffic_class;
  uint64_t moves_from; /* hash of a moving stream's target; 0: none */
  uint64_t refused_at; /* hash of a target that refused it for lack of
                          capacity; 0: none */
  uint32_t expected_remaining_ms; /* estimated remaining time of its output */
  size_t backoff_count;
  uint64_t backoffs[CSP_ASK_BACKOFFS_MAX]; /* hashes of targets that are backed
                                              off for its host */
} csp_hello_ask_t;

/* Retries beyond a host's own budget that it requests or is granted; see
   retry-lease.h.  */
typedef struct
{
  uint32_t service; /* hash of its name */
  uint64_t id;      /* chosen by the requesting host */
  uint32_t amount;
} csp_hello_lease_t;

/* What a host knows of a target's rate limit.  */
typedef struct
{
  uint64_t target; /* hash of its id */
  csp_rate_report_t report;
} csp_hello_rate_t;

/* A request for a grant to send one request to a rate limited target, or the
   answer.  */
typedef struct
{
  uint64_t target; /* hash of its id */
  uint64_t id;     /* chosen by the requesting host; 0: the request was already
                      sent without a grant and is only counted */
  bool granted;
  uint32_t wait_ms; /* when to ask again, if not granted */
} csp_hello_grant_t;

/* The outcome of an ask.  */
typedef enum
{
  CSP_ASK_WAITS,
  CSP_ASK_PLACED,
  CSP_ASK_REFUSED,
  CSP_ASK_OUTCOME_COUNT
} csp_ask_outcome_t;

/* Why the decider refused an ask.  */
typedef enum
{
  CSP_REFUSED_FOR_UNKNOWN, /* a host of an earlier version states none */
  CSP_REFUSED_ON_ARRIVAL,  /* it would probably start too late */
  CSP_REFUSED_AFTER_WAIT,  /* the same, as seen while it waited */
  CSP_REFUSED_QUEUE_FULL,  /* too many wait, of all or of its organisation */
  CSP_REFUSED_TABLE_FULL,  /* the decider holds no more asks */
  CSP_REFUSED_NO_QUEUE,    /* the decider has no queue for the service */
  CSP_REFUSED_TOO_LARGE,   /* for the memory of one engine */
  CSP_REFUSED_FOR_COUNT
} csp_refused_for_t;

/* A decider's reason for a refusal, for logs.  */
typedef struct
{
  csp_refused_for_t cause;
  uint32_t predicted_wait_ms; /* at the measured rate, without margin */
  uint32_t left_ms;           /* in which it had to start */
} csp_ask_refusal_t;

typedef struct
{
  csp_peer_address_t host; /* the host that asked; not in the datagram */
  uint64_t id;
  csp_ask_outcome_t outcome;
  uint64_t target;           /* hash of its id, if placed */
  uint32_t retry_after_ms;   /* if refused */
  uint32_t pool_percent;     /* share of the pool's memory that is assigned, if
                                placed */
  csp_ask_refusal_t refusal; /* if refused */
} csp_ask_answer_t;

/* Name of a cause in logs, such as "arrival".  */
const char *csp_refused_for_name (csp_refused_for_t cause);

/* A hello: one datagram.  */
typedef struct
{
  uint64_t boot;       /* identifies one start of the sender */
  uint64_t sequence;   /* increases with each datagram of a boot */
  bool is_full_report; /* a full report: loads that aren't listed are 0 */
  bool leaving;
  bool platform_unreachable; /* the sender can't reach the platform */
  bool platform_read;        /* the sender reads the platform successfully */
  bool reply_requested; /* requests a hello in reply, which requests none */
  uint32_t data_centre; /* hash of its name */
  uint32_t capacity;
  uint32_t up_ms;
  size_t load_count;
  csp_peer_load_t loads[CSP_HELLO_LOADS_MAX];
  size_t known_count;
  csp_known_host_t known_hosts[CSP_HELLO_KNOWN_MAX];
  size_t ask_count;
  csp_hello_ask_t asks[CSP_HELLO_ASKS_MAX];
  size_t answer_count;
  csp_ask_answer_t answers[CSP_HELLO_ASKS_MAX];
  size_t cancel_count;
  uint64_t cancels[CSP_HELLO_ASKS_MAX];
  uint64_t decider; /* the host that the sender asks, see csp_pack_peer; 0:
                       unspecified */
  size_t lease_request_count;
  csp_hello_lease_t lease_requests[CSP_HELLO_LEASES_MAX];
  size_t lease_count;
  csp_hello_lease_t leases[CSP_HELLO_LEASES_MAX];
  size_t rate_count;
  csp_hello_rate_t rates[CSP_HELLO_RATES_MAX];
  size_t grant_request_count;
  csp_hello_grant_t grant_requests[CSP_HELLO_GRANTS_MAX];
  size_t grant_count;
  csp_hello_grant_t grants[CSP_HELLO_GRANTS_MAX];
  size_t leaving_target_count;
  uint64_t leaving_targets[CSP_HELLO_LEAVING_MAX]; /* hashes of targets that
                                        announced that they leave */
  /* Where the sender accepts requests that other hosts relay, and the services
     (hashes of their names) that it reaches no target of.  0: the hello
     reports neither.  */
  uint16_t relay_port;
  size_t unreached_count;
  uint32_t unreached[CSP_HELLO_UNREACHED_MAX];
  size_t suspect_count;
  csp_suspect_t suspects[CSP_HELLO_SUSPECTS_MAX];
  size_t cleared_count;
  uint64_t cleared[CSP_HELLO_SUSPECTS_MAX]; /* requests cleared of suspicion */
  size_t part_strike_count;
  csp_part_strike_t part_strikes[CSP_HELLO_PART_STRIKES_MAX];
  size_t held_part_count;
  csp_held_part_t held_parts[CSP_HELLO_HELD_PARTS_MAX];
  size_t sound_part_count;
  csp_sound_part_t sound_parts[CSP_HELLO_SOUND_PARTS_MAX];
} csp_hello_t;

/* Encodes a hello; false when memory allocation fails or the hello is too
   large.  */
bool csp_encode_hello (const csp_hello_t *hello, csp_buffer_t *bytes);

/* Decodes a hello; false if the bytes are malformed or exceed the limits.  */
bool csp_decode_hello (const void *bytes, size_t size_bytes,
                       csp_hello_t *hello);

typedef struct csp_roster csp_roster_t;

/* Datagrams and gossip about self are ignored.  */
csp_roster_t *csp_create_roster (csp_peer_address_t self, uint64_t boot,
                                 uint32_t data_centre, uint64_t seed);
void csp_destroy_roster (csp_roster_t *roster);

/* Sets what this host reports about itself.  capacity: what its processor and
   its link can carry, in thousandths of a core; 0: unknown.  */
void csp_set_roster_local_info (csp_roster_t *roster, uint32_t capacity,
                                int64_t started_ms);

/* Sets whether this host is stopping, can't reach the platform, or reads it
   successfully.  */
void csp_set_roster_leaving (csp_roster_t *roster);
void csp_set_roster_platform_unreachable (csp_roster_t *roster,
                                          bool unreachable);
void csp_set_roster_platform_read (csp_roster_t *roster, bool reads);

/* Fills in the fields of a hello that describe this host.  */
void csp_fill_own_hello (const csp_roster_t *roster, csp_hello_t *hello,
                         int64_t now_ms);

/* Adds an address; the host becomes live when a datagram or gossip about it
   arrives.  */
void csp_add_peer_address (csp_roster_t *roster, csp_peer_address_t address);

/* Handles a received hello.  False if it is from this host itself, out of
   order, or of a replaced boot.  */
bool csp_receive_hello (csp_roster_t *roster, csp_peer_address_t from,
                        const csp_hello_t *hello, int64_t now_ms);

/* Expires silent hosts and their loads.  True if the loads changed.  Call it a
   few times a second: the functions below use the state of the last call.  */
bool csp_expire_peers (csp_roster_t *roster, int64_t now_ms);

/* The number of hosts that use this one as decider; of all known hosts, live
   or not; and of data centres with hosts that are reported to live.  Each
   includes this host or its own data centre.  */
size_t csp_count_asking_hosts (const csp_roster_t *roster);
size_t csp_count_known_hosts (const csp_roster_t *roster);
size_t csp_count_reachable_data_centres (const csp_roster_t *roster);

/* The number of data centres with known hosts, live or not.  */
size_t csp_count_known_data_centres (const csp_roster_t *roster);

/* How often a host wasn't added, as CSP_ROSTER_MAX others are known.  */
uint64_t csp_count_refused_hosts (const csp_roster_t *roster);

/* Chooses the hosts that get a hello now: a random one of each other data
   centre and of this one when those are due, and addresses that never
   answered.  Returns how many were written; each is recorded as sent.  */
size_t csp_choose_hello_targets (csp_roster_t *roster, int64_t now_ms,
                                 csp_peer_address_t *addresses,
                                 size_t max_count);

/* How often a host of each other data centre gets a hello, in ms.  */
uint32_t csp_remote_hello_period_ms (const csp_roster_t *roster);

/* All live hosts, known directly or through others.  */
size_t csp_list_live_peers (const csp_roster_t *roster,
                            csp_peer_address_t *addresses, size_t max_count);
size_t csp_count_live_peers (const csp_roster_t *roster);

/* Some random live hosts.  */
size_t csp_sample_live_peers (csp_roster_t *roster,
                              csp_peer_address_t *addresses, size_t max_count);

/* Chooses the hosts to name in a hello: those that rank first for each duty,
   and random others.  Returns how many were written.  */
size_t csp_choose_known_hosts (csp_roster_t *roster, csp_peer_address_t to,
                               csp_known_host_t *hosts, size_t max_count,
                               int64_t now_ms);

/* Chooses the hosts to name in the reply to a hello: none unless its sender
   has just started or names fewer hosts than this one can.  Returns how many
   were written.  */
size_t csp_choose_reply_hosts (csp_roster_t *roster, csp_peer_address_t to,
                               const csp_hello_t *hello,
                               csp_known_host_t hosts[CSP_HELLO_KNOWN_MAX],
                               int64_t now_ms);

/* A host that requests can be relayed through.  */
typedef struct
{
  csp_peer_address_t host;
  uint16_t relay_port;
} csp_relay_host_t;

/* Picks a random live host for relayed requests to a service, those with more
   capacity more often; false if there is none.  Hosts that are leaving, that
   report that they don't reach the service, or that are avoided are left
   out.  */
bool csp_pick_relay_host (csp_roster_t *roster, uint32_t service,
                          int64_t now_ms, csp_relay_host_t *picked);
bool csp_has_relay_host (const csp_roster_t *roster, uint32_t service,
                         int64_t now_ms);

/* How the host has answered an offer to relay a request to a service, or that
   it hasn't.  */
void csp_note_offer_result (csp_roster_t *roster, csp_peer_address_t host,
                            uint32_t service, csp_offer_result_t result,
                            int64_t now_ms);

/* The live host with this IP address; NULL if there is none.  */
const csp_peer_address_t *csp_find_live_host_by_ip (const csp_roster_t *roster,
                                                    uint32_t ip);

/* Returns the host that decides on placements for all hosts.  Hosts with more
   capacity come first, as each ask and each change of load goes to the
   decider; then a hash decides.  A host that has just started comes last until
   the others have reported their loads to it.  */
csp_peer_address_t csp_pick_decider (const csp_roster_t *roster);

/* Lists the hosts that get load reports: the decider; the next one in the
   order, so that it knows all loads when it takes over; and the first of this
   data centre, so that a data centre that is cut off has a decider at once.
   This host itself isn't listed.  Returns how many were written.  */
size_t csp_list_deciders (const csp_roster_t *roster,
                          csp_peer_address_t hosts[CSP_DECIDERS_MAX]);

/* A decider didn't answer an ask: another host decides for this host for a
   while.  */
void csp_avoid_decider (csp_roster_t *roster, csp_peer_address_t host,
                        int64_t now_ms);

/* Hosts that may read the platform for others, best first, this one included:
   of this data centre, and of the fleet.  Hosts with different views of who is
   live may rank differently for a moment, which costs a few more calls.  */
typedef struct
{
  csp_peer_address_t self;
  size_t local_reader_count;
  csp_peer_address_t local_readers[CSP_LOCAL_READERS_MAX];
  size_t fleet_reader_count;
  csp_peer_address_t fleet_readers[CSP_FLEET_READERS_MAX];
  size_t hosts;         /* live ones, including this host */
  size_t refused_hosts; /* those of them that can't reach the platform */
  bool outage; /* many can't reach the platform, and no host is known to read
                  it */
} csp_reader_ranks_t;

void csp_rank_readers (const csp_roster_t *roster, csp_reader_ranks_t *ranks);

/* Calls visit for each load of each host.  */
typedef void (*csp_load_visitor_t) (void *state, csp_peer_address_t peer,
                                    const csp_peer_load_t *load);
void csp_visit_peer_loads (const csp_roster_t *roster,
                           csp_load_visitor_t visit, void *state);

/* Calls visit for each load of one host; does nothing if the host is
   unknown.  */
void csp_visit_loads_of_peer (csp_roster_t *roster, csp_peer_address_t address,
                              csp_load_visitor_t visit, void *state);

#endif
