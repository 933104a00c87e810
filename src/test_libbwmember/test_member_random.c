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

/** Ticks after the last fault within which all views must agree. */
#define AGREE_TICKS 600

/** Faults are injected for this time. */
#define FAULT_MS 40000

/** What one run has seen. */
struct observation {
	uint64_t false_failures;
	uint64_t failures;
	int64_t newest_start[FLEET_HOSTS_MAX][FLEET_HOSTS_MAX];
	bool is_broken;
	char text[256];
};

/* A host must never see an older start of a peer after a newer one, and a
 * failure of a running host is counted as false. */
static void after_event_(struct fleet *fleet, uint32_t index)
{
	struct observation *seen = fleet->context;
	struct bw_member_event event;
	int64_t *newest;
	uint32_t host;

	while (bw_member_next_event(&fleet->hosts[index].member, &event)) {
		host = fleet_find(fleet, event.record.host.name);
		newest = &seen->newest_start[index][host];
		if (event.kind == BW_MEMBER_EVENT_FAILED) {
			seen->failures++;
			seen->false_failures += fleet->hosts[host].running;
		}
		if (event.record.host.start_wall_ms < *newest) {
			seen->is_broken = true;
			snprintf(seen->text, sizeof(seen->text),
				 "%s: an old start of %s came back",
				 fleet->hosts[index].name,
				 event.record.host.name);
		}
		*newest = event.record.host.start_wall_ms;
	}
}

static void inject_(struct fleet *fleet, struct observation *seen)
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
		memset(seen->newest_start[index], 0,
		       sizeof(seen->newest_start[index]));
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
		bw_outbox_finish(&out); /* the farewell is lost */
		fleet_crash(fleet, index);
		break;
	}
}

static void run_seed_(uint64_t seed, struct observation *total)
{
	struct observation *seen = calloc(1, sizeof(*seen));
	struct fleet fleet;
	char text[256] = "";
	int64_t end_ms;
	uint32_t count;
	uint32_t i;

	assert_non_null(seen);
	fleet_init(&fleet, seed, 1);
	fleet.member_only = true;
	fleet.context = seen;
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
		inject_(&fleet, seen);
	}
	fleet_clear_faults(&fleet);
	if (!fleet.hosts[0].running) {
		memset(seen->newest_start[0], 0, sizeof(seen->newest_start[0]));
		fleet_start(&fleet, 0, 0);
	}
	fleet_run(&fleet, AGREE_TICKS * FLEET_TICK_MS);
	total->false_failures += seen->false_failures;
	total->failures += seen->failures;
	if (seen->is_broken)
		fail_msg("seed %llu: %s", (unsigned long long)seed, seen->text);
	if (!fleet_has_converged(&fleet, text))
		fail_msg("seed %llu: %s", (unsigned long long)seed, text);
	free(seen);
	fleet_finish(&fleet);
}

/* Guards against views that stay different after faults, living hosts that
 * stay failed, and old incarnations that come back. */
static void test_random_faults(void **state)
{
	struct observation *total = calloc(1, sizeof(*total));
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
