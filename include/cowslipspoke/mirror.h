#ifndef COWSLIPSPOKE_MIRROR_H
#define COWSLIPSPOKE_MIRROR_H

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

/* Serve the mirror to other hosts, and follow theirs while away is set.  */
typedef struct csp_mirror_exchange csp_mirror_exchange_t;

/* Where live hosts are; called on the loop's thread.  */
typedef size_t (*csp_list_hosts_t) (void *state, csp_peer_address_t *addresses,
                                    size_t room);

/* Port 0 in address: nothing is served.  NULL where the port can't be had. */
csp_mirror_exchange_t *
csp_open_mirror_exchange (uv_loop_t *loop, const struct sockaddr_in *address,
                          csp_mirror_t *mirror, csp_list_hosts_t list_hosts,
                          void *state, csp_log_t *log);
void csp_close_mirror_exchange (csp_mirror_exchange_t *exchange);

/* The store can't be reached, or is back.  */
void csp_set_mirror_away (csp_mirror_exchange_t *exchange, bool away);

/* The mirror has changed: followers that wait are told.  */
void csp_tell_mirror_followers (csp_mirror_exchange_t *exchange);

#endif
