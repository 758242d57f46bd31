#include "cowslipspoke/spread.h"
#include "cowslipspoke/random.h"

#include <stdlib.h>
#include <string.h>

/* A pending read or pull; id is 0 if none is pending.  */
typedef struct
{
  uint64_t id;
  int64_t started_ms;
  int64_t timeout_at_ms;
  int64_t next_ms;
  bool full;
  char peer[CSP_HOST_NAME_BYTES];
} pending_request_t;

struct csp_config_sync
{
  csp_configuration_t *configuration;
  csp_random_t random;
  int64_t started_ms;
  int64_t full_read_due_ms;
  uint64_t last_id;
  pending_request_t read;
  pending_request_t pull;
  /* service_tried: a read of the service has succeeded or failed since the
     start.  failed_peer: the peer of the last failed pull.  */
  bool service_tried;
  char failed_peer[CSP_HOST_NAME_BYTES];
  csp_config_sync_status_t status;
};

static int64_t
jitter (csp_config_sync_t *sync, int64_t ms)
{
  return (int64_t)csp_random_below (&sync->random, (uint32_t)ms + 1);
}

csp_config_sync_t *
csp_create_config_sync (csp_configuration_t *configuration, uint64_t seed,
                        int64_t now_ms)
{
  csp_config_sync_t *sync = calloc (1, sizeof *sync);

  if (sync == NULL)
    return NULL;
  sync->configuration = configuration;
  sync->started_ms = now_ms;
  csp_seed_random (&sync->random, seed);
  sync->full_read_due_ms = now_ms + CSP_FULL_READ_PERIOD_MS
                           + jitter (sync, CSP_FULL_READ_PERIOD_MS);
  return sync;
}

void
csp_destroy_config_sync (csp_config_sync_t *sync)
{
  free (sync);
}

static void
start_request (csp_config_sync_t *sync, pending_request_t *request, bool full,
               uint32_t timeout_ms, int64_t now_ms)
{
  request->id = ++sync->last_id;
  request->started_ms = now_ms;
  request->timeout_at_ms = now_ms + timeout_ms;
  request->full = full;
}

/* A host is a reader while fewer than CSP_READERS_PER_DATA_CENTRE hosts before
   it in the common rendezvous order can read the service.  A reader that
   failed is no longer in the order, and one that can't reach the service
   reports so in its heartbeats; in both cases the next host in order takes its
   place.  */
static bool
is_reader (const csp_config_sync_peer_t *peers, size_t peer_count, size_t rank)
{
  size_t answering_before = 0;
  size_t seen = 0;
  size_t i;

  for (i = 0; i < peer_count && seen < rank; i++)
    if (peers[i].same_data_centre)
      {
        seen++;
        answering_before += !peers[i].service_silent;
      }
  return answering_before < CSP_READERS_PER_DATA_CENTRE;
}

static csp_config_sync_action_t *
add_action (csp_config_sync_actions_t *actions, csp_config_sync_kind_t kind,
            const pending_request_t *request, int64_t after)
{
  csp_config_sync_action_t *action = &actions->items[actions->count++];

  memset (action, 0, sizeof *action);
  action->kind = kind;
  action->id = request->id;
  action->after = request->full ? 0 : after;
  action->timeout_ms
      = (uint32_t)(request->timeout_at_ms - request->started_ms);
  return action;
}

static void
decide_read (csp_config_sync_t *sync, int64_t now_ms,
             csp_config_sync_actions_t *actions)
{
  int64_t after = csp_get_watch_revision (sync->configuration);
  bool first_read = !sync->service_tried;
  csp_config_sync_action_t *action;
  pending_request_t *read = &sync->read;
  bool full = read->full;
  uint32_t wait_ms;

  if (read->id != 0 || now_ms < read->next_ms
      || !(sync->status.reader || first_read))
    return;
  if (now_ms >= sync->full_read_due_ms)
    {
      full = true;
      sync->full_read_due_ms = now_ms + CSP_FULL_READ_PERIOD_MS
                               + jitter (sync, CSP_FULL_READ_PERIOD_MS);
    }
  wait_ms = full || after == 0 ? 0 : CSP_WATCH_WAIT_MS;
  start_request (sync, read, full, wait_ms + CSP_WATCH_GRACE_MS, now_ms);
  action = add_action (actions, CSP_CONFIG_SYNC_READ_SERVICE, read, after);
  action->wait_ms = wait_ms;
  sync->status.reads++;
}

