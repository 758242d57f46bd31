#ifndef COWSLIPSPOKE_MEMBERSHIP_H
#define COWSLIPSPOKE_MEMBERSHIP_H

#include "cowslipspoke/platform.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Which hosts are alive, as this host sees it, from the platform's lagging
   host list and heartbeats between hosts.

   Load pattern: 330 hosts, 900 of which come and go in a day, on links that
   fail in one direction and hosts that pause.  Without membership hosts send
   work to dead peers, or two hosts own one target; the symptoms are timeouts
   of hand-offs and engines with twice their load.  A peer counts as alive only
   after a round trip; reports of third hosts can keep a peer in the view but
   never add it.  The traffic is bounded: a host sends heartbeats to at most
   CSP_MAX_NEIGHBOURS in its data centre, at most CSP_HEARTBEATS_PER_S, and two
   relays per data centre exchange heartbeats with other data centres.

   Pure: no network, threads or clock; one control thread calls it.  */
typedef struct csp_membership csp_membership_t;

enum
{
  CSP_PROTOCOL_VERSION = 1,
  /* The oldest protocol version that is accepted.  */
  CSP_PROTOCOL_OLDEST = 1,
  CSP_MAX_NEIGHBOURS = 12,
  CSP_HEARTBEATS_PER_S = 6,
  CSP_RELAYS_MAX = 2,
  CSP_HEARTBEAT_MS = 1000,
  /* A later reply is ignored: a link or peer this slow can't take
     hand-offs.  */
  CSP_HEARTBEAT_TIMEOUT_MS = 1500,
  /* A peer is silent after three unanswered heartbeats: single lost packets
     are common, three in a row are not.  */
  CSP_SILENT_HEARTBEATS = 3,
  /* Ticks come every 100 ms; a gap this long counts as a pause of the
     process.  */
  CSP_MIN_PAUSE_MS = 1000,
  CSP_MAX_SUSPECTS = 4,
  CSP_MAX_SUMMARIES = 4,
  CSP_SUMMARY_HOSTS = 2,
  CSP_MAX_HEARTBEAT_ACTIONS = 16,
  /* Maximum lease after the last tick.  While a host without peers is paused,
     others may start, so its lease must end before a new host may own
     targets.  */
  CSP_MAX_LEASE_MS = 2000,
  /* A starting host owns nothing before the platform lists it, since two
     unlisted hosts that start together can't know of each other.  It waits no
     longer than this, as the platform may be down.  Twice the usual lag of the
     list.  */
  CSP_LISTING_WAIT_MS = 10000,
  /* Interval at which a relay sends a heartbeat to one host of another data
     centre, taking the data centres in turn.  */
  CSP_REMOTE_HEARTBEAT_MS = 1000,
  /* How long a witness's report counts.  */
  CSP_SUSPECT_TTL_MS = 10000,
  /* How long a silent host that is no longer listed is kept: at-most-once has
     to ask every host that may have taken a request.  */
  CSP_PEER_RETENTION_MS = 3600000
};

/* A report that a host doesn't answer heartbeats of the witness, made age_ms
   ago; an empty witness is the sender.  */
typedef struct
{
  char name[CSP_HOST_NAME_BYTES];
  char witness[CSP_HOST_NAME_BYTES];
  uint64_t incarnation;
  uint32_t age_ms;
} csp_suspect_host_t;

/* Summary of a data centre for hosts of other data centres.  */
typedef struct
{
  char data_centre[CSP_HOST_NAME_BYTES];
  uint32_t live_hosts;
  uint32_t age_ms;
  int64_t revision;
  int64_t headroom_tokens;
  /* The hosts with the most headroom; an empty name is none.  */
  struct
  {
    char name[CSP_HOST_NAME_BYTES];
    int64_t headroom_tokens;
  } best[CSP_SUMMARY_HOSTS];
} csp_summary_t;

/* A heartbeat; its reply has the same shape.  Empty strings and zeros need not
   be encoded: address, ports and region are sent only until the receiver has
   shown that it knows this incarnation.  */
