#include "private/member.h"

#include <string.h>

#include <xxhash.h>

#define WIRE_VERSION 1
#define RECORD_FIELDS 12
#define FLAG_CONTROL 1
#define FLAG_LEAVING 2

/** Space reserved for the array headers of both lists of a packet. */
#define LIST_HEADERS_BYTES 16

static void write_header_(struct bw_member *member, struct bw_writer *writer,
			  enum member_type type, uint64_t sequence,
			  const char *name, bool reply);
static void write_record_(struct bw_writer *writer,
			  const struct bw_member_record *record);
static void write_numbers_(struct bw_writer *writer,
			   const struct bw_member_host *host);
static uint32_t pick_updates_(struct bw_member *member, const char *peer,
			      struct bw_buffer *list, size_t room_bytes);
static uint32_t pick_numbers_(struct bw_member *member, struct bw_buffer *list,
			      size_t room_bytes);
static struct bw_member_entry *find_most_pending_(struct bw_member *member,
						  const bool *is_excluded,
						  bool for_numbers);
static bool append_record_(struct bw_buffer *list,
			   const struct bw_member_record *record,
			   size_t room_bytes);
static enum bw_status
send_packet_(struct bw_outbox *out, const char *peer, struct bw_buffer *header,
	     struct bw_buffer *updates, uint32_t update_count,
	     struct bw_buffer *numbers, uint32_t numbers_count);
static void read_record_(const struct bw_member *member,
			 struct bw_reader *reader,
			 struct bw_member_record *record);
static uint16_t read_port_(struct bw_reader *reader);
static void read_lists_(const struct bw_member *member,
			struct bw_reader *reader,
			struct member_message *message);

uint32_t member_bucket(const char *name)
{
	return (uint32_t)(XXH3_64bits(name, strlen(name)) % MEMBER_BUCKETS);
}

void member_hash(const struct bw_member *member,
		 uint64_t hashes[MEMBER_BUCKETS])
{
	const struct bw_member_record *record;
	uint64_t key[5];
	uint32_t i;

	memset(hashes, 0, MEMBER_BUCKETS * sizeof(*hashes));
	for (i = 0; i < member->entry_count; i++) {
		record = &member->entries[i].record;
		if (!bw_member_state_is_up(record->state))
			continue;
		key[0] = XXH3_64bits(record->host.name,
				     strlen(record->host.name));
		key[1] = (uint64_t)record->host.start_wall_ms;
		key[2] = record->host.incarnation;
		key[3] = record->host.version;
		key[4] = record->state;
		hashes[member_bucket(record->host.name)] ^=
			XXH3_64bits(key, sizeof(key));
	}
}

enum bw_status member_send(struct bw_member *member, struct bw_outbox *out,
			   const char *peer, enum member_type type,
			   uint64_t sequence, const char *name, bool reply)
{
	struct bw_buffer header = { 0 };
	struct bw_buffer updates = { 0 };
	struct bw_buffer numbers = { 0 };
	struct bw_writer writer;
	uint32_t update_count = 0;
	uint32_t numbers_count = 0;
	size_t limit_bytes;
	enum bw_status status;

	bw_writer_init(&writer, &header);
	write_header_(member, &writer, type, sequence, name, reply);
	limit_bytes = BW_MEMBER_PACKET_MAX_BYTES - LIST_HEADERS_BYTES -
		      header.size_bytes;
	update_count = pick_updates_(member, peer, &updates, limit_bytes);
	if (type != MEMBER_HASHES)
		numbers_count = pick_numbers_(member, &numbers,
					      limit_bytes - updates.size_bytes);
	status = writer.status;
	if (status == BW_OK)
		status = send_packet_(out, peer, &header, &updates,
				      update_count, &numbers, numbers_count);
	bw_buffer_finish(&header);
	bw_buffer_finish(&updates);
	bw_buffer_finish(&numbers);
	return status;
}

