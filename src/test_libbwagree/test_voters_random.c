/*
 * Runs groups of 27 and 54 members, of which nine vote, while regions, failure
 * domains and disks are lost and hosts are replaced, at any step of a change of
 * the group. Guards against a lost accepted revision, and against a group that
 * finds no leader or keeps too few voters.
 *
 * Usage: test_voters_random [seeds [first seed]]; or BW_SEEDS=seeds.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwagree/voters.h"
#include "sim.h"

#define DEFAULT_SEEDS 6
#define SPARE_HOSTS 3
#define DOMAINS 9
#define REGIONS 3
#define LOSSES 2
#define FAULTS 8
#define STEP_MS 100
#define SETTLE_MAX_MS 40000
#define REPLACE_AFTER_MS 4000

/** A group, and what its leader has seen of its members. */
struct fixture {
	struct sim sim;
	int started; /**< hosts that were ever started */
	int64_t silent_since_ms[SIM_HOSTS_MAX]; /**< 0: responds */
	uint32_t target;
};

static uint64_t seeds_ = DEFAULT_SEEDS;
static uint64_t first_seed_ = 1;

static int index_of_(const struct sim *sim, const char *name)
{
	int i = 0;

	while (i < sim->host_count && strcmp(sim->names[i], name) != 0)
		i++;
	return i;
}

static void describe_(struct fixture *fixture, int leader,
		      const struct bw_replica_member *member,
		      struct bw_voter *voter)
{
	int host = index_of_(&fixture->sim, member->member.host);
	int64_t *since_ms = &fixture->silent_since_ms[host];

	if (member->caught_up)
		*since_ms = 0;
	else if (!*since_ms)
		*since_ms = fixture->sim.now_ms;
	memset(voter, 0, sizeof(*voter));
	bw_name_set(voter->host, member->member.host);
	snprintf(voter->domain, sizeof(voter->domain), "d%d", host % DOMAINS);
	snprintf(voter->region, sizeof(voter->region), "r%d", host % REGIONS);
	voter->votes = member->member.kind == BW_MEMBER_VOTER ||
		       member->member.promote;
	voter->live = member->caught_up;
	if (voter->votes && *since_ms)
		voter->live = fixture->sim.now_ms - *since_ms <
			      REPLACE_AFTER_MS;
	voter->leader = host == leader;
}

/* Does what the leader of a group of control hosts does. */
static void lead_(struct fixture *fixture)
{
	struct bw_time now = { fixture->sim.now_ms };
	struct bw_replica_member members[BW_GROUP_MAX];
	struct bw_voter voters[BW_GROUP_MAX];
	struct bw_voter_change change;
	int leader = sim_leader(&fixture->sim);
	struct bw_replica *replica;
	uint32_t admitted;
	uint32_t count;
	uint32_t i;

	if (leader < 0) {
		memset(fixture->silent_since_ms, 0,
		       sizeof(fixture->silent_since_ms));
		return;
	}
	replica = fixture->sim.hosts[leader].replica;
	count = bw_replica_members(replica, now, members);
	for (i = 0; i < count; i++)
		describe_(fixture, leader, &members[i], &voters[i]);
	if (bw_replica_admit(replica, &admitted, now) != BW_ENOTFOUND)
		return;
	change = bw_voters_next(voters, count, fixture->target);
	if (change.step != BW_VOTER_KEEP)
		bw_replica_set_voter(replica, voters[change.index].host,
				     change.step == BW_VOTER_PROMOTE, now);
}

static void submit_(struct fixture *fixture)
{
	struct sim *sim = &fixture->sim;
	int leader = sim_leader(sim);
	char id[BW_SUBMISSION_ID_MAX];

	if (leader < 0 || sim->submission_count > 1500)
		return;
	snprintf(id, sizeof(id), "s%u", sim->submission_count);
	sim_submit(sim, leader, id, sim->revision + 1, 1);
}

static void run_(struct fixture *fixture, int64_t ms)
{
	for (; ms > 0 && !fixture->sim.error[0]; ms -= STEP_MS) {
		sim_run(&fixture->sim, STEP_MS);
		lead_(fixture);
		if (bw_random_below(&fixture->sim.random, 4) == 0)
			submit_(fixture);
	}
}

static void start_all_(struct fixture *fixture)
{
	int i;

	memset(fixture->sim.blocked, 0, sizeof(fixture->sim.blocked));
	for (i = 0; i < fixture->started; i++)
		sim_start(&fixture->sim, i);
}

/* Returns whether the group has its voters, spread over the regions. */
static bool is_settled_(struct fixture *fixture)
{
	struct bw_time now = { fixture->sim.now_ms };
	struct bw_replica_member members[BW_GROUP_MAX];
	int leader = sim_leader(&fixture->sim);
	uint32_t in_region[REGIONS] = { 0 };
	uint32_t votes = 0;
	uint32_t count;
	uint32_t i;

	if (leader < 0)
		return false;
	count = bw_replica_members(fixture->sim.hosts[leader].replica, now,
				   members);
	for (i = 0; i < count; i++) {
		if (!members[i].caught_up)
			return false;
		if (members[i].member.kind != BW_MEMBER_VOTER)
			continue;
		votes++;
		in_region[index_of_(&fixture->sim, members[i].member.host) %
			  REGIONS]++;
	}
	for (i = 0; i < REGIONS; i++) {
		if (2 * in_region[i] >= votes)
			return false;
	}
	return votes == fixture->target && count >= (uint32_t)fixture->started;
}

