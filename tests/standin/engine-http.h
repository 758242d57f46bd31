#ifndef STANDIN_ENGINE_HTTP_H
#define STANDIN_ENGINE_HTTP_H

#include "engine-batch.h"
#include "engine-cache.h"
#include "engine-fault.h"
#include "engine-orders.h"
#include "server.h"

/* One stand-in engine.  */
typedef struct
{
  engine_batch_t batch;
  engine_cache_t cache;
  engine_orders_t orders;
  fault_table_t faults;
} engine_t;

/* Fill in a generation from a request's body and headers.  Returns 0, or the
   HTTP status to refuse the request with.  */
int engine_read_request (engine_t *engine, struct mg_connection *conn,
                         json_object *body, generation_t *generation);

/* Send a generation's tokens, beginning with index from, over a connection
   that was attached to it.  */
int engine_send_stream (engine_t *engine, struct mg_connection *conn,
                        generation_t *generation, int64_t connection_number,
                        int64_t from, const connection_faults_t *faults);

/* The paths of docs/ENGINE.md, and those under /test/ that tests use to
   control the engine.  */
extern const standin_route_t engine_routes[];

#endif
