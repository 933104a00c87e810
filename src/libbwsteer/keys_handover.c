#include "private/keys_store.h"

#include <string.h>

/** Common header of all handover messages. */
struct handover_header {
	char host[BW_NAME_MAX]; /**< owner of the set */
	uint64_t incarnation;
	uint64_t session;
};

static void send_next_message_(struct bw_keys *keys, struct bw_keys_set *set,
			       struct bw_time now, struct bw_outbox *out);
static void start_session_(struct bw_keys *keys, struct bw_keys_set *set);
static void send_chunk_(struct bw_keys *keys, struct bw_keys_set *set,
			struct bw_outbox *out);
static void send_complete_(struct bw_keys *keys, struct bw_keys_set *set,
			   struct bw_time now, struct bw_outbox *out);
static void send_ack_(struct bw_keys *keys, const struct bw_packet *packet,
		      enum bw_keys_message type,
		      const struct handover_header *header, uint64_t value,
		      struct bw_outbox *out);
static enum bw_status receive_chunk_(struct bw_keys *keys,
				     const struct bw_packet *packet,
				     const struct handover_header *header,
				     struct bw_reader *reader,
				     struct bw_time now, struct bw_outbox *out);
static struct bw_keys_set *
prepare_incoming_set_(struct bw_keys *keys, const struct bw_packet *packet,
		      const struct handover_header *header,
		      uint64_t chunk_index);
static enum bw_status store_chunk_(struct bw_keys *keys,
				   struct bw_keys_set *set,
				   struct bw_reader *reader);
static enum bw_status receive_complete_(struct bw_keys *keys,
					const struct bw_packet *packet,
					const struct handover_header *header,
					struct bw_reader *reader,
					struct bw_time now,
					struct bw_outbox *out);
static void adopt_set_(struct bw_keys *keys, struct bw_keys_set *set);
static enum bw_status receive_ack_(struct bw_keys *keys,
				   const struct bw_packet *packet,
				   enum bw_keys_message type,
				   const struct handover_header *header,
				   struct bw_reader *reader, struct bw_time now,
				   struct bw_outbox *out);
static void mark_handed_over_(struct bw_keys *keys, struct bw_keys_set *set);
static bool is_sender_(const struct bw_keys_set *set,
		       const struct bw_packet *packet);

void bw_keys_handover_reset(struct bw_keys_set *set)
{
	if (set->handover_records)
		g_ptr_array_free(set->handover_records, TRUE);
	set->handover_records = NULL;
	set->sent_ms = INT64_MIN;
}

void bw_keys_handover_tick(struct bw_keys *keys, struct bw_time now,
			   struct bw_outbox *out)
{
	GHashTableIter iter;
	gpointer item;
	struct bw_keys_set *set;

	if (!keys->sealed && !keys->incoming_count)
		return;
	g_hash_table_iter_init(&iter, keys->owned);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		set = item;
		if (set->state == BW_KEYS_SET_INCOMING &&
		    now.ms - set->received_ms >=
			    keys->config.handover_idle_timeout_ms) {
			g_hash_table_iter_remove(&iter);
			bw_keys_set_free(keys, set);
			keys->incoming_count--;
			continue;
		}
		if (keys->sealed && set->state == BW_KEYS_SET_OWNED)
			send_next_message_(keys, set, now, out);
	}
}

enum bw_status
bw_keys_receive_handover(struct bw_keys *keys, const struct bw_packet *packet,
			 enum bw_keys_message type, struct bw_reader *reader,
			 struct bw_time now, struct bw_outbox *out)
{
	struct handover_header header;

	bw_read_name(reader, header.host);
	header.incarnation = bw_read_uint(reader);
	header.session = bw_read_uint(reader);
	if (bw_reader_status(reader) != BW_OK || !header.host[0])
		return BW_EINVAL;
	switch (type) {
	case BW_KEYS_CHUNK:
		return receive_chunk_(keys, packet, &header, reader, now, out);
	case BW_KEYS_COMPLETE:
		return receive_complete_(keys, packet, &header, reader, now,
					 out);
	case BW_KEYS_CHUNK_ACK:
	case BW_KEYS_COMPLETE_ACK:
		return receive_ack_(keys, packet, type, &header, reader, now,
				    out);
	case BW_KEYS_COPY:
	case BW_KEYS_COPY_ACK:
		break;
	}
	return BW_EVERSION;
}

