#include "support/run-suite.h"

#include <stdlib.h>

int
run_suite (Suite *suite)
{
  SRunner *runner = srunner_create (suite);
  int failed;

  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
