#include "support/fleet.h"

#include <string.h>

/* Sizes of messages as protobuf would encode them: a tag byte for each member
   that is not zero, varints for numbers, eight bytes for hashes, and a length
   byte for texts.  */

static size_t
count_number (uint64_t number)
{
  size_t bytes = 1;

  if (number == 0)
    return 0;
  while (number >= 128)
    {
      number >>= 7;
      bytes++;
    }
  return 1 + bytes;
}

static size_t
count_text (const char *text)
{
  size_t length = strlen (text);

  return length == 0 ? 0 : 2 + length;
}

static size_t
count_fixed (uint64_t number)
{
  return number == 0 ? 0 : 9;
}

static size_t
count_suspect (const csp_suspect_host_t *suspect)
{
  return 2 + count_text (suspect->name) + count_text (suspect->witness)
         + count_fixed (suspect->incarnation) + count_number (suspect->age_ms);
}

static size_t
count_summary (const csp_summary_t *summary)
{
  size_t bytes = 2 + count_text (summary->data_centre)
                 + count_number (summary->live_hosts)
                 + count_number (summary->age_ms)
                 + count_number ((uint64_t)summary->revision)
                 + count_number ((uint64_t)summary->headroom_tokens);
  size_t i;

  for (i = 0; i < CSP_SUMMARY_HOSTS; i++)
    bytes += 2 + count_text (summary->best[i].name)
             + count_number ((uint64_t)summary->best[i].headroom_tokens);
  return bytes;
}

size_t
fleet_count_heartbeat_bytes (const csp_heartbeat_t *heartbeat)
{
  size_t bytes
      = count_number (heartbeat->protocol)
        + count_fixed (heartbeat->deployment) + count_text (heartbeat->name)
        + count_text (heartbeat->region) + count_text (heartbeat->data_centre)
        + count_text (heartbeat->address) + count_number (heartbeat->http_port)
        + count_number (heartbeat->peer_port)
        + count_fixed (heartbeat->incarnation)
        + count_number (heartbeat->sequence) + count_number (heartbeat->state)
        + count_number ((uint64_t)heartbeat->revision)
        + count_fixed (heartbeat->digest)
        + count_number ((uint64_t)heartbeat->refused_revision)
        + count_number (heartbeat->service_silent)
        + count_number ((uint64_t)heartbeat->list_version)
        + count_number ((uint64_t)heartbeat->headroom_tokens)
        + count_number (heartbeat->owned_targets)
        + count_number (heartbeat->median_gap_us)
        + count_number (heartbeat->targets_out)
        + count_fixed (heartbeat->known_incarnation)
        + count_number (heartbeat->alive_ms);
  uint8_t i;

  for (i = 0; i < heartbeat->suspect_count; i++)
    bytes += count_suspect (&heartbeat->suspects[i]);
  for (i = 0; i < heartbeat->summary_count; i++)
    bytes += count_summary (&heartbeat->summaries[i]);
  return bytes;
}

size_t
fleet_count_delta_bytes (const csp_config_delta_t *delta)
{
  size_t bytes = 32;
  size_t i;

  for (i = 0; i < delta->value_count; i++)
    bytes
        += 8 + strlen (delta->values[i].key)
           + (delta->values[i].json == NULL ? 0
                                            : strlen (delta->values[i].json));
  return bytes;
}
