/*
 * Tests the merging of announcements. Guards against a delayed announcement
 * that brings back a server that left, and against records of an earlier start
 * that replace those of a later one.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "bwsteer/registry.h"

static struct bw_time time_at_(int64_t ms)
{
	struct bw_time time = { ms };

	return time;
}

static struct bw_server_record record_(uint64_t sequence, int64_t started)
{
	struct bw_server_record record = { .slots = 5 };

	strcpy(record.id, "i-1");
	strcpy(record.address, "127.0.0.1:80");
	strcpy(record.service, "s");
	strcpy(record.domain, "d");
	record.sequence = sequence;
	record.started_wall_ms = started;
	return record;
}

static enum bw_registry_outcome merge_(struct bw_registry *registry,
				       const struct bw_server_record *record,
				       int64_t ms)
{
	return bw_registry_merge(registry, record, time_at_(ms), NULL);
}

static void test_order(void **state)
{
	struct bw_registry registry;
	struct bw_server_record record = record_(4, 1000);

	(void)state;
	bw_registry_init(&registry);
	assert_int_equal(merge_(&registry, &record, 0), BW_REGISTRY_CHANGED);
	assert_int_equal(merge_(&registry, &record, 1), BW_REGISTRY_STALE);
	record.sequence = 3;
	assert_int_equal(merge_(&registry, &record, 2), BW_REGISTRY_STALE);
	record.sequence = 5;
	assert_int_equal(merge_(&registry, &record, 3), BW_REGISTRY_HEARTBEAT);
	assert_int_equal(bw_registry_find(&registry, "i-1")->last_heard_at.ms,
			 3);
	record.sequence = 6;
	record.state = BW_SERVER_DRAINING;
	assert_int_equal(merge_(&registry, &record, 4), BW_REGISTRY_CHANGED);
	/* After a later start the sequence numbers begin again. */
	record = record_(1, 2000);
	assert_int_equal(merge_(&registry, &record, 5), BW_REGISTRY_CHANGED);
	record = record_(99, 1000);
	assert_int_equal(merge_(&registry, &record, 6), BW_REGISTRY_STALE);
	bw_registry_finish(&registry);
}

static void test_leave(void **state)
{
	struct bw_registry registry;
	struct bw_server_record record = record_(4, 1000);

	(void)state;
	bw_registry_init(&registry);
	merge_(&registry, &record, 0);
	record.state = BW_SERVER_LEFT;
	assert_int_equal(merge_(&registry, &record, 1), BW_REGISTRY_CHANGED);
	/* Delayed announcements do not bring it back. */
	record = record_(9, 1000);
	assert_int_equal(merge_(&registry, &record, 2), BW_REGISTRY_STALE);
	record = record_(1, 3000);
	assert_int_equal(merge_(&registry, &record, 3), BW_REGISTRY_CHANGED);
	/*
	 * A leave announcement without a start time applies to the known start.
	 */
	record = record_(0, 0);
	record.state = BW_SERVER_LEFT;
	assert_int_equal(merge_(&registry, &record, 4), BW_REGISTRY_CHANGED);
	record = record_(9, 3000);
	assert_int_equal(merge_(&registry, &record, 5), BW_REGISTRY_STALE);
	record = record_(1, 4000);
	assert_int_equal(merge_(&registry, &record, 6), BW_REGISTRY_CHANGED);
	bw_registry_finish(&registry);
}

/* Guards against two hosts that return each other's record without end. */
static void test_one_record_is_newer(void **state)
{
	static const int64_t starts[] = { 0, 1000, 2000 };
	struct bw_server_record records[3 * 3 * BW_SERVER_STATE_COUNT];
	uint32_t count = 0;
	uint32_t i;
	uint32_t k;

	(void)state;
	for (i = 0; i < 3; i++) {
		for (k = 0; k < 3 * BW_SERVER_STATE_COUNT; k++) {
			records[count] = record_(k % 3, starts[i]);
			records[count++].state = (enum bw_server_state)(k / 3);
		}
	}
	for (i = 0; i < count; i++) {
		for (k = 0; k < count; k++)
			assert_false(bw_server_record_is_newer(&records[i],
							       &records[k]) &&
				     bw_server_record_is_newer(&records[k],
							       &records[i]));
	}
}

