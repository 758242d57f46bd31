#include "cowslipspoke/once.h"

#include "base/index-imp.h"

#include <stdlib.h>
#include <string.h>

enum
{
  EXPECTED_ORGANISATIONS = 64,
  EXPIRED_PER_CLAIM = 2
};

/* What a host stores for a key.  The call's answer is not stored, since its
   length is unbounded.  */
typedef struct record_s
{
  csp_index_node_t node;
  uint8_t digest[CSP_ONCE_DIGEST_BYTES];
  csp_claim_id_t claim;
  struct record_s *newer;
  int64_t date_ms;
  int64_t recorded_ms;
  csp_once_outcome_t outcome;
} record_t;

/* floor_ms: keys dated earlier may have been removed.  An organisation is
   never removed, so that its floor_ms is kept.  */
typedef struct
{
  csp_index_node_t node;
  char name[CSP_ORGANISATION_NAME_BYTES];
  record_t *oldest;
  record_t *newest;
  uint32_t count;
  int64_t floor_ms;
} organisation_t;

struct csp_once_key_store_s
{
  csp_once_settings_t settings;
  csp_host_ref_t self;
  int64_t known_to_peers_ms; /* since then all peers know this incarnation */
  csp_index_t records;
  csp_index_t organisations;
};

csp_once_settings_t
csp_default_once_settings (void)
{
  csp_once_settings_t settings = { .retention_ms = 1800000,
                                   .clock_skew_ms = 2000,
                                   .witness_delay_ms = 20000,
                                   .view_lease_ms = 5000,
                                   .grant_lease_ms = 10000,
                                   .answer_timeout_ms = 500,
                                   .resend_ms = 150,
                                   .allowed_silent = 0,
                                   .needed_witnesses = 1,
                                   .capacity = 500000,
                                   .organisation_capacity = 125000 };

  return settings;
}

/* The index is allocated at its full size.  Doubling an index of half a
   million keys blocks the control thread, and with it every decision of the
   host, for about 30 ms.  */
csp_once_key_store_t *
csp_create_once_key_store (const csp_once_settings_t *settings,
                           const csp_host_ref_t *self, int64_t now_ms)
{
  csp_once_key_store_t *store = calloc (1, sizeof *store);

  if (store == NULL)
    return NULL;
  store->settings = *settings;
  store->self = *self;
  store->known_to_peers_ms = now_ms;
  if (csp_open_index (&store->records, settings->capacity) != 0
      || csp_open_index (&store->organisations, EXPECTED_ORGANISATIONS) != 0)
    {
      csp_destroy_once_key_store (store);
      return NULL;
    }
  return store;
}

static void
free_organisation (organisation_t *organisation)
{
  record_t *record;
  record_t *newer;

  for (record = organisation->oldest; record != NULL; record = newer)
    {
      newer = record->newer;
      free (record);
    }
  free (organisation);
}

void
csp_destroy_once_key_store (csp_once_key_store_t *store)
{
  csp_index_node_t *node;
  csp_index_node_t *next;
  size_t i;

  if (store == NULL)
    return;
  for (i = 0;
       store->organisations.buckets && i < store->organisations.bucket_count;
       i++)
    for (node = store->organisations.buckets[i]; node != NULL; node = next)
      {
        next = node->next;
        free_organisation (CSP_INDEX_ENTRY (node, organisation_t, node));
      }
  csp_close_index (&store->records);
  csp_close_index (&store->organisations);
  free (store);
}

/* With a link that works in one direction only, a new host can answer claims
   of some hosts while another host does not know it yet.  That host's runs are
   not recorded here, so a repeat that relied on this host would run again.  */
void
csp_restart_witness_delay (csp_once_key_store_t *store, int64_t now_ms)
{
  store->known_to_peers_ms = now_ms;
}

static organisation_t *
get_organisation (csp_once_key_store_t *store, const char *name)
{
  uint64_t hash = csp_mix_name (name);
  csp_index_node_t *node = csp_find_in_index (&store->organisations, hash);
  organisation_t *organisation;

  for (; node != NULL; node = csp_find_next_in_index (node))
    {
      organisation = CSP_INDEX_ENTRY (node, organisation_t, node);
      if (strcmp (organisation->name, name) == 0)
        return organisation;
    }
  organisation = calloc (1, sizeof *organisation);
  if (organisation == NULL)
    return NULL;
  memcpy (organisation->name, name, strlen (name));
  organisation->floor_ms = INT64_MIN;
  csp_add_to_index (&store->organisations, &organisation->node, hash);
  return organisation;
}

