#ifndef TESTS_SUPPORT_FLEET_H
#define TESTS_SUPPORT_FLEET_H

#include "cowslipspoke/ownership.h"
#include "cowslipspoke/random.h"
#include "cowslipspoke/spread.h"

/* Several hosts' state machines in one process, joined by a seeded queue of
   messages with delay, loss and cuts, and a small model of the platform and
   of engines.  Time moves in steps of FLEET_STEP_MS.  */

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
  /* In each data centre.  */
  size_t targets;
  uint64_t seed;
  uint32_t delay_ms;
  double loss;
  /* How long the platform takes to list a start or a death.  */
  int64_t list_lag_ms;
  int64_t report_lag_ms;
  /* Every host reads the service at each change, as the simplest design
     would; for comparison.  */
  bool everyone_reads;
} fleet_settings_t;

/* The service's keys: value 0 is no key, a negative one is a deletion at that
   revision, FLEET_BAD_VALUE fails the check.  */
enum
{
  FLEET_BAD_VALUE = 666
};

typedef struct
{
  int64_t revision;
  int64_t changed[FLEET_KEYS];
  int value[FLEET_KEYS];
} fleet_service_t;

typedef struct
{
  bool up;
  /* Not counted as a fault by the list before this.  */
  int64_t paused_until_ms;
  char name[CSP_HOST_NAME_BYTES];
  size_t data_centre;
  uint64_t incarnation;
  csp_member_state_t state;
  csp_membership_t *membership;
  csp_configuration_t *configuration;
  csp_spread_t *spread;
  csp_ownership_t *ownership;
  bool platform_cut;
  int64_t next_tick_ms;
  int64_t next_list_ms;
  /* The read that is out.  */
  bool reading;
  csp_spread_action_t read;
  int64_t read_since_ms;
  int64_t highest_revision;
  uint64_t bytes;
  uint64_t messages;
  uint64_t reads;
  int64_t carried[FLEET_MAX_TARGETS];
} fleet_node_t;

typedef struct
{
  csp_listed_target_t listed;
  size_t data_centre;
  int64_t used[FLEET_REPORT_SLOTS];
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
  /* cuts[a][b]: what a sends to b is lost.  */
  bool cuts[FLEET_MAX_NODES][FLEET_MAX_NODES];
  size_t message_count;
  size_t message_capacity;
  fleet_message_t **messages;
  fleet_service_t service;
  bool service_away;
  int64_t list_version;
  int64_t list_changes[FLEET_MAX_NODES];
  bool listed[FLEET_MAX_NODES];
  /* Load: every owner takes all the room it may.  */
  bool load;
  /* What the checks at each step found.  */
  uint64_t went_back;
  uint64_t double_grants;
  int64_t worst_used;
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
void fleet_leave (fleet_t *fleet, size_t index);
/* Cut or mend what goes from one node to another, one way.  */
void fleet_cut (fleet_t *fleet, size_t from, size_t to, bool cut);
/* Cut or mend both ways between nodes below split and the others.  */
void fleet_split (fleet_t *fleet, size_t split, bool cut);

/* Publish count changes of random keys, each its own revision.  */
void fleet_publish (fleet_t *fleet, size_t count);
void fleet_publish_value (fleet_t *fleet, size_t key, int value);
/* List a target as leaving.  */
void fleet_leave_target (fleet_t *fleet, size_t target);

int64_t fleet_revision (const fleet_t *fleet, size_t index);
/* All nodes that are up have this revision and one digest.  */
bool fleet_agrees_on (const fleet_t *fleet, int64_t revision);
/* Run until then, at most limit_ms; how long it took, -1 if it did not.  */
int64_t fleet_time_to_agree (fleet_t *fleet, int64_t revision,
                             int64_t limit_ms);
/* How many nodes may grant on a target now.  */
size_t fleet_count_granting (const fleet_t *fleet, size_t target);
csp_peer_liveness_t fleet_liveness (const fleet_t *fleet, size_t from,
                                    size_t of);

/* Two random faults at a time, rounds times, then mend everything.  With cuts
   links are cut and the service goes away as well.  */
void fleet_break_things (fleet_t *fleet, size_t rounds, bool cuts);
/* Run until every target has exactly one host that grants; how long it took,
   -1 if it did not.  */
int64_t fleet_time_to_one_owner (fleet_t *fleet, int64_t limit_ms);

/* Parts of the harness.  */
void fleet_tick_platform (fleet_t *fleet, fleet_node_t *node);
void fleet_tick_load (fleet_t *fleet);
void fleet_report_loads (fleet_t *fleet, fleet_node_t *node);
size_t fleet_count_heartbeat_bytes (const csp_heartbeat_t *said);
size_t fleet_count_delta_bytes (const csp_config_delta_t *delta);

#endif
