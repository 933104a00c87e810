#include "private/keys_store.h"

#include <string.h>

/** Fields that all handover messages start with. */
struct head {
	char host[BW_NAME_MAX]; /**< owner of the set */
	uint64_t incarnation;
	uint64_t session;
};

static void progress_(struct bw_keys *keys, struct bw_keys_set *set,
		      struct bw_time now, struct bw_outbox *out);
static void start_(struct bw_keys *keys, struct bw_keys_set *set);
static void send_chunk_(struct bw_keys *keys, struct bw_keys_set *set,
			struct bw_outbox *out);
static void send_complete_(struct bw_keys *keys, struct bw_keys_set *set,
			   struct bw_time now, struct bw_outbox *out);
static void acknowledge_(struct bw_keys *keys, const struct bw_packet *packet,
			 enum bw_keys_message type, const struct head *head,
			 uint64_t value, struct bw_outbox *out);
static enum bw_status receive_chunk_(struct bw_keys *keys,
				     const struct bw_packet *packet,
				     const struct head *head,
				     struct bw_reader *reader,
				     struct bw_time now, struct bw_outbox *out);
static struct bw_keys_set *incoming_(struct bw_keys *keys,
				     const struct bw_packet *packet,
				     const struct head *head, uint64_t chunk);
static enum bw_status store_chunk_(struct bw_keys *keys,
				   struct bw_keys_set *set,
				   struct bw_reader *reader);
static enum bw_status
receive_complete_(struct bw_keys *keys, const struct bw_packet *packet,
		  const struct head *head, struct bw_reader *reader,
		  struct bw_time now, struct bw_outbox *out);
static void adopt_(struct bw_keys *keys, struct bw_keys_set *set);
static enum bw_status receive_ack_(struct bw_keys *keys,
				   const struct bw_packet *packet,
				   enum bw_keys_message type,
				   const struct head *head,
				   struct bw_reader *reader, struct bw_time now,
				   struct bw_outbox *out);
static void handed_over_(struct bw_keys *keys, struct bw_keys_set *set);
static bool is_from_(const struct bw_keys_set *set,
		     const struct bw_packet *packet);

void bw_keys_handover_restart(struct bw_keys_set *set)
{
	if (set->items)
		g_ptr_array_free(set->items, TRUE);
	set->items = NULL;
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
		    now.ms - set->heard_ms >= keys->config.handover_idle_ms) {
			g_hash_table_iter_remove(&iter);
			bw_keys_set_free(keys, set);
			keys->incoming_count--;
			continue;
		}
		if (keys->sealed && set->state == BW_KEYS_SET_OWNED)
			progress_(keys, set, now, out);
	}
}

enum bw_status
bw_keys_receive_handover(struct bw_keys *keys, const struct bw_packet *packet,
			 enum bw_keys_message type, struct bw_reader *reader,
			 struct bw_time now, struct bw_outbox *out)
{
	struct head head;

	bw_read_name(reader, head.host);
	head.incarnation = bw_read_uint(reader);
	head.session = bw_read_uint(reader);
	if (bw_reader_status(reader) != BW_OK || !head.host[0])
		return BW_EINVAL;
	switch (type) {
	case BW_KEYS_CHUNK:
		return receive_chunk_(keys, packet, &head, reader, now, out);
	case BW_KEYS_COMPLETE:
		return receive_complete_(keys, packet, &head, reader, now, out);
	case BW_KEYS_CHUNK_ACK:
	case BW_KEYS_COMPLETE_ACK:
		return receive_ack_(keys, packet, type, &head, reader, now,
				    out);
	case BW_KEYS_COPY:
	case BW_KEYS_COPY_ACK:
		break;
	}
	return BW_EVERSION;
}

static void progress_(struct bw_keys *keys, struct bw_keys_set *set,
		      struct bw_time now, struct bw_outbox *out)
{
	if (set->running_count || (!set->committed && !keys->successor[0]))
		return;
	if (set->sent_ms != INT64_MIN &&
	    now.ms - set->sent_ms < keys->config.resend_ms)
		return;
	if (!set->items)
		start_(keys, set);
	set->sent_ms = now.ms;
	if (set->item < set->items->len || !set->chunk)
		send_chunk_(keys, set, out);
	else
		send_complete_(keys, set, now, out);
}

