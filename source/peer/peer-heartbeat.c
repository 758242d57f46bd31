#include "peer/peer-codec-imp.h"

#include <string.h>

bool
csp_copy_wire_text (char *field, size_t field_bytes, const char *text)
{
  size_t size_bytes = strlen (text);

  if (size_bytes >= field_bytes)
    return false;
  memcpy (field, text, size_bytes + 1);
  return true;
}

static void
pack_suspects (const csp_heartbeat_t *heartbeat,
               csp_heartbeat_scratch_t *scratch)
{
  const csp_suspect_host_t *suspect;
  CspWire__Suspect *wire;
  uint32_t i;

  for (i = 0; i < heartbeat->suspect_count; i++)
    {
      suspect = &heartbeat->suspects[i];
      wire = &scratch->suspects[i];
      csp_wire__suspect__init (wire);
      wire->name = (char *)suspect->name;
      wire->witness = (char *)suspect->witness;
      wire->incarnation = suspect->incarnation;
      wire->age_ms = suspect->age_ms;
      scratch->suspect_list[i] = wire;
    }
  scratch->heartbeat.n_suspects = heartbeat->suspect_count;
  scratch->heartbeat.suspects = scratch->suspect_list;
}

static void
pack_best (const csp_summary_t *summary, uint32_t row,
           csp_heartbeat_scratch_t *scratch)
{
  CspWire__BestHost *wire;
  uint32_t i;

  for (i = 0; i < CSP_SUMMARY_HOSTS; i++)
    {
      wire = &scratch->best[row][i];
      csp_wire__best_host__init (wire);
      wire->name = (char *)summary->best[i].name;
      wire->headroom_tokens = summary->best[i].headroom_tokens;
      scratch->best_list[row][i] = wire;
    }
  scratch->summaries[row].n_best = CSP_SUMMARY_HOSTS;
  scratch->summaries[row].best = scratch->best_list[row];
}

static void
pack_summaries (const csp_heartbeat_t *heartbeat,
                csp_heartbeat_scratch_t *scratch)
{
  const csp_summary_t *summary;
  CspWire__Summary *wire;
  uint32_t i;

  for (i = 0; i < heartbeat->summary_count; i++)
    {
      summary = &heartbeat->summaries[i];
      wire = &scratch->summaries[i];
      csp_wire__summary__init (wire);
      wire->data_centre = (char *)summary->data_centre;
      wire->live_hosts = summary->live_hosts;
      wire->age_ms = summary->age_ms;
      wire->revision = summary->revision;
      wire->headroom_tokens = summary->headroom_tokens;
      pack_best (summary, i, scratch);
      scratch->summary_list[i] = wire;
    }
  scratch->heartbeat.n_summaries = heartbeat->summary_count;
  scratch->heartbeat.summaries = scratch->summary_list;
}

void
csp_pack_heartbeat (const csp_heartbeat_t *heartbeat,
                    csp_heartbeat_scratch_t *scratch)
{
  CspWire__Heartbeat *wire = &scratch->heartbeat;

  csp_wire__heartbeat__init (wire);
  wire->protocol = heartbeat->protocol;
  wire->deployment = heartbeat->deployment;
  wire->name = (char *)heartbeat->name;
  wire->region = (char *)heartbeat->region;
  wire->data_centre = (char *)heartbeat->data_centre;
  wire->address = (char *)heartbeat->address;
  wire->http_port = heartbeat->http_port;
  wire->peer_port = heartbeat->peer_port;
  wire->incarnation = heartbeat->incarnation;
  wire->sequence = heartbeat->sequence;
  wire->leaving = heartbeat->state == CSP_MEMBER_LEAVING;
  wire->revision = heartbeat->revision;
  wire->digest = heartbeat->digest;
  wire->refused_revision = heartbeat->refused_revision;
  wire->service_silent = heartbeat->service_silent;
  wire->list_version = heartbeat->list_version;
  wire->headroom_tokens = heartbeat->headroom_tokens;
  wire->owned_targets = heartbeat->owned_targets;
  wire->median_gap_us = heartbeat->median_gap_us;
  wire->targets_out = heartbeat->targets_out;
  wire->known_incarnation = heartbeat->known_incarnation;
  wire->alive_ms = heartbeat->alive_ms;
  pack_suspects (heartbeat, scratch);
  pack_summaries (heartbeat, scratch);
}

