#include <arpa/inet.h>
#include <glib.h>
#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bwbase/clock.h"
#include "load.h"

#define MS_PER_S 1000.
#define US_PER_S 1e6
#define US_PER_MS 1000
#define TARGET_BYTES 640
#define ID_BYTES 64
#define RESPONSE_LIMIT_BYTES (16 * 1024 * 1024)
#define LOOKUP_TIMEOUT_MS 2000
#define BACKOFF_DOUBLINGS_MAX 6
#define ERROR_CODE_BYTES 48

struct load;

/** Host address in a look-up response. */
struct host {
	char address[INET_ADDRSTRLEN];
	uint16_t port;
};

/** Parsed look-up response, cached until its time to live expires. */
struct lookup {
	struct host hosts[LOAD_HOSTS_MAX];
	uint32_t host_count;
	uint64_t expires_us;
	char request_key[LOAD_KEY_BYTES]; /**< empty once used */
};

/** Arrival process of one kind of request. */
struct arrival {
	struct load *load;
	const struct load_kind *kind;
	struct load_rank *rank;
	struct bw_random random;
	double next_s; /**< time of the next arrival since start */
	ev_timer timer;
	struct lookup cached[LOAD_SOURCES_MAX];
};

/** One request with its look-ups, attempts and backoff. */
struct job {
	struct load *load;
	struct arrival *arrival;
	uint32_t source_index;
	char id[ID_BYTES];
	struct lookup lookup; /**< copy of the look-up response */
	uint64_t started_us;
	uint32_t lookup_attempts;
	uint32_t attempts;
	bool lookup_pending;
	ev_timer backoff;
	uint32_t status_code;
	enum load_outcome outcome; /**< of the current attempt */
	enum load_outcome overall_outcome; /**< over all attempts so far */
	char error_code[ERROR_CODE_BYTES]; /**< of the last error response */
	/** Of the response with outcome "ran". */
	enum payload_check payload_check;
	struct bw_buffer response;
};

/** State of the process. */
struct load {
	struct load_config *config;
	FILE *request_log; /**< one JSON line per completed request; may be
			    NULL */
	struct ev_loop *loop;
	struct bw_upstream *upstream;
	struct load_result result;
	struct arrival arrivals[LOAD_KINDS_MAX];
	uint64_t started_us;
	uint64_t next_request;
	uint32_t in_flight;
	uint32_t active_arrivals;
};

static void on_arrival_(struct ev_loop *loop, ev_timer *watcher, int events);
static void schedule_arrival_(struct arrival *arrival);
static void start_job_(struct arrival *arrival);
static void start_lookup_(struct job *job);
static void on_lookup_end_(struct job *job, bool complete);
static bool parse_lookup_(struct job *job, struct lookup *lookup);
static void send_attempt_(struct job *job);
static void on_attempt_end_(struct job *job,
			    const struct bw_upstream_event *event);
static void retry_or_finish_(struct job *job, enum load_outcome outcome);
static void on_backoff_end_(struct ev_loop *loop, ev_timer *watcher,
			    int events);
static void finish_job_(struct job *job, enum load_outcome outcome);
static void save_error_code_(struct job *job);
static void log_request_(struct job *job, enum load_outcome outcome);
static void on_upstream_event_(void *context,
			       const struct bw_upstream_event *event);
static enum load_outcome parse_outcome_(const struct bw_upstream_event *event);
static uint32_t remaining_ms_(const struct job *job);
static uint32_t elapsed_s_(const struct load *load);
static bool run_load_(struct load *load);

