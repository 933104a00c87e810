#include <string.h>

#include "private/replica.h"

/* Interval between two announcements of a disk. */
#define HELLO_INTERVAL_MS 200

/* Older confirmations do not count for group creation and admission. */
#define CONFIRMATION_MAX_AGE_MS 2000

/** Fields of a received hello packet. */
struct hello {
	bool is_request; /**< an announcement, not the reply to one */
	bool empty;
	uint64_t nonce;
	uint64_t echo;
};

static void send_hello_(struct bw_replica *replica,
			struct replica_contact *contact);
static void send_bootstrap_(struct bw_replica *replica,
			    const struct replica_header *header);
static bool lists_voter_(const uint8_t *data, size_t size_bytes,
			 const char *host, uint64_t disk_incarnation);
static void read_hosts_(struct bw_replica *replica, struct bw_reader *reader);
static bool may_create_group_(struct bw_replica *replica);
static void create_group_(struct bw_replica *replica);
static bool append_group_(struct bw_replica *replica,
			  const struct bw_group *group);
static uint64_t new_id_(struct bw_replica *replica);
static enum bw_status propose_group_(struct bw_replica *replica,
				     const struct bw_group *group);
static bool change_in_progress_(const struct bw_replica *replica);
static bool next_member_change_(struct bw_replica *replica,
				struct bw_group *group);
static bool replace_lost_disk_(struct bw_replica *replica,
			       struct bw_group_member *member);

void replica_tick_hello(struct bw_replica *replica)
{
	uint32_t i;

	if (replica->role != BW_REPLICA_UNINITIALISED && !replica->removed)
		return;
	if (replica->now_ms < replica->hello_due_ms)
		return;
	replica->hello_due_ms = replica->now_ms + HELLO_INTERVAL_MS;
	for (i = 0; i < replica->contact_count; i++)
		send_hello_(replica, &replica->contacts[i]);
	if (may_create_group_(replica))
		create_group_(replica);
}

void replica_tick_members(struct bw_replica *replica)
{
	struct bw_group group = replica->group;

	if (replica->role == BW_REPLICA_LEADER &&
	    !change_in_progress_(replica) &&
	    next_member_change_(replica, &group))
		propose_group_(replica, &group);
}

void replica_receive_hello(struct bw_replica *replica,
			   const struct replica_header *header,
			   struct bw_reader *reader)
{
	struct replica_contact *contact =
		replica_contact(replica, header->peer, true);
	struct hello hello;

	hello.is_request = bw_read_bool(reader);
	hello.empty = bw_read_bool(reader);
	hello.nonce = bw_read_uint(reader);
	hello.echo = bw_read_uint(reader);
	if (reader->failed || !contact || !strcmp(header->peer, replica->host))
		return;
	contact->echo = hello.nonce;
	/*
	 * An echo of the newest own nonce proves that the announcement was
	 * sent after it; a delayed one from an earlier disk is ignored.
	 */
	if (contact->nonce && hello.echo == contact->nonce) {
		contact->disk_incarnation = header->from_disk;
		contact->empty = hello.empty;
		contact->asks = hello.is_request;
		contact->confirmed_ms = replica->now_ms;
		contact->nonce = new_id_(replica);
	}
	if (replica->role == BW_REPLICA_UNINITIALISED)
		read_hosts_(replica, reader);
	else if (hello.is_request && !replica->removed)
		send_hello_(replica, contact);
	if (hello.empty)
		send_bootstrap_(replica, header);
}

void replica_receive_bootstrap(struct bw_replica *replica,
			       const struct replica_header *header,
			       struct bw_reader *reader)
{
	uint64_t term = bw_read_uint(reader);
	size_t size_bytes = 0;
	const uint8_t *data = bw_read_bin(reader, &size_bytes);
	enum bw_status status;

	if (reader->failed || replica->role != BW_REPLICA_UNINITIALISED ||
	    (size_bytes && !lists_voter_(data, size_bytes, replica->host,
					 replica->meta.disk_incarnation)))
		return;
	status = size_bytes
			 ? bw_wal_append(&replica->wal, term, data, size_bytes)
			 : BW_OK;
	if (status != BW_OK) {
		replica_fail(replica, status);
		return;
	}
	if (!replica_sync_log(replica))
		return;
	replica_find_group(replica);
	replica_follow(replica, term > header->term ? term : header->term, "");
	replica_join_group(replica);
}

void replica_reset_contacts(struct bw_replica *replica)
{
	uint32_t i;

	for (i = 0; i < replica->contact_count; i++) {
		replica->contacts[i].disk_incarnation = 0;
		replica->contacts[i].nonce = new_id_(replica);
	}
}

