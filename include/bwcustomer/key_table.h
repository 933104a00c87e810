/**
 * @file
 * Table of the keys by which requests name their customer. It holds a keyed
 * hash of each key, not the key, so that neither a look-up's time nor a dump of
 * memory tells something of a key's text.
 */
#ifndef BWCUSTOMER_KEY_TABLE_H
#define BWCUSTOMER_KEY_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "bwbase/status.h"

/** Returned when no customer has a key. */
#define BW_KEY_NONE UINT32_MAX

/** Sizes of the secret of a table and of the hash of a key. */
#define BW_KEY_SECRET_BYTES 32
#define BW_KEY_HASH_BYTES 16

/** One key. */
struct bw_key_slot {
	uint8_t hash[BW_KEY_HASH_BYTES];
	uint32_t owner; /**< index of the customer plus 1; 0: empty */
};

/** An open-addressed hash table. */
struct bw_key_table {
	uint8_t secret[BW_KEY_SECRET_BYTES];
	struct bw_key_slot *slots;
	uint32_t slot_count; /**< a power of two; 0 before the first key */
	uint32_t key_count;
};

/** Initialises an empty table with a random secret. */
void bw_key_table_init(struct bw_key_table *table);

/** Frees the memory of a table. */
void bw_key_table_finish(struct bw_key_table *table);

/**
 * Adds a key.
 * @param owner index of its customer, below BW_KEY_NONE
 * @return BW_OK, also when the owner has it already; BW_ECONFLICT when another
 *	customer has it; BW_ENOMEM
 */
enum bw_status bw_key_table_add(struct bw_key_table *table, const char *key,
				size_t key_bytes, uint32_t owner);

/** Finds the customer of a key. @return its index or BW_KEY_NONE */
uint32_t bw_key_table_find(const struct bw_key_table *table, const char *key,
			   size_t key_bytes);

#endif
