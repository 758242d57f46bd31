#ifndef TESTS_SUPPORT_FLEET_IMP_H
#define TESTS_SUPPORT_FLEET_IMP_H

#include "support/fleet.h"

typedef enum
{
  MESSAGE_HEARTBEAT,
  MESSAGE_HEARTBEAT_REPLY,
  MESSAGE_PULL,
  MESSAGE_PULL_REPLY,
  MESSAGE_CARRY,
  MESSAGE_CARRY_REPLY
} message_kind_t;

struct fleet_message
{
  message_kind_t kind;
  int64_t at_ms;
  uint64_t to_incarnation;
  size_t from;
  size_t to;
  uint64_t id;
  csp_heartbeat_t *heartbeat;
  int64_t after;
  csp_config_delta_t delta;
  int64_t refused_revision;
  char fault[CSP_FAULT_BYTES];
  size_t carry_count;
  csp_carry_t *carries;
};

/* A message from one node to another; it belongs to the queue until it is
   delivered.  Fill it, then finish the post, which counts it and may lose
   it.  */
fleet_message_t *fleet_post (fleet_t *fleet, message_kind_t kind, size_t from,
                             size_t to);
void fleet_finish_post (fleet_t *fleet);
void fleet_free_message (fleet_message_t *message);
csp_heartbeat_t *fleet_copy_heartbeat (const csp_heartbeat_t *from);
size_t fleet_find_node (const fleet_t *fleet, const char *name);
/* Deliver what is due now to nodes that are not paused.  */
void fleet_deliver_due (fleet_t *fleet);

#endif
