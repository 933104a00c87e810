#include "host.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "calls.h"
#include "control.h"
#include "lifecycle.h"
#include "web.h"

#define TICK_INTERVAL_S 0.05
#define OUTBOX_PACKETS_MAX 8192
#define CHART_PATH_BYTES 512
#define ADDRESS_BYTES 64

#define HEADER_LIMIT_BYTES (16 * 1024)
#define IDLE_TIMEOUT_S 60
#define RECEIVE_TIMEOUT_MS 60000
#define RING_BYTES (256 * 1024)
#define OPERATOR_CONNECTIONS_MAX 64
#define UPSTREAM_CONNECTIONS_PER_SERVER_MAX 360
#define UPSTREAM_CONNECTIONS_MAX 8192
#define UPSTREAM_IDLE_TIMEOUT_S 30
#define CONNECT_TIMEOUT_MS 1000
#define PEM_LIMIT_BYTES (256 * 1024)

static json_t *dump_transport_(const struct transport_counts *counts);
static enum bw_status init_transport_(struct host *host,
				      struct bw_yaml_error *error);
static enum bw_status init_member_(struct host *host,
				   struct bw_yaml_error *error);
static enum bw_status init_distribution_(struct host *host);
static enum bw_status init_control_(struct host *host,
				    struct bw_yaml_error *error);
static enum bw_status init_http_(struct host *host,
				 struct bw_yaml_error *error);
static enum bw_status read_pem_(const char *path, struct bw_buffer *out,
				struct bw_yaml_error *error);
static void init_watchers_(struct host *host);
static void on_packet_(void *context, const struct bw_packet *packet);
static void on_tick_(struct ev_loop *loop, ev_timer *watcher, int events);
static void on_prepare_(struct ev_loop *loop, ev_prepare *watcher, int events);
static void on_signal_(struct ev_loop *loop, ev_signal *watcher, int events);
static void on_frontend_idle_(void *context);
static void handle_member_events_(struct host *host);
static void apply_documents_(struct host *host);
static void update_control_addresses_(struct host *host);
static void log_state_dump_(struct host *host);

enum bw_status host_init(struct host *host, const struct settings *settings,
			 struct ev_loop *loop, struct bw_log *log,
			 struct bw_yaml_error *error)
{
	enum bw_status status;

	memset(host, 0, sizeof(*host));
	memset(error, 0, sizeof(*error));
	host->settings = settings;
	host->loop = loop;
	host->log = log;
	bw_clock_init_monotonic(&host->clock);
	bw_random_init_system(&host->random);
	bw_metrics_init(&host->metrics);
	bw_outbox_init(&host->out, OUTBOX_PACKETS_MAX);
	host->incarnation = bw_random_next(&host->random) >> 1 | 1;
	host->lookup_sequence = bw_random_next(&host->random);
	host->start = host_now(host);
	host->start_wall_ms = bw_wall_ms();
	host->state_since = host->start;
	command_client_init(&host->commands, host);
	status = lifecycle_init(host, error);
	if (status == BW_OK)
		status = init_transport_(host, error);
	if (status == BW_OK)
		status = init_member_(host, error);
	if (status == BW_OK)
		status = init_distribution_(host);
	if (status == BW_OK)
		status = steering_init(&host->steering, host, error);
	if (status == BW_OK)
		status = init_control_(host, error);
	if (status == BW_OK)
		status = init_http_(host, error);
	if (status == BW_OK)
		status = calls_new(&host->calls, host, error);
	if (status != BW_OK)
		return status;
	init_watchers_(host);
	bw_log_event(log, BW_LOG_INFO, "host", "started",
		     "{s:s, s:s, s:b, s:I}", "region", settings->host.region,
		     "failure_domain", settings->host.failure_domain, "control",
		     (int)settings->host.control, "incarnation",
		     (json_int_t)host->incarnation);
	return BW_OK;
}

