#ifndef COWSLIPSPOKE_PEER_CHOICE_H
#define COWSLIPSPOKE_PEER_CHOICE_H

#include "cowslipspoke/handoff.h"
#include "cowslipspoke/names.h"
#include "cowslipspoke/random.h"

/* Chooses the peers that are asked for a slot when this host's own targets are
   full.

   Load pattern: one host receives more than its own targets can take, or owns
   none, while other hosts have free capacity.  Headroom is gossiped and about
   a second old, so if every host asked the peer with the most, all would ask
   the same one and most would be refused while other engines are idle.  So
   peers are sampled without replacement, weighted by headroom.  Peers of the
   own data centre come first, since a hand-off to another one costs a round
   trip of milliseconds and depends on a link that may fail during the
   answer.  */

enum
{
  /* At most this many of the CSP_HANDOFF_MAX_PEERS peers are in the own data
     centre.  If two of them refuse, a third rarely has free capacity; the
     remaining peers are for when the data centre is full.  */
  CSP_LOCAL_PEERS_MAX = 2
};

/* A peer that may have free capacity.  */
typedef struct
{
  char name[CSP_HOST_NAME_BYTES];
  int64_t headroom_tokens;
  bool same_data_centre;
} csp_peer_candidate_t;

/* Writes the indices of at most CSP_HANDOFF_MAX_PEERS candidates in the order
   in which they are to be asked, and returns how many.  Candidates with less
   headroom than need_tokens are skipped.  */
size_t csp_choose_peers (const csp_peer_candidate_t *candidates, size_t count,
                         uint32_t need_tokens, csp_random_t *random,
                         size_t chosen[CSP_HANDOFF_MAX_PEERS]);

#endif
