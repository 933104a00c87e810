#include "gate_wire.h"

#include <string.h>

#include <glib.h>

#define MESSAGE_VERSION 2

/** Number of values that encode one heartbeat, and one entry host. */
#define HEARTBEAT_VALUES 4
#define FLEET_HOST_VALUES 4

static void write_names_(struct bw_writer *writer,
			 const char (*names)[BW_NAME_MAX], uint32_t count);
static uint32_t read_names_(struct bw_reader *reader,
			    char (*names)[BW_NAME_MAX], uint32_t limit);
static uint32_t read_count_(struct bw_reader *reader, uint32_t limit);
static void write_demands_(struct bw_writer *writer,
			   const struct gate_demand *demands, uint32_t count);
static void write_loads_(struct bw_writer *writer,
			 const struct gate_load *loads, uint32_t count);
static uint32_t read_loads_(struct bw_reader *reader, struct gate_load *loads);
static void write_retired_(struct bw_writer *writer,
			   const struct bw_retired_routes *retired);
static void read_retired_(struct bw_reader *reader,
			  struct bw_retired_routes *retired);
static struct gate_load *find_load_(struct gate_load *loads, uint32_t count,
				    uint64_t id_hash);
static void write_leaves_(struct bw_writer *writer,
			  const struct gate_load *loads, uint32_t count);
static void read_leaves_(struct bw_reader *reader, struct gate_load *loads,
			 uint32_t count);
static void write_limits_(struct bw_writer *writer,
			  const struct gate_load *loads, uint32_t count);
static void read_limits_(struct bw_reader *reader, struct gate_load *loads,
			 uint32_t count);
static void write_speeds_(struct bw_writer *writer,
			  const struct gate_load *loads, uint32_t count);
static void read_speeds_(struct bw_reader *reader, struct gate_load *loads,
			 uint32_t count);
static uint32_t read_demands_(struct bw_reader *reader,
			      struct gate_demand *demands);

void gate_hello_write(struct bw_buffer *out, const struct gate_hello *hello)
{
	struct bw_writer writer;

	gate_message_begin(&writer, out, GATE_HELLO, 17);
	bw_write_bool(&writer, hello->control);
	bw_write_uint(&writer, hello->state);
	bw_write_uint(&writer, hello->detail);
	bw_write_str(&writer, hello->domain);
	bw_write_str(&writer, hello->region);
	bw_write_uint(&writer, hello->routing_version);
	write_demands_(&writer, hello->demands, hello->demand_count);
	write_loads_(&writer, hello->loads, hello->load_count);
	bw_write_uint(&writer, hello->sent_ms);
	write_limits_(&writer, hello->loads, hello->load_count);
	write_leaves_(&writer, hello->loads, hello->load_count);
	bw_write_uint(&writer, hello->control_count);
	bw_write_bool(&writer, hello->accepts_silence);
	bw_write_bool(&writer, hello->used.known);
	write_names_(&writer, hello->used.domains, hello->used.count);
	bw_write_uint(&writer, hello->departures);
	write_speeds_(&writer, hello->loads, hello->load_count);
}

void gate_status_write(struct bw_buffer *out, const struct gate_status *status)
{
	struct bw_writer writer;

	gate_message_begin(&writer, out, GATE_STATUS, 19);
	bw_write_str(&writer, status->domain);
	bw_write_bool(&writer, status->current);
	bw_write_uint(&writer, status->routing_version);
	bw_write_uint(&writer, status->evacuation_index);
	write_names_(&writer, status->evacuated, status->evacuated_count);
	write_names_(&writer, status->controls, status->control_count);
	bw_write_uint(&writer, status->entry_count);
	bw_write_uint(&writer, status->entry_index);
	bw_write_uint(&writer, status->domain_entry_count);
	write_demands_(&writer, status->demands, status->demand_count);
	bw_write_uint(&writer, status->hello_sent_ms);
	bw_write_bool(&writer, status->sends_pieces);
	bw_write_bool(&writer, status->names_retired);
	write_retired_(&writer, &status->retired);
	write_names_(&writer, status->control_domains, status->control_count);
	bw_write_bool(&writer, status->confirmed);
	bw_write_uint(&writer, status->confirmed_age_ms);
	bw_write_bool(&writer, status->tells_silence);
	bw_write_uint(&writer, status->departures);
}

