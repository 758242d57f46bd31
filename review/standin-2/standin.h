#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Stand-ins for one test: the platform's store, an HTTP/1.1 server and client,
   and the start of a gateway.  Each connection has a thread.  */

enum
{
  HEAD_BYTES = 16384,
  BODY_BYTES = 65536,
  ID_BYTES = 64,
  PATH_BYTES = 512
};

/* Milliseconds of the monotonic clock since the test began.  */
int64_t now_ms (void);
void sleep_ms (int64_t time_ms);
void sleep_until_ms (int64_t at_ms);

/* Opens the record and writes lines to it, each with the time.  */
void open_record (const char *path);
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/* Whether the disruption is on: TROUBLE isn't "0".  */
bool has_trouble (void);

/* Ends the test because it couldn't run.  */
void give_up (const char *what) __attribute__ ((noreturn));

/* Reads a head and, by its Content-Length, a body.  */
typedef struct
{
  int fd;
  char buffer[HEAD_BYTES + BODY_BYTES];
  size_t size_bytes;
  size_t message_bytes; /* of the message that was read last */
} reader_t;

typedef struct
{
  char method[16];
  char path[PATH_BYTES];
  char head[HEAD_BYTES];
  char body[BODY_BYTES];
  size_t body_bytes;
} request_t;

/* False at the end of the connection.  */
bool read_request (reader_t *reader, request_t *request);

/* The value of a header in a head, or "".  */
const char *find_header (const char *head, const char *name, char *value,
                         size_t value_bytes);
bool send_text (int fd, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Closes a connection by a reset.  */
void reset_connection (int fd);

/* A listener; handle serves one connection and returns when it is over; the
   connection is closed afterwards.  */
typedef struct
{
  char ip[INET_ADDRSTRLEN];
  uint16_t port;
  int fd;
  void (*handle) (void *state, int fd);
  void *state;
} listener_t;

void start_listener (listener_t *listener, const char *ip, uint16_t port,
                     void (*handle) (void *state, int fd), void *state);
/* Refuses further connections.  */
void stop_listener (listener_t *listener);
uint16_t find_free_port (const char *ip);

/* The platform's store.  */
void start_store (void);
uint16_t store_port (void);
/* One more address of the store, for the next gateway; *calls counts what is
   asked there.  */
uint16_t add_store_address (int *calls);
void put_item (const char *key, const char *value);
void delete_item (const char *key);
/* While it is busy, the store answers all calls with 503.  */
void set_store_busy (bool busy);

/* One answer to a client.  status 0: the connection ended without a whole
   answer; cut: it had begun.  */
typedef struct
{
  int status;
  bool cut;
  bool closes;
  char head[HEAD_BYTES];
  char body[BODY_BYTES];
  size_t body_bytes;
} answer_t;

typedef struct
{
  reader_t reader;
  const char *ip;
  uint16_t port;
  unsigned answered; /* on this connection */
} client_t;

/* Opens the connection if it is closed, and sends a request.  */
bool send_client_request (client_t *client, const char *text);
/* Reads the answer, and closes the connection unless it is kept.  */
void read_answer (client_t *client, answer_t *answer);
void close_client (client_t *client);

/* A gateway, started by the command of the deploy file.  */
typedef struct
{
  char name[32];
  char ip[INET_ADDRSTRLEN];
  char zone[32];
  uint16_t callers;
  uint16_t readiness;
  uint16_t peers;
  uint16_t metrics;
  uint16_t store;  /* 0: the store's first address */
  bool has_source; /* connections to servers come from its own address */
  pid_t pid;
  int end_status; /* of waitpid; -1: it runs */
} gateway_t;

void start_gateway (gateway_t *gateway, const char *name, const char *ip,
                    const char *zone, uint32_t retry_extra);
/* Waits until it is ready; false after limit_ms.  */
bool await_ready (const gateway_t *gateway, int64_t limit_ms);
/* The value of one of its metrics; -1: it can't be read.  */
double read_metric (const gateway_t *gateway, const char *name);
/* Whether it still runs.  */
bool gateway_runs (gateway_t *gateway);
void stop_gateway (gateway_t *gateway);
/* Ends all gateways that this test started.  */
void stop_all_gateways (void);

#endif
