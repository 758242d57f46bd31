#include "base/index-imp.h"

#include <stdlib.h>

enum
{
  MIN_BUCKETS = 16
};

static size_t
round_up_buckets (size_t expected)
{
  size_t count = MIN_BUCKETS;

  while (count < expected)
    count *= 2;
  return count;
}

int
csp_open_index (csp_index_t *index, size_t expected)
{
  index->count = 0;
  index->bucket_count = round_up_buckets (expected);
  index->buckets = calloc (index->bucket_count, sizeof (csp_index_node_t *));
  return index->buckets == NULL ? -1 : 0;
}

void
csp_close_index (csp_index_t *index)
{
  free (index->buckets);
  index->buckets = NULL;
}

static void
insert_node (csp_index_node_t **buckets, size_t bucket_count,
             csp_index_node_t *node)
{
  csp_index_node_t **bucket = &buckets[node->hash & (bucket_count - 1)];

  node->next = *bucket;
  *bucket = node;
}

/* If memory allocation fails the index keeps its buckets, and the chains get
   longer.  */
static void
grow_index (csp_index_t *index)
{
  size_t bucket_count = index->bucket_count * 2;
  csp_index_node_t **buckets
      = calloc (bucket_count, sizeof (csp_index_node_t *));
  csp_index_node_t *node;
  csp_index_node_t *next;
  size_t i;

  if (buckets == NULL)
    return;
  for (i = 0; i < index->bucket_count; i++)
    for (node = index->buckets[i]; node != NULL; node = next)
      {
        next = node->next;
        insert_node (buckets, bucket_count, node);
      }
  free (index->buckets);
  index->buckets = buckets;
  index->bucket_count = bucket_count;
}

void
csp_add_to_index (csp_index_t *index, csp_index_node_t *node, uint64_t hash)
{
  if (index->count >= index->bucket_count)
    grow_index (index);
  node->hash = hash;
  insert_node (index->buckets, index->bucket_count, node);
  index->count++;
}

void
csp_remove_from_index (csp_index_t *index, csp_index_node_t *node)
{
  csp_index_node_t **link
      = &index->buckets[node->hash & (index->bucket_count - 1)];

  while (*link != node)
    link = &(*link)->next;
  *link = node->next;
  index->count--;
}

static csp_index_node_t *
find_hash_in_chain (csp_index_node_t *node, uint64_t hash)
{
  while (node != NULL && node->hash != hash)
    node = node->next;
  return node;
}

csp_index_node_t *
csp_find_in_index (const csp_index_t *index, uint64_t hash)
{
  return find_hash_in_chain (index->buckets[hash & (index->bucket_count - 1)],
                             hash);
}

csp_index_node_t *
csp_find_next_in_index (const csp_index_node_t *node)
{
  return find_hash_in_chain (node->next, node->hash);
}

uint64_t
csp_mix_u64 (uint64_t value)
{
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33;
  value *= 0xc4ceb9fe1a85ec53ULL;
  value ^= value >> 33;
  return value;
}

uint64_t
csp_mix_name (const char *name)
{
  uint64_t hash = 0xcbf29ce484222325ULL;

  for (; *name != '\0'; name++)
    hash = (hash ^ (unsigned char)*name) * 0x100000001b3ULL;
  return csp_mix_u64 (hash);
}
