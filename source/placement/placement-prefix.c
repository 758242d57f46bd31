#include "cowslipspoke/placement.h"

#include <string.h>

static int
find_prefix (const csp_prefixes_t *prefixes, uint64_t hash)
{
  int i;

  for (i = 0; i < CSP_PREFIXES_MAX; i++)
    if (prefixes->entries[i].hash == hash && prefixes->entries[i].tokens != 0)
      return i;
  return -1;
}

static int
find_oldest (const csp_prefixes_t *prefixes)
{
  int oldest = 0;
  int i;

  for (i = 1; i < CSP_PREFIXES_MAX; i++)
    if (prefixes->entries[i].used_ms < prefixes->entries[oldest].used_ms)
      oldest = i;
  return oldest;
}

void
csp_note_prefix (csp_prefixes_t *prefixes, uint64_t hash, uint32_t tokens,
                 int64_t now_ms)
{
  int i = find_prefix (prefixes, hash);

  if (i < 0)
    i = find_oldest (prefixes);
  prefixes->entries[i].hash = hash;
  prefixes->entries[i].tokens = tokens;
  prefixes->entries[i].used_ms = now_ms;
}

void
csp_forget_prefix (csp_prefixes_t *prefixes, uint64_t hash)
{
  int i = find_prefix (prefixes, hash);

  if (i >= 0)
    memset (&prefixes->entries[i], 0, sizeof prefixes->entries[i]);
}

void
csp_forget_prefixes (csp_prefixes_t *prefixes)
{
  memset (prefixes, 0, sizeof *prefixes);
}

uint32_t
csp_cached_tokens (const csp_prefixes_t *prefixes, uint64_t hash)
{
  int i = find_prefix (prefixes, hash);

  return i < 0 ? 0 : prefixes->entries[i].tokens;
}
