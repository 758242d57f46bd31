#include "cowslipspoke/pack.h"
#include "cowslipspoke/random.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_BYTES = 8 << 20
};

static csp_buffer_t bytes;
static csp_buffer_t packed;
static csp_buffer_t unpacked;

static void
tear_down (void)
{
  csp_clear_buffer (&bytes);
  csp_clear_buffer (&packed);
  csp_clear_buffer (&unpacked);
}

/* Fill bytes with rows in the format of the platform's target list.  */
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

START_TEST (compressed_bytes_round_trip)
{
  fill_rows (row_counts[_i]);
  ck_assert (csp_compress_bytes (bytes.data, bytes.size_bytes, &packed));
  ck_assert (csp_decompress_bytes (packed.data, packed.size_bytes, MAX_BYTES,
                                   &unpacked));
  ck_assert_uint_eq (unpacked.size_bytes, bytes.size_bytes);
  ck_assert (bytes.size_bytes == 0
             || memcmp (unpacked.data, bytes.data, bytes.size_bytes) == 0);
}
END_TEST

/* A link of 10 Mbit/s transfers the list of 3,000 targets within 0.15 s.  */
START_TEST (compressed_target_list_fits_the_link)
{
  enum
  {
    LINK_BYTES_PER_S = 1250000,
    TRANSFERS_PER_S = 7
  };

  fill_rows (3000);
  ck_assert (csp_compress_bytes (bytes.data, bytes.size_bytes, &packed));
  ck_assert_uint_le (packed.size_bytes, LINK_BYTES_PER_S / TRANSFERS_PER_S);
}
END_TEST

/* A faulty host or any other sender may send bytes that are truncated or
   changed, have trailing bytes, or decompress to more than the receiver
   allows.  */
START_TEST (invalid_input_is_refused)
{
  csp_random_t random;
  size_t i;

  fill_rows (100);
  ck_assert (csp_compress_bytes (bytes.data, bytes.size_bytes, &packed));
  for (i = 0; i < packed.size_bytes; i++)
    {
      csp_clear_buffer (&unpacked);
      ck_assert (!csp_decompress_bytes (packed.data, i, MAX_BYTES, &unpacked));
    }
  csp_clear_buffer (&unpacked);
  ck_assert (!csp_decompress_bytes (packed.data, packed.size_bytes,
                                    bytes.size_bytes - 1, &unpacked));
  csp_seed_random (&random, 7);
  for (i = 0; i < 2000; i++)
    {
      size_t at = csp_random_below (&random, (uint32_t)packed.size_bytes);
      char original = packed.data[at];

      csp_clear_buffer (&unpacked);
      packed.data[at] ^= (char)(1 + csp_random_below (&random, 255));
      ck_assert (!csp_decompress_bytes (packed.data, packed.size_bytes,
                                        MAX_BYTES, &unpacked));
      packed.data[at] = original;
    }
  csp_append_buffer (&packed, "x", 1);
  csp_clear_buffer (&unpacked);
  ck_assert (!csp_decompress_bytes (packed.data, packed.size_bytes, MAX_BYTES,
                                    &unpacked));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("pack");
  TCase *tcase = tcase_create ("pack");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, NULL, tear_down);
  tcase_add_loop_test (tcase, compressed_bytes_round_trip, 0,
                       sizeof row_counts / sizeof row_counts[0]);
  tcase_add_test (tcase, compressed_target_list_fits_the_link);
  tcase_add_test (tcase, invalid_input_is_refused);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
