/*
 * Selection of the control host that sends full detail. Guards against entry
 * hosts that get full detail from every control host, that keep a failed
 * source, or that miss the detail of a control host that the source cannot
 * reach.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwmember/feed.h"

#define PEER_COUNT 4

static struct bw_time time_at_(int64_t ms)
{
	struct bw_time time = { 50000 + ms };

	return time;
}

/* Control hosts c0 (own domain), c1 (own region), c2 and c3 (others). */
static void init_feed_(struct bw_feed *feed, struct bw_feed_peer *peers)
{
	static const enum bw_feed_distance distance[PEER_COUNT] = {
		BW_FEED_SAME_DOMAIN, BW_FEED_SAME_REGION, BW_FEED_OTHER_REGION,
		BW_FEED_OTHER_REGION
	};
	uint32_t i;

	memset(peers, 0, PEER_COUNT * sizeof(*peers));
	for (i = 0; i < PEER_COUNT; i++) {
		snprintf(peers[i].name, sizeof(peers[i].name), "c%u", i);
		peers[i].distance = distance[i];
		peers[i].alive = true;
	}
	bw_feed_init(feed, "e0", time_at_(0));
}

static uint32_t detail_mask_(const struct bw_feed *feed,
			     const struct bw_feed_peer *peers)
{
	uint32_t mask = 0;
	uint32_t i;

	for (i = 0; i < PEER_COUNT; i++)
		mask |= (uint32_t)bw_feed_needs_detail(feed, &peers[i]) << i;
	return mask;
}

static void test_only_nearest_sends_detail(void **state)
{
	static const char names[3][BW_NAME_MAX] = { "c1", "c2", "c3" };
	struct bw_feed_peer peers[PEER_COUNT];
	struct bw_feed feed;

	(void)state;
	init_feed_(&feed, peers);
	assert_int_equal(detail_mask_(&feed, peers), 0);
	assert_true(bw_feed_choose(&feed, peers, PEER_COUNT, time_at_(10)));
	assert_string_equal(feed.source, "c0");
	assert_int_equal(detail_mask_(&feed, peers), 1);
	bw_feed_set_source_peers(&feed, "c0", names, 3);
	assert_int_equal(detail_mask_(&feed, peers), 1);
	assert_false(bw_feed_choose(&feed, peers, PEER_COUNT, time_at_(500)));
}

/* Guards against a host that selects a distant control host at its start,
 * before it has learned of the one in its own failure domain, or that keeps
 * this source afterwards. */
static void test_start_waits_for_same_domain(void **state)
{
	struct bw_feed_peer peers[PEER_COUNT];
	struct bw_feed feed;

	(void)state;
	init_feed_(&feed, peers);
	peers[0].alive = false;
	assert_false(bw_feed_choose(&feed, peers, PEER_COUNT, time_at_(100)));
	assert_string_equal(feed.source, "");
	assert_true(bw_feed_choose(&feed, peers, PEER_COUNT, time_at_(900)));
	assert_string_equal(feed.source, "c1");
	/* The control host of the own failure domain starts. */
	peers[0].alive = true;
	assert_true(bw_feed_choose(&feed, peers, PEER_COUNT, time_at_(1500)));
	assert_string_equal(feed.source, "c0");
}

static void test_silent_source_is_replaced(void **state)
{
	struct bw_feed_peer peers[PEER_COUNT];
	struct bw_feed feed;

	(void)state;
	init_feed_(&feed, peers);
	bw_feed_choose(&feed, peers, PEER_COUNT, time_at_(10));
	peers[0].alive = false;
	assert_true(bw_feed_choose(&feed, peers, PEER_COUNT, time_at_(20)));
	assert_string_equal(feed.source, "c1");
	peers[1].alive = false;
	peers[2].alive = false;
	assert_true(bw_feed_choose(&feed, peers, PEER_COUNT, time_at_(30)));
	assert_string_equal(feed.source, "c3");
	/* Without a live control host the last source still gets requests. */
	peers[3].alive = false;
	assert_false(bw_feed_choose(&feed, peers, PEER_COUNT, time_at_(40)));
	assert_string_equal(feed.source, "c3");
}

