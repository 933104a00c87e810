/*
 * When and from whom an entry host fetches a newer configuration. Guards
 * against copies that queue on a slow link, and against hosts that stay behind
 * though a control host offers a newer version.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "bwmember/fetch.h"

#define PEER_COUNT 3
#define TICK_MS 40

static struct bw_fetch fetch;
static struct bw_fetch_peer peers[PEER_COUNT];

static struct bw_time time_at_(int64_t ms)
{
	struct bw_time time = { 50000 + ms };

	return time;
}

/* Control hosts c0 (the feed), c1 (same region) and c2 (leader, far away), all
 * with version 1. */
static int set_up_(void **state)
{
	static const char *const names[PEER_COUNT] = { "c0", "c1", "c2" };
	uint32_t i;

	(void)state;
	for (i = 0; i < PEER_COUNT; i++) {
		peers[i].name = names[i];
		peers[i].distance = (enum bw_feed_distance)i;
		peers[i].alive = true;
		peers[i].feed = i == 0;
		peers[i].version = 1;
	}
	bw_fetch_init(&fetch, "e0");
	return 0;
}

/* Returns the control host that is asked at a time; "" for none. */
static const char *ask_(uint64_t version, int64_t ms)
{
	const struct bw_fetch_peer *peer =
		bw_fetch_next(&fetch, peers, PEER_COUNT, version, time_at_(ms));

	return peer ? peer->name : "";
}

/* Counts the fetches of a host that ticks from one time to another. */
static uint32_t count_(uint64_t version, int64_t from_ms, int64_t to_ms)
{
	uint32_t count = 0;
	int64_t ms;

	for (ms = from_ms; ms < to_ms; ms += TICK_MS)
		count += ask_(version, ms)[0] != '\0';
	return count;
}

static void test_no_fetch_without_newer_version(void **state)
{
	(void)state;
	assert_int_equal(count_(1, 0, 10000), 0);
	assert_false(fetch.behind);
}

static void test_feed_is_asked_first(void **state)
{
	(void)state;
	peers[2].version = 2;
	assert_string_equal(ask_(1, 0), "");
	assert_true(fetch.behind);
	peers[0].version = 2;
	assert_string_equal(ask_(1, 80), "c0");
}

/* Guards against a host that waits for the next status of another control host
 * while its feed lags. */
static void test_lagging_feed_is_passed_over(void **state)
{
	(void)state;
	peers[2].version = 2;
	assert_string_equal(ask_(1, 0), "");
	assert_string_equal(ask_(1, 160), "");
	assert_string_equal(ask_(1, 200), "c2");
}

static void test_start_without_configuration(void **state)
{
	(void)state;
	assert_string_equal(ask_(0, 0), "c0");
	set_up_(NULL);
	peers[0].version = 0;
	assert_string_equal(ask_(0, 0), "c1");
}

/* Guards against a wait that begins again with each version of a series. */
static void test_wait_continues_during_a_series(void **state)
{
	(void)state;
	peers[2].version = 2;
	ask_(1, 0);
	assert_string_equal(ask_(1, 200), "c2");
	peers[2].version = 4;
	bw_fetch_received(&fetch, true, time_at_(300));
	assert_string_equal(ask_(2, 300), "c2");
	bw_fetch_received(&fetch, true, time_at_(400));
	assert_string_equal(ask_(4, 400), "");
	assert_false(fetch.behind);
	peers[2].version = 5;
	assert_string_equal(ask_(4, 500), "");
	assert_string_equal(ask_(4, 700), "c2");
}

/* Guards against copies of the same text on a slow link. */
static void test_time_out_doubles(void **state)
{
	(void)state;
	peers[0].version = 2;
	assert_string_equal(ask_(1, 0), "c0");
	assert_string_equal(ask_(1, 299), "");
	assert_string_equal(ask_(1, 300), "c0");
	assert_string_equal(ask_(1, 899), "");
	assert_string_equal(ask_(1, 900), "c0");
	assert_string_equal(ask_(1, 2099), "");
	assert_string_equal(ask_(1, 2100), "c0");
	assert_string_equal(ask_(1, 4499), "");
	assert_string_equal(ask_(1, 4500), "c0");
	assert_string_equal(ask_(1, 6900), "c0");
}

/* Guards against a fetch for each announced version. */
static void test_series_during_a_fetch(void **state)
{
	uint32_t count = 0;
	int64_t ms;

	(void)state;
	for (ms = 0; ms < 300; ms += TICK_MS) {
		peers[0].version++;
		count += ask_(1, ms)[0] != '\0';
	}
	assert_int_equal(count, 1);
	/* The text that arrives is older than the newest version. */
	bw_fetch_received(&fetch, true, time_at_(290));
	assert_string_equal(ask_(2, 290), "c0");
}

/* Guards against new copies for each version on a link that takes longer than
 * the first time-out. */
static void test_time_out_follows_the_link(void **state)
{
	(void)state;
	peers[0].version = 2;
	assert_int_equal(count_(1, 0, 1400), 3);
	bw_fetch_received(&fetch, true, time_at_(1400));
	peers[0].version = 3;
	/* Two copies are still on their way. */
	assert_string_equal(ask_(2, 1400), "");
	bw_fetch_received(&fetch, true, time_at_(2800));
	bw_fetch_received(&fetch, false, time_at_(4200));
	peers[0].version = 4;
	assert_int_equal(count_(3, 4200, 5600), 1);
	bw_fetch_received(&fetch, true, time_at_(5600));
	peers[0].version = 5;
	assert_int_equal(count_(4, 5600, 7000), 1);
}

