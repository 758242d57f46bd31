/* Measures what membership, ownership and the distribution of configuration
   cost a host, and how soon a change is in force on all hosts, at several
   sizes.  All hosts run in one process with simulated time and links.  The
   processor time of a whole fleet includes the simulation, so it is an upper
   bound.  */

#include "support/fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  RUN_S = 20,
  PROBES = 5,
  MEDIAN_PROBE = 2,
  REPEATS = 2000,
  VIEW_REPEATS = 200,
  /* Bytes that TCP, IP and nng add to each message.  */
  HEADER_BYTES = 76
};

typedef struct
{
  size_t nodes;
  size_t data_centres;
} size_row_t;

static const size_row_t sizes[]
    = { { 9, 4 }, { 36, 3 }, { 110, 10 }, { 330, 28 } };
static const size_t rates[] = { 0, 1, 10, 50 };

static double
cpu_time_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void
print_row (const char *name, size_t size, double baseline, double now,
           const char *unit)
{
  printf ("%s-%zu baseline=%.4g now=%.4g ratio=%.3g unit=%s\n", name, size,
          baseline, now, baseline == 0 ? 0 : now / baseline, unit);
}

static fleet_t *
start_fleet (size_t nodes, size_t data_centres, size_t targets,
             bool every_host_reads)
{
  fleet_settings_t settings = { 0 };
  fleet_t *fleet;

  settings.nodes = nodes;
  settings.data_centres = data_centres;
  settings.targets = targets;
  settings.seed = 1;
  settings.delay_ms = 5;
  settings.list_lag_ms = 3000;
  settings.report_lag_ms = 2000;
  settings.every_host_reads = every_host_reads;
  fleet = fleet_create (&settings);
  fleet_start_all (fleet);
  return fleet;
}

typedef struct
{
  double reads_per_s;
  double bytes_per_s;
  double busiest_bytes_per_s;
  double messages_per_s;
  double cpu_ns_per_s;
} cost_t;

static cost_t
measure_changes (fleet_t *fleet, size_t changes_per_s)
{
  uint64_t bytes[FLEET_MAX_NODES] = { 0 };
  uint64_t reads = fleet->reads;
  uint64_t messages = 0;
  double start_s = cpu_time_s ();
  cost_t cost = { 0 };
  double host_bytes_per_s;
  size_t i;

  for (i = 0; i < fleet->settings.nodes; i++)
    {
      bytes[i]
          = fleet->nodes[i].bytes + HEADER_BYTES * fleet->nodes[i].messages;
      messages -= fleet->nodes[i].messages;
    }
  for (i = 0; i < RUN_S; i++)
    {
      fleet_publish (fleet, changes_per_s);
      fleet_run (fleet, 1000);
    }
  cost.cpu_ns_per_s = (cpu_time_s () - start_s) * 1e9
                      / (double)fleet->settings.nodes / RUN_S;
  cost.reads_per_s = (double)(fleet->reads - reads) / RUN_S;
  for (i = 0; i < fleet->settings.nodes; i++)
    {
      messages += fleet->nodes[i].messages;
      host_bytes_per_s
          = (double)(fleet->nodes[i].bytes
                     + HEADER_BYTES * fleet->nodes[i].messages - bytes[i])
            / RUN_S;
      cost.bytes_per_s += host_bytes_per_s / (double)fleet->settings.nodes;
      if (host_bytes_per_s > cost.busiest_bytes_per_s)
        cost.busiest_bytes_per_s = host_bytes_per_s;
    }
  cost.messages_per_s
      = (double)messages / RUN_S / (double)fleet->settings.nodes;
  return cost;
}

static void
bench_config_sync (const size_row_t *size, size_t rate)
{
  fleet_t *all_read = start_fleet (size->nodes, size->data_centres, 0, true);
  fleet_t *fleet = start_fleet (size->nodes, size->data_centres, 0, false);
  cost_t baseline = measure_changes (all_read, rate);
  cost_t cost = measure_changes (fleet, rate);
  char name[64];

  snprintf (name, sizeof name, "config-reads-at-%zu-changes", rate);
  print_row (name, size->nodes, baseline.reads_per_s, cost.reads_per_s,
             "reads/s");
  snprintf (name, sizeof name, "host-sent-at-%zu-changes", rate);
  print_row (name, size->nodes, baseline.bytes_per_s, cost.bytes_per_s,
             "bytes/s");
  snprintf (name, sizeof name, "busiest-host-sent-at-%zu-changes", rate);
  print_row (name, size->nodes, baseline.busiest_bytes_per_s,
             cost.busiest_bytes_per_s, "bytes/s");
  if (rate == 0)
    {
      print_row ("host-messages", size->nodes, 0, cost.messages_per_s,
                 "messages/s");
      print_row ("host-cpu-with-harness", size->nodes, 0, cost.cpu_ns_per_s,
                 "ns/s");
    }
  fleet_destroy (all_read);
  fleet_destroy (fleet);
}

