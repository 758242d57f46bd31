#ifndef COWSLIPSPOKE_MIRROR_H
#define COWSLIPSPOKE_MIRROR_H

#include "cowslipspoke/follow.h"
#include "cowslipspoke/log.h"
#include "cowslipspoke/roster.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/* A host's copy of the platform's store.  Hosts that the store refuses, or
   that start while it is unreachable, read the copy of another host.

   Failure: the store refuses a third of the hosts for ten seconds.  Those
   hosts don't learn which targets leave: they keep sending to them, lose the
   streams that run there, and end up without a target.  The symptom is streams
   that end with their target on some hosts only.

   Each item carries the store's own revision, so that any host's copy will do:
   a newer revision replaces an older one, never the reverse.  */

enum
{
  CSP_MIRROR_KEY_BYTES = 201,
  /* Removed items are kept, so that followers learn of the removals: as many
     as there are live ones, and at least these.  */
  CSP_MIRROR_REMOVED_MIN = 1024
};

typedef struct
{
  char key[CSP_MIRROR_KEY_BYTES];
  char *value; /* NULL where the item was removed */
  int64_t revision;
} csp_mirror_item_t;

typedef struct csp_mirror csp_mirror_t;

/* Callbacks for each item that changed and for the end of a full listing.
   Each may be NULL.  */
typedef struct
{
  void (*item_changed) (void *state, const csp_mirror_item_t *item);
  void (*listing_ended) (void *state, const char *prefix);
  /* Called before another host's items are applied when some of its removals
     may only be due to an outage of the store.  */
  void (*rows_may_lapse) (void *state);
} csp_mirror_events_t;

/* What a host sends about the state of its mirror, beside the items.  */
typedef struct
{
  bool settled;    /* the host has read the store, or a host that has */
  bool lapsing;    /* the store is unreachable or has just come back, so that
                      some of its entries may have lapsed */
  uint32_t age_ms; /* since the store confirmed that the items are current,
                      over all hosts that passed them on */
} csp_mirror_status_t;

csp_mirror_t *csp_create_mirror (const csp_mirror_events_t *events,
                                 void *state);
void csp_destroy_mirror (csp_mirror_t *mirror);

/* Store an item as of a revision; a value of NULL removes it.  True if it was
   newer than the known one and was stored.  */
bool csp_put_mirror_item (csp_mirror_t *mirror, const char *key,
                          const char *value, int64_t revision);

/* Items put between these two calls are a full listing of a prefix as of a
   revision.  The end removes the older items of the prefix that weren't put.
 */
void csp_begin_mirror_listing (csp_mirror_t *mirror, const char *prefix);
void csp_end_mirror_listing (csp_mirror_t *mirror, const char *prefix,
                             int64_t as_of);

/* Record that all changes up to a revision are known.  */
void csp_note_mirror_revision (csp_mirror_t *mirror, int64_t revision);
int64_t csp_mirror_revision (const csp_mirror_t *mirror);

/* Whether a follower that knows all changes up to a revision needs all items,
   as the revision is 0 or older than the removals that are kept.  */
bool csp_needs_whole_mirror (const csp_mirror_t *mirror, int64_t after);

/* Encode the changes after a revision as JSON, or all items if they are
   needed.  An unsettled host sends no items.  False when memory fails.  */
bool csp_encode_mirror (const csp_mirror_t *mirror, int64_t after,
                        const csp_mirror_status_t *status, csp_buffer_t *text);

/* Apply what another host encoded.  Returns false and applies nothing if the
   text can't be parsed or its sender isn't settled.  *as_of is the revision up
   to which the sender knows all changes.  */
bool csp_decode_mirror (csp_mirror_t *mirror, const char *text,
                        csp_mirror_status_t *status, int64_t *as_of);

/* Serves the mirror to other hosts by long polling: a request is answered at
   once if there are changes, else held for as long as it allows.

   Load pattern: a data centre of fifty hosts or more follows its first host
   while hundreds of targets start and stop each second.  Sending each change
   fifty times takes 2.1 MB/s of a link that carries 2.5 MB/s, and callers
   wait.  So a host serves only as many followers as its link can carry and
   redirects other hosts to those followers, which forms a tree below the first
   host.  The first hosts of other data centres, which are few, are always
   served.  */
typedef struct csp_mirror_server csp_mirror_server_t;

/* NULL if the port can't be bound or memory fails.  link_bytes_per_s is the
   bandwidth of this host's link.  */
csp_mirror_server_t *csp_open_mirror_server (uv_loop_t *loop,
                                             const struct sockaddr_in *address,
                                             uint64_t link_bytes_per_s,
                                             const csp_mirror_t *mirror);
void csp_close_mirror_server (csp_mirror_server_t *server);

/* Decode a redirect: the hosts that another host names to follow instead of
   itself.  Returns their number, 0 if the text is no redirect.  */
size_t csp_decode_redirect (const char *text, csp_peer_address_t *hosts,
                            size_t max_hosts);

/* Set the state that is sent with the mirror from now on; current_at_ms is the
   loop's time at which the items were last confirmed to be current.  Answers
   held requests if there are changes or the items were confirmed again.  */
