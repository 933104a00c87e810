/*
 * Which connection is closed when connections or memory run short. Guards
 * against a request that is closed though it was passed on, and against clients
 * without progress that keep their connections while others are closed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "bwproxy/eviction.h"

#define HELD_BYTES 1000
#define MEMORY_LAG_MS 5000

static struct bw_eviction_candidate candidate_(enum bw_eviction_phase phase,
					       int64_t lag_ms)
{
	return (struct bw_eviction_candidate){ phase, lag_ms, HELD_BYTES,
					       MEMORY_LAG_MS };
}

static void check_allowed_(enum bw_eviction_phase phase, int64_t lag_ms,
			   bool for_connections, bool for_memory)
{
	struct bw_eviction_candidate candidate = candidate_(phase, lag_ms);

	assert_int_equal(bw_eviction_allows(&candidate,
					    BW_EVICTION_CONNECTIONS),
			 for_connections);
	assert_int_equal(bw_eviction_allows(&candidate, BW_EVICTION_MEMORY),
			 for_memory);
}

/* Guards against a connection that is closed while its request runs, or while
 * its body or response makes progress. */
static void test_allowed(void **state)
{
	(void)state;
	check_allowed_(BW_EVICTION_BUSY, 1000000, false, false);
	check_allowed_(BW_EVICTION_BODY, 999, false, false);
	check_allowed_(BW_EVICTION_BODY, 1000, true, false);
	check_allowed_(BW_EVICTION_BODY, MEMORY_LAG_MS, true, true);
	check_allowed_(BW_EVICTION_RESPONSE, 999, false, false);
	check_allowed_(BW_EVICTION_RESPONSE, 1000, true, false);
	check_allowed_(BW_EVICTION_RESPONSE, MEMORY_LAG_MS, true, true);
	check_allowed_(BW_EVICTION_HEAD, 999, true, false);
	check_allowed_(BW_EVICTION_HEAD, 1000, true, true);
	check_allowed_(BW_EVICTION_UNUSED, 0, true, true);
	check_allowed_(BW_EVICTION_IDLE, 0, true, true);
	check_allowed_(BW_EVICTION_REFUSED, 0, true, true);
}

static void check_order_(enum bw_eviction_phase first, int64_t first_lag_ms,
			 enum bw_eviction_phase second, int64_t second_lag_ms)
{
	struct bw_eviction_candidate one = candidate_(first, first_lag_ms);
	struct bw_eviction_candidate other = candidate_(second, second_lag_ms);

	assert_true(bw_eviction_precedes(&one, &other));
	assert_false(bw_eviction_precedes(&other, &one));
}

/* Guards against ordinary clients that are closed before a crowd that has
 * stopped, and against a crowd of new connections that keeps others out. */
static void test_order(void **state)
{
	struct bw_eviction_candidate large = candidate_(BW_EVICTION_BODY, 2000);
	struct bw_eviction_candidate small = candidate_(BW_EVICTION_BODY, 3000);

	(void)state;
	check_order_(BW_EVICTION_REFUSED, 0, BW_EVICTION_HEAD, 60000);
	check_order_(BW_EVICTION_HEAD, 1000, BW_EVICTION_IDLE, 60000);
	check_order_(BW_EVICTION_UNUSED, 1000, BW_EVICTION_IDLE, 60000);
	check_order_(BW_EVICTION_BODY, 1000, BW_EVICTION_IDLE, 60000);
	check_order_(BW_EVICTION_RESPONSE, 1000, BW_EVICTION_IDLE, 60000);
	check_order_(BW_EVICTION_IDLE, 0, BW_EVICTION_HEAD, 999);
	check_order_(BW_EVICTION_IDLE, 0, BW_EVICTION_UNUSED, 999);
	/* The longest without progress, or the most memory for it. */
	check_order_(BW_EVICTION_IDLE, 2, BW_EVICTION_IDLE, 1);
	check_order_(BW_EVICTION_HEAD, 500, BW_EVICTION_UNUSED, 499);
	check_order_(BW_EVICTION_HEAD, 3000, BW_EVICTION_HEAD, 2000);
	large.held_bytes = 2 * HELD_BYTES;
	assert_true(bw_eviction_precedes(&large, &small));
}

static int64_t lag_after_(uint64_t piece_bytes, int64_t interval_ms,
			  int64_t duration_ms, uint64_t rate)
{
	struct bw_time since = { 0 };
	struct bw_time now = { 0 };

	while (now.ms < duration_ms) {
		now.ms += interval_ms;
		since = bw_eviction_progress(since, piece_bytes, rate, now);
	}
	return bw_time_diff_ms(now, since);
}

/* Guards against a client that holds a connection with a byte now and then, and
 * against a slow but steady one that is taken for it. */
static void test_progress(void **state)
{
	uint64_t rate = bw_eviction_least_rate(1000);

	(void)state;
	assert_int_equal(rate, 1024);
	assert_int_equal(bw_eviction_least_rate(300 * 4096), 4096);
	assert_true(lag_after_(1, 100, 15000, rate) > 14000);
	assert_int_equal(lag_after_(1024, 1000, 15000, rate), 0);
	assert_int_equal(lag_after_(100000, 5000, 60000, rate), 0);
	/* What was fast before counts for nothing after a stop. */
	assert_int_equal(bw_eviction_progress((struct bw_time){ 0 }, 1 << 30,
					      rate, (struct bw_time){ 10 })
				 .ms,
			 10);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_allowed),
		cmocka_unit_test(test_order),
		cmocka_unit_test(test_progress),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