static void send_next_message_(struct bw_keys *keys, struct bw_keys_set *set,
			       struct bw_time now, struct bw_outbox *out)
{
	if (set->running_count || (!set->committed && !keys->successor[0]))
		return;
	if (set->sent_ms != INT64_MIN &&
	    now.ms - set->sent_ms < keys->config.resend_ms)
		return;
	if (!set->handover_records)
		start_session_(keys, set);
	set->sent_ms = now.ms;
	if (set->chunk_begin < set->handover_records->len || !set->chunk_index)
		send_chunk_(keys, set, out);
	else
		send_complete_(keys, set, now, out);
}

/* The successor of a committed set never changes. */
static void start_session_(struct bw_keys *keys, struct bw_keys_set *set)
{
	GHashTableIter iter;
	gpointer item;

	if (!set->committed) {
		memcpy(set->successor, keys->successor, BW_NAME_MAX);
		set->successor_incarnation = keys->successor_incarnation;
	}
	set->session = ++keys->session;
	set->chunk_begin = 0;
	set->chunk_end = 0;
	set->chunk_index = 0;
	set->handover_records = g_ptr_array_new();
	g_hash_table_iter_init(&iter, set->records);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		if (((struct bw_keys_record *)item)->state != BW_KEYS_NEW)
			g_ptr_array_add(set->handover_records, item);
	}
}

static void send_chunk_(struct bw_keys *keys, struct bw_keys_set *set,
			struct bw_outbox *out)
{
	struct bw_buffer buffer;
	struct bw_writer writer;
	uint32_t bytes = 0;
	uint32_t i;

	/*
	 * A chunk that is sent again must have the same records, even if
	 * dropped responses have left room for more: the successor may have
	 * stored the first one.
	 */
	for (i = set->chunk_begin; set->chunk_end == set->chunk_begin &&
				   i < set->handover_records->len &&
				   bytes < keys->config.packet_bytes;
	     i++)
		bytes += bw_keys_wire_bytes(
			g_ptr_array_index(set->handover_records, i));
	if (set->chunk_end == set->chunk_begin)
		set->chunk_end = i;
	bw_buffer_init(&buffer);
	bw_writer_init(&writer, &buffer);
	bw_keys_write_header(&writer, 3, BW_KEYS_CHUNK,
			     set->successor_incarnation, set);
	bw_write_uint(&writer, set->session);
	bw_write_uint(&writer, set->chunk_index);
	bw_write_array(&writer, set->chunk_end - set->chunk_begin);
	for (i = set->chunk_begin; i < set->chunk_end; i++)
		bw_keys_write_record(
			&writer, g_ptr_array_index(set->handover_records, i));
	bw_keys_send(keys, set->successor, &writer, out);
	bw_buffer_finish(&buffer);
}

static void send_complete_(struct bw_keys *keys, struct bw_keys_set *set,
			   struct bw_time now, struct bw_outbox *out)
{
	struct bw_buffer buffer;
	struct bw_writer writer;

	/* Set before sending: from now on the successor may run the keys. */
	set->committed = true;
	bw_buffer_init(&buffer);
	bw_writer_init(&writer, &buffer);
	bw_keys_write_header(&writer, 5, BW_KEYS_COMPLETE,
			     set->successor_incarnation, set);
	bw_write_uint(&writer, set->session);
	bw_write_uint(&writer, set->chunk_index);
	bw_write_int(&writer, bw_keys_owner_wall_ms(set, now));
	bw_write_uint(&writer, keys->version);
	bw_write_uint(&writer, set->handover_records->len);
	bw_keys_send(keys, set->successor, &writer, out);
	bw_buffer_finish(&buffer);
}

/* value: next chunk expected (0: restart), or whether the set was adopted. */
static void send_ack_(struct bw_keys *keys, const struct bw_packet *packet,
		      enum bw_keys_message type,
		      const struct handover_header *header, uint64_t value,
		      struct bw_outbox *out)
{
	struct bw_keys_set set_id;
	struct bw_buffer buffer;
	struct bw_writer writer;

	memcpy(set_id.host, header->host, sizeof(set_id.host));
	set_id.incarnation = header->incarnation;
	bw_buffer_init(&buffer);
	bw_writer_init(&writer, &buffer);
	bw_keys_write_header(&writer, 2, type, packet->incarnation, &set_id);
	bw_write_uint(&writer, header->session);
	bw_write_uint(&writer, value);
	bw_keys_send(keys, packet->peer, &writer, out);
	bw_buffer_finish(&buffer);
}

