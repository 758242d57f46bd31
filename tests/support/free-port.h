#ifndef TESTS_SUPPORT_FREE_PORT_H
#define TESTS_SUPPORT_FREE_PORT_H

#include <netinet/in.h>

/* A loopback address with a TCP port that was free at the time of the call. */
struct sockaddr_in find_free_port (void);

#endif
