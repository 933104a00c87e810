#include "bwsteer/admission.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "private/admission.h"
#include "private/index.h"

#define US_PER_MS 1000.0

/** Weight of a new service time in the moving average. */
#define SERVICE_TIME_GAIN 0.05

/** Least fraction of the service rate assumed for a rank. */
#define RATE_SHARE_MIN 0.01

#define RETRY_AFTER_MIN_MS 50
#define RETRY_AFTER_MAX_MS 10000
#define WAIT_MAX_MS 3600000

static enum bw_status check_config_(const struct bw_admission_config *config);
static uint32_t free_host_slots_(const struct bw_admission *admission);
static enum bw_admission_reason
check_offer_(struct bw_admission *admission,
	     const struct bw_admission_request *request, bool idle,
	     int64_t wait_ms, struct bw_time now);
static int64_t wait_limit_ms_(const struct bw_admission *admission,
			      const struct bw_admission_request *request);
static enum bw_admission_reason
check_limits_(const struct bw_admission *admission,
	      const struct bw_admission_request *request);
static void refuse_(struct bw_admission *admission,
		    const struct bw_admission_request *request,
		    enum bw_admission_reason reason, struct bw_random *random,
		    struct bw_admission_result *result);
static void record_start_(struct bw_admission *admission, uint32_t service,
			  uint32_t rank, struct bw_time now);
static void advance_window_(const struct bw_admission *admission,
			    struct bw_admission_window *window,
			    struct bw_time now);
static enum bw_status start_next_(struct bw_admission *admission,
				  uint32_t first, uint32_t count,
				  const uint32_t *free_slots,
				  struct bw_time now,
				  struct bw_admission_request *request);
static double update_average_(double average, double value);

const char *const bw_admission_outcome_string[BW_ADMISSION_OUTCOME_COUNT] = {
	[BW_ADMISSION_ADMITTED] = "admitted",
	[BW_ADMISSION_QUEUED] = "queued",
	[BW_ADMISSION_REFUSED] = "refused",
};

const char *const bw_admission_reason_string[BW_ADMISSION_REASON_COUNT] = {
	[BW_ADMISSION_NO_REASON] = "none",
	[BW_ADMISSION_QUEUE_FULL] = "queue_full",
	[BW_ADMISSION_QUEUE_BYTES] = "queue_bytes",
	[BW_ADMISSION_HOST_FULL] = "host_full",
	[BW_ADMISSION_DEADLINE] = "deadline",
	[BW_ADMISSION_WAIT] = "wait",
	[BW_ADMISSION_INVALID] = "invalid",
};

void bw_admission_config_default(struct bw_admission_config *config)
{
	memset(config, 0, sizeof(*config));
	config->ranks_count = 1;
	config->services_max = 64;
	config->queue_max = 256;
	config->queue_max_bytes = 4 * 1024 * 1024;
	config->total_max = 4096;
	config->total_max_bytes = 16 * 1024 * 1024;
	config->window_ms = 2000;
	config->service_time_us = 10000;
}

enum bw_status bw_admission_init(struct bw_admission *admission,
				 const struct bw_admission_config *config,
				 struct bw_time now)
{
	uint32_t i;
	uint32_t rank;

	memset(admission, 0, sizeof(*admission));
	if (check_config_(config) != BW_OK)
		return BW_EINVAL;
	admission->config = *config;
	admission->services =
		calloc(config->services_max, sizeof(admission->services[0]));
	admission->entries =
		calloc(config->total_max, sizeof(admission->entries[0]));
	admission->by_id = bw_index_new(config->total_max);
	if (!admission->services || !admission->entries || !admission->by_id) {
		bw_admission_finish(admission);
		return BW_ENOMEM;
	}
	for (i = 0; i < config->total_max; i++)
		admission->entries[i].next =
			i + 1 < config->total_max ? i + 1 : BW_ADMISSION_NONE;
	admission->expired_head = BW_ADMISSION_NONE;
	for (i = 0; i < config->services_max; i++) {
		for (rank = 0; rank < BW_SHEET_RANKS_MAX; rank++) {
			struct bw_admission_queue *queue =
				bw_admission_queue_of(admission, i, rank);

			queue->head = BW_ADMISSION_NONE;
			queue->tail = BW_ADMISSION_NONE;
			queue->earliest_deadline_ms = INT64_MAX;
			advance_window_(admission, &queue->window, now);
		}
	}
	return BW_OK;
}

