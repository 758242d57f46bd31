#include "support/free-port.h"

#include <arpa/inet.h>
#include <check.h>
#include <unistd.h>

struct sockaddr_in
find_free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size_bytes = sizeof address;
  int probe = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (bind (probe, (struct sockaddr *)&address, sizeof address),
                    0);
  getsockname (probe, (struct sockaddr *)&address, &size_bytes);
  close (probe);
  return address;
}