int main(int argc, char **argv)
{
	static struct load load;
	char *config_path = NULL;
	char *result_path = NULL;
	char *requests_path = NULL;
	gint64 seed = -1;
	double duration_s = 0;
	GOptionEntry entries[] = {
		{ "config", 0, 0, G_OPTION_ARG_FILENAME, &config_path,
		  "Load file", "FILE" },
		{ "result", 0, 0, G_OPTION_ARG_FILENAME, &result_path,
		  "Result file", "FILE" },
		{ "requests", 0, 0, G_OPTION_ARG_FILENAME, &requests_path,
		  "Receives a JSON line per request", "FILE" },
		{ "seed", 0, 0, G_OPTION_ARG_INT64, &seed,
		  "Replaces the seed of the file", "N" },
		{ "duration-s", 0, 0, G_OPTION_ARG_DOUBLE, &duration_s,
		  "Replaces the duration of the file", "S" },
		{ NULL }
	};
	GOptionContext *context = g_option_context_new("- load caller");
	struct bw_yaml_error error = { 0 };
	int result = 1;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    !config_path || !result_path) {
		fprintf(stderr, "--config and --result are needed\n");
		goto out;
	}
	if (load_config_read(config_path, &load.config, &error) != BW_OK) {
		fprintf(stderr, "%s:%u: %s\n", config_path, error.line,
			error.text);
		goto out;
	}
	if (seed >= 0)
		load.config->seed = (uint64_t)seed;
	if (duration_s > 0)
		load.config->duration_s = duration_s;
	if (requests_path) {
		load.request_log = fopen(requests_path, "w");
		if (!load.request_log) {
			fprintf(stderr, "cannot write %s\n", requests_path);
			goto out;
		}
	}
	if (load.config->duration_s > LOAD_SECONDS_MAX || !run_load_(&load))
		goto out;
	if (!load_result_write(&load.result, result_path,
			       load.config->duration_s)) {
		fprintf(stderr, "cannot write %s\n", result_path);
		goto out;
	}
	result = 0;
out:
	if (load.request_log && fclose(load.request_log))
		result = 1;
	load_result_finish(&load.result);
	load_config_free(load.config);
	g_free(config_path);
	g_free(result_path);
	g_free(requests_path);
	g_option_context_free(context);
	return result;
}

static bool run_load_(struct load *load)
{
	struct bw_upstream_config config = { .connections_per_server = 2000,
					     .connections_total = 8000,
					     .idle_timeout_s = 20,
					     .connect_timeout_ms = 1000,
					     .header_limit_bytes = 65536,
					     .ring_bytes = 4096 };
	struct arrival *arrival;
	uint32_t i;

	signal(SIGPIPE, SIG_IGN);
	load->loop = ev_default_loop(EVFLAG_AUTO);
	if (bw_upstream_new(&load->upstream, load->loop, &config) != BW_OK)
		return false;
	load->started_us = bw_clock_us();
	for (i = 0; i < load->config->kinds_count; i++) {
		arrival = &load->arrivals[i];
		arrival->load = load;
		arrival->kind = &load->config->kinds[i];
		arrival->rank =
			load_rank_get(&load->result, arrival->kind->rank);
		arrival->next_s = arrival->kind->start_s;
		bw_random_init(&arrival->random, load->config->seed + i);
		ev_timer_init(&arrival->timer, on_arrival_, 0., 0.);
		arrival->timer.data = arrival;
		load->active_arrivals++;
		schedule_arrival_(arrival);
	}
	ev_run(load->loop, 0);
	bw_upstream_free(load->upstream);
	return true;
}

static void on_arrival_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	start_job_(watcher->data);
	schedule_arrival_(watcher->data);
}

/* Open loop: the next arrival is scheduled from the scheduled time of the last
 * one, also when the event loop is late. */
static void schedule_arrival_(struct arrival *arrival)
{
	struct load *load = arrival->load;
	double now_s = (double)(bw_clock_us() - load->started_us) / US_PER_S;
	double stop_s = arrival->kind->stop_s;

	if (stop_s <= 0 || stop_s > load->config->duration_s)
		stop_s = load->config->duration_s;
	if (arrival->kind->rate_per_s > 0)
		arrival->next_s += -log(1. - bw_random_unit(&arrival->random)) /
				   arrival->kind->rate_per_s;
	if (arrival->kind->rate_per_s <= 0 || arrival->next_s >= stop_s) {
		load->active_arrivals--;
		if (!load->active_arrivals && !load->in_flight)
			ev_break(load->loop, EVBREAK_ALL);
		return;
	}
	ev_now_update(load->loop);
	ev_timer_set(&arrival->timer,
		     arrival->next_s > now_s ? arrival->next_s - now_s : 0.,
		     0.);
	ev_timer_start(load->loop, &arrival->timer);
}

