#ifndef COWSLIPSPOKE_INTERN_H
#define COWSLIPSPOKE_INTERN_H

#include <stdint.h>

/* Maps names to small numbers, for tables that are indexed by
   organisation.  */
typedef struct csp_intern csp_intern_t;

enum
{
  CSP_INTERN_NONE = UINT32_MAX
};

/* Creates a table of at most limit names; NULL when memory allocation
   fails.  */
csp_intern_t *csp_create_intern (uint32_t limit);

/* Frees a table; NULL is allowed.  */
void csp_destroy_intern (csp_intern_t *intern);

/* Returns the number of a name, from 0; a new name gets the next number.
   CSP_INTERN_NONE when the table is full or memory allocation fails.  */
uint32_t csp_intern_name (csp_intern_t *intern, const char *name);

/* Returns the name with this number; NULL if there is none.  */
const char *csp_get_interned_name (const csp_intern_t *intern,
                                   uint32_t number);

/* The number of names.  */
uint32_t csp_count_interned (const csp_intern_t *intern);

#endif
