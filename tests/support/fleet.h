#ifndef TESTS_SUPPORT_FLEET_H
#define TESTS_SUPPORT_FLEET_H

#include "cowslipspoke/ownership.h"
#include "cowslipspoke/random.h"
#include "cowslipspoke/spread.h"

/* Simulates a fleet in one process: the state machines of several hosts,
   connected by a queue of messages with delay, loss and cut links, and a small
   model of the platform and of engines.  All random choices follow from a
   seed.  Time advances in steps of FLEET_STEP_MS.  */

enum
{
  FLEET_STEP_MS = 10,
  FLEET_TICK_MS = 100,
  FLEET_MAX_NODES = 340,
  FLEET_MAX_TARGETS = 480,
  FLEET_KEYS = 64,
  FLEET_LIST_POLL_MS = 2000,
  FLEET_REPORT_MS = 1000,
  FLEET_REPORT_SLOTS = 64,
  FLEET_CAPACITY = 100000
};

typedef struct
{
  size_t nodes;
  size_t data_centres;
  /* Targets in each data centre.  */
  size_t targets;
  uint64_t seed;
  uint32_t delay_ms;
  double loss;
  /* Delay after which the platform's list shows that a host started or
     died.  */
  int64_t list_lag_ms;
  int64_t report_lag_ms;
  /* Every host reads the configuration service at each change, as the simplest
     design would; used for comparison.  */
  bool every_host_reads;
} fleet_settings_t;

/* Keys of the configuration service.  Value 0: the key doesn't exist;
   negative: it was deleted at that revision; FLEET_BAD_VALUE: hosts refuse the
   revision.  */
enum
{
  FLEET_BAD_VALUE = 666
};

typedef struct
{
  int64_t revision;
  int64_t changed_revision[FLEET_KEYS];
  int value[FLEET_KEYS];
} fleet_config_service_t;

typedef struct
{
  bool up;
  /* The node is paused until this time; the platform's list still shows
     it.  */
  int64_t paused_until_ms;
  char name[CSP_HOST_NAME_BYTES];
  size_t data_centre;
  uint64_t incarnation;
  csp_member_state_t state;
  csp_membership_t *membership;
  csp_configuration_t *configuration;
  csp_config_sync_t *config_sync;
  csp_ownership_t *ownership;
  bool platform_unreachable;
  int64_t next_tick_ms;
  int64_t next_list_read_ms;
  /* The read of the configuration service in progress.  */
  bool read_pending;
  csp_config_sync_action_t pending_read;
  int64_t read_started_ms;
  int64_t highest_revision;
  uint64_t bytes;
  uint64_t messages;
  uint64_t reads;
  int64_t carried_tokens[FLEET_MAX_TARGETS];
} fleet_node_t;

typedef struct
{
  csp_listed_target_t listed;
  size_t data_centre;
  int64_t used_tokens[FLEET_REPORT_SLOTS];
  bool leaving;
} fleet_target_t;

typedef struct fleet_message fleet_message_t;

typedef struct
{
  fleet_settings_t settings;
  int64_t now_ms;
  csp_random_t random;
  fleet_node_t nodes[FLEET_MAX_NODES];
  fleet_target_t targets[FLEET_MAX_TARGETS];
  size_t target_count;
  /* cuts[a][b]: all messages from a to b are lost.  */
  bool cuts[FLEET_MAX_NODES][FLEET_MAX_NODES];
  size_t message_count;
  size_t message_capacity;
  fleet_message_t **messages;
  fleet_config_service_t service;
  bool platform_down;
  int64_t list_version;
  int64_t up_changed_ms[FLEET_MAX_NODES];
  bool node_listed[FLEET_MAX_NODES];
  /* Every owner places as many tokens on its targets as it may.  */
  bool saturate_targets;
  /* Results of the checks at each step.  */
  uint64_t revision_regressions;
  uint64_t double_grants;
  int64_t max_used_tokens;
  uint64_t reads;
} fleet_t;

fleet_t *fleet_create (const fleet_settings_t *settings);
void fleet_destroy (fleet_t *fleet);
/* Start all nodes and run until they know each other.  */
void fleet_start_all (fleet_t *fleet);
void fleet_run (fleet_t *fleet, int64_t ms);

void fleet_start (fleet_t *fleet, size_t index);
void fleet_kill (fleet_t *fleet, size_t index);
void fleet_pause (fleet_t *fleet, size_t index, int64_t ms);
void fleet_set_leaving (fleet_t *fleet, size_t index);
/* Cut or restore the link from one node to another, in this direction
   only.  */
void fleet_set_link_cut (fleet_t *fleet, size_t from, size_t to, bool cut);
/* Cut or restore the links between the nodes below split and the others, in
   both directions.  */
void fleet_set_partition (fleet_t *fleet, size_t split, bool cut);

/* Publish this many changes of random keys, each with its own revision.  */
void fleet_publish (fleet_t *fleet, size_t count);
void fleet_publish_value (fleet_t *fleet, size_t key, int value);
/* List a target as leaving.  */
void fleet_set_target_leaving (fleet_t *fleet, size_t target);

int64_t fleet_revision (const fleet_t *fleet, size_t index);
/* Whether all nodes that are up have at least this revision, and all have the
   same digest.  */
bool fleet_has_converged (const fleet_t *fleet, int64_t revision);
/* Run until fleet_has_converged is true, for about limit_ms at most.  Returns
   how many milliseconds it took, or -1 on a timeout.  */
int64_t fleet_run_until_converged (fleet_t *fleet, int64_t revision,
                                   int64_t limit_ms);
/* Returns how many nodes may grant requests on a target now.  */
size_t fleet_count_granting (const fleet_t *fleet, size_t target);
csp_peer_liveness_t fleet_liveness (const fleet_t *fleet, size_t from,
                                    size_t of);

/* Inject two random faults and run for a random time, this many rounds; then
   clear all faults.  cuts: faults may also cut links and make the platform
   (its configuration service and its lists) unreachable.  */
void fleet_inject_faults (fleet_t *fleet, size_t rounds, bool cuts);
/* Run until every live target has exactly one host that grants, for about
   limit_ms at most.  Returns how many milliseconds it took, or -1 on a
   timeout.  */
int64_t fleet_run_until_one_owner (fleet_t *fleet, int64_t limit_ms);

/* Internal to the simulation.  */
void fleet_tick_platform (fleet_t *fleet, fleet_node_t *node);
void fleet_tick_load (fleet_t *fleet);
void fleet_read_load_reports (fleet_t *fleet, fleet_node_t *node);
size_t fleet_count_heartbeat_bytes (const csp_heartbeat_t *heartbeat);
size_t fleet_count_delta_bytes (const csp_config_delta_t *delta);

#endif
