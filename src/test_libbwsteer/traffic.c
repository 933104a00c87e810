#include "traffic.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwsteer/admission.h"
#include "bwsteer/backend.h"
#include "bwsteer/poison.h"
#include "bwsteer/retry.h"

#define SERVICE "certdesk"
#define SERVERS 6
#define SLOTS 3
#define DURATION_MS 8000
#define FLOOD_FROM_MS 2000
#define FLOOD_TO_MS 6000
#define REQUESTS_MAX 65536
#define ATTEMPTS_MAX 256
#define INNOCENT_KEYS 200
#define RETRIES_MAX 2
#define NAIVE_RETRIES_MAX 10

struct request {
	uint32_t rank;
	uint32_t key; /* 0: poison; fingerprint otherwise */
	bool idempotent;
	struct bw_time arrival;
	struct bw_time deadline;
	struct bw_time due; /* of the next offer */
	uint32_t service_ms;
	uint32_t attempts;
	uint32_t executed; /* runs that a server began */
	bool queued;
	bool waiting; /* for its retry delay */
	uint64_t exclude;
};

struct server {
	char id[BW_NAME_MAX];
	uint64_t incarnation;
	bool up;
	bool crashing;
	struct bw_time crash_at;
	struct bw_time restart_at;
	struct bw_time slot_free[SLOTS];
	uint32_t in_flight;
	uint32_t served;
	uint32_t slow;
	bool fails_fast;
	bool draining;
	uint32_t handle_runs;
};

struct attempt {
	uint32_t request;
	uint32_t server;
	uint64_t incarnation;
	uint64_t handle;
	uint32_t in_flight;
	struct bw_time start;
	struct bw_time end;
	enum bw_backend_outcome outcome;
};

struct model {
	enum traffic_scenario scenario;
	uint64_t seed;
	bool naive;
	struct traffic_result *result;
	struct bw_random random; /* arrivals; equal for both versions */
	struct bw_random choices; /* of the version */
	struct bw_time now;
	struct bw_time begin;
	struct request *requests;
	uint32_t requests_count;
	uint32_t retry_from;
	struct attempt attempts[ATTEMPTS_MAX];
	uint32_t attempts_count;
	struct server servers[SERVERS];
	struct bw_backend_table table;
	struct bw_admission admission;
	struct bw_retry retry;
	struct bw_poison poison;
	uint32_t service;
	uint32_t *fifo;
	uint32_t fifo_head;
	uint32_t fifo_tail;
	uint32_t cursor;
	uint32_t queued[TRAFFIC_RANKS];
	uint32_t grants[TRAFFIC_RANKS]; /* while the rank waits */
	uint32_t own_grants[TRAFFIC_RANKS];
	uint32_t overtakes; /* grants to others while urgent waits */
	bool innocent_rejected[INNOCENT_KEYS + 1];
	uint64_t crashes;
	uint64_t retries;
	uint64_t firsts;
};

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

const char *const traffic_scenario_string[TRAFFIC_SCENARIO_COUNT] = {
	[TRAFFIC_CALM] = "calm",
	[TRAFFIC_FLOOD_URGENT] = "flood urgent",
	[TRAFFIC_FLOOD_LOOKUP] = "flood lookup",
	[TRAFFIC_FLOOD_FILING] = "flood filing",
	[TRAFFIC_LYING_REPORTS] = "lying reports",
	[TRAFFIC_FAIL_FAST] = "fail fast",
	[TRAFFIC_REPORTS_HALF_LOST] = "reports half lost",
	[TRAFFIC_REPORTS_STOP] = "reports stop",
	[TRAFFIC_COLD_START] = "cold start",
	[TRAFFIC_DRAIN] = "drain",
	[TRAFFIC_CRASH_STORM] = "crash storm",
	[TRAFFIC_TWICE_AT_ONCE] = "twice at once",
};

static void check_(const struct model *model, bool holds, const char *rule)
{
	if (!model->naive && !holds)
		fail_msg("%s: scenario %s, seed %llu, %lld ms", rule,
			 traffic_scenario_string[model->scenario],
			 (unsigned long long)model->seed,
			 (long long)bw_time_diff_ms(model->now, model->begin));
}

static void fingerprint_(uint32_t key, struct bw_fingerprint *fingerprint)
{
	memset(fingerprint, 0, sizeof(*fingerprint));
	memcpy(fingerprint->bytes, &key, sizeof(key));
}

