#include "bwsteer/poison.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "private/index.h"
#include "private/poison.h"

/** Prior weight of a request without earlier crashes. Small against
 * BW_POISON_CRASH_WEIGHT / slots, so that the second crash is attributed almost
 * entirely to the one request that was also in flight during the first. */
#define PRIOR_WEIGHT 10

/** Limit on the requests in flight considered for one crash. */
#define IN_FLIGHT_MAX 65535

static uint64_t hash_fingerprint_(const struct bw_fingerprint *fingerprint);
static bool fingerprints_equal_(const struct bw_fingerprint *a,
				const struct bw_fingerprint *b);
static struct bw_poison_entry *
find_entry_(const struct bw_poison *poison,
	    const struct bw_fingerprint *fingerprint);
static struct bw_poison_entry *
find_or_add_entry_(struct bw_poison *poison,
		   const struct bw_fingerprint *fingerprint,
		   struct bw_time now);
static void lru_append_(struct bw_poison *poison, uint32_t position);
static void lru_remove_(struct bw_poison *poison, uint32_t position);
static void lru_touch_(struct bw_poison *poison, struct bw_poison_entry *entry);
static void remove_entry_(struct bw_poison *poison, uint32_t position);
static void evict_entry_(struct bw_poison *poison, struct bw_time now);
static void expire_crashes_(const struct bw_poison *poison,
			    struct bw_poison_entry *entry, struct bw_time now);
static struct bw_poison_share *find_share_(struct bw_poison_entry *entry,
					   uint64_t incarnation);
static void attribute_crash_(struct bw_poison *poison, uint64_t incarnation,
			     struct bw_time now);
static uint64_t sum_priors_(const struct bw_poison *poison,
			    uint64_t incarnation, struct bw_time now);
static bool is_first_occurrence_(const struct bw_poison *poison,
				 uint32_t position);
static void remove_suspect_(struct bw_poison *poison, uint32_t position);
static void remove_suspects_(struct bw_poison *poison, uint64_t incarnation);

void bw_poison_config_default(struct bw_poison_config *config, const char *host)
{
	memset(config, 0, sizeof(*config));
	bw_name_set(config->host, host);
	config->fingerprints_max = 1024;
	config->suspects_max = 1024;
	config->crash_limit = 2;
	config->expiry_ms = 600000;
	config->confirm_ms = 15000;
	config->settle_ms = 100;
}

enum bw_status bw_poison_init(struct bw_poison *poison,
			      const struct bw_poison_config *config)
{
	uint32_t i;

	memset(poison, 0, sizeof(*poison));
	if (!config->fingerprints_max || !config->suspects_max ||
	    !config->crash_limit || config->expiry_ms <= 0)
		return BW_EINVAL;
	poison->config = *config;
	poison->entries =
		calloc(config->fingerprints_max, sizeof(poison->entries[0]));
	poison->suspects =
		calloc(config->suspects_max, sizeof(poison->suspects[0]));
	poison->by_fingerprint = bw_index_new(config->fingerprints_max);
	if (!poison->entries || !poison->suspects || !poison->by_fingerprint) {
		bw_poison_finish(poison);
		return BW_ENOMEM;
	}
	poison->lru_head = BW_INDEX_NONE;
	poison->lru_tail = BW_INDEX_NONE;
	poison->free_head = 0;
	for (i = 0; i < config->fingerprints_max; i++)
		poison->entries[i].next = i + 1 < config->fingerprints_max
						  ? i + 1
						  : BW_INDEX_NONE;
	return BW_OK;
}

void bw_poison_finish(struct bw_poison *poison)
{
	free(poison->entries);
	free(poison->suspects);
	bw_index_free(poison->by_fingerprint);
	poison->entries = NULL;
	poison->suspects = NULL;
	poison->by_fingerprint = NULL;
}