void csp_update_mirror_server (csp_mirror_server_t *server, bool settled,
                               bool lapsing, uint64_t current_at_ms);

/* Whether a host reads the store itself or follows another host's mirror.

   Load pattern: each call to the store has a price, and each host that watches
   it makes one for each change and each second.  When the store refuses some
   hosts, or a followed host dies, hundreds retry at once: 295 hosts made
   14,000 calls on days with such faults, 2,900 on a quiet one.  So one host
   reads the store for the fleet, the first host of each other data centre
   follows it, and the other hosts follow the first host of their data centre:
   two hops of a millisecond each, and one copy of each change between two data
   centres.

   Failure: a followed host dies, is cut off, is refused by the store, or
   follows its own follower; its followers would keep sending to targets that
   leave.  So each answer carries the age of its items, and when the followed
   host fails, the next one in a rank order that all hosts share is followed at
   once.  If no host has current items, the first host of a data centre reads
   the store itself within a second; the others follow at random times, each
   the less often the more hosts there are, so that all of them make no more
   calls than a few readers.

   Load pattern: all hosts restart at once, and the list has thousands of items
   of some hundred bytes.  If each host read it, the store's link would be full
   for ten seconds.  So a host that has just started reads the first page,
   which has the configuration, and the rest only if it ranks first or if no
   host has provided the items after a while.  */
typedef enum
{
  CSP_MIRROR_FLEET_READER,
  CSP_MIRROR_DATA_CENTRE_READER, /* first of its data centre; follows the
                                    fleet's reader */
  CSP_MIRROR_FOLLOWER,           /* follows the first of its data centre */
  CSP_MIRROR_ROLE_COUNT
} csp_mirror_role_t;

/* Hosts that recently failed as upstream and aren't followed for now.  */
enum
{
  CSP_UPSTREAMS_FAILED_MAX = 8
};

typedef struct
{
  size_t count;
  csp_peer_address_t hosts[CSP_UPSTREAMS_FAILED_MAX];
} csp_failed_upstreams_t;

/* Choose this host's role and the host that it follows; *upstream has port 0
   if it follows none or any host will do.  */
csp_mirror_role_t csp_choose_upstream (const csp_reader_ranks_t *ranks,
                                       const csp_failed_upstreams_t *failed,
                                       csp_peer_address_t *upstream);

typedef struct
{
  csp_mirror_role_t role;
  bool confirmed;    /* the items were current at least once since the start */
  bool reads_store;  /* now, and not just for the start */
  uint64_t up_ms;    /* since the start */
  uint64_t stale_ms; /* since the known items were current */
  uint64_t host_stale_ms; /* since a followed host's items were current */
  size_t live_hosts;      /* this one included */
  bool store_outage;   /* the store refuses several hosts, not just this one */
  double random_share; /* of this host, 0 to 1; spreads the hosts' calls */
} csp_mirror_facts_t;

typedef struct
{
  bool read_store;
  bool follow_host;
  bool hold_list; /* don't read further pages of the store's list yet */
  uint32_t store_max_backoff_ms; /* between calls that fail */
  uint32_t store_watch_gap_ms;   /* between watches that are answered */
} csp_mirror_choice_t;

csp_mirror_choice_t csp_choose_mirror_source (const csp_mirror_facts_t *facts);

/* Fills the mirror from the store or from another host, as chosen above, and
   serves it to other hosts.  */
typedef struct csp_mirror_feed csp_mirror_feed_t;

/* All that these settings point to must outlive the feed.  */
typedef struct
{
  struct sockaddr_in serve_address; /* port 0: the mirror isn't served */
  uint64_t link_bytes_per_s;
  struct sockaddr_in store_address;
  /* The store's protocol; its process_answer puts items into the mirror.  */
  const csp_follow_source_t *store_source;
  void *store_state;
  /* The live hosts, and the rank order of those that may read the store.  */
  size_t (*list_hosts) (void *state, csp_peer_address_t *addresses,
                        size_t max_hosts);
  void (*rank_readers) (void *state, csp_reader_ranks_t *ranks);
  /* Called whenever the store has confirmed that the items are current, to
     this host or through another one, with or without changes; age_ms: how
     long ago the store did.  May be NULL.  */
  void (*confirmed_current) (void *state, uint32_t age_ms);
  /* Called when this host begins to get answers from the store, and when it
     no longer does.  May be NULL.  */
  void (*store_read_changed) (void *state, bool reads_store);
  void *hosts_state;
} csp_mirror_feed_settings_t;

csp_mirror_feed_t *
csp_open_mirror_feed (uv_loop_t *loop,
                      const csp_mirror_feed_settings_t *settings,
                      csp_mirror_t *mirror, csp_log_t *log);
void csp_close_mirror_feed (csp_mirror_feed_t *feed);

/* To be called by the store's process_answer after it has put an answer's
   items. current: the answer was up to date, which a stale list isn't.  */
void csp_note_store_answer (csp_mirror_feed_t *feed, bool current);

/* To be called by the store's reach_changed.  */
void csp_set_store_unreachable (csp_mirror_feed_t *feed, bool unreachable);

#endif
