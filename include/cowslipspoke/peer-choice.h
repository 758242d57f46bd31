#ifndef COWSLIPSPOKE_PEER_CHOICE_H
#define COWSLIPSPOKE_PEER_CHOICE_H

#include "cowslipspoke/handoff.h"
#include "cowslipspoke/names.h"
#include "cowslipspoke/random.h"

/* Which peers are asked for a slot when this host's own targets are full.

   Load pattern: one host gets more than its own targets take, or owns none,
   while others have room.  Headroom is gossiped and a second old, so if every
   host asked the peer with the most, all would ask the same one; it would
   refuse all but a few, and one would notice refusals beside idle engines.
   So peers are drawn at random in proportion to their headroom, without
   repeats: those of the own data centre first, as a hand-off across costs a
   round trip of milliseconds and a link that may be cut in mid-answer.  */

enum
{
  /* Of CSP_HANDOFF_MAX_PEERS asked at most, this many are near.  With two
     near ones drawn by headroom a third rarely knows better; the other two
     are for when the data centre is full.  */
  CSP_NEAR_PEERS = 2
};

/* A peer that may have room.  */
typedef struct
{
  char name[CSP_HOST_NAME_BYTES];
  int64_t headroom_tokens;
  bool same_data_centre;
} csp_peer_offer_t;

/* Choose among offers.  Writes indices of at most CSP_HANDOFF_MAX_PEERS
   offers in the order in which they are to be asked, and returns how many.
   Offers below need_tokens are left out.  */
size_t csp_choose_peers (const csp_peer_offer_t *offers, size_t count,
                         uint32_t need_tokens, csp_random_t *random,
                         size_t chosen[CSP_HANDOFF_MAX_PEERS]);

#endif
