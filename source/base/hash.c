#include "cowslipspoke/hash.h"

#include <openssl/evp.h>
#include <stdlib.h>
#include <string.h>

static void
hash_two_parts (const void *first, size_t first_bytes, const void *second,
                size_t second_bytes, unsigned char digest[EVP_MAX_MD_SIZE])
{
  EVP_MD_CTX *md = EVP_MD_CTX_new ();

  if (md == NULL || EVP_DigestInit_ex (md, EVP_sha256 (), NULL) != 1
      || EVP_DigestUpdate (md, first, first_bytes) != 1
      || EVP_DigestUpdate (md, second, second_bytes) != 1
      || EVP_DigestFinal_ex (md, digest, NULL) != 1)
    abort ();
  EVP_MD_CTX_free (md);
}

void
csp_hash_sha256_hex (const void *data, size_t size_bytes,
                     char hex[CSP_SHA256_HEX_BYTES])
{
  static const char digits[] = "0123456789abcdef";
  unsigned char digest[EVP_MAX_MD_SIZE];
  size_t i;

  hash_two_parts (data, size_bytes, "", 0, digest);
  for (i = 0; i < CSP_SHA256_HEX_BYTES / 2; i++)
    {
      hex[2 * i] = digits[digest[i] >> 4];
      hex[2 * i + 1] = digits[digest[i] & 15];
    }
  hex[CSP_SHA256_HEX_BYTES - 1] = '\0';
}

uint64_t
csp_hash_pair (const char *first, const char *second)
{
  unsigned char digest[EVP_MAX_MD_SIZE];
  uint64_t hash = 0;
  size_t i;

  hash_two_parts (first, strlen (first) + 1, second, strlen (second) + 1,
                  digest);
  for (i = 0; i < sizeof hash; i++)
    hash = hash << 8 | digest[i];
  return hash;
}
