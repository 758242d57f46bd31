#include "mirror/mirror-imp.h"

#include <math.h>

enum
{
  /* A host that has just started doesn't know the hosts that rank before it;
     it learns of them within half a second.  */
  FLEET_READER_MIN_UP_MS = 800,
  /* From this uptime on a host that takes itself for a reader reads the whole
     list; a few that don't know better yet do no harm.  */
  READER_LIST_MIN_UP_MS = 500,
  /* How long a host waits for current items before it reads the store itself.
     The store answers each 0.6 s without changes, a busy host is some tenths
     late, and notices come 1.5 to 2 s before engines leave.  Followers wait
     until the first hosts have tried and have reported whether the store
     refused them.  */
  DATA_CENTRE_READER_FALLBACK_MS = 1000,
  FOLLOWER_FALLBACK_MS = 1600,
  /* While the store refuses all hosts, further calls don't help: the first
     hosts of all data centres already retry and announce its return.  With a
     shorter wait 214 other hosts called in an outage of eight seconds.  */
  OUTAGE_FALLBACK_MS = 20000,
  /* Followers fall back to the store one after another, 200 a second.  In a
     large fleet more of them do at once, as the last one must have current
     items within the required 4 s.  */
  FOLLOWER_SPREAD_MS = 5,
  FOLLOWER_SPREAD_MAX_MS = 2000,
  /* Gap between the watches of a follower that reads the store, for each live
     host, so that all of them make at most 100 calls a second, or one each in
     2 s if that is more: a notice that a target leaves may take 4 s.  */
  FOLLOWER_GAP_PER_HOST_MS = 10,
  FOLLOWER_GAP_MAX_MS = 2000,
  /* A follower stops reading the store once items from hosts are this fresh.
   */
  HOST_DATA_FRESH_MS = 700,
  /* The backoff between failed calls grows up to these.  The fleet's reader
     notices the store's return within half a second and tells the others.  */
  FLEET_READER_MAX_BACKOFF_MS = 400,
  /* A watch returns what changed since the last one; with hundreds of targets
     that start and stop, the fleet's reader would make a call for each of 20
     changes a second.  This gap delays a notice by 20 ms on average and saves
     a fifth of the calls.  */
  FLEET_READER_GAP_MS = 40,
  DATA_CENTRE_READER_MAX_BACKOFF_MS = 800,
  FOLLOWER_MAX_BACKOFF_MS = 3000
};

bool
csp_is_failed_upstream (const csp_failed_upstreams_t *failed,
                        csp_peer_address_t host)
{
  size_t i;

  for (i = 0; i < failed->count; i++)
    if (csp_is_same_peer (failed->hosts[i], host))
      return true;
  return false;
}

csp_mirror_role_t
csp_choose_upstream (const csp_reader_ranks_t *ranks,
                     const csp_failed_upstreams_t *failed,
                     csp_peer_address_t *upstream)
{
  size_t i;

  *upstream = (csp_peer_address_t){ 0 };
  /* The first host of the fleet reads the store even if its data centre
     follows another host, one that the store refuses.  If each of the two
     followed the other, nobody would read the store.  */
  if (ranks->fleet_reader_count > 0
      && csp_is_same_peer (ranks->fleet_readers[0], ranks->self))
    return CSP_MIRROR_FLEET_READER;
  for (i = 0; i < ranks->local_reader_count
              && !csp_is_same_peer (ranks->local_readers[i], ranks->self);
       i++)
    if (!csp_is_failed_upstream (failed, ranks->local_readers[i]))
      {
        *upstream = ranks->local_readers[i];
        return CSP_MIRROR_FOLLOWER;
      }
  if (i == ranks->local_reader_count)
    return CSP_MIRROR_FOLLOWER;
  for (i = 0; i < ranks->fleet_reader_count; i++)
    {
      if (csp_is_same_peer (ranks->fleet_readers[i], ranks->self))
        return CSP_MIRROR_FLEET_READER;
      if (!csp_is_failed_upstream (failed, ranks->fleet_readers[i]))
        {
          *upstream = ranks->fleet_readers[i];
          return CSP_MIRROR_DATA_CENTRE_READER;
        }
    }
  return CSP_MIRROR_DATA_CENTRE_READER;
}

/* How long a host waits for current items from other hosts before it reads the
   store itself.  */
static uint64_t
store_fallback_ms (const csp_mirror_facts_t *facts)
{
  double spread_ms = fmin ((double)facts->live_hosts * FOLLOWER_SPREAD_MS,
                           FOLLOWER_SPREAD_MAX_MS);

  if (facts->role == CSP_MIRROR_DATA_CENTRE_READER)
    return DATA_CENTRE_READER_FALLBACK_MS;
  return (facts->store_outage ? OUTAGE_FALLBACK_MS : FOLLOWER_FALLBACK_MS)
         + (uint64_t)(facts->random_share * spread_ms);
}

/* The uptime from which on a host that has no current items yet reads more
   than the first page of the store's list.  */
static uint64_t
list_min_up_ms (const csp_mirror_facts_t *facts)
{
  return facts->role == CSP_MIRROR_FOLLOWER ? store_fallback_ms (facts)
                                            : READER_LIST_MIN_UP_MS;
}

static uint32_t
follower_gap_ms (const csp_mirror_facts_t *facts)
{
  size_t gap_ms = facts->live_hosts * FOLLOWER_GAP_PER_HOST_MS;

  return gap_ms < FOLLOWER_GAP_MAX_MS ? (uint32_t)gap_ms : FOLLOWER_GAP_MAX_MS;
}

csp_mirror_choice_t
csp_choose_mirror_source (const csp_mirror_facts_t *facts)
{
  static const uint32_t max_backoffs_ms[CSP_MIRROR_ROLE_COUNT]
      = { [CSP_MIRROR_FLEET_READER] = FLEET_READER_MAX_BACKOFF_MS,
          [CSP_MIRROR_DATA_CENTRE_READER] = DATA_CENTRE_READER_MAX_BACKOFF_MS,
          [CSP_MIRROR_FOLLOWER] = FOLLOWER_MAX_BACKOFF_MS };
  bool alone = facts->live_hosts <= 1;
  csp_mirror_choice_t choice
      = { .follow_host = true,
          .store_max_backoff_ms = max_backoffs_ms[facts->role] };

  if (!facts->confirmed)
    {
      choice.read_store = true;
      choice.hold_list = facts->up_ms < list_min_up_ms (facts);
      return choice;
    }
  if (facts->role == CSP_MIRROR_FLEET_READER)
    {
      choice.read_store = alone || facts->up_ms >= FLEET_READER_MIN_UP_MS;
      choice.follow_host = !choice.read_store;
      choice.store_watch_gap_ms = FLEET_READER_GAP_MS;
      return choice;
    }
  if (facts->role == CSP_MIRROR_FOLLOWER)
    choice.store_watch_gap_ms = follower_gap_ms (facts);
  choice.read_store = facts->reads_store
                          ? facts->host_stale_ms >= HOST_DATA_FRESH_MS
                          : facts->stale_ms >= store_fallback_ms (facts);
  return choice;
}
