/**
 * @file
 * Interface between the source files of the replica.
 */
#ifndef PRIVATE_REPLICA_H
#define PRIVATE_REPLICA_H

#include "bwagree/replica.h"
#include "bwbase/codec.h"

/** Version of the packet format. */
#define REPLICA_VERSION 1

/** Maximum payload, entries or snapshot, of one packet. */
#define REPLICA_CHUNK_BYTES (256 * 1024)

/** Maximum number of unacknowledged packets with entries to one member. */
#define REPLICA_IN_FLIGHT_MAX 4

/** Maximum number of hosts known from settings and announcements. */
#define REPLICA_CONTACTS_MAX 128

/** Acknowledgement time of a member that has not acknowledged anything. */
#define REPLICA_NEVER_MS INT64_MIN

/** Types of packet. The values are part of the wire format. */
enum replica_type {
	REPLICA_HELLO = 1,
	REPLICA_VOTE_REQUEST = 2,
	REPLICA_VOTE_REPLY = 3,
	REPLICA_APPEND = 4,
	REPLICA_APPEND_REPLY = 5,
	REPLICA_SNAPSHOT = 6,
	REPLICA_SNAPSHOT_REPLY = 7,
	REPLICA_REMOVED = 8,
	REPLICA_BOOTSTRAP = 9,
	REPLICA_TYPE_COUNT
};

/** Events of charts/replica.yaml. */
enum replica_event {
	REPLICA_INITIALISED,
	REPLICA_ELECTION_TIMEOUT,
	REPLICA_PRE_VOTE_WON,
	REPLICA_VOTE_WON,
	REPLICA_STEP_DOWN,
	REPLICA_DISK_FAILED,
	REPLICA_DISK_REOPENED,
	REPLICA_EVENT_COUNT
};

/** Actions of charts/replica.yaml. */
enum replica_action {
	REPLICA_DO_FOLLOW,
	REPLICA_DO_REQUEST_PRE_VOTES,
	REPLICA_DO_REQUEST_VOTES,
	REPLICA_DO_LEAD,
	REPLICA_ACTION_COUNT
};

/** Durable state besides log and snapshot. */
struct replica_meta {
	uint64_t disk_incarnation;
	uint64_t group_id; /**< 0 until the first log entry is durable */
	uint64_t term;
	uint64_t voted_for; /**< disk incarnation; 0 none in this term */
};

/** Header of every packet. */
struct replica_header {
	char peer[BW_NAME_MAX];
	enum replica_type type;
	uint64_t group_id;
	uint64_t from_disk; /**< sender's disk incarnation */
	uint64_t to_disk; /**< receiver's disk incarnation; 0 in a hello */
	uint64_t term;
};

/** State that a leader or candidate keeps of one member of the group. */
struct replica_peer {
	uint64_t next_index;
	uint64_t match_index;
	int64_t ack_ms; /**< send time of the newest acknowledged packet */
	int64_t progress_ms; /**< last acknowledgement or retransmission */
	uint32_t in_flight; /**< unacknowledged packets with entries */
	bool probing; /**< one packet in flight until one is accepted */
	bool in_snapshot; /**< a snapshot transfer is in progress */
	uint64_t snapshot_offset;
	bool pre_vote;
	bool vote;
};

/** Announcement state of a host; hello packets carry the nonces. */
struct replica_contact {
	char host[BW_NAME_MAX];
	uint64_t disk_incarnation; /**< confirmed by the nonce; 0 unknown */
	bool empty; /**< disk had no group at the last confirmation */
	bool asks; /**< it asked to join: an empty disk, or a removed host */
	int64_t confirmed_ms;
	uint64_t nonce; /**< own nonce, which the host has to echo */
	uint64_t echo; /**< newest nonce of the host, echoed in replies */
};

/** A replica. */
struct bw_replica {
	char host[BW_NAME_MAX];
	char initial_hosts[BW_GROUP_MAX][BW_NAME_MAX];
	uint32_t initial_count;
	bool join_only;
	const struct bw_chart *chart;
	struct bw_storage *storage;
	struct bw_replica_config config; /**< as given, to open it again */
	struct bw_random random;
	int64_t heartbeat_ms;
	int64_t election_min_ms;
	int64_t election_max_ms;
	int64_t lease_ms;
	uint64_t compact_bytes;

