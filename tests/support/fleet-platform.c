#include "support/fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  KEY_BYTES = 24,
  JSON_BYTES = 24
};

void
fleet_publish_value (fleet_t *fleet, size_t key, int value)
{
  fleet_config_service_t *service = &fleet->service;

  service->changed_revision[key] = ++service->revision;
  service->value[key] = value;
}

void
fleet_publish (fleet_t *fleet, size_t count)
{
  uint32_t draw;
  size_t i;

  for (i = 0; i < count; i++)
    {
      draw = csp_random_below (&fleet->random, 600);
      fleet_publish_value (fleet,
                           csp_random_below (&fleet->random, FLEET_KEYS),
                           draw < 60 ? -1 : (int)draw);
    }
}

void
fleet_set_target_leaving (fleet_t *fleet, size_t target)
{
  fleet->targets[target].listed.state = CSP_MEMBER_LEAVING;
  fleet->list_version++;
}

/* Fills the service's answer to a read of the changes after a revision.  The
   values are written to arrays of the caller.  */
static void
fill_delta (const fleet_config_service_t *service, int64_t after_revision,
            csp_config_delta_t *delta, csp_config_value_t *values,
            char keys[][KEY_BYTES], char texts[][JSON_BYTES])
{
  size_t count = 0;
  size_t i;

  for (i = 0; i < FLEET_KEYS; i++)
    {
      if (service->changed_revision[i] == 0
          || service->changed_revision[i] <= after_revision
          || (after_revision == 0 && service->value[i] < 0))
        continue;
      snprintf (keys[count], KEY_BYTES, "organisation/o%zu", i);
      snprintf (texts[count], JSON_BYTES, "{\"weight\":%d}",
                service->value[i]);
      values[count].key = keys[count];
      values[count].json = service->value[i] < 0 ? NULL : texts[count];
      values[count].revision = service->changed_revision[i];
      count++;
    }
  memset (delta, 0, sizeof *delta);
  delta->base = after_revision;
  delta->full = after_revision == 0;
  delta->revision = service->revision;
  delta->value_count = count;
  delta->values = values;
}

static void
answer_read (fleet_t *fleet, fleet_node_t *node)
{
  csp_config_delta_t delta;
  csp_config_value_t values[FLEET_KEYS];
  char keys[FLEET_KEYS][KEY_BYTES];
  char texts[FLEET_KEYS][JSON_BYTES];

  fill_delta (&fleet->service, node->pending_read.after, &delta, values, keys,
              texts);
  node->read_pending = false;
  csp_handle_read (node->config_sync, node->pending_read.id, &delta,
                   fleet->now_ms);
}

static void
tick_read (fleet_t *fleet, fleet_node_t *node)
{
  int64_t waited_ms = fleet->now_ms - node->read_started_ms;
  bool changed = fleet->service.revision != node->pending_read.after
                 || node->pending_read.after == 0;

  if (!node->read_pending)
    return;
  if (node->platform_unreachable || fleet->platform_down)
    {
      if (waited_ms >= node->pending_read.timeout_ms)
        node->read_pending = false;
      return;
    }
  if (changed || waited_ms >= node->pending_read.wait_ms)
    answer_read (fleet, node);
}

static size_t
fill_listed_hosts (const fleet_t *fleet, csp_listed_host_t *hosts)
{
  csp_host_view_t self;
  size_t count = 0;
  size_t i;

  for (i = 0; i < fleet->settings.nodes; i++)
    {
      if (!fleet->node_listed[i])
        continue;
      memset (&hosts[count], 0, sizeof hosts[count]);
      memcpy (hosts[count].name, fleet->nodes[i].name,
              sizeof hosts[count].name);
      snprintf (hosts[count].region, sizeof hosts[count].region, "wales");
      snprintf (hosts[count].data_centre, sizeof hosts[count].data_centre,
                "dc-%zu", fleet->nodes[i].data_centre);
      snprintf (hosts[count].address, sizeof hosts[count].address,
                "127.0.0.1");
      hosts[count].http_port = 8080;
      hosts[count].peer_port = (uint16_t)(10000 + i);
      count++;
    }
  (void)self;
  return count;
}

static void
apply_lists (fleet_t *fleet, fleet_node_t *node)
{
  csp_listed_host_t *hosts = calloc (FLEET_MAX_NODES, sizeof *hosts);
  csp_listed_target_t *targets = calloc (FLEET_MAX_TARGETS, sizeof *targets);
  csp_host_list_t list = { fleet->list_version, 0, hosts, 0, targets };
  size_t i;

  list.host_count = fill_listed_hosts (fleet, hosts);
  for (i = 0; i < fleet->target_count; i++)
    targets[list.target_count++] = fleet->targets[i].listed;
  if (csp_apply_host_list (node->membership, &list, fleet->now_ms)
      == CSP_LIST_APPLIED)
    csp_apply_target_list (node->ownership, &list, fleet->now_ms);
  free (hosts);
  free (targets);
}

void
fleet_tick_platform (fleet_t *fleet, fleet_node_t *node)
{
  tick_read (fleet, node);
  if (fleet->now_ms < node->next_list_read_ms || fleet->platform_down
      || node->platform_unreachable)
    return;
  node->next_list_read_ms = fleet->now_ms + FLEET_LIST_POLL_MS;
  apply_lists (fleet, node);
}
