#ifndef COWSLIPSPOKE_BUFFER_H
#define COWSLIPSPOKE_BUFFER_H

#include <stdbool.h>
#include <stddef.h>

/* Bytes that grow at their end and are taken from their front.  A zeroed
   value is an empty buffer.  */
typedef struct
{
  char *data;
  size_t size_bytes;
  size_t room_bytes;
} csp_buffer_t;

/* Add bytes; false when memory fails, and the buffer is then as before.  */
bool csp_append_buffer (csp_buffer_t *buffer, const void *data,
                        size_t size_bytes);

/* Add text by a printf format; false when memory fails.  */
bool csp_print_buffer (csp_buffer_t *buffer, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Take bytes from the front; at most what is there.  */
void csp_consume_buffer (csp_buffer_t *buffer, size_t size_bytes);

/* Empty the buffer and give its memory back.  */
void csp_clear_buffer (csp_buffer_t *buffer);

#endif