static void test_partition_between_control_hosts(void **state)
{
	static const char names[1][BW_NAME_MAX] = { "c1" };
	struct bw_feed_peer peers[PEER_COUNT];
	struct bw_feed feed;

	(void)state;
	init_feed_(&feed, peers);
	bw_feed_choose(&feed, peers, PEER_COUNT, time_at_(10));
	bw_feed_set_source_peers(&feed, "c0", names, 1);
	/* c2 and c3 are live here, but not at the source. */
	assert_int_equal(detail_mask_(&feed, peers), 1 | 4 | 8);
	peers[3].alive = false;
	assert_int_equal(detail_mask_(&feed, peers), 1 | 4);
	/* The list of a control host other than the source is ignored. */
	bw_feed_set_source_peers(&feed, "c2", names, 0);
	assert_int_equal(detail_mask_(&feed, peers), 1 | 4);
}

/* Guards against hosts that all select the same one of several control hosts
 * at equal distance. */
static void test_equal_distances_are_spread(void **state)
{
	struct bw_feed_peer peers[PEER_COUNT];
	uint32_t count[PEER_COUNT] = { 0 };
	struct bw_feed feed;
	uint32_t i;

	(void)state;
	for (i = 0; i < 100; i++) {
		init_feed_(&feed, peers);
		snprintf(feed.self, sizeof(feed.self), "10.0.0.%u:80", i);
		peers[0].alive = false;
		peers[1].alive = false;
		bw_feed_choose(&feed, peers, PEER_COUNT, time_at_(1000));
		count[feed.source[1] - '0']++;
	}
	assert_in_range(count[2], 25, 75);
	assert_int_equal(count[2] + count[3], 100);
}

/* Control hosts c0, c1, ... of three regions; c0 is in the own domain. */
#define FLEET_CONTROLS 27

static void init_fleet_(struct bw_feed *feed, struct bw_feed_peer *peers)
{
	uint32_t i;

	memset(peers, 0, FLEET_CONTROLS * sizeof(*peers));
	for (i = 0; i < FLEET_CONTROLS; i++) {
		snprintf(peers[i].name, sizeof(peers[i].name), "c%u", i);
		peers[i].region = i % 3;
		peers[i].distance = BW_FEED_OTHER_REGION;
		if (i % 3 == 0)
			peers[i].distance = i % 9 ? BW_FEED_SAME_REGION
						  : BW_FEED_SAME_DOMAIN;
		peers[i].alive = true;
	}
	bw_feed_init(feed, "e0", time_at_(0));
}

static uint32_t count_contacts_(const bool *contact, uint32_t *regions)
{
	uint32_t count = 0;
	uint32_t i;

	*regions = 0;
	for (i = 0; i < FLEET_CONTROLS; i++) {
		count += contact[i];
		if (contact[i])
			*regions |= 1U << (i % 3);
	}
	return count;
}

/* Guards against entry hosts that talk to each control host of a large fleet,
 * or only to those of one region. */
static void test_contacts_are_few_and_in_all_regions(void **state)
{
	struct bw_feed_peer peers[FLEET_CONTROLS];
	bool contact[FLEET_CONTROLS];
	struct bw_feed feed;
	uint32_t regions;

	(void)state;
	init_fleet_(&feed, peers);
	bw_feed_contacts(&feed, peers, FLEET_CONTROLS, contact);
	assert_int_equal(count_contacts_(contact, &regions),
			 BW_FEED_FIRST_CONTACTS);
	bw_feed_choose(&feed, peers, FLEET_CONTROLS, time_at_(10));
	bw_feed_contacts(&feed, peers, FLEET_CONTROLS, contact);
	assert_int_equal(count_contacts_(contact, &regions), BW_FEED_CONTACTS);
	assert_int_equal(regions, 7);
	assert_true(contact[atoi(feed.source + 1)]);
}

/* Guards against a host that keeps calling control hosts that are lost, while
 * others would respond. */
