#include "support/fleet-imp.h"

#include <stdlib.h>
#include <string.h>

static void
free_delta (csp_config_delta_t *delta)
{
  size_t i;

  for (i = 0; i < delta->value_count; i++)
    {
      free ((char *)delta->values[i].key);
      free ((char *)delta->values[i].json);
    }
  free ((csp_config_value_t *)delta->values);
}

static void
copy_delta (const csp_config_delta_t *from, csp_config_delta_t *to)
{
  csp_config_value_t *values = calloc (from->value_count + 1, sizeof *values);
  size_t i;

  *to = *from;
  to->values = values;
  for (i = 0; i < from->value_count; i++)
    {
      values[i].key = strdup (from->values[i].key);
      values[i].revision = from->values[i].revision;
      if (from->values[i].json != NULL)
        values[i].json = strdup (from->values[i].json);
    }
}

void
fleet_free_message (fleet_message_t *message)
{
  free (message->heartbeat);
  free (message->loads);
  free_delta (&message->delta);
  free (message);
}

static size_t
count_message_bytes (const fleet_message_t *message)
{
  size_t bytes = 0;

  if (message->heartbeat != NULL)
    bytes += fleet_count_heartbeat_bytes (message->heartbeat);
  if (message->kind == MESSAGE_PULL_REPLY)
    bytes += fleet_count_delta_bytes (&message->delta);
  if (message->kind == MESSAGE_PULL)
    bytes += 16;
  return bytes + message->load_count * 20;
}

fleet_message_t *
fleet_begin_message (fleet_t *fleet, message_kind_t kind, size_t from,
                     size_t to)
{
  fleet_message_t *message;

  if (fleet->message_count == fleet->message_capacity)
    {
      fleet->message_capacity = fleet->message_capacity * 2 + 64;
      fleet->messages = realloc (fleet->messages,
                                 fleet->message_capacity * sizeof (void *));
    }
  message = calloc (1, sizeof *message);
  fleet->messages[fleet->message_count++] = message;
  message->kind = kind;
  message->from = from;
  message->to = to;
  message->to_incarnation = fleet->nodes[to].incarnation;
  message->due_ms
      = fleet->now_ms + 1
        + csp_random_below (&fleet->random, fleet->settings.delay_ms);
  return message;
}

/* Counts the last message created, and drops it when its link is cut or as
   random loss.  */
void
fleet_send_message (fleet_t *fleet)
{
  fleet_message_t *message = fleet->messages[fleet->message_count - 1];
  fleet_node_t *node = &fleet->nodes[message->from];

  node->bytes += count_message_bytes (message);
  node->messages++;
  if (fleet->cuts[message->from][message->to]
      || csp_random_unit (&fleet->random) < fleet->settings.loss)
    {
      fleet_free_message (message);
      fleet->message_count--;
    }
}

size_t
fleet_find_node (const fleet_t *fleet, const char *name)
{
  size_t i;

  (void)fleet;
  i = (size_t)strtoul (name + 1, NULL, 10);
  return i;
}

csp_heartbeat_t *
fleet_copy_heartbeat (const csp_heartbeat_t *from)
{
  csp_heartbeat_t *to = malloc (sizeof *to);

  *to = *from;
  return to;
}

static void
deliver_heartbeat (fleet_t *fleet, const fleet_message_t *message)
{
  fleet_node_t *node = &fleet->nodes[message->to];
  csp_heartbeat_t reply;
  fleet_message_t *answer;

  csp_handle_heartbeat (node->membership, message->heartbeat, fleet->now_ms,
                        &reply);
  answer = fleet_begin_message (fleet, MESSAGE_HEARTBEAT_REPLY, message->to,
                                message->from);
  answer->heartbeat = fleet_copy_heartbeat (&reply);
  fleet_send_message (fleet);
}

static void
deliver_pull (fleet_t *fleet, const fleet_message_t *message)
{
  fleet_node_t *node = &fleet->nodes[message->to];
  csp_config_status_t status;
  csp_config_delta_t delta;
  fleet_message_t *answer;

  csp_collect_config_changes (node->configuration, message->after_revision,
                              &delta);
  csp_get_configuration_status (node->configuration, &status);
  answer = fleet_begin_message (fleet, MESSAGE_PULL_REPLY, message->to,
                                message->from);
  answer->id = message->id;
  answer->refused_revision = status.refused_revision;
  memcpy (answer->fault, status.fault, sizeof answer->fault);
  copy_delta (&delta, &answer->delta);
  fleet_send_message (fleet);
}

static void
deliver_load_query (fleet_t *fleet, const fleet_message_t *message)
{
  fleet_node_t *node = &fleet->nodes[message->to];
  fleet_message_t *answer;
  size_t i;

  answer = fleet_begin_message (fleet, MESSAGE_LOAD_QUERY_REPLY, message->to,
                                message->from);
  answer->id = message->id;
  answer->load_count = message->load_count;
  answer->loads
      = calloc (message->load_count + 1, sizeof (csp_carried_load_t));
  for (i = 0; i < message->load_count; i++)
    csp_get_carried_load (node->ownership, message->loads[i].target,
                          &answer->loads[i]);
  fleet_send_message (fleet);
}

static void
deliver (fleet_t *fleet, const fleet_message_t *message)
{
  fleet_node_t *node = &fleet->nodes[message->to];
  const char *from = fleet->nodes[message->from].name;

  if (!node->up || node->incarnation != message->to_incarnation)
    return;
  switch (message->kind)
    {
    case MESSAGE_HEARTBEAT:
      deliver_heartbeat (fleet, message);
      break;
    case MESSAGE_HEARTBEAT_REPLY:
      csp_handle_heartbeat_reply (node->membership, from, message->heartbeat,
                                  fleet->now_ms);
      break;
    case MESSAGE_PULL:
      deliver_pull (fleet, message);
      break;
    case MESSAGE_PULL_REPLY:
      csp_handle_pull (node->config_sync, message->id, &message->delta,
                       message->refused_revision, message->fault,
                       fleet->now_ms);
      break;
    case MESSAGE_LOAD_QUERY:
      deliver_load_query (fleet, message);
      break;
    case MESSAGE_LOAD_QUERY_REPLY:
      csp_handle_load_query_answer (node->ownership, from, message->id,
                                    message->loads, message->load_count,
                                    fleet->now_ms);
      break;
    }
}

/* Messages to a paused node stay in the queue, as they would in the buffer of
   its socket.  */
void
fleet_deliver_due (fleet_t *fleet)
{
  fleet_message_t *message;
  size_t i = 0;

  while (i < fleet->message_count)
    {
      message = fleet->messages[i];
      if (message->due_ms > fleet->now_ms
          || fleet->nodes[message->to].paused_until_ms > fleet->now_ms)
        {
          i++;
          continue;
        }
      fleet->messages[i] = fleet->messages[--fleet->message_count];
      deliver (fleet, message);
      fleet_free_message (message);
    }
}