enum bw_status member_send_buckets(struct bw_member *member,
				   struct bw_outbox *out, const char *peer,
				   const bool marked[MEMBER_BUCKETS])
{
	struct bw_buffer header = { 0 };
	struct bw_buffer list = { 0 };
	struct bw_buffer none = { 0 };
	struct bw_writer writer;
	enum bw_status status = BW_OK;
	uint32_t next = 0;
	uint32_t count;
	size_t limit_bytes;

	bw_writer_init(&writer, &header);
	write_header_(member, &writer, MEMBER_RECORDS, 0, "", false);
	limit_bytes = BW_MEMBER_PACKET_MAX_BYTES - LIST_HEADERS_BYTES -
		      header.size_bytes;
	while (next < member->entry_count && status == BW_OK) {
		bw_buffer_clear(&list);
		count = 0;
		for (; next < member->entry_count; next++) {
			const struct bw_member_record *record =
				&member->entries[next].record;

			if (!marked[member_bucket(record->host.name)])
				continue;
			if (count == MEMBER_UPDATES_MAX ||
			    !append_record_(&list, record, limit_bytes))
				break;
			count++;
		}
		if (count)
			status = send_packet_(out, peer, &header, &list, count,
					      &none, 0);
	}
	bw_buffer_finish(&header);
	bw_buffer_finish(&list);
	return status;
}

enum bw_status member_decode(const struct bw_member *member,
			     const struct bw_packet *packet,
			     struct member_message *message)
{
	struct bw_reader reader;
	char domain[BW_NAME_MAX];
	enum bw_status status;
	uint64_t type;
	uint32_t i;

	memset(message, 0, sizeof(*message));
	status = bw_reader_init(&reader, packet->data, packet->size_bytes);
	if (packet->size_bytes > BW_MEMBER_PACKET_MAX_BYTES)
		status = BW_EINVAL;
	bw_read_array(&reader);
	if (status == BW_OK && bw_read_uint(&reader) != WIRE_VERSION)
		status = BW_EVERSION;
	type = bw_read_uint(&reader);
	if (status == BW_OK && (type < MEMBER_PING || type > MEMBER_RECORDS))
		status = BW_EVERSION;
	message->type = (enum member_type)type;
	bw_read_name(&reader, domain);
	message->sequence = bw_read_uint(&reader);
	bw_read_name(&reader, message->name);
	message->reply = bw_read_bool(&reader);
	read_record_(member, &reader, &message->self);
	message->has_hashes = bw_read_array(&reader) == MEMBER_BUCKETS;
	for (i = 0; message->has_hashes && i < MEMBER_BUCKETS; i++)
		message->hashes[i] = bw_read_uint(&reader);
	bw_read_end(&reader);
	read_lists_(member, &reader, message);
	if (status == BW_OK)
		status = bw_reader_status(&reader);
	bw_reader_finish(&reader);
	if (status != BW_OK)
		return status;
	if (strcmp(domain, member->config.self.domain) != 0 ||
	    strcmp(message->self.host.name, packet->peer) != 0)
		return BW_EINVAL;
	return BW_OK;
}

static void write_header_(struct bw_member *member, struct bw_writer *writer,
			  enum member_type type, uint64_t sequence,
			  const char *name, bool reply)
{
	uint64_t hashes[MEMBER_BUCKETS];
	uint32_t i;

	bw_write_array(writer, 10);
	bw_write_uint(writer, WIRE_VERSION);
	bw_write_uint(writer, type);
	bw_write_str(writer, member->config.self.domain);
	bw_write_uint(writer, sequence);
	bw_write_str(writer, name);
	bw_write_bool(writer, reply);
	write_record_(writer, &member_self(member)->record);
	if (type != MEMBER_HASHES) {
		bw_write_array(writer, 0);
		return;
	}
	member_hash(member, hashes);
	bw_write_array(writer, MEMBER_BUCKETS);
	for (i = 0; i < MEMBER_BUCKETS; i++)
		bw_write_uint(writer, hashes[i]);
}

