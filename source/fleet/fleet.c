#include "fleet/fleet-imp.h"

#include "cowslipspoke/hash.h"
#include "cowslipspoke/text.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* After an outage the platform restores lapsed rows within about two
     seconds, by its documentation; this adds some time for their delivery.  */
  LAPSE_GRACE_MS = 2300,
  /* How long a target without a row is remembered.  A target may be removed
     without notice while it still serves its runs for some seconds.  If the
     decider, which mostly has no run there itself, forgot it at once, it could
     grant other hosts neither capacity nor an order for moving their streams,
     and the copies would run in parallel: 26 of 117 moves in ten seconds did
     so, with a median pause of 0.4 s.  */
  GONE_RETENTION_MS = 10000,
  INITIAL_CAPACITY = 16,
  /* Size of a time in milliseconds as text.  */
  START_TEXT_BYTES = 24
};

target_entry_t *
csp_entry_of_target (csp_fleet_target_t *target)
{
  return CSP_INDEX_ENTRY (target, target_entry_t, target);
}

static void
free_target (csp_fleet_t *fleet, csp_fleet_target_t *target)
{
  target_entry_t *entry = csp_entry_of_target (target);

  if (fleet->on_free != NULL)
    fleet->on_free (fleet->state, target);
  csp_note_path_works (fleet, target);
  csp_leave_group (target);
  cds_list_del (&entry->changed_load);
  cds_list_del (&entry->stated_rate);
  cds_list_del (&entry->has_losses);
  cds_list_del (&entry->left);
  csp_remove_from_index (&fleet->by_start, &entry->by_start);
  csp_remove_from_index (&fleet->by_id, &entry->by_id);
  free (entry);
}

void
csp_destroy_fleet (csp_fleet_t *fleet)
{
  size_t i;

  if (fleet == NULL)
    return;
  for (i = 0; i < fleet->count; i++)
    free_target (fleet, fleet->targets[i]);
  csp_close_index (&fleet->by_start);
  csp_close_index (&fleet->by_id);
  csp_destroy_cordons (fleet->cordons);
  csp_free_groups (fleet);
  free (fleet->service_speeds);
  free (fleet->rated);
  free (fleet->targets);
  free (fleet);
}

csp_fleet_t *
csp_create_fleet (csp_fleet_leave_callback_t on_leave,
                  csp_fleet_free_callback_t on_free, void *state)
{
  csp_fleet_t *fleet = calloc (1, sizeof *fleet);

  if (fleet == NULL)
    return NULL;
  fleet->on_leave = on_leave;
  fleet->on_free = on_free;
  fleet->state = state;
  fleet->platform_reachable = true;
  CDS_INIT_LIST_HEAD (&fleet->changed_loads);
  CDS_INIT_LIST_HEAD (&fleet->stated_rates);
  CDS_INIT_LIST_HEAD (&fleet->damped_targets);
  CDS_INIT_LIST_HEAD (&fleet->lossy_targets);
  CDS_INIT_LIST_HEAD (&fleet->left_targets);
  fleet->cordons = csp_create_cordons ();
  if (fleet->cordons != NULL
      && csp_open_index (&fleet->by_start, INITIAL_CAPACITY) == 0
      && csp_open_index (&fleet->by_id, INITIAL_CAPACITY) == 0)
    return fleet;
  csp_destroy_fleet (fleet);
  return NULL;
}

static uint64_t
hash_of_id (const char *id)
{
  return csp_hash_pair ("target", id);
}

/* Hash that identifies one start of a target between hosts.  If the start is
   unknown it is the hash of the id alone.  */
static uint64_t
hash_of_start (const char *id, int64_t born_ms)
{
  char born[START_TEXT_BYTES];

  if (born_ms == 0)
    return hash_of_id (id);
  snprintf (born, sizeof born, "%lld", (long long)born_ms);
  return hash_of_id (id) ^ csp_hash_pair ("born", born);
}

csp_fleet_target_t *
csp_find_target_by_hash (const csp_fleet_t *fleet, uint64_t hash)
{
  csp_index_node_t *node = csp_find_in_index (&fleet->by_start, hash);

  return node == NULL
             ? NULL
             : &CSP_INDEX_ENTRY (node, target_entry_t, by_start)->target;
}

/* Hash by which this host finds an id; unlike the one that hosts exchange, it
   costs next to nothing.  */
static uint64_t
local_hash_of_id (const char *id)
{
  return csp_mix_name (id);
}

/* Returns the newest start: an older one may still have requests under
   way.  */
