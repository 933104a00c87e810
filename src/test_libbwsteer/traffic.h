/**
 * @file
 * Deterministic simulation, in virtual time, of one entry host, its callers and
 * its backend servers. The entry host uses either the modules under test or a
 * simple baseline: round-robin, a single first-in first-out queue, and up
 * to 10 retries of every failure.
 */
#ifndef TRAFFIC_H
#define TRAFFIC_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/chart.h"

#define TRAFFIC_RANKS 3

/** Load and faults of a run. */
enum traffic_scenario {
	TRAFFIC_NORMAL,
	TRAFFIC_FLOOD_URGENT,
	TRAFFIC_FLOOD_LOOKUP,
	TRAFFIC_FLOOD_FILING,
	TRAFFIC_FALSE_REPORTS,
	TRAFFIC_FAIL_FAST,
	TRAFFIC_REPORTS_HALF_LOST,
	TRAFFIC_REPORTS_STOP,
	TRAFFIC_COLD_START,
	TRAFFIC_DRAIN,
	TRAFFIC_CRASH_STORM,
	TRAFFIC_COMBINED_FAULTS, /**< flood, fail-fast server and a crash */
	TRAFFIC_SCENARIO_COUNT
};

/** Stable names of enum traffic_scenario. */
extern const char *const traffic_scenario_string[TRAFFIC_SCENARIO_COUNT];

/** Buckets of the latency histogram, each 5 ms wide. */
#define TRAFFIC_LATENCY_BUCKETS 1024

/** Counts of the requests of one rank. */
struct traffic_rank_result {
	uint64_t offered;
	uint64_t served; /**< response before the deadline */
	uint64_t started; /**< sent to a backend server at least once */
	uint64_t late; /**< attempts without a response before the deadline */
	uint64_t latency[TRAFFIC_LATENCY_BUCKETS];
};

/** Results summed over all runs, except for the maxima. */
struct traffic_result {
	struct traffic_rank_result rank[TRAFFIC_RANKS];
	uint64_t worth; /**< sum of the worth of all served requests */
	uint64_t retries;
	uint64_t attempts;
	uint64_t failing_server_attempts; /**< later than 1 s after the fault */
	uint64_t crashes;
	uint64_t crashes_max; /**< largest number in one run */
	uint64_t harmless_rejected_max; /**< fingerprints in one run */
	uint64_t runs_twice; /**< non-idempotent requests run more than once */
	uint64_t runs;
};

/**
 * Runs one scenario and adds to the result. With the modules under test, the
 * cmocka test fails at the first violated invariant and prints the scenario and
 * seed.
 * @param baseline whether to run the baseline instead of the modules under test
 */
void traffic_run(enum traffic_scenario scenario, uint64_t seed, bool baseline,
		 const struct bw_chart *chart, struct traffic_result *result);

/** Returns a quantile of the latency of the served requests of a rank. */
uint32_t traffic_quantile_ms(const struct traffic_rank_result *rank,
			     double quantile);

#endif