void gate_servers_write(struct bw_buffer *out, enum gate_message_type type,
			const struct gate_servers *servers)
{
	struct bw_writer writer;
	uint32_t i;

	gate_message_begin(&writer, out, type, 4);
	bw_write_array(&writer, servers->record_count);
	for (i = 0; i < servers->record_count; i++)
		bw_server_record_write(&writer, &servers->records[i]);
	bw_write_array(&writer, HEARTBEAT_VALUES * servers->heartbeat_count);
	for (i = 0; i < servers->heartbeat_count; i++) {
		bw_write_uint(&writer, servers->heartbeats[i].id_hash);
		bw_write_uint(&writer,
			      (uint64_t)servers->heartbeats[i].started_wall_ms);
		bw_write_uint(&writer, servers->heartbeats[i].sequence);
		bw_write_uint(&writer, servers->heartbeats[i].state |
					       (servers->heartbeats[i].silent
							? GATE_HEARTBEAT_SILENT
							: 0));
	}
	bw_write_uint(&writer, servers->departures_after);
	bw_write_uint(&writer, servers->departures_upto);
}

void gate_loads_write(struct bw_buffer *out, const struct gate_loads *loads)
{
	struct bw_writer writer;

	gate_message_begin(&writer, out, GATE_LOADS, 4);
	write_loads_(&writer, loads->loads, loads->count);
	write_limits_(&writer, loads->loads, loads->count);
	write_leaves_(&writer, loads->loads, loads->count);
	write_speeds_(&writer, loads->loads, loads->count);
}

void gate_fleet_write(struct bw_buffer *out, const struct gate_fleet *fleet)
{
	struct bw_writer writer;
	uint32_t i;

	gate_message_begin(&writer, out, GATE_FLEET, 2);
	bw_write_array(&writer, FLEET_HOST_VALUES * fleet->host_count);
	for (i = 0; i < fleet->host_count; i++) {
		bw_write_str(&writer, fleet->hosts[i].name);
		bw_write_str(&writer, fleet->hosts[i].domain);
		bw_write_str(&writer, fleet->hosts[i].region);
		bw_write_uint(&writer, fleet->hosts[i].state);
	}
	write_demands_(&writer, fleet->demands, fleet->demand_count);
}

void gate_fleet_read(struct bw_reader *reader, struct gate_fleet *fleet)
{
	uint32_t i;

	fleet->host_count =
		read_count_(reader, FLEET_HOST_VALUES * GATE_FLEET_HOSTS_MAX) /
		FLEET_HOST_VALUES;
	for (i = 0; i < fleet->host_count; i++) {
		bw_read_name(reader, fleet->hosts[i].name);
		bw_read_name(reader, fleet->hosts[i].domain);
		bw_read_name(reader, fleet->hosts[i].region);
		fleet->hosts[i].state = (uint32_t)bw_read_uint(reader);
		if (!fleet->hosts[i].name[0] ||
		    fleet->hosts[i].state >= GATE_HOST_STATE_COUNT)
			reader->failed = true;
	}
	bw_read_end(reader);
	fleet->demand_count = read_demands_(reader, fleet->demands);
}

void gate_loads_read(struct bw_reader *reader, struct gate_loads *loads)
{
	loads->count = read_loads_(reader, loads->loads);
	read_limits_(reader, loads->loads, loads->count);
	read_leaves_(reader, loads->loads, loads->count);
	read_speeds_(reader, loads->loads, loads->count);
}

void gate_routing_write(struct bw_buffer *out, enum gate_message_type type,
			const struct gate_routing *routing)
{
	struct bw_writer writer;

	gate_message_begin(&writer, out, type, 2);
	bw_write_uint(&writer, routing->version);
	bw_write_bin(&writer, routing->text, routing->text_bytes);
}

int gate_message_type(struct bw_reader *reader)
{
	uint64_t type;

	bw_read_array(reader);
	if (bw_read_uint(reader) != MESSAGE_VERSION)
		return 0;
	type = bw_read_uint(reader);
	return type <= GATE_QUOTA_GRANT ? (int)type : 0;
}

void gate_heartbeat_set(struct gate_heartbeat *heartbeat,
			const struct bw_server *server)
{
	heartbeat->id_hash = server->id_hash;
	heartbeat->started_wall_ms = server->record.started_wall_ms;
	heartbeat->sequence = server->heard_sequence;
	heartbeat->state = server->record.state;
	heartbeat->silent = false;
}

