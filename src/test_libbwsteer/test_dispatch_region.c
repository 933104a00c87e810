/*
 * Tests the limit on moves between regions. Guards against requests that wait
 * although their region has the same share as before, because that share varies
 * on a host with few requests, and against moves beyond the limit.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "dispatch_fixture.h"
#include "private/dispatch.h"

/** Lowest limit on moves that the platform's operators set. */
#define STEP_MAX 0.15

#define WINDOW_MS 2000
#define WINDOWS 200

/** Approximate requests per window of a host with a tenth of a core. */
#define REQUESTS 50

#define FAR_REGION 1

static void setup_(struct bw_dispatch *dispatch)
{
	bw_dispatch_init(dispatch, 1);
	dispatch->region_step_max = STEP_MAX;
	dispatch->region_window_ms = WINDOW_MS;
}

/*
 * Simulates one window in which requests prefer the far region with the given
 * probability.
 * @return number of requests that were not allowed there
 */
static uint32_t run_window_(struct bw_dispatch *dispatch,
			    struct bw_random *random, uint32_t window,
			    uint32_t requests, double share)
{
	uint32_t refused = 0;
	uint32_t i;

	for (i = 0; i < requests; i++) {
		struct bw_time now =
			fixture_time((int64_t)window * WINDOW_MS +
				     (int64_t)i * WINDOW_MS / requests);
		uint32_t region = 0;

		if (bw_random_unit(random) < share)
			region = FAR_REGION;
		if (!dispatch_region_allowed(dispatch, region, now)) {
			refused++;
			region = 0;
		}
		dispatch_region_count(dispatch, region, now);
	}
	return refused;
}

static void test_steady_share(void **state)
{
	struct bw_dispatch dispatch;
	struct bw_random random;
	uint32_t refused = 0;
	uint32_t i;

	(void)state;
	setup_(&dispatch);
	bw_random_init(&random, 7);
	for (i = 0; i < WINDOWS; i++)
		refused += run_window_(&dispatch, &random, i, REQUESTS, 0.4);
	/*
	 * At most 1 in 50 requests, or 1 in 20 of those that prefer the far
	 * region.
	 */
	assert_in_range(refused, 0, WINDOWS * REQUESTS / 50);
	bw_dispatch_finish(&dispatch);
}

/*
 * All requests prefer the far region at once: its share grows at most by the
 * limit.
 */
static void test_move(void **state)
{
	struct bw_dispatch dispatch;
	struct bw_random random;
	double before = 0.0;
	uint32_t requests;
	uint32_t i;

	(void)state;
	for (requests = REQUESTS; requests <= 1000; requests += 475) {
		setup_(&dispatch);
		bw_random_init(&random, 7);
		run_window_(&dispatch, &random, 0, requests, 0.2);
		run_window_(&dispatch, &random, 1, requests, 0.2);
		for (i = 2; i < 8; i++) {
			double share;

			run_window_(&dispatch, &random, i, requests, 1.0);
			dispatch_region_allowed(
				&dispatch, FAR_REGION,
				fixture_time((int64_t)(i + 1) * WINDOW_MS));
			share = dispatch.regions[FAR_REGION].share;
			if (i > 2)
				assert_true(share <= before + STEP_MAX);
			before = share;
		}
		bw_dispatch_finish(&dispatch);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_steady_share),
		cmocka_unit_test(test_move),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
