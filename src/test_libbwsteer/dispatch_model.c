#include "dispatch_model.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bwbase/random.h"
#include "bwsteer/dispatch.h"

#define DOMAINS 6
#define HOSTS 10
#define SERVERS 16
#define SLOTS 9
#define QUEUE_MAX 27
#define OBJECTS_IN_MEMORY 39
#define OBJECTS_PER_REGION 53
/* Mean run time of a request whose object is not in memory. */
#define COLD_MS 880
/* Mean run time of a request whose object is in memory. */
#define WARM_MS 264
#define OBJECTIVE_MS 600
#define DEADLINE_MS 2500
#define TICK_MS 5
#define MEASURE_FROM_MS 10000
#define TAIL_FACTOR 7.0

/* A request of the model. */
struct request {
	struct bw_job job;
	uint32_t host;
	int64_t arrived_ms;
	int64_t start_ms; /* arrival at the server */
	int64_t end_ms; /* end of its run; 0 before it started */
	uint32_t server;
	uint32_t object;
};

/* A backend server of the model. */
struct server {
	struct bw_server known; /* as the hosts know it */
	GQueue waiting;
	GQueue running;
	uint32_t memory[OBJECTS_IN_MEMORY]; /* most recently used first */
	uint32_t memory_count;
	uint32_t domain;
	bool lost;
	double factor; /* on the time of runs that begin now */
	bool lies;
};

/* The model. */
struct model {
	enum model_policy policy;
	const struct model_load *load;
	struct model_result *result;
	struct bw_random random;
	struct server servers[SERVERS];
	struct bw_dispatch hosts[HOSTS];
	GQueue bound_waiting; /* the one queue of MODEL_BOUND */
	GQueue bound_running;
	double arrivals[DOMAINS];
	uint32_t answered;
	uint32_t answered_far;
	int64_t now_ms;
};

static const uint32_t server_domains[SERVERS] = { 0, 0, 0, 0, 1, 2, 2, 2,
						  3, 3, 3, 3, 4, 5, 5, 5 };
static const uint32_t host_domains[HOSTS] = { 0, 0, 1, 1, 2, 2, 3, 3, 4, 5 };

static uint32_t region_(uint32_t domain)
{
	return domain % 3;
}

static enum bw_distance distance_(uint32_t a, uint32_t b)
{
	if (a == b)
		return BW_DISTANCE_DOMAIN;
	return region_(a) == region_(b) ? BW_DISTANCE_REGION : BW_DISTANCE_FAR;
}

static int64_t network_delay_ms_(enum bw_distance distance)
{
	return distance == BW_DISTANCE_FAR ? 20 : 1;
}

static struct bw_time now_(const struct model *model)
{
	/* Hosts do not start at time 0 of their clock. */
	struct bw_time now = { model->now_ms + 100000 };

	return now;
}

static void complete_(struct model *model, struct request *request,
		      bool rejected)
{
	int64_t took_ms = model->now_ms - request->arrived_ms;
	struct model_result *result = model->result;

	if (request->arrived_ms >= MEASURE_FROM_MS) {
		result->requests++;
		if (rejected) {
			result->rejected++;
			result->rejected_wait_ms =
				MAX(result->rejected_wait_ms, took_ms);
		} else if (took_ms <= OBJECTIVE_MS) {
			result->on_time++;
		} else {
			result->late++;
			result->timeouts += took_ms > DEADLINE_MS;
		}
	}
	g_free(request);
}

static void submit_(struct model *model, struct request *request,
		    uint32_t server)
{
	uint32_t domain = host_domains[request->host];

	request->server = server;
	request->start_ms =
		model->now_ms +
		network_delay_ms_(distance_(domain, server_domains[server]));
	g_queue_push_tail(&model->servers[server].waiting, request);
}

static void send_(struct model *model, struct request *request)
{
	uint32_t i = 0;

	bw_dispatch_sent(&model->hosts[request->host], &request->job,
			 now_(model));
	while (strcmp(model->servers[i].known.record.id,
		      request->job.target->id) != 0)
		i++;
	submit_(model, request, i);
}

static void run_queue_(struct model *model, uint32_t host)
{
	struct bw_rejection rejection;
	enum bw_verdict verdict;
	struct bw_job *job;

	while ((job = bw_dispatch_next(&model->hosts[host], now_(model),
				       &verdict, &rejection))) {
		if (verdict == BW_VERDICT_SEND)
			send_(model, job->owner);
		else
			complete_(model, job->owner, true);
	}
}

