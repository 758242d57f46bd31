#include "cowslipspoke/spread.h"
#include "cowslipspoke/random.h"

#include <stdlib.h>
#include <string.h>

/* A question that is out; id 0 is none.  */
typedef struct
{
  uint64_t id;
  int64_t started_ms;
  int64_t until_ms;
  int64_t next_ms;
  bool whole;
  char peer[CSP_HOST_NAME_BYTES];
} question_t;

struct csp_spread
{
  csp_configuration_t *configuration;
  csp_random_t random;
  int64_t started_ms;
  int64_t whole_due_ms;
  uint64_t last_id;
  question_t read;
  question_t pull;
  /* The last read was an attempt at all, and the last pull failed there.  */
  bool service_tried;
  char bad_peer[CSP_HOST_NAME_BYTES];
  csp_spread_status_t status;
};

static int64_t
jitter (csp_spread_t *spread, int64_t ms)
{
  return (int64_t)csp_random_below (&spread->random, (uint32_t)ms + 1);
}

csp_spread_t *
csp_create_spread (csp_configuration_t *configuration, uint64_t seed,
                   int64_t now_ms)
{
  csp_spread_t *spread = calloc (1, sizeof *spread);

  if (spread == NULL)
    return NULL;
  spread->configuration = configuration;
  spread->started_ms = now_ms;
  csp_seed_random (&spread->random, seed);
  spread->whole_due_ms
      = now_ms + CSP_WHOLE_CHECK_MS + jitter (spread, CSP_WHOLE_CHECK_MS);
  return spread;
}

void
csp_destroy_spread (csp_spread_t *spread)
{
  free (spread);
}

static void
start_question (csp_spread_t *spread, question_t *question, bool whole,
                uint32_t timeout_ms, int64_t now_ms)
{
  question->id = ++spread->last_id;
  question->started_ms = now_ms;
  question->until_ms = now_ms + timeout_ms;
  question->whole = whole;
}

/* A host reads while fewer than CSP_READERS hosts before it, in the order
   that all share, say that the service answers them.  A reader that died
   leaves the order; one that is cut off from the service says so in its
   heartbeats; either way the next in order takes its place.  */
static bool
is_reader (const csp_spread_peer_t *peers, size_t peer_count, size_t rank)
{
  size_t ahead = 0;
  size_t seen = 0;
  size_t i;

  for (i = 0; i < peer_count && seen < rank; i++)
    if (peers[i].same_data_centre)
      {
        seen++;
        ahead += !peers[i].service_silent;
      }
  return ahead < CSP_READERS;
}

static csp_spread_action_t *
add_action (csp_spread_actions_t *actions, csp_spread_kind_t kind,
            const question_t *question, int64_t after)
{
  csp_spread_action_t *action = &actions->items[actions->count++];

  memset (action, 0, sizeof *action);
  action->kind = kind;
  action->id = question->id;
  action->after = question->whole ? 0 : after;
  action->timeout_ms = (uint32_t)(question->until_ms - question->started_ms);
  return action;
}

static void
decide_read (csp_spread_t *spread, int64_t now_ms,
             csp_spread_actions_t *actions)
{
  int64_t after = csp_find_watch_base (spread->configuration);
  bool first = !spread->service_tried;
  csp_spread_action_t *action;
  question_t *read = &spread->read;
  bool whole = read->whole;
  uint32_t wait_ms;

  if (read->id != 0 || now_ms < read->next_ms
      || !(spread->status.reader || first))
    return;
  if (now_ms >= spread->whole_due_ms)
    {
      whole = true;
      spread->whole_due_ms
          = now_ms + CSP_WHOLE_CHECK_MS + jitter (spread, CSP_WHOLE_CHECK_MS);
    }
  wait_ms = whole || after == 0 ? 0 : CSP_WATCH_WAIT_MS;
  start_question (spread, read, whole, wait_ms + CSP_WATCH_GRACE_MS, now_ms);
  action = add_action (actions, CSP_SPREAD_READ_SERVICE, read, after);
  action->wait_ms = wait_ms;
  spread->status.reads++;
}

