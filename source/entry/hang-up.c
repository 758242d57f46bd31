#include "entry/entry-imp.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
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
  MOST_DESCRIPTORS = 65536,
  /* The kernel gives up on a silent connection after about this long.  */
  DEFER_S = 30,
  /* Some hundred tokens; a whole answer waits for its reader.  */
  UNREAD_BYTES = 128 << 10
};

/* How many descriptors there may be.  */
static int
count_descriptors (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) == 0
      && limit.rlim_cur < MOST_DESCRIPTORS)
    return (int)limit.rlim_cur;
  return MOST_DESCRIPTORS;
}

static bool
is_at_port (int descriptor, uint16_t port)
{
  struct sockaddr_in own = { 0 };
  socklen_t size_bytes = sizeof own;

  return getsockname (descriptor, (struct sockaddr *)&own, &size_bytes) == 0
         && own.sin_family == AF_INET && ntohs (own.sin_port) == port;
}

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
  int most = count_descriptors ();
  int descriptor;

  for (descriptor = FIRST_DESCRIPTOR; descriptor < most; descriptor++)
    if (is_caller (descriptor, info) && is_at_port (descriptor, port))
      return descriptor;
  return -1;
}

/* A connection holds a thread from its first moment.  Callers that connect
   and say nothing would hold them all, and the others would wait until those
   are timed out; the kernel keeps such connections instead.

   The kernel also keeps what a caller has not read, 2.8 MB of it where nobody
   says less: a thousand that read nothing would take gigabytes, and their
   engines would work ahead for minutes.  Accepted sockets take the bound of
   the listener.  */
void
csp_bound_callers (uint16_t port)
{
  int most = count_descriptors ();
  int descriptor;
  int listens;
  int defer_s = DEFER_S;
  int unread_bytes = UNREAD_BYTES;
  socklen_t size_bytes;

  for (descriptor = FIRST_DESCRIPTOR; descriptor < most; descriptor++)
    {
      listens = 0;
      size_bytes = sizeof listens;
      if (is_at_port (descriptor, port)
          && getsockopt (descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listens,
                         &size_bytes)
                 == 0
          && listens != 0)
        {
          setsockopt (descriptor, IPPROTO_TCP, TCP_DEFER_ACCEPT, &defer_s,
                      sizeof defer_s);
          setsockopt (descriptor, SOL_SOCKET, SO_SNDBUF, &unread_bytes,
                      sizeof unread_bytes);
        }
    }
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
