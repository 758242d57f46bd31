#ifndef CSP_CONFIG_STATE_IMP_H
#define CSP_CONFIG_STATE_IMP_H

#include "cowslipspoke/configuration.h"

/* One key's text, shared by all states that hold it unchanged.  */
typedef struct
{
  uint32_t uses;
  uint64_t hash;
  /* Key, nul, JSON, nul.  */
  char text[];
} csp_config_cell_t;

/* All keyed values at one revision, sorted by key, never changed once made.
   values[i] points into cells[i].  */
typedef struct
{
  int64_t revision;
  uint64_t digest;
  size_t size_bytes;
  size_t count;
  csp_config_value_t *values;
  csp_config_cell_t **cells;
} csp_config_state_t;

csp_config_state_t *csp_create_config_state (void);
void csp_destroy_config_state (csp_config_state_t *state);

/* The state that a delta makes of this one.  NULL and a fault where a key
   stands twice, is out of bounds, or the whole is too large.  */
csp_config_state_t *csp_merge_config_state (const csp_config_state_t *state,
                                            const csp_config_delta_t *delta,
                                            char fault[CSP_FAULT_BYTES]);

/* The value of a key, NULL if there is none.  */
const csp_config_value_t *
csp_find_config_value (const csp_config_state_t *state, const char *key);

#endif