static int
compare_times (const void *a, const void *b)
{
  int64_t first = *(const int64_t *)a;
  int64_t second = *(const int64_t *)b;

  return (first > second) - (first < second);
}

static void
bench_time_in_force (const size_row_t *size)
{
  fleet_t *fleet = start_fleet (size->nodes, size->data_centres, 0, false);
  int64_t times[PROBES];
  size_t i;

  for (i = 0; i < PROBES; i++)
    {
      fleet_run (fleet, 3170);
      fleet_publish (fleet, 1);
      times[i]
          = fleet_run_until_converged (fleet, fleet->service.revision, 60000);
    }
  qsort (times, PROBES, sizeof *times, compare_times);
  print_row ("config-in-force-everywhere-p50", size->nodes, 10000,
             (double)times[MEDIAN_PROBE], "ms");
  print_row ("config-in-force-everywhere-max", size->nodes, 10000,
             (double)times[PROBES - 1], "ms");
  fleet_destroy (fleet);
}

static double
time_ownership_tick (fleet_t *fleet)
{
  csp_load_queries_t asks;
  double start_s = cpu_time_s ();
  size_t i;

  for (i = 0; i < REPEATS; i++)
    csp_tick_ownership (fleet->nodes[0].ownership, fleet->nodes[0].membership,
                        fleet->now_ms, &asks);
  return (cpu_time_s () - start_s) * 1e9 / REPEATS;
}

static double
time_membership_tick (fleet_t *fleet)
{
  csp_heartbeat_actions_t *actions = malloc (sizeof *actions);
  double start_s = cpu_time_s ();
  size_t i;

  for (i = 0; i < REPEATS; i++)
    csp_tick_membership (fleet->nodes[0].membership, fleet->now_ms, actions);
  free (actions);
  return (cpu_time_s () - start_s) * 1e9 / REPEATS;
}

/* Returns the nanoseconds that a change of the view of the fleet takes.
   Applying the target list again makes the host choose the owner of every
   target again.  */
static double
time_view_change (fleet_t *fleet)
{
  csp_listed_target_t *targets = calloc (FLEET_MAX_TARGETS, sizeof *targets);
  csp_host_list_t list = { 1, 0, NULL, 0, targets };
  csp_load_queries_t asks;
  double start_s;
  size_t i;

  for (i = 0; i < fleet->target_count; i++)
    targets[list.target_count++] = fleet->targets[i].listed;
  start_s = cpu_time_s ();
  for (i = 0; i < VIEW_REPEATS; i++)
    {
      csp_apply_target_list (fleet->nodes[0].ownership, &list, fleet->now_ms);
      csp_tick_ownership (fleet->nodes[0].ownership,
                          fleet->nodes[0].membership, fleet->now_ms, &asks);
    }
  free (targets);
  return (cpu_time_s () - start_s) * 1e9 / VIEW_REPEATS;
}

static void
bench_ownership (void)
{
  static const size_t targets[] = { 50, 100, 200, 430 };
  static const size_t hosts[] = { 3, 6, 12, 24 };
  double smallest[2] = { 0, 0 };
  double tick;
  double change;
  fleet_t *fleet;
  size_t i;

  for (i = 0; i < 4; i++)
    {
      fleet = start_fleet (12, 1, targets[i], false);
      tick = time_ownership_tick (fleet);
      change = time_view_change (fleet);
      if (i == 0)
        {
          smallest[0] = tick;
          smallest[1] = change;
        }
      print_row ("ownership-tick-targets", targets[i], smallest[0], tick,
                 "ns");
      print_row ("ownership-new-view-targets", targets[i], smallest[1], change,
                 "ns");
      fleet_destroy (fleet);
    }
  for (i = 0; i < 4; i++)
    {
      fleet = start_fleet (hosts[i], 1, 430, false);
      tick = time_view_change (fleet);
      if (i == 0)
        smallest[0] = tick;
      print_row ("ownership-new-view-hosts", hosts[i], smallest[0], tick,
                 "ns");
      fleet_destroy (fleet);
    }
}

static void
bench_membership (void)
{
  double smallest = 0;
  double tick;
  fleet_t *fleet;
  size_t i;

  for (i = 0; i < sizeof sizes / sizeof *sizes; i++)
    {
      fleet = start_fleet (sizes[i].nodes, sizes[i].data_centres, 0, false);
      tick = time_membership_tick (fleet);
      if (i == 0)
        smallest = tick;
      print_row ("membership-tick-hosts", sizes[i].nodes, smallest, tick,
                 "ns");
      fleet_destroy (fleet);
    }
}

int
main (void)
{
  size_t i;
  size_t r;

  for (i = 0; i < sizeof sizes / sizeof *sizes; i++)
    {
      for (r = 0; r < sizeof rates / sizeof *rates; r++)
        bench_config_sync (&sizes[i], rates[r]);
      bench_time_in_force (&sizes[i]);
    }
  bench_membership ();
  bench_ownership ();
  return EXIT_SUCCESS;
}
