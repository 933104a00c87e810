#include "private/keys_store.h"

#include <string.h>

#define PACKET_RECORDS_MAX 256
#define TICK_RECORDS_MAX 4096 /* records examined in one tick */
/* Minimum limit of the send credit; enough for the largest response. */
#define SEND_CREDIT_LIMIT_MIN_BYTES (256 * 1024)

static enum bw_status send_copies_(struct bw_keys *keys,
				   struct bw_keys_record *const *records,
				   uint32_t count, struct bw_time now,
				   struct bw_outbox *out);
static void refill_send_credit_(struct bw_keys *keys, struct bw_time now);
static uint32_t collect_due_(struct bw_keys *keys, struct bw_time now,
			     struct bw_keys_record **records,
			     uint32_t *visits_left);
static bool is_due_(const struct bw_keys *keys,
		    const struct bw_keys_record *record, struct bw_time now);
static struct bw_keys_set *find_or_add_backup_set_(struct bw_keys *keys,
						   const char *host,
						   uint64_t incarnation,
						   int64_t wall_ms,
						   struct bw_time now);
static bool store_copy_(struct bw_keys *keys, struct bw_keys_set *set,
			const struct bw_keys_wire_record *wire);
static void receive_record_ack_(struct bw_keys *keys, struct bw_keys_set *set,
				struct bw_reader *reader);

void bw_keys_copy_enqueue(struct bw_keys *keys, struct bw_keys_record *record)
{
	if (!keys->backup[0] || record->set->state != BW_KEYS_SET_OWNED)
		return;
	record->sent_ms = INT64_MIN;
	if (record->in_unacked)
		return;
	g_queue_push_tail_link(&keys->unacked, &record->unacked_link);
	record->in_unacked = true;
}

void bw_keys_copy_send(struct bw_keys *keys, struct bw_keys_record *record,
		       struct bw_time now, struct bw_outbox *out)
{
	if (!record->in_unacked)
		return;
	refill_send_credit_(keys, now);
	/*
	 * A record without a response ignores the send rate: it is small, and
	 * the dispatch of a new run waits for its ack.
	 */
	if (record->response &&
	    keys->send_credit_bytes < bw_keys_wire_bytes(record))
		return;
	send_copies_(keys, &record, 1, now, out);
}

void bw_keys_copy_enqueue_all(struct bw_keys *keys)
{
	GHashTableIter sets;
	GHashTableIter records;
	gpointer set;
	gpointer record;
	GList *link;

	while ((link = g_queue_pop_head_link(&keys->unacked)))
		((struct bw_keys_record *)link->data)->in_unacked = false;
	g_hash_table_iter_init(&sets, keys->owned);
	while (g_hash_table_iter_next(&sets, &set, NULL)) {
		g_hash_table_iter_init(&records,
				       ((struct bw_keys_set *)set)->records);
		while (g_hash_table_iter_next(&records, &record, NULL)) {
			if (((struct bw_keys_record *)record)->state !=
			    BW_KEYS_NEW)
				bw_keys_copy_enqueue(keys, record);
		}
	}
}

void bw_keys_copy_tick(struct bw_keys *keys, struct bw_time now,
		       struct bw_outbox *out)
{
	struct bw_keys_record *records[PACKET_RECORDS_MAX];
	uint32_t visits_left = keys->unacked.length;
	uint32_t count;

	refill_send_credit_(keys, now);
	if (visits_left > TICK_RECORDS_MAX)
		visits_left = TICK_RECORDS_MAX;
	while (visits_left && keys->send_credit_bytes > 0) {
		count = collect_due_(keys, now, records, &visits_left);
		if (count &&
		    send_copies_(keys, records, count, now, out) != BW_OK)
			return;
	}
}

bool bw_keys_backup_unreachable(const struct bw_keys *keys, struct bw_time now)
{
	return !keys->backup[0] ||
	       (keys->ack_pending &&
		bw_time_diff_ms(now, keys->ack_pending_since) >=
			keys->config.backup_timeout_ms);
}

enum bw_status bw_keys_receive_copy(struct bw_keys *keys,
				    const struct bw_packet *packet,
				    struct bw_reader *reader,
				    struct bw_time now, struct bw_outbox *out)
{
	struct bw_keys_wire_record wire;
	struct bw_keys_set set_id;
	struct bw_keys_set *set;
	struct bw_buffer buffer;
	struct bw_writer writer;
	int64_t wall_ms;
	uint32_t count;
	uint32_t i;

