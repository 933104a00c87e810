#include "bwwork/work.h"

#include <math.h>
#include <stdbool.h>
#include <stddef.h>
#include <string.h>

/** Smoothing factor of the usual time. */
#define USUAL_SMOOTHING 0.12

/**
 * Limit of the change by one run: a few runs take many times as long as the
 * others of their route.
 */
#define SAMPLE_MAX 0.7

/** Step of the time that one run in ten exceeds. */
#define HIGH_STEP 0.1
#define HIGH_FRACTION 0.1

/** First distance of the high time from the usual one. */
#define HIGH_FIRST 0.4

static const struct bw_work_entry *find_(const struct bw_work *work,
					 uint64_t key);
static const struct bw_work_times *
find_times_(const struct bw_work_entry *entry, enum bw_familiarity familiarity);

void bw_work_init(struct bw_work *work)
{
	memset(work, 0, sizeof(*work));
}

void bw_work_record(struct bw_work *work, uint64_t key,
		    enum bw_familiarity familiarity, double run_ms)
{
	struct bw_work_entry *entry =
		&work->entries[key & (BW_WORK_ENTRIES - 1)];
	struct bw_work_times *times;
	double smoothing;
	double sample;
	double change;

	if (run_ms <= 0.0 || !key)
		return;
	if (entry->key != key) {
		memset(entry, 0, sizeof(*entry));
		entry->key = key;
	}
	times = &entry->times[familiarity];
	sample = log(run_ms);
	if (!times->count) {
		times->usual = sample;
		times->high = sample + HIGH_FIRST;
	}
	times->count++;
	smoothing = fmax(USUAL_SMOOTHING, 1.0 / times->count);
	change = fmax(-SAMPLE_MAX, fmin(SAMPLE_MAX, sample - times->usual));
	times->usual += smoothing * change;
	if (sample > times->high)
		times->high += HIGH_STEP * (1.0 - HIGH_FRACTION);
	else
		times->high -= HIGH_STEP * HIGH_FRACTION;
	times->high = fmax(times->high, times->usual);
}

void bw_work_expect(const struct bw_work *work, uint64_t key,
		    enum bw_familiarity familiarity,
		    struct bw_work_estimate *estimate)
{
	const struct bw_work_entry *entry = find_(work, key);
	const struct bw_work_times *times =
		entry ? find_times_(entry, familiarity) : NULL;

	memset(estimate, 0, sizeof(*estimate));
	if (!times)
		return;
	estimate->usual_ms = exp(times->usual);
	estimate->high_ms = exp(times->high);
}

double bw_work_wait_ms(double ahead, uint32_t slots, double run_ms)
{
	double queued = ahead + 1.0 - (double)slots;

	if (queued <= 0.0 || !slots)
		return 0.0;
	return run_ms * queued / (double)slots;
}

static const struct bw_work_entry *find_(const struct bw_work *work,
					 uint64_t key)
{
	const struct bw_work_entry *entry =
		&work->entries[key & (BW_WORK_ENTRIES - 1)];

	return key && entry->key == key ? entry : NULL;
}

static const struct bw_work_times *
find_times_(const struct bw_work_entry *entry, enum bw_familiarity familiarity)
{
	int i;

	for (i = (int)familiarity; i < BW_FAMILIARITY_COUNT; i++) {
		if (entry->times[i].count)
			return &entry->times[i];
	}
	for (i = (int)familiarity - 1; i >= 0; i--) {
		if (entry->times[i].count)
			return &entry->times[i];
	}
	return NULL;
}
