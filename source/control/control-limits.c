#include "control/control-imp.h"

#include <stdlib.h>
#include <string.h>

/* The counted limits of organisations, routes, services and rules.  Hosts
   don't tell each other their demands; each uses the even part of a limit
   among the listed hosts, so that all together keep it whatever the load
   pattern, and what one host's callers leave is not used by the others.  */

enum
{
  MAX_LIMITS = 8192,
  MAX_SHARERS = 4096,
  SHARE_MS = 1000,
  SOON_MS = 1000,
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
  csp_limit_peer_t others[MAX_SHARERS];
  uint32_t other_count;
  int64_t next_share_ms;
  int64_t list_version;
};

bool
csp_open_limits (csp_control_t *control)
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

/* The other hosts of the list, of all data centres.  One that is silent stays
   counted: it may serve its own callers on the far side of a split.  So a
   share changes with the list alone, and the shares of hosts that have the
   same list add up to the limit.  */
static void
list_others (csp_control_t *control, int64_t now_ms)
{
  csp_control_limits_t *limits = control->limits;
  size_t known = csp_count_hosts (control->membership);
  csp_host_view_t view;
  size_t i;

  limits->other_count = 0;
  for (i = 0; i < known && limits->other_count < MAX_SHARERS; i++)
    {
      csp_view_host (control->membership, i, now_ms, &view);
      if (view.listed && !view.self)
        limits->other_count++;
    }
}

/* With all of it as the floor, a share is the even part.  */
static csp_limit_policy_t
even_policy (void)
{
  csp_limit_policy_t policy = csp_default_limit_policy ();

  policy.floor_share = 1;
  return policy;
}

static csp_control_limit_t *
make_row (csp_control_t *control, const csp_limits_t *declared, int64_t now_ms)
{
  csp_limit_policy_t policy = even_policy ();
  csp_control_limit_t *row = calloc (1, sizeof *row);

  if (row == NULL)
    return NULL;
  csp_open_limit (&row->limit, &policy, declared->tokens_per_s,
                  declared->max_open_streams, control->limits->other_count + 1,
                  now_ms);
  return row;
}

/* The row of a limit, as it is declared now; NULL without memory.  */
static csp_control_limit_t *
find_row (csp_control_t *control, const char *kind, const char *name,
          const csp_limits_t *declared, int64_t now_ms)
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
    limits->rows[index] = make_row (control, declared, now_ms);
  if (index >= limits->count)
    limits->count = index + 1;
  row = limits->rows[index];
  if (row == NULL)
    return NULL;
  if (row->limit.tokens_per_s != declared->tokens_per_s
      || row->limit.most_open != declared->max_open_streams)
    csp_change_limit (&row->limit, declared->tokens_per_s,
                      declared->max_open_streams);
  row->max_waiting = declared->max_waiting;
  return row;
}

static bool
may_wait (const csp_control_limit_t *row)
{
  double most = row->max_waiting * row->limit.share;

  return row->max_waiting == 0
         || row->waiting < (most < 1 ? 1 : (uint32_t)most);
}

/* Count a place against one limit; false with an error when it is used up.  */
static bool
count_place (csp_control_t *control, csp_place_t *place, const char *kind,
             const char *name, const csp_limits_t *declared, int64_t now_ms,
             csp_error_t *error)
{
  csp_control_limit_t *row;
  uint32_t after_ms = SOON_MS;

  if (name == NULL || declared == NULL
      || (declared->tokens_per_s == 0 && declared->max_open_streams == 0
          && declared->max_waiting == 0))
    return true;
  csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_OVERLOADED, SOON_MS,
                 "this host counts as many limits as it can");
  row = find_row (control, kind, name, declared, now_ms);
  if (row == NULL)
    return false;
  if (!may_wait (row)
      || !csp_open_limited (&row->limit, place->cost_tokens, now_ms,
                            &after_ms))
    {
      csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_LIMIT, after_ms,
                     "the limit of %s %s is used up", kind, name);
      return false;
    }
  row->waiting++;
  place->limits[place->limit_count++] = row;
  return true;
}

/* At once when the list has changed, as a host that came uses its part from
   then on; and once a second, as a share rises step by step.  */
static void
share_limits (csp_control_t *control, int64_t now_ms)
{
  csp_control_limits_t *limits = control->limits;
  uint32_t i;

  if (now_ms < limits->next_share_ms
      && limits->list_version == control->host_watch.version)
    return;
  limits->next_share_ms = now_ms + SHARE_MS;
  limits->list_version = control->host_watch.version;
  list_others (control, now_ms);
  for (i = 0; i < limits->count; i++)
    {
      if (limits->rows[i] == NULL)
        continue;
      csp_publish_demand (&limits->rows[i]->limit);
      csp_share_limit (&limits->rows[i]->limit, limits->others,
                       limits->other_count);
    }
}

bool
csp_count_limits (csp_control_t *control, csp_place_t *place, int64_t now_ms,
                  csp_error_t *error)
{
  const csp_admission_ask_t *ask = place->waiter->ask;
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
  share_limits (control, now_ms);
  place->limits_wait = true;
  return count_place (control, place, "organisation", facts->organisation,
                      organisation == NULL ? NULL : &organisation->limits,
                      now_ms, error)
         && count_place (control, place, "route", facts->route,
                         route == NULL ? NULL : &route->limits, now_ms, error)
         && count_place (control, place, "service", facts->service,
                         service == NULL ? NULL : &service->limits, now_ms,
                         error)
         && count_place (control, place, "rule", ask->rule, &ask->terms.limits,
                         now_ms, error);
}

void
csp_end_limited_wait (csp_place_t *place)
{
  uint32_t i;

  for (i = 0; i < place->limit_count && place->limits_wait; i++)
    place->limits[i]->waiting--;
  place->limits_wait = false;
}

void
csp_settle_limits (csp_place_t *place, uint32_t used_tokens)
{
  uint32_t i;

  csp_end_limited_wait (place);
  for (i = 0; i < place->limit_count; i++)
    csp_close_limited (&place->limits[i]->limit, place->cost_tokens,
                       used_tokens);
  place->limit_count = 0;
}
