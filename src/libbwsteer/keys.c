#include "private/keys_store.h"

#include <assert.h>
#include <string.h>

#include <sodium.h>

/* Context and ids of the subkeys derived from the fleet's secret. */
#define KDF_CONTEXT "bwreqkey"
#define KDF_MAC 1
#define KDF_ID 2

static void make_waiting_ready_(struct bw_keys *keys, struct bw_time now);
static bool is_valid_config_(const struct bw_keys_config *config);
static void free_table_(struct bw_keys *keys, GHashTable *table);
static json_t *dump_sets_(GHashTable *table);

const char *const bw_keys_state_string[BW_KEYS_STATE_COUNT] = {
	[BW_KEYS_NEW] = "new",
	[BW_KEYS_RUNNING] = "running",
	[BW_KEYS_DONE] = "done",
	[BW_KEYS_OUTCOME_UNKNOWN] = "unknown",
};

const char *const bw_keys_decision_string[BW_KEYS_DECISION_COUNT] = {
	[BW_KEYS_RUN] = "run",
	[BW_KEYS_JOIN] = "join",
	[BW_KEYS_REPLAY] = "replay",
	[BW_KEYS_UNKNOWN] = "unknown",
	[BW_KEYS_ABSENT] = "absent",
	[BW_KEYS_FULL] = "full",
	[BW_KEYS_CONFLICT] = "conflict",
	[BW_KEYS_EXPIRED] = "expired",
	[BW_KEYS_TOO_FAR] = "too_far",
	[BW_KEYS_NOT_OWNER] = "not_owner",
	[BW_KEYS_OWNER_ENDED] = "owner_ended",
	[BW_KEYS_SEALED] = "sealed",
};

const char *const bw_keys_reason_string[BW_KEYS_REASON_COUNT] = {
	[BW_KEYS_NO_REASON] = "none",
	[BW_KEYS_MAY_HAVE_RUN] = "may_have_run",
	[BW_KEYS_RESPONSE_NOT_KEPT] = "response_not_kept",
};

const char *const bw_keys_outcome_string[BW_KEYS_OUTCOME_COUNT] = {
	[BW_KEYS_OUTCOME_DONE] = "done",
	[BW_KEYS_OUTCOME_NOT_RUN] = "not_run",
	[BW_KEYS_OUTCOME_MAY_HAVE_RUN] = "may_have_run",
};

const char *const bw_keys_event_string[BW_KEYS_EVENT_COUNT] = {
	[BW_KEYS_EVENT_READY] = "ready",
	[BW_KEYS_EVENT_ENDED] = "ended",
	[BW_KEYS_EVENT_ADOPTED] = "adopted",
	[BW_KEYS_EVENT_HANDED_OVER] = "handed_over",
};

static const char *const chart_events_[BW_KEYS_CHART_EVENT_COUNT] = {
	[BW_KEYS_CHART_BEGIN] = "begin",
	[BW_KEYS_CHART_FINISH + BW_KEYS_OUTCOME_DONE] = "finish_done",
	[BW_KEYS_CHART_FINISH + BW_KEYS_OUTCOME_NOT_RUN] = "finish_not_run",
	[BW_KEYS_CHART_FINISH + BW_KEYS_OUTCOME_MAY_HAVE_RUN] =
		"finish_may_have_run",
};

static const char *const chart_actions_[BW_KEYS_ACTION_COUNT] = {
	[BW_KEYS_ACTION_RUN] = "run",
	[BW_KEYS_ACTION_JOIN] = "join",
	[BW_KEYS_ACTION_REPLAY] = "replay",
	[BW_KEYS_ACTION_REPORT_UNKNOWN] = "report_unknown",
	[BW_KEYS_ACTION_KEEP_RESPONSE] = "keep_response",
	[BW_KEYS_ACTION_RELEASE] = "release",
};

const struct bw_chart_names bw_keys_chart_names = {
	.states = bw_keys_state_string,
	.state_count = BW_KEYS_STATE_COUNT,
	.events = chart_events_,
	.event_count = BW_KEYS_CHART_EVENT_COUNT,
	.actions = chart_actions_,
	.action_count = BW_KEYS_ACTION_COUNT,
};

