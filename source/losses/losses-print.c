#include "losses/losses-imp.h"

#include <stdbool.h>
#include <stdlib.h>

enum
{
  /* Number of equal parts of the logs' time range in the table by time.  */
  TIME_SLICES = 20,
  SIZE_PARTS = 10
};

static void
print_routes (const csp_losses_t *losses, FILE *stream)
{
  size_t i;
  size_t loss;

  fprintf (stream, "%-24s %-20s %9s %12s\n", "route", "end", "requests",
           "tokens");
  for (i = 0; i < losses->route_count; i++)
    for (loss = 0; loss < CSP_LOSS_COUNT; loss++)
      if (losses->routes[i].requests[loss] > 0)
        fprintf (stream, "%-24s %-20s %9llu %12llu\n", losses->routes[i].name,
                 csp_loss_name ((csp_loss_t)loss),
                 (unsigned long long)losses->routes[i].requests[loss],
                 (unsigned long long)losses->routes[i].tokens[loss]);
}

static void
find_time_range (const csp_losses_t *losses, int64_t *first_ms,
                 int64_t *last_ms)
{
  size_t i;

  *first_ms = *last_ms = losses->ends[0].at_ms;
  for (i = 1; i < losses->end_count; i++)
    {
      if (losses->ends[i].at_ms < *first_ms)
        *first_ms = losses->ends[i].at_ms;
      if (losses->ends[i].at_ms > *last_ms)
        *last_ms = losses->ends[i].at_ms;
    }
}

static void
print_time_slices (const csp_losses_t *losses, FILE *stream)
{
  static const double ms_per_s = 1000.0;
  uint64_t counts[TIME_SLICES][CSP_LOSS_COUNT] = { { 0 } };
  int64_t first_ms;
  int64_t last_ms;
  int64_t slice_ms;
  size_t slice;
  size_t loss;
  size_t i;

  if (losses->end_count == 0)
    return;
  find_time_range (losses, &first_ms, &last_ms);
  slice_ms = (last_ms - first_ms) / TIME_SLICES + 1;
  for (i = 0; i < losses->end_count; i++)
    counts[(losses->ends[i].at_ms - first_ms) / slice_ms]
          [losses->ends[i].loss]++;
  fprintf (stream, "\n%-10s %s\n", "from s", "lost, by cause");
  for (slice = 0; slice < TIME_SLICES; slice++)
    {
      fprintf (stream, "%-10.1f",
               (double)((int64_t)slice * slice_ms) / ms_per_s);
      for (loss = CSP_LOSS_NONE + 1; loss < CSP_LOSS_COUNT; loss++)
        if (counts[slice][loss] > 0)
          fprintf (stream, " %s %llu;", csp_loss_name ((csp_loss_t)loss),
                   (unsigned long long)counts[slice][loss]);
      fputc ('\n', stream);
    }
}

static bool
got_no_place (csp_loss_t loss)
{
  return loss == CSP_LOSS_REFUSED_ON_ARRIVAL
         || loss == CSP_LOSS_NO_CAPACITY_IN_TIME;
}

static int
compare_tokens (const void *a, const void *b)
{
  const csp_request_end_t *first = a;
  const csp_request_end_t *second = b;

  return first->tokens < second->tokens ? -1 : first->tokens > second->tokens;
}

/* Copies the ends of a route's requests for engines, the smallest first; NULL
   if there are none or memory is exhausted.  The caller frees them.  */
static csp_request_end_t *
sort_by_size (const csp_losses_t *losses, size_t route, size_t *count)
{
  csp_request_end_t *sorted = malloc (losses->end_count * sizeof *sorted);
  size_t i;

  *count = 0;
  if (sorted == NULL)
    return NULL;
  for (i = 0; i < losses->end_count; i++)
    if (losses->ends[i].route == route && losses->ends[i].tokens > 0)
      sorted[(*count)++] = losses->ends[i];
  qsort (sorted, *count, sizeof *sorted, compare_tokens);
  return sorted;
}

static void
print_tenths (const char *name, const csp_request_end_t *sorted, size_t count,
              FILE *stream)
{
  size_t tenth;

  for (tenth = 0; tenth < SIZE_PARTS; tenth++)
    {
      size_t first = count * tenth / SIZE_PARTS;
      size_t end = count * (tenth + 1) / SIZE_PARTS;
      size_t refused = 0;
      size_t i;

      for (i = first; i < end; i++)
        refused += got_no_place (sorted[i].loss);
      fprintf (stream, "%-24s %12lld %9zu %9zu\n", name,
               (long long)sorted[end - 1].tokens, end - first, refused);
    }
}

/* Whether requests get no place at engines the more often the larger they are,
   by tenths of each route's requests.  */
static void
print_sizes (const csp_losses_t *losses, FILE *stream)
{
  bool has_header = false;
  size_t route;

  for (route = 0; route < losses->route_count; route++)
    {
      size_t count;
      csp_request_end_t *sorted = sort_by_size (losses, route, &count);

      if (count >= SIZE_PARTS)
        {
          if (!has_header)
            fprintf (stream, "\n%-24s %12s %9s %9s\n", "size, by tenths",
                     "tokens up to", "requests", "no place");
          has_header = true;
          print_tenths (losses->routes[route].name, sorted, count, stream);
        }
      free (sorted);
    }
}

void
csp_print_losses (const csp_losses_t *losses, FILE *stream)
{
  print_routes (losses, stream);
  print_time_slices (losses, stream);
  print_sizes (losses, stream);
}
