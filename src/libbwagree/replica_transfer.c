#include <string.h>

#include <zlib.h>

#include "private/replica.h"

/* Maximum size of a received snapshot. */
#define SNAPSHOT_MAX_BYTES (256u * 1024 * 1024)

/** Fields of a received snapshot chunk. */
struct chunk {
	uint64_t index;
	uint64_t term;
	uint64_t total_bytes;
	uint32_t crc; /**< of the whole payload */
	uint64_t offset;
	int64_t sent_ms;
	const uint8_t *bytes;
	size_t size_bytes;
};

static bool load_outgoing_(struct bw_replica *replica, bool in_progress);
static bool others_in_transfer_(const struct bw_replica *replica,
				uint32_t slot);
static void send_reply_(struct bw_replica *replica,
			const struct replica_header *header,
			const struct chunk *chunk, uint64_t offset);
static bool read_chunk_(struct bw_reader *reader, struct chunk *chunk);
static bool append_chunk_(struct bw_replica *replica,
			  const struct chunk *chunk);
static bool install_snapshot_(struct bw_replica *replica);
static enum bw_status replace_log_(struct bw_replica *replica);

void replica_send_snapshot(struct bw_replica *replica, uint32_t slot)
{
	const struct bw_group_member *member = &replica->group.members[slot];
	struct replica_peer *peer = &replica->peers[slot];
	struct bw_snapshot *snapshot = &replica->outgoing;
	struct bw_buffer buffer;
	struct bw_writer writer;
	size_t size_bytes;

	if (!load_outgoing_(replica, peer->in_snapshot))
		return;
	if (!peer->in_snapshot ||
	    peer->snapshot_offset > snapshot->payload.size_bytes)
		peer->snapshot_offset = 0;
	peer->in_snapshot = true;
	size_bytes = snapshot->payload.size_bytes - peer->snapshot_offset;
	if (size_bytes > REPLICA_CHUNK_BYTES)
		size_bytes = REPLICA_CHUNK_BYTES;
	replica_write_header(replica, &buffer, &writer, REPLICA_SNAPSHOT,
			     member->disk_incarnation, 7);
	bw_write_uint(&writer, snapshot->index);
	bw_write_uint(&writer, snapshot->term);
	bw_write_uint(&writer, snapshot->payload.size_bytes);
	bw_write_uint(&writer, crc32_z(0, snapshot->payload.data,
				       snapshot->payload.size_bytes));
	bw_write_uint(&writer, peer->snapshot_offset);
	bw_write_int(&writer, replica->now_ms);
	bw_write_bin(&writer, snapshot->payload.data + peer->snapshot_offset,
		     size_bytes);
	replica_send(replica, member->host, &buffer, &writer);
}

void replica_receive_snapshot(struct bw_replica *replica,
			      const struct replica_header *header,
			      struct bw_reader *reader)
{
	struct chunk chunk;

	if (!read_chunk_(reader, &chunk))
		return;
	if (header->term < replica->meta.term) {
		send_reply_(replica, header, &chunk, 0);
		return;
	}
	replica_follow(replica, header->term, header->peer);
	if (replica->role == BW_REPLICA_FAILED)
		return;
	if (chunk.index <= replica->commit_index) {
		send_reply_(replica, header, &chunk, chunk.total_bytes);
		return;
	}
	if (!append_chunk_(replica, &chunk))
		return;
	if (replica->incoming.payload.size_bytes < chunk.total_bytes) {
		send_reply_(replica, header, &chunk,
			    replica->incoming.payload.size_bytes);
		return;
	}
	if ((uint32_t)crc32_z(0, replica->incoming.payload.data,
			      chunk.total_bytes) != chunk.crc) {
		bw_snapshot_finish(&replica->incoming);
		send_reply_(replica, header, &chunk, 0);
		return;
	}
	if (install_snapshot_(replica))
		send_reply_(replica, header, &chunk, chunk.total_bytes);
}

void replica_receive_snapshot_reply(struct bw_replica *replica,
				    const struct replica_header *header,
				    struct bw_reader *reader)
{
	uint64_t index = bw_read_uint(reader);
	uint64_t offset = bw_read_uint(reader);
	int64_t sent_ms = bw_read_int(reader);
	int slot =
		replica_find_member(replica, header->peer, header->from_disk);
	struct replica_peer *peer;
	bool progress;

	if (reader->failed || slot < 0 || replica->role != BW_REPLICA_LEADER ||
	    header->term != replica->meta.term)
		return;
	peer = &replica->peers[slot];
	if (sent_ms > peer->ack_ms && sent_ms <= replica->now_ms)
		peer->ack_ms = sent_ms;
	peer->progress_ms = replica->now_ms;
	if (!peer->in_snapshot || index != replica->outgoing.index)
		return;
	if (offset < replica->outgoing.payload.size_bytes) {
		/*
		 * Only progress triggers the next chunk at once; a restart
		 * waits for the heartbeat, so that duplicate replies do not
		 * multiply packets.
		 */
		progress = offset > peer->snapshot_offset;
		peer->snapshot_offset = offset;
		if (progress)
			replica_send_snapshot(replica, (uint32_t)slot);
		return;
	}
	peer->in_snapshot = false;
	if (!others_in_transfer_(replica, (uint32_t)slot))
		bw_snapshot_finish(&replica->outgoing);
	if (index > peer->match_index)
		peer->match_index = index;
	peer->next_index = peer->match_index + 1;
	peer->in_flight = 0;
	replica_advance_commit(replica);
	if (replica->role == BW_REPLICA_LEADER)
		replica_send_append(replica, (uint32_t)slot, false);
}

