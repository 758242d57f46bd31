#include "roster/roster-imp.h"

#include <string.h>

/* Assigns the duties that one host performs for the others: to decide on
   placements, and to read the platform.  Each host computes the order from
   what it knows.

   Load pattern: all asks and all changes of load go to the decider, and most
   hosts of a fleet may be small.  160 asks a second and their load reports
   take a quarter of a link of 20 Mbit/s and an eighth of a core, which the
   callers of that host notice.  So capacity comes first in the order.

   Failure: the first host in the order restarts at once.  If it decided before
   the others have reported their loads to it, it would assign requests to full
   engines, which then preempt runs.  So hosts that started lately come after
   the others.  If all have started lately there is no delay.  */

enum
{
  /* Salts of the two orders; they differ so that different hosts perform the
     two duties.  */
  DECIDING_SALT = 0,
  READING_SALT = 0x2545f491,
  /* All hosts report their loads each second; one datagram may be lost.  */
  SETTLED_AFTER_MS = 2500,
  /* Hosts that started within this time of each other count as equally old.
     All hosts of a deployment start within 0.3 s, and some take longer to
     become known.  */
  SAME_START_MS = 1000,
  /* How long a host that didn't answer isn't asked again: a paused host is
     back by then, and in a partition the next attempt costs one ask 0.17
     s.  */
  AVOID_MS = 2000,
  /* If this many consecutive hosts don't answer, a partition is assumed that
     has cut off all other data centres.  */
  PARTITION_AVOIDED = 2
};

bool
csp_get_rank_candidate (const csp_roster_t *roster, size_t index,
                        csp_rank_candidate_t *candidate)
{
  const csp_roster_peer_t *peer;

  if (index == 0)
    {
      *candidate = (csp_rank_candidate_t){
        .address = roster->self,
        .data_centre = roster->data_centre,
        .capacity = roster->capacity,
        .up_ms = roster->now_ms - roster->started_ms,
        .platform_unreachable = roster->platform_unreachable,
        .platform_read = roster->platform_read
      };
      return !roster->leaving;
    }
  peer = &roster->peers[index - 1];
  *candidate = (csp_rank_candidate_t){
    .address = peer->address,
    .data_centre = peer->data_centre,
    .capacity = peer->capacity,
    .up_ms = roster->now_ms - peer->started_ms,
    .platform_unreachable = peer->platform_unreachable,
    .platform_read = peer->platform_read,
    .avoided = roster->now_ms < peer->avoid_until_ms
  };
  return peer->current && !peer->leaving;
}

/* The uptime from which on a host ranks as well as any.  */
static int64_t
settled_up_ms (const csp_roster_t *roster)
{
  int64_t most_ms = 0;
  csp_rank_candidate_t candidate;
  size_t i;

  for (i = 0; i <= roster->count; i++)
    if (csp_get_rank_candidate (roster, i, &candidate)
        && candidate.up_ms > most_ms)
      most_ms = candidate.up_ms;
  most_ms -= SAME_START_MS;
  return most_ms < SETTLED_AFTER_MS ? most_ms : SETTLED_AFTER_MS;
}

/* Hosts whose capacity differs by less than a factor of two rank equally, as
   small differences aren't worth a change of the decider.  */
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
order_of (const csp_rank_candidate_t *candidate, csp_duty_t duty)
{
  return csp_hash_peer_rank (candidate->address, duty == CSP_DUTY_DECIDE
                                                     ? DECIDING_SALT
                                                     : READING_SALT);
}

static bool
ranks_before (const csp_rank_candidate_t *a, const csp_rank_candidate_t *b,
              csp_duty_t duty, int64_t settled_ms)
{
  bool a_settled = a->up_ms >= settled_ms;
  bool b_settled = b->up_ms >= settled_ms;
  uint32_t a_class = capacity_class (a->capacity);
  uint32_t b_class = capacity_class (b->capacity);

  /* A host that reads the store now stays the reader: if the store refuses a
     third of the hosts, the next hosts in the order may be refused too.
     Refused hosts come last, since the hosts that follow a refused reader get
     nothing from it.  If all are refused, one of them still polls until the
     store is back.  */
  if (duty == CSP_DUTY_READ && a->platform_read != b->platform_read)
    return a->platform_read;
  if (duty == CSP_DUTY_READ
      && a->platform_unreachable != b->platform_unreachable)
    return b->platform_unreachable;
  if (a_settled != b_settled)
    return a_settled;
  if (a_class != b_class)
    return a_class > b_class;
  return order_of (a, duty) < order_of (b, duty);
}

