#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/* A TCP proxy on loopback, which spoils what goes through it.  */

typedef enum
{
  PROXY_PASS,
  PROXY_SLOW,      /* each piece comes delay_ms later */
  PROXY_HOLD_TO,   /* nothing passes towards the server */
  PROXY_HOLD_BACK, /* nothing passes back */
  PROXY_HOLD_BOTH, /* as behind a cut: nothing passes until it heals */
  PROXY_REFUSE     /* connections are reset as they come */
} proxy_mode_t;

typedef struct proxy proxy_t;

/* Listen at an address, and pass on to the server's.  *address is written as
   wire_listen does.  NULL where it can't be had.  */
proxy_t *proxy_open (uv_loop_t *loop, struct sockaddr_in *address,
                     const struct sockaddr_in *server);
void proxy_close (proxy_t *proxy);

/* From now on, for open connections too; what was held then goes on.  */
void proxy_set_mode (proxy_t *proxy, proxy_mode_t mode, uint32_t delay_ms);
proxy_mode_t proxy_mode (const proxy_t *proxy);

/* Reset all open connections.  */
void proxy_reset_all (proxy_t *proxy);

/* All open connections fall silent for good; new ones pass.  */
void proxy_silence_all (proxy_t *proxy);

#endif
