#include "membership/membership-imp.h"

#include <stdio.h>
#include <string.h>

enum
{
  /* Older summaries aren't forwarded.  */
  SUMMARY_TTL_MS = 60000
};

/* The first CSP_RELAYS_MAX hosts of the data centre, in the order that all
   hosts share, exchange heartbeats with other data centres.  There are two, so
   that the failure of one cuts off no data centre.  */
bool
csp_is_relay (const csp_membership_t *membership, int64_t now_ms)
{
  const csp_data_centre_t *home = &membership->data_centres[membership->home];
  const csp_peer_t *peer;
  size_t before = 0;
  size_t i;

  for (i = 0; i < home->count; i++)
    {
      peer = membership->by_order[home->first + i];
      if (peer->view.self)
        return before < CSP_RELAYS_MAX;
      before += csp_is_in_view (peer, now_ms);
    }
  return false;
}

static void
insert_best_host (csp_summary_t *summary, const char *name,
                  int64_t headroom_tokens)
{
  size_t position = CSP_SUMMARY_HOSTS;
  size_t i;

  while (position > 0
         && (summary->best[position - 1].name[0] == '\0'
             || summary->best[position - 1].headroom_tokens < headroom_tokens))
    position--;
  if (position == CSP_SUMMARY_HOSTS)
    return;
  for (i = CSP_SUMMARY_HOSTS - 1; i > position; i--)
    summary->best[i] = summary->best[i - 1];
  snprintf (summary->best[position].name, sizeof summary->best[position].name,
            "%s", name);
  summary->best[position].headroom_tokens = headroom_tokens;
}

static void
summarise_host (csp_summary_t *summary, const char *name, int64_t revision,
                int64_t headroom_tokens)
{
  summary->live_hosts++;
  summary->headroom_tokens += headroom_tokens;
  if (revision > summary->revision)
    summary->revision = revision;
  insert_best_host (summary, name, headroom_tokens);
}

static void
summarise_home (const csp_membership_t *membership, csp_summary_t *summary)
{
  const csp_data_centre_t *home = &membership->data_centres[membership->home];
  const csp_peer_t *peer;
  size_t i;

  memset (summary, 0, sizeof *summary);
  memcpy (summary->data_centre, home->name, sizeof summary->data_centre);
  for (i = 0; i < home->count; i++)
    {
      peer = membership->by_order[home->first + i];
      if (peer->view.self)
        summarise_host (summary, peer->view.name, membership->local.revision,
                        membership->local.headroom_tokens);
      else if (peer->view.liveness == CSP_PEER_ALIVE
               && peer->view.state == CSP_MEMBER_LIVE)
        summarise_host (summary, peer->view.name, peer->view.revision,
                        peer->view.headroom_tokens);
    }
}

static void
store_summary (csp_membership_t *membership, const csp_summary_t *summary,
               int64_t now_ms)
{
  csp_data_centre_t *data_centre
      = csp_find_data_centre (membership, summary->data_centre);
  int64_t made_ms = now_ms - summary->age_ms;

  if (data_centre == NULL
      || data_centre == &membership->data_centres[membership->home]
      || (data_centre->has_summary && made_ms <= data_centre->summary_ms))
    return;
  data_centre->has_summary = true;
  data_centre->summary_ms = made_ms;
  data_centre->summary = *summary;
}

void
csp_apply_summaries (csp_membership_t *membership,
                     const csp_heartbeat_t *message, int64_t now_ms)
{
  uint8_t i;

  for (i = 0; i < message->summary_count; i++)
    store_summary (membership, &message->summaries[i], now_ms);
}

static void
fill_stored_summaries (csp_membership_t *membership, const csp_peer_t *to,
                       csp_heartbeat_t *message, int64_t now_ms)
{
  size_t count = membership->data_centre_count;
  const csp_data_centre_t *data_centre;
  size_t i;

  for (i = 0; i < count && message->summary_count < CSP_MAX_SUMMARIES; i++)
    {
      data_centre
          = &membership->data_centres[membership->next_summary++ % count];
      if (!data_centre->has_summary
          || now_ms - data_centre->summary_ms >= SUMMARY_TTL_MS
          || strcmp (data_centre->name, to->view.data_centre) == 0)
        continue;
      message->summaries[message->summary_count] = data_centre->summary;
      message->summaries[message->summary_count].age_ms
          = (uint32_t)(now_ms - data_centre->summary_ms);
      message->summary_count++;
    }
}

/* A relay sends the summary of its own data centre to others, and forwards
   those of third ones to all hosts, a few with each message.  */
void
csp_fill_summaries (csp_membership_t *membership, const csp_peer_t *to,
                    csp_heartbeat_t *message, int64_t now_ms)
{
  if (!to->local)
    summarise_home (membership, &message->summaries[message->summary_count++]);
  if (csp_is_relay (membership, now_ms))
    fill_stored_summaries (membership, to, message, now_ms);
}

bool
csp_view_summary (const csp_membership_t *membership, size_t index,
                  int64_t now_ms, csp_summary_t *summary)
{
  const csp_data_centre_t *data_centre;
  size_t i;

  for (i = 0; i < membership->data_centre_count; i++)
    {
      data_centre = &membership->data_centres[i];
      if (!data_centre->has_summary || index-- > 0)
        continue;
      *summary = data_centre->summary;
      summary->age_ms = (uint32_t)(now_ms - data_centre->summary_ms);
      return true;
    }
  return false;
}
