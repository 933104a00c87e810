#include "bwmember/distribute.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "private/distribute.h"

#define DEFAULT_DIGEST_INTERVAL_MS 1000
#define DEFAULT_RECOVERY_MS 2000
#define DEFAULT_REQUEST_TIMEOUT_MS 1000
#define DEFAULT_BYTES_PER_S (256 * 1024)
#define DEFAULT_HISTORY_BYTES (2 * 1024 * 1024)

/** Age of the own confirmation above which a control host is queried, in ms. */
#define QUERY_CONTROL_AGE_MS 3000

/** Age of a peer's timestamp from which on it is not echoed, in ms. */
#define TIMESTAMP_ECHO_MAX_MS 5000

/** Lead over the confirmation of a peer above which it gets a reply, in ms. */
#define REPLY_LEAD_MS 2000

const char *const bw_document_string[BW_DOCUMENT_COUNT] = {
	[BW_DOCUMENT_SHEET] = "sheet",
	[BW_DOCUMENT_PLAN] = "plan",
};

/** Groups of receivers, in sending order. */
enum receiver_group {
	RECEIVERS_CONTROLS, /**< other control hosts */
	RECEIVERS_SERVED, /**< aggregators that this control host serves */
	RECEIVERS_HOSTS /**< hosts of the domain of this aggregator */
};

/** A decoded digest. */
struct digest {
	bool is_control;
	int64_t age_ms; /**< of the confirmation; -1 for none */
	int64_t timestamp_ms; /**< clock of the sender when sent */
	int64_t echo_ms; /**< last timestamp received from this host, or -1 */
	int64_t echo_delay_ms; /**< between its receipt and its echo */
	struct distribute_version versions[BW_DOCUMENT_COUNT];
};

static void set_default_(uint32_t *value, uint32_t default_value);
static void finish_document_(struct bw_distribute_document *document);
static void refill_tokens_(struct bw_distribute *distribute,
			   struct bw_time now);
static enum bw_status send_digests_(struct bw_distribute *distribute,
				    struct bw_time now, struct bw_outbox *out);
static enum bw_status send_to_upstreams_(struct bw_distribute *distribute,
					 struct bw_time now,
					 struct bw_outbox *out);
static const char *random_peer_(struct bw_distribute *distribute);
static enum bw_status push_changes_(struct bw_distribute *distribute,
				    struct bw_time now, struct bw_outbox *out);
static const char *next_receiver_(const struct bw_distribute *distribute,
				  struct bw_time now, uint32_t *group,
				  uint32_t *cursor, uint32_t last_group);
static enum bw_status receive_digest_(struct bw_distribute *distribute,
				      const char *peer,
				      struct bw_reader *reader,
				      struct bw_time now,
				      struct bw_outbox *out);
static void write_timestamps_(struct bw_distribute *distribute,
			      struct bw_writer *writer, const char *peer,
			      struct bw_time now);
static void record_digest_(struct bw_distribute_peer *known,
			   const struct digest *digest, struct bw_time now);
static void record_confirmation_(struct bw_distribute *distribute,
				 struct bw_distribute_peer *known,
				 const struct digest *digest,
				 struct bw_time now);
static enum bw_status send_to_controls_(struct bw_distribute *distribute,
					struct bw_time now,
					struct bw_outbox *out);
static bool needs_reply_(const struct bw_distribute *distribute,
			 const struct bw_distribute_peer *known);

enum bw_status bw_distribute_init(struct bw_distribute *distribute,
				  const struct bw_distribute_config *config,
				  struct bw_time now)
{
	struct bw_distribute_config *own = &distribute->config;

