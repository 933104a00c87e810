#include <string.h>

#include "gate_entry_private.h"

/** Time for which a table is built before other events are handled, in us. */
#define BUILD_SLICE_US 3000

/**
 * A build that is late gets as much time as other events took since its last
 * slice, up to a limit. Otherwise a slow host, on which an iteration of the
 * event loop is long, would stay behind for many seconds.
 */
#define BUILD_LATE_MS 300
#define BUILD_LATE_SLICE_US 100000

static void request_routing_(struct gate_entry *entry,
			     const struct bw_fetch_peer *peer, bool in_pieces,
			     struct bw_time now);
static void note_received_(struct gate_entry *entry, uint64_t bytes);
static void begin_build_(struct gate_entry *entry, struct bw_time now);
static void start_slice_(struct gate_entry *entry);
static uint64_t slice_us_(const struct gate_entry_build *build, uint64_t now_us,
			  struct bw_time now);
static void on_slice_(struct ev_loop *loop, ev_timer *timer, int events);
static void end_build_(struct gate_entry *entry, enum bw_status status,
		       const char *error);
static void activate_(struct gate_entry *entry, struct bw_routing *routing,
		      struct bw_time now);
static void log_routing_(const struct gate_entry *entry,
			 const struct bw_routing *routing, struct bw_time now);
static void apply_routing_(struct gate_entry *entry,
			   struct bw_routing *routing);
static void set_target_latency_(struct gate_entry *entry,
				const struct bw_route *route);

void gate_entry_fetch(struct gate_entry *entry, struct bw_time now)
{
	const struct gate_node *node = entry->node;
	struct bw_fetch_peer peers[GATE_CONTROLS_MAX];
	const struct bw_fetch_peer *peer;
	struct bw_feed_peer known;
	uint32_t i;

	for (i = 0; i < node->control_count; i++) {
		const struct gate_peer *control = &node->controls[i];

		gate_entry_feed_peer(entry, i, now, &known);
		peers[i].name = control->name;
		peers[i].distance = known.distance;
		peers[i].alive = known.alive;
		peers[i].feed = !strcmp(control->name, entry->feed.source);
		peers[i].version = control->announcement.current
					   ? control->announcement.version
					   : 0;
	}
	peer = bw_fetch_next(&entry->fetch, peers, node->control_count,
			     bw_distribute_number(&entry->distribute,
						  BW_DOCUMENT_SHEET),
			     now);
	if (!peer)
		return;
	entry->fetches_since++;
	bw_metric_add(entry->routing_fetches, 1);
	bw_log_event(node->log, BW_LOG_INFO, "configuration",
		     "routing_requested", "{s:s,s:I,s:b,s:i,s:i}", "peer",
		     peer->name, "version", (json_int_t)peer->version, "feed",
		     peer->feed, "unanswered", (int)entry->fetch.unanswered,
		     "timeout_ms", (int)entry->fetch.timeout_ms);
	for (i = 0; i < node->control_count; i++) {
		if (!strcmp(node->controls[i].name, peer->name))
			request_routing_(entry, peer,
					 node->controls[i].sends_pieces, now);
	}
}

static void request_routing_(struct gate_entry *entry,
			     const struct bw_fetch_peer *peer, bool in_pieces,
			     struct bw_time now)
{
	struct gate_routing request = { .version = peer->version };

	if (in_pieces) {
		bw_distribute_request(&entry->distribute, BW_DOCUMENT_SHEET,
				      peer->name, now, &entry->out);
		transport_flush(&entry->node->transport, &entry->out);
		return;
	}
	gate_routing_write(gate_node_frame(entry->node), GATE_ROUTING_REQUEST,
			   &request);
	gate_node_send(entry->node, peer->name);
}

void gate_entry_receive_pieces(struct gate_entry *entry,
			       const struct bw_packet *packet,
			       struct bw_time now)
{
	const struct bw_distribute_stats *stats = &entry->distribute.stats;
	uint64_t misfit_count = stats->difference_misfit_count;
	uint64_t received_bytes = stats->piece_received_bytes;

