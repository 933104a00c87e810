#include "private/keys_store.h"

#include <assert.h>
#include <string.h>

static void decide_attempt_(struct bw_keys *keys, const struct bw_key *key,
			    const uint8_t *digest, struct bw_time now,
			    struct bw_outbox *out,
			    struct bw_keys_decision *decision);
static void redirect_to_owner_(const struct bw_keys *keys,
			       const struct bw_key *key,
			       struct bw_keys_decision *decision);
static bool check_refusal_(const struct bw_keys *keys,
			   const struct bw_keys_set *set,
			   const struct bw_keys_record *record,
			   const struct bw_key *key, struct bw_time now,
			   struct bw_keys_decision *decision);
static void refuse_sealed_(const struct bw_keys *keys,
			   const struct bw_keys_set *set,
			   struct bw_keys_decision *decision);
static void extend_expiry_(struct bw_keys *keys, struct bw_keys_record *record,
			   int64_t expiry_ms);
static void apply_begin_(struct bw_keys *keys, struct bw_keys_record *record,
			 struct bw_time now, struct bw_outbox *out,
			 struct bw_keys_decision *decision);
static void start_run_(struct bw_keys *keys, struct bw_keys_record *record,
		       struct bw_time now, struct bw_outbox *out,
		       struct bw_keys_decision *decision);
static void report_outcome_(const struct bw_keys_record *record,
			    struct bw_keys_decision *decision);
static bool decide_by_owned_table_(const struct bw_keys *keys,
				   const struct bw_key *key,
				   const uint8_t *digest, struct bw_time now,
				   struct bw_keys_decision *decision);
static void decide_by_record_(const struct bw_keys_record *record,
			      const uint8_t *digest,
			      struct bw_keys_decision *decision);
static void count_decision_(struct bw_keys *keys,
			    const struct bw_keys_decision *decision);

void bw_keys_begin(struct bw_keys *keys, const struct bw_key *key,
		   const uint8_t digest[BW_KEYS_ID_BYTES], struct bw_time now,
		   struct bw_outbox *out, struct bw_keys_decision *decision)
{
	memset(decision, 0, sizeof(*decision));
	decide_attempt_(keys, key, digest, now, out, decision);
	count_decision_(keys, decision);
}

void bw_keys_lookup_backup(struct bw_keys *keys, const struct bw_key *key,
			   const uint8_t digest[BW_KEYS_ID_BYTES],
			   struct bw_time now,
			   struct bw_keys_decision *decision)
{
	const struct bw_keys_set *set =
		bw_keys_table_find(keys->backups, key->owner, key->incarnation);
	const struct bw_keys_record *record =
		set ? bw_keys_record_find(set, key) : NULL;

	memset(decision, 0, sizeof(*decision));
	decision->kind = BW_KEYS_ABSENT;
	if (!decide_by_owned_table_(keys, key, digest, now, decision) && record)
		decide_by_record_(record, digest, decision);
	count_decision_(keys, decision);
}

struct bw_keys_set *bw_keys_find_set(const struct bw_keys *keys,
				     const struct bw_key *key)
{
	struct bw_keys_set *set =
		bw_keys_table_find(keys->owned, key->owner, key->incarnation);

	return set && set->state != BW_KEYS_SET_INCOMING ? set : NULL;
}

static void decide_attempt_(struct bw_keys *keys, const struct bw_key *key,
			    const uint8_t *digest, struct bw_time now,
			    struct bw_outbox *out,
			    struct bw_keys_decision *decision)
{
	struct bw_keys_set *set = bw_keys_find_set(keys, key);
	struct bw_keys_record *record;

	if (!set) {
		redirect_to_owner_(keys, key, decision);
		return;
	}
	record = bw_keys_record_find(set, key);
	/* Once committed, the successor may have run a key that is new here. */
	if (record && (record->state != BW_KEYS_NEW || !set->committed) &&
	    memcmp(record->digest, digest, BW_KEYS_ID_BYTES)) {
		decision->kind = BW_KEYS_CONFLICT;
		decision->not_run = true;
		return;
	}
	if (check_refusal_(keys, set, record, key, now, decision))
		return;
	if (!record) {
		record = bw_keys_record_add(keys, set, key);
		if (!record) {
			decision->kind = BW_KEYS_FULL;
			decision->not_run = true;
			return;
		}
		memcpy(record->digest, digest, BW_KEYS_ID_BYTES);
		bw_keys_wheel_insert(keys, record);
	}
	extend_expiry_(keys, record, key->expiry_ms);
	apply_begin_(keys, record, now, out, decision);
}

static void redirect_to_owner_(const struct bw_keys *keys,
			       const struct bw_key *key,
			       struct bw_keys_decision *decision)
{
	if (!strcmp(key->owner, keys->config.host)) {
		decision->kind = BW_KEYS_OWNER_ENDED;
		return;
	}
	decision->kind = BW_KEYS_NOT_OWNER;
	memcpy(decision->host, key->owner, BW_NAME_MAX);
	decision->incarnation = key->incarnation;
}

/* Refuses an attempt that would start a run which is not allowed. */
static bool check_refusal_(const struct bw_keys *keys,
			   const struct bw_keys_set *set,
			   const struct bw_keys_record *record,
			   const struct bw_key *key, struct bw_time now,
			   struct bw_keys_decision *decision)
{
	bool sealed = keys->sealed || set->state == BW_KEYS_SET_HANDED_OVER;
	int64_t wall_ms = bw_keys_owner_wall_ms(set, now);
	int64_t horizon_ms = key->kind == BW_KEYS_BOUND
				     ? keys->config.bound_horizon_ms
				     : keys->config.horizon_ms;

