/*
 * Randomized simulations of several hosts with a virtual clock, checked against
 * a reference model: one state per key, with unlimited memory, that observes
 * every run, crash and handover immediately. BW_SEEDS sets the number of
 * simulations, BW_SEED the first seed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "keys_sim.h"

#define CHECK(condition, sim, text)                               \
	do {                                                      \
		if (!(condition))                                 \
			fail_msg("seed %llu at %lld ms: %s",      \
				 (unsigned long long)(sim)->seed, \
				 (long long)(sim)->now_ms, text); \
	} while (0)

static void attempt_(struct sim *sim, uint32_t host, uint32_t key,
		     uint8_t digest, uint32_t hops);

static void fill_body_(const struct test_key *key, uint8_t *body)
{
	memset(body, key->body_seed, key->body_bytes);
}

/* Guards against "not run" for a request that has run or is running. */
static void report_not_run_(struct sim *sim, const struct test_key *key,
			    uint8_t digest)
{
	sim->stats->reported_not_run++;
	CHECK(key->ref == REF_NEW || key->digest != digest, sim,
	      "a request that may have run was reported as not run");
}

static void check_run_(struct sim *sim, uint32_t index, struct test_key *key)
{
	uint32_t origin = (uint32_t)(key->key.incarnation - 1000);

	CHECK(key->ref == REF_NEW, sim, "a key runs twice");
	CHECK(sim->processes[origin].owner == sim->hosts[index].process, sim,
	      "a host runs a key that it does not own");
	if (origin == sim->hosts[index].process)
		CHECK(sim_process_wall_ms(sim, origin) < key->key.expiry_ms,
		      sim, "an expired key runs");
}

static void begin_run_(struct sim *sim, uint32_t index, uint32_t key_index,
		       uint8_t digest, const struct bw_keys_decision *decision)
{
	struct test_key *key = &sim->keys[key_index];
	struct run *run = &sim->runs[sim->run_count];
	uint32_t kind = sim_random_below(sim, 10);

	check_run_(sim, index, key);
	assert_true(sim->run_count < RUNS_MAX);
	memset(run, 0, sizeof(*run));
	run->key = key_index;
	run->process = sim->hosts[index].process;
	run->handle = decision->run;
	run->ready = decision->ready;
	run->execute_ms = -1;
	run->finish_ms = -1;
	run->begun_ms = sim->now_ms;
	run->outcome = kind < 6	  ? BW_KEYS_OUTCOME_DONE
		       : kind < 8 ? BW_KEYS_OUTCOME_NOT_RUN
				  : BW_KEYS_OUTCOME_MAY_HAVE_RUN;
	key->ref = REF_RUNNING;
	key->digest = digest;
	key->run = sim->run_count++;
}

static void check_replay_(struct sim *sim, const struct test_key *key,
			  uint8_t digest,
			  const struct bw_keys_decision *decision)
{
	uint8_t body[BODY_MAX_BYTES];

	fill_body_(key, body);
	CHECK(key->ref == REF_DONE && key->digest == digest, sim,
	      "replay without a finished run of this request");
	CHECK(decision->response.status == 200 &&
		      decision->response.headers_bytes == 2 &&
		      !memcmp(decision->response.headers, "hh", 2) &&
		      decision->response.body_bytes == key->body_bytes &&
		      !memcmp(decision->response.body, body, key->body_bytes),
	      sim, "a replay differs from the first response");
}

