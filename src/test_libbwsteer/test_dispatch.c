/*
 * Tests single decisions of the dispatcher. Guards against requests that wait
 * although no server may run them, against less urgent requests that go first,
 * and against the use of a server that has been removed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "dispatch_fixture.h"

/** Slots of each server. */
#define SLOTS 2

static void setup_(struct bw_dispatch *dispatch)
{
	bw_dispatch_init(dispatch, 1);
	dispatch->domain_count = 1;
}

/* Sends jobs until the server accepts no more. */
static uint32_t fill_server_(struct bw_dispatch *dispatch, struct bw_job *jobs)
{
	struct bw_rejection rejection;
	uint32_t count = 0;

	for (;; count++) {
		fixture_job(dispatch, &jobs[count], "key", 1, 0);
		if (bw_dispatch_offer(dispatch, &jobs[count], fixture_time(0),
				      &rejection) != BW_VERDICT_SEND)
			break;
		bw_dispatch_sent(dispatch, &jobs[count], fixture_time(0));
	}
	bw_dispatch_remove(dispatch, &jobs[count]);
	return count;
}

static void cancel_jobs_(struct bw_dispatch *dispatch, struct bw_job *jobs,
			 uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		bw_dispatch_ended(dispatch, &jobs[i], BW_JOB_CANCELLED, NULL,
				  fixture_time(900));
}

static void test_no_server(void **state)
{
	struct bw_dispatch dispatch;
	struct bw_rejection rejection;
	struct bw_job job;

	(void)state;
	setup_(&dispatch);
	fixture_job(&dispatch, &job, "key", 0, 0);
	assert_int_equal(bw_dispatch_offer(&dispatch, &job, fixture_time(0),
					   &rejection),
			 BW_VERDICT_REJECT);
	assert_int_equal(rejection.reason, BW_REJECT_NO_SERVER);
	assert_true(rejection.retry_after_ms > 0);
	/* The only server was tried before. */
	fixture_update(&dispatch, 1, SLOTS, NULL, 0);
	job.tried[job.tried_count++] = bw_registry_hash("i-0");
	assert_int_equal(bw_dispatch_offer(&dispatch, &job, fixture_time(0),
					   &rejection),
			 BW_VERDICT_REJECT);
	assert_int_equal(rejection.reason, BW_REJECT_NO_SERVER);
	bw_dispatch_finish(&dispatch);
}

static void test_ranks(void **state)
{
	struct bw_dispatch dispatch;
	struct bw_rejection rejection;
	struct bw_job sent[16];
	struct bw_job low;
	struct bw_job high;
	enum bw_verdict verdict;
	uint32_t count;

	(void)state;
	setup_(&dispatch);
	fixture_update(&dispatch, 1, SLOTS, NULL, 0);
	count = fill_server_(&dispatch, sent);
	assert_true(count >= 2 && count < 16);
	fixture_job(&dispatch, &low, "key", 2, 0);
	fixture_job(&dispatch, &high, "key", 0, 10);
	assert_int_equal(bw_dispatch_offer(&dispatch, &low, fixture_time(0),
					   &rejection),
			 BW_VERDICT_WAIT);
	assert_int_equal(bw_dispatch_offer(&dispatch, &high, fixture_time(10),
					   &rejection),
			 BW_VERDICT_WAIT);
	assert_null(bw_dispatch_next(&dispatch, fixture_time(20), &verdict,
				     &rejection));
	bw_dispatch_ended(&dispatch, &sent[0], BW_JOB_ANSWERED, NULL,
			  fixture_time(30));
	/* The urgent job goes first, although it arrived later. */
	assert_ptr_equal(bw_dispatch_next(&dispatch, fixture_time(30), &verdict,
					  &rejection),
			 &high);
	assert_int_equal(verdict, BW_VERDICT_SEND);
	bw_dispatch_sent(&dispatch, &high, fixture_time(30));
	assert_int_equal(bw_dispatch_waiting(&dispatch), 1);
	bw_dispatch_remove(&dispatch, &low);
	bw_dispatch_ended(&dispatch, &high, BW_JOB_CANCELLED, NULL,
			  fixture_time(40));
	cancel_jobs_(&dispatch, sent + 1, count - 1);
	bw_dispatch_finish(&dispatch);
}