void host_finish(struct host *host)
{
	size_t i;

	ev_timer_stop(host->loop, &host->tick_timer);
	ev_prepare_stop(host->loop, &host->prepare_watcher);
	for (i = 0; i < sizeof(host->signals) / sizeof(host->signals[0]); i++)
		ev_signal_stop(host->loop, &host->signals[i]);
	command_client_finish(&host->commands);
	bw_frontend_free(host->frontend);
	bw_upstream_free(host->upstream);
	calls_free(host->calls);
	if (host->control) {
		control_finish(host->control);
		free(host->control);
	}
	steering_finish(&host->steering);
	directory_finish(&host->directory);
	bw_distribute_finish(&host->distribute);
	bw_aggregator_finish(&host->aggregator);
	bw_member_finish(&host->member);
	transport_finish(&host->transport);
	bw_outbox_finish(&host->out);
	bw_metrics_finish(&host->metrics);
}

struct bw_time host_now(const struct host *host)
{
	return bw_clock_now(&host->clock);
}

int64_t host_wall_ms(const struct host *host)
{
	return host->start_wall_ms +
	       bw_time_diff_ms(host_now(host), host->start);
}

void host_leave(struct host *host)
{
	lifecycle_fire(host, HOST_EVENT_LEAVE);
}

bool host_is_leaving(const struct host *host)
{
	return host->state != HOST_RUNNING;
}

void host_dump(const struct host *host, json_t *into)
{
	json_t *member = json_object();
	json_t *aggregator = json_object();
	json_t *distribute = json_object();
	json_t *steering = json_object();
	json_t *calls = json_object();
	json_t *control;

	bw_member_dump(&host->member, member);
	bw_aggregator_dump(&host->aggregator, aggregator);
	bw_distribute_dump(&host->distribute, distribute);
	steering_dump(&host->steering, steering);
	calls_dump(host->calls, calls);
	json_object_set_new(into, "state",
			    json_string(host_state_string[host->state]));
	json_object_set_new(into, "member", member);
	json_object_set_new(into, "aggregator", aggregator);
	json_object_set_new(into, "distribute", distribute);
	json_object_set_new(into, "steering", steering);
	json_object_set_new(into, "calls", calls);
	json_object_set_new(into, "transport",
			    dump_transport_(&host->transport.counts));
	if (!host->control)
		return;
	control = json_object();
	control_dump(host->control, control);
	json_object_set_new(into, "control", control);
}

static json_t *dump_transport_(const struct transport_counts *counts)
{
	json_t *dump = json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "sent_packets",
		(json_int_t)counts->sent_packets, "sent_bytes",
		(json_int_t)counts->sent_bytes, "received_packets",
		(json_int_t)counts->received_packets, "received_bytes",
		(json_int_t)counts->received_bytes, "dropped_packets",
		(json_int_t)counts->dropped_packets, "malformed_packets",
		(json_int_t)counts->malformed_packets, "rejected_peers",
		(json_int_t)counts->rejected_peers);
	json_t *channels = json_object();
	uint32_t i;

	for (i = 1; i < BW_CHANNEL_COUNT; i++)
		json_object_set_new(
			channels, bw_channel_string[i],
			json_pack("{s:I, s:I}", "sent_packets",
				  (json_int_t)counts->channel_sent_packets[i],
				  "sent_bytes",
				  (json_int_t)counts->channel_sent_bytes[i]));
	json_object_set_new(dump, "channels", channels);
	return dump;
}

static enum bw_status init_transport_(struct host *host,
				      struct bw_yaml_error *error)
{
	const struct settings_endpoint *fleet = &host->settings->fleet;
	char listen[ADDRESS_BYTES];
	char advertise[ADDRESS_BYTES];
	struct transport_config config = {
		.loop = host->loop,
		.self = host->settings->host.name,
		.incarnation = host->incarnation,
		.listen_address = listen,
		.advertise_address = advertise,
		.source_address = fleet->address,
		.fleet_key = host->settings->fleet_key,
		.receive = on_packet_,
		.context = host,
	};
	char seed_address[ADDRESS_BYTES];
	const struct settings_seed *seed;
	enum bw_status status;
	uint32_t i;

