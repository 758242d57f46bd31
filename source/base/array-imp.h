#ifndef COWSLIPSPOKE_ARRAY_IMP_H
#define COWSLIPSPOKE_ARRAY_IMP_H

#include <stddef.h>

/* Returns an array with room for one more item than count, moved if it had to
   grow; *capacity is in items, and doubles.  NULL when memory fails: the array
   is then as it was.  */
void *csp_grow_array (void *items, size_t count, size_t *capacity,
                      size_t item_bytes);

#endif
