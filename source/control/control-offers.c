#include "control/control-imp.h"
#include "cowslipspoke/peer-choice.h"
#include "cowslipspoke/text.h"

#include <string.h>

/* Lists the peers that report free capacity: those of this data centre from
   their heartbeats, those of others from summaries.  csp_choose_peers chooses
   among them.  */

enum
{
  MAX_OFFERS = 96
};

static size_t
list_local_offers (csp_control_t *control, int64_t now_ms,
                   csp_peer_candidate_t *offers)
{
  size_t host_count = csp_count_hosts (control->membership);
  csp_host_view_t view;
  size_t count = 0;
  size_t i;

  for (i = 0; i < host_count && count < MAX_OFFERS; i++)
    {
      csp_view_host (control->membership, i, now_ms, &view);
      if (!csp_is_live_local_peer (control, &view)
          || view.state != CSP_MEMBER_LIVE)
        continue;
      csp_copy_text (offers[count].name, sizeof offers[count].name, view.name);
      offers[count].headroom_tokens = view.headroom_tokens;
      offers[count].same_data_centre = true;
      count++;
    }
  return count;
}

static bool
is_own_data_centre (const csp_control_t *control, const char *data_centre)
{
  return strcmp (control->context->settings.data_centre, data_centre) == 0;
}

/* Adds the peers of one other data centre, or of all with NULL.  Returns the
   new count.  */
static size_t
list_remote_offers (csp_control_t *control, const char *data_centre,
                    int64_t now_ms, csp_peer_candidate_t *offers, size_t count)
{
  csp_summary_t summary;
  size_t row;
  size_t i;

  for (row = 0; csp_view_summary (control->membership, row, now_ms, &summary);
       row++)
    for (i = 0; i < CSP_SUMMARY_HOSTS && count < MAX_OFFERS; i++)
      {
        if (summary.best[i].name[0] == '\0'
            || (data_centre != NULL
                && strcmp (summary.data_centre, data_centre) != 0))
          continue;
        csp_copy_text (offers[count].name, sizeof offers[count].name,
                       summary.best[i].name);
        offers[count].headroom_tokens = summary.best[i].headroom_tokens;
        offers[count].same_data_centre = false;
        count++;
      }
  return count;
}

size_t
csp_choose_spill_peers (csp_control_t *control, csp_tracked_request_t *request,
                        int64_t now_ms)
{
  csp_peer_candidate_t offers[MAX_OFFERS];
  size_t chosen[CSP_HANDOFF_MAX_PEERS];
  const char *data_centre = request->waiter->ask->spill_to;
  size_t count = 0;
  size_t chosen_count;
  size_t found = 0;
  size_t i;

  if (data_centre == NULL || is_own_data_centre (control, data_centre))
    count = list_local_offers (control, now_ms, offers);
  count = list_remote_offers (control, data_centre, now_ms, offers, count);
  chosen_count = csp_choose_peers (offers, count, request->prompt_tokens,
                                   &control->random, chosen);
  for (i = 0; i < chosen_count; i++)
    if (csp_locate_peer (control, offers[chosen[i]].name, now_ms,
                         &request->spill->peers[found]))
      found++;
  return found;
}

/* While the other data centre reports no capacity, the request is served here.
   Otherwise it would wait until its deadline if that data centre is cut
   off.  */
bool
csp_is_for_other_data_centre (csp_control_t *control,
                              const csp_admission_ask_t *ask, int64_t now_ms)
{
  csp_peer_candidate_t offers[MAX_OFFERS];

  return ask->spill_to != NULL && ask->pool_kind == CSP_POOL_ENGINES
         && !is_own_data_centre (control, ask->spill_to)
         && list_remote_offers (control, ask->spill_to, now_ms, offers, 0) > 0;
}

bool
csp_has_live_local_peer (csp_control_t *control, int64_t now_ms)
{
  csp_peer_candidate_t offers[MAX_OFFERS];

  return list_local_offers (control, now_ms, offers) > 0;
}
