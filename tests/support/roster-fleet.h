#ifndef TESTS_SUPPORT_ROSTER_FLEET_H
#define TESTS_SUPPORT_ROSTER_FLEET_H

#include "cowslipspoke/roster.h"

/* The rosters of a whole fleet over a simulated network, one fleet at a
   time.  */

enum
{
  ROSTER_FLEET_DATA_CENTRES = 6,
  ROSTER_FLEET_HOSTS_MAX = 1200,
  ROSTER_FLEET_SEEDS = 3,
  ROSTER_FLEET_TICK_MS = 200,
  ROSTER_FLEET_START_MS = 1000,
  ROSTER_FLEET_START_SPREAD_MS = 300
};

typedef struct
{
  csp_roster_t *roster;
  csp_peer_address_t address;
  uint64_t boot;
  uint64_t sequence;
  int64_t started_ms;
  bool ended;
  bool paused;
  uint32_t side; /* hosts of different sides can't reach each other */
} roster_host_t;

/* Called for each hello that arrives.  */
typedef void (*roster_hello_t) (roster_host_t *from, roster_host_t *to,
                                int64_t now_ms);

/* Start hosts, the seeds later than the others.  The hello callback may be
   NULL.  */
void start_roster_fleet (size_t count, int64_t seeds_late_ms,
                         roster_hello_t on_hello);
void end_roster_fleet (void);
roster_host_t *roster_fleet_at (size_t index);
size_t roster_fleet_size (void);
roster_host_t *find_roster_host (csp_peer_address_t address);

/* Replace a host's process by a new one that knows only the seeds.  */
void restart_roster_host (roster_host_t *host, int64_t now_ms);

/* Whether datagrams between two hosts arrive.  */
bool roster_hosts_connect (const roster_host_t *from, const roster_host_t *to);

/* Exchange the hellos that are due until the given time.  */
void run_roster_fleet (int64_t *now_ms, int64_t until_ms);

/* Send one hello.  */
void deliver_roster_hello (roster_host_t *from, csp_hello_t *hello,
                           csp_peer_address_t to, int64_t now_ms);

/* Bytes of all hellos so far.  */
uint64_t roster_fleet_bytes (void);

#endif
