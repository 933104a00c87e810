#include "bwsteer/dispatch.h"

#include <string.h>
#include <xxhash.h>

#include "private/dispatch.h"

/** Window over which the completion rate of a service is measured. */
#define RATE_WINDOW_MS 500

/** Smoothing factor of the completion rate. */
#define RATE_SMOOTHING 0.5

/**
 * A new job is rejected when its expected wait exceeds this fraction of the
 * time left.
 */
#define WAIT_FRACTION_MAX 0.9

/**
 * Time for which a host learns the servers of a service, from the first one
 * that it knows: after a loss of power everywhere they announce themselves one
 * after the other.
 */
#define LEARNING_MS 3000

static void free_service_(gpointer data);
static struct bw_time cold_until_(const struct bw_dispatch_service *service,
				  const struct bw_target_update *update);
static void free_target_(gpointer data);
static void remove_target_(struct bw_dispatch *dispatch,
			   struct bw_target *target);
static void release_home_(struct bw_job *job);
static double work_ms_(const struct bw_job *job, enum bw_job_result result,
		       struct bw_time now);
static void count_completion_(struct bw_dispatch_service *service,
			      struct bw_time now);
static json_t *dump_target_(const struct bw_target *target, struct bw_time now);

const char *const bw_distance_string[BW_DISTANCE_COUNT] = {
	[BW_DISTANCE_DOMAIN] = "domain",
	[BW_DISTANCE_REGION] = "region",
	[BW_DISTANCE_FAR] = "far",
};

void bw_dispatch_init(struct bw_dispatch *dispatch, uint64_t seed)
{
	memset(dispatch, 0, sizeof(*dispatch));
	dispatch->services = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, free_service_);
	dispatch->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, free_target_);
	dispatch->warm_at = g_new0(uint32_t, DISPATCH_WARM_ENTRIES);
	bw_work_init(&dispatch->work);
	bw_random_init(&dispatch->random, seed);
	bw_fair_shares_init(&dispatch->shares);
}

void bw_dispatch_finish(struct bw_dispatch *dispatch)
{
	if (!dispatch->services)
		return;
	g_hash_table_destroy(dispatch->targets);
	g_hash_table_destroy(dispatch->services);
	g_free(dispatch->warm_at);
	bw_fair_shares_finish(&dispatch->shares);
	memset(dispatch, 0, sizeof(*dispatch));
}

struct bw_dispatch_service *bw_dispatch_service(struct bw_dispatch *dispatch,
						const char *name)
{
	struct bw_dispatch_service *service =
		g_hash_table_lookup(dispatch->services, name);

	if (service)
		return service;
	service = g_new0(struct bw_dispatch_service, 1);
	g_strlcpy(service->name, name, sizeof(service->name));
	g_queue_init(&service->waiting);
	service->targets = g_ptr_array_new();
	g_hash_table_insert(dispatch->services, service->name, service);
	return service;
}

void bw_dispatch_begin_update(struct bw_dispatch *dispatch)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct bw_target *)value)->in_update = false;
}

void bw_dispatch_update(struct bw_dispatch *dispatch,
			const struct bw_target_update *update,
			struct bw_time now)
{
	const struct bw_server *server = update->server;
	struct bw_target *target =
		g_hash_table_lookup(dispatch->targets, &server->id_hash);

	/* A restarted server has lost its objects and its load. */
	if (target &&
	    (target->started_wall_ms != server->record.started_wall_ms ||
	     strcmp(target->address, server->record.address) != 0 ||
	     strcmp(target->service->name, server->record.service) != 0)) {
		remove_target_(dispatch, target);
		target = NULL;
	}
	if (!target) {
		target = g_new0(struct bw_target, 1);
		target->id_hash = server->id_hash;
		target->slowness = 1.0;
		bw_speed_init(&target->speed);
		target->fraction = -1.0;
		target->correction = 1.0;
		target->adapted_at = now;
		target->started_wall_ms = server->record.started_wall_ms;
		target->cold_refilled = now;
		g_strlcpy(target->id, server->record.id, sizeof(target->id));
		g_strlcpy(target->address, server->record.address,
			  sizeof(target->address));
		target->service =
			bw_dispatch_service(dispatch, server->record.service);
		if (!target->service->targets->len)
			target->service->learning_until =
				bw_time_add(now, LEARNING_MS);
		g_ptr_array_add(target->service->targets, target);
		g_hash_table_insert(dispatch->targets, &target->id_hash,
				    target);
	}
	target->in_update = true;
	target->distance = update->distance;
	target->region = update->region;
	target->domain = update->domain;
	target->slots = server->record.slots;
	target->peer_hosts = dispatch->peer_count ? dispatch->peer_count - 1
						  : 0;
	target->cold_until = cold_until_(target->service, update);
	target->accepts = update->accepts &&
			  (update->cold_allowed ||
			   bw_time_reached(now, target->cold_until));
}