	bw_read_name(reader, set_id.host);
	set_id.incarnation = bw_read_uint(reader);
	wall_ms = bw_keys_read_wall_ms(reader);
	count = bw_read_array(reader);
	if (bw_reader_status(reader) != BW_OK || !set_id.host[0] || !count)
		return BW_EINVAL;
	set = find_or_add_backup_set_(keys, set_id.host, set_id.incarnation,
				      wall_ms, now);
	bw_buffer_init(&buffer);
	bw_writer_init(&writer, &buffer);
	bw_keys_write_header(&writer, 1, BW_KEYS_COPY_ACK, packet->incarnation,
			     &set_id);
	bw_write_array(&writer, count);
	for (i = 0; i < count && bw_keys_read_record(reader, &wire); i++) {
		bw_write_array(&writer, 4);
		bw_write_uint(&writer, wire.key.kind);
		bw_write_bin(&writer, wire.key.id, sizeof(wire.key.id));
		bw_write_uint(&writer, wire.version);
		bw_write_bool(&writer, set && store_copy_(keys, set, &wire));
	}
	if (i == count)
		bw_keys_send(keys, packet->peer, &writer, out);
	bw_buffer_finish(&buffer);
	if (set && !g_hash_table_size(set->records))
		bw_keys_table_remove(keys, keys->backups, set);
	return i == count ? BW_OK : BW_EINVAL;
}

enum bw_status bw_keys_receive_copy_ack(struct bw_keys *keys,
					const struct bw_packet *packet,
					struct bw_reader *reader)
{
	char host[BW_NAME_MAX];
	struct bw_keys_set *set;
	uint64_t incarnation;
	uint32_t count;

	bw_read_name(reader, host);
	incarnation = bw_read_uint(reader);
	count = bw_read_array(reader);
	if (bw_reader_status(reader) != BW_OK)
		return BW_EINVAL;
	if (strcmp(packet->peer, keys->backup) ||
	    packet->incarnation != keys->backup_incarnation)
		return BW_ESTALE;
	keys->ack_pending = false;
	set = bw_keys_table_find(keys->owned, host, incarnation);
	if (!set)
		return BW_ESTALE;
	while (count-- && bw_reader_status(reader) == BW_OK)
		receive_record_ack_(keys, set, reader);
	return bw_reader_status(reader);
}

static void receive_record_ack_(struct bw_keys *keys, struct bw_keys_set *set,
				struct bw_reader *reader)
{
	struct bw_keys_record *record;
	struct bw_key key = { .kind = BW_KEYS_MINTED };
	const uint8_t *id;
	size_t size = 0;
	uint64_t version;

	bw_read_array(reader);
	key.kind = (enum bw_keys_kind)bw_read_uint(reader);
	id = bw_read_bin(reader, &size);
	version = bw_read_uint(reader);
	/* A refused copy is not sent again either: the backup has no room. */
	if (!bw_read_bool(reader))
		keys->counts.copies_refused++;
	bw_read_end(reader);
	if (bw_reader_status(reader) != BW_OK || size != BW_KEYS_ID_BYTES) {
		reader->failed = true;
		return;
	}
	memcpy(key.id, id, sizeof(key.id));
	record = bw_keys_record_find(set, &key);
	if (!record || record->version != version || !record->in_unacked)
		return;
	g_queue_unlink(&keys->unacked, &record->unacked_link);
	record->in_unacked = false;
	if (record->state_queue == &keys->waiting)
		bw_keys_make_ready(keys, record);
}

static enum bw_status send_copies_(struct bw_keys *keys,
				   struct bw_keys_record *const *records,
				   uint32_t count, struct bw_time now,
				   struct bw_outbox *out)
{
	const struct bw_keys_set *set = records[0]->set;
	struct bw_buffer buffer;
	struct bw_writer writer;
	enum bw_status status;
	uint32_t i;

