/*
 * Plays loads on servers that tell their speed and checks what callers get.
 * Guards against objects that the hosts of a region keep on several servers,
 * against words that do harm when they are stale or false, and against requests
 * that run into their deadline although that is known before.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "bwbase/random.h"
#include "dispatch_fixture.h"
#include "dispatch_model.h"

#define SERVERS 8
#define SLOTS 9
#define OBJECTS 200

/* Domains 0 and 1 are one region, 2 and 3 another. */
static const uint32_t domains[SERVERS] = { 0, 0, 1, 1, 2, 2, 3, 3 };

static struct model_load load_(enum model_words words)
{
	struct model_load load = { .rates_per_s = { 30, 30, 30, 30, 30, 30 },
				   .burst_percent = 100,
				   .length_ms = 40000,
				   .lost_domain = 6,
				   .seed = 11,
				   .words = words };

	return load;
}

static void play_(const char *name, const struct model_load *load,
		  struct model_result *result)
{
	dispatch_model_run(MODEL_DISPATCH, load, result);
	printf("%s: requests %u, on time %u, late %u, timeouts %u, "
	       "rejected %u, false %u of %u\n",
	       name, result->requests, result->on_time, result->late,
	       result->timeouts, result->rejected, result->false_runs,
	       result->runs);
}

/* 30 in 100 servers run four times as slow for spells of 200 ms to 2 s. */
static void test_slow_spells(void **state)
{
	static const uint32_t spells_ms[] = { 200, 600, 2000 };
	struct model_result silent;
	struct model_result told;
	uint32_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		struct model_load load = load_(MODEL_SILENT);

		load.slow_percent = 30;
		load.slow_factor = 4.0;
		load.spell_ms = spells_ms[i];
		play_("spells, silent", &load, &silent);
		load.words = MODEL_TRUE;
		play_("spells, told", &load, &told);
		/* Words serve callers. */
		assert_true(told.on_time >= silent.on_time);
		assert_true(told.timeouts * 100 <= told.requests * 5);
	}
}

/* 3 in 100 runs take seven times as long; these alone may be late. */
static void test_long_tail(void **state)
{
	struct model_load load = load_(MODEL_TRUE);
	struct model_result result;

	(void)state;
	load.tail_percent = 3;
	play_("long tail", &load, &result);
	assert_true(result.on_time * 100 >= result.requests * 90);
}

/* A quarter of the servers is slow and says that it is fast. */
static void test_servers_that_lie(void **state)
{
	struct model_load load = load_(MODEL_FALSE_SOME);
	struct model_result result;

	(void)state;
	play_("lies", &load, &result);
	/* They get no more than their part of the requests. */
	assert_true(result.false_runs * 100 <= result.runs * 27);
	assert_true(result.on_time * 100 >= result.requests * 60);
}

static void set_up_host_(struct bw_dispatch *dispatch, uint32_t domain)
{
	uint32_t i;

	bw_dispatch_init(dispatch, 5 + domain);
	dispatch->own_domain = domain;
	dispatch->domain_count = 4;
	for (i = 0; i < 4; i++)
		dispatch->domain_region[i] = i / 2;
	bw_dispatch_service(dispatch, "s")->target_latency_ms = 500;
	fixture_update(dispatch, SERVERS, SLOTS, domains, 0);
	for (i = 0; i < SERVERS; i++) {
		struct bw_target *target = g_ptr_array_index(
			bw_dispatch_service(dispatch, "s")->targets, i);

		target->region = domains[i] / 2;
	}
}

static struct bw_job offer_(struct bw_dispatch *dispatch, uint32_t object,
			    int64_t ms)
{
	struct bw_rejection rejection;
	struct bw_job job;
	char key[16];

	snprintf(key, sizeof(key), "o%u", object);
	fixture_job(dispatch, &job, key, 0, ms);
	job.work_key = 9;
	assert_int_equal(bw_dispatch_offer(dispatch, &job, fixture_time(ms),
					   &rejection),
			 BW_VERDICT_SEND);
	return job;
}

