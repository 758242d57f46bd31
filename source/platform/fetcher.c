#include "cowslipspoke/fetcher.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "target/http-imp.h"

enum
{
  MAX_THREADS = 32,
  RESPONSE_MAX_BYTES = 64 << 20,
  CONNECT_TIMEOUT_MS = 1000,
  HTTP_OK = 200,
  PATH_BYTES = 256
};

typedef struct fetch_job
{
  struct fetch_job *next;
  csp_endpoint_t endpoint;
  char path[PATH_BYTES];
  char *post_body;
  uint32_t timeout_ms;
  csp_fetch_done_t done;
  csp_may_send_t may_send;
  csp_post_done_t post_done; /* NULL for reads */
  void *state;
  csp_fetcher_t *fetcher;
  char *response;
  size_t response_bytes;
} fetch_job_t;

struct csp_fetcher
{
  pthread_mutex_t lock;
  pthread_cond_t job_available;
  fetch_job_t *head;
  fetch_job_t **tail;
  bool stopping;
  uint32_t thread_count;
  pthread_t threads[MAX_THREADS];
};

static size_t
append_response (char *data, size_t unit, size_t count, void *state)
{
  fetch_job_t *job = state;
  size_t size_bytes = unit * count;
  char *response;

  if (job->response_bytes + size_bytes > RESPONSE_MAX_BYTES)
    return 0;
  response = realloc (job->response, job->response_bytes + size_bytes + 1);
  if (response == NULL)
    return 0;
  memcpy (response + job->response_bytes, data, size_bytes);
  job->response = response;
  job->response_bytes += size_bytes;
  response[job->response_bytes] = '\0';
  return size_bytes;
}

static bool
is_stopping (csp_fetcher_t *fetcher)
{
  bool stopping;

  pthread_mutex_lock (&fetcher->lock);
  stopping = fetcher->stopping;
  pthread_mutex_unlock (&fetcher->lock);
  return stopping;
}

static int
abort_when_stopping (void *state, curl_off_t total_down, curl_off_t down,
                     curl_off_t total_up, curl_off_t up)
{
  fetch_job_t *job = state;

  (void)total_down;
  (void)down;
  (void)total_up;
  (void)up;
  return is_stopping (job->fetcher) ? 1 : 0;
}

/* Returns the status of the response, CSP_POST_NOT_SENT or
 * CSP_POST_NO_RESPONSE.  */
