#include "membership/membership-imp.h"

#include "cowslipspoke/hash.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Returns the index of a name in by_name, or where it would be inserted.  */
static size_t
find_name_index (const csp_membership_t *membership, const char *name,
                 bool *found)
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
  size_t index_of_name = find_name_index (membership, name, &found);

  return found ? membership->by_name[index_of_name] : NULL;
}

static void
remove_peer (csp_membership_t *membership, size_t index_of_name)
{
  free (membership->by_name[index_of_name]);
  membership->peer_count--;
  memmove (&membership->by_name[index_of_name],
           &membership->by_name[index_of_name + 1],
           (membership->peer_count - index_of_name) * sizeof (csp_peer_t *));
}

/* Returns the host to remove when the table is full, the one that was unlisted
   first; SIZE_MAX if all are listed or in the view.  */
static size_t
find_removable_peer (const csp_membership_t *membership, int64_t now_ms)
{
  size_t removable = SIZE_MAX;
  const csp_peer_t *peer;
  size_t i;

  for (i = 0; i < membership->peer_count; i++)
    {
      peer = membership->by_name[i];
      if (!peer->view.self && !peer->view.listed
          && !csp_is_in_view (peer, now_ms)
          && (removable == SIZE_MAX
              || peer->unlisted_ms
                     < membership->by_name[removable]->unlisted_ms))
        removable = i;
    }
  return removable;
}

csp_peer_t *
csp_add_peer (csp_membership_t *membership, const char *name,
              const char *data_centre, int64_t now_ms)
{
  size_t removable = SIZE_MAX;
  csp_peer_t *peer;
  size_t index_of_name;
  bool found;

  if (membership->peer_count == CSP_MAX_HOSTS)
    {
      removable = find_removable_peer (membership, now_ms);
      if (removable == SIZE_MAX)
        return NULL;
    }
  peer = calloc (1, sizeof *peer);
  if (peer == NULL)
    return NULL;
  if (removable != SIZE_MAX)
    remove_peer (membership, removable);
  index_of_name = find_name_index (membership, name, &found);
  memmove (&membership->by_name[index_of_name + 1],
           &membership->by_name[index_of_name],
           (membership->peer_count - index_of_name) * sizeof (csp_peer_t *));
  membership->by_name[index_of_name] = peer;
  membership->peer_count++;
  snprintf (peer->view.name, sizeof peer->view.name, "%s", name);
  snprintf (peer->view.data_centre, sizeof peer->view.data_centre, "%s",
            data_centre);
  peer->order = csp_hash_pair (data_centre, name);
  peer->confirmed_ms = -1;
  peer->silent_since_ms = now_ms;
  peer->known_since_ms = now_ms;
  peer->unlisted_ms = now_ms;
  peer->lease_until_ms = INT64_MIN;
  return peer;
}

void
csp_remove_old_peers (csp_membership_t *membership, int64_t now_ms)
{
  const csp_peer_t *peer;
  bool gone = false;
  size_t i;

  for (i = membership->peer_count; i-- > 0;)
    {
      peer = membership->by_name[i];
      if (peer->view.self || peer->view.listed
          || peer->view.liveness == CSP_PEER_ALIVE
          || csp_is_in_view (peer, now_ms)
          || now_ms - peer->unlisted_ms < CSP_PEER_RETENTION_MS
          || now_ms - peer->last_message_ms < CSP_PEER_RETENTION_MS)
        continue;
      remove_peer (membership, i);
      gone = true;
    }
  if (gone || membership->must_rearrange)
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
find_or_add_data_centre (csp_membership_t *membership, const char *name)
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

/* Whether a host is unlisted and has been silent for long.  Before that it
   gets heartbeats and is reported to others: those that haven't found it
   silent yet need this host's report.  */
static bool
is_given_up (const csp_membership_t *membership, const csp_peer_t *peer)
{
  return !peer->view.listed && peer->view.liveness == CSP_PEER_SILENT
         && membership->last_tick_ms - peer->silent_since_ms >= CSP_GIVE_UP_MS;
}

/* In a data centre of up to CSP_MAX_NEIGHBOURS + 1 hosts each sends heartbeats
   to each.  In a larger one each sends to the next ones in the circular order,
   so that the cost per host is constant and each host has that many witnesses.
   Hosts that have been given up aren't counted.  */
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
      = (int64_t)chosen * CSP_HEARTBEAT_MS / CSP_HEARTBEATS_PER_S;
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
      data_centre
          = find_or_add_data_centre (membership, peer->view.data_centre);
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
  membership->must_rearrange = false;
}