void bw_admission_finish(struct bw_admission *admission)
{
	free(admission->services);
	free(admission->entries);
	bw_index_free(admission->by_id);
	admission->services = NULL;
	admission->entries = NULL;
	admission->by_id = NULL;
}

enum bw_status bw_admission_configure(struct bw_admission *admission,
				      const struct bw_admission_config *config)
{
	if (check_config_(config) != BW_OK)
		return BW_EINVAL;
	memcpy(admission->config.rank, config->rank, sizeof(config->rank));
	admission->config.ranks_count = config->ranks_count;
	admission->config.host_slots = config->host_slots;
	return BW_OK;
}

enum bw_status bw_admission_service(struct bw_admission *admission,
				    const char *name, uint32_t *service)
{
	uint32_t i;

	for (i = 0; i < admission->services_count; i++) {
		if (!strcmp(admission->services[i].name, name)) {
			*service = i;
			return BW_OK;
		}
	}
	if (admission->services_count == admission->config.services_max)
		return BW_EFULL;
	if (!bw_name_set(admission->services[i].name, name))
		return BW_EINVAL;
	*service = i;
	admission->services_count++;
	return BW_OK;
}

void bw_admission_offer(struct bw_admission *admission,
			const struct bw_admission_request *request,
			uint32_t free_slots, struct bw_time now,
			struct bw_random *random,
			struct bw_admission_result *result)
{
	struct bw_admission_service *service;
	enum bw_admission_reason reason;
	uint32_t rank;
	bool idle;

	memset(result, 0, sizeof(*result));
	if (request->service >= admission->services_count ||
	    request->rank >= admission->config.ranks_count ||
	    bw_admission_find(admission, request->id) != BW_ADMISSION_NONE) {
		result->outcome = BW_ADMISSION_REFUSED;
		result->reason = BW_ADMISSION_INVALID;
		return;
	}
	service = &admission->services[request->service];
	service->slots = service->running + free_slots;
	for (rank = 0; rank < admission->config.ranks_count; rank++)
		advance_window_(admission, &service->queue[rank].window, now);
	idle = free_slots && !service->queued && free_host_slots_(admission);
	if (!idle)
		result->wait_ms = bw_admission_wait_ms(
			admission, request->service, request->rank);
	reason = check_offer_(admission, request, idle, result->wait_ms, now);
	if (reason != BW_ADMISSION_NO_REASON) {
		refuse_(admission, request, reason, random, result);
		return;
	}
	if (idle) {
		record_start_(admission, request->service, request->rank, now);
		result->outcome = BW_ADMISSION_ADMITTED;
		return;
	}
	bw_admission_enqueue(admission, request);
	result->outcome = BW_ADMISSION_QUEUED;
}

enum bw_status bw_admission_next(struct bw_admission *admission,
				 uint32_t service, uint32_t free_slots,
				 struct bw_time now,
				 struct bw_admission_request *request)
{
	assert(service < admission->services_count);
	return start_next_(admission, service, 1, &free_slots, now, request);
}

enum bw_status bw_admission_next_any(struct bw_admission *admission,
				     const uint32_t *free_slots,
				     struct bw_time now,
				     struct bw_admission_request *request)
{
	return start_next_(admission, 0, admission->services_count, free_slots,
			   now, request);
}

void bw_admission_done(struct bw_admission *admission, uint32_t service,
		       uint32_t rank, uint64_t service_time_us)
{
	struct bw_admission_queue *queue =
		bw_admission_queue_of(admission, service, rank);
	struct bw_admission_service *service_state =
		&admission->services[service];

	assert(queue->running > 0 && service_state->running > 0);
	queue->running--;
	service_state->running--;
	admission->running--;
	if (!service_time_us)
		return;
	queue->service_time_us = update_average_(queue->service_time_us,
						 (double)service_time_us);
	service_state->service_time_us = update_average_(
		service_state->service_time_us, (double)service_time_us);
}

