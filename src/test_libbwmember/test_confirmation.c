/*
 * Confirmation of a configuration version by the control hosts. Guards against
 * an entry host that denies a route for good though a newer version may have
 * it, and against one that never denies an unknown route.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "bwmember/confirmation.h"

#define CONTROL_COUNT 5
#define AGE_MAX_MS 1750
#define NOW_MS 50000

static struct bw_announcement controls[CONTROL_COUNT];

static struct bw_time time_at_(int64_t ms)
{
	struct bw_time time = { ms };

	return time;
}

static void announce_(uint32_t i, uint64_t version, int64_t age_ms)
{
	controls[i].version = version;
	controls[i].current = true;
	controls[i].as_of = time_at_(NOW_MS - age_ms);
}

static struct bw_confirmation check_(uint64_t version, int64_t now_ms)
{
	return bw_confirm(controls, CONTROL_COUNT, version, AGE_MAX_MS,
			  time_at_(now_ms));
}

static int set_up_(void **state)
{
	uint32_t i;

	(void)state;
	memset(controls, 0, sizeof(controls));
	for (i = 0; i < 3; i++)
		announce_(i, 7, 100);
	return 0;
}

static void test_most_control_hosts_confirm(void **state)
{
	struct bw_confirmation result = check_(7, NOW_MS);

	(void)state;
	assert_true(result.confirmed);
	assert_int_equal(result.newest_version, 7);
	assert_int_equal(result.confirmed_by, 3);
	assert_int_equal(result.controls, CONTROL_COUNT);
}

/* Guards against a host that trusts less than a majority. */
static void test_one_status_missing(void **state)
{
	(void)state;
	memset(&controls[2], 0, sizeof(controls[2]));
	assert_false(check_(7, NOW_MS).confirmed);
	assert_int_equal(check_(7, NOW_MS).confirmed_by, 2);
	/* Half of an even number is not enough either. */
	assert_false(bw_confirm(controls, 4, 7, AGE_MAX_MS, time_at_(NOW_MS))
			     .confirmed);
	assert_true(bw_confirm(controls, 3, 7, AGE_MAX_MS, time_at_(NOW_MS))
			    .confirmed);
}

/* Guards against a host that is cut off or was frozen, and trusts what it heard
 * before. */
static void test_old_statuses_do_not_confirm(void **state)
{
	(void)state;
	assert_true(check_(7, NOW_MS - 100 + AGE_MAX_MS).confirmed);
	assert_false(check_(7, NOW_MS - 100 + AGE_MAX_MS + 1).confirmed);
	assert_false(check_(7, NOW_MS + 10000).confirmed);
}

/* Guards against a host that knows of a newer version and denies its routes,
 * however old the announcement is. */
static void test_newer_version_announced(void **state)
{
	(void)state;
	announce_(3, 8, 9000);
	controls[3].current = false;
	assert_false(check_(7, NOW_MS).confirmed);
	assert_int_equal(check_(7, NOW_MS).newest_version, 8);
	/* It is in force now; those that announce an older one lag. */
	assert_true(check_(8, NOW_MS).confirmed);
}

/* Guards against a control host that announces what it had at its start as if
 * it were in force. */
static void test_restarted_control_host_does_not_confirm(void **state)
{
	(void)state;
	controls[0].current = false;
	assert_false(check_(7, NOW_MS).confirmed);
	announce_(0, 7, 0);
	assert_true(check_(7, NOW_MS).confirmed);
}

/* Guards against times in the future after the clock was set back. */
static void test_clock_set_back(void **state)
{
	(void)state;
	assert_false(check_(7, NOW_MS - 15000).confirmed);
	assert_false(check_(7, 100).confirmed);
}

static void test_nothing_is_known_at_start(void **state)
{
	(void)state;
	assert_false(check_(0, NOW_MS).confirmed);
	assert_false(
		bw_confirm(NULL, 0, 7, AGE_MAX_MS, time_at_(NOW_MS)).confirmed);
	memset(controls, 0, sizeof(controls));
	assert_false(check_(7, 10).confirmed);
}

static bool may_start_(uint64_t version, int64_t waited_ms)
{
	struct bw_confirmation result = check_(version, NOW_MS);

	return bw_may_start(&result, version, waited_ms);
}