void bw_keys_config_default(struct bw_keys_config *config)
{
	memset(config, 0, sizeof(*config));
	config->validity_ms = 15 * 60 * 1000;
	config->horizon_ms = 30 * 60 * 1000;
	config->bound_horizon_ms = 25 * 60 * 60 * 1000;
	config->ack_wait_ms = 50;
	config->backup_timeout_ms = 500;
	config->resend_ms = 200;
	config->handover_idle_timeout_ms = 60 * 1000;
	config->records_max = 65536;
	config->responses_max_bytes = 64 * 1024 * 1024;
	config->backup_records_max = 65536;
	config->backup_records_per_owner_max = 32768;
	config->backup_responses_max_bytes = 64 * 1024 * 1024;
	config->backup_bytes_per_s = 4 * 1024 * 1024;
	config->packet_bytes = 64 * 1024;
	config->owners_max = 4096;
}

enum bw_status bw_keys_init(struct bw_keys *keys,
			    const struct bw_keys_config *config,
			    struct bw_time now)
{
	memset(keys, 0, sizeof(*keys));
	if (!is_valid_config_(config))
		return BW_EINVAL;
	keys->config = *config;
	keys->started = now;
	keys->credit_updated = now;
	keys->wheel_s = now.ms / 1000;
	crypto_kdf_derive_from_key(keys->mac_key, sizeof(keys->mac_key),
				   KDF_MAC, KDF_CONTEXT, config->secret);
	crypto_kdf_derive_from_key(keys->id_key, sizeof(keys->id_key), KDF_ID,
				   KDF_CONTEXT, config->secret);
	keys->owned_pool.records_max = config->records_max;
	keys->owned_pool.bytes_max = config->responses_max_bytes;
	keys->backup_pool.records_max = config->backup_records_max;
	keys->backup_pool.bytes_max = config->backup_responses_max_bytes;
	keys->owned = bw_keys_table_new();
	keys->backups = bw_keys_table_new();
	keys->own = bw_keys_table_add(keys->owned, &keys->owned_pool,
				      config->host, config->incarnation,
				      BW_KEYS_SET_OWNED);
	if (!keys->own) {
		bw_keys_finish(keys);
		return BW_ENOMEM;
	}
	keys->own->wall_offset_ms = config->wall_ms - now.ms;
	return BW_OK;
}

void bw_keys_finish(struct bw_keys *keys)
{
	struct bw_keys_event event;

	if (!keys->owned)
		return;
	free_table_(keys, keys->owned);
	free_table_(keys, keys->backups);
	keys->owned = NULL;
	while (bw_keys_next_event(keys, &event))
		continue;
	sodium_memzero(keys->mac_key, sizeof(keys->mac_key));
	sodium_memzero(keys->id_key, sizeof(keys->id_key));
}

int64_t bw_keys_wall_ms(const struct bw_keys *keys, struct bw_time now)
{
	return bw_keys_owner_wall_ms(keys->own, now);
}

enum bw_status bw_keys_finish_run(struct bw_keys *keys,
				  const struct bw_key *key, uint64_t run,
				  enum bw_keys_outcome outcome,
				  const struct bw_keys_response *response,
				  struct bw_time now, struct bw_outbox *out)
{
	struct bw_keys_set *set = bw_keys_find_set(keys, key);
	struct bw_keys_record *record = set ? bw_keys_record_find(set, key)
					    : NULL;
	struct bw_chart_step step;

	if (!record || record->run != run ||
	    bw_chart_next(keys->config.chart, record->state,
			  (uint8_t)(BW_KEYS_CHART_FINISH + outcome),
			  &step) != BW_OK)
		return BW_ENOTFOUND;
	record->state = step.state;
	record->version = ++keys->version;
	set->running_count--;
	keys->running_count--;
	bw_keys_record_enqueue(record, NULL);
	if (step.action == BW_KEYS_ACTION_KEEP_RESPONSE && response)
		bw_keys_record_store_response(keys, record, response);
	if (step.action == BW_KEYS_ACTION_RELEASE)
		bw_keys_record_enqueue(record, &set->pool->released);
	if (record->joined)
		bw_keys_push_run_event(keys, BW_KEYS_EVENT_ENDED, record,
				       outcome);
	bw_keys_copy_enqueue(keys, record);
	bw_keys_copy_send(keys, record, now, out);
	return BW_OK;
}

