#ifndef COWSLIPSPOKE_TEXT_H
#define COWSLIPSPOKE_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/* Copy a text into a field of room_bytes, cut at its size.  For names whose
   length was checked where they came in.  */
void csp_copy_text (char *field, size_t room_bytes, const char *text);

/* Whether bytes are UTF-8 as RFC 3629 has it: no overlong forms, surrogates
   or numbers behind U+10FFFF, which readers take for different texts.  */
bool csp_is_utf8 (const char *text, size_t size_bytes);

#endif
