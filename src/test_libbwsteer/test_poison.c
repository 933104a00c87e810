#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwbase/random.h"
#include "bwsteer/poison.h"

#define HOSTS 2

static struct bw_poison hosts_[HOSTS];
static struct bw_time now_;

static int setup_(void **state)
{
	struct bw_poison_config config;
	int i;

	(void)state;
	now_ = (struct bw_time){ 1000000 };
	for (i = 0; i < HOSTS; i++) {
		bw_poison_config_default(&config, i ? "khomas-b" : "khomas-a");
		config.fingerprints_max = 16;
		if (bw_poison_init(&hosts_[i], &config) != BW_OK)
			return 1;
	}
	return 0;
}

static int teardown_(void **state)
{
	(void)state;
	bw_poison_finish(&hosts_[0]);
	bw_poison_finish(&hosts_[1]);
	return 0;
}

static struct bw_fingerprint fingerprint_(uint32_t number)
{
	struct bw_fingerprint fingerprint = { { 0 } };

	memcpy(fingerprint.bytes, &number, sizeof(number));
	return fingerprint;
}

/* Simulates a crash recorded by a host, with the given requests in flight. */
static void simulate_crash_(int host, uint64_t incarnation, uint32_t in_flight,
			    const uint32_t *numbers, uint32_t count)
{
	struct bw_fingerprint fingerprint;
	uint32_t i;

	for (i = 0; i < count; i++) {
		fingerprint = fingerprint_(numbers[i]);
		bw_poison_connection_lost(&hosts_[host], &fingerprint,
					  incarnation, in_flight, now_);
	}
	bw_poison_server_lost(&hosts_[host], incarnation, now_);
	now_.ms += 100;
	bw_poison_tick(&hosts_[host], now_);
}

static uint32_t weight_(int host, uint32_t number)
{
	struct bw_fingerprint fingerprint = fingerprint_(number);

	return bw_poison_weight(&hosts_[host], &fingerprint, now_);
}

static bool rejected_(int host, uint32_t number)
{
	struct bw_fingerprint fingerprint = fingerprint_(number);
	uint32_t retry_after_ms;

	return bw_poison_check(&hosts_[host], &fingerprint, 0, now_,
			       &retry_after_ms);
}

static void replicate_(int from)
{
	struct bw_buffer packet;
	uint32_t cursor = 0;

	bw_buffer_init(&packet);
	do {
		bw_buffer_clear(&packet);
		assert_int_equal(bw_poison_encode(&hosts_[from], now_, &cursor,
						  2, &packet),
				 BW_OK);
		assert_int_equal(bw_poison_decode(&hosts_[!from], packet.data,
						  packet.size_bytes, now_),
				 BW_OK);
	} while (cursor);
	bw_buffer_finish(&packet);
}

/* Guards against a wrong weight if a request is in flight alone, with a
 * duplicate or with others. */
static void test_weights(void **state)
{
	static const uint32_t alone[] = { 1 };
	static const uint32_t duplicates[] = { 2, 2 };
	static const uint32_t shared[] = { 3, 4, 5, 6 };

	(void)state;
	simulate_crash_(0, 10, 1, alone, 1);
	assert_int_equal(weight_(0, 1), 1000);
	assert_false(rejected_(0, 1));
	simulate_crash_(0, 11, 1, alone, 1);
	assert_true(rejected_(0, 1));
	simulate_crash_(0, 12, 2, duplicates, 2);
	assert_int_equal(weight_(0, 2), 1000);
	simulate_crash_(0, 13, 4, shared, 4);
	assert_int_equal(weight_(0, 3), 250);
	/* Another host has three more requests on the server. */
	simulate_crash_(0, 14, 4, (const uint32_t[]){ 7 }, 1);
	assert_int_equal(weight_(0, 7), 250);
}

/* Guards against counting a lost connection without a lost server as a crash.
 */
static void test_needs_lost_server(void **state)
{
	struct bw_fingerprint fingerprint = fingerprint_(1);

	(void)state;
	bw_poison_connection_lost(&hosts_[0], &fingerprint, 10, 1, now_);
	now_.ms += 15001;
	bw_poison_tick(&hosts_[0], now_);
	bw_poison_server_lost(&hosts_[0], 10, now_);
	now_.ms += 100;
	bw_poison_tick(&hosts_[0], now_);
	assert_int_equal(weight_(0, 1), 0);
}

