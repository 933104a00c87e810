#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwbase/codec.h"
#include "fleet.h"
#include "private/delta.h"

#define DELTA_ROUNDS 2000
#define CORRUPTION_ROUNDS 20000

static void fill_random_(struct bw_random *random, uint8_t *bytes,
			 uint32_t size)
{
	uint32_t i;

	for (i = 0; i < size; i++)
		bytes[i] = (uint8_t)bw_random_below(random, 4);
}

/* Builds a content from random ranges of the old one and random bytes. */
static uint32_t edit_content_(struct bw_random *random,
			      const uint8_t *old_bytes, uint32_t old_size,
			      uint8_t *new_bytes, uint32_t capacity_bytes)
{
	uint32_t size = 0;
	uint32_t from;
	uint32_t count;
	uint32_t range_count = (uint32_t)bw_random_below(random, 6);

	while (range_count--) {
		from = (uint32_t)bw_random_below(random, old_size + 1);
		count = (uint32_t)bw_random_below(random, old_size - from + 1);
		if (size + count + 16 > capacity_bytes)
			break;
		memcpy(new_bytes + size, old_bytes + from, count);
		size += count;
		count = (uint32_t)bw_random_below(random, 16);
		fill_random_(random, new_bytes + size, count);
		size += count;
	}
	return size;
}

/* Guards against a delta that does not reproduce the new content. */
static void test_delta_round_trip(void **state)
{
	static uint8_t old_bytes[4096];
	static uint8_t new_bytes[16384];
	struct bw_buffer delta = { 0 };
	struct bw_buffer result = { 0 };
	struct bw_random random;
	uint32_t old_size;
	uint32_t new_size;
	int i;

	(void)state;
	bw_random_init(&random, 7);
	for (i = 0; i < DELTA_ROUNDS; i++) {
		old_size = (uint32_t)bw_random_below(&random, 4096);
		fill_random_(&random, old_bytes, old_size);
		new_size = edit_content_(&random, old_bytes, old_size,
					 new_bytes, sizeof(new_bytes));
		bw_buffer_clear(&delta);
		bw_buffer_clear(&result);
		assert_int_equal(delta_encode(old_bytes, old_size, new_bytes,
					      new_size, 100000, &delta),
				 BW_OK);
		assert_int_equal(delta_apply(old_bytes, old_size, delta.data,
					     delta.size_bytes, new_size,
					     &result),
				 BW_OK);
		assert_int_equal(result.size_bytes, new_size);
		if (new_size)
			assert_memory_equal(result.data, new_bytes, new_size);
	}
	bw_buffer_finish(&delta);
	bw_buffer_finish(&result);
}

/* Guards against a forged delta that reads outside the old content or
 * produces more than the stated size. */
static void test_delta_rejects_forged_ranges(void **state)
{
	static const struct {
		uint64_t offset;
		uint64_t size;
		uint32_t new_size;
	} forged[] = { { 10, 1, 1 },	     { 0, 11, 11 },
		       { 5, UINT64_MAX, 4 }, { UINT64_MAX, 1, 1 },
		       { 0, 10, 9 },	     { 0, 5, 6 } };
	static const uint8_t old_bytes[10];
	struct bw_buffer delta = { 0 };
	struct bw_buffer result = { 0 };
	struct bw_writer writer;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(forged) / sizeof(*forged); i++) {
		bw_buffer_clear(&delta);
		bw_buffer_clear(&result);
		bw_writer_init(&writer, &delta);
		bw_write_array(&writer, 3);
		bw_write_uint(&writer, forged[i].offset);
		bw_write_uint(&writer, forged[i].size);
		bw_write_bin(&writer, NULL, 0);
		assert_int_equal(delta_apply(old_bytes, 10, delta.data,
					     delta.size_bytes,
					     forged[i].new_size, &result),
				 BW_EINVAL);
	}
	bw_buffer_finish(&delta);
	bw_buffer_finish(&result);
}

/** Captured packets, to be corrupted. */
struct capture {
	struct bw_packet packets[256];
	uint32_t count;
};