/* Callers choose the keys, so the hash is salted with the host's incarnation
   against deliberate collisions.  */
static uint64_t
hash_digest (const csp_once_key_store_t *store, const uint8_t *digest)
{
  uint64_t hash;

  memcpy (&hash, digest, sizeof hash);
  return csp_mix_u64 (hash ^ csp_mix_u64 (store->self.incarnation));
}

static record_t *
find_record (const csp_once_key_store_t *store, const uint8_t *digest)
{
  csp_index_node_t *node
      = csp_find_in_index (&store->records, hash_digest (store, digest));
  record_t *record;

  for (; node != NULL; node = csp_find_next_in_index (node))
    {
      record = CSP_INDEX_ENTRY (node, record_t, node);
      if (memcmp (record->digest, digest, sizeof record->digest) == 0)
        return record;
    }
  return NULL;
}

/* A removed key would look like a new one, and a late repeat would run a
   second time.  So removing a key raises floor_ms above the key's date, and
   keys dated before floor_ms are refused.  */
static void
remove_oldest (csp_once_key_store_t *store, organisation_t *organisation)
{
  record_t *record = organisation->oldest;

  if (organisation->floor_ms <= record->date_ms)
    organisation->floor_ms = record->date_ms + 1;
  organisation->oldest = record->newer;
  if (organisation->oldest == NULL)
    organisation->newest = NULL;
  organisation->count--;
  csp_remove_from_index (&store->records, &record->node);
  free (record);
}

static size_t
expire_organisation (csp_once_key_store_t *store, organisation_t *organisation,
                     size_t limit, int64_t now_ms)
{
  size_t removed = 0;

  while (organisation->oldest != NULL && removed < limit
         && now_ms - organisation->oldest->recorded_ms
                >= store->settings.retention_ms)
    {
      remove_oldest (store, organisation);
      removed++;
    }
  return removed;
}

size_t
csp_expire_keys (csp_once_key_store_t *store, int64_t now_ms)
{
  csp_index_node_t *node;
  size_t removed = 0;
  size_t i;

  for (i = 0; i < store->organisations.bucket_count; i++)
    for (node = store->organisations.buckets[i]; node; node = node->next)
      removed += expire_organisation (
          store, CSP_INDEX_ENTRY (node, organisation_t, node), SIZE_MAX,
          now_ms);
  return removed;
}

static record_t *
add_record (csp_once_key_store_t *store, organisation_t *organisation,
            const csp_once_key_t *key, csp_claim_id_t claim, int64_t now_ms)
{
  record_t *record = calloc (1, sizeof *record);

  if (record == NULL)
    return NULL;
  memcpy (record->digest, key->digest, sizeof record->digest);
  record->claim = claim;
  record->date_ms = key->date_ms;
  record->recorded_ms = now_ms;
  if (organisation->newest == NULL)
    organisation->oldest = record;
  else
    organisation->newest->newer = record;
  organisation->newest = record;
  organisation->count++;
  csp_add_to_index (&store->records, &record->node,
                    hash_digest (store, key->digest));
  return record;
}

static bool
is_same_claim (const csp_claim_id_t *a, const csp_claim_id_t *b)
{
  return a->high == b->high && a->low == b->low;
}

/* A key whose claim ended as NOT_RUN may be claimed again.  */
static csp_claim_result_t
claim_known_key (record_t *record, const csp_claim_ask_t *ask)
{
  bool own = is_same_claim (&record->claim, &ask->claim);

  if (own && record->outcome == CSP_ONCE_OPEN)
    return CSP_CLAIM_RECORDED;
  if (own || record->outcome != CSP_ONCE_NOT_RUN)
    return CSP_CLAIM_SEEN;
  record->claim = ask->claim;
  record->outcome = CSP_ONCE_OPEN;
  return CSP_CLAIM_RECORDED;
}

