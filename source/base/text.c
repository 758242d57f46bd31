#include "cowslipspoke/text.h"

#include <stdint.h>
#include <string.h>

void
csp_copy_text (char *field, size_t field_bytes, const char *text)
{
  size_t size_bytes = strnlen (text, field_bytes - 1);

  memcpy (field, text, size_bytes);
  field[size_bytes] = '\0';
}

/* RFC 3629, table 3-7 of Unicode: range of the lead byte, range of the second
   byte, and length of the sequence.  */
static const struct
{
  uint8_t first;
  uint8_t last;
  uint8_t second_min;
  uint8_t second_max;
  uint8_t size_bytes;
} utf8_forms[] = {
  { 0xc2, 0xdf, 0x80, 0xbf, 2 }, { 0xe0, 0xe0, 0xa0, 0xbf, 3 },
  { 0xe1, 0xec, 0x80, 0xbf, 3 }, { 0xed, 0xed, 0x80, 0x9f, 3 },
  { 0xee, 0xef, 0x80, 0xbf, 3 }, { 0xf0, 0xf0, 0x90, 0xbf, 4 },
  { 0xf1, 0xf3, 0x80, 0xbf, 4 }, { 0xf4, 0xf4, 0x80, 0x8f, 4 },
};

/* The length of the multi-byte sequence at the start of text; 0 if it is
   invalid.  */
static size_t
sequence_length (const uint8_t *text, size_t size_bytes)
{
  size_t form = 0;
  size_t i;

  while (
      form < sizeof utf8_forms / sizeof *utf8_forms
      && (text[0] < utf8_forms[form].first || text[0] > utf8_forms[form].last))
    form++;
  if (form == sizeof utf8_forms / sizeof *utf8_forms
      || utf8_forms[form].size_bytes > size_bytes)
    return 0;
  if (text[1] < utf8_forms[form].second_min
      || text[1] > utf8_forms[form].second_max)
    return 0;
  for (i = 2; i < utf8_forms[form].size_bytes; i++)
    if (text[i] < 0x80 || text[i] > 0xbf)
      return 0;
  return utf8_forms[form].size_bytes;
}

bool
csp_is_utf8 (const char *text, size_t size_bytes)
{
  const uint8_t *bytes = (const uint8_t *)text;
  size_t position = 0;
  size_t step = 1;

  while (position < size_bytes && step > 0)
    {
      step = bytes[position] < 0x80
                 ? 1
                 : sequence_length (bytes + position, size_bytes - position);
      position += step;
    }
  return step > 0;
}