static void write_record_(struct bw_writer *writer,
			  const struct bw_member_record *record)
{
	const struct bw_member_host *host = &record->host;

	bw_write_array(writer, RECORD_FIELDS);
	bw_write_str(writer, host->name);
	bw_write_str(writer, host->address);
	bw_write_str(writer, host->entry_address);
	bw_write_uint(writer, host->entry_port);
	bw_write_uint(writer, host->operator_port);
	bw_write_uint(writer, (host->is_control ? FLAG_CONTROL : 0) |
				      (host->leaving ? FLAG_LEAVING : 0));
	bw_write_int(writer, host->start_wall_ms);
	bw_write_uint(writer, host->incarnation);
	bw_write_uint(writer, host->version);
	bw_write_uint(writer, record->state);
	bw_write_uint(writer, host->revision);
	bw_write_uint(writer, host->plan);
}

static void write_numbers_(struct bw_writer *writer,
			   const struct bw_member_host *host)
{
	bw_write_array(writer, 4);
	bw_write_str(writer, host->name);
	bw_write_uint(writer, host->incarnation);
	bw_write_uint(writer, host->revision);
	bw_write_uint(writer, host->plan);
}

static uint32_t pick_updates_(struct bw_member *member, const char *peer,
			      struct bw_buffer *list, size_t room_bytes)
{
	bool is_excluded[BW_MEMBER_HOSTS_MAX] = { false };
	struct bw_member_entry *entry = member_find(member, peer);
	uint32_t count = 0;

	is_excluded[member_self(member) - member->entries] = true;
	/* Comes first, so that the peer can refute the state. */
	if (entry && entry->record.state != BW_MEMBER_ALIVE &&
	    entry->record.state != BW_MEMBER_LEAVING) {
		is_excluded[entry - member->entries] = true;
		if (append_record_(list, &entry->record, room_bytes))
			count++;
	}
	while (count < MEMBER_UPDATES_MAX) {
		entry = find_most_pending_(member, is_excluded, false);
		if (!entry || !append_record_(list, &entry->record, room_bytes))
			break;
		is_excluded[entry - member->entries] = true;
		entry->record_sends_left--;
		count++;
	}
	return count;
}

static uint32_t pick_numbers_(struct bw_member *member, struct bw_buffer *list,
			      size_t room_bytes)
{
	bool is_excluded[BW_MEMBER_HOSTS_MAX] = { false };
	struct bw_member_entry *entry;
	struct bw_writer writer;
	size_t old_size_bytes;
	uint32_t count = 0;

	bw_writer_init(&writer, list);
	while (count < MEMBER_DOCUMENT_NUMBERS_MAX) {
		entry = find_most_pending_(member, is_excluded, true);
		if (!entry)
			break;
		old_size_bytes = list->size_bytes;
		write_numbers_(&writer, &entry->record.host);
		if (writer.status != BW_OK || list->size_bytes > room_bytes) {
			list->size_bytes = old_size_bytes;
			break;
		}
		is_excluded[entry - member->entries] = true;
		entry->numbers_sends_left--;
		count++;
	}
	return count;
}

/* Returns the entry with the most remaining sends of its document numbers or,
 * unless for_numbers, of its record; NULL if none remain. */
static struct bw_member_entry *find_most_pending_(struct bw_member *member,
						  const bool *is_excluded,
						  bool for_numbers)
{
	struct bw_member_entry *best = NULL;
	uint32_t most_sends_left = 0;
	uint32_t sends_left;
	uint32_t i;

	for (i = 0; i < member->entry_count; i++) {
		sends_left = for_numbers ? member->entries[i].numbers_sends_left
					 : member->entries[i].record_sends_left;
		if (is_excluded[i] || sends_left <= most_sends_left)
			continue;
		best = &member->entries[i];
		most_sends_left = sends_left;
	}
	return best;
}

