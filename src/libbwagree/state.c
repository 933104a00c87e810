#include "bwagree/state.h"

#include <string.h>

#include "private/command.h"

/** First outcome of a submission id. */
struct submission {
	char id[BW_SUBMISSION_ID_MAX];
	enum bw_outcome_kind kind;
	uint64_t revision;
	uint8_t hash[BW_HASH_BYTES];
};

/** Binding of a caller's idempotency key to the host that owns it. */
struct binding {
	uint8_t key[BW_HASH_BYTES];
	char owner[BW_NAME_MAX];
	uint64_t owner_incarnation;
	int64_t expiry_wall_ms;
};

static void create_tables_(struct bw_state *state);
static void reset_state_(struct bw_state *state);
static enum bw_status apply_submit_(struct bw_state *state, uint64_t index,
				    const struct bw_submit *submit,
				    struct bw_outcome *outcome);
static enum bw_status decide_submit_(struct bw_state *state, uint64_t index,
				     const struct bw_submit *submit,
				     enum bw_outcome_kind *kind);
static void add_submission_(struct bw_state *state,
			    const struct submission *submission);
static void outcome_of_submission_(const struct submission *submission,
				   struct bw_outcome *outcome);
static enum bw_status apply_set_plan_(struct bw_state *state, uint64_t index,
				      struct bw_reader *reader,
				      struct bw_outcome *outcome);
static void apply_bind_key_(struct bw_state *state,
			    const struct bw_bind_key *bind,
			    struct bw_outcome *outcome);
static void apply_evacuate_(struct bw_state *state, uint64_t index,
			    struct bw_reader *reader,
			    struct bw_outcome *outcome);
static void read_evacuations_(struct bw_state *state, struct bw_reader *reader);
static void add_binding_(struct bw_state *state, const struct binding *binding);
static void remove_expired_(struct bw_state *state);
static void outcome_of_binding_(const struct binding *binding,
				struct bw_outcome *outcome);
static guint hash_key_(gconstpointer key);
static gboolean equal_keys_(gconstpointer a, gconstpointer b);
static gint compare_bindings_(gconstpointer a, gconstpointer b, gpointer data);
static gboolean write_binding_(gpointer key, gpointer value, gpointer data);
static void write_submissions_(const struct bw_state *state,
			       struct bw_writer *writer);
static void read_tables_(struct bw_state *state, struct bw_reader *reader);
static void read_submission_(struct bw_state *state, struct bw_reader *reader);
static void read_binding_(struct bw_state *state, struct bw_reader *reader);
static void read_bytes_(struct bw_reader *reader, struct bw_buffer *into);

const char *const bw_outcome_kind_string[BW_OUTCOME_KIND_COUNT] = {
	[BW_OUTCOME_NONE] = "none",
	[BW_OUTCOME_ACCEPTED] = "accepted",
	[BW_OUTCOME_ALREADY_ACCEPTED] = "already_accepted",
	[BW_OUTCOME_CONFLICT] = "conflict",
	[BW_OUTCOME_PLAN_SET] = "plan_set",
	[BW_OUTCOME_BOUND] = "bound",
	[BW_OUTCOME_ALREADY_BOUND] = "already_bound",
	[BW_OUTCOME_FULL] = "full",
	[BW_OUTCOME_EXPIRED] = "expired",
	[BW_OUTCOME_GROUP_CHANGED] = "group_changed",
	[BW_OUTCOME_INVALID] = "invalid",
	[BW_OUTCOME_EVACUATION_SET] = "evacuation_set",
};

void bw_state_init(struct bw_state *state, uint32_t submissions_max,
		   uint32_t bindings_max)
{
	memset(state, 0, sizeof(*state));
	state->submissions_max = submissions_max ? submissions_max
						 : BW_SUBMISSIONS_MAX;
	state->bindings_max = bindings_max ? bindings_max : BW_BINDINGS_MAX;
	create_tables_(state);
}

void bw_state_finish(struct bw_state *state)
{
	g_hash_table_destroy(state->submission_by_id);
	g_queue_clear_full(&state->submissions, g_free);
	g_hash_table_destroy(state->binding_by_key);
	g_tree_destroy(state->binding_by_expiry);
	bw_buffer_finish(&state->text);
	bw_buffer_finish(&state->plan);
}

