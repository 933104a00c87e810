/*
 * Seeded runs of several hosts with a virtual clock, compared with a naive
 * single-server reference: one state per key, with unlimited memory, that
 * sees every run, crash and handover at once. BW_SEEDS sets the number of
 * runs, BW_SEED the first seed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwbase/random.h"
#include "bwsteer/keys.h"

#define HOSTS 5
#define KEYS_MAX 96
#define RUNS_MAX 4096
#define QUEUE_MAX 8192
#define INCARNATIONS_MAX 256
#define STEP_MS 10
#define RUN_MS 24000
#define WALL_MS INT64_C(1796000000000)
#define BODY_MAX 300

#define CHECK(condition, sim, text)                               \
	do {                                                      \
		if (!(condition))                                 \
			fail_msg("seed %llu at %lld ms: %s",      \
				 (unsigned long long)(sim)->seed, \
				 (long long)(sim)->now_ms, text); \
	} while (0)

/* State of a key in the reference. */
enum ref_state { REF_NEW, REF_RUNNING, REF_DONE, REF_UNKNOWN };

struct test_key {
	char text[BW_KEYS_TEXT_MAX]; /* "" for a key of a caller */
	struct bw_key key;
	enum ref_state ref;
	uint8_t digest; /* of the run, valid unless REF_NEW */
	uint32_t executions;
	uint32_t run; /* index of the latest run */
	uint32_t body_bytes;
	bool kept;
	uint8_t body_seed;
};

struct run {
	uint32_t key;
	uint32_t process; /* index into processes */
	uint64_t handle;
	bool ready, dispatched, executed, finished;
	int64_t execute_ms; /* -1: never */
	int64_t finish_ms;
	int64_t begun_ms;
	enum bw_keys_outcome outcome;
};

/* One life of a host; its incarnation is its index + 1000. */
struct process {
	uint32_t host;
	int64_t started_ms;
	int64_t wall_ms; /* wall clock at start */
	uint32_t holder; /* process that owns its keys now */
	bool ended;
};

struct host {
	struct bw_keys keys;
	bool up, leaving;
	uint32_t process;
	int64_t offset_ms; /* of the monotonic clock */
	int64_t up_ms; /* restart time while down */
	int64_t leave_end_ms;
};

struct delivery {
	int64_t due_ms;
	uint32_t host;
	bool is_attempt;
	struct bw_packet packet;
	uint32_t key, hops; /* attempt */
	uint8_t digest;
};

struct stats {
	uint64_t decisions[BW_KEYS_DECISION_COUNT];
	uint64_t unknown[BW_KEYS_REASON_COUNT];
	uint64_t backup[BW_KEYS_DECISION_COUNT];
	uint64_t told_not_run, told_unknown, executions, crashes;
	uint64_t adopted, handed_over, ready_unacknowledged, dropped;
	uint64_t joins_ended, packets;
};

struct sim {
	uint64_t seed;
	struct bw_random random;
	int64_t now_ms;
	const struct bw_chart *chart;
	bool faults, crashes, small, skewed;
	struct host hosts[HOSTS];
	struct process processes[INCARNATIONS_MAX];
	uint32_t process_count;
	struct test_key keys[KEYS_MAX];
	uint32_t key_count;
	struct run runs[RUNS_MAX];
	uint32_t run_count, first_run;
	struct delivery queue[QUEUE_MAX];
	uint32_t queue_count;
	uint32_t side[HOSTS];
	int64_t heal_ms;
	struct bw_outbox out;
	struct stats *stats;
};

static void attempt_(struct sim *sim, uint32_t host, uint32_t key,
		     uint8_t digest, uint32_t hops);

static uint32_t below_(struct sim *sim, uint32_t bound)
{
	return (uint32_t)bw_random_below(&sim->random, bound);
}

static struct bw_time host_now_(const struct sim *sim, uint32_t host)
{
	struct bw_time now = { sim->now_ms + sim->hosts[host].offset_ms };

	return now;
}

static int64_t wall_of_(const struct sim *sim, uint32_t process)
{
	const struct process *p = &sim->processes[process];

	return p->wall_ms + sim->now_ms - p->started_ms;
}

static bool reachable_(const struct sim *sim, uint32_t a, uint32_t b)
{
	return sim->side[a] == sim->side[b];
}

