#include "cowslipspoke/fingerprint.h"
#include "cowslipspoke/quarantine.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

/* Measures what the quarantine of requests that crash targets costs every
   other request: the fingerprint, and the look-up whether the fingerprint is
   quarantined.  The baseline is a body of one kilobyte for the fingerprint and
   an empty table for the look-up.  */

enum
{
  BODY_BYTES_MAX = 65536,
  REPEATS = 2000,
  NS_PER_S = 1000000000
};

static int64_t
now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (int64_t)now.tv_sec * NS_PER_S + now.tv_nsec;
}

static double
time_fingerprint_ns (const char *body, size_t body_bytes)
{
  const csp_request_identity_t identity = { .method = "POST",
                                            .host = "h",
                                            .target = "/a/b",
                                            .organisation = "org",
                                            .body = body,
                                            .body_bytes = body_bytes };
  int64_t start_ns = now_ns ();
  int i;

  for (i = 0; i < REPEATS; i++)
    csp_fingerprint_request (&identity);
  return (double)(now_ns () - start_ns) / REPEATS;
}

/* Returns the nanoseconds of looking up a request that isn't in a table of
   that many suspects.  */
static double
time_lookup_ns (uint64_t suspects)
{
  csp_quarantine_t *quarantine = csp_create_quarantine ();
  uint64_t i;
  int64_t start_ns;
  double elapsed_ns;

  if (quarantine == NULL)
    abort ();
  for (i = 1; i <= suspects; i++)
    csp_add_request_strike (quarantine, i, 1, 1);
  start_ns = now_ns ();
  for (i = 0; i < REPEATS; i++)
    csp_quarantine_left_ms (quarantine, CSP_SUSPECTS_MAX + i + 1, 2);
  elapsed_ns = (double)(now_ns () - start_ns) / REPEATS;
  csp_destroy_quarantine (quarantine);
  return elapsed_ns;
}

static void
print_result (const char *name, double baseline, double now)
{
  printf ("%s baseline=%.0f now=%.0f ratio=%.2f unit=ns\n", name, baseline,
          now, baseline > 0 ? now / baseline : 0);
}

int
main (void)
{
  char *body = calloc (1, BODY_BYTES_MAX);
  double kilobyte_body_ns;
  double no_suspects_ns;

  if (body == NULL)
    return 1;
  kilobyte_body_ns = time_fingerprint_ns (body, 1024);
  no_suspects_ns = time_lookup_ns (0);
  print_result ("fingerprint-13kB", kilobyte_body_ns,
                time_fingerprint_ns (body, 13000));
  print_result ("fingerprint-64kB", kilobyte_body_ns,
                time_fingerprint_ns (body, BODY_BYTES_MAX));
  print_result ("quarantine-look-64", no_suspects_ns, time_lookup_ns (64));
  print_result ("quarantine-look-1024", no_suspects_ns,
                time_lookup_ns (CSP_SUSPECTS_MAX));
  free (body);
  return 0;
}
