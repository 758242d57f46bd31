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
} csp_mirror_events_t;

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
   0 or too old; settled: the store has been reachable for long enough that
   removals can be believed.  False when memory fails.  */
bool csp_encode_mirror (const csp_mirror_t *mirror, int64_t after,
                        bool settled, csp_buffer_t *text);

/* Put what another host encoded.  False where it can't be read or isn't
   settled; nothing is then put.  *as_of is the revision it is current to.  */
bool csp_decode_mirror (csp_mirror_t *mirror, const char *text,
                        int64_t *as_of);

/* Serves the mirror to other hosts.  A host that asks is answered at once
   where there is news, else held for as long as it allows.  */
typedef struct csp_mirror_server csp_mirror_server_t;

/* NULL where the port can't be had.  */
csp_mirror_server_t *csp_open_mirror_server (uv_loop_t *loop,
                                             const struct sockaddr_in *address,
                                             const csp_mirror_t *mirror);
void csp_close_mirror_server (csp_mirror_server_t *server);

/* Whether what is served may be believed; who waits is told when it may
   not.  */
void csp_settle_mirror_server (csp_mirror_server_t *server, bool settled);

/* The mirror has changed: who waits is told.  */
void csp_tell_mirror_server (csp_mirror_server_t *server);

/* Where a host reads from.

   Load pattern: each of hundreds of hosts that watches the store is a priced
   call for each change and each second.  So one host of a data centre reads
   the store and the others follow its mirror, which costs a millisecond.
   What goes wrong with that alone: the reader dies, is cut off or doubts what
   it knows, and a whole data centre goes on sending to targets that leave.
   So who follows hears from its reader several times a second, and at the
   first doubt reads the store by itself.  */
typedef enum
{
  CSP_SOURCE_STORE,
  CSP_SOURCE_READER,
  CSP_SOURCE_ANY_HOST /* beside the store, which is away */
} csp_mirror_source_t;

typedef struct
{
  bool known; /* anything has been read since the start */
  bool store_away;
  bool reader_is_other; /* another host reads for this data centre */
  bool reader_failed;   /* since then some time has to pass */
  int64_t reader_failed_ms_ago;
} csp_mirror_facts_t;

csp_mirror_source_t csp_choose_mirror_source (const csp_mirror_facts_t *facts);

/* Feeds the mirror from the store or from other hosts, as the choice says, and
   serves it.  */
typedef struct csp_mirror_feed csp_mirror_feed_t;

/* What a feed is given; all of it must outlive the feed.  */
typedef struct
{
  struct sockaddr_in serve; /* port 0: nothing is served */
  struct sockaddr_in store;
  /* How to speak with the store; its take_answer puts into the mirror.  */
  const csp_follow_source_t *store_source;
  void *store_state;
  /* Live hosts, and who reads for this data centre; false: this host.  */
  size_t (*list_hosts) (void *state, csp_peer_address_t *addresses,
                        size_t room);
  bool (*find_reader) (void *state, csp_peer_address_t *reader);
  /* Told whenever the platform has been heard, itself or by a host that may be
     believed, whether or not it had news; NULL: nobody is.  */
  void (*heard) (void *state);
  void *hosts_state;
} csp_mirror_feed_settings_t;

csp_mirror_feed_t *
csp_open_mirror_feed (uv_loop_t *loop,
                      const csp_mirror_feed_settings_t *settings,
                      csp_mirror_t *mirror, csp_log_t *log);
void csp_close_mirror_feed (csp_mirror_feed_t *feed);

/* Told by the store's take_answer when it has put what an answer held.  */
void csp_note_mirror_fed (csp_mirror_feed_t *feed);

/* Told by the store's reach_changed and doubted.  */
void csp_note_store_reach (csp_mirror_feed_t *feed, bool away);
void csp_note_store_doubt (csp_mirror_feed_t *feed);

#endif