/* A set that was declared complete once keeps its successor for ever. */
static void start_(struct bw_keys *keys, struct bw_keys_set *set)
{
	GHashTableIter iter;
	gpointer item;

	if (!set->committed) {
		memcpy(set->successor, keys->successor, BW_NAME_MAX);
		set->successor_incarnation = keys->successor_incarnation;
	}
	set->session = ++keys->session;
	set->item = 0;
	set->item_end = 0;
	set->chunk = 0;
	set->items = g_ptr_array_new();
	g_hash_table_iter_init(&iter, set->records);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		if (((struct bw_keys_record *)item)->state != BW_KEYS_NEW)
			g_ptr_array_add(set->items, item);
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
	 * A chunk that is sent again has the same records, although responses
	 * may have been dropped since: the successor may have taken the first.
	 */
	for (i = set->item; set->item_end == set->item && i < set->items->len &&
			    bytes < keys->config.packet_bytes;
	     i++)
		bytes += bw_keys_wire_bytes(g_ptr_array_index(set->items, i));
	if (set->item_end == set->item)
		set->item_end = i;
	bw_buffer_init(&buffer);
	bw_writer_init(&writer, &buffer);
	bw_keys_write_head(&writer, 3, BW_KEYS_CHUNK,
			   set->successor_incarnation, set);
	bw_write_uint(&writer, set->session);
	bw_write_uint(&writer, set->chunk);
	bw_write_array(&writer, set->item_end - set->item);
	for (i = set->item; i < set->item_end; i++)
		bw_keys_write_record(&writer, g_ptr_array_index(set->items, i));
	bw_keys_send(keys, set->successor, &writer, out);
	bw_buffer_finish(&buffer);
}

static void send_complete_(struct bw_keys *keys, struct bw_keys_set *set,
			   struct bw_time now, struct bw_outbox *out)
{
	struct bw_buffer buffer;
	struct bw_writer writer;

	/* Set first: from here on the successor may run this set's keys. */
	set->committed = true;
	bw_buffer_init(&buffer);
	bw_writer_init(&writer, &buffer);
	bw_keys_write_head(&writer, 5, BW_KEYS_COMPLETE,
			   set->successor_incarnation, set);
	bw_write_uint(&writer, set->session);
	bw_write_uint(&writer, set->chunk);
	bw_write_int(&writer, bw_keys_set_wall_ms(set, now));
	bw_write_uint(&writer, keys->version);
	bw_write_uint(&writer, set->items->len);
	bw_keys_send(keys, set->successor, &writer, out);
	bw_buffer_finish(&buffer);
}

/* value: next chunk wanted (0: start again), or whether adopted. */
static void acknowledge_(struct bw_keys *keys, const struct bw_packet *packet,
			 enum bw_keys_message type, const struct head *head,
			 uint64_t value, struct bw_outbox *out)
{
	struct bw_keys_set named;
	struct bw_buffer buffer;
	struct bw_writer writer;

	memcpy(named.host, head->host, sizeof(named.host));
	named.incarnation = head->incarnation;
	bw_buffer_init(&buffer);
	bw_writer_init(&writer, &buffer);
	bw_keys_write_head(&writer, 2, type, packet->incarnation, &named);
	bw_write_uint(&writer, head->session);
	bw_write_uint(&writer, value);
	bw_keys_send(keys, packet->peer, &writer, out);
	bw_buffer_finish(&buffer);
}

static enum bw_status receive_chunk_(struct bw_keys *keys,
				     const struct bw_packet *packet,
				     const struct head *head,
				     struct bw_reader *reader,
				     struct bw_time now, struct bw_outbox *out)
{
	uint64_t chunk = bw_read_uint(reader);
	struct bw_keys_set *set =
		bw_keys_table_find(keys->owned, head->host, head->incarnation);
	enum bw_status status;

	if (bw_reader_status(reader) != BW_OK)
		return BW_EINVAL;
	if (set && set->state != BW_KEYS_SET_INCOMING) {
		/* A set that this host ever owned is never taken again. */
		if (!is_from_(set, packet))
			return BW_ESTALE;
		acknowledge_(keys, packet, BW_KEYS_COMPLETE_ACK, head, 1, out);
		return BW_OK;
	}
	if (set && is_from_(set, packet) && head->session < set->from_session)
		return BW_ESTALE;
	set = incoming_(keys, packet, head, chunk);
	if (!set && !chunk)
		return BW_EFULL;
	if (!set || chunk > set->next_chunk) {
		acknowledge_(keys, packet, BW_KEYS_CHUNK_ACK, head, 0, out);
		return BW_ESTALE;
	}
	set->heard_ms = now.ms;
	if (chunk == set->next_chunk) {
		status = store_chunk_(keys, set, reader);
		if (status != BW_OK)
			return status;
		set->next_chunk++;
	}
	acknowledge_(keys, packet, BW_KEYS_CHUNK_ACK, head, set->next_chunk,
		     out);
	return BW_OK;
}

