/**
 * @file
 * One replica of a Raft group: election with pre-vote, log replication, leader
 * lease, membership change, snapshot transfer.
 *
 * For a low commit latency the leader calls bw_replica_propose (any number of
 * times) and bw_replica_flush, sends the outbox, then calls bw_replica_sync:
 * the followers sync their logs in parallel with the leader. bw_replica_tick
 * also flushes and syncs.
 */
#ifndef BWAGREE_REPLICA_H
#define BWAGREE_REPLICA_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "bwagree/snapshot.h"
#include "bwagree/state.h"
#include "bwagree/storage.h"
#include "bwagree/wal.h"
#include "bwbase/chart.h"
#include "bwbase/clock.h"
#include "bwbase/packet.h"
#include "bwbase/random.h"

/** Default path of the state chart. */
#define BW_REPLICA_CHART "charts/replica.yaml"

/** Roles of a replica; the states of charts/replica.yaml. */
enum bw_replica_role {
	BW_REPLICA_UNINITIALISED, /**< empty disk; counts in no quorum */
	BW_REPLICA_FOLLOWER,
	BW_REPLICA_PRE_CANDIDATE,
	BW_REPLICA_CANDIDATE,
	BW_REPLICA_LEADER,
	BW_REPLICA_FAILED, /**< storage error; inactive until reopened */
	BW_REPLICA_ROLE_COUNT
};

/** Stable names of enum bw_replica_role. */
extern const char *const bw_replica_role_string[BW_REPLICA_ROLE_COUNT];

/** Settings; a time or size of 0 selects the default. */
struct bw_replica_config {
	char host[BW_NAME_MAX];
	const char (*initial_hosts)[BW_NAME_MAX]; /**< copied */
	uint32_t initial_count; /**< 1 to BW_GROUP_MAX */
	const struct bw_chart *chart; /**< loaded; must outlive the replica */
	struct bw_storage *storage; /**< must outlive the replica */
	uint64_t seed; /**< for timeouts, disk incarnation, group id */
	uint32_t heartbeat_ms; /**< default 100 */
	uint32_t election_min_ms; /**< default 500 */
	uint32_t election_max_ms; /**< default 1000 */
	uint32_t lease_ms; /**< default 400; below election_min_ms */
	uint32_t compact_bytes; /**< log size to compact; default 4 MiB */
	uint32_t segment_bytes; /**< default BW_WAL_SEGMENT_BYTES */
	uint32_t submissions_max; /**< see bw_state_init */
	uint32_t bindings_max; /**< see bw_state_init */
	bool join_only; /**< never creates a group, even on an empty disk */
};

/** Kinds of event. */
enum bw_replica_event_kind {
	BW_REPLICA_APPLIED, /**< a command was committed and applied */
	BW_REPLICA_LEADER_CHANGED,
	BW_REPLICA_SNAPSHOT_INSTALLED, /**< state was replaced; re-read all */
	BW_REPLICA_STORAGE_FAILED,
	BW_REPLICA_STORAGE_REOPENED, /**< state was replaced; re-read all */
	BW_REPLICA_MEMBER_CHANGED, /**< a group change was committed */
	BW_REPLICA_EVENT_KIND_COUNT
};

/** Stable names of enum bw_replica_event_kind. */
extern const char
	*const bw_replica_event_kind_string[BW_REPLICA_EVENT_KIND_COUNT];

/** An event for the caller. */
struct bw_replica_event {
	enum bw_replica_event_kind kind;
	uint64_t index; /**< APPLIED, SNAPSHOT_INSTALLED, MEMBER_CHANGED */
	uint64_t term; /**< APPLIED: entry term; LEADER_CHANGED: current term */
	enum bw_command_kind command; /**< APPLIED */
	struct bw_outcome outcome; /**< APPLIED */
	char leader[BW_NAME_MAX]; /**< LEADER_CHANGED; empty when unknown */
	enum bw_status status; /**< STORAGE_FAILED */
};

/** Replication status of a member on the leader. */
struct bw_replica_member {
	struct bw_group_member member;
	uint64_t match_index; /**< acknowledged; 0 unless this is the leader */
	bool caught_up; /**< has all committed entries and responds */
};

struct bw_replica;

/**
 * Loads and checks the state chart of the roles.
 * @return see bw_chart_load
 */
enum bw_status bw_replica_chart_load(struct bw_chart *chart, const char *path,
				     struct bw_yaml_error *error);

/**
 * Opens the storage and creates a replica. The replica grants no vote for one
 * minimum election timeout after the start, because a lease that it
 * acknowledged before a restart may still be valid.
 * @param replica receives the replica; NULL on failure
 * @param error receives the cause of BW_ECORRUPT; BW_WAL_ERROR_BYTES long
 * @return BW_OK, BW_EINVAL, BW_ECORRUPT, BW_EIO, BW_EFULL or BW_ENOMEM
 */
enum bw_status bw_replica_new(struct bw_replica **replica,
			      const struct bw_replica_config *config,
			      struct bw_time now, char *error);

/** Frees the replica; NULL is allowed. The storage is not freed. */
void bw_replica_free(struct bw_replica *replica);