	memset(distribute, 0, sizeof(*distribute));
	if (!config->member != !config->aggregator ||
	    config->piece_bytes > BW_DOCUMENT_CHUNK_MAX_BYTES)
		return BW_EINVAL;
	*own = *config;
	set_default_(&own->digest_interval_ms, DEFAULT_DIGEST_INTERVAL_MS);
	set_default_(&own->recovery_ms, DEFAULT_RECOVERY_MS);
	set_default_(&own->request_timeout_ms, DEFAULT_REQUEST_TIMEOUT_MS);
	set_default_(&own->bytes_per_s, DEFAULT_BYTES_PER_S);
	set_default_(&own->piece_bytes, BW_DOCUMENT_CHUNK_MAX_BYTES);
	set_default_(&own->history_bytes, DEFAULT_HISTORY_BYTES);
	distribute->documents =
		calloc(BW_DOCUMENT_COUNT, sizeof(*distribute->documents));
	distribute->peers =
		calloc(DISTRIBUTE_PEERS_MAX, sizeof(*distribute->peers));
	distribute->requests =
		calloc(DISTRIBUTE_REQUESTS_MAX, sizeof(*distribute->requests));
	if (!distribute->documents || !distribute->peers ||
	    !distribute->requests) {
		bw_distribute_finish(distribute);
		return BW_ENOMEM;
	}
	if (config->random_seed)
		bw_random_init(&distribute->random, config->random_seed);
	else
		bw_random_init_system(&distribute->random);
	distribute->started = now;
	distribute->refilled = now;
	distribute->tokens = own->bytes_per_s;
	distribute->next_digest = bw_time_add(
		now, (int64_t)bw_random_below(&distribute->random,
					      own->digest_interval_ms));
	return BW_OK;
}

void bw_distribute_finish(struct bw_distribute *distribute)
{
	uint32_t i;

	for (i = 0; distribute->documents && i < BW_DOCUMENT_COUNT; i++)
		finish_document_(&distribute->documents[i]);
	free(distribute->documents);
	free(distribute->peers);
	free(distribute->requests);
	memset(distribute, 0, sizeof(*distribute));
}

enum bw_status bw_distribute_receive(struct bw_distribute *distribute,
				     const struct bw_packet *packet,
				     struct bw_time now, struct bw_outbox *out)
{
	struct bw_reader reader;
	enum bw_status status;
	uint64_t type;

	status = bw_reader_init(&reader, packet->data, packet->size_bytes);
	bw_read_array(&reader);
	if (status == BW_OK && bw_read_uint(&reader) != DISTRIBUTE_WIRE_VERSION)
		status = BW_EVERSION;
	type = bw_read_uint(&reader);
	if (status == BW_OK &&
	    (type < DISTRIBUTE_DIGEST || type > DISTRIBUTE_PIECE))
		status = BW_EVERSION;
	if (status == BW_OK && type == DISTRIBUTE_DIGEST &&
	    distribute->config.member)
		status = receive_digest_(distribute, packet->peer, &reader, now,
					 out);
	else if (status == BW_OK && type != DISTRIBUTE_DIGEST)
		status = distribute_receive_transfer(distribute,
						     (enum distribute_type)type,
						     packet->peer, &reader, now,
						     out);
	if (status == BW_OK)
		status = bw_reader_status(&reader);
	bw_reader_finish(&reader);
	if (status == BW_EINVAL || status == BW_EVERSION)
		distribute->stats.malformed_count++;
	return status;
}

enum bw_status bw_distribute_tick(struct bw_distribute *distribute,
				  struct bw_time now, struct bw_outbox *out)
{
	enum bw_status status;

	refill_tokens_(distribute, now);
	status = distribute->config.member ? push_changes_(distribute, now, out)
					   : BW_OK;
	if (status == BW_OK)
		status = distribute_serve(distribute, now, out);
	if (status == BW_OK)
		status = distribute_fetch(distribute, now, out);
	if (status != BW_OK || !distribute->config.member ||
	    !bw_time_reached(now, distribute->next_digest))
		return status;
	return send_digests_(distribute, now, out);
}

enum bw_status bw_distribute_publish(struct bw_distribute *distribute,
				     enum bw_document document, uint64_t number,
				     const void *bytes, size_t size_bytes,
				     struct bw_time now)
{
	struct distribute_version version = { .number = number };
	enum bw_status status;
	uint8_t *copy;

	if (!number || document >= BW_DOCUMENT_COUNT)
		return BW_EINVAL;
	if (size_bytes > BW_DOCUMENT_MAX_BYTES)
		return BW_EFULL;
	copy = malloc(size_bytes ? size_bytes : 1);
	if (!copy)
		return BW_ENOMEM;
	if (size_bytes)
		memcpy(copy, bytes, size_bytes);
	distribute_hash(copy, size_bytes, version.hash);
	status = distribute_install(
		distribute, document, &version, copy, (uint32_t)size_bytes,
		distribute->config.member
			? distribute->config.member->config.self.name
			: "");
	if (status == BW_OK)
		distribute_adopt_confirmation(distribute, now);
	return status == BW_EEXIST ? BW_OK : status;
}

