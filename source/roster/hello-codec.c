#include "cowslipspoke/roster.h"

#include "roster/hello.pb-c.h"

#include <string.h>

enum
{
  PORT_MAX = 65535
};

bool
csp_encode_hello (const csp_hello_t *hello, csp_buffer_t *bytes)
{
  CspHello__Load loads[CSP_HELLO_LOADS_MAX];
  CspHello__Load *load_rows[CSP_HELLO_LOADS_MAX];
  CspHello__Address known[CSP_HELLO_KNOWN_MAX];
  CspHello__Address *known_rows[CSP_HELLO_KNOWN_MAX];
  CspHello__Hello message = CSP_HELLO__HELLO__INIT;
  uint8_t packed[CSP_HELLO_MAX_BYTES * 2];
  size_t i;

  for (i = 0; i < hello->load_count; i++)
    {
      csp_hello__load__init (&loads[i]);
      loads[i].target = hello->loads[i].target;
      loads[i].requests = hello->loads[i].requests;
      loads[i].tokens = hello->loads[i].tokens;
      loads[i].backup_tokens = hello->loads[i].backup_tokens;
      loads[i].reading_tokens = hello->loads[i].reading_tokens;
      loads[i].movable_tokens = hello->loads[i].movable_tokens;
      load_rows[i] = &loads[i];
    }
  for (i = 0; i < hello->known_count; i++)
    {
      csp_hello__address__init (&known[i]);
      known[i].ip = hello->known[i].ip;
      known[i].port = hello->known[i].port;
      known_rows[i] = &known[i];
    }
  message.boot = hello->boot;
  message.sequence = hello->sequence;
  message.whole = hello->whole;
  message.leaving = hello->leaving;
  message.data_centre = hello->data_centre;
  message.n_loads = hello->load_count;
  message.loads = load_rows;
  message.n_known = hello->known_count;
  message.known = known_rows;
  if (csp_hello__hello__get_packed_size (&message) > sizeof packed)
    return false;
  return csp_append_buffer (bytes, packed,
                            csp_hello__hello__pack (&message, packed));
}

bool
csp_decode_hello (const void *bytes, size_t size_bytes, csp_hello_t *hello)
{
  CspHello__Hello *message
      = csp_hello__hello__unpack (NULL, size_bytes, bytes);
  bool good = message != NULL && message->n_loads <= CSP_HELLO_LOADS_MAX
              && message->n_known <= CSP_HELLO_KNOWN_MAX;
  size_t i;

  memset (hello, 0, sizeof *hello);
  for (i = 0; good && i < message->n_loads; i++)
    {
      hello->loads[i].target = message->loads[i]->target;
      hello->loads[i].requests = message->loads[i]->requests;
      hello->loads[i].tokens = message->loads[i]->tokens;
      hello->loads[i].backup_tokens = message->loads[i]->backup_tokens;
      hello->loads[i].reading_tokens = message->loads[i]->reading_tokens;
      hello->loads[i].movable_tokens = message->loads[i]->movable_tokens;
    }
  for (i = 0; good && i < message->n_known; i++)
    {
      good = message->known[i]->port <= PORT_MAX;
      hello->known[i].ip = message->known[i]->ip;
      hello->known[i].port = (uint16_t)message->known[i]->port;
    }
  if (good)
    {
      hello->boot = message->boot;
      hello->sequence = message->sequence;
      hello->whole = message->whole;
      hello->leaving = message->leaving;
      hello->data_centre = message->data_centre;
      hello->load_count = message->n_loads;
      hello->known_count = message->n_known;
    }
  if (message != NULL)
    csp_hello__hello__free_unpacked (message, NULL);
  return good;
}
