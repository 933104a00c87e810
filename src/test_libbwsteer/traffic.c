#include "traffic_model.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* Load and settings of the ranks: urgent, look-up and filing requests. */
static const struct {
	uint32_t per_s;
	uint32_t flood_per_s;
	uint32_t service_ms;
	uint32_t deadline_ms;
	uint32_t target_ms;
	uint32_t min_share_percent;
	uint32_t worth;
	bool idempotent;
} ranks_[TRAFFIC_RANKS] = {
	{ 60, 1800, 20, 400, 200, 20, 100, false },
	{ 400, 2600, 10, 500, 100, 15, 10, true },
	{ 80, 700, 40, 4000, 2000, 5, 1, false },
};

static void fingerprint_(uint32_t key, struct bw_fingerprint *fingerprint)
{
	memset(fingerprint, 0, sizeof(*fingerprint));
	memcpy(fingerprint->bytes, &key, sizeof(key));
}

static void init_(struct model *model, const struct bw_chart *chart)
{
	struct bw_backend_config backend;
	struct bw_admission_config admission;
	struct bw_retry_config retry;
	struct bw_poison_config poison;
	uint32_t i;

	model->begin = (struct bw_time){ 10000 };
	model->now = (struct bw_time){ 7000 };
	bw_random_init(&model->random, model->seed);
	bw_random_init(&model->choices, ~model->seed);
	model->requests = calloc(REQUESTS_MAX, sizeof(model->requests[0]));
	model->fifo = calloc(REQUESTS_MAX * (BASELINE_RETRIES_MAX + 1),
			     sizeof(model->fifo[0]));
	assert_non_null(model->requests);
	assert_non_null(model->fifo);
	bw_backend_config_default(&backend, chart);
	backend.servers_max = 16;
	backend.services_max = 2;
	backend.ramp_ms = 2000;
	bw_admission_config_default(&admission);
	admission.ranks_count = TRAFFIC_RANKS;
	admission.services_max = 2;
	for (i = 0; i < TRAFFIC_RANKS; i++) {
		admission.rank[i].min_share_percent =
			ranks_[i].min_share_percent;
		admission.rank[i].target_latency_ms = ranks_[i].target_ms;
	}
	bw_retry_config_default(&retry);
	bw_poison_config_default(&poison, "khomas-a-1");
	assert_int_equal(bw_backend_init(&model->table, &backend), BW_OK);
	assert_int_equal(bw_admission_init(&model->admission, &admission,
					   model->now),
			 BW_OK);
	assert_int_equal(bw_retry_init(&model->retry, &retry, model->now),
			 BW_OK);
	assert_int_equal(bw_poison_init(&model->poison, &poison), BW_OK);
	bw_admission_service(&model->admission, SERVICE, &model->service);
	if (model->scenario == TRAFFIC_COLD_START)
		model->now = model->begin;
	for (i = 0; i < SERVERS; i++) {
		snprintf(model->servers[i].id, BW_NAME_MAX, "certdesk-%u", i);
		model->servers[i].incarnation = (uint64_t)(i + 1) << 32;
		model->servers[i].slowdown = 1;
		traffic_announce(model, i);
		if (model->scenario != TRAFFIC_COLD_START)
			model->servers[i].served = 1000;
	}
}

static void finish_(struct model *model)
{
	bw_backend_finish(&model->table);
	bw_admission_finish(&model->admission);
	bw_retry_finish(&model->retry);
	bw_poison_finish(&model->poison);
	free(model->requests);
	free(model->fifo);
}

static void start_attempt_(struct model *model, uint32_t index, uint32_t target,
			   uint64_t handle, uint32_t in_flight)
{
	struct request *request = &model->requests[index];
	struct server *server = &model->servers[target];
	struct attempt *attempt = &model->attempts[model->attempts_count++];
	int64_t ms = bw_time_diff_ms(model->now, model->begin);

	assert_true(model->attempts_count < ATTEMPTS_MAX);
	traffic_check_invariant(model, !request->refused,
				"refused requests are never started");
	traffic_check_invariant(model, server->in_flight < SLOTS_PER_SERVER,
				"in flight <= slots");
	traffic_check_invariant(model, !server->draining,
				"no new work on a draining server");
	traffic_check_invariant(model, model->now.ms < request->deadline.ms,
				"no start after the deadline");
	model->result->attempts++;
	if (!request->attempts)
		model->result->rank[request->rank].started++;
	request->attempts++;
	if (server->fails_fast && ms > 2000)
		model->result->failing_server_attempts++;
	attempt->request = index;
	attempt->server = target;
	attempt->incarnation = server->incarnation;
	attempt->handle = handle;
	attempt->in_flight = in_flight + 1;
	attempt->start = model->now;
	traffic_serve(model, attempt);
}

