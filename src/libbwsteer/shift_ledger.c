#include "bwsteer/shift_ledger.h"

#include <assert.h>
#include <stdbool.h>
#include <string.h>

static bool is_counted_(const struct bw_shift_entry *entry,
			const struct bw_shift_limits *limits, int64_t now_ms);

uint32_t bw_shift_ledger_used(const struct bw_shift_ledger *ledger,
			      const struct bw_shift_limits *limits,
			      int64_t now_ms)
{
	uint64_t used = 0;
	uint32_t i;

	for (i = 0; i < ledger->count; i++) {
		if (is_counted_(&ledger->entries[i], limits, now_ms))
			used += ledger->entries[i].amount;
	}
	return used > UINT32_MAX ? UINT32_MAX : (uint32_t)used;
}

uint32_t bw_shift_ledger_available(const struct bw_shift_ledger *ledger,
				   const struct bw_shift_limits *limits,
				   int64_t now_ms)
{
	uint32_t used = bw_shift_ledger_used(ledger, limits, now_ms);

	return used < limits->cap ? limits->cap - used : 0;
}

void bw_shift_ledger_add(struct bw_shift_ledger *ledger,
			 const struct bw_shift_limits *limits, int64_t now_ms,
			 uint32_t amount)
{
	struct bw_shift_entry *entries = ledger->entries;

	assert(!ledger->count || entries[ledger->count - 1].at_ms <= now_ms);
	if (ledger->count == BW_SHIFT_ENTRIES_MAX) {
		if (is_counted_(&entries[0], limits, now_ms))
			entries[1].amount += entries[0].amount;
		ledger->count--;
		memmove(entries, entries + 1, ledger->count * sizeof(*entries));
	}
	entries[ledger->count].at_ms = now_ms;
	entries[ledger->count].amount = amount;
	ledger->count++;
}

void bw_shift_ledger_lower(struct bw_shift_ledger *ledger, int64_t at_ms,
			   uint32_t amount)
{
	struct bw_shift_entry *latest;

	if (!ledger->count)
		return;
	latest = &ledger->entries[ledger->count - 1];
	if (latest->at_ms == at_ms && amount < latest->amount)
		latest->amount = amount;
}

struct bw_shift_limits bw_shift_limits_merge(struct bw_shift_limits a,
					     struct bw_shift_limits b)
{
	struct bw_shift_limits merged = a;

	if (b.cap < merged.cap)
		merged.cap = b.cap;
	if (b.window_ms > merged.window_ms)
		merged.window_ms = b.window_ms;
	if (b.ttl_ms > merged.ttl_ms)
		merged.ttl_ms = b.ttl_ms;
	return merged;
}

/* An entry counts until the window plus the time to live has passed. */
static bool is_counted_(const struct bw_shift_entry *entry,
			const struct bw_shift_limits *limits, int64_t now_ms)
{
	return now_ms - entry->at_ms <=
	       (int64_t)limits->window_ms + limits->ttl_ms;
}
