#include "bwsteer/backend.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#include "private/backend.h"

/** Weight of a new value in the exponential moving averages. */
#define AVERAGE_WEIGHT 0.1

/** Consecutive failures at which a server is ejected. */
#define EJECT_FAILURES 5

/** Consecutive refusals at which a server is ejected. Higher than for
 * failures, because a healthy server that is full refuses, too. */
#define EJECT_REFUSALS 10

/** Error rate above which a server is ejected, and the outcomes that the rate
 * must be based on. */
#define EJECT_ERROR_RATE 0.5
#define EJECT_MIN_OUTCOMES 20

/** Error rate assigned to a server that returns from an ejection. */
#define READMIT_ERROR_RATE 0.25

/** Fraction of the limit that may be used at the start of a slow start. */
#define RAMP_START_FRACTION 0.1

/** Weights of the error rate and the refusal rate, and bounds of the latency
 * factor, in the load that selection compares. */
#define ERROR_PENALTY 8.0
#define REFUSAL_PENALTY 2.0
#define LATENCY_FACTOR_MIN 0.5
#define LATENCY_FACTOR_MAX 4.0

/** Age above which a report is ignored as a measure of the current load. */
#define REPORT_MAX_AGE_MS 3000

/** Random picks before selection compares all servers instead. */
#define RANDOM_PICKS_MAX 8

/** Factor on the trust in reports when one is found to be wrong. */
#define TRUST_DECAY_FACTOR 0.7

/** Parameters of one selection. */
struct selection {
	const struct bw_backend_table *table;
	const struct bw_backend_service *service;
	struct bw_time now;
	const uint64_t *exclude;
	uint32_t exclude_count;
};

static uint64_t make_handle_(const struct bw_backend_table *table,
			     const struct bw_backend_server *server);
static struct bw_backend_server *
find_by_handle_(const struct bw_backend_table *table, uint64_t handle);
static bool is_excluded_(const struct selection *selection,
			 const struct bw_backend_server *server);
static bool is_usable_(const struct selection *selection,
		       const struct bw_backend_server *server);
static double remote_load_(const struct bw_backend_server *server,
			   struct bw_time now);
static double weighted_load_(const struct selection *selection,
			     const struct bw_backend_server *server);
static struct bw_backend_server *
pick_random_(const struct selection *selection,
	     const struct bw_backend_server *other, struct bw_random *random);
static struct bw_backend_server *
pick_least_loaded_(const struct selection *selection, enum bw_status *status);
static void fill_choice_(const struct bw_backend_table *table,
			 const struct bw_backend_server *server,
			 struct bw_time now, struct bw_backend_choice *choice);
static double moving_average_(double average, double value);
static void record_success_(struct bw_backend_table *table,
			    struct bw_backend_server *server,
			    uint64_t latency_us, struct bw_time now);
static void record_refusal_(struct bw_backend_server *server,
			    struct bw_time now);
static void record_failure_(struct bw_backend_server *server);
static bool is_outlier_(const struct bw_backend_server *server);
static bool may_eject_(const struct bw_backend_table *table,
		       const struct bw_backend_server *server);
static void eject_server_(const struct bw_backend_table *table,
			  struct bw_backend_server *server, struct bw_time now);
static void count_in_use_(const struct bw_backend_table *table,
			  const struct bw_backend_service *service,
			  uint32_t *in_use, uint32_t *minimum);

const char *const bw_backend_outcome_string[BW_BACKEND_OUTCOME_COUNT] = {
	[BW_BACKEND_OK] = "ok",
	[BW_BACKEND_REFUSED] = "refused",
	[BW_BACKEND_UNREACHABLE] = "unreachable",
	[BW_BACKEND_ERROR] = "error",
	[BW_BACKEND_TIMEOUT] = "timeout",
	[BW_BACKEND_CONNECTION_LOST] = "connection_lost",
	[BW_BACKEND_CANCELLED] = "cancelled",
};

enum bw_status bw_backend_pick(struct bw_backend_table *table,
			       const char *service, struct bw_time now,
			       struct bw_random *random,
			       const uint64_t *exclude, uint32_t exclude_count,
			       struct bw_backend_choice *choice)
{
	struct selection selection = { table, NULL, now, exclude,
				       exclude_count };
	struct bw_backend_server *first;
	struct bw_backend_server *second = NULL;
	enum bw_status status;

