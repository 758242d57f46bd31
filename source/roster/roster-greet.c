#include "roster/roster-imp.h"

#include <string.h>

/* Whom a host greets, and whom it names.

   What it costs a host doesn't grow with the fleet: a greeting in half a
   second to some host of each other data centre, two a second in its own, each
   answered, and a dozen hosts named in each.  What has to be known everywhere
   soon is who ranks first; those are named in each greeting, so that within a
   second or so each host has heard from somebody that they live.  */

enum
{
  /* A data centre that says nothing counts as cut off after three greetings
     and a half.  */
  GREET_FAR_MS = 500,
  /* Beyond ten data centres greetings come more rarely, so that there are no
     more than 20 a second.  */
  GREET_FAR_EACH_MS = 50,
  GREET_NEAR_MS = 500,
  /* A host that has just started greets more often, for a while: until it has
     heard who ranks first it can neither ask for places nor follow anybody. */
  GREET_STARTING_MS = 150,
  STARTS_FOR_MS = 1500,
  /* Addresses that were never heard: seeds that are down.  */
  GREET_UNHEARD_MS = 2000,
  /* Data centres of the planned size are 28.  */
  DATA_CENTRES_MAX = 64,
  /* Hosts named for a duty: who has it and who gets it next.  Some names stay
     for others, drawn by lot; where all were
     taken by those that rank first, small hosts knew nobody else, greeted
     three hosts of a data centre in turns with two hundred others, and took it
     for cut off whenever these were busy.  */
  NAMED_FOR_DUTY = 2,
  /* Of those that may read for all, also the ones that the store turns away:
     that it does must be known as soon.  Named no more, a host that had been
     first counted as first and able for 3.3 s longer, hosts followed it in
     vain, and configurations reached 190 of 295 hosts three seconds late.  */
  NAMED_FOR_READING = CSP_OUTAGE_HOSTS
};

/* Other data centres, as many as are known; of those that are heard.  */
static size_t
list_data_centres (const csp_roster_t *roster, bool heard,
                   uint32_t data_centres[DATA_CENTRES_MAX])
{
  size_t count = 0;
  size_t i;
  size_t j;

  for (i = 0; i < roster->count && count < DATA_CENTRES_MAX; i++)
    {
      uint32_t data_centre = roster->peers[i].data_centre;

      if (roster->peers[i].seen_ms == 0 || data_centre == roster->data_centre
          || (heard && !roster->peers[i].current))
        continue;
      for (j = 0; j < count && data_centres[j] != data_centre; j++)
        continue;
      if (j == count)
        data_centres[count++] = data_centre;
    }
  return count;
}

size_t
csp_count_heard_data_centres (const csp_roster_t *roster)
{
  uint32_t data_centres[DATA_CENTRES_MAX];

  return 1 + list_data_centres (roster, true, data_centres);
}

uint32_t
csp_greeting_period_ms (const csp_roster_t *roster)
{
  uint32_t data_centres[DATA_CENTRES_MAX];
  uint32_t period_ms
      = (uint32_t)list_data_centres (roster, false, data_centres)
        * GREET_FAR_EACH_MS;

  return period_ms > GREET_FAR_MS ? period_ms : GREET_FAR_MS;
}

/* Better to greet than another: one that answers, where there is one.  */
static bool
is_better_to_greet (const csp_roster_peer_t *a, const csp_roster_peer_t *b)
{
  if (a->live != b->live)
    return a->live;
  return a->unanswered < b->unanswered;
}

/* A host of a data centre, drawn by lot among the best to greet.  Where none
   lives the silent ones are greeted: a cut heals unannounced.  */
static csp_roster_peer_t *
draw_of (csp_roster_t *roster, uint32_t data_centre)
{
  size_t first = csp_random_below (&roster->random, (uint32_t)roster->count);
  csp_roster_peer_t *best = NULL;
  size_t i;

  for (i = 0; i < roster->count; i++)
    {
      csp_roster_peer_t *peer = &roster->peers[(first + i) % roster->count];

      if (peer->seen_ms != 0 && peer->data_centre == data_centre
          && (best == NULL || is_better_to_greet (peer, best)))
        best = peer;
    }
  return best;
}

static size_t
add_due (csp_roster_peer_t *peer, int64_t now_ms,
         csp_peer_address_t *addresses, size_t count, size_t room)
{
  if (peer == NULL || count == room)
    return count;
  peer->greeted_ms = now_ms;
  peer->unanswered++;
  addresses[count] = peer->address;
  return count + 1;
}

static uint32_t
pause_ms (const csp_roster_t *roster, int64_t now_ms, uint32_t usual_ms)
{
  return now_ms - roster->started_ms < STARTS_FOR_MS ? GREET_STARTING_MS
                                                     : usual_ms;
}