/*
 * Servers of an evacuated domain may have become cold shortly before the end of
 * the evacuation. Until the news of it comes, they are taken for cold.
 */
static struct bw_time cold_until_(const struct bw_dispatch_service *service,
				  const struct bw_target_update *update)
{
	struct bw_time until = update->server->cold_until;

	if (!update->reinstated_at.ms ||
	    bw_time_reached(until, update->reinstated_at))
		return until;
	return bw_time_add(update->reinstated_at, service->cold_start_ms);
}

bool bw_dispatch_note_limit(struct bw_dispatch *dispatch,
			    struct bw_target *target, double limit_per_s,
			    struct bw_time now)
{
	double phase = bw_random_unit(&dispatch->random);

	if (!bw_server_limit_set(&target->limit, limit_per_s, phase, now))
		return false;
	dispatch_share_limits(dispatch, target->service, now);
	return true;
}

void bw_dispatch_note_pause(struct bw_dispatch *dispatch,
			    struct bw_target *target, int64_t pause_ms,
			    struct bw_time now)
{
	bw_server_notice_pause(&target->notice, pause_ms,
			       bw_random_unit(&dispatch->random), now);
}

bool bw_dispatch_note_leaving(struct bw_target *target)
{
	/* Other hosts learn it with the loads. */
	target->load_report_pending = true;
	return bw_server_notice_leave(&target->notice);
}

bool bw_dispatch_note_shared_leave(struct bw_dispatch *dispatch,
				   uint64_t id_hash, int64_t started_wall_ms)
{
	struct bw_target *target =
		g_hash_table_lookup(dispatch->targets, &id_hash);

	return target && target->started_wall_ms == started_wall_ms &&
	       bw_server_notice_leave(&target->notice);
}

bool bw_dispatch_note_shared_limit(struct bw_dispatch *dispatch,
				   uint64_t id_hash, double limit_per_s,
				   struct bw_time now)
{
	struct bw_target *target =
		g_hash_table_lookup(dispatch->targets, &id_hash);

	return target && !dispatch_has_own_report(target, now) &&
	       bw_dispatch_note_limit(dispatch, target, limit_per_s, now);
}

void bw_dispatch_end_update(struct bw_dispatch *dispatch, struct bw_time now)
{
	GList *all = g_hash_table_get_values(dispatch->targets);
	GList *item;

	for (item = all; item; item = item->next) {
		struct bw_target *target = item->data;

		if (!target->in_update)
			remove_target_(dispatch, target);
	}
	g_list_free(all);
	bw_dispatch_adapt(dispatch, now);
}

void bw_dispatch_adapt(struct bw_dispatch *dispatch, struct bw_time now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dispatch_adapt_fractions(dispatch, value, now);
		dispatch_share_limits(dispatch, value, now);
	}
}

void bw_dispatch_stop(struct bw_dispatch *dispatch,
		      struct bw_time clients_gone_at, struct bw_time at)
{
	dispatch->clients_gone_at = clients_gone_at;
	dispatch->stops_at = at;
}

enum bw_verdict bw_dispatch_offer(struct bw_dispatch *dispatch,
				  struct bw_job *job, struct bw_time now,
				  struct bw_rejection *rejection)
{
	double left_ms;
	double wait_ms;