/* Whether a peer has a revision, or a fault to show, that we have not.  */
static bool
has_news (const csp_spread_peer_t *peer, const csp_config_status_t *held,
          int64_t known)
{
  return peer->revision > known
         || (peer->refused_revision > held->revision
             && peer->refused_revision > held->refused_revision);
}

/* One of the peers with news, at random so that the readers share the work;
   of our own data centre if any is.  */
static const csp_spread_peer_t *
choose_peer (csp_spread_t *spread, const csp_spread_peer_t *peers,
             size_t peer_count)
{
  const csp_spread_peer_t *chosen = NULL;
  csp_config_status_t held;
  int64_t known = csp_find_watch_base (spread->configuration);
  uint32_t equals = 0;
  bool better;
  size_t i;

  csp_describe_configuration (spread->configuration, &held);
  for (i = 0; i < peer_count; i++)
    {
      if (!has_news (&peers[i], &held, known)
          || strcmp (peers[i].name, spread->bad_peer) == 0)
        continue;
      better = chosen == NULL
               || peers[i].same_data_centre > chosen->same_data_centre;
      if (!better && peers[i].same_data_centre < chosen->same_data_centre)
        continue;
      equals = better ? 1 : equals + 1;
      if (better || csp_random_below (&spread->random, equals) == 0)
        chosen = &peers[i];
    }
  /* A peer that failed is left out once, then it may be all there is.  */
  if (chosen == NULL)
    spread->bad_peer[0] = '\0';
  return chosen;
}

static void
decide_pull (csp_spread_t *spread, const csp_spread_peer_t *peers,
             size_t peer_count, int64_t now_ms, csp_spread_actions_t *actions)
{
  const csp_spread_peer_t *peer;
  csp_config_status_t held;
  csp_spread_action_t *action;
  question_t *pull = &spread->pull;

  if (pull->id != 0 || now_ms < pull->next_ms)
    return;
  peer = choose_peer (spread, peers, peer_count);
  if (peer == NULL)
    return;
  csp_describe_configuration (spread->configuration, &held);
  start_question (spread, pull, pull->whole, CSP_PULL_TIMEOUT_MS, now_ms);
  memcpy (pull->peer, peer->name, sizeof pull->peer);
  action = add_action (actions, CSP_SPREAD_PULL_PEER, pull, held.revision);
  memcpy (action->peer, peer->name, sizeof action->peer);
  spread->status.pulls++;
}

static void
note_conflicts (csp_spread_t *spread, const csp_spread_peer_t *peers,
                size_t peer_count)
{
  csp_config_status_t held;
  size_t count = 0;
  size_t i;

  csp_describe_configuration (spread->configuration, &held);
  for (i = 0; i < peer_count; i++)
    count += peers[i].revision == held.revision && held.revision > 0
             && peers[i].digest != 0 && peers[i].digest != held.digest;
  if (count > spread->status.peer_conflicts)
    csp_note_conflict (spread->configuration);
  spread->status.peer_conflicts = count;
}

static void
decide_start (csp_spread_t *spread, const csp_spread_peer_t *peers,
              size_t peer_count, int64_t now_ms)
{
  int64_t waited_ms = now_ms - spread->started_ms;
  csp_config_status_t held;
  bool heard = false;
  bool behind = false;
  size_t i;

  if (spread->status.start_over)
    return;
  csp_describe_configuration (spread->configuration, &held);
  for (i = 0; i < peer_count; i++)
    {
      heard = heard || peers[i].revision > 0;
      behind = behind || peers[i].revision > held.revision;
    }
  spread->status.start_over
      = waited_ms >= CSP_START_WAIT_MS
        || (held.revision > 0 && spread->service_tried && !behind
            && (heard || waited_ms >= CSP_START_SETTLE_MS));
}

static void
expire_questions (csp_spread_t *spread, int64_t now_ms)
{
  if (spread->read.id != 0 && now_ms >= spread->read.until_ms)
    csp_handle_read_failed (spread, spread->read.id, now_ms);
  if (spread->pull.id != 0 && now_ms >= spread->pull.until_ms)
    csp_handle_pull_failed (spread, spread->pull.id, now_ms);
}

