/*
 * Runs groups of 3 and 5 hosts with random faults. Guards against a lost or
 * replaced accepted revision, two commands at one log index, a host whose
 * revision decreases, a different answer on resend, and overlapping leases.
 *
 * Usage: test_replica_random [seeds [first seed]]; or BW_SEEDS=seeds.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "sim.h"

#define DEFAULT_SEEDS 500
#define FAULT_STEPS 250
#define STEP_MS 100
#define CONVERGE_MAX_MS 60000

/** Totals over all seeds; they show whether the faults occurred. */
struct totals {
	uint64_t accepted;
	uint64_t leader_changes;
	uint64_t disks_lost;
	uint64_t crashes;
	uint64_t storage_failures;
	uint64_t storage_reopened;
	uint64_t snapshots_installed;
	uint64_t repeated_answers;
	uint64_t lease_checks;
};

static uint64_t seeds_ = DEFAULT_SEEDS;
static uint64_t first_seed_ = 1;

static int random_below_(struct sim *sim, int bound)
{
	return (int)bw_random_below(&sim->random, (uint64_t)bound);
}

static void submit_random_(struct sim *sim)
{
	char id[BW_SUBMISSION_ID_MAX];
	int leader = sim_leader(sim);
	int host = leader >= 0 && random_below_(sim, 4)
			   ? leader
			   : random_below_(sim, sim->host_count);
	int count = random_below_(sim, 8);

	while (count--) {
		/* Concurrent senders use equal and adjacent revisions. */
		uint64_t revision =
			sim->revision + (uint64_t)random_below_(sim, 3);
		uint32_t number = sim->submission_count;

		if (number && random_below_(sim, 4) == 0)
			number = (uint32_t)random_below_(sim, (int)number);
		snprintf(id, sizeof(id), "s%u", number);
		sim_submit(sim, host, id, revision ? revision : 1,
			   (uint8_t)(1 + random_below_(sim, 3)));
		if (random_below_(sim, 2))
			host = random_below_(sim, sim->host_count);
	}
}

static void block_random_links_(struct sim *sim)
{
	int from;
	int to;
	uint32_t side_mask = (uint32_t)bw_random_next(&sim->random);
	bool one_way = random_below_(sim, 4) == 0;

	if (random_below_(sim, 3) == 0) {
		/*
		 * Blocks one link: both ends still reach the other hosts, as
		 * an election during a valid lease requires.
		 */
		from = random_below_(sim, sim->host_count);
		to = random_below_(sim, sim->host_count);
		sim->blocked[from][to] = true;
		sim->blocked[to][from] = true;
		return;
	}
	for (from = 0; from < sim->host_count; from++) {
		for (to = 0; to < sim->host_count; to++) {
			bool separated = ((side_mask >> from) & 1) !=
					 ((side_mask >> to) & 1);

			if (one_way)
				separated = separated &&
					    ((side_mask >> from) & 1);
			sim->blocked[from][to] = separated;
		}
	}
}

static void inject_fault_(struct sim *sim)
{
	int host = random_below_(sim, sim->host_count);
	struct sim_host *h = &sim->hosts[host];

	switch (random_below_(sim, 12)) {
	case 0:
		sim_crash(sim, host, random_below_(sim, 2));
		break;
	case 1:
		h->storage.u.memory.syncs_until_failure =
			(uint32_t)(1 + random_below_(sim, 6));
		break;
	case 2:
		/* At any time at most a minority of the disks is lost. */
		if (sim->group.count &&
		    sim_missing_voters(sim, sim->host_count) <
			    (sim->host_count - 1) / 2)
			sim_lose_disk(sim, host);
		break;
	case 3:
		block_random_links_(sim);
		break;
	case 4:
	case 5:
		memset(sim->blocked, 0, sizeof(sim->blocked));
		break;
	case 6:
		sim->drop_percent = (uint32_t)random_below_(sim, 30);
		sim->duplicate_percent = (uint32_t)random_below_(sim, 20);
		sim->delay_max_ms = 1 + random_below_(sim, 150);
		break;
	case 7:
		sim->drop_percent = 0;
		sim->delay_max_ms = 10;
		break;
	default:
		if (random_below_(sim, 2))
			h->storage.u.memory.failed = false;
		else if (h->replica &&
			 bw_replica_role(h->replica) == BW_REPLICA_FAILED)
			sim_crash(sim, host, random_below_(sim, 2));
		sim_start(sim, host);
		break;
	}
}