	selection.service = bw_backend_lookup_service(table, service);
	if (!selection.service || !selection.service->count)
		return BW_ENOTFOUND;
	first = pick_random_(&selection, NULL, random);
	if (first)
		second = pick_random_(&selection, first, random);
	/* Most servers are full or unusable: compare all of them. */
	if (!second) {
		first = pick_least_loaded_(&selection, &status);
		if (!first)
			return status;
	}
	if (second && weighted_load_(&selection, second) <
			      weighted_load_(&selection, first))
		first = second;
	fill_choice_(table, first, now, choice);
	return BW_OK;
}

enum bw_status bw_backend_request_start(struct bw_backend_table *table,
					uint64_t handle, struct bw_time now)
{
	struct bw_backend_server *server = find_by_handle_(table, handle);

	if (!server)
		return BW_ESTALE;
	if (server->in_flight >= bw_backend_limit_now(table, server, now))
		return BW_EAGAIN;
	if (server->ejected)
		server->probing = true;
	server->in_flight++;
	return BW_OK;
}

enum bw_status bw_backend_request_end(struct bw_backend_table *table,
				      uint64_t handle,
				      enum bw_backend_outcome outcome,
				      uint64_t latency_us, struct bw_time now)
{
	struct bw_backend_server *server = find_by_handle_(table, handle);

	if (!server)
		return BW_ESTALE;
	assert(server->in_flight > 0);
	server->in_flight--;
	switch (outcome) {
	case BW_BACKEND_OK:
		record_success_(table, server, latency_us, now);
		break;
	case BW_BACKEND_REFUSED:
		record_refusal_(server, now);
		break;
	case BW_BACKEND_UNREACHABLE:
	case BW_BACKEND_ERROR:
	case BW_BACKEND_TIMEOUT:
	case BW_BACKEND_CONNECTION_LOST:
		record_failure_(server);
		break;
	case BW_BACKEND_CANCELLED:
	case BW_BACKEND_OUTCOME_COUNT:
		server->probing = false;
		return BW_OK;
	}
	if (server->ejected ? server->probing
			    : is_outlier_(server) && may_eject_(table, server))
		eject_server_(table, server, now);
	return BW_OK;
}

double bw_backend_ramp(const struct bw_backend_table *table,
		       const struct bw_backend_server *server,
		       struct bw_time now)
{
	int64_t age_ms = bw_time_diff_ms(now, server->ramp_start);

	if (server->state == BW_BACKEND_ANNOUNCED)
		return RAMP_START_FRACTION;
	if (server->state != BW_BACKEND_WARMING ||
	    age_ms >= table->config.ramp_ms)
		return 1;
	return RAMP_START_FRACTION + (1 - RAMP_START_FRACTION) *
					     (double)age_ms /
					     (double)table->config.ramp_ms;
}

uint32_t bw_backend_limit_now(const struct bw_backend_table *table,
			      const struct bw_backend_server *server,
			      struct bw_time now)
{
	uint32_t limit = bw_backend_limit(server);

	if (!bw_backend_accepts(server))
		return 0;
	if (server->ejected &&
	    (server->probing || !bw_time_reached(now, server->eject_until)))
		return 0;
	if (server->state == BW_BACKEND_READY)
		return limit;
	if (server->state == BW_BACKEND_ANNOUNCED)
		return 1;
	return (uint32_t)ceil(limit * bw_backend_ramp(table, server, now));
}

void bw_backend_end_excess_ejections(struct bw_backend_table *table,
				     struct bw_backend_service *service)
{
	struct bw_backend_server *server;
	struct bw_backend_server *first;
	uint32_t in_use;
	uint32_t minimum;
	uint32_t i;

	count_in_use_(table, service, &in_use, &minimum);
	for (; in_use < minimum; in_use++) {
		first = NULL;
		for (i = 0; i < service->count; i++) {
			server = &table->servers[service->servers[i]];
			if (bw_backend_accepts(server) && server->ejected &&
			    (!first ||
			     server->eject_until.ms < first->eject_until.ms))
				first = server;
		}
		if (!first)
			return;
		first->ejected = false;
		first->probing = false;
	}
}

static uint64_t make_handle_(const struct bw_backend_table *table,
			     const struct bw_backend_server *server)
{
	return ((uint64_t)server->generation << 32) |
	       (uint64_t)(server - table->servers);
}

static struct bw_backend_server *
find_by_handle_(const struct bw_backend_table *table, uint64_t handle)
{
	uint32_t position = (uint32_t)handle;
	struct bw_backend_server *server;

	if (position >= table->config.servers_max)
		return NULL;
	server = &table->servers[position];
	return server->used && server->generation == handle >> 32 ? server
								  : NULL;
}

