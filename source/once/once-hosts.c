/* Selects the hosts that a round asks, in rendezvous-hash order.  */

#include "once/once-round-imp.h"

#include "base/index-imp.h"

#include <stdlib.h>
#include <string.h>

static bool
in_scope (const csp_once_key_t *key, const csp_once_peer_t *peer)
{
  switch (key->scope)
    {
    case CSP_ONCE_SCOPE_HOST:
      return strcmp (key->home.name, peer->ref.name) == 0;
    case CSP_ONCE_SCOPE_DATA_CENTRE:
      return strcmp (key->data_centre, peer->data_centre) == 0;
    case CSP_ONCE_SCOPE_ALL:
      break;
    }
  return true;
}

static int
compare_ranks (const void *left, const void *right)
{
  const host_t *a = left;
  const host_t *b = right;

  if (a->rank != b->rank)
    return a->rank < b->rank ? 1 : -1;
  return strcmp (a->name, b->name);
}

static uint64_t
rank_host (const csp_once_key_t *key, const char *name)
{
  uint64_t seed;

  memcpy (&seed, key->digest, sizeof seed);
  return csp_mix_u64 (csp_mix_name (name) ^ seed);
}

static void
add_host (csp_once_round_t *round, const csp_once_peer_t *peer)
{
  host_t *host = &round->hosts[round->count++];

  memcpy (host->name, peer->ref.name, sizeof host->name);
  host->rank = rank_host (&round->key, host->name);
  round->by_status[HOST_UNASKED]++;
}

static size_t
count_scope (const csp_once_key_t *key, const csp_once_view_t *view)
{
  size_t count = 0;
  size_t i;

  for (i = 0; i < view->count; i++)
    if (in_scope (key, &view->hosts[i]))
      count++;
  return count;
}

csp_once_round_t *
csp_create_once_round (const csp_once_settings_t *settings,
                       const csp_once_key_t *key, const csp_once_view_t *view,
                       csp_random_t *random, int64_t deadline_ms)
{
  csp_once_round_t *round = calloc (1, sizeof *round);
  size_t count = count_scope (key, view);
  size_t i;

  if (round == NULL)
    return NULL;
  round->hosts = calloc (count + 1, sizeof *round->hosts);
  round->list = calloc (count + 1, sizeof (const char *));
  if (round->hosts == NULL || round->list == NULL)
    {
      csp_destroy_once_round (round);
      return NULL;
    }
  round->settings = *settings;
  round->key = *key;
  round->claim.high = csp_random_u64 (random);
  round->claim.low = csp_random_u64 (random);
  round->view_complete = view->list_read;
  round->view_confirmed_ms = view->confirmed_ms;
  round->deadline_ms = deadline_ms;
  if (key->scope == CSP_ONCE_SCOPE_HOST)
    {
      round->settings.allowed_silent = 0;
      round->settings.needed_witnesses = 1;
    }
  for (i = 0; i < view->count; i++)
    if (in_scope (key, &view->hosts[i]))
      add_host (round, &view->hosts[i]);
  qsort (round->hosts, round->count, sizeof *round->hosts, compare_ranks);
  return round;
}

void
csp_destroy_once_round (csp_once_round_t *round)
{
  if (round == NULL)
    return;
  free (round->hosts);
  free (round->list);
  free (round);
}

void
csp_set_once_host_status (csp_once_round_t *round, host_t *host,
                          host_status_t status)
{
  round->by_status[host->status]--;
  host->status = status;
  round->by_status[status]++;
}

host_t *
csp_find_once_host (csp_once_round_t *round, const char *name)
{
  host_t wanted;

  if (name == NULL || strnlen (name, sizeof wanted.name) == sizeof wanted.name)
    return NULL;
  memcpy (wanted.name, name, strlen (name) + 1);
  wanted.rank = rank_host (&round->key, name);
  return bsearch (&wanted, round->hosts, round->count, sizeof wanted,
                  compare_ranks);
}
