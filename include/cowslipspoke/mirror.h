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

/* What a host has read of the platform's store, kept as it was read, so that
   hosts which the store turns away, or which start while it can't be reached,
   read it from another host.

   Failure: the store refuses a third of the hosts for ten seconds.  Targets
   leave meanwhile, and each of those hosts goes on sending there and loses
   the streams that run there; later it has no target left.  One notices
   streams that end with their target on some hosts only.

   Each item carries the store's own revision, so that it doesn't matter from
   whom it comes: a newer one replaces an older one, never the other way.  */

enum
{
  CSP_MIRROR_KEY_BYTES = 201,
  /* Removed items that are remembered, so that followers hear of them.  */
  CSP_MIRROR_REMOVED_MAX = 1024
};

typedef struct
{
  char key[CSP_MIRROR_KEY_BYTES];
  char *value; /* NULL where the item was removed */
  int64_t revision;
} csp_mirror_item_t;

typedef struct csp_mirror csp_mirror_t;

/* Told of each item that changed, and of the end of a whole listing.  */
typedef struct
{
  void (*changed) (void *state, const csp_mirror_item_t *item);
  void (*listing_ended) (void *state, const char *prefix);
  /* Told before what another host says is put where removals may be due to the
     store's absence; NULL: nobody is.  */
  void (*lapsing) (void *state);
} csp_mirror_events_t;

/* What a host says of its mirror beside what is in it.  */
typedef struct
{
  bool settled; /* it has read the store, or a host that has */
  bool lapsing; /* the store is away, or was until a moment ago, so that rows
                   of its own may be missing */
  uint32_t age_ms; /* since the store said that this is current, by whatever
                      way it came */
} csp_mirror_word_t;

csp_mirror_t *csp_create_mirror (const csp_mirror_events_t *events,
                                 void *state);
void csp_destroy_mirror (csp_mirror_t *mirror);

/* An item as of a revision; a value of NULL removes it.  True where it was
   newer than what is known.  */
bool csp_put_mirror_item (csp_mirror_t *mirror, const char *key,
                          const char *value, int64_t revision);

/* A whole listing of a prefix, as of a revision, is put between the two; what
   it doesn't hold was removed up to then.  */
void csp_begin_mirror_listing (csp_mirror_t *mirror, const char *prefix);
void csp_end_mirror_listing (csp_mirror_t *mirror, const char *prefix,
                             int64_t as_of);

/* All that happened up to a revision is known.  */
void csp_note_mirror_revision (csp_mirror_t *mirror, int64_t revision);
int64_t csp_mirror_revision (const csp_mirror_t *mirror);

/* Encode what changed behind a revision as JSON, or everything where after is
   0 or too old.  False when memory fails.  */
bool csp_encode_mirror (const csp_mirror_t *mirror, int64_t after,
                        const csp_mirror_word_t *word, csp_buffer_t *text);

/* Put what another host encoded.  False where it can't be read or isn't
   settled; nothing is then put.  *as_of is the revision it is current to.  */
bool csp_decode_mirror (csp_mirror_t *mirror, const char *text,
                        csp_mirror_word_t *word, int64_t *as_of);

/* Serves the mirror to other hosts.  A host that asks is answered at once
   where there is news, else held for as long as it allows.

   Load pattern: a data centre of fifty hosts and more, all of which follow its
   first one, and targets that come and go by the hundred a second: that one
   sends each change fifty times, 2.1 MB a second where a link carries 2.5, and
   callers behind it wait.  So a host serves what its link can bear, and names
   those to others that ask: a tree grows by itself, whose root the order of
   readers gives.  The first hosts of other data centres are always served, as
   they are few.  */
typedef struct csp_mirror_server csp_mirror_server_t;

/* NULL where the port can't be had.  link_bytes_per_s: of this host.  */
csp_mirror_server_t *csp_open_mirror_server (uv_loop_t *loop,
                                             const struct sockaddr_in *address,
                                             uint64_t link_bytes_per_s,
                                             const csp_mirror_t *mirror);
void csp_close_mirror_server (csp_mirror_server_t *server);

/* The hosts that another one names in the place of its mirror; 0 where it is a
   mirror.  */
size_t csp_read_elsewhere (const char *text, csp_peer_address_t *hosts,
                           size_t room);

/* What is said of the mirror from now on; fed_ms: the loop's time at which the
   store last said that it is current.  Who waits is told where there is news,
   or the mirror is confirmed anew.  */
void csp_tell_mirror_server (csp_mirror_server_t *server, bool settled,
                             bool lapsing, uint64_t fed_ms);