void
csp_tick_spread (csp_spread_t *spread, const csp_spread_peer_t *peers,
                 size_t peer_count, size_t rank, int64_t now_ms,
                 csp_spread_actions_t *actions)
{
  actions->count = 0;
  expire_questions (spread, now_ms);
  note_conflicts (spread, peers, peer_count);
  spread->status.reader = is_reader (peers, peer_count, rank);
  decide_read (spread, now_ms, actions);
  decide_pull (spread, peers, peer_count, now_ms, actions);
  decide_start (spread, peers, peer_count, now_ms);
}

/* Close the question that an answer belongs to.  An answer that comes after
   its question timed out, or twice, belongs to none.  */
static bool
close_question (csp_spread_t *spread, question_t *question, uint64_t id)
{
  if (id == 0 || question->id != id)
    {
      spread->status.crossed_answers++;
      return false;
    }
  question->id = 0;
  return true;
}

static int64_t
after_gap (int64_t started_ms, int64_t gap_ms, int64_t now_ms)
{
  return started_ms + gap_ms > now_ms ? started_ms + gap_ms : now_ms;
}

csp_config_result_t
csp_handle_read (csp_spread_t *spread, uint64_t id,
                 const csp_config_delta_t *delta, int64_t now_ms)
{
  csp_config_result_t result;
  question_t *read = &spread->read;

  if (!close_question (spread, read, id))
    return CSP_CONFIG_SAME;
  spread->service_tried = true;
  spread->status.service_silent = false;
  result = csp_take_configuration (spread->configuration, CSP_SOURCE_SERVICE,
                                   delta);
  read->whole = result == CSP_CONFIG_ASK_WHOLE;
  /* A stale service answers at once; asking it again at once would make every
     reader spin on it.  */
  read->next_ms = after_gap (read->started_ms,
                             result == CSP_CONFIG_STALE ? CSP_READ_RETRY_MS
                                                        : CSP_READ_GAP_MS,
                             now_ms);
  return result;
}

void
csp_handle_read_failed (csp_spread_t *spread, uint64_t id, int64_t now_ms)
{
  if (!close_question (spread, &spread->read, id))
    return;
  spread->service_tried = true;
  spread->status.service_silent = true;
  spread->status.failed_reads++;
  spread->read.next_ms
      = now_ms + CSP_READ_RETRY_MS + jitter (spread, CSP_READ_GAP_MS);
}

static void
leave_out_peer (csp_spread_t *spread)
{
  memcpy (spread->bad_peer, spread->pull.peer, sizeof spread->bad_peer);
  spread->status.failed_pulls++;
}

csp_config_result_t
csp_handle_pull (csp_spread_t *spread, uint64_t id,
                 const csp_config_delta_t *delta, int64_t refused_revision,
                 const char *fault, int64_t now_ms)
{
  csp_config_result_t result;
  question_t *pull = &spread->pull;

  if (!close_question (spread, pull, id))
    return CSP_CONFIG_SAME;
  result
      = csp_take_configuration (spread->configuration, CSP_SOURCE_PEER, delta);
  csp_note_refused (spread->configuration, refused_revision, fault);
  pull->next_ms = after_gap (pull->started_ms, CSP_PULL_GAP_MS, now_ms);
  /* A whole that does not give its own digest is broken at the sender; to ask
     again at once would move the whole configuration every second.  */
  if (result == CSP_CONFIG_ASK_WHOLE && pull->whole)
    {
      leave_out_peer (spread);
      pull->next_ms = now_ms + CSP_READ_RETRY_MS;
    }
  pull->whole = result == CSP_CONFIG_ASK_WHOLE && !pull->whole;
  if (result == CSP_CONFIG_TAKEN)
    spread->bad_peer[0] = '\0';
  return result;
}

void
csp_handle_pull_failed (csp_spread_t *spread, uint64_t id, int64_t now_ms)
{
  if (!close_question (spread, &spread->pull, id))
    return;
  leave_out_peer (spread);
  spread->pull.next_ms = now_ms;
}

void
csp_describe_spread (const csp_spread_t *spread, csp_spread_status_t *status)
{
  *status = spread->status;
}
