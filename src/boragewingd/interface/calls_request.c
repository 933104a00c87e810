/*
 * What a caller's request says: service, kind, region, deadline, key and body.
 */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "calls_private.h"

#define DIGEST_BYTES 16
#define DEADLINE_DEFAULT_MS 30000
#define DEADLINE_MAX_MS 600000

/** Validity of the binding of a key supplied by the caller. */
#define BINDING_VALIDITY_MS (24 * 3600 * 1000)

#define HEADER_DEADLINE "Boragewing-Deadline-Ms"
#define HEADER_HOPS "Boragewing-Hops"
#define HEADER_CLIENT "Boragewing-Client"

/** A call whose key is being bound; the call may end before the reply. */
struct binding {
	struct calls *calls;
	uint64_t id;
};

static bool find_service_kind_(struct call *call, const char *path_suffix);
static void parse_deadline_(struct call *call);
static void find_client_region_(struct call *call);
static void compute_digests_(struct call *call);
static bool parse_key_(struct call *call);
static void on_key_bound_(void *context, const struct command_reply *reply);

bool call_read_head(struct call *call, const char *path_suffix)
{
	if (!find_service_kind_(call, path_suffix))
		return false;
	find_client_region_(call);
	parse_deadline_(call);
	return true;
}

void call_receive_body(struct call *call, const uint8_t *data,
		       size_t size_bytes)
{
	if (call->state == CALL_FINISHED)
		return;
	if (call->body_streamed) {
		call_forward_body(call, data, size_bytes);
		return;
	}
	if (bw_buffer_append(&call->body, data, size_bytes) != BW_OK) {
		call_fail(call, 503, "out_of_memory",
			  call_unclaimed_outcome(call), 0);
		return;
	}
	if (call->body.size_bytes > CALL_BUFFER_MAX_BYTES)
		call_stream_body(call);
}

void call_stream_body(struct call *call)
{
	call->body_streamed = true;
	call->body_paused = true;
	bw_request_pause(call->request);
	call_process_request(call);
}

void call_process_request(struct call *call)
{
	struct host *host = call->calls->host;
	uint32_t retry_after_ms = 0;

	compute_digests_(call);
	if (bw_poison_check(&host->steering.poison, &call->fingerprint,
			    call->crash_limit, host_now(host),
			    &retry_after_ms)) {
		bw_metric_add(call->calls->poisoned, 1);
		call_fail(call, 422, "crashes_backend_servers",
			  call_unclaimed_outcome(call), retry_after_ms);
		return;
	}
	if (call->idempotent) {
		call_admit(call);
		return;
	}
	if (!parse_key_(call))
		return;
	if (call->has_key)
		call_resolve_key(call);
	else
		call_fire(call, CALL_EVENT_BIND);
}

void call_bind_key(struct call *call)
{
	struct host *host = call->calls->host;
	struct command command = { .kind = COMMAND_BIND_KEY };
	const struct directory_host *owner = call_choose_owner(call);
	struct binding *binding = g_new(struct binding, 1);

	memcpy(command.bind.key, call->key.id, sizeof(command.bind.key));
	bw_name_set(command.bind.owner,
		    owner ? owner->name : host->settings->host.name);
	command.bind.owner_incarnation = owner ? owner->incarnation
					       : host->incarnation;
	command.bind.expiry_wall_ms = host_wall_ms(host) + BINDING_VALIDITY_MS;
	binding->calls = call->calls;
	binding->id = call->id;
	g_hash_table_insert(call->calls->by_id, &call->id, call);
	command_call(&host->commands, &command, on_key_bound_, binding);
}

/* Finds the service and kind of work; fails the call if there is none. */
static bool find_service_kind_(struct call *call, const char *path_suffix)
{
	struct steering *steering = &call->calls->host->steering;
	const char *query = bw_request_query(call->request);
	const char *slash = strchr(path_suffix, '/');
	const struct bw_sheet_service *service;
	size_t length = slash ? (size_t)(slash - path_suffix)
			      : strlen(path_suffix);
	uint32_t service_index = BW_SHEET_NONE;
	uint32_t kind_index;

	call->method = strdup(bw_request_method(call->request));
	call->upstream_target = g_strdup_printf("%s%s%s", slash ? slash : "/",
						query ? "?" : "",
						query ? query : "");
	call->client_target =
		g_strdup_printf("%s%s%s", bw_request_path(call->request),
				query ? "?" : "", query ? query : "");
	if (!steering->sheet) {
		call_fail(call, 503, "no_sheet", call_unclaimed_outcome(call),
			  1000);
		return false;
	}
	if (length < BW_NAME_MAX) {
		memcpy(call->service, path_suffix, length);
		service_index =
			bw_sheet_find_service(steering->sheet, call->service);
	}
	if (service_index == BW_SHEET_NONE) {
		call_fail(call, 404, "unknown_service",
			  call_unclaimed_outcome(call), 0);
		return false;
	}
	service = &steering->sheet->services[service_index];
	kind_index =
		bw_sheet_find_kind(service, call->method, slash ? slash : "/");
	if (kind_index == BW_SHEET_NONE) {
		call_fail(call, 405, "unknown_kind",
			  call_unclaimed_outcome(call), 0);
		return false;
	}
	call->idempotent = service->kinds[kind_index].idempotent;
	call->rank = service->kinds[kind_index].rank_index;
	call->crash_limit = service->crash_limit;
	if (bw_admission_service(&steering->admission, service->name,
				 &call->service_index) != BW_OK) {
		call_fail(call, 503, "too_many_services",
			  call_unclaimed_outcome(call), 0);
		return false;
	}
	return true;
}

