/**
 * @file
 * The replicated state machine and the commands that change it.
 */
#ifndef BWAGREE_STATE_H
#define BWAGREE_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "bwbase/buffer.h"
#include "bwbase/packet.h"
#include "bwbase/status.h"

/** Size of a content hash or key hash (BLAKE2b-128). */
#define BW_HASH_BYTES 16

/** Size of a submission id, terminating zero included. */
#define BW_SUBMISSION_ID_MAX 64

/** Largest sheet text. */
#define BW_SHEET_TEXT_MAX_BYTES (8 * 1024 * 1024)

/**
 * Largest sheet text in a command, which has to fit into one packet. A larger
 * text is compressed; its command is BW_COMMAND_SUBMIT_PACKED.
 */
#define BW_SHEET_COMMAND_MAX_BYTES (700 * 1024)

/** Largest encoded plan. */
#define BW_PLAN_MAX_BYTES (512 * 1024)

/** Maximum number of members of a group: voters, learners and pending ones. */
#define BW_GROUP_MAX 64

/** Maximum number of failure domains evacuated at the same time. */
#define BW_EVACUATIONS_MAX 64

/** Default limits of the tables of submissions and bindings. */
#define BW_SUBMISSIONS_MAX 100000
#define BW_BINDINGS_MAX 65536

/** Kinds of command. The values are part of the log format. */
enum bw_command_kind {
	BW_COMMAND_NONE = 0, /**< no-op that a new leader appends first */
	BW_COMMAND_SUBMIT = 1,
	BW_COMMAND_SET_PLAN = 2,
	BW_COMMAND_BIND_KEY = 3,
	BW_COMMAND_GROUP = 4,
	BW_COMMAND_EVACUATE = 5,
	BW_COMMAND_SUBMIT_PACKED = 6, /**< a submission with a large text */
	BW_COMMAND_KIND_COUNT
};

/** Stable names of enum bw_command_kind. */
extern const char *const bw_command_kind_string[BW_COMMAND_KIND_COUNT];

/** Outcomes of commands. The values are part of the snapshot format. */
enum bw_outcome_kind {
	BW_OUTCOME_NONE = 0,
	BW_OUTCOME_ACCEPTED, /**< the sheet is the current one now */
	BW_OUTCOME_ALREADY_ACCEPTED, /**< the current sheet is identical */
	BW_OUTCOME_CONFLICT, /**< revision and hash: the current sheet's */
	BW_OUTCOME_PLAN_SET,
	BW_OUTCOME_BOUND, /**< the key is bound to the command's owner */
	BW_OUTCOME_ALREADY_BOUND, /**< owner: that of the earlier binding */
	BW_OUTCOME_FULL, /**< no room for another binding or evacuation */
	BW_OUTCOME_EXPIRED, /**< expiry is not after the current time */
	BW_OUTCOME_GROUP_CHANGED,
	BW_OUTCOME_INVALID, /**< the command is malformed */
	BW_OUTCOME_EVACUATION_SET, /**< revision: log index of the change */
	BW_OUTCOME_KIND_COUNT
};

/** Stable names of enum bw_outcome_kind. */
extern const char *const bw_outcome_kind_string[BW_OUTCOME_KIND_COUNT];

/** Outcome of one command. */
struct bw_outcome {
	enum bw_outcome_kind kind;
	bool repeated; /**< stored outcome of a repeated submission */
	uint64_t revision; /**< submit: current revision when applied */
	uint8_t hash[BW_HASH_BYTES]; /**< submit: current sheet's; bind: key */
	char submission[BW_SUBMISSION_ID_MAX]; /**< submit */
	char owner[BW_NAME_MAX]; /**< bind: owner host */
	uint64_t owner_incarnation; /**< bind */
	int64_t expiry_wall_ms; /**< bind */
};

/** Command BW_COMMAND_SUBMIT. */
struct bw_submit {
	char id[BW_SUBMISSION_ID_MAX]; /**< not empty */
	uint64_t revision; /**< greater than zero */
	uint8_t hash[BW_HASH_BYTES];
	const uint8_t *text; /**< not owned */
	size_t text_size_bytes;
	int64_t accept_wall_ms;
};

/** Command BW_COMMAND_BIND_KEY. */
struct bw_bind_key {
	uint8_t key[BW_HASH_BYTES];
	char owner[BW_NAME_MAX];
	uint64_t owner_incarnation;
	int64_t expiry_wall_ms;
	int64_t now_wall_ms; /**< bindings that expire by then are removed */
};

/** Role of a member of the group. */
enum bw_member_kind {
	BW_MEMBER_VOTER,
	BW_MEMBER_LEARNER, /**< receives the log, is not in the quorum */
	BW_MEMBER_PENDING, /**< to be added once its old disk is removed */
	BW_MEMBER_KIND_COUNT
};

/** Stable names of enum bw_member_kind. */
extern const char *const bw_member_kind_string[BW_MEMBER_KIND_COUNT];

/** One member: a host and the incarnation of its disk. */
struct bw_group_member {
	char host[BW_NAME_MAX];
	uint64_t disk_incarnation;
	enum bw_member_kind kind;
	bool promote; /**< make it a voter once its log has caught up */
};