/**
 * Handles a packet of BW_CHANNEL_REPLICA. Malformed packets and packets of
 * another group or disk incarnation are counted and dropped.
 * @return BW_OK; BW_EINVAL or BW_EVERSION for a malformed packet; BW_EIO when
 *	the replica has failed
 */
enum bw_status bw_replica_receive(struct bw_replica *replica,
				  const struct bw_packet *packet,
				  struct bw_time now, struct bw_outbox *out);

/**
 * Advances timers; called every 50 ms. A failed replica opens its storage again
 * from time to time. Once that succeeds, it continues as after a restart of the
 * process: it is not current, and its state may be older than before.
 * @return BW_OK or BW_EIO
 */
enum bw_status bw_replica_tick(struct bw_replica *replica, struct bw_time now,
			       struct bw_outbox *out);

/**
 * Adds a command to the leader's log; it is not yet sent.
 * @param index receives the log index; the command took effect when APPLIED
 *	reports this index with the term bw_replica_term at the call
 * @return BW_OK; BW_EUNAVAILABLE when this is not the leader; BW_EFULL when
 *	too much is unsynced or uncommitted; BW_EINVAL; BW_EIO
 */
enum bw_status bw_replica_propose(struct bw_replica *replica,
				  const uint8_t *data, size_t size_bytes,
				  struct bw_time now, uint64_t *index);

/** Sends the unsent proposals to the followers. @return BW_OK or BW_EIO */
enum bw_status bw_replica_flush(struct bw_replica *replica, struct bw_time now,
				struct bw_outbox *out);

/** Syncs the log and commits the entries that a quorum has stored. */
enum bw_status bw_replica_sync(struct bw_replica *replica, struct bw_time now,
			       struct bw_outbox *out);

/** Removes the oldest event from the queue. @return whether there was one */
bool bw_replica_next_event(struct bw_replica *replica,
			   struct bw_replica_event *event);

/**
 * Proposes to add a host as a learner.
 * @param voter whether to promote it to voter once it has caught up
 * @return BW_OK when proposed; BW_EUNAVAILABLE when not the leader;
 *	BW_EAGAIN while another change is in progress or the host has not yet
 *	announced its disk incarnation; BW_EEXIST; BW_EFULL
 */
enum bw_status bw_replica_add(struct bw_replica *replica, const char *host,
			      bool voter, struct bw_time now);

/**
 * Proposes to remove a host from the group.
 * @return BW_OK when proposed; BW_EUNAVAILABLE, BW_EAGAIN; BW_ENOTFOUND;
 *	BW_EINVAL for the last voter
 */
enum bw_status bw_replica_remove(struct bw_replica *replica, const char *host,
				 struct bw_time now);

/**
 * Proposes to add, as learners, all hosts that are not members and asked to
 * join within the last 2 s: hosts with an empty disk, and hosts that were
 * removed. They are added in one change, because learners do not count in a
 * quorum. For groups whose hosts are not listed in the settings.
 * @param count receives the number of added hosts
 * @return BW_OK when proposed; BW_ENOTFOUND without such a host; BW_EFULL when
 *	the group has no room for any of them; BW_EUNAVAILABLE, BW_EAGAIN
 */
enum bw_status bw_replica_admit(struct bw_replica *replica, uint32_t *count,
				struct bw_time now);

/**
 * Proposes to make a member a voter once it has caught up, or to make a voter a
 * learner. One change is in progress at a time.
 * @return BW_OK when proposed; BW_EUNAVAILABLE when not the leader; BW_EAGAIN;
 *	BW_ENOTFOUND; BW_EEXIST when it is one already; BW_EINVAL for the last
 *	voter and for the leader
 */
enum bw_status bw_replica_set_voter(struct bw_replica *replica,
				    const char *host, bool voter,
				    struct bw_time now);

/** Returns the role. */
enum bw_replica_role bw_replica_role(const struct bw_replica *replica);

/** Returns the leader's host name, or "" when unknown. */
const char *bw_replica_leader(const struct bw_replica *replica);

/** Returns the current term. */
uint64_t bw_replica_term(const struct bw_replica *replica);

/**
 * Returns whether this replica is the leader, has applied every entry that was
 * committed before its term, and no other leader can exist at time now.
 */
bool bw_replica_has_lease(const struct bw_replica *replica, struct bw_time now);

/**
 * Returns whether the applied state has, at some time since the start, included
 * every entry committed by that time. Until then it may be older than the state
 * that this host served before a restart.
 */
bool bw_replica_is_current(const struct bw_replica *replica);

/** Returns the highest log index known to be committed. */
uint64_t bw_replica_commit_index(const struct bw_replica *replica);

/** Returns the incarnation of the local disk. */
uint64_t bw_replica_disk_incarnation(const struct bw_replica *replica);

/** Returns the applied state; valid until the next call that changes it. */
const struct bw_state *bw_replica_state(const struct bw_replica *replica);

/**
 * Lists the members of the newest configuration in the log.
 * @param members array of BW_GROUP_MAX elements
 * @return the number of members
 */
uint32_t bw_replica_members(const struct bw_replica *replica,
			    struct bw_time now,
			    struct bw_replica_member *members);

/** Adds role, term, log indices, sizes, members, counters to a state dump. */
enum bw_status bw_replica_dump(const struct bw_replica *replica, json_t *into);

#endif
