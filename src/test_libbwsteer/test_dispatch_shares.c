/*
 * Tests of the dispatcher with customers that share the room of a service. They
 * guard against a customer whose waiting jobs keep those of another one from
 * being served or accepted, against a share that goes before a rank, and
 * against any change of the order where no job has a customer.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "dispatch_fixture.h"

#define HEAVY 11
#define LIGHT 12
#define WORK_MS 50
#define RUNNING_MAX 4
/* Jobs of the heavy customer that wait; more than can be served in time. */
#define QUEUE 200
/* Customers that then send one job each. */
#define LIGHT_CUSTOMERS 15

static void job_of_(struct bw_dispatch *dispatch, struct bw_job *job,
		    uint64_t customer, uint32_t rank, int64_t ms)
{
	fixture_job(dispatch, job, "k", rank, ms);
	job->object = 0;
	job->customer_hash = customer;
}

/* Sends a job and ends it after WORK_MS. */
static void run_job_(struct bw_dispatch *dispatch, uint64_t customer,
		     int64_t ms)
{
	struct bw_rejection rejection;
	struct bw_job job;

	job_of_(dispatch, &job, customer, 0, ms);
	assert_int_equal(bw_dispatch_offer(dispatch, &job, fixture_time(ms),
					   &rejection),
			 BW_VERDICT_SEND);
	bw_dispatch_sent(dispatch, &job, fixture_time(ms));
	bw_dispatch_ended(dispatch, &job, BW_JOB_ANSWERED, NULL,
			  fixture_time(ms + WORK_MS));
}

/* One server with one slot, which HEAVY has used almost alone for 3 s. */
static int64_t begin_(struct bw_dispatch *dispatch)
{
	int64_t ms;

	bw_dispatch_init(dispatch, 1);
	fixture_update(dispatch, 1, 1, NULL, 0);
	run_job_(dispatch, LIGHT, 0);
	for (ms = WORK_MS; ms < 3000; ms += WORK_MS)
		run_job_(dispatch, HEAVY, ms);
	return ms;
}

/*
 * Sends jobs until none more is placed; the dispatcher overcommits the slot.
 * @return their number
 */
static uint32_t occupy_(struct bw_dispatch *dispatch,
			struct bw_job running[RUNNING_MAX], uint64_t customer,
			int64_t ms)
{
	struct bw_rejection rejection;
	uint32_t count = 0;

	for (;;) {
		struct bw_job *job = &running[count];

		assert_true(count < RUNNING_MAX);
		job_of_(dispatch, job, customer, 0, ms);
		if (bw_dispatch_offer(dispatch, job, fixture_time(ms),
				      &rejection) != BW_VERDICT_SEND)
			break;
		bw_dispatch_sent(dispatch, job, fixture_time(ms));
		count++;
	}
	bw_dispatch_remove(dispatch, &running[count]);
	return count;
}

static enum bw_verdict offer_(struct bw_dispatch *dispatch, struct bw_job *job,
			      struct bw_rejection *rejection)
{
	return bw_dispatch_offer(dispatch, job, job->arrived, rejection);
}

/* Ends the running jobs but the first one, and removes the waiting ones. */
static void finish_(struct bw_dispatch *dispatch, struct bw_job *running,
		    uint32_t running_count, struct bw_job *jobs, uint32_t count)
{
	uint32_t i;

	for (i = 1; i < running_count; i++)
		bw_dispatch_ended(dispatch, &running[i], BW_JOB_CANCELLED, NULL,
				  running[i].sent);
	for (i = 0; i < count; i++)
		bw_dispatch_remove(dispatch, &jobs[i]);
	bw_dispatch_finish(dispatch);
}

/* Returns the next job after the running one has ended. */
static struct bw_job *next_after_(struct bw_dispatch *dispatch,
				  struct bw_job *running, int64_t ms)
{
	struct bw_rejection rejection;
	enum bw_verdict verdict;
	struct bw_job *job;

	bw_dispatch_ended(dispatch, running, BW_JOB_ANSWERED, NULL,
			  fixture_time(ms));
	do {
		job = bw_dispatch_next(dispatch, fixture_time(ms), &verdict,
				       &rejection);
	} while (job && verdict == BW_VERDICT_REJECT);
	return job;
}

static void test_light_customer_goes_first(void **state)
{
	struct bw_rejection rejection;
	struct bw_dispatch dispatch;
	struct bw_job running[RUNNING_MAX];
	uint32_t count;
	struct bw_job jobs[5];
	int64_t ms;
	int i;

	(void)state;
	ms = begin_(&dispatch);
	count = occupy_(&dispatch, running, HEAVY, ms);
	for (i = 0; i < 5; i++) {
		job_of_(&dispatch, &jobs[i], i == 4 ? LIGHT : HEAVY, 0, ms + i);
		assert_int_equal(offer_(&dispatch, &jobs[i], &rejection),
				 BW_VERDICT_WAIT);
	}
	assert_int_equal(bw_dispatch_contended(&dispatch, fixture_time(ms)), 1);
	assert_ptr_equal(next_after_(&dispatch, &running[0], ms + WORK_MS),
			 &jobs[4]);
	finish_(&dispatch, running, count, jobs, 5);
}