static bool is_excluded_(const struct selection *selection,
			 const struct bw_backend_server *server)
{
	uint64_t handle = make_handle_(selection->table, server);
	uint32_t i;

	for (i = 0; i < selection->exclude_count; i++) {
		if (selection->exclude[i] == handle)
			return true;
	}
	return false;
}

static bool is_usable_(const struct selection *selection,
		       const struct bw_backend_server *server)
{
	return server->in_flight < bw_backend_limit_now(selection->table,
							server,
							selection->now) &&
	       !is_excluded_(selection, server);
}

/*
 * Returns the load from other hosts according to the last report. It is at most
 * the limit of the server, so that no report can exclude a server entirely.
 */
static double remote_load_(const struct bw_backend_server *server,
			   struct bw_time now)
{
	double load = server->reported_queue;

	if (bw_time_diff_ms(now, server->reported_at) > REPORT_MAX_AGE_MS)
		return 0;
	if (server->reported_in_flight > server->in_flight_at_report)
		load += server->reported_in_flight -
			server->in_flight_at_report;
	if (load > bw_backend_limit(server))
		load = bw_backend_limit(server);
	return load * server->trust;
}

/* Returns 0 for a server that waits for its probe request. */
static double weighted_load_(const struct selection *selection,
			     const struct bw_backend_server *server)
{
	double capacity =
		bw_backend_limit(server) *
		bw_backend_ramp(selection->table, server, selection->now);
	double load =
		server->in_flight + 1.0 + remote_load_(server, selection->now);
	double latency_factor = 1;

	if (server->ejected)
		return 0;
	if (server->latency_us > 0 && selection->service->latency_us > 0)
		latency_factor =
			server->latency_us / selection->service->latency_us;
	if (latency_factor < LATENCY_FACTOR_MIN)
		latency_factor = LATENCY_FACTOR_MIN;
	if (latency_factor > LATENCY_FACTOR_MAX)
		latency_factor = LATENCY_FACTOR_MAX;
	return load / capacity * latency_factor *
	       (1 + ERROR_PENALTY * server->error_rate +
		REFUSAL_PENALTY * server->refusal_rate);
}

/* Picks a usable server other than the given one, with a probability
 * proportional to its limit during slow start. May return NULL. */
static struct bw_backend_server *
pick_random_(const struct selection *selection,
	     const struct bw_backend_server *other, struct bw_random *random)
{
	const struct bw_backend_service *service = selection->service;
	struct bw_backend_server *server;
	double weight;
	uint32_t i;

	for (i = 0; i < RANDOM_PICKS_MAX; i++) {
		server = &selection->table
				  ->servers[service->servers[bw_random_below(
					  random, service->count)]];
		if (server == other || !is_usable_(selection, server))
			continue;
		weight = bw_backend_limit(server) *
			 bw_backend_ramp(selection->table, server,
					 selection->now);
		if (bw_random_unit(random) * service->limit_max < weight)
			return server;
	}
	return NULL;
}

static struct bw_backend_server *
pick_least_loaded_(const struct selection *selection, enum bw_status *status)
{
	const struct bw_backend_service *service = selection->service;
	struct bw_backend_server *server;
	struct bw_backend_server *best = NULL;
	double best_load = 0;
	double load;
	uint32_t limit;
	uint32_t i;

	*status = BW_EUNAVAILABLE;
	for (i = 0; i < service->count; i++) {
		server = &selection->table->servers[service->servers[i]];
		limit = bw_backend_limit_now(selection->table, server,
					     selection->now);
		if (!limit || is_excluded_(selection, server))
			continue;
		*status = BW_EAGAIN;
		if (server->in_flight >= limit)
			continue;
		load = weighted_load_(selection, server);
		if (best && load >= best_load)
			continue;
		best = server;
		best_load = load;
	}
	return best;
}

static void fill_choice_(const struct bw_backend_table *table,
			 const struct bw_backend_server *server,
			 struct bw_time now, struct bw_backend_choice *choice)
{
	choice->handle = make_handle_(table, server);
	memcpy(choice->id, server->announced.id, BW_NAME_MAX);
	choice->incarnation = server->announced.incarnation;
	memcpy(choice->address, server->announced.address,
	       BW_BACKEND_ADDRESS_MAX);
	choice->port = server->announced.port;
	choice->probe = server->ejected;
	choice->in_flight =
		server->in_flight + (uint32_t)remote_load_(server, now);
}

