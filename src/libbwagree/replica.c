#include "private/replica.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_HEARTBEAT_MS 100
#define DEFAULT_ELECTION_MIN_MS 500
#define DEFAULT_ELECTION_MAX_MS 1000
#define DEFAULT_LEASE_MS 400
#define DEFAULT_COMPACT_BYTES (4 * 1024 * 1024)

/* Limits of the unsynced bytes and the uncommitted entries of a leader. */
#define UNSYNCED_MAX_BYTES (8 * 1024 * 1024)
#define UNCOMMITTED_MAX_ENTRIES 16384

static bool config_valid_(const struct bw_replica_config *config);
static void configure_(struct bw_replica *replica,
		       const struct bw_replica_config *config);
static void perform_action_(struct bw_replica *replica, uint8_t action);
static void start_election_(struct bw_replica *replica);
static void begin_call_(struct bw_replica *replica, struct bw_time now,
			struct bw_outbox *out);
static enum bw_status end_call_(struct bw_replica *replica);
static void report_leader_(struct bw_replica *replica);
static bool accepts_header_(const struct bw_replica *replica,
			    const struct replica_header *header);
static bool sender_disk_valid_(struct bw_replica *replica,
			       const struct replica_header *header);
static void dispatch_packet_(struct bw_replica *replica,
			     const struct replica_header *header,
			     struct bw_reader *reader);
static void tick_leader_(struct bw_replica *replica);
static json_t *dump_member_(const struct bw_replica *replica, uint32_t slot);

const char *const bw_replica_role_string[BW_REPLICA_ROLE_COUNT] = {
	[BW_REPLICA_UNINITIALISED] = "uninitialised",
	[BW_REPLICA_FOLLOWER] = "follower",
	[BW_REPLICA_PRE_CANDIDATE] = "pre_candidate",
	[BW_REPLICA_CANDIDATE] = "candidate",
	[BW_REPLICA_LEADER] = "leader",
	[BW_REPLICA_FAILED] = "failed",
};

const char *const bw_replica_event_kind_string[BW_REPLICA_EVENT_KIND_COUNT] = {
	[BW_REPLICA_APPLIED] = "applied",
	[BW_REPLICA_LEADER_CHANGED] = "leader_changed",
	[BW_REPLICA_SNAPSHOT_INSTALLED] = "snapshot_installed",
	[BW_REPLICA_STORAGE_FAILED] = "storage_failed",
	[BW_REPLICA_STORAGE_REOPENED] = "storage_reopened",
	[BW_REPLICA_MEMBER_CHANGED] = "member_changed",
};

static const char *const event_string_[REPLICA_EVENT_COUNT] = {
	[REPLICA_INITIALISED] = "initialised",
	[REPLICA_ELECTION_TIMEOUT] = "election_timeout",
	[REPLICA_PRE_VOTE_WON] = "pre_vote_won",
	[REPLICA_VOTE_WON] = "vote_won",
	[REPLICA_STEP_DOWN] = "step_down",
	[REPLICA_DISK_FAILED] = "storage_failed",
	[REPLICA_DISK_REOPENED] = "storage_reopened",
};

static const char *const action_string_[REPLICA_ACTION_COUNT] = {
	[REPLICA_DO_FOLLOW] = "follow",
	[REPLICA_DO_REQUEST_PRE_VOTES] = "request_pre_votes",
	[REPLICA_DO_REQUEST_VOTES] = "request_votes",
	[REPLICA_DO_LEAD] = "lead",
};

static const struct bw_chart_names chart_names_ = {
	bw_replica_role_string, BW_REPLICA_ROLE_COUNT, event_string_,
	REPLICA_EVENT_COUNT,	action_string_,	       REPLICA_ACTION_COUNT,
};

enum bw_status bw_replica_chart_load(struct bw_chart *chart, const char *path,
				     struct bw_yaml_error *error)
{
	return bw_chart_load(chart, path, &chart_names_, error);
}

enum bw_status bw_replica_new(struct bw_replica **replica,
			      const struct bw_replica_config *config,
			      struct bw_time now, char *error)
{
	return replica_create(replica, config, now, false, error);
}