enum bw_status bw_keys_set_backup(struct bw_keys *keys, const char *host,
				  uint64_t incarnation, struct bw_time now)
{
	char name[BW_NAME_MAX];

	if (!bw_name_set(name, host) || !strcmp(name, keys->config.host) ||
	    (name[0] && !incarnation))
		return BW_EINVAL;
	if (!strcmp(name, keys->backup) &&
	    (!name[0] || incarnation == keys->backup_incarnation))
		return BW_OK;
	memcpy(keys->backup, name, sizeof(name));
	keys->backup_incarnation = name[0] ? incarnation : 0;
	keys->ack_pending = false;
	bw_keys_copy_enqueue_all(keys);
	make_waiting_ready_(keys, now);
	return BW_OK;
}

enum bw_status bw_keys_seal(struct bw_keys *keys, const char *successor,
			    uint64_t incarnation)
{
	GHashTableIter iter;
	gpointer item;
	struct bw_keys_set *set;
	char name[BW_NAME_MAX];

	if (!bw_name_set(name, successor) || !strcmp(name, keys->config.host) ||
	    (name[0] && !incarnation))
		return BW_EINVAL;
	keys->sealed = true;
	if (!strcmp(name, keys->successor) &&
	    incarnation == keys->successor_incarnation)
		return BW_OK;
	memcpy(keys->successor, name, sizeof(name));
	keys->successor_incarnation = incarnation;
	g_hash_table_iter_init(&iter, keys->owned);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		set = item;
		if (set->state == BW_KEYS_SET_OWNED && !set->committed)
			bw_keys_handover_reset(set);
	}
	return BW_OK;
}

bool bw_keys_is_handed_over(const struct bw_keys *keys)
{
	GHashTableIter iter;
	gpointer item;

	if (!keys->sealed)
		return false;
	g_hash_table_iter_init(&iter, keys->owned);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		if (((struct bw_keys_set *)item)->state !=
		    BW_KEYS_SET_HANDED_OVER)
			return false;
	}
	return true;
}

uint32_t bw_keys_running_count(const struct bw_keys *keys)
{
	return keys->running_count;
}

enum bw_status bw_keys_receive(struct bw_keys *keys,
			       const struct bw_packet *packet,
			       struct bw_time now, struct bw_outbox *out)
{
	struct bw_reader reader;
	enum bw_status status;
	uint64_t version;
	uint64_t type;

	status = bw_reader_init(&reader, packet->data, packet->size_bytes);
	bw_read_array(&reader);
	version = bw_read_uint(&reader);
	type = bw_read_uint(&reader);
	if (bw_reader_status(&reader) != BW_OK || !packet->incarnation)
		status = BW_EINVAL;
	else if (version != BW_KEYS_WIRE_VERSION || type < BW_KEYS_COPY ||
		 type > BW_KEYS_COMPLETE_ACK)
		status = BW_EVERSION;
	else if (bw_read_uint(&reader) != keys->config.incarnation)
		status = BW_ESTALE;
	else if (type == BW_KEYS_COPY)
		status = bw_keys_receive_copy(keys, packet, &reader, now, out);
	else if (type == BW_KEYS_COPY_ACK)
		status = bw_keys_receive_copy_ack(keys, packet, &reader);
	else
		status = bw_keys_receive_handover(keys, packet,
						  (enum bw_keys_message)type,
						  &reader, now, out);
	bw_reader_finish(&reader);
	if (status != BW_OK)
		keys->counts.packets_rejected++;
	return status;
}

enum bw_status bw_keys_tick(struct bw_keys *keys, struct bw_time now,
			    struct bw_outbox *out)
{
	make_waiting_ready_(keys, now);
	bw_keys_copy_tick(keys, now, out);
	bw_keys_handover_tick(keys, now, out);
	bw_keys_wheel_advance(keys, now);
	return BW_OK;
}

bool bw_keys_next_event(struct bw_keys *keys, struct bw_keys_event *event)
{
	struct bw_keys_event *next = g_queue_pop_head(&keys->events);

	if (!next)
		return false;
	*event = *next;
	g_free(next);
	return true;
}

enum bw_status bw_keys_dump(const struct bw_keys *keys, json_t *into)
{
	json_t *decisions = json_object();
	json_t *counts;
	int status;
	int i;

