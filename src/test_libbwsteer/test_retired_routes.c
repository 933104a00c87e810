/*
 * Routes that newer configurations have changed or removed. Guards against a
 * host that is behind and uses such a route as if it were in force, and against
 * one that rejects requests of a route that is.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "bwbase/random.h"
#include "bwsteer/retired_routes.h"

#define RUNS 200
#define VERSIONS 60
#define PLACES 12
#define DEFINITIONS 4 /**< of each place; small, so that they come back */
#define ABSENT 0

/** Definition of the route of each place in a version. */
static uint8_t versions[VERSIONS][PLACES];

static void fill_digest_(uint8_t *digest, uint32_t place, uint8_t definition)
{
	memset(digest, 0, BW_ROUTE_DIGEST_BYTES);
	digest[0] = (uint8_t)place;
	digest[1] = definition;
}

static struct bw_route *new_route_(uint32_t place, uint8_t definition)
{
	struct bw_route *route = bw_route_new();

	assert_non_null(route);
	fill_digest_(route->digest, place, definition);
	snprintf(route->name, sizeof(route->name), "route-%u", place);
	snprintf(route->host, sizeof(route->host), "h.example");
	snprintf(route->prefix, sizeof(route->prefix), "/%u/", place);
	route->timeout_ms = 1000;
	route->attempts_max = 2;
	assert_int_equal(bw_route_set_choice_count(route, 1), BW_OK);
	route->choices[0].weight = 1;
	snprintf(route->choices[0].service, sizeof(route->choices[0].service),
		 "s");
	return route;
}

static struct bw_routing *new_table_(uint32_t version)
{
	struct bw_routing *table = bw_routing_new(PLACES, 1);
	char error[BW_ROUTE_ERROR_MAX];
	uint32_t i;

	assert_non_null(table);
	table->version = version + 1;
	snprintf(table->services[0].name, sizeof(table->services[0].name), "s");
	for (i = 0; i < PLACES; i++) {
		if (versions[version][i] != ABSENT)
			assert_int_equal(
				bw_routing_add(table,
					       new_route_(i,
							  versions[version][i]),
					       error),
				BW_OK);
	}
	return table;
}

static void change_(struct bw_random *random, uint32_t version)
{
	uint32_t changes = 1 + (uint32_t)bw_random_below(random, 3);

	memcpy(versions[version], versions[version - 1], PLACES);
	while (changes--)
		versions[version][bw_random_below(random, PLACES)] =
			(uint8_t)bw_random_below(random, DEFINITIONS);
}

/* Compares what a host has learned with the newest version. */
static void check_host_(const struct bw_retired_routes *learned,
			uint32_t version, uint32_t newest)
{
	struct bw_time now = { 100000 };
	uint8_t digest[BW_ROUTE_DIGEST_BYTES];
	uint32_t i;

	for (i = 0; i < PLACES; i++) {
		bool in_force = versions[version][i] == versions[newest][i];

		if (versions[version][i] == ABSENT)
			continue;
		fill_digest_(digest, i, versions[version][i]);
		assert_int_equal(bw_retired_routes_age_ms(learned, digest,
							  now) < 0,
				 in_force);
	}
}

static void test_hosts_know_what_has_changed(void **state)
{
	uint64_t seed;
	uint32_t i;

	(void)state;
	for (seed = 1; seed <= RUNS; seed++) {
		struct bw_retired_routes announced = { .count = 0 };
		struct bw_retired_routes learned = { .count = 0 };
		struct bw_routing *table;
		struct bw_random random;
		uint32_t behind = 0;

		bw_random_init(&random, seed);
		memset(versions[0], 1, PLACES);
		table = new_table_(0);
		for (i = 1; i < VERSIONS; i++) {
			struct bw_time now = { i * 10 };
			struct bw_routing *next;

			change_(&random, i);
			next = new_table_(i);
			bw_retired_routes_note(&announced, table, next, now);
			bw_routing_unref(table);
			table = next;
			if (bw_random_below(&random, 3))
				continue;
			bw_retired_routes_merge(&learned, &announced, now);
			check_host_(&learned, behind, i);
			if (!bw_random_below(&random, 4))
				behind = i;
		}
		bw_routing_unref(table);
	}
}

/* Guards against a time that begins anew with each announcement. */
static void test_time_is_kept(void **state)
{
	struct bw_retired_routes announced = { .count = 1 };
	struct bw_retired_routes learned = { .count = 0 };
	uint8_t digest[BW_ROUTE_DIGEST_BYTES];
	struct bw_time now = { 1000 };

	(void)state;
	fill_digest_(announced.routes[0].digest, 3, 1);
	fill_digest_(digest, 3, 1);
	bw_retired_routes_merge(&learned, &announced, now);
	now.ms = 3000;
	bw_retired_routes_merge(&learned, &announced, now);
	assert_int_equal(bw_retired_routes_age_ms(&learned, digest, now), 2000);
	announced.count = 0;
	bw_retired_routes_merge(&learned, &announced, now);
	assert_int_equal(bw_retired_routes_age_ms(&learned, digest, now), -1);
}

/* Guards against a list that grows without bound, or forgets the newest. */
static void test_list_is_bounded(void **state)
{
	struct bw_retired_routes announced = { .count = BW_RETIRED_ROUTES_MAX };
	struct bw_routing *before;
	struct bw_routing *after;
	uint8_t digest[BW_ROUTE_DIGEST_BYTES];
	struct bw_time now = { 1000 };
	uint32_t i;

	(void)state;
	for (i = 0; i < BW_RETIRED_ROUTES_MAX; i++)
		fill_digest_(announced.routes[i].digest, 100 + i, 1);
	memset(versions[0], 1, PLACES);
	memset(versions[1], 2, PLACES);
	before = new_table_(0);
	after = new_table_(1);
	bw_retired_routes_note(&announced, before, after, now);
	assert_int_equal(announced.count, BW_RETIRED_ROUTES_MAX);
	fill_digest_(digest, 0, 1);
	assert_int_equal(bw_retired_routes_age_ms(&announced, digest, now), 0);
	fill_digest_(digest, 100, 1);
	assert_int_equal(bw_retired_routes_age_ms(&announced, digest, now), -1);
	bw_routing_unref(before);
	bw_routing_unref(after);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_hosts_know_what_has_changed),
		cmocka_unit_test(test_time_is_kept),
		cmocka_unit_test(test_list_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