/** Configuration of the group. */
struct bw_group {
	uint64_t id; /**< random; 0 before the group is created */
	struct bw_group_member members[BW_GROUP_MAX]; /**< sorted by host */
	uint32_t count;
};

/** The replicated state. Only state.c accesses the tables. */
struct bw_state {
	uint64_t applied_index;
	uint64_t revision; /**< of the accepted sheet; 0 none */
	uint8_t hash[BW_HASH_BYTES];
	struct bw_buffer text;
	int64_t accept_wall_ms;
	uint64_t sheet_index; /**< log index of the acceptance */
	struct bw_buffer plan;
	uint64_t plan_version; /**< log index; 0 none */
	struct bw_group group; /**< as of the last applied change */
	char evacuated[BW_EVACUATIONS_MAX][BW_NAME_MAX]; /**< domains */
	uint32_t evacuated_count;
	uint64_t evacuation_index; /**< log index of the last change */
	uint32_t submissions_max;
	uint32_t bindings_max;
	int64_t wall_ms; /**< latest now_wall_ms of the bind commands */
	GQueue submissions; /**< oldest first */
	GHashTable *submission_by_id;
	GTree *binding_by_expiry;
	GHashTable *binding_by_key;
};

/**
 * Initialises an empty state.
 * @param submissions_max number of newest outcomes kept; 0 for the default
 * @param bindings_max maximum number of bindings; 0 for the default
 */
void bw_state_init(struct bw_state *state, uint32_t submissions_max,
		   uint32_t bindings_max);

/** Frees the state. */
void bw_state_finish(struct bw_state *state);

/**
 * Applies a committed command. Deterministic: the result depends only on the
 * earlier commands and this one.
 * @param index log index, greater than applied_index
 * @return BW_OK (outcome filled, also for an invalid command) or BW_ENOMEM
 */
enum bw_status bw_state_apply(struct bw_state *state, uint64_t index,
			      const uint8_t *data, size_t size_bytes,
			      struct bw_outcome *outcome);

/** Appends the encoded state. @return BW_OK or BW_ENOMEM */
enum bw_status bw_state_save(const struct bw_state *state,
			     struct bw_buffer *out);

/**
 * Replaces the state by an encoded one; keeps the limits of the tables.
 * @return BW_OK; BW_EINVAL, with the state empty afterwards
 */
enum bw_status bw_state_restore(struct bw_state *state, const uint8_t *data,
				size_t size_bytes);

/** Finds the first outcome of a submission id. @return whether stored */
bool bw_state_submission(const struct bw_state *state, const char *id,
			 struct bw_outcome *outcome);

/**
 * Finds the binding of a key unless it has expired at now_wall_ms.
 * @return whether there is one
 */
bool bw_state_binding(const struct bw_state *state,
		      const uint8_t key[BW_HASH_BYTES], int64_t now_wall_ms,
		      struct bw_outcome *outcome);

/** Returns the kind of an encoded command; BW_COMMAND_KIND_COUNT if unknown. */
enum bw_command_kind bw_command_kind(const uint8_t *data, size_t size_bytes);

/** Appends an encoded command. @return BW_OK, BW_EINVAL or BW_ENOMEM */
enum bw_status bw_command_none(struct bw_buffer *out);
enum bw_status bw_command_set_plan(struct bw_buffer *out, const void *plan,
				   size_t size_bytes);
enum bw_status bw_command_bind_key(struct bw_buffer *out,
				   const struct bw_bind_key *bind);
enum bw_status bw_command_group(struct bw_buffer *out,
				const struct bw_group *group);

/**
 * Appends a submission.
 * @return BW_OK, BW_EINVAL or BW_ENOMEM; BW_EFULL when the text is larger than
 *	BW_SHEET_TEXT_MAX_BYTES, or than BW_SHEET_COMMAND_MAX_BYTES when it is
 *	compressed
 */
enum bw_status bw_command_submit(struct bw_buffer *out,
				 const struct bw_submit *submit);

/**
 * Appends a command that starts or ends the evacuation of a failure domain.
 * @return BW_OK, BW_EINVAL or BW_ENOMEM
 */
enum bw_status bw_command_evacuate(struct bw_buffer *out, const char *domain,
				   bool active);

/** Decodes a command BW_COMMAND_GROUP. @return BW_OK or BW_EINVAL */
enum bw_status bw_command_read_group(const uint8_t *data, size_t size_bytes,
				     struct bw_group *group);

/** Finds a member by host name; NULL when there is none. */
struct bw_group_member *bw_group_find(struct bw_group *group, const char *host);

/** Inserts a member by host name. @return BW_OK, BW_EEXIST or BW_EFULL */
enum bw_status bw_group_add(struct bw_group *group,
			    const struct bw_group_member *member);

/** Removes a member by host name. @return BW_OK or BW_ENOTFOUND */
enum bw_status bw_group_remove(struct bw_group *group, const char *host);

/** Adds the table sizes and the sheet revision to a state dump. */
enum bw_status bw_state_dump(const struct bw_state *state, json_t *into);

#endif
