#include "roster/roster-imp.h"

#include <string.h>

/* Chooses the hosts that get a hello, and the hosts that are named in it.

   The cost per host doesn't grow with the fleet: a hello in half a second to
   some host of each other data centre, two a second in its own, each answered,
   and a dozen hosts named in each.  What must be known everywhere soon is
   which hosts rank first; those are named in each hello, so that each host
   learns within about a second that they live.  */

enum
{
  /* A data centre counts as cut off after three and a half unanswered
     hellos.  */
  REMOTE_HELLO_MS = 500,
  /* Beyond ten data centres the interval grows, to send at most 20 hellos a
     second.  */
  REMOTE_HELLO_PER_DATA_CENTRE_MS = 50,
  LOCAL_HELLO_MS = 500,
  /* A host that has just started sends hellos more often for a while: until it
     knows which hosts rank first it can neither ask for placements nor follow
     a reader.  */
  STARTUP_HELLO_MS = 150,
  STARTUP_MS = 1500,
  /* Interval for addresses that never answered: seeds that are down.  */
  SEED_RETRY_MS = 2000,
  /* The planned deployment has 28 data centres.  */
  DATA_CENTRES_MAX = 64,
  /* Hosts named per duty: the current one and the next.  Some entries are left
     for random others; if hosts that rank first took all of them, small hosts
     would know nobody else, share the hellos to three hosts of a data centre
     with two hundred others, and consider it cut off whenever those three were
     busy.  */
  NAMED_PER_DUTY = 2,
  /* For the duty of reading, hosts that the store refuses are named as well,
     since the refusal must be known soon.  When they weren't, a reader that
     had been refused still ranked first for 3.3 s, other hosts followed it
     without result, and configurations reached 190 of 295 hosts three seconds
     late.  */
  NAMED_RELAYS = CSP_OUTAGE_HOSTS,
  /* Ranking passes over all hosts several times.  Behind a restart of a large
     fleet the seeds get thousands of hellos a second.  */
  NAMED_VALID_MS = 100
};

/* Lists the other known data centres; reachable: only those with a host that
   was reported lately.  */
static size_t
list_data_centres (const csp_roster_t *roster, bool reachable,
                   uint32_t data_centres[DATA_CENTRES_MAX])
{
  size_t count = 0;
  size_t i;
  size_t j;

  for (i = 0; i < roster->count && count < DATA_CENTRES_MAX; i++)
    {
      uint32_t data_centre = roster->peers[i].data_centre;

      if (roster->peers[i].last_report_ms == 0
          || data_centre == roster->data_centre
          || (reachable && !roster->peers[i].current))
        continue;
      for (j = 0; j < count && data_centres[j] != data_centre; j++)
        continue;
      if (j == count)
        data_centres[count++] = data_centre;
    }
  return count;
}

size_t
csp_count_reachable_data_centres (const csp_roster_t *roster)
{
  uint32_t data_centres[DATA_CENTRES_MAX];

  return 1 + list_data_centres (roster, true, data_centres);
}

size_t
csp_count_known_data_centres (const csp_roster_t *roster)
{
  uint32_t data_centres[DATA_CENTRES_MAX];

  return 1 + list_data_centres (roster, false, data_centres);
}

uint32_t
csp_remote_hello_period_ms (const csp_roster_t *roster)
{
  uint32_t data_centres[DATA_CENTRES_MAX];
  uint32_t period_ms
      = (uint32_t)list_data_centres (roster, false, data_centres)
        * REMOTE_HELLO_PER_DATA_CENTRE_MS;

  return period_ms > REMOTE_HELLO_MS ? period_ms : REMOTE_HELLO_MS;
}

/* Whether a is a better choice than b: live hosts come first, then those with
   fewer unanswered hellos.  */
static bool
is_better_hello_target (const csp_roster_peer_t *a, const csp_roster_peer_t *b)
{
  if (a->live != b->live)
    return a->live;
  return a->unanswered_hellos < b->unanswered_hellos;
}

/* Chooses a random one of the best hosts of a data centre.  If none is live,
   silent hosts get hellos, since nothing announces the end of a partition.  */