csp_fleet_target_t *
csp_find_fleet_target (const csp_fleet_t *fleet, const char *id)
{
  csp_fleet_target_t *newest = NULL;
  csp_index_node_t *node;

  for (node = csp_find_in_index (&fleet->by_id, local_hash_of_id (id));
       node != NULL; node = csp_find_next_in_index (node))
    {
      csp_fleet_target_t *target
          = &CSP_INDEX_ENTRY (node, target_entry_t, by_id)->target;

      if (strcmp (target->row.id, id) == 0
          && (newest == NULL
              || target->row.start_unix_ms > newest->row.start_unix_ms))
        newest = target;
    }
  return newest;
}

static csp_fleet_target_t *
add_target (csp_fleet_t *fleet, const char *id, int64_t born_ms)
{
  target_entry_t *entry;
  csp_fleet_target_t **targets
      = csp_grow_array (fleet->targets, fleet->count, &fleet->capacity,
                        sizeof (csp_fleet_target_t *));

  if (targets == NULL)
    return NULL;
  fleet->targets = targets;
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  csp_copy_text (entry->target.row.id, sizeof entry->target.row.id, id);
  entry->target.row.start_unix_ms = born_ms;
  entry->target.hash = hash_of_start (id, born_ms);
  csp_init_warmup (&entry->target.warmup, 0);
  CDS_INIT_LIST_HEAD (&entry->changed_load);
  CDS_INIT_LIST_HEAD (&entry->stated_rate);
  CDS_INIT_LIST_HEAD (&entry->has_losses);
  CDS_INIT_LIST_HEAD (&entry->left);
  csp_add_to_index (&fleet->by_start, &entry->by_start, entry->target.hash);
  csp_add_to_index (&fleet->by_id, &entry->by_id, local_hash_of_id (id));
  fleet->targets[fleet->count++] = &entry->target;
  fleet->additions++;
  return &entry->target;
}

static bool
is_ending (csp_fleet_state_t state)
{
  return state == CSP_FLEET_LAPSED || state == CSP_FLEET_GONE;
}

/* Calls on_leave for the targets that have left since the last call.  The
   callback chooses among all targets and may change further ones, so a change
   of the fleet ends with this, once the list of targets is whole again.  */
static void
report_left_targets (csp_fleet_t *fleet)
{
  while (!cds_list_empty (&fleet->left_targets))
    {
      target_entry_t *entry
          = cds_list_first_entry (&fleet->left_targets, target_entry_t, left);

      cds_list_del_init (&entry->left);
      if (fleet->on_leave != NULL)
        fleet->on_leave (fleet->state, &entry->target);
    }
}

/* report_left_targets has to follow.  */
static void
set_state (csp_fleet_t *fleet, csp_fleet_target_t *target,
           csp_fleet_state_t state)
{
  target_entry_t *entry = csp_entry_of_target (target);
  bool was_leaving
      = target->state == CSP_FLEET_LEAVING || target->state == CSP_FLEET_GONE;
  bool is_leaving = state == CSP_FLEET_LEAVING || state == CSP_FLEET_GONE;

  fleet->ending_count -= is_ending (target->state);
  fleet->ending_count += is_ending (state);
  target->group->ready_count -= target->state == CSP_FLEET_READY;
  target->group->damped_count -= csp_is_counted_damped (target);
  target->state = state;
  target->group->ready_count += state == CSP_FLEET_READY;
  target->group->damped_count += csp_is_counted_damped (target);
  target->leaves |= state == CSP_FLEET_LEAVING;
  if (state != CSP_FLEET_GONE)
    target->gone_at_ms = 0;
  if (is_leaving && !was_leaving && cds_list_empty (&entry->left))
    cds_list_add_tail (&entry->left, &fleet->left_targets);
}

void
csp_note_own_load_changed (csp_fleet_t *fleet, csp_fleet_target_t *target)
{
  target_entry_t *entry = csp_entry_of_target (target);

  if (cds_list_empty (&entry->changed_load))
    cds_list_add_tail (&entry->changed_load, &fleet->changed_loads);
}

csp_fleet_target_t *
csp_take_changed_load (csp_fleet_t *fleet)
{
  target_entry_t *entry;

  if (cds_list_empty (&fleet->changed_loads))
    return NULL;
  entry = cds_list_first_entry (&fleet->changed_loads, target_entry_t,
                                changed_load);
  cds_list_del_init (&entry->changed_load);
  return &entry->target;
}

/* Sets the start of a target whose start was unknown so far.  */
static void
set_start (csp_fleet_t *fleet, csp_fleet_target_t *target, int64_t born_ms)
{
  target_entry_t *entry = csp_entry_of_target (target);

  target->row.start_unix_ms = born_ms;
  target->hash = hash_of_start (target->row.id, born_ms);
  memset (&target->reported_load, 0, sizeof target->reported_load);
  csp_note_own_load_changed (fleet, target);
  csp_remove_from_index (&fleet->by_start, &entry->by_start);
  csp_add_to_index (&fleet->by_start, &entry->by_start, target->hash);
}

