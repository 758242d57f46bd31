#include "cowslipspoke/fetcher.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "target/http-imp.h"

enum
{
  MAX_THREADS = 32,
  ANSWER_LIMIT_BYTES = 64 << 20,
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
  csp_take_fetched_t done;
  csp_may_send_t may_send;
  csp_take_status_t take_status; /* NULL for reads */
  void *state;
  csp_fetcher_t *fetcher;
  char *answer;
  size_t answer_bytes;
} fetch_job_t;

struct csp_fetcher
{
  pthread_mutex_t lock;
  pthread_cond_t wake;
  fetch_job_t *first;
  fetch_job_t **last;
  bool stopping;
  uint32_t thread_count;
  pthread_t threads[MAX_THREADS];
};

static size_t
take_answer (char *data, size_t unit, size_t count, void *state)
{
  fetch_job_t *job = state;
  size_t size_bytes = unit * count;
  char *answer;

  if (job->answer_bytes + size_bytes > ANSWER_LIMIT_BYTES)
    return 0;
  answer = realloc (job->answer, job->answer_bytes + size_bytes + 1);
  if (answer == NULL)
    return 0;
  memcpy (answer + job->answer_bytes, data, size_bytes);
  job->answer = answer;
  job->answer_bytes += size_bytes;
  answer[job->answer_bytes] = '\0';
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
check_stop (void *state, curl_off_t total_down, curl_off_t down,
            curl_off_t total_up, curl_off_t up)
{
  fetch_job_t *job = state;

  (void)total_down;
  (void)down;
  (void)total_up;
  (void)up;
  return is_stopping (job->fetcher) ? 1 : 0;
}

/* The status of the answer, or why there is none.  */
static long
run_call (fetch_job_t *job)
{
  CURL *call = csp_create_call (&job->endpoint, job->path, CONNECT_TIMEOUT_MS);
  struct curl_slist *headers = NULL;
  CURLcode code;
  long status = 0;

  if (call == NULL)
    return CSP_POST_NOT_SENT;
  headers = curl_slist_append (headers, "Content-Type: application/json");
  curl_easy_setopt (call, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (call, CURLOPT_TIMEOUT_MS, (long)job->timeout_ms);
  curl_easy_setopt (call, CURLOPT_WRITEFUNCTION, take_answer);
  curl_easy_setopt (call, CURLOPT_WRITEDATA, job);
  curl_easy_setopt (call, CURLOPT_XFERINFOFUNCTION, check_stop);
  curl_easy_setopt (call, CURLOPT_XFERINFODATA, job);
  curl_easy_setopt (call, CURLOPT_NOPROGRESS, 0L);
  if (job->post_body != NULL)
    curl_easy_setopt (call, CURLOPT_POSTFIELDS, job->post_body);
  if (job->may_send != NULL && !job->may_send (job->state))
    code = CURLE_COULDNT_CONNECT;
  else
    code = curl_easy_perform (call);
  curl_easy_getinfo (call, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (call);
  curl_slist_free_all (headers);
  if (code == CURLE_COULDNT_CONNECT)
    return CSP_POST_NOT_SENT;
  return code == CURLE_OK ? status : CSP_POST_LOST;
}

static void
finish_job (fetch_job_t *job, long status)
{
  if (job->take_status != NULL)
    job->take_status (job->state, status);
  else if (status == HTTP_OK)
    job->done (job->state, job->answer == NULL ? "" : job->answer,
               job->answer_bytes);
  else
    job->done (job->state, NULL, 0);
  free (job->answer);
  free (job->post_body);
  free (job);
}

static fetch_job_t *
take_job (csp_fetcher_t *fetcher)
{
  fetch_job_t *job;

  pthread_mutex_lock (&fetcher->lock);
  while (fetcher->first == NULL && !fetcher->stopping)
    pthread_cond_wait (&fetcher->wake, &fetcher->lock);
  job = fetcher->first;
  if (job != NULL)
    {
      fetcher->first = job->next;
      if (fetcher->first == NULL)
        fetcher->last = &fetcher->first;
    }
  pthread_mutex_unlock (&fetcher->lock);
  return job;
}

static void *
serve_jobs (void *state)
{
  csp_fetcher_t *fetcher = state;
  fetch_job_t *job;

  while ((job = take_job (fetcher)) != NULL)
    finish_job (job,
                is_stopping (fetcher) ? CSP_POST_NOT_SENT : run_call (job));
  return NULL;
}

csp_fetcher_t *
csp_create_fetcher (uint32_t threads)
{
  csp_fetcher_t *fetcher = calloc (1, sizeof *fetcher);

  if (fetcher == NULL)
    return NULL;
  pthread_mutex_init (&fetcher->lock, NULL);
  pthread_cond_init (&fetcher->wake, NULL);
  fetcher->last = &fetcher->first;
  while (fetcher->thread_count < threads
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
  pthread_cond_broadcast (&fetcher->wake);
  pthread_mutex_unlock (&fetcher->lock);
  for (i = 0; i < fetcher->thread_count; i++)
    pthread_join (fetcher->threads[i], NULL);
  pthread_cond_destroy (&fetcher->wake);
  pthread_mutex_destroy (&fetcher->lock);
  free (fetcher);
}

static fetch_job_t *
new_job (csp_fetcher_t *fetcher, const csp_endpoint_t *endpoint,
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
queue_job (csp_fetcher_t *fetcher, fetch_job_t *job)
{
  pthread_mutex_lock (&fetcher->lock);
  *fetcher->last = job;
  fetcher->last = &job->next;
  pthread_cond_signal (&fetcher->wake);
  pthread_mutex_unlock (&fetcher->lock);
}

void
csp_fetch (csp_fetcher_t *fetcher, const csp_endpoint_t *endpoint,
           const char *path, const char *post_body, uint32_t timeout_ms,
           csp_take_fetched_t done, void *state)
{
  fetch_job_t *job
      = new_job (fetcher, endpoint, path, post_body, timeout_ms, state);

  if (job == NULL)
    {
      done (state, NULL, 0);
      return;
    }
  job->done = done;
  queue_job (fetcher, job);
}

void
csp_post (csp_fetcher_t *fetcher, const csp_endpoint_t *endpoint,
          const char *path, const char *body, uint32_t timeout_ms,
          csp_may_send_t may_send, csp_take_status_t done, void *state)
{
  fetch_job_t *job
      = new_job (fetcher, endpoint, path, body, timeout_ms, state);

  if (job == NULL)
    {
      done (state, CSP_POST_NOT_SENT);
      return;
    }
  job->may_send = may_send;
  job->take_status = done;
  queue_job (fetcher, job);
}