	snprintf(listen, sizeof(listen), "%s:%u", fleet->address, fleet->port);
	snprintf(advertise, sizeof(advertise), "%s:%u",
		 fleet->advertise ? fleet->advertise : fleet->address,
		 (unsigned)(fleet->advertise_port ? fleet->advertise_port
						  : fleet->port));
	status = transport_init(&host->transport, &config);
	if (status != BW_OK) {
		snprintf(error->text, sizeof(error->text),
			 "cannot start transport on %s: %s", listen,
			 strerror(errno));
		return status;
	}
	for (i = 0; i < host->settings->seeds_count; i++) {
		seed = &host->settings->seeds[i];
		snprintf(seed_address, sizeof(seed_address), "%s:%u",
			 seed->address, seed->port);
		transport_set_address(&host->transport, seed->name,
				      seed_address);
	}
	return BW_OK;
}

static enum bw_status init_member_(struct host *host,
				   struct bw_yaml_error *error)
{
	const struct settings *settings = host->settings;
	const struct settings_endpoint *entry = &settings->entry;
	char chart_path[CHART_PATH_BYTES];
	struct bw_member_config config = { .chart_path = chart_path };
	struct bw_member_host *self = &config.self;
	struct bw_member_seed *seeds =
		calloc(settings->seeds_count, sizeof(*seeds));
	enum bw_status status;
	uint32_t i;

	if (!seeds)
		return BW_ENOMEM;
	snprintf(chart_path, sizeof(chart_path), "%s/member.yaml",
		 settings->charts_folder);
	bw_name_set(self->name, settings->host.name);
	bw_name_set(self->domain, settings->host.failure_domain);
	bw_name_set(self->region, settings->host.region);
	snprintf(self->address, sizeof(self->address), "%s",
		 host->transport.advertised);
	snprintf(self->entry_address, sizeof(self->entry_address), "%s",
		 entry->advertise ? entry->advertise : entry->address);
	self->entry_port = entry->advertise_port ? entry->advertise_port
						 : entry->port;
	self->operator_port = settings->operators.port;
	self->is_control = settings->host.control;
	self->start_wall_ms = host->start_wall_ms;
	self->incarnation = host->incarnation;
	for (i = 0; i < settings->seeds_count; i++) {
		bw_name_set(seeds[i].name, settings->seeds[i].name);
		bw_name_set(seeds[i].domain, settings->seeds[i].failure_domain);
		snprintf(seeds[i].address, sizeof(seeds[i].address), "%s:%u",
			 settings->seeds[i].address, settings->seeds[i].port);
		seeds[i].is_control = settings->seeds[i].control;
	}
	config.seeds = seeds;
	config.seed_count = settings->seeds_count;
	status = bw_member_init(&host->member, &config, host_now(host));
	if (status != BW_OK)
		snprintf(error->text, sizeof(error->text),
			 "cannot start membership: %s",
			 bw_status_string[status]);
	free(seeds);
	return status;
}

static enum bw_status init_distribution_(struct host *host)
{
	struct bw_aggregator_config aggregator_config = {
		.member = &host->member,
		.wall_ms = host->start_wall_ms,
	};
	struct bw_distribute_config distribute_config = {
		.member = &host->member,
		.aggregator = &host->aggregator,
	};
	enum bw_status status;

	status = bw_aggregator_init(&host->aggregator, &aggregator_config,
				    host_now(host));
	if (status == BW_OK)
		status = bw_distribute_init(&host->distribute,
					    &distribute_config, host_now(host));
	if (status == BW_OK)
		status = directory_init(&host->directory, host);
	return status;
}

static enum bw_status init_control_(struct host *host,
				    struct bw_yaml_error *error)
{
	if (!host->settings->host.control)
		return BW_OK;
	host->control = calloc(1, sizeof(*host->control));
	if (!host->control)
		return BW_ENOMEM;
	return control_init(host->control, host, error);
}