	bw_buffer_init(&buffer);
	bw_writer_init(&writer, &buffer);
	bw_keys_write_header(&writer, 2, BW_KEYS_COPY, keys->backup_incarnation,
			     set);
	bw_write_int(&writer, bw_keys_owner_wall_ms(set, now));
	bw_write_array(&writer, count);
	for (i = 0; i < count; i++)
		bw_keys_write_record(&writer, records[i]);
	status = bw_keys_send(keys, keys->backup, &writer, out);
	if (status == BW_OK) {
		keys->send_credit_bytes -= (int64_t)buffer.size_bytes;
		if (!keys->ack_pending) {
			keys->ack_pending = true;
			keys->ack_pending_since = now;
		}
		for (i = 0; i < count; i++)
			records[i]->sent_ms = now.ms;
	}
	bw_buffer_finish(&buffer);
	return status;
}

static void refill_send_credit_(struct bw_keys *keys, struct bw_time now)
{
	int64_t rate = keys->config.backup_bytes_per_s;
	int64_t limit = rate > SEND_CREDIT_LIMIT_MIN_BYTES
				? rate
				: SEND_CREDIT_LIMIT_MIN_BYTES;
	int64_t elapsed_ms = bw_time_diff_ms(now, keys->credit_updated);

	if (elapsed_ms > 1000)
		elapsed_ms = 1000;
	if (elapsed_ms * rate / 1000 == 0)
		return;
	keys->credit_updated = now;
	keys->send_credit_bytes += elapsed_ms * rate / 1000;
	if (keys->send_credit_bytes > limit)
		keys->send_credit_bytes = limit;
}

/*
 * Collects due records of one set from the head of the queue. Every examined
 * record moves to the tail.
 */
static uint32_t collect_due_(struct bw_keys *keys, struct bw_time now,
			     struct bw_keys_record **records,
			     uint32_t *visits_left)
{
	struct bw_keys_record *record;
	uint32_t bytes = 0;
	uint32_t count = 0;

	while (*visits_left && count < PACKET_RECORDS_MAX &&
	       bytes < keys->config.packet_bytes &&
	       keys->send_credit_bytes > bytes) {
		record = keys->unacked.head->data;
		if (count && record->set != records[0]->set)
			break;
		(*visits_left)--;
		g_queue_unlink(&keys->unacked, &record->unacked_link);
		g_queue_push_tail_link(&keys->unacked, &record->unacked_link);
		if (!is_due_(keys, record, now))
			continue;
		records[count++] = record;
		bytes += bw_keys_wire_bytes(record);
	}
	return count;
}

static bool is_due_(const struct bw_keys *keys,
		    const struct bw_keys_record *record, struct bw_time now)
{
	return record->sent_ms == INT64_MIN ||
	       now.ms - record->sent_ms >= keys->config.resend_ms;
}

/*
 * Finds or adds the backup set. Returns NULL if this host is or was itself the
 * owner, because a late copy must not change its own records.
 */
static struct bw_keys_set *find_or_add_backup_set_(struct bw_keys *keys,
						   const char *host,
						   uint64_t incarnation,
						   int64_t wall_ms,
						   struct bw_time now)
{
	struct bw_keys_set *set =
		bw_keys_table_find(keys->owned, host, incarnation);
	int64_t offset_ms = wall_ms - now.ms;

	if (set && set->state != BW_KEYS_SET_INCOMING)
		return NULL;
	set = bw_keys_table_find(keys->backups, host, incarnation);
	if (!set) {
		set = bw_keys_table_add(keys->backups, &keys->backup_pool, host,
					incarnation, BW_KEYS_SET_BACKUP);
		if (set)
			set->wall_offset_ms = offset_ms;
		return set;
	}
	/* The packet with the least delay gives the best clock estimate. */
	if (offset_ms > set->wall_offset_ms)
		set->wall_offset_ms = offset_ms;
	return set;
}

static bool store_copy_(struct bw_keys *keys, struct bw_keys_set *set,
			const struct bw_keys_wire_record *wire)
{
	struct bw_keys_record *record = bw_keys_record_find(set, &wire->key);

	if (!record) {
		if (g_hash_table_size(set->records) <
		    keys->config.backup_records_per_owner_max)
			record = bw_keys_record_add(keys, set, &wire->key);
		if (!record) {
			keys->counts.backup_refused++;
			return false;
		}
		bw_keys_wheel_insert(keys, record);
	}
	if (wire->version > record->version)
		bw_keys_record_update(keys, record, wire);
	return true;
}