void bw_distribute_confirm(struct bw_distribute *distribute, struct bw_time now)
{
	assert(distribute->config.member->config.self.is_control);
	distribute->has_confirmation = true;
	distribute->confirmed = now;
}

bool bw_distribute_is_stale(const struct bw_distribute *distribute,
			    struct bw_time now)
{
	return !distribute->has_confirmation ||
	       bw_time_diff_ms(now, distribute->confirmed) >=
		       BW_DISTRIBUTE_STALE_MS;
}

uint64_t bw_distribute_number(const struct bw_distribute *distribute,
			      enum bw_document document)
{
	return distribute->documents[document].current.version.number;
}

const uint8_t *bw_distribute_content(const struct bw_distribute *distribute,
				     enum bw_document document,
				     uint32_t *size_bytes)
{
	const struct distribute_content *current =
		&distribute->documents[document].current;

	*size_bytes = current->size_bytes;
	return current->version.number ? current->bytes : NULL;
}

bool bw_distribute_next_event(struct bw_distribute *distribute,
			      struct bw_distribute_event *event)
{
	struct bw_distribute_document *state;
	uint32_t i;

	memset(event, 0, sizeof(*event));
	for (i = 0; i < BW_DOCUMENT_COUNT; i++) {
		state = &distribute->documents[i];
		event->document = (enum bw_document)i;
		if (state->event_pending) {
			state->event_pending = false;
			event->kind = BW_DISTRIBUTE_EVENT_DOCUMENT;
			event->number = state->current.version.number;
			event->bytes = state->current.bytes;
			event->size_bytes = state->current.size_bytes;
			memcpy(event->hash, state->current.version.hash,
			       BW_DOCUMENT_HASH_BYTES);
			memcpy(event->peer, state->source, BW_NAME_MAX);
			return true;
		}
		if (state->conflict_pending) {
			state->conflict_pending = false;
			event->kind = BW_DISTRIBUTE_EVENT_CONFLICT;
			event->number = state->conflict.number;
			memcpy(event->hash, state->conflict.hash,
			       BW_DOCUMENT_HASH_BYTES);
			memcpy(event->peer, state->conflict_peer, BW_NAME_MAX);
			return true;
		}
	}
	return false;
}

enum bw_status bw_distribute_dump(const struct bw_distribute *distribute,
				  json_t *into)
{
	const struct bw_distribute_document *state;
	uint32_t i;

	for (i = 0; i < BW_DOCUMENT_COUNT; i++) {
		state = &distribute->documents[i];
		if (json_object_set_new(
			    into, bw_document_string[i],
			    json_pack("{s:I,s:I,s:b,s:I,s:s}", "number",
				      (json_int_t)state->current.version.number,
				      "bytes",
				      (json_int_t)state->current.size_bytes,
				      "fetching", state->fetch.active,
				      "received_bytes",
				      (json_int_t)
					      state->fetch.received.size_bytes,
				      "source", state->source)))
			return BW_ENOMEM;
	}
	if (json_object_set_new(
		    into, "stats",
		    json_pack(
			    "{s:I,s:I,s:I,s:I}", "conflicts",
			    (json_int_t)distribute->stats.conflict_count,
			    "lower_refused",
			    (json_int_t)distribute->stats.lower_refused_count,
			    "hash_mismatches",
			    (json_int_t)distribute->stats.hash_mismatch_count,
			    "deltas_applied",
			    (json_int_t)distribute->stats.delta_applied_count)))
		return BW_ENOMEM;
	return BW_OK;
}

enum bw_status distribute_send_digest(struct bw_distribute *distribute,
				      const char *peer, struct bw_time now,
				      struct bw_outbox *out)
{
	struct bw_buffer body = { 0 };
	struct bw_writer writer;
	enum bw_status status;
	uint32_t i;

	if (!distribute->config.member)
		return BW_OK;
	bw_writer_init(&writer, &body);
	bw_write_array(&writer, 7 + BW_DOCUMENT_COUNT);
	bw_write_uint(&writer, DISTRIBUTE_WIRE_VERSION);
	bw_write_uint(&writer, DISTRIBUTE_DIGEST);
	bw_write_bool(&writer,
		      distribute->config.member->config.self.is_control);
	bw_write_int(&writer,
		     distribute->has_confirmation
			     ? bw_time_diff_ms(now, distribute->confirmed)
			     : -1);
	write_timestamps_(distribute, &writer, peer, now);
	for (i = 0; i < BW_DOCUMENT_COUNT; i++)
		distribute_write_version(
			&writer, &distribute->documents[i].current.version);
	status = writer.status;
	if (status == BW_OK)
		status = bw_outbox_add(out, peer, BW_CHANNEL_DISTRIBUTE,
				       body.data, body.size_bytes);
	bw_buffer_finish(&body);
	return status;
}

