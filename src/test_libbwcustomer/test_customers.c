/*
 * Tests of customers and their keys. They guard against a request that counts
 * for another customer, a withdrawn or unknown key that is accepted, a key that
 * two customers share, messages that show a key, and look-ups whose cost or
 * memory grows with the number of keys.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "bwcustomer/customers.h"

/** Keys that a fleet of the size to design for has. */
#define KEYS_MANY 100000

/** Memory that one key may take. */
#define KEY_BYTES_MAX 100

static const uint8_t digest_one[BW_CUSTOMER_DIGEST_BYTES] = { 1 };
static const uint8_t digest_two[BW_CUSTOMER_DIGEST_BYTES] = { 2 };

static void test_keys_name_customers(void **state)
{
	struct bw_customers *customers = bw_customers_new(2);
	char error[BW_CUSTOMER_ERROR_MAX] = "";
	struct bw_customer *one;
	struct bw_customer *two;

	(void)state;
	assert_int_equal(bw_customers_add(customers, "one", digest_one, &one,
					  error),
			 BW_OK);
	assert_int_equal(bw_customers_add_key(customers, "key-a", error),
			 BW_OK);
	assert_int_equal(bw_customers_add_key(customers, "key-b", error),
			 BW_OK);
	/* The same key once more of the same customer is no conflict. */
	assert_int_equal(bw_customers_add_key(customers, "key-b", error),
			 BW_OK);
	/* A customer that has lost its last key. */
	assert_int_equal(bw_customers_add(customers, "two", digest_two, &two,
					  error),
			 BW_OK);
	assert_ptr_equal(bw_customers_find_key(customers, "key-a"), one);
	assert_ptr_equal(bw_customers_find_key(customers, "key-b"), one);
	assert_null(bw_customers_find_key(customers, "key-"));
	assert_null(bw_customers_find_key(customers, "key-aa"));
	assert_null(bw_customers_find_key(customers, ""));
	assert_ptr_equal(bw_customers_find_hash(customers, two->hash), two);
	assert_null(bw_customers_find_hash(customers, two->hash + 1));
	assert_true(bw_customers_has_digest(customers, digest_two));
	assert_false(
		bw_customers_has_digest(customers, (const uint8_t[16]){ 3 }));
	bw_customers_free(customers);
}

static void test_shared_key(void **state)
{
	struct bw_customers *customers = bw_customers_new(2);
	char error[BW_CUSTOMER_ERROR_MAX] = "";
	struct bw_customer *customer;

	(void)state;
	bw_customers_add(customers, "one", digest_one, &customer, error);
	bw_customers_add_key(customers, "secret", error);
	bw_customers_add(customers, "two", digest_two, &customer, error);
	assert_int_equal(bw_customers_add_key(customers, "secret", error),
			 BW_EINVAL);
	assert_string_equal(error, "customers one and two share a key");
	bw_customers_free(customers);
}

static void test_bad_names(void **state)
{
	static const char *const names[] = { "", "a\nb", "a\r", "\x7f" };
	struct bw_customers *customers = bw_customers_new(4);
	char error[BW_CUSTOMER_ERROR_MAX];
	struct bw_customer *customer;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		error[0] = '\0';
		assert_int_equal(bw_customers_add(customers, names[i],
						  digest_one, &customer, error),
				 BW_EINVAL);
		assert_true(error[0]);
	}
	bw_customers_free(customers);
}

static void test_many_keys(void **state)
{
	struct bw_key_table table;
	char key[24];
	uint32_t i;

	(void)state;
	bw_key_table_init(&table);
	for (i = 0; i < KEYS_MANY; i++) {
		snprintf(key, sizeof(key), "k%u", i);
		assert_int_equal(bw_key_table_add(&table, key, strlen(key), i),
				 BW_OK);
	}
	assert_true(table.slot_count * sizeof(*table.slots) <
		    (size_t)KEYS_MANY * KEY_BYTES_MAX);
	for (i = 0; i < KEYS_MANY; i++) {
		snprintf(key, sizeof(key), "k%u", i);
		assert_int_equal(bw_key_table_find(&table, key, strlen(key)),
				 i);
	}
	assert_int_equal(bw_key_table_find(&table, "other", 5), BW_KEY_NONE);
	bw_key_table_finish(&table);
}

/* Two tables hash the same key to different values: an attacker can't predict
 * where a key is looked for. */
static void test_secret(void **state)
{
	struct bw_key_table tables[2];
	const struct bw_key_slot *found[2] = { NULL, NULL };
	uint32_t i, j;

	(void)state;
	for (i = 0; i < 2; i++) {
		bw_key_table_init(&tables[i]);
		bw_key_table_add(&tables[i], "key", 3, 0);
		for (j = 0; j < tables[i].slot_count; j++) {
			if (tables[i].slots[j].owner)
				found[i] = &tables[i].slots[j];
		}
	}
	assert_memory_not_equal(found[0]->hash, found[1]->hash,
				BW_KEY_HASH_BYTES);
	bw_key_table_finish(&tables[0]);
	bw_key_table_finish(&tables[1]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_keys_name_customers),
		cmocka_unit_test(test_shared_key),
		cmocka_unit_test(test_bad_names),
		cmocka_unit_test(test_many_keys),
		cmocka_unit_test(test_secret),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