enum bw_status bw_admission_expire(struct bw_admission *admission,
				   struct bw_time now,
				   struct bw_admission_request *request)
{
	uint32_t index;
	uint32_t service;
	uint32_t rank;

	for (service = 0; service < admission->services_count &&
			  admission->expired_head == BW_ADMISSION_NONE;
	     service++) {
		if (!admission->services[service].queued)
			continue;
		for (rank = 0; rank < BW_SHEET_RANKS_MAX; rank++)
			bw_admission_expire_queue(admission, service, rank,
						  now);
	}
	index = admission->expired_head;
	if (index == BW_ADMISSION_NONE)
		return BW_EAGAIN;
	admission->expired_head = admission->entries[index].next;
	*request = admission->entries[index].request;
	bw_admission_release(admission, index);
	return BW_OK;
}

enum bw_status bw_admission_remove(struct bw_admission *admission, uint64_t id)
{
	uint32_t index = bw_admission_find(admission, id);
	const struct bw_admission_request *request;

	if (index == BW_ADMISSION_NONE || admission->entries[index].expired)
		return BW_ENOTFOUND;
	request = &admission->entries[index].request;
	bw_admission_queue_of(admission, request->service, request->rank)
		->removed_count++;
	bw_admission_dequeue(admission, index);
	bw_admission_release(admission, index);
	return BW_OK;
}

int64_t bw_admission_wait_ms(const struct bw_admission *admission,
			     uint32_t service, uint32_t rank)
{
	const struct bw_admission_service *service_state =
		&admission->services[service];
	const struct bw_admission_rank *ranks = admission->config.rank;
	uint32_t slots = service_state->slots;
	double time_us = service_state->service_time_us > 0
				 ? service_state->service_time_us
				 : admission->config.service_time_us;
	double share = 1;
	double queued = service_state->queue[rank].count + 1.0;
	double ahead = 0;
	double rate; /* requests per millisecond */
	double used_share;
	double wait_ms;
	double guaranteed_share;
	uint32_t i;

	if (admission->config.host_slots &&
	    slots > service_state->running + free_host_slots_(admission))
		slots = service_state->running + free_host_slots_(admission);
	rate = (slots ? slots : 1) * US_PER_MS / time_us;
	for (i = 0; i < admission->config.ranks_count; i++) {
		if (i == rank)
			continue;
		used_share = service_state->queue[i].window.sum /
			     (double)admission->config.window_ms / rate;
		if (i < rank)
			ahead += service_state->queue[i].count;
		else if (!service_state->queue[i].count)
			continue;
		else if (used_share > ranks[i].min_share_percent / 100.0)
			used_share = ranks[i].min_share_percent / 100.0;
		share -= used_share;
	}
	guaranteed_share = bw_admission_guaranteed_share(
		admission, &service_state->queue[rank], rank, queued);
	if (guaranteed_share < RATE_SHARE_MIN)
		guaranteed_share = RATE_SHARE_MIN;
	if (share < guaranteed_share)
		share = guaranteed_share;
	wait_ms = ahead / rate + queued / (rate * share);
	if (wait_ms > queued / (rate * guaranteed_share))
		wait_ms = queued / (rate * guaranteed_share);
	return wait_ms < WAIT_MAX_MS ? (int64_t)wait_ms : WAIT_MAX_MS;
}

uint32_t bw_admission_retry_after_ms(const struct bw_admission *admission,
				     uint32_t service, uint32_t rank,
				     struct bw_random *random)
{
	int64_t wait_ms = bw_admission_wait_ms(admission, service, rank);

	if (wait_ms < RETRY_AFTER_MIN_MS)
		wait_ms = RETRY_AFTER_MIN_MS;
	if (wait_ms > RETRY_AFTER_MAX_MS)
		wait_ms = RETRY_AFTER_MAX_MS;
	/* Jitter of up to the same time spreads the retries of many callers. */
	return (uint32_t)wait_ms +
	       (uint32_t)bw_random_below(random, (uint64_t)wait_ms + 1);
}

