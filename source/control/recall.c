#include "control/control-imp.h"

#include <stdlib.h>

struct csp_recall
{
  atomic_uint references;
  atomic_bool recalled;
};

csp_recall_t *
csp_create_recall (void)
{
  csp_recall_t *recall = calloc (1, sizeof *recall);

  if (recall != NULL)
    atomic_init (&recall->references, 1);
  return recall;
}

csp_recall_t *
csp_ref_recall (csp_recall_t *recall)
{
  if (recall != NULL)
    atomic_fetch_add (&recall->references, 1);
  return recall;
}

void
csp_unref_recall (csp_recall_t *recall)
{
  if (recall != NULL && atomic_fetch_sub (&recall->references, 1) == 1)
    free (recall);
}

void
csp_set_recalled (csp_recall_t *recall)
{
  if (recall != NULL)
    atomic_store (&recall->recalled, true);
}

bool
csp_is_recalled (const csp_recall_t *recall)
{
  return recall != NULL && atomic_load (&recall->recalled);
}
