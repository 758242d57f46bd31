#include "engine-fault.h"
#include "server.h"

#include <string.h>

static const char *const fault_names[FAULT_COUNT] = {
  [FAULT_REFUSE] = "refuse",           [FAULT_FAIL] = "fail",
  [FAULT_CUT_HEAD] = "cut_head",       [FAULT_LATE_HEAD] = "late_head",
  [FAULT_STALL_AFTER] = "stall_after", [FAULT_CUT_AFTER] = "cut_after",
  [FAULT_DUPLICATE] = "duplicate",     [FAULT_GAP] = "gap",
  [FAULT_FOREIGN] = "foreign",         [FAULT_NO_DONE] = "no_done",
  [FAULT_DIE_AFTER] = "die_after",
};

bool
engine_add_fault (fault_table_t *table, json_object *json)
{
  const char *op = standin_json_string (json, "op", "");
  const char *on = standin_json_string (json, "on", "start");
  pending_fault_t *faults
      = strcmp (on, "resume") == 0 ? table->on_resume : table->on_start;
  int kind;

  for (kind = 0; kind < FAULT_COUNT; kind++)
    if (strcmp (op, fault_names[kind]) == 0)
      break;
  if (kind == FAULT_COUNT)
    return false;
  pthread_mutex_lock (&table->lock);
  faults[kind].index = standin_json_number (json, "index", 0);
  faults[kind].for_ms = standin_json_number (json, "for_ms", 0);
  faults[kind].count = standin_json_number (json, "count", 1);
  pthread_mutex_unlock (&table->lock);
  return true;
}

void
engine_take_faults (fault_table_t *table, bool resume,
                    connection_faults_t *faults)
{
  pending_fault_t *pending = resume ? table->on_resume : table->on_start;
  int kind;

  pthread_mutex_lock (&table->lock);
  for (kind = 0; kind < FAULT_COUNT; kind++)
    {
      faults->index[kind] = -1;
      faults->for_ms[kind] = pending[kind].for_ms;
      if (pending[kind].count <= 0)
        continue;
      pending[kind].count--;
      faults->index[kind] = pending[kind].index;
    }
  pthread_mutex_unlock (&table->lock);
}
