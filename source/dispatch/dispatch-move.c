#include "dispatch/dispatch-imp.h"

#include <math.h>

/* Decides which streams leave a target, where each goes, and when.

   Load pattern: an eighth of the engines is taken away at a notice of 1.5 s,
   and each runs five streams of five hosts.  A copy occupies the links of both
   engines for 0.2 s, twice that between data centres, and copies on one link
   queue.  A run that was stopped while its copy waits for others pauses for
   half a second, which its caller sees.  Two hosts that choose the same last
   free capacity are refused there until the engine is gone and the streams are
   lost.  So one host assigns each stream its destination, reserves the
   capacity there, and lets only one copy run on a link at a time.

   When hosts instead computed the order from the stream lengths that they
   reported to each other, 77 of 160 streams that moved on a day of 48 engines
   paused for more than 0.13 s, 74 of them beside another copy on the same
   link, and 92 copies were refused.  */

enum
{
  /* A waiting move is dropped after this time without a repeated ask: its host
     or the stream is gone.  Hosts repeat asks every 40 to 250 ms.  */
  WAITING_TIMEOUT_MS = 1000,
  /* A started move is dropped after this time.  Moves take 0.4 to 1 s, and the
     host's message about the end may be lost.  */
  STARTED_TIMEOUT_MS = 1500
};

/* Maximum memory share of the destination.  It is the whole memory, as a run
   that gets no destination is lost.  */
static const double max_move_memory_share = 1.0;

static csp_dispatch_move_t *
find_move (csp_dispatch_t *dispatch, csp_peer_address_t host, uint64_t id)
{
  size_t i;

  for (i = 0; i < dispatch->move_end; i++)
    if (dispatch->moves[i].used && dispatch->moves[i].ask.id == id
        && csp_is_same_peer (dispatch->moves[i].ask.host, host))
      return &dispatch->moves[i];
  return NULL;
}

static csp_dispatch_move_t *
allocate_move (csp_dispatch_t *dispatch)
{
  size_t i;

  for (i = 0; i < CSP_DISPATCH_MOVES_MAX; i++)
    if (!dispatch->moves[i].used)
      {
        if (i >= dispatch->move_end)
          dispatch->move_end = i + 1;
        dispatch->move_count++;
        return &dispatch->moves[i];
      }
  return NULL;
}

/* Reserves the destination's capacity for a stream that waits to be moved.  */
static void
reserve_destination (csp_dispatch_move_t *move, csp_fleet_target_t *to)
{
  move->to = to;
  to->users++;
  to->reserved.requests++;
  to->reserved.tokens += move->ask.tokens;
}

/* Ends this reservation: after the start of the move the stream's own host
   counts and reports the load.  */
static void
release_destination_load (csp_dispatch_move_t *move)
{
  move->to->reserved.requests--;
  move->to->reserved.tokens -= move->ask.tokens;
}

static void
remove_move (csp_dispatch_t *dispatch, csp_dispatch_move_t *move)
{
  if (move->to != NULL && !move->started)
    release_destination_load (move);
  if (move->to != NULL)
    move->to->users--;
  move->from->users--;
  *move = (csp_dispatch_move_t){ .used = false };
  dispatch->move_count--;
  while (dispatch->move_end > 0
         && !dispatch->moves[dispatch->move_end - 1].used)
    dispatch->move_end--;
}

void
csp_release_all_moves (csp_dispatch_t *dispatch)
{
  size_t i;

  for (i = dispatch->move_end; i-- > 0;)
    if (dispatch->moves[i].used)
      remove_move (dispatch, &dispatch->moves[i]);
}

void
csp_push_move (csp_dispatch_t *dispatch, const csp_ask_t *ask, uint8_t pool,
               int64_t now_ms)
{
  csp_dispatch_move_t *move = find_move (dispatch, ask->host, ask->id);
  csp_fleet_target_t *from
      = csp_find_target_by_hash (dispatch->fleet, ask->moves_from);

  if (move != NULL)
    {
      move->asked_ms = now_ms;
      move->ask.refused_at = ask->refused_at;
      csp_copy_backoffs (&move->ask, ask);
      if (move->started)
        csp_send_ask_answer (dispatch, ask, CSP_ASK_PLACED, move->to->hash, 0);
      return;
    }
  if (from != NULL)
    move = allocate_move (dispatch);
  if (move == NULL)
    {
      csp_send_ask_answer (dispatch, ask, CSP_ASK_REFUSED, 0, 0);
      return;
    }
  *move = (csp_dispatch_move_t){
    .used = true, .ask = *ask, .pool = pool, .from = from, .asked_ms = now_ms
  };
  from->users++;
}

bool
csp_is_move_waiting (csp_dispatch_t *dispatch, csp_peer_address_t host,
                     uint64_t id)
{
  const csp_dispatch_move_t *move = find_move (dispatch, host, id);

  return move != NULL && !move->started;
}

