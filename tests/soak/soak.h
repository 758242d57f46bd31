#ifndef SOAK_H
#define SOAK_H

#include "cowslipspoke/random.h"
#include "soak/soak-proxy.h"
#include "soak/soak-wire.h"

#include <stdio.h>
#include <sys/types.h>

/* A soak: real gateways as processes of their own, between callers, engines,
   plain servers and a store that one driver plays on one event loop.  Faults
   come from outside the gateways: signals, and proxies before the store and
   before each server.  What callers and servers see is held against the
   promises of the pages while it runs.

     soak-wire    connections that speak HTTP
     soak-proxy   connections that are delayed, held, silenced, reset
     soak-store   the platform's store
     soak-server  engines and plain servers
     soak-caller  callers
     soak-host    gateways
     soak-ledger  what each request was promised, and what came of it
     soak-zone    evacuated zones, cold engines
     soak-poison  requests that end servers
     soak-announce    what servers say of themselves in answers
     soak-plan    which faults come when  */

enum
{
  SOAK_HOSTS_MAX = 400,
  SOAK_SERVERS_MAX = 256,
  SOAK_REQUESTS_MAX = 400000,
  SOAK_ID_BYTES = 24,
  SOAK_ENGINES = 6,
  SOAK_PLAIN = 3, /* of each of two plain services */
  /* Bounds of the pages, as the usual deployment has them.  */
  SOAK_DRAIN_MS = 2000,
  SOAK_APPLY_MS = 2000,
  SOAK_CONTACT_MS = 3000,
  SOAK_GRACE_MS = 8000,
  SOAK_ZONES = 3,
  /* The pages allow 5 s; the system's own aim is 1 s, and a busy machine adds
     to it.  */
  SOAK_EVACUATE_MS = 2500,
  /* A cold engine stands 4 requests a second, half as many more, and 3.  */
  SOAK_COLD_MS = 2000,
  SOAK_COLD_PER_S = 4,
  SOAK_COLD_BOUND = 9
};

typedef enum
{
  KIND_SAFE,
  KIND_ONCE,
  KIND_STREAM,
  KIND_COUNT
} kind_t;

/* One request of a caller.  */
typedef struct server server_t;

typedef struct
{
  kind_t kind;
  const server_t *server; /* where it ran last; NULL: nowhere */
  uint16_t host;
  uint32_t host_boot;
  uint64_t sent_ms;
  uint64_t deadline_ms; /* when its caller's time is over */
  uint64_t left_ms;     /* when its caller hung up; 0: it didn't */
  uint64_t answered_ms; /* final answer; 0: none */
  uint16_t status;      /* of the answer; 0: none, or cut */
  uint32_t length;      /* events of the whole stream */
  uint16_t runs;        /* begun anew, not gone on with */
  uint16_t running;     /* at servers now */
  uint32_t events;      /* that the caller has got */
  uint32_t poison;      /* number of its series, see soak-poison; 0: none */
  bool complete;
} request_t;

typedef struct
{
  char name[24];
  struct sockaddr_in front;
  struct sockaddr_in ready;
  struct sockaddr_in peers;
  struct sockaddr_in store; /* its proxy before the store */
  proxy_t *store_proxy;
  pid_t pid; /* 0: not running */
  uint32_t boot;
  bool stopped;
  bool terminating;
  bool in_rotation;
  uint8_t misses;
  uint64_t started_ms;
  uint64_t frozen_ms; /* last time that it was, or went on */
  uint64_t terminated_ms;
  uint64_t restart_at_ms;
  uint64_t continue_at_ms;
  uint64_t store_heals_ms;
  /* In touch again only a while behind the end of the last fault.  */
  uint64_t disturbed_until_ms;
  uint32_t flips_seen; /* newest switch of routes that it showed */
  uint64_t flips_seen_ms;
} host_t;

typedef struct soak soak_t;
typedef struct store store_t;
typedef struct callers callers_t;
typedef struct poison poison_t;

struct soak
{
  uv_loop_t loop;
  csp_random_t random;
  uint64_t seed;
  uint64_t began_ms;
  uint64_t length_ms;
  const char *program;
  char work[256];
  char address[24]; /* first three numbers of the loopback addresses */
  bool quiet_end;   /* no more faults; callers go on */
  bool zones;       /* zones are evacuated, new engines are cold */
  csp_random_t zone_random;
  bool plays_poison;
  poison_t *poison; /* NULL: none is played */
  csp_random_t poison_random;
  bool announces; /* servers say in answers that they leave, or want a wait */
  csp_random_t announce_random;
  uint64_t evacuated_ms[SOAK_ZONES]; /* acknowledged then; 0: it isn't */
  uint64_t evacuated_until_ms[SOAK_ZONES];
  size_t host_count;
  host_t hosts[SOAK_HOSTS_MAX];
  size_t server_count;
  server_t *servers[SOAK_SERVERS_MAX];
  store_t *store;
  callers_t *callers;
  uint64_t store_disturbed_until_ms;
  uint64_t flip_ms[64]; /* when each switch of routes was acknowledged */
  uint32_t flips;
  size_t request_count;
  request_t *requests;
  uint32_t violations;
  uint32_t cut; /* unanswered, by hosts that nothing had happened to */
  uint32_t faults;
  FILE *journal; /* faults and violations, with times */
};