static enum bw_status init_http_(struct host *host, struct bw_yaml_error *error)
{
	const struct settings *settings = host->settings;
	struct bw_frontend_listener listeners[HOST_LISTENER_COUNT] = {
		[HOST_LISTENER_ENTRY] = {
			.address = settings->entry.address,
			.port = settings->entry.port,
			.connection_limit = settings->limits.connections,
			.idle_timeout_s = IDLE_TIMEOUT_S,
			.receive_timeout_ms = RECEIVE_TIMEOUT_MS,
			.header_limit_bytes = HEADER_LIMIT_BYTES,
			.body_limit_bytes =
				(uint64_t)settings->limits.body_kb * 1024,
		},
		[HOST_LISTENER_OPERATORS] = {
			.address = settings->operators.address,
			.port = settings->operators.port,
			.connection_limit = OPERATOR_CONNECTIONS_MAX,
			.idle_timeout_s = IDLE_TIMEOUT_S,
			.receive_timeout_ms = RECEIVE_TIMEOUT_MS,
			.header_limit_bytes = HEADER_LIMIT_BYTES,
			.body_limit_bytes = BW_SHEET_COMMAND_MAX_BYTES,
		},
	};
	struct bw_frontend_config frontend_config = {
		.listeners = listeners,
		.listener_count = HOST_LISTENER_COUNT,
		.ring_bytes = RING_BYTES,
		.handler = { host, web_event, on_frontend_idle_ },
	};
	struct bw_upstream_config upstream_config = {
		.connections_per_server = UPSTREAM_CONNECTIONS_PER_SERVER_MAX,
		.connections_total = UPSTREAM_CONNECTIONS_MAX,
		.idle_timeout_s = UPSTREAM_IDLE_TIMEOUT_S,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.header_limit_bytes = HEADER_LIMIT_BYTES,
		.ring_bytes = RING_BYTES,
	};
	struct bw_buffer certificate;
	struct bw_buffer key;
	enum bw_status status = BW_OK;

	bw_buffer_init(&certificate);
	bw_buffer_init(&key);
	if (settings->tls) {
		status = read_pem_(settings->tls->certificate_file,
				   &certificate, error);
		if (status == BW_OK)
			status =
				read_pem_(settings->tls->key_file, &key, error);
		listeners[HOST_LISTENER_ENTRY].certificate_pem =
			(const char *)certificate.data;
		listeners[HOST_LISTENER_ENTRY].key_pem = (const char *)key.data;
	}
	if (status == BW_OK) {
		status = bw_frontend_new(&host->frontend, host->loop,
					 &frontend_config);
		if (status != BW_OK)
			snprintf(error->text, sizeof(error->text),
				 "cannot open listeners %s:%u and %s:%u "
				 "(port in use or invalid certificate)",
				 settings->entry.address, settings->entry.port,
				 settings->operators.address,
				 settings->operators.port);
	}
	if (status == BW_OK)
		status = bw_upstream_new(&host->upstream, host->loop,
					 &upstream_config);
	bw_buffer_finish(&certificate);
	bw_buffer_finish(&key);
	return status;
}

static enum bw_status read_pem_(const char *path, struct bw_buffer *out,
				struct bw_yaml_error *error)
{
	enum bw_status status = bw_file_read(path, PEM_LIMIT_BYTES, out, error);

	if (status == BW_OK)
		status = bw_buffer_append(out, "", 1);
	return status;
}

static void init_watchers_(struct host *host)
{
	static const int signal_numbers[] = { SIGTERM, SIGINT, SIGUSR1 };
	size_t i;

	signal(SIGPIPE, SIG_IGN);
	ev_timer_init(&host->tick_timer, on_tick_, TICK_INTERVAL_S,
		      TICK_INTERVAL_S);
	host->tick_timer.data = host;
	ev_timer_start(host->loop, &host->tick_timer);
	ev_prepare_init(&host->prepare_watcher, on_prepare_);
	host->prepare_watcher.data = host;
	ev_prepare_start(host->loop, &host->prepare_watcher);
	for (i = 0; i < sizeof(signal_numbers) / sizeof(signal_numbers[0]);
	     i++) {
		ev_signal_init(&host->signals[i], on_signal_,
			       signal_numbers[i]);
		host->signals[i].data = host;
		ev_signal_start(host->loop, &host->signals[i]);
	}
}

