#include "cowslipspoke/text.h"

#include <stdint.h>
#include <string.h>

void
csp_copy_text (char *field, size_t room_bytes, const char *text)
{
  size_t size_bytes = strnlen (text, room_bytes - 1);

  memcpy (field, text, size_bytes);
  field[size_bytes] = '\0';
}

/* RFC 3629, table 3-7 of Unicode: lead bytes, the bounds of the byte behind
   them, and the length of the whole.  */
static const struct
{
  uint8_t first;
  uint8_t last;
  uint8_t second_min;
  uint8_t second_max;
  uint8_t size_bytes;
} forms[] = {
  { 0xc2, 0xdf, 0x80, 0xbf, 2 }, { 0xe0, 0xe0, 0xa0, 0xbf, 3 },
  { 0xe1, 0xec, 0x80, 0xbf, 3 }, { 0xed, 0xed, 0x80, 0x9f, 3 },
  { 0xee, 0xef, 0x80, 0xbf, 3 }, { 0xf0, 0xf0, 0x90, 0xbf, 4 },
  { 0xf1, 0xf3, 0x80, 0xbf, 4 }, { 0xf4, 0xf4, 0x80, 0x8f, 4 },
};

/* The length of the character of several bytes that begins here; 0 where none
   does.  */
static size_t
measure_character (const uint8_t *text, size_t size_bytes)
{
  size_t row = 0;
  size_t i;

  while (row < sizeof forms / sizeof *forms
         && (text[0] < forms[row].first || text[0] > forms[row].last))
    row++;
  if (row == sizeof forms / sizeof *forms
      || forms[row].size_bytes > size_bytes)
    return 0;
  if (text[1] < forms[row].second_min || text[1] > forms[row].second_max)
    return 0;
  for (i = 2; i < forms[row].size_bytes; i++)
    if (text[i] < 0x80 || text[i] > 0xbf)
      return 0;
  return forms[row].size_bytes;
}

bool
csp_is_utf8 (const char *text, size_t size_bytes)
{
  const uint8_t *bytes = (const uint8_t *)text;
  size_t at = 0;
  size_t step = 1;

  while (at < size_bytes && step > 0)
    {
      step = bytes[at] < 0x80
                 ? 1
                 : measure_character (bytes + at, size_bytes - at);
      at += step;
    }
  return step > 0;
}