enum bw_status replica_create(struct bw_replica **replica,
			      const struct bw_replica_config *config,
			      struct bw_time now, bool after_failure,
			      char *error)
{
	struct bw_replica *created = NULL;
	enum bw_status status;

	*replica = NULL;
	error[0] = '\0';
	if (!config_valid_(config))
		return BW_EINVAL;
	created = calloc(1, sizeof(*created));
	if (!created)
		return BW_ENOMEM;
	configure_(created, config);
	begin_call_(created, now, NULL);
	created->leader_contact_ms = REPLICA_NEVER_MS;
	created->no_vote_until_ms = now.ms + created->election_min_ms;
	status = replica_open(created, config, after_failure, error);
	if (status != BW_OK) {
		bw_replica_free(created);
		return status;
	}
	if (created->meta.group_id)
		replica_handle_event(created, REPLICA_INITIALISED);
	replica_reset_deadline(created);
	*replica = created;
	return BW_OK;
}

void bw_replica_free(struct bw_replica *replica)
{
	if (!replica)
		return;
	bw_wal_finish(&replica->wal);
	bw_state_finish(&replica->state);
	bw_snapshot_finish(&replica->outgoing);
	bw_snapshot_finish(&replica->incoming);
	g_queue_clear_full(&replica->events, g_free);
	free(replica);
}

enum bw_status bw_replica_receive(struct bw_replica *replica,
				  const struct bw_packet *packet,
				  struct bw_time now, struct bw_outbox *out)
{
	struct replica_header header;
	struct bw_reader reader;
	enum bw_status status;

	if (replica->role == BW_REPLICA_FAILED)
		return BW_EIO;
	begin_call_(replica, now, out);
	memcpy(header.peer, packet->peer, BW_NAME_MAX);
	bw_reader_init(&reader, packet->data, packet->size_bytes);
	status = replica_read_header(&reader, &header);
	if (status == BW_OK && accepts_header_(replica, &header))
		dispatch_packet_(replica, &header, &reader);
	else
		replica->dropped_packets++;
	if (status == BW_OK)
		status = bw_reader_status(&reader);
	bw_reader_finish(&reader);
	return end_call_(replica) == BW_OK ? status : BW_EIO;
}

enum bw_status bw_replica_tick(struct bw_replica *replica, struct bw_time now,
			       struct bw_outbox *out)
{
	begin_call_(replica, now, out);
	if (replica->role == BW_REPLICA_FAILED) {
		replica_tick_failed(replica, now);
		return end_call_(replica);
	}
	replica_compact(replica);
	replica_tick_hello(replica);
	if (replica->role == BW_REPLICA_FAILED)
		return end_call_(replica);
	if (replica->role == BW_REPLICA_LEADER)
		tick_leader_(replica);
	else if (replica->role != BW_REPLICA_UNINITIALISED &&
		 replica->now_ms >= replica->election_deadline_ms)
		start_election_(replica);
	return end_call_(replica);
}

enum bw_status bw_replica_propose(struct bw_replica *replica,
				  const uint8_t *data, size_t size_bytes,
				  struct bw_time now, uint64_t *index)
{
	enum bw_command_kind kind = bw_command_kind(data, size_bytes);
	enum bw_status status;

	*index = 0;
	replica->now_ms = now.ms;
	if (replica->role == BW_REPLICA_FAILED)
		return BW_EIO;
	if (replica->role != BW_REPLICA_LEADER)
		return BW_EUNAVAILABLE;
	if (kind == BW_COMMAND_KIND_COUNT || kind == BW_COMMAND_GROUP)
		return BW_EINVAL;
	if (replica->wal.batch.size_bytes > UNSYNCED_MAX_BYTES ||
	    bw_wal_last_index(&replica->wal) - replica->commit_index >=
		    UNCOMMITTED_MAX_ENTRIES)
		return BW_EFULL;
	status = replica_append_own(replica, data, size_bytes);
	if (status == BW_OK)
		*index = bw_wal_last_index(&replica->wal);
	return status;
}

enum bw_status bw_replica_flush(struct bw_replica *replica, struct bw_time now,
				struct bw_outbox *out)
{
	if (replica->role == BW_REPLICA_FAILED)
		return BW_EIO;
	begin_call_(replica, now, out);
	replica_send_append_all(replica, false);
	return end_call_(replica);
}

enum bw_status bw_replica_sync(struct bw_replica *replica, struct bw_time now,
			       struct bw_outbox *out)
{
	if (replica->role == BW_REPLICA_FAILED)
		return BW_EIO;
	begin_call_(replica, now, out);
	if (replica_sync_log(replica))
		replica_advance_commit(replica);
	return end_call_(replica);
}

