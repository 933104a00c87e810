/*
 * The entry hosts that a control host knows. Guards against a directory that
 * names hosts that are gone, that forgets hosts which report to another control
 * host, or that shows an older state of a host than the host reports.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "bwmember/roster.h"

static struct bw_roster roster;

static struct bw_time time_at_(int64_t ms)
{
	struct bw_time time = { 50000 + ms };

	return time;
}

static struct bw_roster_host host_(const char *name, uint32_t state)
{
	struct bw_roster_host host = { .state = state };

	bw_name_set(host.name, name);
	bw_name_set(host.domain, name[0] == 'a' ? "d1" : "d2");
	bw_name_set(host.region, "r");
	return host;
}

static enum bw_roster_outcome report_(const char *name, uint32_t state,
				      int64_t at_ms)
{
	struct bw_roster_host host = host_(name, state);

	return bw_roster_report(&roster, &host, time_at_(at_ms));
}

static enum bw_roster_outcome list_(const char *name, uint32_t state,
				    int64_t at_ms)
{
	struct bw_roster_host host = host_(name, state);

	return bw_roster_list(&roster, &host, time_at_(at_ms));
}

static uint32_t expire_(int64_t at_ms)
{
	struct bw_roster_host host;
	int64_t silent_ms;
	uint32_t count = 0;

	while (bw_roster_expire(&roster, time_at_(at_ms), &host, &silent_ms))
		count++;
	return count;
}

static uint32_t state_of_(const char *name)
{
	const GPtrArray *sorted = bw_roster_sorted(&roster);
	const struct bw_roster_host *host =
		sorted->pdata[bw_roster_index(&roster, name)];

	assert_string_equal(host->name, name);
	return host->state;
}

static int set_up_(void **state)
{
	(void)state;
	bw_roster_init(&roster);
	return 0;
}

static int tear_down_(void **state)
{
	(void)state;
	bw_roster_finish(&roster);
	return 0;
}

static void test_hosts_are_in_order(void **state)
{
	(void)state;
	assert_int_equal(report_("b1", 1, 0), BW_ROSTER_ADDED);
	assert_int_equal(list_("a2", 1, 0), BW_ROSTER_ADDED);
	assert_int_equal(list_("a1", 1, 0), BW_ROSTER_ADDED);
	assert_int_equal(bw_roster_sorted(&roster)->len, 3);
	assert_int_equal(bw_roster_index(&roster, "a1"), 0);
	assert_int_equal(bw_roster_index(&roster, "b1"), 2);
	assert_int_equal(bw_roster_count_in(&roster, "d1"), 2);
}

static void test_own_report_takes_precedence(void **state)
{
	(void)state;
	report_("a1", 1, 0);
	assert_int_equal(list_("a1", 0, 500), BW_ROSTER_UNCHANGED);
	assert_int_equal(state_of_("a1"), 1);
	assert_int_equal(report_("a1", 2, 1000), BW_ROSTER_CHANGED);
	assert_int_equal(list_("a1", 1, 1200), BW_ROSTER_UNCHANGED);
	assert_int_equal(state_of_("a1"), 2);
	/* It reports to another control host now. */
	assert_int_equal(list_("a1", 1, 1200 + BW_ROSTER_REPORT_MAX_MS),
			 BW_ROSTER_CHANGED);
	assert_int_equal(state_of_("a1"), 1);
}

static void test_lost_hosts_are_removed(void **state)
{
	(void)state;
	report_("a1", 1, 0);
	list_("a2", 1, 0);
	assert_int_equal(expire_(BW_ROSTER_REPORT_MAX_MS), 0);
	assert_int_equal(expire_(BW_ROSTER_REPORT_MAX_MS + 1), 1);
	assert_int_equal(bw_roster_sorted(&roster)->len, 1);
	assert_int_equal(expire_(BW_ROSTER_LIST_MAX_MS), 0);
	assert_int_equal(expire_(BW_ROSTER_LIST_MAX_MS + 1), 1);
	assert_int_equal(bw_roster_sorted(&roster)->len, 0);
}

/* Guards against a host that is lost while it changes control hosts. */
static void test_list_keeps_a_host_that_stops_reporting(void **state)
{
	(void)state;
	report_("a1", 1, 0);
	list_("a1", 1, 1500);
	assert_int_equal(expire_(4000), 0);
	assert_int_equal(expire_(1500 + BW_ROSTER_LIST_MAX_MS + 1), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_hosts_are_in_order,
						set_up_, tear_down_),
		cmocka_unit_test_setup_teardown(
			test_own_report_takes_precedence, set_up_, tear_down_),
		cmocka_unit_test_setup_teardown(test_lost_hosts_are_removed,
						set_up_, tear_down_),
		cmocka_unit_test_setup_teardown(
			test_list_keeps_a_host_that_stops_reporting, set_up_,
			tear_down_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
