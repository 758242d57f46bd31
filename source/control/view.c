#include <urcu.h>

#include "control/control-imp.h"

#include <stdlib.h>
#include <string.h>

/* The revision in which a pool's value last changed.  */
typedef struct
{
  const char *name; /* owned by the declaration */
  int64_t revision;
} pool_revision_t;

struct csp_view
{
  atomic_uint_fast32_t references;
  csp_declaration_t *declaration;
  pool_revision_t *pools;
  size_t pool_count;
  const char **models; /* named by routes, in their order */
  size_t model_count;
};

static bool
list_models (csp_view_t *view)
{
  size_t count = csp_count_routes (view->declaration);
  size_t i;

  view->models = calloc (count + 1, sizeof *view->models);
  for (i = 0; i < count && view->models != NULL; i++)
    view->models[i] = csp_get_route (view->declaration, i)->model;
  view->model_count = count;
  return view->models != NULL;
}

csp_view_t *
csp_create_view (csp_declaration_t *declaration)
{
  csp_view_t *view = calloc (1, sizeof *view);

  if (view == NULL)
    return NULL;
  atomic_init (&view->references, 1);
  view->declaration = declaration;
  if (!list_models (view))
    {
      free (view);
      return NULL;
    }
  return view;
}

bool
csp_note_pool_revisions (csp_view_t *view, const csp_config_value_t *values,
                         size_t count)
{
  static const char prefix[] = "targets/";
  const csp_pool_t *pool;
  size_t i;

  view->pools
      = calloc (csp_count_pools (view->declaration) + 1, sizeof *view->pools);
  if (view->pools == NULL)
    return false;
  for (i = 0; i < count; i++)
    {
      if (strncmp (values[i].key, prefix, sizeof prefix - 1) != 0)
        continue;
      pool = csp_find_pool (view->declaration,
                            values[i].key + sizeof prefix - 1);
      if (pool == NULL)
        continue;
      view->pools[view->pool_count].name = pool->name;
      view->pools[view->pool_count++].revision = values[i].revision;
    }
  return true;
}

int64_t
csp_view_pool_revision (const csp_view_t *view, const char *pool)
{
  size_t i;

  for (i = 0; i < view->pool_count; i++)
    if (strcmp (view->pools[i].name, pool) == 0)
      return view->pools[i].revision;
  return 0;
}

const char *const *
csp_view_models (const csp_view_t *view, size_t *count)
{
  *count = view->model_count;
  return view->models;
}

csp_view_t *
csp_acquire_view (csp_control_t *control)
{
  csp_view_t *view;

  rcu_read_lock ();
  view = rcu_dereference (control->view);
  if (view != NULL)
    atomic_fetch_add (&view->references, 1);
  rcu_read_unlock ();
  return view;
}

void
csp_release_view (csp_view_t *view)
{
  if (view == NULL || atomic_fetch_sub (&view->references, 1) != 1)
    return;
  csp_destroy_declaration (view->declaration);
  free (view->pools);
  free (view->models);
  free (view);
}

const csp_declaration_t *
csp_view_declaration (const csp_view_t *view)
{
  return view == NULL ? NULL : view->declaration;
}

/* Readers hold the RCU read lock only while they take a reference.  A stream
   that runs for minutes holds a reference and no lock, so that a change of the
   configuration never waits for the longest answer.  */
void
csp_publish_view (csp_control_t *control, csp_view_t *view)
{
  csp_view_t *old = control->view;

  if (view != NULL)
    atomic_fetch_add (&view->references, 1);
  rcu_assign_pointer (control->view, view);
  synchronize_rcu ();
  csp_release_view (old);
}