enum bw_status bw_state_apply(struct bw_state *state, uint64_t index,
			      const uint8_t *data, size_t size_bytes,
			      struct bw_outcome *outcome)
{
	struct bw_reader reader;
	struct bw_submit submit;
	struct bw_buffer text = { 0 };
	struct bw_bind_key bind;
	struct bw_group group;
	enum bw_status status = BW_OK;

	memset(outcome, 0, sizeof(*outcome));
	outcome->kind = BW_OUTCOME_INVALID;
	state->applied_index = index;
	bw_reader_init(&reader, data, size_bytes);
	switch (command_read_header(&reader)) {
	case BW_COMMAND_NONE:
		outcome->kind = BW_OUTCOME_NONE;
		break;
	case BW_COMMAND_SUBMIT:
		if (command_read_submit(&reader, &submit))
			status = apply_submit_(state, index, &submit, outcome);
		break;
	case BW_COMMAND_SUBMIT_PACKED:
		status = command_read_packed_submit(&reader, &submit, &text);
		if (status == BW_OK)
			status = apply_submit_(state, index, &submit, outcome);
		else if (status == BW_EINVAL)
			status = BW_OK;
		break;
	case BW_COMMAND_SET_PLAN:
		status = apply_set_plan_(state, index, &reader, outcome);
		break;
	case BW_COMMAND_BIND_KEY:
		if (command_read_bind_key(&reader, &bind))
			apply_bind_key_(state, &bind, outcome);
		break;
	case BW_COMMAND_GROUP:
		command_read_group(&reader, &group);
		if (bw_reader_status(&reader) != BW_OK)
			break;
		state->group = group;
		outcome->kind = BW_OUTCOME_GROUP_CHANGED;
		break;
	case BW_COMMAND_EVACUATE:
		apply_evacuate_(state, index, &reader, outcome);
		break;
	case BW_COMMAND_KIND_COUNT:
		break;
	}
	bw_buffer_finish(&text);
	bw_reader_finish(&reader);
	return status;
}

enum bw_status bw_state_save(const struct bw_state *state,
			     struct bw_buffer *out)
{
	struct bw_writer writer;
	uint32_t i;

	bw_writer_init(&writer, out);
	bw_write_array(&writer, 15);
	bw_write_uint(&writer, COMMAND_VERSION);
	bw_write_uint(&writer, state->applied_index);
	bw_write_uint(&writer, state->revision);
	bw_write_bin(&writer, state->hash, BW_HASH_BYTES);
	bw_write_bin(&writer, state->text.data, state->text.size_bytes);
	bw_write_int(&writer, state->accept_wall_ms);
	bw_write_uint(&writer, state->sheet_index);
	bw_write_bin(&writer, state->plan.data, state->plan.size_bytes);
	bw_write_uint(&writer, state->plan_version);
	command_write_group(&writer, &state->group);
	bw_write_int(&writer, state->wall_ms);
	write_submissions_(state, &writer);
	bw_write_array(&writer,
		       (uint32_t)g_tree_nnodes(state->binding_by_expiry));
	g_tree_foreach(state->binding_by_expiry, write_binding_, &writer);
	bw_write_uint(&writer, state->evacuation_index);
	bw_write_array(&writer, state->evacuated_count);
	for (i = 0; i < state->evacuated_count; i++)
		bw_write_str(&writer, state->evacuated[i]);
	return writer.status;
}

enum bw_status bw_state_restore(struct bw_state *state, const uint8_t *data,
				size_t size_bytes)
{
	struct bw_reader reader;
	enum bw_status status;

	reset_state_(state);
	bw_reader_init(&reader, data, size_bytes);
	bw_read_array(&reader);
	if (bw_read_uint(&reader) != COMMAND_VERSION)
		reader.failed = true;
	state->applied_index = bw_read_uint(&reader);
	state->revision = bw_read_uint(&reader);
	command_read_fixed(&reader, state->hash, BW_HASH_BYTES);
	read_bytes_(&reader, &state->text);
	state->accept_wall_ms = bw_read_int(&reader);
	state->sheet_index = bw_read_uint(&reader);
	read_bytes_(&reader, &state->plan);
	state->plan_version = bw_read_uint(&reader);
	command_read_group(&reader, &state->group);
	state->wall_ms = bw_read_int(&reader);
	read_tables_(state, &reader);
	if (bw_read_more(&reader))
		read_evacuations_(state, &reader);
	status = bw_reader_status(&reader);
	bw_reader_finish(&reader);
	if (status != BW_OK)
		reset_state_(state);
	return status;
}