void replica_send_removed(struct bw_replica *replica,
			  const struct replica_header *header)
{
	struct bw_buffer buffer;
	struct bw_writer writer;

	if (replica->group_index > replica->commit_index)
		return;
	replica_write_header(replica, &buffer, &writer, REPLICA_REMOVED,
			     header->from_disk, 0);
	replica_send(replica, header->peer, &buffer, &writer);
}

struct replica_contact *replica_contact(struct bw_replica *replica,
					const char *host, bool add)
{
	struct replica_contact *contact;
	uint32_t i;

	for (i = 0; i < replica->contact_count; i++) {
		if (!strcmp(replica->contacts[i].host, host))
			return &replica->contacts[i];
	}
	if (!add || replica->contact_count == REPLICA_CONTACTS_MAX)
		return NULL;
	contact = &replica->contacts[replica->contact_count++];
	memset(contact, 0, sizeof(*contact));
	bw_name_set(contact->host, host);
	contact->nonce = new_id_(replica);
	return contact;
}

bool replica_caught_up(const struct bw_replica *replica, uint32_t slot,
		       int64_t now_ms)
{
	const struct replica_peer *peer = &replica->peers[slot];

	if (replica->role != BW_REPLICA_LEADER)
		return false;
	if (replica->group.members[slot].disk_incarnation ==
	    replica->meta.disk_incarnation)
		return true;
	return peer->match_index >= replica->commit_index &&
	       peer->ack_ms != REPLICA_NEVER_MS &&
	       now_ms - peer->ack_ms < replica->election_min_ms;
}

enum bw_status bw_replica_add(struct bw_replica *replica, const char *host,
			      bool voter, struct bw_time now)
{
	const struct replica_contact *contact =
		replica_contact(replica, host, false);
	struct bw_group_member member = { .kind = BW_MEMBER_LEARNER };
	struct bw_group group = replica->group;
	enum bw_status status;

	replica->now_ms = now.ms;
	if (replica->role != BW_REPLICA_LEADER)
		return BW_EUNAVAILABLE;
	if (bw_group_find(&group, host))
		return BW_EEXIST;
	if (change_in_progress_(replica) || !contact ||
	    !contact->disk_incarnation)
		return BW_EAGAIN;
	bw_name_set(member.host, host);
	member.disk_incarnation = contact->disk_incarnation;
	member.promote = voter;
	status = bw_group_add(&group, &member);
	return status == BW_OK ? propose_group_(replica, &group) : status;
}

enum bw_status bw_replica_admit(struct bw_replica *replica, uint32_t *count,
				struct bw_time now)
{
	struct bw_group group = replica->group;
	struct bw_group_member member = { .kind = BW_MEMBER_LEARNER };
	uint32_t asking = 0;
	uint32_t i;

	*count = 0;
	replica->now_ms = now.ms;
	if (replica->role != BW_REPLICA_LEADER)
		return BW_EUNAVAILABLE;
	if (change_in_progress_(replica))
		return BW_EAGAIN;
	for (i = 0; i < replica->contact_count; i++) {
		const struct replica_contact *contact = &replica->contacts[i];

		if (!contact->disk_incarnation || !contact->asks ||
		    now.ms - contact->confirmed_ms > CONFIRMATION_MAX_AGE_MS ||
		    bw_group_find(&group, contact->host))
			continue;
		asking++;
		bw_name_set(member.host, contact->host);
		member.disk_incarnation = contact->disk_incarnation;
		if (bw_group_add(&group, &member) == BW_OK)
			++*count;
	}
	if (!*count)
		return asking ? BW_EFULL : BW_ENOTFOUND;
	return propose_group_(replica, &group);
}

enum bw_status bw_replica_set_voter(struct bw_replica *replica,
				    const char *host, bool voter,
				    struct bw_time now)
{
	struct bw_group group = replica->group;
	struct bw_group_member *member = bw_group_find(&group, host);

	replica->now_ms = now.ms;
	if (replica->role != BW_REPLICA_LEADER)
		return BW_EUNAVAILABLE;
	if (!member)
		return BW_ENOTFOUND;
	if (voter == (member->kind == BW_MEMBER_VOTER || member->promote))
		return BW_EEXIST;
	if (change_in_progress_(replica))
		return BW_EAGAIN;
	if (!voter && member->kind == BW_MEMBER_VOTER &&
	    (!strcmp(host, replica->host) || replica_voter_count(replica) < 2))
		return BW_EINVAL;
	member->promote = voter;
	if (!voter && member->kind == BW_MEMBER_VOTER)
		member->kind = BW_MEMBER_LEARNER;
	return propose_group_(replica, &group);
}

