#include "cowslipspoke/fingerprint.h"

#include <inttypes.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Hashes a text with its terminating nul, so that moving characters from one
   text to the next changes the hash.  */
static int
add_text (EVP_MD_CTX *md, const char *text)
{
  return EVP_DigestUpdate (md, text, strlen (text) + 1);
}

uint64_t
csp_fingerprint_request (const csp_request_identity_t *identity)
{
  const char *organisation
      = identity->organisation == NULL ? "" : identity->organisation;
  size_t body_bytes = identity->body_bytes < CSP_FINGERPRINT_BODY_BYTES
                          ? identity->body_bytes
                          : CSP_FINGERPRINT_BODY_BYTES;
  EVP_MD_CTX *md = EVP_MD_CTX_new ();
  unsigned char digest[EVP_MAX_MD_SIZE];
  uint64_t fingerprint = 0;
  size_t i;

  if (md == NULL || EVP_DigestInit_ex (md, EVP_sha256 (), NULL) != 1
      || add_text (md, identity->method) != 1
      || add_text (md, identity->host) != 1
      || add_text (md, identity->target) != 1
      || add_text (md, organisation) != 1
      || EVP_DigestUpdate (md, identity->body, body_bytes) != 1
      || EVP_DigestFinal_ex (md, digest, NULL) != 1)
    abort ();
  EVP_MD_CTX_free (md);
  for (i = 0; i < sizeof fingerprint; i++)
    fingerprint = fingerprint << 8 | digest[i];
  return fingerprint == 0 ? 1 : fingerprint;
}

void
csp_print_fingerprint (uint64_t fingerprint,
                       char text[CSP_FINGERPRINT_TEXT_BYTES])
{
  snprintf (text, CSP_FINGERPRINT_TEXT_BYTES, "%016" PRIx64, fingerprint);
}