bool bw_replica_next_event(struct bw_replica *replica,
			   struct bw_replica_event *event)
{
	struct bw_replica_event *queued = g_queue_pop_head(&replica->events);

	if (!queued)
		return false;
	*event = *queued;
	g_free(queued);
	return true;
}

enum bw_replica_role bw_replica_role(const struct bw_replica *replica)
{
	return replica->role;
}

const char *bw_replica_leader(const struct bw_replica *replica)
{
	return replica->leader;
}

uint64_t bw_replica_term(const struct bw_replica *replica)
{
	return replica->meta.term;
}

bool bw_replica_has_lease(const struct bw_replica *replica, struct bw_time now)
{
	int64_t ack_ms;

	if (replica->role != BW_REPLICA_LEADER ||
	    replica->commit_index < replica->term_start_index)
		return false;
	ack_ms = replica_quorum_ack_ms(replica, now.ms);
	return ack_ms != REPLICA_NEVER_MS &&
	       now.ms - ack_ms < replica->lease_ms;
}

bool bw_replica_is_current(const struct bw_replica *replica)
{
	return replica->current;
}

uint64_t bw_replica_commit_index(const struct bw_replica *replica)
{
	return replica->commit_index;
}

uint64_t bw_replica_disk_incarnation(const struct bw_replica *replica)
{
	return replica->meta.disk_incarnation;
}

const struct bw_state *bw_replica_state(const struct bw_replica *replica)
{
	return &replica->state;
}

enum bw_status bw_replica_dump(const struct bw_replica *replica, json_t *into)
{
	json_t *members = json_array();
	json_t *object;
	uint32_t i;

	for (i = 0; i < replica->group.count; i++)
		json_array_append_new(members, dump_member_(replica, i));
	object = json_pack(
		"{s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o}", "role",
		bw_replica_role_string[replica->role], "leader",
		replica->leader, "term", (json_int_t)replica->meta.term,
		"commit_index", (json_int_t)replica->commit_index, "last_index",
		(json_int_t)bw_wal_last_index(&replica->wal), "snapshot_index",
		(json_int_t)replica->snapshot_index, "log_bytes",
		(json_int_t)replica->wal.size_bytes, "dropped_packets",
		(json_int_t)replica->dropped_packets, "elections_started",
		(json_int_t)replica->elections_started, "snapshots_installed",
		(json_int_t)replica->snapshots_installed, "members", members);
	if (!object || json_object_set_new(into, "replica", object))
		return BW_ENOMEM;
	return bw_state_dump(&replica->state, into);
}

void replica_handle_event(struct bw_replica *replica, enum replica_event event)
{
	struct bw_chart_step step;
	enum bw_status status;

	if (replica->role == BW_REPLICA_FAILED &&
	    event != REPLICA_DISK_REOPENED)
		return;
	status = bw_chart_next(replica->chart, replica->role, event, &step);
	assert(status == BW_OK);
	(void)status;
	replica->role = (enum bw_replica_role)step.state;
	perform_action_(replica, step.action);
}

void replica_fail(struct bw_replica *replica, enum bw_status status)
{
	struct bw_replica_event event = {
		.kind = BW_REPLICA_STORAGE_FAILED,
		.status = status,
	};

	if (replica->role == BW_REPLICA_FAILED)
		return;
	replica->leader[0] = '\0';
	replica_handle_event(replica, REPLICA_DISK_FAILED);
	replica_queue_event(replica, &event);
	replica_schedule_reopen(replica);
}

void replica_follow(struct bw_replica *replica, uint64_t term,
		    const char *leader)
{
	if (term > replica->meta.term) {
		replica->meta.term = term;
		replica->meta.voted_for = 0;
		replica->leader[0] = '\0';
		if (!replica_meta_save(replica))
			return;
	}
	if (replica->role != BW_REPLICA_UNINITIALISED)
		replica_handle_event(replica, REPLICA_STEP_DOWN);
	if (!leader[0])
		return;
	bw_name_set(replica->leader, leader);
	replica->leader_contact_ms = replica->now_ms;
	replica_reset_deadline(replica);
}

void replica_queue_event(struct bw_replica *replica,
			 const struct bw_replica_event *event)
{
	struct bw_replica_event *copy = g_new(struct bw_replica_event, 1);

	*copy = *event;
	g_queue_push_tail(&replica->events, copy);
}

