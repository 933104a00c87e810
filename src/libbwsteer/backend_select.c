#include "bwsteer/backend.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#include "private/backend.h"

/** Weight of a new value in the moving averages. */
#define AVERAGE_GAIN 0.1

/** Failures in a row after which a server is ejected. */
#define EJECT_FAILURES 5

/** Refusals in a row after which a server is ejected. Higher than for
 * failures, because a full server refuses truthfully. */
#define EJECT_REFUSALS 10

/** Error rate above which a server is ejected, and outcomes needed for it. */
#define EJECT_ERROR_RATE 0.5
#define EJECT_MIN_OUTCOMES 20

/** Error rate assumed for a server that returns from an ejection. */
#define RETURN_ERROR_RATE 0.25

/** Part of the limit open at the begin of a slow start. */
#define RAMP_START 0.1

/** Influence of own observations on the load that selection compares. */
#define ERROR_PENALTY 8.0
#define REFUSAL_PENALTY 2.0
#define LATENCY_FACTOR_MIN 0.5
#define LATENCY_FACTOR_MAX 4.0

/** Reports older than this say nothing about the current load. */
#define REPORT_FRESH_MS 3000

/** Draws until selection compares all servers instead. */
#define DRAWS_MAX 8

#define TRUST_LOSS 0.7

/** Arguments of one selection. */
struct selection {
	const struct bw_backend_table *table;
	const struct bw_backend_service *service;
	struct bw_time now;
	const uint64_t *exclude;
	uint32_t exclude_count;
};

static uint64_t handle_(const struct bw_backend_table *table,
			const struct bw_backend_server *server);
static struct bw_backend_server *
from_handle_(const struct bw_backend_table *table, uint64_t handle);
static bool is_excluded_(const struct selection *selection,
			 const struct bw_backend_server *server);
static bool is_usable_(const struct selection *selection,
		       const struct bw_backend_server *server);
static double others_(const struct bw_backend_server *server,
		      struct bw_time now);
static double load_(const struct selection *selection,
		    const struct bw_backend_server *server);
static struct bw_backend_server *draw_(const struct selection *selection,
				       const struct bw_backend_server *other,
				       struct bw_random *random);
static struct bw_backend_server *scan_(const struct selection *selection,
				       enum bw_status *status);
static void fill_(const struct bw_backend_table *table,
		  const struct bw_backend_server *server, struct bw_time now,
		  struct bw_backend_choice *choice);
static double average_(double average, double value);
static void learn_ok_(struct bw_backend_table *table,
		      struct bw_backend_server *server, uint64_t latency_us,
		      struct bw_time now);
static void learn_refused_(struct bw_backend_server *server,
			   struct bw_time now);
static void learn_failure_(struct bw_backend_server *server);
static bool is_outlier_(const struct bw_backend_server *server);
static bool may_eject_(const struct bw_backend_table *table,
		       const struct bw_backend_server *server);
static void eject_(const struct bw_backend_table *table,
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
	first = draw_(&selection, NULL, random);
	if (first)
		second = draw_(&selection, first, random);
	/* Most servers are full or out of use: compares all of them. */
	if (!second) {
		first = scan_(&selection, &status);
		if (!first)
			return status;
	}
	if (second && load_(&selection, second) < load_(&selection, first))
		first = second;
	fill_(table, first, now, choice);
	return BW_OK;
}

enum bw_status bw_backend_request_start(struct bw_backend_table *table,
					uint64_t handle, struct bw_time now)
{
	struct bw_backend_server *server = from_handle_(table, handle);

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
	struct bw_backend_server *server = from_handle_(table, handle);

	if (!server)
		return BW_ESTALE;
	assert(server->in_flight > 0);
	server->in_flight--;
	switch (outcome) {
	case BW_BACKEND_OK:
		learn_ok_(table, server, latency_us, now);
		break;
	case BW_BACKEND_REFUSED:
		learn_refused_(server, now);
		break;
	case BW_BACKEND_UNREACHABLE:
	case BW_BACKEND_ERROR:
	case BW_BACKEND_TIMEOUT:
	case BW_BACKEND_CONNECTION_LOST:
		learn_failure_(server);
		break;
	case BW_BACKEND_CANCELLED:
	case BW_BACKEND_OUTCOME_COUNT:
		server->probing = false;
		return BW_OK;
	}
	if (server->ejected ? server->probing
			    : is_outlier_(server) && may_eject_(table, server))
		eject_(table, server, now);
	return BW_OK;
}

double bw_backend_ramp(const struct bw_backend_table *table,
		       const struct bw_backend_server *server,
		       struct bw_time now)
{
	int64_t age_ms = bw_time_diff_ms(now, server->ramp_start);

