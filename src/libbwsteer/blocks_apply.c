#include "bwsteer/blocks.h"

#include <stdlib.h>

/** The blocks of a sheet in the order of their prefixes. */
struct sorted_blocks {
	const struct bw_sheet_block **items;
	uint32_t count;
};

static enum bw_status sort_blocks_(const struct bw_sheet *sheet,
				   struct sorted_blocks *sorted);
static int compare_entries_(const void *a, const void *b);
static int compare_prefixes_(const struct bw_sheet_block *a,
			     const struct bw_sheet_block *b);
static const struct bw_sheet_block *
find_same_prefix_(const struct sorted_blocks *sorted, uint32_t *position,
		  const struct bw_sheet_block *block);
static enum bw_status insert_block_(struct bw_blocks *blocks,
				    const struct bw_sheet_block *block);
static enum bw_status remove_old_(struct bw_blocks *blocks,
				  const struct sorted_blocks *from,
				  const struct sorted_blocks *to,
				  uint32_t *changed);
static enum bw_status insert_new_(struct bw_blocks *blocks,
				  const struct sorted_blocks *from,
				  const struct sorted_blocks *to,
				  uint32_t *changed);

/*
 * Removals come first, so that the table never holds a block of the old sheet
 * together with one of the new sheet that overlaps it.
 */
enum bw_status bw_blocks_apply(struct bw_blocks *blocks,
			       const struct bw_sheet *from,
			       const struct bw_sheet *to, uint32_t *changed)
{
	struct sorted_blocks old = { NULL, 0 };
	struct sorted_blocks new = { NULL, 0 };
	enum bw_status status = BW_OK;

	*changed = 0;
	if (from)
		status = sort_blocks_(from, &old);
	if (status == BW_OK)
		status = sort_blocks_(to, &new);
	if (status == BW_OK)
		status = remove_old_(blocks, &old, &new, changed);
	if (status == BW_OK)
		status = insert_new_(blocks, &old, &new, changed);
	free(old.items);
	free(new.items);
	return status;
}

static enum bw_status sort_blocks_(const struct bw_sheet *sheet,
				   struct sorted_blocks *sorted)
{
	uint32_t i;

	sorted->count = sheet->client_blocks_count;
	sorted->items = calloc(sorted->count + 1, sizeof(*sorted->items));
	if (!sorted->items)
		return BW_ENOMEM;
	for (i = 0; i < sorted->count; i++)
		sorted->items[i] = &sheet->client_blocks[i];
	qsort(sorted->items, sorted->count, sizeof(*sorted->items),
	      compare_entries_);
	return BW_OK;
}

static enum bw_status remove_old_(struct bw_blocks *blocks,
				  const struct sorted_blocks *from,
				  const struct sorted_blocks *to,
				  uint32_t *changed)
{
	enum bw_status status = BW_OK;
	uint32_t position = 0;
	uint32_t i;

	for (i = 0; i < from->count && status == BW_OK; i++) {
		if (find_same_prefix_(to, &position, from->items[i]))
			continue;
		status = bw_blocks_remove(blocks, from->items[i]->prefix,
					  from->items[i]->prefix_bits);
		(*changed)++;
	}
	return status;
}

static enum bw_status insert_new_(struct bw_blocks *blocks,
				  const struct sorted_blocks *from,
				  const struct sorted_blocks *to,
				  uint32_t *changed)
{
	const struct bw_sheet_block *same;
	enum bw_status status = BW_OK;
	uint32_t position = 0;
	uint32_t i;

	for (i = 0; i < to->count && status == BW_OK; i++) {
		same = find_same_prefix_(from, &position, to->items[i]);
		if (same && same->region_index == to->items[i]->region_index)
			continue;
		status = insert_block_(blocks, to->items[i]);
		(*changed)++;
	}
	return status;
}

/*
 * Advances position to the first entry that does not precede block. Returns
 * it when it has the same prefix, else NULL.
 */
static const struct bw_sheet_block *
find_same_prefix_(const struct sorted_blocks *sorted, uint32_t *position,
		  const struct bw_sheet_block *block)
{
	while (*position < sorted->count &&
	       compare_prefixes_(sorted->items[*position], block) < 0)
		(*position)++;
	if (*position == sorted->count ||
	    compare_prefixes_(sorted->items[*position], block))
		return NULL;
	return sorted->items[*position];
}

static enum bw_status insert_block_(struct bw_blocks *blocks,
				    const struct bw_sheet_block *block)
{
	return bw_blocks_insert(blocks, block->prefix, block->prefix_bits,
				(uint16_t)block->region_index);
}

static int compare_entries_(const void *a, const void *b)
{
	return compare_prefixes_(*(const struct bw_sheet_block *const *)a,
				 *(const struct bw_sheet_block *const *)b);
}

static int compare_prefixes_(const struct bw_sheet_block *a,
			     const struct bw_sheet_block *b)
{
	if (a->prefix != b->prefix)
		return a->prefix < b->prefix ? -1 : 1;
	if (a->prefix_bits != b->prefix_bits)
		return a->prefix_bits < b->prefix_bits ? -1 : 1;
	return 0;
}