static void announce_(struct model *model, uint32_t index)
{
	struct server *server = &model->servers[index];
	struct bw_backend_announcement announcement = {
		.incarnation = ++server->incarnation,
		.service = SERVICE,
		.failure_domain = "khomas-a",
		.address = "127.0.0.1",
		.port = 8080,
		.slots = SLOTS,
		.connections = 360,
	};

	server->up = true;
	server->crashing = false;
	server->served = 0;
	memcpy(announcement.id, server->id, BW_NAME_MAX);
	if (!model->naive)
		bw_poison_server_lost(&model->poison, server->incarnation - 1,
				      model->now);
	assert_int_equal(bw_backend_announce(&model->table, &announcement,
					     model->now),
			 BW_OK);
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
	model->fifo = calloc(REQUESTS_MAX * (NAIVE_RETRIES_MAX + 1),
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
		model->servers[i].slow = 1;
		announce_(model, i);
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

static void heartbeats_(struct model *model)
{
	const struct server *server;
	uint32_t in_flight;
	uint32_t i;

	for (i = 0; i < SERVERS; i++) {
		server = &model->servers[i];
		if (model->now.ms % 1000 != i * 150 || !server->up)
			continue;
		if (model->scenario == TRAFFIC_REPORTS_STOP &&
		    model->now.ms > model->begin.ms + 500)
			continue;
		if (model->scenario == TRAFFIC_REPORTS_HALF_LOST &&
		    bw_random_below(&model->choices, 2))
			continue;
		in_flight = server->in_flight;
		if (model->scenario == TRAFFIC_LYING_REPORTS && i == 0)
			in_flight = 0;
		if (model->scenario == TRAFFIC_LYING_REPORTS && i == 1)
			in_flight = SLOTS;
		bw_backend_heartbeat(&model->table, server->id,
				     server->incarnation, in_flight, 0,
				     model->now);
	}
}

static void faults_(struct model *model)
{
	int64_t ms = bw_time_diff_ms(model->now, model->begin);
	struct server *first = &model->servers[0];
	uint32_t i;

	for (i = 0; i < SERVERS; i++) {
		if (!model->servers[i].up && model->servers[i].restart_at.ms &&
		    bw_time_reached(model->now, model->servers[i].restart_at))
			announce_(model, i);
	}
	if (model->scenario == TRAFFIC_LYING_REPORTS && ms == 0)
		first->slow = 6;
	if ((model->scenario == TRAFFIC_FAIL_FAST ||
	     model->scenario == TRAFFIC_TWICE_AT_ONCE) &&
	    ms == 1000)
		first->fails_fast = true;
	if (model->scenario == TRAFFIC_DRAIN && ms == 2000) {
		for (i = 0; i < 2; i++) {
			model->servers[i].draining = true;
			bw_backend_drain(&model->table, model->servers[i].id,
					 model->servers[i].incarnation,
					 model->now);
		}
	}
	if (model->scenario == TRAFFIC_DRAIN && ms == 4000) {
		check_(model, !first->in_flight, "drain ends with no request");
		first->up = false;
		bw_backend_leave(&model->table, first->id, first->incarnation,
				 model->now);
	}
	if ((model->scenario == TRAFFIC_TWICE_AT_ONCE ||
	     model->scenario == TRAFFIC_REPORTS_STOP) &&
	    ms == 3000) {
		model->servers[3].crashing = true;
		model->servers[3].crash_at = model->now;
	}
}

static void crash_(struct model *model, uint32_t index)
{
	struct server *server = &model->servers[index];
	uint32_t i;

	server->up = false;
	server->crashing = false;
	server->restart_at = bw_time_add(
		model->now,
		model->scenario == TRAFFIC_REPORTS_STOP ? 60000 : 500);
	memset(server->slot_free, 0, sizeof(server->slot_free));
	model->crashes++;
	for (i = 0; i < model->attempts_count; i++) {
		if (model->attempts[i].server != index ||
		    model->attempts[i].incarnation != server->incarnation ||
		    model->attempts[i].outcome == BW_BACKEND_REFUSED)
			continue;
		model->attempts[i].end = model->now;
		model->attempts[i].outcome = BW_BACKEND_CONNECTION_LOST;
	}
}

/* Decides what the server does with a request that reaches it now. */
static void serve_(struct model *model, struct attempt *attempt)
{
	struct request *request = &model->requests[attempt->request];
	struct server *server = &model->servers[attempt->server];
	uint32_t cold = server->served < 60 ? 6 - server->served / 10 : 1;
	uint32_t slot = 0;
	struct bw_time start;
	uint32_t i;

	attempt->end = bw_time_add(model->now, 1);
	attempt->outcome = BW_BACKEND_REFUSED;
	if (!server->up)
		return;
	for (i = 1; i < SLOTS; i++) {
		if (server->slot_free[i].ms < server->slot_free[slot].ms)
			slot = i;
	}
	start = server->slot_free[slot];
	if (start.ms < model->now.ms)
		start = model->now;
	if (start.ms - model->now.ms > 2000)
		return;
	request->executed++;
	server->in_flight++;
	if (server->fails_fast) {
		attempt->outcome = BW_BACKEND_ERROR;
		return;
	}
	if (!request->key && !server->crashing) {
		server->crashing = true;
		server->crash_at = bw_time_add(start, 5);
	}
	server->served++;
	attempt->outcome = BW_BACKEND_OK;
	attempt->end =
		bw_time_add(start, request->service_ms * server->slow * cold);
	server->slot_free[slot] = attempt->end;
	if (attempt->end.ms < request->deadline.ms)
		return;
	attempt->end = request->deadline;
	attempt->outcome = BW_BACKEND_TIMEOUT;
	if (!model->naive) /* cancels the run */
		server->slot_free[slot] = request->deadline;
}

static void begin_(struct model *model, uint32_t index, uint32_t target,
		   uint64_t handle, uint32_t in_flight)
{
	struct request *request = &model->requests[index];
	struct server *server = &model->servers[target];
	struct attempt *attempt = &model->attempts[model->attempts_count++];
	int64_t ms = bw_time_diff_ms(model->now, model->begin);

	assert_true(model->attempts_count < ATTEMPTS_MAX);
	check_(model, server->in_flight < SLOTS, "in flight <= slots");
	check_(model, !server->draining, "no new work on a draining server");
	check_(model, model->now.ms < request->deadline.ms,
	       "no start after the deadline");
	model->result->attempts++;
	if (!request->attempts)
		model->result->rank[request->rank].started++;
	request->attempts++;
	if (server->fails_fast && ms > 2000)
		model->result->bad_attempts++;
	attempt->request = index;
	attempt->server = target;
	attempt->incarnation = server->incarnation;
	attempt->handle = handle;
	attempt->in_flight = in_flight + 1;
	attempt->start = model->now;
	serve_(model, attempt);
}

/* Takes back the slot when no backend server accepts the request. */
static void put_back_(struct model *model, uint32_t index)
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

	if (status != BW_OK || bw_backend_started(&model->table, choice.handle,
						  model->now) != BW_OK) {
		put_back_(model, index);
		return;
	}
	begin_(model, index, (uint32_t)(choice.id[9] - '0'), choice.handle,
	       choice.in_flight);
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
	if (model->naive) {
		model->fifo[model->fifo_tail++] = index;
		return;
	}
	fingerprint_(request->key, &fingerprint);
	if (bw_poison_check(&model->poison, &fingerprint, 2, model->now,
			    &retry_after)) {
		if (request->key <= INNOCENT_KEYS)
			model->innocent_rejected[request->key] = true;
		return;
	}
	bw_admission_offer(&model->admission, &offer, free_slots_(model),
			   model->now, &model->choices, &result);
	if (result.outcome == BW_ADMISSION_ADMITTED)
		dispatch_now_(model, index);
	if (result.outcome != BW_ADMISSION_QUEUED)
		return;
	request->queued = true;
	model->queued[request->rank]++;
	check_(model, model->queued[request->rank] <= 256, "queue bound");
}

/* A rank whose queue is empty no longer waits, also between two grants. */
static void unqueue_(struct model *model,
		     const struct bw_admission_request *taken)
{
	model->requests[taken->id - 1].queued = false;
	if (--model->queued[taken->rank])
		return;
	model->grants[taken->rank] = 0;
	model->own_grants[taken->rank] = 0;
	if (!taken->rank)
		model->overtakes = 0;
}

/*
 * Counts grants as an observer would: while a rank waits it must get its
 * minimum share, and others overtake the urgent rank only for theirs.
 */
static void check_grant_(struct model *model, uint32_t rank)
{
	uint32_t i;

	for (i = 0; i < TRAFFIC_RANKS; i++) {
		if (!model->queued[i])
			continue;
		model->grants[i]++;
		model->own_grants[i] += i == rank;
		check_(model,
		       model->own_grants[i] + 1 >=
			       model->grants[i] * ranks_[i].min_share_percent /
				       100,
		       "minimum share");
	}
	model->overtakes = model->grants[0] ? model->overtakes + !!rank : 0;
	check_(model, model->overtakes <= model->grants[0] * 20 / 100 + 2,
	       "urgent first");
}

static void expire_(struct model *model)
{
	struct bw_admission_request taken;

	while (bw_admission_expire(&model->admission, model->now, &taken) ==
	       BW_OK)
		unqueue_(model, &taken);
}

static void dispatch_(struct model *model)
{
	struct bw_admission_request taken;
	uint32_t index;

	while (model->naive && model->attempts_count < SERVERS * SLOTS &&
	       model->fifo_head < model->fifo_tail) {
		index = model->fifo[model->fifo_head++];
		if (model->now.ms >= model->requests[index].deadline.ms)
			continue;
		begin_(model, index, model->cursor++ % SERVERS, 0, 0);
	}
	if (model->naive)
		return;
	expire_(model);
	while (bw_admission_next(&model->admission, model->service,
				 free_slots_(model), model->now,
				 &taken) == BW_OK) {
		expire_(model); /* before the observer counts who waits */
		check_grant_(model, taken.rank);
		unqueue_(model, &taken);
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

	if (model->naive) {
		if (request->attempts > NAIVE_RETRIES_MAX ||
		    model->now.ms >= request->deadline.ms)
			return;
	} else if (bw_retry_decide(&model->retry, &attempt, model->now,
				   &model->choices,
				   &delay_ms) != BW_RETRY_ALLOWED) {
		return;
	}
	model->retries++;
	check_(model, request->attempts <= RETRIES_MAX, "retries per request");
	check_(model, request->idempotent || not_run,
	       "no retry of what may have run");
	request->waiting = true;
	request->due = bw_time_add(model->now, delay_ms);
}

static void learn_(struct model *model, const struct attempt *attempt)
{
	struct request *request = &model->requests[attempt->request];
	uint64_t latency_us =
		(uint64_t)bw_time_diff_ms(model->now, attempt->start) * 1000;
	struct bw_fingerprint fingerprint;

	fingerprint_(request->key, &fingerprint);
	bw_backend_finished(&model->table, attempt->handle, attempt->outcome,
			    latency_us, model->now);
	bw_admission_done(&model->admission, model->service, request->rank,
			  attempt->outcome == BW_BACKEND_OK ? latency_us : 0);
	request->exclude = attempt->handle;
	switch (attempt->outcome) {
	case BW_BACKEND_OK:
		bw_retry_observe(&model->retry, model->service, request->rank,
				 latency_us);
		bw_poison_completed(&model->poison, &fingerprint, model->now);
		break;
	case BW_BACKEND_CONNECTION_LOST:
		bw_poison_connection_lost(&model->poison, &fingerprint,
					  attempt->incarnation,
					  attempt->in_flight, model->now);
		break;
	case BW_BACKEND_REFUSED:
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

	if (attempt->outcome != BW_BACKEND_REFUSED)
		model->servers[attempt->server].in_flight--;
	if (!model->naive)
		learn_(model, attempt);
	if (attempt->outcome == BW_BACKEND_OK) {
		rank->served++;
		rank->latency[latency_ms / 5 < TRAFFIC_LATENCIES
				      ? latency_ms / 5
				      : TRAFFIC_LATENCIES - 1]++;
		model->result->worth += ranks_[request->rank].worth;
		return;
	}
	if (attempt->outcome == BW_BACKEND_TIMEOUT)
		rank->late++;
	else
		retry_(model, attempt->request,
		       attempt->outcome == BW_BACKEND_REFUSED);
}

static void completions_(struct model *model)
{
	struct attempt done;
	uint32_t i;

	for (i = 0; i < SERVERS; i++) {
		if (model->servers[i].crashing &&
		    bw_time_reached(model->now, model->servers[i].crash_at))
			crash_(model, i);
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

static void arrive_(struct model *model, uint32_t rank, bool poison)
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
	/* Look-ups repeat; the other requests are all different. */
	request->key = INNOCENT_KEYS + 1 + index;
	if (rank == 1)
		request->key = 1 + (uint32_t)bw_random_below(&model->random,
							     INNOCENT_KEYS);
	if (poison)
		request->key = 0;
	model->firsts++;
	model->result->rank[rank].offered++;
	if (!model->naive)
		bw_retry_first(&model->retry, model->service, rank);
	offer_(model, index);
}

static void arrivals_(struct model *model)
{
	int64_t ms = bw_time_diff_ms(model->now, model->begin);
	bool flood = ms >= FLOOD_FROM_MS && ms < FLOOD_TO_MS;
	uint32_t per_s;
	uint32_t rank;
	bool floods;

	for (rank = 0; rank < TRAFFIC_RANKS; rank++) {
		floods =
			(uint32_t)model->scenario ==
				TRAFFIC_FLOOD_URGENT + rank ||
			(model->scenario == TRAFFIC_TWICE_AT_ONCE && rank == 2);
		per_s = floods && flood ? ranks_[rank].flood_per_s
					: ranks_[rank].per_s;
		for (; per_s >= 1000; per_s -= 1000)
			arrive_(model, rank, false);
		if (bw_random_below(&model->random, 1000) < per_s)
			arrive_(model, rank, false);
	}
	if (model->scenario == TRAFFIC_CRASH_STORM && ms % 100 == 50)
		arrive_(model, 1, true);
}

static void retries_(struct model *model)
{
	struct request *request;
	uint32_t i;

	while (model->retry_from < model->requests_count &&
	       model->requests[model->retry_from].deadline.ms <=
		       model->now.ms - 4000)
		model->retry_from++;
	for (i = model->retry_from; i < model->requests_count; i++) {
		request = &model->requests[i];
		if (request->waiting &&
		    bw_time_reached(model->now, request->due))
			offer_(model, i);
	}
}

static void collect_(struct model *model)
{
	struct traffic_result *result = model->result;
	uint64_t innocent = 0;
	uint64_t budget = model->firsts / 10 + 3 * TRAFFIC_RANKS * 12;
	uint32_t i;

	for (i = 1; i <= INNOCENT_KEYS; i++)
		innocent += model->innocent_rejected[i];
	for (i = 0; i < model->requests_count; i++) {
		if (model->requests[i].executed > 1 &&
		    !model->requests[i].idempotent)
			result->runs_twice++;
		check_(model,
		       model->requests[i].attempts ||
			       !model->requests[i].executed,
		       "refused work was never started");
	}
	check_(model, model->retries <= budget, "retry budget");
	result->retries += model->retries;
	result->crashes += model->crashes;
	if (model->crashes > result->crashes_max)
		result->crashes_max = model->crashes;
	if (innocent > result->innocent_rejected_max)
		result->innocent_rejected_max = innocent;
	result->runs++;
}

void traffic_run(enum traffic_scenario scenario, uint64_t seed, bool naive,
		 const struct bw_chart *chart, struct traffic_result *result)
{
	struct model *model = calloc(1, sizeof(*model));

	assert_non_null(model);
	model->scenario = scenario;
	model->seed = seed;
	model->naive = naive;
	model->result = result;
	init_(model, chart);
	for (; bw_time_diff_ms(model->now, model->begin) < DURATION_MS;
	     model->now.ms++) {
		heartbeats_(model);
		if (model->now.ms % 50 == 0) {
			bw_backend_tick(&model->table, model->now);
			bw_poison_tick(&model->poison, model->now);
		}
		if (model->now.ms < model->begin.ms)
			continue;
		faults_(model);
		completions_(model);
		retries_(model);
		arrivals_(model);
		dispatch_(model);
		/* Windows of the share check begin at any time. */
		if (bw_random_below(&model->choices, 500) == 0) {
			memset(model->grants, 0, sizeof(model->grants));
			memset(model->own_grants, 0, sizeof(model->own_grants));
			model->overtakes = 0;
		}
	}
	collect_(model);
	finish_(model);
	free(model);
}

uint32_t traffic_quantile_ms(const struct traffic_rank_result *rank,
			     double quantile)
{
	uint64_t seen = 0;
	uint32_t i;

	for (i = 0; i < TRAFFIC_LATENCIES; i++) {
		seen += rank->latency[i];
		if (seen && (double)seen >= quantile * (double)rank->served)
			return (i + 1) * 5;
	}
	return 0;
}