typedef struct
{
  /* csp_hash_pair ("deployment", NAME).  */
  uint64_t deployment;
  uint64_t incarnation;
  /* Of the heartbeat; a reply repeats it.  */
  uint64_t sequence;
  int64_t revision;
  uint64_t digest;
  int64_t refused_revision;
  int64_t list_version;
  int64_t headroom_tokens;
  /* In a reply: the incarnation of the receiver that the sender knows.  */
  uint64_t known_incarnation;
  /* In a reply: a lease; how long the sender will count the receiver as an
     owner of targets without further heartbeats.  */
  uint32_t alive_ms;
  uint32_t protocol;
  uint32_t owned_targets;
  /* Median gap between tokens on the owned targets, and how many of those
     have a reduced share; see health.h.  */
  uint32_t median_gap_us;
  uint32_t targets_out;
  csp_member_state_t state;
  csp_suspect_host_t suspects[CSP_MAX_SUSPECTS];
  csp_summary_t summaries[CSP_MAX_SUMMARIES];
  char name[CSP_HOST_NAME_BYTES];
  char region[CSP_HOST_NAME_BYTES];
  char data_centre[CSP_HOST_NAME_BYTES];
  char address[CSP_ADDRESS_BYTES];
  uint16_t http_port;
  uint16_t peer_port;
  uint8_t suspect_count;
  uint8_t summary_count;
  bool service_silent;
} csp_heartbeat_t;

/* What this host reports about itself; the daemon updates it.  */
typedef struct
{
  csp_member_state_t state;
  int64_t revision;
  uint64_t digest;
  int64_t refused_revision;
  bool service_silent;
  int64_t headroom_tokens;
  uint32_t owned_targets;
  uint32_t median_gap_us;
  uint32_t targets_out;
} csp_local_state_t;

typedef struct
{
  const char *deployment;
  const char *name;
  const char *region;
  const char *data_centre;
  const char *address;
  uint16_t http_port;
  uint16_t peer_port;
  /* Increases with every restart: Unix time of the start in ms shifted left by
     16, or'ed with 16 random bits (csp_make_incarnation).  */
  uint64_t incarnation;
  uint64_t seed;
} csp_membership_settings_t;

/* A heartbeat to send.  */
typedef struct
{
  char peer[CSP_HOST_NAME_BYTES];
  char address[CSP_ADDRESS_BYTES];
  uint16_t peer_port;
  uint32_t timeout_ms;
  csp_heartbeat_t ask;
} csp_heartbeat_action_t;

typedef struct
{
  size_t count;
  csp_heartbeat_action_t items[CSP_MAX_HEARTBEAT_ACTIONS];
} csp_heartbeat_actions_t;

typedef enum
{
  /* Listed or learned of, but no round trip yet.  */
  CSP_PEER_UNCONFIRMED,
  /* Replies arrive.  */
  CSP_PEER_ALIVE,
  /* No replies to this host, but most peers still get them: it keeps the
     targets that it owns, and nothing is sent to it.  */
  CSP_PEER_UNREACHABLE,
  /* No replies; removed from the view.  */
  CSP_PEER_SILENT
} csp_peer_liveness_t;

/* The state of a host as this host knows it.  */
typedef struct
{
  char name[CSP_HOST_NAME_BYTES];
  char region[CSP_HOST_NAME_BYTES];
  char data_centre[CSP_HOST_NAME_BYTES];
  char address[CSP_ADDRESS_BYTES];
  uint16_t http_port;
  uint16_t peer_port;
  uint64_t incarnation;
  csp_member_state_t state;
  csp_peer_liveness_t liveness;
  /* Counts as an owner of targets if its state is live.  A silent host stays
     in the view for a grace period, since its lease may last that long.  */
  bool in_view;
  bool self;
  bool listed;
  /* It has shown that it knows this host's incarnation.  */
  bool knows_this_host;
  /* Since the heartbeat of the last round trip was sent; -1 if there was
     none.  */
  int64_t round_trip_age_ms;
  /* Since this host first learned of this incarnation.  */
  int64_t known_age_ms;
  int64_t revision;
  uint64_t digest;
  int64_t refused_revision;
  bool service_silent;
  int64_t list_version;
  int64_t headroom_tokens;
  uint32_t owned_targets;
  uint32_t median_gap_us;
  uint32_t targets_out;
} csp_host_view_t;

typedef enum
{
  CSP_HEARTBEAT_OK,
  /* From another deployment; refuse and close.  */
  CSP_HEARTBEAT_OTHER_DEPLOYMENT,
  CSP_HEARTBEAT_OTHER_PROTOCOL,
  /* From an incarnation that has been replaced, or from another host with
     this host's name.  */
  CSP_HEARTBEAT_OLD_INCARNATION,
  CSP_HEARTBEAT_DUPLICATE_NAME,
  /* A reply that is too late or matches no pending heartbeat.  */
  CSP_HEARTBEAT_UNEXPECTED,
  CSP_HEARTBEAT_MALFORMED,
  CSP_HEARTBEAT_RESULT_COUNT
} csp_heartbeat_result_t;

