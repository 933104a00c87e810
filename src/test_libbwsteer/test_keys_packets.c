/* Tests of request keys with damaged or forged packets. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "bwbase/random.h"
#include "bwsteer/keys.h"
#include "private/keys_store.h"

#define START_MS 5000
#define WALL_MS INT64_C(1796000000000)

static void load_chart_(struct bw_chart *chart)
{
	struct bw_yaml_error error;

	assert_int_equal(bw_chart_load(chart, "charts/request_key.yaml",
				       &bw_keys_chart_names, &error),
			 BW_OK);
}

static void init_(struct bw_keys *keys, const struct bw_chart *chart,
		  const char *host, uint64_t incarnation)
{
	struct bw_keys_config config;
	struct bw_time now = { START_MS };

	bw_keys_config_default(&config);
	bw_name_set(config.host, host);
	config.incarnation = incarnation;
	config.chart = chart;
	config.wall_ms = WALL_MS;
	assert_int_equal(bw_keys_init(keys, &config, now), BW_OK);
}

/* Guards against a damaged packet that crashes the host or adds records. */
static void test_damaged_packets(void **state)
{
	/* MessagePack arrays of 5 to 9 elements that begin with version 1. */
	static const char *const prefixes[] = { "\x95\x01", "\x96\x01",
						"\x97\x01", "\x98\x01",
						"\x99\x01" };
	struct bw_chart chart;
	struct bw_keys keys;
	struct bw_outbox out;
	struct bw_random random;
	struct bw_packet packet = { .peer = "a",
				    .incarnation = 1,
				    .channel = BW_CHANNEL_KEYS };
	struct bw_time now = { START_MS };
	uint8_t data[64];
	uint32_t i;
	uint32_t j;

	(void)state;
	load_chart_(&chart);
	init_(&keys, &chart, "b", 2);
	bw_outbox_init(&out, 100);
	bw_random_init(&random, 1);
	packet.data = data;
	for (i = 0; i < 200000; i++) {
		memcpy(data, prefixes[bw_random_below(&random, 5)], 2);
		data[2] = (uint8_t)(1 + bw_random_below(&random, 6));
		data[3] = 2;
		memcpy(data + 4,
		       "\xa1"
		       "a"
		       "\x01\x01",
		       4);
		for (j = 8; j < sizeof(data); j++)
			data[j] = bw_random_below(&random, 4)
					  ? (uint8_t)bw_random_below(&random, 3)
					  : (uint8_t)bw_random_below(&random,
								     256);
		packet.size_bytes = 8 + (uint32_t)bw_random_below(&random, 56);
		bw_keys_receive(&keys, &packet, now, &out);
		bw_outbox_clear(&out);
	}
	assert_int_equal(keys.owned_pool.records, 0);
	assert_int_equal(keys.backup_pool.records, 0);
	assert_true(keys.counts.packets_rejected > 100000);
	bw_outbox_finish(&out);
	bw_keys_finish(&keys);
}

/* Receives a forged handover message for owner "a" (1); chunks are empty. */
static void receive_handover_(struct bw_keys *keys, uint64_t sender,
			      enum bw_keys_message type, uint64_t session,
			      uint64_t chunk, uint64_t records)
{
	struct bw_packet packet = { .peer = "a",
				    .incarnation = sender,
				    .channel = BW_CHANNEL_KEYS };
	struct bw_time now = { START_MS };
	struct bw_keys_set owner = { .host = "a", .incarnation = 1 };
	struct bw_outbox out;
	struct bw_buffer buffer;
	struct bw_writer writer;

	bw_outbox_init(&out, 10);
	bw_buffer_init(&buffer);
	bw_writer_init(&writer, &buffer);
	bw_keys_write_header(&writer, type == BW_KEYS_CHUNK ? 3 : 5, type,
			     keys->config.incarnation, &owner);
	bw_write_uint(&writer, session);
	bw_write_uint(&writer, chunk);
	if (type == BW_KEYS_CHUNK) {
		bw_write_array(&writer, 0);
	} else {
		bw_write_int(&writer, WALL_MS);
		bw_write_uint(&writer, 1);
		bw_write_uint(&writer, records);
	}
	packet.data = buffer.data;
	packet.size_bytes = (uint32_t)buffer.size_bytes;
	bw_keys_receive(keys, &packet, now, &out);
	bw_buffer_finish(&buffer);
	bw_outbox_finish(&out);
}

