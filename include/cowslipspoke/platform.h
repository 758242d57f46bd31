#ifndef COWSLIPSPOKE_PLATFORM_H
#define COWSLIPSPOKE_PLATFORM_H

#include "cowslipspoke/names.h"
#include "cowslipspoke/verdict.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Parsers of the platform's responses, with bounds on their size;
   docs/PLATFORM.md has the format.  A response that is malformed anywhere is
   rejected as a whole.  */

enum
{
  /* Three times the planned 330 hosts and 12,000 targets.  */
  CSP_MAX_HOSTS = 1024,
  CSP_MAX_TARGETS = 36000,
  CSP_MAX_KEY_BYTES = 192,
  CSP_MAX_VALUE_BYTES = 1 << 20,
  CSP_MAX_ANSWER_BYTES = 16 << 20
};

typedef enum
{
  CSP_MEMBER_LIVE,
  CSP_MEMBER_LEAVING
} csp_member_state_t;

typedef enum
{
  CSP_TARGET_ENGINE,
  CSP_TARGET_SERVICE
} csp_target_kind_t;

typedef struct
{
  char name[CSP_HOST_NAME_BYTES];
  char region[CSP_HOST_NAME_BYTES];
  char data_centre[CSP_HOST_NAME_BYTES];
  char address[CSP_ADDRESS_BYTES];
  uint16_t http_port;
  uint16_t peer_port;
  csp_member_state_t state;
} csp_listed_host_t;

typedef struct
{
  char name[CSP_HOST_NAME_BYTES];
  char data_centre[CSP_HOST_NAME_BYTES];
  char address[CSP_ADDRESS_BYTES];
  char pool[CSP_HOST_NAME_BYTES];
  uint16_t port;
  csp_target_kind_t kind;
  csp_member_state_t state;
  bool checks_fence;
} csp_listed_target_t;

/* The host list; names are unique in each of the two.  */
typedef struct
{
  int64_t version;
  size_t host_count;
  csp_listed_host_t *hosts;
  size_t target_count;
  csp_listed_target_t *targets;
} csp_host_list_t;

/* Parse a response of /v1/hosts.  On false *list is NULL and error->detail
   names the row and member at fault.  */
bool csp_parse_host_list (const char *text, size_t size_bytes,
                          csp_host_list_t **list, csp_error_t *error);

/* Destroy a list; NULL is allowed.  */
void csp_destroy_host_list (csp_host_list_t *list);

/* One value of the configuration.  json is NULL where the key was deleted at
   revision.  */
typedef struct
{
  const char *key;
  const char *json;
  int64_t revision;
} csp_config_value_t;

/* The changes after revision base, or the whole configuration where full is
   true, as the platform or a peer sends them.  digest covers the whole
   configuration at revision; it is 0 where the sender gives none, as the
   platform does.  */
typedef struct
{
  int64_t base;
  int64_t revision;
  uint64_t digest;
  bool full;
  size_t value_count;
  const csp_config_value_t *values;
} csp_config_delta_t;

/* Parse a response of /v1/config to a request with after=BASE.
   csp_destroy_config_delta frees the delta and everything it points to.  */
bool csp_parse_config_answer (const char *text, size_t size_bytes,
                              int64_t base, csp_config_delta_t **delta,
                              csp_error_t *error);

/* Destroy a parsed delta; NULL is allowed.  */
void csp_destroy_config_delta (csp_config_delta_t *delta);

#endif
