#include <urcu.h>

#include "control/control-imp.h"

#include <stdlib.h>

struct csp_view
{
  atomic_uint_fast32_t references;
  csp_declaration_t *declaration;
};

csp_view_t *
csp_create_view (csp_declaration_t *declaration)
{
  csp_view_t *view = calloc (1, sizeof *view);

  if (view == NULL)
    return NULL;
  atomic_init (&view->references, 1);
  view->declaration = declaration;
  return view;
}

csp_view_t *
csp_take_view (csp_control_t *control)
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
csp_put_view (csp_view_t *view)
{
  if (view == NULL || atomic_fetch_sub (&view->references, 1) != 1)
    return;
  csp_destroy_declaration (view->declaration);
  free (view);
}

const csp_declaration_t *
csp_view_declaration (const csp_view_t *view)
{
  return view == NULL ? NULL : view->declaration;
}

/* Readers hold the RCU lock only while they count themselves in; a stream of
   minutes holds a count and no lock, so that a change of configuration never
   waits for the longest answer.  */
void
csp_publish_view (csp_control_t *control, csp_view_t *view)
{
  csp_view_t *old = control->view;

  if (view != NULL)
    atomic_fetch_add (&view->references, 1);
  rcu_assign_pointer (control->view, view);
  synchronize_rcu ();
  csp_put_view (old);
}
