#include "bwcustomer/key_table.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>

/** Slots of the first allocation; a power of two. */
#define SLOTS_MIN 16

static void hash_key_(const struct bw_key_table *table, const char *key,
		      size_t key_bytes, uint8_t *hash);
static struct bw_key_slot *find_slot_(const struct bw_key_table *table,
				      const uint8_t *hash);
static enum bw_status grow_(struct bw_key_table *table);

void bw_key_table_init(struct bw_key_table *table)
{
	memset(table, 0, sizeof(*table));
	randombytes_buf(table->secret, sizeof(table->secret));
}

void bw_key_table_finish(struct bw_key_table *table)
{
	free(table->slots);
	sodium_memzero(table, sizeof(*table));
}

enum bw_status bw_key_table_add(struct bw_key_table *table, const char *key,
				size_t key_bytes, uint32_t owner)
{
	uint8_t hash[BW_KEY_HASH_BYTES];
	struct bw_key_slot *slot;

	/* At most three quarters are in use, so that a search ends soon. */
	if (table->key_count >= table->slot_count / 4 * 3 &&
	    grow_(table) != BW_OK)
		return BW_ENOMEM;
	hash_key_(table, key, key_bytes, hash);
	slot = find_slot_(table, hash);
	if (slot->owner)
		return slot->owner == owner + 1 ? BW_OK : BW_ECONFLICT;
	memcpy(slot->hash, hash, sizeof(slot->hash));
	slot->owner = owner + 1;
	table->key_count++;
	return BW_OK;
}

uint32_t bw_key_table_find(const struct bw_key_table *table, const char *key,
			   size_t key_bytes)
{
	uint8_t hash[BW_KEY_HASH_BYTES];
	const struct bw_key_slot *slot;

	if (!table->slot_count)
		return BW_KEY_NONE;
	hash_key_(table, key, key_bytes, hash);
	slot = find_slot_(table, hash);
	return slot->owner ? slot->owner - 1 : BW_KEY_NONE;
}

static void hash_key_(const struct bw_key_table *table, const char *key,
		      size_t key_bytes, uint8_t *hash)
{
	crypto_generichash(hash, BW_KEY_HASH_BYTES, (const uint8_t *)key,
			   key_bytes, table->secret, sizeof(table->secret));
}

/* Returns the slot with a hash, or the empty one in which it belongs. */
static struct bw_key_slot *find_slot_(const struct bw_key_table *table,
				      const uint8_t *hash)
{
	uint32_t mask = table->slot_count - 1;
	uint32_t at;

	memcpy(&at, hash, sizeof(at));
	for (at &= mask; table->slots[at].owner; at = (at + 1) & mask) {
		if (!sodium_memcmp(table->slots[at].hash, hash,
				   BW_KEY_HASH_BYTES))
			break;
	}
	return &table->slots[at];
}

static enum bw_status grow_(struct bw_key_table *table)
{
	struct bw_key_table larger = *table;
	uint32_t i;

	larger.slot_count = MAX(SLOTS_MIN, 2 * table->slot_count);
	larger.slots = calloc(larger.slot_count, sizeof(*larger.slots));
	if (!larger.slots)
		return BW_ENOMEM;
	for (i = 0; i < table->slot_count; i++) {
		if (table->slots[i].owner)
			*find_slot_(&larger, table->slots[i].hash) =
				table->slots[i];
	}
	free(table->slots);
	*table = larger;
	return BW_OK;
}