/* Checks a decision that does not start a run against the reference model. */
static void check_decision_(struct sim *sim, uint32_t index,
			    struct test_key *key, uint8_t digest,
			    const struct bw_keys_decision *decision, bool owner)
{
	uint32_t origin = (uint32_t)(key->key.incarnation - 1000);
	const struct bw_keys_pool *pool = &sim->hosts[index].keys.owned_pool;

	switch (decision->kind) {
	case BW_KEYS_JOIN:
		CHECK(key->ref == REF_RUNNING && key->digest == digest, sim,
		      "an attempt joined a run that is not in progress");
		sim->runs[key->run].joined = true;
		break;
	case BW_KEYS_REPLAY:
		check_replay_(sim, key, digest, decision);
		break;
	case BW_KEYS_UNKNOWN:
		if (decision->reason == BW_KEYS_RESPONSE_NOT_KEPT)
			CHECK(key->ref == REF_DONE, sim,
			      "reported as run without a finished run");
		else if (owner)
			CHECK(key->ref == REF_UNKNOWN, sim,
			      "the owner reports a known outcome as unknown");
		break;
	case BW_KEYS_FULL:
		CHECK(pool->records == pool->records_max, sim,
		      "a store that is not full refused a record");
		break;
	case BW_KEYS_CONFLICT:
		CHECK(key->digest != digest, sim,
		      "conflict reported for the same request");
		break;
	case BW_KEYS_EXPIRED:
		CHECK(sim_process_wall_ms(sim, origin) >= key->key.expiry_ms,
		      sim, "a key expired early");
		break;
	default:
		break;
	}
	CHECK(key->ref == REF_NEW || !owner ||
		      decision->kind != BW_KEYS_TOO_FAR,
	      sim, "a record was removed before its expiry");
	sim->stats->unknown[decision->reason]++;
}

/* Looks the key up at other hosts after forwarding to the owner has failed. */
static void query_backups_(struct sim *sim, uint32_t from, uint32_t key_index,
			   uint8_t digest, uint32_t hops)
{
	struct test_key *key = &sim->keys[key_index];
	uint8_t full_digest[BW_KEYS_ID_BYTES] = { digest };
	struct bw_keys_decision decision;
	struct host *host;
	uint32_t i;

	for (i = 0; i < HOSTS; i++) {
		host = &sim->hosts[i];
		if (!host->up || !sim_reachable(sim, from, i))
			continue;
		bw_keys_lookup_backup(&host->keys, &key->key, full_digest,
				      sim_host_now(sim, i), &decision);
		sim->stats->backup[decision.kind]++;
		check_decision_(sim, i, key, digest, &decision, false);
		if (decision.not_run) {
			if (hops < 4 && sim_random_below(sim, 2))
				sim_enqueue_attempt(sim, i, key_index, digest,
						    hops + 1);
			else
				report_not_run_(sim, key, digest);
			return;
		}
		if (decision.kind != BW_KEYS_ABSENT)
			return;
	}
	sim->stats->reported_unknown++;
}

static void forward_(struct sim *sim, uint32_t from, uint32_t key,
		     uint8_t digest, uint32_t hops,
		     const struct bw_keys_decision *decision)
{
	uint32_t to;

	if (!decision->host[0] || hops > 4) {
		query_backups_(sim, from, key, digest, hops);
		return;
	}
	to = sim_host_index(decision->host);
	if (sim->hosts[to].up && sim_reachable(sim, from, to))
		sim_enqueue_attempt(sim, to, key, digest, hops + 1);
	else
		query_backups_(sim, from, key, digest, hops);
}

static void attempt_(struct sim *sim, uint32_t index, uint32_t key_index,
		     uint8_t digest, uint32_t hops)
{
	struct test_key *key = &sim->keys[key_index];
	struct host *host = &sim->hosts[index];
	uint8_t full_digest[BW_KEYS_ID_BYTES] = { digest };
	struct bw_keys_decision decision;

	if (!host->up)
		return;
	bw_keys_begin(&host->keys, &key->key, full_digest,
		      sim_host_now(sim, index), &sim->out, &decision);
	sim_send(sim, index);
	sim->stats->decisions[decision.kind]++;
	if (decision.kind == BW_KEYS_RUN) {
		begin_run_(sim, index, key_index, digest, &decision);
		return;
	}
	check_decision_(sim, index, key, digest, &decision, true);
	if (decision.not_run &&
	    (decision.kind != BW_KEYS_SEALED || sim_random_below(sim, 2))) {
		report_not_run_(sim, key, digest);
		return;
	}
	if (decision.kind == BW_KEYS_SEALED ||
	    decision.kind == BW_KEYS_NOT_OWNER ||
	    decision.kind == BW_KEYS_OWNER_ENDED)
		forward_(sim, index, key_index, digest, hops, &decision);
}

static void handle_adopted_(struct sim *sim, uint32_t index,
			    uint64_t incarnation)
{
	struct process *origin = &sim->processes[incarnation - 1000];
	struct process *former = &sim->processes[origin->owner];

	sim->stats->adopted++;
	CHECK(former->ended || sim->hosts[former->host].keys.sealed, sim,
	      "an incarnation has two owners");
	CHECK(origin->owner != sim->hosts[index].process, sim,
	      "an incarnation is taken over twice");
	origin->owner = sim->hosts[index].process;
}

