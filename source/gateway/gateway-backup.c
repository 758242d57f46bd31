#include "gateway/gateway-move-imp.h"

/* Backups: copying a run's memory to a second target as it grows.  */

/* Backups are taken up to this use of all engines' memory.  Where runs can be
   moved, backups are worth little: each takes the memory of a request and
   delays the moves on the links.  With 12 engines at 0.4 of their memory, 0.04
   to 0.05 more of the requests' value was served without backups, and 0.05
   more when a sixth of the engines crashed three times.  So with moves there
   are backups only while engines are nearly idle; without moves backups are
   the only protection.  */
static const double pool_share_max_beside_moves = 0.15;
static const double pool_share_max = 0.75;

/* A backup that evicts runs costs more than it saves, since each evicted run
   must be read again.  With half of the streams backed up, the others have the
   links to themselves when their target leaves.  */
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
  csp_note_own_load_changed (exchange->gateway->fleet, backup);
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
                            .left_ms = csp_expected_left_ms (exchange),
                            .excluded = target,
                            .sent_by_this_host = true };

  if (csp_gateway_now_ms (gateway) < exchange->move.refused_until_ms)
    need.also_excluded = csp_find_target_by_hash (
        gateway->fleet, exchange->move.refusing_target);
  return csp_choose_fleet_target (gateway->fleet, &need, &gateway->random,
                                  csp_gateway_now_ms (gateway));
}

/* Whether a backup is worth its memory and its share of the links.  */
static bool
is_backup_worthwhile (const csp_exchange_t *exchange)
{
  double reported_share
      = csp_reported_pool_share (exchange->gateway, exchange->service->name);
  const csp_route_service_t *service = exchange->service;
  double share
      = csp_find_pool_memory_share (exchange->gateway->fleet, service->name,
                                    service->memory_tokens, exchange->tokens);

  /* This host knows mostly its own load, so the larger share is used.  */
  if (share < reported_share)
    share = reported_share;
  return share <= (service->supports_kv_moves ? pool_share_max_beside_moves
                                              : pool_share_max);
}

void
csp_choose_backup (csp_exchange_t *exchange, const csp_fleet_target_t *target)
{
  csp_fleet_target_t *backup;

  csp_drop_backup (exchange);
  if (exchange->route->kind != CSP_ROUTE_STREAM
      || !exchange->service->supports_kv_backups
      || !is_backup_worthwhile (exchange))
    return;
  backup = csp_choose_other_target (exchange, target, backup_share_max);
  if (backup == NULL)
    return;
  backup->own.backup_tokens += exchange->tokens;
  backup->users++;
  csp_note_own_load_changed (exchange->gateway->fleet, backup);
  exchange->backup = backup;
  exchange->reserved_backup = backup;
}

bool
csp_has_usable_backup (const csp_exchange_t *exchange)
{
  int64_t now_ms = csp_gateway_now_ms (exchange->gateway);

  return exchange->backup != NULL && csp_takes_new_work (exchange->backup)
         && !csp_is_cold_limited (exchange->backup, now_ms)
         && !csp_is_backed_off (exchange->backup, now_ms)
         && !exchange->backup->rate_limited && exchange->run_started_ms != 0;
}