static long
perform_request (fetch_job_t *job)
{
  csp_answer_head_t head;
  CURL *handle
      = csp_create_call (&job->endpoint, job->path, CONNECT_TIMEOUT_MS, &head);
  struct curl_slist *headers = NULL;
  CURLcode code;
  long status = 0;

  if (handle == NULL)
    return CSP_POST_NOT_SENT;
  headers = curl_slist_append (headers, "Content-Type: application/json");
  curl_easy_setopt (handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (handle, CURLOPT_TIMEOUT_MS, (long)job->timeout_ms);
  curl_easy_setopt (handle, CURLOPT_WRITEFUNCTION, append_response);
  curl_easy_setopt (handle, CURLOPT_WRITEDATA, job);
  curl_easy_setopt (handle, CURLOPT_XFERINFOFUNCTION, abort_when_stopping);
  curl_easy_setopt (handle, CURLOPT_XFERINFODATA, job);
  curl_easy_setopt (handle, CURLOPT_NOPROGRESS, 0L);
  if (job->post_body != NULL)
    curl_easy_setopt (handle, CURLOPT_POSTFIELDS, job->post_body);
  if (job->may_send != NULL && !job->may_send (job->state))
    code = CURLE_COULDNT_CONNECT;
  else
    code = curl_easy_perform (handle);
  curl_easy_getinfo (handle, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (handle);
  curl_slist_free_all (headers);
  if (code == CURLE_COULDNT_CONNECT)
    return CSP_POST_NOT_SENT;
  return code == CURLE_OK && head.is_whole ? status : CSP_POST_NO_RESPONSE;
}

static void
finish_job (fetch_job_t *job, long status)
{
  if (job->post_done != NULL)
    job->post_done (job->state, status);
  else if (status == HTTP_OK)
    job->done (job->state, job->response == NULL ? "" : job->response,
               job->response_bytes);
  else
    job->done (job->state, NULL, 0);
  free (job->response);
  free (job->post_body);
  free (job);
}

static fetch_job_t *
dequeue_job (csp_fetcher_t *fetcher)
{
  fetch_job_t *job;

  pthread_mutex_lock (&fetcher->lock);
  while (fetcher->head == NULL && !fetcher->stopping)
    pthread_cond_wait (&fetcher->job_available, &fetcher->lock);
  job = fetcher->head;
  if (job != NULL)
    {
      fetcher->head = job->next;
      if (fetcher->head == NULL)
        fetcher->tail = &fetcher->head;
    }
  pthread_mutex_unlock (&fetcher->lock);
  return job;
}

static void *
serve_jobs (void *state)
{
  csp_fetcher_t *fetcher = state;
  fetch_job_t *job;

  while ((job = dequeue_job (fetcher)) != NULL)
    finish_job (job, is_stopping (fetcher) ? CSP_POST_NOT_SENT
                                           : perform_request (job));
  return NULL;
}

csp_fetcher_t *
csp_create_fetcher (uint32_t thread_count)
{
  csp_fetcher_t *fetcher = calloc (1, sizeof *fetcher);

  if (fetcher == NULL)
    return NULL;
  pthread_mutex_init (&fetcher->lock, NULL);
  pthread_cond_init (&fetcher->job_available, NULL);
  fetcher->tail = &fetcher->head;
  while (fetcher->thread_count < thread_count
         && fetcher->thread_count < MAX_THREADS)
    {
      if (pthread_create (&fetcher->threads[fetcher->thread_count], NULL,
                          serve_jobs, fetcher)
          != 0)
        {
          csp_destroy_fetcher (fetcher);
          return NULL;
        }
      fetcher->thread_count++;
    }
  return fetcher;
}

void
csp_destroy_fetcher (csp_fetcher_t *fetcher)
{
  uint32_t i;

  if (fetcher == NULL)
    return;
  pthread_mutex_lock (&fetcher->lock);
  fetcher->stopping = true;
  pthread_cond_broadcast (&fetcher->job_available);
  pthread_mutex_unlock (&fetcher->lock);
  for (i = 0; i < fetcher->thread_count; i++)
    pthread_join (fetcher->threads[i], NULL);
  pthread_cond_destroy (&fetcher->job_available);
  pthread_mutex_destroy (&fetcher->lock);
  free (fetcher);
}

static fetch_job_t *
create_job (csp_fetcher_t *fetcher, const csp_endpoint_t *endpoint,
            const char *path, const char *post_body, uint32_t timeout_ms,
            void *state)
{
  fetch_job_t *job = calloc (1, sizeof *job);

  if (job == NULL)
    return NULL;
  job->endpoint = *endpoint;
  snprintf (job->path, sizeof job->path, "%s", path);
  job->post_body = post_body == NULL ? NULL : strdup (post_body);
  job->timeout_ms = timeout_ms;
  job->state = state;
  job->fetcher = fetcher;
  return job;
}

static void
enqueue_job (csp_fetcher_t *fetcher, fetch_job_t *job)
{
  pthread_mutex_lock (&fetcher->lock);
  *fetcher->tail = job;
  fetcher->tail = &job->next;
  pthread_cond_signal (&fetcher->job_available);
  pthread_mutex_unlock (&fetcher->lock);
}

void
csp_fetch (csp_fetcher_t *fetcher, const csp_endpoint_t *endpoint,
           const char *path, const char *post_body, uint32_t timeout_ms,
           csp_fetch_done_t done, void *state)
{
  fetch_job_t *job
      = create_job (fetcher, endpoint, path, post_body, timeout_ms, state);

  if (job == NULL)
    {
      done (state, NULL, 0);
      return;
    }
  job->done = done;
  enqueue_job (fetcher, job);
}

void
csp_post (csp_fetcher_t *fetcher, const csp_endpoint_t *endpoint,
          const char *path, const char *body, uint32_t timeout_ms,
          csp_may_send_t may_send, csp_post_done_t done, void *state)
{
  fetch_job_t *job
      = create_job (fetcher, endpoint, path, body, timeout_ms, state);

  if (job == NULL)
    {
      done (state, CSP_POST_NOT_SENT);
      return;
    }
  job->may_send = may_send;
  job->post_done = done;
  enqueue_job (fetcher, job);
}
