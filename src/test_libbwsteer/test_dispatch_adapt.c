/*
 * Tests the request fractions of the servers of a service. Guards against
 * objects that leave their server during a short drop of the demand and are
 * cold when they return.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "dispatch_fixture.h"

#define SERVERS 4
#define SLOTS 5
#define OBJECTS 400
#define SERVICE_TIME_MS 400.0

/** Interval at which a host updates the dispatcher. */
#define UPDATE_MS 200

/* One server in the own domain, the others in another region. */
static const uint32_t domains_[SERVERS] = { 0, 1, 1, 1 };

/* Runs updates with a demand of the local domain in requests per second. */
static void run_updates_(struct bw_dispatch *dispatch, double demand_per_s,
			 int64_t from_ms, int64_t to_ms)
{
	struct bw_dispatch_service *service =
		bw_dispatch_service(dispatch, "s");
	int64_t ms;

	service->demand_per_s[0] = demand_per_s;
	service->demand_per_s[1] = 1.0;
	service->service_time_ms = SERVICE_TIME_MS;
	for (ms = from_ms; ms < to_ms; ms += UPDATE_MS)
		fixture_update(dispatch, SERVERS, SLOTS, domains_, ms);
}

static void find_homes_(struct bw_dispatch *dispatch, int64_t ms,
			uint64_t *homes)
{
	struct bw_rejection rejection;
	char key[16];
	uint32_t i;

	for (i = 0; i < OBJECTS; i++) {
		struct bw_job job;

		snprintf(key, sizeof(key), "key-%u", i);
		fixture_job(dispatch, &job, key, 1, ms);
		bw_dispatch_offer(dispatch, &job, fixture_time(ms), &rejection);
		bw_dispatch_remove(dispatch, &job);
		assert_non_null(job.home);
		homes[i] = job.home->id_hash;
	}
}

static uint32_t count_moved_(const uint64_t *a, const uint64_t *b)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < OBJECTS; i++)
		count += a[i] != b[i];
	return count;
}

static void test_short_fall(void **state)
{
	struct bw_dispatch dispatch;
	uint64_t before[OBJECTS];
	uint64_t during[OBJECTS];
	uint64_t later[OBJECTS];

	(void)state;
	bw_dispatch_init(&dispatch, 1);
	dispatch.domain_count = 2;
	dispatch.domain_region[1] = 1;
	run_updates_(&dispatch, 20.0, 0, 30000);
	find_homes_(&dispatch, 30000, before);
	run_updates_(&dispatch, 5.0, 30000, 36000);
	find_homes_(&dispatch, 36000, during);
	assert_in_range(count_moved_(before, during), 0, OBJECTS / 20);
	/*
	 * A lasting drop of the demand moves the objects back to the local
	 * domain.
	 */
	run_updates_(&dispatch, 5.0, 36000, 160000);
	find_homes_(&dispatch, 160000, later);
	assert_in_range(count_moved_(before, later), OBJECTS / 4, OBJECTS);
	bw_dispatch_finish(&dispatch);
}

/*
 * Guards against moving more of a region's requests to another region than the
 * operators allow, because the limit applies to each of many servers.
 */
static void test_move_between_regions(void **state)
{
	static const uint32_t domains[FIXTURE_SERVERS_MAX] = { 0, 0, 0, 0,
							       1, 1, 1, 1 };
	struct bw_dispatch dispatch;
	struct bw_dispatch_service *service;
	uint64_t before[OBJECTS];
	uint64_t after[OBJECTS];
	int64_t ms;

	(void)state;
	bw_dispatch_init(&dispatch, 1);
	dispatch.domain_count = 2;
	dispatch.domain_region[1] = 1;
	dispatch.region_step_max = 0.15;
	dispatch.region_window_ms = 2000;
	service = bw_dispatch_service(&dispatch, "s");
	service->service_time_ms = SERVICE_TIME_MS;
	service->demand_per_s[0] = 10.0;
	service->demand_per_s[1] = 1.0;
	for (ms = 0; ms < 20000; ms += UPDATE_MS)
		fixture_update(&dispatch, FIXTURE_SERVERS_MAX, SLOTS, domains,
			       ms);
	find_homes_(&dispatch, ms, before);
	service->demand_per_s[0] = 60.0;
	for (; ms <= 22000; ms += UPDATE_MS)
		fixture_update(&dispatch, FIXTURE_SERVERS_MAX, SLOTS, domains,
			       ms);
	find_homes_(&dispatch, ms, after);
	assert_in_range(count_moved_(before, after), 1, OBJECTS * 15 / 100);
	for (; ms <= 60000; ms += UPDATE_MS)
		fixture_update(&dispatch, FIXTURE_SERVERS_MAX, SLOTS, domains,
			       ms);
	find_homes_(&dispatch, ms, after);
	assert_in_range(count_moved_(before, after), OBJECTS / 4, OBJECTS);
	bw_dispatch_finish(&dispatch);
}

