#include "bwcustomer/customers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/** Slots of the smallest hash table; a power of two. */
#define SLOTS_MIN 16

/** Bytes of a customer's name that an error message shows. */
#define NAME_SHOWN_BYTES 60

static bool is_printable_(const char *name);
static void insert_(uint32_t *slots, uint32_t slot_count, uint64_t hash,
		    uint32_t index);
static uint64_t digest_hash_(const uint8_t *digest);
static void finish_customer_(struct bw_customer *customer);

struct bw_customers *bw_customers_new(uint32_t capacity)
{
	struct bw_customers *customers = calloc(1, sizeof(*customers));

	if (!customers)
		return NULL;
	bw_key_table_init(&customers->keys);
	customers->capacity = capacity;
	customers->slot_count = SLOTS_MIN;
	while (customers->slot_count < 2 * capacity)
		customers->slot_count *= 2;
	customers->items = calloc(capacity + 1, sizeof(*customers->items));
	customers->by_hash = calloc(customers->slot_count, sizeof(uint32_t));
	customers->by_digest = calloc(customers->slot_count, sizeof(uint32_t));
	if (customers->items && customers->by_hash && customers->by_digest)
		return customers;
	bw_customers_free(customers);
	return NULL;
}

void bw_customers_free(struct bw_customers *customers)
{
	uint32_t i;

	if (!customers)
		return;
	for (i = 0; i < customers->count; i++)
		finish_customer_(&customers->items[i]);
	free(customers->items);
	free(customers->by_hash);
	free(customers->by_digest);
	bw_key_table_finish(&customers->keys);
	free(customers);
}

enum bw_status bw_customers_add(struct bw_customers *customers,
				const char *name, const uint8_t *digest,
				struct bw_customer **customer, char *error)
{
	struct bw_customer *added;

	if (customers->count == customers->capacity)
		return BW_ENOMEM;
	if (!is_printable_(name)) {
		snprintf(error, BW_CUSTOMER_ERROR_MAX,
			 "a customer's name is empty or not printable");
		return BW_EINVAL;
	}
	added = &customers->items[customers->count];
	added->name = strdup(name);
	if (!added->name)
		return BW_ENOMEM;
	added->hash = XXH3_64bits(name, strlen(name));
	if (!added->hash)
		added->hash = 1;
	memcpy(added->digest, digest, sizeof(added->digest));
	insert_(customers->by_hash, customers->slot_count, added->hash,
		customers->count);
	insert_(customers->by_digest, customers->slot_count,
		digest_hash_(digest), customers->count);
	customers->count++;
	*customer = added;
	return BW_OK;
}

enum bw_status bw_customer_set_home_count(struct bw_customer *customer,
					  uint32_t home_count)
{
	customer->homes = calloc(home_count, sizeof(*customer->homes));
	if (!customer->homes)
		return BW_ENOMEM;
	customer->home_count = home_count;
	return BW_OK;
}

enum bw_status bw_customers_add_key(struct bw_customers *customers,
				    const char *key, char *error)
{
	uint32_t owner = customers->count - 1;
	enum bw_status status =
		bw_key_table_add(&customers->keys, key, strlen(key), owner);
	uint32_t other;

	if (status != BW_ECONFLICT)
		return status;
	other = bw_key_table_find(&customers->keys, key, strlen(key));
	snprintf(error, BW_CUSTOMER_ERROR_MAX,
		 "customers %.*s and %.*s share a key", NAME_SHOWN_BYTES,
		 customers->items[other].name, NAME_SHOWN_BYTES,
		 customers->items[owner].name);
	return BW_EINVAL;
}

const struct bw_customer *
bw_customers_find_key(const struct bw_customers *customers, const char *key)
{
	uint32_t index = bw_key_table_find(&customers->keys, key, strlen(key));

	return index == BW_KEY_NONE ? NULL : &customers->items[index];
}

const struct bw_customer *
bw_customers_find_hash(const struct bw_customers *customers, uint64_t hash)
{
	uint32_t mask = customers->slot_count - 1;
	uint32_t at = (uint32_t)hash & mask;

	for (; customers->by_hash[at]; at = (at + 1) & mask) {
		const struct bw_customer *customer =
			&customers->items[customers->by_hash[at] - 1];

		if (customer->hash == hash)
			return customer;
	}
	return NULL;
}

bool bw_customers_has_digest(const struct bw_customers *customers,
			     const uint8_t *digest)
{
	uint32_t mask = customers->slot_count - 1;
	uint32_t at = (uint32_t)digest_hash_(digest) & mask;

	for (; customers->by_digest[at]; at = (at + 1) & mask) {
		const struct bw_customer *customer =
			&customers->items[customers->by_digest[at] - 1];

		if (!memcmp(customer->digest, digest, BW_CUSTOMER_DIGEST_BYTES))
			return true;
	}
	return false;
}

/* The name is sent to backend servers in a field, which ends at a line end. */
static bool is_printable_(const char *name)
{
	const char *at;

	for (at = name; *at; at++) {
		if ((unsigned char)*at < ' ' || *at == 0x7f)
			return false;
	}
	return at != name;
}

static void insert_(uint32_t *slots, uint32_t slot_count, uint64_t hash,
		    uint32_t index)
{
	uint32_t mask = slot_count - 1;
	uint32_t at = (uint32_t)hash & mask;

	while (slots[at])
		at = (at + 1) & mask;
	slots[at] = index + 1;
}

static uint64_t digest_hash_(const uint8_t *digest)
{
	uint64_t hash;

	memcpy(&hash, digest, sizeof(hash));
	return hash;
}

static void finish_customer_(struct bw_customer *customer)
{
	uint32_t i;

	for (i = 0; i < customer->home_count; i++)
		free(customer->homes[i]);
	free(customer->homes);
	free(customer->name);
}