static uint32_t count_adoptions_(struct bw_keys *keys)
{
	struct bw_keys_event event;
	uint32_t count = 0;

	while (bw_keys_next_event(keys, &event))
		count += event.kind == BW_KEYS_EVENT_ADOPTED;
	return count;
}

/* Begins a request whose key names owner "a" (1). */
static enum bw_keys_decision_kind begin_request_(struct bw_keys *keys)
{
	static const uint8_t id[BW_KEYS_ID_BYTES] = { 5 };
	struct bw_keys_decision decision;
	struct bw_time now = { START_MS };
	struct bw_outbox out;
	struct bw_key key;

	bw_outbox_init(&out, 10);
	assert_int_equal(bw_keys_from_binding(id, "a", 1, WALL_MS + 1000, &key),
			 BW_OK);
	bw_keys_begin(keys, &key, id, now, &out, &decision);
	bw_outbox_finish(&out);
	return decision.kind;
}

/*
 * Guards against a successor that runs keys although a chunk or a record of the
 * handover is missing, although the message belongs to another session or
 * sender, or after it has handed the keys over itself.
 */
static void test_incomplete_handover(void **state)
{
	struct bw_chart chart;
	struct bw_keys keys;

	(void)state;
	load_chart_(&chart);
	init_(&keys, &chart, "b", 2);
	receive_handover_(&keys, 1, BW_KEYS_COMPLETE, 1, 1, 0);
	assert_int_equal(count_adoptions_(&keys), 0);
	receive_handover_(&keys, 1, BW_KEYS_CHUNK, 2, 0, 0);
	receive_handover_(&keys, 1, BW_KEYS_COMPLETE, 2, 2, 0);
	receive_handover_(&keys, 1, BW_KEYS_CHUNK, 2, 2, 0);
	receive_handover_(&keys, 1, BW_KEYS_COMPLETE, 2, 3, 0);
	receive_handover_(&keys, 1, BW_KEYS_COMPLETE, 2, 1, 1);
	receive_handover_(&keys, 1, BW_KEYS_COMPLETE, 1, 1, 0);
	receive_handover_(&keys, 9, BW_KEYS_COMPLETE, 2, 1, 0);
	receive_handover_(&keys, 1, BW_KEYS_CHUNK, 1, 0, 0);
	assert_int_equal(count_adoptions_(&keys), 0);
	assert_int_equal(begin_request_(&keys), BW_KEYS_NOT_OWNER);
	receive_handover_(&keys, 1, BW_KEYS_COMPLETE, 2, 1, 0);
	assert_int_equal(count_adoptions_(&keys), 1);
	assert_int_equal(begin_request_(&keys), BW_KEYS_RUN);
	receive_handover_(&keys, 9, BW_KEYS_CHUNK, 1, 0, 0);
	receive_handover_(&keys, 9, BW_KEYS_COMPLETE, 1, 1, 0);
	receive_handover_(&keys, 1, BW_KEYS_CHUNK, 3, 0, 0);
	receive_handover_(&keys, 1, BW_KEYS_COMPLETE, 3, 1, 0);
	assert_int_equal(count_adoptions_(&keys), 0);
	assert_int_equal(begin_request_(&keys), BW_KEYS_JOIN);
	bw_keys_table_find(keys.owned, "a", 1)->state = BW_KEYS_SET_HANDED_OVER;
	receive_handover_(&keys, 9, BW_KEYS_CHUNK, 4, 0, 0);
	receive_handover_(&keys, 9, BW_KEYS_COMPLETE, 4, 1, 0);
	assert_int_equal(count_adoptions_(&keys), 0);
	assert_int_equal(bw_keys_table_find(keys.owned, "a", 1)->state,
			 BW_KEYS_SET_HANDED_OVER);
	bw_keys_finish(&keys);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_damaged_packets),
		cmocka_unit_test(test_incomplete_handover),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