/* Where a host reads from.

   Load pattern: each of hundreds of hosts that watches the store is a priced
   call for each change and each second, and when the store turns some away, or
   a host that others follow dies, hundreds ask at once, again and again: on
   days with such trouble 295 hosts made 14,000 calls where 2,900 were made on
   a quiet one.  So one host reads the store for all.  The first host of each
   other data centre follows its mirror, and the hosts of a data centre follow
   their first one: two steps, a millisecond each, and one copy of each change
   between two data centres.

   Failure: a host that is followed dies, is cut off, is turned away by the
   store, or follows one that follows it.  A host would go on sending to
   targets that leave, and their streams end with them.  So each word says how
   old it is, whatever way it came.  Where the host that is followed fails, the
   next one is followed at once, by an order that all know, and the next one in
   that order takes its place.  Where no host has current word the first host
   of a data centre reads the store by itself, within a second; behind that the
   others, one after another by lot, each the more rarely the more they are, so
   that all of them together make no more calls than a few readers.  */
typedef enum
{
  CSP_MIRROR_READS_FOR_ALL,
  CSP_MIRROR_READS_FOR_NEAR, /* first of its data centre; follows the reader */
  CSP_MIRROR_FOLLOWS,        /* follows the first of its data centre */
  CSP_MIRROR_ROLE_COUNT
} csp_mirror_role_t;

/* Hosts that could not be followed a moment ago.  */
enum
{
  CSP_UPSTREAMS_FAILED_MAX = 8
};

typedef struct
{
  size_t count;
  csp_peer_address_t hosts[CSP_UPSTREAMS_FAILED_MAX];
} csp_failed_upstreams_t;

/* What this host does for others, and whom it follows; *upstream has port 0
   where nobody in particular.  */
csp_mirror_role_t csp_choose_upstream (const csp_reader_ranks_t *ranks,
                                       const csp_failed_upstreams_t *failed,
                                       csp_peer_address_t *upstream);

typedef struct
{
  csp_mirror_role_t role;
  bool confirmed;         /* what was read since the start was current once */
  bool reads_store;       /* now */
  uint64_t up_ms;         /* since the start */
  uint64_t unfed_ms;      /* since what is known was current */
  uint64_t host_unfed_ms; /* since a host said so */
  size_t hosts;           /* live ones, this one counted in */
  bool outage; /* several hosts are turned away, so it isn't this host */
  double lot;  /* of this host, from 0 to 1 */
} csp_mirror_facts_t;

typedef struct
{
  bool store;
  bool host;
  uint32_t store_pause_ms; /* at most, between calls that fail */
  uint32_t store_gap_ms;   /* between watches that are answered */
} csp_mirror_choice_t;

csp_mirror_choice_t csp_choose_mirror_source (const csp_mirror_facts_t *facts);

/* Feeds the mirror from the store or from other hosts, as the choice says, and
   serves it.  */
typedef struct csp_mirror_feed csp_mirror_feed_t;

/* What a feed is given; all of it must outlive the feed.  */
typedef struct
{
  struct sockaddr_in serve; /* port 0: nothing is served */
  uint64_t link_bytes_per_s;
  struct sockaddr_in store;
  /* How to speak with the store; its take_answer puts into the mirror.  */
  const csp_follow_source_t *store_source;
  void *store_state;
  /* Live hosts, and the order of those that read.  */
  size_t (*list_hosts) (void *state, csp_peer_address_t *addresses,
                        size_t room);
  void (*rank_readers) (void *state, csp_reader_ranks_t *ranks);
  /* Told whenever the platform has been heard, itself or by a host, whether or
     not it had news; age_ms: how long ago the platform said it.  NULL: nobody
     is.  */
  void (*heard) (void *state, uint32_t age_ms);
  /* Told when this host begins to read the store and be answered, and when no
     more; NULL: nobody is.  */
  void (*sighted) (void *state, bool sighted);
  void *hosts_state;
} csp_mirror_feed_settings_t;

csp_mirror_feed_t *
csp_open_mirror_feed (uv_loop_t *loop,
                      const csp_mirror_feed_settings_t *settings,
                      csp_mirror_t *mirror, csp_log_t *log);
void csp_close_mirror_feed (csp_mirror_feed_t *feed);

/* Told by the store's take_answer when it has put what an answer held.
   current: it says what is so now, which a stale list doesn't.  */
void csp_note_mirror_fed (csp_mirror_feed_t *feed, bool current);

/* Told by the store's reach_changed.  */
void csp_note_store_reach (csp_mirror_feed_t *feed, bool away);

#endif
