#ifndef CSP_MEMBERSHIP_IMP_H
#define CSP_MEMBERSHIP_IMP_H

#include "cowslipspoke/membership.h"
#include "cowslipspoke/random.h"

enum
{
  CSP_MEMBER_EVENTS = 64,
  CSP_WITNESSES = 16,
  CSP_MAX_DATA_CENTRES = 128,
  /* Unanswered asks that make a host of another data centre silent; it is
     asked too seldom to count time.  */
  CSP_REMOTE_LOSSES = 2,
  /* A silent host is still asked this often, so that it is found again.  */
  CSP_SILENT_ASK_MS = 5000,
  /* Several times what it takes all others to notice a death.  */
  CSP_GIVE_UP_MS = 60000
};

/* Another host of our data centre that reported a host as silent.  */
typedef struct
{
  char witness[CSP_HOST_NAME_BYTES];
  int64_t said_ms;
} csp_witness_t;

typedef struct
{
  csp_host_view_t view;
  /* Place among the hosts of its data centre: csp_hash_pair of both names. */
  uint64_t order;
  bool local;
  bool neighbour;
  /* The list's word, which its own heartbeats do not take back.  */
  bool listed_leaving;
  /* Its answers carry our incarnation: it has our address.  */
  bool knows_us;
  /* When the last answered ask was sent; -1 is never.  */
  int64_t confirmed_ms;
  /* The same for judging silence: moved on by our own pauses.  */
  int64_t silence_base_ms;
  int64_t known_since_ms;
  int64_t heard_ms;
  int64_t view_until_ms;
  int64_t promise_until_ms;
  /* It has promised something since it came into the view.  */
  bool promised;
  int64_t unlisted_ms;
  /* The ask that is out; sequence 0 is none.  */
  uint64_t open_sequence;
  int64_t open_sent_ms;
  int64_t next_ask_ms;
  uint32_t losses;
  size_t witness_count;
  csp_witness_t witnesses[CSP_WITNESSES];
} csp_peer_t;

typedef struct
{
  char name[CSP_HOST_NAME_BYTES];
  /* Its hosts are by_order[first] on.  */
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
  /* Created, or woken from a pause.  */
  int64_t started_ms;
  bool was_listed;
  int64_t last_tick_ms;
  int64_t list_version;
  uint64_t last_sequence;
  uint64_t view_number;
  uint64_t view_mark;
  int64_t interval_ms;
  /* Too many hosts here for everyone to ask everyone.  */
  bool large;
  /* Neighbours have to be chosen again at the next tick.  */
  bool rearrange;
  int64_t next_cross_ms;
  size_t next_cross;
  size_t next_summary;
  size_t next_suspect;
  size_t next_peer;
  /* By name, and by data centre and then order.  */
  size_t peer_count;
  csp_peer_t *by_name[CSP_MAX_HOSTS];
  csp_peer_t *by_order[CSP_MAX_HOSTS];
  size_t data_centre_count;
  size_t home;
  csp_data_centre_t data_centres[CSP_MAX_DATA_CENTRES];
  size_t event_first;
  size_t event_count;
  csp_member_event_t events[CSP_MEMBER_EVENTS];
  uint64_t results[CSP_HEARTBEAT_RESULT_COUNT];
};

/* membership-peers.c: the table of hosts.  */
csp_peer_t *csp_find_peer (const csp_membership_t *membership,
                           const char *name);
/* A new host; NULL where the table is full of hosts that still count.  */
csp_peer_t *csp_add_peer (csp_membership_t *membership, const char *name,
                          const char *data_centre, int64_t now_ms);
void csp_forget_peers (csp_membership_t *membership, int64_t now_ms);
/* Sort hosts into data centres and choose neighbours.  */
void csp_arrange_peers (csp_membership_t *membership);
csp_data_centre_t *csp_find_data_centre (csp_membership_t *membership,
                                         const char *name);

/* membership-judge.c: who is alive.  */
void csp_judge_peers (csp_membership_t *membership, int64_t now_ms);
bool csp_in_view (const csp_peer_t *peer, int64_t now_ms);
int64_t csp_grace_ms (const csp_membership_t *membership);
/* How long from now we go on to count a peer as an owner.  */
uint32_t csp_promise_ms (const csp_membership_t *membership,
                         const csp_peer_t *peer, int64_t now_ms);
void csp_hear_suspects (csp_membership_t *membership,
                        const csp_heartbeat_t *heard, int64_t now_ms);
void csp_fill_suspects (csp_membership_t *membership, csp_heartbeat_t *said,
                        int64_t now_ms);
/* Drop what witnesses of an earlier incarnation said.  */
void csp_clear_witnesses (csp_peer_t *peer);

/* membership-summary.c: talk between data centres.  */
bool csp_is_relay (const csp_membership_t *membership, int64_t now_ms);
void csp_hear_summaries (csp_membership_t *membership,
                         const csp_heartbeat_t *heard, int64_t now_ms);
void csp_fill_summaries (csp_membership_t *membership, const csp_peer_t *to,
                         csp_heartbeat_t *said, int64_t now_ms);

/* membership-ask.c */
void csp_fill_heartbeat (const csp_membership_t *membership,
                         const csp_peer_t *to, csp_heartbeat_t *said);
/* Notice that this process was paused; every entry with a time does so.  */
void csp_notice_pause (csp_membership_t *membership, int64_t now_ms);

/* membership.c */
void csp_add_member_event (csp_membership_t *membership,
                           csp_member_event_kind_t kind, const char *peer,
                           int64_t value);

#endif
