/*
 * Plays servers whose speed changes and checks what is expected of them.
 * Guards against words that are used after their spell, and against servers
 * whose words are wrong and that get more work for it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "bwbase/random.h"
#include "bwwork/speed.h"

/* Time of a run at the usual speed. */
#define USUAL_MS 450.0

/* Runs after which a host must see through a server that lies. */
#define RUNS 40

static struct bw_time at_(int64_t ms)
{
	struct bw_time time = { 100000 + ms };

	return time;
}

/* Measures runs of a server that says one thing and does another. */
static void run_(struct bw_speed *speed, uint32_t percent, double factor,
		 int64_t ms)
{
	double told = bw_speed_told(speed, at_(ms));

	bw_speed_measure(speed, USUAL_MS, told, USUAL_MS * factor);
	bw_speed_note(speed, percent, at_(ms));
}

/* A slow spell is avoided while the word is fresh, and no longer. */
static void test_slow_spell(void **state)
{
	struct bw_speed speed;

	(void)state;
	bw_speed_init(&speed);
	bw_speed_note(&speed, 250, at_(0));
	assert_true(bw_speed_factor(&speed, at_(0)) > 2.4);
	assert_true(bw_speed_factor(&speed, at_(100)) > 1.7);
	assert_true(bw_speed_factor(&speed, at_(2000)) < 1.2);
}

/* A word that arrives late does not replace a newer one. */
static void test_stale_word(void **state)
{
	struct bw_speed speed;

	(void)state;
	bw_speed_init(&speed);
	bw_speed_note(&speed, 100, at_(500));
	bw_speed_note(&speed, 400, at_(200));
	assert_true(bw_speed_factor(&speed, at_(500)) < 1.01);
}

/* Words out of any bounds change little: 1 is no licence to get all work. */
static void test_false_words(void **state)
{
	struct bw_speed speed;

	(void)state;
	bw_speed_init(&speed);
	bw_speed_note(&speed, 1, at_(0));
	assert_true(bw_speed_factor(&speed, at_(0)) >= 0.5);
	bw_speed_note(&speed, UINT32_MAX, at_(10));
	assert_true(bw_speed_factor(&speed, at_(10)) <= 20.0);
	assert_true(bw_speed_factor(&speed, at_(5000)) < 3.0);
}

/* A slow server that says that it is fast is measured to be slow. */
static void test_server_that_claims_to_be_fast(void **state)
{
	struct bw_speed speed;
	int64_t i;

	(void)state;
	bw_speed_init(&speed);
	for (i = 0; i < RUNS; i++)
		run_(&speed, 50, 3.0, 500 * i);
	assert_true(bw_speed_factor(&speed, at_(500 * RUNS)) > 2.0);
}

/* A usual server that says that it is slow gets its work back. */
static void test_server_that_claims_to_be_slow(void **state)
{
	struct bw_speed speed;
	int64_t i;

	(void)state;
	bw_speed_init(&speed);
	for (i = 0; i < RUNS; i++)
		run_(&speed, 400, 1.0, 500 * i);
	assert_true(bw_speed_factor(&speed, at_(500 * RUNS)) < 1.6);
}

/* Words that have nothing to do with the speed are not used. */
static void test_server_that_says_anything(void **state)
{
	struct bw_random random;
	struct bw_speed speed;
	int64_t i;

	(void)state;
	bw_random_init(&random, 7);
	bw_speed_init(&speed);
	for (i = 0; i < 4 * RUNS; i++)
		run_(&speed, bw_random_below(&random, 2) ? 50 : 800, 1.0,
		     20 * i);
	assert_false(bw_speed_is_trusted(&speed));
	assert_true(bw_speed_factor(&speed, at_(20 * 4 * RUNS)) < 2.5);
}

/* One run that takes seven times as long does not make a server slow. */
static void test_long_tail(void **state)
{
	struct bw_speed speed;
	int64_t i;

	(void)state;
	bw_speed_init(&speed);
	for (i = 0; i < RUNS; i++)
		run_(&speed, 100, 1.0, 500 * i);
	run_(&speed, 100, 7.0, 500 * RUNS);
	assert_true(bw_speed_factor(&speed, at_(500 * RUNS)) < 1.3);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slow_spell),
		cmocka_unit_test(test_stale_word),
		cmocka_unit_test(test_false_words),
		cmocka_unit_test(test_server_that_claims_to_be_fast),
		cmocka_unit_test(test_server_that_claims_to_be_slow),
		cmocka_unit_test(test_server_that_says_anything),
		cmocka_unit_test(test_long_tail),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
