#include "bwsteer/backend.h"

#include <assert.h>
#include <string.h>

#include "bwbase/codec.h"
#include "private/backend.h"

#define PACKET_VERSION 1
#define PACKET_TYPE_ENTRIES 1
#define ENTRY_FIELDS 14

/** A server as sent between hosts. */
struct entry {
	struct bw_backend_announcement announced;
	uint64_t sequence;
	bool drain_requested;
	bool left;
	uint32_t in_flight;
	uint32_t queue;
	struct bw_time reported_at;
};

static bool is_replicated_(const struct bw_backend_table *table,
			   const struct bw_backend_server *server,
			   struct bw_time now);
static void write_entry_(struct bw_writer *writer,
			 const struct bw_backend_server *server,
			 struct bw_time now);
static bool read_entry_(struct bw_reader *reader, struct bw_time now,
			struct entry *entry);
static enum bw_status merge_entry_(struct bw_backend_table *table,
				   const struct entry *entry,
				   struct bw_time now);
static void add_to_summary_(const struct bw_backend_table *table,
			    const struct bw_backend_server *server,
			    struct bw_time now,
			    struct bw_backend_summary *summary);
static json_t *dump_server_(const struct bw_backend_table *table,
			    const struct bw_backend_server *server,
			    struct bw_time now);

enum bw_status bw_backend_summarise(const struct bw_backend_table *table,
				    const char *service, struct bw_time now,
				    struct bw_backend_summary *summary)
{
	const struct bw_backend_service *found =
		bw_backend_lookup_service(table, service);
	uint32_t i;

	memset(summary, 0, sizeof(*summary));
	if (!found)
		return BW_ENOTFOUND;
	for (i = 0; i < found->count; i++)
		add_to_summary_(table, &table->servers[found->servers[i]], now,
				summary);
	return BW_OK;
}

enum bw_status bw_backend_encode(const struct bw_backend_table *table,
				 struct bw_time now, uint32_t *cursor,
				 uint32_t entries_max, struct bw_buffer *out)
{
	struct bw_writer writer;
	uint32_t first = *cursor;
	uint32_t end = first;
	uint32_t count = 0;
	uint32_t i;

	assert(entries_max > 0);
	for (; end < table->servers_end && count < entries_max; end++)
		count += is_replicated_(table, &table->servers[end], now);
	bw_writer_init(&writer, out);
	bw_write_array(&writer, 3);
	bw_write_uint(&writer, PACKET_VERSION);
	bw_write_uint(&writer, PACKET_TYPE_ENTRIES);
	bw_write_array(&writer, count);
	for (i = first; i < end; i++) {
		if (is_replicated_(table, &table->servers[i], now))
			write_entry_(&writer, &table->servers[i], now);
	}
	*cursor = end < table->servers_end ? end : 0;
	return writer.status;
}

enum bw_status bw_backend_decode(struct bw_backend_table *table,
				 const void *data, size_t size_bytes,
				 struct bw_time now)
{
	struct bw_reader reader;
	struct entry entry;
	enum bw_status status = bw_reader_init(&reader, data, size_bytes);
	enum bw_status merge_status = BW_OK;

	if (status != BW_OK)
		goto out;
	bw_read_array(&reader);
	if (bw_read_uint(&reader) != PACKET_VERSION ||
	    bw_read_uint(&reader) != PACKET_TYPE_ENTRIES) {
		status = BW_EVERSION;
		goto out;
	}
	bw_read_array(&reader);
	while (bw_read_more(&reader)) {
		if (!read_entry_(&reader, now, &entry))
			break;
		status = merge_entry_(table, &entry, now);
		if (status != BW_OK)
			merge_status = status;
	}
	status = bw_reader_status(&reader);
	if (status == BW_OK)
		status = merge_status;
out:
	if (status == BW_EINVAL || status == BW_EVERSION)
		table->malformed_count++;
	bw_reader_finish(&reader);
	return status;
}

enum bw_status bw_backend_dump(const struct bw_backend_table *table,
			       struct bw_time now, json_t *into)
{
	json_t *list = json_array();
	uint32_t i;