/* Returns the target of the row's start and adds it if needed.  A restarted
   target has none of the runs, copies and connections of the start before.
   Treating both as one would resume runs that it doesn't have and send
   requests over dead connections, so the previous start is marked as gone.
   Rows may arrive out of order through other hosts; those of an earlier start
   are ignored.  */
static csp_fleet_target_t *
find_or_add_start (csp_fleet_t *fleet, const csp_fleet_row_t *row)
{
  csp_fleet_target_t *target = csp_find_fleet_target (fleet, row->id);

  if (target != NULL && row->start_unix_ms > target->row.start_unix_ms)
    {
      if (target->row.start_unix_ms != 0)
        {
          set_state (fleet, target, CSP_FLEET_GONE);
          target = NULL;
        }
      else
        set_start (fleet, target, row->start_unix_ms);
    }
  return target != NULL ? target
                        : add_target (fleet, row->id, row->start_unix_ms);
}

static bool
is_earlier_start (const csp_fleet_row_t *row, const csp_fleet_target_t *target)
{
  return row->start_unix_ms != 0
         && row->start_unix_ms < target->row.start_unix_ms;
}

static void
note_listed_leaving (csp_fleet_target_t *target, bool leaving, int64_t now_ms)
{
  if (!leaving && !target->leaves)
    target->leave_listed_ms = 0;
  else if (leaving && target->leave_listed_ms == 0)
    target->leave_listed_ms = now_ms;
}

static bool
update_target (csp_fleet_t *fleet, const csp_fleet_row_t *row, int64_t now_ms)
{
  csp_fleet_group_t *group = csp_find_or_add_group (fleet, row);
  csp_fleet_target_t *target;
  int64_t born_ms;

  if (group == NULL)
    return false;
  target = find_or_add_start (fleet, row);
  if (target == NULL)
    return false;
  if (is_earlier_start (row, target))
    return true;
  born_ms = target->row.start_unix_ms;
  target->row = *row;
  target->row.start_unix_ms = born_ms;
  csp_join_group (target, group);
  target->cordoned
      = csp_find_cordon (fleet->cordons, row->data_centre) != NULL;
  target->warm_at_ms = now_ms + row->warming_up_ms;
  note_listed_leaving (target, row->leaving, now_ms);
  csp_apply_cold_limit (fleet, target);
  /* Leaving is final for one start of a target, even if its row is removed and
     written again.  */
  set_state (fleet, target,
             row->leaving || target->leaves ? CSP_FLEET_LEAVING
                                            : CSP_FLEET_READY);
  return true;
}

bool
csp_update_target (csp_fleet_t *fleet, const csp_fleet_row_t *row,
                   int64_t now_ms)
{
  bool updated = update_target (fleet, row, now_ms);

  report_left_targets (fleet);
  return updated;
}

void
csp_note_target_start (csp_fleet_t *fleet, const csp_fleet_target_t *target,
                       int64_t born_ms, int64_t now_ms)
{
  csp_fleet_row_t row = target->row;
  bool started_again = row.start_unix_ms != 0;

  if (born_ms <= row.start_unix_ms)
    return;
  row.start_unix_ms = born_ms;
  row.leaving = false;
  /* If memory allocation fails here, the platform's list adds the new start
     later.  */
  if (csp_update_target (fleet, &row, now_ms) && started_again)
    csp_assume_cold (fleet, csp_find_fleet_target (fleet, row.id), now_ms);
}

static void
remove_listed (csp_fleet_t *fleet, csp_fleet_target_t *target, int64_t now_ms)
{
  note_listed_leaving (target, true, now_ms);
  set_state (fleet, target, CSP_FLEET_GONE);
}

/* During a platform outage leases expire and live targets lose their rows.  If
   those removals were applied, the fleet would be empty when the platform
   returns, and every request would be refused for two seconds.  So such a
   target stays in use until the grace period is over.  */
static void
remove_or_lapse (csp_fleet_t *fleet, csp_fleet_target_t *target,
                 int64_t now_ms)
{
  if (target->state == CSP_FLEET_GONE || target->state == CSP_FLEET_LAPSED)
    return;
  if (target->state == CSP_FLEET_READY
      && now_ms < fleet->removals_unreliable_until_ms)
    {
      set_state (fleet, target, CSP_FLEET_LAPSED);
      target->lapses_at_ms = fleet->removals_unreliable_until_ms;
      return;
    }
  remove_listed (fleet, target, now_ms);
}

