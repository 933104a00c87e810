#include <string.h>

#include "private/replica.h"

/** Fields of a received append packet before its entries. */
struct append {
	uint64_t prev_index;
	uint64_t prev_term;
	uint64_t commit_index;
	int64_t sent_ms;
};

static void write_append_(struct bw_replica *replica, uint32_t slot,
			  uint64_t last_index);
static uint64_t batch_end_(const struct bw_replica *replica, uint64_t from);
static void send_commit_(struct bw_replica *replica);
static void send_reply_(struct bw_replica *replica,
			const struct replica_header *header, bool success,
			uint64_t index, const struct append *append);
static bool handle_rejection_(struct replica_peer *peer, uint64_t prev_index,
			      uint64_t conflict_hint);
static bool log_matches_(const struct bw_replica *replica,
			 const struct append *append, uint64_t *conflict_hint);
static bool store_entries_(struct bw_replica *replica, struct bw_reader *reader,
			   uint64_t index, uint64_t *last_index);
static bool store_entry_(struct bw_replica *replica, uint64_t index,
			 uint64_t term, const uint8_t *data, size_t size_bytes);
static bool truncate_log_(struct bw_replica *replica, uint64_t index);
static void adopt_group_(struct bw_replica *replica, uint64_t index,
			 const uint8_t *data, size_t size_bytes);
static void advance_follower_commit_(struct bw_replica *replica,
				     uint64_t leader_index,
				     uint64_t last_index);

void replica_become_leader(struct bw_replica *replica)
{
	struct bw_buffer command;
	uint32_t i;

	bw_buffer_init(&command);
	for (i = 0; i < replica->group.count; i++) {
		struct replica_peer *peer = &replica->peers[i];

		memset(peer, 0, sizeof(*peer));
		peer->next_index = bw_wal_last_index(&replica->wal) + 1;
		peer->probing = true;
		peer->ack_ms = REPLICA_NEVER_MS;
		peer->progress_ms = replica->now_ms;
	}
	replica_reset_contacts(replica);
	replica->leader_since_ms = replica->now_ms;
	replica->heartbeat_due_ms = replica->now_ms + replica->heartbeat_ms;
	replica->term_start_index = bw_wal_last_index(&replica->wal) + 1;
	bw_name_set(replica->leader, replica->host);
	if (bw_command_none(&command) != BW_OK ||
	    replica_append_own(replica, command.data, command.size_bytes) !=
		    BW_OK)
		replica_fail(replica, BW_ENOMEM);
	bw_buffer_finish(&command);
	replica_send_append_all(replica, true);
	replica_advance_commit(replica);
}

enum bw_status replica_append_own(struct bw_replica *replica,
				  const uint8_t *data, size_t size_bytes)
{
	enum bw_status status = bw_wal_append(&replica->wal, replica->meta.term,
					      data, size_bytes);

	if (status == BW_OK)
		adopt_group_(replica, bw_wal_last_index(&replica->wal), data,
			     size_bytes);
	return status;
}

void replica_send_append_all(struct bw_replica *replica, bool heartbeat)
{
	uint32_t i;

	if (replica->role != BW_REPLICA_LEADER)
		return;
	for (i = 0; i < replica->group.count; i++) {
		const struct bw_group_member *member =
			&replica->group.members[i];

		if (member->kind != BW_MEMBER_PENDING &&
		    member->disk_incarnation != replica->meta.disk_incarnation)
			replica_send_append(replica, i, heartbeat);
	}
	replica->sent_commit_index = replica->commit_index;
}

