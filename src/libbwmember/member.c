#include "bwmember/member.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "private/member.h"

#define DEFAULT_CHART_PATH "charts/member.yaml"
#define DEFAULT_PROBE_INTERVAL_MS 500
#define DEFAULT_PROBE_TIMEOUT_MS 200
#define DEFAULT_SUSPICION_MS 3000
#define DEFAULT_SYNC_INTERVAL_MS 2000
#define DEFAULT_REJOIN_INTERVAL_MS 2000
#define DEFAULT_TOMBSTONE_MS 600000

/** Hosts that directly receive the record of a host that has left. */
#define LEAVE_FANOUT 16

/** Sends of a changed record per bit of the host count. */
#define GOSSIP_FACTOR 3

/** Spacing of own document number announcements per host of the failure
 * domain; limits the domain to 10 announcements a second at any size. */
#define NUMBERS_SPACING_PER_HOST_MS 100

/** Minimum spacing of own document number announcements. */
#define NUMBERS_SPACING_MIN_MS 1000

static const char *const chart_event_string_[CHART_EVENT_COUNT] = {
	[CLAIM_ALIVE] = "claim_alive",
	[CLAIM_LEAVING] = "claim_leaving",
	[CLAIM_SUSPECT] = "claim_suspect",
	[CLAIM_FAILED] = "claim_failed",
	[CLAIM_LEFT] = "claim_left",
	[SUSPICION_EXPIRED] = "suspicion_expired",
};

const char *const bw_member_state_string[BW_MEMBER_STATE_COUNT] = {
	[BW_MEMBER_ALIVE] = "alive",	 [BW_MEMBER_SUSPECT] = "suspect",
	[BW_MEMBER_LEAVING] = "leaving", [BW_MEMBER_FAILED] = "failed",
	[BW_MEMBER_LEFT] = "left",
};

const char *const bw_member_event_string[BW_MEMBER_EVENT_COUNT] = {
	[BW_MEMBER_EVENT_JOINED] = "joined",
	[BW_MEMBER_EVENT_CHANGED] = "changed",
	[BW_MEMBER_EVENT_SUSPECTED] = "suspected",
	[BW_MEMBER_EVENT_FAILED] = "failed",
	[BW_MEMBER_EVENT_LEFT] = "left",
	[BW_MEMBER_EVENT_SUPERSEDED] = "superseded",
};

static const struct bw_chart_names chart_names_ = {
	bw_member_state_string, BW_MEMBER_STATE_COUNT,
	chart_event_string_,	CHART_EVENT_COUNT,
	bw_member_event_string, BW_MEMBER_EVENT_SUPERSEDED,
};

static enum bw_status set_config_(struct bw_member *member,
				  const struct bw_member_config *config);
static void set_default_(uint32_t *value, uint32_t default_value);
static enum bw_status handle_message_(struct bw_member *member,
				      const char *peer,
				      const struct member_message *message,
				      struct bw_time now,
				      struct bw_outbox *out);
static void announce_document_numbers_(struct bw_member *member,
				       struct bw_time now);

enum bw_status bw_member_init(struct bw_member *member,
			      const struct bw_member_config *config,
			      struct bw_time now)
{
	struct bw_member_entry *self;
	struct bw_yaml_error error;
	enum bw_status status;

