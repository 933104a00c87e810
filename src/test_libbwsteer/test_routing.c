/*
 * Tests routing tables. Guards against requests that go to the wrong service,
 * and against ambiguous configurations that are accepted.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "bwsteer/routing.h"

static struct bw_route *routes[3];

/* Builds a table without routes; they are in routes until add_routes_. */
static struct bw_routing *build_table_(void)
{
	struct bw_routing *routing = bw_routing_new(3, 2);
	uint32_t i;

	assert_non_null(routing);
	routing->version = 7;
	for (i = 0; i < 2; i++)
		snprintf(routing->services[i].name,
			 sizeof(routing->services[i].name), "service-%u", i);
	for (i = 0; i < 3; i++) {
		struct bw_route *route = bw_route_new();

		assert_non_null(route);
		routes[i] = route;
		snprintf(route->name, sizeof(route->name), "route-%u", i);
		snprintf(route->host, sizeof(route->host), "%s",
			 i < 2 ? "a.example" : "b.example");
		snprintf(route->prefix, sizeof(route->prefix), "%s",
			 i == 1 ? "/x/y/" : "/x/");
		route->timeout_ms = 1000;
		route->attempts_max = 2;
		assert_int_equal(bw_route_set_choice_count(route, 1), BW_OK);
		route->choices[0].weight = 1;
		snprintf(route->choices[0].service,
			 sizeof(route->choices[0].service), "service-%u",
			 i % 2);
	}
	return routing;
}

static enum bw_status add_routes_(struct bw_routing *routing, char *error)
{
	enum bw_status status = bw_routing_check(routing, error);
	uint32_t i;

	for (i = 0; i < 3; i++) {
		if (status == BW_OK)
			status = bw_routing_add(routing, routes[i], error);
		else
			bw_route_unref(routes[i]);
	}
	return status;
}

static const char *find_(const struct bw_routing *routing, const char *host,
			 const char *target)
{
	const struct bw_route *route = bw_routing_find(
		routing, host, strlen(host), target, strlen(target));

	return route ? route->name : "none";
}

static bool has_host_(const struct bw_routing *routing, const char *host)
{
	return bw_routing_has_host(routing, host, strlen(host));
}

static void test_find(void **state)
{
	struct bw_routing *routing = build_table_();
	char error[BW_ROUTE_ERROR_MAX];

	(void)state;
	assert_int_equal(add_routes_(routing, error), BW_OK);
	assert_string_equal(find_(routing, "a.example", "/x/1"), "route-0");
	assert_string_equal(find_(routing, "A.Example:80", "/x/1"), "route-0");
	assert_string_equal(find_(routing, "a.example", "/x/y/1"), "route-1");
	assert_string_equal(find_(routing, "a.example", "/x/y"), "route-0");
	assert_string_equal(find_(routing, "a.example", "/x/y?/x/y/"),
			    "route-0");
	assert_string_equal(find_(routing, "b.example", "/x/y/1"), "route-2");
	assert_string_equal(find_(routing, "c.example", "/x/"), "none");
	assert_string_equal(find_(routing, "a.example", "/z/"), "none");
	assert_string_equal(find_(routing, "a.exampl", "/x/"), "none");
	assert_true(has_host_(routing, "A.Example:80"));
	assert_true(has_host_(routing, "b.example"));
	assert_false(has_host_(routing, "c.example"));
	assert_false(has_host_(routing, "a.exampl"));
	assert_int_equal(bw_routing_service_find(routing,
						 routes[1]->choices[0].service),
			 1);
	bw_routing_unref(routing);
}

/* Guards against a limit on Host without room for the port. */
static void test_long_host_with_port(void **state)
{
	struct bw_routing *routing = build_table_();
	char host[BW_ROUTE_HOST_MAX + 8];
	char error[BW_ROUTE_ERROR_MAX];

	(void)state;
	memset(host, 'h', BW_ROUTE_HOST_MAX - 1);
	host[BW_ROUTE_HOST_MAX - 1] = '\0';
	strcpy(routes[0]->host, host);
	assert_int_equal(add_routes_(routing, error), BW_OK);
	assert_string_equal(find_(routing, host, "/x/1"), "route-0");
	strcat(host, ":65535");
	assert_string_equal(find_(routing, host, "/x/1"), "route-0");
	assert_true(has_host_(routing, host));
	bw_routing_unref(routing);
}

static void expect_invalid_(struct bw_routing *routing, const char *reason)
{
	char error[BW_ROUTE_ERROR_MAX] = "";

	assert_int_equal(add_routes_(routing, error), BW_EINVAL);
	assert_non_null(strstr(error, reason));
	bw_routing_unref(routing);
}

static void test_invalid(void **state)
{
	struct bw_routing *routing;

	(void)state;
	routing = build_table_();
	routing->version = 0;
	expect_invalid_(routing, "version");
	routing = build_table_();
	routes[0]->host[0] = '\0';
	expect_invalid_(routing, "no host");
	routing = build_table_();
	strcpy(routes[0]->prefix, "/x");
	expect_invalid_(routing, "slash");
	routing = build_table_();
	strcpy(routes[1]->prefix, "/x/");
	expect_invalid_(routing, "share host and prefix");
	routing = build_table_();
	strcpy(routes[2]->choices[0].service, "service-9");
	expect_invalid_(routing, "unknown service");
	routing = build_table_();
	routes[2]->choices[0].weight = 0;
	expect_invalid_(routing, "add up to zero");
	routing = build_table_();
	routes[2]->timeout_ms = 0;
	expect_invalid_(routing, "timeout");
}

/* Guards against a split of the requests that does not follow the weights. */
static void test_weights(void **state)
{
	struct bw_route *route = bw_route_new();
	uint32_t counts[3] = { 0 };
	uint64_t point;

	(void)state;
	assert_int_equal(bw_route_set_choice_count(route, 3), BW_OK);
	route->choices[0].weight = 90;
	route->choices[1].weight = 0;
	route->choices[2].weight = 10;
	for (point = 0; point < 1000; point++)
		counts[bw_route_choose(route, point)]++;
	assert_int_equal(counts[0], 900);
	assert_int_equal(counts[1], 0);
	assert_int_equal(counts[2], 100);
	bw_route_unref(route);
}

/* Guards against freeing a table while a reference remains. */
static void test_references(void **state)
{
	struct bw_routing *routing = build_table_();
	char error[BW_ROUTE_ERROR_MAX];

	(void)state;
	assert_int_equal(add_routes_(routing, error), BW_OK);
	bw_routing_ref(routing);
	bw_routing_unref(routing);
	assert_int_equal(routing->route_count, 3);
	bw_routing_unref(routing);
	bw_routing_unref(NULL);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_find),
		cmocka_unit_test(test_long_host_with_port),
		cmocka_unit_test(test_invalid),
		cmocka_unit_test(test_weights),
		cmocka_unit_test(test_references),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
