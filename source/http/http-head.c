#include "http/http-imp.h"

#include <http_parser.h>
#include <string.h>
#include <strings.h>

/* Parses the head of a message: checks the raw bytes, runs the http-parser
   library, then decides how the body is framed.  */

enum
{
  /* 15 digits can't overflow 64 bits, and exceed any limit by far.  */
  LENGTH_DIGITS_MAX = 15,
  DECIMAL = 10,
  STATUS_DIGITS = 3,
  STATUS_MIN = 100,
  STATUS_SWITCHING_PROTOCOLS = 101,
  STATUS_INFORMATIONAL_END = 200,
  STATUS_NO_CONTENT = 204,
  STATUS_NOT_MODIFIED = 304,
  STATUS_END = 600
};

/* The positions that the parser's callbacks record.  The strings are
   terminated only after parsing, since a nul overwrites a byte that the parser
   still has to read.  */
typedef struct
{
  csp_http_head_t *head;
  size_t name_bytes[CSP_HTTP_FIELDS_MAX];
  size_t value_bytes[CSP_HTTP_FIELDS_MAX];
  const char *target;
  size_t target_bytes;
  bool too_many;
  bool keep_alive;
} field_spans_t;

static bool
is_name_byte (char byte)
{
  return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')
         || (byte >= '0' && byte <= '9')
         || (byte != '\0' && strchr ("!#$%&'*+-.^_`|~", byte) != NULL);
}

/* Whether a line starts with a field name of token characters, directly
   followed by a colon.  */
static bool
is_field_line (const char *line, size_t size_bytes)
{
  size_t at = 0;

  while (at < size_bytes && is_name_byte (line[at]))
    at++;
  return at > 0 && at < size_bytes && line[at] == ':';
}

/* Whether all lines end with CR LF, contain no control character except the
   tab, and, after the first one, are field lines.  That excludes folded lines,
   which begin with a blank.  */
static bool
check_raw_lines (const csp_buffer_t *bytes)
{
  const char *line = bytes->data;
  const char *end = bytes->data + bytes->size_bytes;
  bool first = true;

  while (line < end)
    {
      const char *feed = memchr (line, '\n', (size_t)(end - line));
      const char *at;

      if (feed == NULL || feed == line || feed[-1] != '\r')
        return false;
      for (at = line; at < feed - 1; at++)
        if ((unsigned char)*at < ' ' && *at != '\t')
          return false;
      if (feed - 1 > line && !first
          && !is_field_line (line, (size_t)(feed - 1 - line)))
        return false;
      first = false;
      line = feed + 1;
    }
  return true;
}

static int
on_target (http_parser *parser, const char *at, size_t size_bytes)
{
  field_spans_t *spans = parser->data;

  spans->target = at;
  spans->target_bytes = size_bytes;
  return 0;
}

static int
on_field_name (http_parser *parser, const char *at, size_t size_bytes)
{
  field_spans_t *spans = parser->data;
  csp_http_head_t *head = spans->head;

  if (head->field_count == CSP_HTTP_FIELDS_MAX)
    {
      spans->too_many = true;
      return 1;
    }
  spans->name_bytes[head->field_count] = size_bytes;
  head->fields[head->field_count].name = at;
  head->fields[head->field_count].value = "";
  head->field_count++;
  return 0;
}

static int
on_field_value (http_parser *parser, const char *at, size_t size_bytes)
{
  field_spans_t *spans = parser->data;
  csp_http_head_t *head = spans->head;

  if (head->field_count == 0)
    return 1;
  head->fields[head->field_count - 1].value = at;
  spans->value_bytes[head->field_count - 1] = size_bytes;
  return 0;
}

/* Returns 2, by which http-parser expects no body: choose_framing decides on
   the body.  */
static int
on_head_end (http_parser *parser)
{
  field_spans_t *spans = parser->data;

  spans->keep_alive = http_should_keep_alive (parser) != 0;
  return 2;
}

static void
terminate_strings (field_spans_t *spans)
{
  csp_http_head_t *head = spans->head;
  size_t i;

  for (i = 0; i < head->field_count; i++)
    {
      csp_http_field_t *field = &head->fields[i];
      size_t size_bytes = spans->value_bytes[i];

      ((char *)field->name)[spans->name_bytes[i]] = '\0';
      if (size_bytes == 0)
        {
          field->value = "";
          continue;
        }
      while (size_bytes > 0
             && (field->value[size_bytes - 1] == ' '
                 || field->value[size_bytes - 1] == '\t'))
        size_bytes--;
      ((char *)field->value)[size_bytes] = '\0';
    }
}

/* Terminate the method and the target of a request line as strings.  False if
   the target isn't a path.  */
static bool
terminate_request_line (csp_http_head_t *head, const field_spans_t *spans)
{
  char *target = (char *)spans->target;
  char *space = strchr (head->bytes.data, ' ');

  if (target == NULL || space == NULL || space + 1 != target
      || target[0] != '/')
    return false;
  *space = '\0';
  target[spans->target_bytes] = '\0';
  head->method = head->bytes.data;
  head->target = target;
  return true;
}