	memset(member, 0, sizeof(*member));
	status = set_config_(member, config);
	if (status != BW_OK)
		return status;
	status = bw_chart_load(&member->chart, member->config.chart_path,
			       &chart_names_, &error);
	if (status != BW_OK)
		goto fail;
	status = BW_ENOMEM;
	member->events = calloc(BW_MEMBER_EVENTS_MAX, sizeof(*member->events));
	member->entries = calloc(BW_MEMBER_HOSTS_MAX, sizeof(*member->entries));
	if (!member->events || !member->entries)
		goto fail;
	if (config->random_seed)
		bw_random_init(&member->random, config->random_seed);
	else
		bw_random_init_system(&member->random);
	self = member_insert(member, config->self.name);
	self->record.host = config->self;
	self->record.since = now;
	member->started = now;
	member->next_rejoin = now;
	/* Random phases keep hosts that start together from probing in step. */
	member->next_probe = bw_time_add(
		now,
		(int64_t)bw_random_below(&member->random,
					 member->config.probe_interval_ms));
	member->next_sync = bw_time_add(
		now, (int64_t)bw_random_below(&member->random,
					      member->config.sync_interval_ms));
	return BW_OK;
fail:
	bw_member_finish(member);
	return status;
}

void bw_member_finish(struct bw_member *member)
{
	free(member->seeds);
	free(member->entries);
	free(member->events);
	memset(member, 0, sizeof(*member));
}

enum bw_status bw_member_receive(struct bw_member *member,
				 const struct bw_packet *packet,
				 struct bw_time now, struct bw_outbox *out)
{
	struct member_message message;
	enum bw_status status;
	uint32_t i;

	if (member_self(member)->record.state == BW_MEMBER_LEFT)
		return BW_OK;
	status = member_decode(member, packet, &message);
	if (status != BW_OK) {
		member->stats.malformed_count++;
		return status;
	}
	member_merge(member, &message.self, now);
	for (i = 0; i < message.update_count; i++)
		member_merge(member, &message.updates[i], now);
	for (i = 0; i < message.numbers_count; i++)
		member_merge_document_numbers(member, &message.numbers[i]);
	return handle_message_(member, packet->peer, &message, now, out);
}

enum bw_status bw_member_tick(struct bw_member *member, struct bw_time now,
			      struct bw_outbox *out)
{
	struct bw_member_entry *other;
	enum bw_status status;

	if (member_self(member)->record.state == BW_MEMBER_LEFT)
		return BW_OK;
	member_expire(member, now);
	announce_document_numbers_(member, now);
	status = member_probe(member, now, out);
	if (status == BW_OK)
		status = member_gossip_urgent(member, now, out);
	if (status == BW_OK && bw_time_reached(now, member->next_rejoin))
		status = member_rejoin(member, now, out);
	if (status != BW_OK || !bw_time_reached(now, member->next_sync))
		return status;
	member->next_sync = bw_time_add(now, member->config.sync_interval_ms);
	other = member_pick_random_host(member, "");
	if (!other)
		return BW_OK;
	return member_send(member, out, other->record.host.name, MEMBER_HASHES,
			   0, "", true);
}

void bw_member_set_document_numbers(struct bw_member *member, uint64_t revision,
				    uint64_t plan, struct bw_time now)
{
	struct bw_member_host *self = &member_self(member)->record.host;

	if (revision > self->revision || plan > self->plan)
		member->document_numbers_changed = true;
	if (revision > self->revision)
		self->revision = revision;
	if (plan > self->plan)
		self->plan = plan;
	announce_document_numbers_(member, now);
}

void bw_member_leave(struct bw_member *member, struct bw_time now)
{
	struct bw_member_entry *self = member_self(member);

	if (self->record.state != BW_MEMBER_ALIVE)
		return;
	self->record.host.leaving = true;
	self->record.host.version++;
	member_change_state(member, self, CLAIM_LEAVING, false, now);
}

enum bw_status bw_member_leave_end(struct bw_member *member, struct bw_time now,
				   struct bw_outbox *out)
{
	struct bw_member_entry *self = member_self(member);
	enum bw_status status = BW_OK;
	uint32_t sent = 0;
	uint32_t i;

	self->record.host.leaving = true;
	self->record.host.version++;
	member_change_state(member, self, CLAIM_LEFT, false, now);
	for (i = 0; i < member->entry_count && sent < LEAVE_FANOUT; i++) {
		struct bw_member_record *record = &member->entries[i].record;

		if (&member->entries[i] == self ||
		    !bw_member_state_is_up(record->state))
			continue;
		sent++;
		status = member_send(member, out, record->host.name,
				     MEMBER_RECORDS, 0, "", false);
		if (status != BW_OK)
			return status;
	}
	return status;
}