static uint32_t host_of_(const char *name)
{
	return (uint32_t)(name[1] - '0');
}

static void name_(uint32_t host, char name[BW_NAME_MAX])
{
	snprintf(name, BW_NAME_MAX, "h%u", host);
}

static struct delivery *push_(struct sim *sim, uint32_t host, int64_t delay_ms)
{
	struct delivery *delivery;

	if (sim->queue_count == QUEUE_MAX)
		return NULL;
	delivery = &sim->queue[sim->queue_count++];
	memset(delivery, 0, sizeof(*delivery));
	delivery->due_ms = sim->now_ms + delay_ms;
	delivery->host = host;
	return delivery;
}

static void push_attempt_(struct sim *sim, uint32_t host, uint32_t key,
			  uint8_t digest, uint32_t hops)
{
	struct delivery *delivery = push_(sim, host, 1 + below_(sim, 40));

	if (!delivery)
		return;
	delivery->is_attempt = true;
	delivery->key = key;
	delivery->digest = digest;
	delivery->hops = hops;
}

/* Sends what is in the outbox; late, twice or not at all with faults. */
static void send_(struct sim *sim, uint32_t from)
{
	struct delivery *delivery;
	struct bw_packet *packet;
	uint32_t copies;
	uint32_t i;
	uint32_t to;

	for (i = 0; i < sim->out.count; i++) {
		packet = &sim->out.packets[i];
		to = host_of_(packet->peer);
		copies = 1;
		sim->stats->packets++;
		if (sim->faults && below_(sim, 100) < 8)
			copies = below_(sim, 3);
		if (!reachable_(sim, from, to))
			copies = 0;
		while (copies--) {
			delivery = push_(sim, to, 1 + below_(sim, 30));
			if (!delivery)
				break;
			if (sim->faults && below_(sim, 50) == 0)
				delivery->due_ms += below_(sim, 6000);
			delivery->packet = *packet;
			name_(from, delivery->packet.peer);
			delivery->packet.incarnation =
				1000 + sim->hosts[from].process;
			delivery->packet.data = malloc(packet->size_bytes);
			memcpy(delivery->packet.data, packet->data,
			       packet->size_bytes);
		}
	}
	bw_outbox_clear(&sim->out);
}

static void start_host_(struct sim *sim, uint32_t index)
{
	struct host *host = &sim->hosts[index];
	struct process *process = &sim->processes[sim->process_count];
	struct bw_keys_config config;

	assert_true(sim->process_count < INCARNATIONS_MAX);
	host->process = sim->process_count++;
	host->up = true;
	host->leaving = false;
	host->offset_ms = below_(sim, 1000000);
	process->host = index;
	process->started_ms = sim->now_ms;
	process->wall_ms = WALL_MS + sim->now_ms;
	if (sim->skewed)
		process->wall_ms += (int64_t)below_(sim, 8000) - 4000;
	process->holder = host->process;
	bw_keys_config_default(&config);
	name_(index, config.host);
	config.incarnation = 1000 + host->process;
	memset(config.secret, 7, sizeof(config.secret));
	config.chart = sim->chart;
	config.wall_ms = process->wall_ms;
	config.validity_ms = 6000;
	config.horizon_ms = 12000;
	config.bound_horizon_ms = 15000;
	config.handover_idle_ms = 2000;
	if (sim->small) {
		config.records_max = 6 + below_(sim, 20);
		config.responses_max_bytes = 400 + below_(sim, 2000);
		config.backup_records_max = 4 + below_(sim, 30);
		config.backup_records_per_owner_max = 3 + below_(sim, 10);
		config.backup_responses_max_bytes = 300 + below_(sim, 2000);
		config.backup_bytes_per_s = 2000;
	}
	assert_int_equal(bw_keys_init(&host->keys, &config,
				      host_now_(sim, index)),
			 BW_OK);
}