/* Releases the slot and offers the request again when no backend server is
 * available. */
static void defer_(struct model *model, uint32_t index)
{
	bw_admission_done(&model->admission, model->service,
			  model->requests[index].rank, 0);
	model->requests[index].waiting = true;
	model->requests[index].due = bw_time_add(model->now, 10);
}

static void dispatch_now_(struct model *model, uint32_t index)
{
	struct request *request = &model->requests[index];
	struct bw_backend_choice choice;
	enum bw_status status = bw_backend_pick(
		&model->table, SERVICE, model->now, &model->choices,
		&request->exclude, request->exclude ? 1 : 0, &choice);

	if (status != BW_OK ||
	    bw_backend_request_start(&model->table, choice.handle,
				     model->now) != BW_OK) {
		defer_(model, index);
		return;
	}
	start_attempt_(model, index, (uint32_t)(choice.id[9] - '0'),
		       choice.handle, choice.in_flight);
}

static uint32_t free_slots_(const struct model *model)
{
	struct bw_backend_summary summary;

	bw_backend_summarise(&model->table, SERVICE, model->now, &summary);
	return summary.free_slots;
}

static void offer_(struct model *model, uint32_t index)
{
	struct request *request = &model->requests[index];
	struct bw_admission_request offer = { index + 1, model->service,
					      request->rank, 1000,
					      request->deadline };
	struct bw_admission_result result;
	struct bw_fingerprint fingerprint;
	uint32_t retry_after;

	request->waiting = false;
	if (model->baseline) {
		model->fifo[model->fifo_tail++] = index;
		return;
	}
	fingerprint_(request->key, &fingerprint);
	if (bw_poison_check(&model->poison, &fingerprint, 2, model->now,
			    &retry_after)) {
		if (request->key <= LOOKUP_KEYS)
			model->harmless_rejected[request->key] = true;
		return;
	}
	bw_admission_offer(&model->admission, &offer, free_slots_(model),
			   model->now, &model->choices, &result);
	if (result.outcome == BW_ADMISSION_ADMITTED)
		dispatch_now_(model, index);
	request->refused = result.outcome == BW_ADMISSION_REFUSED;
	if (result.outcome != BW_ADMISSION_QUEUED)
		return;
	request->queued = true;
	model->queued[request->rank]++;
	traffic_check_invariant(model, model->queued[request->rank] <= 256,
				"queue is limited");
}

/* Records that a request left its queue. The counts of grants start anew when
 * the queue becomes empty. */
static void count_dequeued_(struct model *model,
			    const struct bw_admission_request *taken,
			    bool expired)
{
	model->requests[taken->id - 1].queued = false;
	model->requests[taken->id - 1].refused = expired;
	if (--model->queued[taken->rank])
		return;
	model->grants[taken->rank] = 0;
	model->own_grants[taken->rank] = 0;
	if (!taken->rank)
		model->grants_before_urgent = 0;
}

/*
 * Checks the order of grants independently of the admission module. A rank must
 * get its minimum share while its requests wait, and the other ranks may be
 * served before the most urgent one only for their minimum shares.
 */
static void check_grant_(struct model *model, uint32_t rank)
{
	uint32_t i;

	for (i = 0; i < TRAFFIC_RANKS; i++) {
		if (!model->queued[i])
			continue;
		model->grants[i]++;
		model->own_grants[i] += i == rank;
		traffic_check_invariant(
			model,
			model->own_grants[i] + 1 >=
				model->grants[i] * ranks_[i].min_share_percent /
					100,
			"minimum share is kept");
	}
	model->grants_before_urgent =
		model->grants[0] ? model->grants_before_urgent + !!rank : 0;
	traffic_check_invariant(model,
				model->grants_before_urgent <=
					model->grants[0] * 20 / 100 + 2,
				"most urgent rank is served first");
}

static void expire_(struct model *model)
{
	struct bw_admission_request taken;

	while (bw_admission_expire(&model->admission, model->now, &taken) ==
	       BW_OK)
		count_dequeued_(model, &taken, true);
}

static void dispatch_(struct model *model)
{
	struct bw_admission_request taken;
	uint32_t index;

	while (model->baseline &&
	       model->attempts_count < SERVERS * SLOTS_PER_SERVER &&
	       model->fifo_head < model->fifo_tail) {
		index = model->fifo[model->fifo_head++];
		if (model->now.ms >= model->requests[index].deadline.ms)
			continue;
		start_attempt_(model, index, model->cursor++ % SERVERS, 0, 0);
	}
	if (model->baseline)
		return;
	expire_(model);
	while (bw_admission_next(&model->admission, model->service,
				 free_slots_(model), model->now,
				 &taken) == BW_OK) {
		expire_(model); /* before check_grant_ looks at the queues */
		check_grant_(model, taken.rank);
		count_dequeued_(model, &taken, false);
		dispatch_now_(model, (uint32_t)taken.id - 1);
	}
}