static bool append_record_(struct bw_buffer *list,
			   const struct bw_member_record *record,
			   size_t room_bytes)
{
	size_t old_size_bytes = list->size_bytes;
	struct bw_writer writer;

	bw_writer_init(&writer, list);
	write_record_(&writer, record);
	if (writer.status == BW_OK && list->size_bytes <= room_bytes)
		return true;
	list->size_bytes = old_size_bytes;
	return false;
}

static enum bw_status
send_packet_(struct bw_outbox *out, const char *peer, struct bw_buffer *header,
	     struct bw_buffer *updates, uint32_t update_count,
	     struct bw_buffer *numbers, uint32_t numbers_count)
{
	size_t header_bytes = header->size_bytes;
	struct bw_writer writer;
	enum bw_status status;

	bw_writer_init(&writer, header);
	bw_write_array(&writer, update_count);
	status = bw_buffer_append(header, updates->data, updates->size_bytes);
	bw_write_array(&writer, numbers_count);
	if (status == BW_OK)
		status = bw_buffer_append(header, numbers->data,
					  numbers->size_bytes);
	if (status == BW_OK)
		status = writer.status;
	if (status == BW_OK)
		status = bw_outbox_add(out, peer, BW_CHANNEL_MEMBER,
				       header->data, header->size_bytes);
	header->size_bytes = header_bytes;
	return status;
}

static void read_record_(const struct bw_member *member,
			 struct bw_reader *reader,
			 struct bw_member_record *record)
{
	struct bw_member_host *host = &record->host;
	uint64_t flags;
	uint64_t state;

	memset(record, 0, sizeof(*record));
	if (bw_read_array(reader) != RECORD_FIELDS)
		reader->failed = true;
	bw_read_name(reader, host->name);
	bw_read_text(reader, host->address, BW_MEMBER_ADDRESS_MAX);
	bw_read_text(reader, host->entry_address, BW_MEMBER_ADDRESS_MAX);
	host->entry_port = read_port_(reader);
	host->operator_port = read_port_(reader);
	flags = bw_read_uint(reader);
	host->is_control = flags & FLAG_CONTROL;
	host->leaving = flags & FLAG_LEAVING;
	host->start_wall_ms = bw_read_int(reader);
	host->incarnation = bw_read_uint(reader);
	host->version = bw_read_uint(reader);
	state = bw_read_uint(reader);
	host->revision = bw_read_uint(reader);
	host->plan = bw_read_uint(reader);
	bw_read_end(reader);
	if (state >= BW_MEMBER_STATE_COUNT || !host->name[0] ||
	    !host->incarnation)
		reader->failed = true;
	record->state = (enum bw_member_state)state;
	memcpy(host->domain, member->config.self.domain, BW_NAME_MAX);
	memcpy(host->region, member->config.self.region, BW_NAME_MAX);
}

static uint16_t read_port_(struct bw_reader *reader)
{
	uint64_t port = bw_read_uint(reader);

	if (port > UINT16_MAX)
		reader->failed = true;
	return (uint16_t)port;
}

static void read_lists_(const struct bw_member *member,
			struct bw_reader *reader,
			struct member_message *message)
{
	struct member_document_numbers *numbers;
	uint32_t i;

	message->update_count = bw_read_array(reader);
	if (message->update_count > 2 * MEMBER_UPDATES_MAX) {
		message->update_count = 0;
		reader->failed = true;
	}
	for (i = 0; i < message->update_count; i++)
		read_record_(member, reader, &message->updates[i]);
	bw_read_end(reader);
	message->numbers_count = bw_read_array(reader);
	if (message->numbers_count > MEMBER_DOCUMENT_NUMBERS_MAX) {
		message->numbers_count = 0;
		reader->failed = true;
	}
	for (i = 0; i < message->numbers_count; i++) {
		numbers = &message->numbers[i];
		bw_read_array(reader);
		bw_read_name(reader, numbers->name);
		numbers->incarnation = bw_read_uint(reader);
		numbers->revision = bw_read_uint(reader);
		numbers->plan = bw_read_uint(reader);
		bw_read_end(reader);
	}
	bw_read_end(reader);
}
