/*
 * Choice of the control host that tells details. Guards against entry hosts
 * that get every detail from every control host, that stay with a silent one,
 * and that miss what only a cut-off control host knows.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "bwmember/feed.h"

#define COUNT 4

static struct bw_time at_(int64_t ms)
{
	struct bw_time time = { 50000 + ms };

	return time;
}

/* Control hosts c0 (own domain), c1 (own region), c2 and c3 (far). */
static void open_(struct bw_feed *feed, struct bw_feed_peer *peers)
{
	static const enum bw_feed_distance distance[COUNT] = {
		BW_FEED_SAME_DOMAIN, BW_FEED_SAME_REGION, BW_FEED_OTHER_REGION,
		BW_FEED_OTHER_REGION
	};
	uint32_t i;

	memset(peers, 0, COUNT * sizeof(*peers));
	for (i = 0; i < COUNT; i++) {
		snprintf(peers[i].name, sizeof(peers[i].name), "c%u", i);
		peers[i].distance = distance[i];
		peers[i].alive = true;
	}
	bw_feed_init(feed, "e0", at_(0));
}

static uint32_t wanted_(const struct bw_feed *feed,
			const struct bw_feed_peer *peers)
{
	uint32_t set = 0;
	uint32_t i;

	for (i = 0; i < COUNT; i++)
		set |= (uint32_t)bw_feed_needs_detail(feed, &peers[i]) << i;
	return set;
}

static void test_nearest_alone(void **state)
{
	static const char names[3][BW_NAME_MAX] = { "c1", "c2", "c3" };
	struct bw_feed_peer peers[COUNT];
	struct bw_feed feed;

	(void)state;
	open_(&feed, peers);
	assert_int_equal(wanted_(&feed, peers), 0);
	assert_true(bw_feed_choose(&feed, peers, COUNT, at_(10)));
	assert_string_equal(feed.source, "c0");
	assert_int_equal(wanted_(&feed, peers), 1);
	bw_feed_set_source_peers(&feed, "c0", names, 3);
	assert_int_equal(wanted_(&feed, peers), 1);
	assert_false(bw_feed_choose(&feed, peers, COUNT, at_(500)));
}

static void test_start_waits_for_near(void **state)
{
	struct bw_feed_peer peers[COUNT];
	struct bw_feed feed;

	(void)state;
	open_(&feed, peers);
	peers[0].alive = false;
	assert_false(bw_feed_choose(&feed, peers, COUNT, at_(100)));
	assert_string_equal(feed.source, "");
	assert_true(bw_feed_choose(&feed, peers, COUNT, at_(900)));
	assert_string_equal(feed.source, "c1");
	/* The near one has come up. */
	peers[0].alive = true;
	assert_true(bw_feed_choose(&feed, peers, COUNT, at_(1500)));
	assert_string_equal(feed.source, "c0");
}

static void test_silent_source(void **state)
{
	struct bw_feed_peer peers[COUNT];
	struct bw_feed feed;

	(void)state;
	open_(&feed, peers);
	bw_feed_choose(&feed, peers, COUNT, at_(10));
	peers[0].alive = false;
	assert_true(bw_feed_choose(&feed, peers, COUNT, at_(20)));
	assert_string_equal(feed.source, "c1");
	peers[1].alive = false;
	peers[2].alive = false;
	assert_true(bw_feed_choose(&feed, peers, COUNT, at_(30)));
	assert_string_equal(feed.source, "c3");
	/* With no live one the last stays, and is asked until one answers. */
	peers[3].alive = false;
	assert_false(bw_feed_choose(&feed, peers, COUNT, at_(40)));
	assert_string_equal(feed.source, "c3");
}

static void test_cut_between_control_hosts(void **state)
{
	static const char names[1][BW_NAME_MAX] = { "c1" };
	struct bw_feed_peer peers[COUNT];
	struct bw_feed feed;

	(void)state;
	open_(&feed, peers);
	bw_feed_choose(&feed, peers, COUNT, at_(10));
	bw_feed_set_source_peers(&feed, "c0", names, 1);
	/* c2 and c3 are heard here, but not by the source. */
	assert_int_equal(wanted_(&feed, peers), 1 | 4 | 8);
	peers[3].alive = false;
	assert_int_equal(wanted_(&feed, peers), 1 | 4);
	/* What another host hears says nothing of the source. */
	bw_feed_set_source_peers(&feed, "c2", names, 0);
	assert_int_equal(wanted_(&feed, peers), 1 | 4);
}

/* Hosts without a near control host share the far ones. */
static void test_spread(void **state)
{
	struct bw_feed_peer peers[COUNT];
	uint32_t count[COUNT] = { 0 };
	struct bw_feed feed;
	uint32_t i;

	(void)state;
	for (i = 0; i < 100; i++) {
		open_(&feed, peers);
		snprintf(feed.self, sizeof(feed.self), "10.0.0.%u:80", i);
		peers[0].alive = false;
		peers[1].alive = false;
		bw_feed_choose(&feed, peers, COUNT, at_(1000));
		count[feed.source[1] - '0']++;
	}
	assert_in_range(count[2], 25, 75);
	assert_int_equal(count[2] + count[3], 100);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nearest_alone),
		cmocka_unit_test(test_start_waits_for_near),
		cmocka_unit_test(test_silent_source),
		cmocka_unit_test(test_cut_between_control_hosts),
		cmocka_unit_test(test_spread),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
