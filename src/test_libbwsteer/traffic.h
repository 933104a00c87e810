/**
 * @file
 * Deterministic virtual-time model of one entry host, its callers and its
 * backend servers, driven either by the modules under test or by a naive
 * version: round-robin, one first-in first-out queue, retry always.
 */
#ifndef TRAFFIC_H
#define TRAFFIC_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/chart.h"

#define TRAFFIC_RANKS 3

/** Faults and loads of a run. */
enum traffic_scenario {
	TRAFFIC_CALM,
	TRAFFIC_FLOOD_URGENT,
	TRAFFIC_FLOOD_LOOKUP,
	TRAFFIC_FLOOD_FILING,
	TRAFFIC_LYING_REPORTS,
	TRAFFIC_FAIL_FAST,
	TRAFFIC_REPORTS_HALF_LOST,
	TRAFFIC_REPORTS_STOP,
	TRAFFIC_COLD_START,
	TRAFFIC_DRAIN,
	TRAFFIC_CRASH_STORM,
	TRAFFIC_TWICE_AT_ONCE, /**< flood, fail-fast server and a crash */
	TRAFFIC_SCENARIO_COUNT
};

/** Stable names of enum traffic_scenario. */
extern const char *const traffic_scenario_string[TRAFFIC_SCENARIO_COUNT];

/** Distribution of latencies in intervals of 5 ms. */
#define TRAFFIC_LATENCIES 1024

/** What happened to the requests of one rank. */
struct traffic_rank_result {
	uint64_t offered;
	uint64_t served; /**< before the deadline */
	uint64_t started; /**< sent to a backend server at least once */
	uint64_t late; /**< started, but no response before the deadline */
	uint64_t latency[TRAFFIC_LATENCIES];
};

/** Sum over runs. */
struct traffic_result {
	struct traffic_rank_result rank[TRAFFIC_RANKS];
	uint64_t worth;
	uint64_t retries;
	uint64_t attempts;
	uint64_t bad_attempts; /**< to a failing server after it was seen */
	uint64_t crashes;
	uint64_t crashes_max; /**< of one run */
	uint64_t innocent_rejected_max; /**< fingerprints of one run */
	uint64_t runs_twice; /**< non-idempotent requests run more than once */
	uint64_t runs;
};

/**
 * Runs one scenario and adds to the result. With the modules under test, the
 * cmocka test fails at the first broken rule, with scenario and seed.
 */
void traffic_run(enum traffic_scenario scenario, uint64_t seed, bool naive,
		 const struct bw_chart *chart, struct traffic_result *result);

/** Returns a quantile of the latency of a rank in ms. */
uint32_t traffic_quantile_ms(const struct traffic_rank_result *rank,
			     double quantile);

#endif