void bw_poison_fingerprint(const char *service, const char *method,
			   const char *path, const void *body_digest,
			   size_t digest_bytes, const char *key,
			   struct bw_fingerprint *fingerprint)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, BW_FINGERPRINT_BYTES);
	/* The terminating NULs make "ab","c" differ from "a","bc". */
	crypto_generichash_update(&state, (const uint8_t *)service,
				  strlen(service) + 1);
	crypto_generichash_update(&state, (const uint8_t *)method,
				  strlen(method) + 1);
	crypto_generichash_update(&state, (const uint8_t *)path,
				  strlen(path) + 1);
	crypto_generichash_update(&state, (const uint8_t *)key,
				  strlen(key) + 1);
	if (digest_bytes)
		crypto_generichash_update(&state, body_digest, digest_bytes);
	crypto_generichash_final(&state, fingerprint->bytes,
				 BW_FINGERPRINT_BYTES);
}

bool bw_poison_check(struct bw_poison *poison,
		     const struct bw_fingerprint *fingerprint,
		     uint32_t crash_limit, struct bw_time now,
		     uint32_t *retry_after_ms)
{
	struct bw_poison_entry *entry = find_entry_(poison, fingerprint);
	uint32_t limit = crash_limit ? crash_limit : poison->config.crash_limit;
	struct bw_time oldest;
	uint32_t i;

	*retry_after_ms = 0;
	if (!entry)
		return false;
	lru_touch_(poison, entry);
	if (bw_poison_entry_weight(poison, entry, now) <
	    limit * BW_POISON_CRASH_WEIGHT)
		return false;
	expire_crashes_(poison, entry, now);
	oldest = now;
	for (i = 0; i < entry->crashes_count; i++) {
		if (bw_time_diff_ms(oldest, entry->crashes[i].at) > 0)
			oldest = entry->crashes[i].at;
	}
	*retry_after_ms = (uint32_t)bw_time_diff_ms(
		bw_time_add(oldest, poison->config.expiry_ms), now);
	poison->rejected_count++;
	return true;
}

enum bw_status bw_poison_connection_lost(
	struct bw_poison *poison, const struct bw_fingerprint *fingerprint,
	uint64_t incarnation, uint32_t in_flight, struct bw_time now)
{
	struct bw_poison_suspect *suspect;
	enum bw_status status = BW_OK;
	uint32_t i;

	if (poison->suspects_count == poison->config.suspects_max) {
		remove_suspect_(poison, 0);
		status = BW_EFULL;
	}
	suspect = &poison->suspects[poison->suspects_count++];
	memset(suspect, 0, sizeof(*suspect));
	suspect->fingerprint = *fingerprint;
	suspect->incarnation = incarnation;
	suspect->in_flight = in_flight ? in_flight : 1;
	if (suspect->in_flight > IN_FLIGHT_MAX)
		suspect->in_flight = IN_FLIGHT_MAX;
	suspect->lost_at = now;
	/* Another connection may have confirmed the loss already. */
	for (i = 0; i + 1 < poison->suspects_count; i++) {
		if (poison->suspects[i].incarnation != incarnation ||
		    !poison->suspects[i].confirmed)
			continue;
		suspect->confirmed = true;
		suspect->settles_at = poison->suspects[i].settles_at;
		break;
	}
	return status;
}

void bw_poison_server_lost(struct bw_poison *poison, uint64_t incarnation,
			   struct bw_time now)
{
	struct bw_poison_suspect *suspect;
	uint32_t i;

	for (i = 0; i < poison->suspects_count; i++) {
		suspect = &poison->suspects[i];
		if (suspect->incarnation != incarnation || suspect->confirmed)
			continue;
		suspect->confirmed = true;
		suspect->settles_at =
			bw_time_add(now, poison->config.settle_ms);
	}
}

void bw_poison_completed(struct bw_poison *poison,
			 const struct bw_fingerprint *fingerprint,
			 struct bw_time now)
{
	struct bw_poison_entry *entry = find_entry_(poison, fingerprint);
	uint32_t i;

