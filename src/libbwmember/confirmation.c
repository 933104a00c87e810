#include "bwmember/confirmation.h"

#include <stdlib.h>

static bool is_recent_(struct bw_time as_of, uint32_t age_max_ms,
		       struct bw_time now);
static int compare_descending_(const void *a, const void *b);

void bw_announcement_replace(struct bw_announcement *known,
			     const struct bw_announcement *later)
{
	struct bw_time majority_as_of = known->majority_as_of;
	bool still_holds = later->version >= known->version;

	*known = *later;
	if (still_holds && majority_as_of.ms > later->majority_as_of.ms)
		known->majority_as_of = majority_as_of;
}

int64_t
bw_announcement_unconfirmed_ms(const struct bw_announcement *announcement,
			       struct bw_time now)
{
	if (!announcement->majority_as_of.ms)
		return INT64_MAX;
	return bw_time_diff_ms(now, announcement->majority_as_of);
}

struct bw_confirmation bw_confirm(const struct bw_announcement *announcements,
				  uint32_t count, uint64_t version,
				  uint32_t age_max_ms, struct bw_time now)
{
	struct bw_confirmation result = { .controls = count };
	int64_t as_of_ms[BW_ANNOUNCEMENTS_MAX];
	int64_t latest_ms = 0;
	uint32_t i;

	for (i = 0; i < count && i < BW_ANNOUNCEMENTS_MAX; i++) {
		const struct bw_announcement *announcement = &announcements[i];

		if (announcement->version > result.newest_version)
			result.newest_version = announcement->version;
		if (!announcement->current || announcement->version > version)
			continue;
		if (is_recent_(announcement->as_of, age_max_ms, now))
			as_of_ms[result.confirmed_by++] =
				announcement->as_of.ms;
		if (is_recent_(announcement->majority_as_of, age_max_ms, now) &&
		    announcement->majority_as_of.ms > latest_ms)
			latest_ms = announcement->majority_as_of.ms;
	}
	if (result.confirmed_by > count / 2) {
		qsort(as_of_ms, result.confirmed_by, sizeof(as_of_ms[0]),
		      compare_descending_);
		if (as_of_ms[count / 2] > latest_ms)
			latest_ms = as_of_ms[count / 2];
	}
	result.confirmed = version && result.newest_version <= version &&
			   latest_ms;
	if (result.confirmed)
		result.as_of.ms = latest_ms;
	return result;
}

bool bw_may_start(const struct bw_confirmation *confirmation, uint64_t version,
		  int64_t waited_ms)
{
	if (!version)
		return false;
	if (confirmation->newest_version > version)
		return waited_ms > BW_START_BEHIND_WAIT_MS;
	return confirmation->confirmed || waited_ms > BW_START_WAIT_MS;
}

/* After a step of the clock, a time in the future says nothing. */
static bool is_recent_(struct bw_time as_of, uint32_t age_max_ms,
		       struct bw_time now)
{
	int64_t age_ms = bw_time_diff_ms(now, as_of);

	return as_of.ms && age_ms >= 0 && age_ms <= (int64_t)age_max_ms;
}

/* Sorts the latest time first. */
static int compare_descending_(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left < right) - (left > right);
}
