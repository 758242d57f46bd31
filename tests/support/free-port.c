#include "support/free-port.h"

#include <arpa/inet.h>
#include <check.h>

struct sockaddr_in
find_free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size_bytes = sizeof address;
  int probe = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  setsockopt (probe, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (bind (probe, (struct sockaddr *)&address, sizeof address),
                    0);
  getsockname (probe, (struct sockaddr *)&address, &size_bytes);
  /* It stays bound, so that nobody else is given the port; its user listens
     there with SO_REUSEADDR.  */
  return address;
}