static void retry_(struct model *model, uint32_t index, bool not_run)
{
	struct request *request = &model->requests[index];
	struct bw_retry_attempt attempt = {
		.service = model->service,
		.rank = request->rank,
		.attempts = request->attempts,
		.idempotent = request->idempotent,
		.not_run = not_run,
		.deadline = request->deadline,
	};
	uint32_t delay_ms = 0;

	if (model->baseline) {
		if (request->attempts > BASELINE_RETRIES_MAX ||
		    model->now.ms >= request->deadline.ms)
			return;
	} else if (bw_retry_decide(&model->retry, &attempt, model->now,
				   &model->choices,
				   &delay_ms) != BW_RETRY_ALLOWED) {
		return;
	}
	model->retries++;
	traffic_check_invariant(model, request->attempts <= RETRIES_MAX,
				"retries per request are limited");
	traffic_check_invariant(model, request->idempotent || not_run,
				"no retry of a non-idempotent request that may "
				"have run");
	request->waiting = true;
	request->due = bw_time_add(model->now, delay_ms);
}

static void record_outcome_(struct model *model, const struct attempt *attempt)
{
	struct request *request = &model->requests[attempt->request];
	uint64_t latency_us =
		(uint64_t)bw_time_diff_ms(model->now, attempt->start) * 1000;
	struct bw_fingerprint fingerprint;

	fingerprint_(request->key, &fingerprint);
	bw_backend_request_end(&model->table, attempt->handle, attempt->outcome,
			       latency_us, model->now);
	bw_admission_done(&model->admission, model->service, request->rank,
			  attempt->outcome == BW_BACKEND_OK ? latency_us : 0);
	request->exclude = attempt->handle;
	switch (attempt->outcome) {
	case BW_BACKEND_OK:
		bw_retry_record_latency(&model->retry, model->service,
					request->rank, latency_us);
		bw_poison_completed(&model->poison, &fingerprint, model->now);
		break;
	case BW_BACKEND_CONNECTION_LOST:
		bw_poison_connection_lost(&model->poison, &fingerprint,
					  attempt->incarnation,
					  attempt->in_flight, model->now);
		break;
	case BW_BACKEND_UNREACHABLE:
		bw_poison_server_lost(&model->poison, attempt->incarnation,
				      model->now);
		break;
	default:
		break;
	}
}

static void complete_(struct model *model, const struct attempt *attempt)
{
	struct request *request = &model->requests[attempt->request];
	struct traffic_rank_result *rank = &model->result->rank[request->rank];
	int64_t latency_ms = bw_time_diff_ms(model->now, request->arrival);

	if (!traffic_is_not_run(attempt))
		model->servers[attempt->server].in_flight--;
	if (!model->baseline)
		record_outcome_(model, attempt);
	if (attempt->outcome == BW_BACKEND_OK) {
		rank->served++;
		rank->latency[latency_ms / 5 < TRAFFIC_LATENCY_BUCKETS
				      ? latency_ms / 5
				      : TRAFFIC_LATENCY_BUCKETS - 1]++;
		model->result->worth += ranks_[request->rank].worth;
		return;
	}
	if (attempt->outcome == BW_BACKEND_TIMEOUT)
		rank->late++;
	else
		retry_(model, attempt->request, traffic_is_not_run(attempt));
}

static void process_completions_(struct model *model)
{
	struct attempt done;
	uint32_t i;

	for (i = 0; i < SERVERS; i++) {
		if (model->servers[i].crashing &&
		    bw_time_reached(model->now, model->servers[i].crash_at))
			traffic_crash(model, i);
	}
	i = 0;
	while (i < model->attempts_count) {
		if (!bw_time_reached(model->now, model->attempts[i].end)) {
			i++;
			continue;
		}
		done = model->attempts[i];
		model->attempts[i] = model->attempts[--model->attempts_count];
		complete_(model, &done);
	}
}

