#ifndef COWSLIPSPOKE_BUFFER_H
#define COWSLIPSPOKE_BUFFER_H

#include <stdbool.h>
#include <stddef.h>

/* A byte queue: bytes are appended at the end and consumed from the front.  A
   zeroed value is an empty buffer.  */
typedef struct
{
  char *data;
  size_t size_bytes;
  size_t capacity_bytes;
} csp_buffer_t;

/* Appends bytes; false when memory allocation fails, and the buffer is then
   unchanged.  */
bool csp_append_buffer (csp_buffer_t *buffer, const void *data,
                        size_t size_bytes);

/* Appends text by a printf format; false when memory allocation fails.  */
bool csp_print_buffer (csp_buffer_t *buffer, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Removes bytes from the front, at most what the buffer holds.  */
void csp_consume_buffer (csp_buffer_t *buffer, size_t size_bytes);

/* Empties the buffer and frees its memory.  */
void csp_clear_buffer (csp_buffer_t *buffer);

#endif