/* Guards against a joined attempt being notified of another outcome. */
static void handle_ended_(struct sim *sim, uint32_t process,
			  const struct bw_keys_event *event)
{
	const struct run *run;
	uint32_t i;

	sim->stats->joins_ended++;
	for (i = 0; i < sim->run_count; i++) {
		run = &sim->runs[i];
		if (run->process != process || run->handle != event->run)
			continue;
		CHECK(run->finished && run->outcome == event->outcome, sim,
		      "a joined attempt was notified of another outcome");
		sim->runs[i].notified = true;
		CHECK(event->outcome != BW_KEYS_OUTCOME_NOT_RUN ||
			      !run->executed,
		      sim, "a joined attempt was falsely notified as not run");
		return;
	}
	CHECK(false, sim, "an unknown run has ended");
}

static void handle_events_(struct sim *sim, uint32_t index)
{
	struct host *host = &sim->hosts[index];
	struct bw_keys_event event;
	uint32_t i;

	while (host->up && bw_keys_next_event(&host->keys, &event)) {
		switch (event.kind) {
		case BW_KEYS_EVENT_READY:
			for (i = sim->first_run; i < sim->run_count; i++) {
				if (sim->runs[i].process == host->process &&
				    sim->runs[i].handle == event.run)
					sim->runs[i].ready = true;
			}
			break;
		case BW_KEYS_EVENT_ENDED:
			handle_ended_(sim, host->process, &event);
			break;
		case BW_KEYS_EVENT_ADOPTED:
			handle_adopted_(sim, index, event.key.incarnation);
			break;
		case BW_KEYS_EVENT_HANDED_OVER:
			sim->stats->handed_over++;
			break;
		case BW_KEYS_EVENT_COUNT:
			break;
		}
	}
}

/*
 * The simulated backend server executes the request within the run, after the
 * run has ended, or never.
 */
static void dispatch_(struct sim *sim, struct run *run)
{
	int64_t delay_ms = sim_random_below(sim, 400);

	run->dispatched = true;
	run->finish_ms = sim->now_ms + delay_ms;
	if (run->outcome == BW_KEYS_OUTCOME_DONE)
		run->execute_ms = sim->now_ms +
				  sim_random_below(sim, (uint32_t)delay_ms + 1);
	else if (run->outcome == BW_KEYS_OUTCOME_MAY_HAVE_RUN &&
		 sim_random_below(sim, 2))
		run->execute_ms = sim->now_ms + sim_random_below(sim, 800);
}

static void finish_run_(struct sim *sim, struct run *run)
{
	struct test_key *key = &sim->keys[run->key];
	struct host *host = &sim->hosts[sim->processes[run->process].host];
	uint8_t body[BODY_MAX_BYTES];
	struct bw_keys_response response = { .status = 200,
					     .headers = (const uint8_t *)"hh",
					     .headers_bytes = 2,
					     .body = body };

	run->finished = true;
	key->body_bytes = sim_random_below(sim, BODY_MAX_BYTES);
	key->body_seed = (uint8_t)sim_random_below(sim, 256);
	fill_body_(key, body);
	response.body_bytes = key->body_bytes;
	assert_int_equal(
		bw_keys_finish_run(
			&host->keys, &key->key, run->handle, run->outcome,
			sim_random_below(sim, 10) ? &response : NULL,
			sim_host_now(sim, sim->processes[run->process].host),
			&sim->out),
		BW_OK);
	key->ref = run->outcome == BW_KEYS_OUTCOME_DONE	     ? REF_DONE
		   : run->outcome == BW_KEYS_OUTCOME_NOT_RUN ? REF_NEW
							     : REF_UNKNOWN;
	sim_send(sim, sim->processes[run->process].host);
	handle_events_(sim, sim->processes[run->process].host);
}