	if (server->state == BW_BACKEND_ANNOUNCED)
		return RAMP_START;
	if (server->state != BW_BACKEND_WARMING ||
	    age_ms >= table->config.ramp_ms)
		return 1;
	return RAMP_START + (1 - RAMP_START) * (double)age_ms /
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

void bw_backend_keep_minimum(struct bw_backend_table *table,
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

static uint64_t handle_(const struct bw_backend_table *table,
			const struct bw_backend_server *server)
{
	return ((uint64_t)server->generation << 32) |
	       (uint64_t)(server - table->servers);
}

static struct bw_backend_server *
from_handle_(const struct bw_backend_table *table, uint64_t handle)
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
	uint64_t handle = handle_(selection->table, server);
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
 * Returns the load from other hosts according to the last report. It is
 * bounded by the slots, so that a report cannot ban a server altogether.
 */
static double others_(const struct bw_backend_server *server,
		      struct bw_time now)
{
	double others = server->reported_queue;

	if (bw_time_diff_ms(now, server->reported) > REPORT_FRESH_MS)
		return 0;
	if (server->reported_in_flight > server->own_at_report)
		others += server->reported_in_flight - server->own_at_report;
	if (others > bw_backend_limit(server))
		others = bw_backend_limit(server);
	return others * server->trust;
}

/* A server due for its probe request comes first. */
static double load_(const struct selection *selection,
		    const struct bw_backend_server *server)
{
	double capacity =
		bw_backend_limit(server) *
		bw_backend_ramp(selection->table, server, selection->now);
	double busy = server->in_flight + 1.0 + others_(server, selection->now);
	double factor = 1;

	if (server->ejected)
		return 0;
	if (server->latency_us > 0 && selection->service->latency_us > 0)
		factor = server->latency_us / selection->service->latency_us;
	if (factor < LATENCY_FACTOR_MIN)
		factor = LATENCY_FACTOR_MIN;
	if (factor > LATENCY_FACTOR_MAX)
		factor = LATENCY_FACTOR_MAX;
	return busy / capacity * factor *
	       (1 + ERROR_PENALTY * server->error_rate +
		REFUSAL_PENALTY * server->refusal_rate);
}

/* Draws a usable server that is not the other, with a chance proportional to
 * its open slots. */
static struct bw_backend_server *draw_(const struct selection *selection,
				       const struct bw_backend_server *other,
				       struct bw_random *random)
{
	const struct bw_backend_service *service = selection->service;
	struct bw_backend_server *server;
	double weight;
	uint32_t i;

	for (i = 0; i < DRAWS_MAX; i++) {
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

static struct bw_backend_server *scan_(const struct selection *selection,
				       enum bw_status *status)
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
		load = load_(selection, server);
		if (best && load >= best_load)
			continue;
		best = server;
		best_load = load;
	}
	return best;
}

static void fill_(const struct bw_backend_table *table,
		  const struct bw_backend_server *server, struct bw_time now,
		  struct bw_backend_choice *choice)
{
	choice->handle = handle_(table, server);
	memcpy(choice->id, server->announced.id, BW_NAME_MAX);
	choice->incarnation = server->announced.incarnation;
	memcpy(choice->address, server->announced.address,
	       BW_BACKEND_ADDRESS_MAX);
	choice->port = server->announced.port;
	choice->probe = server->ejected;
	choice->in_flight = server->in_flight + (uint32_t)others_(server, now);
}

static double average_(double average, double value)
{
	return average + AVERAGE_GAIN * (value - average);
}

/*
 * Only complete responses count for the latency, so that a server that fails
 * fast does not look quick.
 */
static void learn_ok_(struct bw_backend_table *table,
		      struct bw_backend_server *server, uint64_t latency_us,
		      struct bw_time now)
{
	struct bw_backend_service *service = &table->services[server->service];

	service->latency_us =
		service->latency_us > 0
			? average_(service->latency_us, (double)latency_us)
			: (double)latency_us;
	server->latency_us =
		server->latency_us > 0
			? average_(server->latency_us, (double)latency_us)
			: (double)latency_us;
	server->error_rate = average_(server->error_rate, 0);
	server->refusal_rate = average_(server->refusal_rate, 0);
	server->outcomes++;
	server->failures = 0;
	server->refusals = 0;
	server->succeeded = true;
	server->last_ok = now;
	/* Served at the usual pace while it reported to be full. */
	if (server->reported_in_flight + server->reported_queue >=
		    server->announced.slots &&
	    server->in_flight < server->announced.slots / 2 &&
	    (double)latency_us < 2 * service->latency_us)
		server->trust *= TRUST_LOSS;
	if (server->probing) {
		server->ejected = false;
		server->probing = false;
		server->eject_until = now;
		server->error_rate = RETURN_ERROR_RATE;
	}
	if (server->state == BW_BACKEND_ANNOUNCED)
		bw_backend_step(table, server, BW_BACKEND_EVENT_CONFIRM, now);
}

static void learn_refused_(struct bw_backend_server *server, struct bw_time now)
{
	server->refusal_rate = average_(server->refusal_rate, 1);
	server->refusals++;
	if (bw_time_diff_ms(now, server->reported) <= REPORT_FRESH_MS &&
	    server->reported_in_flight < server->announced.slots &&
	    !server->reported_queue)
		server->trust *= TRUST_LOSS;
}

static void learn_failure_(struct bw_backend_server *server)
{
	server->error_rate = average_(server->error_rate, 1);
	server->outcomes++;
	server->failures++;
}

static bool is_outlier_(const struct bw_backend_server *server)
{
	return server->failures >= EJECT_FAILURES ||
	       server->refusals >= EJECT_REFUSALS ||
	       (server->outcomes >= EJECT_MIN_OUTCOMES &&
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

static void eject_(const struct bw_backend_table *table,
		   struct bw_backend_server *server, struct bw_time now)
{
	int64_t time_ms = table->config.eject_base_ms;
	uint32_t i;

	for (i = 0;
	     i < server->ejections && time_ms < table->config.eject_max_ms; i++)
		time_ms *= 2;
	if (time_ms > table->config.eject_max_ms)
		time_ms = table->config.eject_max_ms;
	server->ejections++;
	server->ejected = true;
	server->probing = false;
	server->eject_until = bw_time_add(now, time_ms);
	server->failures = 0;
	server->refusals = 0;
	server->outcomes = 0;
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
