#include "cowslipspoke/fingerprint.h"
#include "cowslipspoke/quarantine.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

/* What requests under which targets end cost all others: the fingerprint of
   each request, and the look whether it is held.  baseline is none suspected,
   or a body of a kilobyte.  */

enum
{
  BODY_BYTES_MAX = 65536,
  TIMES = 2000,
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
fingerprint_ns (const char *body, size_t body_bytes)
{
  const csp_request_identity_t identity = { .method = "POST",
                                            .host = "h",
                                            .target = "/a/b",
                                            .organisation = "org",
                                            .body = body,
                                            .body_bytes = body_bytes };
  int64_t began_ns = now_ns ();
  int i;

  for (i = 0; i < TIMES; i++)
    csp_fingerprint_request (&identity);
  return (double)(now_ns () - began_ns) / TIMES;
}

/* A look at a request that isn't among so many suspects.  */
static double
look_ns (uint64_t suspects)
{
  csp_quarantine_t *quarantine = csp_create_quarantine ();
  uint64_t i;
  int64_t began_ns;
  double took_ns;

  if (quarantine == NULL)
    abort ();
  for (i = 1; i <= suspects; i++)
    csp_strike_request (quarantine, i, 1, 1);
  began_ns = now_ns ();
  for (i = 0; i < TIMES; i++)
    csp_quarantine_left_ms (quarantine, CSP_SUSPECTS_MAX + i + 1, 2);
  took_ns = (double)(now_ns () - began_ns) / TIMES;
  csp_destroy_quarantine (quarantine);
  return took_ns;
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
  double small_ns;
  double none_ns;

  if (body == NULL)
    return 1;
  small_ns = fingerprint_ns (body, 1024);
  none_ns = look_ns (0);
  print_result ("fingerprint-13kB", small_ns, fingerprint_ns (body, 13000));
  print_result ("fingerprint-64kB", small_ns,
                fingerprint_ns (body, BODY_BYTES_MAX));
  print_result ("quarantine-look-64", none_ns, look_ns (64));
  print_result ("quarantine-look-1024", none_ns, look_ns (CSP_SUSPECTS_MAX));
  free (body);
  return 0;
}