/* Finds the set of this session; its first chunk replaces another session. */
static struct bw_keys_set *incoming_(struct bw_keys *keys,
				     const struct bw_packet *packet,
				     const struct head *head, uint64_t chunk)
{
	struct bw_keys_set *set =
		bw_keys_table_find(keys->owned, head->host, head->incarnation);

	if (set && is_from_(set, packet) && set->from_session == head->session)
		return set;
	if (chunk)
		return NULL;
	if (set) {
		bw_keys_set_clear(keys, set);
	} else {
		if (g_hash_table_size(keys->owned) < keys->config.owners_max)
			set = bw_keys_table_add(keys->owned, &keys->owned_pool,
						head->host, head->incarnation,
						BW_KEYS_SET_INCOMING);
		if (!set) {
			keys->counts.handover_refused++;
			return NULL;
		}
		keys->incoming_count++;
	}
	memcpy(set->from, packet->peer, sizeof(set->from));
	set->from_incarnation = packet->incarnation;
	set->from_session = head->session;
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
		/* No run survives a handover. */
		if (wire.state != BW_KEYS_DONE)
			wire.state = BW_KEYS_OUTCOME_UNKNOWN;
		bw_keys_apply(keys, record, &wire);
	}
	return bw_reader_status(reader);
}

static enum bw_status
receive_complete_(struct bw_keys *keys, const struct bw_packet *packet,
		  const struct head *head, struct bw_reader *reader,
		  struct bw_time now, struct bw_outbox *out)
{
	uint64_t chunks = bw_read_uint(reader);
	int64_t wall_ms = bw_keys_read_wall(reader);
	uint64_t version = bw_read_uint(reader);
	uint64_t records = bw_read_uint(reader);
	struct bw_keys_set *set =
		bw_keys_table_find(keys->owned, head->host, head->incarnation);
	bool accepted;

	if (bw_reader_status(reader) != BW_OK || !chunks)
		return BW_EINVAL;
	if (set && set->state != BW_KEYS_SET_INCOMING && !is_from_(set, packet))
		return BW_ESTALE;
	accepted = set && (set->state != BW_KEYS_SET_INCOMING ||
			   (is_from_(set, packet) &&
			    set->from_session == head->session &&
			    set->next_chunk == chunks &&
			    g_hash_table_size(set->records) == records));
	if (accepted && set->state == BW_KEYS_SET_INCOMING) {
		set->wall_offset_ms = wall_ms - now.ms;
		if (version > keys->version)
			keys->version = version;
		adopt_(keys, set);
	}
	acknowledge_(keys, packet, BW_KEYS_COMPLETE_ACK, head, accepted, out);
	return BW_OK;
}

static void adopt_(struct bw_keys *keys, struct bw_keys_set *set)
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
		bw_keys_copy_mark(keys, record);
	}
	memcpy(event.key.owner, set->host, BW_NAME_MAX);
	event.key.incarnation = set->incarnation;
	bw_keys_push_event(keys, &event);
}

static enum bw_status receive_ack_(struct bw_keys *keys,
				   const struct bw_packet *packet,
				   enum bw_keys_message type,
				   const struct head *head,
				   struct bw_reader *reader, struct bw_time now,
				   struct bw_outbox *out)
{
	uint64_t value = bw_read_uint(reader);
	struct bw_keys_set *set =
		bw_keys_table_find(keys->owned, head->host, head->incarnation);

	if (bw_reader_status(reader) != BW_OK)
		return BW_EINVAL;
	if (!set || !set->items || set->session != head->session ||
	    packet->incarnation != set->successor_incarnation ||
	    strcmp(packet->peer, set->successor))
		return BW_ESTALE;
	if (type == BW_KEYS_COMPLETE_ACK && value) {
		if (set->committed)
			handed_over_(keys, set);
		return BW_OK;
	}
	if (!value) {
		/* The next tick but resend_ms starts a new session. */
		bw_keys_handover_restart(set);
		set->sent_ms = now.ms;
		return BW_OK;
	}
	if (value != set->chunk + 1)
		return BW_ESTALE;
	set->item = set->item_end;
	set->chunk++;
	set->sent_ms = INT64_MIN;
	progress_(keys, set, now, out);
	return BW_OK;
}

static void handed_over_(struct bw_keys *keys, struct bw_keys_set *set)
{
	struct bw_keys_event event = { .kind = BW_KEYS_EVENT_HANDED_OVER };
	GHashTableIter iter;
	gpointer item;
	struct bw_keys_record *record;

	bw_keys_handover_restart(set);
	set->state = BW_KEYS_SET_HANDED;
	g_hash_table_iter_init(&iter, set->records);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		record = item;
		if (record->in_unsent)
			g_queue_unlink(&keys->unsent, &record->unsent_link);
		record->in_unsent = false;
	}
	memcpy(event.key.owner, set->host, BW_NAME_MAX);
	event.key.incarnation = set->incarnation;
	memcpy(event.successor, set->successor, BW_NAME_MAX);
	event.successor_incarnation = set->successor_incarnation;
	bw_keys_push_event(keys, &event);
}

static bool is_from_(const struct bw_keys_set *set,
		     const struct bw_packet *packet)
{
	return set->from_incarnation == packet->incarnation &&
	       !strcmp(set->from, packet->peer);
}