bool bw_state_submission(const struct bw_state *state, const char *id,
			 struct bw_outcome *outcome)
{
	const struct submission *submission =
		g_hash_table_lookup(state->submission_by_id, id);

	if (!submission)
		return false;
	outcome_of_submission_(submission, outcome);
	return true;
}

bool bw_state_binding(const struct bw_state *state,
		      const uint8_t key[BW_HASH_BYTES], int64_t now_wall_ms,
		      struct bw_outcome *outcome)
{
	const struct binding *binding =
		g_hash_table_lookup(state->binding_by_key, key);

	if (!binding || binding->expiry_wall_ms <= now_wall_ms)
		return false;
	outcome_of_binding_(binding, outcome);
	outcome->kind = BW_OUTCOME_ALREADY_BOUND;
	return true;
}

enum bw_status bw_state_dump(const struct bw_state *state, json_t *into)
{
	json_t *object =
		json_pack("{s:I,s:I,s:I,s:I,s:I,s:i,s:i}", "applied_index",
			  (json_int_t)state->applied_index, "revision",
			  (json_int_t)state->revision, "sheet_bytes",
			  (json_int_t)state->text.size_bytes, "plan_version",
			  (json_int_t)state->plan_version, "plan_bytes",
			  (json_int_t)state->plan.size_bytes, "submissions",
			  (int)state->submissions.length, "bindings",
			  (int)g_tree_nnodes(state->binding_by_expiry));

	return object && !json_object_set_new(into, "state", object)
		       ? BW_OK
		       : BW_ENOMEM;
}

static void create_tables_(struct bw_state *state)
{
	g_queue_init(&state->submissions);
	state->submission_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	state->binding_by_expiry =
		g_tree_new_full(compare_bindings_, NULL, g_free, NULL);
	state->binding_by_key = g_hash_table_new(hash_key_, equal_keys_);
}

static void reset_state_(struct bw_state *state)
{
	uint32_t submissions_max = state->submissions_max;
	uint32_t bindings_max = state->bindings_max;

	bw_state_finish(state);
	bw_state_init(state, submissions_max, bindings_max);
}

static enum bw_status apply_submit_(struct bw_state *state, uint64_t index,
				    const struct bw_submit *submit,
				    struct bw_outcome *outcome)
{
	struct submission submission = { .revision = 0 };
	enum bw_status status;

	if (bw_state_submission(state, submit->id, outcome))
		return BW_OK;
	status = decide_submit_(state, index, submit, &submission.kind);
	memcpy(submission.id, submit->id, BW_SUBMISSION_ID_MAX);
	submission.revision = state->revision;
	memcpy(submission.hash, state->hash, BW_HASH_BYTES);
	add_submission_(state, &submission);
	outcome_of_submission_(&submission, outcome);
	outcome->repeated = false;
	return status;
}

static enum bw_status decide_submit_(struct bw_state *state, uint64_t index,
				     const struct bw_submit *submit,
				     enum bw_outcome_kind *kind)
{
	enum bw_status status;

	if (submit->revision <= state->revision) {
		bool identical =
			submit->revision == state->revision &&
			!memcmp(submit->hash, state->hash, BW_HASH_BYTES);

		*kind = identical ? BW_OUTCOME_ALREADY_ACCEPTED
				  : BW_OUTCOME_CONFLICT;
		return BW_OK;
	}
	bw_buffer_clear(&state->text);
	status = bw_buffer_append(&state->text, submit->text,
				  submit->text_size_bytes);
	state->revision = submit->revision;
	memcpy(state->hash, submit->hash, BW_HASH_BYTES);
	state->accept_wall_ms = submit->accept_wall_ms;
	state->sheet_index = index;
	*kind = BW_OUTCOME_ACCEPTED;
	return status;
}

static void add_submission_(struct bw_state *state,
			    const struct submission *submission)
{
	struct submission *copy = g_new(struct submission, 1);

	*copy = *submission;
	g_queue_push_tail(&state->submissions, copy);
	g_hash_table_insert(state->submission_by_id, copy->id, copy);
	if (state->submissions.length <= state->submissions_max)
		return;
	copy = g_queue_pop_head(&state->submissions);
	g_hash_table_remove(state->submission_by_id, copy->id);
	g_free(copy);
}

