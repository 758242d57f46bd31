#ifndef COWSLIPSPOKE_SPREAD_H
#define COWSLIPSPOKE_SPREAD_H

#include "cowslipspoke/configuration.h"
#include "cowslipspoke/membership.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Decides when this host reads the configuration service, and when it pulls
   configuration changes from which peer.

   Load pattern: bursts of changes, and 330 hosts that share 2,000 reads a
   second.  If every host watched the service, each change would end all their
   watches, and ten changes a second would exceed the shared limit.  So only
   the first CSP_READERS_PER_DATA_CENTRE hosts of each data centre, in
   rendezvous order, watch.  The others learn the revision from heartbeats and
   pull the changes from a peer.

   Performs no I/O: takes events, returns actions and is deterministic for a
   seed.  */
typedef struct csp_config_sync csp_config_sync_t;

enum
{
  /* With two, the failure of one reader causes no delay.  Three would cost
     half as many reads again for the case that two fail within one heartbeat,
     in which the next host in order takes over within seconds anyway.  */
  CSP_READERS_PER_DATA_CENTRE = 2,
  /* Coalesces bursts: at most one read and one pull a second.  This leaves
     half of the 10 s, in which a change should reach all hosts, for faults. */
  CSP_READ_GAP_MS = 1000,
  CSP_PULL_GAP_MS = 1000,
  /* How long a watch waits for a change.  A shorter wait detects a hanging
     service sooner, a longer one saves reads: 56 readers make 14 reads a
     second.  */
  CSP_WATCH_WAIT_MS = 4000,
  /* A watch that is overdue by this much has failed.  */
  CSP_WATCH_GRACE_MS = 2000,
  /* Pause after a failed read.  While the service is unreachable, 330 hosts
     together try 66 reads a second.  */
  CSP_READ_RETRY_MS = 5000,
  CSP_PULL_TIMEOUT_MS = 2000,
  /* A reader makes a full read after this time plus a random time of up to as
     much again, to detect a service that reuses revisions.  */
  CSP_FULL_READ_PERIOD_MS = 600000,
  /* After its start a host waits at most this long for a configuration.  Then
     it serves with the one it has, or reports that it has none.  */
  CSP_START_WAIT_MS = 5000,
  /* After its start a host with a configuration from the service waits this
     long for a peer to report a revision: two heartbeats.  */
  CSP_START_PEER_WAIT_MS = 2000
};

/* A peer's state from the membership, filled in by csp_fill_config_sync_peers.
 */
typedef struct
{
  int64_t revision;
  uint64_t digest;
  int64_t refused_revision;
  char name[CSP_HOST_NAME_BYTES];
  bool same_data_centre;
  /* The peer tried to read the service and failed.  */
  bool service_silent;
} csp_config_sync_peer_t;

typedef enum
{
  /* GET /v1/config?after=after&wait_ms=wait_ms; time out after timeout_ms and
     report csp_handle_read or csp_handle_read_failed with id.  */
  CSP_CONFIG_SYNC_READ_SERVICE,
  /* Request the changes after revision after from peer; report
     csp_handle_pull or csp_handle_pull_failed with id.  */
  CSP_CONFIG_SYNC_PULL_PEER
} csp_config_sync_kind_t;

typedef struct
{
  csp_config_sync_kind_t kind;
  uint64_t id;
  int64_t after;
  uint32_t wait_ms;
  uint32_t timeout_ms;
  char peer[CSP_HOST_NAME_BYTES];
} csp_config_sync_action_t;

enum
{
  CSP_MAX_CONFIG_SYNC_ACTIONS = 2,
  CSP_MAX_CONFIG_SYNC_PEERS = 128
};

typedef struct
{
  size_t count;
  csp_config_sync_action_t items[CSP_MAX_CONFIG_SYNC_ACTIONS];
} csp_config_sync_actions_t;

typedef struct
{
  bool reader;
  /* This host's last read failed; sent in its heartbeats.  */
  bool service_silent;
  /* A configuration is in force, or CSP_START_WAIT_MS has passed.  */
  bool startup_done;
  uint64_t reads;
  uint64_t failed_reads;
  uint64_t pulls;
  uint64_t failed_pulls;
  /* Answers that were dropped since their request was no longer pending.  */
  uint64_t dropped_answers;
  /* Peers that now report the revision in force with another digest.  */
  size_t peer_conflicts;
} csp_config_sync_status_t;

/* Fills peers from the membership: the hosts of the own data centre in
   rendezvous order, then hosts of other data centres that answered recently.
   Returns how many, and in rank this host's own position in the order.  */
size_t csp_fill_config_sync_peers (const csp_membership_t *membership,
                                   int64_t now_ms,
                                   csp_config_sync_peer_t *peers,
                                   size_t capacity, size_t *rank);

/* Creates the state for a configuration, which must outlive it.  */
csp_config_sync_t *csp_create_config_sync (csp_configuration_t *configuration,
                                           uint64_t seed, int64_t now_ms);
void csp_destroy_config_sync (csp_config_sync_t *sync);

/* Times out pending requests and decides on new ones.  peers: the live hosts,
   those of the own data centre first and in rendezvous order.  rank: this
   host's own position in that order (0 is first) among the hosts of its data
   centre.  To be called every 100 ms to 500 ms and after events.  */
void csp_tick_config_sync (csp_config_sync_t *sync,
                           const csp_config_sync_peer_t *peers,
                           size_t peer_count, size_t rank, int64_t now_ms,
                           csp_config_sync_actions_t *actions);

/* Handles the service's answer to the read with this id.  If the read is no
   longer pending, the answer is counted and dropped, and the result is
   CSP_CONFIG_SAME.  The same holds for pulls.  */
csp_config_result_t csp_handle_read (csp_config_sync_t *sync, uint64_t id,
                                     const csp_config_delta_t *delta,
                                     int64_t now_ms);
void csp_handle_read_failed (csp_config_sync_t *sync, uint64_t id,
                             int64_t now_ms);

/* Handles a peer's answer to the pull with this id, with the peer's refused
   revision, 0 if none, and its faults.  */
csp_config_result_t csp_handle_pull (csp_config_sync_t *sync, uint64_t id,
                                     const csp_config_delta_t *delta,
                                     int64_t refused_revision,
                                     const char *fault, int64_t now_ms);
void csp_handle_pull_failed (csp_config_sync_t *sync, uint64_t id,
                             int64_t now_ms);

void csp_get_config_sync_status (const csp_config_sync_t *sync,
                                 csp_config_sync_status_t *status);

#endif
