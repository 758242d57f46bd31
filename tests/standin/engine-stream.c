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
send_head (struct mg_connection *conn)
{
  return mg_printf (conn, "HTTP/1.1 200 OK\r\n"
                          "Content-Type: text/event-stream\r\n"
                          "Cache-Control: no-cache\r\n"
                          "Transfer-Encoding: chunked\r\n"
                          "Connection: close\r\n\r\n")
         > 0;
}

/* One token; foreign marks it as another generation's.  */
static bool
send_token (struct mg_connection *conn, const generation_t *generation,
            int64_t index, const char *finish, bool foreign)
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
      generation->id, suffix, generation->model, text, finish, generation->id,
      suffix, (long long)index);
  return standin_send_chunk (conn, event, (size_t)size);
}

static const char *
finish_of (const generation_t *generation, int64_t index)
{
  if (index + 1 < generation->length)
    return "null";
  return generation->shortened ? "\"length\"" : "\"stop\"";
}

/* Send token index with the faults that strike there; false when the link
   ends with it.  */
static bool
send_faulty_token (struct mg_connection *conn, const generation_t *generation,
                   int64_t index, const char *finish,
                   const link_faults_t *faults)
{
  const int64_t *at = faults->index;

  if (index != at[FAULT_GAP]
      && !send_token (conn, generation, index, finish,
                      index == at[FAULT_FOREIGN]))
    return false;
  if (index == at[FAULT_DUPLICATE]
      && !send_token (conn, generation, index, finish, false))
    return false;
  if (index == at[FAULT_DIE_AFTER])
    _Exit (1);
  if (index == at[FAULT_STALL_AFTER])
    sleep_ms (faults->for_ms[FAULT_STALL_AFTER]);
  return index != at[FAULT_CUT_AFTER];
}

typedef enum
{
  NEXT_TOKEN,
  NEXT_END,
  NEXT_GONE
} next_t;

/* Wait for token index of a link.  */
static next_t
wait_token (engine_batch_t *batch, generation_t *generation, int64_t link,
            int64_t index)
{
  next_t next = NEXT_GONE;

  pthread_mutex_lock (&batch->lock);
  while (generation->links == link && engine_has_generation (generation)
         && generation->state != GENERATION_DONE && generation->made <= index)
    pthread_cond_wait (&generation->news, &batch->lock);
  if (generation->links == link && engine_has_generation (generation))
    next = generation->made > index ? NEXT_TOKEN : NEXT_END;
  pthread_mutex_unlock (&batch->lock);
  return next;
}

static void
send_tokens (engine_t *engine, struct mg_connection *conn,
             generation_t *generation, int64_t link, int64_t from,
             const link_faults_t *faults)
{
  static const char done[] = "data: [DONE]\n\n";
  next_t next;
  int64_t index;

  for (index = from;; index++)
    {
      next = wait_token (&engine->batch, generation, link, index);
      if (next != NEXT_TOKEN)
        break;
      if (!send_faulty_token (conn, generation, index,
                              finish_of (generation, index), faults))
        return;
    }
  if (next == NEXT_GONE)
    return;
  if (faults->index[FAULT_NO_DONE] < 0)
    standin_send_chunk (conn, done, strlen (done));
  standin_send_chunk (conn, "", 0);
}

int
engine_send_stream (engine_t *engine, struct mg_connection *conn,
                    generation_t *generation, int64_t link, int64_t from,
                    const link_faults_t *faults)
{
  if (faults->index[FAULT_LATE_HEAD] >= 0)
    sleep_ms (faults->for_ms[FAULT_LATE_HEAD]);
  if (faults->index[FAULT_CUT_HEAD] < 0 && send_head (conn))
    send_tokens (engine, conn, generation, link, from, faults);
  pthread_mutex_lock (&engine->batch.lock);
  engine_close_link (generation, link);
  pthread_mutex_unlock (&engine->batch.lock);
  return 200;
}
