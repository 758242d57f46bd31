#include "dispatch/dispatch-imp.h"

#include <math.h>

/* Which streams leave a target, where each goes, and when.

   Load pattern: an eighth of the engines is taken away at a notice of one and
   a half seconds, and each runs five streams of five hosts.  A copy takes 0.2
   s of the link of both engines, twice that between data centres, and copies
   on one link queue.  A run that was stopped behind other copies pauses for
   half a second, which its caller sees; and two hosts that choose the same
   last room are refused there, until the engine is gone and the streams with
   it.  So one host gives each stream its room, counted before anybody else
   gets it, and lets one copy run on a link at a time.

   Without it hosts worked out turns from what they told each other of lengths:
   of 160 streams that moved on a day of 48 engines 77 paused for more than
   0.13 s, 74 of them beside another copy on the same link, and 92 copies were
   refused.  */

enum
{
  /* A host that says nothing more of a waiting stream is gone, or the stream
     is; hosts ask again each 40 to 250 ms.  */
  UNHEARD_MS = 1000,
  /* A move takes 0.4 to 1 s; its host's word of the end may be lost.  */
  STARTED_MS = 1500
};

/* A run that moves takes room once, and is lost if it gets none.  */
static const double move_share_max = 1.0;

static csp_dispatch_move_t *
find_move (csp_dispatch_t *dispatch, csp_peer_address_t host, uint64_t id)
{
  size_t i;

  for (i = 0; i < dispatch->move_room; i++)
    if (dispatch->moves[i].used && dispatch->moves[i].ask.id == id
        && csp_is_same_peer (dispatch->moves[i].ask.host, host))
      return &dispatch->moves[i];
  return NULL;
}

static csp_dispatch_move_t *
take_move (csp_dispatch_t *dispatch)
{
  size_t i;

  for (i = 0; i < CSP_DISPATCH_MOVES_MAX; i++)
    if (!dispatch->moves[i].used)
      {
        if (i >= dispatch->move_room)
          dispatch->move_room = i + 1;
        dispatch->move_count++;
        return &dispatch->moves[i];
      }
  return NULL;
}

/* Keep room for a stream that waits for its turn.  */
static void
keep_room (csp_dispatch_move_t *move, csp_fleet_target_t *to)
{
  move->to = to;
  to->users++;
  to->reserved.requests++;
  to->reserved.tokens += move->ask.tokens;
}

/* From its start on the stream's own host counts and tells the room.  */
static void
give_up_room (csp_dispatch_move_t *move)
{
  move->to->reserved.requests--;
  move->to->reserved.tokens -= move->ask.tokens;
}

static void
drop_move (csp_dispatch_t *dispatch, csp_dispatch_move_t *move)
{
  if (move->to != NULL && !move->started)
    give_up_room (move);
  if (move->to != NULL)
    move->to->users--;
  move->from->users--;
  *move = (csp_dispatch_move_t){ .used = false };
  dispatch->move_count--;
  while (dispatch->move_room > 0
         && !dispatch->moves[dispatch->move_room - 1].used)
    dispatch->move_room--;
}

void
csp_release_all_moves (csp_dispatch_t *dispatch)
{
  size_t i;

  for (i = dispatch->move_room; i-- > 0;)
    if (dispatch->moves[i].used)
      drop_move (dispatch, &dispatch->moves[i]);
}

void
csp_push_move (csp_dispatch_t *dispatch, const csp_ask_t *ask, uint8_t pool,
               int64_t now_ms)
{
  csp_dispatch_move_t *move = find_move (dispatch, ask->host, ask->id);
  csp_fleet_target_t *from
      = csp_find_hashed_target (dispatch->fleet, ask->moves_from);

  if (move != NULL)
    {
      move->asked_ms = now_ms;
      move->ask.refused_at = ask->refused_at;
      csp_copy_backoffs (&move->ask, ask);
      if (move->started)
        csp_answer_ask (dispatch, ask, CSP_ASK_PLACED, move->to->hash, 0);
      return;
    }
  if (from != NULL)
    move = take_move (dispatch);
  if (move == NULL)
    {
      csp_answer_ask (dispatch, ask, CSP_ASK_REFUSED, 0, 0);
      return;
    }
  *move = (csp_dispatch_move_t){
    .used = true, .ask = *ask, .pool = pool, .from = from, .asked_ms = now_ms
  };
  from->users++;
}