static bool
parse_length (const char *text, uint64_t *length_bytes)
{
  size_t digits = strspn (text, "0123456789");
  uint64_t value = 0;

  if (digits == 0 || digits > LENGTH_DIGITS_MAX || text[digits] != '\0')
    return false;
  for (; *text != '\0'; text++)
    value = value * DECIMAL + (uint64_t)(*text - '0');
  *length_bytes = value;
  return true;
}

/* Count the fields with this name; *value is set to the last one's value.  */
static size_t
count_fields (const csp_http_head_t *head, const char *name,
              const char **value)
{
  size_t count = 0;
  size_t i;

  for (i = 0; i < head->field_count; i++)
    if (strcasecmp (head->fields[i].name, name) == 0)
      {
        *value = head->fields[i].value;
        count++;
      }
  return count;
}

static bool
response_has_no_body (const csp_http_head_t *head)
{
  return head->kind == CSP_HTTP_RESPONSE
         && (head->status < STATUS_INFORMATIONAL_END
             || head->status == STATUS_NO_CONTENT
             || head->status == STATUS_NOT_MODIFIED);
}

static bool
choose_framing (csp_http_head_t *head, bool response_to_head)
{
  const char *length = NULL;
  const char *coding = NULL;
  size_t lengths = count_fields (head, "Content-Length", &length);
  size_t codings = count_fields (head, "Transfer-Encoding", &coding);

  if (lengths > 1 || codings > 1 || (lengths > 0 && codings > 0))
    return false;
  if (codings > 0
      && (strcasecmp (coding, "chunked") != 0 || head->minor_version == 0))
    return false;
  if (lengths > 0 && !parse_length (length, &head->length_bytes))
    return false;
  if (response_to_head || response_has_no_body (head))
    head->framing = CSP_BODY_NONE;
  else if (codings > 0)
    head->framing = CSP_BODY_CHUNKED;
  else if (lengths > 0)
    head->framing = head->length_bytes > 0 ? CSP_BODY_LENGTH : CSP_BODY_NONE;
  else if (head->kind == CSP_HTTP_RESPONSE)
    head->framing = CSP_BODY_UNTIL_CLOSE;
  return true;
}

static bool
check_host (const csp_http_head_t *head)
{
  const char *host = NULL;
  size_t hosts = count_fields (head, "Host", &host);

  return hosts == 1 || (hosts == 0 && head->minor_version == 0);
}

bool
csp_is_http_status_line (const char *line, size_t size_bytes)
{
  static const char version[] = "HTTP/1.";
  const size_t at = sizeof version - 1 + strlen ("1 ");
  uint32_t status = 0;
  size_t i;

  if (size_bytes <= at + STATUS_DIGITS
      || memcmp (line, version, sizeof version - 1) != 0 || line[at - 1] != ' '
      || (line[at + STATUS_DIGITS] != ' ' && line[at + STATUS_DIGITS] != '\r'))
    return false;
  for (i = at; i < at + STATUS_DIGITS; i++)
    {
      if (line[i] < '0' || line[i] > '9')
        return false;
      status = status * DECIMAL + (uint32_t)(line[i] - '0');
    }
  return status >= STATUS_MIN && status < STATUS_END
         && status != STATUS_SWITCHING_PROTOCOLS;
}

csp_http_fault_t
csp_parse_http_head (csp_http_head_t *head, bool response_to_head)
{
  static const http_parser_settings settings
      = { .on_url = on_target,
          .on_header_field = on_field_name,
          .on_header_value = on_field_value,
          .on_headers_complete = on_head_end };
  field_spans_t spans = { .head = head };
  http_parser parser;
  size_t used;

  if (!check_raw_lines (&head->bytes)
      || (head->kind == CSP_HTTP_RESPONSE
          && !csp_is_http_status_line (head->bytes.data,
                                       head->bytes.size_bytes)))
    return CSP_HTTP_MALFORMED;
  http_parser_init (&parser, head->kind == CSP_HTTP_REQUEST ? HTTP_REQUEST
                                                            : HTTP_RESPONSE);
  parser.data = &spans;
  used = http_parser_execute (&parser, &settings, head->bytes.data,
                              head->bytes.size_bytes);
  if (spans.too_many)
    return CSP_HTTP_HEAD_TOO_LARGE;
  if (used < head->bytes.size_bytes - 1
      || (HTTP_PARSER_ERRNO (&parser) != HPE_OK
          && HTTP_PARSER_ERRNO (&parser) != HPE_CB_headers_complete)
      || parser.http_major != 1 || parser.http_minor > 1)
    return CSP_HTTP_MALFORMED;
  head->minor_version = (uint8_t)parser.http_minor;
  head->status = (uint16_t)parser.status_code;
  head->keep_alive = spans.keep_alive;
  terminate_strings (&spans);
  if (head->kind == CSP_HTTP_REQUEST
      && (!terminate_request_line (head, &spans) || !check_host (head)))
    return CSP_HTTP_MALFORMED;
  return choose_framing (head, response_to_head) ? CSP_HTTP_NO_FAULT
                                                 : CSP_HTTP_MALFORMED;
}
