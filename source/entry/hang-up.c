#include "entry/entry-imp.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

/* A caller that hangs up while nothing is written to it shows only on its
   socket, which the HTTP library keeps to itself.  It is the one descriptor
   of this process whose peer has the caller's address and port.  */

enum
{
  FIRST_DESCRIPTOR = 3,
  MOST_DESCRIPTORS = 65536
};

static bool
is_caller (int descriptor, const struct mg_request_info *info)
{
  struct sockaddr_in peer = { 0 };
  socklen_t size_bytes = sizeof peer;
  char text[INET_ADDRSTRLEN];

  if (getpeername (descriptor, (struct sockaddr *)&peer, &size_bytes) != 0
      || peer.sin_family != AF_INET
      || ntohs (peer.sin_port) != info->remote_port)
    return false;
  return inet_ntop (AF_INET, &peer.sin_addr, text, sizeof text) != NULL
         && strcmp (text, info->remote_addr) == 0;
}

int
csp_find_caller_socket (const struct mg_request_info *info, uint16_t port)
{
  struct rlimit limit;
  struct sockaddr_in own = { 0 };
  socklen_t size_bytes;
  int descriptor;
  int most = MOST_DESCRIPTORS;

  if (getrlimit (RLIMIT_NOFILE, &limit) == 0
      && limit.rlim_cur < MOST_DESCRIPTORS)
    most = (int)limit.rlim_cur;
  for (descriptor = FIRST_DESCRIPTOR; descriptor < most; descriptor++)
    {
      size_bytes = sizeof own;
      if (is_caller (descriptor, info)
          && getsockname (descriptor, (struct sockaddr *)&own, &size_bytes)
                 == 0
          && ntohs (own.sin_port) == port)
        return descriptor;
    }
  return -1;
}

bool
csp_caller_is_gone (void *state)
{
  const csp_exchange_t *exchange = state;
  struct pollfd socket = { .fd = exchange->socket, .events = POLLRDHUP };

  if (exchange->socket < 0 || poll (&socket, 1, 0) <= 0)
    return false;
  return (socket.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