/*
 * The home server of a waiting request is removed, and the request is then
 * rejected.
 */
static void test_home_is_removed(void **state)
{
	struct bw_dispatch dispatch;
	struct bw_rejection rejection;
	struct bw_job sent[16];
	struct bw_job job;
	enum bw_verdict verdict;
	uint32_t count;

	(void)state;
	setup_(&dispatch);
	fixture_update(&dispatch, 1, SLOTS, NULL, 0);
	count = fill_server_(&dispatch, sent);
	fixture_job(&dispatch, &job, "key", 1, 0);
	assert_int_equal(bw_dispatch_offer(&dispatch, &job, fixture_time(0),
					   &rejection),
			 BW_VERDICT_WAIT);
	cancel_jobs_(&dispatch, sent, count);
	fixture_update(&dispatch, 0, SLOTS, NULL, 950);
	assert_ptr_equal(bw_dispatch_next(&dispatch, fixture_time(1001),
					  &verdict, &rejection),
			 &job);
	assert_int_equal(verdict, BW_VERDICT_REJECT);
	assert_int_equal(rejection.reason, BW_REJECT_DEADLINE);
	assert_int_equal(bw_dispatch_waiting(&dispatch), 0);
	bw_dispatch_finish(&dispatch);
}

/*
 * Completes two jobs, so that the dispatcher knows the response time of the
 * only server: 100 ms for a warm object.
 */
static void record_response_times_(struct bw_dispatch *dispatch)
{
	struct bw_rejection rejection;
	struct bw_job job;
	uint32_t i;

	for (i = 0; i < 2; i++) {
		fixture_job(dispatch, &job, "key", 1, -400 + 200 * (int64_t)i);
		bw_dispatch_offer(dispatch, &job, job.arrived, &rejection);
		bw_dispatch_sent(dispatch, &job, job.arrived);
		bw_dispatch_ended(dispatch, &job, BW_JOB_ANSWERED, NULL,
				  bw_time_add(job.arrived, 100));
	}
}

/*
 * Guards against requests that a stopping host keeps until it ends, and against
 * new ones that it takes although they cannot end in time.
 */
static void test_stopping_host(void **state)
{
	struct bw_dispatch dispatch;
	struct bw_rejection rejection;
	enum bw_verdict verdict;
	struct bw_job sent[16];
	struct bw_job waiting;
	struct bw_job late;
	uint32_t count;

	(void)state;
	setup_(&dispatch);
	fixture_update(&dispatch, 1, SLOTS, NULL, -500);
	record_response_times_(&dispatch);
	count = fill_server_(&dispatch, sent);
	fixture_job(&dispatch, &waiting, "key", 1, 0);
	assert_int_equal(bw_dispatch_offer(&dispatch, &waiting, fixture_time(0),
					   &rejection),
			 BW_VERDICT_WAIT);
	bw_dispatch_stop(&dispatch, fixture_time(600), fixture_time(600));
	assert_null(bw_dispatch_next(&dispatch, fixture_time(20), &verdict,
				     &rejection));
	/* A response takes 100 ms, and the host stops in less. */
	assert_ptr_equal(bw_dispatch_next(&dispatch, fixture_time(520),
					  &verdict, &rejection),
			 &waiting);
	assert_int_equal(verdict, BW_VERDICT_REJECT);
	assert_int_equal(rejection.reason, BW_REJECT_STOPPING);
	assert_in_range(rejection.retry_after_ms, 1, 200);
	cancel_jobs_(&dispatch, sent, count);
	fixture_job(&dispatch, &late, "key", 1, 530);
	assert_int_equal(bw_dispatch_offer(&dispatch, &late, fixture_time(530),
					   &rejection),
			 BW_VERDICT_REJECT);
	assert_int_equal(rejection.reason, BW_REJECT_STOPPING);
	bw_dispatch_finish(&dispatch);
}

