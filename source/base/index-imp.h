#ifndef COWSLIPSPOKE_INDEX_IMP_H
#define COWSLIPSPOKE_INDEX_IMP_H

#include <stddef.h>
#include <stdint.h>

/* A hash index of nodes that live inside the indexed structures.  It knows
   only hashes; callers compare the rest.  */
typedef struct csp_index_node_s
{
  struct csp_index_node_s *next;
  uint64_t hash;
} csp_index_node_t;

typedef struct
{
  csp_index_node_t **buckets;
  size_t bucket_count;
  size_t count;
} csp_index_t;

/* The structure of a type whose member is the node.  */
#define CSP_INDEXED(node, type, member)                                       \
  ((type *)(void *)((char *)(node)-offsetof (type, member)))

/* Room for about expected nodes before the first growth.  Returns 0, or -1
   without memory.  */
int csp_open_index (csp_index_t *index, size_t expected);

/* Free the buckets, not the nodes.  */
void csp_close_index (csp_index_t *index);

void csp_add_to_index (csp_index_t *index, csp_index_node_t *node,
                       uint64_t hash);
void csp_remove_from_index (csp_index_t *index, csp_index_node_t *node);

/* The first node of a hash, and the one behind a node; NULL for none.  */
csp_index_node_t *csp_find_in_index (const csp_index_t *index, uint64_t hash);
csp_index_node_t *csp_find_next_in_index (const csp_index_node_t *node);

/* Spread the bits of a number over a hash (the finalizer of MurmurHash3). */
uint64_t csp_mix_u64 (uint64_t value);

/* A hash of a name that comes from hosts or configuration, not callers
   (FNV-1a).  */
uint64_t csp_mix_name (const char *name);

#endif