void gate_hello_read(struct bw_reader *reader, struct gate_hello *hello)
{
	uint64_t detail;
	uint64_t state;

	memset(hello, 0, sizeof(*hello));
	hello->control = bw_read_bool(reader);
	state = bw_read_uint(reader);
	detail = bw_read_uint(reader);
	bw_read_name(reader, hello->domain);
	bw_read_name(reader, hello->region);
	hello->routing_version = bw_read_uint(reader);
	hello->demand_count = read_demands_(reader, hello->demands);
	hello->load_count = read_loads_(reader, hello->loads);
	/* Older hosts do not send it. */
	if (bw_read_more(reader))
		hello->sent_ms = bw_read_uint(reader);
	read_limits_(reader, hello->loads, hello->load_count);
	read_leaves_(reader, hello->loads, hello->load_count);
	if (bw_read_more(reader))
		hello->control_count = (uint32_t)bw_read_uint(reader);
	if (bw_read_more(reader))
		hello->accepts_silence = bw_read_bool(reader);
	if (bw_read_more(reader)) {
		hello->used.known = bw_read_bool(reader);
		hello->used.count = read_names_(reader, hello->used.domains,
						GATE_DOMAIN_LIST_MAX);
	}
	if (bw_read_more(reader))
		hello->departures = bw_read_uint(reader);
	read_speeds_(reader, hello->loads, hello->load_count);
	if (state >= GATE_HOST_STATE_COUNT || detail >= GATE_DETAIL_COUNT) {
		reader->failed = true;
		return;
	}
	hello->state = (enum gate_host_state)state;
	hello->detail = (enum gate_detail)detail;
}

void gate_status_read(struct bw_reader *reader, struct gate_status *status)
{
	memset(status, 0, sizeof(*status));
	bw_read_name(reader, status->domain);
	status->current = bw_read_bool(reader);
	status->routing_version = bw_read_uint(reader);
	status->evacuation_index = bw_read_uint(reader);
	status->evacuated_count =
		read_names_(reader, status->evacuated, BW_EVACUATIONS_MAX);
	status->control_count =
		read_names_(reader, status->controls, GATE_CONTROLS_MAX);
	status->entry_count = (uint32_t)bw_read_uint(reader);
	status->entry_index = (uint32_t)bw_read_uint(reader);
	status->domain_entry_count = (uint32_t)bw_read_uint(reader);
	status->demand_count = read_demands_(reader, status->demands);
	if (bw_read_more(reader))
		status->hello_sent_ms = bw_read_uint(reader);
	if (bw_read_more(reader))
		status->sends_pieces = bw_read_bool(reader);
	if (bw_read_more(reader))
		status->names_retired = bw_read_bool(reader);
	if (bw_read_more(reader))
		read_retired_(reader, &status->retired);
	if (bw_read_more(reader) &&
	    read_names_(reader, status->control_domains, GATE_CONTROLS_MAX) !=
		    status->control_count)
		reader->failed = true;
	if (bw_read_more(reader)) {
		status->confirms = true;
		status->confirmed = bw_read_bool(reader);
		status->confirmed_age_ms = (uint32_t)bw_read_uint(reader);
	}
	if (bw_read_more(reader))
		status->tells_silence = bw_read_bool(reader);
	if (bw_read_more(reader))
		status->departures = bw_read_uint(reader);
}

void gate_servers_read(struct bw_reader *reader, struct gate_servers *servers)
{
	uint32_t state;
	uint32_t i;

	servers->record_count = read_count_(reader, GATE_BATCH_MAX);
	for (i = 0; i < servers->record_count; i++)
		bw_server_record_read(reader, &servers->records[i]);
	bw_read_end(reader);
	servers->heartbeat_count =
		read_count_(reader, HEARTBEAT_VALUES * GATE_BATCH_MAX) /
		HEARTBEAT_VALUES;
	for (i = 0; i < servers->heartbeat_count; i++) {
		servers->heartbeats[i].id_hash = bw_read_uint(reader);
		servers->heartbeats[i].started_wall_ms =
			(int64_t)bw_read_uint(reader);
		servers->heartbeats[i].sequence = bw_read_uint(reader);
		state = (uint32_t)bw_read_uint(reader);
		servers->heartbeats[i].silent = state & GATE_HEARTBEAT_SILENT;
		state &= ~GATE_HEARTBEAT_SILENT;
		if (state >= BW_SERVER_STATE_COUNT)
			reader->failed = true;
		else
			servers->heartbeats[i].state =
				(enum bw_server_state)state;
	}
	bw_read_end(reader);
	servers->departures_after = servers->departures_upto = 0;
	if (!bw_read_more(reader))
		return;
	servers->departures_after = bw_read_uint(reader);
	servers->departures_upto = bw_read_uint(reader);
}