/* Guards against counting one crash again for each host that recorded it. */
static void test_same_crash_counts_once(void **state)
{
	static const uint32_t crashing[] = { 1 };
	static const uint32_t harmless[] = { 2 };
	int i;

	(void)state;
	simulate_crash_(0, 10, 1, crashing, 1);
	simulate_crash_(1, 10, 1, crashing, 1);
	for (i = 0; i < 3; i++) {
		replicate_(0);
		replicate_(1);
	}
	assert_int_equal(weight_(0, 1), 1000);
	assert_int_equal(weight_(1, 1), 1000);
	/* Different requests of two hosts on one server share the crash. */
	simulate_crash_(0, 11, 1, crashing, 1);
	simulate_crash_(1, 11, 1, harmless, 1);
	for (i = 0; i < 3; i++) {
		replicate_(0);
		replicate_(1);
	}
	assert_int_equal(weight_(0, 1), 1500);
	assert_int_equal(weight_(1, 1), 1500);
	assert_int_equal(weight_(1, 2), 500);
	/* A crash recorded by one host alone makes the other one reject. */
	simulate_crash_(0, 12, 1, crashing, 1);
	replicate_(0);
	assert_true(rejected_(1, 1));
	assert_false(rejected_(1, 2));
}

/* Guards against a rejection that does not expire. */
static void test_expiry(void **state)
{
	static const uint32_t crashing[] = { 1 };
	struct bw_fingerprint fingerprint = fingerprint_(1);
	uint32_t retry_after_ms;

	(void)state;
	simulate_crash_(0, 10, 1, crashing, 1);
	simulate_crash_(0, 11, 1, crashing, 1);
	assert_true(bw_poison_check(&hosts_[0], &fingerprint, 2, now_,
				    &retry_after_ms));
	assert_int_equal(retry_after_ms, 600000 - 100);
	now_.ms += retry_after_ms;
	assert_false(rejected_(0, 1));
	now_.ms += 600000;
	bw_poison_tick(&hosts_[0], now_);
	assert_int_equal(hosts_[0].count, 0);
}

/* Guards against the eviction of rejected fingerprints by many new ones. */
static void test_eviction(void **state)
{
	uint32_t number = 1;
	uint32_t i;

	(void)state;
	simulate_crash_(0, 10, 1, &number, 1);
	simulate_crash_(0, 11, 1, &number, 1);
	for (i = 0; i < 100; i++) {
		number = 100 + i;
		simulate_crash_(0, 100 + i, 1, &number, 1);
	}
	assert_true(hosts_[0].count <= 16);
	assert_true(rejected_(0, 1));
}

/*
 * Guards against the rejection of harmless requests: with nine slots, one
 * request that crashes servers and popular requests that are in flight during
 * many crashes, only the former is rejected, within six crashes.
 */
static void test_crashing_request_among_popular_ones(void **state)
{
	struct bw_fingerprint fingerprint;
	struct bw_random random;
	uint32_t numbers[9];
	uint32_t crashes;
	uint32_t seed;
	uint32_t i;

	(void)state;
	for (seed = 0; seed < 300; seed++) {
		teardown_(NULL);
		setup_(NULL);
		bw_random_init(&random, seed);
		for (crashes = 0; !rejected_(0, 1); crashes++) {
			assert_true(crashes < 6);
			numbers[0] = 1;
			for (i = 1; i < 9; i++)
				numbers[i] = 2 + (uint32_t)bw_random_below(
							 &random, 12);
			simulate_crash_(0, 10 + crashes, 9, numbers, 9);
			/* Popular requests also complete elsewhere. */
			for (i = 0; i < 8; i++) {
				fingerprint = fingerprint_(
					2 +
					(uint32_t)bw_random_below(&random, 12));
				bw_poison_completed(&hosts_[0], &fingerprint,
						    now_);
			}
		}
		for (i = 2; i < 14; i++)
			assert_false(rejected_(0, i));
	}
}

/* Guards against truncated packets that add records and corrupted packets that
 * overflow the table or crash the decoder. */