/* Writes the own timestamp, the echoed one of the peer and the echo's delay. */
static void write_timestamps_(struct bw_distribute *distribute,
			      struct bw_writer *writer, const char *peer,
			      struct bw_time now)
{
	const struct bw_distribute_peer *known =
		distribute_peer(distribute, peer);
	bool echo = known->has_timestamp &&
		    bw_time_diff_ms(now, known->timestamp_received) <
			    TIMESTAMP_ECHO_MAX_MS;

	bw_write_int(writer, now.ms);
	bw_write_int(writer, echo ? known->timestamp_ms : -1);
	bw_write_int(writer,
		     echo ? bw_time_diff_ms(now, known->timestamp_received)
			  : 0);
}

static void set_default_(uint32_t *value, uint32_t default_value)
{
	if (!*value)
		*value = default_value;
}

static void finish_document_(struct bw_distribute_document *document)
{
	uint32_t i;

	free(document->current.bytes);
	for (i = 0; i < document->history_count; i++) {
		free(document->history[i].bytes);
		bw_buffer_finish(&document->history[i].delta);
	}
	bw_buffer_finish(&document->fetch.received);
	distribute_clear_fetch(&document->fetch);
	distribute_clear_encodings(document);
}

static void refill_tokens_(struct bw_distribute *distribute, struct bw_time now)
{
	int64_t rate = distribute->config.bytes_per_s;

	distribute->tokens +=
		bw_time_diff_ms(now, distribute->refilled) * rate / 1000;
	distribute->refilled = now;
	if (distribute->tokens > rate)
		distribute->tokens = rate;
}

static enum bw_status send_digests_(struct bw_distribute *distribute,
				    struct bw_time now, struct bw_outbox *out)
{
	uint32_t interval = distribute->config.digest_interval_ms;
	uint32_t group = RECEIVERS_CONTROLS;
	uint32_t cursor = 0;
	enum bw_status status = BW_OK;
	const char *name;

	distribute->next_digest =
		bw_time_add(now, (int64_t)(interval - interval / 8 +
					   bw_random_below(&distribute->random,
							   interval / 4 + 1)));
	while (status == BW_OK &&
	       (name = next_receiver_(distribute, now, &group, &cursor,
				      RECEIVERS_HOSTS)))
		status = distribute_send_digest(distribute, name, now, out);
	if (status == BW_OK)
		status = send_to_upstreams_(distribute, now, out);
	return status;
}

/* A host sends its digest to its aggregator, its parent and a random host of
 * its domain, an aggregator to the control hosts that serve it. Without a
 * recent confirmation a random control host gets one as well. */
static enum bw_status send_to_upstreams_(struct bw_distribute *distribute,
					 struct bw_time now,
					 struct bw_outbox *out)
{
	const struct bw_aggregator *aggregator = distribute->config.aggregator;
	const char *current = bw_aggregator_current(aggregator);
	const char *self = distribute->config.member->config.self.name;
	const char *random_peer = random_peer_(distribute);
	const struct bw_member_record *parent =
		bw_aggregator_parent(aggregator);
	const char *control = NULL;
	uint32_t control_count = bw_aggregator_control_count(aggregator);
	enum bw_status status = BW_OK;

	if (!strcmp(current, self))
		status = send_to_controls_(distribute, now, out);
	else if (current[0])
		status = distribute_send_digest(distribute, current, now, out);
	if (status == BW_OK && parent &&
	    strcmp(parent->host.name, current) != 0)
		status = distribute_send_digest(distribute, parent->host.name,
						now, out);
	if (status == BW_OK && random_peer && strcmp(random_peer, current) != 0)
		status = distribute_send_digest(distribute, random_peer, now,
						out);
	if (control_count &&
	    (!distribute->has_confirmation ||
	     bw_time_diff_ms(now, distribute->confirmed) >
		     QUERY_CONTROL_AGE_MS) &&
	    !bw_random_below(&distribute->random, 2))
		control = bw_aggregator_ranked_control(
			aggregator,
			(uint32_t)bw_random_below(&distribute->random,
						  control_count));
	if (status == BW_OK && control && strcmp(control, self) != 0)
		status = distribute_send_digest(distribute, control, now, out);
	return status;
}

