#include "bwbase/metrics.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

static const uint64_t bounds_us_[BW_HISTOGRAM_BOUNDS] = {
	50,	100,	 200,	  500,	   1000,     2000,    3000,
	5000,	10000,	 20000,	  30000,   50000,    100000,  200000,
	500000, 1000000, 2000000, 5000000, 10000000, 30000000
};

static const char *const kind_string_[] = {
	[BW_METRIC_COUNTER] = "counter",
	[BW_METRIC_GAUGE] = "gauge",
	[BW_METRIC_HISTOGRAM] = "histogram",
};

static struct bw_metric *find_metric_(struct bw_metrics *metrics,
				      const char *name, const char *labels);
static uint32_t insertion_point_(const struct bw_metrics *metrics,
				 const char *name, const char *labels);
static int compare_key_(const struct bw_metric *metric, const char *name,
			const char *labels);
static enum bw_status print_metric_(const struct bw_metric *metric,
				    struct bw_buffer *out);
static enum bw_status print_histogram_(const struct bw_metric *metric,
				       struct bw_buffer *out);

void bw_metrics_init(struct bw_metrics *metrics)
{
	memset(metrics, 0, sizeof(*metrics));
}

void bw_metrics_finish(struct bw_metrics *metrics)
{
	uint32_t i;

	for (i = 0; i < metrics->count; i++)
		free(metrics->items[i]);
	free(metrics->items);
	memset(metrics, 0, sizeof(*metrics));
}

struct bw_metric *bw_metrics_get(struct bw_metrics *metrics,
				 enum bw_metric_kind kind, const char *name,
				 const char *help, const char *labels)
{
	struct bw_metric *metric = find_metric_(metrics, name, labels);
	struct bw_metric **items;
	uint32_t capacity;
	uint32_t position;

	if (metric)
		return metric;
	if (strlen(labels) >= BW_LABELS_MAX)
		return NULL;
	if (metrics->count == metrics->capacity) {
		capacity = metrics->capacity ? metrics->capacity * 2 : 32;
		items = realloc(metrics->items, capacity * sizeof(*items));
		if (!items)
			return NULL;
		metrics->items = items;
		metrics->capacity = capacity;
	}
	metric = calloc(1, sizeof(*metric));
	if (!metric)
		return NULL;
	metric->kind = kind;
	metric->name = name;
	metric->help = help;
	strcpy(metric->labels, labels);
	position = insertion_point_(metrics, name, labels);
	memmove(metrics->items + position + 1, metrics->items + position,
		(metrics->count - position) * sizeof(*metrics->items));
	metrics->items[position] = metric;
	metrics->count++;
	return metric;
}

void bw_metric_add(struct bw_metric *metric, uint64_t value)
{
	if (!metric)
		return;
	assert(metric->kind == BW_METRIC_COUNTER);
	metric->u.counter += value;
}

void bw_metric_set(struct bw_metric *metric, int64_t value)
{
	if (!metric)
		return;
	assert(metric->kind == BW_METRIC_GAUGE);
	metric->u.gauge = value;
}

void bw_metric_observe(struct bw_metric *metric, uint64_t duration_us)
{
	struct bw_histogram *histogram;
	uint32_t i = 0;

	if (!metric)
		return;
	assert(metric->kind == BW_METRIC_HISTOGRAM);
	histogram = &metric->u.histogram;
	while (i < BW_HISTOGRAM_BOUNDS && duration_us > bounds_us_[i])
		i++;
	histogram->bucket[i]++;
	histogram->count++;
	histogram->sum_us += duration_us;
}

uint64_t bw_histogram_quantile_us(const struct bw_histogram *histogram,
				  double quantile)
{
	uint64_t rank = (uint64_t)(quantile * (double)histogram->count);
	uint64_t cumulative_count = 0;
	uint32_t i;

	if (!histogram->count)
		return 0;
	for (i = 0; i < BW_HISTOGRAM_BOUNDS; i++) {
		cumulative_count += histogram->bucket[i];
		if (cumulative_count > rank)
			return bounds_us_[i];
	}
	return bounds_us_[BW_HISTOGRAM_BOUNDS - 1];
}

