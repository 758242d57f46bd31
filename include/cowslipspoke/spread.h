#ifndef COWSLIPSPOKE_SPREAD_H
#define COWSLIPSPOKE_SPREAD_H

#include "cowslipspoke/configuration.h"
#include "cowslipspoke/membership.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Who reads the configuration service, who pulls from which peer, and when.

   Load pattern: bursts of changes before 330 hosts that share 2,000 reads a
   second.  If every host watched, each change would wake them all, and ten
   changes a second would take more than everybody's reads.  So the first
   CSP_READERS hosts of a data centre, in rendezvous order, watch; the rest
   learn the revision from heartbeats and pull the changes from a peer.

   Pure: events in, actions out, deterministic for a seed.  */
typedef struct csp_spread csp_spread_t;

enum
{
  /* Two, so that one dead reader delays nothing; three would cost half as
     many reads again for a case (two die within one heartbeat) that the next
     in order mends in seconds anyway.  */
  CSP_READERS = 2,
  /* Bursts coalesce: at most one read, and one pull, a second each.  Half of
     the ten seconds are then left for faults.  */
  CSP_READ_GAP_MS = 1000,
  CSP_PULL_GAP_MS = 1000,
  /* A watch waits this long; shorter finds a hanging service sooner, longer
     saves reads: 56 readers make 14 a second.  */
  CSP_WATCH_WAIT_MS = 4000,
  /* A watch that is this much overdue counts as failed.  */
  CSP_WATCH_GRACE_MS = 2000,
  /* Pause after a failed read; all 330 hosts together then try 66 times a
     second when the service is away.  */
  CSP_READ_RETRY_MS = 5000,
  CSP_PULL_TIMEOUT_MS = 2000,
  /* A reader reads the whole this often (and a random part more), to notice
     a service that reuses revisions.  */
  CSP_WHOLE_CHECK_MS = 600000,
  /* A host that starts waits this long for a first configuration from
     anywhere before it serves what it has (or says it has none).  */
  CSP_START_WAIT_MS = 5000,
  /* With a configuration from the service but nothing newer from a peer it
     waits this long for peers: two heartbeats.  */
  CSP_START_SETTLE_MS = 2000
};

/* What the membership says of a peer; csp_fill_spread_peers makes these.  */
typedef struct
{
  int64_t revision;
  uint64_t digest;
  int64_t refused_revision;
  char name[CSP_HOST_NAME_BYTES];
  bool same_data_centre;
  /* The peer tried to read the service and failed.  */
  bool service_silent;
} csp_spread_peer_t;

typedef enum
{
  /* GET /v1/config?after=after&wait_ms=wait_ms; time out after timeout_ms and
     report csp_handle_read or csp_handle_read_failed with id.  */
  CSP_SPREAD_READ_SERVICE,
  /* Ask peer for changes behind after; report csp_handle_pull or
     csp_handle_pull_failed with id.  */
  CSP_SPREAD_PULL_PEER
} csp_spread_kind_t;

typedef struct
{
  csp_spread_kind_t kind;
  uint64_t id;
  int64_t after;
  uint32_t wait_ms;
  uint32_t timeout_ms;
  char peer[CSP_HOST_NAME_BYTES];
} csp_spread_action_t;

enum
{
  CSP_MAX_SPREAD_ACTIONS = 2,
  CSP_MAX_SPREAD_PEERS = 128
};

typedef struct
{
  size_t count;
  csp_spread_action_t items[CSP_MAX_SPREAD_ACTIONS];
} csp_spread_actions_t;

typedef struct
{
  bool reader;
  /* This host tried to read and failed; travels in its heartbeats.  */
  bool service_silent;
  /* A configuration is in force, or CSP_START_WAIT_MS has passed.  */
  bool start_over;
  uint64_t reads;
  uint64_t failed_reads;
  uint64_t pulls;
  uint64_t failed_pulls;
  /* Answers to questions that were no longer open, dropped.  */
  uint64_t crossed_answers;
  /* Peers that have the revision in force with another digest now.  */
  size_t peer_conflicts;
} csp_spread_status_t;

/* Fill peers from the membership: the hosts of our data centre in rendezvous
   order, then hosts elsewhere that answered us lately.  Returns how many, and
   our own place in the order in rank.  */
size_t csp_fill_spread_peers (const csp_membership_t *membership,
                              int64_t now_ms, csp_spread_peer_t *peers,
                              size_t capacity, size_t *rank);

/* Create over a configuration, which must outlive it.  */
csp_spread_t *csp_create_spread (csp_configuration_t *configuration,
                                 uint64_t seed, int64_t now_ms);
void csp_destroy_spread (csp_spread_t *spread);

/* Decide.  peers are the live hosts, own data centre's in rendezvous order
   first; rank is this host's own place in that order (0 is first) among the
   hosts of its data centre.  Call every 100 ms to 500 ms and after events.  */
void csp_tick_spread (csp_spread_t *spread, const csp_spread_peer_t *peers,
                      size_t peer_count, size_t rank, int64_t now_ms,
                      csp_spread_actions_t *actions);

/* An answer of the service to the read with this id.  An answer to a read
   that is no longer open is counted, dropped and gives CSP_CONFIG_SAME; so
   for pulls.  */
csp_config_result_t csp_handle_read (csp_spread_t *spread, uint64_t id,
                                     const csp_config_delta_t *delta,
                                     int64_t now_ms);
void csp_handle_read_failed (csp_spread_t *spread, uint64_t id,
                             int64_t now_ms);

/* A peer's answer to the pull with this id; it also carries the peer's
   refused revision, 0 for none, and its faults.  */
csp_config_result_t csp_handle_pull (csp_spread_t *spread, uint64_t id,
                                     const csp_config_delta_t *delta,
                                     int64_t refused_revision,
                                     const char *fault, int64_t now_ms);
void csp_handle_pull_failed (csp_spread_t *spread, uint64_t id,
                             int64_t now_ms);

void csp_describe_spread (const csp_spread_t *spread,
                          csp_spread_status_t *status);

#endif
