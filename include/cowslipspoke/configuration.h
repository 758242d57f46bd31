#ifndef COWSLIPSPOKE_CONFIGURATION_H
#define COWSLIPSPOKE_CONFIGURATION_H

#include "cowslipspoke/platform.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The configuration in force on this host: the highest good revision it has
   seen anywhere, as keyed values.

   Load pattern: 0.27 changes a second on average and bursts of tens, from a
   service that may be stale and from peers that may hold something else.
   Without the rules here a host goes back to an older configuration when the
   service falls back, or mixes two revisions when a delta meets the wrong
   base; one notices by hosts that decide differently at the same revision.
   Revisions only rise, every peer's delta must give the digest its sender
   had, and what fails the check leaves the last good revision in force.  */
typedef struct csp_configuration csp_configuration_t;

enum
{
  CSP_FAULT_BYTES = 256,
  /* Deletions that are remembered for deltas: two days of the planned 23,000
     changes a day where every tenth is a deletion.  Who is further behind
     gets the whole.  */
  CSP_MAX_TOMBSTONES = 4096
};

typedef enum
{
  /* Checked and in force.  */
  CSP_CONFIG_TAKEN,
  /* The same revision and content as is in force.  */
  CSP_CONFIG_SAME,
  /* A lower revision than this host has seen; kept out.  */
  CSP_CONFIG_STALE,
  /* The revision in force with another content; kept out until a higher
     revision comes, which must then be read whole.  */
  CSP_CONFIG_CONFLICT,
  /* The changes do not fit on what is held, or not all of them came; ask the
     sender for the whole (after 0).  */
  CSP_CONFIG_ASK_WHOLE,
  /* The check found faults; the last good revision stays in force.  */
  CSP_CONFIG_REFUSED,
  CSP_CONFIG_RESULT_COUNT
} csp_config_result_t;

typedef enum
{
  CSP_SOURCE_SERVICE,
  CSP_SOURCE_PEER
} csp_config_source_t;

/* Builds what is put in force from all values, which are sorted by key, and
   is the check at the same time: NULL and a fault text refuse the revision.
   The values hold only until it returns.  release is called when a built thing
   is no longer in force.  */
typedef struct
{
  void *(*build) (void *state, int64_t revision,
                  const csp_config_value_t *values, size_t count,
                  char fault[CSP_FAULT_BYTES]);
  void (*release) (void *state, void *built);
  void *state;
} csp_config_check_t;

/* What operators see.  */
typedef struct
{
  /* In force; revision 0 is none yet.  */
  int64_t revision;
  uint64_t digest;
  size_t value_count;
  /* The highest refused revision, 0 where none is higher than that in force,
     with its faults.  */
  int64_t refused_revision;
  char fault[CSP_FAULT_BYTES];
  /* The service's last answer was lower than what is in force.  */
  bool service_stale;
  int64_t service_revision;
  /* The next revision must be read whole: the service fell back or showed
     other content under a revision that was already in force.  */
  bool distrust_deltas;
  uint64_t counts[CSP_CONFIG_RESULT_COUNT];
} csp_config_status_t;

/* Create an empty configuration at revision 0.  */
csp_configuration_t *
csp_create_configuration (const csp_config_check_t *check);

/* Destroy a configuration and release what it built.  */
void csp_destroy_configuration (csp_configuration_t *configuration);

/* Take a delta or a whole, or keep it out and say why.  All or nothing.  */
csp_config_result_t csp_take_configuration (csp_configuration_t *configuration,
                                            csp_config_source_t source,
                                            const csp_config_delta_t *delta);

/* The revision that a watch at the service should ask behind: the highest in
   force or refused, so that a bad revision does not wake the watch again.  */
int64_t csp_find_watch_base (const csp_configuration_t *configuration);

/* The changes behind a revision for a peer, or the whole where after is too
   old, is 0, or was never in force here.  The delta points into the
   configuration and holds until the next take.  */
void csp_find_config_changes (csp_configuration_t *configuration,
                              int64_t after, csp_config_delta_t *delta);

/* A revision that a peer refused, with its faults, so that hosts that do not
   read the service show it as well.  Lower ones than known are ignored.  */
void csp_note_refused (csp_configuration_t *configuration, int64_t revision,
                       const char *fault);

/* A peer holds the revision in force with another content.  The next revision
   is then read whole: a delta on two contents would give two more.  */
void csp_note_conflict (csp_configuration_t *configuration);

/* What the check built for the revision in force; NULL before the first.  */
void *csp_built_configuration (const csp_configuration_t *configuration);

/* Fill the operators' view.  */
void csp_describe_configuration (const csp_configuration_t *configuration,
                                 csp_config_status_t *status);

/* Name of a result for logs and metrics, such as "stale".  */
const char *csp_config_result_name (csp_config_result_t result);

#endif
