#include "private/index.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/** One slot; position BW_INDEX_NONE marks an empty one. */
struct slot {
	uint64_t hash;
	uint32_t position;
};

struct bw_index {
	uint32_t mask;
	uint32_t count;
	uint32_t items_max;
	struct slot slots[];
};

static uint32_t seek_(const struct bw_index *index, uint64_t hash,
		      uint32_t slot);

struct bw_index *bw_index_new(uint32_t items_max)
{
	struct bw_index *index;
	size_t capacity = 4;
	size_t i;

	/* At most half full, so that every search meets an empty slot. */
	while (capacity < (size_t)items_max * 2)
		capacity *= 2;
	index = malloc(sizeof(*index) + capacity * sizeof(index->slots[0]));
	if (!index)
		return NULL;
	index->mask = (uint32_t)(capacity - 1);
	index->count = 0;
	index->items_max = items_max;
	for (i = 0; i < capacity; i++) {
		index->slots[i].hash = 0;
		index->slots[i].position = BW_INDEX_NONE;
	}
	return index;
}

void bw_index_free(struct bw_index *index)
{
	free(index);
}

uint64_t bw_index_hash(const void *data, size_t size_bytes)
{
	return XXH3_64bits(data, size_bytes);
}

uint64_t bw_index_hash_text(const char *text)
{
	return XXH3_64bits(text, strlen(text));
}

uint32_t bw_index_first(const struct bw_index *index, uint64_t hash,
			struct bw_index_cursor *cursor)
{
	cursor->hash = hash;
	cursor->slot = seek_(index, hash, (uint32_t)hash & index->mask);
	return index->slots[cursor->slot].position;
}

uint32_t bw_index_next(const struct bw_index *index,
		       struct bw_index_cursor *cursor)
{
	cursor->slot =
		seek_(index, cursor->hash, (cursor->slot + 1) & index->mask);
	return index->slots[cursor->slot].position;
}

void bw_index_add(struct bw_index *index, uint64_t hash, uint32_t position)
{
	uint32_t slot = (uint32_t)hash & index->mask;

	assert(index->count < index->items_max);
	assert(position != BW_INDEX_NONE);
	while (index->slots[slot].position != BW_INDEX_NONE)
		slot = (slot + 1) & index->mask;
	index->slots[slot].hash = hash;
	index->slots[slot].position = position;
	index->count++;
}

void bw_index_remove(struct bw_index *index, uint64_t hash, uint32_t position)
{
	struct slot *slots = index->slots;
	uint32_t hole = seek_(index, hash, (uint32_t)hash & index->mask);
	uint32_t slot;
	uint32_t home;

	while (slots[hole].position != position) {
		assert(slots[hole].position != BW_INDEX_NONE);
		hole = seek_(index, hash, (hole + 1) & index->mask);
	}
	index->count--;
	/* Shifts later entries back, so that no search stops at the hole. */
	for (slot = (hole + 1) & index->mask;
	     slots[slot].position != BW_INDEX_NONE;
	     slot = (slot + 1) & index->mask) {
		home = (uint32_t)slots[slot].hash & index->mask;
		if (((slot - home) & index->mask) <
		    ((slot - hole) & index->mask))
			continue;
		slots[hole] = slots[slot];
		hole = slot;
	}
	slots[hole].position = BW_INDEX_NONE;
}

static uint32_t seek_(const struct bw_index *index, uint64_t hash,
		      uint32_t slot)
{
	while (index->slots[slot].position != BW_INDEX_NONE &&
	       index->slots[slot].hash != hash)
		slot = (slot + 1) & index->mask;
	return slot;
}
