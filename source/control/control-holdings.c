#include "control/control-imp.h"
#include "cowslipspoke/text.h"

#include <stdlib.h>
#include <string.h>

/* What this host holds at other owners, told to each of them every few
   seconds.  A release that was lost is mended by it, and a new owner learns
   from it what runs on its target.  */

enum
{
  HOLDINGS_MS = 3000,
  ANSWER_TIMEOUT_MS = 2000
};

/* Whether a peer owns a target by now.  Slots are listed to the owner that
   granted them and to the present one, which learns of them only so.  */
static bool
owns_now (const csp_control_t *control, const char *target, const char *peer)
{
  csp_target_view_t view;
  uint32_t index;

  return csp_find_target (control->ownership, target, &index)
         && csp_view_target (control->ownership, index, &view)
         && strcmp (view.owner, peer) == 0;
}

/* Tell one owner all that this host holds there.  */
static void
send_holdings (csp_control_t *control, const csp_peer_address_t *peer)
{
  csp_peer_message_t message = { .kind = CSP_PEER_HOLDINGS };
  csp_held_slot_t *slots = calloc (control->places_used + 1, sizeof *slots);
  const csp_place_t *place;
  size_t holder;
  uint32_t i;

  if (slots == NULL)
    return;
  message.u.holdings.number = control->holdings_number;
  csp_copy_text (message.u.holdings.sender.name,
                 sizeof message.u.holdings.sender.name,
                 control->context->settings.host);
  message.u.holdings.sender.incarnation = control->incarnation;
  message.u.holdings.slots = slots;
  for (i = 0; i < control->place_room; i++)
    {
      place = &control->places[i];
      if (place->id == 0 || place->spill == NULL
          || !csp_held_by_handoff (place->spill->handoff, &holder,
                                   &slots[message.u.holdings.count])
          || (strcmp (place->spill->peers[holder].name, peer->name) != 0
              && !owns_now (control, place->spill->target, peer->name)))
        continue;
      message.u.holdings.count++;
    }
  csp_send_peer (control, peer, &message, 0, ANSWER_TIMEOUT_MS);
  free (slots);
}

/* Owners that this host holds something at, or has asked lately.  */
static void
send_all_holdings (csp_control_t *control, int64_t now_ms)
{
  size_t host_count = csp_count_hosts (control->membership);
  csp_peer_address_t peer;
  csp_host_view_t view;
  size_t i;

  control->holdings_number++;
  for (i = 0; i < host_count; i++)
    {
      csp_view_host (control->membership, i, now_ms, &view);
      if (!view.self && view.liveness == CSP_PEER_ALIVE
          && csp_locate_peer (control, view.name, now_ms, &peer))
        send_holdings (control, &peer);
    }
}

void
csp_tick_holdings (csp_control_t *control, int64_t now_ms)
{
  if (now_ms < control->next_holdings_ms)
    return;
  control->next_holdings_ms = now_ms + HOLDINGS_MS;
  send_all_holdings (control, now_ms);
}