static void test_decode_is_robust(void **state)
{
	static const uint32_t crashing[] = { 1 };
	struct bw_buffer packet;
	uint32_t cursor = 0;
	uint8_t saved;
	size_t i;

	(void)state;
	bw_buffer_init(&packet);
	simulate_crash_(0, 10, 1, crashing, 1);
	bw_poison_encode(&hosts_[0], now_, &cursor, 16, &packet);
	for (i = 0; i < packet.size_bytes; i++) {
		assert_int_not_equal(bw_poison_decode(&hosts_[1], packet.data,
						      i, now_),
				     BW_OK);
	}
	assert_int_equal(hosts_[1].count, 0);
	for (i = 0; i < packet.size_bytes * 256; i++) {
		saved = packet.data[i / 256];
		packet.data[i / 256] = (uint8_t)i;
		bw_poison_decode(&hosts_[1], packet.data, packet.size_bytes,
				 now_);
		packet.data[i / 256] = saved;
		assert_true(hosts_[1].count <= 16);
	}
	bw_buffer_finish(&packet);
}

/* Guards against too much replication traffic after the loss of many servers,
 * which gives a small weight to each request that they ran. */
static void test_encode_heaviest(void **state)
{
	static const uint32_t harmless[5] = { 2, 3, 4, 5, 6 };
	static const uint32_t crashing[1] = { 1 };
	struct bw_buffer packet;
	uint32_t count;
	uint32_t i;

	(void)state;
	bw_buffer_init(&packet);
	for (i = 0; i < 3; i++)
		simulate_crash_(0, 100 + i, 5, harmless, 5);
	assert_int_equal(bw_poison_encode_heaviest(&hosts_[0], now_, 700, 2,
						   &packet, &count),
			 BW_OK);
	assert_int_equal(count, 0);
	simulate_crash_(0, 200, 1, crashing, 1);
	bw_buffer_clear(&packet);
	bw_poison_encode_heaviest(&hosts_[0], now_, 700, 2, &packet, &count);
	assert_int_equal(count, 1);
	assert_int_equal(bw_poison_decode(&hosts_[1], packet.data,
					  packet.size_bytes, now_),
			 BW_OK);
	assert_int_equal(weight_(1, 1), BW_POISON_CRASH_WEIGHT);
	assert_int_equal(weight_(1, 2), 0);
	/* The limit keeps the heaviest ones. */
	bw_buffer_clear(&packet);
	bw_poison_encode_heaviest(&hosts_[0], now_, 1, 2, &packet, &count);
	assert_int_equal(count, 2);
	bw_poison_decode(&hosts_[1], packet.data, packet.size_bytes, now_);
	assert_int_equal(hosts_[1].count, 2);
	assert_int_equal(weight_(1, 1), BW_POISON_CRASH_WEIGHT);
	bw_buffer_finish(&packet);
}

/* Guards against different requests with the same fingerprint. */
static void test_fingerprint(void **state)
{
	struct bw_fingerprint a;
	struct bw_fingerprint b;

	(void)state;
	bw_poison_fingerprint("certdesk", "GET", "/a", NULL, 0, "", &a);
	bw_poison_fingerprint("certdesk", "GET", "/a", NULL, 0, "", &b);
	assert_memory_equal(&a, &b, sizeof(a));
	bw_poison_fingerprint("certdesk", "GET", "/", NULL, 0, "a", &b);
	assert_memory_not_equal(&a, &b, sizeof(a));
	bw_poison_fingerprint("certdesk", "GET", "/a", "x", 1, "", &b);
	assert_memory_not_equal(&a, &b, sizeof(a));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_weights, setup_,
						teardown_),
		cmocka_unit_test_setup_teardown(test_needs_lost_server, setup_,
						teardown_),
		cmocka_unit_test_setup_teardown(test_same_crash_counts_once,
						setup_, teardown_),
		cmocka_unit_test_setup_teardown(test_expiry, setup_, teardown_),
		cmocka_unit_test_setup_teardown(test_eviction, setup_,
						teardown_),
		cmocka_unit_test_setup_teardown(
			test_crashing_request_among_popular_ones, setup_,
			teardown_),
		cmocka_unit_test_setup_teardown(test_decode_is_robust, setup_,
						teardown_),
		cmocka_unit_test_setup_teardown(test_encode_heaviest, setup_,
						teardown_),
		cmocka_unit_test(test_fingerprint),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
