#include <stdlib.h>
#include <string.h>

#include "load.h"

#define INITIAL_SAMPLE_CAPACITY 1024
#define US_PER_MS 1000.

static int compare_samples_(const void *a, const void *b);
static json_t *quantile_json_(const struct load_rank *rank, double quantile);
static json_t *rank_json_(struct load_rank *rank, uint32_t seconds);
static json_t *series_json_(const uint32_t *values, uint32_t count);

const char *const load_outcome_string[LOAD_OUTCOME_COUNT] = {
	[LOAD_RAN] = "ran",
	[LOAD_NOT_RUN] = "not_run",
	[LOAD_MAY_HAVE_RUN] = "may_have_run",
	[LOAD_BROKEN] = "broken",
	[LOAD_TIMEOUT] = "timeout",
	[LOAD_UNREACHABLE] = "unreachable",
	[LOAD_NO_OUTCOME] = "no_outcome",
};

struct load_rank *load_rank_get(struct load_result *result, const char *name)
{
	uint32_t i;

	for (i = 0; i < result->rank_count; i++) {
		if (!strcmp(result->ranks[i].name, name))
			return &result->ranks[i];
	}
	if (i == LOAD_RANKS_MAX)
		return &result->ranks[i - 1];
	result->ranks[i].name = name;
	result->rank_count++;
	return &result->ranks[i];
}

void load_record_start(struct load_rank *rank, uint32_t second)
{
	rank->started++;
	if (second < LOAD_SECONDS_MAX)
		rank->started_by_second[second]++;
}

void load_record_end(struct load_rank *rank, enum load_outcome outcome,
		     uint64_t latency_us, uint32_t second)
{
	uint32_t *samples;
	size_t capacity;

	rank->outcomes[outcome]++;
	if (second < LOAD_SECONDS_MAX) {
		rank->ended_by_second[second]++;
		rank->ran_by_second[second] += outcome == LOAD_RAN;
	}
	if (outcome != LOAD_RAN)
		return;
	if (rank->sample_count == rank->sample_capacity) {
		capacity = rank->sample_capacity ? rank->sample_capacity * 2
						 : INITIAL_SAMPLE_CAPACITY;
		samples =
			realloc(rank->samples_us, capacity * sizeof(*samples));
		if (!samples)
			return;
		rank->samples_us = samples;
		rank->sample_capacity = capacity;
	}
	rank->samples_us[rank->sample_count++] =
		latency_us > UINT32_MAX ? UINT32_MAX : (uint32_t)latency_us;
}

bool load_result_write(struct load_result *result, const char *path,
		       double duration_s)
{
	json_t *root = json_object();
	json_t *item = json_object();
	uint32_t seconds = (uint32_t)duration_s + 1;
	bool ok;
	int i;

	for (i = 0; i < PAYLOAD_CHECK_COUNT; i++)
		json_object_set_new(
			item, payload_check_string[i],
			json_integer((json_int_t)result->payload_checks[i]));
	json_object_set_new(root, "responses", item);
	item = json_object();
	for (i = 0; i < 600; i++) {
		char code[8];

		if (!result->status_counts[i])
			continue;
		snprintf(code, sizeof(code), "%d", i);
		json_object_set_new(
			item, code,
			json_integer((json_int_t)result->status_counts[i]));
	}
	json_object_set_new(root, "status", item);
	json_object_set_new(root, "duration_s", json_real(duration_s));
	json_object_set_new(root, "lookups",
			    json_integer((json_int_t)result->lookups));
	json_object_set_new(root, "lookups_failed",
			    json_integer((json_int_t)result->lookups_failed));
	json_object_set_new(root, "attempts",
			    json_integer((json_int_t)result->attempts));
	json_object_set_new(root, "resends",
			    json_integer((json_int_t)result->resends));
	json_object_set_new(root, "not_sent",
			    json_integer((json_int_t)result->not_sent));
	if (seconds > LOAD_SECONDS_MAX)
		seconds = LOAD_SECONDS_MAX;
	item = json_object();
	for (i = 0; i < (int)result->rank_count; i++)
		json_object_set_new(item, result->ranks[i].name,
				    rank_json_(&result->ranks[i], seconds));
	json_object_set_new(root, "ranks", item);
	ok = !json_dump_file(root, path, JSON_INDENT(1));
	json_decref(root);
	return ok;
}

void load_result_finish(struct load_result *result)
{
	uint32_t i;

	for (i = 0; i < result->rank_count; i++)
		free(result->ranks[i].samples_us);
}

static json_t *rank_json_(struct load_rank *rank, uint32_t seconds)
{
	json_t *object = json_object();
	json_t *outcomes = json_object();
	int i;

	for (i = 0; i < LOAD_OUTCOME_COUNT; i++)
		json_object_set_new(
			outcomes, load_outcome_string[i],
			json_integer((json_int_t)rank->outcomes[i]));
	if (rank->sample_count)
		qsort(rank->samples_us, rank->sample_count,
		      sizeof(*rank->samples_us), compare_samples_);
	json_object_set_new(object, "started",
			    json_integer((json_int_t)rank->started));
	json_object_set_new(object, "outcomes", outcomes);
	json_object_set_new(object, "p50_ms", quantile_json_(rank, 0.5));
	json_object_set_new(object, "p99_ms", quantile_json_(rank, 0.99));
	json_object_set_new(object, "p999_ms", quantile_json_(rank, 0.999));
	json_object_set_new(object, "started_by_second",
			    series_json_(rank->started_by_second, seconds));
	json_object_set_new(object, "ended_by_second",
			    series_json_(rank->ended_by_second, seconds));
	json_object_set_new(object, "ran_by_second",
			    series_json_(rank->ran_by_second, seconds));
	return object;
}

/* Sample at the given quantile, without interpolation. */
static json_t *quantile_json_(const struct load_rank *rank, double quantile)
{
	size_t index;

	if (!rank->sample_count)
		return json_null();
	index = (size_t)(quantile * (double)rank->sample_count);
	if (index >= rank->sample_count)
		index = rank->sample_count - 1;
	return json_real(rank->samples_us[index] / US_PER_MS);
}

static json_t *series_json_(const uint32_t *values, uint32_t count)
{
	json_t *array = json_array();
	uint32_t i;

	for (i = 0; i < count; i++)
		json_array_append_new(array, json_integer(values[i]));
	return array;
}

static int compare_samples_(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}