static void start_job_(struct arrival *arrival)
{
	struct load *load = arrival->load;
	struct job *job;
	struct lookup *cached;

	load_record_start(arrival->rank, elapsed_s_(load));
	if (load->in_flight >= load->config->in_flight_limit) {
		load->result.not_sent++;
		return;
	}
	job = calloc(1, sizeof(*job));
	if (!job)
		return;
	load->in_flight++;
	job->load = load;
	job->arrival = arrival;
	job->started_us = bw_clock_us();
	job->overall_outcome = LOAD_UNREACHABLE;
	if (load->config->sources_count)
		job->source_index = (uint32_t)bw_random_below(
			&arrival->random, load->config->sources_count);
	snprintf(job->id, sizeof(job->id), "%" PRIu64 "-%" PRIu64,
		 load->config->seed, load->next_request++);
	ev_timer_init(&job->backoff, on_backoff_end_, 0., 0.);
	job->backoff.data = job;
	cached = &arrival->cached[job->source_index];
	/* A request key is valid for one request only. */
	if (cached->expires_us <= job->started_us ||
	    (!arrival->kind->idempotent && !arrival->kind->own_key &&
	     !cached->request_key[0])) {
		start_lookup_(job);
		return;
	}
	job->lookup = *cached;
	if (!arrival->kind->idempotent)
		cached->request_key[0] = '\0';
	send_attempt_(job);
}

static void start_lookup_(struct job *job)
{
	struct load *load = job->load;
	struct load_config *config = load->config;
	const struct load_entry *entry =
		&config->entry_hosts[(job->source_index +
				      job->lookup_attempts) %
				     config->entry_hosts_count];
	struct bw_upstream_handler handler = { job, on_upstream_event_ };
	struct bw_upstream_request request = { 0 };
	char target[TARGET_BYTES];
	struct bw_call *call;

	if (job->lookup_attempts++ == config->entry_hosts_count) {
		finish_job_(job, LOAD_UNREACHABLE);
		return;
	}
	if (!remaining_ms_(job)) {
		finish_job_(job, LOAD_TIMEOUT);
		return;
	}
	snprintf(target, sizeof(target), "/v1/lookup?service=%s",
		 job->arrival->kind->service);
	request.address = entry->address;
	request.port = entry->port;
	if (config->sources_count)
		request.source = config->sources[job->source_index];
	request.method = "GET";
	request.target = target;
	request.deadline_ms = remaining_ms_(job) < LOOKUP_TIMEOUT_MS
				      ? remaining_ms_(job)
				      : LOOKUP_TIMEOUT_MS;
	job->lookup_pending = true;
	job->status_code = 0;
	bw_buffer_clear(&job->response);
	load->result.lookups++;
	if (bw_upstream_start(load->upstream, &request, &handler, &call) !=
	    BW_OK)
		finish_job_(job, LOAD_UNREACHABLE);
}

static void on_lookup_end_(struct job *job, bool complete)
{
	struct lookup *cached = &job->arrival->cached[job->source_index];

	job->lookup_pending = false;
	if (!complete || job->status_code != 200 ||
	    !parse_lookup_(job, &job->lookup)) {
		job->load->result.lookups_failed++;
		start_lookup_(job);
		return;
	}
	*cached = job->lookup;
	if (!job->arrival->kind->idempotent)
		cached->request_key[0] = '\0';
	send_attempt_(job);
}

static bool parse_lookup_(struct job *job, struct lookup *lookup)
{
	json_t *root = json_loadb((const char *)job->response.data,
				  job->response.size_bytes, 0, NULL);
	const char *key =
		json_string_value(json_object_get(root, "request_key"));
	json_t *item;
	const char *address;
	size_t i;

	memset(lookup, 0, sizeof(*lookup));
	json_array_foreach(json_object_get(root, "hosts"), i, item)
	{
		address = json_string_value(json_object_get(item, "address"));
		if (!address || lookup->host_count == LOAD_HOSTS_MAX)
			continue;
		snprintf(lookup->hosts[lookup->host_count].address,
			 sizeof(lookup->hosts[0].address), "%s", address);
		lookup->hosts[lookup->host_count++].port =
			(uint16_t)json_integer_value(
				json_object_get(item, "port"));
	}
	snprintf(lookup->request_key, sizeof(lookup->request_key), "%s",
		 key ? key : "");
	lookup->expires_us =
		bw_clock_us() +
		(uint64_t)json_integer_value(json_object_get(root, "ttl_ms")) *
			US_PER_MS;
	json_decref(root);
	return lookup->host_count > 0;
}