/* The queue holds all that can be served in time, of one customer. */
static void test_light_customer_is_accepted(void **state)
{
	static struct bw_job jobs[QUEUE + LIGHT_CUSTOMERS];
	struct bw_rejection rejection;
	enum bw_verdict verdict;
	struct bw_dispatch dispatch;
	struct bw_job running[RUNNING_MAX];
	uint32_t count;
	uint32_t rejected = 0;
	struct bw_job *job;
	int64_t ms;
	int i;

	(void)state;
	ms = begin_(&dispatch);
	count = occupy_(&dispatch, running, HEAVY, ms);
	for (i = 0; i < QUEUE; i++) {
		job_of_(&dispatch, &jobs[i], HEAVY, 0, ms);
		if (offer_(&dispatch, &jobs[i], &rejection) == BW_VERDICT_WAIT)
			continue;
		assert_int_equal(rejection.reason, BW_REJECT_SHARE);
		rejected++;
	}
	assert_true(rejected > 0 && rejected < QUEUE);
	/* With these, the last waiting ones of HEAVY no longer fit. */
	for (i = 0; i < LIGHT_CUSTOMERS; i++) {
		struct bw_job *light = &jobs[QUEUE + i];

		job_of_(&dispatch, light, LIGHT + (uint64_t)i, 0, ms + 1);
		assert_int_equal(offer_(&dispatch, light, &rejection),
				 BW_VERDICT_WAIT);
	}
	rejected = 0;
	while ((job = bw_dispatch_next(&dispatch, fixture_time(ms + 100),
				       &verdict, &rejection))) {
		assert_int_equal(verdict, BW_VERDICT_REJECT);
		assert_int_equal(job->customer_hash, HEAVY);
		assert_int_equal(rejection.reason, BW_REJECT_SHARE);
		assert_true(rejection.retry_after_ms >= 100);
		rejected++;
	}
	assert_true(rejected > 0);
	bw_dispatch_ended(&dispatch, &running[0], BW_JOB_ANSWERED, NULL,
			  fixture_time(ms + 100));
	finish_(&dispatch, running, count, jobs, QUEUE + LIGHT_CUSTOMERS);
}

static void test_rank_goes_before_share(void **state)
{
	struct bw_rejection rejection;
	struct bw_dispatch dispatch;
	struct bw_job running[RUNNING_MAX];
	uint32_t count;
	struct bw_job jobs[2];
	int64_t ms;

	(void)state;
	ms = begin_(&dispatch);
	count = occupy_(&dispatch, running, HEAVY, ms);
	job_of_(&dispatch, &jobs[0], LIGHT, 1, ms);
	job_of_(&dispatch, &jobs[1], HEAVY, 0, ms + 1);
	assert_int_equal(offer_(&dispatch, &jobs[0], &rejection),
			 BW_VERDICT_WAIT);
	assert_int_equal(offer_(&dispatch, &jobs[1], &rejection),
			 BW_VERDICT_WAIT);
	assert_ptr_equal(next_after_(&dispatch, &running[0], ms + WORK_MS),
			 &jobs[1]);
	finish_(&dispatch, running, count, jobs, 2);
}

/* News: customers below their share lack room at some host. */
static void receive_news_(struct bw_dispatch *dispatch, int64_t ms)
{
	struct bw_fair_rate heavy = { 50000, 60000 };
	struct bw_fair_rate light = { 1000, 5000 };
	struct bw_fair_rate total = { 51000, 65000 };
	struct bw_fair_shares *shares = &dispatch->shares;
	struct bw_time now = fixture_time(ms);

	bw_fair_share_set_fleet(shares, HEAVY, 0, &heavy, now);
	bw_fair_share_set_fleet(shares, LIGHT, 0, &light, now);
	bw_fair_share_set_fleet_total(shares, &total, 2, now);
}

/*
 * A slot is free here, but a customer below its share lacks room at another
 * host, and nothing is to spare.
 */
