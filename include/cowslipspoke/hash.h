#ifndef COWSLIPSPOKE_HASH_H
#define COWSLIPSPOKE_HASH_H

#include <stddef.h>
#include <stdint.h>

enum
{
  CSP_SHA256_HEX_BYTES = 65
};

/* SHA-256 of some bytes as lower-case hex, null-terminated.  The configuration
   holds bearer keys only in this form.  */
void csp_hash_sha256_hex (const void *data, size_t size_bytes,
                          char hex[CSP_SHA256_HEX_BYTES]);

/* A 64-bit hash of two strings that is the same on every host: the first bytes
   of SHA-256 over both, each with its terminating null.  For rendezvous
   hashing, where hosts of different versions must agree.  */
uint64_t csp_hash_pair (const char *first, const char *second);

#endif