static size_t
add_far (csp_roster_t *roster, int64_t now_ms, csp_peer_address_t *addresses,
         size_t count, size_t room)
{
  uint32_t data_centres[DATA_CENTRES_MAX];
  size_t data_centre_count = list_data_centres (roster, false, data_centres);
  size_t i;

  if (now_ms < roster->greet_far_at_ms)
    return count;
  roster->greet_far_at_ms
      = now_ms + pause_ms (roster, now_ms, csp_greeting_period_ms (roster));
  for (i = 0; i < data_centre_count; i++)
    count = add_due (draw_of (roster, data_centres[i]), now_ms, addresses,
                     count, room);
  return count;
}

/* All hosts of a fleet start within some tenths of a second, and a seed that
   is not up yet hears no greeting.  A host that greets it again after two
   seconds only is alone until then: each of 18 hosts read the store for itself
   for 3 s behind a loss of power, and decided for itself.  */
static bool
is_unheard_due (const csp_roster_t *roster, const csp_roster_peer_t *peer,
                int64_t now_ms)
{
  return peer->seen_ms == 0
         && (peer->greeted_ms == 0
             || now_ms - peer->greeted_ms
                    >= pause_ms (roster, now_ms, GREET_UNHEARD_MS));
}

size_t
csp_list_due_peers (csp_roster_t *roster, int64_t now_ms,
                    csp_peer_address_t *addresses, size_t room)
{
  size_t count = 0;
  size_t i;

  if (roster->count == 0)
    return 0;
  for (i = 0; i < roster->count; i++)
    if (is_unheard_due (roster, &roster->peers[i], now_ms))
      count = add_due (&roster->peers[i], now_ms, addresses, count, room);
  count = add_far (roster, now_ms, addresses, count, room);
  if (now_ms < roster->greet_near_at_ms)
    return count;
  roster->greet_near_at_ms = now_ms + pause_ms (roster, now_ms, GREET_NEAR_MS);
  return add_due (draw_of (roster, roster->data_centre), now_ms, addresses,
                  count, room);
}

size_t
csp_draw_peers (csp_roster_t *roster, csp_peer_address_t *addresses,
                size_t room)
{
  size_t first = csp_random_below (&roster->random, (uint32_t)roster->count);
  size_t drawn = 0;
  size_t i;

  for (i = 0; i < roster->count && drawn < room; i++)
    {
      const csp_roster_peer_t *peer
          = &roster->peers[(first + i) % roster->count];

      if (peer->live)
        addresses[drawn++] = peer->address;
    }
  return drawn;
}

/* Names being written.  */
typedef struct
{
  const csp_roster_t *roster;
  csp_peer_address_t to;
  csp_known_host_t *hosts;
  size_t room;
  size_t count;
  int64_t now_ms;
} names_t;

/* Name a peer once, and neither a host to itself nor one that isn't live.  */
static void
add_name (names_t *names, const csp_roster_peer_t *peer)
{
  size_t i;

  if (names->count == names->room || !peer->live
      || csp_is_same_peer (peer->address, names->to))
    return;
  for (i = 0; i < names->count; i++)
    if (csp_is_same_peer (names->hosts[i].address, peer->address))
      return;
  names->hosts[names->count++] = (csp_known_host_t){
    .address = peer->address,
    .data_centre = peer->data_centre,
    .capacity = peer->capacity,
    .age_ms = (uint32_t)(names->now_ms - peer->seen_ms),
    .up_ms = csp_told_up_ms (peer->seen_ms - peer->started_ms),
    .leaving = peer->leaving,
    .blind = peer->blind,
    .sighted = peer->sighted
  };
}

static void
add_ranked (names_t *names, csp_duty_t duty, bool near, size_t most)
{
  csp_candidate_t ranked[NAMED_FOR_READING];
  size_t count = csp_rank_hosts (names->roster, duty, near, ranked, most);
  size_t i;

  for (i = 0; i < count; i++)
    {
      const csp_roster_peer_t *peer
          = csp_find_roster_peer (names->roster, ranked[i].address);

      if (peer != NULL)
        add_name (names, peer);
    }
}

size_t
csp_name_known_hosts (csp_roster_t *roster, csp_peer_address_t to,
                      csp_known_host_t *hosts, size_t room, int64_t now_ms)
{
  size_t first = csp_random_below (&roster->random, (uint32_t)roster->count);
  names_t names = {
    .roster = roster, .to = to, .hosts = hosts, .room = room, .now_ms = now_ms
  };
  size_t i;

  if (roster->count == 0)
    return 0;
  add_ranked (&names, CSP_DUTY_DECIDE, false, NAMED_FOR_DUTY);
  add_ranked (&names, CSP_DUTY_RELAY, false, NAMED_FOR_READING);
  add_ranked (&names, CSP_DUTY_READ, false, NAMED_FOR_DUTY);
  add_ranked (&names, CSP_DUTY_DECIDE, true, NAMED_FOR_DUTY);
  add_ranked (&names, CSP_DUTY_RELAY, true, NAMED_FOR_DUTY);
  for (i = 0; i < roster->count && names.count < room; i++)
    add_name (&names, &roster->peers[(first + i) % roster->count]);
  return names.count;
}