static void test_lost_control_host_is_replaced(void **state)
{
	(void)state;
	peers[0].version = 2;
	peers[1].version = 2;
	peers[2].version = 2;
	assert_string_equal(ask_(1, 0), "c0");
	peers[0].alive = false;
	assert_string_equal(ask_(1, 40), "c1");
	assert_string_equal(ask_(1, 80), "");
	peers[1].alive = false;
	assert_string_equal(ask_(1, 120), "c2");
	peers[2].alive = false;
	assert_int_equal(count_(1, 160, 5000), 0);
}

/* Guards against requests without pause to a control host that sends less than
 * it announces. */
static void test_old_text_does_not_repeat_the_fetch(void **state)
{
	uint32_t count = 0;
	int64_t ms;

	(void)state;
	peers[0].version = 2;
	for (ms = 0; ms < 3000; ms += 10) {
		count += ask_(1, ms)[0] != '\0';
		bw_fetch_received(&fetch, false, time_at_(ms));
	}
	assert_in_range(count, 2, 10);
}

/* Guards against entry hosts that all ask the same control host. */
static void test_equal_distances_are_spread(void **state)
{
	uint32_t count = 0;
	uint32_t i;

	(void)state;
	for (i = 0; i < 100; i++) {
		char name[BW_NAME_MAX];

		snprintf(name, sizeof(name), "10.0.0.%u:80", i);
		set_up_(NULL);
		bw_fetch_init(&fetch, name);
		peers[1].distance = peers[2].distance;
		peers[1].version = 2;
		peers[2].version = 2;
		ask_(1, 0);
		count += !strcmp(ask_(1, 200), "c1");
	}
	assert_in_range(count, 25, 75);
}

/* Guards against a host that stays behind because one control host, alive but
 * without answers, is asked again and again. */
static void test_silent_feed_is_passed_over(void **state)
{
	bool asked_other = false;
	int64_t ms;

	(void)state;
	peers[0].version = 2;
	peers[1].version = 2;
	peers[2].version = 2;
	for (ms = 0; ms < 10000; ms += TICK_MS) {
		const char *name = ask_(1, ms);

		asked_other = asked_other || (name[0] && strcmp(name, "c0"));
	}
	assert_true(asked_other);
}

/* The same with control hosts that are not the feed. */
static void test_silent_control_host_is_passed_over(void **state)
{
	bool asked_other = false;
	int64_t ms;

	(void)state;
	peers[1].version = 2;
	peers[2].version = 2;
	for (ms = 0; ms < 10000; ms += TICK_MS) {
		const char *name = ask_(1, ms);

		asked_other = asked_other || (name[0] && strcmp(name, "c1"));
	}
	assert_true(asked_other);
}

/* Guards against fetches that a lost control host never answered and that delay
 * the next version although another control host has answered. */
static void test_lost_fetches_do_not_delay_the_next_version(void **state)
{
	int64_t ms;

	(void)state;
	peers[0].version = 2;
	peers[1].version = 2;
	for (ms = 0; ms < 1760; ms += TICK_MS)
		ask_(1, ms);
	peers[0].alive = false;
	peers[0].feed = false;
	peers[1].feed = true;
	assert_string_equal(ask_(1, 1760), "c1");
	bw_fetch_received(&fetch, true, time_at_(1860));
	assert_string_equal(ask_(2, 1860), "");
	peers[1].version = 3;
	assert_string_equal(ask_(2, 1900), "c1");
}

/* Guards against a second source while the first one still sends. */
static void test_parts_keep_the_source(void **state)
{
	int64_t ms;

	(void)state;
	peers[0].version = 2;
	peers[1].version = 2;
	assert_string_equal(ask_(1, 0), "c0");
	for (ms = 200; ms < 4000; ms += 200) {
		bw_fetch_progressed(&fetch, time_at_(ms));
		assert_string_equal(ask_(1, ms + 40), "");
	}
	assert_string_equal(ask_(1, ms + BW_FETCH_TIMEOUT_MIN_MS), "c1");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_no_fetch_without_newer_version,
				       set_up_),
		cmocka_unit_test_setup(test_feed_is_asked_first, set_up_),
		cmocka_unit_test_setup(test_lagging_feed_is_passed_over,
				       set_up_),
		cmocka_unit_test_setup(test_start_without_configuration,
				       set_up_),
		cmocka_unit_test_setup(test_wait_continues_during_a_series,
				       set_up_),
		cmocka_unit_test_setup(test_time_out_doubles, set_up_),
		cmocka_unit_test_setup(test_series_during_a_fetch, set_up_),
		cmocka_unit_test_setup(test_time_out_follows_the_link, set_up_),
		cmocka_unit_test_setup(test_lost_control_host_is_replaced,
				       set_up_),
		cmocka_unit_test_setup(test_old_text_does_not_repeat_the_fetch,
				       set_up_),
		cmocka_unit_test_setup(test_equal_distances_are_spread,
				       set_up_),
		cmocka_unit_test_setup(test_silent_feed_is_passed_over,
				       set_up_),
		cmocka_unit_test_setup(test_silent_control_host_is_passed_over,
				       set_up_),
		cmocka_unit_test_setup(
			test_lost_fetches_do_not_delay_the_next_version,
			set_up_),
		cmocka_unit_test_setup(test_parts_keep_the_source, set_up_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