/* Whether a peer has a higher revision, or a higher refused revision, than
   this host.  */
static bool
has_newer_revision (const csp_config_sync_peer_t *peer,
                    const csp_config_status_t *current, int64_t known_revision)
{
  return peer->revision > known_revision
         || (peer->refused_revision > current->revision
             && peer->refused_revision > current->refused_revision);
}

/* Chooses a peer with a newer revision, one of the own data centre if there is
   any.  The choice is random, so that pulls are shared among the readers.  */
static const csp_config_sync_peer_t *
choose_peer (csp_config_sync_t *sync, const csp_config_sync_peer_t *peers,
             size_t peer_count)
{
  const csp_config_sync_peer_t *chosen = NULL;
  csp_config_status_t current;
  int64_t known_revision = csp_get_watch_revision (sync->configuration);
  uint32_t tie_count = 0;
  bool better;
  size_t i;

  csp_get_configuration_status (sync->configuration, &current);
  for (i = 0; i < peer_count; i++)
    {
      if (!has_newer_revision (&peers[i], &current, known_revision)
          || strcmp (peers[i].name, sync->failed_peer) == 0)
        continue;
      better = chosen == NULL
               || peers[i].same_data_centre > chosen->same_data_centre;
      if (!better && peers[i].same_data_centre < chosen->same_data_centre)
        continue;
      tie_count = better ? 1 : tie_count + 1;
      if (better || csp_random_below (&sync->random, tie_count) == 0)
        chosen = &peers[i];
    }
  /* A peer whose pull failed is skipped once; then it may be the only one.  */
  if (chosen == NULL)
    sync->failed_peer[0] = '\0';
  return chosen;
}

static void
decide_pull (csp_config_sync_t *sync, const csp_config_sync_peer_t *peers,
             size_t peer_count, int64_t now_ms,
             csp_config_sync_actions_t *actions)
{
  const csp_config_sync_peer_t *peer;
  csp_config_status_t current;
  csp_config_sync_action_t *action;
  pending_request_t *pull = &sync->pull;

  if (pull->id != 0 || now_ms < pull->next_ms)
    return;
  peer = choose_peer (sync, peers, peer_count);
  if (peer == NULL)
    return;
  csp_get_configuration_status (sync->configuration, &current);
  start_request (sync, pull, pull->full, CSP_PULL_TIMEOUT_MS, now_ms);
  memcpy (pull->peer, peer->name, sizeof pull->peer);
  action = add_action (actions, CSP_CONFIG_SYNC_PULL_PEER, pull,
                       current.revision);
  memcpy (action->peer, peer->name, sizeof action->peer);
  sync->status.pulls++;
}

static void
record_conflicts (csp_config_sync_t *sync, const csp_config_sync_peer_t *peers,
                  size_t peer_count)
{
  csp_config_status_t current;
  size_t count = 0;
  size_t i;

  csp_get_configuration_status (sync->configuration, &current);
  for (i = 0; i < peer_count; i++)
    count += peers[i].revision == current.revision && current.revision > 0
             && peers[i].digest != 0 && peers[i].digest != current.digest;
  if (count > sync->status.peer_conflicts)
    csp_record_config_conflict (sync->configuration);
  sync->status.peer_conflicts = count;
}

static void
update_startup (csp_config_sync_t *sync, const csp_config_sync_peer_t *peers,
                size_t peer_count, int64_t now_ms)
{
  int64_t waited_ms = now_ms - sync->started_ms;
  csp_config_status_t current;
  bool peer_has_configuration = false;
  bool is_behind = false;
  size_t i;

  if (sync->status.startup_done)
    return;
  csp_get_configuration_status (sync->configuration, &current);
  for (i = 0; i < peer_count; i++)
    {
      peer_has_configuration = peer_has_configuration || peers[i].revision > 0;
      is_behind = is_behind || peers[i].revision > current.revision;
    }
  sync->status.startup_done
      = waited_ms >= CSP_START_WAIT_MS
        || (current.revision > 0 && sync->service_tried && !is_behind
            && (peer_has_configuration
                || waited_ms >= CSP_START_PEER_WAIT_MS));
}

static void
expire_requests (csp_config_sync_t *sync, int64_t now_ms)
{
  if (sync->read.id != 0 && now_ms >= sync->read.timeout_at_ms)
    csp_handle_read_failed (sync, sync->read.id, now_ms);
  if (sync->pull.id != 0 && now_ms >= sync->pull.timeout_at_ms)
    csp_handle_pull_failed (sync, sync->pull.id, now_ms);
}