/* Inserts a candidate at its rank; the last one is dropped if the list is
   full.  */
static size_t
insert_ranked (csp_rank_candidate_t *ranked, size_t count, size_t max_count,
               const csp_rank_candidate_t *candidate, csp_duty_t duty,
               int64_t settled_ms)
{
  size_t position = count;

  while (position > 0
         && ranks_before (candidate, &ranked[position - 1], duty, settled_ms))
    position--;
  if (position == max_count)
    return count;
  if (count < max_count)
    count++;
  memmove (&ranked[position + 1], &ranked[position],
           (count - position - 1) * sizeof *ranked);
  ranked[position] = *candidate;
  return count;
}

size_t
csp_rank_hosts (const csp_roster_t *roster, csp_duty_t duty, bool local_only,
                csp_rank_candidate_t *ranked, size_t max_count)
{
  int64_t settled_ms = settled_up_ms (roster);
  csp_rank_candidate_t candidate;
  size_t count = 0;
  size_t i;

  for (i = 0; i <= roster->count; i++)
    if (csp_get_rank_candidate (roster, i, &candidate)
        && !(local_only && candidate.data_centre != roster->data_centre)
        && !(duty == CSP_DUTY_DECIDE && candidate.avoided))
      count = insert_ranked (ranked, count, max_count, &candidate, duty,
                             settled_ms);
  return count;
}

static size_t
count_avoided (const csp_roster_t *roster)
{
  csp_rank_candidate_t candidate;
  size_t avoided = 0;
  size_t i;

  for (i = 1; i <= roster->count; i++)
    avoided
        += csp_get_rank_candidate (roster, i, &candidate) && candidate.avoided;
  return avoided;
}

csp_peer_address_t
csp_pick_decider (const csp_roster_t *roster)
{
  bool partitioned = count_avoided (roster) >= PARTITION_AVOIDED;
  csp_rank_candidate_t best;

  if (csp_rank_hosts (roster, CSP_DUTY_DECIDE, partitioned, &best, 1) == 0)
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

/* Also lists the hosts that would decide if none were avoided or had just
   started, since they may become the decider in a moment and need the loads by
   then.  */
size_t
csp_list_deciders (const csp_roster_t *roster,
                   csp_peer_address_t hosts[CSP_DECIDERS_MAX])
{
  csp_rank_candidate_t ranked[2];
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
detect_outage (const csp_roster_t *roster, csp_reader_ranks_t *ranks)
{
  csp_rank_candidate_t candidate;
  bool any_host_reads = false;
  size_t i;

  for (i = 0; i <= roster->count; i++)
    {
      if (!csp_get_rank_candidate (roster, i, &candidate))
        continue;
      ranks->refused_hosts += candidate.platform_unreachable;
      any_host_reads = any_host_reads || candidate.platform_read;
    }
  ranks->outage = !any_host_reads && ranks->refused_hosts >= CSP_OUTAGE_HOSTS;
}

/* While the store is down for all, the hosts that tried to read it are
   refused.  If they ranked last, each would pass the duty to a host that
   hasn't tried yet, which then tries too: 107 hosts did in one outage of six
   seconds.

   The local ranks ignore refusals: the first host of a data centre may be
   refused and follow a reader elsewhere.  If refused large hosts were skipped,
   the next would be one of dozens of small ones, about which hosts disagree,
   as they don't get reports of each every second; they would follow each other
   without result, and use a configuration four seconds old.  */
void
csp_rank_readers (const csp_roster_t *roster, csp_reader_ranks_t *ranks)
{
  csp_rank_candidate_t ranked[CSP_RANKED_MAX];
  csp_duty_t duty = CSP_DUTY_READ;
  size_t i;

  memset (ranks, 0, sizeof *ranks);
  ranks->self = roster->self;
  detect_outage (roster, ranks);
  if (ranks->outage)
    duty = CSP_DUTY_RELAY;
  ranks->local_reader_count = csp_rank_hosts (roster, CSP_DUTY_RELAY, true,
                                              ranked, CSP_LOCAL_READERS_MAX);
  for (i = 0; i < ranks->local_reader_count; i++)
    ranks->local_readers[i] = ranked[i].address;
  ranks->fleet_reader_count
      = csp_rank_hosts (roster, duty, false, ranked, CSP_FLEET_READERS_MAX);
  for (i = 0; i < ranks->fleet_reader_count; i++)
    ranks->fleet_readers[i] = ranked[i].address;
  ranks->hosts = 1 + csp_count_live_peers (roster);
}
