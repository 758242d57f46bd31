#include "cowslipspoke/roster.h"

#include <arpa/inet.h>
#include <stdio.h>

enum
{
  PORT_BITS = 16
};

bool
csp_is_same_peer (csp_peer_address_t a, csp_peer_address_t b)
{
  return a.ip == b.ip && a.port == b.port;
}

csp_peer_address_t
csp_peer_from_sockaddr (const struct sockaddr_in *address)
{
  csp_peer_address_t peer = { .ip = ntohl (address->sin_addr.s_addr),
                              .port = ntohs (address->sin_port) };

  return peer;
}

struct sockaddr_in
csp_sockaddr_from_peer (csp_peer_address_t peer)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (peer.ip);
  address.sin_port = htons (peer.port);
  return address;
}

/* Neighbouring addresses are often in one rack; a multiplicative hash spreads
   the order over the racks.  */
uint64_t
csp_hash_peer_rank (csp_peer_address_t peer, uint64_t salt)
{
  return (csp_pack_peer (peer) ^ salt) * 0x9e3779b97f4a7c15U;
}

uint64_t
csp_pack_peer (csp_peer_address_t peer)
{
  return (uint64_t)peer.ip << PORT_BITS | peer.port;
}

csp_peer_address_t
csp_unpack_peer (uint64_t packed)
{
  return (csp_peer_address_t){ .ip = (uint32_t)(packed >> PORT_BITS),
                               .port = (uint16_t)packed };
}

void
csp_format_peer (csp_peer_address_t peer, char text[CSP_PEER_TEXT_BYTES])
{
  struct sockaddr_in address = csp_sockaddr_from_peer (peer);
  char ip[INET_ADDRSTRLEN] = "";

  inet_ntop (AF_INET, &address.sin_addr, ip, sizeof ip);
  snprintf (text, CSP_PEER_TEXT_BYTES, "%s:%u", ip, peer.port);
}