	if (!entry)
		return;
	/* Crashes of weight zero stay until they expire, so that a record
	 * of another host does not restore their weight. */
	expire_crashes_(poison, entry, now);
	for (i = 0; i < entry->crashes_count; i++)
		entry->crashes[i].weight /= 2;
}

void bw_poison_tick(struct bw_poison *poison, struct bw_time now)
{
	struct bw_poison_suspect *suspect;
	struct bw_poison_entry *entry;
	uint32_t i = 0;

	while (i < poison->suspects_count) {
		suspect = &poison->suspects[i];
		if (suspect->confirmed &&
		    bw_time_reached(now, suspect->settles_at)) {
			attribute_crash_(poison, suspect->incarnation, now);
			i = 0;
			continue;
		}
		if (!suspect->confirmed &&
		    bw_time_diff_ms(now, suspect->lost_at) >
			    poison->config.confirm_ms) {
			remove_suspect_(poison, i);
			continue;
		}
		i++;
	}
	while (poison->lru_head != BW_INDEX_NONE) {
		entry = &poison->entries[poison->lru_head];
		expire_crashes_(poison, entry, now);
		if (entry->crashes_count)
			break;
		remove_entry_(poison, poison->lru_head);
	}
}

uint32_t bw_poison_weight(const struct bw_poison *poison,
			  const struct bw_fingerprint *fingerprint,
			  struct bw_time now)
{
	const struct bw_poison_entry *entry = find_entry_(poison, fingerprint);

	return entry ? bw_poison_entry_weight(poison, entry, now) : 0;
}

static uint64_t hash_fingerprint_(const struct bw_fingerprint *fingerprint)
{
	return bw_index_hash(fingerprint->bytes, BW_FINGERPRINT_BYTES);
}

static bool fingerprints_equal_(const struct bw_fingerprint *a,
				const struct bw_fingerprint *b)
{
	return !memcmp(a->bytes, b->bytes, BW_FINGERPRINT_BYTES);
}

static struct bw_poison_entry *
find_entry_(const struct bw_poison *poison,
	    const struct bw_fingerprint *fingerprint)
{
	struct bw_index_cursor cursor;
	uint32_t position = bw_index_first(poison->by_fingerprint,
					   hash_fingerprint_(fingerprint),
					   &cursor);

	while (position != BW_INDEX_NONE) {
		if (fingerprints_equal_(&poison->entries[position].fingerprint,
					fingerprint))
			return &poison->entries[position];
		position = bw_index_next(poison->by_fingerprint, &cursor);
	}
	return NULL;
}

static struct bw_poison_entry *
find_or_add_entry_(struct bw_poison *poison,
		   const struct bw_fingerprint *fingerprint, struct bw_time now)
{
	struct bw_poison_entry *entry = find_entry_(poison, fingerprint);
	uint32_t position;

	if (entry) {
		lru_touch_(poison, entry);
		return entry;
	}
	if (poison->free_head == BW_INDEX_NONE)
		evict_entry_(poison, now);
	position = poison->free_head;
	entry = &poison->entries[position];
	poison->free_head = entry->next;
	memset(entry, 0, sizeof(*entry));
	entry->fingerprint = *fingerprint;
	entry->used = true;
	lru_append_(poison, position);
	bw_index_add(poison->by_fingerprint, hash_fingerprint_(fingerprint),
		     position);
	poison->count++;
	return entry;
}

static void lru_append_(struct bw_poison *poison, uint32_t position)
{
	struct bw_poison_entry *entry = &poison->entries[position];

	entry->previous = poison->lru_tail;
	entry->next = BW_INDEX_NONE;
	if (poison->lru_tail == BW_INDEX_NONE)
		poison->lru_head = position;
	else
		poison->entries[poison->lru_tail].next = position;
	poison->lru_tail = position;
}