static void stop_host_(struct sim *sim, uint32_t index, bool crash)
{
	struct host *host = &sim->hosts[index];
	struct bw_keys_counts *counts = &host->keys.counts;
	struct run *run;
	uint32_t i;

	sim->stats->crashes += crash;
	sim->stats->ready_unacknowledged += counts->ready_unacknowledged;
	sim->stats->dropped += counts->responses_dropped;
	bw_keys_finish(&host->keys);
	host->up = false;
	host->up_ms = sim->now_ms + 100 + below_(sim, 1500);
	sim->processes[host->process].ended = true;
	for (i = sim->first_run; i < sim->run_count; i++) {
		run = &sim->runs[i];
		if (run->finished || run->process != host->process)
			continue;
		run->finished = true;
		/* What was dispatched may still execute. */
		if (!run->dispatched)
			run->execute_ms = -1;
		sim->keys[run->key].ref = REF_UNKNOWN;
	}
}

static void new_key_(struct sim *sim)
{
	struct test_key *key = &sim->keys[sim->key_count];
	uint32_t minter = below_(sim, HOSTS);
	uint32_t owner = below_(sim, HOSTS);
	struct host *host = &sim->hosts[minter];
	char name[BW_NAME_MAX];
	char caller_key[16];
	uint64_t incarnation = 1000 + sim->hosts[owner].process;
	int64_t wall_ms;
	uint8_t id[BW_KEYS_ID_BYTES];

	if (!host->up || sim->key_count == KEYS_MAX)
		return;
	memset(key, 0, sizeof(*key));
	name_(owner, name);
	wall_ms = bw_keys_wall_ms(&host->keys, host_now_(sim, minter));
	if (sim->skewed && below_(sim, 20) == 0)
		wall_ms += 20000;
	if (below_(sim, 5)) {
		assert_int_equal(bw_keys_mint(&host->keys, name, incarnation,
					      wall_ms, key->text),
				 BW_OK);
		assert_int_equal(bw_keys_parse(&host->keys, key->text, 0,
					       &key->key),
				 BW_OK);
	} else {
		snprintf(caller_key, sizeof(caller_key), "c%u", sim->key_count);
		assert_int_equal(bw_keys_hash_caller_key(&host->keys, "s",
							 caller_key, id),
				 BW_OK);
		assert_int_equal(bw_keys_from_binding(id, name, incarnation,
						      wall_ms + 8000,
						      &key->key),
				 BW_OK);
	}
	sim->key_count++;
}

static void response_(const struct test_key *key, uint8_t *body)
{
	memset(body, key->body_seed, key->body_bytes);
}

/* Guards against "not run" being told about a request that has run or runs. */
static void tell_not_run_(struct sim *sim, const struct test_key *key,
			  uint8_t digest)
{
	sim->stats->told_not_run++;
	CHECK(key->ref == REF_NEW || key->digest != digest, sim,
	      "not run was told about a request that ran");
}

static void check_run_(struct sim *sim, uint32_t index, struct test_key *key)
{
	uint32_t origin = (uint32_t)(key->key.incarnation - 1000);

	CHECK(key->ref == REF_NEW, sim, "a key runs twice");
	CHECK(sim->processes[origin].holder == sim->hosts[index].process, sim,
	      "a host runs a key that it does not own");
	if (origin == sim->hosts[index].process)
		CHECK(wall_of_(sim, origin) < key->key.expiry_ms, sim,
		      "an expired key runs");
}

static void begin_run_(struct sim *sim, uint32_t index, uint32_t key_index,
		       uint8_t digest, const struct bw_keys_decision *decision)
{
	struct test_key *key = &sim->keys[key_index];
	struct run *run = &sim->runs[sim->run_count];
	uint32_t kind = below_(sim, 10);

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
	uint8_t body[BODY_MAX];

	response_(key, body);
	CHECK(key->ref == REF_DONE && key->digest == digest, sim,
	      "a replay without a finished run of this request");
	CHECK(decision->response.status == 200 &&
		      decision->response.headers_bytes == 2 &&
		      !memcmp(decision->response.headers, "hh", 2) &&
		      decision->response.body_bytes == key->body_bytes &&
		      !memcmp(decision->response.body, body, key->body_bytes),
	      sim, "a replay differs from the first response");
}

