#include "gate_request_check.h"

#include <string.h>

#include "gate_customer.h"
#include "gate_entry_private.h"
#include "platform.h"

/**
 * Time for which a route is used after a newer version that changed it is
 * known. It leaves a second of the time in which a change has to be in force.
 */
#define RETIRED_USE_MAX_MS 1500

/** Time without a message of the feed after which a host may be cut off. */
#define CUT_OFF_AFTER_MS 1750

static enum gate_check check_route_(struct gate_request *request);
static bool is_retired_(const struct gate_request *request, struct bw_time now);
static const struct bw_route *find_route_(const struct gate_request *request);
static bool leads_to_(const struct bw_route *route, const char *service);
static bool accepts_server_(const struct gate_entry *entry,
			    const struct bw_target *target, struct bw_time now);

const char *const gate_check_string[GATE_CHECK_COUNT] = {
	[GATE_CHECK_CURRENT] = "current",
	[GATE_CHECK_SERVER] = "server_left",
	[GATE_CHECK_ROUTE] = "route_changed",
	[GATE_CHECK_NO_ROUTE] = "route_removed",
	[GATE_CHECK_NO_KEY] = "key_withdrawn",
	[GATE_CHECK_EXPIRED] = "deadline",
	[GATE_CHECK_BEHIND] = "configuration_behind",
};

void gate_request_keep_input(struct gate_request *request,
			     const struct bw_http_message *message,
			     const struct bw_http_target *target)
{
	char key[256];

	request->host = g_strndup(target->host, target->host_bytes);
	if (bw_http_find(message, PLATFORM_FIELD_AFFINITY_KEY, key,
			 sizeof(key)))
		request->affinity_key = g_strdup(key);
}

void gate_request_choose_service(struct gate_request *request)
{
	struct gate_entry *entry = request->entry;
	const struct bw_route *route = request->route;
	struct bw_job *job = &request->job;
	uint64_t point = bw_random_next(&entry->node->random);

	job->service = bw_dispatch_service(
		&entry->dispatch,
		route->choices[bw_route_choose(route, point)].service);
	job->regions = gate_customer_regions(request);
	job->work_key =
		bw_dispatch_object_hash(job->service->name, route->name);
	job->object = 0;
	if (route->keyed_placement && request->affinity_key)
		job->object = bw_dispatch_object_hash(job->service->name,
						      request->affinity_key);
}

enum gate_check gate_request_check(struct gate_request *request,
				   struct bw_time now)
{
	struct gate_entry *entry = request->entry;
	enum gate_check check;

	if (bw_time_reached(now, request->job.deadline))
		return GATE_CHECK_EXPIRED;
	check = check_route_(request);
	if (check != GATE_CHECK_CURRENT)
		return check;
	if (is_retired_(request, now))
		return GATE_CHECK_BEHIND;
	return accepts_server_(entry, request->job.target, now)
		       ? GATE_CHECK_CURRENT
		       : GATE_CHECK_SERVER;
}

void gate_request_log_check(const struct gate_request *request,
			    enum gate_check check)
{
	const struct gate_entry *entry = request->entry;

	bw_metric_add(entry->reconsidered[check], 1);
	bw_log_event(entry->node->log, BW_LOG_INFO, "request", "reconsidered",
		     "{s:s,s:s,s:s,s:I,s:s}", "request", request->id, "cause",
		     gate_check_string[check], "service",
		     request->job.service->name, "version",
		     (json_int_t)request->routing->version, "server",
		     request->job.target ? request->job.target->id : "");
}

/* A table shares the routes that did not change with the one before. */
static enum gate_check check_route_(struct gate_request *request)
{
	struct gate_entry *entry = request->entry;
	const struct bw_route *route;

	if (request->routing == entry->routing)
		return GATE_CHECK_CURRENT;
	route = find_route_(request);
	if (!route)
		return GATE_CHECK_NO_ROUTE;
	bw_routing_ref(entry->routing);
	bw_routing_unref(request->routing);
	request->routing = entry->routing;
	request->route = route;
	if (!gate_customer_refresh(request))
		return GATE_CHECK_NO_KEY;
	if (leads_to_(route, request->job.service->name) &&
	    gate_customer_regions(request) == request->job.regions)
		return GATE_CHECK_CURRENT;
	gate_request_choose_service(request);
	return GATE_CHECK_ROUTE;
}

/*
 * A host that is behind and in touch rejects requests of the routes and
 * customers that it knows to be outdated. One that is cut off goes on with what
 * it has.
 */
static bool is_retired_(const struct gate_request *request, struct bw_time now)
{
	const struct gate_entry *entry = request->entry;
	const struct bw_customer *customer = request->customer;

	if (!entry->retired.count ||
	    bw_time_diff_ms(now, entry->feed_received_at) >= CUT_OFF_AFTER_MS)
		return false;
	return bw_retired_routes_age_ms(&entry->retired, request->route->digest,
					now) > RETIRED_USE_MAX_MS ||
	       (customer &&
		bw_retired_routes_age_ms(&entry->retired, customer->digest,
					 now) > RETIRED_USE_MAX_MS);
}

static const struct bw_route *find_route_(const struct gate_request *request)
{
	const char *head = (const char *)request->head.data;
	const char *end = head + request->head.size_bytes;
	const char *target = memchr(head, ' ', request->head.size_bytes);
	const char *target_end;

	if (!target)
		return NULL;
	target++;
	target_end = memchr(target, ' ', (size_t)(end - target));
	if (!target_end)
		return NULL;
	return bw_routing_find(request->entry->routing, request->host,
			       strlen(request->host), target,
			       (size_t)(target_end - target));
}

static bool leads_to_(const struct bw_route *route, const char *service)
{
	uint32_t i;

	for (i = 0; i < route->choice_count; i++) {
		if (route->choices[i].weight &&
		    !strcmp(route->choices[i].service, service))
			return true;
	}
	return false;
}

/* Records that arrived since the last update of the targets count, too. */
static bool accepts_server_(const struct gate_entry *entry,
			    const struct bw_target *target, struct bw_time now)
{
	const struct bw_server *server = g_hash_table_lookup(
		entry->node->registry.by_hash, &target->id_hash);

	return server && server->record.state == BW_SERVER_READY &&
	       server->record.started_wall_ms == target->started_wall_ms &&
	       !gate_entry_is_evacuated(entry, server->record.domain) &&
	       !bw_server_notice_declines(&target->notice, now);
}