static csp_roster_peer_t *
choose_peer_of (csp_roster_t *roster, uint32_t data_centre)
{
  size_t first = csp_random_below (&roster->random, (uint32_t)roster->count);
  csp_roster_peer_t *best = NULL;
  size_t i;

  for (i = 0; i < roster->count; i++)
    {
      csp_roster_peer_t *peer = &roster->peers[(first + i) % roster->count];

      if (peer->last_report_ms != 0 && peer->data_centre == data_centre
          && (best == NULL || is_better_hello_target (peer, best)))
        best = peer;
    }
  return best;
}

static size_t
add_hello_target (csp_roster_peer_t *peer, int64_t now_ms,
                  csp_peer_address_t *addresses, size_t count,
                  size_t max_count)
{
  if (peer == NULL || count == max_count)
    return count;
  peer->hello_sent_ms = now_ms;
  peer->unanswered_hellos++;
  addresses[count] = peer->address;
  return count + 1;
}

static uint32_t
hello_interval_ms (const csp_roster_t *roster, int64_t now_ms,
                   uint32_t regular_ms)
{
  return now_ms - roster->started_ms < STARTUP_MS ? STARTUP_HELLO_MS
                                                  : regular_ms;
}

static size_t
add_remote_targets (csp_roster_t *roster, int64_t now_ms,
                    csp_peer_address_t *addresses, size_t count,
                    size_t max_count)
{
  uint32_t data_centres[DATA_CENTRES_MAX];
  size_t data_centre_count = list_data_centres (roster, false, data_centres);
  size_t i;

  if (now_ms < roster->next_remote_hello_ms)
    return count;
  roster->next_remote_hello_ms
      = now_ms
        + hello_interval_ms (roster, now_ms,
                             csp_remote_hello_period_ms (roster));
  for (i = 0; i < data_centre_count; i++)
    count = add_hello_target (choose_peer_of (roster, data_centres[i]), now_ms,
                              addresses, count, max_count);
  return count;
}

/* All hosts of a fleet start within some tenths of a second, and a hello to a
   seed that isn't up yet is lost.  A host that retried only after two seconds
   was alone until then: after a power failure each of 18 hosts read the store
   and decided for itself for 3 s.  */
static bool
is_seed_due (const csp_roster_t *roster, const csp_roster_peer_t *peer,
             int64_t now_ms)
{
  return peer->last_report_ms == 0
         && (peer->hello_sent_ms == 0
             || now_ms - peer->hello_sent_ms
                    >= hello_interval_ms (roster, now_ms, SEED_RETRY_MS));
}

size_t
csp_choose_hello_targets (csp_roster_t *roster, int64_t now_ms,
                          csp_peer_address_t *addresses, size_t max_count)
{
  size_t count = 0;
  size_t i;

  if (roster->count == 0)
    return 0;
  for (i = 0; i < roster->count; i++)
    if (is_seed_due (roster, &roster->peers[i], now_ms))
      count = add_hello_target (&roster->peers[i], now_ms, addresses, count,
                                max_count);
  count = add_remote_targets (roster, now_ms, addresses, count, max_count);
  if (now_ms < roster->next_local_hello_ms)
    return count;
  roster->next_local_hello_ms
      = now_ms + hello_interval_ms (roster, now_ms, LOCAL_HELLO_MS);
  return add_hello_target (choose_peer_of (roster, roster->data_centre),
                           now_ms, addresses, count, max_count);
}

size_t
csp_sample_live_peers (csp_roster_t *roster, csp_peer_address_t *addresses,
                       size_t max_count)
{
  size_t first = csp_random_below (&roster->random, (uint32_t)roster->count);
  size_t chosen = 0;
  size_t i;

  for (i = 0; i < roster->count && chosen < max_count; i++)
    {
      const csp_roster_peer_t *peer
          = &roster->peers[(first + i) % roster->count];

      if (peer->live)
        addresses[chosen++] = peer->address;
    }
  return chosen;
}

/* The list of named hosts while it is filled.  */
typedef struct
{
  csp_peer_address_t to;
  csp_known_host_t *hosts;
  size_t max_count;
  size_t count;
  int64_t now_ms;
} known_hosts_t;