	bw_distribute_receive(&entry->distribute, packet, now, &entry->out);
	transport_flush(&entry->node->transport, &entry->out);
	if (stats->piece_received_bytes == received_bytes)
		return;
	gate_node_add_control(entry->node, packet->peer, true, now);
	gate_entry_note_feed_packet(entry, packet, now);
	note_received_(entry, stats->piece_received_bytes - received_bytes);
	bw_fetch_progressed(&entry->fetch, now);
	if (stats->difference_misfit_count != misfit_count)
		bw_log_event(entry->node->log, BW_LOG_WARNING, "configuration",
			     "difference_misfit", "{s:s}", "peer",
			     packet->peer);
	begin_build_(entry, now);
}

/* A control host of an earlier version sends the whole text. */
void gate_entry_receive_text(struct gate_entry *entry,
			     const struct gate_routing *message,
			     struct bw_time now)
{
	note_received_(entry, message->text_bytes);
	if (!message->version ||
	    message->version <= bw_distribute_number(&entry->distribute,
						     BW_DOCUMENT_SHEET)) {
		bw_fetch_received(&entry->fetch, false, now);
		return;
	}
	bw_distribute_publish(&entry->distribute, BW_DOCUMENT_SHEET,
			      message->version, message->text,
			      message->text_bytes, now);
	begin_build_(entry, now);
}

static void note_received_(struct gate_entry *entry, uint64_t bytes)
{
	entry->received_bytes_since += bytes;
	bw_metric_add(entry->routing_received_bytes, (int64_t)bytes);
}

/* Starts to build the table of a configuration that has arrived. */
static void begin_build_(struct gate_entry *entry, struct bw_time now)
{
	struct gate_entry_build *build = &entry->build;
	struct bw_distribute_event event;
	enum bw_status status;

	/* The table of an earlier version is completed first. Otherwise no
	 * version would come into force while changes come fast. */
	if (build->active ||
	    !bw_distribute_next_event(&entry->distribute, &event) ||
	    event.kind != BW_DISTRIBUTE_EVENT_DOCUMENT ||
	    event.document != BW_DOCUMENT_SHEET)
		return;
	bw_fetch_received(&entry->fetch, true, now);
	build->active = true;
	build->version = event.number;
	bw_name_set(build->source, event.peer);
	build->text_bytes = event.size_bytes;
	build->began = now;
	build->used_us = 0;
	build->slice_ended_us = bw_clock_us();
	status = platform_routing_begin(&build->reader, event.bytes,
					event.size_bytes, entry->routing);
	if (status != BW_OK) {
		end_build_(entry, status, bw_status_string[status]);
		return;
	}
	start_slice_(entry);
}

static void start_slice_(struct gate_entry *entry)
{
	ev_timer_init(&entry->build.timer, on_slice_, 0.0, 0.0);
	entry->build.timer.data = entry;
	ev_timer_start(entry->node->loop, &entry->build.timer);
}

static uint64_t slice_us_(const struct gate_entry_build *build, uint64_t now_us,
			  struct bw_time now)
{
	uint64_t others_us = now_us - build->slice_ended_us;

	if (bw_time_diff_ms(now, build->began) <= BUILD_LATE_MS)
		return BUILD_SLICE_US;
	return CLAMP(others_us, (uint64_t)BUILD_SLICE_US,
		     (uint64_t)BUILD_LATE_SLICE_US);
}

/* Builds for a short time, then lets other events of the loop be handled. */
static void on_slice_(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct gate_entry *entry = timer->data;
	struct gate_entry_build *build = &entry->build;
	uint64_t started_us = bw_clock_us();
	uint64_t slice_us =
		slice_us_(build, started_us, gate_node_now(entry->node));
	struct bw_routing *routing;
	char error[PLATFORM_ERROR_BYTES] = "";
	enum bw_status status;
	uint64_t used_us;

	(void)loop;
	(void)events;
	do {
		status = platform_routing_step(&build->reader, &routing, error);
		used_us = bw_clock_us() - started_us;
	} while (status == BW_EAGAIN && used_us < slice_us);
	build->used_us += used_us;
	build->slice_ended_us = started_us + used_us;
	if (status == BW_EAGAIN) {
		start_slice_(entry);
		return;
	}
	if (status == BW_OK)
		activate_(entry, routing, gate_node_now(entry->node));
	end_build_(entry, status, error);
}

