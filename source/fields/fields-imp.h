#ifndef CSP_FIELDS_IMP_H
#define CSP_FIELDS_IMP_H

#include "cowslipspoke/faults.h"

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Reads JSON objects into structs by tables with one row per key.  The row
   holds the type, bounds, default and help of its key, and each fault names
   its file, path and line, the value and what is allowed.  */

typedef enum
{
  CSP_FIELD_BOOL,    /* bool */
  CSP_FIELD_U8,      /* uint8_t */
  CSP_FIELD_U16,     /* uint16_t */
  CSP_FIELD_U32,     /* uint32_t */
  CSP_FIELD_DOUBLE,  /* double */
  CSP_FIELD_CHOICE,  /* int, index into choices */
  CSP_FIELD_CHARS,   /* char[size_bytes], copied */
  CSP_FIELD_TEXT,    /* const char *, owned by the JSON value */
  CSP_FIELD_STRINGS, /* const char *const *, count at count_offset */
  CSP_FIELD_OBJECT,  /* embedded struct, read by fields */
  CSP_FIELD_MAP,     /* array of structs; the key is stored in the first
                        member, a const char * */
  CSP_FIELD_LIST     /* array of structs */
} csp_field_type_t;

/* The syntax of a string.  */
typedef enum
{
  CSP_FORM_TEXT,    /* printable, without control characters */
  CSP_FORM_NAME,    /* letters, digits, ".", "_", "-" */
  CSP_FORM_ADDRESS, /* IPv4 or IPv6 address */
  CSP_FORM_SHA256,  /* 64 lower-case hex digits */
  CSP_FORM_PATH,    /* starts with "/", has more and doesn't end with "/" */
  CSP_FORM_METHOD   /* HTTP method, upper-case letters */
} csp_form_t;

typedef struct csp_field csp_field_t;

struct csp_field
{
  const char *name;
  csp_field_type_t type;
  csp_form_t form;
  size_t offset;
  /* CHARS: size of the array with the terminating NUL.  MAP and LIST: size of
     one struct.  */
  size_t size_bytes;
  /* MAP, LIST and STRINGS: offset of the size_t that gets the count.  */
  size_t count_offset;
  /* Offset of a bool that is set when the key is present; 0 for none.  */
  size_t present_offset;
  /* Numbers: bounds of the value.  STRINGS, MAP and LIST: bounds of the
     count.  */
  double min;
  double max;
  /* The default, written as on a command line; NULL for zero.  */
  const char *default_setting;
  bool required;
  /* CHOICE, and strings with a fixed set of values: the values, terminated by
     NULL.  */
  const char *const *choices;
  /* OBJECT, MAP and LIST: the rows of the struct, terminated by a row without
     a name.  */
  const csp_field_t *fields;
  const char *help;
};

/* An allocator for the data that was read; all of it is freed at once.  */
typedef struct csp_arena csp_arena_t;

csp_arena_t *csp_create_arena (void);
void csp_destroy_arena (csp_arena_t *arena);
/* Returns zeroed memory; never NULL, as the process aborts without memory.  */
void *csp_allocate (csp_arena_t *arena, size_t size_bytes);
char *csp_format_text (csp_arena_t *arena, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

enum
{
  CSP_FIELD_PATH_BYTES = 512,
  CSP_FIELD_ALLOWED_BYTES = 512
};

/* The position in the JSON value that is being read: the file or key (where)
   and the path inside it.  */
typedef struct
{
  const char *where;
  char path[CSP_FIELD_PATH_BYTES];
  csp_arena_t *arena;
  csp_faults_t *faults;
} csp_json_position_t;

/* Appends ".name", or "[index]" where name is NULL, to the path.  Returns the
   previous length, to which csp_pop_path truncates the path again.  */
size_t csp_push_path (csp_json_position_t *position, const char *name,
                      size_t index);
void csp_pop_path (csp_json_position_t *position, size_t length);

/* Adds a fault at the position, with the line of value, which may be NULL.  */
void csp_add_fault_at (csp_json_position_t *position,
                       struct json_object *value, const char *text, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Sets all fields of a struct to their defaults.  */
void csp_set_default_fields (const csp_field_t *fields, void *out);

/* Sets the defaults, then reads an object over them; unknown keys are
   faults.  */
void csp_read_fields (csp_json_position_t *position, const csp_field_t *fields,
                      struct json_object *object, void *out);

/* Sets one field, no list or struct, from a command line's text.  Returns
   false with a fault where the text is not allowed.  */
bool csp_set_field_text (const csp_field_t *field, const char *text, void *out,
                         csp_json_position_t *position);

/* Describes the values that a field allows, such as "a whole number from 0 to
   65535".  */
void csp_describe_field (const csp_field_t *field,
                         char allowed[CSP_FIELD_ALLOWED_BYTES]);

/* Whether a text has the syntax of a form.  */
bool csp_text_has_form (csp_form_t form, const char *text);

/* Checks a value and stores it in the field of out.  Returns false where the
   value is not allowed.  */
bool csp_store_number (const csp_field_t *field, double value, void *out);
bool csp_store_text (const csp_field_t *field, const char *text, void *out);

#endif
