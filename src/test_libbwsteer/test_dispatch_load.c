/*
 * Plays heavy loads against the dispatcher, a naive policy and the bound of an
 * all-knowing one. Guards against placement that makes every run cold, against
 * a domain with few servers that is left alone with its demand, and against
 * requests that are held although they cannot be served.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "dispatch_model.h"

/* Time left of a request's deadline when it is rejected at the latest. */
#define HELD_MAX_MS 2500

static void play_(const char *name, const struct model_load *load,
		  struct model_result results[3])
{
	static const char *const names[3] = { "dispatch", "naive", "bound" };
	int i;

	for (i = 0; i < 3; i++) {
		model_play((enum model_policy)i, load, &results[i]);
		printf("%s %s: asked %u, on time %u, late %u, rejected %u, "
		       "far %.2f\n",
		       name, names[i], results[i].asked, results[i].on_time,
		       results[i].late, results[i].rejected,
		       results[i].far_share);
	}
}

/* Twice what cold servers carry, and about half of what warm ones do. */
static void test_cold_capacity_exceeded(void **state)
{
	struct model_load load = { .rates_per_s = { 48, 48, 48, 48, 48, 48 },
				   .burst_percent = 100,
				   .length_ms = 40000,
				   .lost_domain = 6,
				   .seed = 1 };
	struct model_result results[3];

	(void)state;
	play_("steady", &load, results);
	/* Nine in ten of what is possible are on time. */
	assert_true(results[0].on_time * 10 >= results[2].on_time * 9);
	assert_true(results[0].on_time >= 3 * results[1].on_time);
}

/* A burst of 2.5 times the traffic for four seconds. */
static void test_burst(void **state)
{
	struct model_load load = { .rates_per_s = { 40, 40, 40, 40, 40, 40 },
				   .burst_percent = 250,
				   .length_ms = 40000,
				   .lost_domain = 6,
				   .seed = 2 };
	struct model_result results[3];

	(void)state;
	play_("burst", &load, results);
	assert_true(results[0].on_time * 4 >= results[2].on_time * 3);
	assert_true(results[0].on_time >= 3 * results[1].on_time);
	assert_true(results[0].rejected_wait_ms < HELD_MAX_MS);
}

/* All clients of one domain move to another one with a single server. */
static void test_uneven_demand(void **state)
{
	struct model_load load = { .rates_per_s = { 10, 120, 40, 40, 20, 40 },
				   .burst_percent = 100,
				   .length_ms = 40000,
				   .lost_domain = 6,
				   .seed = 3 };
	struct model_result results[3];

	(void)state;
	play_("uneven", &load, results);
	assert_true(results[0].on_time * 4 >= results[2].on_time * 3);
	assert_true(results[0].on_time >= 3 * results[1].on_time);
}

/* A domain with a quarter of the servers is lost for ten seconds. */
static void test_lost_domain(void **state)
{
	struct model_load load = { .rates_per_s = { 40, 40, 40, 40, 40, 40 },
				   .burst_percent = 100,
				   .length_ms = 40000,
				   .lost_domain = 3,
				   .seed = 4 };
	struct model_result results[3];

	(void)state;
	play_("lost", &load, results);
	assert_true(results[0].on_time * 4 >= results[2].on_time * 3);
	assert_true(results[0].on_time >= 3 * results[1].on_time);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cold_capacity_exceeded),
		cmocka_unit_test(test_burst),
		cmocka_unit_test(test_uneven_demand),
		cmocka_unit_test(test_lost_domain),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
