#ifndef TESTS_DECLARED_H
#define TESTS_DECLARED_H

#include "cowslipspoke/declaration.h"

/* A small valid declaration, of which tests override values.  */

#define KEY_A                                                                 \
  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define KEY_B                                                                 \
  "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

#define RULE(when, then) "{\"when\":" when ",\"then\":" then "}"
#define TURN_AWAY "{\"turn_away\":{\"reason\":\"r\"}}"

enum
{
  VALUES_MAX = 24,
  OVER_MAX = 8
};

typedef struct
{
  const char *key;
  const char *json;
} declared_pair_t;

/* Create the base declaration with up to OVER_MAX values overridden or added;
   a json of NULL removes the value.  Returns NULL when the declaration is
   refused.  */
csp_declaration_t *create_test_declaration (const csp_declaration_t *previous,
                                            const declared_pair_t *overrides,
                                            size_t override_count,
                                            csp_faults_t *faults);

/* Create the base declaration without changes; aborts when it is refused.  */
csp_declaration_t *create_base_declaration (void);

#endif