static void send_attempt_(struct job *job)
{
	struct load *load = job->load;
	const struct load_kind *kind = job->arrival->kind;
	const struct host *host =
		&job->lookup.hosts[job->attempts % job->lookup.host_count];
	struct bw_upstream_handler handler = { job, on_upstream_event_ };
	struct bw_upstream_request request = { 0 };
	struct bw_http_header headers[5];
	struct bw_buffer body = { 0 };
	char target[TARGET_BYTES];
	char deadline[16];
	struct bw_call *call;

	if (!remaining_ms_(job)) {
		finish_job_(job, LOAD_TIMEOUT);
		return;
	}
	snprintf(target, sizeof(target), "/v1/call/%s%s", kind->service,
		 kind->path);
	snprintf(deadline, sizeof(deadline), "%u", remaining_ms_(job));
	headers[0] = (struct bw_http_header){ PAYLOAD_ID_FIELD, job->id };
	headers[1] =
		(struct bw_http_header){ "Boragewing-Deadline-Ms", deadline };
	request.header_count = 2;
	if (kind->own_key)
		headers[request.header_count++] =
			(struct bw_http_header){ "Idempotency-Key", job->id };
	else if (job->lookup.request_key[0] && !kind->idempotent)
		headers[request.header_count++] =
			(struct bw_http_header){ "Boragewing-Key",
						 job->lookup.request_key };
	if (!kind->idempotent && (job->overall_outcome == LOAD_NOT_RUN ||
				  job->overall_outcome == LOAD_UNREACHABLE))
		headers[request.header_count++] =
			(struct bw_http_header){ "Boragewing-First-Attempt",
						 "1" };
	if (kind->marker)
		headers[request.header_count++] =
			(struct bw_http_header){ "Marker", kind->marker };
	request.headers = headers;
	request.address = host->address;
	request.port = host->port;
	if (load->config->sources_count)
		request.source = load->config->sources[job->source_index];
	request.method = kind->method;
	request.target = target;
	request.deadline_ms = remaining_ms_(job);
	if (kind->body_bytes &&
	    payload_append(&body, job->id, kind->body_bytes) == BW_OK) {
		request.body_kind = BW_UPSTREAM_BODY_COMPLETE;
		request.body = body.data;
		request.body_bytes = body.size_bytes;
	}
	job->status_code = 0;
	job->outcome = LOAD_NO_OUTCOME;
	bw_buffer_clear(&job->response);
	job->attempts++;
	load->result.attempts++;
	load->result.resends += job->attempts > 1;
	if (bw_upstream_start(load->upstream, &request, &handler, &call) !=
	    BW_OK)
		finish_job_(job, LOAD_UNREACHABLE);
	bw_buffer_finish(&body);
}

static void on_upstream_event_(void *context,
			       const struct bw_upstream_event *event)
{
	struct job *job = context;

	switch (event->kind) {
	case BW_UPSTREAM_HEAD:
		job->status_code = event->status_code;
		job->outcome = parse_outcome_(event);
		break;
	case BW_UPSTREAM_BODY:
		if (job->response.size_bytes + event->size_bytes <=
		    RESPONSE_LIMIT_BYTES)
			bw_buffer_append(&job->response, event->data,
					 event->size_bytes);
		break;
	case BW_UPSTREAM_COMPLETE:
	case BW_UPSTREAM_FAILED:
		if (job->lookup_pending)
			on_lookup_end_(job,
				       event->kind == BW_UPSTREAM_COMPLETE);
		else
			on_attempt_end_(job, event);
		break;
	default:
		break;
	}
}

static void on_attempt_end_(struct job *job,
			    const struct bw_upstream_event *event)
{
	struct load_result *result = &job->load->result;

	if (event->kind == BW_UPSTREAM_FAILED) {
		if (event->cause == BW_UPSTREAM_TIMEOUT)
			finish_job_(job, LOAD_TIMEOUT);
		else
			retry_or_finish_(job, event->bytes_sent
						      ? LOAD_BROKEN
						      : LOAD_UNREACHABLE);
		return;
	}
	result->status_counts[job->status_code]++;
	if (job->status_code == 200 && job->outcome == LOAD_RAN)
		result->payload_checks[job->payload_check = payload_verify(
					       job->id, job->response.data,
					       job->response.size_bytes)]++;
	save_error_code_(job);
	if (job->outcome == LOAD_RAN || job->outcome == LOAD_NO_OUTCOME)
		finish_job_(job, job->outcome);
	else
		retry_or_finish_(job, job->outcome);
}

/* A request is retried if it did not run, if it is idempotent, or if its key
 * prevents a second execution. */