static bool lacks_(const struct bw_registry *registry, int64_t started,
		   enum bw_server_state state, uint64_t sequence)
{
	return bw_registry_lacks(bw_registry_find(registry, "i-1"), started,
				 state, sequence);
}

/* A leave has the number after the last one that its receiver knew. */
static void test_leave_after_later_heartbeats_is_not_passed_over(void **state)
{
	struct bw_registry registry;
	struct bw_server_record record = record_(4, 1000);

	(void)state;
	bw_registry_init(&registry);
	assert_true(lacks_(&registry, 1000, BW_SERVER_READY, 4));
	merge_(&registry, &record, 0);
	bw_registry_touch(&registry, bw_registry_hash("i-1"), 9, time_at_(10));
	assert_false(lacks_(&registry, 1000, BW_SERVER_READY, 12));
	assert_false(lacks_(&registry, 1000, BW_SERVER_DRAINING, 5));
	assert_true(lacks_(&registry, 1000, BW_SERVER_DRAINING, 10));
	assert_true(lacks_(&registry, 1000, BW_SERVER_LEFT, 5));
	assert_true(lacks_(&registry, 0, BW_SERVER_LEFT, 1));
	assert_false(lacks_(&registry, 900, BW_SERVER_LEFT, 20));
	record.state = BW_SERVER_LEFT;
	merge_(&registry, &record, 20);
	assert_false(lacks_(&registry, 1000, BW_SERVER_LEFT, 5));
	assert_false(lacks_(&registry, 1000, BW_SERVER_READY, 20));
	assert_true(lacks_(&registry, 2000, BW_SERVER_READY, 1));
	bw_registry_finish(&registry);
}

/* Guards against departures that are listed twice, or not at all. */
static void test_departures_are_numbered(void **state)
{
	const struct bw_server *servers[2];
	struct bw_registry registry;
	struct bw_server_record record = record_(4, 1000);
	uint32_t i;

	(void)state;
	bw_registry_init(&registry);
	for (i = 0; i < 4; i++) {
		snprintf(record.id, sizeof(record.id), "i-%u", i);
		record.state = i ? BW_SERVER_DRAINING : BW_SERVER_READY;
		merge_(&registry, &record, 0);
	}
	assert_int_equal(registry.departures, 3);
	assert_int_equal(bw_registry_departures(&registry, 0, servers, 2), 2);
	assert_string_equal(servers[0]->record.id, "i-1");
	assert_string_equal(servers[1]->record.id, "i-2");
	assert_int_equal(bw_registry_departures(&registry, 2, servers, 2), 1);
	assert_string_equal(servers[0]->record.id, "i-3");
	/* Repeated announcements are no departures, later states are. */
	record.sequence++;
	merge_(&registry, &record, 1);
	assert_int_equal(registry.departures, 3);
	record.state = BW_SERVER_LEFT;
	merge_(&registry, &record, 2);
	assert_int_equal(bw_registry_departures(&registry, 3, servers, 2), 1);
	assert_int_equal(servers[0]->departure, 4);
	/* The next start is none. */
	record = record_(1, 2000);
	strcpy(record.id, "i-3");
	merge_(&registry, &record, 3);
	assert_int_equal(bw_registry_departures(&registry, 2, servers, 2), 0);
	bw_registry_finish(&registry);
}

/* Guards against an outdated heartbeat that keeps a server, and against a
 * server that is kept without heartbeats. */
