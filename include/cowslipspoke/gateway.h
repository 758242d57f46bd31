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

/* The forwarding side of a host: it forwards callers' HTTP requests unchanged
   to targets and returns the answers unchanged.  One traffic thread runs it on
   an event loop; the control thread passes on what the platform reports
   through updates.  */

enum
{
  CSP_GATEWAY_SEEDS_MAX = 8
};

/* Settings of a host's forwarder, fixed at its start.  */
typedef struct
{
  char host[64];
  char data_centre[64];
  struct sockaddr_in caller_address; /* listens for callers */
  struct sockaddr_in
      readiness_address; /* listens for the balancer's readiness checks */
  struct sockaddr_in metrics_address; /* port 0: no listener */
  /* Receives datagrams of other hosts; port 0: none.  */
  struct sockaddr_in datagram_address;
  /* Accepts requests that other hosts relay, and sends those of this host from
     the same address; family 0: this host neither relays nor accepts.  */
  struct sockaddr_in relay_address;
  /* Where connections to targets come from, with port 0; family 0: the system
     chooses.  */
  struct sockaddr_in source_address;
  size_t seed_count;
  struct sockaddr_in seeds[CSP_GATEWAY_SEEDS_MAX];
  /* What the host's processor and link can carry, in thousandths of a core; 0:
     unknown.  */
  uint32_t capacity;
  /* What the host's network link carries each way; 0: unknown.  */
  uint64_t link_bytes_per_s;
  /* Longest duration of a stop; afterwards the process is killed.  */
  uint32_t stop_limit_ms;
  /* How long a target that leaves accepts requests, from when the platform's
     list has shown it; 0: unknown.  */
  uint32_t leave_limit_ms;
  /* Retry budget of a service: the share of its requests that may be sent as
     extra attempts; the most that this host may save up of that share, and
     what it has at its start; and how many more all hosts together may send in
     any window.  */
  double retry_share;
  double retry_saved_max;
  double retry_start;
  uint32_t retry_extra;
  uint32_t retry_window_ms;
  /* In a second all hosts together may send a cold target its service's rate
     times cold_overage, plus cold_tolerance requests.  */
  double cold_overage;
  double cold_tolerance;
} csp_gateway_settings_t;

typedef enum
{
  CSP_UPDATE_ROUTES,
  CSP_UPDATE_TARGET,
  CSP_UPDATE_TARGET_REMOVED,
  CSP_UPDATE_ENTRY_REFUSED, /* an entry of the platform can't be used */
  CSP_UPDATE_CORDON, /* a data centre is cordoned or its cordon lifted */
  CSP_UPDATE_TARGETS_LISTED, /* all targets of the platform's list have been
                                sent */
  CSP_UPDATE_PLATFORM_READ,  /* also when nothing changed */
  CSP_UPDATE_PLATFORM_ROWS_LAPSE, /* its rows may be missing for a while */
  CSP_UPDATE_READS_PLATFORM,      /* whether this host's own reads succeed */
  CSP_UPDATE_PLATFORM_UNREACHABLE,
  CSP_UPDATE_PLATFORM_REACHABLE,
  CSP_UPDATE_STOP
} csp_update_kind_t;

/* An update from the control thread to the traffic thread.  */
typedef struct
{
  csp_update_kind_t kind;
  union
  {
    csp_routes_t *routes; /* ownership passes to the forwarder */
    csp_fleet_row_t target;
    char target_id[CSP_TARGET_ID_BYTES];
    struct
    {
      char data_centre[CSP_CORDON_NAME_BYTES];
      bool on; /* false: the cordon is lifted */
    } cordon;
    uint32_t age_ms; /* since the platform itself was read */
    bool reads_platform;
  } value;
} csp_update_t;

typedef struct csp_gateway csp_gateway_t;

/* Open the listeners.  On failure write a message and return NULL.  Both
   dialect and log must outlive the gateway.  */
csp_gateway_t *csp_create_gateway (const csp_gateway_settings_t *settings,
                                   const csp_dialect_t *dialect,
                                   const csp_clock_t *clock, csp_log_t *log,
                                   char *message, size_t message_bytes);
void csp_destroy_gateway (csp_gateway_t *gateway);

/* Serve until a stop is complete: no caller is left, or the time limit is
   reached.  */
void csp_run_gateway (csp_gateway_t *gateway);

/* Queue an update for the traffic thread; may be called from any thread.
   False when memory fails; routes in the update are then released.  */
bool csp_update_gateway (csp_gateway_t *gateway, const csp_update_t *update);

/* List live hosts; for the control thread.  Returns how many were written.  */
size_t csp_list_gateway_peers (csp_gateway_t *gateway,
                               csp_peer_address_t *addresses,
                               size_t max_count);

/* The hosts that may read the platform for this one, best first; for the
   control thread.  */
void csp_rank_gateway_readers (csp_gateway_t *gateway,
                               csp_reader_ranks_t *ranks);

/* Port of a listener that was opened on port 0, for tests.  */
uint16_t csp_gateway_caller_port (const csp_gateway_t *gateway);
uint16_t csp_gateway_readiness_port (const csp_gateway_t *gateway);
uint16_t csp_gateway_relay_port (const csp_gateway_t *gateway);

#endif