bool bw_member_next_event(struct bw_member *member,
			  struct bw_member_event *event)
{
	if (!member->event_count)
		return false;
	*event = member->events[member->event_first];
	member->event_first = (member->event_first + 1) % BW_MEMBER_EVENTS_MAX;
	member->event_count--;
	return true;
}

const struct bw_member_record *bw_member_find(const struct bw_member *member,
					      const char *name)
{
	struct bw_member_entry *entry = member_find(member, name);

	return entry ? &entry->record : NULL;
}

uint32_t bw_member_count(const struct bw_member *member)
{
	return member->entry_count;
}

const struct bw_member_record *bw_member_at(const struct bw_member *member,
					    uint32_t index)
{
	assert(index < member->entry_count);
	return &member->entries[index].record;
}

bool bw_member_state_is_up(enum bw_member_state state)
{
	return state == BW_MEMBER_ALIVE || state == BW_MEMBER_SUSPECT ||
	       state == BW_MEMBER_LEAVING;
}

enum bw_status bw_member_dump(const struct bw_member *member, json_t *into)
{
	json_t *hosts = json_array();
	const struct bw_member_record *record;
	uint32_t i;

	for (i = 0; i < member->entry_count; i++) {
		record = &member->entries[i].record;
		json_array_append_new(
			hosts,
			json_pack("{s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:b}",
				  "name", record->host.name, "state",
				  bw_member_state_string[record->state],
				  "address", record->host.address,
				  "start_wall_ms",
				  (json_int_t)record->host.start_wall_ms,
				  "incarnation",
				  (json_int_t)record->host.incarnation,
				  "version", (json_int_t)record->host.version,
				  "revision", (json_int_t)record->host.revision,
				  "plan", (json_int_t)record->host.plan,
				  "is_control", record->host.is_control));
	}
	if (json_object_set_new(into, "hosts", hosts))
		return BW_ENOMEM;
	return json_object_set_new(
		       into, "stats",
		       json_pack("{s:I,s:I,s:I,s:I}", "malformed",
				 (json_int_t)member->stats.malformed_count,
				 "stale", (json_int_t)member->stats.stale_count,
				 "refuted",
				 (json_int_t)member->stats.refuted_count,
				 "suspected",
				 (json_int_t)member->stats.suspected_count))
		       ? BW_ENOMEM
		       : BW_OK;
}