/* Sends digests to the control hosts that serve this aggregator. Their next
 * digests echo the timestamp, which bounds the time in transit. */
static enum bw_status send_to_controls_(struct bw_distribute *distribute,
					struct bw_time now,
					struct bw_outbox *out)
{
	const struct bw_aggregator *aggregator = distribute->config.aggregator;
	const struct bw_distribute_peer *known;
	enum bw_status status = BW_OK;
	const char *name;
	uint32_t i;

	if (distribute->config.member->config.self.is_control)
		return BW_OK;
	for (i = 0; i < bw_aggregator_control_count(aggregator); i++) {
		name = bw_aggregator_control_at(aggregator, i)->name;
		known = distribute_peer(distribute, name);
		if (strcmp(name, bw_aggregator_ranked_control(aggregator, 0)) !=
			    0 &&
		    bw_time_diff_ms(now, known->seen) > QUERY_CONTROL_AGE_MS)
			continue;
		status = distribute_send_digest(distribute, name, now, out);
		if (status != BW_OK)
			return status;
	}
	return status;
}

static const char *random_peer_(struct bw_distribute *distribute)
{
	const struct bw_member *member = distribute->config.member;
	const struct bw_member_record *record;
	const char *chosen = NULL;
	uint32_t candidate_count = 0;
	uint32_t i;

	for (i = 0; i < bw_member_count(member); i++) {
		record = bw_member_at(member, i);
		if (bw_member_state_is_up(record->state) &&
		    strcmp(record->host.name, member->config.self.name) != 0 &&
		    !bw_random_below(&distribute->random, ++candidate_count))
			chosen = record->host.name;
	}
	return chosen;
}

static enum bw_status push_changes_(struct bw_distribute *distribute,
				    struct bw_time now, struct bw_outbox *out)
{
	enum bw_status status = BW_OK;
	const char *name;
	const struct bw_member_record *child;
	uint32_t group;
	uint32_t cursor;
	uint32_t i;

	for (i = 0; i < BW_DOCUMENT_COUNT; i++) {
		if (!distribute->documents[i].push_pending)
			continue;
		distribute->documents[i].push_pending = false;
		cursor = 0;
		while (status == BW_OK &&
		       (child = bw_aggregator_next_child(
				distribute->config.aggregator, &cursor)))
			status = distribute_push(distribute,
						 (enum bw_document)i,
						 child->host.name, now, out);
		group = RECEIVERS_CONTROLS;
		cursor = 0;
		while (status == BW_OK &&
		       (name = next_receiver_(distribute, now, &group, &cursor,
					      RECEIVERS_SERVED)))
			status = distribute_push(distribute,
						 (enum bw_document)i, name, now,
						 out);
	}
	return status;
}

/* Iterates over the receivers up to last_group: from a control host the other
 * control hosts and the aggregators it serves, from an aggregator all hosts of
 * its domain; NULL at the end. The hosts of the domain get digests directly,
 * so that a failed host in the tree does not delay a change for the hosts below
 * it. */
static const char *next_receiver_(const struct bw_distribute *distribute,
				  struct bw_time now, uint32_t *group,
				  uint32_t *cursor, uint32_t last_group)
{
	const struct bw_aggregator *aggregator = distribute->config.aggregator;
	const struct bw_member *member = distribute->config.member;
	const struct bw_member_host *self = &member->config.self;
	const struct bw_member_record *record;
	const char *name;

	while (*group == RECEIVERS_CONTROLS && self->is_control &&
	       *cursor < bw_aggregator_control_count(aggregator)) {
		name = bw_aggregator_control_at(aggregator, (*cursor)++)->name;
		if (strcmp(name, self->name) != 0)
			return name;
	}
	if (*group == RECEIVERS_CONTROLS) {
		*group = RECEIVERS_SERVED;
		*cursor = 0;
	}
	if (*group == RECEIVERS_SERVED && self->is_control) {
		name = bw_aggregator_next_served(aggregator, now, cursor);
		if (name)
			return name;
	}
	if (*group == RECEIVERS_SERVED) {
		*group = RECEIVERS_HOSTS;
		*cursor = 0;
	}
	while (last_group == RECEIVERS_HOSTS &&
	       bw_aggregator_is_self(aggregator) &&
	       *cursor < bw_member_count(member)) {
		record = bw_member_at(member, (*cursor)++);
		if (bw_member_state_is_up(record->state) &&
		    strcmp(record->host.name, self->name) != 0)
			return record->host.name;
	}
	return NULL;
}

