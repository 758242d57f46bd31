#include "engine-http.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

enum
{
  EVENT_BYTES = 1024
};

static void
sleep_ms (int64_t ms)
{
  struct timespec time
      = { ms / STANDIN_MS_PER_S, (ms % STANDIN_MS_PER_S) * STANDIN_NS_PER_MS };

  nanosleep (&time, NULL);
}

static bool
send_response_head (struct mg_connection *conn)
{
  return mg_printf (conn, "HTTP/1.1 200 OK\r\n"
                          "Content-Type: text/event-stream\r\n"
                          "Cache-Control: no-cache\r\n"
                          "Transfer-Encoding: chunked\r\n"
                          "Connection: close\r\n\r\n")
         > 0;
}

/* Send one token; foreign gives it the id of another generation.  */
static bool
send_token (struct mg_connection *conn, const generation_t *generation,
            int64_t index, const char *finish_reason, bool foreign)
{
  const char *suffix = foreign ? ".foreign" : "";
  char text[ENGINE_ID_BYTES + 64];
  char event[EVENT_BYTES];
  int size;

  snprintf (text, sizeof text, "w%lld.%s%s ", (long long)index,
            generation->mark, suffix);
  size = snprintf (
      event, sizeof event,
      generation->chat
          ? "data: {\"id\":\"%s%s\",\"object\":\"chat.completion.chunk\","
            "\"model\":\"%s\",\"choices\":[{\"index\":0,\"delta\":"
            "{\"content\":\"%s\"},\"finish_reason\":%s}],"
            "\"token\":{\"generation\":\"%s%s\",\"index\":%lld}}\n\n"
          : "data: {\"id\":\"%s%s\",\"object\":\"text_completion\","
            "\"model\":\"%s\",\"choices\":[{\"index\":0,"
            "\"text\":\"%s\",\"finish_reason\":%s}],"
            "\"token\":{\"generation\":\"%s%s\",\"index\":%lld}}\n\n",
      generation->id, suffix, generation->model, text, finish_reason,
      generation->id, suffix, (long long)index);
  return standin_send_chunk (conn, event, (size_t)size);
}

static const char *
get_finish_reason (const generation_t *generation, int64_t index)
{
  if (index + 1 < generation->length)
    return "null";
  return generation->truncated ? "\"length\"" : "\"stop\"";
}

/* Send token index with the faults that apply to it; false when the
   connection is to be closed.  */
static bool
send_faulty_token (struct mg_connection *conn, const generation_t *generation,
                   int64_t index, const char *finish_reason,
                   const connection_faults_t *faults)
{
  const int64_t *fault_index = faults->index;

  if (index != fault_index[FAULT_GAP]
      && !send_token (conn, generation, index, finish_reason,
                      index == fault_index[FAULT_FOREIGN]))
    return false;
  if (index == fault_index[FAULT_DUPLICATE]
      && !send_token (conn, generation, index, finish_reason, false))
    return false;
  if (index == fault_index[FAULT_DIE_AFTER])
    _Exit (1);
  if (index == fault_index[FAULT_STALL_AFTER])
    sleep_ms (faults->for_ms[FAULT_STALL_AFTER]);
  return index != fault_index[FAULT_CUT_AFTER];
}

/* The result of a wait for a token.  A stream is aborted when its generation
   has a newer connection, or was cancelled or dropped.  */
typedef enum
{
  WAIT_TOKEN_READY,
  WAIT_STREAM_ENDED,
  WAIT_STREAM_ABORTED
} wait_result_t;

/* Wait until token index can be sent on a connection, or the stream ends.  */
static wait_result_t
wait_for_token (engine_batch_t *batch, generation_t *generation,
                int64_t connection_number, int64_t index)
{
  wait_result_t result = WAIT_STREAM_ABORTED;

  pthread_mutex_lock (&batch->lock);
  while (generation->connection_count == connection_number
         && engine_is_resumable (generation)
         && generation->state != GENERATION_DONE
         && generation->produced_tokens <= index)
    pthread_cond_wait (&generation->changed, &batch->lock);
  if (generation->connection_count == connection_number
      && engine_is_resumable (generation))
    result = generation->produced_tokens > index ? WAIT_TOKEN_READY
                                                 : WAIT_STREAM_ENDED;
  pthread_mutex_unlock (&batch->lock);
  return result;
}

static void
send_tokens (engine_t *engine, struct mg_connection *conn,
             generation_t *generation, int64_t connection_number, int64_t from,
             const connection_faults_t *faults)
{
  static const char done[] = "data: [DONE]\n\n";
  wait_result_t result;
  int64_t index;

  for (index = from;; index++)
    {
      result = wait_for_token (&engine->batch, generation, connection_number,
                               index);
      if (result != WAIT_TOKEN_READY)
        break;
      if (!send_faulty_token (conn, generation, index,
                              get_finish_reason (generation, index), faults))
        return;
    }
  if (result == WAIT_STREAM_ABORTED)
    return;
  if (faults->index[FAULT_NO_DONE] < 0)
    standin_send_chunk (conn, done, strlen (done));
  standin_send_chunk (conn, "", 0);
}

int
engine_send_stream (engine_t *engine, struct mg_connection *conn,
                    generation_t *generation, int64_t connection_number,
                    int64_t from, const connection_faults_t *faults)
{
  if (faults->index[FAULT_LATE_HEAD] >= 0)
    sleep_ms (faults->for_ms[FAULT_LATE_HEAD]);
  if (faults->index[FAULT_CUT_HEAD] < 0 && send_response_head (conn))
    send_tokens (engine, conn, generation, connection_number, from, faults);
  pthread_mutex_lock (&engine->batch.lock);
  engine_detach_connection (generation, connection_number);
  pthread_mutex_unlock (&engine->batch.lock);
  return 200;
}
