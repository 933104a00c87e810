#include "bwsteer/backend.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "private/backend.h"

/** Factor on removal_timeout_ms while most servers fail to report. */
#define BROKEN_REPORTS_TIMEOUT_FACTOR 10

/** Consecutive failed requests at which a lost server is not restored. */
#define RESTORE_FAILURES_MAX 5

/** Time without an ejection that halves the count of ejections. */
#define EJECTION_DECAY_MS 60000

/** Change of the trust in reports: slow additive increase, fast decay. */
#define TRUST_INCREMENT 0.05
#define TRUST_DECAY_FACTOR 0.7

/** Requests in flight needed to judge a report; with fewer, a report may
 * differ only because requests are on their way. */
#define TRUST_MIN_IN_FLIGHT 4

static enum bw_status find_or_add_service_(struct bw_backend_table *table,
					   const char *name,
					   uint32_t *position);
static enum bw_status reuse_service_(struct bw_backend_table *table,
				     uint32_t *position);
static enum bw_status add_to_service_(struct bw_backend_table *table,
				      uint32_t server, uint32_t service);
static void remove_from_service_(struct bw_backend_table *table,
				 uint32_t server);
static void reset_server_(struct bw_backend_server *server,
			  const struct bw_backend_announcement *announcement,
			  struct bw_time now);
static enum bw_status
add_server_(struct bw_backend_table *table,
	    const struct bw_backend_announcement *announcement,
	    uint32_t service, struct bw_backend_server **added);
static void remove_server_(struct bw_backend_table *table, uint32_t position);
static enum bw_status find_incarnation_(const struct bw_backend_table *table,
					const char *id, uint64_t incarnation,
					struct bw_backend_server **server);
static void detect_broken_reports_(struct bw_backend_table *table,
				   struct bw_time now);
static void tick_server_(struct bw_backend_table *table, uint32_t position,
			 struct bw_time now);
static bool is_removal_due_(const struct bw_backend_table *table,
			    const struct bw_backend_server *server,
			    struct bw_time now);

static const char *const event_names_[BW_BACKEND_EVENT_COUNT] = {
	[BW_BACKEND_EVENT_ANNOUNCE] = "announce",
	[BW_BACKEND_EVENT_CONFIRM] = "confirm",
	[BW_BACKEND_EVENT_RAMPED] = "ramped",
	[BW_BACKEND_EVENT_DRAIN] = "drain",
	[BW_BACKEND_EVENT_UNDRAIN] = "undrain",
	[BW_BACKEND_EVENT_LEAVE] = "leave",
	[BW_BACKEND_EVENT_MISS] = "miss",
	[BW_BACKEND_EVENT_RESTORE] = "restore",
};

static const char *const action_names_[BW_BACKEND_ACTION_COUNT] = {
	[BW_BACKEND_ACTION_RESET] = "reset",
	[BW_BACKEND_ACTION_START_RAMP] = "start_ramp",
};

const char *const bw_backend_state_string[BW_BACKEND_STATE_COUNT] = {
	[BW_BACKEND_ANNOUNCED] = "announced",
	[BW_BACKEND_WARMING] = "warming",
	[BW_BACKEND_READY] = "ready",
	[BW_BACKEND_DRAINING] = "draining",
	[BW_BACKEND_LEFT] = "left",
	[BW_BACKEND_LOST] = "lost",
};

const struct bw_chart_names bw_backend_chart_names = {
	.states = bw_backend_state_string,
	.state_count = BW_BACKEND_STATE_COUNT,
	.events = event_names_,
	.event_count = BW_BACKEND_EVENT_COUNT,
	.actions = action_names_,
	.action_count = BW_BACKEND_ACTION_COUNT,
};

void bw_backend_config_default(struct bw_backend_config *config,
			       const struct bw_chart *chart)
{
	memset(config, 0, sizeof(*config));
	config->chart = chart;
	config->servers_max = 4096;
	config->services_max = 256;
	config->ramp_ms = 10000;
	config->heartbeat_timeout_ms = 5000;
	config->removal_timeout_ms = 60000;
	config->eject_base_ms = 1000;
	config->eject_max_ms = 60000;
	config->in_use_min_percent = 50;
}