static void step_runs_(struct sim *sim)
{
	struct run *run;
	bool caller_disconnects;
	uint32_t i;

	for (i = sim->first_run; i < sim->run_count; i++) {
		run = &sim->runs[i];
		if (run->execute_ms >= 0 && !run->executed &&
		    run->execute_ms <= sim->now_ms) {
			run->executed = true;
			sim->stats->executions++;
			CHECK(++sim->keys[run->key].executions == 1, sim,
			      "the backend executes a key twice");
		}
		CHECK(!run->finished || !run->joined || run->notified ||
			      sim->processes[run->process].ended,
		      sim, "a joined attempt was not notified of the outcome");
		if (run->finished)
			continue;
		/* ack_wait_ms (50 ms) plus two ticks of 50 ms. */
		CHECK(run->ready || sim->now_ms - run->begun_ms <= 150, sim,
		      "a run waited too long for the backup");
		/* Some callers disconnect before the run is dispatched. */
		caller_disconnects = !run->dispatched &&
				     run->outcome == BW_KEYS_OUTCOME_NOT_RUN &&
				     sim_random_below(sim, 20) == 0;
		if (caller_disconnects ||
		    (run->dispatched && run->finish_ms <= sim->now_ms))
			finish_run_(sim, run);
		else if (!run->dispatched && run->ready)
			dispatch_(sim, run);
	}
	while (sim->first_run < sim->run_count &&
	       sim->runs[sim->first_run].finished &&
	       (sim->runs[sim->first_run].executed ||
		sim->runs[sim->first_run].execute_ms < 0))
		sim->first_run++;
}

static void deliver_(struct sim *sim)
{
	struct delivery delivery;
	uint32_t i = 0;

	while (i < sim->queue_count) {
		if (sim->queue[i].due_ms > sim->now_ms) {
			i++;
			continue;
		}
		delivery = sim->queue[i];
		sim->queue[i] = sim->queue[--sim->queue_count];
		if (delivery.is_attempt) {
			attempt_(sim, delivery.host, delivery.key,
				 delivery.digest, delivery.hops);
		} else {
			if (sim->hosts[delivery.host].up)
				bw_keys_receive(&sim->hosts[delivery.host].keys,
						&delivery.packet,
						sim_host_now(sim,
							     delivery.host),
						&sim->out);
			free(delivery.packet.data);
			sim_send(sim, delivery.host);
		}
		handle_events_(sim, delivery.host);
	}
}

/* Injects crashes, rolling restarts and changes of the backup. */
static void inject_faults_(struct sim *sim, uint32_t index)
{
	struct host *host = &sim->hosts[index];

	if (!host->up) {
		if (sim->now_ms >= host->restart_ms &&
		    sim->process_count < PROCESSES_MAX)
			sim_start_host(sim, index);
		return;
	}
	if (sim_random_below(sim, 60) == 0)
		sim_choose_backup(sim, index);
	if (sim_random_below(sim, host->leaving ? 40 : 160) == 0)
		sim_seal(sim, index);
	if (sim->crashes && sim_random_below(sim, 200) == 0)
		sim_stop_host(sim, index, true);
	else if (host->leaving &&
		 (bw_keys_is_handed_over(&host->keys) ||
		  sim->now_ms > host->leave_deadline_ms) &&
		 !bw_keys_running_count(&host->keys) &&
		 sim_random_below(sim, 20) == 0)
		sim_stop_host(sim, index, false);
}

static void step_(struct sim *sim)
{
	uint32_t i;

	sim->now_ms += STEP_MS;
	deliver_(sim);
	step_runs_(sim);
	for (i = 0; i < HOSTS; i++) {
		if (sim->now_ms % 50 == 0 && sim->hosts[i].up) {
			bw_keys_tick(&sim->hosts[i].keys, sim_host_now(sim, i),
				     &sim->out);
			sim_send(sim, i);
		}
		handle_events_(sim, i);
		if (sim->now_ms % 50 == 0)
			inject_faults_(sim, i);
	}
	if (sim->faults && sim->now_ms >= sim->heal_ms &&
	    sim_random_below(sim, 200) == 0) {
		for (i = 0; i < HOSTS; i++)
			sim->partition[i] = sim_random_below(sim, 2);
		sim->heal_ms = sim->now_ms + 200 + sim_random_below(sim, 3000);
	} else if (sim->now_ms >= sim->heal_ms) {
		memset(sim->partition, 0, sizeof(sim->partition));
	}
}

