#ifndef COWSLIPSPOKE_INTERN_H
#define COWSLIPSPOKE_INTERN_H

#include <stdint.h>

/* Small numbers for names, for tables that are indexed by organisation.  */
typedef struct csp_intern csp_intern_t;

enum
{
  CSP_INTERN_NONE = UINT32_MAX
};

/* A table of at most limit names.  NULL when memory fails.  */
csp_intern_t *csp_create_intern (uint32_t limit);

/* Free a table; NULL is allowed.  */
void csp_destroy_intern (csp_intern_t *intern);

/* The number of a name, from 0; a new name gets the next one.  When the table
   is full or memory fails, CSP_INTERN_NONE.  */
uint32_t csp_intern_name (csp_intern_t *intern, const char *name);

/* The name of a number that the table gave.  */
const char *csp_interned_name (const csp_intern_t *intern, uint32_t number);

/* How many names there are.  */
uint32_t csp_count_interned (const csp_intern_t *intern);

#endif