static enum bw_status receive_chunk_(struct bw_keys *keys,
				     const struct bw_packet *packet,
				     const struct handover_header *header,
				     struct bw_reader *reader,
				     struct bw_time now, struct bw_outbox *out)
{
	uint64_t chunk_index = bw_read_uint(reader);
	struct bw_keys_set *set = bw_keys_table_find(keys->owned, header->host,
						     header->incarnation);
	enum bw_status status;

	if (bw_reader_status(reader) != BW_OK)
		return BW_EINVAL;
	if (set && set->state != BW_KEYS_SET_INCOMING) {
		/* A set that this host ever owned is not taken over again. */
		if (!is_sender_(set, packet))
			return BW_ESTALE;
		send_ack_(keys, packet, BW_KEYS_COMPLETE_ACK, header, 1, out);
		return BW_OK;
	}
	if (set && is_sender_(set, packet) &&
	    header->session < set->sender_session)
		return BW_ESTALE;
	set = prepare_incoming_set_(keys, packet, header, chunk_index);
	if (!set && !chunk_index)
		return BW_EFULL;
	if (!set || chunk_index > set->next_chunk) {
		send_ack_(keys, packet, BW_KEYS_CHUNK_ACK, header, 0, out);
		return BW_ESTALE;
	}
	set->received_ms = now.ms;
	if (chunk_index == set->next_chunk) {
		status = store_chunk_(keys, set, reader);
		if (status != BW_OK)
			return status;
		set->next_chunk++;
	}
	send_ack_(keys, packet, BW_KEYS_CHUNK_ACK, header, set->next_chunk,
		  out);
	return BW_OK;
}

/*
 * Finds the set of this session. The first chunk of a session adds the set, or
 * replaces an earlier session.
 */
static struct bw_keys_set *
prepare_incoming_set_(struct bw_keys *keys, const struct bw_packet *packet,
		      const struct handover_header *header,
		      uint64_t chunk_index)
{
	struct bw_keys_set *set = bw_keys_table_find(keys->owned, header->host,
						     header->incarnation);

	if (set && is_sender_(set, packet) &&
	    set->sender_session == header->session)
		return set;
	if (chunk_index)
		return NULL;
	if (set) {
		bw_keys_set_clear(keys, set);
	} else {
		if (g_hash_table_size(keys->owned) < keys->config.owners_max)
			set = bw_keys_table_add(keys->owned, &keys->owned_pool,
						header->host,
						header->incarnation,
						BW_KEYS_SET_INCOMING);
		if (!set) {
			keys->counts.handover_refused++;
			return NULL;
		}
		keys->incoming_count++;
	}
	memcpy(set->sender, packet->peer, sizeof(set->sender));
	set->sender_incarnation = packet->incarnation;
	set->sender_session = header->session;
	set->next_chunk = 0;
	return set;
}

static enum bw_status store_chunk_(struct bw_keys *keys,
				   struct bw_keys_set *set,
				   struct bw_reader *reader)
{
	struct bw_keys_wire_record wire;
	struct bw_keys_record *record;
	uint32_t count = bw_read_array(reader);
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (!bw_keys_read_record(reader, &wire))
			return BW_EINVAL;
		record = bw_keys_record_find(set, &wire.key);
		if (!record)
			record = bw_keys_record_add(keys, set, &wire.key);
		if (!record) {
			keys->counts.handover_refused++;
			return BW_EFULL;
		}
		/* Runs do not continue at the successor. */
		if (wire.state != BW_KEYS_DONE)
			wire.state = BW_KEYS_OUTCOME_UNKNOWN;
		bw_keys_record_update(keys, record, &wire);
	}
	return bw_reader_status(reader);
}

static enum bw_status receive_complete_(struct bw_keys *keys,
					const struct bw_packet *packet,
					const struct handover_header *header,
					struct bw_reader *reader,
					struct bw_time now,
					struct bw_outbox *out)
{
	uint64_t chunk_count = bw_read_uint(reader);
	int64_t wall_ms = bw_keys_read_wall_ms(reader);
	uint64_t version = bw_read_uint(reader);
	uint64_t record_count = bw_read_uint(reader);
	struct bw_keys_set *set = bw_keys_table_find(keys->owned, header->host,
						     header->incarnation);
	bool accepted;

