#ifndef CSP_FIELDS_IMP_H
#define CSP_FIELDS_IMP_H

#include "cowslipspoke/faults.h"

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Reads JSON objects into structs by tables, one row a key, so that type,
   bounds, default and help of a key stand in one place and every fault names
   where it is, its path, the value and what is allowed.  */

typedef enum
{
  CSP_FIELD_BOOL,    /* bool */
  CSP_FIELD_U8,      /* uint8_t */
  CSP_FIELD_U16,     /* uint16_t */
  CSP_FIELD_U32,     /* uint32_t */
  CSP_FIELD_DOUBLE,  /* double */
  CSP_FIELD_CHOICE,  /* int, index into choices */
  CSP_FIELD_CHARS,   /* char[size_bytes], copied */
  CSP_FIELD_TEXT,    /* const char *, borrowed from the JSON value */
  CSP_FIELD_STRINGS, /* const char *const *, count at count_offset */
  CSP_FIELD_OBJECT,  /* struct in place, read by fields */
  CSP_FIELD_MAP,     /* array of structs; the key goes to the first member,
                        a const char * */
  CSP_FIELD_LIST     /* array of structs */
} csp_field_type_t;

/* What a string has to look like.  */
typedef enum
{
  CSP_FORM_TEXT,    /* printable, without control characters */
  CSP_FORM_NAME,    /* letters, digits, ".", "_", "-" */
  CSP_FORM_ADDRESS, /* IPv4 or IPv6 number */
  CSP_FORM_SHA256,  /* 64 lower-case hex digits */
  CSP_FORM_PATH,    /* "/" and what follows, without a closing "/" */
  CSP_FORM_METHOD   /* capital letters */
} csp_form_t;

typedef struct csp_field csp_field_t;

struct csp_field
{
  const char *name;
  csp_field_type_t type;
  csp_form_t form;
  size_t offset;
  /* CHARS: room with the closing nul.  MAP and LIST: bytes of one struct.  */
  size_t size_bytes;
  /* MAP, LIST and STRINGS: where the size_t count is.  */
  size_t count_offset;
  /* Where a bool says that the key is there; 0 for nowhere.  */
  size_t present_offset;
  /* Numbers: bounds.  STRINGS, MAP and LIST: bounds of the count.  */
  double min;
  double max;
  /* As on a command line; NULL for zero.  */
  const char *standard;
  bool required;
  /* CHOICE and strings that are one of a few, ended by NULL.  */
  const char *const *choices;
  /* OBJECT, MAP and LIST; ended by a row without a name.  */
  const csp_field_t *fields;
  const char *help;
};

/* Memory of what was read, released at once.  */
typedef struct csp_arena csp_arena_t;

csp_arena_t *csp_create_arena (void);
void csp_destroy_arena (csp_arena_t *arena);
/* Zeroed; never NULL.  */
void *csp_allocate (csp_arena_t *arena, size_t size_bytes);
char *csp_format_text (csp_arena_t *arena, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

enum
{
  CSP_FIELD_PATH_BYTES = 512,
  CSP_FIELD_ALLOWED_BYTES = 512
};

/* A place in a file or value that is being read.  */
typedef struct
{
  const char *where;
  char path[CSP_FIELD_PATH_BYTES];
  csp_arena_t *arena;
  csp_faults_t *faults;
} csp_place_t;

/* Add ".name", or "[index]" where name is NULL, to the path; returns the
   length before, for csp_leave_place.  */
size_t csp_enter_place (csp_place_t *place, const char *name, size_t index);
void csp_leave_place (csp_place_t *place, size_t length);

/* Add a fault at the place.  value may be NULL.  */
void csp_add_place_fault (csp_place_t *place, struct json_object *value,
                          const char *text, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Set all fields of a struct to their defaults.  */
void csp_default_fields (const csp_field_t *fields, void *out);

/* Read an object over the defaults; unknown keys are faults.  */
void csp_read_fields (csp_place_t *place, const csp_field_t *fields,
                      struct json_object *object, void *out);

/* Set one plain field from text as on a command line; false with a fault where
   the text is not allowed.  */
bool csp_set_field_text (const csp_field_t *field, const char *text, void *out,
                         csp_place_t *place);

/* Write what a field allows, such as "a whole number from 0 to 65535".  */
void csp_describe_field (const csp_field_t *field,
                         char allowed[CSP_FIELD_ALLOWED_BYTES]);

/* Whether a text has a form.  */
bool csp_text_has_form (csp_form_t form, const char *text);

/* Store checked values; used by the readers of JSON and of text.  */
bool csp_store_number (const csp_field_t *field, double value, void *out);
bool csp_store_text (const csp_field_t *field, const char *text, void *out);

#endif
