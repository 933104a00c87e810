#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "bwagree/replica.h"
#include "bwbase/clock.h"

#define COMPACT_BYTES (64 * 1024)
#define SEGMENT_BYTES (16 * 1024)
#define SUBMISSIONS_MAX 100
#define BATCH_SUBMITS 50

static struct bw_chart chart_;

static struct bw_replica *start_replica_(struct bw_storage *storage,
					 int64_t *now_ms)
{
	static const char hosts[1][BW_NAME_MAX] = { "a" };
	struct bw_replica_config config = {
		.host = "a",
		.initial_hosts = hosts,
		.initial_count = 1,
		.chart = &chart_,
		.storage = storage,
		.seed = (uint64_t)*now_ms,
		.compact_bytes = COMPACT_BYTES,
		.segment_bytes = SEGMENT_BYTES,
		.submissions_max = SUBMISSIONS_MAX,
	};
	char error[BW_WAL_ERROR_BYTES];
	struct bw_time now = { *now_ms };
	struct bw_replica *replica;

	assert_int_equal(bw_replica_new(&replica, &config, now, error), BW_OK);
	return replica;
}

static void run_until_leader_(struct bw_replica *replica, int64_t *now_ms)
{
	struct bw_outbox out;
	struct bw_time now = { *now_ms };
	int steps = 0;

	bw_outbox_init(&out, 16);
	/* A leader with a lease has applied all committed entries. */
	while (!bw_replica_has_lease(replica, now)) {
		now.ms = *now_ms += 50;
		assert_true(steps++ < 100);
		bw_replica_tick(replica, now, &out);
	}
	bw_outbox_finish(&out);
}

static void submit_(struct bw_replica *replica, uint64_t revision,
		    struct bw_time now)
{
	struct bw_submit submit = { .revision = revision };
	struct bw_buffer command;
	uint64_t index;

	snprintf(submit.id, sizeof(submit.id), "s%llu",
		 (unsigned long long)revision);
	submit.text = (const uint8_t *)submit.id;
	submit.text_size_bytes = sizeof(submit.id);
	bw_buffer_init(&command);
	assert_int_equal(bw_command_submit(&command, &submit), BW_OK);
	assert_int_equal(bw_replica_propose(replica, command.data,
					    command.size_bytes, now, &index),
			 BW_OK);
	bw_buffer_finish(&command);
}

/* Submits sheets in batches of one sync each; returns the next revision. */
static uint64_t submit_batches_(struct bw_replica *replica, uint64_t revision,
				uint64_t count, int64_t *now_ms)
{
	struct bw_replica_event event;
	struct bw_outbox out;
	uint64_t i;

	bw_outbox_init(&out, 16);
	for (i = 0; i < count; i++) {
		struct bw_time now = { *now_ms };

		submit_(replica, revision++, now);
		if ((i + 1) % BATCH_SUBMITS)
			continue;
		now.ms = *now_ms += 50;
		assert_int_equal(bw_replica_tick(replica, now, &out), BW_OK);
		while (bw_replica_next_event(replica, &event))
			;
	}
	bw_outbox_finish(&out);
	return revision;
}

/* Returns the number of bytes that a restart after count submits reads. */
static uint64_t measure_restart_(uint64_t count)
{
	struct bw_storage storage;
	struct bw_replica *replica;
	int64_t now_ms = 1000;
	uint64_t read_bytes;
	uint64_t start_us;
	uint64_t syncs;

	bw_storage_init_memory(&storage);
	replica = start_replica_(&storage, &now_ms);
	run_until_leader_(replica, &now_ms);
	syncs = storage.sync_count;
	start_us = bw_clock_us();
	submit_batches_(replica, 1, count, &now_ms);
	print_message("changes %llu: %llu us, %llu syncs\n",
		      (unsigned long long)count,
		      (unsigned long long)(bw_clock_us() - start_us),
		      (unsigned long long)(storage.sync_count - syncs));
	/* One sync per batch, and one per snapshot. */
	assert_true(storage.sync_count - syncs <=
		    count / BATCH_SUBMITS + count / 300 + 2);
	bw_replica_free(replica);
	bw_storage_crash(&storage, NULL);
	read_bytes = storage.bytes_read;
	start_us = bw_clock_us();
	replica = start_replica_(&storage, &now_ms);
	read_bytes = storage.bytes_read - read_bytes;
	print_message("restart after %llu changes: %llu us, %llu bytes\n",
		      (unsigned long long)count,
		      (unsigned long long)(bw_clock_us() - start_us),
		      (unsigned long long)read_bytes);
	run_until_leader_(replica, &now_ms);
	assert_int_equal(bw_replica_state(replica)->revision, count);
	bw_replica_free(replica);
	bw_storage_finish(&storage);
	return read_bytes;
}

/* Guards against a restart whose reads grow with the number of changes. */
static void test_restart_reads_bounded_bytes(void **state)
{
	static const uint64_t counts[] = { 300, 3000, 100000 };
	uint32_t i;

	(void)state;
	for (i = 0; i < 3; i++)
		assert_true(measure_restart_(counts[i]) <
			    COMPACT_BYTES + 4 * SEGMENT_BYTES);
}

/* Guards against a folder storage that loses synced data. */
static void test_restart_from_folder(void **state)
{
	char path[] = "/tmp/bwagree-XXXXXX";
	struct bw_storage storage;
	struct bw_storage_names names;
	struct bw_replica *replica;
	int64_t now_ms = 1000;
	uint64_t start_us;
	uint64_t disk_incarnation;
	uint32_t i;

	(void)state;
	assert_non_null(mkdtemp(path));
	assert_int_equal(bw_storage_init_folder(&storage, path), BW_OK);
	replica = start_replica_(&storage, &now_ms);
	run_until_leader_(replica, &now_ms);
	disk_incarnation = bw_replica_disk_incarnation(replica);
	start_us = bw_clock_us();
	submit_batches_(replica, 1, 2000, &now_ms);
	print_message("folder: 2000 changes in batches of %d: %llu us\n",
		      BATCH_SUBMITS,
		      (unsigned long long)(bw_clock_us() - start_us));
	bw_replica_free(replica);
	bw_storage_finish(&storage);

	assert_int_equal(bw_storage_init_folder(&storage, path), BW_OK);
	replica = start_replica_(&storage, &now_ms);
	assert_true(bw_replica_disk_incarnation(replica) == disk_incarnation);
	run_until_leader_(replica, &now_ms);
	assert_int_equal(bw_replica_state(replica)->revision, 2000);
	bw_replica_free(replica);
	assert_int_equal(bw_storage_list(&storage, &names), BW_OK);
	for (i = 0; i < names.count; i++)
		bw_storage_remove(&storage, names.names[i]);
	bw_storage_names_finish(&names);
	bw_storage_finish(&storage);
	assert_int_equal(rmdir(path), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_restart_reads_bounded_bytes),
		cmocka_unit_test(test_restart_from_folder),
	};
	struct bw_yaml_error error;

	if (bw_replica_chart_load(&chart_, BW_REPLICA_CHART, &error) != BW_OK)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