enum bw_status bw_backend_init(struct bw_backend_table *table,
			       const struct bw_backend_config *config)
{
	uint32_t i;

	memset(table, 0, sizeof(*table));
	if (!config->chart || !config->servers_max || !config->services_max ||
	    config->in_use_min_percent > 100)
		return BW_EINVAL;
	table->config = *config;
	table->servers = calloc(config->servers_max, sizeof(table->servers[0]));
	table->services =
		calloc(config->services_max, sizeof(table->services[0]));
	table->free_list = calloc(config->servers_max, sizeof(uint32_t));
	table->by_id = bw_index_new(config->servers_max);
	table->by_service = bw_index_new(config->services_max);
	if (!table->servers || !table->services || !table->free_list ||
	    !table->by_id || !table->by_service) {
		bw_backend_finish(table);
		return BW_ENOMEM;
	}
	for (i = 0; i < config->servers_max; i++)
		table->free_list[i] = config->servers_max - 1 - i;
	table->free_count = config->servers_max;
	return BW_OK;
}

void bw_backend_finish(struct bw_backend_table *table)
{
	uint32_t i;

	for (i = 0; table->services && i < table->services_count; i++)
		free(table->services[i].servers);
	free(table->servers);
	free(table->services);
	free(table->free_list);
	bw_index_free(table->by_id);
	bw_index_free(table->by_service);
	memset(table, 0, sizeof(*table));
}

enum bw_status
bw_backend_announce(struct bw_backend_table *table,
		    const struct bw_backend_announcement *announcement,
		    struct bw_time now)
{
	struct bw_backend_server *server;
	uint64_t sequence = 1;

	if (!bw_backend_is_valid(announcement))
		return BW_EINVAL;
	server = bw_backend_lookup(table, announcement->id);
	if (server &&
	    server->announced.incarnation == announcement->incarnation) {
		bw_backend_report(table, server, server->reported_in_flight,
				  server->reported_queue, now, now);
		return BW_OK;
	}
	if (server)
		sequence = server->sequence + 1;
	return bw_backend_put(table, announcement, sequence, now, &server);
}

enum bw_status bw_backend_heartbeat(struct bw_backend_table *table,
				    const char *id, uint64_t incarnation,
				    uint32_t in_flight, uint32_t queue,
				    struct bw_time now)
{
	struct bw_backend_server *server;
	enum bw_status status =
		find_incarnation_(table, id, incarnation, &server);

	if (status != BW_OK)
		return status;
	/* A report may miss the few requests that are still on their way. If
	 * it misses more than half of this host's requests, it is wrong. */
	if (server->in_flight >= TRUST_MIN_IN_FLIGHT &&
	    in_flight < server->in_flight / 2)
		server->trust *= TRUST_DECAY_FACTOR;
	else if (server->trust < 1 - TRUST_INCREMENT)
		server->trust += TRUST_INCREMENT;
	bw_backend_report(table, server, in_flight, queue, now, now);
	return BW_OK;
}

enum bw_status bw_backend_drain(struct bw_backend_table *table, const char *id,
				uint64_t incarnation, struct bw_time now)
{
	struct bw_backend_server *server;
	enum bw_status status =
		find_incarnation_(table, id, incarnation, &server);

	if (status != BW_OK)
		return status;
	server->drain_requested = true;
	bw_backend_apply_drain(table, server, now);
	return BW_OK;
}

enum bw_status bw_backend_leave(struct bw_backend_table *table, const char *id,
				uint64_t incarnation, struct bw_time now)
{
	struct bw_backend_server *server;
	enum bw_status status =
		find_incarnation_(table, id, incarnation, &server);

	if (status != BW_OK)
		return status;
	server->reported_at = now;
	bw_backend_apply_event(table, server, BW_BACKEND_EVENT_LEAVE, now);
	return BW_OK;
}

enum bw_status bw_backend_set_sheet_drain(struct bw_backend_table *table,
					  const char *id, bool draining,
					  struct bw_time now)
{
	struct bw_backend_server *server = bw_backend_lookup(table, id);

	if (!server)
		return BW_ENOTFOUND;
	server->drain_by_sheet = draining;
	bw_backend_apply_drain(table, server, now);
	return BW_OK;
}

enum bw_status bw_backend_find(const struct bw_backend_table *table,
			       const char *id, enum bw_backend_state *state,
			       uint64_t *incarnation)
{
	const struct bw_backend_server *server = bw_backend_lookup(table, id);

	if (!server)
		return BW_ENOTFOUND;
	*state = server->state;
	*incarnation = server->announced.incarnation;
	return BW_OK;
}