static void outcome_of_submission_(const struct submission *submission,
				   struct bw_outcome *outcome)
{
	memset(outcome, 0, sizeof(*outcome));
	outcome->kind = submission->kind;
	outcome->repeated = true;
	outcome->revision = submission->revision;
	memcpy(outcome->hash, submission->hash, BW_HASH_BYTES);
	memcpy(outcome->submission, submission->id, BW_SUBMISSION_ID_MAX);
}

/* A repeated command changes nothing, so that an operator may retry it. */
static void apply_evacuate_(struct bw_state *state, uint64_t index,
			    struct bw_reader *reader,
			    struct bw_outcome *outcome)
{
	char domain[BW_NAME_MAX];
	bool active;
	uint32_t position = 0;

	bw_read_name(reader, domain);
	active = bw_read_bool(reader);
	if (bw_reader_status(reader) != BW_OK || !domain[0])
		return;
	outcome->kind = BW_OUTCOME_EVACUATION_SET;
	outcome->revision = index;
	while (position < state->evacuated_count &&
	       strcmp(state->evacuated[position], domain) != 0)
		position++;
	if (active == (position < state->evacuated_count))
		return;
	if (active && position == BW_EVACUATIONS_MAX) {
		outcome->kind = BW_OUTCOME_FULL;
		return;
	}
	state->evacuation_index = index;
	if (active) {
		bw_name_set(state->evacuated[position], domain);
		state->evacuated_count++;
	} else {
		state->evacuated_count--;
		memmove(state->evacuated[position],
			state->evacuated[state->evacuated_count], BW_NAME_MAX);
	}
}

static void read_evacuations_(struct bw_state *state, struct bw_reader *reader)
{
	uint32_t count;
	uint32_t i;

	state->evacuation_index = bw_read_uint(reader);
	count = bw_read_array(reader);
	if (count > BW_EVACUATIONS_MAX)
		reader->failed = true;
	for (i = 0; i < count && !reader->failed; i++)
		bw_read_name(reader, state->evacuated[i]);
	state->evacuated_count = reader->failed ? 0 : count;
	bw_read_end(reader);
}

static enum bw_status apply_set_plan_(struct bw_state *state, uint64_t index,
				      struct bw_reader *reader,
				      struct bw_outcome *outcome)
{
	size_t size_bytes = 0;
	const uint8_t *plan = bw_read_bin(reader, &size_bytes);

	if (!plan || size_bytes > BW_PLAN_MAX_BYTES)
		return BW_OK;
	bw_buffer_clear(&state->plan);
	state->plan_version = index;
	outcome->kind = BW_OUTCOME_PLAN_SET;
	return bw_buffer_append(&state->plan, plan, size_bytes);
}

static void apply_bind_key_(struct bw_state *state,
			    const struct bw_bind_key *bind,
			    struct bw_outcome *outcome)
{
	struct binding binding = { .expiry_wall_ms = bind->expiry_wall_ms };

	if (bind->now_wall_ms > state->wall_ms)
		state->wall_ms = bind->now_wall_ms;
	remove_expired_(state);
	if (bw_state_binding(state, bind->key, state->wall_ms, outcome))
		return;
	memcpy(binding.key, bind->key, BW_HASH_BYTES);
	memcpy(binding.owner, bind->owner, BW_NAME_MAX);
	binding.owner_incarnation = bind->owner_incarnation;
	outcome_of_binding_(&binding, outcome);
	if (bind->expiry_wall_ms <= state->wall_ms) {
		outcome->kind = BW_OUTCOME_EXPIRED;
		return;
	}
	if ((uint32_t)g_tree_nnodes(state->binding_by_expiry) >=
	    state->bindings_max) {
		outcome->kind = BW_OUTCOME_FULL;
		return;
	}
	add_binding_(state, &binding);
	outcome->kind = BW_OUTCOME_BOUND;
}

static void add_binding_(struct bw_state *state, const struct binding *binding)
{
	struct binding *copy = g_new(struct binding, 1);

	*copy = *binding;
	g_tree_insert(state->binding_by_expiry, copy, copy);
	g_hash_table_insert(state->binding_by_key, copy->key, copy);
}

