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

/** Storage and log of one script. */
struct bench {
	struct bw_storage storage;
	struct bw_wal wal;
	bool open;
};

static void close_(struct bench *bench)
{
	if (bench->open)
		bw_wal_finish(&bench->wal);
	bench->open = false;
}

static uint64_t number_(char **argv, int at)
{
	return strtoull(argv[at], NULL, 10);
}

static struct bw_buffer *bytes_(struct bench *bench)
{
	return &bench->storage.u.memory.files[0]->live;
}

static void open_(struct bench *bench, char **argv, struct bw_buffer *out)
{
	enum bw_status status;

	close_(bench);
	bench->open = true;
	status = bw_wal_open(&bench->wal, &bench->storage, number_(argv, 1),
			     number_(argv, 2), BW_WAL_SEGMENT_BYTES);
	if (status != BW_OK)
		bw_buffer_printf(out, "%s %s\n", bw_status_string[status],
				 bench->wal.error);
	else
		bw_buffer_printf(out, "ok first %d last %d truncated %d\n",
				 (int)bench->wal.first_index,
				 (int)bw_wal_last_index(&bench->wal),
				 (int)bench->wal.truncated_bytes);
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
	struct bench *bench = context;
	struct bw_wal *wal = &bench->wal;

	(void)argc;
	if (!strcmp(argv[0], "open")) {
		open_(bench, argv, out);
	} else if (!strcmp(argv[0], "append")) {
		bw_wal_append(wal, number_(argv, 1), argv[2], strlen(argv[2]));
	} else if (!strcmp(argv[0], "sync")) {
		bw_buffer_printf(out, "%s ",
				 bw_status_string[bw_wal_sync(wal)]);
		bw_buffer_printf(out, "last %d syncs %d\n",
				 (int)bw_wal_last_index(wal),
				 (int)bench->storage.sync_count);
	} else if (!strcmp(argv[0], "crash")) {
		close_(bench);
		bw_storage_crash(&bench->storage, NULL);
	} else if (!strcmp(argv[0], "show")) {
		show_(wal, out);
	} else if (!strcmp(argv[0], "truncate")) {
		bw_wal_truncate(wal, number_(argv, 1));
	} else if (!strcmp(argv[0], "cut")) {
		bytes_(bench)->size_bytes -= number_(argv, 1);
		bench->storage.u.memory.files[0]->synced_prefix_bytes = 0;
	} else if (!strcmp(argv[0], "flip")) {
		bytes_(bench)->data[number_(argv, 1)] ^= 1;
		bench->storage.u.memory.files[0]->synced_prefix_bytes = 0;
	} else if (!strcmp(argv[0], "failsync")) {
		bench->storage.u.memory.syncs_until_failure =
			(uint32_t)number_(argv, 1);
	} else if (!strcmp(argv[0], "capacity")) {
		bench->storage.u.memory.capacity_bytes = number_(argv, 1);
	} else {
		fail_msg("unknown command %s", argv[0]);
	}
}

static void test_wal_script(void **state)
{
	struct bench bench = { .open = false };

	(void)state;
	bw_storage_init_memory(&bench.storage);
	script_check("src/test_libbwagree/scripts/wal.script", command_,
		     &bench);
	close_(&bench);
	bw_storage_finish(&bench.storage);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_wal_script),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
