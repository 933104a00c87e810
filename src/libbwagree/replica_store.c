#include <stdio.h>
#include <string.h>

#include <zlib.h>

#include "private/bytes.h"
#include "private/replica.h"

#define META_FILE "meta"
#define META_MAGIC 0x316d5742u /* "BWm1" */
#define META_BYTES 40

/* Minimum ratio of log size to snapshot size for a compaction. */
#define COMPACT_FACTOR 4

static bool has_log_or_snapshot_(struct bw_storage *storage);
static enum bw_status open_meta_(struct bw_replica *replica, char *error);
static enum bw_status discard_uninitialised_(struct bw_replica *replica);
static enum bw_status open_snapshot_(struct bw_replica *replica, char *error);
static void record_applied_(struct bw_replica *replica, uint64_t index,
			    const struct bw_wal_entry *entry,
			    const struct bw_outcome *outcome);
static void compact_log_(struct bw_replica *replica);

enum bw_status replica_meta_load(struct bw_storage *storage,
				 struct replica_meta *meta)
{
	struct bw_buffer file;
	enum bw_status status;

	memset(meta, 0, sizeof(*meta));
	bw_buffer_init(&file);
	status = bw_storage_read(storage, META_FILE, &file);
	if (status == BW_OK &&
	    (file.size_bytes != META_BYTES ||
	     bytes_get32(file.data) != META_MAGIC ||
	     bytes_get32(file.data + 4) !=
		     (uint32_t)crc32_z(0, file.data + 8, META_BYTES - 8)))
		status = BW_ECORRUPT;
	if (status == BW_OK) {
		meta->disk_incarnation = bytes_get64(file.data + 8);
		meta->group_id = bytes_get64(file.data + 16);
		meta->term = bytes_get64(file.data + 24);
		meta->voted_for = bytes_get64(file.data + 32);
	}
	bw_buffer_finish(&file);
	return status;
}

bool replica_meta_save(struct bw_replica *replica)
{
	uint8_t file[META_BYTES];
	enum bw_status status;

	bytes_put32(file, META_MAGIC);
	bytes_put64(file + 8, replica->meta.disk_incarnation);
	bytes_put64(file + 16, replica->meta.group_id);
	bytes_put64(file + 24, replica->meta.term);
	bytes_put64(file + 32, replica->meta.voted_for);
	bytes_put32(file + 4, (uint32_t)crc32_z(0, file + 8, META_BYTES - 8));
	status = bw_storage_replace(replica->storage, META_FILE, file,
				    sizeof(file));
	if (status != BW_OK)
		replica_fail(replica, status);
	return status == BW_OK;
}

enum bw_status replica_open(struct bw_replica *replica,
			    const struct bw_replica_config *config,
			    bool after_failure, char *error)
{
	uint32_t segment_bytes = config->segment_bytes ? config->segment_bytes
						       : BW_WAL_SEGMENT_BYTES;
	enum bw_status status;

	status = open_meta_(replica, error);
	if (status == BW_OK && after_failure && !replica_meta_save(replica))
		status = BW_EIO;
	if (status == BW_OK && !replica->meta.group_id)
		status = discard_uninitialised_(replica);
	if (status == BW_OK)
		status = open_snapshot_(replica, error);
	if (status != BW_OK)
		return status;
	status = bw_wal_open(&replica->wal, replica->storage,
			     replica->snapshot_index, replica->snapshot_term,
			     segment_bytes);
	if (status == BW_ECORRUPT)
		snprintf(error, BW_WAL_ERROR_BYTES, "%s", replica->wal.error);
	if (status == BW_OK && after_failure)
		status = bw_wal_rewrite_last(&replica->wal);
	if (status != BW_OK)
		return status;
	replica->group_id = replica->meta.group_id;
	replica->commit_index = replica->snapshot_index;
	replica_find_group(replica);
	return BW_OK;
}

uint64_t replica_term_at(const struct bw_replica *replica, uint64_t index,
			 bool *known)
{
	const struct bw_wal_entry *entry = bw_wal_entry(&replica->wal, index);

	*known = true;
	if (entry)
		return entry->term;
	if (index == replica->snapshot_index)
		return replica->snapshot_term;
	*known = false;
	return 0;
}

void replica_apply(struct bw_replica *replica)
{
	struct bw_outcome outcome;

	while (replica->state.applied_index < replica->commit_index &&
	       replica->role != BW_REPLICA_FAILED) {
		uint64_t index = replica->state.applied_index + 1;
		const struct bw_wal_entry *entry =
			bw_wal_entry(&replica->wal, index);
		enum bw_status status =
			bw_state_apply(&replica->state, index, entry->data,
				       entry->size_bytes, &outcome);

		if (status != BW_OK) {
			replica_fail(replica, status);
			return;
		}
		record_applied_(replica, index, entry, &outcome);
	}
}

void replica_compact(struct bw_replica *replica)
{
	if (replica->bytes_since_snapshot > replica->compact_bytes &&
	    replica->bytes_since_snapshot >
		    COMPACT_FACTOR * replica->snapshot_bytes)
		compact_log_(replica);
}

void replica_find_group(struct bw_replica *replica)
{
	uint64_t index = bw_wal_last_index(&replica->wal);
	struct bw_group group;

	for (; index > replica->state.applied_index; index--) {
		const struct bw_wal_entry *entry =
			bw_wal_entry(&replica->wal, index);

		if (bw_command_kind(entry->data, entry->size_bytes) ==
			    BW_COMMAND_GROUP &&
		    bw_command_read_group(entry->data, entry->size_bytes,
					  &group) == BW_OK) {
			replica_set_group(replica, &group, index);
			return;
		}
	}
	replica_set_group(replica, &replica->state.group, 0);
}

