#ifndef COWSLIPSPOKE_MEMBERSHIP_H
#define COWSLIPSPOKE_MEMBERSHIP_H

#include "cowslipspoke/platform.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Which hosts are alive, as this host sees it, from the platform's lagging
   host list and heartbeats between hosts.

   Load pattern: 330 hosts, 900 of which come and go in a day, on links that
   fail in one direction and hosts that pause.  Without it hosts send work to
   dead peers, or two hosts own one target; one notices by timeouts on
   hand-offs and by engines with twice their load.  A peer counts as alive
   only after a round trip; what third hosts say can keep a peer in the view,
   never bring it in.  Talk is bounded: CSP_MAX_NEIGHBOURS in a data centre
   at CSP_ASKS_PER_S, and two relays of each data centre talk across.

   Pure: no network, threads or clock; one control thread calls it.  */
typedef struct csp_membership csp_membership_t;

enum
{
  CSP_PROTOCOL_VERSION = 1,
  /* The oldest version that this one understands.  */
  CSP_PROTOCOL_OLDEST = 1,
  CSP_MAX_NEIGHBOURS = 12,
  CSP_ASKS_PER_S = 6,
  CSP_RELAYS = 2,
  CSP_HEARTBEAT_MS = 1000,
  /* An answer that comes later proves nothing: a link or peer this slow
     cannot take hand-offs.  */
  CSP_HEARTBEAT_TIMEOUT_MS = 1500,
  /* A peer is silent after three unanswered heartbeats: one lost packet is
     ordinary, three in a row are not.  */
  CSP_SILENT_HEARTBEATS = 3,
  /* Ticks come every 100 ms; a gap this long is a pause.  */
  CSP_PAUSE_MS = 1000,
  CSP_MAX_SUSPECTS = 4,
  CSP_MAX_SUMMARIES = 4,
  CSP_SUMMARY_HOSTS = 2,
  CSP_MAX_HEARTBEAT_ACTIONS = 16,
  /* No lease outlasts the last tick by more: a host that was alone when it was
     paused may have company when it wakes up.  Less than a newcomer waits.  */
  CSP_LEASE_CAP_MS = 2000,
  /* A host that starts owns nothing before the platform lists it, since two
     that start together and are not listed yet can't know of each other; but
     it waits no longer than this, for the platform may be away.  Twice the
     usual lag of the list.  */
  CSP_LISTING_WAIT_MS = 10000,
  /* Each relay asks one host of another data centre this often, the data
     centres in turn.  */
  CSP_CROSS_MS = 1000,
  /* What witnesses said counts this long.  */
  CSP_SUSPECT_MS = 10000,
  /* A host that is no longer listed and silent is kept this long, because
     at-most-once has to ask every host that may have taken a request.  */
  CSP_FORGET_MS = 3600000
};

/* "I get no round trip with this host", said by witness age_ms ago; an empty
   witness is the sender.  */
typedef struct
{
  char name[CSP_HOST_NAME_BYTES];
  char witness[CSP_HOST_NAME_BYTES];
  uint64_t incarnation;
  uint32_t age_ms;
} csp_suspect_t;

/* A data centre in brief, for hosts of other data centres.  */
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

/* A heartbeat; the reply to one has the same shape.  Empty strings and zeros
   need not travel: where, ports and region are sent only until the receiver
   has shown that it knows this incarnation.  */
typedef struct
{
  /* csp_hash_pair ("deployment", NAME).  */
  uint64_t deployment;
  uint64_t incarnation;
  /* Of the ask; a reply carries the ask's.  */
  uint64_t sequence;
  int64_t revision;
  uint64_t digest;
  int64_t refused_revision;
  int64_t list_version;
  int64_t headroom_tokens;
  /* In a reply: the incarnation of the asker that the sender knows.  */
  uint64_t known_incarnation;
  /* In a reply: how long the sender will go on to count the asker as an owner
     of targets without further word.  */
  uint32_t alive_ms;
  uint32_t protocol;
  uint32_t owned_targets;
  /* Median gap between tokens on the targets owned, and how many of those
     are closed as slow; see health.h.  */
  uint32_t median_gap_us;
  uint32_t targets_out;
  csp_member_state_t state;
  csp_suspect_t suspects[CSP_MAX_SUSPECTS];
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

/* What this host says of itself; the daemon sets it as it changes.  */
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
  /* Higher after every restart: calendar time of the start in ms shifted left
     by 16, or'ed with 16 random bits (csp_make_incarnation).  */
  uint64_t incarnation;
  uint64_t seed;
} csp_membership_settings_t;

/* One heartbeat to send.  */
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
  /* Listed or heard, no round trip yet.  */
  CSP_PEER_UNCONFIRMED,
  /* Round trips come back.  */
  CSP_PEER_ALIVE,
  /* No round trip of our own, but most peers still have one: it keeps what
     it owns, and nothing is sent to it.  */
  CSP_PEER_CUT,
  /* No round trip; out of the view.  */
  CSP_PEER_SILENT
} csp_peer_liveness_t;