static void retry_or_finish_(struct job *job, enum load_outcome outcome)
{
	struct load_config *config = job->load->config;
	bool retry_allowed =
		outcome == LOAD_NOT_RUN || outcome == LOAD_UNREACHABLE ||
		job->arrival->kind->idempotent || job->arrival->kind->own_key ||
		job->lookup.request_key[0];
	uint32_t doublings = job->attempts - 1;
	double wait_ms;

	/* If an earlier attempt may have run, a later "not-run" does not
	 * exclude it. */
	if (outcome == LOAD_MAY_HAVE_RUN ||
	    (job->overall_outcome != LOAD_MAY_HAVE_RUN &&
	     job->overall_outcome != LOAD_BROKEN))
		job->overall_outcome = outcome;
	if (!retry_allowed || job->attempts >= config->attempts) {
		finish_job_(job, job->overall_outcome);
		return;
	}
	if (doublings > BACKOFF_DOUBLINGS_MAX)
		doublings = BACKOFF_DOUBLINGS_MAX;
	wait_ms = (double)config->backoff_ms * (double)(1U << doublings) *
		  (0.5 + bw_random_unit(&job->arrival->random));
	ev_timer_set(&job->backoff, wait_ms / MS_PER_S, 0.);
	ev_timer_start(job->load->loop, &job->backoff);
}

static void on_backoff_end_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct job *job = watcher->data;

	(void)loop;
	(void)events;
	/* No attempt has run, so that a new key cannot cause a second
	 * execution. */
	if (job->load->config->renew_keys &&
	    (job->overall_outcome == LOAD_NOT_RUN ||
	     job->overall_outcome == LOAD_UNREACHABLE) &&
	    !job->arrival->kind->idempotent && !job->arrival->kind->own_key) {
		job->lookup_attempts = 0;
		start_lookup_(job);
		return;
	}
	send_attempt_(job);
}

static void finish_job_(struct job *job, enum load_outcome outcome)
{
	struct load *load = job->load;

	load_record_end(job->arrival->rank, outcome,
			bw_clock_us() - job->started_us, elapsed_s_(load));
	log_request_(job, outcome);
	load->in_flight--;
	bw_buffer_finish(&job->response);
	free(job);
	if (!load->active_arrivals && !load->in_flight)
		ev_break(load->loop, EVBREAK_ALL);
}

/* Saves the error code of a response that a host of the system generated. */
static void save_error_code_(struct job *job)
{
	json_t *root;
	const char *error;

	if (job->outcome == LOAD_RAN || !job->load->request_log)
		return;
	root = json_loadb((const char *)job->response.data,
			  job->response.size_bytes, 0, NULL);
	error = json_string_value(json_object_get(root, "error"));
	snprintf(job->error_code, sizeof(job->error_code), "%s",
		 error ? error : "no_code");
	json_decref(root);
}

/* Shell tests compare these lines with the ledgers of the backend servers. */
static void log_request_(struct job *job, enum load_outcome outcome)
{
	const struct load_kind *kind = job->arrival->kind;

	if (!job->load->request_log)
		return;
	fprintf(job->load->request_log,
		"{\"id\":\"%s\",\"kind\":\"%s\",\"idempotent\":%s,"
		"\"outcome\":\"%s\",\"status\":%u,\"check\":\"%s\","
		"\"attempts\":%u,\"reason\":\"%s\",\"key\":\"%s\","
		"\"start_us\":%" PRIu64 ",\"end_us\":%" PRIu64 "}\n",
		job->id, kind->name, kind->idempotent ? "true" : "false",
		load_outcome_string[outcome], job->status_code,
		payload_check_string[job->payload_check], job->attempts,
		job->error_code,
		kind->idempotent || kind->own_key ? ""
						  : job->lookup.request_key,
		job->started_us - job->load->started_us,
		bw_clock_us() - job->load->started_us);
}

static enum load_outcome parse_outcome_(const struct bw_upstream_event *event)
{
	const char *value = NULL;
	size_t i;

	for (i = 0; i < event->header_count; i++) {
		if (!g_ascii_strcasecmp(event->headers[i].name,
					"Boragewing-Outcome"))
			value = event->headers[i].value;
	}
	if (!value)
		return LOAD_NO_OUTCOME;
	if (!strcmp(value, "ran"))
		return LOAD_RAN;
	if (!strcmp(value, "not-run"))
		return LOAD_NOT_RUN;
	return LOAD_MAY_HAVE_RUN;
}

static uint32_t remaining_ms_(const struct job *job)
{
	uint64_t elapsed_ms = (bw_clock_us() - job->started_us) / US_PER_MS;
	uint32_t deadline_ms = job->arrival->kind->deadline_ms;

	return elapsed_ms >= deadline_ms ? 0
					 : deadline_ms - (uint32_t)elapsed_ms;
}

static uint32_t elapsed_s_(const struct load *load)
{
	return (uint32_t)((double)(bw_clock_us() - load->started_us) /
			  US_PER_S);
}