void
csp_cancel_move (csp_dispatch_t *dispatch, csp_peer_address_t host,
                 uint64_t id)
{
  csp_dispatch_move_t *move = find_move (dispatch, host, id);

  if (move != NULL)
    remove_move (dispatch, move);
}

static void
expire_moves (csp_dispatch_t *dispatch, int64_t now_ms)
{
  size_t i;

  for (i = dispatch->move_end; i-- > 0;)
    {
      csp_dispatch_move_t *move = &dispatch->moves[i];

      if (move->used
          && (!move->started
                  ? now_ms - move->asked_ms >= WAITING_TIMEOUT_MS
                  : now_ms - move->started_ms >= STARTED_TIMEOUT_MS))
        remove_move (dispatch, move);
    }
}

/* Whether a copy from or to a target is running.  */
static bool
is_link_busy (const csp_dispatch_t *dispatch, const csp_fleet_target_t *target)
{
  size_t i;

  for (i = 0; i < dispatch->move_end; i++)
    if (dispatch->moves[i].used && dispatch->moves[i].started
        && (dispatch->moves[i].from == target
            || dispatch->moves[i].to == target))
      return true;
  return false;
}

static void
choose_destination (csp_dispatch_t *dispatch, csp_dispatch_move_t *move,
                    int64_t now_ms)
{
  const csp_dispatch_pool_t *pool = &dispatch->pools[move->pool];
  csp_fleet_need_t need = { .service = pool->service,
                            .data_centre = move->from->data_centre,
                            .memory_share_max = max_move_memory_share,
                            .by_memory = true,
                            .for_any_host = true,
                            .within_slots = true,
                            .memory_tokens = pool->memory_tokens,
                            .tokens = move->ask.tokens,
                            .is_copy = true,
                            .left_ms = move->ask.left_ms,
                            .longest_gap_ms = pool->longest_gap_ms,
                            .role = &dispatch->role,
                            .backoffs = move->ask.backoffs,
                            .backoff_count = move->ask.backoff_count,
                            .excluded = move->from,
                            .also_excluded = csp_find_target_by_hash (
                                dispatch->fleet, move->ask.refused_at) };
  csp_fleet_target_t *to = csp_choose_fleet_target (dispatch->fleet, &need,
                                                    &dispatch->random, now_ms);

  if (to != NULL)
    reserve_destination (move, to);
}

/* Drops a destination that takes no new work any more, as the target leaves,
   its data centre is cordoned, or it is damped.  */
static void
drop_unusable_destination (csp_dispatch_move_t *move)
{
  if (move->to == NULL || move->started
      || (csp_takes_new_work (move->to)
          && move->to->damping.state != CSP_TARGET_DAMPED))
    return;
  release_destination_load (move);
  move->to->users--;
  move->to = NULL;
}

/* Whether one move is started before another: the stream with the longest
   remaining time moves first, as the others may still end where they are.  */
static bool
is_moved_before (const csp_dispatch_move_t *move,
                 const csp_dispatch_move_t *other)
{
  return other == NULL || move->ask.left_ms > other->ask.left_ms;
}

/* Returns the next move whose links are free; NULL if there is none.  */
static csp_dispatch_move_t *
find_next_move (csp_dispatch_t *dispatch, uint8_t pool, int64_t now_ms)
{
  csp_dispatch_move_t *best = NULL;
  size_t i;

  for (i = 0; i < dispatch->move_end; i++)
    {
      csp_dispatch_move_t *move = &dispatch->moves[i];

      if (move->used && move->pool == pool && move->to != NULL
          && !move->started && is_moved_before (move, best)
          && csp_may_assign_request (move->to, &dispatch->role, now_ms)
          && !is_link_busy (dispatch, move->from)
          && !is_link_busy (dispatch, move->to))
        best = move;
    }
  return best;
}

static void
start_move (csp_dispatch_t *dispatch, csp_dispatch_move_t *move,
            int64_t now_ms)
{
  csp_ask_t ask = move->ask;

  release_destination_load (move);
  csp_reserve_capacity (dispatch, move->to, ask.tokens, 0, now_ms);
  csp_note_request_assigned (move->to, &dispatch->role, now_ms);
  move->started = true;
  move->started_ms = now_ms;
  csp_send_ask_answer (dispatch, &ask, CSP_ASK_PLACED, move->to->hash, 0);
}

void
csp_pump_pool_moves (csp_dispatch_t *dispatch, uint8_t pool, int64_t now_ms)
{
  csp_dispatch_move_t *move;
  size_t i;

  if (dispatch->move_count == 0)
    return;
  expire_moves (dispatch, now_ms);
  for (i = 0; i < dispatch->move_end; i++)
    {
      move = &dispatch->moves[i];
      if (!move->used || move->pool != pool)
        continue;
      drop_unusable_destination (move);
      if (move->to == NULL)
        choose_destination (dispatch, move, now_ms);
    }
  while ((move = find_next_move (dispatch, pool, now_ms)) != NULL)
    start_move (dispatch, move, now_ms);
}