/*
 * Guards against a stopping host that takes a request which an average one
 * would end in time, and cuts it off.
 */
static void test_stopping_host_takes_no_chances_late(void **state)
{
	struct bw_dispatch dispatch;
	struct bw_rejection rejection;
	struct bw_job early;
	struct bw_job late;
	struct bw_job in_time;

	(void)state;
	setup_(&dispatch);
	fixture_update(&dispatch, 1, SLOTS, NULL, -500);
	record_response_times_(&dispatch);
	bw_dispatch_stop(&dispatch, fixture_time(300), fixture_time(900));
	fixture_job(&dispatch, &early, "key", 1, 299);
	assert_true(bw_time_diff_ms(early.deadline, fixture_time(900)) > 0);
	assert_int_equal(bw_dispatch_offer(&dispatch, &early, fixture_time(299),
					   &rejection),
			 BW_VERDICT_SEND);
	fixture_job(&dispatch, &late, "key", 1, 300);
	assert_int_equal(bw_dispatch_offer(&dispatch, &late, fixture_time(300),
					   &rejection),
			 BW_VERDICT_REJECT);
	assert_int_equal(rejection.reason, BW_REJECT_STOPPING);
	assert_in_range(rejection.retry_after_ms, 1, 200);
	fixture_job(&dispatch, &in_time, "key", 1, 300);
	in_time.deadline = fixture_time(900);
	assert_int_equal(bw_dispatch_offer(&dispatch, &in_time,
					   fixture_time(300), &rejection),
			 BW_VERDICT_SEND);
	bw_dispatch_sent(&dispatch, &early, fixture_time(300));
	bw_dispatch_sent(&dispatch, &in_time, fixture_time(300));
	cancel_jobs_(&dispatch, &early, 1);
	cancel_jobs_(&dispatch, &in_time, 1);
	bw_dispatch_finish(&dispatch);
}

/*
 * Guards against a request that waits until its deadline although the load of
 * other hosts, reported after it was queued, leaves no time to run it.
 */
static void test_unmeetable_deadline(void **state)
{
	struct bw_dispatch dispatch;
	struct bw_rejection rejection;
	enum bw_verdict verdict;
	struct bw_job sent[16];
	struct bw_job waiting;
	uint32_t count;

	(void)state;
	setup_(&dispatch);
	fixture_update(&dispatch, 1, SLOTS, NULL, -500);
	record_response_times_(&dispatch);
	count = fill_server_(&dispatch, sent);
	fixture_job(&dispatch, &waiting, "key", 1, 0);
	assert_int_equal(bw_dispatch_offer(&dispatch, &waiting, fixture_time(0),
					   &rejection),
			 BW_VERDICT_WAIT);
	assert_null(bw_dispatch_next(&dispatch, fixture_time(50), &verdict,
				     &rejection));
	bw_dispatch_note_load(&dispatch, bw_registry_hash("i-0"), 100,
			      fixture_time(60));
	assert_ptr_equal(bw_dispatch_next(&dispatch, fixture_time(120),
					  &verdict, &rejection),
			 &waiting);
	assert_int_equal(verdict, BW_VERDICT_REJECT);
	assert_int_equal(rejection.reason, BW_REJECT_OVERLOAD);
	assert_false(waiting.queued);
	cancel_jobs_(&dispatch, sent, count);
	bw_dispatch_finish(&dispatch);
}

/*
 * Guards against hosts that all fill a server without a load report: its queue
 * then holds requests until they time out.
 */