enum bw_status bw_replica_remove(struct bw_replica *replica, const char *host,
				 struct bw_time now)
{
	struct bw_group group = replica->group;
	const struct bw_group_member *member = bw_group_find(&group, host);

	replica->now_ms = now.ms;
	if (replica->role != BW_REPLICA_LEADER)
		return BW_EUNAVAILABLE;
	if (!member)
		return BW_ENOTFOUND;
	if (member->kind == BW_MEMBER_VOTER &&
	    replica_voter_count(replica) == 1)
		return BW_EINVAL;
	if (change_in_progress_(replica))
		return BW_EAGAIN;
	bw_group_remove(&group, host);
	return propose_group_(replica, &group);
}

uint32_t bw_replica_members(const struct bw_replica *replica,
			    struct bw_time now,
			    struct bw_replica_member *members)
{
	uint32_t i;

	for (i = 0; i < replica->group.count; i++) {
		members[i].member = replica->group.members[i];
		members[i].match_index = replica->role == BW_REPLICA_LEADER
						 ? replica->peers[i].match_index
						 : 0;
		members[i].caught_up = replica_caught_up(replica, i, now.ms);
	}
	return replica->group.count;
}

static void send_hello_(struct bw_replica *replica,
			struct replica_contact *contact)
{
	struct bw_buffer buffer;
	struct bw_writer writer;
	bool empty = replica->role == BW_REPLICA_UNINITIALISED;
	uint32_t count = empty ? 0 : replica->group.count;
	uint32_t i;

	replica_write_header(replica, &buffer, &writer, REPLICA_HELLO, 0, 5);
	bw_write_bool(&writer, empty || replica->removed);
	bw_write_bool(&writer, empty);
	bw_write_uint(&writer, contact->nonce);
	bw_write_uint(&writer, contact->echo);
	bw_write_array(&writer, count);
	for (i = 0; i < count; i++)
		bw_write_str(&writer, replica->group.members[i].host);
	replica_send(replica, contact->host, &buffer, &writer);
}

/*
 * Sends the first log entry to an empty disk. Such a disk does not vote, so
 * before the first commit there may be no leader to replicate the group to it.
 * Any member may send the entry: it is the same everywhere and lists the disk
 * incarnations of its voters. Once it is compacted, the group id is enough: a
 * voter's disk that was never lost has acknowledged nothing, and may vote with
 * an empty log.
 */
static void send_bootstrap_(struct bw_replica *replica,
			    const struct replica_header *header)
{
	const struct bw_wal_entry *entry = bw_wal_entry(&replica->wal, 1);
	struct bw_group group = replica->state.group;
	const struct bw_group_member *member =
		bw_group_find(&group, header->peer);
	struct bw_buffer buffer;
	struct bw_writer writer;

	if (replica->role == BW_REPLICA_UNINITIALISED ||
	    replica->wal.synced_index < 1)
		return;
	if (entry ? !lists_voter_(entry->data, entry->size_bytes, header->peer,
				  header->from_disk)
		  : !member || member->disk_incarnation != header->from_disk ||
			    member->kind != BW_MEMBER_VOTER)
		return;
	replica_write_header(replica, &buffer, &writer, REPLICA_BOOTSTRAP,
			     header->from_disk, 2);
	bw_write_uint(&writer, entry ? entry->term : 0);
	bw_write_bin(&writer, entry ? entry->data : NULL,
		     entry ? entry->size_bytes : 0);
	replica_send(replica, header->peer, &buffer, &writer);
}

static bool lists_voter_(const uint8_t *data, size_t size_bytes,
			 const char *host, uint64_t disk_incarnation)
{
	struct bw_group group;
	const struct bw_group_member *member;

	if (bw_command_kind(data, size_bytes) != BW_COMMAND_GROUP ||
	    bw_command_read_group(data, size_bytes, &group) != BW_OK)
		return false;
	member = bw_group_find(&group, host);
	return member && member->disk_incarnation == disk_incarnation &&
	       member->kind == BW_MEMBER_VOTER;
}

/* Adds the listed members, which the settings may not include. */
static void read_hosts_(struct bw_replica *replica, struct bw_reader *reader)
{
	uint32_t count = bw_read_array(reader);
	char host[BW_NAME_MAX];

	while (count-- && !reader->failed) {
		bw_read_name(reader, host);
		if (!reader->failed && host[0] && strcmp(host, replica->host))
			replica_contact(replica, host, true);
	}
}