	if (record && record->state != BW_KEYS_NEW) {
		/* The successor's record must get the later expiry. */
		if (!sealed || key->expiry_ms <= record->expiry_ms)
			return false;
		refuse_sealed_(keys, set, decision);
		decision->not_run = false;
		return true;
	}
	if (wall_ms >= key->expiry_ms) {
		decision->kind = BW_KEYS_EXPIRED;
		return true;
	}
	if (sealed) {
		refuse_sealed_(keys, set, decision);
		return true;
	}
	if (key->expiry_ms - wall_ms > horizon_ms) {
		decision->kind = BW_KEYS_TOO_FAR;
		decision->not_run = true;
		return true;
	}
	return false;
}

static void refuse_sealed_(const struct bw_keys *keys,
			   const struct bw_keys_set *set,
			   struct bw_keys_decision *decision)
{
	const char *host = set->committed ? set->successor : keys->successor;

	decision->kind = BW_KEYS_SEALED;
	decision->not_run = !set->committed;
	memcpy(decision->host, host, BW_NAME_MAX);
	decision->incarnation = set->committed ? set->successor_incarnation
					       : keys->successor_incarnation;
}

/* A binding that was renewed for the same owner may have a later expiry. */
static void extend_expiry_(struct bw_keys *keys, struct bw_keys_record *record,
			   int64_t expiry_ms)
{
	if (expiry_ms <= record->expiry_ms)
		return;
	record->expiry_ms = expiry_ms;
	if (record->state == BW_KEYS_NEW)
		return;
	record->version = ++keys->version;
	bw_keys_copy_enqueue(keys, record);
}

static void apply_begin_(struct bw_keys *keys, struct bw_keys_record *record,
			 struct bw_time now, struct bw_outbox *out,
			 struct bw_keys_decision *decision)
{
	struct bw_chart_step step;

	bw_chart_next(keys->config.chart, record->state, BW_KEYS_CHART_BEGIN,
		      &step);
	record->state = step.state;
	switch (step.action) {
	case BW_KEYS_ACTION_RUN:
		start_run_(keys, record, now, out, decision);
		break;
	case BW_KEYS_ACTION_JOIN:
		record->joined = true;
		decision->kind = BW_KEYS_JOIN;
		break;
	case BW_KEYS_ACTION_REPLAY:
	case BW_KEYS_ACTION_REPORT_UNKNOWN:
		report_outcome_(record, decision);
		break;
	default:
		assert(!"the chart has no action for begin");
	}
}

static void start_run_(struct bw_keys *keys, struct bw_keys_record *record,
		       struct bw_time now, struct bw_outbox *out,
		       struct bw_keys_decision *decision)
{
	record->version = ++keys->version;
	record->run = record->version;
	record->begun_ms = now.ms;
	record->joined = false;
	record->set->running_count++;
	keys->running_count++;
	bw_keys_copy_enqueue(keys, record);
	bw_keys_copy_send(keys, record, now, out);
	decision->kind = BW_KEYS_RUN;
	decision->run = record->run;
	decision->ready = bw_keys_backup_unreachable(keys, now);
	bw_keys_record_enqueue(record, decision->ready ? NULL : &keys->waiting);
	if (decision->ready)
		keys->counts.ready_unacknowledged++;
}

static void report_outcome_(const struct bw_keys_record *record,
			    struct bw_keys_decision *decision)
{
	if (record->response) {
		decision->kind = BW_KEYS_REPLAY;
		bw_keys_record_get_response(record, &decision->response);
		return;
	}
	decision->kind = BW_KEYS_UNKNOWN;
	decision->reason = record->state == BW_KEYS_DONE
				   ? BW_KEYS_RESPONSE_NOT_KEPT
				   : BW_KEYS_MAY_HAVE_RUN;
}

/*
 * Decides by the set in the owned table. Returns false if there is none, or if
 * its handover to this host is in progress and has not brought the record yet.
 */
static bool decide_by_owned_table_(const struct bw_keys *keys,
				   const struct bw_key *key,
				   const uint8_t *digest, struct bw_time now,
				   struct bw_keys_decision *decision)
{
	const struct bw_keys_set *set =
		bw_keys_table_find(keys->owned, key->owner, key->incarnation);
	const struct bw_keys_record *record =
		set ? bw_keys_record_find(set, key) : NULL;

	if (!set)
		return false;
	if (record && record->state != BW_KEYS_NEW) {
		decide_by_record_(record, digest, decision);
		return true;
	}
	if (set->state == BW_KEYS_SET_INCOMING)
		return false;
	decision->not_run = set->state == BW_KEYS_SET_OWNED &&
			    !set->committed &&
			    bw_keys_owner_wall_ms(set, now) < key->expiry_ms;
	return true;
}

static void decide_by_record_(const struct bw_keys_record *record,
			      const uint8_t *digest,
			      struct bw_keys_decision *decision)
{
	if (record->state == BW_KEYS_NEW)
		return;
	/*
	 * A copy in state running may be outdated: the run may have ended as
	 * not run, and the key may since be in use for another request.
	 */
	if (record->state != BW_KEYS_RUNNING &&
	    memcmp(record->digest, digest, BW_KEYS_ID_BYTES)) {
		decision->kind = BW_KEYS_CONFLICT;
		return;
	}
	report_outcome_(record, decision);
}

static void count_decision_(struct bw_keys *keys,
			    const struct bw_keys_decision *decision)
{
	keys->counts.decisions[decision->kind]++;
	keys->counts.unknown[decision->reason]++;
}