/* Returns how many objects two domains of a region prefer on other servers. */
static uint32_t count_other_homes_(uint32_t target_latency_ms)
{
	static const uint32_t domains[FIXTURE_SERVERS_MAX] = { 0, 0, 0, 0,
							       0, 0, 0, 1 };
	uint64_t homes[2][OBJECTS];
	uint32_t own;

	for (own = 0; own < 2; own++) {
		struct bw_dispatch dispatch;
		struct bw_dispatch_service *service;

		bw_dispatch_init(&dispatch, own);
		dispatch.domain_count = 2;
		dispatch.own_domain = own;
		service = bw_dispatch_service(&dispatch, "s");
		service->target_latency_ms = target_latency_ms;
		service->service_time_ms = SERVICE_TIME_MS;
		service->demand_per_s[0] = 20.0;
		service->demand_per_s[1] = 20.0;
		fixture_update(&dispatch, FIXTURE_SERVERS_MAX, SLOTS, domains,
			       0);
		find_homes_(&dispatch, 0, homes[own]);
		bw_dispatch_finish(&dispatch);
	}
	return count_moved_(homes[0], homes[1]);
}

/*
 * Guards against a cold run of each object in each domain of a region: hosts of
 * both domains have to prefer the same server for it, also when one domain has
 * few servers for its demand.
 */
static void test_region_shares_homes(void **state)
{
	(void)state;
	assert_int_equal(count_other_homes_(800), 0);
}

/* Guards against bytes between domains for objects whose runs are short. */
static void test_short_runs_stay_in_domain(void **state)
{
	(void)state;
	assert_in_range(count_other_homes_(300), OBJECTS / 4, OBJECTS);
}

/*
 * Guards against hosts that prefer different servers for the same objects for
 * many seconds after a loss of power everywhere, because one of them knew only
 * some servers at first.
 */
static void test_start_learns_servers(void **state)
{
	struct bw_dispatch early;
	struct bw_dispatch late;
	uint64_t early_homes[OBJECTS];
	uint64_t late_homes[OBJECTS];

	(void)state;
	bw_dispatch_init(&early, 1);
	bw_dispatch_init(&late, 2);
	early.domain_count = 1;
	late.domain_count = 1;
	fixture_update(&early, 2, SLOTS, NULL, 0);
	fixture_update(&early, 2, SLOTS, NULL, UPDATE_MS);
	fixture_update(&early, FIXTURE_SERVERS_MAX, SLOTS, NULL, 2 * UPDATE_MS);
	fixture_update(&late, FIXTURE_SERVERS_MAX, SLOTS, NULL, 2 * UPDATE_MS);
	find_homes_(&early, 2 * UPDATE_MS, early_homes);
	find_homes_(&late, 2 * UPDATE_MS, late_homes);
	assert_int_equal(count_moved_(early_homes, late_homes), 0);
	bw_dispatch_finish(&early);
	bw_dispatch_finish(&late);
}

/* Offers jobs in the first seconds. @return the number of rejected ones */
static uint32_t offer_at_start_(struct bw_dispatch *dispatch,
				struct bw_job *jobs, uint32_t count,
				uint32_t *sent)
{
	uint32_t rejected = 0;
	uint32_t i;

	*sent = 0;
	for (i = 0; i < count; i++) {
		struct bw_rejection rejection;
		char key[16];

		snprintf(key, sizeof(key), "key-%u", i);
		fixture_job(dispatch, &jobs[i], key, 1, 100);
		switch (bw_dispatch_offer(dispatch, &jobs[i], fixture_time(100),
					  &rejection)) {
		case BW_VERDICT_SEND:
			bw_dispatch_sent(dispatch, &jobs[i], fixture_time(100));
			(*sent)++;
			break;
		case BW_VERDICT_WAIT:
			break;
		case BW_VERDICT_REJECT:
			assert_int_equal(rejection.reason, BW_REJECT_OVERLOAD);
			assert_true(rejection.retry_after_ms > 0);
			rejected++;
			break;
		}
	}
	return rejected;
}