void
csp_remove_target (csp_fleet_t *fleet, const char *id, int64_t now_ms)
{
  csp_fleet_target_t *target = csp_find_fleet_target (fleet, id);

  if (target == NULL)
    return;
  remove_or_lapse (fleet, target, now_ms);
  report_left_targets (fleet);
}

void
csp_note_target_leaves (csp_fleet_t *fleet, csp_fleet_target_t *target)
{
  target->leaves = true;
  if (target->state != CSP_FLEET_READY && target->state != CSP_FLEET_LAPSED)
    return;
  target->self_announced = true;
  set_state (fleet, target, CSP_FLEET_LEAVING);
  report_left_targets (fleet);
}

size_t
csp_list_announced_leaving (const csp_fleet_t *fleet, uint64_t *targets,
                            size_t max_count)
{
  size_t count = 0;
  size_t i;

  for (i = 0; i < fleet->count && count < max_count; i++)
    if (fleet->targets[i]->self_announced
        && fleet->targets[i]->state == CSP_FLEET_LEAVING)
      targets[count++] = fleet->targets[i]->hash;
  return count;
}

void
csp_note_platform (csp_fleet_t *fleet, bool reachable, int64_t now_ms)
{
  if (reachable && !fleet->platform_reachable)
    fleet->removals_unreliable_until_ms = now_ms + LAPSE_GRACE_MS;
  fleet->platform_reachable = reachable;
}

static void
remove_lapsed_targets (csp_fleet_t *fleet, int64_t now_ms)
{
  size_t i;

  for (i = 0; i < fleet->count; i++)
    {
      csp_fleet_target_t *target = fleet->targets[i];

      if (target->state == CSP_FLEET_LAPSED && now_ms >= target->lapses_at_ms)
        remove_listed (fleet, target, now_ms);
      if (target->state == CSP_FLEET_GONE && target->gone_at_ms == 0)
        target->gone_at_ms = now_ms;
    }
}

static void
free_gone_targets (csp_fleet_t *fleet, int64_t now_ms)
{
  size_t kept = 0;
  size_t i;

  for (i = 0; i < fleet->count; i++)
    {
      csp_fleet_target_t *target = fleet->targets[i];

      if (target->state == CSP_FLEET_GONE && target->users == 0
          && now_ms - target->gone_at_ms >= GONE_RETENTION_MS)
        {
          fleet->ending_count--;
          free_target (fleet, target);
        }
      else
        fleet->targets[kept++] = target;
    }
  fleet->count = kept;
}

void
csp_expire_targets (csp_fleet_t *fleet, int64_t now_ms)
{
  if (fleet->ending_count == 0)
    return;
  remove_lapsed_targets (fleet, now_ms);
  free_gone_targets (fleet, now_ms);
  report_left_targets (fleet);
}

void
csp_clear_peer_loads (csp_fleet_t *fleet)
{
  size_t i;

  for (i = 0; i < fleet->count; i++)
    {
      memset (&fleet->targets[i]->others, 0, sizeof (csp_fleet_load_t));
      fleet->targets[i]->peer_failures = 0;
    }
}

uint64_t
csp_fleet_additions (const csp_fleet_t *fleet)
{
  return fleet->additions;
}

void
csp_subtract_peer_load (csp_fleet_t *fleet, const csp_peer_load_t *load)
{
  csp_fleet_target_t *target = csp_find_target_by_hash (fleet, load->target);
  csp_fleet_load_t *others;

  if (target == NULL)
    return;
  others = &target->others;
  others->requests -= load->requests;
  others->tokens -= load->tokens;
  others->backup_tokens -= load->backup_tokens;
  others->prefill_tokens -= load->prefill_tokens;
  others->movable_tokens -= load->movable_tokens;
  target->peer_failures -= load->failures;
}

void
csp_add_peer_load (csp_fleet_t *fleet, const csp_peer_load_t *load)
{
  csp_fleet_target_t *target = csp_find_target_by_hash (fleet, load->target);
  csp_fleet_load_t *others;

  if (target == NULL)
    return;
  others = &target->others;
  others->requests += load->requests;
  others->tokens += load->tokens;
  others->backup_tokens += load->backup_tokens;
  others->prefill_tokens += load->prefill_tokens;
  others->movable_tokens += load->movable_tokens;
  target->peer_failures += load->failures;
}

size_t
csp_count_listed_targets (const csp_fleet_t *fleet)
{
  size_t listed = 0;
  size_t i;

  for (i = 0; i < fleet->count; i++)
    listed += fleet->targets[i]->state != CSP_FLEET_GONE;
  return listed;
}

size_t
csp_fleet_size (const csp_fleet_t *fleet)
{
  return fleet->count;
}

csp_fleet_target_t *
csp_fleet_at (const csp_fleet_t *fleet, size_t index)
{
  return fleet->targets[index];
}