/* A host as this one knows it.  */
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
  /* Still an owner of targets in our view if it is live: a silent host stays
     in the view for the grace that its lease may last.  */
  bool in_view;
  bool self;
  bool listed;
  /* It has shown that it knows this incarnation of ours.  */
  bool knows_us;
  /* Since the last round trip began; -1 where there was none.  */
  int64_t confirmed_age_ms;
  /* Since this incarnation was first heard of; how young the host is.  */
  int64_t known_ms;
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
  /* Another deployment; refuse and close.  */
  CSP_HEARTBEAT_OTHER_DEPLOYMENT,
  CSP_HEARTBEAT_OTHER_PROTOCOL,
  /* From an incarnation that has been replaced, or our own name.  */
  CSP_HEARTBEAT_OLD_INCARNATION,
  CSP_HEARTBEAT_DUPLICATE_NAME,
  /* An answer that is too late or to nothing we asked.  */
  CSP_HEARTBEAT_CROSSED,
  CSP_HEARTBEAT_MALFORMED,
  CSP_HEARTBEAT_RESULT_COUNT
} csp_heartbeat_result_t;

typedef enum
{
  CSP_MEMBER_EVENT_ALIVE,
  CSP_MEMBER_EVENT_CUT,
  CSP_MEMBER_EVENT_SILENT,
  CSP_MEMBER_EVENT_RESTARTED,
  CSP_MEMBER_EVENT_LEAVING,
  CSP_MEMBER_EVENT_REFUSED,
  CSP_MEMBER_EVENT_WOKE_LATE,
  CSP_MEMBER_EVENT_LIST_STALE
} csp_member_event_kind_t;

/* Something for the log; value is a count of ms, a version or a
   csp_heartbeat_result_t, as the kind says.  */
typedef struct
{
  csp_member_event_kind_t kind;
  char peer[CSP_HOST_NAME_BYTES];
  int64_t value;
} csp_member_event_t;

typedef enum
{
  CSP_LIST_TAKEN,
  CSP_LIST_SAME,
  CSP_LIST_STALE
} csp_list_result_t;

/* An incarnation for a host that starts now.  */
uint64_t csp_make_incarnation (int64_t wall_ms, uint64_t random);

csp_membership_t *
csp_create_membership (const csp_membership_settings_t *settings,
                       int64_t now_ms);
void csp_destroy_membership (csp_membership_t *membership);

/* Take the platform's host list; a lower version than seen is stale and
   changes nothing.  A list never declares a host alive or dead by itself: it
   names hosts to ask, and one that is no longer listed is forgotten only
   when it is silent too.  */
csp_list_result_t csp_apply_host_list (csp_membership_t *membership,
                                       const csp_host_list_t *list,
                                       int64_t now_ms);

/* A host to ask that is not from the list, such as a peer from settings.  */
void csp_add_known_host (csp_membership_t *membership,
                         const csp_listed_host_t *host, int64_t now_ms);

void csp_set_local_state (csp_membership_t *membership,
                          const csp_local_state_t *local);

/* Advance to now_ms and say which peers to ask; call every 100 ms.  */
void csp_tick_membership (csp_membership_t *membership, int64_t now_ms,
                          csp_heartbeat_actions_t *actions);

/* A peer's ask; fills the reply to send, also on a refusal.  */
csp_heartbeat_result_t csp_handle_heartbeat (csp_membership_t *membership,
                                             const csp_heartbeat_t *ask,
                                             int64_t now_ms,
                                             csp_heartbeat_t *reply);

/* The answer to an ask of ours to the peer of this name.  */
csp_heartbeat_result_t
csp_handle_heartbeat_reply (csp_membership_t *membership, const char *name,
                            const csp_heartbeat_t *reply, int64_t now_ms);

/* No answer to the ask with this sequence number.  */
void csp_handle_heartbeat_lost (csp_membership_t *membership, const char *name,
                                uint64_t sequence, int64_t now_ms);

/* Rises whenever the hosts of our data centre that own targets change, or one
   of them restarts, leaves, or is cut off.  */
uint64_t csp_view_number (const csp_membership_t *membership);

/* Until when no peer of the view may have handed our targets to someone else:
   the least, over the live peers of our data centre, of when we asked plus
   what they promised in alive_ms, and at most CSP_LEASE_CAP_MS after the last
   tick.  INT64_MIN while we start or woke up and a peer that may be there has
   not promised yet.  */
int64_t csp_lease_until_ms (const csp_membership_t *membership);

/* All known hosts, self among them, in order of name: how many there are, and
   one of them.  With it at-most-once asks every host that could have taken a
   request, the silent ones included.  */
size_t csp_count_hosts (const csp_membership_t *membership);
void csp_view_host (const csp_membership_t *membership, size_t index,
                    int64_t now_ms, csp_host_view_t *view);
bool csp_find_host (const csp_membership_t *membership, const char *name,
                    int64_t now_ms, csp_host_view_t *view);

/* What one heartbeat interval is now, and how long without a round trip makes
   a peer silent; both grow with the number of neighbours.  */
int64_t csp_heartbeat_interval_ms (const csp_membership_t *membership);
int64_t csp_silent_after_ms (const csp_membership_t *membership);

/* Whether a host takes part in the ownership of its data centre's targets.  */
bool csp_host_owns (const csp_host_view_t *view);

/* The summary of another data centre; false past the last.  */
bool csp_view_summary (const csp_membership_t *membership, size_t index,
                       int64_t now_ms, csp_summary_t *summary);

/* Next event for the log; false where there is none.  Events beyond 64 that
   nobody took are dropped, oldest first.  */
bool csp_take_member_event (csp_membership_t *membership,
                            csp_member_event_t *event);

/* Answers and asks by result, for metrics.  */
uint64_t csp_heartbeat_count (const csp_membership_t *membership,
                              csp_heartbeat_result_t result);

#endif
