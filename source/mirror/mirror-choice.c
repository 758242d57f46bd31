#include "mirror/mirror-imp.h"

enum
{
  /* A host that has just started doesn't know yet who is first; those that are
     are heard of within half a second.  */
  ROLE_AFTER_MS = 800,
  /* The store is heard each 0.6 s without news, and a busy host is some tenths
     late.  Notices come 1.5 to 2 s before engines go.  The others wait until
     the first ones have asked, and have told whether the store turned them
     away.  */
  NEAR_PATIENCE_MS = 1000,
  FOLLOWER_PATIENCE_MS = 1600,
  /* Where the store turns everybody away asking it helps nobody: the first
     hosts of all data centres ask already, and tell of its return.  214 others
     asked in an absence of eight seconds.  */
  OUTAGE_PATIENCE_MS = 20000,
  /* One host after another asks the store, at most 200 a second, so that the
     last of 300 does 3.1 s behind its last current word; the users allow 4. */
  FOLLOWER_SPREAD_MS = 5,
  /* And each of them at most so often, so that all together make no more than
     100 calls a second; at most 2 s, as the users allow some 4 s for a notice
     that a target leaves.  */
  FOLLOWER_GAP_EACH_MS = 10,
  FOLLOWER_GAP_MAX_MS = 2000,
  /* Word of hosts has to be that current until the store is let go again.  */
  FED_AGAIN_MS = 700,
  /* Pauses between calls that fail grow up to these.  The one that reads for
     all sees the store's return within half a second, and tells the others. */
  READER_PAUSE_MS = 400,
  /* Each call of the one that reads for all brings what changed since the
     last; with hundreds of targets that come and go that is a call for each of
     20 changes a second.  This much between two calls costs a notice 20 ms in
     the mean, and saves a fifth of the calls.  */
  READER_GAP_MS = 40,
  NEAR_PAUSE_MS = 800,
  FOLLOWER_PAUSE_MS = 3000
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
  /* The first of all reads also where its data centre follows another one,
     which the store turns away.  Were it to follow that one, which follows it,
     nobody would read.  */
  if (ranks->fleet_count > 0
      && csp_is_same_peer (ranks->fleet[0], ranks->self))
    return CSP_MIRROR_READS_FOR_ALL;
  for (i = 0; i < ranks->near_count
              && !csp_is_same_peer (ranks->near[i], ranks->self);
       i++)
    if (!csp_is_failed_upstream (failed, ranks->near[i]))
      {
        *upstream = ranks->near[i];
        return CSP_MIRROR_FOLLOWS;
      }
  if (i == ranks->near_count)
    return CSP_MIRROR_FOLLOWS;
  for (i = 0; i < ranks->fleet_count; i++)
    {
      if (csp_is_same_peer (ranks->fleet[i], ranks->self))
        return CSP_MIRROR_READS_FOR_ALL;
      if (!csp_is_failed_upstream (failed, ranks->fleet[i]))
        {
          *upstream = ranks->fleet[i];
          return CSP_MIRROR_READS_FOR_NEAR;
        }
    }
  return CSP_MIRROR_READS_FOR_NEAR;
}

/* How long a host waits for others' word before it asks the store itself.  */
static uint64_t
patience_ms (const csp_mirror_facts_t *facts)
{
  double spread_ms = facts->lot * (double)facts->hosts * FOLLOWER_SPREAD_MS;

  if (facts->role == CSP_MIRROR_READS_FOR_NEAR)
    return NEAR_PATIENCE_MS;
  return (facts->outage ? OUTAGE_PATIENCE_MS : FOLLOWER_PATIENCE_MS)
         + (uint64_t)spread_ms;
}

static uint32_t
follower_gap_ms (const csp_mirror_facts_t *facts)
{
  size_t gap_ms = facts->hosts * FOLLOWER_GAP_EACH_MS;

  return gap_ms < FOLLOWER_GAP_MAX_MS ? (uint32_t)gap_ms : FOLLOWER_GAP_MAX_MS;
}

csp_mirror_choice_t
csp_choose_mirror_source (const csp_mirror_facts_t *facts)
{
  static const uint32_t pauses_ms[CSP_MIRROR_ROLE_COUNT]
      = { [CSP_MIRROR_READS_FOR_ALL] = READER_PAUSE_MS,
          [CSP_MIRROR_READS_FOR_NEAR] = NEAR_PAUSE_MS,
          [CSP_MIRROR_FOLLOWS] = FOLLOWER_PAUSE_MS };
  bool alone = facts->hosts <= 1;
  csp_mirror_choice_t choice
      = { .host = true, .store_pause_ms = pauses_ms[facts->role] };

  if (!facts->confirmed)
    {
      choice.store = true;
      return choice;
    }
  if (facts->role == CSP_MIRROR_READS_FOR_ALL)
    {
      choice.store = alone || facts->up_ms >= ROLE_AFTER_MS;
      choice.host = !choice.store;
      choice.store_gap_ms = READER_GAP_MS;
      return choice;
    }
  if (facts->role == CSP_MIRROR_FOLLOWS)
    choice.store_gap_ms = follower_gap_ms (facts);
  choice.store = facts->reads_store ? facts->host_unfed_ms >= FED_AGAIN_MS
                                    : facts->unfed_ms >= patience_ms (facts);
  return choice;
}