static void test_unreported_server(void **state)
{
	const struct bw_load_report idle = { .slots = SLOTS };
	struct bw_dispatch dispatch;
	struct bw_job jobs[16];
	uint32_t count;

	(void)state;
	setup_(&dispatch);
	dispatch.peer_count = 10;
	fixture_update(&dispatch, 1, SLOTS, NULL, 0);
	/* Ten hosts send one request each to two slots. */
	assert_int_equal(fill_server_(&dispatch, jobs), 1);
	/* A report shows that the other hosts do not. */
	bw_dispatch_ended(&dispatch, &jobs[0], BW_JOB_ANSWERED, &idle,
			  fixture_time(0));
	count = fill_server_(&dispatch, jobs);
	assert_in_range(count, SLOTS, 15);
	cancel_jobs_(&dispatch, jobs, count);
	bw_dispatch_finish(&dispatch);
}

/* Guards against requests to a server that has failed twice in a row, and
 * against avoiding it permanently. */
static void test_failures_eject(void **state)
{
	struct bw_dispatch dispatch;
	struct bw_rejection rejection;
	struct bw_job job;
	int i;

	(void)state;
	setup_(&dispatch);
	fixture_update(&dispatch, 1, SLOTS, NULL, 0);
	for (i = 0; i < 2; i++) {
		fixture_job(&dispatch, &job, "key", 0, 0);
		assert_int_equal(bw_dispatch_offer(&dispatch, &job,
						   fixture_time(0), &rejection),
				 BW_VERDICT_SEND);
		bw_dispatch_sent(&dispatch, &job, fixture_time(0));
		bw_dispatch_ended(&dispatch, &job, BW_JOB_FAILED, NULL,
				  fixture_time(10));
	}
	fixture_job(&dispatch, &job, "key", 0, 20);
	assert_int_not_equal(bw_dispatch_offer(&dispatch, &job,
					       fixture_time(20), &rejection),
			     BW_VERDICT_SEND);
	bw_dispatch_remove(&dispatch, &job);
	fixture_job(&dispatch, &job, "key", 0, 5000);
	assert_int_equal(bw_dispatch_offer(&dispatch, &job, fixture_time(5000),
					   &rejection),
			 BW_VERDICT_SEND);
	bw_dispatch_finish(&dispatch);
}

/*
 * Guards against a server that is avoided, and its objects moved to servers
 * that do not know them, because requests waited for its slots until their
 * deadline.
 */
static void test_full_server_is_not_ejected(void **state)
{
	static const struct bw_load_report full = { SLOTS, 4, SLOTS };
	static const struct bw_load_report idle = { 1, 0, SLOTS };
	struct bw_dispatch dispatch;
	struct bw_rejection rejection;
	struct bw_job job;
	int i;

	(void)state;
	setup_(&dispatch);
	fixture_update(&dispatch, 1, SLOTS, NULL, 0);
	for (i = 0; i < 4; i++) {
		int64_t ms = 3000 * i;

		fixture_job(&dispatch, &job, "key", 0, ms);
		assert_int_equal(bw_dispatch_offer(&dispatch, &job,
						   fixture_time(ms),
						   &rejection),
				 BW_VERDICT_SEND);
		bw_dispatch_sent(&dispatch, &job, fixture_time(ms));
		bw_dispatch_ended(&dispatch, &job, BW_JOB_EXPIRED,
				  i < 2 ? &full : &idle,
				  fixture_time(ms + 1000));
	}
	/* One that had free slots has failed. */
	fixture_job(&dispatch, &job, "key", 0, 10100);
	assert_int_not_equal(bw_dispatch_offer(&dispatch, &job,
					       fixture_time(10100), &rejection),
			     BW_VERDICT_SEND);
	bw_dispatch_remove(&dispatch, &job);
	bw_dispatch_finish(&dispatch);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_server),
		cmocka_unit_test(test_ranks),
		cmocka_unit_test(test_home_is_removed),
		cmocka_unit_test(test_unmeetable_deadline),
		cmocka_unit_test(test_stopping_host),
		cmocka_unit_test(test_stopping_host_takes_no_chances_late),
		cmocka_unit_test(test_unreported_server),
		cmocka_unit_test(test_failures_eject),
		cmocka_unit_test(test_full_server_is_not_ejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
