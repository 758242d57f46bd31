#ifndef TESTS_SUPPORT_RUN_SUITE_H
#define TESTS_SUPPORT_RUN_SUITE_H

#include <check.h>

/* Run a suite and free it.  Returns the exit status for main.  */
int run_suite (Suite *suite);

#endif