/* Tells a host the speed of all its servers. */
static void tell_speed_(struct bw_dispatch *dispatch, uint32_t percent,
			int64_t ms)
{
	uint32_t i;

	for (i = 0; i < SERVERS; i++) {
		const struct bw_target *target = g_ptr_array_index(
			bw_dispatch_service(dispatch, "s")->targets, i);

		bw_dispatch_note_shared_speed(dispatch, target->id_hash,
					      percent, fixture_time(ms));
	}
}

/* Hosts of both domains of a region send an object to the same server. */
static void test_hosts_of_a_region_agree(void **state)
{
	struct bw_dispatch hosts[2];
	uint32_t agreed = 0;
	uint32_t i;

	(void)state;
	set_up_host_(&hosts[0], 0);
	set_up_host_(&hosts[1], 1);
	tell_speed_(&hosts[0], 120, 1);
	tell_speed_(&hosts[1], 120, 1);
	for (i = 0; i < OBJECTS; i++) {
		struct bw_job a = offer_(&hosts[0], i, 2);
		struct bw_job b = offer_(&hosts[1], i, 2);

		agreed += a.target->id_hash == b.target->id_hash;
	}
	assert_true(agreed * 100 >= OBJECTS * 95);
	bw_dispatch_finish(&hosts[0]);
	bw_dispatch_finish(&hosts[1]);
}

/* A request that no server ends before its deadline is rejected at once. */
static void test_no_server_ends_in_time(void **state)
{
	struct bw_load_report report = { .running = 1,
					 .slots = SLOTS,
					 .time_percent = 100 };
	struct bw_rejection rejection;
	struct bw_dispatch dispatch;
	struct bw_job job;
	uint32_t i;

	(void)state;
	set_up_host_(&dispatch, 0);
	for (i = 0; i < 20; i++) {
		job = offer_(&dispatch, i, 2000 * i);
		bw_dispatch_sent(&dispatch, &job, fixture_time(2000 * i));
		bw_dispatch_ended(&dispatch, &job, BW_JOB_ANSWERED, &report,
				  fixture_time(2000 * i + 400));
	}
	fixture_job(&dispatch, &job, "o1", 0, 50000);
	job.work_key = 9;
	job.deadline = fixture_time(50000 + 300);
	assert_int_equal(bw_dispatch_offer(&dispatch, &job, fixture_time(50000),
					   &rejection),
			 BW_VERDICT_REJECT);
	assert_true(rejection.retry_after_ms > 0);
	/* With more time left it is sent. */
	job.deadline = fixture_time(50000 + 900);
	assert_int_equal(bw_dispatch_offer(&dispatch, &job, fixture_time(50000),
					   &rejection),
			 BW_VERDICT_SEND);
	bw_dispatch_finish(&dispatch);
}

/* Words from long ago change nothing. */
static void test_stale_words(void **state)
{
	struct bw_dispatch hosts[2];
	uint32_t agreed = 0;
	uint32_t i;

	(void)state;
	set_up_host_(&hosts[0], 0);
	set_up_host_(&hosts[1], 0);
	tell_speed_(&hosts[0], 120, 1);
	tell_speed_(&hosts[1], 120, 1);
	for (i = 0; i < SERVERS; i += 2) {
		const struct bw_target *target = g_ptr_array_index(
			bw_dispatch_service(&hosts[1], "s")->targets, i);

		bw_dispatch_note_shared_speed(&hosts[1], target->id_hash, 400,
					      fixture_time(10));
	}
	for (i = 0; i < OBJECTS; i++) {
		struct bw_job a = offer_(&hosts[0], i, 10000);
		struct bw_job b = offer_(&hosts[1], i, 10000);

		agreed += a.target->id_hash == b.target->id_hash;
	}
	assert_int_equal(agreed, OBJECTS);
	bw_dispatch_finish(&hosts[0]);
	bw_dispatch_finish(&hosts[1]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slow_spells),
		cmocka_unit_test(test_long_tail),
		cmocka_unit_test(test_servers_that_lie),
		cmocka_unit_test(test_hosts_of_a_region_agree),
		cmocka_unit_test(test_no_server_ends_in_time),
		cmocka_unit_test(test_stale_words),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
