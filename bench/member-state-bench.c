/* Measures the memory that the state of membership, ownership and
   configuration takes on a host, and the time to build that state, at several
   sizes.  */

#include "cowslipspoke/configuration.h"
#include "cowslipspoke/ownership.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

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

static void *
build_placeholder (void *state, int64_t revision,
                   const csp_config_value_t *values, size_t count,
                   char fault[CSP_FAULT_BYTES])
{
  (void)state;
  (void)revision;
  (void)values;
  (void)count;
  (void)fault;
  return malloc (1);
}

static void
release_placeholder (void *state, void *built)
{
  (void)state;
  free (built);
}

static csp_config_value_t *
make_values (size_t count)
{
  csp_config_value_t *values = calloc (count, sizeof *values);
  char key[64];
  char json[640];
  size_t i;

  memset (json, 'x', sizeof json - 1);
  json[0] = json[sizeof json - 2] = '"';
  json[sizeof json - 1] = '\0';
  for (i = 0; i < count; i++)
    {
      snprintf (key, sizeof key, "organisation/customer-%05zu", i);
      values[i].key = strdup (key);
      values[i].json = strdup (json);
      values[i].revision = (int64_t)i + 1;
    }
  return values;
}

static void
free_values (csp_config_value_t *values, size_t count)
{
  size_t i;

  for (i = 0; i < count; i++)
    {
      free ((char *)values[i].key);
      free ((char *)values[i].json);
    }
  free (values);
}

typedef struct
{
  double full_apply_ns;
  double change_apply_ns;
  double memory_bytes;
} config_cost_t;

static config_cost_t
measure_configuration (size_t count)
{
  csp_config_builder_t check
      = { build_placeholder, release_placeholder, NULL };
  csp_config_value_t *values = make_values (count);
  csp_config_value_t change = values[0];
  csp_config_delta_t delta = { 0, (int64_t)count, 0, true, count, values };
  csp_configuration_t *configuration = csp_create_configuration (&check);
  size_t heap_before = mallinfo2 ().uordblks;
  config_cost_t cost;
  double start_s = cpu_time_s ();
  size_t i;

  csp_apply_configuration (configuration, CSP_SOURCE_SERVICE, &delta);
  cost.full_apply_ns = (cpu_time_s () - start_s) * 1e9;
  cost.memory_bytes = (double)(mallinfo2 ().uordblks - heap_before);
  start_s = cpu_time_s ();
  for (i = 0; i < 100; i++)
    {
      change.json = i % 2 == 0 ? "1" : "2";
      change.revision = delta.revision + 1;
      delta
          = (csp_config_delta_t){ delta.revision, change.revision, 0, false, 1,
                                  &change };
      csp_apply_configuration (configuration, CSP_SOURCE_SERVICE, &delta);
    }
  cost.change_apply_ns = (cpu_time_s () - start_s) * 1e9 / 100;
  csp_destroy_configuration (configuration);
  free_values (values, count);
  return cost;
}

static void
bench_configuration (void)
{
  static const size_t counts[] = { 500, 1000, 2000, 4000, 8000 };
  config_cost_t smallest = { 0 };
  config_cost_t cost;
  size_t i;

  for (i = 0; i < sizeof counts / sizeof *counts; i++)
    {
      cost = measure_configuration (counts[i]);
      if (i == 0)
        smallest = cost;
      print_row ("config-take-whole-values", counts[i], smallest.full_apply_ns,
                 cost.full_apply_ns, "ns");
      print_row ("config-take-change-values", counts[i],
                 smallest.change_apply_ns, cost.change_apply_ns, "ns");
      print_row ("config-memory-values", counts[i], smallest.memory_bytes,
                 cost.memory_bytes, "bytes");
    }
}