static void generate_load_(struct sim *sim)
{
	uint32_t copies =
		sim_random_below(sim, 4) ? 1 : 1 + sim_random_below(sim, 4);
	uint32_t key;

	if (sim_random_below(sim, 25) == 0)
		sim_new_key(sim);
	if (!sim->key_count || sim_random_below(sim, 3))
		return;
	/* Use the newest keys, so that most attempts precede expiry. */
	key = sim->key_count - 1 -
	      sim_random_below(sim, sim->key_count < 16 ? sim->key_count : 16);
	while (copies--)
		sim_enqueue_attempt(sim, sim_random_below(sim, HOSTS), key,
				    sim_random_below(sim, 30) == 0, 0);
}

static void run_seed_(uint64_t seed, const struct bw_chart *chart,
		      struct stats *stats)
{
	struct sim *sim = calloc(1, sizeof(*sim));
	uint32_t i;

	assert_non_null(sim);
	sim->seed = seed;
	sim->chart = chart;
	sim->stats = stats;
	bw_random_init(&sim->random, seed);
	sim->faults = seed % 4 != 0;
	sim->crashes = seed % 4 >= 2;
	sim->small_stores = seed % 4 == 3 || seed % 8 == 4;
	sim->clock_skew = seed % 2;
	bw_outbox_init(&sim->out, 1000);
	for (i = 0; i < HOSTS; i++)
		sim_start_host(sim, i);
	while (sim->now_ms < SIMULATION_MS) {
		generate_load_(sim);
		step_(sim);
	}
	for (i = 0; i < HOSTS; i++) {
		if (sim->hosts[i].up)
			sim_stop_host(sim, i, false);
	}
	for (i = 0; i < sim->queue_count; i++)
		free(sim->queue[i].packet.data);
	bw_outbox_finish(&sim->out);
	free(sim);
}

static void print_stats_(const struct stats *stats, uint64_t seeds)
{
	int i;

	printf("%llu seeds: executions %llu, reported not run %llu, reported "
	       "unknown without record %llu, joined runs ended %llu\n",
	       (unsigned long long)seeds, (unsigned long long)stats->executions,
	       (unsigned long long)stats->reported_not_run,
	       (unsigned long long)stats->reported_unknown,
	       (unsigned long long)stats->joins_ended);
	printf("crashes %llu, adoptions %llu, handovers acknowledged %llu, "
	       "dispatched without ack %llu, responses dropped %llu, "
	       "packets %llu\n",
	       (unsigned long long)stats->crashes,
	       (unsigned long long)stats->adopted,
	       (unsigned long long)stats->handed_over,
	       (unsigned long long)stats->ready_unacknowledged,
	       (unsigned long long)stats->dropped,
	       (unsigned long long)stats->packets);
	for (i = 0; i < BW_KEYS_DECISION_COUNT; i++)
		printf("  %s %llu, from backup %llu\n",
		       bw_keys_decision_string[i],
		       (unsigned long long)stats->decisions[i],
		       (unsigned long long)stats->backup[i]);
	for (i = 1; i < BW_KEYS_REASON_COUNT; i++)
		printf("  unknown because %s %llu\n", bw_keys_reason_string[i],
		       (unsigned long long)stats->unknown[i]);
}

/*
 * Guards against a key that runs twice, a false "not run", a replay that
 * differs from the first response, a record removed before its expiry, and two
 * owners of one incarnation. Hosts crash, restart, fill up and have different
 * clocks; messages are lost, delayed and duplicated, and the network is
 * partitioned.
 */
static void test_random_runs(void **state)
{
	const char *text = getenv("BW_SEEDS");
	const char *first = getenv("BW_SEED");
	uint64_t seeds = text ? strtoull(text, NULL, 10) : 500;
	uint64_t start = first ? strtoull(first, NULL, 10) : 1;
	struct stats stats = { .packets = 0 };
	struct bw_chart chart;
	struct bw_yaml_error error;
	uint64_t i;

	(void)state;
	assert_int_equal(bw_chart_load(&chart, "charts/request_key.yaml",
				       &bw_keys_chart_names, &error),
			 BW_OK);
	/* Seed 6155 sent a chunk again with other records than before. */
	run_seed_(6155, &chart, &stats);
	for (i = 0; i < seeds; i++)
		run_seed_(start + i, &chart, &stats);
	print_stats_(&stats, seeds + 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_runs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
