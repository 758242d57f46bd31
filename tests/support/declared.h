#ifndef TESTS_DECLARED_H
#define TESTS_DECLARED_H

#include "cowslipspoke/declaration.h"

/* A small declaration in order, over which tests lay their own values.  */

#define KEY_A                                                                 \
  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define KEY_B                                                                 \
  "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

#define RULE(when, then) "{\"when\":" when ",\"then\":" then "}"
#define AWAY "{\"turn_away\":{\"reason\":\"r\"}}"

enum
{
  VALUES_MAX = 24,
  OVER_MAX = 8
};

typedef struct
{
  const char *key;
  const char *json;
} pair_t;

/* Declare the base with up to OVER_MAX values laid over it; a json of NULL
   takes one out.  */
csp_declaration_t *declare (const csp_declaration_t *previous,
                            const pair_t *over, size_t over_count,
                            csp_faults_t *faults);

/* Declare the base alone.  */
csp_declaration_t *declare_base (void);

#endif