void bw_backend_tick(struct bw_backend_table *table, struct bw_time now)
{
	uint32_t i;

	detect_broken_reports_(table, now);
	for (i = 0; i < table->servers_end; i++) {
		if (table->servers[i].used)
			tick_server_(table, i, now);
	}
	for (i = 0; i < table->services_count; i++)
		bw_backend_end_excess_ejections(table, &table->services[i]);
}

bool bw_backend_apply_event(struct bw_backend_table *table,
			    struct bw_backend_server *server,
			    enum bw_backend_event event, struct bw_time now)
{
	struct bw_chart_step step;

	if (bw_chart_next(table->config.chart, (uint8_t)server->state,
			  (uint8_t)event, &step) != BW_OK)
		return false;
	server->state = step.state;
	if (step.action == BW_BACKEND_ACTION_START_RAMP)
		server->ramp_start = now;
	return true;
}

struct bw_backend_server *
bw_backend_lookup(const struct bw_backend_table *table, const char *id)
{
	struct bw_index_cursor cursor;
	uint32_t position =
		bw_index_first(table->by_id, bw_index_hash_text(id), &cursor);

	while (position != BW_INDEX_NONE) {
		if (!strcmp(table->servers[position].announced.id, id))
			return &table->servers[position];
		position = bw_index_next(table->by_id, &cursor);
	}
	return NULL;
}

struct bw_backend_service *
bw_backend_lookup_service(const struct bw_backend_table *table,
			  const char *name)
{
	struct bw_index_cursor cursor;
	uint32_t position = bw_index_first(table->by_service,
					   bw_index_hash_text(name), &cursor);

	while (position != BW_INDEX_NONE) {
		if (!strcmp(table->services[position].name, name))
			return &table->services[position];
		position = bw_index_next(table->by_service, &cursor);
	}
	return NULL;
}

bool bw_backend_is_valid(const struct bw_backend_announcement *announcement)
{
	return announcement->id[0] && announcement->incarnation &&
	       announcement->service[0] && announcement->address[0] &&
	       announcement->port && announcement->slots &&
	       announcement->slots <= BW_BACKEND_SLOTS_MAX &&
	       announcement->connections &&
	       announcement->connections <= BW_BACKEND_SLOTS_MAX;
}

enum bw_status
bw_backend_put(struct bw_backend_table *table,
	       const struct bw_backend_announcement *announcement,
	       uint64_t sequence, struct bw_time now,
	       struct bw_backend_server **server)
{
	struct bw_backend_server *known =
		bw_backend_lookup(table, announcement->id);
	enum bw_status status;
	uint32_t service;

	*server = NULL;
	status = find_or_add_service_(table, announcement->service, &service);
	if (status != BW_OK)
		return status;
	if (!known) {
		status = add_server_(table, announcement, service, &known);
		if (status != BW_OK)
			return status;
	} else if (!bw_backend_apply_event(table, known,
					   BW_BACKEND_EVENT_ANNOUNCE, now)) {
		return BW_EINVAL;
	} else {
		remove_from_service_(table, (uint32_t)(known - table->servers));
		reset_server_(known, announcement, now);
		status = add_to_service_(
			table, (uint32_t)(known - table->servers), service);
		if (status != BW_OK) {
			remove_server_(table,
				       (uint32_t)(known - table->servers));
			return status;
		}
	}
	known->state = table->config.chart->initial;
	known->sequence = sequence;
	known->reported_at = now;
	bw_backend_apply_drain(table, known, now);
	*server = known;
	return BW_OK;
}

void bw_backend_apply_drain(struct bw_backend_table *table,
			    struct bw_backend_server *server,
			    struct bw_time now)
{
	bool draining = server->drain_requested || server->drain_by_sheet;

	bw_backend_apply_event(table, server,
			       draining ? BW_BACKEND_EVENT_DRAIN
					: BW_BACKEND_EVENT_UNDRAIN,
			       now);
}

