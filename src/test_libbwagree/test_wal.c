#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwagree/wal.h"
#include "script.h"

/** Storage and log of a script run. */
struct fixture {
	struct bw_storage storage;
	struct bw_wal wal;
	bool open;
};

static void close_(struct fixture *fixture)
{
	if (fixture->open)
		bw_wal_finish(&fixture->wal);
	fixture->open = false;
}

static uint64_t parse_argument_(char **argv, int position)
{
	return strtoull(argv[position], NULL, 10);
}

static struct bw_buffer *first_file_(struct fixture *fixture)
{
	return &fixture->storage.u.memory.files[0]->live;
}

static void open_(struct fixture *fixture, char **argv, struct bw_buffer *out)
{
	enum bw_status status;

	close_(fixture);
	fixture->open = true;
	status = bw_wal_open(&fixture->wal, &fixture->storage,
			     parse_argument_(argv, 1), parse_argument_(argv, 2),
			     BW_WAL_SEGMENT_BYTES);
	if (status != BW_OK)
		bw_buffer_printf(out, "%s %s\n", bw_status_string[status],
				 fixture->wal.error);
	else
		bw_buffer_printf(out, "ok first %d last %d truncated %d\n",
				 (int)fixture->wal.first_index,
				 (int)bw_wal_last_index(&fixture->wal),
				 (int)fixture->wal.truncated_bytes);
}

static void show_(const struct bw_wal *wal, struct bw_buffer *out)
{
	uint64_t index;

	for (index = wal->first_index; index <= bw_wal_last_index(wal);
	     index++) {
		const struct bw_wal_entry *entry = bw_wal_entry(wal, index);

		bw_buffer_printf(out, "%d %d %.*s\n", (int)index,
				 (int)entry->term, (int)entry->size_bytes,
				 (const char *)entry->data);
	}
}

static void command_(void *context, int argc, char **argv,
		     struct bw_buffer *out)
{
	struct fixture *fixture = context;
	struct bw_wal *wal = &fixture->wal;

	(void)argc;
	if (!strcmp(argv[0], "open")) {
		open_(fixture, argv, out);
	} else if (!strcmp(argv[0], "append")) {
		bw_wal_append(wal, parse_argument_(argv, 1), argv[2],
			      strlen(argv[2]));
	} else if (!strcmp(argv[0], "sync")) {
		bw_buffer_printf(out, "%s ",
				 bw_status_string[bw_wal_sync(wal)]);
		bw_buffer_printf(out, "last %d syncs %d\n",
				 (int)bw_wal_last_index(wal),
				 (int)fixture->storage.sync_count);
	} else if (!strcmp(argv[0], "crash")) {
		close_(fixture);
		bw_storage_crash(&fixture->storage, NULL);
	} else if (!strcmp(argv[0], "show")) {
		show_(wal, out);
	} else if (!strcmp(argv[0], "truncate")) {
		bw_wal_truncate(wal, parse_argument_(argv, 1));
	} else if (!strcmp(argv[0], "cut")) {
		first_file_(fixture)->size_bytes -= parse_argument_(argv, 1);
		fixture->storage.u.memory.files[0]->synced_prefix_bytes = 0;
	} else if (!strcmp(argv[0], "flip")) {
		first_file_(fixture)->data[parse_argument_(argv, 1)] ^= 1;
		fixture->storage.u.memory.files[0]->synced_prefix_bytes = 0;
	} else if (!strcmp(argv[0], "failsync")) {
		fixture->storage.u.memory.syncs_until_failure =
			(uint32_t)parse_argument_(argv, 1);
	} else if (!strcmp(argv[0], "capacity")) {
		fixture->storage.u.memory.capacity_bytes =
			parse_argument_(argv, 1);
	} else {
		fail_msg("unknown command %s", argv[0]);
	}
}

/* Guards against acknowledged records that are lost in a crash or silently
 * dropped when the log is opened. */
static void test_wal_script(void **state)
{
	struct fixture fixture = { .open = false };

	(void)state;
	bw_storage_init_memory(&fixture.storage);
	script_check("src/test_libbwagree/scripts/wal.script", command_,
		     &fixture);
	close_(&fixture);
	bw_storage_finish(&fixture.storage);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_wal_script),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