	struct replica_meta meta;
	struct bw_wal wal;
	struct bw_state state;
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	uint64_t snapshot_bytes;
	uint64_t bytes_since_snapshot; /**< log bytes applied since then */
	uint64_t commit_index;
	bool current; /**< see bw_replica_is_current */
	uint64_t group_id; /**< id in packet headers */
	struct bw_group group; /**< newest configuration in the log */
	uint64_t group_index; /**< its log index; 0 if from the snapshot */
	bool removed; /**< the leader reported the removal */

	enum bw_replica_role role;
	char leader[BW_NAME_MAX];
	char reported_leader[BW_NAME_MAX]; /**< in the last LEADER_CHANGED */
	uint64_t reported_term;
	int64_t leader_contact_ms;
	int64_t no_vote_until_ms; /**< startup delay before granting votes */
	int64_t election_deadline_ms;
	int64_t heartbeat_due_ms;
	int64_t hello_due_ms;
	int64_t leader_since_ms;
	uint64_t term_start_index; /**< first entry of the own term as leader */
	uint64_t sent_commit_index;
	struct replica_peer peers[BW_GROUP_MAX]; /**< same order as the group */
	struct replica_contact contacts[REPLICA_CONTACTS_MAX];
	uint32_t contact_count;

	struct bw_snapshot outgoing; /**< for members that lag too far */
	struct bw_snapshot incoming;
	uint64_t incoming_total_bytes;

	GQueue events;
	uint64_t dropped_packets;
	uint64_t elections_started;
	uint64_t snapshots_installed;

	int64_t reopen_due_ms; /**< in the FAILED role */
	int64_t reopen_delay_ms; /**< before the next attempt */
	int64_t reopened_ms; /**< last success; 0 none */

	int64_t now_ms; /**< time of the call in progress */
	struct bw_outbox *out; /**< outbox of the call in progress, or NULL */
};

/* replica.c */
/**
 * Creates a replica.
 * @param after_failure whether a write or sync of this process has failed
 * @param error see bw_replica_new
 */
enum bw_status replica_create(struct bw_replica **replica,
			      const struct bw_replica_config *config,
			      struct bw_time now, bool after_failure,
			      char *error);
/** Looks up the role change in the chart and performs its action. */
void replica_handle_event(struct bw_replica *replica, enum replica_event event);
/** Enters the FAILED role after a storage error. */
void replica_fail(struct bw_replica *replica, enum bw_status status);
/** Becomes a follower in a term; resets the vote when the term is new. */
void replica_follow(struct bw_replica *replica, uint64_t term,
		    const char *leader);
/** Queues a copy of an event for the caller. */
void replica_queue_event(struct bw_replica *replica,
			 const struct bw_replica_event *event);
/** Restarts the randomized election timer. */
void replica_reset_deadline(struct bw_replica *replica);

/* replica_reopen.c */
/** Schedules the first attempt to open the storage of a failed replica. */
void replica_schedule_reopen(struct bw_replica *replica);
/** Opens the storage again, if an attempt is due. */
void replica_tick_failed(struct bw_replica *replica, struct bw_time now);

/* replica_store.c */
enum bw_status replica_meta_load(struct bw_storage *storage,
				 struct replica_meta *meta);
/** Saves meta; an error enters the FAILED role. */
bool replica_meta_save(struct bw_replica *replica);
/**
 * Opens meta, snapshot and log.
 * @param after_failure writes again what an earlier failed sync may have left
 *	in memory only
 * @param error see bw_replica_new
 */
enum bw_status replica_open(struct bw_replica *replica,
			    const struct bw_replica_config *config,
			    bool after_failure, char *error);
/** Returns the term of an entry; known is false when it is not available. */
uint64_t replica_term_at(const struct bw_replica *replica, uint64_t index,
			 bool *known);
/** Applies the committed entries. */
void replica_apply(struct bw_replica *replica);
/** Takes a snapshot and compacts the log when it is large enough. */
void replica_compact(struct bw_replica *replica);
/** Loads the newest configuration from the log, else from the state. */
void replica_find_group(struct bw_replica *replica);
/** Activates a configuration; keeps the peer state of remaining members. */
void replica_set_group(struct bw_replica *replica, const struct bw_group *group,
		       uint64_t index);