static void test_start_with_confirmed_version(void **state)
{
	(void)state;
	assert_true(may_start_(7, 10));
	assert_false(may_start_(0, 60000));
}

static void test_start_without_most_control_hosts(void **state)
{
	(void)state;
	controls[0].as_of = time_at_(0);
	assert_false(may_start_(7, BW_START_WAIT_MS));
	assert_true(may_start_(7, BW_START_WAIT_MS + 1));
}

/* Guards against a host that serves with a version that it knows to be old, and
 * against one that never serves because it can't get the newer one. */
static void test_start_waits_for_newer_version(void **state)
{
	(void)state;
	announce_(3, 8, 0);
	assert_false(may_start_(7, BW_START_WAIT_MS + 1));
	assert_false(may_start_(7, BW_START_BEHIND_WAIT_MS));
	assert_true(may_start_(7, BW_START_BEHIND_WAIT_MS + 1));
	assert_true(may_start_(8, 10));
}

/* Guards against an entry host that trusts a control host which is itself cut
 * off, or what it confirmed long ago. */
static void test_one_speaks_for_most_voters(void **state)
{
	struct bw_announcement relayed[2] = { { .version = 7 },
					      { .version = 7 } };

	(void)state;
	relayed[0].current = true;
	relayed[0].as_of = time_at_(NOW_MS - 100);
	assert_false(bw_confirm(relayed, 2, 7, AGE_MAX_MS, time_at_(NOW_MS))
			     .confirmed);
	relayed[0].majority_as_of = time_at_(NOW_MS - 300);
	assert_true(bw_confirm(relayed, 2, 7, AGE_MAX_MS, time_at_(NOW_MS))
			    .confirmed);
	assert_false(
		bw_confirm(relayed, 2, 7, 299, time_at_(NOW_MS)).confirmed);
	relayed[1].version = 8;
	assert_false(bw_confirm(relayed, 2, 7, AGE_MAX_MS, time_at_(NOW_MS))
			     .confirmed);
}

/* Guards against a control host that passes on a confirmation as younger than
 * that of the slowest voter which it needs. */
static void test_confirmation_has_the_age_of_its_majority(void **state)
{
	(void)state;
	announce_(0, 7, 10);
	announce_(1, 7, 900);
	announce_(2, 7, 400);
	assert_int_equal(check_(7, NOW_MS).as_of.ms, NOW_MS - 900);
	announce_(3, 7, 50);
	assert_int_equal(check_(7, NOW_MS).as_of.ms, NOW_MS - 400);
	assert_int_equal(check_(6, NOW_MS).as_of.ms, 0);
}

/* Guards against a host that changes its source of detail after each change of
 * the configuration. */
static void test_unconfirmed_announcement_is_not_a_partition(void **state)
{
	struct bw_announcement known = { .version = 0 };
	struct bw_announcement later = { .version = 7, .current = true };

	(void)state;
	assert_int_equal(bw_announcement_unconfirmed_ms(&known, time_at_(10)),
			 INT64_MAX);
	later.as_of = time_at_(NOW_MS);
	later.majority_as_of = time_at_(NOW_MS);
	bw_announcement_replace(&known, &later);
	later.as_of = time_at_(NOW_MS + 300);
	later.majority_as_of = time_at_(0);
	bw_announcement_replace(&known, &later);
	assert_int_equal(known.as_of.ms, NOW_MS + 300);
	assert_int_equal(bw_announcement_unconfirmed_ms(&known,
							time_at_(NOW_MS + 350)),
			 350);
	/* An announcement that was under way for long says nothing new. */
	later.as_of = time_at_(NOW_MS - 900);
	later.majority_as_of = time_at_(NOW_MS - 900);
	bw_announcement_replace(&known, &later);
	assert_int_equal(bw_announcement_unconfirmed_ms(&known,
							time_at_(NOW_MS + 400)),
			 400);
}

/* Guards against a control host that confirms an old version with what it said
 * of a newer one before it lost its state. */