void
csp_tick_config_sync (csp_config_sync_t *sync,
                      const csp_config_sync_peer_t *peers, size_t peer_count,
                      size_t rank, int64_t now_ms,
                      csp_config_sync_actions_t *actions)
{
  actions->count = 0;
  expire_requests (sync, now_ms);
  record_conflicts (sync, peers, peer_count);
  sync->status.reader = is_reader (peers, peer_count, rank);
  decide_read (sync, now_ms, actions);
  decide_pull (sync, peers, peer_count, now_ms, actions);
  update_startup (sync, peers, peer_count, now_ms);
}

/* Ends the pending request that an answer belongs to.  Returns false for an
   answer that arrives twice or after its request timed out.  */
static bool
finish_request (csp_config_sync_t *sync, pending_request_t *request,
                uint64_t id)
{
  if (id == 0 || request->id != id)
    {
      sync->status.dropped_answers++;
      return false;
    }
  request->id = 0;
  return true;
}

static int64_t
next_allowed_ms (int64_t started_ms, int64_t gap_ms, int64_t now_ms)
{
  return started_ms + gap_ms > now_ms ? started_ms + gap_ms : now_ms;
}

csp_config_result_t
csp_handle_read (csp_config_sync_t *sync, uint64_t id,
                 const csp_config_delta_t *delta, int64_t now_ms)
{
  csp_config_result_t result;
  pending_request_t *read = &sync->read;

  if (!finish_request (sync, read, id))
    return CSP_CONFIG_SAME;
  sync->service_tried = true;
  sync->status.service_silent = false;
  result = csp_apply_configuration (sync->configuration, CSP_SOURCE_SERVICE,
                                    delta);
  read->full = result == CSP_CONFIG_NEEDS_FULL;
  /* A stale service answers a watch at once, so without a pause every reader
     would read it in a loop.  */
  read->next_ms = next_allowed_ms (
      read->started_ms,
      result == CSP_CONFIG_STALE ? CSP_READ_RETRY_MS : CSP_READ_GAP_MS,
      now_ms);
  return result;
}

void
csp_handle_read_failed (csp_config_sync_t *sync, uint64_t id, int64_t now_ms)
{
  if (!finish_request (sync, &sync->read, id))
    return;
  sync->service_tried = true;
  sync->status.service_silent = true;
  sync->status.failed_reads++;
  sync->read.next_ms
      = now_ms + CSP_READ_RETRY_MS + jitter (sync, CSP_READ_GAP_MS);
}

static void
record_failed_pull (csp_config_sync_t *sync)
{
  memcpy (sync->failed_peer, sync->pull.peer, sizeof sync->failed_peer);
  sync->status.failed_pulls++;
}

csp_config_result_t
csp_handle_pull (csp_config_sync_t *sync, uint64_t id,
                 const csp_config_delta_t *delta, int64_t refused_revision,
                 const char *fault, int64_t now_ms)
{
  csp_config_result_t result;
  pending_request_t *pull = &sync->pull;

  if (!finish_request (sync, pull, id))
    return CSP_CONFIG_SAME;
  result
      = csp_apply_configuration (sync->configuration, CSP_SOURCE_PEER, delta);
  csp_record_refused_revision (sync->configuration, refused_revision, fault);
  pull->next_ms = next_allowed_ms (pull->started_ms, CSP_PULL_GAP_MS, now_ms);
  /* A full configuration that doesn't match its own digest is broken at the
     sender.  Without a pause, the full configuration would be pulled every
     second.  */
  if (result == CSP_CONFIG_NEEDS_FULL && pull->full)
    {
      record_failed_pull (sync);
      pull->next_ms = now_ms + CSP_READ_RETRY_MS;
    }
  pull->full = result == CSP_CONFIG_NEEDS_FULL && !pull->full;
  if (result == CSP_CONFIG_APPLIED)
    sync->failed_peer[0] = '\0';
  return result;
}

void
csp_handle_pull_failed (csp_config_sync_t *sync, uint64_t id, int64_t now_ms)
{
  if (!finish_request (sync, &sync->pull, id))
    return;
  record_failed_pull (sync);
  sync->pull.next_ms = now_ms;
}

void
csp_get_config_sync_status (const csp_config_sync_t *sync,
                            csp_config_sync_status_t *status)
{
  *status = sync->status;
}