	if (bw_reader_status(reader) != BW_OK || !chunk_count)
		return BW_EINVAL;
	if (set && set->state != BW_KEYS_SET_INCOMING &&
	    !is_sender_(set, packet))
		return BW_ESTALE;
	accepted = set && (set->state != BW_KEYS_SET_INCOMING ||
			   (is_sender_(set, packet) &&
			    set->sender_session == header->session &&
			    set->next_chunk == chunk_count &&
			    g_hash_table_size(set->records) == record_count));
	if (accepted && set->state == BW_KEYS_SET_INCOMING) {
		set->wall_offset_ms = wall_ms - now.ms;
		if (version > keys->version)
			keys->version = version;
		adopt_set_(keys, set);
	}
	send_ack_(keys, packet, BW_KEYS_COMPLETE_ACK, header, accepted, out);
	return BW_OK;
}

static void adopt_set_(struct bw_keys *keys, struct bw_keys_set *set)
{
	struct bw_keys_event event = { .kind = BW_KEYS_EVENT_ADOPTED };
	struct bw_keys_set *backup =
		bw_keys_table_find(keys->backups, set->host, set->incarnation);
	GHashTableIter iter;
	gpointer record;

	set->state = BW_KEYS_SET_OWNED;
	keys->incoming_count--;
	if (backup)
		bw_keys_table_remove(keys, keys->backups, backup);
	g_hash_table_iter_init(&iter, set->records);
	while (g_hash_table_iter_next(&iter, &record, NULL)) {
		bw_keys_wheel_insert(keys, record);
		bw_keys_copy_enqueue(keys, record);
	}
	memcpy(event.key.owner, set->host, BW_NAME_MAX);
	event.key.incarnation = set->incarnation;
	bw_keys_push_event(keys, &event);
}

static enum bw_status receive_ack_(struct bw_keys *keys,
				   const struct bw_packet *packet,
				   enum bw_keys_message type,
				   const struct handover_header *header,
				   struct bw_reader *reader, struct bw_time now,
				   struct bw_outbox *out)
{
	uint64_t value = bw_read_uint(reader);
	struct bw_keys_set *set = bw_keys_table_find(keys->owned, header->host,
						     header->incarnation);

	if (bw_reader_status(reader) != BW_OK)
		return BW_EINVAL;
	if (!set || !set->handover_records || set->session != header->session ||
	    packet->incarnation != set->successor_incarnation ||
	    strcmp(packet->peer, set->successor))
		return BW_ESTALE;
	if (type == BW_KEYS_COMPLETE_ACK && value) {
		if (set->committed)
			mark_handed_over_(keys, set);
		return BW_OK;
	}
	if (!value) {
		/* A tick after resend_ms starts a new session. */
		bw_keys_handover_reset(set);
		set->sent_ms = now.ms;
		return BW_OK;
	}
	if (value != set->chunk_index + 1)
		return BW_ESTALE;
	set->chunk_begin = set->chunk_end;
	set->chunk_index++;
	set->sent_ms = INT64_MIN;
	send_next_message_(keys, set, now, out);
	return BW_OK;
}

static void mark_handed_over_(struct bw_keys *keys, struct bw_keys_set *set)
{
	struct bw_keys_event event = { .kind = BW_KEYS_EVENT_HANDED_OVER };
	GHashTableIter iter;
	gpointer item;
	struct bw_keys_record *record;

	bw_keys_handover_reset(set);
	set->state = BW_KEYS_SET_HANDED_OVER;
	g_hash_table_iter_init(&iter, set->records);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		record = item;
		if (record->in_unacked)
			g_queue_unlink(&keys->unacked, &record->unacked_link);
		record->in_unacked = false;
	}
	memcpy(event.key.owner, set->host, BW_NAME_MAX);
	event.key.incarnation = set->incarnation;
	memcpy(event.successor, set->successor, BW_NAME_MAX);
	event.successor_incarnation = set->successor_incarnation;
	bw_keys_push_event(keys, &event);
}

static bool is_sender_(const struct bw_keys_set *set,
		       const struct bw_packet *packet)
{
	return set->sender_incarnation == packet->incarnation &&
	       !strcmp(set->sender, packet->peer);
}