	if (!dispatch_has_server(job)) {
		dispatch_reject(dispatch, dispatch_no_server_reason(job),
				dispatch_job_wait_ms(job), rejection);
		return BW_VERDICT_REJECT;
	}
	if (!job->tried_count)
		job->service->arrival_count++;
	if (dispatch_is_paused(job, now, rejection))
		return BW_VERDICT_REJECT;
	dispatch_find_home(job, now);
	if (dispatch_stop_is_near(dispatch, job, now)) {
		dispatch_reject(dispatch, BW_REJECT_STOPPING, 0.0, rejection);
		return BW_VERDICT_REJECT;
	}
	bw_fair_share_ask(&dispatch->shares, &job->share, job->customer_hash,
			  job->rank, job->service->service_time_ms,
			  job->arrived, now);
	if (!dispatch_count_ahead(job) &&
	    !dispatch_gives_way(dispatch, job, now) &&
	    dispatch_place(dispatch, job, now))
		return BW_VERDICT_SEND;
	left_ms = dispatch_left_ms(dispatch, job, now) -
		  dispatch_least_response_ms(dispatch, job);
	wait_ms =
		MAX(dispatch_job_wait_ms(job),
		    bw_fair_share_wait_ms(&dispatch->shares, &job->share, now));
	wait_ms = MAX(wait_ms, dispatch_start_wait_ms(dispatch, job, now));
	/* The queue up to the longest wait is for those within their share. */
	if (dispatch_ends_late(dispatch, job, now) ||
	    wait_ms * MAX(job->share.level, 1.0) >
		    WAIT_FRACTION_MAX * left_ms) {
		dispatch_reject_late(dispatch, job, wait_ms, now, rejection);
		return BW_VERDICT_REJECT;
	}
	job->misses_deadline = false;
	dispatch_enqueue(dispatch, job);
	return BW_VERDICT_WAIT;
}

struct bw_job *bw_dispatch_next(struct bw_dispatch *dispatch,
				struct bw_time now, enum bw_verdict *verdict,
				struct bw_rejection *rejection)
{
	GHashTableIter iter;
	gpointer value;
	struct bw_job *job;

	g_hash_table_iter_init(&iter, dispatch->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bw_dispatch_service *service = value;

		if (!service->waiting.length)
			continue;
		job = dispatch_next_of_service(dispatch, service, now, verdict,
					       rejection);
		if (job)
			return job;
	}
	return NULL;
}

void bw_dispatch_sent(struct bw_dispatch *dispatch, struct bw_job *job,
		      struct bw_time now)
{
	struct bw_target *target = job->target;

	job->sent = now;
	target->in_flight++;
	target->references++;
	target->service->in_flight++;
	if (job->tried_count < BW_JOB_TRIED_MAX)
		job->tried[job->tried_count++] = target->id_hash;
	if (!bw_time_reached(now, target->cold_until))
		target->cold_tokens -= 1.0;
	bw_server_limit_use(&target->limit, now);
	bw_server_notice_sent(&target->notice, now);
	bw_fair_share_send(&dispatch->shares, &job->share, now);
	dispatch_mark_warm(dispatch, job, now);
	dispatch_region_count(dispatch, target->region, now);
}

void bw_dispatch_ended(struct bw_dispatch *dispatch, struct bw_job *job,
		       enum bw_job_result result,
		       const struct bw_load_report *load, struct bw_time now)
{
	struct bw_target *target = job->target;

	job->target = NULL;
	target->in_flight--;
	target->service->in_flight--;
	if (result == BW_JOB_ANSWERED || result == BW_JOB_FAILED ||
	    result == BW_JOB_EXPIRED)
		count_completion_(target->service, now);
	bw_fair_share_end(&dispatch->shares, &job->share,
			  work_ms_(job, result, now), now);
	bw_server_notice_ended(
		&target->notice,
		result == BW_JOB_ANSWERED &&
			!bw_server_notice_declines(&target->notice, now),
		job->sent);
	dispatch_record_result(dispatch, target, job, result, load, now);
	if (result != BW_JOB_ANSWERED)
		dispatch_mark_cold(dispatch, job, target);
	if (!--target->references && target->removed)
		free_target_(target);
}

void bw_dispatch_remove(struct bw_dispatch *dispatch, struct bw_job *job)
{
	if (!job->queued)
		return;
	g_queue_remove(&job->service->waiting, job);
	bw_fair_share_leave(&dispatch->shares, &job->share);
	job->queued = false;
	release_home_(job);
}