/* Whether a key that is not in the store may be recorded.  */
static csp_claim_result_t
check_new_key (csp_once_key_store_t *store, organisation_t *organisation,
               const csp_once_key_t *key, int64_t now_ms, int64_t wall_ms)
{
  expire_organisation (store, organisation, EXPIRED_PER_CLAIM, now_ms);
  if (key->date_ms < organisation->floor_ms
      || key->date_ms < wall_ms - store->settings.retention_ms)
    return CSP_CLAIM_EXPIRED;
  if (store->records.count >= store->settings.capacity
      || organisation->count >= store->settings.organisation_capacity)
    return CSP_CLAIM_FULL;
  return CSP_CLAIM_RECORDED;
}

/* A restarted host has lost the keys that its previous incarnation granted and
   can't distinguish a repeat from a first attempt.  So a key with host scope
   names the incarnation.  */
static bool
is_key_for_this_host (const csp_once_key_store_t *store,
                      const csp_once_key_t *key)
{
  return key->scope != CSP_ONCE_SCOPE_HOST
         || csp_is_same_incarnation (&key->home, &store->self);
}

static csp_claim_result_t
claim_key (csp_once_key_store_t *store, const csp_claim_ask_t *ask,
           int64_t now_ms, int64_t wall_ms, csp_once_outcome_t *outcome)
{
  organisation_t *organisation;
  csp_claim_result_t result;
  record_t *record;

  if (!is_key_for_this_host (store, &ask->key))
    return CSP_CLAIM_WRONG_HOST;
  if (ask->key.date_ms > wall_ms + store->settings.clock_skew_ms)
    return CSP_CLAIM_WRONG_DATE;
  record = find_record (store, ask->key.digest);
  if (record != NULL)
    {
      result = claim_known_key (record, ask);
      *outcome = record->outcome;
      return result;
    }
  organisation = get_organisation (store, ask->key.organisation);
  if (organisation == NULL)
    return CSP_CLAIM_FULL;
  result = check_new_key (store, organisation, &ask->key, now_ms, wall_ms);
  if (result == CSP_CLAIM_RECORDED
      && add_record (store, organisation, &ask->key, ask->claim, now_ms)
             == NULL)
    return CSP_CLAIM_FULL;
  return result;
}

void
csp_claim_key (csp_once_key_store_t *store, const csp_claim_ask_t *ask,
               int64_t now_ms, int64_t wall_ms, csp_claim_answer_t *answer)
{
  memset (answer, 0, sizeof *answer);
  answer->claim = ask->claim;
  answer->from = store->self;
  answer->outcome = CSP_ONCE_OPEN;
  answer->result = claim_key (store, ask, now_ms, wall_ms, &answer->outcome);
  answer->witness_since_ms = wall_ms - (now_ms - store->known_to_peers_ms)
                             + store->settings.witness_delay_ms;
}

/* An outcome may arrive before its claim, which travels on another connection.
   The outcome is recorded then, so that the late claim doesn't leave the key
   open without an outcome.  */
void
csp_record_claim_outcome (csp_once_key_store_t *store,
                          const csp_outcome_report_t *report, int64_t now_ms,
                          int64_t wall_ms)
{
  organisation_t *organisation;
  record_t *record;

  if (!is_key_for_this_host (store, &report->key))
    return;
  record = find_record (store, report->key.digest);
  if (record == NULL)
    {
      organisation = get_organisation (store, report->key.organisation);
      if (organisation == NULL
          || check_new_key (store, organisation, &report->key, now_ms, wall_ms)
                 != CSP_CLAIM_RECORDED)
        return;
      record = add_record (store, organisation, &report->key, report->claim,
                           now_ms);
    }
  if (record != NULL && is_same_claim (&record->claim, &report->claim)
      && record->outcome == CSP_ONCE_OPEN)
    record->outcome = report->outcome;
}

size_t
csp_count_keys (const csp_once_key_store_t *store)
{
  return store->records.count;
}

size_t
csp_measure_once_key_store_bytes (const csp_once_key_store_t *store)
{
  return sizeof *store + store->records.count * sizeof (record_t)
         + store->organisations.count * sizeof (organisation_t)
         + (store->records.bucket_count + store->organisations.bucket_count)
               * sizeof (csp_index_node_t *);
}
