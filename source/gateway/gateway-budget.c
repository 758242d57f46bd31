#include "gateway/gateway-imp.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* State of each service beside its targets.

   Load pattern: operators add and remove services all day.  */

enum
{
  /* A report of how full the engines are is valid this long: engines are lost
     and return every second.  */
  POOL_SHARE_VALID_MS = 2000,
  /* Longer than leases live, behind a window of the budget.  */
  UNUSED_MIN_MS = 60000,
  PERCENT = 100
};

static csp_service_budget_t *
find_budget (csp_gateway_t *gateway, const char *service)
{
  csp_service_budget_t *row = gateway->budgets;

  while (row != NULL && strcmp (row->service, service) != 0)
    row = row->next;
  return row;
}

static void
init_budget (const csp_gateway_t *gateway, csp_service_budget_t *row,
             const char *service)
{
  csp_retry_policy_t policy = csp_default_retry_policy ();
  csp_lease_policy_t leases
      = { .max_per_window = gateway->settings.retry_extra,
          .window_ms = gateway->settings.retry_window_ms };

  policy.retry_share = gateway->settings.retry_share;
  policy.retry_max = gateway->settings.retry_saved_max;
  policy.retry_start = gateway->settings.retry_start;
  snprintf (row->service, sizeof row->service, "%s", service);
  csp_init_retry_budget (&row->budget, &policy);
  csp_init_lease_pool (&row->leases, &leases, csp_gateway_now_ms (gateway));
  csp_set_lease_decider (&row->leases,
                         csp_is_same_peer (gateway->decider, gateway->self),
                         gateway->decider_since_ms);
}

/* Where memory fails, services share one row, which stays.  */
static csp_service_budget_t *
add_budget (csp_gateway_t *gateway, const char *service)
{
  csp_service_budget_t *row = calloc (1, sizeof *row);

  if (row == NULL)
    {
      if (gateway->shared_budget.service[0] == '\0')
        init_budget (gateway, &gateway->shared_budget, "shared");
      return &gateway->shared_budget;
    }
  init_budget (gateway, row, service);
  row->next = gateway->budgets;
  gateway->budgets = row;
  gateway->budget_count++;
  return row;
}

csp_service_budget_t *
csp_find_service_budget (csp_gateway_t *gateway, const char *service)
{
  csp_service_budget_t *row = find_budget (gateway, service);

  if (row == NULL)
    row = add_budget (gateway, service);
  row->used_ms = csp_gateway_now_ms (gateway);
  return row;
}

csp_retry_budget_t *
csp_find_retry_budget (csp_gateway_t *gateway, const char *service)
{
  return &csp_find_service_budget (gateway, service)->budget;
}

void
csp_free_unused_budgets (csp_gateway_t *gateway)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  int64_t kept_ms = UNUSED_MIN_MS + gateway->settings.retry_window_ms;
  csp_service_budget_t **at = &gateway->budgets;

  while (*at != NULL)
    {
      csp_service_budget_t *row = *at;

      if (now_ms - row->used_ms < kept_ms)
        {
          at = &row->next;
          continue;
        }
      *at = row->next;
      gateway->budget_count--;
      free (row);
    }
}

void
csp_free_budgets (csp_gateway_t *gateway)
{
  csp_service_budget_t *row = gateway->budgets;

  while (row != NULL)
    {
      csp_service_budget_t *next = row->next;

      free (row);
      row = next;
    }
}

void
csp_note_pool_percent (csp_gateway_t *gateway, const char *service,
                       uint32_t percent)
{
  csp_service_budget_t *row = csp_find_service_budget (gateway, service);

  row->pool_percent = percent;
  row->pool_reported_ms = csp_gateway_now_ms (gateway);
}

double
csp_reported_pool_share (csp_gateway_t *gateway, const char *service)
{
  const csp_service_budget_t *row = csp_find_service_budget (gateway, service);

  if (row->pool_reported_ms == 0
      || csp_gateway_now_ms (gateway) - row->pool_reported_ms
             > POOL_SHARE_VALID_MS)
    return 0;
  return (double)row->pool_percent / PERCENT;
}
