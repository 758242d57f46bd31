#ifndef SOAK_SERVER_IMP_H
#define SOAK_SERVER_IMP_H

#include "soak/soak.h"

/* soak-server.c: requests, leaving, failing.  soak-move.c: copies of runs.  */

enum
{
  RUNS_MAX = 64,
  COPIES_MAX = 64,
  ID_BYTES = 32,
  ADDRESS_BYTES = 32
};

/* A request at work.  */
typedef struct run
{
  bool used;
  server_t *server;
  wire_t *wire; /* NULL: its stream was closed by a stop */
  char id[SOAK_ID_BYTES];
  uint32_t next_event;
  uint32_t length; /* 0: a plain request */
  bool head_sent;
  bool moving;
  char backup[ADDRESS_BYTES];
  uv_timer_t timer;
} run_t;

/* A copy of a run's memory, or what a stopped run left.  */
typedef struct
{
  char handle[ID_BYTES];
  char id[SOAK_ID_BYTES];
  bool used;
} copy_t;

/* What a server has told one start of a host.  */
typedef struct
{
  uint32_t boot;
  uint64_t leaving_ms; /* an answer that says so came through; 0: none */
  uint64_t wait_from_ms;
  uint64_t wait_until_ms;
  uint32_t arrivals; /* within that wait */
} announced_t;

struct server
{
  soak_t *soak;
  size_t number;
  char id[ID_BYTES];
  char service[ID_BYTES];
  char address[ADDRESS_BYTES]; /* as listed: its proxy */
  struct sockaddr_in listed;
  wire_listener_t *listener;
  proxy_t *proxy;
  server_state_t state;
  bool silently;
  uint64_t left_ms; /* when its leaving was acknowledged */
  uint64_t gone_at_ms;
  uint64_t lapses_at_ms; /* its row goes; 0: it is gone, or lives */
  uint64_t hangs_until_ms;
  uint64_t spoiled_until_ms;
  uint64_t disturbed_until_ms;
  uint64_t cold_until_ms;
  uint64_t untold_until_ms; /* it leaves, and the store isn't told before */
  uint64_t swamped_until_ms;
  announced_t *announced; /* one for each host; NULL: none was told any */
  uint64_t arrivals;
  uint64_t arrivals_ms[SOAK_COLD_BOUND]; /* of the last requests, in turn */
  uint64_t beat_ms;
  uint32_t beats;
  uint32_t next_handle;
  size_t copy_count;
  copy_t copies[COPIES_MAX];
  run_t *runs[RUNS_MAX];
};

/* The run is over; its connection stays.  */
void server_end_run (run_t *run);

/* Begin to work on a request, from an event on.  */
void server_begin_run (server_t *server, wire_t *wire,
                       const wire_message_t *message, uint32_t first_event);

/* The server that is listed at an address; NULL where none is.  */
server_t *server_find (soak_t *soak, const char *address, size_t size_bytes);

/* A copy of a run's memory lies at a server.  */
void server_add_copy (server_t *server, const char *handle, const char *id);

/* Go on with a run from "ADDRESS/HANDLE" behind an event.  */
void server_resume_run (server_t *server, wire_t *wire,
                        const wire_message_t *message, const char *from);

/* Copy a run's memory elsewhere, or stop the run for the rest.  */
void server_take_move (server_t *server, wire_t *wire,
                       const wire_message_t *message);

/* The field of its answers that says that it leaves; "" while it doesn't.  */
const char *server_leaving_field (const server_t *server);

/* Whether the server ends under what it runs; the run is over then.  */
bool poison_ends (run_t *run);

/* Who asked for a copy has gone.  */
void server_forget_asker (void *asker);

#endif
