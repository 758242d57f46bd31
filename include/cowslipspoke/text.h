#ifndef COWSLIPSPOKE_TEXT_H
#define COWSLIPSPOKE_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/* Copies a text into a field of field_bytes and truncates it to fit.  For
   names whose length was checked on input.  */
void csp_copy_text (char *field, size_t field_bytes, const char *text);

/* Whether bytes are valid UTF-8 by RFC 3629: no overlong forms, surrogates or
   code points above U+10FFFF, which other decoders read differently.  */
bool csp_is_utf8 (const char *text, size_t size_bytes);

#endif