/*
 * A transfer in progress keeps its snapshot. A new one loads the newest, as the
 * log may no longer contain the entries after an older one; the other transfers
 * restart with it.
 */
static bool load_outgoing_(struct bw_replica *replica, bool in_progress)
{
	enum bw_status status;
	uint32_t i;

	if (replica->outgoing.index &&
	    (in_progress || replica->outgoing.index == replica->snapshot_index))
		return true;
	status = bw_snapshot_load(replica->storage, &replica->outgoing);
	for (i = 0; i < replica->group.count; i++)
		replica->peers[i].snapshot_offset = 0;
	if (status == BW_OK && replica->outgoing.index)
		return true;
	replica_fail(replica, status == BW_OK ? BW_ENOTFOUND : status);
	return false;
}

static bool others_in_transfer_(const struct bw_replica *replica, uint32_t slot)
{
	uint32_t i;

	for (i = 0; i < replica->group.count; i++) {
		if (i != slot && replica->peers[i].in_snapshot)
			return true;
	}
	return false;
}

static void send_reply_(struct bw_replica *replica,
			const struct replica_header *header,
			const struct chunk *chunk, uint64_t offset)
{
	struct bw_buffer buffer;
	struct bw_writer writer;

	replica_write_header(replica, &buffer, &writer, REPLICA_SNAPSHOT_REPLY,
			     header->from_disk, 3);
	bw_write_uint(&writer, chunk->index);
	bw_write_uint(&writer, offset);
	bw_write_int(&writer, chunk->sent_ms);
	replica_send(replica, header->peer, &buffer, &writer);
}

static bool read_chunk_(struct bw_reader *reader, struct chunk *chunk)
{
	chunk->index = bw_read_uint(reader);
	chunk->term = bw_read_uint(reader);
	chunk->total_bytes = bw_read_uint(reader);
	chunk->crc = (uint32_t)bw_read_uint(reader);
	chunk->offset = bw_read_uint(reader);
	chunk->sent_ms = bw_read_int(reader);
	chunk->bytes = bw_read_bin(reader, &chunk->size_bytes);
	return !reader->failed && chunk->index && chunk->size_bytes &&
	       chunk->total_bytes <= SNAPSHOT_MAX_BYTES &&
	       chunk->offset <= chunk->total_bytes &&
	       chunk->size_bytes <= chunk->total_bytes - chunk->offset;
}

/* Appends a chunk if it is the next one; others are ignored. */
static bool append_chunk_(struct bw_replica *replica, const struct chunk *chunk)
{
	struct bw_snapshot *incoming = &replica->incoming;
	enum bw_status status;

	if (incoming->index != chunk->index || incoming->term != chunk->term ||
	    replica->incoming_total_bytes != chunk->total_bytes) {
		bw_snapshot_finish(incoming);
		incoming->index = chunk->index;
		incoming->term = chunk->term;
		replica->incoming_total_bytes = chunk->total_bytes;
	}
	if (chunk->offset != incoming->payload.size_bytes)
		return true;
	status = bw_buffer_append(&incoming->payload, chunk->bytes,
				  chunk->size_bytes);
	if (status != BW_OK)
		replica_fail(replica, status);
	return status == BW_OK;
}

static bool install_snapshot_(struct bw_replica *replica)
{
	struct bw_replica_event event = {
		.kind = BW_REPLICA_SNAPSHOT_INSTALLED,
		.index = replica->incoming.index,
	};
	enum bw_status status =
		bw_snapshot_save(replica->storage, &replica->incoming);

	if (status == BW_OK)
		status = replace_log_(replica);
	if (status == BW_OK)
		status = bw_state_restore(&replica->state,
					  replica->incoming.payload.data,
					  replica->incoming.payload.size_bytes);
	if (status != BW_OK) {
		replica_fail(replica, status);
		return false;
	}
	replica->snapshot_index = replica->incoming.index;
	replica->snapshot_term = replica->incoming.term;
	replica->snapshot_bytes = replica->incoming.payload.size_bytes;
	replica->bytes_since_snapshot = 0;
	replica->commit_index = replica->incoming.index;
	bw_snapshot_finish(&replica->incoming);
	replica->snapshots_installed++;
	replica_find_group(replica);
	replica_queue_event(replica, &event);
	replica_join_group(replica);
	return replica->role != BW_REPLICA_FAILED;
}

/* Keeps the log entries after the snapshot if the log matches it. */
static enum bw_status replace_log_(struct bw_replica *replica)
{
	const struct bw_snapshot *incoming = &replica->incoming;
	const struct bw_wal_entry *entry =
		bw_wal_entry(&replica->wal, incoming->index);

	if (entry && entry->term == incoming->term)
		return bw_wal_compact(&replica->wal, incoming->index);
	return bw_wal_reset(&replica->wal, incoming->index + 1);
}
