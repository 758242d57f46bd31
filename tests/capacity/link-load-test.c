#include "cowslipspoke/link-load.h"

#include "support/run-suite.h"

#include <check.h>

/* Samples a load that sends and receives at a constant rate, every 100 ms.  */
static int64_t
run_load (csp_link_load_t *load, csp_stream_counts_t *counts, int64_t now_ms,
          int64_t until_ms, uint64_t bytes, uint64_t writes)
{
  for (; now_ms < until_ms; now_ms += 100)
    {
      counts->written_bytes += bytes;
      counts->writes += writes;
      counts->read_bytes += 2 * bytes;
      counts->reads += writes;
      csp_sample_link_load (load, counts, now_ms);
    }
  return now_ms;
}

START_TEST (rates_are_of_the_last_second_with_headers)
{
  csp_link_load_t *load = csp_create_link_load ();
  csp_stream_counts_t counts = { 0 };
  int64_t now_ms = run_load (load, &counts, 1000, 3000, 10000, 10);

  ck_assert_uint_eq (csp_get_sent_rate (load), 100000 + 100 * 66);
  ck_assert_uint_eq (csp_get_received_rate (load), 200000 + 100 * 66);
  now_ms = run_load (load, &counts, now_ms, 4100, 0, 0);
  ck_assert_uint_eq (csp_get_sent_rate (load), 0);
  /* Samples that stopped for a while don't make a rate.  */
  counts.written_bytes += 1000000;
  csp_sample_link_load (load, &counts, now_ms + 60000);
  ck_assert_uint_eq (csp_get_sent_rate (load), 0);
  csp_destroy_link_load (load);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("link load");
  TCase *tcase = tcase_create ("link load");

  tcase_add_test (tcase, rates_are_of_the_last_second_with_headers);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