static char *
make_host_list_json (size_t targets, size_t *size_bytes)
{
  char *text = NULL;
  FILE *out = open_memstream (&text, size_bytes);
  size_t i;

  fputs ("{\"version\":9,\"hosts\":[", out);
  for (i = 0; i < targets * 330 / 12000; i++)
    fprintf (out,
             "%s{\"name\":\"host-%03zu\",\"region\":\"wales\","
             "\"data_centre\":\"dc-%02zu\",\"address\":\"10.1.%zu.%zu\","
             "\"http_port\":8080,\"peer_port\":8081,\"state\":\"live\"}",
             i == 0 ? "" : ",", i, i % 28, i / 250, i % 250);
  fputs ("],\"targets\":[", out);
  for (i = 0; i < targets; i++)
    fprintf (out,
             "%s{\"name\":\"engine-%05zu\",\"data_centre\":\"dc-%02zu\","
             "\"address\":\"10.2.%zu.%zu\",\"port\":9000,"
             "\"kind\":\"engine\",\"pool\":\"general\",\"state\":\"live\","
             "\"checks_fence\":true}",
             i == 0 ? "" : ",", i, i % 28, i / 250, i % 250);
  fputs ("]}", out);
  fclose (out);
  return text;
}

static void
bench_host_list (void)
{
  static const size_t counts[] = { 430, 1500, 6000, 12000 };
  csp_host_list_t *list;
  csp_error_t error;
  double smallest[2] = { 0, 0 };
  double start_s;
  double parse_ns;
  size_t size_bytes;
  char *text;
  size_t i;

  for (i = 0; i < 4; i++)
    {
      text = make_host_list_json (counts[i], &size_bytes);
      start_s = cpu_time_s ();
      if (!csp_parse_host_list (text, size_bytes, &list, &error))
        abort ();
      parse_ns = (cpu_time_s () - start_s) * 1e9;
      if (i == 0)
        {
          smallest[0] = parse_ns;
          smallest[1] = (double)size_bytes;
        }
      print_row ("list-parse-targets", counts[i], smallest[0], parse_ns, "ns");
      print_row ("list-size-targets", counts[i], smallest[1],
                 (double)size_bytes, "bytes");
      csp_destroy_host_list (list);
      free (text);
    }
}

/* Measures the memory of one host's view of other hosts and of targets.  */
static void
bench_memory (void)
{
  static const size_t hosts[] = { 9, 36, 110, 330 };
  static const size_t targets[] = { 50, 100, 200, 430 };
  csp_membership_settings_t settings = { .deployment = "bench",
                                         .name = "h0",
                                         .region = "wales",
                                         .data_centre = "dc-0",
                                         .address = "127.0.0.1" };
  csp_listed_host_t host = { .data_centre = "dc-1", .peer_port = 1 };
  csp_membership_t *membership;
  csp_ownership_t *ownership;
  csp_listed_target_t *rows;
  csp_host_list_t list = { 1, 0, NULL, 0, NULL };
  size_t heap_before;
  double smallest = 0;
  double used;
  size_t i;
  size_t n;

  for (i = 0; i < 4; i++)
    {
      heap_before = mallinfo2 ().uordblks;
      membership = csp_create_membership (&settings, 0);
      for (n = 1; n < hosts[i]; n++)
        {
          snprintf (host.name, sizeof host.name, "h%zu", n);
          csp_add_known_host (membership, &host, 0);
        }
      used = (double)(mallinfo2 ().uordblks - heap_before);
      if (i == 0)
        smallest = used;
      print_row ("membership-memory-hosts", hosts[i], smallest, used, "bytes");
      csp_destroy_membership (membership);
    }
  for (i = 0; i < 4; i++)
    {
      rows = calloc (targets[i], sizeof *rows);
      for (n = 0; n < targets[i]; n++)
        {
          snprintf (rows[n].name, sizeof rows[n].name, "e%zu", n);
          snprintf (rows[n].data_centre, sizeof rows[n].data_centre, "dc-0");
        }
      list.targets = rows;
      list.target_count = targets[i];
      heap_before = mallinfo2 ().uordblks;
      ownership = csp_create_ownership ("h0", "dc-0");
      csp_apply_target_list (ownership, &list, 0);
      used = (double)(mallinfo2 ().uordblks - heap_before);
      if (i == 0)
        smallest = used;
      print_row ("ownership-memory-targets", targets[i], smallest, used,
                 "bytes");
      csp_destroy_ownership (ownership);
      free (rows);
    }
}

int
main (void)
{
  bench_configuration ();
  bench_host_list ();
  bench_memory ();
  return EXIT_SUCCESS;
}