static void test_confirmation_of_a_lost_version(void **state)
{
	struct bw_announcement known = { .version = 8, .current = true };
	struct bw_announcement later = { .version = 7, .current = true };

	(void)state;
	known.as_of = time_at_(NOW_MS);
	known.majority_as_of = time_at_(NOW_MS);
	later.as_of = time_at_(NOW_MS + 10);
	bw_announcement_replace(&known, &later);
	assert_int_equal(known.majority_as_of.ms, 0);
}

#define VOTER_COUNT 3
#define ANSWER_MS 5

/* What voters answer each other, and an entry host that has one source of
 * detail and sends fewer hellos to the others. */
static struct bw_announcement heard[VOTER_COUNT + 1][VOTER_COUNT];

static struct bw_confirmation confirm_at_(uint32_t host, int64_t now_ms)
{
	if (host < VOTER_COUNT)
		heard[host][host].as_of = time_at_(now_ms);
	return bw_confirm(heard[host], VOTER_COUNT, 7,
			  host < VOTER_COUNT ? 1500 : AGE_MAX_MS,
			  time_at_(now_ms));
}

static void ask_(uint32_t host, uint32_t voter, int64_t now_ms)
{
	struct bw_confirmation result = confirm_at_(voter, now_ms - ANSWER_MS);
	struct bw_announcement answer = { .version = 7, .current = true };

	answer.as_of = time_at_(now_ms - 2 * (int64_t)ANSWER_MS);
	if (result.confirmed)
		answer.majority_as_of = time_at_(result.as_of.ms - ANSWER_MS);
	bw_announcement_replace(&heard[host][voter], &answer);
}

/* Guards against voters that pass on how old each other's confirmation is until
 * none counts, and against the 503 for unknown routes in which this ends. */
static void test_confirmation_does_not_age_by_being_passed_on(void **state)
{
	const int64_t interval_ms[VOTER_COUNT] = { 260, 1010, 1010 };
	int64_t ms;
	uint32_t i;
	uint32_t k;

	(void)state;
	memset(heard, 0, sizeof(heard));
	for (i = 0; i < VOTER_COUNT; i++)
		heard[i][i] = (struct bw_announcement){ .version = 7,
							.current = true };
	for (ms = 10; ms < 60000; ms += 10) {
		for (i = 0; i < VOTER_COUNT; i++) {
			for (k = 0; k < VOTER_COUNT; k++) {
				if (k != i && ms % 500 == 130 * (i + 1) + 10)
					ask_(i, k, NOW_MS + ms);
			}
			if (ms % interval_ms[i] == 0)
				ask_(VOTER_COUNT, i, NOW_MS + ms);
		}
		if (ms < 3000)
			continue;
		for (i = 0; i <= VOTER_COUNT; i++)
			assert_true(confirm_at_(i, NOW_MS + ms).confirmed);
		assert_int_equal(
			confirm_at_(VOTER_COUNT, NOW_MS + ms).confirmed_by,
			VOTER_COUNT);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_most_control_hosts_confirm,
				       set_up_),
		cmocka_unit_test_setup(test_one_status_missing, set_up_),
		cmocka_unit_test(
			test_unconfirmed_announcement_is_not_a_partition),
		cmocka_unit_test(test_confirmation_of_a_lost_version),
		cmocka_unit_test(
			test_confirmation_does_not_age_by_being_passed_on),
		cmocka_unit_test_setup(test_old_statuses_do_not_confirm,
				       set_up_),
		cmocka_unit_test_setup(test_newer_version_announced, set_up_),
		cmocka_unit_test_setup(
			test_restarted_control_host_does_not_confirm, set_up_),
		cmocka_unit_test_setup(test_clock_set_back, set_up_),
		cmocka_unit_test_setup(test_nothing_is_known_at_start, set_up_),
		cmocka_unit_test_setup(test_one_speaks_for_most_voters,
				       set_up_),
		cmocka_unit_test_setup(
			test_confirmation_has_the_age_of_its_majority, set_up_),
		cmocka_unit_test_setup(test_start_with_confirmed_version,
				       set_up_),
		cmocka_unit_test_setup(test_start_without_most_control_hosts,
				       set_up_),
		cmocka_unit_test_setup(test_start_waits_for_newer_version,
				       set_up_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
