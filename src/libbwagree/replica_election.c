#include <stdlib.h>
#include <string.h>

#include "private/replica.h"

static bool has_majority_(const struct bw_replica *replica, bool pre_vote);
static bool leader_may_exist_(const struct bw_replica *replica);
static bool log_up_to_date_(const struct bw_replica *replica,
			    uint64_t last_index, uint64_t last_term);
static uint64_t last_term_(const struct bw_replica *replica);
static bool grant_vote_(struct bw_replica *replica,
			const struct replica_header *header, bool pre_vote,
			bool up_to_date);
static int compare_descending_(const void *a, const void *b);

void replica_request_votes(struct bw_replica *replica, bool pre_vote)
{
	struct bw_buffer buffer;
	struct bw_writer writer;
	uint32_t i;

	for (i = 0; i < replica->group.count; i++) {
		const struct bw_group_member *member =
			&replica->group.members[i];
		bool self = member->disk_incarnation ==
			    replica->meta.disk_incarnation;

		if (pre_vote)
			replica->peers[i].pre_vote = self;
		else
			replica->peers[i].vote = self;
		if (self || member->kind != BW_MEMBER_VOTER)
			continue;
		replica_write_header(replica, &buffer, &writer,
				     REPLICA_VOTE_REQUEST,
				     member->disk_incarnation, 3);
		bw_write_bool(&writer, pre_vote);
		bw_write_uint(&writer, bw_wal_last_index(&replica->wal));
		bw_write_uint(&writer, last_term_(replica));
		replica_send(replica, member->host, &buffer, &writer);
	}
	if (has_majority_(replica, pre_vote))
		replica_handle_event(replica, pre_vote ? REPLICA_PRE_VOTE_WON
						       : REPLICA_VOTE_WON);
}

void replica_receive_vote_request(struct bw_replica *replica,
				  const struct replica_header *header,
				  struct bw_reader *reader)
{
	bool pre_vote = bw_read_bool(reader);
	uint64_t last_index = bw_read_uint(reader);
	uint64_t last_term = bw_read_uint(reader);
	struct bw_buffer buffer;
	struct bw_writer writer;
	bool granted;

	if (reader->failed || replica->role == BW_REPLICA_UNINITIALISED)
		return;
	if (replica->role == BW_REPLICA_LEADER &&
	    replica_find_member(replica, header->peer, header->from_disk) < 0) {
		replica_send_removed(replica, header);
		return;
	}
	/*
	 * Ignoring requests while a leader may hold a lease keeps leases from
	 * overlapping, and a returning host from disrupting the group.
	 */
	if (leader_may_exist_(replica))
		return;
	if (!pre_vote && header->term > replica->meta.term)
		replica_follow(replica, header->term, "");
	granted = grant_vote_(replica, header, pre_vote,
			      log_up_to_date_(replica, last_index, last_term));
	replica_write_header(replica, &buffer, &writer, REPLICA_VOTE_REPLY,
			     header->from_disk, 3);
	bw_write_bool(&writer, pre_vote);
	bw_write_bool(&writer, granted);
	bw_write_uint(&writer, header->term);
	replica_send(replica, header->peer, &buffer, &writer);
}

void replica_receive_vote_reply(struct bw_replica *replica,
				const struct replica_header *header,
				struct bw_reader *reader)
{
	bool pre_vote = bw_read_bool(reader);
	bool granted = bw_read_bool(reader);
	uint64_t request_term = bw_read_uint(reader);
	enum bw_replica_role role = pre_vote ? BW_REPLICA_PRE_CANDIDATE
					     : BW_REPLICA_CANDIDATE;
	int slot =
		replica_find_member(replica, header->peer, header->from_disk);