static double moving_average_(double average, double value)
{
	return average + AVERAGE_WEIGHT * (value - average);
}

/*
 * Only complete responses count in the latency, so that failing quickly does
 * not make a server look fast.
 */
static void record_success_(struct bw_backend_table *table,
			    struct bw_backend_server *server,
			    uint64_t latency_us, struct bw_time now)
{
	struct bw_backend_service *service = &table->services[server->service];

	service->latency_us = service->latency_us > 0
				      ? moving_average_(service->latency_us,
							(double)latency_us)
				      : (double)latency_us;
	server->latency_us = server->latency_us > 0
				     ? moving_average_(server->latency_us,
						       (double)latency_us)
				     : (double)latency_us;
	server->error_rate = moving_average_(server->error_rate, 0);
	server->refusal_rate = moving_average_(server->refusal_rate, 0);
	server->outcome_count++;
	server->consecutive_failures = 0;
	server->consecutive_refusals = 0;
	server->succeeded = true;
	server->last_success = now;
	/* The response was fast although the report says that the server is
	 * full: the report is wrong. */
	if (server->reported_in_flight + server->reported_queue >=
		    server->announced.slots &&
	    server->in_flight < server->announced.slots / 2 &&
	    (double)latency_us < 2 * service->latency_us)
		server->trust *= TRUST_DECAY_FACTOR;
	if (server->probing) {
		server->ejected = false;
		server->probing = false;
		server->eject_until = now;
		server->error_rate = READMIT_ERROR_RATE;
	}
	if (server->state == BW_BACKEND_ANNOUNCED)
		bw_backend_apply_event(table, server, BW_BACKEND_EVENT_CONFIRM,
				       now);
}

static void record_refusal_(struct bw_backend_server *server,
			    struct bw_time now)
{
	server->refusal_rate = moving_average_(server->refusal_rate, 1);
	server->consecutive_refusals++;
	if (bw_time_diff_ms(now, server->reported_at) <= REPORT_MAX_AGE_MS &&
	    server->reported_in_flight < server->announced.slots &&
	    !server->reported_queue)
		server->trust *= TRUST_DECAY_FACTOR;
}

static void record_failure_(struct bw_backend_server *server)
{
	server->error_rate = moving_average_(server->error_rate, 1);
	server->outcome_count++;
	server->consecutive_failures++;
}

static bool is_outlier_(const struct bw_backend_server *server)
{
	return server->consecutive_failures >= EJECT_FAILURES ||
	       server->consecutive_refusals >= EJECT_REFUSALS ||
	       (server->outcome_count >= EJECT_MIN_OUTCOMES &&
		server->error_rate > EJECT_ERROR_RATE);
}

static bool may_eject_(const struct bw_backend_table *table,
		       const struct bw_backend_server *server)
{
	uint32_t in_use;
	uint32_t minimum;

	if (!bw_backend_accepts(server))
		return false;
	count_in_use_(table, &table->services[server->service], &in_use,
		      &minimum);
	return in_use > minimum;
}

static void eject_server_(const struct bw_backend_table *table,
			  struct bw_backend_server *server, struct bw_time now)
{
	int64_t duration_ms = table->config.eject_base_ms;
	uint32_t i;

	for (i = 0;
	     i < server->ejections && duration_ms < table->config.eject_max_ms;
	     i++)
		duration_ms *= 2;
	if (duration_ms > table->config.eject_max_ms)
		duration_ms = table->config.eject_max_ms;
	server->ejections++;
	server->ejected = true;
	server->probing = false;
	server->eject_until = bw_time_add(now, duration_ms);
	server->consecutive_failures = 0;
	server->consecutive_refusals = 0;
	server->outcome_count = 0;
}

static void count_in_use_(const struct bw_backend_table *table,
			  const struct bw_backend_service *service,
			  uint32_t *in_use, uint32_t *minimum)
{
	const struct bw_backend_server *server;
	uint32_t accepting = 0;
	uint32_t i;

	*in_use = 0;
	for (i = 0; i < service->count; i++) {
		server = &table->servers[service->servers[i]];
		if (!bw_backend_accepts(server))
			continue;
		accepting++;
		*in_use += !server->ejected;
	}
	*minimum = (accepting * table->config.in_use_min_percent + 99) / 100;
	if (!*minimum && accepting)
		*minimum = 1;
}