static bool capture_packet_(struct fleet *fleet, uint32_t from, uint32_t to,
			    const struct bw_packet *packet)
{
	struct capture *capture = fleet->context;
	struct bw_packet *copy;

	(void)to;
	if (capture->count == 256 || bw_random_below(&fleet->random, 3))
		return true;
	copy = &capture->packets[capture->count++];
	*copy = *packet;
	bw_name_set(copy->peer, fleet->hosts[from].name);
	copy->data = malloc(packet->size_bytes);
	assert_non_null(copy->data);
	memcpy(copy->data, packet->data, packet->size_bytes);
	return true;
}

/* Guards against corrupt packets that crash a decoder (run it with
 * BW_SANITIZE) or change a document in force. */
static void test_corrupt_packets(void **state)
{
	static struct capture capture;
	struct fleet fleet;
	struct bw_outbox out;
	struct bw_packet packet;
	uint8_t bytes[70000];
	uint32_t at;
	int i;

	(void)state;
	fleet_init(&fleet, 3, 2);
	fleet.context = &capture;
	fleet.filter = capture_packet_;
	for (i = 0; i < 6; i++)
		fleet_add(&fleet, (uint32_t)i % 2, i < 2, i < 4);
	for (i = 0; i < 6; i++)
		fleet_start(&fleet, (uint32_t)i, 0);
	bw_distribute_publish(&fleet.hosts[0].distribute, BW_DOCUMENT_SHEET, 1,
			      bytes, 0, fleet.now);
	fleet_run(&fleet, 8000);
	assert_true(capture.count > 100);
	bw_outbox_init(&out, 100000);
	for (i = 0; i < CORRUPTION_ROUNDS; i++) {
		packet = capture.packets[bw_random_below(&fleet.random,
							 capture.count)];
		assert_true(packet.size_bytes <= sizeof(bytes));
		memcpy(bytes, packet.data, packet.size_bytes);
		packet.data = bytes;
		for (at = 0; at < 1 + (uint32_t)i % 3; at++)
			bytes[bw_random_below(&fleet.random,
					      packet.size_bytes)] =
				(uint8_t)bw_random_next(&fleet.random);
		if (packet.channel == BW_CHANNEL_MEMBER)
			bw_member_receive(&fleet.hosts[5].member, &packet,
					  fleet.now, &out);
		else if (packet.channel == BW_CHANNEL_SUMMARY)
			bw_aggregator_receive(&fleet.hosts[5].aggregator,
					      &packet, fleet.now, &out);
		else
			bw_distribute_receive(&fleet.hosts[5].distribute,
					      &packet, fleet.now, &out);
		bw_outbox_clear(&out);
	}
	assert_int_equal(bw_distribute_number(&fleet.hosts[5].distribute,
					      BW_DOCUMENT_SHEET),
			 1);
	bw_outbox_finish(&out);
	for (at = 0; at < capture.count; at++)
		free(capture.packets[at].data);
	fleet_finish(&fleet);
}

/* Guards against a document of the maximum size that does not fit the packets,
 * and against a small change that is sent as a full copy. */