static void test_silent_contacts_give_way(void **state)
{
	struct bw_feed_peer peers[FLEET_CONTROLS];
	bool contact[FLEET_CONTROLS];
	struct bw_feed feed;
	uint32_t regions;
	uint32_t i;

	(void)state;
	init_fleet_(&feed, peers);
	bw_feed_choose(&feed, peers, FLEET_CONTROLS, time_at_(10));
	/* A region does not respond. */
	for (i = 1; i < FLEET_CONTROLS; i += 3) {
		peers[i].alive = false;
		peers[i].avoided = true;
	}
	bw_feed_contacts(&feed, peers, FLEET_CONTROLS, contact);
	assert_int_equal(count_contacts_(contact, &regions), BW_FEED_CONTACTS);
	assert_int_equal(regions, 5);
	/* With nothing else left, they are tried again. */
	for (i = 0; i < FLEET_CONTROLS; i++)
		peers[i].avoided = true;
	bw_feed_contacts(&feed, peers, FLEET_CONTROLS, contact);
	assert_int_equal(count_contacts_(contact, &regions), BW_FEED_CONTACTS);
	assert_int_equal(regions, 7);
}

/* Guards against a host whose contacts are all on one side of a partition
 * between control hosts, so that it takes the servers that announce themselves
 * to the other side for lost. */
static void test_contacts_include_one_that_the_source_misses(void **state)
{
	struct bw_feed_peer peers[FLEET_CONTROLS];
	char names[FLEET_CONTROLS][BW_NAME_MAX];
	bool contact[FLEET_CONTROLS];
	struct bw_feed feed;
	uint32_t count = 0;
	uint32_t i;

	(void)state;
	init_fleet_(&feed, peers);
	bw_feed_choose(&feed, peers, FLEET_CONTROLS, time_at_(10));
	for (i = 0; i < FLEET_CONTROLS; i++) {
		if (i != 20)
			bw_name_set(names[count++], peers[i].name);
	}
	bw_feed_set_source_peers(&feed, feed.source,
				 (const char(*)[BW_NAME_MAX])(void *)names,
				 count);
	bw_feed_contacts(&feed, peers, FLEET_CONTROLS, contact);
	assert_true(contact[20]);
	assert_true(bw_feed_needs_detail(&feed, &peers[20]));
	peers[20].avoided = true;
	bw_feed_contacts(&feed, peers, FLEET_CONTROLS, contact);
	assert_false(contact[20]);
}

/* Guards against a host that follows a control host which is cut off from most
 * voters, while another one is current. */
static void test_outdated_source_is_replaced(void **state)
{
	struct bw_feed_peer peers[PEER_COUNT];
	struct bw_feed feed;

	(void)state;
	init_feed_(&feed, peers);
	bw_feed_choose(&feed, peers, PEER_COUNT, time_at_(10));
	assert_string_equal(feed.source, "c0");
	peers[0].outdated = true;
	assert_true(bw_feed_choose(&feed, peers, PEER_COUNT, time_at_(20)));
	assert_string_equal(feed.source, "c1");
	peers[0].outdated = false;
	assert_true(bw_feed_choose(&feed, peers, PEER_COUNT, time_at_(30)));
	assert_string_equal(feed.source, "c0");
	/* While all are cut off, it stays. */
	peers[0].outdated = true;
	peers[1].outdated = true;
	peers[2].outdated = true;
	peers[3].outdated = true;
	assert_false(bw_feed_choose(&feed, peers, PEER_COUNT, time_at_(40)));
}

/* Says of each contact on a side (a bit set) that it is cut off. @return how
 * many contacts are on the other side */
static uint32_t note_cut_off_(struct bw_feed_peer *peers, const bool *contact,
			      uint32_t side)
{
	uint32_t others = 0;
	uint32_t i;

	for (i = 0; i < FLEET_CONTROLS; i++) {
		if (contact[i] && (side & (1U << i)))
			peers[i].cut_off = true;
		others += contact[i] && !(side & (1U << i));
	}
	return others;
}

/* Guards against a host that is not told of departures, because all control
 * hosts that it talks to are cut off from most voters. */
