#ifndef COWSLIPSPOKE_CONFIGURATION_H
#define COWSLIPSPOKE_CONFIGURATION_H

#include "cowslipspoke/platform.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The configuration in force on this host, as keyed values: the highest valid
   revision that the host has received from the service or a peer.

   Load pattern: 0.27 changes a second on average with bursts of tens, from a
   service that may be stale and from peers that may have other content.
   Without the rules here a host would return to an older configuration when
   the service does, or mix two revisions when a delta is applied to the wrong
   base; hosts would then decide differently at the same revision.  So
   revisions never decrease, a peer's delta must result in the sender's digest,
   and a revision that fails the check leaves the last valid one in force.  */
typedef struct csp_configuration csp_configuration_t;

enum
{
  CSP_FAULT_BYTES = 256,
  /* Number of deletions kept for deltas: about two days' worth at the planned
     23,000 changes a day, of which every tenth is a deletion.  A peer that is
     further behind gets the full configuration.  */
  CSP_MAX_TOMBSTONES = 4096
};

typedef enum
{
  /* Passed the check and is now in force.  */
  CSP_CONFIG_APPLIED,
  /* The revision and content that are already in force.  */
  CSP_CONFIG_SAME,
  /* A lower revision than the one in force; ignored.  */
  CSP_CONFIG_STALE,
  /* The revision in force with other content; ignored.  The next higher
     revision from the service must be a full read.  */
  CSP_CONFIG_CONFLICT,
  /* The changes don't apply to the state in force, or are incomplete; the full
     configuration must be requested from the sender (after 0).  */
  CSP_CONFIG_NEEDS_FULL,
  /* The check failed; the last valid revision stays in force.  */
  CSP_CONFIG_REFUSED,
  CSP_CONFIG_RESULT_COUNT
} csp_config_result_t;

typedef enum
{
  CSP_SOURCE_SERVICE,
  CSP_SOURCE_PEER
} csp_config_source_t;

/* Checks a revision and builds the object that is used while the revision is
   in force.  build gets all values, sorted by key, and may not keep them
   after it returns.  To refuse the revision it returns NULL with a fault text.
   release is called when a built object is no longer in force.  */
typedef struct
{
  void *(*build) (void *state, int64_t revision,
                  const csp_config_value_t *values, size_t count,
                  char fault[CSP_FAULT_BYTES]);
  void (*release) (void *state, void *built);
  void *state;
} csp_config_builder_t;

/* The status shown to operators.  */
typedef struct
{
  /* The revision in force; 0 if there is none yet.  */
  int64_t revision;
  uint64_t digest;
  size_t value_count;
  /* The highest refused revision, with its faults; 0 if none is higher than
     the one in force.  */
  int64_t refused_revision;
  char fault[CSP_FAULT_BYTES];
  /* The service's last answer had a lower revision than the one in force.  */
  bool service_stale;
  int64_t service_revision;
  /* The service's next revision must be a full read: the service returned a
     lower revision, or there is other content under the revision in force.  */
  bool needs_full_read;
  uint64_t counts[CSP_CONFIG_RESULT_COUNT];
} csp_config_status_t;

/* Creates an empty configuration at revision 0.  */
csp_configuration_t *
csp_create_configuration (const csp_config_builder_t *check);

/* Destroys a configuration and releases the object built for it.  */
void csp_destroy_configuration (csp_configuration_t *configuration);

/* Applies a delta or a full configuration as a whole, or rejects it and
   returns the reason.  */
csp_config_result_t
csp_apply_configuration (csp_configuration_t *configuration,
                         csp_config_source_t source,
                         const csp_config_delta_t *delta);

/* The revision after which a watch at the service should ask for changes: the
   highest in force or refused, so that a refused revision doesn't end the
   watch again at once.  */
int64_t csp_get_watch_revision (const csp_configuration_t *configuration);

/* Fills in the changes after a revision for a peer, or the full configuration
   if after is 0, too old, or lower than the first revision in force here.  The
   delta points into the configuration and is valid until the next call of
   csp_apply_configuration or csp_collect_config_changes.  */
void csp_collect_config_changes (csp_configuration_t *configuration,
                                 int64_t after, csp_config_delta_t *delta);

/* Records a revision that a peer refused, with its faults, so that hosts that
   don't read the service report it as well.  Lower revisions than the recorded
   one are ignored.  */
void csp_record_refused_revision (csp_configuration_t *configuration,
                                  int64_t revision, const char *fault);

/* Records that a peer has other content under the revision in force.  The
   service's next revision must then be a full read: a delta applied to two
   different contents would result in two different contents again.  */
void csp_record_config_conflict (csp_configuration_t *configuration);

/* The object built for the revision in force; NULL if there is none yet.  */
void *csp_get_built_configuration (const csp_configuration_t *configuration);

/* Fills in the status.  */
void csp_get_configuration_status (const csp_configuration_t *configuration,
                                   csp_config_status_t *status);

/* The name of a result for logs and metrics, such as "stale".  */
const char *csp_config_result_name (csp_config_result_t result);

#endif
