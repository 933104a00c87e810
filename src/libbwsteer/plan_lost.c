#include "private/plan_internal.h"

static void limit_row_(const struct bw_plan_problem *problem, uint32_t row);

bool bw_plan_target_lost_first(const struct bw_plan_problem *p)
{
	bool any = false;
	uint32_t r;
	uint32_t i;

	for (i = 0; i < p->site_count; i++) {
		if (p->site_class[i] != BW_SITE_MISSING)
			continue;
		for (r = 0; r < p->region_count; r++) {
			uint32_t index = r * p->site_count + i;

			any |= p->target[index] < p->current[index];
		}
	}
	for (r = 0; any && r < p->region_count; r++)
		limit_row_(p, r);
	return any;
}

/*
 * What leaves lost sites goes to the sites whose shares are to grow, in
 * proportion to their growth. Other shares stay.
 */
static void limit_row_(const struct bw_plan_problem *p, uint32_t row)
{
	double *target = p->target + (size_t)row * p->site_count;
	const uint16_t *current = p->current + (size_t)row * p->site_count;
	double lost = 0;
	double growth = 0;
	uint32_t i;

	for (i = 0; i < p->site_count; i++) {
		if (target[i] > current[i])
			growth += target[i] - current[i];
		else if (p->site_class[i] == BW_SITE_MISSING)
			lost += current[i] - target[i];
	}
	if (growth <= 0)
		return;
	for (i = 0; i < p->site_count; i++) {
		if (target[i] > current[i])
			target[i] = current[i] +
				    (target[i] - current[i]) * lost / growth;
		else if (p->site_class[i] != BW_SITE_MISSING)
			target[i] = current[i];
	}
}
