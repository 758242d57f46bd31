#ifndef COWSLIPSPOKE_TEXT_H
#define COWSLIPSPOKE_TEXT_H

#include <stddef.h>

/* Copy a text into a field of room_bytes, cut at its size.  For names whose
   length was checked where they came in.  */
void csp_copy_text (char *field, size_t room_bytes, const char *text);

#endif
