#include "membership/membership-imp.h"

#include "cowslipspoke/hash.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Where a name stands in by_name, or would.  */
static size_t
find_place (const csp_membership_t *membership, const char *name, bool *found)
{
  size_t low = 0;
  size_t high = membership->peer_count;
  size_t middle;
  int order;

  *found = false;
  while (low < high)
    {
      middle = (low + high) / 2;
      order = strcmp (membership->by_name[middle]->view.name, name);
      if (order == 0)
        {
          *found = true;
          return middle;
        }
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

csp_peer_t *
csp_find_peer (const csp_membership_t *membership, const char *name)
{
  bool found;
  size_t place = find_place (membership, name, &found);

  return found ? membership->by_name[place] : NULL;
}

static void
remove_peer (csp_membership_t *membership, size_t place)
{
  free (membership->by_name[place]);
  membership->peer_count--;
  memmove (&membership->by_name[place], &membership->by_name[place + 1],
           (membership->peer_count - place) * sizeof (csp_peer_t *));
}

/* The host that can be missed most: unlisted the longest; SIZE_MAX where all
   are listed or in the view.  */
static size_t
find_least_needed (const csp_membership_t *membership, int64_t now_ms)
{
  size_t least = SIZE_MAX;
  const csp_peer_t *peer;
  size_t i;

  for (i = 0; i < membership->peer_count; i++)
    {
      peer = membership->by_name[i];
      if (!peer->view.self && !peer->view.listed && !csp_in_view (peer, now_ms)
          && (least == SIZE_MAX
              || peer->unlisted_ms < membership->by_name[least]->unlisted_ms))
        least = i;
    }
  return least;
}

csp_peer_t *
csp_add_peer (csp_membership_t *membership, const char *name,
              const char *data_centre, int64_t now_ms)
{
  size_t least = SIZE_MAX;
  csp_peer_t *peer;
  size_t place;
  bool found;

  if (membership->peer_count == CSP_MAX_HOSTS)
    {
      least = find_least_needed (membership, now_ms);
      if (least == SIZE_MAX)
        return NULL;
    }
  peer = calloc (1, sizeof *peer);
  if (peer == NULL)
    return NULL;
  if (least != SIZE_MAX)
    remove_peer (membership, least);
  place = find_place (membership, name, &found);
  memmove (&membership->by_name[place + 1], &membership->by_name[place],
           (membership->peer_count - place) * sizeof (csp_peer_t *));
  membership->by_name[place] = peer;
  membership->peer_count++;
  snprintf (peer->view.name, sizeof peer->view.name, "%s", name);
  snprintf (peer->view.data_centre, sizeof peer->view.data_centre, "%s",
            data_centre);
  peer->order = csp_hash_pair (data_centre, name);
  peer->confirmed_ms = -1;
  peer->silence_base_ms = now_ms;
  peer->known_since_ms = now_ms;
  peer->unlisted_ms = now_ms;
  peer->promise_until_ms = INT64_MIN;
  return peer;
}

void
csp_forget_peers (csp_membership_t *membership, int64_t now_ms)
{
  const csp_peer_t *peer;
  bool gone = false;
  size_t i;

  for (i = membership->peer_count; i-- > 0;)
    {
      peer = membership->by_name[i];
      if (peer->view.self || peer->view.listed
          || peer->view.liveness == CSP_PEER_ALIVE
          || csp_in_view (peer, now_ms)
          || now_ms - peer->unlisted_ms < CSP_FORGET_MS
          || now_ms - peer->heard_ms < CSP_FORGET_MS)
        continue;
      remove_peer (membership, i);
      gone = true;
    }
  if (gone || membership->rearrange)
    csp_arrange_peers (membership);
}

static int
compare_order (const void *a, const void *b)
{
  const csp_peer_t *first = *(const csp_peer_t *const *)a;
  const csp_peer_t *second = *(const csp_peer_t *const *)b;
  int order = strcmp (first->view.data_centre, second->view.data_centre);

  if (order != 0)
    return order;
  if (first->order != second->order)
    return first->order < second->order ? -1 : 1;
  return strcmp (first->view.name, second->view.name);
}

csp_data_centre_t *
csp_find_data_centre (csp_membership_t *membership, const char *name)
{
  size_t i;

  for (i = 0; i < membership->data_centre_count; i++)
    if (strcmp (membership->data_centres[i].name, name) == 0)
      return &membership->data_centres[i];
  return NULL;
}

static csp_data_centre_t *
claim_data_centre (csp_membership_t *membership, const char *name)
{
  csp_data_centre_t *found = csp_find_data_centre (membership, name);

  if (found != NULL)
    return found;
  if (membership->data_centre_count == CSP_MAX_DATA_CENTRES)
    return NULL;
  found = &membership->data_centres[membership->data_centre_count++];
  snprintf (found->name, sizeof found->name, "%s", name);
  return found;
}

/* Gone from the list and silent for good.  Until then it is asked, and named
   to others: those who have not seen it fall silent yet need our word.  */
static bool
is_given_up (const csp_membership_t *membership, const csp_peer_t *peer)
{
  return !peer->view.listed && peer->view.liveness == CSP_PEER_SILENT
         && membership->last_tick_ms - peer->silence_base_ms >= CSP_GIVE_UP_MS;
}

/* In a data centre of up to CSP_MAX_NEIGHBOURS + 1 hosts everyone asks
   everyone.  In a larger one each asks the next ones in the ring, so that the
   cost stays flat and each host has that many witnesses.  Hosts that are gone
   from the list and silent take no place.  */
static void
choose_neighbours (csp_membership_t *membership)
{
  const csp_data_centre_t *home = &membership->data_centres[membership->home];
  csp_peer_t **hosts = &membership->by_order[home->first];
  size_t chosen = 0;
  size_t counted = 0;
  size_t self = 0;
  csp_peer_t *peer;
  size_t i;

  for (i = 0; i < home->count; i++)
    {
      hosts[i]->neighbour = false;
      if (hosts[i]->view.self)
        self = i;
    }
  for (i = 1; i < home->count; i++)
    {
      peer = hosts[(self + i) % home->count];
      if (is_given_up (membership, peer))
        continue;
      counted++;
      peer->neighbour = chosen < CSP_MAX_NEIGHBOURS;
      chosen += peer->neighbour;
    }
  membership->large = counted > CSP_MAX_NEIGHBOURS;
  membership->interval_ms
      = (int64_t)chosen * CSP_HEARTBEAT_MS / CSP_ASKS_PER_S;
  if (membership->interval_ms < CSP_HEARTBEAT_MS)
    membership->interval_ms = CSP_HEARTBEAT_MS;
}

void
csp_arrange_peers (csp_membership_t *membership)
{
  csp_data_centre_t *data_centre;
  csp_peer_t *peer;
  size_t i;

  memcpy (membership->by_order, membership->by_name,
          membership->peer_count * sizeof (csp_peer_t *));
  qsort (membership->by_order, membership->peer_count, sizeof (csp_peer_t *),
         compare_order);
  for (i = 0; i < membership->data_centre_count; i++)
    membership->data_centres[i].count = 0;
  for (i = 0; i < membership->peer_count; i++)
    {
      peer = membership->by_order[i];
      data_centre = claim_data_centre (membership, peer->view.data_centre);
      if (data_centre == NULL)
        continue;
      if (data_centre->count++ == 0)
        data_centre->first = i;
      peer->local
          = strcmp (peer->view.data_centre, membership->self->view.data_centre)
            == 0;
    }
  data_centre
      = csp_find_data_centre (membership, membership->self->view.data_centre);
  membership->home = (size_t)(data_centre - membership->data_centres);
  choose_neighbours (membership);
  membership->rearrange = false;
}
