/*
 * Bounds how fast the requests of this host move from one region to another.
 */
#include "private/dispatch.h"

/** Requests of a window below which shares say nothing. */
#define TOTAL_MIN 20

/** Part of the bound that is used, because hosts do not move as one. */
#define STEP_SHARE 0.5

static void advance_(struct bw_dispatch *dispatch, struct bw_time now);

bool dispatch_region_allowed(struct bw_dispatch *dispatch, uint32_t region,
			     struct bw_time now)
{
	const struct bw_region_use *use = &dispatch->regions[region];
	double most;

	advance_(dispatch, now);
	/* A started host has no earlier window from which it could move. */
	if (region == dispatch->own_region || !dispatch->regions_known ||
	    dispatch->region_step_max <= 0.0)
		return true;
	most = use->share + STEP_SHARE * dispatch->region_step_max;
	return (double)use->count + 1.0 <=
	       most * (double)MAX(dispatch->region_total + 1, TOTAL_MIN);
}

void dispatch_region_count(struct bw_dispatch *dispatch, uint32_t region,
			   struct bw_time now)
{
	advance_(dispatch, now);
	dispatch->regions[region].count++;
	dispatch->region_total++;
}

static void advance_(struct bw_dispatch *dispatch, struct bw_time now)
{
	uint32_t total = dispatch->region_total;
	uint32_t i;

	if (bw_time_diff_ms(now, dispatch->region_window_at) <
	    (int64_t)dispatch->region_window_ms)
		return;
	dispatch->region_window_at = now;
	for (i = 0; i < BW_REGIONS_MAX; i++) {
		struct bw_region_use *use = &dispatch->regions[i];

		if (total >= TOTAL_MIN)
			use->share = (double)use->count / total;
		use->count = 0;
	}
	dispatch->regions_known = dispatch->regions_known || total >= TOTAL_MIN;
	dispatch->region_total = 0;
}