static void test_gives_way_to_other_hosts(void **state)
{
	uint64_t server = bw_registry_hash("i-0");
	struct bw_rejection rejection;
	struct bw_dispatch dispatch;
	enum bw_verdict verdict;
	struct bw_job jobs[2];
	int64_t ms;

	(void)state;
	ms = begin_(&dispatch);
	fixture_update(&dispatch, 1, 8, NULL, ms);
	bw_dispatch_note_load(&dispatch, server, 7, fixture_time(ms));
	receive_news_(&dispatch, ms - 1000);
	receive_news_(&dispatch, ms);
	job_of_(&dispatch, &jobs[0], HEAVY, 0, ms);
	job_of_(&dispatch, &jobs[1], LIGHT, 0, ms);
	assert_int_equal(offer_(&dispatch, &jobs[0], &rejection),
			 BW_VERDICT_WAIT);
	assert_null(bw_dispatch_next(&dispatch, fixture_time(ms), &verdict,
				     &rejection));
	assert_int_equal(offer_(&dispatch, &jobs[1], &rejection),
			 BW_VERDICT_SEND);
	/* With room to spare nobody gives way. */
	bw_dispatch_note_load(&dispatch, server, 0, fixture_time(ms));
	assert_ptr_equal(bw_dispatch_next(&dispatch, fixture_time(ms), &verdict,
					  &rejection),
			 &jobs[0]);
	assert_int_equal(verdict, BW_VERDICT_SEND);
	bw_dispatch_finish(&dispatch);
}

/*
 * The servers are full with requests of other hosts, and no job waits here. A
 * customer beyond its share leaves the rest of the acceptable wait to others.
 */
static void test_full_servers(void **state)
{
	uint64_t server = bw_registry_hash("i-0");
	struct bw_rejection rejection;
	struct bw_dispatch dispatch;
	struct bw_job jobs[2];
	uint32_t rejected_at = 0;
	uint32_t busy;
	int64_t ms;

	(void)state;
	ms = begin_(&dispatch);
	/* All jobs are for one object, whose home is the server. */
	for (busy = 1; busy < 100 && !rejected_at; busy++) {
		bw_dispatch_note_load(&dispatch, server, busy,
				      fixture_time(ms + 1000));
		fixture_job(&dispatch, &jobs[0], "k", 0, ms + 1000);
		jobs[0].customer_hash = HEAVY;
		if (offer_(&dispatch, &jobs[0], &rejection) ==
		    BW_VERDICT_REJECT)
			rejected_at = busy;
		bw_dispatch_remove(&dispatch, &jobs[0]);
	}
	assert_true(rejected_at > 1);
	assert_int_equal(rejection.reason, BW_REJECT_SHARE);
	fixture_job(&dispatch, &jobs[1], "k", 0, ms + 1000);
	jobs[1].customer_hash = LIGHT;
	assert_int_equal(offer_(&dispatch, &jobs[1], &rejection),
			 BW_VERDICT_WAIT);
	finish_(&dispatch, jobs, 0, &jobs[1], 1);
}

/* Also a job that is placed once more goes by its arrival. */
static void test_no_customers_by_arrival(void **state)
{
	static const int64_t arrivals_ms[4] = { 30, 10, 20, 0 };
	static const int order[4] = { 3, 1, 2, 0 };
	struct bw_rejection rejection;
	struct bw_dispatch dispatch;
	struct bw_job running[RUNNING_MAX];
	uint32_t count;
	struct bw_job jobs[4];
	int64_t ms;
	int i;

	(void)state;
	bw_dispatch_init(&dispatch, 1);
	fixture_update(&dispatch, 1, 1, NULL, 0);
	for (ms = 0; ms < 3000; ms += WORK_MS)
		run_job_(&dispatch, 0, ms);
	count = occupy_(&dispatch, running, 0, ms);
	for (i = 0; i < 4; i++) {
		job_of_(&dispatch, &jobs[i], 0, 0, ms + arrivals_ms[i]);
		assert_int_equal(offer_(&dispatch, &jobs[i], &rejection),
				 BW_VERDICT_WAIT);
	}
	assert_int_equal(bw_dispatch_contended(&dispatch, fixture_time(ms)), 0);
	assert_null(dispatch.shares.table);
	for (i = 0; i < 4; i++) {
		struct bw_job *job;

		ms += WORK_MS;
		job = next_after_(&dispatch,
				  i ? &jobs[order[i - 1]] : &running[0], ms);
		assert_ptr_equal(job, &jobs[order[i]]);
		bw_dispatch_sent(&dispatch, job, fixture_time(ms));
	}
	bw_dispatch_ended(&dispatch, &jobs[order[3]], BW_JOB_ANSWERED, NULL,
			  fixture_time(ms));
	finish_(&dispatch, running, count, jobs, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_light_customer_goes_first),
		cmocka_unit_test(test_light_customer_is_accepted),
		cmocka_unit_test(test_rank_goes_before_share),
		cmocka_unit_test(test_gives_way_to_other_hosts),
		cmocka_unit_test(test_full_servers),
		cmocka_unit_test(test_no_customers_by_arrival),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