/* Adds a live peer unless it is already listed or is the receiver.  */
static void
add_known_host (known_hosts_t *list, const csp_roster_peer_t *peer)
{
  size_t i;

  if (list->count == list->max_count || !peer->live
      || csp_is_same_peer (peer->address, list->to))
    return;
  for (i = 0; i < list->count; i++)
    if (csp_is_same_peer (list->hosts[i].address, peer->address))
      return;
  list->hosts[list->count++] = (csp_known_host_t){
    .address = peer->address,
    .data_centre = peer->data_centre,
    .capacity = peer->capacity,
    .age_ms = (uint32_t)(list->now_ms - peer->last_report_ms),
    .up_ms = csp_clamp_up_ms (peer->last_report_ms - peer->started_ms),
    .leaving = peer->leaving,
    .platform_unreachable = peer->platform_unreachable,
    .platform_read = peer->platform_read
  };
}

static void
name_ranked_hosts (csp_roster_t *roster, csp_duty_t duty, bool local_only,
                   size_t max_count)
{
  csp_named_hosts_t *named = &roster->named;
  csp_rank_candidate_t ranked[NAMED_RELAYS];
  size_t count = csp_rank_hosts (roster, duty, local_only, ranked, max_count);
  size_t i;

  for (i = 0; i < count && named->count < CSP_NAMED_MAX; i++)
    named->hosts[named->count++] = ranked[i].address;
}

/* The hosts that rank first, with repetitions.  */
static const csp_named_hosts_t *
find_named_hosts (csp_roster_t *roster, int64_t now_ms)
{
  csp_named_hosts_t *named = &roster->named;

  if (now_ms < named->valid_until_ms)
    return named;
  named->count = 0;
  named->valid_until_ms = now_ms + NAMED_VALID_MS;
  name_ranked_hosts (roster, CSP_DUTY_DECIDE, false, NAMED_PER_DUTY);
  name_ranked_hosts (roster, CSP_DUTY_RELAY, false, NAMED_RELAYS);
  name_ranked_hosts (roster, CSP_DUTY_READ, false, NAMED_PER_DUTY);
  name_ranked_hosts (roster, CSP_DUTY_DECIDE, true, NAMED_PER_DUTY);
  name_ranked_hosts (roster, CSP_DUTY_RELAY, true, NAMED_PER_DUTY);
  return named;
}

size_t
csp_choose_known_hosts (csp_roster_t *roster, csp_peer_address_t to,
                        csp_known_host_t *hosts, size_t max_count,
                        int64_t now_ms)
{
  size_t first = csp_random_below (&roster->random, (uint32_t)roster->count);
  known_hosts_t list
      = { .to = to, .hosts = hosts, .max_count = max_count, .now_ms = now_ms };
  const csp_named_hosts_t *named;
  size_t i;

  if (roster->count == 0)
    return 0;
  named = find_named_hosts (roster, now_ms);
  for (i = 0; i < named->count; i++)
    {
      const csp_roster_peer_t *peer
          = csp_find_roster_peer (roster, named->hosts[i]);

      if (peer != NULL)
        add_known_host (&list, peer);
    }
  for (i = 0; i < roster->count && list.count < max_count; i++)
    add_known_host (&list, &roster->peers[(first + i) % roster->count]);
  return list.count;
}

/* Seeds hear of all hosts that start.  If their replies named nobody, a host
   would know only the seeds until another one happened to choose it, which
   takes the longer the more hosts there are.  */
size_t
csp_choose_reply_hosts (csp_roster_t *roster, csp_peer_address_t to,
                        const csp_hello_t *hello,
                        csp_known_host_t hosts[CSP_HELLO_KNOWN_MAX],
                        int64_t now_ms)
{
  bool just_started = hello->up_ms < STARTUP_MS;
  size_t count;

  if (!just_started && hello->known_count == CSP_HELLO_KNOWN_MAX)
    return 0;
  count = csp_choose_known_hosts (roster, to, hosts, CSP_HELLO_KNOWN_MAX,
                                  now_ms);
  return just_started || hello->known_count < count ? count : 0;
}
