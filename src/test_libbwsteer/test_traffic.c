#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwsteer/backend.h"
#include "traffic.h"

#define SEEDS_DEFAULT 200

static struct bw_chart chart_;
/* By scenario; the second index is 1 for the baseline. */
static struct traffic_result result_[TRAFFIC_SCENARIO_COUNT][2];

static void print_row_(enum traffic_scenario scenario, bool baseline)
{
	const struct traffic_result *result = &result_[scenario][baseline];
	const struct traffic_rank_result *rank;
	uint64_t served = 0;
	uint64_t offered = 0;
	int i;

	for (i = 0; i < TRAFFIC_RANKS; i++) {
		served += result->rank[i].served;
		offered += result->rank[i].offered;
	}
	printf("%-18s %-8s", baseline ? "" : traffic_scenario_string[scenario],
	       baseline ? "baseline" : "tested");
	for (i = 0; i < TRAFFIC_RANKS; i++) {
		rank = &result->rank[i];
		printf(" | %4u %4u %5.1f %5.1f", traffic_quantile_ms(rank, 0.5),
		       traffic_quantile_ms(rank, 0.99),
		       100.0 * (double)rank->served /
			       (double)(rank->offered ? rank->offered : 1),
		       100.0 * (double)rank->served /
			       (double)(served ? served : 1));
	}
	printf(" | %8llu %6.3f %5llu %7.3f\n",
	       (unsigned long long)(result->worth / result->runs),
	       (double)result->retries / (double)offered,
	       (unsigned long long)result->runs_twice,
	       (double)result->crashes / (double)result->runs);
}

static void print_table_(void)
{
	int scenario;

	printf("Per rank (urgent, lookup, filing): p50 ms, p99 ms, served %% "
	       "of offered, share %% of all served.\n"
	       "Then: worth served per run, retries per request, "
	       "non-idempotent requests run twice, crashes per run.\n");
	for (scenario = 0; scenario < TRAFFIC_SCENARIO_COUNT; scenario++) {
		print_row_(scenario, true);
		print_row_(scenario, false);
	}
}

static double served_(enum traffic_scenario scenario, int rank)
{
	const struct traffic_rank_result *result =
		&result_[scenario][0].rank[rank];

	return (double)result->served / (double)result->offered;
}

/* Guards against violations of the invariants of the model, and against serving
 * less worth than the baseline in any scenario. Runs all scenarios; the tests
 * below check their results. */
static void test_invariants_hold(void **state)
{
	const char *text = getenv("BW_SEEDS");
	uint64_t seeds = text ? strtoull(text, NULL, 10) : SEEDS_DEFAULT;
	uint64_t seed;
	int scenario;

	(void)state;
	for (seed = 0; seed < seeds; seed++) {
		scenario = (int)(seed % TRAFFIC_SCENARIO_COUNT);
		traffic_run(scenario, seed, false, &chart_,
			    &result_[scenario][0]);
		traffic_run(scenario, seed, true, &chart_,
			    &result_[scenario][1]);
	}
	print_table_();
	for (scenario = 0; scenario < TRAFFIC_SCENARIO_COUNT; scenario++) {
		assert_int_equal(result_[scenario][0].runs_twice, 0);
		assert_true(result_[scenario][0].worth * 100 >=
			    result_[scenario][1].worth * 98);
	}
}

/* Guards against a flood of one rank that starves the others. */
static void test_flood_spares_other_ranks(void **state)
{
	(void)state;
	assert_true(served_(TRAFFIC_FLOOD_FILING, 0) > 0.97);
	assert_true(served_(TRAFFIC_FLOOD_LOOKUP, 0) > 0.97);
	assert_true(served_(TRAFFIC_COMBINED_FAULTS, 0) > 0.9);
	assert_true(served_(TRAFFIC_FLOOD_URGENT, 1) > 0.3);
	assert_true(served_(TRAFFIC_FLOOD_URGENT, 2) > 0.3);
}

/* Guards against queues so long that started requests miss their deadline. */
static void test_started_work_is_in_time(void **state)
{
	const struct traffic_rank_result *rank;
	int scenario;
	int i;

	(void)state;
	for (scenario = TRAFFIC_FLOOD_URGENT; scenario <= TRAFFIC_FLOOD_FILING;
	     scenario++) {
		for (i = 0; i < TRAFFIC_RANKS; i++) {
			rank = &result_[scenario][0].rank[i];
			assert_true(rank->late * 100 <= rank->started);
		}
	}
}

/* Guards against a server that attracts traffic because it fails fast. */
static void test_failing_server_is_ejected(void **state)
{
	const struct traffic_result *result = &result_[TRAFFIC_FAIL_FAST][0];

	(void)state;
	assert_true(result->failing_server_attempts * 100 <= result->attempts);
}

/* Guards against a poison request that crashes one server after another, and
 * against the rejection of harmless requests that ran alongside it. */
static void test_poison_is_rejected(void **state)
{
	const struct traffic_result *result = &result_[TRAFFIC_CRASH_STORM][0];

	(void)state;
	printf("crash storm: at most %llu crashes, %llu harmless "
	       "fingerprints rejected in one run\n",
	       (unsigned long long)result->crashes_max,
	       (unsigned long long)result->harmless_rejected_max);
	assert_true(result->crashes_max <= 6);
	assert_true(result->harmless_rejected_max <= 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_invariants_hold),
		cmocka_unit_test(test_flood_spares_other_ranks),
		cmocka_unit_test(test_started_work_is_in_time),
		cmocka_unit_test(test_failing_server_is_ejected),
		cmocka_unit_test(test_poison_is_rejected),
	};
	struct bw_yaml_error error;

	if (bw_chart_load(&chart_, "charts/backend.yaml",
			  &bw_backend_chart_names, &error) != BW_OK) {
		fprintf(stderr, "charts/backend.yaml:%u: %s\n", error.line,
			error.text);
		return EXIT_FAILURE;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
