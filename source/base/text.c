#include "cowslipspoke/text.h"

#include <string.h>

void
csp_copy_text (char *field, size_t room_bytes, const char *text)
{
  size_t size_bytes = strnlen (text, room_bytes - 1);

  memcpy (field, text, size_bytes);
  field[size_bytes] = '\0';
}
