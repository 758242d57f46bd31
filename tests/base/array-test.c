#include "base/array-imp.h"
#include "support/run-suite.h"

#include <check.h>
#include <stdint.h>
#include <stdlib.h>

/* Arrays that grow by one item at a time keep their items.  */
START_TEST (a_growing_array_keeps_its_items)
{
  uint32_t *items = NULL;
  size_t capacity = 0;
  size_t moves = 0;
  uint32_t i;

  for (i = 0; i < 1000; i++)
    {
      size_t before = capacity;
      uint32_t *grown = csp_grow_array (items, i, &capacity, sizeof *items);

      ck_assert_ptr_nonnull (grown);
      ck_assert_uint_gt (capacity, i);
      moves += capacity != before;
      items = grown;
      items[i] = i;
    }
  for (i = 0; i < 1000; i++)
    ck_assert_uint_eq (items[i], i);
  ck_assert_uint_le (moves, 10);
  free (items);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("array");
  TCase *tcase = tcase_create ("array");

  tcase_add_test (tcase, a_growing_array_keeps_its_items);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
