/**
 * @file
 * Benchmarks of cost as a function of size, for docs/CAPACITY.md.
 */
#ifndef BENCH_H
#define BENCH_H

#include <stdint.h>

#include <jansson.h>

#include "bwbase/chart.h"

/** Results of one run: entries with a name, a unit, a value and sizes. */
struct bench {
	json_t *entries;
	uint64_t seed;
};

/**
 * Adds an entry.
 * @param sizes object of integers; takes ownership of the reference
 */
void bench_add(struct bench *bench, const char *name, const char *unit,
	       double value, json_t *sizes);

/** Returns the CPU time of this process in microseconds. */
double bench_cpu_us(void);

/** Returns the heap bytes in use, including memory-mapped chunks. */
double bench_heap_bytes(void);

/** Loads a chart from charts/; exits the program on an error. */
void bench_load_chart(struct bw_chart *chart, const char *path,
		      const struct bw_chart_names *names);

/** Measures the table of client address blocks. */
void bench_blocks(struct bench *bench);
/** Measures loading of sheets with client blocks. */
void bench_sheet(struct bench *bench);
/** Measures the planner. */
void bench_plan(struct bench *bench);
/** Measures backend selection, backend gossip and admission. */
void bench_requests(struct bench *bench);
/** Measures request keys. */
void bench_keys(struct bench *bench);
/** Measures membership, summaries and distribution. */
void bench_member(struct bench *bench);
/** Measures replication, and applying and saving the replicated state. */
void bench_agree(struct bench *bench);
/** Measures load reports, the directory and host selection for look-ups. */
void bench_lookup(struct bench *bench);
/** Measures logging to a destination that keeps up and to a stalled one. */
void bench_log(struct bench *bench);

/** Prints entries of two result files side by side. @return exit status */
int bench_compare(const char *path_a, const char *path_b);

/**
 * Prints a table and writes one SVG plot per metric with several sizes.
 * @return exit status
 */
int bench_plot(const char *path, const char *folder);

/**
 * Adds the entries of a JSON lines file to a result file.
 * @return exit status
 */
int bench_merge(const char *path, const char *lines_path);

/**
 * Sends HTTP look-ups with Poisson arrivals (open loop) and prints counts and
 * latency quantiles as one JSON object.
 * @return exit status
 */
int bench_http_load(const char *url, double rate_per_s, uint32_t seconds);

#endif
