#ifndef TESTS_SUPPORT_RUN_SUITE_H
#define TESTS_SUPPORT_RUN_SUITE_H

#include <check.h>

/* Run a suite, which goes with it, and return what main should.  */
int run_suite (Suite *suite);

#endif
