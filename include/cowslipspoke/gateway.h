#ifndef COWSLIPSPOKE_GATEWAY_H
#define COWSLIPSPOKE_GATEWAY_H

#include "cowslipspoke/clock.h"
#include "cowslipspoke/dialect.h"
#include "cowslipspoke/fleet.h"
#include "cowslipspoke/log.h"
#include "cowslipspoke/route.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The forwarding side of a host: callers' HTTP requests go unchanged to
   targets and the answers come back unchanged.  One traffic thread runs it on
   an event loop; the control thread tells it what the platform says by
   updates.  */

enum
{
  CSP_GATEWAY_SEEDS_MAX = 8
};

/* What a host's forwarder is given at its start.  */
typedef struct
{
  char host[64];
  char data_centre[64];
  struct sockaddr_in front;   /* callers */
  struct sockaddr_in ready;   /* the balancer's question */
  struct sockaddr_in metrics; /* port 0: none */
  struct sockaddr_in peers;   /* datagrams of other hosts; port 0: none */
  size_t seed_count;
  struct sockaddr_in seeds[CSP_GATEWAY_SEEDS_MAX];
  /* What its processor and link can carry, in thousandths of a core; 0: not
     known.  */
  uint32_t capacity;
  /* How long a stop may take in all, before the process is killed.  */
  uint32_t stop_limit_ms;
  /* Extra arrivals at a service: this share of its requests; what this host
     may save up of that, and has when it starts; and what all hosts together
     may send beyond it, in any window.  */
  double retry_share;
  double retry_saved_max;
  double retry_start;
  uint32_t retry_extra;
  uint32_t retry_window_ms;
  /* A cold target may get its service's rate times the first and the second
     more requests in a second, of all hosts together.  */
  double cold_overage;
  double cold_tolerance;
} csp_gateway_settings_t;

typedef enum
{
  CSP_UPDATE_ROUTES,
  CSP_UPDATE_TARGET,
  CSP_UPDATE_TARGET_REMOVED,
  CSP_UPDATE_CORDON,          /* a data centre gets nothing new, or does */
  CSP_UPDATE_LISTED,          /* the whole list of targets has been told */
  CSP_UPDATE_PLATFORM_HEARD,  /* it can be read, with or without news */
  CSP_UPDATE_PLATFORM_LAPSES, /* its own rows may be missing for a while */
  CSP_UPDATE_SIGHTED, /* this host reads the platform and is answered, or not
                       */
  CSP_UPDATE_PLATFORM_AWAY,
  CSP_UPDATE_PLATFORM_BACK,
  CSP_UPDATE_STOP
} csp_update_kind_t;

/* What the control thread tells the traffic thread.  */
typedef struct
{
  csp_update_kind_t kind;
  union
  {
    csp_routes_t *routes; /* the forwarder's from now on */
    csp_fleet_row_t target;
    char target_id[CSP_TARGET_ID_BYTES];
    struct
    {
      char data_centre[CSP_CORDON_NAME_BYTES];
      bool on; /* else it is lifted */
    } cordon;
    uint32_t age_ms; /* since the platform itself was heard */
    bool sighted;
  } value;
} csp_update_t;

typedef struct csp_gateway csp_gateway_t;

/* Open the listeners.  NULL with a message where that fails.  dialect and log
   must outlive it.  */
csp_gateway_t *csp_create_gateway (const csp_gateway_settings_t *settings,
                                   const csp_dialect_t *dialect,
                                   const csp_clock_t *clock, csp_log_t *log,
                                   char *message, size_t message_bytes);
void csp_destroy_gateway (csp_gateway_t *gateway);

/* Serve until a stop is done: no caller is left, or the limit has come.  */
void csp_run_gateway (csp_gateway_t *gateway);

/* Tell the traffic thread, from any thread.  False when memory fails; a
   version of routes is then released.  */
bool csp_update_gateway (csp_gateway_t *gateway, const csp_update_t *update);

/* Live hosts, for the control thread.  Returns how many were written.  */
size_t csp_list_gateway_peers (csp_gateway_t *gateway,
                               csp_peer_address_t *addresses, size_t room);

/* Which hosts may read the platform for this one, best first.  For the control
   thread.  */
void csp_rank_gateway_readers (csp_gateway_t *gateway,
                               csp_reader_ranks_t *ranks);

/* Port of a listener that was opened on port 0, for tests.  */
uint16_t csp_gateway_front_port (const csp_gateway_t *gateway);
uint16_t csp_gateway_ready_port (const csp_gateway_t *gateway);

#endif