uint64_t bw_dispatch_object_hash(const char *service, const char *key)
{
	uint64_t hash =
		XXH64(key, strlen(key), XXH64(service, strlen(service), 0));

	return hash ? hash : 1;
}

uint32_t bw_dispatch_waiting(const struct bw_dispatch *dispatch)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, dispatch->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((struct bw_dispatch_service *)value)->waiting.length;
	return count;
}

uint32_t bw_dispatch_contended(struct bw_dispatch *dispatch, struct bw_time now)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	if (!bw_fair_shares_active(&dispatch->shares, now))
		return 0;
	g_hash_table_iter_init(&iter, dispatch->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct bw_dispatch_service *)value)->waiting.length)
			count++;
	}
	return count;
}

void bw_dispatch_dump(const struct bw_dispatch *dispatch, struct bw_time now,
		      json_t *into)
{
	json_t *services = json_object();
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	g_hash_table_iter_init(&iter, dispatch->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bw_dispatch_service *service = value;
		json_t *targets = json_object();

		for (i = 0; i < service->targets->len; i++) {
			const struct bw_target *target =
				service->targets->pdata[i];

			json_object_set_new(targets, target->id,
					    dump_target_(target, now));
		}
		json_object_set_new(
			services, service->name,
			json_pack("{s:i,s:i,s:f,s:o}", "waiting",
				  (int)service->waiting.length, "in_flight",
				  (int)service->in_flight, "completions_per_s",
				  service->completions_per_s, "servers",
				  targets));
	}
	json_object_set_new(into, "services", services);
	json_object_set_new(into, "customers_active",
			    json_integer(dispatch->shares.active));
}

static void free_service_(gpointer data)
{
	struct bw_dispatch_service *service = data;

	g_queue_clear(&service->waiting);
	g_ptr_array_free(service->targets, TRUE);
	g_free(service);
}

static void free_target_(gpointer data)
{
	struct bw_target *target = data;

	if (target->references) {
		target->removed = true;
		return;
	}
	g_free(target);
}

static void remove_target_(struct bw_dispatch *dispatch,
			   struct bw_target *target)
{
	g_ptr_array_remove(target->service->targets, target);
	g_hash_table_remove(dispatch->targets, &target->id_hash);
}

/*
 * A waiting job holds a reference to its home, even after that server was
 * removed.
 */
static void release_home_(struct bw_job *job)
{
	struct bw_target *home = job->home;

	if (!home)
		return;
	home->waiting--;
	if (--home->references || !home->removed)
		return;
	job->home = NULL;
	free_target_(home);
}

/* Returns the time that a job took at its server. */
static double work_ms_(const struct bw_job *job, enum bw_job_result result,
		       struct bw_time now)
{
	switch (result) {
	case BW_JOB_REFUSED:
	case BW_JOB_UNREACHABLE:
		return 0.0;
	case BW_JOB_ANSWERED:
	case BW_JOB_FAILED:
	case BW_JOB_EXPIRED:
	case BW_JOB_CANCELLED:
		break;
	}
	return (double)bw_time_diff_ms(now, job->sent);
}

static void count_completion_(struct bw_dispatch_service *service,
			      struct bw_time now)
{
	int64_t age_ms = bw_time_diff_ms(now, service->rate_window_start);

	service->rate_window_count++;
	if (age_ms < RATE_WINDOW_MS)
		return;
	service->completions_per_s +=
		RATE_SMOOTHING *
		(1000.0 * service->rate_window_count / (double)age_ms -
		 service->completions_per_s);
	service->rate_window_count = 0;
	service->rate_window_start = now;
}

static json_t *dump_target_(const struct bw_target *target, struct bw_time now)
{
	return json_pack("{s:s,s:s,s:i,s:i,s:f,s:f,s:f,s:b,s:f,s:b,s:b}",
			 "address", target->address, "distance",
			 bw_distance_string[target->distance], "slots",
			 (int)target->slots, "in_flight",
			 (int)target->in_flight, "others",
			 target->other_requests, "slowness", target->slowness,
			 "time_factor", bw_speed_factor(&target->speed, now),
			 "speed_trusted", bw_speed_is_trusted(&target->speed),
			 "failures", target->failure_rate, "accepts",
			 target->accepts, "ejected",
			 !bw_time_reached(now, target->ejected_until));
}
