/**
 * @file
 * Measurements of slopes: cost against size, for docs/CAPACITY.md.
 */
#ifndef BENCH_H
#define BENCH_H

#include <stdint.h>

#include <jansson.h>

#include "bwbase/chart.h"

/** One run: measured entries, each with name, unit, value and sizes. */
struct bench {
	json_t *entries;
	uint64_t seed;
};

/**
 * Adds an entry.
 * @param sizes object of integers; the reference is taken over
 */
void bench_add(struct bench *bench, const char *name, const char *unit,
	       double value, json_t *sizes);

/** Returns the CPU time of this process in microseconds. */
double bench_cpu_us(void);

/** Returns the heap bytes in use, mapped chunks included. */
double bench_heap_bytes(void);

/** Loads a chart from charts/; ends the program when it is missing. */
void bench_load_chart(struct bw_chart *chart, const char *path,
		      const struct bw_chart_names *names);

/** Measures the block table. */
void bench_blocks(struct bench *bench);
/** Measures loading of sheets with client blocks. */
void bench_sheet(struct bench *bench);
/** Measures the planner. */
void bench_plan(struct bench *bench);
/** Measures backend selection and replication, and admission. */
void bench_requests(struct bench *bench);
/** Measures request keys. */
void bench_keys(struct bench *bench);
/** Measures membership, summaries and distribution. */
void bench_member(struct bench *bench);
/** Measures the replica and snapshots. */
void bench_agree(struct bench *bench);
/** Measures the load report, the directory and the choice of a look-up. */
void bench_lookup(struct bench *bench);
/** Measures log lines, with a destination that reads and one that does not. */
void bench_log(struct bench *bench);

/** Prints entries of two result files side by side. @return exit status */
int bench_compare(const char *path_a, const char *path_b);

/** Prints a table and writes one SVG file per slope. @return exit status */
int bench_plot(const char *path, const char *folder);

/** Adds the entries of a JSON lines file to a result file.
 * @return exit status */
int bench_merge(const char *path, const char *lines_path);

/**
 * Sends look-ups at random times (open loop) and prints counts and latency
 * quantiles as one JSON object.
 * @return exit status
 */
int bench_http_load(const char *url, double rate_per_s, uint32_t seconds);

#endif
