/*
 * Simulates entry hosts that share the slots of backend servers among
 * customers, in virtual time. Each host has its own shares and a queue in their
 * order; hosts report the work of customers and get the sums of all hosts late.
 */
#ifndef TEST_FAIR_MODEL_H
#define TEST_FAIR_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#define FAIR_MODEL_CUSTOMERS_MAX 32
#define FAIR_MODEL_HOSTS_MAX 73

/* What one customer sends. */
struct fair_model_customer {
	double rate_per_s;
	double factor; /* on the rate from 6 s on; 0: none */
	int64_t work_ms; /* of each request */
	uint32_t first_host;
	uint32_t host_count; /* 0: all hosts */
};

/* A load. */
struct fair_model_load {
	uint32_t hosts;
	uint32_t slots; /* of all servers */
	struct fair_model_customer customers[FAIR_MODEL_CUSTOMERS_MAX];
	uint32_t customer_count;
	bool without_customers; /* jobs go by arrival */
	bool without_asked; /* the sums hold the work only */
	bool without_sums; /* a host gets news of the customers that it has */
	int64_t news_delay_ms;
	uint32_t cut_hosts; /* the first ones, without news from 10 s to 18 s */
	int64_t restart_ms; /* all hosts lose their state then; 0: never */
	uint64_t seed;
};

/* Results from 6 s on. */
struct fair_model_result {
	double asked_ms[FAIR_MODEL_CUSTOMERS_MAX];
	double served_ms[FAIR_MODEL_CUSTOMERS_MAX];
	double fraction[FAIR_MODEL_CUSTOMERS_MAX]; /* served of asked */
	double fraction_of_all;
};

void fair_model_run(const struct fair_model_load *load,
		    struct fair_model_result *result);

#endif