uint64_t soak_now_ms (const soak_t *soak);

/* Write a line to the journal, and for a violation to standard output.  */
void soak_note (soak_t *soak, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void soak_violation (soak_t *soak, const char *rule, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* A loopback address of this soak.  */
struct sockaddr_in soak_address (const soak_t *soak, unsigned last,
                                 uint16_t port);
void soak_print_address (const struct sockaddr_in *address, char text[32]);

/* Store.  */
store_t *store_open (soak_t *soak, struct sockaddr_in *address);
void store_put (store_t *store, const char *key, const char *value);
void store_delete (store_t *store, const char *key);
typedef enum
{
  STORE_WELL,
  STORE_SILENT,
  STORE_BUSY, /* 503 to all */
  STORE_SLOW
} store_mode_t;
void store_set_mode (store_t *store, store_mode_t mode);
void store_compact (store_t *store);

/* Publish the configuration; which of the two plain services serves follows
   from the number of flips.  */
void soak_publish (soak_t *soak);

/* Servers.  */
typedef enum
{
  SERVER_READY,
  SERVER_LEAVING, /* listed so, or removed without notice; it still serves */
  SERVER_GONE
} server_state_t;

void server_open (soak_t *soak, const char *service);
const char *server_service (const server_t *server);
server_state_t server_state (const server_t *server);

/* It is told to leave and goes after for_ms; silently: only its row goes.  */
void server_leave (server_t *server, uint64_t for_ms, bool silently);
void server_crash (server_t *server);
void server_hang (server_t *server, uint64_t for_ms);

/* It misbehaves for a while: errors, lost answers, broken answers.  */
void server_spoil (server_t *server, uint64_t for_ms);
proxy_t *server_proxy (server_t *server);

/* Its proxy is spoiled until then; for the ledger.  */
void server_disturb (server_t *server, uint64_t until_ms);

/* Whether it has been well for a while, and stays.  */
bool server_is_calm (const server_t *server);

/* Called some times a second.  */
void server_tick (server_t *server);

/* Hosts.  */
void host_start (soak_t *soak, host_t *host);
void host_signal (soak_t *soak, host_t *host, int number);
void host_tick (soak_t *soak, host_t *host);
void host_disturb (soak_t *soak, host_t *host, uint64_t for_ms);
bool host_in_touch (const soak_t *soak, const host_t *host);
void host_end_all (soak_t *soak);
void host_exited (soak_t *soak, pid_t pid, int status);

/* Callers.  */
callers_t *callers_open (soak_t *soak, size_t count);
void callers_stop (callers_t *callers);

/* Ledger: a request's id is its number.  */
request_t *ledger_add (soak_t *soak, kind_t kind, size_t host,
                       char id[SOAK_ID_BYTES]);
request_t *ledger_find (soak_t *soak, const char *id);

/* A server begins to work on a request; resumed: it goes on with a run.  */
void ledger_run (soak_t *soak, const wire_message_t *message,
                 const server_t *server, bool resumed);
void ledger_run_ended (soak_t *soak, const char *id);
void ledger_answer (soak_t *soak, request_t *request, uint16_t status);

/* Its connection ended before its answer was whole.  */
void ledger_cut (soak_t *soak, request_t *request, const char *id);

/* The bounds that hold over the whole soak.  */
void ledger_close (soak_t *soak);

/* What the caller of a request sends, and gets.  */
void ledger_body (const char *id, char text[WIRE_TEXT_BYTES]);
void ledger_event (const char *id, uint32_t number, char text[128]);
uint32_t ledger_length (const soak_t *soak, const char *id);

/* Zones: in which a server or host of a number stands, and what a request that
   reaches a server may not do.  */
const char *zone_name (const soak_t *soak, size_t number);
void zone_tick (soak_t *soak);
void zone_check (server_t *server, const wire_message_t *message);

/* Poison: requests that end each server that runs them; the text of one, and
   whether one that reaches a server should not.  */
void poison_open (soak_t *soak);
void poison_tick (soak_t *soak);
void poison_body (uint32_t series, char text[WIRE_TEXT_BYTES]);
void poison_check (server_t *server, const request_t *request);
void poison_close (soak_t *soak);

/* Announce: what servers tell hosts in their answers.  The head of an answer
   has come to a caller.  */
void announce_open (soak_t *soak);
void announce_tick (soak_t *soak);
void announce_passed_on (soak_t *soak, const request_t *request,
                         const wire_message_t *head);

/* A request reaches a server: check what the server has told its host.  True
   where it was turned away.  */
bool announce_turns_away (server_t *server, wire_t *wire,
                          const wire_message_t *message);

/* Plan: faults, until the quiet end.  */
void plan_tick (soak_t *soak);

#endif
