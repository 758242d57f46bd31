#include "http/http-imp.h"

#include <http_parser.h>
#include <string.h>
#include <strings.h>

/* Heads: raw checks first, then the packaged parser, then the rules about how
   the body is framed.  */

enum
{
  /* A length of 15 digits never overflows and is far over any limit.  */
  LENGTH_DIGITS_MAX = 15,
  DECIMAL = 10,
  STATUS_INFORMATIONAL_END = 200,
  STATUS_NO_CONTENT = 204,
  STATUS_NOT_MODIFIED = 304
};

/* What the parser's callbacks fill; spans become texts when it is done, as
   the bytes behind them may not be overwritten before.  */
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

/* A field line: a name of token characters, the colon right behind it.  */
static bool
is_field_line (const char *line, size_t size_bytes)
{
  size_t at = 0;

  while (at < size_bytes && is_name_byte (line[at]))
    at++;
  return at > 0 && at < size_bytes && line[at] == ':';
}

/* Lines end with CR LF and hold no control character but the tab; a line that
   begins with a blank would be folded onto the one before it.  */
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
take_target (http_parser *parser, const char *at, size_t size_bytes)
{
  field_spans_t *spans = parser->data;

  spans->target = at;
  spans->target_bytes = size_bytes;
  return 0;
}

static int
take_name (http_parser *parser, const char *at, size_t size_bytes)
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
take_value (http_parser *parser, const char *at, size_t size_bytes)
{
  field_spans_t *spans = parser->data;
  csp_http_head_t *head = spans->head;

  if (head->field_count == 0)
    return 1;
  head->fields[head->field_count - 1].value = at;
  spans->value_bytes[head->field_count - 1] = size_bytes;
  return 0;
}

/* The body is framed by the rules below, so the parser is told there is
   none.  */
static int
end_head (http_parser *parser)
{
  field_spans_t *spans = parser->data;

  spans->keep_alive = http_should_keep_alive (parser) != 0;
  return 2;
}

static void
close_texts (field_spans_t *spans)
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

/* Cut the method and the target of a request line into texts.  */
static bool
close_request_line (csp_http_head_t *head, const field_spans_t *spans)
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

/* Count fields of a name, and keep the last value.  */
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
answer_has_no_body (const csp_http_head_t *head)
{
  return head->side == CSP_HTTP_ANSWER
         && (head->status < STATUS_INFORMATIONAL_END
             || head->status == STATUS_NO_CONTENT
             || head->status == STATUS_NOT_MODIFIED);
}

static bool
choose_framing (csp_http_head_t *head, bool headless)
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
  if (headless || answer_has_no_body (head))
    head->framing = CSP_BODY_NONE;
  else if (codings > 0)
    head->framing = CSP_BODY_CHUNKED;
  else if (lengths > 0)
    head->framing = head->length_bytes > 0 ? CSP_BODY_LENGTH : CSP_BODY_NONE;
  else if (head->side == CSP_HTTP_ANSWER)
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

csp_http_fault_t
csp_parse_http_head (csp_http_head_t *head, bool headless)
{
  static const http_parser_settings settings
      = { .on_url = take_target,
          .on_header_field = take_name,
          .on_header_value = take_value,
          .on_headers_complete = end_head };
  field_spans_t spans = { .head = head };
  http_parser parser;
  size_t used;

  if (!check_raw_lines (&head->bytes))
    return CSP_HTTP_MALFORMED;
  http_parser_init (&parser, head->side == CSP_HTTP_REQUEST ? HTTP_REQUEST
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
  close_texts (&spans);
  if (head->side == CSP_HTTP_REQUEST
      && (!close_request_line (head, &spans) || !check_host (head)))
    return CSP_HTTP_MALFORMED;
  return choose_framing (head, headless) ? CSP_HTTP_FINE : CSP_HTTP_MALFORMED;
}
