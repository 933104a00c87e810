#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwsteer/admission.h"
#include "script.h"

struct context {
	struct bw_admission admission;
	struct bw_random random;
	struct bw_time now;
};

static void init_config_(struct bw_admission_config *config)
{
	bw_admission_config_default(config);
	config->ranks_count = 3;
	config->services_max = 2;
	config->rank[0].min_share_percent = 20;
	config->rank[1].min_share_percent = 15;
	config->rank[2].min_share_percent = 5;
}

static void init_(struct context *context,
		  const struct bw_admission_config *config)
{
	uint32_t service;

	context->now = (struct bw_time){ 100000 };
	bw_random_init(&context->random, 1);
	assert_int_equal(bw_admission_init(&context->admission, config,
					   context->now),
			 BW_OK);
	bw_admission_service(&context->admission, "certdesk", &service);
	bw_admission_service(&context->admission, "closurehub", &service);
}

static void offer_(struct context *context, uint64_t id, uint32_t service,
		   uint32_t rank, int64_t deadline_ms, uint32_t free_slots,
		   struct bw_admission_result *result)
{
	struct bw_admission_request request = {
		id, service, rank, 1000, { 0 }
	};

	request.deadline = bw_time_add(context->now, deadline_ms);
	bw_admission_offer(&context->admission, &request, free_slots,
			   context->now, &context->random, result);
}

/* Commands: offer ID SERVICE RANK DEADLINE_MS FREE | next SERVICE FREE |
 * done SERVICE RANK TIME_US | remove ID | expire | advance MS */
static void command_(void *pointer, int argc, char **argv,
		     struct bw_buffer *out)
{
	struct context *context = pointer;
	struct bw_admission *admission = &context->admission;
	struct bw_admission_request request;
	struct bw_admission_result result;
	uint32_t arg[6] = { 0 };
	int i;

	for (i = 1; i < argc && i < 6; i++)
		arg[i] = (uint32_t)strtoul(argv[i], NULL, 10);
	if (!strcmp(argv[0], "offer")) {
		offer_(context, arg[1], arg[2], arg[3], arg[4], arg[5],
		       &result);
		bw_buffer_printf(out, "%s %s\n",
				 bw_admission_outcome_string[result.outcome],
				 bw_admission_reason_string[result.reason]);
	} else if (!strcmp(argv[0], "next")) {
		if (bw_admission_next(admission, arg[1], arg[2], context->now,
				      &request) == BW_OK)
			bw_buffer_printf(out, "%u\n", (uint32_t)request.id);
		else
			bw_buffer_printf(out, "none\n");
	} else if (!strcmp(argv[0], "done")) {
		bw_admission_done(admission, arg[1], arg[2], arg[3]);
	} else if (!strcmp(argv[0], "remove")) {
		bw_buffer_printf(out, "%s\n",
				 bw_status_string[bw_admission_remove(admission,
								      arg[1])]);
	} else if (!strcmp(argv[0], "expire")) {
		while (bw_admission_expire(admission, context->now, &request) ==
		       BW_OK)
			bw_buffer_printf(out, "%u\n", (uint32_t)request.id);
	} else {
		assert_string_equal(argv[0], "advance");
		context->now.ms += arg[1];
	}
}

/* Guards against a wrong order, starts after the deadline and lost queue
 * entries. */
static void test_script(void **state)
{
	struct bw_admission_config config;
	struct context context;

	(void)state;
	init_config_(&config);
	config.queue_max = 3;
	init_(&context, &config);
	script_check("src/test_libbwsteer/scripts/admission.script", command_,
		     &context);
	bw_admission_finish(&context.admission);
}

/* Guards against minimum shares that hold within a service but not across
 * services when the host's slots are the limit: the urgent rank floods one
 * service and the other ranks use another one. */
static void test_host_slots(void **state)
{
	static const uint32_t free_slots[] = { 1000, 1000 };
	struct bw_admission_config config;
	struct bw_admission_request running[4];
	struct bw_admission_result result;
	struct context context;
	uint32_t granted[3] = { 0 };
	uint64_t id = 1;
	uint32_t i;

	(void)state;
	init_config_(&config);
	config.host_slots = 4;
	init_(&context, &config);
	for (i = 0; i < 4; i++) {
		running[i].service = 0;
		running[i].rank = 0;
		offer_(&context, id++, 0, 0, 60000, 1000, &result);
		assert_int_equal(result.outcome, BW_ADMISSION_ADMITTED);
	}
	for (i = 0; i < 400; i++) {
		offer_(&context, id++, 0, 0, 60000, 1000, &result);
		offer_(&context, id++, 1, 1, 60000, 1000, &result);
		offer_(&context, id++, 1, 2, 60000, 1000, &result);
		context.now.ms += 5;
		assert_int_equal(bw_admission_next_any(&context.admission,
						       free_slots, context.now,
						       &running[i % 4]),
				 BW_EAGAIN);
		bw_admission_done(&context.admission, running[i % 4].service,
				  running[i % 4].rank, 20000);
		assert_int_equal(bw_admission_next_any(&context.admission,
						       free_slots, context.now,
						       &running[i % 4]),
				 BW_OK);
		granted[running[i % 4].rank]++;
		assert_int_equal(context.admission.running, 4);
	}
	/* Shares of 15 and 5 percent of 400; the most urgent rank gets the
	 * rest. */
	assert_in_range(granted[1], 59, 62);
	assert_in_range(granted[2], 19, 22);
	bw_admission_finish(&context.admission);
}

