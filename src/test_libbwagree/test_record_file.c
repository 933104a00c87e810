/*
 * Tests of the file of records in memory storage. Guard against records that
 * are lost or made up after a crash, a full disk or a failed sync.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "bwagree/record_file.h"

#define NAME "records"
#define TEXT_BYTES 256

/** A file and what was read from it, separated by spaces. */
struct fixture {
	struct bw_storage storage;
	struct bw_record_file file;
	char text[TEXT_BYTES];
};

static void visit_(void *context, const uint8_t *data, uint32_t size_bytes)
{
	struct fixture *fixture = context;
	size_t used = strlen(fixture->text);

	snprintf(fixture->text + used, TEXT_BYTES - used, "%.*s ",
		 (int)size_bytes, (const char *)data);
}

/* Returns what the file holds. */
static const char *open_(struct fixture *fixture)
{
	fixture->text[0] = '\0';
	assert_int_equal(bw_record_file_open(&fixture->file, &fixture->storage,
					     NAME, visit_, fixture),
			 BW_OK);
	return fixture->text;
}

/* Crashes and returns what the file holds then. */
static const char *crash_(struct fixture *fixture, struct bw_random *torn)
{
	bw_record_file_finish(&fixture->file);
	bw_storage_crash(&fixture->storage, torn);
	return open_(fixture);
}

static void append_(struct fixture *fixture, const char *text)
{
	assert_int_equal(bw_record_file_append(&fixture->file, text,
					       (uint32_t)strlen(text)),
			 BW_OK);
}

static int setup_(void **state)
{
	static struct fixture fixture;

	bw_storage_init_memory(&fixture.storage);
	open_(&fixture);
	*state = &fixture;
	return 0;
}

static int teardown_(void **state)
{
	struct fixture *fixture = *state;

	bw_record_file_finish(&fixture->file);
	bw_storage_finish(&fixture->storage);
	return 0;
}

static void test_synced_records_survive(void **state)
{
	struct fixture *fixture = *state;

	append_(fixture, "one");
	append_(fixture, "two");
	assert_true(bw_record_file_is_dirty(&fixture->file));
	assert_int_equal(bw_record_file_sync(&fixture->file), BW_OK);
	assert_false(bw_record_file_is_dirty(&fixture->file));
	append_(fixture, "three");
	assert_int_equal(bw_record_file_sync(&fixture->file), BW_OK);
	append_(fixture, "four");
	assert_string_equal(crash_(fixture, NULL), "one two three ");
}

static void test_torn_record_is_dropped(void **state)
{
	struct fixture *fixture = *state;
	struct bw_random random;
	uint64_t seed;

	for (seed = 1; seed < 200; seed++) {
		bw_random_init(&random, seed);
		bw_record_file_clear(&fixture->file);
		append_(fixture, "one");
		assert_int_equal(bw_record_file_sync(&fixture->file), BW_OK);
		/* A crash between the write and the sync. */
		bw_storage_append(&fixture->storage, NAME, "\3\0\0\0abcdtwo",
				  11);
		assert_string_equal(crash_(fixture, &random), "one ");
		if (fixture->file.dropped_bytes)
			append_(fixture, "one");
		append_(fixture, "three");
		assert_int_equal(bw_record_file_sync(&fixture->file), BW_OK);
		assert_string_equal(crash_(fixture, NULL), "one three ");
	}
}

static void test_failed_sync(void **state)
{
	struct fixture *fixture = *state;

	append_(fixture, "one");
	assert_int_equal(bw_record_file_sync(&fixture->file), BW_OK);
	fixture->storage.u.memory.capacity_bytes = 1;
	append_(fixture, "two");
	assert_int_equal(bw_record_file_sync(&fixture->file), BW_EFULL);
	fixture->storage.u.memory.capacity_bytes = 0;
	fixture->storage.u.memory.syncs_until_failure = 1;
	bw_record_file_clear(&fixture->file);
	append_(fixture, "one");
	append_(fixture, "two");
	assert_int_equal(bw_record_file_sync(&fixture->file), BW_EIO);
	fixture->storage.u.memory.failed = false;
	bw_record_file_clear(&fixture->file);
	append_(fixture, "one");
	append_(fixture, "two");
	assert_int_equal(bw_record_file_sync(&fixture->file), BW_OK);
	assert_string_equal(crash_(fixture, NULL), "one two ");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_synced_records_survive,
						setup_, teardown_),
		cmocka_unit_test_setup_teardown(test_torn_record_is_dropped,
						setup_, teardown_),
		cmocka_unit_test_setup_teardown(test_failed_sync, setup_,
						teardown_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
