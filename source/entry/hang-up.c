#include "entry/entry-imp.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

/* While nothing is written to a caller, only its socket shows that the caller
   has closed the connection.  The HTTP library doesn't expose the socket, so
   it is looked up: it is the only descriptor of this process that is bound to
   the listener's port and whose peer has the caller's address and port.  */

enum
{
  FIRST_DESCRIPTOR = 3,
  MAX_DESCRIPTORS = 65536,
  /* After about this time the kernel passes on a connection that has sent no
     data, and caller_timeout_ms ends it.  */
  DEFER_ACCEPT_S = 30,
  /* Some hundred tokens.  The write of a larger answer blocks until the
     caller has read enough of it.  */
  SEND_BUFFER_BYTES = 128 << 10
};

/* Returns the upper bound of the descriptor numbers to search.  */
static int
get_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) == 0
      && limit.rlim_cur < MAX_DESCRIPTORS)
    return (int)limit.rlim_cur;
  return MAX_DESCRIPTORS;
}

static bool
is_bound_to_port (int descriptor, uint16_t port)
{
  struct sockaddr_in local = { 0 };
  socklen_t size_bytes = sizeof local;

  return getsockname (descriptor, (struct sockaddr *)&local, &size_bytes) == 0
         && local.sin_family == AF_INET && ntohs (local.sin_port) == port;
}

static bool
is_connected_to_caller (int descriptor, const struct mg_request_info *info)
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
  int descriptor_limit = get_descriptor_limit ();
  int descriptor;

  for (descriptor = FIRST_DESCRIPTOR; descriptor < descriptor_limit;
       descriptor++)
    if (is_connected_to_caller (descriptor, info)
        && is_bound_to_port (descriptor, port))
      return descriptor;
  return -1;
}

/* An accepted connection occupies a thread.  Callers that connect and send
   nothing would occupy all threads until they time out, so the kernel holds
   such connections back.

   The send buffer of a caller grows to 2.8 MB by default: a thousand callers
   that don't read would take gigabytes, and their engines would generate
   minutes ahead.  Accepted sockets inherit the limit of the listener.  */
void
csp_limit_caller_sockets (uint16_t port)
{
  int descriptor_limit = get_descriptor_limit ();
  int descriptor;
  int is_listening;
  int defer_accept_s = DEFER_ACCEPT_S;
  int send_buffer_bytes = SEND_BUFFER_BYTES;
  socklen_t size_bytes;

  for (descriptor = FIRST_DESCRIPTOR; descriptor < descriptor_limit;
       descriptor++)
    {
      is_listening = 0;
      size_bytes = sizeof is_listening;
      if (is_bound_to_port (descriptor, port)
          && getsockopt (descriptor, SOL_SOCKET, SO_ACCEPTCONN, &is_listening,
                         &size_bytes)
                 == 0
          && is_listening != 0)
        {
          setsockopt (descriptor, IPPROTO_TCP, TCP_DEFER_ACCEPT,
                      &defer_accept_s, sizeof defer_accept_s);
          setsockopt (descriptor, SOL_SOCKET, SO_SNDBUF, &send_buffer_bytes,
                      sizeof send_buffer_bytes);
        }
    }
}

bool
csp_caller_is_gone (void *state)
{
  const csp_entry_exchange_t *exchange = state;
  struct pollfd socket = { .fd = exchange->socket, .events = POLLRDHUP };

  if (exchange->socket < 0 || poll (&socket, 1, 0) <= 0)
    return false;
  return (socket.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
