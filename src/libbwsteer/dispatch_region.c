/* Limits how fast the requests of this host move from one region to another. */
#include <math.h>

#include "private/dispatch.h"

/** Minimum number of requests in a window for its shares to be used. */
#define WINDOW_REQUESTS_MIN 20

/**
 * Fraction of the limit that one host uses, because hosts do not move in step.
 */
#define STEP_FRACTION 0.5

/**
 * Maximum fraction of the limit that is added for random variation. On a host
 * with few requests per window the shares vary although nothing moves; over the
 * hosts of a region these variations cancel out.
 */
#define NOISE_FRACTION 0.4

/** Smoothing factor of the moving average of the shares. */
#define SHARE_SMOOTHING 0.3

static double share_deviation_(double share, double total);
static void roll_window_(struct bw_dispatch *dispatch, struct bw_time now);

bool dispatch_region_allowed(struct bw_dispatch *dispatch, uint32_t region,
			     struct bw_time now)
{
	const struct bw_region_use *use = &dispatch->regions[region];
	double total;
	double limit;

	roll_window_(dispatch, now);
	/* After a start there is no earlier window to compare with. */
	if (region == dispatch->own_region || !dispatch->regions_known ||
	    dispatch->region_step_max <= 0.0)
		return true;
	total = (double)MAX(dispatch->region_total + 1, WINDOW_REQUESTS_MIN);
	limit = MAX(use->share, use->smoothed_share) +
		STEP_FRACTION * dispatch->region_step_max;
	limit += MIN(share_deviation_(limit, total),
		     NOISE_FRACTION * dispatch->region_step_max);
	return (double)use->count + 1.0 <= limit * total;
}

void dispatch_region_count(struct bw_dispatch *dispatch, uint32_t region,
			   struct bw_time now)
{
	roll_window_(dispatch, now);
	dispatch->regions[region].count++;
	dispatch->region_total++;
}

/* Standard deviation of a share observed over total requests. */
static double share_deviation_(double share, double total)
{
	if (share <= 0.0 || share >= 1.0)
		return 0.0;
	return sqrt(share * (1.0 - share) / total);
}

static void roll_window_(struct bw_dispatch *dispatch, struct bw_time now)
{
	uint32_t total = dispatch->region_total;
	uint32_t i;

	if (bw_time_diff_ms(now, dispatch->region_window_at) <
	    (int64_t)dispatch->region_window_ms)
		return;
	dispatch->region_window_at = now;
	for (i = 0; i < BW_REGIONS_MAX; i++) {
		struct bw_region_use *use = &dispatch->regions[i];

		if (total >= WINDOW_REQUESTS_MIN) {
			use->share = (double)use->count / total;
			if (!dispatch->regions_known)
				use->smoothed_share = use->share;
			use->smoothed_share +=
				SHARE_SMOOTHING *
				(use->share - use->smoothed_share);
		}
		use->count = 0;
	}
	dispatch->regions_known = dispatch->regions_known ||
				  total >= WINDOW_REQUESTS_MIN;
	dispatch->region_total = 0;
}
