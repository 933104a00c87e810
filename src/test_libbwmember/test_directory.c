/*
 * Which entry hosts a look-up names. Guards against an answer that names the
 * few hosts that are ready first after a loss of power, whose links the
 * requests of the whole fleet then fill, and against callers that get no answer
 * although some hosts serve.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "bwmember/directory.h"

#define HOSTS_PER_DOMAIN 4
#define DOMAINS 4
#define HOSTS (HOSTS_PER_DOMAIN * DOMAINS)

enum { STARTING, READY, LEAVING };

static struct bw_roster roster;
static struct bw_directory directory;

static struct bw_time time_at_(int64_t ms)
{
	struct bw_time time = { 50000 + ms };

	return time;
}

static int set_up_(void **state)
{
	static const struct bw_directory_states states = { READY, LEAVING };

	(void)state;
	bw_roster_init(&roster);
	bw_directory_init(&directory, &states);
	return 0;
}

static int tear_down_(void **state)
{
	(void)state;
	bw_roster_finish(&roster);
	return 0;
}

/* Two domains make a region. */
static void report_(uint32_t first, uint32_t count, uint32_t host_state,
		    int64_t at_ms)
{
	uint32_t i;

	for (i = first; i < first + count; i++) {
		struct bw_roster_host host = { .state = host_state };

		snprintf(host.name, sizeof(host.name), "h%02u", i);
		snprintf(host.domain, sizeof(host.domain), "d%u",
			 i / HOSTS_PER_DOMAIN);
		snprintf(host.region, sizeof(host.region), "r%u",
			 i / HOSTS_PER_DOMAIN / 2);
		bw_roster_report(&roster, &host, time_at_(at_ms));
	}
}

/* Looks up from domain d0 of region r0. */
static uint32_t look_up_(int64_t at_ms, char (*names)[BW_NAME_MAX])
{
	const struct bw_directory_query query = { "d0", "r0", 3 };

	return bw_directory_choose(&directory, &roster, &query, time_at_(at_ms),
				   names, HOSTS);
}

static void test_nearest_hosts(void **state)
{
	char names[HOSTS][BW_NAME_MAX];

	(void)state;
	report_(0, HOSTS, READY, 0);
	assert_int_equal(look_up_(0, names), HOSTS_PER_DOMAIN);
	assert_string_equal(names[0], "h03");
	assert_string_equal(names[1], "h00");
}

static void test_first_ready_hosts(void **state)
{
	char names[HOSTS][BW_NAME_MAX];

	(void)state;
	report_(0, HOSTS, STARTING, 0);
	assert_int_equal(look_up_(0, names), 0);
	report_(0, 2, READY, 100);
	assert_int_equal(look_up_(100, names), 0);
	report_(2, 10, READY, 300);
	assert_int_equal(look_up_(300, names), HOSTS_PER_DOMAIN);
}

static void test_wait_is_bounded(void **state)
{
	char names[HOSTS][BW_NAME_MAX];

	(void)state;
	report_(0, HOSTS, STARTING, 0);
	report_(0, 2, READY, 0);
	assert_int_equal(look_up_(0, names), 0);
	assert_int_equal(look_up_(BW_DIRECTORY_WAIT_MAX_MS - 1, names), 0);
	assert_int_equal(look_up_(BW_DIRECTORY_WAIT_MAX_MS, names), 2);
}

/* A fleet that has served for a while does not wait. */
static void test_domain_that_starts(void **state)
{
	char names[HOSTS][BW_NAME_MAX];

	(void)state;
	report_(0, HOSTS, READY, 0);
	assert_int_equal(look_up_(0, names), HOSTS_PER_DOMAIN);
	report_(0, 2, STARTING, 2000);
	assert_int_equal(look_up_(2000, names), 2 + HOSTS_PER_DOMAIN);
	report_(2, 2, STARTING, 2100);
	report_(4, 1, STARTING, 2100);
	assert_int_equal(look_up_(2100, names), HOSTS - 5);
}

static void test_leaving_hosts(void **state)
{
	char names[HOSTS][BW_NAME_MAX];

	(void)state;
	report_(0, HOSTS, READY, 0);
	report_(0, 3, LEAVING, 0);
	assert_int_equal(look_up_(0, names), 1);
	report_(3, 1, LEAVING, 0);
	assert_int_equal(look_up_(0, names), HOSTS_PER_DOMAIN);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_nearest_hosts, set_up_,
						tear_down_),
		cmocka_unit_test_setup_teardown(test_first_ready_hosts, set_up_,
						tear_down_),
		cmocka_unit_test_setup_teardown(test_wait_is_bounded, set_up_,
						tear_down_),
		cmocka_unit_test_setup_teardown(test_domain_that_starts,
						set_up_, tear_down_),
		cmocka_unit_test_setup_teardown(test_leaving_hosts, set_up_,
						tear_down_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