static void test_largest_document(void **state)
{
	uint8_t *bytes = calloc(1, BW_DOCUMENT_MAX_BYTES);
	struct bw_random random;
	struct fleet fleet;
	struct fleet_host *last;
	const uint8_t *content;
	uint32_t size;
	uint32_t i;

	(void)state;
	assert_non_null(bytes);
	bw_random_init(&random, 5);
	for (i = 0; i < BW_DOCUMENT_MAX_BYTES; i++)
		bytes[i] = (uint8_t)bw_random_next(&random);
	fleet_init(&fleet, 3, 1);
	for (i = 0; i < 3; i++)
		fleet_add(&fleet, 0, i == 0, true);
	for (i = 0; i < 3; i++)
		fleet_start(&fleet, i, 0);
	last = &fleet.hosts[2];
	fleet_run(&fleet, 5000);
	assert_int_equal(bw_distribute_publish(&fleet.hosts[0].distribute,
					       BW_DOCUMENT_SHEET, 1, bytes,
					       BW_DOCUMENT_MAX_BYTES + 1,
					       fleet.now),
			 BW_EFULL);
	assert_int_equal(bw_distribute_publish(
				 &fleet.hosts[0].distribute, BW_DOCUMENT_SHEET,
				 1, bytes, BW_DOCUMENT_MAX_BYTES, fleet.now),
			 BW_OK);
	fleet_run(&fleet, 120000);
	content = bw_distribute_content(&last->distribute, BW_DOCUMENT_SHEET,
					&size);
	assert_int_equal(size, BW_DOCUMENT_MAX_BYTES);
	assert_memory_equal(content, bytes, size);
	bytes[5000000]++;
	bw_distribute_publish(&fleet.hosts[0].distribute, BW_DOCUMENT_SHEET, 2,
			      bytes, BW_DOCUMENT_MAX_BYTES, fleet.now);
	fleet_run(&fleet, 3000);
	assert_int_equal(
		bw_distribute_number(&last->distribute, BW_DOCUMENT_SHEET), 2);
	assert_int_equal(last->distribute.stats.delta_applied_count, 1);
	fleet_finish(&fleet);
	free(bytes);
}

/* Guards against tombstones that never expire or that hosts keep exchanging. */
static void test_tombstones_expire(void **state)
{
	struct fleet fleet;
	uint32_t i;

	(void)state;
	fleet_init(&fleet, 9, 1);
	fleet.member_only = true;
	for (i = 0; i < 6; i++)
		fleet_add(&fleet, 0, false, i == 0);
	for (i = 0; i < 6; i++)
		fleet_start(&fleet, i, 0);
	for (i = 0; i < 6; i++)
		fleet.hosts[i].member.config.tombstone_ms = 20000 + 3000 * i;
	fleet_run(&fleet, 3000);
	fleet_crash(&fleet, 5);
	fleet_run(&fleet, 15000);
	assert_non_null(
		bw_member_find(&fleet.hosts[0].member, fleet.hosts[5].name));
	fleet_run(&fleet, 60000);
	for (i = 0; i < 5; i++)
		assert_null(bw_member_find(&fleet.hosts[i].member,
					   fleet.hosts[5].name));
	fleet_finish(&fleet);
}

/* Guards against a control host that serves far more failure domains than the
 * mean of 216 domains on 18 control hosts. */
static void test_rendezvous_spread(void **state)
{
	static struct bw_member member;
	struct bw_aggregator_config config = { .member = &member };
	struct bw_aggregator aggregator;
	struct bw_time now = { 0 };
	uint32_t served[18] = { 0 };
	uint32_t max_served = 0;
	char name[BW_NAME_MAX];
	uint32_t i;

	(void)state;
	assert_int_equal(bw_aggregator_init(&aggregator, &config, now), BW_OK);
	for (i = 0; i < 18; i++) {
		bw_name_set(aggregator.controls[i].name, "");
		snprintf(aggregator.controls[i].name, BW_NAME_MAX, "control-%u",
			 i);
	}
	aggregator.control_count = 18;
	for (i = 0; i < 216; i++) {
		snprintf(member.config.self.domain, BW_NAME_MAX, "domain-%u",
			 i);
		bw_name_set(name, bw_aggregator_ranked_control(&aggregator, 0));
		assert_string_not_equal(
			name, bw_aggregator_ranked_control(&aggregator, 1));
		served[strtoul(name + 8, NULL, 10)]++;
	}
	for (i = 0; i < 18; i++)
		max_served = served[i] > max_served ? served[i] : max_served;
	printf("216 domains on 18 control hosts: at most %u each\n",
	       max_served);
	assert_true(max_served <= 24);
	bw_aggregator_finish(&aggregator);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_delta_round_trip),
		cmocka_unit_test(test_delta_rejects_forged_ranges),
		cmocka_unit_test(test_corrupt_packets),
		cmocka_unit_test(test_largest_document),
		cmocka_unit_test(test_tombstones_expire),
		cmocka_unit_test(test_rendezvous_spread),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
