#include "roster/roster-imp.h"

#include <string.h>

/* Which hosts do something for the others: decide about places, and read the
   platform.  Each host works the order out by itself from what it has heard.

   Load pattern: all asks and all changes of load come to the host that
   decides, and most hosts of a fleet may be small ones; 160 asks a second and
   what belongs to them are a quarter of what a link of 20 Mbit/s and an eighth
   of a core can do, and it is the host's callers that notice.  So the order is
   by capacity first.

   Failure: the first in the order ends and is back at once.  Taken for the one
   that decides before it has been told what runs where, it fills engines that
   are full, whose runs are thrown out.  So a host that started lately comes
   behind those that did not.  Where all have started lately nobody waits.  */

enum
{
  /* The salts of the two orders; they differ so that not the same host does
     both.  */
  DECIDING_SALT = 0,
  READING_SALT = 0x2545f491,
  /* All hosts tell their loads each second; one datagram may be lost.  */
  SETTLED_AFTER_MS = 2500,
  /* Hosts that started that close to each other know equally much.  All hosts
     of a deployment start within 0.3 s, and some take longer until they are
     heard.  */
  SAME_START_MS = 1000,
  /* A host that said nothing is asked again behind that: one that was paused
     is back by then, and in a cut it costs one ask 0.17 s.  */
  AVOID_MS = 2000,
  /* Two hosts in a row that say nothing are behind a cut, and so are probably
     all but those of the own data centre.  */
  CUT_AVOIDED = 2
};

bool
csp_get_candidate (const csp_roster_t *roster, size_t index,
                   csp_candidate_t *candidate)
{
  const csp_roster_peer_t *peer;

  if (index == 0)
    {
      *candidate
          = (csp_candidate_t){ .address = roster->self,
                               .data_centre = roster->data_centre,
                               .capacity = roster->capacity,
                               .up_ms = roster->now_ms - roster->started_ms,
                               .blind = roster->blind,
                               .sighted = roster->sighted };
      return !roster->leaving;
    }
  peer = &roster->peers[index - 1];
  *candidate
      = (csp_candidate_t){ .address = peer->address,
                           .data_centre = peer->data_centre,
                           .capacity = peer->capacity,
                           .up_ms = roster->now_ms - peer->started_ms,
                           .blind = peer->blind,
                           .sighted = peer->sighted,
                           .avoided = roster->now_ms < peer->avoid_until_ms };
  return peer->current && !peer->leaving;
}

/* How long a host must have been up to be as good as any.  */
static int64_t
settled_up_ms (const csp_roster_t *roster)
{
  int64_t most_ms = 0;
  csp_candidate_t candidate;
  size_t i;

  for (i = 0; i <= roster->count; i++)
    if (csp_get_candidate (roster, i, &candidate) && candidate.up_ms > most_ms)
      most_ms = candidate.up_ms;
  most_ms -= SAME_START_MS;
  return most_ms < SETTLED_AFTER_MS ? most_ms : SETTLED_AFTER_MS;
}

/* Hosts of about the same capacity are equal: which of them decides says
   nothing about them, and small differences aren't worth a change.  */
static uint32_t
capacity_class (uint32_t capacity)
{
  uint32_t doublings = 0;

  while (capacity > 1)
    {
      capacity /= 2;
      doublings++;
    }
  return doublings;
}

static uint64_t
order_of (const csp_candidate_t *candidate, csp_duty_t duty)
{
  return csp_order_peer (candidate->address, duty == CSP_DUTY_DECIDE
                                                 ? DECIDING_SALT
                                                 : READING_SALT);
}

static bool
ranks_before (const csp_candidate_t *a, const csp_candidate_t *b,
              csp_duty_t duty, int64_t settled_ms)
{
  bool a_settled = a->up_ms >= settled_ms;
  bool b_settled = b->up_ms >= settled_ms;
  uint32_t a_class = capacity_class (a->capacity);
  uint32_t b_class = capacity_class (b->capacity);

  /* One that reads now goes on: where the store turns a third of the hosts
     away, the next in the order may be one of those, and so may the next.  A
     reader that the store turns away would be named again and again by those
     who follow it.  Where all are blind one of them still watches for the
     return.  */
  if (duty == CSP_DUTY_READ && a->sighted != b->sighted)
    return a->sighted;
  if (duty == CSP_DUTY_READ && a->blind != b->blind)
    return b->blind;
  if (a_settled != b_settled)
    return a_settled;
  if (a_class != b_class)
    return a_class > b_class;
  return order_of (a, duty) < order_of (b, duty);
}

/* Put a candidate where it belongs; what falls out at the end is dropped.  */
static size_t
insert_ranked (csp_candidate_t *ranked, size_t count, size_t room,
               const csp_candidate_t *candidate, csp_duty_t duty,
               int64_t settled_ms)
{
  size_t at = count;

  while (at > 0 && ranks_before (candidate, &ranked[at - 1], duty, settled_ms))
    at--;
  if (at == room)
    return count;
  if (count < room)
    count++;
  memmove (&ranked[at + 1], &ranked[at], (count - at - 1) * sizeof *ranked);
  ranked[at] = *candidate;
  return count;
}