enum bw_status bw_metrics_print(const struct bw_metrics *metrics,
				struct bw_buffer *out)
{
	const char *previous = "";
	const struct bw_metric *metric;
	enum bw_status status = BW_OK;
	uint32_t i;

	for (i = 0; i < metrics->count && status == BW_OK; i++) {
		metric = metrics->items[i];
		if (strcmp(previous, metric->name)) {
			status = bw_buffer_printf(
				out, "# HELP %s %s\n# TYPE %s %s\n",
				metric->name, metric->help, metric->name,
				kind_string_[metric->kind]);
			previous = metric->name;
		}
		if (status == BW_OK)
			status = print_metric_(metric, out);
	}
	return status;
}

static struct bw_metric *find_metric_(struct bw_metrics *metrics,
				      const char *name, const char *labels)
{
	uint32_t position = insertion_point_(metrics, name, labels);

	if (position < metrics->count &&
	    !compare_key_(metrics->items[position], name, labels))
		return metrics->items[position];
	return NULL;
}

static uint32_t insertion_point_(const struct bw_metrics *metrics,
				 const char *name, const char *labels)
{
	uint32_t low = 0;
	uint32_t high = metrics->count;
	uint32_t middle;

	while (low < high) {
		middle = low + (high - low) / 2;
		if (compare_key_(metrics->items[middle], name, labels) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static int compare_key_(const struct bw_metric *metric, const char *name,
			const char *labels)
{
	int order = strcmp(metric->name, name);

	return order ? order : strcmp(metric->labels, labels);
}

static enum bw_status print_metric_(const struct bw_metric *metric,
				    struct bw_buffer *out)
{
	const char *open = metric->labels[0] ? "{" : "";
	const char *close = metric->labels[0] ? "}" : "";

	switch (metric->kind) {
	case BW_METRIC_COUNTER:
		return bw_buffer_printf(out, "%s%s%s%s %" PRIu64 "\n",
					metric->name, open, metric->labels,
					close, metric->u.counter);
	case BW_METRIC_GAUGE:
		return bw_buffer_printf(out, "%s%s%s%s %" PRId64 "\n",
					metric->name, open, metric->labels,
					close, metric->u.gauge);
	case BW_METRIC_HISTOGRAM:
		return print_histogram_(metric, out);
	}
	return BW_EINVAL;
}

static enum bw_status print_histogram_(const struct bw_metric *metric,
				       struct bw_buffer *out)
{
	const struct bw_histogram *histogram = &metric->u.histogram;
	const char *comma = metric->labels[0] ? "," : "";
	const char *open = metric->labels[0] ? "{" : "";
	const char *close = metric->labels[0] ? "}" : "";
	uint64_t cumulative_count = 0;
	enum bw_status status = BW_OK;
	uint32_t i;

	for (i = 0; i < BW_HISTOGRAM_BOUNDS && status == BW_OK; i++) {
		cumulative_count += histogram->bucket[i];
		status = bw_buffer_printf(
			out, "%s_bucket{%s%sle=\"%g\"} %" PRIu64 "\n",
			metric->name, metric->labels, comma,
			(double)bounds_us_[i] / 1e6, cumulative_count);
	}
	if (status != BW_OK)
		return status;
	return bw_buffer_printf(out,
				"%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n"
				"%s_sum%s%s%s %g\n%s_count%s%s%s %" PRIu64 "\n",
				metric->name, metric->labels, comma,
				histogram->count, metric->name, open,
				metric->labels, close,
				(double)histogram->sum_us / 1e6, metric->name,
				open, metric->labels, close, histogram->count);
}