void replica_reset_deadline(struct bw_replica *replica)
{
	uint64_t spread = (uint64_t)(replica->election_max_ms -
				     replica->election_min_ms + 1);

	replica->election_deadline_ms =
		replica->now_ms + replica->election_min_ms +
		(int64_t)bw_random_below(&replica->random, spread);
}

static bool config_valid_(const struct bw_replica_config *config)
{
	uint32_t election_min_ms = config->election_min_ms
					   ? config->election_min_ms
					   : DEFAULT_ELECTION_MIN_MS;
	uint32_t election_max_ms = config->election_max_ms
					   ? config->election_max_ms
					   : DEFAULT_ELECTION_MAX_MS;
	uint32_t lease_ms = config->lease_ms ? config->lease_ms
					     : DEFAULT_LEASE_MS;

	return config->host[0] && config->chart && config->storage &&
	       config->initial_count && config->initial_count <= BW_GROUP_MAX &&
	       lease_ms < election_min_ms && election_min_ms <= election_max_ms;
}

static void configure_(struct bw_replica *replica,
		       const struct bw_replica_config *config)
{
	uint32_t i;

	memcpy(replica->host, config->host, BW_NAME_MAX);
	replica->chart = config->chart;
	replica->storage = config->storage;
	replica->role = (enum bw_replica_role)config->chart->initial;
	bw_random_init(&replica->random, config->seed);
	g_queue_init(&replica->events);
	bw_state_init(&replica->state, config->submissions_max,
		      config->bindings_max);
	replica->heartbeat_ms = config->heartbeat_ms ? config->heartbeat_ms
						     : DEFAULT_HEARTBEAT_MS;
	replica->election_min_ms = config->election_min_ms
					   ? config->election_min_ms
					   : DEFAULT_ELECTION_MIN_MS;
	replica->election_max_ms = config->election_max_ms
					   ? config->election_max_ms
					   : DEFAULT_ELECTION_MAX_MS;
	replica->lease_ms = config->lease_ms ? config->lease_ms
					     : DEFAULT_LEASE_MS;
	replica->compact_bytes = config->compact_bytes ? config->compact_bytes
						       : DEFAULT_COMPACT_BYTES;
	replica->config = *config;
	replica->initial_count = config->initial_count;
	replica->join_only = config->join_only;
	for (i = 0; i < config->initial_count; i++) {
		memcpy(replica->initial_hosts[i], config->initial_hosts[i],
		       BW_NAME_MAX);
		if (strcmp(replica->initial_hosts[i], replica->host))
			replica_contact(replica, replica->initial_hosts[i],
					true);
	}
}

static void perform_action_(struct bw_replica *replica, uint8_t action)
{
	switch (action) {
	case REPLICA_DO_FOLLOW:
		if (!strcmp(replica->leader, replica->host))
			replica->leader[0] = '\0';
		bw_snapshot_finish(&replica->outgoing);
		/* A leader that steps down must not start an election at once.
		 */
		if (replica->election_deadline_ms <= replica->now_ms)
			replica_reset_deadline(replica);
		break;
	case REPLICA_DO_REQUEST_PRE_VOTES:
		replica->leader[0] = '\0';
		replica_reset_deadline(replica);
		replica_request_votes(replica, true);
		break;
	case REPLICA_DO_REQUEST_VOTES:
		replica->elections_started++;
		replica->meta.term++;
		replica->meta.voted_for = replica->meta.disk_incarnation;
		replica_reset_deadline(replica);
		if (replica_meta_save(replica))
			replica_request_votes(replica, false);
		break;
	case REPLICA_DO_LEAD:
		replica_become_leader(replica);
		break;
	default:
		break;
	}
}

/* Starts a pre-vote, unless the local disk is no voter. */
static void start_election_(struct bw_replica *replica)
{
	if (replica->removed || !replica_is_voter(replica)) {
		replica->leader[0] = '\0';
		replica_reset_deadline(replica);
		return;
	}
	replica_handle_event(replica, REPLICA_ELECTION_TIMEOUT);
}

static void begin_call_(struct bw_replica *replica, struct bw_time now,
			struct bw_outbox *out)
{
	replica->now_ms = now.ms;
	replica->out = out;
}

static enum bw_status end_call_(struct bw_replica *replica)
{
	report_leader_(replica);
	replica->out = NULL;
	return replica->role == BW_REPLICA_FAILED ? BW_EIO : BW_OK;
}