void replica_send_append(struct bw_replica *replica, uint32_t slot,
			 bool heartbeat)
{
	struct replica_peer *peer = &replica->peers[slot];
	uint64_t last = bw_wal_last_index(&replica->wal);
	bool known;

	if (heartbeat && peer->in_flight &&
	    replica->now_ms - peer->progress_ms >= 2 * replica->heartbeat_ms) {
		/* No acknowledgement: resend from the last matching entry. */
		peer->next_index = peer->match_index + 1;
		peer->in_flight = 0;
		peer->probing = true;
		peer->progress_ms = replica->now_ms;
	}
	replica_term_at(replica, peer->next_index - 1, &known);
	if (peer->in_snapshot || !known) {
		if (heartbeat || !peer->in_snapshot)
			replica_send_snapshot(replica, slot);
		return;
	}
	while (peer->next_index <= last &&
	       peer->in_flight < (peer->probing ? 1 : REPLICA_IN_FLIGHT_MAX)) {
		uint64_t end = batch_end_(replica, peer->next_index);

		write_append_(replica, slot, end);
		if (!peer->in_flight++)
			peer->progress_ms = replica->now_ms;
		if (!peer->probing)
			peer->next_index = end + 1;
		heartbeat = false;
	}
	if (heartbeat)
		write_append_(replica, slot, peer->next_index - 1);
}

void replica_advance_commit(struct bw_replica *replica)
{
	uint64_t index = bw_wal_last_index(&replica->wal);
	uint32_t quorum_size = replica_voter_count(replica) / 2 + 1;
	bool known;

	if (replica->role != BW_REPLICA_LEADER)
		return;
	for (; index > replica->commit_index; index--) {
		uint32_t stored_count = 0;
		uint32_t i;

		/* Raft: earlier terms commit only with an entry of this term.
		 */
		if (replica_term_at(replica, index, &known) !=
		    replica->meta.term)
			return;
		for (i = 0; i < replica->group.count; i++) {
			const struct bw_group_member *member =
				&replica->group.members[i];
			uint64_t match = replica->peers[i].match_index;

			if (member->disk_incarnation ==
			    replica->meta.disk_incarnation)
				match = replica->wal.synced_index;
			stored_count += member->kind == BW_MEMBER_VOTER &&
					match >= index;
		}
		if (stored_count >= quorum_size)
			break;
	}
	if (index <= replica->commit_index)
		return;
	replica->commit_index = index;
	replica->current = true;
	replica_apply(replica);
	if (replica->role == BW_REPLICA_LEADER && !replica_is_voter(replica) &&
	    replica->group_index <= replica->commit_index) {
		send_commit_(replica);
		replica_handle_event(replica, REPLICA_STEP_DOWN);
	}
}

void replica_receive_append(struct bw_replica *replica,
			    const struct replica_header *header,
			    struct bw_reader *reader)
{
	struct append append;
	uint64_t last_index = 0;
	uint64_t conflict_hint = 0;

	append.prev_index = bw_read_uint(reader);
	append.prev_term = bw_read_uint(reader);
	append.commit_index = bw_read_uint(reader);
	append.sent_ms = bw_read_int(reader);
	if (reader->failed)
		return;
	if (header->term < replica->meta.term) {
		send_reply_(replica, header, false, 0, &append);
		return;
	}
	replica_follow(replica, header->term, header->peer);
	if (replica->role == BW_REPLICA_FAILED)
		return;
	if (!log_matches_(replica, &append, &conflict_hint)) {
		send_reply_(replica, header, false, conflict_hint, &append);
		return;
	}
	if (!store_entries_(replica, reader, append.prev_index + 1,
			    &last_index) ||
	    !replica_sync_log(replica))
		return;
	if (last_index)
		replica_join_group(replica);
	advance_follower_commit_(replica, append.commit_index, last_index);
	send_reply_(replica, header, true, last_index, &append);
}

void replica_receive_append_reply(struct bw_replica *replica,
				  const struct replica_header *header,
				  struct bw_reader *reader)
{
	bool success = bw_read_bool(reader);
	uint64_t index = bw_read_uint(reader);
	uint64_t prev_index = bw_read_uint(reader);
	int64_t sent_ms = bw_read_int(reader);
	int slot =
		replica_find_member(replica, header->peer, header->from_disk);
	struct replica_peer *peer;

