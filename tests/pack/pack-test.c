#include "cowslipspoke/pack.h"
#include "cowslipspoke/random.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MOST = 8 << 20
};

static csp_buffer_t bytes;
static csp_buffer_t packed;
static csp_buffer_t again;

static void
tear_down (void)
{
  csp_clear_buffer (&bytes);
  csp_clear_buffer (&packed);
  csp_clear_buffer (&again);
}

/* Rows as the platform lists targets.  */
static void
fill_rows (int count)
{
  int i;

  for (i = 0; i < count; i++)
    csp_print_buffer (&bytes,
                      "{\"key\":\"servers/i-%08x\",\"revision\":%d,\"value\":"
                      "\"{\\\"service\\\":\\\"cowslip-pool\\\",\\\"address\\\""
                      ":\\\"10.1.%d.%d:8743\\\",\\\"zone\\\":\\\"hall-taff\\\""
                      ",\\\"version\\\":\\\"1\\\",\\\"slots\\\":24,"
                      "\\\"state\\\":\\\"ready\\\",\\\"seq\\\":%d}\"},",
                      i * 7919, i, i / 250, i % 250, i);
}

static const int row_counts[] = { 0, 1, 10, 300, 3000, 20000 };

START_TEST (what_is_packed_comes_out_again)
{
  fill_rows (row_counts[_i]);
  ck_assert (csp_pack_bytes (bytes.data, bytes.size_bytes, &packed));
  ck_assert (csp_unpack_bytes (packed.data, packed.size_bytes, MOST, &again));
  ck_assert_uint_eq (again.size_bytes, bytes.size_bytes);
  ck_assert (bytes.size_bytes == 0
             || memcmp (again.data, bytes.data, bytes.size_bytes) == 0);
}
END_TEST

/* The list of 3,000 targets reaches a host on a link of 10 Mbit/s within 0.15
   s.  */
START_TEST (a_list_of_targets_is_short)
{
  enum
  {
    LINK_BYTES_PER_S = 1250000,
    PARTS = 7 /* of a second */
  };

  fill_rows (3000);
  ck_assert (csp_pack_bytes (bytes.data, bytes.size_bytes, &packed));
  ck_assert_uint_le (packed.size_bytes, LINK_BYTES_PER_S / PARTS);
}
END_TEST

/* Bytes that a broken host or anybody else may send: cut off, changed, more
   behind the end, and a little that unpacks into more than a host has.  */
START_TEST (what_was_not_packed_is_refused)
{
  csp_random_t lots;
  size_t i;

  fill_rows (100);
  ck_assert (csp_pack_bytes (bytes.data, bytes.size_bytes, &packed));
  for (i = 0; i < packed.size_bytes; i++)
    {
      csp_clear_buffer (&again);
      ck_assert (!csp_unpack_bytes (packed.data, i, MOST, &again));
    }
  csp_clear_buffer (&again);
  ck_assert (!csp_unpack_bytes (packed.data, packed.size_bytes,
                                bytes.size_bytes - 1, &again));
  csp_seed_random (&lots, 7);
  for (i = 0; i < 2000; i++)
    {
      size_t at = csp_random_below (&lots, (uint32_t)packed.size_bytes);
      char kept = packed.data[at];

      csp_clear_buffer (&again);
      packed.data[at] ^= (char)(1 + csp_random_below (&lots, 255));
      ck_assert (
          !csp_unpack_bytes (packed.data, packed.size_bytes, MOST, &again));
      packed.data[at] = kept;
    }
  csp_append_buffer (&packed, "x", 1);
  csp_clear_buffer (&again);
  ck_assert (!csp_unpack_bytes (packed.data, packed.size_bytes, MOST, &again));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("pack");
  TCase *tcase = tcase_create ("pack");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, NULL, tear_down);
  tcase_add_loop_test (tcase, what_is_packed_comes_out_again, 0,
                       sizeof row_counts / sizeof row_counts[0]);
  tcase_add_test (tcase, a_list_of_targets_is_short);
  tcase_add_test (tcase, what_was_not_packed_is_refused);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