static void settle_(struct fixture *fixture, uint64_t seed)
{
	int64_t waited_ms = 0;

	while (!is_settled_(fixture) && !fixture->sim.error[0]) {
		run_(fixture, STEP_MS);
		waited_ms += STEP_MS;
		if (waited_ms > SETTLE_MAX_MS)
			fail_msg("seed %llu: no settled group at %lld ms",
				 (unsigned long long)seed,
				 (long long)fixture->sim.now_ms);
	}
	if (fixture->sim.error[0])
		fail_msg("seed %llu: %s", (unsigned long long)seed,
			 fixture->sim.error);
}

static void crash_where_(struct fixture *fixture, int modulus, int remainder)
{
	int i;

	for (i = 0; i < fixture->started; i++) {
		if (i % modulus == remainder)
			sim_crash(&fixture->sim, i, false);
	}
}

static void lose_disks_(struct fixture *fixture)
{
	int i;

	for (i = 0; i < LOSSES; i++)
		sim_lose_disk(&fixture->sim,
			      (int)bw_random_below(&fixture->sim.random,
						   (uint64_t)fixture->started));
}

/* A seed does not return for a while; a host with an empty disk joins. */
static void replace_seed_(struct fixture *fixture)
{
	sim_crash(&fixture->sim, (int)bw_random_below(&fixture->sim.random, 3),
		  false);
	if (fixture->started < fixture->sim.host_count)
		sim_start(&fixture->sim, fixture->started++);
}

/* Cuts the hosts into halves. */
static void cut_(struct fixture *fixture)
{
	uint64_t side = bw_random_next(&fixture->sim.random);
	int from;
	int to;

	for (from = 0; from < fixture->started; from++) {
		for (to = 0; to < fixture->started; to++)
			fixture->sim.blocked[from][to] = ((side >> from) & 1) !=
							 ((side >> to) & 1);
	}
}

static void inject_fault_(struct fixture *fixture)
{
	struct bw_random *random = &fixture->sim.random;

	switch (bw_random_below(random, 6)) {
	case 0:
		crash_where_(fixture, REGIONS,
			     (int)bw_random_below(random, REGIONS));
		break;
	case 1:
		crash_where_(fixture, DOMAINS,
			     (int)bw_random_below(random, DOMAINS));
		break;
	case 2:
		lose_disks_(fixture);
		break;
	case 3:
		replace_seed_(fixture);
		break;
	case 4:
		cut_(fixture);
		break;
	default:
		crash_where_(fixture, 1, 0);
		break;
	}
}

static void run_seed_(uint64_t seed)
{
	static struct fixture fixture;
	struct bw_random *random = &fixture.sim.random;
	int count = seed % 2 ? 27 : 54;
	int i;

	memset(&fixture, 0, sizeof(fixture));
	sim_init(&fixture.sim, seed, count + SPARE_HOSTS, 3);
	fixture.started = count;
	fixture.target = bw_voters_target(DOMAINS, LOSSES);
	start_all_(&fixture);
	settle_(&fixture, seed);
	for (i = 0; i < FAULTS; i++) {
		/* Some faults come while the group still changes. */
		inject_fault_(&fixture);
		run_(&fixture, (int64_t)bw_random_below(random, 8000));
		start_all_(&fixture);
		if (bw_random_below(random, 2))
			settle_(&fixture, seed);
		else
			run_(&fixture,
			     REPLACE_AFTER_MS +
				     (int64_t)bw_random_below(random, 4000));
	}
	settle_(&fixture, seed);
	fixture.started = fixture.sim.host_count;
	start_all_(&fixture);
	settle_(&fixture, seed);
	sim_run(&fixture.sim, 2000);
	sim_check_end(&fixture.sim);
	if (fixture.sim.error[0])
		fail_msg("seed %llu: %s", (unsigned long long)seed,
			 fixture.sim.error);
	assert_true(fixture.sim.accepted_count > 0);
	print_message("seed %llu: %llu accepted, %llu disks lost\n",
		      (unsigned long long)seed,
		      (unsigned long long)fixture.sim.accepted_count,
		      (unsigned long long)fixture.sim.disks_lost);
	sim_finish(&fixture.sim);
}

static void test_random_faults(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = first_seed_; seed < first_seed_ + seeds_; seed++)
		run_seed_(seed);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_faults),
	};

	if (getenv("BW_SEEDS"))
		seeds_ = strtoull(getenv("BW_SEEDS"), NULL, 10);
	if (argc > 1)
		seeds_ = strtoull(argv[1], NULL, 10);
	if (argc > 2)
		first_seed_ = strtoull(argv[2], NULL, 10);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