static void find_client_region_(struct call *call)
{
	const char *peer = bw_request_peer(call->request);
	const char *client_header =
		bw_request_header(call->request, HEADER_CLIENT);

	if (client_header && !strncmp(peer, "127.", 4))
		peer = client_header;
	call->region =
		steering_caller_region(&call->calls->host->steering, peer);
}

static void parse_deadline_(struct call *call)
{
	const char *text = bw_request_header(call->request, HEADER_DEADLINE);
	const char *hops = bw_request_header(call->request, HEADER_HOPS);
	int64_t deadline_ms = DEADLINE_DEFAULT_MS;

	if (text && bw_http_parse_length(text) != BW_HTTP_LENGTH_UNKNOWN)
		deadline_ms = bw_http_parse_length(text);
	if (deadline_ms > DEADLINE_MAX_MS)
		deadline_ms = DEADLINE_MAX_MS;
	call->deadline = bw_time_add(host_now(call->calls->host), deadline_ms);
	if (hops && bw_http_parse_length(hops) > 0)
		call->hops = (uint32_t)bw_http_parse_length(hops);
}

static void compute_digests_(struct call *call)
{
	uint8_t digest[DIGEST_BYTES];
	int64_t length = bw_request_content_length(call->request);

	if (call->body_streamed)
		crypto_generichash(digest, sizeof(digest),
				   (const uint8_t *)&length, sizeof(length),
				   NULL, 0);
	else
		crypto_generichash(digest, sizeof(digest), call->body.data,
				   call->body.size_bytes, NULL, 0);
	bw_poison_fingerprint(call->service, call->method,
			      call->upstream_target, digest, sizeof(digest), "",
			      &call->fingerprint);
	bw_keys_request_digest(call->service, call->method,
			       call->upstream_target, digest, sizeof(digest),
			       call->digest);
}

/* Fails the call and returns false when there is no usable key. */
static bool parse_key_(struct call *call)
{
	struct host *host = call->calls->host;
	const char *text = bw_request_header(call->request, CALL_HEADER_KEY);
	const char *caller_key =
		bw_request_header(call->request, CALL_HEADER_CALLER_KEY);
	enum bw_status status;

	if (text) {
		status = bw_keys_parse(&host->steering.keys, text,
				       host_wall_ms(host), &call->key);
		if (status == BW_OK || status == BW_ESTALE) {
			snprintf(call->key_text, sizeof(call->key_text), "%s",
				 text);
			call->has_key = true;
			return true;
		}
		call_fail(call, status == BW_EDENIED ? 403 : 400,
			  "bad_request_key", CALL_NOT_RUN, 0);
		return false;
	}
	if (!caller_key) {
		call_fail(call, 428, "request_key_required", CALL_NOT_RUN, 0);
		return false;
	}
	if (bw_keys_hash_caller_key(&host->steering.keys, call->service,
				    caller_key, call->key.id) != BW_OK) {
		call_fail(call, 400, "bad_idempotency_key", CALL_NOT_RUN, 0);
		return false;
	}
	return true;
}

static void on_key_bound_(void *context, const struct command_reply *reply)
{
	struct binding *binding = context;
	struct calls *calls = binding->calls;
	struct call *call = call_find(calls, binding->id);
	const struct bw_outcome *outcome = &reply->outcome;

	g_free(binding);
	if (!call || call->state != CALL_BINDING)
		return;
	g_hash_table_remove(calls->by_id, &call->id);
	if (reply->status != BW_OK ||
	    (outcome->kind != BW_OUTCOME_BOUND &&
	     outcome->kind != BW_OUTCOME_ALREADY_BOUND)) {
		call_fail(call, 503,
			  reply->status == BW_OK
				  ? bw_outcome_kind_string[outcome->kind]
				  : "no_control_majority",
			  call_unclaimed_outcome(call), 1000);
		return;
	}
	bw_keys_from_binding(call->key.id, outcome->owner,
			     outcome->owner_incarnation,
			     outcome->expiry_wall_ms, &call->key);
	call->has_key = true;
	call_resolve_key(call);
}