static void test_contacts_that_are_cut_off_give_way(void **state)
{
	struct bw_feed_peer peers[FLEET_CONTROLS];
	bool contact[FLEET_CONTROLS];
	struct bw_feed feed;
	uint32_t regions;
	uint32_t host;
	uint32_t round;

	(void)state;
	for (host = 0; host < 200; host++) {
		/* The own domain, and half of the others. */
		uint32_t side = (0x2492492U * (host + 1)) | 0x40201U;

		side &= ~(1U << (host % 2 ? 4 : 5));
		init_fleet_(&feed, peers);
		snprintf(feed.self, sizeof(feed.self), "10.0.0.%u:80", host);
		bw_feed_choose(&feed, peers, FLEET_CONTROLS, time_at_(10));
		for (round = 0; round < 9; round++) {
			bw_feed_contacts(&feed, peers, FLEET_CONTROLS, contact);
			if (note_cut_off_(peers, contact, side))
				break;
		}
		assert_in_range(round, 0, 8);
		assert_true(contact[atoi(feed.source + 1)]);
	}
	/* With nothing else left, they are contacts all the same. */
	for (host = 0; host < FLEET_CONTROLS; host++)
		peers[host].cut_off = true;
	bw_feed_contacts(&feed, peers, FLEET_CONTROLS, contact);
	assert_int_equal(count_contacts_(contact, &regions), BW_FEED_CONTACTS);
	assert_int_equal(regions, 7);
}

/* Guards against contacts that change twice each time that one of them does not
 * respond for a while. */
static void test_contacts_stay(void **state)
{
	struct bw_feed_peer peers[FLEET_CONTROLS];
	bool contact[FLEET_CONTROLS];
	bool after[FLEET_CONTROLS];
	struct bw_feed feed;
	uint32_t left = 0;
	uint32_t i;

	(void)state;
	init_fleet_(&feed, peers);
	bw_feed_choose(&feed, peers, FLEET_CONTROLS, time_at_(10));
	bw_feed_contacts(&feed, peers, FLEET_CONTROLS, contact);
	while (!contact[left] || !strcmp(feed.source, peers[left].name))
		left++;
	peers[left].avoided = true;
	bw_feed_contacts(&feed, peers, FLEET_CONTROLS, contact);
	assert_false(contact[left]);
	for (i = 0; i < FLEET_CONTROLS; i++)
		peers[i].contact = contact[i];
	peers[left].avoided = false;
	bw_feed_contacts(&feed, peers, FLEET_CONTROLS, after);
	assert_memory_equal(after, contact, sizeof(contact));
}

/* Guards against a host that compares all servers with one cut off control host
 * after the other. */
static void test_contact_that_the_source_misses_may_be_cut_off(void **state)
{
	static const char names[1][BW_NAME_MAX] = { "c1" };
	struct bw_feed_peer peers[FLEET_CONTROLS];
	bool before[FLEET_CONTROLS];
	bool contact[FLEET_CONTROLS];
	struct bw_feed feed;
	uint32_t kept = 0;
	uint32_t i;

	(void)state;
	init_fleet_(&feed, peers);
	bw_feed_choose(&feed, peers, FLEET_CONTROLS, time_at_(10));
	bw_feed_set_source_peers(&feed, feed.source, names, 1);
	bw_feed_contacts(&feed, peers, FLEET_CONTROLS, before);
	note_cut_off_(peers, before, UINT32_MAX);
	bw_feed_contacts(&feed, peers, FLEET_CONTROLS, contact);
	for (i = 0; i < FLEET_CONTROLS; i++)
		kept += before[i] && contact[i];
	assert_int_equal(kept, 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_only_nearest_sends_detail),
		cmocka_unit_test(test_start_waits_for_same_domain),
		cmocka_unit_test(test_silent_source_is_replaced),
		cmocka_unit_test(test_partition_between_control_hosts),
		cmocka_unit_test(test_equal_distances_are_spread),
		cmocka_unit_test(test_contacts_are_few_and_in_all_regions),
		cmocka_unit_test(test_silent_contacts_give_way),
		cmocka_unit_test(
			test_contacts_include_one_that_the_source_misses),
		cmocka_unit_test(test_outdated_source_is_replaced),
		cmocka_unit_test(test_contacts_that_are_cut_off_give_way),
		cmocka_unit_test(test_contacts_stay),
		cmocka_unit_test(
			test_contact_that_the_source_misses_may_be_cut_off),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
