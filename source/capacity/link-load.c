#include "cowslipspoke/link-load.h"

#include <stdlib.h>

enum
{
  SAMPLES_MAX = 16,
  WINDOW_MS = 1000,
  MS_PER_S = 1000,
  /* The rest is for short answers and for messages between hosts.  */
  STREAMS_PER_CENT = 90,
  FULL_PER_CENT = 98,
  FULL_UNTIL_PER_CENT = 85,
  PER_CENT = 100,
  /* Rate of a stream before any was measured.  */
  FIRST_STREAM_BYTES_PER_S = 8192
};

typedef struct
{
  int64_t at_ms;
  uint64_t sent_bytes;
  uint64_t received_bytes;
} sample_t;

struct csp_link_load
{
  uint64_t capacity_bytes_per_s;
  uint64_t stream_bytes_per_s;
  uint64_t reserved_streams;
  size_t next; /* index of the oldest sample */
  sample_t samples[SAMPLES_MAX];
  uint64_t sent_bytes_per_s;
  uint64_t received_bytes_per_s;
  bool full;
};

csp_link_load_t *
csp_create_link_load (uint64_t capacity_bytes_per_s)
{
  csp_link_load_t *load = calloc (1, sizeof *load);

  if (load == NULL)
    return NULL;
  load->capacity_bytes_per_s = capacity_bytes_per_s;
  load->stream_bytes_per_s = FIRST_STREAM_BYTES_PER_S;
  return load;
}

void
csp_destroy_link_load (csp_link_load_t *load)
{
  free (load);
}

static uint64_t
rate_between (uint64_t before, uint64_t after, int64_t elapsed_ms)
{
  return (after - before) * MS_PER_S / (uint64_t)elapsed_ms;
}

/* The oldest sample within the window; NULL if there is none.  */
static const sample_t *
find_first_sample (const csp_link_load_t *load, int64_t now_ms)
{
  size_t i;

  for (i = 0; i < SAMPLES_MAX; i++)
    {
      const sample_t *sample = &load->samples[(load->next + i) % SAMPLES_MAX];

      if (sample->at_ms != 0 && now_ms - sample->at_ms <= WINDOW_MS)
        return sample;
    }
  return NULL;
}

static uint64_t
used_bytes_per_s (const csp_link_load_t *load)
{
  return load->sent_bytes_per_s > load->received_bytes_per_s
             ? load->sent_bytes_per_s
             : load->received_bytes_per_s;
}

void
csp_sample_link_load (csp_link_load_t *load, const csp_stream_counts_t *counts,
                      int64_t now_ms)
{
  sample_t sample
      = { .at_ms = now_ms,
          .sent_bytes
          = counts->written_bytes + counts->writes * CSP_PACKET_HEADER_BYTES,
          .received_bytes
          = counts->read_bytes + counts->reads * CSP_PACKET_HEADER_BYTES };
  const sample_t *last
      = &load->samples[(load->next + SAMPLES_MAX - 1) % SAMPLES_MAX];
  const sample_t *first = find_first_sample (load, now_ms);

  if (last->at_ms == now_ms)
    return;
  load->sent_bytes_per_s = 0;
  load->received_bytes_per_s = 0;
  if (first != NULL)
    {
      int64_t elapsed_ms = now_ms - first->at_ms;

      load->sent_bytes_per_s
          = rate_between (first->sent_bytes, sample.sent_bytes, elapsed_ms);
      load->received_bytes_per_s = rate_between (
          first->received_bytes, sample.received_bytes, elapsed_ms);
    }
  load->full
      = load->capacity_bytes_per_s != 0
        && used_bytes_per_s (load) * PER_CENT
               >= load->capacity_bytes_per_s
                      * (load->full ? FULL_UNTIL_PER_CENT : FULL_PER_CENT);
  load->samples[load->next] = sample;
  load->next = (load->next + 1) % SAMPLES_MAX;
}

uint64_t
csp_get_sent_bytes_per_s (const csp_link_load_t *load)
{
  return load->sent_bytes_per_s;
}

uint64_t
csp_get_received_bytes_per_s (const csp_link_load_t *load)
{
  return load->received_bytes_per_s;
}

bool
csp_is_link_full (const csp_link_load_t *load)
{
  return load->full;
}

void
csp_note_stream_rate (csp_link_load_t *load, uint64_t bytes_per_s)
{
  load->stream_bytes_per_s = bytes_per_s;
}

bool
csp_reserve_stream (csp_link_load_t *load)
{
  uint64_t streams = load->reserved_streams + 1;

  if (load->capacity_bytes_per_s != 0
      && used_bytes_per_s (load) + streams * load->stream_bytes_per_s
             > load->capacity_bytes_per_s * STREAMS_PER_CENT / PER_CENT)
    return false;
  load->reserved_streams++;
  return true;
}

void
csp_release_stream (csp_link_load_t *load)
{
  load->reserved_streams--;
}