static void end_jobs_(struct bw_dispatch *dispatch, struct bw_job *jobs,
		      uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (jobs[i].target)
			bw_dispatch_ended(dispatch, &jobs[i], BW_JOB_CANCELLED,
					  NULL, fixture_time(200));
		bw_dispatch_remove(dispatch, &jobs[i]);
	}
	bw_dispatch_finish(dispatch);
}

/*
 * Guards against hosts that all send the requests of returning callers to
 * servers whose load they do not know, so that most reach their deadline there:
 * a host that has just started sends its share, lets as many wait as can end in
 * time, and rejects the others at once.
 */
static void test_start_sends_share(void **state)
{
	enum {
		OFFERS = 60,
		HOSTS = 4,
		SHARE = FIXTURE_SERVERS_MAX * SLOTS / 4
	};
	struct bw_dispatch dispatch;
	struct bw_job jobs[OFFERS];
	uint32_t rejected;
	uint32_t sent;

	(void)state;
	bw_dispatch_init(&dispatch, 1);
	dispatch.domain_count = 1;
	dispatch.host_count = HOSTS;
	fixture_update(&dispatch, FIXTURE_SERVERS_MAX, SLOTS, NULL, 0);
	rejected = offer_at_start_(&dispatch, jobs, OFFERS, &sent);
	assert_int_equal(sent, SHARE);
	assert_in_range(rejected, 1, OFFERS - 2 * SHARE);
	end_jobs_(&dispatch, jobs, OFFERS);
}

/*
 * Guards against short runs that count as unknown because the clock shows no
 * time for them: the time that is assumed then is long, and jobs that could run
 * were rejected.
 */
static void test_start_knows_short_runs(void **state)
{
	enum { OFFERS = 60 };
	struct bw_dispatch dispatch;
	struct bw_job jobs[OFFERS];
	struct bw_rejection rejection;
	struct bw_job first;
	uint32_t sent;

	(void)state;
	bw_dispatch_init(&dispatch, 1);
	dispatch.domain_count = 1;
	dispatch.host_count = 4;
	fixture_update(&dispatch, FIXTURE_SERVERS_MAX, SLOTS, NULL, 0);
	fixture_job(&dispatch, &first, "first", 1, 50);
	assert_int_equal(bw_dispatch_offer(&dispatch, &first, fixture_time(50),
					   &rejection),
			 BW_VERDICT_SEND);
	bw_dispatch_sent(&dispatch, &first, fixture_time(50));
	bw_dispatch_ended(&dispatch, &first, BW_JOB_ANSWERED, NULL,
			  fixture_time(50));
	assert_int_equal(offer_at_start_(&dispatch, jobs, OFFERS, &sent), 0);
	end_jobs_(&dispatch, jobs, OFFERS);
}

/*
 * Guards against a measured demand that keeps rising for seconds after the
 * start.
 */
static void test_first_arrivals(void **state)
{
	struct bw_dispatch dispatch;
	struct bw_dispatch_service *service;
	int64_t ms;

	(void)state;
	bw_dispatch_init(&dispatch, 1);
	service = bw_dispatch_service(&dispatch, "s");
	for (ms = 0; ms < 3000; ms += 10)
		bw_dispatch_arrivals_per_s(service, fixture_time(ms));
	for (; ms < 4000; ms += 10) {
		service->arrival_count++;
		bw_dispatch_arrivals_per_s(service, fixture_time(ms));
	}
	assert_in_range(bw_dispatch_arrivals_per_s(service, fixture_time(ms)),
			80, 120);
	bw_dispatch_finish(&dispatch);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_short_fall),
		cmocka_unit_test(test_move_between_regions),
		cmocka_unit_test(test_first_arrivals),
		cmocka_unit_test(test_region_shares_homes),
		cmocka_unit_test(test_short_runs_stay_in_domain),
		cmocka_unit_test(test_start_learns_servers),
		cmocka_unit_test(test_start_sends_share),
		cmocka_unit_test(test_start_knows_short_runs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