static void lru_remove_(struct bw_poison *poison, uint32_t position)
{
	struct bw_poison_entry *entry = &poison->entries[position];

	if (entry->previous == BW_INDEX_NONE)
		poison->lru_head = entry->next;
	else
		poison->entries[entry->previous].next = entry->next;
	if (entry->next == BW_INDEX_NONE)
		poison->lru_tail = entry->previous;
	else
		poison->entries[entry->next].previous = entry->previous;
}

static void lru_touch_(struct bw_poison *poison, struct bw_poison_entry *entry)
{
	uint32_t position = (uint32_t)(entry - poison->entries);

	lru_remove_(poison, position);
	lru_append_(poison, position);
}

static void remove_entry_(struct bw_poison *poison, uint32_t position)
{
	struct bw_poison_entry *entry = &poison->entries[position];

	lru_remove_(poison, position);
	bw_index_remove(poison->by_fingerprint,
			hash_fingerprint_(&entry->fingerprint), position);
	entry->used = false;
	entry->next = poison->free_head;
	poison->free_head = position;
	poison->count--;
}

static void evict_entry_(struct bw_poison *poison, struct bw_time now)
{
	uint32_t limit = poison->config.crash_limit * BW_POISON_CRASH_WEIGHT;
	uint32_t position = poison->lru_head;

	/* Many new fingerprints must not evict the rejected ones. */
	while (position != BW_INDEX_NONE &&
	       bw_poison_entry_weight(poison, &poison->entries[position],
				      now) >= limit)
		position = poison->entries[position].next;
	if (position == BW_INDEX_NONE)
		position = poison->lru_head;
	remove_entry_(poison, position);
	poison->evicted_count++;
}

static void expire_crashes_(const struct bw_poison *poison,
			    struct bw_poison_entry *entry, struct bw_time now)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < entry->crashes_count; i++) {
		if (bw_time_diff_ms(now, entry->crashes[i].at) <
		    poison->config.expiry_ms)
			entry->crashes[kept++] = entry->crashes[i];
	}
	entry->crashes_count = kept;
}

uint32_t bw_poison_entry_weight(const struct bw_poison *poison,
				const struct bw_poison_entry *entry,
				struct bw_time now)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < entry->crashes_count; i++) {
		if (bw_time_diff_ms(now, entry->crashes[i].at) <
		    poison->config.expiry_ms)
			sum += entry->crashes[i].weight;
	}
	return sum;
}

static struct bw_poison_share *find_share_(struct bw_poison_entry *entry,
					   uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < entry->crashes_count; i++) {
		if (entry->crashes[i].incarnation == incarnation)
			return &entry->crashes[i];
	}
	return NULL;
}

void bw_poison_add_share(struct bw_poison *poison,
			 const struct bw_fingerprint *fingerprint,
			 const struct bw_poison_share *share,
			 struct bw_time now)
{
	struct bw_poison_entry *entry =
		find_or_add_entry_(poison, fingerprint, now);
	struct bw_poison_share *known = find_share_(entry, share->incarnation);

	if (known) {
		if (share->weight < known->weight)
			known->weight = share->weight;
		return;
	}
	expire_crashes_(poison, entry, now);
	if (entry->crashes_count == BW_POISON_CRASHES_MAX) {
		memmove(&entry->crashes[0], &entry->crashes[1],
			(BW_POISON_CRASHES_MAX - 1) *
				sizeof(entry->crashes[0]));
		entry->crashes_count--;
	}
	entry->crashes[entry->crashes_count++] = *share;
}

/*
 * Each host that used the server attributes the whole crash to its own
 * requests. The merged shares are scaled down so that the crash still has a
 * total weight of BW_POISON_CRASH_WEIGHT.
 */
