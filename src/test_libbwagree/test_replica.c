#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "script.h"
#include "sim.h"

#define SEED 1
#define ANSWER_TIMEOUT_MS 100

/** The simulated group of one script. */
struct fixture {
	struct sim sim;
	bool initialised;
	uint64_t term; /**< at the last command "term" */
};

static struct bw_replica *replica_(struct fixture *fixture, const char *name)
{
	return fixture->sim.hosts[name[0] - 'a'].replica;
}

static void start_group_(struct fixture *fixture, char **argv)
{
	int i;

	sim_init(&fixture->sim, SEED, atoi(argv[1]), atoi(argv[2]));
	fixture->initialised = true;
	for (i = 0; i < fixture->sim.host_count; i++)
		sim_start(&fixture->sim, i);
}

static void print_members_(struct fixture *fixture, struct bw_buffer *out)
{
	static const char kinds[] = { 'v', 'l', 'p' };
	struct bw_replica_member members[BW_GROUP_MAX];
	struct bw_time now = { fixture->sim.now_ms };
	int leader = sim_leader(&fixture->sim);
	uint32_t count = 0;
	uint32_t i;

	bw_buffer_printf(out, "leader %s voters",
			 leader < 0 ? "-" : fixture->sim.names[leader]);
	if (leader >= 0)
		count = bw_replica_members(fixture->sim.hosts[leader].replica,
					   now, members);
	for (i = 0; i < count; i++)
		bw_buffer_printf(out, " %s:%c", members[i].member.host,
				 kinds[members[i].member.kind]);
	bw_buffer_printf(out, "\n");
}

static void submit_(struct fixture *fixture, char **argv, struct bw_buffer *out)
{
	struct sim *sim = &fixture->sim;
	uint64_t repeated = sim->repeated_answers;
	struct sim_submission *s = sim_submit(sim, argv[1][0] - 'a', argv[2],
					      strtoull(argv[3], NULL, 10),
					      (uint8_t)atoi(argv[4]));

	if (!s) {
		bw_buffer_printf(out, "no leader\n");
		return;
	}
	sim_run(sim, ANSWER_TIMEOUT_MS);
	if (!s->answered)
		bw_buffer_printf(out, "pending\n");
	else
		bw_buffer_printf(out, "%s %d%s\n",
				 bw_outcome_kind_string[s->answer.kind],
				 (int)s->answer.revision,
				 sim->repeated_answers > repeated ? " repeated"
								  : "");
}

static void add_member_(struct fixture *fixture, char **argv,
			struct bw_buffer *out)
{
	struct bw_time now = { fixture->sim.now_ms };
	enum bw_status status = bw_replica_add(replica_(fixture, argv[1]),
					       argv[2],
					       !strcmp(argv[3], "voter"), now);

	bw_buffer_printf(out, "%s\n", bw_status_string[status]);
}

/* Adds the sixth and all later hosts as learners, one change at a time. */
static void add_remaining_hosts_(struct fixture *fixture, const char *leader)
{
	int i;

	for (i = 5; i < fixture->sim.host_count; i++) {
		struct bw_time now = { fixture->sim.now_ms };

		assert_int_equal(bw_replica_add(replica_(fixture, leader),
						fixture->sim.names[i], false,
						now),
				 BW_OK);
		sim_run(&fixture->sim, 300);
	}
}

static void print_term_change_(struct fixture *fixture, struct bw_buffer *out)
{
	int leader = sim_leader(&fixture->sim);
	uint64_t term =
		leader < 0
			? 0
			: bw_replica_term(fixture->sim.hosts[leader].replica);

	bw_buffer_printf(out, "%s\n",
			 !fixture->term ? "first"
					: (term == fixture->term ? "same"
								 : "changed"));
	fixture->term = term;
}

static void command_(void *context, int argc, char **argv,
		     struct bw_buffer *out)
{
	struct fixture *fixture = context;
	struct sim *sim = &fixture->sim;
	int host = argc > 1 ? argv[1][0] - 'a' : 0;

	if (!strcmp(argv[0], "group")) {
		start_group_(fixture, argv);
	} else if (!strcmp(argv[0], "run")) {
		sim_run(sim, atoi(argv[1]));
		print_members_(fixture, out);
	} else if (!strcmp(argv[0], "submit")) {
		submit_(fixture, argv, out);
	} else if (!strcmp(argv[0], "crash")) {
		sim_crash(sim, host, false);
	} else if (!strcmp(argv[0], "lose_disk")) {
		sim_lose_disk(sim, host);
	} else if (!strcmp(argv[0], "full")) {
		sim->hosts[host].storage.u.memory.capacity_bytes = 1;
	} else if (!strcmp(argv[0], "space")) {
		sim->hosts[host].storage.u.memory.capacity_bytes = 0;
	} else if (!strcmp(argv[0], "start")) {
		sim_start(sim, host);
	} else if (!strcmp(argv[0], "add")) {
		add_member_(fixture, argv, out);
	} else if (!strcmp(argv[0], "add_rest")) {
		add_remaining_hosts_(fixture, argv[1]);
	} else if (!strcmp(argv[0], "changes")) {
		bw_buffer_printf(out, "%u\n", sim->hosts[host].group_changes);
	} else if (!strcmp(argv[0], "disconnect") ||
		   !strcmp(argv[0], "connect")) {
		bool blocked = argv[0][0] == 'd';

		sim->blocked[host][argv[2][0] - 'a'] = blocked;
		sim->blocked[argv[2][0] - 'a'][host] = blocked;
	} else if (!strcmp(argv[0], "restart")) {
		int i;

		for (i = 0; i < atoi(argv[2]); i++) {
			sim_crash(sim, host, false);
			sim_start(sim, host);
			sim_run(sim, atoi(argv[3]));
		}
	} else if (!strcmp(argv[0], "term")) {
		print_term_change_(fixture, out);
	} else if (!strcmp(argv[0], "remove")) {
		struct bw_time now = { sim->now_ms };

		bw_buffer_printf(
			out, "%s\n",
			bw_status_string[bw_replica_remove(
				replica_(fixture, argv[1]), argv[2], now)]);
	} else if (!strcmp(argv[0], "revision")) {
		bw_buffer_printf(
			out, "%d\n",
			(int)bw_replica_state(replica_(fixture, argv[1]))
				->revision);
	} else {
		fail_msg("unknown command %s", argv[0]);
	}
	if (sim->error[0])
		fail_msg("%s", sim->error);
}

/* Each script states at its head which failure it guards against. */
static void run_script_(const char *path)
{
	struct fixture fixture = { .initialised = false };

	script_check(path, command_, &fixture);
	if (fixture.initialised)
		sim_finish(&fixture.sim);
}

static void test_single_host(void **state)
{
	(void)state;
	run_script_("src/test_libbwagree/scripts/single.script");
}

static void test_lost_disk_replaced(void **state)
{
	(void)state;
	run_script_("src/test_libbwagree/scripts/replace.script");
}

static void test_lease_blocks_election(void **state)
{
	(void)state;
	run_script_("src/test_libbwagree/scripts/lease.script");
}

static void test_membership_changes(void **state)
{
	(void)state;
	run_script_("src/test_libbwagree/scripts/members.script");
}

static void test_full_disks_in_turn(void **state)
{
	(void)state;
	run_script_("src/test_libbwagree/scripts/full_disk.script");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_single_host),
		cmocka_unit_test(test_lost_disk_replaced),
		cmocka_unit_test(test_lease_blocks_election),
		cmocka_unit_test(test_membership_changes),
		cmocka_unit_test(test_full_disks_in_turn),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
