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
  csp_link_load_t *load = csp_create_link_load (0);
  csp_stream_counts_t counts = { 0 };
  int64_t now_ms = run_load (load, &counts, 1000, 3000, 10000, 10);

  ck_assert_uint_eq (csp_get_sent_bytes_per_s (load), 100000 + 100 * 66);
  ck_assert_uint_eq (csp_get_received_bytes_per_s (load), 200000 + 100 * 66);
  now_ms = run_load (load, &counts, now_ms, 4100, 0, 0);
  ck_assert_uint_eq (csp_get_sent_bytes_per_s (load), 0);
  /* Samples that stopped for a while don't make a rate.  */
  counts.written_bytes += 1000000;
  csp_sample_link_load (load, &counts, now_ms + 60000);
  ck_assert_uint_eq (csp_get_sent_bytes_per_s (load), 0);
  csp_destroy_link_load (load);
}
END_TEST

static const struct
{
  const char *what;
  uint64_t capacity;
  uint64_t bytes;    /* each 100 ms; twice as many are received */
  uint32_t reserved; /* streams before, in one go */
  uint32_t released; /* of these */
  bool admitted;
} streams[] = {
  { "unknown capacity", 0, 1000000, 1000, 0, true },
  { "an idle link", 100000, 0, 0, 0, true },
  { "the last that fits", 100000, 0, 8, 0, true },
  { "one more", 100000, 0, 9, 0, false },
  { "one of them has ended", 100000, 0, 9, 1, true },
  { "the busier way counts", 100000, 4100, 0, 0, false },
  { "half in use", 100000, 2000, 4, 0, true },
  { "half in use, and reserved", 100000, 2000, 5, 0, false },
};

/* Guards against streams of which each fits while all of them don't, as those
   that were taken just now don't show yet.  */
START_TEST (streams_are_bounded_by_what_the_link_carries)
{
  csp_link_load_t *load = csp_create_link_load (streams[_i].capacity);
  csp_stream_counts_t counts = { 0 };
  uint32_t i;

  run_load (load, &counts, 1000, 3000, streams[_i].bytes, 0);
  csp_note_stream_rate (load, 10000);
  for (i = 0; i < streams[_i].reserved; i++)
    ck_assert_msg (csp_reserve_stream (load), "%s", streams[_i].what);
  for (i = 0; i < streams[_i].released; i++)
    csp_release_stream (load);
  ck_assert_msg (csp_reserve_stream (load) == streams[_i].admitted, "%s",
                 streams[_i].what);
  csp_destroy_link_load (load);
}
END_TEST

static const struct
{
  const char *what;
  uint64_t capacity;
  uint64_t before; /* bytes each 100 ms */
  uint64_t bytes;  /* the same afterwards */
  bool full;
} links[] = {
  { "unknown capacity", 0, 0, 1000000, false },
  { "less than 98 in a hundred", 200000, 0, 9700, false },
  { "as much", 200000, 0, 9800, true },
  { "still more than 85", 200000, 9800, 8600, true },
  { "more than 85, never full", 200000, 7000, 8600, false },
  { "less than 85", 200000, 9800, 8400, false },
};

/* Guards against a host whose readiness changes with each sample.  */
START_TEST (link_is_full_until_a_part_is_free)
{
  csp_link_load_t *load = csp_create_link_load (links[_i].capacity);
  csp_stream_counts_t counts = { 0 };
  int64_t now_ms = run_load (load, &counts, 1000, 4000, links[_i].before, 0);

  run_load (load, &counts, now_ms, now_ms + 2000, links[_i].bytes, 0);
  ck_assert_msg (csp_is_link_full (load) == links[_i].full, "%s",
                 links[_i].what);
  csp_destroy_link_load (load);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("link load");
  TCase *tcase = tcase_create ("link load");

  tcase_add_test (tcase, rates_are_of_the_last_second_with_headers);
  tcase_add_loop_test (tcase, streams_are_bounded_by_what_the_link_carries, 0,
                       sizeof streams / sizeof streams[0]);
  tcase_add_loop_test (tcase, link_is_full_until_a_part_is_free, 0,
                       sizeof links / sizeof links[0]);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
