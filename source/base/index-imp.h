#ifndef COWSLIPSPOKE_INDEX_IMP_H
#define COWSLIPSPOKE_INDEX_IMP_H

#include <stddef.h>
#include <stdint.h>

/* A hash index with intrusive nodes.  It compares only hashes; callers compare
   the keys.  */
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

/* The structure of a type that contains the node as member.  */
#define CSP_INDEX_ENTRY(node, type, member)                                   \
  ((type *)(void *)((char *)(node)-offsetof (type, member)))

/* Initialises an index with capacity for about expected nodes before it grows.
   Returns 0, or -1 when memory allocation fails.  */
int csp_open_index (csp_index_t *index, size_t expected);

/* Frees the buckets, not the nodes.  */
void csp_close_index (csp_index_t *index);

void csp_add_to_index (csp_index_t *index, csp_index_node_t *node,
                       uint64_t hash);
void csp_remove_from_index (csp_index_t *index, csp_index_node_t *node);

/* The first node with a hash, and the next one with the same hash; NULL if
   there is none.  */
csp_index_node_t *csp_find_in_index (const csp_index_t *index, uint64_t hash);
csp_index_node_t *csp_find_next_in_index (const csp_index_node_t *node);

/* Mixes the bits of a number into a hash (the finalizer of MurmurHash3).  */
uint64_t csp_mix_u64 (uint64_t value);

/* A hash of a name from hosts or configuration, not from callers (FNV-1a).  */
uint64_t csp_mix_name (const char *name);

#endif