bool
csp_move_waits (csp_dispatch_t *dispatch, csp_peer_address_t host, uint64_t id)
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
    drop_move (dispatch, move);
}

static void
expire_moves (csp_dispatch_t *dispatch, int64_t now_ms)
{
  size_t i;

  for (i = dispatch->move_room; i-- > 0;)
    {
      csp_dispatch_move_t *move = &dispatch->moves[i];

      if (move->used
          && (!move->started ? now_ms - move->asked_ms >= UNHEARD_MS
                             : now_ms - move->started_ms >= STARTED_MS))
        drop_move (dispatch, move);
    }
}

/* Whether a copy is under way from or to a target.  */
static bool
link_is_busy (const csp_dispatch_t *dispatch, const csp_fleet_target_t *target)
{
  size_t i;

  for (i = 0; i < dispatch->move_room; i++)
    if (dispatch->moves[i].used && dispatch->moves[i].started
        && (dispatch->moves[i].from == target
            || dispatch->moves[i].to == target))
      return true;
  return false;
}

static void
find_room (csp_dispatch_t *dispatch, csp_dispatch_move_t *move, int64_t now_ms)
{
  const csp_dispatch_pool_t *pool = &dispatch->pools[move->pool];
  csp_fleet_need_t need = { .service = pool->service,
                            .data_centre = move->from->data_centre,
                            .memory_share_max = move_share_max,
                            .by_memory = true,
                            .within_slots = true,
                            .memory_tokens = pool->memory_tokens,
                            .tokens = move->ask.tokens,
                            .is_copy = true,
                            .duty = &dispatch->duty,
                            .backoffs = move->ask.backoffs,
                            .backoff_count = move->ask.backoff_count,
                            .not_this = move->from,
                            .nor_this = csp_find_hashed_target (
                                dispatch->fleet, move->ask.refused_at) };
  csp_fleet_target_t *to = csp_choose_fleet_target (dispatch->fleet, &need,
                                                    &dispatch->random, now_ms);

  if (to != NULL)
    keep_room (move, to);
}

/* The room may have gone with its target, or with its data centre.  */
static void
check_room (csp_dispatch_move_t *move)
{
  if (move->to == NULL || move->started || csp_takes_new_work (move->to))
    return;
  give_up_room (move);
  move->to->users--;
  move->to = NULL;
}

/* Whether one move goes before another: of those that leave one target the
   one that has longest to go, as the others may still end where they are.  */
static bool
goes_before (const csp_dispatch_move_t *move, const csp_dispatch_move_t *other)
{
  return other == NULL || move->ask.left_ms > other->ask.left_ms;
}

/* The next stream whose links are free; NULL where there is none.  */
static csp_dispatch_move_t *
next_move (csp_dispatch_t *dispatch, uint8_t pool, int64_t now_ms)
{
  csp_dispatch_move_t *best = NULL;
  size_t i;

  for (i = 0; i < dispatch->move_room; i++)
    {
      csp_dispatch_move_t *move = &dispatch->moves[i];

      if (move->used && move->pool == pool && move->to != NULL
          && !move->started && goes_before (move, best)
          && csp_may_give_place (move->to, &dispatch->duty, now_ms)
          && !link_is_busy (dispatch, move->from)
          && !link_is_busy (dispatch, move->to))
        best = move;
    }
  return best;
}

static void
start_move (csp_dispatch_t *dispatch, csp_dispatch_move_t *move,
            int64_t now_ms)
{
  csp_ask_t ask = move->ask;

  give_up_room (move);
  csp_reserve_place (dispatch, move->to, ask.tokens, 0, now_ms);
  csp_note_place_given (move->to, &dispatch->duty, now_ms);
  move->started = true;
  move->started_ms = now_ms;
  csp_answer_ask (dispatch, &ask, CSP_ASK_PLACED, move->to->hash, 0);
}

void
csp_pump_moves_of_pool (csp_dispatch_t *dispatch, uint8_t pool, int64_t now_ms)
{
  csp_dispatch_move_t *move;
  size_t i;

  if (dispatch->move_count == 0)
    return;
  expire_moves (dispatch, now_ms);
  for (i = 0; i < dispatch->move_room; i++)
    {
      move = &dispatch->moves[i];
      if (!move->used || move->pool != pool)
        continue;
      check_room (move);
      if (move->to == NULL)
        find_room (dispatch, move, now_ms);
    }
  while ((move = next_move (dispatch, pool, now_ms)) != NULL)
    start_move (dispatch, move, now_ms);
}