/* Compares a decision that does not start a run with the reference. */
static void check_(struct sim *sim, uint32_t index, const struct test_key *key,
		   uint8_t digest, const struct bw_keys_decision *decision,
		   bool owner)
{
	uint32_t origin = (uint32_t)(key->key.incarnation - 1000);
	const struct bw_keys_pool *pool = &sim->hosts[index].keys.owned_pool;

	switch (decision->kind) {
	case BW_KEYS_JOIN:
		CHECK(key->ref == REF_RUNNING && key->digest == digest, sim,
		      "joined a run that is not in progress");
		break;
	case BW_KEYS_REPLAY:
		check_replay_(sim, key, digest, decision);
		break;
	case BW_KEYS_UNKNOWN:
		if (decision->reason == BW_KEYS_RESPONSE_NOT_KEPT)
			CHECK(key->ref == REF_DONE, sim,
			      "told as run without a finished run");
		else if (owner)
			CHECK(key->ref == REF_UNKNOWN, sim,
			      "the owner does not know a known outcome");
		break;
	case BW_KEYS_FULL:
		CHECK(pool->records == pool->records_max, sim,
		      "a store with room refuses");
		break;
	case BW_KEYS_CONFLICT:
		CHECK(key->digest != digest, sim,
		      "the same request conflicts with itself");
		break;
	case BW_KEYS_EXPIRED:
		CHECK(wall_of_(sim, origin) >= key->key.expiry_ms, sim,
		      "a key expires early");
		break;
	default:
		break;
	}
	CHECK(key->ref == REF_NEW || !owner ||
		      decision->kind != BW_KEYS_TOO_FAR,
	      sim, "a record was forgotten");
	sim->stats->unknown[decision->reason]++;
}

/* Asks other hosts, as a host does whose forwarding to the owner failed. */
static void fall_back_(struct sim *sim, uint32_t from, uint32_t key_index,
		       uint8_t digest, uint32_t hops)
{
	const struct test_key *key = &sim->keys[key_index];
	uint8_t full_digest[BW_KEYS_ID_BYTES] = { digest };
	struct bw_keys_decision decision;
	struct host *host;
	uint32_t i;

	for (i = 0; i < HOSTS; i++) {
		host = &sim->hosts[i];
		if (!host->up || !reachable_(sim, from, i))
			continue;
		bw_keys_lookup_backup(&host->keys, &key->key, full_digest,
				      host_now_(sim, i), &decision);
		sim->stats->backup[decision.kind]++;
		check_(sim, i, key, digest, &decision, false);
		if (decision.not_run) {
			if (hops < 4 && below_(sim, 2))
				push_attempt_(sim, i, key_index, digest,
					      hops + 1);
			else
				tell_not_run_(sim, key, digest);
			return;
		}
		if (decision.kind != BW_KEYS_ABSENT)
			return;
	}
	sim->stats->told_unknown++;
}

static void forward_(struct sim *sim, uint32_t from, uint32_t key,
		     uint8_t digest, uint32_t hops,
		     const struct bw_keys_decision *decision)
{
	uint32_t to;

	if (!decision->host[0] || hops > 4) {
		fall_back_(sim, from, key, digest, hops);
		return;
	}
	to = host_of_(decision->host);
	if (sim->hosts[to].up && reachable_(sim, from, to))
		push_attempt_(sim, to, key, digest, hops + 1);
	else
		fall_back_(sim, from, key, digest, hops);
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
		      host_now_(sim, index), &sim->out, &decision);
	send_(sim, index);
	sim->stats->decisions[decision.kind]++;
	if (decision.kind == BW_KEYS_RUN) {
		begin_run_(sim, index, key_index, digest, &decision);
		return;
	}
	check_(sim, index, key, digest, &decision, true);
	if (decision.not_run &&
	    (decision.kind != BW_KEYS_SEALED || below_(sim, 2))) {
		tell_not_run_(sim, key, digest);
		return;
	}
	if (decision.kind == BW_KEYS_SEALED ||
	    decision.kind == BW_KEYS_NOT_OWNER ||
	    decision.kind == BW_KEYS_OWNER_ENDED)
		forward_(sim, index, key_index, digest, hops, &decision);
}

static void adopted_(struct sim *sim, uint32_t index, uint64_t incarnation)
{
	struct process *origin = &sim->processes[incarnation - 1000];
	struct process *former = &sim->processes[origin->holder];

	sim->stats->adopted++;
	CHECK(former->ended || sim->hosts[former->host].keys.sealed, sim,
	      "an incarnation has two owners");
	CHECK(origin->holder != sim->hosts[index].process, sim,
	      "an incarnation is taken over twice");
	origin->holder = sim->hosts[index].process;
}

