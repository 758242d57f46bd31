#include "peer/peers-imp.h"

#include <nng/supplemental/tls/tls.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  FILE_LIMIT_BYTES = 1 << 16
};

/* Read a file into a string that the caller frees; NULL if it can't be
   read.  */
static char *
read_file (const char *path)
{
  FILE *file = fopen (path, "r");
  char *text = calloc (1, FILE_LIMIT_BYTES);
  size_t got = 0;

  if (file != NULL && text != NULL)
    got = fread (text, 1, FILE_LIMIT_BYTES - 1, file);
  if (file != NULL)
    fclose (file);
  if (got > 0)
    return text;
  free (text);
  return NULL;
}

struct nng_tls_config *
csp_create_peer_tls (const csp_tls_settings_t *tls, const char *deployment,
                     bool server)
{
  nng_tls_mode mode = server ? NNG_TLS_MODE_SERVER : NNG_TLS_MODE_CLIENT;
  char *certificate = read_file (tls->certificate_file);
  char *key = read_file (tls->key_file);
  nng_tls_config *config = NULL;

  if (certificate == NULL || key == NULL
      || nng_tls_config_alloc (&config, mode) != 0)
    goto done;
  /* Both sides must present a certificate, so that a process without one can
     neither send requests nor answer them, even on an address of a host.
     Peers are dialled by IP address, so the name to verify is that of the
     deployment.  */
  if (nng_tls_config_ca_file (config, tls->ca_file) != 0
      || nng_tls_config_own_cert (config, certificate, key, NULL) != 0
      || nng_tls_config_auth_mode (config, NNG_TLS_AUTH_MODE_REQUIRED) != 0
      || (!server && nng_tls_config_server_name (config, deployment) != 0))
    {
      nng_tls_config_free (config);
      config = NULL;
    }

done:
  free (certificate);
  free (key);
  return config;
}

bool
csp_peers_use_tls (const csp_peers_t *peers)
{
  return peers->tls != NULL && peers->tls->certificate_file[0] != '\0';
}