void bw_backend_report(struct bw_backend_table *table,
		       struct bw_backend_server *server, uint32_t in_flight,
		       uint32_t queue, struct bw_time at, struct bw_time now)
{
	server->reported_at = at;
	server->reported_in_flight = in_flight;
	server->reported_queue = queue;
	server->in_flight_at_report = server->in_flight;
	if (bw_time_diff_ms(now, at) < table->config.heartbeat_timeout_ms)
		bw_backend_apply_event(table, server, BW_BACKEND_EVENT_CONFIRM,
				       now);
}

bool bw_backend_accepts(const struct bw_backend_server *server)
{
	return server->state == BW_BACKEND_ANNOUNCED ||
	       server->state == BW_BACKEND_WARMING ||
	       server->state == BW_BACKEND_READY;
}

uint32_t bw_backend_limit(const struct bw_backend_server *server)
{
	/* Each request in flight holds one connection. */
	return server->announced.slots < server->announced.connections
		       ? server->announced.slots
		       : server->announced.connections;
}

static enum bw_status find_or_add_service_(struct bw_backend_table *table,
					   const char *name, uint32_t *position)
{
	struct bw_backend_service *service =
		bw_backend_lookup_service(table, name);
	enum bw_status status;

	if (service) {
		*position = (uint32_t)(service - table->services);
		return BW_OK;
	}
	if (table->services_count < table->config.services_max) {
		*position = table->services_count++;
	} else {
		status = reuse_service_(table, position);
		if (status != BW_OK)
			return status;
	}
	service = &table->services[*position];
	service->latency_us = 0;
	service->limit_max = 0;
	bw_name_set(service->name, name);
	bw_index_add(table->by_service, bw_index_hash_text(name), *position);
	return BW_OK;
}

/* Frees the entry of a service without servers. */
static enum bw_status reuse_service_(struct bw_backend_table *table,
				     uint32_t *position)
{
	uint32_t i;

	for (i = 0; i < table->services_count; i++) {
		if (table->services[i].count)
			continue;
		bw_index_remove(table->by_service,
				bw_index_hash_text(table->services[i].name), i);
		*position = i;
		return BW_OK;
	}
	return BW_EFULL;
}

static enum bw_status add_to_service_(struct bw_backend_table *table,
				      uint32_t server, uint32_t service)
{
	struct bw_backend_service *owner = &table->services[service];
	uint32_t limit = bw_backend_limit(&table->servers[server]);
	uint32_t capacity =
		owner->servers_capacity ? owner->servers_capacity * 2 : 8;
	uint32_t *grown;

	if (owner->count == owner->servers_capacity) {
		grown = realloc(owner->servers, capacity * sizeof(*grown));
		if (!grown)
			return BW_ENOMEM;
		owner->servers = grown;
		owner->servers_capacity = capacity;
	}
	owner->servers[owner->count++] = server;
	if (limit > owner->limit_max)
		owner->limit_max = limit;
	table->servers[server].service = service;
	return BW_OK;
}

static void remove_from_service_(struct bw_backend_table *table,
				 uint32_t server)
{
	struct bw_backend_service *owner =
		&table->services[table->servers[server].service];
	uint32_t kept = 0;
	uint32_t limit;
	uint32_t i;

	owner->limit_max = 0;
	for (i = 0; i < owner->count; i++) {
		if (owner->servers[i] == server)
			continue;
		owner->servers[kept++] = owner->servers[i];
		limit = bw_backend_limit(&table->servers[owner->servers[i]]);
		if (limit > owner->limit_max)
			owner->limit_max = limit;
	}
	owner->count = kept;
}

/* Keeps the drain by the sheet and the number of ejections. */
static void reset_server_(struct bw_backend_server *server,
			  const struct bw_backend_announcement *announcement,
			  struct bw_time now)
{
	struct bw_backend_server old = *server;

	memset(server, 0, sizeof(*server));
	server->used = true;
	server->generation = old.generation + 1;
	server->announced = *announcement;
	server->drain_by_sheet = old.drain_by_sheet;
	server->ejections = old.ejections;
	server->eject_until = now;
	server->trust = 1;
}

