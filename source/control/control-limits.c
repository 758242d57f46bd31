#include "control/control-imp.h"

#include <stdlib.h>
#include <string.h>

/* The limits of organisations, routes, services and rules.  Hosts don't
   exchange their demands: each uses an equal share of a limit among the listed
   hosts.  All hosts together thus keep the limit under any load pattern, but a
   share that one host doesn't use is not available to the others.  */

enum
{
  MAX_LIMITS = 8192,
  MAX_OTHER_HOSTS = 4096,
  SHARE_INTERVAL_MS = 1000,
  RETRY_AFTER_MS = 1000,
  KEY_BYTES = 2 * CSP_NAME_BYTES
};

struct csp_control_limit
{
  csp_limit_t limit;
  uint32_t max_waiting;
  uint32_t waiting;
};

struct csp_control_limits
{
  csp_intern_t *names;
  csp_control_limit_t *rows[MAX_LIMITS];
  uint32_t count;
  csp_limit_peer_t other_hosts[MAX_OTHER_HOSTS];
  uint32_t other_host_count;
  int64_t next_update_ms;
  int64_t list_version;
};

bool
csp_init_limits (csp_control_t *control)
{
  control->limits = calloc (1, sizeof *control->limits);
  if (control->limits == NULL)
    return false;
  control->limits->names = csp_create_intern (MAX_LIMITS);
  return control->limits->names != NULL;
}

void
csp_close_limits (csp_control_t *control)
{
  uint32_t i;

  if (control->limits == NULL)
    return;
  for (i = 0; i < control->limits->count; i++)
    free (control->limits->rows[i]);
  csp_destroy_intern (control->limits->names);
  free (control->limits);
}

/* Count the other listed hosts of all data centres.  A silent host is counted
   too, since it may serve its own callers on the other side of a network
   partition.  Shares thus depend on the list alone, and those of hosts with
   the same list add up to the limit.  */
static void
count_other_hosts (csp_control_t *control, int64_t now_ms)
{
  csp_control_limits_t *limits = control->limits;
  size_t known = csp_count_hosts (control->membership);
  csp_host_view_t view;
  size_t i;

  limits->other_host_count = 0;
  for (i = 0; i < known && limits->other_host_count < MAX_OTHER_HOSTS; i++)
    {
      csp_view_host (control->membership, i, now_ms, &view);
      if (view.listed && !view.self)
        limits->other_host_count++;
    }
}

/* With the whole limit as the floor, every host gets an equal share.  */
static csp_limit_policy_t
even_share_policy (void)
{
  csp_limit_policy_t policy = csp_default_limit_policy ();

  policy.floor_share = 1;
  return policy;
}

static csp_control_limit_t *
create_limit (csp_control_t *control, const csp_limits_t *declared,
              int64_t now_ms)
{
  csp_limit_policy_t policy = even_share_policy ();
  csp_control_limit_t *row = calloc (1, sizeof *row);

  if (row == NULL)
    return NULL;
  csp_init_limit (&row->limit, &policy, declared->tokens_per_s,
                  declared->max_open_streams,
                  control->limits->other_host_count + 1, now_ms);
  return row;
}

/* Find or create a limit and update it to its current declaration.  NULL when
   out of memory or when the table is full.  */
static csp_control_limit_t *
find_or_create_limit (csp_control_t *control, const char *kind,
                      const char *name, const csp_limits_t *declared,
                      int64_t now_ms)
{
  csp_control_limits_t *limits = control->limits;
  char key[KEY_BYTES];
  uint32_t index;
  csp_control_limit_t *row;

  snprintf (key, sizeof key, "%s/%s", kind, name);
  index = csp_intern_name (limits->names, key);
  if (index == CSP_INTERN_NONE)
    return NULL;
  if (limits->rows[index] == NULL)
    limits->rows[index] = create_limit (control, declared, now_ms);
  if (index >= limits->count)
    limits->count = index + 1;
  row = limits->rows[index];
  if (row == NULL)
    return NULL;
  if (row->limit.tokens_per_s != declared->tokens_per_s
      || row->limit.max_open != declared->max_open_streams)
    csp_update_limit (&row->limit, declared->tokens_per_s,
                      declared->max_open_streams);
  row->max_waiting = declared->max_waiting;
  return row;
}

