#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/* A TCP proxy on loopback that injects connection faults.  */

typedef enum
{
  PROXY_PASS,
  PROXY_DELAY,          /* each piece is sent delay_ms later */
  PROXY_HOLD_TO_SERVER, /* holds data to the server */
  PROXY_HOLD_TO_CLIENT, /* holds data to the client */
  PROXY_HOLD_BOTH, /* holds both directions, as a network partition does */
  PROXY_REFUSE,    /* resets new connections */
  PROXY_CLOSE      /* closes connections when a request arrives */
} proxy_mode_t;

typedef struct proxy proxy_t;

/* Listens at an address and forwards connections to the server.  *address is
   written back as by wire_listen.  Returns NULL if the address can't be
   bound.  */
proxy_t *proxy_open (uv_loop_t *loop, struct sockaddr_in *address,
                     const struct sockaddr_in *server);
void proxy_close (proxy_t *proxy);

/* Sets the mode for open and new connections.  Data that the new mode
   doesn't hold is sent.  */
void proxy_set_mode (proxy_t *proxy, proxy_mode_t mode, uint32_t delay_ms);
proxy_mode_t proxy_mode (const proxy_t *proxy);

/* Reset all open connections.  */
void proxy_reset_all (proxy_t *proxy);

/* Calls back with the first data of each connection that PROXY_CLOSE
   closes.  */
typedef void (*proxy_closed_t) (void *context, const char *data,
                                size_t size_bytes);
void proxy_watch_closed (proxy_t *proxy, proxy_closed_t closed, void *context);

/* Connections from addresses for which the filter returns true are reset as
   they come; proxy_reset_refused resets those that are open.  */
typedef bool (*proxy_filter_t) (void *context,
                                const struct sockaddr_in *client);
void proxy_set_filter (proxy_t *proxy, proxy_filter_t refuses, void *context);
void proxy_reset_refused (proxy_t *proxy);

/* When data to or from a client's address leaves the proxy.  */
typedef uint64_t (*proxy_pacer_t) (void *context,
                                   const struct sockaddr_in *client,
                                   bool towards_client, size_t size_bytes);
void proxy_set_pacer (proxy_t *proxy, proxy_pacer_t pacer, void *context);

/* Finds the client's address of a connection by the port from which the proxy
   has connected to the server; false if that connection is gone.  */
bool proxy_find_client (const proxy_t *proxy, uint16_t port,
                        struct sockaddr_in *client);

/* Open connections carry no data any more, but stay open; new ones pass.  */
void proxy_silence_all (proxy_t *proxy);

#endif