void gate_departures_request_write(
	struct bw_buffer *out, const struct gate_departures_request *request)
{
	struct bw_writer writer;

	gate_message_begin(&writer, out, GATE_DEPARTURES_REQUEST, 1);
	bw_write_uint(&writer, request->after);
}

void gate_departures_request_read(struct bw_reader *reader,
				  struct gate_departures_request *request)
{
	request->after = bw_read_uint(reader);
}

void gate_routing_read(struct bw_reader *reader, struct gate_routing *routing)
{
	routing->version = bw_read_uint(reader);
	routing->text = bw_read_bin(reader, &routing->text_bytes);
}

void gate_message_begin(struct bw_writer *writer, struct bw_buffer *out,
			enum gate_message_type type, uint32_t field_count)
{
	bw_writer_init(writer, out);
	bw_write_array(writer, 2 + field_count);
	bw_write_uint(writer, MESSAGE_VERSION);
	bw_write_uint(writer, type);
}

static void write_names_(struct bw_writer *writer,
			 const char (*names)[BW_NAME_MAX], uint32_t count)
{
	uint32_t i;

	bw_write_array(writer, count);
	for (i = 0; i < count; i++)
		bw_write_str(writer, names[i]);
}

static uint32_t read_names_(struct bw_reader *reader,
			    char (*names)[BW_NAME_MAX], uint32_t limit)
{
	uint32_t count = read_count_(reader, limit);
	uint32_t i;

	for (i = 0; i < count; i++)
		bw_read_name(reader, names[i]);
	bw_read_end(reader);
	return count;
}

static uint32_t read_count_(struct bw_reader *reader, uint32_t limit)
{
	uint32_t count = bw_read_array(reader);

	if (count <= limit)
		return count;
	reader->failed = true;
	return 0;
}

static void write_demands_(struct bw_writer *writer,
			   const struct gate_demand *demands, uint32_t count)
{
	uint32_t i;

	bw_write_array(writer, 3 * count);
	for (i = 0; i < count; i++) {
		bw_write_str(writer, demands[i].domain);
		bw_write_uint(writer, demands[i].service_hash);
		bw_write_uint(writer, demands[i].millirequests_per_s);
	}
}

static uint32_t read_demands_(struct bw_reader *reader,
			      struct gate_demand *demands)
{
	uint32_t count = read_count_(reader, 3 * GATE_DEMANDS_MAX) / 3;
	uint32_t i;

	for (i = 0; i < count; i++) {
		bw_read_name(reader, demands[i].domain);
		demands[i].service_hash = bw_read_uint(reader);
		demands[i].millirequests_per_s = (uint32_t)bw_read_uint(reader);
	}
	bw_read_end(reader);
	return reader->failed ? 0 : count;
}

static void write_loads_(struct bw_writer *writer,
			 const struct gate_load *loads, uint32_t count)
{
	uint32_t i;

	bw_write_array(writer, 2 * count);
	for (i = 0; i < count; i++) {
		bw_write_uint(writer, loads[i].id_hash);
		bw_write_uint(writer, loads[i].outstanding);
	}
}

/* Few servers have a limit. */
static void write_limits_(struct bw_writer *writer,
			  const struct gate_load *loads, uint32_t count)
{
	uint32_t limited = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		limited += loads[i].limit_millirequests_per_s > 0;
	bw_write_array(writer, 2 * limited);
	for (i = 0; i < count; i++) {
		if (!loads[i].limit_millirequests_per_s)
			continue;
		bw_write_uint(writer, loads[i].id_hash);
		bw_write_uint(writer, loads[i].limit_millirequests_per_s);
	}
}