/* Moves the object to the front of the memory; returns whether it was there. */
static bool access_object_(struct server *server, uint32_t object)
{
	uint32_t i = 0;
	bool known;

	while (i < server->memory_count && server->memory[i] != object)
		i++;
	known = i < server->memory_count;
	if (!known && server->memory_count < OBJECTS_IN_MEMORY)
		server->memory_count++;
	else if (!known)
		i = OBJECTS_IN_MEMORY - 1;
	memmove(&server->memory[1], &server->memory[0],
		i * sizeof(server->memory[0]));
	server->memory[0] = object;
	return known;
}

static int64_t run_time_ms_(struct model *model, const struct server *server,
			    bool warm)
{
	double spread = 0.85 + 0.3 * bw_random_unit(&model->random);

	if (server)
		spread *= server->factor;
	if (model->load->tail_percent &&
	    bw_random_below(&model->random, 100) < model->load->tail_percent)
		spread *= TAIL_FACTOR;
	return (int64_t)((warm ? WARM_MS : COLD_MS) * spread);
}

/* Draws the spells of all servers anew. */
static void draw_spells_(struct model *model)
{
	const struct model_load *load = model->load;
	uint32_t i;

	for (i = 0; i < SERVERS; i++) {
		struct server *server = &model->servers[i];

		server->lies = load->words == MODEL_FALSE_SOME && i % 4 == 0;
		server->factor = 1.0;
		if (load->slow_percent &&
		    bw_random_below(&model->random, 100) < load->slow_percent)
			server->factor = load->slow_factor;
		if (server->lies)
			server->factor = 3.0;
	}
}

/* Returns what a server says of its speed. */
static uint32_t word_(const struct model *model, const struct server *server)
{
	if (model->load->words == MODEL_SILENT)
		return 0;
	return server->lies ? 50 : (uint32_t)(100.0 * server->factor);
}

static void end_request_(struct model *model, struct request *request,
			 enum bw_job_result result)
{
	struct server *server = &model->servers[request->server];
	struct bw_load_report load = { .running = server->running.length,
				       .waiting = server->waiting.length,
				       .slots = SLOTS,
				       .time_percent = word_(model, server) };
	uint32_t host = request->host;
	uint32_t domain = host_domains[host];

	model->answered += result == BW_JOB_ANSWERED;
	model->answered_far += result == BW_JOB_ANSWERED &&
			       distance_(domain, server->domain) ==
				       BW_DISTANCE_FAR;
	if (model->policy == MODEL_DISPATCH)
		bw_dispatch_ended(&model->hosts[host], &request->job, result,
				  &load, now_(model));
	complete_(model, request, result != BW_JOB_ANSWERED);
	if (model->policy == MODEL_DISPATCH)
		run_queue_(model, host);
}

static void run_server_(struct model *model, uint32_t index)
{
	struct server *server = &model->servers[index];
	GList *item = server->running.head;

	while (item) {
		struct request *request = item->data;
		GList *next = item->next;
		int64_t response_delay_ms = network_delay_ms_(
			distance_(host_domains[request->host], server->domain));

		if (server->lost ||
		    request->end_ms + response_delay_ms <= model->now_ms) {
			g_queue_delete_link(&server->running, item);
			end_request_(model, request,
				     server->lost ? BW_JOB_FAILED
						  : BW_JOB_ANSWERED);
		}
		item = next;
	}
	item = server->waiting.head;
	while (item) {
		struct request *request = item->data;
		GList *next = item->next;

		if (server->lost || (server->running.length >= SLOTS &&
				     server->waiting.length > QUEUE_MAX)) {
			g_queue_delete_link(&server->waiting, item);
			end_request_(model, request, BW_JOB_REFUSED);
		} else if (server->running.length < SLOTS &&
			   request->start_ms <= model->now_ms) {
			g_queue_delete_link(&server->waiting, item);
			request->end_ms =
				model->now_ms +
				run_time_ms_(model, server,
					     access_object_(server,
							    request->object));
			model->result->runs++;
			model->result->false_runs += server->lies;
			g_queue_push_tail(&server->running, request);
		}
		item = next;
	}
}

