#ifndef COWSLIPSPOKE_FINGERPRINT_H
#define COWSLIPSPOKE_FINGERPRINT_H

#include <stddef.h>
#include <stdint.h>

/* What makes two requests the same one, sent again.  Each attempt of a caller
   has an id of its own, so ids can't tell.  */

enum
{
  /* Bytes of a body that count.  */
  CSP_FINGERPRINT_BODY_BYTES = 65536,
  CSP_FINGERPRINT_TEXT_BYTES = 17
};

typedef struct
{
  const char *method;
  const char *host;
  const char *target;       /* path and query */
  const char *organisation; /* NULL: none */
  const void *body;
  size_t body_bytes;
} csp_request_identity_t;

/* Alike on all hosts: the first bytes of a SHA-256.  Never 0.  */
uint64_t csp_fingerprint_request (const csp_request_identity_t *identity);

/* As logs show it: sixteen hexadecimal digits.  */
void csp_print_fingerprint (uint64_t fingerprint,
                            char text[CSP_FINGERPRINT_TEXT_BYTES]);

#endif
