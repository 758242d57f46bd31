#ifndef CSP_MEMBERSHIP_IMP_H
#define CSP_MEMBERSHIP_IMP_H

#include "cowslipspoke/membership.h"
#include "cowslipspoke/random.h"

enum
{
  CSP_MAX_MEMBER_EVENTS = 64,
  CSP_MAX_WITNESSES = 16,
  CSP_MAX_DATA_CENTRES = 128,
  /* Lost heartbeats that make a host of another data centre silent; it gets
     heartbeats too rarely for a timeout.  */
  CSP_REMOTE_LOSSES = 2,
  /* Interval of heartbeats to a silent host, so that its return is
     noticed.  */
  CSP_SILENT_HEARTBEAT_MS = 5000,
  /* Several times what it takes all other hosts to detect a failed host.  */
  CSP_GIVE_UP_MS = 60000
};

/* A host of this data centre that reported another as silent.  */
typedef struct
{
  char witness[CSP_HOST_NAME_BYTES];
  int64_t reported_ms;
} csp_witness_t;

typedef struct
{
  csp_host_view_t view;
  /* Orders the hosts of its data centre: csp_hash_pair of both names.  */
  uint64_t order;
  bool local;
  bool neighbour;
  /* The list says that it leaves; its own heartbeats don't revoke that.  */
  bool listed_leaving;
  /* Its replies name this host's incarnation: it has this host's address.  */
  bool knows_this_host;
  /* When the last answered heartbeat was sent; -1 is never.  */
  int64_t confirmed_ms;
  /* The same as a base of the silence timeout: shifted by pauses of this
     process.  */
  int64_t silent_since_ms;
  int64_t known_since_ms;
  int64_t last_message_ms;
  int64_t in_view_until_ms;
  int64_t lease_until_ms;
  /* It has granted a lease since it came into the view.  */
  bool has_granted_lease;
  int64_t unlisted_ms;
  /* The pending heartbeat; sequence 0 is none.  */
  uint64_t pending_sequence;
  int64_t pending_sent_ms;
  int64_t next_heartbeat_ms;
  uint32_t lost_heartbeats;
  size_t witness_count;
  csp_witness_t witnesses[CSP_MAX_WITNESSES];
} csp_peer_t;

typedef struct
{
  char name[CSP_HOST_NAME_BYTES];
  /* Its hosts start at by_order[first].  */
  size_t first;
  size_t count;
  bool has_summary;
  int64_t summary_ms;
  csp_summary_t summary;
} csp_data_centre_t;

struct csp_membership
{
  csp_peer_t *self;
  uint64_t deployment;
  csp_local_state_t local;
  csp_random_t random;
  int64_t created_ms;
  /* When it was created or resumed after a pause.  */
  int64_t started_ms;
  bool was_listed;
  int64_t last_tick_ms;
  int64_t list_version;
  uint64_t last_sequence;
  uint64_t view_version;
  uint64_t view_hash;
  int64_t interval_ms;
  /* Too many hosts in this data centre for each to send heartbeats to
     each.  */
  bool large;
  /* Neighbours must be chosen again at the next tick.  */
  bool must_rearrange;
  int64_t next_remote_heartbeat_ms;
  size_t next_remote_data_centre;
  size_t next_summary;
  size_t next_suspect;
  size_t next_peer;
  /* Sorted by name; and by data centre, then order.  */
  size_t peer_count;
  csp_peer_t *by_name[CSP_MAX_HOSTS];
  csp_peer_t *by_order[CSP_MAX_HOSTS];
  size_t data_centre_count;
  size_t home;
  csp_data_centre_t data_centres[CSP_MAX_DATA_CENTRES];
  size_t event_first;
  size_t event_count;
  csp_member_event_t events[CSP_MAX_MEMBER_EVENTS];
  uint64_t results[CSP_HEARTBEAT_RESULT_COUNT];
};

/* membership-peers.c: the table of hosts.  */
csp_peer_t *csp_find_peer (const csp_membership_t *membership,
                           const char *name);
/* Adds a host; NULL if the table is full of hosts that can't be removed.  */
csp_peer_t *csp_add_peer (csp_membership_t *membership, const char *name,
                          const char *data_centre, int64_t now_ms);
void csp_remove_old_peers (csp_membership_t *membership, int64_t now_ms);
/* Groups hosts by data centre and chooses neighbours.  */
void csp_arrange_peers (csp_membership_t *membership);
csp_data_centre_t *csp_find_data_centre (csp_membership_t *membership,
                                         const char *name);

/* membership-judge.c: which hosts are alive.  */
void csp_update_liveness (csp_membership_t *membership, int64_t now_ms);
bool csp_is_in_view (const csp_peer_t *peer, int64_t now_ms);
int64_t csp_grace_ms (const csp_membership_t *membership);
/* How long from now this host will count a peer as an owner of targets.  */
uint32_t csp_granted_lease_ms (const csp_membership_t *membership,
                               const csp_peer_t *peer, int64_t now_ms);
void csp_apply_suspects (csp_membership_t *membership,
                         const csp_heartbeat_t *message, int64_t now_ms);
void csp_fill_suspects (csp_membership_t *membership, csp_heartbeat_t *message,
                        int64_t now_ms);
/* Removes the reports of witnesses about an earlier incarnation.  */
void csp_clear_witnesses (csp_peer_t *peer);

/* membership-summary.c: messages between data centres.  */
bool csp_is_relay (const csp_membership_t *membership, int64_t now_ms);
void csp_apply_summaries (csp_membership_t *membership,
                          const csp_heartbeat_t *message, int64_t now_ms);
void csp_fill_summaries (csp_membership_t *membership, const csp_peer_t *to,
                         csp_heartbeat_t *message, int64_t now_ms);

/* membership-ask.c */
void csp_fill_heartbeat (const csp_membership_t *membership,
                         const csp_peer_t *to, csp_heartbeat_t *message);
/* Detects that this process was paused; every entry point with a time calls
   it.  */
void csp_detect_pause (csp_membership_t *membership, int64_t now_ms);

/* membership.c */
void csp_add_member_event (csp_membership_t *membership,
                           csp_member_event_kind_t kind, const char *peer,
                           int64_t value);

#endif