	if (reader->failed || !granted || slot < 0 || replica->role != role ||
	    request_term != replica->meta.term)
		return;
	if (pre_vote)
		replica->peers[slot].pre_vote = true;
	else
		replica->peers[slot].vote = true;
	if (has_majority_(replica, pre_vote))
		replica_handle_event(replica, pre_vote ? REPLICA_PRE_VOTE_WON
						       : REPLICA_VOTE_WON);
}

int64_t replica_quorum_ack_ms(const struct bw_replica *replica, int64_t now_ms)
{
	int64_t times[BW_GROUP_MAX];
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < replica->group.count; i++) {
		const struct bw_group_member *member =
			&replica->group.members[i];

		if (member->kind != BW_MEMBER_VOTER)
			continue;
		times[count++] = member->disk_incarnation ==
						 replica->meta.disk_incarnation
					 ? now_ms
					 : replica->peers[i].ack_ms;
	}
	if (!count)
		return REPLICA_NEVER_MS;
	qsort(times, count, sizeof(times[0]), compare_descending_);
	return times[count / 2];
}

struct bw_group_member *replica_self(const struct bw_replica *replica)
{
	int slot = replica_find_member(replica, replica->host,
				       replica->meta.disk_incarnation);

	return slot < 0 ? NULL
			: (struct bw_group_member *)&replica->group
				  .members[slot];
}

bool replica_is_voter(const struct bw_replica *replica)
{
	const struct bw_group_member *self = replica_self(replica);

	return self && self->kind == BW_MEMBER_VOTER;
}

uint32_t replica_voter_count(const struct bw_replica *replica)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < replica->group.count; i++)
		count += replica->group.members[i].kind == BW_MEMBER_VOTER;
	return count;
}

int replica_find_member(const struct bw_replica *replica, const char *host,
			uint64_t disk_incarnation)
{
	uint32_t i;

	for (i = 0; i < replica->group.count; i++) {
		const struct bw_group_member *member =
			&replica->group.members[i];

		if (member->disk_incarnation == disk_incarnation &&
		    !strcmp(member->host, host))
			return (int)i;
	}
	return -1;
}

static bool has_majority_(const struct bw_replica *replica, bool pre_vote)
{
	uint32_t votes = 0;
	uint32_t i;

	for (i = 0; i < replica->group.count; i++) {
		const struct replica_peer *peer = &replica->peers[i];

		if (replica->group.members[i].kind == BW_MEMBER_VOTER)
			votes += pre_vote ? peer->pre_vote : peer->vote;
	}
	return votes > replica_voter_count(replica) / 2;
}

static bool leader_may_exist_(const struct bw_replica *replica)
{
	if (replica->role == BW_REPLICA_LEADER)
		return true;
	if (replica->now_ms < replica->no_vote_until_ms)
		return true;
	return replica->leader_contact_ms != REPLICA_NEVER_MS &&
	       replica->now_ms - replica->leader_contact_ms <
		       replica->election_min_ms;
}

static bool log_up_to_date_(const struct bw_replica *replica,
			    uint64_t last_index, uint64_t last_term)
{
	uint64_t own_term = last_term_(replica);

	if (last_term != own_term)
		return last_term > own_term;
	return last_index >= bw_wal_last_index(&replica->wal);
}

static uint64_t last_term_(const struct bw_replica *replica)
{
	bool known;

	return replica_term_at(replica, bw_wal_last_index(&replica->wal),
			       &known);
}

static bool grant_vote_(struct bw_replica *replica,
			const struct replica_header *header, bool pre_vote,
			bool up_to_date)
{
	if (header->term < replica->meta.term || !up_to_date ||
	    replica->role == BW_REPLICA_FAILED)
		return false;
	if (pre_vote)
		return true;
	if (replica->meta.voted_for)
		return replica->meta.voted_for == header->from_disk;
	replica->meta.voted_for = header->from_disk;
	replica_reset_deadline(replica);
	return replica_meta_save(replica);
}

/* Sorts the latest time first. */
static int compare_descending_(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left < right) - (left > right);
}