typedef enum
{
  CSP_MEMBER_EVENT_ALIVE,
  CSP_MEMBER_EVENT_UNREACHABLE,
  CSP_MEMBER_EVENT_SILENT,
  CSP_MEMBER_EVENT_RESTARTED,
  CSP_MEMBER_EVENT_LEAVING,
  CSP_MEMBER_EVENT_REFUSED,
  CSP_MEMBER_EVENT_RESUMED,
  CSP_MEMBER_EVENT_LIST_STALE
} csp_member_event_kind_t;

/* An event for the log; value is a duration in ms, a version or a
   csp_heartbeat_result_t, depending on the kind.  */
typedef struct
{
  csp_member_event_kind_t kind;
  char peer[CSP_HOST_NAME_BYTES];
  int64_t value;
} csp_member_event_t;

typedef enum
{
  CSP_LIST_APPLIED,
  CSP_LIST_SAME,
  CSP_LIST_STALE
} csp_list_result_t;

/* Makes the incarnation of a host that starts now.  */
uint64_t csp_make_incarnation (int64_t wall_ms, uint64_t random);

csp_membership_t *
csp_create_membership (const csp_membership_settings_t *settings,
                       int64_t now_ms);
void csp_destroy_membership (csp_membership_t *membership);

/* Applies the platform's host list; a version below the current one is stale
   and ignored.  A list alone never makes a host alive or dead: it names hosts
   to send heartbeats to, and an unlisted host is removed only when it is
   silent too.  */
csp_list_result_t csp_apply_host_list (csp_membership_t *membership,
                                       const csp_host_list_t *list,
                                       int64_t now_ms);

/* Adds a host that isn't from the list, such as a peer from settings.  */
void csp_add_known_host (csp_membership_t *membership,
                         const csp_listed_host_t *host, int64_t now_ms);

void csp_set_local_state (csp_membership_t *membership,
                          const csp_local_state_t *local);

/* Advances to now_ms and returns the heartbeats to send; call every 100
   ms.  */
void csp_tick_membership (csp_membership_t *membership, int64_t now_ms,
                          csp_heartbeat_actions_t *actions);

/* Handles a peer's heartbeat; fills in the reply, also for a refusal.  */
csp_heartbeat_result_t csp_handle_heartbeat (csp_membership_t *membership,
                                             const csp_heartbeat_t *ask,
                                             int64_t now_ms,
                                             csp_heartbeat_t *reply);

/* Handles the reply to a heartbeat that was sent to the peer of this name.  */
csp_heartbeat_result_t
csp_handle_heartbeat_reply (csp_membership_t *membership, const char *name,
                            const csp_heartbeat_t *reply, int64_t now_ms);

/* The heartbeat with this sequence number got no reply.  */
void csp_handle_heartbeat_lost (csp_membership_t *membership, const char *name,
                                uint64_t sequence, int64_t now_ms);

/* Increases whenever the hosts of this data centre that own targets change, or
   one of them restarts, leaves or becomes unreachable.  */
uint64_t csp_view_version (const csp_membership_t *membership);

/* The end of this host's lease: until then no peer in the view may have given
   this host's targets to another host.  It is the least, over the live peers
   of this data centre, of the time when the heartbeat was sent plus alive_ms
   of its reply, and at most CSP_MAX_LEASE_MS after the last tick.  INT64_MIN
   after a start or a pause while a peer that may be alive has not granted a
   lease yet.  */
int64_t csp_lease_until_ms (const csp_membership_t *membership);

/* The number of known hosts including this one, and the state of one of them,
   ordered by name.  At-most-once uses them to ask every host that may have
   taken a request, including silent ones.  */
size_t csp_count_hosts (const csp_membership_t *membership);
void csp_view_host (const csp_membership_t *membership, size_t index,
                    int64_t now_ms, csp_host_view_t *view);
bool csp_find_host (const csp_membership_t *membership, const char *name,
                    int64_t now_ms, csp_host_view_t *view);

/* The current heartbeat interval, and how long without a reply makes a peer
   silent; both grow with the number of neighbours.  */
int64_t csp_heartbeat_interval_ms (const csp_membership_t *membership);
int64_t csp_silent_after_ms (const csp_membership_t *membership);

/* Whether a host may own targets of its data centre.  */
bool csp_may_host_own_targets (const csp_host_view_t *view);

/* The summary of another data centre; false beyond the last.  */
bool csp_view_summary (const csp_membership_t *membership, size_t index,
                       int64_t now_ms, csp_summary_t *summary);

/* Takes the next event for the log; false if there is none.  When more than 64
   events are waiting the oldest are dropped.  */
bool csp_pop_member_event (csp_membership_t *membership,
                           csp_member_event_t *event);

/* The number of handled heartbeats and replies with a result, for metrics.  */
uint64_t csp_heartbeat_count (const csp_membership_t *membership,
                              csp_heartbeat_result_t result);

#endif