static bool
may_queue (const csp_control_limit_t *row)
{
  double max_waiting_here = row->max_waiting * row->limit.share;

  return row->max_waiting == 0
         || row->waiting
                < (max_waiting_here < 1 ? 1 : (uint32_t)max_waiting_here);
}

/* Charge a request to one limit; false with an error when it is used up.  */
static bool
charge_limit (csp_control_t *control, csp_tracked_request_t *request,
              const char *kind, const char *name, const csp_limits_t *declared,
              int64_t now_ms, csp_error_t *error)
{
  csp_control_limit_t *row;
  uint32_t after_ms = RETRY_AFTER_MS;

  if (name == NULL || declared == NULL
      || (declared->tokens_per_s == 0 && declared->max_open_streams == 0
          && declared->max_waiting == 0))
    return true;
  csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_OVERLOADED,
                 RETRY_AFTER_MS, "this host counts as many limits as it can");
  row = find_or_create_limit (control, kind, name, declared, now_ms);
  if (row == NULL)
    return false;
  if (!may_queue (row)
      || !csp_admit_limited_stream (&row->limit, request->memory_tokens,
                                    now_ms, &after_ms))
    {
      csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_LIMIT, after_ms,
                     "the limit of %s %s is used up", kind, name);
      return false;
    }
  row->waiting++;
  request->limits[request->limit_count++] = row;
  return true;
}

/* Runs at once when the host list has changed, as a new host uses its share
   from then on, and once a second, as a share rises step by step.  */
static void
update_limit_shares (csp_control_t *control, int64_t now_ms)
{
  csp_control_limits_t *limits = control->limits;
  uint32_t i;

  if (now_ms < limits->next_update_ms
      && limits->list_version == control->host_watch.version)
    return;
  limits->next_update_ms = now_ms + SHARE_INTERVAL_MS;
  limits->list_version = control->host_watch.version;
  count_other_hosts (control, now_ms);
  for (i = 0; i < limits->count; i++)
    {
      if (limits->rows[i] == NULL)
        continue;
      csp_publish_demand (&limits->rows[i]->limit);
      csp_update_limit_share (&limits->rows[i]->limit, limits->other_hosts,
                              limits->other_host_count);
    }
}

bool
csp_charge_limits (csp_control_t *control, csp_tracked_request_t *request,
                   int64_t now_ms, csp_error_t *error)
{
  const csp_admission_ask_t *ask = request->waiter->ask;
  const csp_request_facts_t *facts = &ask->facts;
  const csp_declaration_t *declaration = csp_view_declaration (control->view);
  const csp_organisation_t *organisation = NULL;
  const csp_route_t *route = NULL;
  const csp_service_t *service = NULL;

  if (declaration != NULL && facts->organisation != NULL)
    organisation = csp_find_organisation (declaration, facts->organisation);
  if (declaration != NULL && facts->route != NULL)
    route = csp_find_route (declaration, facts->route);
  if (declaration != NULL && facts->service != NULL)
    service = csp_find_service (declaration, facts->service);
  update_limit_shares (control, now_ms);
  request->counted_as_waiting = true;
  return charge_limit (control, request, "organisation", facts->organisation,
                       organisation == NULL ? NULL : &organisation->limits,
                       now_ms, error)
         && charge_limit (control, request, "route", facts->route,
                          route == NULL ? NULL : &route->limits, now_ms, error)
         && charge_limit (control, request, "service", facts->service,
                          service == NULL ? NULL : &service->limits, now_ms,
                          error)
         && charge_limit (control, request, "rule", ask->rule,
                          &ask->terms.limits, now_ms, error);
}

void
csp_end_limited_wait (csp_tracked_request_t *request)
{
  uint32_t i;

  for (i = 0; i < request->limit_count && request->counted_as_waiting; i++)
    request->limits[i]->waiting--;
  request->counted_as_waiting = false;
}

void
csp_settle_limits (csp_tracked_request_t *request, uint32_t used_tokens)
{
  uint32_t i;

  csp_end_limited_wait (request);
  for (i = 0; i < request->limit_count; i++)
    csp_end_limited_stream (&request->limits[i]->limit, request->memory_tokens,
                            used_tokens);
  request->limit_count = 0;
}
