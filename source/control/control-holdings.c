#include "control/control-imp.h"
#include "cowslipspoke/text.h"

#include <stdlib.h>
#include <string.h>

/* Sends each other owner a list of the slots that this host holds there, every
   few seconds.  It makes up for lost releases, and informs a new owner of
   the streams on its target.  */

enum
{
  HOLDINGS_INTERVAL_MS = 3000,
  ANSWER_TIMEOUT_MS = 2000
};

/* Whether a peer is the current owner of a target.  A slot is listed to the
   owner that granted it and to the current one, which has no other source.  */
static bool
is_current_owner (const csp_control_t *control, const char *target,
                  const char *peer)
{
  csp_target_view_t view;
  uint32_t index;

  return csp_find_target (control->ownership, target, &index)
         && csp_view_target (control->ownership, index, &view)
         && strcmp (view.owner, peer) == 0;
}

/* Send one owner the list of all slots that this host holds there.  */
static void
send_holdings (csp_control_t *control, const csp_named_peer_address_t *peer)
{
  csp_peer_message_t message = { .kind = CSP_PEER_HOLDINGS };
  csp_held_slot_t *slots = calloc (control->request_count + 1, sizeof *slots);
  const csp_tracked_request_t *request;
  size_t granting_peer;
  uint32_t i;

  if (slots == NULL)
    return;
  message.u.holdings.number = control->holdings_number;
  csp_copy_text (message.u.holdings.sender.name,
                 sizeof message.u.holdings.sender.name,
                 control->context->settings.host);
  message.u.holdings.sender.incarnation = control->incarnation;
  message.u.holdings.slots = slots;
  for (i = 0; i < control->request_capacity; i++)
    {
      request = &control->requests[i];
      if (request->id == 0 || request->spill == NULL
          || !csp_get_handoff_slot (request->spill->handoff, &granting_peer,
                                    &slots[message.u.holdings.count])
          || (strcmp (request->spill->peers[granting_peer].name, peer->name)
                  != 0
              && !is_current_owner (control, request->spill->target,
                                    peer->name)))
        continue;
      message.u.holdings.count++;
    }
  csp_send_peer (control, peer, &message, 0, ANSWER_TIMEOUT_MS);
  free (slots);
}

/* Sends to every live peer, also an empty list.  */
static void
send_all_holdings (csp_control_t *control, int64_t now_ms)
{
  size_t host_count = csp_count_hosts (control->membership);
  csp_named_peer_address_t peer;
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
  control->next_holdings_ms = now_ms + HOLDINGS_INTERVAL_MS;
  send_all_holdings (control, now_ms);
}