enum bw_status bw_admission_dump(const struct bw_admission *admission,
				 json_t *into)
{
	const struct bw_admission_queue *queue;
	json_t *list = json_array();
	uint32_t i;
	uint32_t rank;

	if (!list)
		return BW_ENOMEM;
	for (i = 0;
	     i < admission->services_count * admission->config.ranks_count;
	     i++) {
		rank = i % admission->config.ranks_count;
		queue = &admission->services[i / admission->config.ranks_count]
				 .queue[rank];
		if (json_array_append_new(
			    list,
			    json_pack(
				    "{s:s,s:i,s:i,s:I,s:i,s:f,s:I,s:I,s:I}",
				    "service",
				    admission
					    ->services[i / admission->config
								   .ranks_count]
					    .name,
				    "rank", (int)rank, "queued",
				    (int)queue->count, "queued_bytes",
				    (json_int_t)queue->bytes, "running",
				    (int)queue->running, "service_time_us",
				    queue->service_time_us, "admitted",
				    (json_int_t)queue->admitted_count,
				    "expired", (json_int_t)queue->expired_count,
				    "removed",
				    (json_int_t)queue->removed_count))) {
			json_decref(list);
			return BW_ENOMEM;
		}
	}
	if (json_object_set_new(into, "running",
				json_integer(admission->running))) {
		json_decref(list);
		return BW_ENOMEM;
	}
	return json_object_set_new(into, "queues", list) ? BW_ENOMEM : BW_OK;
}

static enum bw_status check_config_(const struct bw_admission_config *config)
{
	uint32_t sum = 0;
	uint32_t i;

	if (!config->ranks_count || config->ranks_count > BW_SHEET_RANKS_MAX ||
	    !config->services_max || !config->queue_max ||
	    config->total_max < config->ranks_count ||
	    config->window_ms < BW_ADMISSION_BUCKETS ||
	    !config->service_time_us)
		return BW_EINVAL;
	for (i = 0; i < config->ranks_count; i++) {
		if (config->rank[i].min_share_percent > 100)
			return BW_EINVAL;
		sum += config->rank[i].min_share_percent;
	}
	return sum <= 100 ? BW_OK : BW_EINVAL;
}

static uint32_t free_host_slots_(const struct bw_admission *admission)
{
	uint32_t slots = admission->config.host_slots;

	if (!slots)
		return UINT32_MAX / 2;
	return slots > admission->running ? slots - admission->running : 0;
}

static enum bw_admission_reason
check_offer_(struct bw_admission *admission,
	     const struct bw_admission_request *request, bool idle,
	     int64_t wait_ms, struct bw_time now)
{
	uint32_t target_ms =
		admission->config.rank[request->rank].target_latency_ms;
	struct bw_time start = bw_time_add(now, wait_ms);

	if (bw_admission_misses_deadline(admission, request, now))
		return BW_ADMISSION_DEADLINE;
	if (idle)
		return BW_ADMISSION_NO_REASON;
	if ((target_ms && wait_ms > wait_limit_ms_(admission, request)) ||
	    bw_admission_misses_deadline(admission, request, start))
		return BW_ADMISSION_WAIT;
	return check_limits_(admission, request);
}

/*
 * Returns the longest time in the queue that meets the target latency. It is at
 * least half of the target, so that a slow service does not refuse all requests
 * that would have to wait.
 */
static int64_t wait_limit_ms_(const struct bw_admission *admission,
			      const struct bw_admission_request *request)
{
	int64_t target_ms =
		admission->config.rank[request->rank].target_latency_ms;
	const struct bw_admission_queue *queue =
		&admission->services[request->service].queue[request->rank];
	int64_t limit_ms =
		target_ms - (int64_t)(queue->service_time_us / US_PER_MS);

	return limit_ms > target_ms / 2 ? limit_ms : target_ms / 2;
}

/*
 * Checks the limits of the queue and of the host. The limits of the host are
 * split evenly by rank, so that a flood of one rank leaves room for the others.
 */
