#ifndef COWSLIPSPOKE_FINGERPRINT_H
#define COWSLIPSPOKE_FINGERPRINT_H

#include <stddef.h>
#include <stdint.h>

/* Fingerprints of requests, which are equal when a caller sends the same
   request again.  Request ids can't serve for this, as each attempt of a
   caller has its own.  */

enum
{
  /* Length of the body's prefix that is hashed.  */
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

/* Returns the first bytes of a SHA-256 hash, which is the same on all hosts.
   Never returns 0.  */
uint64_t csp_fingerprint_request (const csp_request_identity_t *identity);

/* Formats a fingerprint for logs, as sixteen hexadecimal digits.  */
void csp_print_fingerprint (uint64_t fingerprint,
                            char text[CSP_FINGERPRINT_TEXT_BYTES]);

#endif
