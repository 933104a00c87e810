#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "fleet.h"

#define DEFAULT_SEEDS 250

/** Ticks after the last fault within which all views must converge. */
#define CONVERGENCE_TICKS 600

/** Duration of fault injection. */
#define FAULT_MS 40000

/** Results of one run. */
struct run_result {
	uint64_t false_failures;
	uint64_t failures;
	int64_t newest_start[FLEET_HOSTS_MAX][FLEET_HOSTS_MAX];
	bool start_went_back;
	char text[256];
};

/* Checks that a host never records an older start of a peer after a newer
 * one; counts a failure event about a running host as false. */
static void after_event_(struct fleet *fleet, uint32_t index)
{
	struct run_result *result = fleet->context;
	struct bw_member_event event;
	int64_t *newest;
	uint32_t host;

	while (bw_member_next_event(&fleet->hosts[index].member, &event)) {
		host = fleet_find(fleet, event.record.host.name);
		newest = &result->newest_start[index][host];
		if (event.kind == BW_MEMBER_EVENT_FAILED) {
			result->failures++;
			result->false_failures += fleet->hosts[host].running;
		}
		if (event.record.host.start_wall_ms < *newest) {
			result->start_went_back = true;
			snprintf(
				result->text, sizeof(result->text),
				"%s: an older start of %s replaced a newer one",
				fleet->hosts[index].name,
				event.record.host.name);
		}
		*newest = event.record.host.start_wall_ms;
	}
}

static void inject_fault_(struct fleet *fleet, struct run_result *result)
{
	uint32_t index =
		(uint32_t)bw_random_below(&fleet->random, fleet->host_count);
	struct fleet_host *host = &fleet->hosts[index];
	struct bw_outbox out;
	uint32_t i;

	switch (bw_random_below(&fleet->random, 9)) {
	case 0:
	case 1:
		fleet_crash(fleet, index);
		break;
	case 2:
	case 3:
	case 4:
		if (host->running)
			fleet_crash(fleet, index);
		memset(result->newest_start[index], 0,
		       sizeof(result->newest_start[index]));
		fleet_start(fleet, index, 0);
		break;
	case 5:
		for (i = 0; i < fleet->host_count; i++)
			fleet->hosts[i].group =
				(uint32_t)bw_random_below(&fleet->random, 2);
		break;
	case 6:
		host->group = 100 + index;
		break;
	case 7:
		for (i = 0; i < fleet->host_count; i++)
			fleet->hosts[i].group = 0;
		host->blocked_peer =
			1 + (uint32_t)bw_random_below(&fleet->random,
						      fleet->host_count);
		break;
	default:
		if (!host->running)
			break;
		bw_member_leave(&host->member, fleet->now);
		fleet_run(fleet, 500);
		bw_outbox_init(&out, 64);
		bw_member_leave_end(&host->member, fleet->now, &out);
		bw_outbox_finish(&out); /* the leave packets are lost */
		fleet_crash(fleet, index);
		break;
	}
}

static void run_seed_(uint64_t seed, struct run_result *total)
{
	struct run_result *result = calloc(1, sizeof(*result));
	struct fleet fleet;
	char text[256] = "";
	int64_t end_ms;
	uint32_t count;
	uint32_t i;

	assert_non_null(result);
	fleet_init(&fleet, seed, 1);
	fleet.member_only = true;
	fleet.context = result;
	fleet.after_event = after_event_;
	count = 3 + (uint32_t)bw_random_below(&fleet.random, 12);
	for (i = 0; i < count; i++)
		fleet_add(&fleet, 0, false, i < 3);
	for (i = 0; i < count; i++)
		fleet_start(&fleet, i, 0);
	fleet.drop_percent = (uint32_t)bw_random_below(&fleet.random, 30);
	fleet.duplicate_percent = (uint32_t)bw_random_below(&fleet.random, 20);
	fleet.corrupt_per_mille = (uint32_t)bw_random_below(&fleet.random, 20);
	fleet.delay_max_ms =
		20 + (uint32_t)bw_random_below(&fleet.random, 1500);
	end_ms = fleet.now.ms + FAULT_MS;
	while (fleet.now.ms < end_ms) {
		fleet_run(&fleet,
			  50 + (int64_t)bw_random_below(&fleet.random, 4000));
		inject_fault_(&fleet, result);
	}
	fleet_clear_faults(&fleet);
	if (!fleet.hosts[0].running) {
		memset(result->newest_start[0], 0,
		       sizeof(result->newest_start[0]));
		fleet_start(&fleet, 0, 0);
	}
	fleet_run(&fleet, CONVERGENCE_TICKS * FLEET_TICK_MS);
	total->false_failures += result->false_failures;
	total->failures += result->failures;
	if (result->start_went_back)
		fail_msg("seed %llu: %s", (unsigned long long)seed,
			 result->text);
	if (!fleet_has_converged(&fleet, text))
		fail_msg("seed %llu: %s", (unsigned long long)seed, text);
	free(result);
	fleet_finish(&fleet);
}

/* Guards against views that do not converge after faults, running hosts that
 * stay failed, and old incarnations that replace newer ones. */
static void test_random_faults(void **state)
{
	struct run_result *total = calloc(1, sizeof(*total));
	uint64_t count = fleet_seed_count(DEFAULT_SEEDS);
	uint64_t first = fleet_first_seed();
	uint64_t seed;

	(void)state;
	assert_non_null(total);
	for (seed = first; seed < first + count; seed++)
		run_seed_(seed, total);
	printf("member: %llu seeds, %llu failures seen, %llu of them false\n",
	       (unsigned long long)count, (unsigned long long)total->failures,
	       (unsigned long long)total->false_failures);
	free(total);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_faults),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