static enum bw_admission_reason
check_limits_(const struct bw_admission *admission,
	      const struct bw_admission_request *request)
{
	const struct bw_admission_config *config = &admission->config;
	const struct bw_admission_queue *queue =
		&admission->services[request->service].queue[request->rank];

	if (queue->count >= config->queue_max)
		return BW_ADMISSION_QUEUE_FULL;
	if (queue->bytes + request->size_bytes > config->queue_max_bytes)
		return BW_ADMISSION_QUEUE_BYTES;
	if (admission->free_head == BW_ADMISSION_NONE ||
	    admission->rank_queued[request->rank] >=
		    config->total_max / config->ranks_count ||
	    admission->rank_queued_bytes[request->rank] + request->size_bytes >
		    config->total_max_bytes / config->ranks_count)
		return BW_ADMISSION_HOST_FULL;
	return BW_ADMISSION_NO_REASON;
}

static void refuse_(struct bw_admission *admission,
		    const struct bw_admission_request *request,
		    enum bw_admission_reason reason, struct bw_random *random,
		    struct bw_admission_result *result)
{
	bw_admission_queue_of(admission, request->service, request->rank)
		->refused_count[reason]++;
	result->outcome = BW_ADMISSION_REFUSED;
	result->reason = reason;
	result->retry_after_ms = bw_admission_retry_after_ms(
		admission, request->service, request->rank, random);
}

static void record_start_(struct bw_admission *admission, uint32_t service,
			  uint32_t rank, struct bw_time now)
{
	struct bw_admission_queue *queue =
		bw_admission_queue_of(admission, service, rank);

	advance_window_(admission, &queue->window, now);
	queue->window.started[queue->window.bucket % BW_ADMISSION_BUCKETS]++;
	queue->window.sum++;
	queue->admitted_count++;
	queue->running++;
	admission->services[service].running++;
	admission->running++;
}

static void advance_window_(const struct bw_admission *admission,
			    struct bw_admission_window *window,
			    struct bw_time now)
{
	int64_t bucket =
		now.ms * BW_ADMISSION_BUCKETS / admission->config.window_ms;
	uint32_t *old;

	if (bucket - window->bucket >= BW_ADMISSION_BUCKETS) {
		memset(window, 0, sizeof(*window));
		window->bucket = bucket;
	}
	while (window->bucket < bucket) {
		window->bucket++;
		old = &window->started[window->bucket % BW_ADMISSION_BUCKETS];
		window->sum -= *old;
		*old = 0;
	}
}

static enum bw_status start_next_(struct bw_admission *admission,
				  uint32_t first, uint32_t count,
				  const uint32_t *free_slots,
				  struct bw_time now,
				  struct bw_admission_request *request)
{
	struct bw_admission_candidate best = { .found = false };
	struct bw_admission_service *service;
	uint64_t free_sum = 0;
	uint32_t index;
	uint32_t rank;
	uint32_t i;
	bool host_limited;

	for (i = 0; i < count; i++) {
		service = &admission->services[first + i];
		service->slots = service->running + free_slots[i];
		if (!service->queued)
			continue;
		free_sum += free_slots[i];
		for (rank = 0; rank < BW_SHEET_RANKS_MAX; rank++)
			bw_admission_expire_queue(admission, first + i, rank,
						  now);
	}
	if (!free_host_slots_(admission))
		return BW_EAGAIN;
	host_limited = free_host_slots_(admission) < free_sum;
	bw_admission_choose(admission, first, count, free_slots, host_limited,
			    &best);
	if (!best.found)
		return BW_EAGAIN;
	index = bw_admission_queue_of(admission, best.service, best.rank)->head;
	*request = admission->entries[index].request;
	bw_admission_update_credits(admission, best.service, best.rank,
				    host_limited);
	bw_admission_dequeue(admission, index);
	bw_admission_release(admission, index);
	record_start_(admission, best.service, best.rank, now);
	return BW_OK;
}

static double update_average_(double average, double value)
{
	return average > 0 ? average + SERVICE_TIME_GAIN * (value - average)
			   : value;
}
