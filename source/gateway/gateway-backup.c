#include "gateway/gateway-move-imp.h"

/* Where a run's memory is copied to as it grows.  */

enum
{
  /* A copy of a prompt of 3,000 tokens was not there after 470 ms, of which it
     takes 200 to 400 on an idle link.  */
  BACKUP_SETTLES_MS = 600,
  BACKUP_COPY_TIMES = 3
};

/* How full the memory of all engines together may be for backups.  Where runs
   can be moved a copy of each that grows with it is worth little: it takes the
   place of a request, and above all the links, on which the moves then wait.
   On days of 12 engines with their memory at some 0.4, without backups 0.04 to
   0.05 more of the worth was served, and 0.05 more on days on which a sixth of
   the engines crash three times; so there are some only while engines are
   nearly idle.  Where runs can't be moved backups are all there is.  */
static const double pool_share_max_beside_moves = 0.15;
static const double pool_share_max = 0.75;

/* A copy that throws runs out of memory costs more than it saves: each of
   those is read again.  With half of the streams backed up the others have
   the link between targets to themselves when their target leaves.  */
static const double backup_share_max = 0.75;

void
csp_drop_backup (csp_exchange_t *exchange)
{
  csp_fleet_target_t *backup = exchange->reserved_backup;

  exchange->backup = NULL;
  exchange->reserved_backup = NULL;
  if (backup == NULL)
    return;
  backup->own.backup_tokens -= exchange->tokens;
  backup->users--;
}

csp_fleet_target_t *
csp_choose_other_target (csp_exchange_t *exchange,
                         const csp_fleet_target_t *target, double share_max)
{
  csp_gateway_t *gateway = exchange->gateway;
  csp_fleet_need_t need = { .service = exchange->service->name,
                            .data_centre = target->data_centre,
                            .memory_share_max = share_max,
                            .by_memory = true,
                            .memory_tokens = exchange->service->memory_tokens,
                            .tokens = exchange->tokens,
                            .is_copy = true,
                            .not_this = target,
                            .own = true };

  if (csp_gateway_now_ms (gateway) < exchange->move.refused_until_ms)
    need.nor_this = csp_find_hashed_target (gateway->fleet,
                                            exchange->move.refusing_target);
  return csp_choose_fleet_target (gateway->fleet, &need, &gateway->random,
                                  csp_gateway_now_ms (gateway));
}

/* Whether a backup is worth its memory and its part of the links.  */
static bool
backup_pays (const csp_exchange_t *exchange)
{
  double told_share
      = csp_reported_pool_share (exchange->gateway, exchange->service->name);
  const csp_route_service_t *service = exchange->service;
  double share
      = csp_find_pool_share (exchange->gateway->fleet, service->name,
                             service->memory_tokens, exchange->tokens);

  /* What this host knows is mostly its own part.  */
  if (share < told_share)
    share = told_share;
  return share <= (service->moves_runs ? pool_share_max_beside_moves
                                       : pool_share_max);
}

void
csp_choose_backup (csp_exchange_t *exchange, const csp_fleet_target_t *target)
{
  csp_fleet_target_t *backup;

  csp_drop_backup (exchange);
  if (exchange->route->kind != CSP_ROUTE_STREAM
      || !exchange->service->takes_backups || !backup_pays (exchange))
    return;
  backup = csp_choose_other_target (exchange, target, backup_share_max);
  if (backup == NULL)
    return;
  backup->own.backup_tokens += exchange->tokens;
  backup->users++;
  exchange->backup = backup;
  exchange->reserved_backup = backup;
}

/* Whether there may be a copy to go on from.  */
bool
csp_has_usable_backup (const csp_exchange_t *exchange)
{
  int64_t now_ms = csp_gateway_now_ms (exchange->gateway);

  return exchange->backup != NULL && csp_takes_new_work (exchange->backup)
         && !csp_is_paced (exchange->backup, now_ms)
         && !csp_is_backed_off (exchange->backup, now_ms)
         && exchange->run_started_ms != 0;
}

/* Whether the copy is surely whole, so that a sound run may be given up for
   it.  Copying begins with the run's first token; between data centres it
   takes twice as long, and others may be on the link.  */
bool
csp_backup_is_whole (const csp_exchange_t *exchange)
{
  double copy_ms
      = (double)exchange->prompt_tokens * exchange->service->copy_ms_per_token;
  int64_t settles_ms
      = BACKUP_SETTLES_MS + (int64_t)(BACKUP_COPY_TIMES * copy_ms);

  return csp_has_usable_backup (exchange)
         && csp_gateway_now_ms (exchange->gateway) - exchange->run_started_ms
                >= settles_ms;
}
