#include "bwcustomer/quota.h"

/**
 * Fraction of the tolerance that hosts use without leases. A restarted host may
 * use its part twice in a window, so that two thirds of the hosts may restart
 * at once.
 */
#define BASE_FRACTION 0.6

int64_t bw_quota_slot(uint32_t window_ms, struct bw_time at)
{
	int64_t slot_ms =
		(window_ms + BW_QUOTA_SLOTS - 2) / (BW_QUOTA_SLOTS - 1);

	return at.ms / (slot_ms ? slot_ms : 1);
}

void bw_quota_window_advance(struct bw_quota_window *window, int64_t slot)
{
	int64_t passed = slot - window->slot;

	if (passed <= 0)
		return;
	if (passed > BW_QUOTA_SLOTS)
		passed = BW_QUOTA_SLOTS;
	window->slot = slot - passed;
	while (window->slot < slot) {
		uint32_t *count =
			&window->counts[++window->slot % BW_QUOTA_SLOTS];

		window->sum -= *count;
		*count = 0;
	}
}

double bw_quota_due(const struct bw_quota_bounds *bounds,
		    const struct bw_quota *quota)
{
	return quota->rate_per_s * bounds->window_ms / 1000.0 + quota->burst;
}

uint32_t bw_quota_base_total(const struct bw_quota_bounds *bounds,
			     const struct bw_quota *quota)
{
	double tolerance =
		bounds->over * bw_quota_due(bounds, quota) + bounds->slack;
	double base = BASE_FRACTION * tolerance;

	return base < UINT32_MAX ? (uint32_t)base : UINT32_MAX;
}

uint32_t bw_quota_base(const struct bw_quota_bounds *bounds,
		       const struct bw_quota *quota, uint32_t host_count,
		       uint32_t host_index)
{
	uint32_t total = bw_quota_base_total(bounds, quota);
	uint64_t place;

	if (!host_count)
		return 0;
	/* Each customer has its rest at other hosts. */
	place = ((uint64_t)host_index + quota->customer_hash % host_count) %
		host_count;
	return total / host_count + (place < total % host_count);
}