static enum bw_status receive_digest_(struct bw_distribute *distribute,
				      const char *peer,
				      struct bw_reader *reader,
				      struct bw_time now, struct bw_outbox *out)
{
	struct bw_distribute_peer *known;
	struct digest digest;
	uint32_t i;

	digest.is_control = bw_read_bool(reader);
	digest.age_ms = bw_read_int(reader);
	digest.timestamp_ms = bw_read_int(reader);
	digest.echo_ms = bw_read_int(reader);
	digest.echo_delay_ms = bw_read_int(reader);
	for (i = 0; i < BW_DOCUMENT_COUNT; i++)
		distribute_read_version(reader, &digest.versions[i]);
	if (reader->failed || digest.age_ms < -1 || digest.age_ms > INT32_MAX ||
	    digest.echo_delay_ms < 0 ||
	    digest.echo_delay_ms > TIMESTAMP_ECHO_MAX_MS)
		return BW_EINVAL;
	known = distribute_peer(distribute, peer);
	record_digest_(known, &digest, now);
	record_confirmation_(distribute, known, &digest, now);
	for (i = 0; i < BW_DOCUMENT_COUNT; i++)
		distribute_check_conflict(distribute, (enum bw_document)i,
					  &digest.versions[i], peer);
	if (!needs_reply_(distribute, known))
		return BW_OK;
	return distribute_send_digest(distribute, peer, now, out);
}

static void record_digest_(struct bw_distribute_peer *known,
			   const struct digest *digest, struct bw_time now)
{
	memcpy(known->versions, digest->versions, sizeof(known->versions));
	known->is_control = digest->is_control;
	known->seen = now;
	/* A delayed digest must not replace a later timestamp, except after a
	 * reboot that reset the clock of the peer. */
	if (known->has_timestamp &&
	    digest->timestamp_ms < known->timestamp_ms &&
	    bw_time_diff_ms(now, known->timestamp_received) <
		    TIMESTAMP_ECHO_MAX_MS)
		return;
	known->has_timestamp = true;
	known->timestamp_ms = digest->timestamp_ms;
	known->timestamp_received = now;
}

/* A digest may be queued for a long time. The echo of the own timestamp bounds
 * its time in transit; a digest without an echo confirms nothing. */
static void record_confirmation_(struct bw_distribute *distribute,
				 struct bw_distribute_peer *known,
				 const struct digest *digest,
				 struct bw_time now)
{
	struct bw_time previous_confirmed = distribute->confirmed;
	int64_t transit_ms = now.ms - digest->echo_ms - digest->echo_delay_ms;
	uint32_t interval = distribute->config.digest_interval_ms;

	if (digest->age_ms < 0 || digest->echo_ms < distribute->started.ms ||
	    transit_ms < 0)
		return;
	known->has_confirmation = true;
	known->confirmed = bw_time_add(now, -digest->age_ms - transit_ms);
	memcpy(known->confirmed_versions, digest->versions,
	       sizeof(known->confirmed_versions));
	distribute_adopt_confirmation(distribute, now);
	/* A newer confirmation is forwarded early, so that its age does not
	 * grow by a digest interval at each hop. */
	if (distribute->confirmed.ms > previous_confirmed.ms &&
	    bw_time_diff_ms(distribute->next_digest, now) < interval / 4)
		distribute->next_digest = now;
}

static bool needs_reply_(const struct bw_distribute *distribute,
			 const struct bw_distribute_peer *known)
{
	uint32_t i;

	for (i = 0; i < BW_DOCUMENT_COUNT; i++) {
		if (known->versions[i].number <
		    distribute->documents[i].current.version.number)
			return true;
	}
	return distribute->has_confirmation &&
	       (!known->has_confirmation ||
		bw_time_diff_ms(distribute->confirmed, known->confirmed) >
			REPLY_LEAD_MS);
}