/* Guards against a joined attempt being told another outcome. */
static void ended_(struct sim *sim, uint32_t process,
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
		      "a joined attempt is told another outcome");
		CHECK(event->outcome != BW_KEYS_OUTCOME_NOT_RUN ||
			      !run->executed,
		      sim, "a joined attempt is falsely told not run");
		return;
	}
	CHECK(false, sim, "an unknown run ended");
}

static void events_(struct sim *sim, uint32_t index)
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
			ended_(sim, host->process, &event);
			break;
		case BW_KEYS_EVENT_ADOPTED:
			adopted_(sim, index, event.key.incarnation);
			break;
		case BW_KEYS_EVENT_HANDED_OVER:
			sim->stats->handed_over++;
			break;
		case BW_KEYS_EVENT_COUNT:
			break;
		}
	}
}

/* The fake backend: executes at once, late, never, or after its caller gave
 * up. */
static void dispatch_(struct sim *sim, struct run *run)
{
	int64_t delay_ms = below_(sim, 400);

	run->dispatched = true;
	run->finish_ms = sim->now_ms + delay_ms;
	if (run->outcome == BW_KEYS_OUTCOME_DONE)
		run->execute_ms =
			sim->now_ms + below_(sim, (uint32_t)delay_ms + 1);
	else if (run->outcome == BW_KEYS_OUTCOME_MAY_HAVE_RUN && below_(sim, 2))
		run->execute_ms = sim->now_ms + below_(sim, 800);
}

static void finish_run_(struct sim *sim, struct run *run)
{
	struct test_key *key = &sim->keys[run->key];
	struct host *host = &sim->hosts[sim->processes[run->process].host];
	uint8_t body[BODY_MAX];
	struct bw_keys_response response = { .status = 200,
					     .headers = (const uint8_t *)"hh",
					     .headers_bytes = 2,
					     .body = body };

	run->finished = true;
	key->body_bytes = below_(sim, BODY_MAX);
	key->body_seed = (uint8_t)below_(sim, 256);
	response_(key, body);
	response.body_bytes = key->body_bytes;
	assert_int_equal(
		bw_keys_finish_run(
			&host->keys, &key->key, run->handle, run->outcome,
			below_(sim, 10) ? &response : NULL,
			host_now_(sim, sim->processes[run->process].host),
			&sim->out),
		BW_OK);
	key->ref = run->outcome == BW_KEYS_OUTCOME_DONE	     ? REF_DONE
		   : run->outcome == BW_KEYS_OUTCOME_NOT_RUN ? REF_NEW
							     : REF_UNKNOWN;
	send_(sim, sim->processes[run->process].host);
}

static void step_runs_(struct sim *sim)
{
	struct run *run;
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
		if (run->finished)
			continue;
		/* Wait for the backup plus two ticks. */
		CHECK(run->ready || sim->now_ms - run->begun_ms <= 150, sim,
		      "a run waits for the backup without bound");
		/* Some callers leave before the run is dispatched. */
		if (!run->dispatched &&
		    run->outcome == BW_KEYS_OUTCOME_NOT_RUN &&
		    below_(sim, 20) == 0)
			finish_run_(sim, run);
		else if (!run->dispatched && run->ready)
			dispatch_(sim, run);
		else if (run->dispatched && run->finish_ms <= sim->now_ms)
			finish_run_(sim, run);
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
						host_now_(sim, delivery.host),
						&sim->out);
			free(delivery.packet.data);
			send_(sim, delivery.host);
		}
		events_(sim, delivery.host);
	}
}

static void choose_backup_(struct sim *sim, uint32_t index)
{
	uint32_t other = below_(sim, HOSTS + 1);
	char name[BW_NAME_MAX] = "";

	if (other == index)
		return;
	if (other < HOSTS)
		name_(other, name);
	bw_keys_set_backup(&sim->hosts[index].keys, name,
			   other < HOSTS ? 1000 + sim->hosts[other].process : 0,
			   host_now_(sim, index));
}

static void seal_(struct sim *sim, uint32_t index)
{
	uint32_t other = below_(sim, HOSTS);
	char name[BW_NAME_MAX];

	if (other == index || !sim->hosts[other].up)
		return;
	name_(other, name);
	bw_keys_seal(&sim->hosts[index].keys, name,
		     1000 + sim->hosts[other].process);
	if (!sim->hosts[index].leaving)
		sim->hosts[index].leave_end_ms =
			sim->now_ms + 500 + below_(sim, 4000);
	sim->hosts[index].leaving = true;
}