void bw_poison_scale_crash(struct bw_poison *poison, uint64_t incarnation)
{
	struct bw_poison_share *share;
	uint64_t sum = 0;
	uint32_t i;

	for (i = poison->lru_head; i != BW_INDEX_NONE;
	     i = poison->entries[i].next) {
		share = find_share_(&poison->entries[i], incarnation);
		sum += share ? share->weight : 0;
	}
	if (sum <= BW_POISON_CRASH_WEIGHT)
		return;
	for (i = poison->lru_head; i != BW_INDEX_NONE;
	     i = poison->entries[i].next) {
		share = find_share_(&poison->entries[i], incarnation);
		if (share)
			share->weight =
				(uint32_t)((uint64_t)share->weight *
					   BW_POISON_CRASH_WEIGHT / sum);
	}
}

/* Divides one crash among the distinct requests that were in flight. */
static void attribute_crash_(struct bw_poison *poison, uint64_t incarnation,
			     struct bw_time now)
{
	struct bw_poison_share share = { .incarnation = incarnation,
					 .at = now };
	uint64_t sum = sum_priors_(poison, incarnation, now);
	const struct bw_poison_suspect *suspect;
	uint32_t earlier_weight;
	uint32_t i = 0;

	memcpy(share.host, poison->config.host, BW_NAME_MAX);
	while (i < poison->suspects_count) {
		suspect = &poison->suspects[i];
		if (suspect->incarnation != incarnation) {
			i++;
			continue;
		}
		if (is_first_occurrence_(poison, i)) {
			earlier_weight = bw_poison_weight(
				poison, &suspect->fingerprint, now);
			share.weight =
				(uint32_t)((uint64_t)BW_POISON_CRASH_WEIGHT *
					   (PRIOR_WEIGHT + earlier_weight) /
					   sum);
			bw_poison_add_share(poison, &suspect->fingerprint,
					    &share, now);
		}
		i++;
	}
	remove_suspects_(poison, incarnation);
	poison->crash_count++;
	bw_poison_scale_crash(poison, incarnation);
}

/* Returns the sum of the weights from earlier crashes and the prior weights of
 * all requests in flight. */
static uint64_t sum_priors_(const struct bw_poison *poison,
			    uint64_t incarnation, struct bw_time now)
{
	const struct bw_poison_suspect *suspect;
	uint64_t sum = 0;
	uint32_t suspect_count = 0;
	uint32_t in_flight = 0;
	uint32_t i;

	for (i = 0; i < poison->suspects_count; i++) {
		suspect = &poison->suspects[i];
		if (suspect->incarnation != incarnation)
			continue;
		suspect_count++;
		if (suspect->in_flight > in_flight)
			in_flight = suspect->in_flight;
		if (is_first_occurrence_(poison, i))
			sum += PRIOR_WEIGHT +
			       bw_poison_weight(poison, &suspect->fingerprint,
						now);
	}
	if (in_flight > suspect_count) /* requests of other hosts */
		sum += (uint64_t)(in_flight - suspect_count) * PRIOR_WEIGHT;
	return sum;
}

/* Duplicates of a request on one server count once. They must not share, and
 * thereby dilute, the weight of the request. */
static bool is_first_occurrence_(const struct bw_poison *poison,
				 uint32_t position)
{
	const struct bw_poison_suspect *suspect = &poison->suspects[position];
	uint32_t i;

	for (i = 0; i < position; i++) {
		if (poison->suspects[i].incarnation == suspect->incarnation &&
		    fingerprints_equal_(&poison->suspects[i].fingerprint,
					&suspect->fingerprint))
			return false;
	}
	return true;
}

static void remove_suspects_(struct bw_poison *poison, uint64_t incarnation)
{
	uint32_t i = 0;

	while (i < poison->suspects_count) {
		if (poison->suspects[i].incarnation == incarnation)
			remove_suspect_(poison, i);
		else
			i++;
	}
}

static void remove_suspect_(struct bw_poison *poison, uint32_t position)
{
	poison->suspects_count--;
	memmove(&poison->suspects[position], &poison->suspects[position + 1],
		(poison->suspects_count - position) *
			sizeof(poison->suspects[0]));
}