static bool
unpack_suspects (const CspWire__Heartbeat *wire, csp_heartbeat_t *heartbeat)
{
  csp_suspect_host_t *suspect;
  size_t i;

  if (wire->n_suspects > CSP_MAX_SUSPECTS)
    return false;
  heartbeat->suspect_count = (uint8_t)wire->n_suspects;
  for (i = 0; i < wire->n_suspects; i++)
    {
      suspect = &heartbeat->suspects[i];
      suspect->incarnation = wire->suspects[i]->incarnation;
      suspect->age_ms = wire->suspects[i]->age_ms;
      if (!csp_copy_wire_text (suspect->name, sizeof suspect->name,
                               wire->suspects[i]->name)
          || !csp_copy_wire_text (suspect->witness, sizeof suspect->witness,
                                  wire->suspects[i]->witness))
        return false;
    }
  return true;
}

static bool
unpack_summary (const CspWire__Summary *wire, csp_summary_t *summary)
{
  size_t i;

  summary->live_hosts = wire->live_hosts;
  summary->age_ms = wire->age_ms;
  summary->revision = wire->revision;
  summary->headroom_tokens = wire->headroom_tokens;
  for (i = 0; i < wire->n_best && i < CSP_SUMMARY_HOSTS; i++)
    {
      summary->best[i].headroom_tokens = wire->best[i]->headroom_tokens;
      if (!csp_copy_wire_text (summary->best[i].name,
                               sizeof summary->best[i].name,
                               wire->best[i]->name))
        return false;
    }
  return csp_copy_wire_text (summary->data_centre, sizeof summary->data_centre,
                             wire->data_centre);
}

static bool
unpack_summaries (const CspWire__Heartbeat *wire, csp_heartbeat_t *heartbeat)
{
  size_t i;

  if (wire->n_summaries > CSP_MAX_SUMMARIES)
    return false;
  heartbeat->summary_count = (uint8_t)wire->n_summaries;
  for (i = 0; i < wire->n_summaries; i++)
    if (!unpack_summary (wire->summaries[i], &heartbeat->summaries[i]))
      return false;
  return true;
}

bool
csp_unpack_heartbeat (const CspWire__Heartbeat *wire,
                      csp_heartbeat_t *heartbeat)
{
  memset (heartbeat, 0, sizeof *heartbeat);
  if (wire->http_port > UINT16_MAX || wire->peer_port > UINT16_MAX)
    return false;
  heartbeat->protocol = wire->protocol;
  heartbeat->deployment = wire->deployment;
  heartbeat->http_port = (uint16_t)wire->http_port;
  heartbeat->peer_port = (uint16_t)wire->peer_port;
  heartbeat->incarnation = wire->incarnation;
  heartbeat->sequence = wire->sequence;
  heartbeat->state = wire->leaving ? CSP_MEMBER_LEAVING : CSP_MEMBER_LIVE;
  heartbeat->revision = wire->revision;
  heartbeat->digest = wire->digest;
  heartbeat->refused_revision = wire->refused_revision;
  heartbeat->service_silent = wire->service_silent;
  heartbeat->list_version = wire->list_version;
  heartbeat->headroom_tokens = wire->headroom_tokens;
  heartbeat->owned_targets = wire->owned_targets;
  heartbeat->median_gap_us = wire->median_gap_us;
  heartbeat->targets_out = wire->targets_out;
  heartbeat->known_incarnation = wire->known_incarnation;
  heartbeat->alive_ms = wire->alive_ms;
  return csp_copy_wire_text (heartbeat->name, sizeof heartbeat->name,
                             wire->name)
         && csp_copy_wire_text (heartbeat->region, sizeof heartbeat->region,
                                wire->region)
         && csp_copy_wire_text (heartbeat->data_centre,
                                sizeof heartbeat->data_centre,
                                wire->data_centre)
         && csp_copy_wire_text (heartbeat->address, sizeof heartbeat->address,
                                wire->address)
         && unpack_suspects (wire, heartbeat)
         && unpack_summaries (wire, heartbeat);
}
