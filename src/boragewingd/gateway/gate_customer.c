#include "gate_customer.h"

#include <string.h>

#include "gate_entry_private.h"
#include "gate_entry_respond.h"
#include "gate_refusal.h"
#include "platform.h"

static bool needs_key_(const struct bw_routing *routing,
		       const struct bw_route *route);
static bool find_key_(const struct bw_http_message *message,
		      char key[GATE_KEY_BYTES]);
static uint64_t route_regions_(const struct gate_request *request);
static uint64_t customer_regions_(const struct gate_request *request);
static void log_unknown_(const struct gate_entry *entry,
			 const struct bw_http_message *message,
			 uint16_t status_code,
			 const struct bw_confirmation *confirmation);

enum gate_identity gate_customer_identify(const struct bw_routing *routing,
					  const struct bw_route *route,
					  const struct bw_http_message *message,
					  char key[GATE_KEY_BYTES],
					  const struct bw_customer **customer)
{
	key[0] = '\0';
	*customer = NULL;
	if (!needs_key_(routing, route))
		return GATE_IDENTITY_NONE;
	if (find_key_(message, key))
		*customer = bw_customers_find_key(routing->customers, key);
	return *customer ? GATE_IDENTITY_KNOWN : GATE_IDENTITY_UNKNOWN;
}

void gate_customer_set(struct gate_request *request,
		       const struct bw_customer *customer)
{
	struct bw_job *job = &request->job;

	request->customer = customer;
	job->rank = request->route->rank;
	job->customer_hash = customer ? customer->hash : 0;
	if (customer && customer->has_rank)
		job->rank = customer->rank;
}

bool gate_customer_refresh(struct gate_request *request)
{
	const struct bw_routing *routing = request->routing;
	const struct bw_customer *customer = NULL;

	/* The customer so far is part of a table that may be gone. */
	request->customer = NULL;
	if (needs_key_(routing, request->route)) {
		if (!request->key)
			return false;
		customer =
			bw_customers_find_key(routing->customers, request->key);
		if (!customer)
			return false;
	}
	gate_customer_set(request, customer);
	return true;
}

uint64_t gate_customer_regions(const struct gate_request *request)
{
	uint64_t of_route = route_regions_(request);
	uint64_t of_customer = customer_regions_(request);

	if (!of_route)
		return of_customer;
	if (!of_customer)
		return of_route;
	return of_route & of_customer ? of_route & of_customer
				      : BW_REGIONS_NONE;
}

void gate_customer_respond_unknown(struct gate_entry *entry,
				   struct bw_server_connection *connection,
				   const struct bw_http_message *message)
{
	struct bw_confirmation confirmation =
		gate_entry_confirm(entry, gate_node_now(entry->node));
	uint16_t status_code = confirmation.confirmed ? 401 : 503;

	bw_metric_add(entry->unknown_keys[confirmation.confirmed], 1);
	bw_metric_add(entry->outcomes[GATE_OUTCOME_UNKNOWN_KEY], 1);
	log_unknown_(entry, message, status_code, &confirmation);
	gate_entry_respond_refusal(connection, status_code);
}

static bool needs_key_(const struct bw_routing *routing,
		       const struct bw_route *route)
{
	return routing->customers && !route->is_public;
}

/* Two keys in one request name no customer. */
static bool find_key_(const struct bw_http_message *message,
		      char key[GATE_KEY_BYTES])
{
	char text[GATE_KEY_BYTES];
	const char *found;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < message->field_count; i++) {
		if (bw_http_field_is(message, &message->fields[i],
				     PLATFORM_FIELD_KEY))
			count++;
	}
	if (count != 1 ||
	    !bw_http_find(message, PLATFORM_FIELD_KEY, text, sizeof(text)))
		return false;
	found = platform_key_read(text);
	if (!found)
		return false;
	g_strlcpy(key, found, GATE_KEY_BYTES);
	return true;
}

static uint64_t route_regions_(const struct gate_request *request)
{
	const struct bw_route *route = request->route;
	uint64_t regions = 0;
	uint32_t i;

	for (i = 0; i < route->home_count; i++)
		regions |= 1ULL << gate_node_region_index(request->entry->node,
							  route->homes[i]);
	return regions;
}

static uint64_t customer_regions_(const struct gate_request *request)
{
	const struct bw_customer *customer = request->customer;
	uint64_t regions = 0;
	uint32_t i;

	for (i = 0; customer && i < customer->home_count; i++)
		regions |= 1ULL << gate_node_region_index(request->entry->node,
							  customer->homes[i]);
	return regions;
}

static void log_unknown_(const struct gate_entry *entry,
			 const struct bw_http_message *message,
			 uint16_t status_code,
			 const struct bw_confirmation *confirmation)
{
	const struct bw_routing *routing = entry->routing;
	char id[GATE_REFUSAL_TEXT_BYTES];

	gate_refusal_copy_field(id, message, PLATFORM_FIELD_REQUEST_ID);
	if (!bw_log_sampled(entry->node->log, bw_registry_hash(id)))
		return;
	bw_log_event(entry->node->log, BW_LOG_WARNING, "request", "unknown_key",
		     "{s:s,s:i,s:I,s:I,s:i,s:I,s:i,s:i}", "request", id,
		     "status", (int)status_code, "version",
		     (json_int_t)routing->version, "newest_version",
		     (json_int_t)entry->newest_version, "customers",
		     (int)routing->customers->count, "behind_ms",
		     (json_int_t)gate_entry_behind_ms(
			     entry, gate_node_now(entry->node)),
		     "confirmed_by", (int)confirmation->confirmed_by,
		     "controls", (int)confirmation->controls);
}
