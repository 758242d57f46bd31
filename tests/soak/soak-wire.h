#ifndef SOAK_WIRE_H
#define SOAK_WIRE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/* HTTP/1.1 connections of the soak: of its engines and its store, which serve,
   and of its callers.  They read with the packaged parser and not with the
   product's own reader, so that a fault there shows.  */

enum
{
  WIRE_FIELDS_MAX = 32,
  WIRE_TEXT_BYTES = 512,
  WIRE_BODY_BYTES = 8192
};

typedef struct
{
  char name[48];
  char value[WIRE_TEXT_BYTES];
} wire_field_t;

/* A request, or the head of an answer.  */
typedef struct
{
  char method[16];
  char target[WIRE_TEXT_BYTES];
  uint16_t status;
  size_t field_count;
  wire_field_t fields[WIRE_FIELDS_MAX];
  size_t body_bytes;
  char body[WIRE_BODY_BYTES]; /* of a request; ends with a zero byte */
} wire_message_t;

typedef struct wire wire_t;

/* What the owner of connections is told.  */
typedef struct
{
  /* Server: a whole request came.  */
  void (*requested) (wire_t *wire, const wire_message_t *request);
  /* Client: the head of an answer, pieces of its body, and its end, which is
     told only where the framing says so.  */
  void (*answered) (wire_t *wire, const wire_message_t *head);
  void (*piece) (wire_t *wire, const char *data, size_t size_bytes);
  void (*ended) (wire_t *wire);
  /* The other side closed or reset it, or sent what can't be read; it is
     closed behind this.  */
  void (*closed) (wire_t *wire);
} wire_events_t;

typedef struct wire_listener wire_listener_t;

/* Listen at an address; port 0 takes one of the kernel's choice, which is
   written back.  NULL where it can't be had.  */
wire_listener_t *wire_listen (uv_loop_t *loop, struct sockaddr_in *address,
                              const wire_events_t *events, void *owner);
void wire_close_listener (wire_listener_t *listener);

wire_t *wire_connect (uv_loop_t *loop, const struct sockaddr_in *address,
                      const wire_events_t *events, void *owner);

void wire_send (wire_t *wire, const char *data, size_t size_bytes);
void wire_print (wire_t *wire, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Close in order, or with a reset; nothing is told behind it.  */
void wire_close (wire_t *wire);
void wire_reset (wire_t *wire);

void *wire_owner (const wire_t *wire);

/* A place for the owner's state of one connection.  */
void **wire_state (wire_t *wire);

/* A field's value; NULL where there is none.  */
const char *wire_field (const wire_message_t *message, const char *name);

#endif