static void add_request_(struct model *model, uint32_t rank, bool poison)
{
	uint32_t index = model->requests_count++;
	struct request *request = &model->requests[index];

	assert_true(index < REQUESTS_MAX);
	request->rank = rank;
	request->arrival = model->now;
	request->deadline = bw_time_add(model->now, ranks_[rank].deadline_ms);
	request->idempotent = ranks_[rank].idempotent;
	request->service_ms =
		ranks_[rank].service_ms / 2 +
		(uint32_t)bw_random_below(&model->random,
					  ranks_[rank].service_ms + 1);
	/* Look-ups share a set of keys; every other request has its own. */
	request->key = LOOKUP_KEYS + 1 + index;
	if (rank == 1)
		request->key = 1 + (uint32_t)bw_random_below(&model->random,
							     LOOKUP_KEYS);
	if (poison)
		request->key = 0;
	model->first_attempts++;
	model->result->rank[rank].offered++;
	if (!model->baseline)
		bw_retry_record_first_attempt(&model->retry, model->service,
					      rank);
	offer_(model, index);
}

static void add_arrivals_(struct model *model)
{
	int64_t ms = bw_time_diff_ms(model->now, model->begin);
	bool in_flood_period = ms >= FLOOD_START_MS && ms < FLOOD_END_MS;
	uint32_t per_s;
	uint32_t rank;
	bool rank_floods;

	for (rank = 0; rank < TRAFFIC_RANKS; rank++) {
		rank_floods = (uint32_t)model->scenario ==
				      TRAFFIC_FLOOD_URGENT + rank ||
			      (model->scenario == TRAFFIC_COMBINED_FAULTS &&
			       rank == 2);
		per_s = rank_floods && in_flood_period
				? ranks_[rank].flood_per_s
				: ranks_[rank].per_s;
		for (; per_s >= 1000; per_s -= 1000)
			add_request_(model, rank, false);
		if (bw_random_below(&model->random, 1000) < per_s)
			add_request_(model, rank, false);
	}
	if (model->scenario == TRAFFIC_CRASH_STORM && ms % 100 == 50)
		add_request_(model, 1, true);
}

static void offer_retries_(struct model *model)
{
	struct request *request;
	uint32_t i;

	while (model->retry_scan_start < model->requests_count &&
	       model->requests[model->retry_scan_start].deadline.ms <=
		       model->now.ms - 4000)
		model->retry_scan_start++;
	for (i = model->retry_scan_start; i < model->requests_count; i++) {
		request = &model->requests[i];
		if (request->waiting &&
		    bw_time_reached(model->now, request->due))
			offer_(model, i);
	}
}

static void collect_result_(struct model *model)
{
	struct traffic_result *result = model->result;
	uint64_t harmless = 0;
	uint64_t budget = model->first_attempts / 10 + 3 * TRAFFIC_RANKS * 12;
	uint32_t i;

	for (i = 1; i <= LOOKUP_KEYS; i++)
		harmless += model->harmless_rejected[i];
	for (i = 0; i < model->requests_count; i++) {
		if (model->requests[i].executed > 1 &&
		    !model->requests[i].idempotent)
			result->runs_twice++;
	}
	traffic_check_invariant(model, model->retries <= budget,
				"retry budget is kept");
	result->retries += model->retries;
	result->crashes += model->crashes;
	if (model->crashes > result->crashes_max)
		result->crashes_max = model->crashes;
	if (harmless > result->harmless_rejected_max)
		result->harmless_rejected_max = harmless;
	result->runs++;
}

void traffic_run(enum traffic_scenario scenario, uint64_t seed, bool baseline,
		 const struct bw_chart *chart, struct traffic_result *result)
{
	struct model *model = calloc(1, sizeof(*model));

	assert_non_null(model);
	model->scenario = scenario;
	model->seed = seed;
	model->baseline = baseline;
	model->result = result;
	init_(model, chart);
	for (; bw_time_diff_ms(model->now, model->begin) < DURATION_MS;
	     model->now.ms++) {
		traffic_heartbeats(model);
		if (model->now.ms % 50 == 0) {
			bw_backend_tick(&model->table, model->now);
			bw_poison_tick(&model->poison, model->now);
		}
		if (model->now.ms < model->begin.ms)
			continue;
		traffic_faults(model);
		process_completions_(model);
		offer_retries_(model);
		add_arrivals_(model);
		dispatch_(model);
		/* The windows of check_grant_ start at random times. */
		if (bw_random_below(&model->choices, 500) == 0) {
			memset(model->grants, 0, sizeof(model->grants));
			memset(model->own_grants, 0, sizeof(model->own_grants));
			model->grants_before_urgent = 0;
		}
	}
	collect_result_(model);
	finish_(model);
	free(model);
}

uint32_t traffic_quantile_ms(const struct traffic_rank_result *rank,
			     double quantile)
{
	uint64_t seen = 0;
	uint32_t i;

	for (i = 0; i < TRAFFIC_LATENCY_BUCKETS; i++) {
		seen += rank->latency[i];
		if (seen && (double)seen >= quantile * (double)rank->served)
			return (i + 1) * 5;
	}
	return 0;
}