/* Every slot serves any request, and every object is warm. */
static void run_upper_bound_(struct model *model)
{
	GList *item = model->bound_running.head;
	uint32_t lost = 0;
	uint32_t i;

	for (i = 0; i < SERVERS; i++)
		lost += model->servers[i].lost;
	while (item) {
		struct request *request = item->data;
		GList *next = item->next;

		if (request->end_ms <= model->now_ms) {
			g_queue_delete_link(&model->bound_running, item);
			complete_(model, request, false);
		}
		item = next;
	}
	while (model->bound_waiting.length &&
	       model->bound_running.length < (SERVERS - lost) * SLOTS) {
		struct request *request =
			g_queue_pop_head(&model->bound_waiting);

		if (model->now_ms - request->arrived_ms + WARM_MS >
		    OBJECTIVE_MS) {
			complete_(model, request, true);
			continue;
		}
		request->end_ms =
			model->now_ms + run_time_ms_(model, NULL, true);
		g_queue_push_tail(&model->bound_running, request);
	}
}

static void place_request_(struct model *model, struct request *request)
{
	struct bw_rejection rejection;
	uint32_t server;

	switch (model->policy) {
	case MODEL_DISPATCH:
		switch (bw_dispatch_offer(&model->hosts[request->host],
					  &request->job, now_(model),
					  &rejection)) {
		case BW_VERDICT_SEND:
			send_(model, request);
			break;
		case BW_VERDICT_WAIT:
			break;
		case BW_VERDICT_REJECT:
			complete_(model, request, true);
			break;
		}
		break;
	case MODEL_BASELINE:
		do {
			server = (uint32_t)bw_random_below(&model->random,
							   SERVERS);
		} while (model->servers[server].lost);
		submit_(model, request, server);
		break;
	case MODEL_BOUND:
		g_queue_push_tail(&model->bound_waiting, request);
		break;
	}
}

static void arrive_(struct model *model, uint32_t domain)
{
	struct request *request = g_new0(struct request, 1);
	struct bw_job *job = &request->job;
	char key[32];

	do {
		request->host =
			(uint32_t)bw_random_below(&model->random, HOSTS);
	} while (host_domains[request->host] != domain);
	/* The domains of a region have the same objects. */
	request->object =
		region_(domain) * OBJECTS_PER_REGION +
		(uint32_t)bw_random_below(&model->random, OBJECTS_PER_REGION);
	request->arrived_ms = model->now_ms;
	snprintf(key, sizeof(key), "%u", request->object);
	if (model->policy == MODEL_DISPATCH)
		job->service =
			bw_dispatch_service(&model->hosts[request->host], "s");
	job->owner = request;
	job->object = bw_dispatch_object_hash("s", key);
	job->work_key = bw_dispatch_object_hash("s", "route");
	job->arrived = now_(model);
	job->objective = bw_time_add(now_(model), OBJECTIVE_MS);
	job->deadline = bw_time_add(now_(model), DEADLINE_MS);
	place_request_(model, request);
}

static void update_host_(struct model *model, uint32_t host)
{
	struct bw_dispatch *dispatch = &model->hosts[host];
	uint32_t i;

	bw_dispatch_begin_update(dispatch);
	for (i = 0; i < SERVERS; i++) {
		struct server *server = &model->servers[i];
		struct bw_target_update update = {
			.server = &server->known,
			.distance =
				distance_(host_domains[host], server->domain),
			.region = region_(server->domain),
			.domain = server->domain,
			.accepts = !server->lost,
			.cold_allowed = true,
		};

		bw_dispatch_update(dispatch, &update, now_(model));
	}
	bw_dispatch_end_update(dispatch, now_(model));
	run_queue_(model, host);
}

/* Control hosts send the demand of all domains to all hosts twice a second. */
static void share_demand_(struct model *model)
{
	double demand[DOMAINS] = { 0 };
	uint32_t i;

	for (i = 0; i < HOSTS; i++)
		demand[host_domains[i]] += bw_dispatch_arrivals_per_s(
			bw_dispatch_service(&model->hosts[i], "s"),
			now_(model));
	for (i = 0; i < HOSTS; i++)
		memcpy(bw_dispatch_service(&model->hosts[i], "s")->demand_per_s,
		       demand, sizeof(demand));
}