	if (reader->failed || slot < 0 || replica->role != BW_REPLICA_LEADER ||
	    header->term != replica->meta.term)
		return;
	peer = &replica->peers[slot];
	if (sent_ms > peer->ack_ms && sent_ms <= replica->now_ms)
		peer->ack_ms = sent_ms;
	peer->progress_ms = replica->now_ms;
	if (!success) {
		if (handle_rejection_(peer, prev_index, index))
			replica_send_append(replica, (uint32_t)slot, true);
		return;
	}
	if (index > bw_wal_last_index(&replica->wal))
		return;
	peer->probing = false;
	if (peer->in_flight)
		peer->in_flight--;
	if (index > peer->match_index)
		peer->match_index = index;
	if (peer->next_index <= peer->match_index)
		peer->next_index = peer->match_index + 1;
	replica_advance_commit(replica);
	if (replica->role == BW_REPLICA_LEADER)
		replica_send_append(replica, (uint32_t)slot, false);
}

void replica_join_group(struct bw_replica *replica)
{
	replica->removed = false;
	if (replica->role != BW_REPLICA_UNINITIALISED)
		return;
	replica->meta.group_id = replica->group_id;
	if (replica_meta_save(replica))
		replica_handle_event(replica, REPLICA_INITIALISED);
}

/* Sends the entries from next_index to last_index; there may be none. */
static void write_append_(struct bw_replica *replica, uint32_t slot,
			  uint64_t last_index)
{
	const struct bw_group_member *member = &replica->group.members[slot];
	uint64_t index = replica->peers[slot].next_index;
	struct bw_buffer buffer;
	struct bw_writer writer;
	bool known;

	replica_write_header(replica, &buffer, &writer, REPLICA_APPEND,
			     member->disk_incarnation, 5);
	bw_write_uint(&writer, index - 1);
	bw_write_uint(&writer, replica_term_at(replica, index - 1, &known));
	bw_write_uint(&writer, replica->commit_index);
	bw_write_int(&writer, replica->now_ms);
	bw_write_array(&writer, (uint32_t)(last_index + 1 - index));
	for (; index <= last_index; index++) {
		const struct bw_wal_entry *entry =
			bw_wal_entry(&replica->wal, index);

		bw_write_array(&writer, 2);
		bw_write_uint(&writer, entry->term);
		bw_write_bin(&writer, entry->data, entry->size_bytes);
	}
	replica_send(replica, member->host, &buffer, &writer);
}

/* Returns the last index that fits in one packet; at least from. */
static uint64_t batch_end_(const struct bw_replica *replica, uint64_t from)
{
	uint64_t last = bw_wal_last_index(&replica->wal);
	uint64_t bytes = bw_wal_entry(&replica->wal, from)->size_bytes;

	while (from < last) {
		bytes += bw_wal_entry(&replica->wal, from + 1)->size_bytes +
			 BW_WAL_HEADER_BYTES;
		if (bytes > REPLICA_CHUNK_BYTES)
			break;
		from++;
	}
	return from;
}

/* Sends the followers the commit index of the leader's own removal. */
static void send_commit_(struct bw_replica *replica)
{
	replica_send_append_all(replica, true);
}

static void send_reply_(struct bw_replica *replica,
			const struct replica_header *header, bool success,
			uint64_t index, const struct append *append)
{
	struct bw_buffer buffer;
	struct bw_writer writer;

	replica_write_header(replica, &buffer, &writer, REPLICA_APPEND_REPLY,
			     header->from_disk, 4);
	bw_write_bool(&writer, success);
	bw_write_uint(&writer, index);
	bw_write_uint(&writer, append->prev_index);
	bw_write_int(&writer, append->sent_ms);
	replica_send(replica, header->peer, &buffer, &writer);
}

/*
 * Moves next_index back after a rejected append. A rejection that is older than
 * the peer state is ignored: a resend for each delayed rejection would multiply
 * packets without end.
 */