static void on_packet_(void *context, const struct bw_packet *packet)
{
	struct host *host = context;
	struct bw_time now = host_now(host);

	switch (packet->channel) {
	case BW_CHANNEL_REPLICA:
		if (host->control)
			control_receive(host->control, packet, now);
		break;
	case BW_CHANNEL_MEMBER:
		bw_member_receive(&host->member, packet, now, &host->out);
		break;
	case BW_CHANNEL_DISTRIBUTE:
		bw_distribute_receive(&host->distribute, packet, now,
				      &host->out);
		break;
	case BW_CHANNEL_SUMMARY:
		bw_aggregator_receive(&host->aggregator, packet, now,
				      &host->out);
		break;
	case BW_CHANNEL_OPERATOR:
		command_receive(&host->commands, packet, now);
		break;
	default:
		steering_receive(&host->steering, packet, now);
		break;
	}
}

static void on_tick_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct host *host = watcher->data;
	struct bw_time now = host_now(host);

	(void)loop;
	(void)events;
	bw_member_set_document_numbers(
		&host->member,
		bw_distribute_number(&host->distribute, BW_DOCUMENT_SHEET),
		bw_distribute_number(&host->distribute, BW_DOCUMENT_PLAN), now);
	bw_member_tick(&host->member, now, &host->out);
	bw_aggregator_tick(&host->aggregator, now, &host->out);
	if (host->control)
		control_tick(host->control, now);
	bw_distribute_tick(&host->distribute, now, &host->out);
	directory_tick(&host->directory, now);
	steering_tick(&host->steering, now);
	command_tick(&host->commands, now);
	calls_tick(host->calls, now);
	update_control_addresses_(host);
	lifecycle_tick(host, now);
}

/* Runs before the event loop blocks: handles events, sends queued packets. */
static void on_prepare_(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	struct host *host = watcher->data;
	struct bw_time now = host_now(host);

	(void)loop;
	(void)events;
	if (host->control)
		control_flush(host->control, now);
	handle_member_events_(host);
	apply_documents_(host);
	calls_process_events(host->calls, now);
	transport_flush(&host->transport, &host->out);
}

static void on_signal_(struct ev_loop *loop, ev_signal *watcher, int events)
{
	struct host *host = watcher->data;

	(void)loop;
	(void)events;
	if (watcher->signum == SIGUSR1)
		log_state_dump_(host);
	else
		host_leave(host);
}

static void on_frontend_idle_(void *context)
{
	struct host *host = context;

	if (host->state == HOST_STOPPING)
		lifecycle_fire(host, HOST_EVENT_IDLE);
}

static void handle_member_events_(struct host *host)
{
	struct bw_member_event event;

	while (bw_member_next_event(&host->member, &event)) {
		if (bw_member_state_is_up(event.record.state))
			transport_set_address(&host->transport,
					      event.record.host.name,
					      event.record.host.address);
		if (event.kind == BW_MEMBER_EVENT_CHANGED)
			continue;
		bw_log_event(host->log, BW_LOG_INFO, "member",
			     bw_member_event_string[event.kind], "{s:s, s:s}",
			     "peer", event.record.host.name, "state",
			     bw_member_state_string[event.record.state]);
	}
}

static void apply_documents_(struct host *host)
{
	struct bw_distribute_event event;

	while (bw_distribute_next_event(&host->distribute, &event)) {
		if (event.kind == BW_DISTRIBUTE_EVENT_CONFLICT)
			bw_log_event(host->log, BW_LOG_ERROR, "distribute",
				     "conflict", "{s:s, s:I, s:s}", "document",
				     bw_document_string[event.document],
				     "number", (json_int_t)event.number, "peer",
				     event.peer);
		else if (event.document == BW_DOCUMENT_SHEET)
			steering_set_sheet(&host->steering, event.bytes,
					   event.size_bytes);
		else
			steering_set_plan(&host->steering, event.bytes,
					  event.size_bytes);
	}
}

static void update_control_addresses_(struct host *host)
{
	const struct bw_summary_control *control;
	uint32_t i;

	for (i = 0; i < bw_aggregator_control_count(&host->aggregator); i++) {
		control = bw_aggregator_control_at(&host->aggregator, i);
		if (control->address[0])
			transport_set_address(&host->transport, control->name,
					      control->address);
	}
}

static void log_state_dump_(struct host *host)
{
	json_t *dump = json_object();

	host_dump(host, dump);
	bw_log_event(host->log, BW_LOG_INFO, "host", "dump", "{s:o}", "state",
		     dump);
}