/* Control hosts forward each load report of one host to all hosts. */
static void share_loads_(struct model *model)
{
	uint32_t i;
	uint32_t k;
	uint32_t s;

	for (i = 0; i < HOSTS; i++) {
		for (s = 0; s < SERVERS; s++) {
			uint64_t id = model->servers[s].known.id_hash;
			struct bw_target *target = g_hash_table_lookup(
				model->hosts[i].targets, &id);

			if (!target || !target->load_report_pending)
				continue;
			target->load_report_pending = false;
			for (k = 0; k < HOSTS; k++) {
				bw_dispatch_note_load(&model->hosts[k], id,
						      target->reported_requests,
						      now_(model));
				bw_dispatch_note_shared_speed(
					&model->hosts[k], id,
					bw_dispatch_unusual_percent(target),
					now_(model));
			}
		}
	}
}

static void begin_(struct model *model)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < SERVERS; i++) {
		struct bw_server_record *record =
			&model->servers[i].known.record;

		model->servers[i].domain = server_domains[i];
		snprintf(record->id, sizeof(record->id), "server-%u", i);
		strcpy(record->service, "s");
		strcpy(record->address, "127.0.0.1:1");
		record->slots = SLOTS;
		model->servers[i].known.id_hash = bw_registry_hash(record->id);
	}
	for (i = 0; i < HOSTS && model->policy == MODEL_DISPATCH; i++) {
		struct bw_dispatch *dispatch = &model->hosts[i];

		bw_dispatch_init(dispatch, model->load->seed + i);
		dispatch->own_domain = host_domains[i];
		dispatch->own_region = region_(host_domains[i]);
		dispatch->domain_count = DOMAINS;
		dispatch->region_step_max = 0.15;
		dispatch->region_window_ms = 2000;
		for (k = 0; k < DOMAINS; k++)
			dispatch->domain_region[k] = region_(k);
	}
}

static void step_(struct model *model)
{
	const struct model_load *load = model->load;
	uint32_t i;

	if (!load->spell_ms || model->now_ms % load->spell_ms == 0)
		draw_spells_(model);
	for (i = 0; i < SERVERS; i++)
		model->servers[i].lost =
			server_domains[i] == load->lost_domain &&
			model->now_ms >= 15000 && model->now_ms < 25000;
	if (model->policy == MODEL_DISPATCH && model->now_ms % 500 == 0)
		share_demand_(model);
	if (model->policy == MODEL_DISPATCH && model->now_ms % 250 == 0)
		share_loads_(model);
	for (i = 0; i < HOSTS && model->policy == MODEL_DISPATCH; i++) {
		if (model->now_ms % 100 == 0)
			update_host_(model, i);
		else if (model->now_ms % 20 == 0)
			run_queue_(model, i);
	}
	for (i = 0; i < DOMAINS; i++) {
		double rate = load->rates_per_s[i] * TICK_MS / 1000.0;

		if (model->now_ms >= 20000 && model->now_ms < 24000)
			rate *= load->burst_percent / 100.0;
		model->arrivals[i] +=
			rate * 2.0 * bw_random_unit(&model->random);
		for (; model->arrivals[i] >= 1.0; model->arrivals[i] -= 1.0)
			arrive_(model, i);
	}
	if (model->policy == MODEL_BOUND)
		run_upper_bound_(model);
	for (i = 0; i < SERVERS && model->policy != MODEL_BOUND; i++)
		run_server_(model, i);
}

static void finish_(struct model *model)
{
	uint32_t i;

	for (i = 0; i < SERVERS; i++)
		model->servers[i].lost = true;
	for (i = 0; i < SERVERS; i++)
		run_server_(model, i);
	model->now_ms += DEADLINE_MS;
	for (i = 0; i < HOSTS && model->policy == MODEL_DISPATCH; i++) {
		run_queue_(model, i);
		bw_dispatch_finish(&model->hosts[i]);
	}
	g_queue_clear_full(&model->bound_waiting, g_free);
	g_queue_clear_full(&model->bound_running, g_free);
}

void dispatch_model_run(enum model_policy policy, const struct model_load *load,
			struct model_result *result)
{
	static struct model model;

	memset(result, 0, sizeof(*result));
	memset(&model, 0, sizeof(model));
	model.policy = policy;
	model.load = load;
	model.result = result;
	bw_random_init(&model.random, load->seed);
	begin_(&model);
	for (; model.now_ms < load->length_ms; model.now_ms += TICK_MS)
		step_(&model);
	result->far_share =
		model.answered ? (double)model.answered_far / model.answered
			       : 0.0;
	finish_(&model);
}