/* Hosts of earlier versions send no limits. */
static void read_limits_(struct bw_reader *reader, struct gate_load *loads,
			 uint32_t count)
{
	struct gate_load *load;
	uint64_t limit;

	if (!bw_read_more(reader))
		return;
	bw_read_array(reader);
	while (bw_read_more(reader)) {
		load = find_load_(loads, count, bw_read_uint(reader));
		limit = bw_read_uint(reader);
		if (load && !reader->failed)
			load->limit_millirequests_per_s =
				(uint32_t)MIN(limit, UINT32_MAX);
	}
	bw_read_end(reader);
}

static struct gate_load *find_load_(struct gate_load *loads, uint32_t count,
				    uint64_t id_hash)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (loads[i].id_hash == id_hash)
			return &loads[i];
	}
	return NULL;
}

/* Few servers leave. */
static void write_leaves_(struct bw_writer *writer,
			  const struct gate_load *loads, uint32_t count)
{
	uint32_t leaving = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		leaving += loads[i].leaving;
	bw_write_array(writer, 2 * leaving);
	for (i = 0; i < count; i++) {
		if (!loads[i].leaving)
			continue;
		bw_write_uint(writer, loads[i].id_hash);
		bw_write_int(writer, loads[i].started_wall_ms);
	}
}

/* Hosts of earlier versions send no leaves. */
static void read_leaves_(struct bw_reader *reader, struct gate_load *loads,
			 uint32_t count)
{
	struct gate_load *load;
	int64_t started_wall_ms;

	if (!bw_read_more(reader))
		return;
	bw_read_array(reader);
	while (bw_read_more(reader)) {
		load = find_load_(loads, count, bw_read_uint(reader));
		started_wall_ms = bw_read_int(reader);
		if (!load || reader->failed)
			continue;
		load->leaving = true;
		load->started_wall_ms = started_wall_ms;
	}
	bw_read_end(reader);
}

/* Few servers are slower or faster than usual; each is named by its position.
 */
static void write_speeds_(struct bw_writer *writer,
			  const struct gate_load *loads, uint32_t count)
{
	uint32_t unusual = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		unusual += loads[i].time_percent > 0;
	bw_write_array(writer, 2 * unusual);
	for (i = 0; i < count; i++) {
		if (!loads[i].time_percent)
			continue;
		bw_write_uint(writer, i);
		bw_write_uint(writer, loads[i].time_percent);
	}
}

/* Hosts of earlier versions send no speeds. */
static void read_speeds_(struct bw_reader *reader, struct gate_load *loads,
			 uint32_t count)
{
	uint64_t position;
	uint64_t time_percent;

	if (!bw_read_more(reader))
		return;
	bw_read_array(reader);
	while (bw_read_more(reader)) {
		position = bw_read_uint(reader);
		time_percent = bw_read_uint(reader);
		if (position < count && !reader->failed)
			loads[position].time_percent =
				(uint32_t)MIN(time_percent, UINT32_MAX);
	}
	bw_read_end(reader);
}

static uint32_t read_loads_(struct bw_reader *reader, struct gate_load *loads)
{
	uint32_t count = read_count_(reader, 2 * GATE_LOADS_MAX) / 2;
	uint32_t i;

	for (i = 0; i < count; i++) {
		loads[i].id_hash = bw_read_uint(reader);
		loads[i].outstanding = (uint32_t)bw_read_uint(reader);
		loads[i].limit_millirequests_per_s = 0;
		loads[i].time_percent = 0;
		loads[i].leaving = false;
		loads[i].started_wall_ms = 0;
	}
	bw_read_end(reader);
	return reader->failed ? 0 : count;
}

static void write_retired_(struct bw_writer *writer,
			   const struct bw_retired_routes *retired)
{
	uint32_t i;

	bw_write_array(writer, retired->count);
	for (i = 0; i < retired->count; i++)
		bw_write_bin(writer, retired->routes[i].digest,
			     BW_ROUTE_DIGEST_BYTES);
}

static void read_retired_(struct bw_reader *reader,
			  struct bw_retired_routes *retired)
{
	const uint8_t *digest;
	size_t size_bytes;
	uint32_t i;

	retired->count = read_count_(reader, BW_RETIRED_ROUTES_MAX);
	for (i = 0; i < retired->count; i++) {
		digest = bw_read_bin(reader, &size_bytes);
		if (!digest || size_bytes != BW_ROUTE_DIGEST_BYTES) {
			reader->failed = true;
			retired->count = 0;
			break;
		}
		memcpy(retired->routes[i].digest, digest, size_bytes);
	}
	bw_read_end(reader);
}
