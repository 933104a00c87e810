#include "announce.h"

#include <string.h>

#include "directory.h"
#include "host.h"

/** Most entry hosts listed in a response. */
#define RESPONSE_HOSTS_MAX 4

/** Body of a request of a backend server. */
struct message {
	struct bw_backend_announcement announcement;
	uint32_t in_flight;
	uint32_t queue;
};

static bool parse_message_(const struct web_request *request,
			   struct message *message);
static bool parse_string_(const json_t *object, const char *key, char *out,
			  size_t out_bytes);
static bool parse_uint_(const json_t *object, const char *key, uint64_t limit,
			uint64_t *out);
static enum bw_status apply_message_(struct web_request *request,
				     const struct message *message);
static enum bw_status announce_backend_(struct host *host,
					const struct message *message);
static void detect_crash_(struct host *host, const struct message *message);
static void respond_(struct web_request *request,
		     const struct message *message);
static void add_hosts_(json_t *list, const struct directory_domain *domain);

void announce_handle(struct web_request *request)
{
	struct message message;
	enum bw_status status;

	if (!parse_message_(request, &message)) {
		web_respond_error(request, 400, "bad_request",
				  "a member is missing or has a wrong type");
		return;
	}
	status = apply_message_(request, &message);
	switch (status) {
	case BW_OK:
		respond_(request, &message);
		break;
	case BW_ENOTFOUND:
	case BW_ESTALE:
		web_respond_error(request, 409, "announce_again",
				  "this incarnation is not known here");
		break;
	case BW_EFULL:
		web_respond_error(request, 503, "table_full",
				  "too many backend servers");
		break;
	case BW_EVERSION:
		web_respond_error(request, 404, "not_found",
				  "no such operation");
		break;
	default:
		web_respond_error(request, 400, "bad_request", "%s",
				  bw_status_string[status]);
		break;
	}
}

static bool parse_message_(const struct web_request *request,
			   struct message *message)
{
	struct bw_backend_announcement *announcement = &message->announcement;
	json_t *root = json_loadb((const char *)request->body.data,
				  request->body.size_bytes, 0, NULL);
	uint64_t value[5] = { 0 };
	uint64_t incarnation = 0;
	bool valid;

	memset(message, 0, sizeof(*message));
	valid = root &&
		parse_string_(root, "id", announcement->id, BW_NAME_MAX) &&
		parse_uint_(root, "incarnation", INT64_MAX, &incarnation) &&
		parse_uint_(root, "in_flight", UINT32_MAX, &value[0]) &&
		parse_uint_(root, "queue", UINT32_MAX, &value[1]);
	announcement->incarnation = incarnation;
	message->in_flight = (uint32_t)value[0];
	message->queue = (uint32_t)value[1];
	if (valid && !strcmp(request->path_suffix, "announce")) {
		valid = parse_string_(root, "service", announcement->service,
				      BW_NAME_MAX) &&
			parse_string_(root, "failure_domain",
				      announcement->failure_domain,
				      BW_NAME_MAX) &&
			parse_string_(root, "address", announcement->address,
				      BW_BACKEND_ADDRESS_MAX) &&
			parse_uint_(root, "port", UINT16_MAX, &value[2]) &&
			parse_uint_(root, "slots", BW_BACKEND_SLOTS_MAX,
				    &value[3]) &&
			parse_uint_(root, "connections", BW_BACKEND_SLOTS_MAX,
				    &value[4]);
		announcement->port = (uint16_t)value[2];
		announcement->slots = (uint32_t)value[3];
		announcement->connections = (uint32_t)value[4];
	} else if (valid) {
		parse_string_(root, "failure_domain",
			      announcement->failure_domain, BW_NAME_MAX);
	}
	json_decref(root);
	return valid;
}

static bool parse_string_(const json_t *object, const char *key, char *out,
			  size_t out_bytes)
{
	const json_t *value = json_object_get(object, key);

	out[0] = '\0';
	if (!json_is_string(value) || !json_string_length(value) ||
	    json_string_length(value) >= out_bytes)
		return false;
	memcpy(out, json_string_value(value), json_string_length(value) + 1);
	return true;
}

/* Treats a missing number as 0. */
static bool parse_uint_(const json_t *object, const char *key, uint64_t limit,
			uint64_t *out)
{
	const json_t *value = json_object_get(object, key);

	*out = 0;
	if (!value)
		return true;
	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    (uint64_t)json_integer_value(value) > limit)
		return false;
	*out = (uint64_t)json_integer_value(value);
	return true;
}

static enum bw_status apply_message_(struct web_request *request,
				     const struct message *message)
{
	struct host *host = request->host;
	struct bw_backend_table *table = &host->steering.backends;
	const char *id = message->announcement.id;
	uint64_t incarnation = message->announcement.incarnation;
	struct bw_time now = host_now(host);

	if (!strcmp(request->path_suffix, "announce"))
		return announce_backend_(host, message);
	if (!strcmp(request->path_suffix, "heartbeat"))
		return bw_backend_heartbeat(table, id, incarnation,
					    message->in_flight, message->queue,
					    now);
	host->steering.gossip_now = true;
	if (!strcmp(request->path_suffix, "drain"))
		return bw_backend_drain(table, id, incarnation, now);
	if (!strcmp(request->path_suffix, "leave"))
		return bw_backend_leave(table, id, incarnation, now);
	return BW_EVERSION;
}

static enum bw_status announce_backend_(struct host *host,
					const struct message *message)
{
	enum bw_status status;

	detect_crash_(host, message);
	status = bw_backend_announce(&host->steering.backends,
				     &message->announcement, host_now(host));
	if (status == BW_OK)
		host->steering.gossip_now = true;
	return status;
}

/* Treats a new incarnation of a server that did not leave as a crash. */
static void detect_crash_(struct host *host, const struct message *message)
{
	enum bw_backend_state state;
	uint64_t incarnation;

	if (bw_backend_find(&host->steering.backends, message->announcement.id,
			    &state, &incarnation) != BW_OK ||
	    incarnation == message->announcement.incarnation)
		return;
	if (state != BW_BACKEND_LEFT && state != BW_BACKEND_DRAINING)
		bw_poison_server_lost(&host->steering.poison, incarnation,
				      host_now(host));
}

/*
 * Lists hosts of the server's own domain, or of this host's domain when none
 * of them is reachable.
 */
static void respond_(struct web_request *request, const struct message *message)
{
	struct host *host = request->host;
	const struct directory_domain *domain;
	json_t *hosts = json_array();

	domain = directory_find(&host->directory,
				message->announcement.failure_domain);
	if (!domain || !domain->alive || !domain->hosts_count)
		domain = directory_find(&host->directory,
					host->settings->host.failure_domain);
	if (domain)
		add_hosts_(hosts, domain);
	web_respond_json(request, 200, json_pack("{s:o}", "hosts", hosts));
}

static void add_hosts_(json_t *list, const struct directory_domain *domain)
{
	uint32_t i;

	for (i = 0; i < domain->hosts_count; i++) {
		if (json_array_size(list) == RESPONSE_HOSTS_MAX)
			return;
		if (domain->hosts[i].leaving)
			continue;
		json_array_append_new(
			list, json_pack("{s:s, s:s, s:i}", "host",
					domain->hosts[i].name, "address",
					domain->hosts[i].address, "port",
					(int)domain->hosts[i].port));
	}
}
