#include <arpa/inet.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define REPORT_TIMEOUT_MS 900
#define TARGET_BYTES 64
#define RESPONSE_LIMIT_BYTES 65536

/** Report in flight. */
struct report {
	struct instance *instance;
	struct entry entry; /**< copy of the recipient */
	bool announce;
	uint32_t status_code;
	struct bw_buffer body;
};

static void add_entry_(struct instance *instance, const char *address,
		       uint16_t port);
static struct entry *find_entry_(struct instance *instance, const char *address,
				 uint16_t port);
static char *report_json_(struct instance *instance);
static void send_report_(struct instance *instance, struct entry *entry,
			 const char *kind);
static void on_upstream_event_(void *context,
			       const struct bw_upstream_event *event);
static void add_listed_entries_(struct report *report);

void report_init(struct instance *instance)
{
	char **entry = instance->standin->options.entries;
	char address[BW_FRONTEND_PEER_BYTES];
	unsigned int port;

	for (; entry && *entry; entry++) {
		if (sscanf(*entry, "%45[0-9.]:%u", address, &port) == 2)
			add_entry_(instance, address, (uint16_t)port);
	}
}

void report_heartbeat(struct instance *instance)
{
	uint32_t i;

	for (i = 0; i < instance->entry_count; i++)
		send_report_(instance, &instance->entries[i],
			     instance->entries[i].announced ? "heartbeat"
							    : "announce");
}

void report_send(struct instance *instance, const char *kind)
{
	uint32_t i;

	for (i = 0; i < instance->entry_count; i++)
		send_report_(instance, &instance->entries[i], kind);
}

static void add_entry_(struct instance *instance, const char *address,
		       uint16_t port)
{
	struct entry *entry;
	struct in_addr parsed;

	if (!port || inet_pton(AF_INET, address, &parsed) != 1 ||
	    instance->entry_count == ENTRIES_MAX ||
	    find_entry_(instance, address, port))
		return;
	entry = &instance->entries[instance->entry_count++];
	snprintf(entry->address, sizeof(entry->address), "%s", address);
	entry->port = port;
	entry->announced = false;
}

static struct entry *find_entry_(struct instance *instance, const char *address,
				 uint16_t port)
{
	uint32_t i;

	for (i = 0; i < instance->entry_count; i++) {
		if (instance->entries[i].port == port &&
		    !strcmp(instance->entries[i].address, address))
			return &instance->entries[i];
	}
	return NULL;
}

static char *report_json_(struct instance *instance)
{
	struct standin *standin = instance->standin;
	const struct options *options = &standin->options;
	uint32_t in_flight = instance->in_flight;
	json_t *object;
	char *text;

	if (bw_random_below(&standin->random, 100) <
	    (uint64_t)options->lie_percent)
		in_flight = 0;
	object = json_pack("{s:s, s:I, s:s, s:s, s:i, s:s, s:i, s:i, s:i, s:i}",
			   "id", instance->id, "incarnation",
			   (json_int_t)instance->incarnation, "service",
			   options->service, "address", options->address,
			   "port", (int)instance->port, "failure_domain",
			   options->failure_domain, "slots", options->slots,
			   "connections", options->connections, "in_flight",
			   (int)in_flight, "queue", 0);
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}

static void send_report_(struct instance *instance, struct entry *entry,
			 const char *kind)
{
	static const struct bw_http_header type = { "Content-Type",
						    "application/json" };
	struct report *report = calloc(1, sizeof(*report));
	struct bw_upstream_handler handler = { report, on_upstream_event_ };
	struct bw_upstream_request request = { 0 };
	char target[TARGET_BYTES];
	char *text = report_json_(instance);
	struct bw_call *call;

	snprintf(target, sizeof(target), "/v1/backend/%s", kind);
	request.address = entry->address;
	request.port = entry->port;
	request.source = instance->standin->options.address;
	request.method = "POST";
	request.target = target;
	request.headers = &type;
	request.header_count = 1;
	request.body_kind = BW_UPSTREAM_BODY_COMPLETE;
	request.body = text;
	request.body_bytes = text ? strlen(text) : 0;
	request.deadline_ms = REPORT_TIMEOUT_MS;
	if (report) {
		report->instance = instance;
		report->entry = *entry;
		report->announce = !strcmp(kind, "announce");
	}
	if (report && text &&
	    bw_upstream_start(instance->standin->upstream, &request, &handler,
			      &call) == BW_OK)
		instance->standin->reports_in_flight++;
	else
		free(report);
	free(text);
}

static void on_upstream_event_(void *context,
			       const struct bw_upstream_event *event)
{
	struct report *report = context;
	struct entry *entry;

	switch (event->kind) {
	case BW_UPSTREAM_HEAD:
		report->status_code = event->status_code;
		return;
	case BW_UPSTREAM_BODY:
		if (report->body.size_bytes + event->size_bytes <=
		    RESPONSE_LIMIT_BYTES)
			bw_buffer_append(&report->body, event->data,
					 event->size_bytes);
		return;
	case BW_UPSTREAM_COMPLETE:
	case BW_UPSTREAM_FAILED:
		break;
	default:
		return;
	}
	report->instance->standin->reports_in_flight--;
	entry = find_entry_(report->instance, report->entry.address,
			    report->entry.port);
	if (event->kind == BW_UPSTREAM_COMPLETE &&
	    report->status_code / 100 == 2) {
		if (entry && report->announce)
			entry->announced = true;
		add_listed_entries_(report);
	} else if (entry) {
		/* The entry host may have restarted with an empty table. */
		entry->announced = false;
	}
	bw_buffer_finish(&report->body);
	free(report);
}

/* Adds the entry hosts that the response lists. */
static void add_listed_entries_(struct report *report)
{
	json_t *root = json_loadb((const char *)report->body.data,
				  report->body.size_bytes, 0, NULL);
	json_t *item;
	const char *address;
	size_t i;

	json_array_foreach(json_object_get(root, "hosts"), i, item)
	{
		address = json_string_value(json_object_get(item, "address"));
		if (address)
			add_entry_(report->instance, address,
				   (uint16_t)json_integer_value(
					   json_object_get(item, "port")));
	}
	json_decref(root);
}
