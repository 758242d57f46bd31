#include "roster/roster-imp.h"

/* Which host serves requests that this one can't.

   Load pattern: some hosts, or most, lose their paths to all targets of a
   service, while callers still reach them.  Each passes its requests on to one
   of the hosts that reach targets.  Those are drawn at random, so that the
   requests of all hosts that are cut off spread over them without a message.
   What a host reports of itself may be a second old, so a host that refuses or
   doesn't answer is avoided for a while.  */

static bool
reports_unreached (const csp_roster_peer_t *peer, uint32_t service)
{
  size_t i;

  for (i = 0; i < peer->unreached_count; i++)
    if (peer->unreached[i] == service)
      return true;
  return false;
}

static bool
has_refused (const csp_roster_peer_t *peer, uint32_t service, int64_t now_ms)
{
  size_t i;

  for (i = 0; i < CSP_HELLO_UNREACHED_MAX; i++)
    if (peer->refused[i].service == service
        && now_ms < peer->refused[i].until_ms)
      return true;
  return false;
}

/* Replaces the refusal for this service, or the one that ends first.  */
static void
note_refused (csp_roster_peer_t *peer, uint32_t service, int64_t until_ms)
{
  size_t replaced = 0;
  size_t i;

  for (i = 0; i < CSP_HELLO_UNREACHED_MAX; i++)
    {
      if (peer->refused[i].service == service)
        {
          replaced = i;
          break;
        }
      if (peer->refused[i].until_ms < peer->refused[replaced].until_ms)
        replaced = i;
    }
  peer->refused[replaced].service = service;
  peer->refused[replaced].until_ms = until_ms;
}

static bool
may_relay (const csp_roster_peer_t *peer, uint32_t service, int64_t now_ms)
{
  return peer->live && !peer->leaving && peer->relay_port != 0
         && now_ms >= peer->relay_avoided_until_ms
         && !reports_unreached (peer, service)
         && !has_refused (peer, service, now_ms);
}

/* Hosts of unknown capacity are rarely drawn.  */
static uint32_t
find_weight (const csp_roster_peer_t *peer)
{
  return peer->capacity > 0 ? peer->capacity : 1;
}

bool
csp_pick_relay_host (csp_roster_t *roster, uint32_t service, int64_t now_ms,
                     csp_relay_host_t *picked)
{
  uint64_t sum = 0;
  size_t i;

  /* Each host replaces the one drawn before it with the probability of its
     weight among all so far.  */
  for (i = 0; i < roster->count; i++)
    {
      const csp_roster_peer_t *peer = &roster->peers[i];

      if (!may_relay (peer, service, now_ms))
        continue;
      sum += find_weight (peer);
      if (csp_random_unit (&roster->random) * (double)sum
          >= (double)find_weight (peer))
        continue;
      picked->host = peer->address;
      picked->relay_port = peer->relay_port;
    }
  return sum > 0;
}

bool
csp_has_relay_host (const csp_roster_t *roster, uint32_t service,
                    int64_t now_ms)
{
  size_t i;

  for (i = 0; i < roster->count; i++)
    if (may_relay (&roster->peers[i], service, now_ms))
      return true;
  return false;
}

void
csp_note_offer_result (csp_roster_t *roster, csp_peer_address_t host,
                       uint32_t service, csp_offer_result_t result,
                       int64_t now_ms)
{
  csp_roster_peer_t *peer = csp_find_roster_peer (roster, host);
  int64_t until_ms;

  if (peer == NULL)
    return;
  /* Offers that were open at the same time fail together.  */
  if (result == CSP_OFFER_UNANSWERED && now_ms < peer->relay_avoided_until_ms)
    return;
  peer->unanswered_offers
      = result == CSP_OFFER_UNANSWERED ? peer->unanswered_offers + 1 : 0;
  until_ms = now_ms + csp_offer_avoid_ms (result, peer->unanswered_offers);
  if (result == CSP_OFFER_UNREACHED)
    note_refused (peer, service, until_ms);
  else if (until_ms > peer->relay_avoided_until_ms)
    peer->relay_avoided_until_ms = until_ms;
}

const csp_peer_address_t *
csp_find_live_host_by_ip (const csp_roster_t *roster, uint32_t ip)
{
  size_t i;

  for (i = 0; i < roster->count; i++)
    if (roster->peers[i].live && roster->peers[i].address.ip == ip)
      return &roster->peers[i].address;
  return NULL;
}
