/**
 * @file
 * Counters, gauges and latency histograms, printed in the Prometheus text
 * format.
 */
#ifndef BWBASE_METRICS_H
#define BWBASE_METRICS_H

#include <stdint.h>

#include "bwbase/buffer.h"
#include "bwbase/status.h"

/** Number of finite upper bounds of histogram buckets. */
#define BW_HISTOGRAM_BOUNDS 20

/** Size of the label text of a metric, including the terminating NUL. */
#define BW_LABELS_MAX 128

/** Kinds of metric. */
enum bw_metric_kind { BW_METRIC_COUNTER, BW_METRIC_GAUGE, BW_METRIC_HISTOGRAM };

/** Histogram of durations with fixed bucket bounds from 50 us to 30 s. */
struct bw_histogram {
	uint64_t bucket[BW_HISTOGRAM_BOUNDS + 1]; /**< not cumulative */
	uint64_t count;
	uint64_t sum_us;
};

/** One time series. */
struct bw_metric {
	enum bw_metric_kind kind;
	const char *name; /**< static text */
	const char *help; /**< static text */
	char labels[BW_LABELS_MAX]; /**< for example service="certdesk" */
	union {
		uint64_t counter;
		int64_t gauge;
		struct bw_histogram histogram;
	} u;
};

/** Set of time series. */
struct bw_metrics {
	struct bw_metric **items;
	uint32_t count;
	uint32_t capacity;
};

/** Initialises an empty set. */
void bw_metrics_init(struct bw_metrics *metrics);

/** Frees the set; handles become invalid. */
void bw_metrics_finish(struct bw_metrics *metrics);

/**
 * Finds or adds a time series. Handles stay valid until bw_metrics_finish.
 * @param name metric name with unit suffix; static text
 * @param help one line; static text
 * @param labels label text without braces, or ""
 * @return the handle, or NULL when out of memory or labels is too long
 */
struct bw_metric *bw_metrics_get(struct bw_metrics *metrics,
				 enum bw_metric_kind kind, const char *name,
				 const char *help, const char *labels);

/** Adds to a counter. A NULL handle is ignored. */
void bw_metric_add(struct bw_metric *metric, uint64_t value);

/** Sets a gauge. A NULL handle is ignored. */
void bw_metric_set(struct bw_metric *metric, int64_t value);

/** Records a duration in microseconds. A NULL handle is ignored. */
void bw_metric_observe(struct bw_metric *metric, uint64_t duration_us);

/**
 * Estimates a quantile of a histogram as the upper bound of its bucket.
 * @param quantile between 0 and 1
 * @return microseconds; 0 when nothing was recorded
 */
uint64_t bw_histogram_quantile_us(const struct bw_histogram *histogram,
				  double quantile);

/**
 * Appends all series as Prometheus text.
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status bw_metrics_print(const struct bw_metrics *metrics,
				struct bw_buffer *out);

#endif
