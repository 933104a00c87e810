/**
 * @file
 * Customers of one configuration version: their keys, rank, quota and home
 * regions. A table in use is immutable.
 */
#ifndef BWCUSTOMER_CUSTOMERS_H
#define BWCUSTOMER_CUSTOMERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bwbase/status.h"
#include "bwcustomer/key_table.h"

/** Size of an error message including the terminating null byte. */
#define BW_CUSTOMER_ERROR_MAX 256

/** Size of the hash of a customer's definition. */
#define BW_CUSTOMER_DIGEST_BYTES 16

/** One customer. */
struct bw_customer {
	char *name;
	uint64_t hash; /**< of the name; the same at all hosts, never 0 */
	uint8_t digest[BW_CUSTOMER_DIGEST_BYTES]; /**< of its definition */
	bool has_rank; /**< rank goes before that of the route */
	uint32_t rank; /**< 0 is the most urgent */
	double rate_per_s; /**< requests that all hosts together may take; 0: no
			      limit */
	double burst; /**< requests beyond the rate that may come at once */
	char **homes; /**< names of the home regions; any if none */
	uint32_t home_count;
};

/** The customers of a configuration. */
struct bw_customers {
	struct bw_customer *items;
	uint32_t count;
	uint32_t capacity;
	struct bw_key_table keys; /**< owners are indices of items */
	uint32_t *by_hash; /**< hash table of indices plus 1; 0: empty */
	uint32_t *by_digest; /**< the same */
	uint32_t slot_count; /**< of each; a power of two */
};

/** Allocates a table without customers. @return NULL when out of memory */
struct bw_customers *bw_customers_new(uint32_t capacity);

/** Frees a table. NULL is allowed. */
void bw_customers_free(struct bw_customers *customers);

/**
 * Adds a customer whose fields are set later.
 * @param name unique; has at least one byte, and no control characters
 * @param digest of its definition; BW_CUSTOMER_DIGEST_BYTES
 * @param error receives a message on BW_EINVAL; BW_CUSTOMER_ERROR_MAX bytes
 * @return BW_OK, BW_EINVAL or BW_ENOMEM
 */
enum bw_status bw_customers_add(struct bw_customers *customers,
				const char *name, const uint8_t *digest,
				struct bw_customer **customer, char *error);

/** Allocates the homes of a customer that has none. @return BW_OK, BW_ENOMEM */
enum bw_status bw_customer_set_home_count(struct bw_customer *customer,
					  uint32_t home_count);

/**
 * Adds a key of the customer that was added last. The message on BW_EINVAL
 * names both customers, not the key.
 * @return BW_OK, BW_EINVAL or BW_ENOMEM
 */
enum bw_status bw_customers_add_key(struct bw_customers *customers,
				    const char *key, char *error);

/** Finds the customer of a key. @return NULL if there is none */
const struct bw_customer *
bw_customers_find_key(const struct bw_customers *customers, const char *key);

/** Finds a customer by the hash of its name. @return NULL if there is none */
const struct bw_customer *
bw_customers_find_hash(const struct bw_customers *customers, uint64_t hash);

/** Returns whether a customer has a definition. */
bool bw_customers_has_digest(const struct bw_customers *customers,
			     const uint8_t *digest);

#endif