struct bw_member_entry *member_find(const struct bw_member *member,
				    const char *name)
{
	uint32_t low = 0;
	uint32_t high = member->entry_count;

	while (low < high) {
		uint32_t middle = (low + high) / 2;
		int order =
			strcmp(member->entries[middle].record.host.name, name);

		if (!order)
			return &member->entries[middle];
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

struct bw_member_entry *member_self(const struct bw_member *member)
{
	struct bw_member_entry *self =
		member_find(member, member->config.self.name);

	assert(self);
	return self;
}

static enum bw_status set_config_(struct bw_member *member,
				  const struct bw_member_config *config)
{
	struct bw_member_config *own = &member->config;

	if (!config->self.name[0] || !config->self.domain[0] ||
	    !config->self.incarnation ||
	    config->seed_count > BW_MEMBER_HOSTS_MAX)
		return BW_EINVAL;
	*own = *config;
	set_default_(&own->probe_interval_ms, DEFAULT_PROBE_INTERVAL_MS);
	set_default_(&own->probe_timeout_ms, DEFAULT_PROBE_TIMEOUT_MS);
	set_default_(&own->suspicion_ms, DEFAULT_SUSPICION_MS);
	set_default_(&own->sync_interval_ms, DEFAULT_SYNC_INTERVAL_MS);
	set_default_(&own->rejoin_interval_ms, DEFAULT_REJOIN_INTERVAL_MS);
	set_default_(&own->tombstone_ms, DEFAULT_TOMBSTONE_MS);
	if (!own->chart_path)
		own->chart_path = DEFAULT_CHART_PATH;
	member->seeds = calloc(config->seed_count + 1, sizeof(*member->seeds));
	if (!member->seeds)
		return BW_ENOMEM;
	if (config->seed_count)
		memcpy(member->seeds, config->seeds,
		       config->seed_count * sizeof(*member->seeds));
	own->seeds = member->seeds;
	return BW_OK;
}

static void set_default_(uint32_t *value, uint32_t default_value)
{
	if (!*value)
		*value = default_value;
}

struct bw_member_entry *member_insert(struct bw_member *member,
				      const char *name)
{
	struct bw_member_entry *entry;
	uint32_t index = 0;

	if (member->entry_count == BW_MEMBER_HOSTS_MAX) {
		member->stats.hosts_dropped_count++;
		return NULL;
	}
	while (index < member->entry_count &&
	       strcmp(member->entries[index].record.host.name, name) < 0)
		index++;
	entry = &member->entries[index];
	memmove(entry + 1, entry,
		(member->entry_count - index) * sizeof(*entry));
	memset(entry, 0, sizeof(*entry));
	member->entry_count++;
	return entry;
}

void member_push_event(struct bw_member *member, enum bw_member_event_kind kind,
		       const struct bw_member_record *record)
{
	struct bw_member_event *event;

	if (member->event_count == BW_MEMBER_EVENTS_MAX) {
		member->event_first =
			(member->event_first + 1) % BW_MEMBER_EVENTS_MAX;
		member->event_count--;
		member->stats.events_dropped_count++;
	}
	event = &member->events[(member->event_first + member->event_count) %
				BW_MEMBER_EVENTS_MAX];
	event->kind = kind;
	event->record = *record;
	member->event_count++;
}

uint32_t member_bit_count(uint32_t count)
{
	uint32_t result = 0;

	while (count >> result)
		result++;
	return result;
}

uint32_t member_gossip_limit(const struct bw_member *member)
{
	return GOSSIP_FACTOR * member_bit_count(member->entry_count);
}

static enum bw_status handle_message_(struct bw_member *member,
				      const char *peer,
				      const struct member_message *message,
				      struct bw_time now, struct bw_outbox *out)
{
	const char *self = member->config.self.name;

	switch (message->type) {
	case MEMBER_PING:
		return member_send(member, out, peer, MEMBER_ACK,
				   message->sequence, message->name, false);
	case MEMBER_PING_REQUEST:
		return member_send(member, out, message->name, MEMBER_PING,
				   message->sequence, peer, false);
	case MEMBER_ACK:
		if (message->name[0] && strcmp(message->name, self) != 0)
			return member_send(member, out, message->name,
					   MEMBER_ACK, message->sequence, "",
					   false);
		if (message->sequence == member->probe.sequence)
			member->probe.target[0] = 0;
		return BW_OK;
	case MEMBER_HASHES:
		return member_handle_hashes(member, peer, message, now, out);
	default:
		return BW_OK;
	}
}

static void announce_document_numbers_(struct bw_member *member,
				       struct bw_time now)
{
	int64_t spacing_ms =
		(int64_t)member->entry_count * NUMBERS_SPACING_PER_HOST_MS;

	if (!member->document_numbers_changed ||
	    !bw_time_reached(now, member->next_numbers_announcement))
		return;
	if (spacing_ms < NUMBERS_SPACING_MIN_MS)
		spacing_ms = NUMBERS_SPACING_MIN_MS;
	member->document_numbers_changed = false;
	member->next_numbers_announcement = bw_time_add(now, spacing_ms);
	member_self(member)->numbers_sends_left =
		member_bit_count(member->entry_count);
}