static void test_heartbeats(void **state)
{
	struct bw_registry registry;
	struct bw_server_record record = record_(4, 1000);
	uint64_t hash = bw_registry_hash("i-1");

	(void)state;
	bw_registry_init(&registry);
	merge_(&registry, &record, 0);
	bw_registry_touch(&registry, hash, 3, time_at_(500));
	assert_int_equal(bw_registry_find(&registry, "i-1")->last_heard_at.ms,
			 0);
	bw_registry_touch(&registry, hash, 5, time_at_(600));
	assert_int_equal(bw_registry_find(&registry, "i-1")->last_heard_at.ms,
			 600);
	bw_registry_touch(&registry, 12345, 5, time_at_(700));
	assert_int_equal(bw_registry_expire(&registry, time_at_(1600), 1000),
			 0);
	assert_int_equal(bw_registry_expire(&registry, time_at_(1601), 1000),
			 1);
	assert_null(bw_registry_find(&registry, "i-1"));
	bw_registry_touch(&registry, hash, 9, time_at_(1700));
	bw_registry_finish(&registry);
}

/* Guards against a heartbeat that makes its own announcement look old. */
static void test_heartbeat_overtakes(void **state)
{
	struct bw_registry registry;
	struct bw_server_record record = record_(4, 1000);
	uint64_t hash = bw_registry_hash("i-1");

	(void)state;
	bw_registry_init(&registry);
	merge_(&registry, &record, 0);
	bw_registry_touch(&registry, hash, 7, time_at_(100));
	record = record_(6, 1000);
	record.cold_ms = 3000;
	assert_int_equal(merge_(&registry, &record, 110), BW_REGISTRY_CHANGED);
	assert_int_equal(bw_registry_find(&registry, "i-1")->cold_until.ms,
			 3110);
	/* An outdated heartbeat still does not keep the server. */
	bw_registry_touch(&registry, hash, 6, time_at_(200));
	assert_int_equal(bw_registry_find(&registry, "i-1")->last_heard_at.ms,
			 110);
	record.sequence = 5;
	assert_int_equal(merge_(&registry, &record, 210), BW_REGISTRY_STALE);
	/* After a later start the sequence numbers begin again. */
	record = record_(1, 2000);
	assert_int_equal(merge_(&registry, &record, 300), BW_REGISTRY_CHANGED);
	bw_registry_touch(&registry, hash, 2, time_at_(400));
	assert_int_equal(bw_registry_find(&registry, "i-1")->last_heard_at.ms,
			 400);
	bw_registry_finish(&registry);
}

/* Guards against fields that are lost in transfer, and against accepting an
 * unknown state. */
static void test_codec(void **state)
{
	struct bw_server_record record = record_(4, 1000);
	struct bw_server_record read;
	struct bw_buffer buffer;
	struct bw_writer writer;
	struct bw_reader reader;

	(void)state;
	bw_buffer_init(&buffer);
	record.cold_ms = 2500;
	bw_writer_init(&writer, &buffer);
	bw_server_record_write(&writer, &record);
	bw_reader_init(&reader, buffer.data, buffer.size_bytes);
	bw_server_record_read(&reader, &read);
	assert_int_equal(bw_reader_status(&reader), BW_OK);
	assert_memory_equal(&record, &read, sizeof(read));
	bw_reader_finish(&reader);
	bw_buffer_clear(&buffer);
	record.state = BW_SERVER_STATE_COUNT;
	bw_writer_init(&writer, &buffer);
	bw_server_record_write(&writer, &record);
	bw_reader_init(&reader, buffer.data, buffer.size_bytes);
	bw_server_record_read(&reader, &read);
	assert_int_equal(bw_reader_status(&reader), BW_EINVAL);
	bw_reader_finish(&reader);
	bw_buffer_finish(&buffer);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_order),
		cmocka_unit_test(test_leave),
		cmocka_unit_test(test_one_record_is_newer),
		cmocka_unit_test(
			test_leave_after_later_heartbeats_is_not_passed_over),
		cmocka_unit_test(test_departures_are_numbered),
		cmocka_unit_test(test_heartbeats),
		cmocka_unit_test(test_heartbeat_overtakes),
		cmocka_unit_test(test_codec),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