/* Ends a build, and begins that of a version that has arrived meanwhile. */
static void end_build_(struct gate_entry *entry, enum bw_status status,
		       const char *error)
{
	struct gate_entry_build *build = &entry->build;
	struct bw_time now = gate_node_now(entry->node);

	if (status != BW_OK)
		bw_log_event(entry->node->log, BW_LOG_ERROR, "configuration",
			     "routing_unreadable", "{s:I,s:s,s:s}", "version",
			     (json_int_t)build->version, "source",
			     build->source, "cause", error);
	platform_routing_end(&build->reader);
	build->active = false;
	begin_build_(entry, now);
	gate_entry_fetch(entry, now);
}

static void activate_(struct gate_entry *entry, struct bw_routing *routing,
		      struct bw_time now)
{
	log_routing_(entry, routing, now);
	entry->routing_since = now;
	entry->fetches_since = 0;
	entry->received_bytes_since = 0;
	if (routing->version >= entry->newest_version) {
		entry->outdated_since.ms = 0;
		entry->retired.count = 0;
	}
	apply_routing_(entry, routing);
}

void gate_entry_finish_build(struct gate_entry *entry)
{
	if (!entry->build.active)
		return;
	ev_timer_stop(entry->node->loop, &entry->build.timer);
	platform_routing_end(&entry->build.reader);
}

static void log_routing_(const struct gate_entry *entry,
			 const struct bw_routing *routing, struct bw_time now)
{
	const struct bw_routing_limits *limits = &routing->limits;

	bw_log_event(
		entry->node->log, BW_LOG_INFO, "configuration",
		"routing_in_force",
		"{s:I,s:I,s:s,s:i,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:f}",
		"version", (json_int_t)routing->version, "previous",
		(json_int_t)(entry->routing ? entry->routing->version : 0),
		"source", entry->build.source, "routes",
		(int)routing->route_count, "newest_version",
		(json_int_t)entry->newest_version, "behind_ms",
		(json_int_t)gate_entry_behind_ms(entry, now), "head_max_bytes",
		(json_int_t)limits->head_max_bytes, "body_max_bytes",
		(json_int_t)limits->body_max_bytes, "head_timeout_ms",
		(json_int_t)limits->head_timeout_ms, "idle_timeout_ms",
		(json_int_t)limits->idle_timeout_ms, "text_bytes",
		(json_int_t)entry->build.text_bytes, "received_bytes",
		(json_int_t)entry->received_bytes_since, "fetches",
		(json_int_t)entry->fetches_since, "parse_ms",
		(double)entry->build.used_us / 1000.0);
}

static void apply_routing_(struct gate_entry *entry, struct bw_routing *routing)
{
	const struct bw_routing_limits *limits = &routing->limits;
	uint32_t i;

	bw_routing_unref(entry->routing);
	entry->routing = routing;
	entry->clients.config.limits.head_max_bytes = limits->head_max_bytes;
	entry->clients.config.limits.body_max_bytes = limits->body_max_bytes;
	entry->ready.config.limits = entry->clients.config.limits;
	bw_listener_set_timeouts(&entry->clients, limits->head_timeout_ms,
				 limits->idle_timeout_ms);
	for (i = 0; i < routing->service_count; i++) {
		struct bw_dispatch_service *service = bw_dispatch_service(
			&entry->dispatch, routing->services[i].name);

		service->cold_start_ms = routing->services[i].cold_start_ms;
		service->cold_requests_per_s =
			routing->services[i].cold_requests_per_s;
	}
	for (i = 0; i < routing->route_count; i++)
		set_target_latency_(entry, routing->routes[i]);
	bw_metric_set(entry->routing_version, (int64_t)routing->version);
	entry->update_due = true;
}

static void set_target_latency_(struct gate_entry *entry,
				const struct bw_route *route)
{
	uint32_t i;

	for (i = 0; i < route->choice_count; i++) {
		struct bw_dispatch_service *service = bw_dispatch_service(
			&entry->dispatch, route->choices[i].service);

		if (!service->target_latency_ms ||
		    route->target_latency_ms < service->target_latency_ms)
			service->target_latency_ms = route->target_latency_ms;
	}
}