/** Syncs the log; an error enters the FAILED role. */
bool replica_sync_log(struct bw_replica *replica);

/* replica_wire.c */
/** Starts a packet to a member; fields is their number after the header. */
void replica_write_header(struct bw_replica *replica, struct bw_buffer *buffer,
			  struct bw_writer *writer, enum replica_type type,
			  uint64_t to, uint32_t fields);
/** Adds a packet to the outbox and frees the buffer. */
void replica_send(struct bw_replica *replica, const char *host,
		  struct bw_buffer *buffer, const struct bw_writer *writer);
/** Reads the header. @return BW_OK, BW_EINVAL or BW_EVERSION */
enum bw_status replica_read_header(struct bw_reader *reader,
				   struct replica_header *header);

/* replica_election.c */
void replica_request_votes(struct bw_replica *replica, bool pre_vote);
void replica_receive_vote_request(struct bw_replica *replica,
				  const struct replica_header *header,
				  struct bw_reader *reader);
void replica_receive_vote_reply(struct bw_replica *replica,
				const struct replica_header *header,
				struct bw_reader *reader);
/** Returns the latest send time acknowledged by a quorum. */
int64_t replica_quorum_ack_ms(const struct bw_replica *replica, int64_t now_ms);
/** Returns the member entry of the local disk, or NULL. */
struct bw_group_member *replica_self(const struct bw_replica *replica);
/** Returns whether the local disk is a voter. */
bool replica_is_voter(const struct bw_replica *replica);
/** Returns the number of voters. */
uint32_t replica_voter_count(const struct bw_replica *replica);
/** Finds a member by host and disk; returns its group index or -1. */
int replica_find_member(const struct bw_replica *replica, const char *host,
			uint64_t disk_incarnation);

/* replica_append.c */
void replica_become_leader(struct bw_replica *replica);
/** Appends an entry of the current term to the log, without a sync. */
enum bw_status replica_append_own(struct bw_replica *replica,
				  const uint8_t *data, size_t size_bytes);
/**
 * Sends missing entries to a member.
 * @param slot index of the member in the group
 * @param heartbeat whether to send a packet even without entries
 */
void replica_send_append(struct bw_replica *replica, uint32_t slot,
			 bool heartbeat);
void replica_send_append_all(struct bw_replica *replica, bool heartbeat);
void replica_advance_commit(struct bw_replica *replica);
void replica_receive_append(struct bw_replica *replica,
			    const struct replica_header *header,
			    struct bw_reader *reader);
void replica_receive_append_reply(struct bw_replica *replica,
				  const struct replica_header *header,
				  struct bw_reader *reader);
/** Marks the replica as initialised, once an entry is durable. */
void replica_join_group(struct bw_replica *replica);

/* replica_transfer.c */
void replica_send_snapshot(struct bw_replica *replica, uint32_t slot);
void replica_receive_snapshot(struct bw_replica *replica,
			      const struct replica_header *header,
			      struct bw_reader *reader);
void replica_receive_snapshot_reply(struct bw_replica *replica,
				    const struct replica_header *header,
				    struct bw_reader *reader);

/* replica_member.c */
/** Announces the local disk; creates the group when all disks are empty. */
void replica_tick_hello(struct bw_replica *replica);
/** Proposes the next single-member change, if one is due. */
void replica_tick_members(struct bw_replica *replica);
void replica_receive_hello(struct bw_replica *replica,
			   const struct replica_header *header,
			   struct bw_reader *reader);
/** Stores the first log entry of the group on an empty disk. */
void replica_receive_bootstrap(struct bw_replica *replica,
			       const struct replica_header *header,
			       struct bw_reader *reader);
/** Discards announcements from before this replica became leader. */
void replica_reset_contacts(struct bw_replica *replica);
void replica_send_removed(struct bw_replica *replica,
			  const struct replica_header *header);
/** Finds or adds a contact; NULL when the table is full. */
struct replica_contact *replica_contact(struct bw_replica *replica,
					const char *host, bool add);
/** Returns whether a member has all committed entries and responds. */
bool replica_caught_up(const struct bw_replica *replica, uint32_t slot,
		       int64_t now_ms);

#endif