/* Crashes, rolling restarts, changes of backup, partitions. */
static void disturb_(struct sim *sim, uint32_t index)
{
	struct host *host = &sim->hosts[index];

	if (!host->up) {
		if (sim->now_ms >= host->up_ms &&
		    sim->process_count < INCARNATIONS_MAX)
			start_host_(sim, index);
		return;
	}
	if (below_(sim, 60) == 0)
		choose_backup_(sim, index);
	if (below_(sim, host->leaving ? 40 : 160) == 0)
		seal_(sim, index);
	if (sim->crashes && below_(sim, 200) == 0)
		stop_host_(sim, index, true);
	else if (host->leaving &&
		 (bw_keys_is_handed_over(&host->keys) ||
		  sim->now_ms > host->leave_end_ms) &&
		 !bw_keys_running_count(&host->keys) && below_(sim, 20) == 0)
		stop_host_(sim, index, false);
}

static void step_(struct sim *sim)
{
	uint32_t i;

	sim->now_ms += STEP_MS;
	deliver_(sim);
	step_runs_(sim);
	for (i = 0; i < HOSTS; i++) {
		if (sim->now_ms % 50 == 0 && sim->hosts[i].up) {
			bw_keys_tick(&sim->hosts[i].keys, host_now_(sim, i),
				     &sim->out);
			send_(sim, i);
		}
		events_(sim, i);
		if (sim->now_ms % 50 == 0)
			disturb_(sim, i);
	}
	if (sim->faults && sim->now_ms >= sim->heal_ms &&
	    below_(sim, 200) == 0) {
		for (i = 0; i < HOSTS; i++)
			sim->side[i] = below_(sim, 2);
		sim->heal_ms = sim->now_ms + 200 + below_(sim, 3000);
	} else if (sim->now_ms >= sim->heal_ms) {
		memset(sim->side, 0, sizeof(sim->side));
	}
}

static void load_(struct sim *sim)
{
	uint32_t copies = below_(sim, 4) ? 1 : 1 + below_(sim, 4);
	uint32_t key;

	if (below_(sim, 25) == 0)
		new_key_(sim);
	if (!sim->key_count || below_(sim, 3))
		return;
	/* Mostly the newest keys, so that most attempts precede expiry. */
	key = sim->key_count - 1 -
	      below_(sim, sim->key_count < 16 ? sim->key_count : 16);
	while (copies--)
		push_attempt_(sim, below_(sim, HOSTS), key,
			      below_(sim, 30) == 0, 0);
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
	sim->small = seed % 4 == 3 || seed % 8 == 4;
	sim->skewed = seed % 2;
	bw_outbox_init(&sim->out, 1000);
	for (i = 0; i < HOSTS; i++)
		start_host_(sim, i);
	while (sim->now_ms < RUN_MS) {
		load_(sim);
		step_(sim);
	}
	for (i = 0; i < HOSTS; i++) {
		if (sim->hosts[i].up)
			stop_host_(sim, i, false);
	}
	for (i = 0; i < sim->queue_count; i++)
		free(sim->queue[i].packet.data);
	bw_outbox_finish(&sim->out);
	free(sim);
}

static void print_(const struct stats *stats, uint64_t seeds)
{
	int i;

	printf("%llu seeds: executions %llu, told not run %llu, told unknown "
	       "without record %llu, joined runs ended %llu\n",
	       (unsigned long long)seeds, (unsigned long long)stats->executions,
	       (unsigned long long)stats->told_not_run,
	       (unsigned long long)stats->told_unknown,
	       (unsigned long long)stats->joins_ended);
	printf("crashes %llu, adoptions %llu, handovers acknowledged %llu, "
	       "dispatched without copy %llu, responses dropped %llu, "
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
 * differs, a record forgotten before its expiry, and two owners of one
 * incarnation, under crashes, partitions, lost, late and repeated messages,
 * rolling restarts, full stores and clocks that differ.
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
	for (i = 0; i < seeds; i++)
		run_seed_(start + i, &chart, &stats);
	print_(&stats, seeds);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_runs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