	if (!list)
		return BW_ENOMEM;
	for (i = 0; i < table->servers_end; i++) {
		if (!table->servers[i].used)
			continue;
		if (json_array_append_new(list, dump_server_(table,
							     &table->servers[i],
							     now))) {
			json_decref(list);
			return BW_ENOMEM;
		}
	}
	if (json_object_set_new(into, "reports_broken",
				json_boolean(table->reports_broken)) ||
	    json_object_set_new(
		    into, "malformed",
		    json_integer((json_int_t)table->malformed_count))) {
		json_decref(list);
		return BW_ENOMEM;
	}
	return json_object_set_new(into, "servers", list) ? BW_ENOMEM : BW_OK;
}

static bool is_replicated_(const struct bw_backend_table *table,
			   const struct bw_backend_server *server,
			   struct bw_time now)
{
	return server->used && bw_time_diff_ms(now, server->reported_at) <
				       table->config.removal_timeout_ms / 2;
}

static void write_entry_(struct bw_writer *writer,
			 const struct bw_backend_server *server,
			 struct bw_time now)
{
	const struct bw_backend_announcement *announced = &server->announced;

	bw_write_array(writer, ENTRY_FIELDS);
	bw_write_str(writer, announced->id);
	bw_write_uint(writer, announced->incarnation);
	bw_write_uint(writer, server->sequence);
	bw_write_str(writer, announced->service);
	bw_write_str(writer, announced->failure_domain);
	bw_write_str(writer, announced->address);
	bw_write_uint(writer, announced->port);
	bw_write_uint(writer, announced->slots);
	bw_write_uint(writer, announced->connections);
	bw_write_bool(writer, server->drain_requested);
	bw_write_bool(writer, server->state == BW_BACKEND_LEFT);
	bw_write_uint(writer, server->reported_in_flight);
	bw_write_uint(writer, server->reported_queue);
	bw_write_int(writer, bw_time_diff_ms(now, server->reported_at));
}

static bool read_entry_(struct bw_reader *reader, struct bw_time now,
			struct entry *entry)
{
	struct bw_backend_announcement *announced = &entry->announced;
	const uint8_t *address;
	size_t address_bytes;
	uint64_t number[5];
	int64_t age_ms;

	memset(entry, 0, sizeof(*entry));
	bw_read_array(reader);
	bw_read_name(reader, announced->id);
	announced->incarnation = bw_read_uint(reader);
	entry->sequence = bw_read_uint(reader);
	bw_read_name(reader, announced->service);
	bw_read_name(reader, announced->failure_domain);
	address = bw_read_bin(reader, &address_bytes);
	number[0] = bw_read_uint(reader);
	number[1] = bw_read_uint(reader);
	number[2] = bw_read_uint(reader);
	entry->drain_requested = bw_read_bool(reader);
	entry->left = bw_read_bool(reader);
	number[3] = bw_read_uint(reader);
	number[4] = bw_read_uint(reader);
	age_ms = bw_read_int(reader);
	bw_read_end(reader);
	if (bw_reader_status(reader) != BW_OK ||
	    address_bytes >= BW_BACKEND_ADDRESS_MAX ||
	    memchr(address, 0, address_bytes) || number[0] > UINT16_MAX ||
	    number[1] > UINT32_MAX || number[2] > UINT32_MAX ||
	    number[3] > UINT32_MAX || number[4] > UINT32_MAX || age_ms < 0 ||
	    age_ms > INT32_MAX || !entry->sequence)
		goto malformed;
	memcpy(announced->address, address, address_bytes);
	announced->port = (uint16_t)number[0];
	announced->slots = (uint32_t)number[1];
	announced->connections = (uint32_t)number[2];
	entry->in_flight = (uint32_t)number[3];
	entry->queue = (uint32_t)number[4];
	entry->reported_at = bw_time_add(now, -age_ms);
	if (bw_backend_is_valid(announced))
		return true;
malformed:
	reader->failed = true;
	return false;
}