void replica_set_group(struct bw_replica *replica, const struct bw_group *group,
		       uint64_t index)
{
	struct replica_peer peers[BW_GROUP_MAX] = { { .next_index = 0 } };
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		int old_slot =
			replica_find_member(replica, group->members[i].host,
					    group->members[i].disk_incarnation);

		if (old_slot >= 0) {
			peers[i] = replica->peers[old_slot];
			continue;
		}
		peers[i].next_index = bw_wal_last_index(&replica->wal) + 1;
		peers[i].probing = true;
		peers[i].ack_ms = REPLICA_NEVER_MS;
		peers[i].progress_ms = replica->now_ms;
	}
	memcpy(replica->peers, peers, sizeof(peers));
	replica->group = *group;
	replica->group_index = index;
}

bool replica_sync_log(struct bw_replica *replica)
{
	enum bw_status status = bw_wal_sync(&replica->wal);

	if (status != BW_OK)
		replica_fail(replica, status);
	return status == BW_OK;
}

static bool has_log_or_snapshot_(struct bw_storage *storage)
{
	struct bw_storage_names names;
	bool found = false;
	uint32_t i;

	if (bw_storage_list(storage, &names) != BW_OK)
		return true;
	for (i = 0; i < names.count; i++) {
		found = found || !strncmp(names.names[i], "wal-", 4) ||
			!strcmp(names.names[i], BW_SNAPSHOT_FILE);
	}
	bw_storage_names_finish(&names);
	return found;
}

/* Loads meta. An empty disk gets an incarnation before the first packet. */
static enum bw_status open_meta_(struct bw_replica *replica, char *error)
{
	enum bw_status status =
		replica_meta_load(replica->storage, &replica->meta);

	if (status == BW_ENOTFOUND) {
		/* Without the recorded vote, the disk could vote twice. */
		if (has_log_or_snapshot_(replica->storage)) {
			snprintf(error, BW_WAL_ERROR_BYTES,
				 "meta: missing beside a log or snapshot");
			return BW_ECORRUPT;
		}
		while (!replica->meta.disk_incarnation)
			replica->meta.disk_incarnation =
				bw_random_next(&replica->random);
		return replica_meta_save(replica) ? BW_OK : BW_EIO;
	}
	if (status == BW_ECORRUPT)
		snprintf(error, BW_WAL_ERROR_BYTES, "meta: checksum mismatch");
	return status;
}

/*
 * Removes log and snapshot of a disk without a group id. A crash between the
 * writes of the first entry and the group id leaves entries that were never
 * acknowledged.
 */
static enum bw_status discard_uninitialised_(struct bw_replica *replica)
{
	struct bw_storage_names names;
	enum bw_status status = bw_storage_list(replica->storage, &names);
	uint32_t i;

	if (status != BW_OK)
		return status;
	for (i = 0; i < names.count && status == BW_OK; i++) {
		if (!strncmp(names.names[i], "wal-", 4) ||
		    !strcmp(names.names[i], BW_SNAPSHOT_FILE))
			status = bw_storage_remove(replica->storage,
						   names.names[i]);
	}
	bw_storage_names_finish(&names);
	return status == BW_OK ? bw_storage_sync_folder(replica->storage)
			       : status;
}

static enum bw_status open_snapshot_(struct bw_replica *replica, char *error)
{
	struct bw_snapshot snapshot;
	enum bw_status status;

	bw_snapshot_init(&snapshot);
	status = bw_snapshot_load(replica->storage, &snapshot);
	if (status == BW_OK && snapshot.index &&
	    bw_state_restore(&replica->state, snapshot.payload.data,
			     snapshot.payload.size_bytes) != BW_OK)
		status = BW_ECORRUPT;
	if (status == BW_ECORRUPT)
		snprintf(error, BW_WAL_ERROR_BYTES, "snapshot: damaged");
	replica->snapshot_index = snapshot.index;
	replica->snapshot_term = snapshot.term;
	replica->snapshot_bytes = snapshot.payload.size_bytes;
	bw_snapshot_finish(&snapshot);
	return status;
}

static void record_applied_(struct bw_replica *replica, uint64_t index,
			    const struct bw_wal_entry *entry,
			    const struct bw_outcome *outcome)
{
	struct bw_replica_event event = { .kind = BW_REPLICA_APPLIED };

	event.index = index;
	event.term = entry->term;
	event.command = bw_command_kind(entry->data, entry->size_bytes);
	event.outcome = *outcome;
	replica->bytes_since_snapshot +=
		BW_WAL_HEADER_BYTES + entry->size_bytes;
	replica_queue_event(replica, &event);
	if (outcome->kind != BW_OUTCOME_GROUP_CHANGED)
		return;
	event.kind = BW_REPLICA_MEMBER_CHANGED;
	replica_queue_event(replica, &event);
}

static void compact_log_(struct bw_replica *replica)
{
	struct bw_snapshot snapshot;
	enum bw_status status;
	bool known;

	bw_snapshot_init(&snapshot);
	snapshot.index = replica->state.applied_index;
	snapshot.term = replica_term_at(replica, snapshot.index, &known);
	status = bw_state_save(&replica->state, &snapshot.payload);
	if (status == BW_OK)
		status = bw_snapshot_save(replica->storage, &snapshot);
	if (status == BW_OK)
		status = bw_wal_compact(&replica->wal, snapshot.index);
	replica->snapshot_index = snapshot.index;
	replica->snapshot_term = snapshot.term;
	replica->snapshot_bytes = snapshot.payload.size_bytes;
	replica->bytes_since_snapshot = 0;
	bw_snapshot_finish(&snapshot);
	if (status != BW_OK)
		replica_fail(replica, status);
}