static void clear_faults_(struct sim *sim)
{
	int i;

	memset(sim->blocked, 0, sizeof(sim->blocked));
	sim->drop_percent = 0;
	sim->duplicate_percent = 0;
	sim->delay_max_ms = 10;
	for (i = 0; i < sim->host_count; i++) {
		sim->hosts[i].storage.u.memory.syncs_until_failure = 0;
		sim->hosts[i].storage.u.memory.failed = false;
		sim_start(sim, i);
	}
}

static void add_totals_(struct totals *totals, const struct sim *sim)
{
	totals->accepted += sim->accepted_count;
	totals->leader_changes += sim->leader_changes;
	totals->disks_lost += sim->disks_lost;
	totals->crashes += sim->crashes;
	totals->storage_failures += sim->storage_failures;
	totals->storage_reopened += sim->storage_reopened;
	totals->snapshots_installed += sim->snapshots_installed;
	totals->repeated_answers += sim->repeated_answers;
	totals->lease_checks += sim->lease_checks;
}

static void print_hosts_(const struct sim *sim)
{
	int i;

	for (i = 0; i < sim->host_count; i++) {
		json_t *object = json_object();
		char *text;

		if (sim->hosts[i].replica)
			bw_replica_dump(sim->hosts[i].replica, object);
		text = json_dumps(object, JSON_COMPACT);
		print_message("%s %s\n", sim->hosts[i].name, text);
		free(text);
		json_decref(object);
	}
}

static void run_seed_(uint64_t seed, struct totals *totals)
{
	struct sim sim;
	char error[SIM_ERROR_BYTES];
	int64_t waited_ms = 0;
	int step;
	int i;

	sim_init(&sim, seed, seed % 2 ? 3 : 5, seed % 2 ? 3 : 5);
	for (i = 0; i < sim.host_count; i++)
		sim_start(&sim, i);
	for (step = 0; step < FAULT_STEPS && !sim.error[0]; step++) {
		submit_random_(&sim);
		if (random_below_(&sim, 2))
			inject_fault_(&sim);
		sim_run(&sim, 1 + random_below_(&sim, 2 * STEP_MS));
	}
	clear_faults_(&sim);
	while (!sim.error[0] && !sim_converged(&sim, sim.host_count) &&
	       waited_ms < CONVERGE_MAX_MS) {
		sim_run(&sim, STEP_MS);
		waited_ms += STEP_MS;
	}
	if (!sim.error[0] && waited_ms >= CONVERGE_MAX_MS)
		snprintf(sim.error, sizeof(sim.error),
			 "group did not converge");
	if (!sim.error[0])
		sim_check_end(&sim);
	add_totals_(totals, &sim);
	memcpy(error, sim.error, sizeof(error));
	if (error[0])
		print_hosts_(&sim);
	sim_finish(&sim);
	if (error[0])
		fail_msg("seed %llu: %s", (unsigned long long)seed, error);
}

static void test_random_runs(void **state)
{
	struct totals totals = { .accepted = 0 };
	uint64_t seed;

	(void)state;
	for (seed = first_seed_; seed < first_seed_ + seeds_; seed++)
		run_seed_(seed, &totals);
	print_message("seeds %llu accepted %llu leader_changes %llu "
		      "disks_lost %llu crashes %llu storage_failures %llu "
		      "storage_reopened %llu "
		      "snapshots_installed %llu repeated_answers %llu "
		      "lease_checks %llu\n",
		      (unsigned long long)seeds_,
		      (unsigned long long)totals.accepted,
		      (unsigned long long)totals.leader_changes,
		      (unsigned long long)totals.disks_lost,
		      (unsigned long long)totals.crashes,
		      (unsigned long long)totals.storage_failures,
		      (unsigned long long)totals.storage_reopened,
		      (unsigned long long)totals.snapshots_installed,
		      (unsigned long long)totals.repeated_answers,
		      (unsigned long long)totals.lease_checks);
	/* A run in which a kind of fault never occurred tests nothing. */
	if (seeds_ >= DEFAULT_SEEDS) {
		assert_true(totals.accepted > seeds_);
		assert_true(totals.disks_lost > seeds_ / 2);
		assert_true(totals.storage_failures > seeds_ / 2);
		assert_true(totals.storage_reopened > seeds_ / 2);
		assert_true(totals.snapshots_installed > seeds_ / 10);
		assert_true(totals.repeated_answers > seeds_ / 10);
	}
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_runs),
	};
	const char *seeds = getenv("BW_SEEDS");

	if (seeds)
		seeds_ = strtoull(seeds, NULL, 10);
	if (argc > 1)
		seeds_ = strtoull(argv[1], NULL, 10);
	if (argc > 2)
		first_seed_ = strtoull(argv[2], NULL, 10);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