size_t
csp_rank_hosts (const csp_roster_t *roster, csp_duty_t duty, bool near,
                csp_candidate_t *ranked, size_t room)
{
  int64_t settled_ms = settled_up_ms (roster);
  csp_candidate_t candidate;
  size_t count = 0;
  size_t i;

  for (i = 0; i <= roster->count; i++)
    if (csp_get_candidate (roster, i, &candidate)
        && !(near && candidate.data_centre != roster->data_centre)
        && !(duty == CSP_DUTY_DECIDE && candidate.avoided))
      count
          = insert_ranked (ranked, count, room, &candidate, duty, settled_ms);
  return count;
}

static size_t
count_avoided (const csp_roster_t *roster)
{
  csp_candidate_t candidate;
  size_t avoided = 0;
  size_t i;

  for (i = 1; i <= roster->count; i++)
    avoided += csp_get_candidate (roster, i, &candidate) && candidate.avoided;
  return avoided;
}

csp_peer_address_t
csp_pick_decider (const csp_roster_t *roster)
{
  bool cut = count_avoided (roster) >= CUT_AVOIDED;
  csp_candidate_t best;

  if (csp_rank_hosts (roster, CSP_DUTY_DECIDE, cut, &best, 1) == 0)
    return roster->self;
  return best.address;
}

void
csp_avoid_decider (csp_roster_t *roster, csp_peer_address_t host,
                   int64_t now_ms)
{
  size_t i;

  roster->now_ms = now_ms;
  for (i = 0; i < roster->count; i++)
    if (csp_is_same_peer (roster->peers[i].address, host))
      roster->peers[i].avoid_until_ms = now_ms + AVOID_MS;
}

static size_t
add_decider (const csp_roster_t *roster, csp_peer_address_t hosts[],
             size_t count, csp_peer_address_t host)
{
  size_t i;

  if (csp_is_same_peer (host, roster->self))
    return count;
  for (i = 0; i < count; i++)
    if (csp_is_same_peer (hosts[i], host))
      return count;
  hosts[count] = host;
  return count + 1;
}

/* The order as it would be if nobody were avoided or had just started: who
   will decide in a moment has to be told now.  */
size_t
csp_list_deciders (const csp_roster_t *roster,
                   csp_peer_address_t hosts[CSP_DECIDERS_MAX])
{
  csp_candidate_t ranked[2];
  size_t count = add_decider (roster, hosts, 0, csp_pick_decider (roster));
  size_t ranked_count
      = csp_rank_hosts (roster, CSP_DUTY_DECIDE, false, ranked, 2);
  size_t i;

  for (i = 0; i < ranked_count && count + 1 < CSP_DECIDERS_MAX; i++)
    count = add_decider (roster, hosts, count, ranked[i].address);
  if (csp_rank_hosts (roster, CSP_DUTY_DECIDE, true, ranked, 1) == 1)
    count = add_decider (roster, hosts, count, ranked[0].address);
  return count;
}

static void
judge_outage (const csp_roster_t *roster, csp_reader_ranks_t *ranks)
{
  csp_candidate_t candidate;
  bool sighted = false;
  size_t i;

  for (i = 0; i <= roster->count; i++)
    {
      if (!csp_get_candidate (roster, i, &candidate))
        continue;
      ranks->blind_hosts += candidate.blind;
      sighted = sighted || candidate.sighted;
    }
  ranks->outage = !sighted && ranks->blind_hosts >= CSP_OUTAGE_HOSTS;
}

/* Where the store is away for all, the hosts that tried to read it are all
   blind.  Taken for worse than the others, each would hand its place to one
   that has not tried yet, and that one tries: 107 hosts in one absence of six
   seconds.

   The first host of a data centre may be blind all the same: it follows a host
   elsewhere that isn't.  Were it passed over, and the other large hosts there,
   the next would be one of dozens of small ones, about which hosts don't
   agree, as they don't hear of each every second; they would follow each other
   in vain, and send by a configuration of four seconds ago.  */
void
csp_rank_readers (const csp_roster_t *roster, csp_reader_ranks_t *ranks)
{
  csp_candidate_t ranked[CSP_RANKED_MAX];
  csp_duty_t duty = CSP_DUTY_READ;
  size_t i;

  memset (ranks, 0, sizeof *ranks);
  ranks->self = roster->self;
  judge_outage (roster, ranks);
  if (ranks->outage)
    duty = CSP_DUTY_RELAY;
  ranks->near_count = csp_rank_hosts (roster, CSP_DUTY_RELAY, true, ranked,
                                      CSP_READERS_NEAR_MAX);
  for (i = 0; i < ranks->near_count; i++)
    ranks->near[i] = ranked[i].address;
  ranks->fleet_count
      = csp_rank_hosts (roster, duty, false, ranked, CSP_READERS_FLEET_MAX);
  for (i = 0; i < ranks->fleet_count; i++)
    ranks->fleet[i] = ranked[i].address;
  ranks->hosts = 1 + csp_count_live_peers (roster);
}