static void report_leader_(struct bw_replica *replica)
{
	struct bw_replica_event event = { .kind = BW_REPLICA_LEADER_CHANGED };

	if (!strcmp(replica->leader, replica->reported_leader) &&
	    (!replica->leader[0] ||
	     replica->reported_term == replica->meta.term))
		return;
	memcpy(replica->reported_leader, replica->leader, BW_NAME_MAX);
	replica->reported_term = replica->meta.term;
	memcpy(event.leader, replica->leader, BW_NAME_MAX);
	event.term = replica->meta.term;
	replica_queue_event(replica, &event);
}

static bool accepts_header_(const struct bw_replica *replica,
			    const struct replica_header *header)
{
	if (header->type == REPLICA_HELLO)
		return true;
	if (header->to_disk != replica->meta.disk_incarnation ||
	    !header->group_id)
		return false;
	if (replica->role == BW_REPLICA_UNINITIALISED)
		return header->type == REPLICA_APPEND ||
		       header->type == REPLICA_SNAPSHOT ||
		       header->type == REPLICA_BOOTSTRAP;
	return header->group_id == replica->group_id;
}

/*
 * While the local disk is empty, a delayed packet that a host sent from an
 * earlier disk must not make this replica join a group that the host has left.
 */
static bool sender_disk_valid_(struct bw_replica *replica,
			       const struct replica_header *header)
{
	const struct replica_contact *contact =
		replica_contact(replica, header->peer, false);

	return !contact || !contact->disk_incarnation ||
	       contact->disk_incarnation == header->from_disk;
}

static void dispatch_packet_(struct bw_replica *replica,
			     const struct replica_header *header,
			     struct bw_reader *reader)
{
	if (replica->role == BW_REPLICA_UNINITIALISED &&
	    header->type != REPLICA_HELLO) {
		if (!sender_disk_valid_(replica, header))
			return;
		replica->group_id = header->group_id;
	}
	if (header->type != REPLICA_HELLO &&
	    header->type != REPLICA_VOTE_REQUEST &&
	    header->term > replica->meta.term)
		replica_follow(replica, header->term, "");
	if (replica->role == BW_REPLICA_FAILED)
		return;
	switch (header->type) {
	case REPLICA_HELLO:
		replica_receive_hello(replica, header, reader);
		break;
	case REPLICA_VOTE_REQUEST:
		replica_receive_vote_request(replica, header, reader);
		break;
	case REPLICA_VOTE_REPLY:
		replica_receive_vote_reply(replica, header, reader);
		break;
	case REPLICA_APPEND:
		replica_receive_append(replica, header, reader);
		break;
	case REPLICA_APPEND_REPLY:
		replica_receive_append_reply(replica, header, reader);
		break;
	case REPLICA_SNAPSHOT:
		replica_receive_snapshot(replica, header, reader);
		break;
	case REPLICA_SNAPSHOT_REPLY:
		replica_receive_snapshot_reply(replica, header, reader);
		break;
	case REPLICA_REMOVED:
		replica->removed = true;
		break;
	case REPLICA_BOOTSTRAP:
		replica_receive_bootstrap(replica, header, reader);
		break;
	case REPLICA_TYPE_COUNT:
		break;
	}
}

static void tick_leader_(struct bw_replica *replica)
{
	int64_t quorum_contact_ms =
		replica_quorum_ack_ms(replica, replica->now_ms);

	if (quorum_contact_ms < replica->leader_since_ms)
		quorum_contact_ms = replica->leader_since_ms;
	if (replica->now_ms - quorum_contact_ms > replica->election_max_ms) {
		replica_handle_event(replica, REPLICA_STEP_DOWN);
		return;
	}
	replica_tick_members(replica);
	replica_send_append_all(replica, false);
	if (replica_sync_log(replica))
		replica_advance_commit(replica);
	if (replica->role != BW_REPLICA_LEADER)
		return;
	if (replica->now_ms < replica->heartbeat_due_ms &&
	    replica->sent_commit_index == replica->commit_index)
		return;
	replica->heartbeat_due_ms = replica->now_ms + replica->heartbeat_ms;
	replica_send_append_all(replica, true);
}

static json_t *dump_member_(const struct bw_replica *replica, uint32_t slot)
{
	const struct bw_group_member *member = &replica->group.members[slot];

	return json_pack("{s:s,s:s,s:I,s:b}", "host", member->host, "kind",
			 bw_member_kind_string[member->kind], "match_index",
			 (json_int_t)replica->peers[slot].match_index,
			 "caught_up",
			 replica_caught_up(replica, slot, replica->now_ms));
}
