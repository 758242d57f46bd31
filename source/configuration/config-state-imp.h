#ifndef CSP_CONFIG_STATE_IMP_H
#define CSP_CONFIG_STATE_IMP_H

#include "cowslipspoke/configuration.h"

/* One key and its value, shared by all states that have them unchanged.  */
typedef struct
{
  uint32_t ref_count;
  uint64_t hash;
  /* Key, NUL, JSON, NUL.  */
  char text[];
} csp_config_entry_t;

/* All keyed values at one revision, sorted by key.  Immutable once created.
   values[i] points into entries[i].  */
typedef struct
{
  int64_t revision;
  uint64_t digest;
  size_t size_bytes;
  size_t count;
  csp_config_value_t *values;
  csp_config_entry_t **entries;
} csp_config_state_t;

csp_config_state_t *csp_create_config_state (void);
void csp_destroy_config_state (csp_config_state_t *state);

/* Creates the state that results from applying a delta to a state.  Returns
   NULL and a fault text if a key occurs twice, or a key, a value or the
   resulting state exceeds its size limit.  */
csp_config_state_t *csp_merge_config_state (const csp_config_state_t *state,
                                            const csp_config_delta_t *delta,
                                            char fault[CSP_FAULT_BYTES]);

/* The value of a key; NULL if there is none.  */
const csp_config_value_t *
csp_find_config_value (const csp_config_state_t *state, const char *key);

#endif