/*
 * Creating the group requires an empty disk on every initial host: a host that
 * lost its disk must not create a second group beside a running one. Only the
 * initial host with the lowest name creates it.
 */
static bool may_create_group_(struct bw_replica *replica)
{
	bool self = false;
	uint32_t i;

	if (replica->role != BW_REPLICA_UNINITIALISED || replica->join_only)
		return false;
	for (i = 0; i < replica->initial_count; i++) {
		const char *host = replica->initial_hosts[i];
		const struct replica_contact *contact =
			replica_contact(replica, host, false);

		if (strcmp(host, replica->host) < 0)
			return false;
		if (!strcmp(host, replica->host)) {
			self = true;
			continue;
		}
		if (!contact || !contact->disk_incarnation || !contact->empty ||
		    replica->now_ms - contact->confirmed_ms >
			    CONFIRMATION_MAX_AGE_MS)
			return false;
	}
	return self;
}

static void create_group_(struct bw_replica *replica)
{
	struct bw_group group = { .count = 0 };
	struct bw_group_member member;
	uint32_t i;

	group.id = new_id_(replica);
	for (i = 0; i < replica->initial_count; i++) {
		const struct replica_contact *contact = replica_contact(
			replica, replica->initial_hosts[i], false);

		memset(&member, 0, sizeof(member));
		member.kind = BW_MEMBER_VOTER;
		bw_name_set(member.host, replica->initial_hosts[i]);
		member.disk_incarnation =
			contact ? contact->disk_incarnation
				: replica->meta.disk_incarnation;
		bw_group_add(&group, &member);
	}
	replica->meta.term++;
	replica->meta.voted_for = replica->meta.disk_incarnation;
	if (!append_group_(replica, &group))
		return;
	replica->group_id = group.id;
	replica_join_group(replica);
	replica_handle_event(replica, REPLICA_ELECTION_TIMEOUT);
}

static bool append_group_(struct bw_replica *replica,
			  const struct bw_group *group)
{
	enum bw_status status = propose_group_(replica, group);

	if (status != BW_OK) {
		replica_fail(replica, status);
		return false;
	}
	return replica_sync_log(replica);
}

static uint64_t new_id_(struct bw_replica *replica)
{
	uint64_t id = 0;

	while (!id)
		id = bw_random_next(&replica->random);
	return id;
}

static enum bw_status propose_group_(struct bw_replica *replica,
				     const struct bw_group *group)
{
	struct bw_buffer command;
	enum bw_status status;

	bw_buffer_init(&command);
	status = bw_command_group(&command, group);
	if (status == BW_OK)
		status = replica_append_own(replica, command.data,
					    command.size_bytes);
	bw_buffer_finish(&command);
	return status;
}

/*
 * Each change must commit before the next one, and none may start before the
 * leader has committed an entry of its own term: otherwise two configurations
 * that differ by more than one member could have disjoint quorums.
 */
static bool change_in_progress_(const struct bw_replica *replica)
{
	return replica->group_index > replica->commit_index ||
	       replica->commit_index < replica->term_start_index;
}

/* Applies the first change that is due to group. @return whether any is */
static bool next_member_change_(struct bw_replica *replica,
				struct bw_group *group)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		struct bw_group_member *member = &group->members[i];

		if (replace_lost_disk_(replica, member))
			return true;
		if (member->kind == BW_MEMBER_PENDING) {
			member->kind = BW_MEMBER_LEARNER;
			return true;
		}
		if (member->kind == BW_MEMBER_LEARNER && member->promote &&
		    replica_caught_up(replica, i, replica->now_ms)) {
			member->kind = BW_MEMBER_VOTER;
			return true;
		}
	}
	return false;
}

/* Replaces the disk incarnation of a host that announced an empty disk. */
static bool replace_lost_disk_(struct bw_replica *replica,
			       struct bw_group_member *member)
{
	const struct replica_contact *contact =
		replica_contact(replica, member->host, false);

	if (!contact || !contact->disk_incarnation || !contact->empty ||
	    contact->disk_incarnation == member->disk_incarnation ||
	    member->disk_incarnation == replica->meta.disk_incarnation)
		return false;
	if (member->kind == BW_MEMBER_VOTER && replica_voter_count(replica) < 2)
		return false;
	member->promote = member->promote || member->kind == BW_MEMBER_VOTER;
	member->kind = BW_MEMBER_PENDING;
	member->disk_incarnation = contact->disk_incarnation;
	return true;
}