static enum bw_status merge_entry_(struct bw_backend_table *table,
				   const struct entry *entry,
				   struct bw_time now)
{
	struct bw_backend_server *server =
		bw_backend_lookup(table, entry->announced.id);
	uint64_t incarnation = entry->announced.incarnation;
	bool newer = !server || entry->sequence > server->sequence ||
		     (entry->sequence == server->sequence &&
		      incarnation > server->announced.incarnation);
	enum bw_status status;

	if (!server &&
	    (entry->left || bw_time_diff_ms(now, entry->reported_at) >=
				    table->config.removal_timeout_ms))
		return BW_OK;
	if (!server || server->announced.incarnation != incarnation) {
		if (!newer)
			return BW_OK;
		status = bw_backend_put(table, &entry->announced,
					entry->sequence, now, &server);
		if (status != BW_OK)
			return status;
		bw_backend_report(table, server, entry->in_flight, entry->queue,
				  entry->reported_at, now);
	} else if (bw_time_diff_ms(entry->reported_at, server->reported_at) >
		   0) {
		bw_backend_report(table, server, entry->in_flight, entry->queue,
				  entry->reported_at, now);
	}
	if (entry->sequence > server->sequence)
		server->sequence = entry->sequence;
	if (entry->drain_requested && !server->drain_requested) {
		server->drain_requested = true;
		bw_backend_apply_drain(table, server, now);
	}
	if (entry->left)
		bw_backend_apply_event(table, server, BW_BACKEND_EVENT_LEAVE,
				       now);
	return BW_OK;
}

static void add_to_summary_(const struct bw_backend_table *table,
			    const struct bw_backend_server *server,
			    struct bw_time now,
			    struct bw_backend_summary *summary)
{
	uint32_t limit = bw_backend_limit(server);
	uint32_t limit_now = bw_backend_limit_now(table, server, now);

	summary->in_use_slots += server->in_flight;
	if (server->state == BW_BACKEND_LEFT ||
	    server->state == BW_BACKEND_LOST)
		return;
	summary->servers++;
	if (server->state == BW_BACKEND_DRAINING) {
		summary->draining_slots += limit;
		return;
	}
	if (server->ejected) {
		summary->ejected_slots += limit;
		return;
	}
	if (server->state == BW_BACKEND_READY)
		summary->healthy_slots += limit;
	else
		summary->warming_slots += limit;
	summary->usable_slots += limit_now;
	if (limit_now > server->in_flight)
		summary->free_slots += limit_now - server->in_flight;
}

static json_t *dump_server_(const struct bw_backend_table *table,
			    const struct bw_backend_server *server,
			    struct bw_time now)
{
	return json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:f,s:f,s:f,s:b,s:I}", "id",
		server->announced.id, "service", server->announced.service,
		"failure_domain", server->announced.failure_domain, "state",
		bw_backend_state_string[server->state], "slots",
		(int)server->announced.slots, "in_flight",
		(int)server->in_flight, "limit",
		(int)bw_backend_limit_now(table, server, now), "ejections",
		(int)server->ejections, "latency_us", server->latency_us,
		"error_rate", server->error_rate, "trust", server->trust,
		"ejected", (int)server->ejected, "silent_ms",
		(json_int_t)bw_time_diff_ms(now, server->reported_at));
}

bool bw_backend_next(const struct bw_backend_table *table, uint32_t *cursor,
		     struct bw_backend_info *info)
{
	const struct bw_backend_server *server;

	while (*cursor < table->config.servers_max) {
		server = &table->servers[(*cursor)++];
		if (!server->used)
			continue;
		memcpy(info->id, server->announced.id, sizeof(info->id));
		memcpy(info->service, server->announced.service,
		       sizeof(info->service));
		memcpy(info->failure_domain, server->announced.failure_domain,
		       sizeof(info->failure_domain));
		memcpy(info->address, server->announced.address,
		       sizeof(info->address));
		info->port = server->announced.port;
		info->incarnation = server->announced.incarnation;
		info->state = server->state;
		info->slots = server->announced.slots;
		info->in_flight = server->in_flight;
		info->draining = server->drain_requested ||
				 server->drain_by_sheet;
		return true;
	}
	return false;
}
