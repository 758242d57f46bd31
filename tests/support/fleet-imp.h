#ifndef TESTS_SUPPORT_FLEET_IMP_H
#define TESTS_SUPPORT_FLEET_IMP_H

#include "support/fleet.h"

typedef enum
{
  MESSAGE_HEARTBEAT,
  MESSAGE_HEARTBEAT_REPLY,
  MESSAGE_PULL,
  MESSAGE_PULL_REPLY,
  MESSAGE_LOAD_QUERY,
  MESSAGE_LOAD_QUERY_REPLY
} message_kind_t;

struct fleet_message
{
  message_kind_t kind;
  int64_t due_ms;
  uint64_t to_incarnation;
  size_t from;
  size_t to;
  uint64_t id;
  csp_heartbeat_t *heartbeat;
  int64_t after_revision;
  csp_config_delta_t delta;
  int64_t refused_revision;
  char fault[CSP_FAULT_BYTES];
  size_t load_count;
  csp_carried_load_t *loads;
};

/* Create a message from one node to another, owned by the queue until it is
   delivered.  Fill it in, then call fleet_send_message, which counts it and
   may lose it.  */
fleet_message_t *fleet_begin_message (fleet_t *fleet, message_kind_t kind,
                                      size_t from, size_t to);
void fleet_send_message (fleet_t *fleet);
void fleet_free_message (fleet_message_t *message);
csp_heartbeat_t *fleet_copy_heartbeat (const csp_heartbeat_t *from);
size_t fleet_find_node (const fleet_t *fleet, const char *name);
/* Deliver the messages that are due to nodes that aren't paused.  */
void fleet_deliver_due (fleet_t *fleet);

#endif