static bool handle_rejection_(struct replica_peer *peer, uint64_t prev_index,
			      uint64_t conflict_hint)
{
	if (prev_index <= peer->match_index || prev_index >= peer->next_index ||
	    (peer->probing && prev_index + 1 != peer->next_index))
		return false;
	peer->next_index =
		(conflict_hint < prev_index ? conflict_hint : prev_index - 1) +
		1;
	if (peer->next_index <= peer->match_index)
		peer->next_index = peer->match_index + 1;
	peer->probing = true;
	peer->in_flight = 0;
	return true;
}

/*
 * Returns whether the entry before the new ones matches the leader's log;
 * committed entries always do. conflict_hint receives the last index that may
 * match.
 */
static bool log_matches_(const struct bw_replica *replica,
			 const struct append *append, uint64_t *conflict_hint)
{
	uint64_t last = bw_wal_last_index(&replica->wal);
	uint64_t index = append->prev_index;
	uint64_t term;
	bool known;

	if (index <= replica->commit_index)
		return true;
	if (index > last) {
		*conflict_hint = last;
		return false;
	}
	term = replica_term_at(replica, index, &known);
	if (term == append->prev_term)
		return true;
	/* Skip all entries of the conflicting term. */
	while (index > replica->commit_index &&
	       replica_term_at(replica, index, &known) == term)
		index--;
	*conflict_hint = index;
	return false;
}

static bool store_entries_(struct bw_replica *replica, struct bw_reader *reader,
			   uint64_t index, uint64_t *last_index)
{
	uint32_t count = bw_read_array(reader);
	size_t size_bytes;

	for (; count && !reader->failed; count--, index++) {
		uint64_t term;
		const uint8_t *data;

		bw_read_array(reader);
		term = bw_read_uint(reader);
		data = bw_read_bin(reader, &size_bytes);
		bw_read_end(reader);
		if (!reader->failed &&
		    !store_entry_(replica, index, term, data, size_bytes))
			return false;
	}
	*last_index = index - 1;
	return !reader->failed;
}

static bool store_entry_(struct bw_replica *replica, uint64_t index,
			 uint64_t term, const uint8_t *data, size_t size_bytes)
{
	enum bw_status status;
	bool known;

	if (index <= replica->commit_index)
		return true;
	if (index <= bw_wal_last_index(&replica->wal)) {
		if (replica_term_at(replica, index, &known) == term)
			return true;
		if (!truncate_log_(replica, index))
			return false;
	}
	status = bw_wal_append(&replica->wal, term, data, size_bytes);
	if (status == BW_EINVAL)
		return false;
	if (status != BW_OK) {
		replica_fail(replica, status);
		return false;
	}
	adopt_group_(replica, index, data, size_bytes);
	return true;
}

static bool truncate_log_(struct bw_replica *replica, uint64_t index)
{
	enum bw_status status = bw_wal_truncate(&replica->wal, index);

	if (status != BW_OK) {
		replica_fail(replica, status);
		return false;
	}
	if (replica->group_index >= index)
		replica_find_group(replica);
	return true;
}

/* A configuration is active once appended, before it is committed. */
static void adopt_group_(struct bw_replica *replica, uint64_t index,
			 const uint8_t *data, size_t size_bytes)
{
	struct bw_group group;

	if (bw_command_kind(data, size_bytes) == BW_COMMAND_GROUP &&
	    bw_command_read_group(data, size_bytes, &group) == BW_OK)
		replica_set_group(replica, &group, index);
}

/*
 * The leader's commit index covers all entries committed in earlier terms only
 * after it has committed an entry of its own term.
 */
static void advance_follower_commit_(struct bw_replica *replica,
				     uint64_t leader_index, uint64_t last_index)
{
	uint64_t index = leader_index < last_index ? leader_index : last_index;
	bool known;

	if (index > replica->commit_index) {
		replica->commit_index = index;
		replica_apply(replica);
	}
	if (leader_index <= replica->commit_index &&
	    replica_term_at(replica, leader_index, &known) ==
		    replica->meta.term)
		replica->current = true;
}