static void remove_expired_(struct bw_state *state)
{
	GTreeNode *node = g_tree_node_first(state->binding_by_expiry);

	while (node) {
		struct binding *binding = g_tree_node_key(node);

		if (binding->expiry_wall_ms > state->wall_ms)
			return;
		g_hash_table_remove(state->binding_by_key, binding->key);
		g_tree_remove(state->binding_by_expiry, binding);
		node = g_tree_node_first(state->binding_by_expiry);
	}
}

static void outcome_of_binding_(const struct binding *binding,
				struct bw_outcome *outcome)
{
	memset(outcome, 0, sizeof(*outcome));
	memcpy(outcome->hash, binding->key, BW_HASH_BYTES);
	memcpy(outcome->owner, binding->owner, BW_NAME_MAX);
	outcome->owner_incarnation = binding->owner_incarnation;
	outcome->expiry_wall_ms = binding->expiry_wall_ms;
}

/* The keys are hashes, so any of their bytes are evenly distributed. */
static guint hash_key_(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

static gboolean equal_keys_(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, BW_HASH_BYTES);
}

static gint compare_bindings_(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct binding *left = a;
	const struct binding *right = b;

	(void)data;
	if (left->expiry_wall_ms != right->expiry_wall_ms)
		return left->expiry_wall_ms < right->expiry_wall_ms ? -1 : 1;
	return memcmp(left->key, right->key, BW_HASH_BYTES);
}

static gboolean write_binding_(gpointer key, gpointer value, gpointer data)
{
	const struct binding *binding = key;
	struct bw_writer *writer = data;

	(void)value;
	bw_write_array(writer, 4);
	bw_write_bin(writer, binding->key, BW_HASH_BYTES);
	bw_write_str(writer, binding->owner);
	bw_write_uint(writer, binding->owner_incarnation);
	bw_write_int(writer, binding->expiry_wall_ms);
	return FALSE;
}

static void write_submissions_(const struct bw_state *state,
			       struct bw_writer *writer)
{
	const GList *link;

	bw_write_array(writer, state->submissions.length);
	for (link = state->submissions.head; link; link = link->next) {
		const struct submission *submission = link->data;

		bw_write_array(writer, 4);
		bw_write_str(writer, submission->id);
		bw_write_uint(writer, submission->kind);
		bw_write_uint(writer, submission->revision);
		bw_write_bin(writer, submission->hash, BW_HASH_BYTES);
	}
}

static void read_tables_(struct bw_state *state, struct bw_reader *reader)
{
	uint32_t count = bw_read_array(reader);

	while (count-- && !reader->failed)
		read_submission_(state, reader);
	bw_read_end(reader);
	count = bw_read_array(reader);
	while (count-- && !reader->failed)
		read_binding_(state, reader);
	bw_read_end(reader);
}

static void read_submission_(struct bw_state *state, struct bw_reader *reader)
{
	struct submission submission = { .revision = 0 };
	uint64_t kind;

	bw_read_array(reader);
	command_read_id(reader, submission.id);
	kind = bw_read_uint(reader);
	submission.revision = bw_read_uint(reader);
	command_read_fixed(reader, submission.hash, BW_HASH_BYTES);
	bw_read_end(reader);
	if (kind >= BW_OUTCOME_KIND_COUNT)
		reader->failed = true;
	submission.kind = (enum bw_outcome_kind)kind;
	if (!reader->failed)
		add_submission_(state, &submission);
}

static void read_binding_(struct bw_state *state, struct bw_reader *reader)
{
	struct binding binding = { .expiry_wall_ms = 0 };

	bw_read_array(reader);
	command_read_fixed(reader, binding.key, BW_HASH_BYTES);
	bw_read_name(reader, binding.owner);
	binding.owner_incarnation = bw_read_uint(reader);
	binding.expiry_wall_ms = bw_read_int(reader);
	bw_read_end(reader);
	if (!reader->failed)
		add_binding_(state, &binding);
}

static void read_bytes_(struct bw_reader *reader, struct bw_buffer *into)
{
	size_t size_bytes = 0;
	const uint8_t *bytes = bw_read_bin(reader, &size_bytes);

	if (bytes && bw_buffer_append(into, bytes, size_bytes) != BW_OK)
		reader->failed = true;
}