	for (i = 0; i < BW_KEYS_DECISION_COUNT; i++)
		json_object_set_new(
			decisions, bw_keys_decision_string[i],
			json_integer((json_int_t)keys->counts.decisions[i]));
	counts = json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "ready_unacknowledged",
		(json_int_t)keys->counts.ready_unacknowledged,
		"responses_dropped", (json_int_t)keys->counts.responses_dropped,
		"backup_refused", (json_int_t)keys->counts.backup_refused,
		"copies_refused", (json_int_t)keys->counts.copies_refused,
		"handover_refused", (json_int_t)keys->counts.handover_refused,
		"expired", (json_int_t)keys->counts.expired, "packets_rejected",
		(json_int_t)keys->counts.packets_rejected);
	status = json_object_set_new(into, "counts", counts);
	status |= json_object_set_new(into, "decisions", decisions);
	status |= json_object_set_new(into, "owned", dump_sets_(keys->owned));
	status |=
		json_object_set_new(into, "backups", dump_sets_(keys->backups));
	status |=
		json_object_set_new(into, "backup", json_string(keys->backup));
	status |=
		json_object_set_new(into, "sealed", json_boolean(keys->sealed));
	status |= json_object_set_new(into, "successor",
				      json_string(keys->successor));
	status |= json_object_set_new(into, "running",
				      json_integer(keys->running_count));
	return status ? BW_ENOMEM : BW_OK;
}

void bw_keys_push_event(struct bw_keys *keys, const struct bw_keys_event *event)
{
	struct bw_keys_event *copy = g_malloc(sizeof(*copy));

	*copy = *event;
	g_queue_push_tail(&keys->events, copy);
}

void bw_keys_push_run_event(struct bw_keys *keys, enum bw_keys_event_kind kind,
			    const struct bw_keys_record *record,
			    enum bw_keys_outcome outcome)
{
	struct bw_keys_event event = { .kind = kind };

	event.key.kind = (enum bw_keys_kind)record->kind;
	memcpy(event.key.owner, record->set->host, BW_NAME_MAX);
	event.key.incarnation = record->set->incarnation;
	event.key.expiry_ms = record->expiry_ms;
	memcpy(event.key.id, record->id, sizeof(event.key.id));
	event.run = record->run;
	event.outcome = outcome;
	bw_keys_push_event(keys, &event);
}

void bw_keys_make_ready(struct bw_keys *keys, struct bw_keys_record *record)
{
	bw_keys_record_enqueue(record, NULL);
	bw_keys_push_run_event(keys, BW_KEYS_EVENT_READY, record,
			       BW_KEYS_OUTCOME_DONE);
}

/* Lets runs start whose backup ack is overdue, or all if it is unreachable. */
static void make_waiting_ready_(struct bw_keys *keys, struct bw_time now)
{
	bool unreachable = bw_keys_backup_unreachable(keys, now);
	struct bw_keys_record *record;

	while (keys->waiting.length) {
		record = keys->waiting.head->data;
		if (!unreachable &&
		    now.ms - record->begun_ms < keys->config.ack_wait_ms)
			return;
		keys->counts.ready_unacknowledged++;
		bw_keys_make_ready(keys, record);
	}
}

static bool is_valid_config_(const struct bw_keys_config *config)
{
	return config->host[0] && config->incarnation && config->chart &&
	       config->wall_ms >= 0 &&
	       config->wall_ms < BW_KEYS_WALL_END_MS / 2 &&
	       config->validity_ms > 0 &&
	       config->horizon_ms >= config->validity_ms &&
	       config->bound_horizon_ms > 0 && config->resend_ms > 0 &&
	       config->handover_idle_timeout_ms > 0 && config->records_max &&
	       config->backup_records_max &&
	       config->backup_records_per_owner_max &&
	       config->backup_bytes_per_s && config->owners_max &&
	       config->packet_bytes &&
	       config->packet_bytes <= BW_PACKET_MAX_BYTES / 2;
}

static void free_table_(struct bw_keys *keys, GHashTable *table)
{
	GHashTableIter iter;
	gpointer set;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &set, NULL)) {
		g_hash_table_iter_remove(&iter);
		bw_keys_set_free(keys, set);
	}
	g_hash_table_destroy(table);
}

static json_t *dump_sets_(GHashTable *table)
{
	json_t *sets = json_array();
	GHashTableIter iter;
	gpointer item;
	const struct bw_keys_set *set;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		set = item;
		json_array_append_new(
			sets, json_pack("{s:s, s:I, s:s, s:i, s:i, s:s, s:b}",
					"host", set->host, "incarnation",
					(json_int_t)set->incarnation, "state",
					bw_keys_set_state_string[set->state],
					"records",
					(int)g_hash_table_size(set->records),
					"running", (int)set->running_count,
					"successor", set->successor,
					"committed", set->committed));
	}
	return sets;
}