static enum bw_status
add_server_(struct bw_backend_table *table,
	    const struct bw_backend_announcement *announcement,
	    uint32_t service, struct bw_backend_server **added)
{
	struct bw_backend_server *server;
	enum bw_status status;
	uint32_t position;

	if (!table->free_count)
		return BW_EFULL;
	position = table->free_list[table->free_count - 1];
	server = &table->servers[position];
	server->drain_by_sheet = false;
	server->ejections = 0;
	reset_server_(server, announcement, (struct bw_time){ 0 });
	status = add_to_service_(table, position, service);
	if (status != BW_OK) {
		server->used = false;
		return status;
	}
	table->free_count--;
	table->servers_count++;
	if (table->servers_end <= position)
		table->servers_end = position + 1;
	bw_index_add(table->by_id, bw_index_hash_text(announcement->id),
		     position);
	*added = server;
	return BW_OK;
}

static void remove_server_(struct bw_backend_table *table, uint32_t position)
{
	struct bw_backend_server *server = &table->servers[position];

	remove_from_service_(table, position);
	bw_index_remove(table->by_id, bw_index_hash_text(server->announced.id),
			position);
	server->used = false;
	server->generation++; /* invalidates handles */
	table->free_list[table->free_count++] = position;
	table->servers_count--;
}

static enum bw_status find_incarnation_(const struct bw_backend_table *table,
					const char *id, uint64_t incarnation,
					struct bw_backend_server **server)
{
	*server = bw_backend_lookup(table, id);
	if (!*server)
		return BW_ENOTFOUND;
	if ((*server)->announced.incarnation != incarnation)
		return BW_ESTALE;
	return BW_OK;
}

/*
 * When more than half of the servers are silent, the report path to this host
 * has probably failed rather than the servers, so that no server becomes lost.
 * Servers that became lost within the last heartbeat timeout, because their
 * last report was slightly older, are restored.
 */
static void detect_broken_reports_(struct bw_backend_table *table,
				   struct bw_time now)
{
	struct bw_backend_server *server;
	uint32_t known = 0;
	uint32_t silent = 0;
	bool broken;
	uint32_t i;

	for (i = 0; i < table->servers_end; i++) {
		server = &table->servers[i];
		if (!server->used || server->state == BW_BACKEND_LEFT)
			continue;
		known++;
		if (bw_time_diff_ms(now, server->reported_at) >=
		    table->config.heartbeat_timeout_ms)
			silent++;
	}
	broken = silent * 2 > known;
	if (broken && !table->reports_broken) {
		for (i = 0; i < table->servers_end; i++) {
			server = &table->servers[i];
			if (!server->used || server->state != BW_BACKEND_LOST ||
			    server->consecutive_failures >=
				    RESTORE_FAILURES_MAX ||
			    bw_time_diff_ms(now, server->lost_at) >
				    table->config.heartbeat_timeout_ms)
				continue;
			bw_backend_apply_event(table, server,
					       BW_BACKEND_EVENT_RESTORE, now);
		}
	}
	table->reports_broken = broken;
}

static void tick_server_(struct bw_backend_table *table, uint32_t position,
			 struct bw_time now)
{
	struct bw_backend_server *server = &table->servers[position];

	if (is_removal_due_(table, server, now)) {
		remove_server_(table, position);
		return;
	}
	if (!table->reports_broken &&
	    bw_time_diff_ms(now, server->reported_at) >=
		    table->config.heartbeat_timeout_ms &&
	    bw_backend_apply_event(table, server, BW_BACKEND_EVENT_MISS, now))
		server->lost_at = now;
	if (server->state == BW_BACKEND_WARMING &&
	    bw_time_diff_ms(now, server->ramp_start) >= table->config.ramp_ms)
		bw_backend_apply_event(table, server, BW_BACKEND_EVENT_RAMPED,
				       now);
	if (server->ejections && !server->ejected &&
	    bw_time_diff_ms(now, server->eject_until) >= EJECTION_DECAY_MS) {
		server->ejections /= 2;
		server->eject_until = now;
	}
}

static bool is_removal_due_(const struct bw_backend_table *table,
			    const struct bw_backend_server *server,
			    struct bw_time now)
{
	int64_t silent_ms = bw_time_diff_ms(now, server->reported_at);

	if (silent_ms < table->config.removal_timeout_ms)
		return false;
	if (!table->reports_broken || server->state == BW_BACKEND_LEFT)
		return true;
	if (server->succeeded && bw_time_diff_ms(now, server->last_success) <
					 table->config.removal_timeout_ms)
		return false;
	return silent_ms >=
	       table->config.removal_timeout_ms * BROKEN_REPORTS_TIMEOUT_FACTOR;
}
