/*
 * What servers say of themselves in answers. Guards against requests to a
 * server that leaves or wants none, and against servers that lie and are then
 * lost for ever or get a flood of trials.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "bwbase/random.h"
#include "bwsteer/server_notice.h"

#define RUNS 400
#define STEPS 4000
#define STEP_MS 5
#define PAUSE_MAX_MS 3000
#define FLIGHT_MAX 64
#define FLIGHT_MAX_MS 400

/** A request on its way. */
struct flight {
	struct bw_time sent;
	struct bw_time ends;
	bool used;
};

/** One host and one server that pauses at random. */
struct sim {
	struct bw_random random;
	struct bw_server_notice notice;
	struct flight flights[FLIGHT_MAX];
	struct bw_time paused_until; /**< by all answers so far */
	uint32_t since_pause; /**< requests since then */
	bool cleared; /**< an answer without a pause to one of them */
	bool leaves;
	uint32_t sent_count;
};

static struct bw_time time_at_(int64_t ms)
{
	struct bw_time time = { ms };

	return time;
}

static void answer_(struct sim *sim, struct flight *flight,
		    uint32_t pause_percent, struct bw_time now)
{
	bool pauses = bw_random_below(&sim->random, 100) < pause_percent;
	int64_t pause_ms =
		1 + (int64_t)bw_random_below(&sim->random, PAUSE_MAX_MS);

	flight->used = false;
	if (pauses) {
		bw_server_notice_pause(&sim->notice, pause_ms,
				       bw_random_unit(&sim->random), now);
		if (now.ms + pause_ms > sim->paused_until.ms)
			sim->paused_until.ms = now.ms + pause_ms;
		sim->since_pause = 0;
		sim->cleared = false;
	} else if (flight->sent.ms >= sim->paused_until.ms) {
		sim->cleared = true;
	}
	bw_server_notice_ended(&sim->notice, !pauses, flight->sent);
}

static void send_(struct sim *sim, struct bw_time now)
{
	uint32_t i = 0;

	while (i < FLIGHT_MAX && sim->flights[i].used)
		i++;
	if (i == FLIGHT_MAX || !bw_server_notice_allows(&sim->notice, now))
		return;
	assert_false(sim->leaves);
	assert_true(now.ms >= sim->paused_until.ms);
	/* One trial until an answer to it has come. */
	if (sim->paused_until.ms && !sim->cleared)
		assert_int_equal(sim->since_pause, 0);
	sim->since_pause++;
	sim->sent_count++;
	sim->flights[i].used = true;
	sim->flights[i].sent = now;
	sim->flights[i].ends = bw_time_add(
		now, 1 + (int64_t)bw_random_below(&sim->random, FLIGHT_MAX_MS));
	bw_server_notice_sent(&sim->notice, now);
}

static void run_(struct sim *sim, uint32_t pause_percent, int64_t leaves_ms)
{
	int64_t step;
	uint32_t i;

	for (step = 1; step <= STEPS; step++) {
		struct bw_time now = time_at_(step * STEP_MS);

		for (i = 0; i < FLIGHT_MAX; i++) {
			struct flight *flight = &sim->flights[i];

			if (flight->used && bw_time_reached(now, flight->ends))
				answer_(sim, flight, pause_percent, now);
		}
		if (leaves_ms && now.ms >= leaves_ms && !sim->leaves) {
			sim->leaves = true;
			assert_true(bw_server_notice_leave(&sim->notice));
		}
		send_(sim, now);
	}
}

/* Guards against requests in a pause that overlaps with others, and against
 * more than one trial after it. */
static void test_pauses_of_any_order(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= RUNS; seed++) {
		struct sim sim = { .sent_count = 0 };

		bw_random_init(&sim.random, seed);
		run_(&sim, (uint32_t)bw_random_below(&sim.random, 40), 0);
		assert_true(sim.sent_count > 0);
	}
}

/* Guards against a server that pauses in each answer and is lost for ever, or
 * gets more than a trial a pause. */
static void test_pause_in_each_answer(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= RUNS; seed++) {
		struct sim sim = { .sent_count = 0 };

		bw_random_init(&sim.random, seed);
		run_(&sim, 100, 0);
		/* The first answers may come to many requests. */
		assert_in_range(sim.sent_count, 4,
				FLIGHT_MAX + STEPS * STEP_MS / 500);
	}
}

/* Guards against a request to a server that has said that it leaves. */
static void test_leave_is_final(void **state)
{
	struct bw_server_notice notice = { .leaving = false };
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= RUNS; seed++) {
		struct sim sim = { .sent_count = 0 };

		bw_random_init(&sim.random, seed);
		run_(&sim, 10, 1 + (int64_t)bw_random_below(&sim.random, 9000));
	}
	assert_true(bw_server_notice_leave(&notice));
	assert_false(bw_server_notice_leave(&notice));
	bw_server_notice_ended(&notice, true, time_at_(5));
	assert_false(bw_server_notice_allows(&notice, time_at_(1000000)));
}

/* Guards against a shorter pause that ends a longer one, against endless
 * pauses, and against negative ones. */
static void test_contradicting_pauses(void **state)
{
	struct bw_server_notice notice = { .leaving = false };

	(void)state;
	bw_server_notice_pause(&notice, 10000, 0.0, time_at_(0));
	bw_server_notice_pause(&notice, 1000, 0.0, time_at_(50));
	assert_false(bw_server_notice_allows(&notice, time_at_(9999)));
	assert_true(bw_server_notice_allows(&notice, time_at_(10000)));
	bw_server_notice_pause(&notice, INT64_MAX, 0.0, time_at_(20000));
	assert_true(bw_server_notice_allows(
		&notice, time_at_(20000 + BW_SERVER_PAUSE_MAX_MS)));
	bw_server_notice_pause(&notice, -1, 0.0,
			       time_at_(60000 + BW_SERVER_PAUSE_MAX_MS));
	assert_true(bw_server_notice_allows(
		&notice, time_at_(60000 + BW_SERVER_PAUSE_MAX_MS)));
}

/* Guards against a request to a server that has asked for a long pause. */
static void test_long_pause(void **state)
{
	struct bw_server_notice notice = { .leaving = false };

	(void)state;
	bw_server_notice_pause(&notice, 120000, 0.0, time_at_(0));
	assert_false(bw_server_notice_allows(&notice, time_at_(119999)));
	assert_true(bw_server_notice_allows(&notice, time_at_(120000)));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_pauses_of_any_order),
		cmocka_unit_test(test_pause_in_each_answer),
		cmocka_unit_test(test_leave_is_final),
		cmocka_unit_test(test_contradicting_pauses),
		cmocka_unit_test(test_long_pause),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