/* Guards against a minimum share that holds only while requests of the rank are
 * queued. The few callers of a rank use this host for a third of the time only,
 * and the rank must still get its share of all grants. Requests of the most
 * urgent rank are queued all the time. */
static void test_share_of_intermittent_rank(void **state)
{
	struct bw_admission_config config;
	struct bw_admission_request request;
	struct bw_admission_result result;
	struct context context;
	uint32_t granted[3] = { 0 };
	uint32_t grant;
	uint64_t id = 2; /* odd ids belong to rank 1 */
	uint64_t next_to_cancel = id;

	(void)state;
	init_config_(&config);
	config.rank[1].min_share_percent = 15;
	config.rank[1].target_latency_ms = 0;
	init_(&context, &config);
	for (grant = 0; grant < 900; grant++) {
		offer_(&context, id, 0, 0, 600000, 0, &result);
		if (grant % 150 >= 100)
			offer_(&context, id + 1, 0, 1, 600000, 0, &result);
		id += 2;
		assert_int_equal(bw_admission_next(&context.admission, 0, 1,
						   context.now, &request),
				 BW_OK);
		bw_admission_done(&context.admission, 0, request.rank, 0);
		granted[request.rank]++;
		/* Callers that move to another host cancel their requests. */
		for (; grant % 150 == 149 && next_to_cancel < id;
		     next_to_cancel++)
			if (next_to_cancel % 2)
				bw_admission_remove(&context.admission,
						    next_to_cancel);
	}
	assert_in_range(granted[1], 900 * 15 / 100 - 1, 900 * 20 / 100);
	assert_true(granted[0] >= 900 * 75 / 100);
	bw_admission_finish(&context.admission);
}

/* Guards against unbounded memory under a flood, and against a flood of one
 * rank that fills the queue space of the others. */
static void test_bounds(void **state)
{
	struct bw_admission_config config;
	struct bw_admission_result result;
	struct context context;
	uint32_t refused[BW_ADMISSION_REASON_COUNT] = { 0 };
	uint32_t i;

	(void)state;
	init_config_(&config);
	config.total_max = 30;
	config.queue_max = 8;
	config.queue_max_bytes = 7500;
	init_(&context, &config);
	for (i = 0; i < 100; i++) {
		offer_(&context, i + 1, i % 2, 2, 60000, 0, &result);
		refused[result.reason]++;
	}
	assert_int_equal(context.admission.rank_queued[2], 10);
	assert_int_equal(refused[BW_ADMISSION_HOST_FULL], 90);
	offer_(&context, 200, 0, 0, 60000, 0, &result);
	assert_int_equal(result.outcome, BW_ADMISSION_QUEUED);
	for (i = 0; i < 20; i++)
		offer_(&context, 300 + i, 0, 1, 60000, 0, &result);
	assert_int_equal(result.reason, BW_ADMISSION_QUEUE_BYTES);
	assert_true(context.admission.services[0].queue[1].bytes <= 7500);
	assert_true(result.retry_after_ms >= 50);
	bw_admission_finish(&context.admission);
}

/* Guards against refusals that continue after a single slow request, because
 * the estimated service time is never updated. */
static void test_estimate_recovers(void **state)
{
	struct bw_admission_config config;
	struct bw_admission_result result;
	struct context context;

	(void)state;
	init_config_(&config);
	init_(&context, &config);
	offer_(&context, 1, 0, 0, 60000, 1, &result);
	bw_admission_done(&context.admission, 0, 0, 30000000);
	offer_(&context, 2, 0, 0, 1000, 1, &result);
	assert_int_equal(result.outcome, BW_ADMISSION_ADMITTED);
	offer_(&context, 3, 0, 0, 1000, 1, &result);
	assert_int_equal(result.reason, BW_ADMISSION_DEADLINE);
	bw_admission_done(&context.admission, 0, 0, 1000);
	offer_(&context, 4, 0, 0, 1000, 1, &result);
	assert_int_equal(result.outcome, BW_ADMISSION_ADMITTED);
	bw_admission_finish(&context.admission);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_script),
		cmocka_unit_test(test_host_slots),
		cmocka_unit_test(test_share_of_intermittent_rank),
		cmocka_unit_test(test_bounds),
		cmocka_unit_test(test_estimate_recovers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
