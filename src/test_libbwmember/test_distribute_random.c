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

/** Ticks after the last fault after which all hosts must agree. */
#define CONVERGENCE_TICKS 600

/** Duration of fault injection. */
#define FAULT_MS 30000

/** Refresh intervals of both hops (5 s and 15 s) plus two report intervals. */
#define ROW_AGE_MAX_MS 22000

/** Default wait of a host for a confirmed first copy. */
#define RECOVERY_MS 2000

#define DOMAINS 3
#define CONTROLS 3
#define NUMBERS_MAX 400

/** A committed version of a document. */
struct published {
	uint8_t *bytes;
	uint32_t size_bytes;
	int64_t committed_ms;
};

/** Reference model: all published versions and those that hosts applied. */
struct reference {
	struct published published[BW_DOCUMENT_COUNT][NUMBERS_MAX];
	uint64_t newest[BW_DOCUMENT_COUNT];
	uint64_t stored[CONTROLS][BW_DOCUMENT_COUNT]; /**< survives restarts */
	/** Last number applied since the start of the host. */
	uint64_t applied[FLEET_HOSTS_MAX][BW_DOCUMENT_COUNT];
	/** Highest number ever applied by the host; survives restarts. */
	uint64_t shown[FLEET_HOSTS_MAX][BW_DOCUMENT_COUNT];
	int64_t restarted_ms[FLEET_HOSTS_MAX];
	uint32_t max_bytes;
	uint64_t events;
	uint64_t deltas;
	uint64_t fulls;
	uint64_t stale_ticks;
	uint64_t ticks;
	bool violated;
	char violation[256];
};

static void report_violation_(struct reference *reference, struct fleet *fleet,
			      uint32_t host, const char *rule, uint64_t number)
{
	if (reference->violated)
		return;
	reference->violated = true;
	snprintf(reference->violation, sizeof(reference->violation),
		 "%s at %lld ms: %s, number %llu", fleet->hosts[host].name,
		 (long long)fleet->now.ms, rule, (unsigned long long)number);
}

/* A host may return to a lower number after a restart only if nothing was
 * confirmed for the recovery time. What a control host reads from its own disk
 * is not checked: the model has no log. */
static void check_shown_(struct fleet *fleet, uint32_t index,
			 const struct bw_distribute_event *event)
{
	struct reference *reference = fleet->context;
	uint64_t *shown = &reference->shown[index][event->document];

	if (event->number < *shown &&
	    strcmp(event->peer, fleet->hosts[index].name) != 0 &&
	    fleet->now.ms - reference->restarted_ms[index] < RECOVERY_MS)
		report_violation_(reference, fleet, index,
				  "lower than before the restart",
				  event->number);
	if (event->number > *shown)
		*shown = event->number;
}

static void check_event_(struct fleet *fleet, uint32_t index,
			 const struct bw_distribute_event *event)
{
	struct reference *reference = fleet->context;
	const struct published *published;
	uint64_t *applied = &reference->applied[index][event->document];

	if (event->kind == BW_DISTRIBUTE_EVENT_CONFLICT) {
		report_violation_(reference, fleet, index, "conflict",
				  event->number);
		return;
	}
	reference->events++;
	if (event->number <= *applied)
		report_violation_(reference, fleet, index, "number decreased",
				  event->number);
	*applied = event->number;
	check_shown_(fleet, index, event);
	if (event->number > reference->newest[event->document]) {
		report_violation_(reference, fleet, index, "never published",
				  event->number);
		return;
	}
	published = &reference->published[event->document][event->number];
	if (published->size_bytes != event->size_bytes ||
	    memcmp(published->bytes, event->bytes, event->size_bytes) != 0)
		report_violation_(reference, fleet, index, "content differs",
				  event->number);
}

/* Checks that a host that is not stale has applied every version committed more
 * than BW_DISTRIBUTE_STALE_MS ago. */
static void check_stale_(struct fleet *fleet, uint32_t index)
{
	struct reference *reference = fleet->context;
	struct bw_distribute *distribute = &fleet->hosts[index].distribute;
	uint64_t number;
	uint32_t i;

	reference->ticks++;
	if (bw_distribute_is_stale(distribute, fleet->now)) {
		reference->stale_ticks++;
		return;
	}
	for (i = 0; i < BW_DOCUMENT_COUNT; i++) {
		number = bw_distribute_number(distribute, (enum bw_document)i) +
			 1;
		if (number <= reference->newest[i] &&
		    fleet->now.ms - reference->published[i][number]
					    .committed_ms >
			    BW_DISTRIBUTE_STALE_MS)
			report_violation_(reference, fleet, index,
					  "outdated but not stale", number - 1);
	}
}

static void after_event_(struct fleet *fleet, uint32_t index)
{
	struct fleet_host *host = &fleet->hosts[index];
	struct bw_distribute_event event;

	while (bw_distribute_next_event(&host->distribute, &event))
		check_event_(fleet, index, &event);
	bw_member_set_document_numbers(
		&host->member,
		bw_distribute_number(&host->distribute, BW_DOCUMENT_SHEET),
		bw_distribute_number(&host->distribute, BW_DOCUMENT_PLAN),
		fleet->now);
	check_stale_(fleet, index);
}

/* Returns the host index of a control host; control hosts are added first. */
static uint32_t control_host_(uint32_t i)
{
	return i;
}

/* Returns the leader of the model, which is the first control host that reaches
 * a majority, or -1. */
static int find_leader_(struct fleet *fleet)
{
	uint32_t reached;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < CONTROLS; i++) {
		reached = 0;
		for (j = 0; j < CONTROLS; j++)
			reached += fleet->hosts[control_host_(j)].running &&
				   (i == j ||
				    fleet_reaches(fleet, control_host_(i),
						  control_host_(j)));
		if (fleet->hosts[control_host_(i)].running &&
		    reached * 2 > CONTROLS)
			return (int)i;
	}
	return -1;
}

static void publish_stored_(struct fleet *fleet, uint32_t control)
{
	struct reference *reference = fleet->context;
	const struct published *published;
	uint64_t number;
	uint32_t i;

	for (i = 0; i < BW_DOCUMENT_COUNT; i++) {
		number = reference->stored[control][i];
		published = &reference->published[i][number];
		if (number)
			bw_distribute_publish(
				&fleet->hosts[control_host_(control)]
					 .distribute,
				(enum bw_document)i, number, published->bytes,
				published->size_bytes, fleet->now);
	}
}

static void make_content_(struct fleet *fleet, struct reference *reference,
			  enum bw_document document)
{
	uint64_t number = reference->newest[document] + 1;
	struct published *now = &reference->published[document][number];
	struct published *before = now - 1;
	uint32_t i;

	now->size_bytes = 1 + (uint32_t)bw_random_below(&fleet->random,
							reference->max_bytes);
	now->bytes = malloc(now->size_bytes);
	assert_non_null(now->bytes);
	for (i = 0; i < now->size_bytes; i++)
		now->bytes[i] =
			before->size_bytes > i
				? before->bytes[i]
				: (uint8_t)bw_random_next(&fleet->random);
	for (i = 0; i < 3; i++)
		now->bytes[bw_random_below(&fleet->random, now->size_bytes)]++;
	now->committed_ms = fleet->now.ms;
	reference->newest[document] = number;
}

/* Commits a version on the leader and the control hosts that it reaches. Some
 * of these publish it only later, as followers learn of a commit with delay. */
static void commit_(struct fleet *fleet)
{
	struct reference *reference = fleet->context;
	enum bw_document document = (enum bw_document)bw_random_below(
		&fleet->random, BW_DOCUMENT_COUNT);
	int leader = find_leader_(fleet);
	uint32_t i;

	if (leader < 0 || reference->newest[document] + 1 >= NUMBERS_MAX)
		return;
	make_content_(fleet, reference, document);
	for (i = 0; i < CONTROLS; i++) {
		if (!fleet->hosts[control_host_(i)].running ||
		    (i != (uint32_t)leader &&
		     !fleet_reaches(fleet, control_host_(i),
				    control_host_((uint32_t)leader))))
			continue;
		reference->stored[i][document] = reference->newest[document];
		if (i == (uint32_t)leader || bw_random_below(&fleet->random, 2))
			publish_stored_(fleet, i);
	}
}

static void confirm_(struct fleet *fleet)
{
	struct reference *reference = fleet->context;
	int leader = find_leader_(fleet);
	uint32_t i;

	if (leader < 0)
		return;
	for (i = 0; i < BW_DOCUMENT_COUNT; i++)
		reference->stored[leader][i] = reference->newest[i];
	publish_stored_(fleet, (uint32_t)leader);
	bw_distribute_confirm(
		&fleet->hosts[control_host_((uint32_t)leader)].distribute,
		fleet->now);
}

static void restart_host_(struct fleet *fleet, uint32_t index)
{
	struct reference *reference = fleet->context;

	fleet_crash(fleet, index);
	memset(reference->applied[index], 0, sizeof(reference->applied[index]));
	reference->restarted_ms[index] = fleet->now.ms;
	fleet_start(fleet, index, 0);
	if (index < CONTROLS)
		publish_stored_(fleet, index);
}

static void inject_fault_(struct fleet *fleet)
{
	uint32_t index =
		(uint32_t)bw_random_below(&fleet->random, fleet->host_count);
	uint32_t i;

	switch (bw_random_below(&fleet->random, 10)) {
	case 0:
	case 1:
		fleet_crash(fleet, index);
		break;
	case 2:
	case 3:
	case 4:
		restart_host_(fleet, index);
		break;
	case 5: /* partition of a domain */
		for (i = 0; i < fleet->host_count; i++)
			fleet->hosts[i].group = fleet->hosts[i].domain ==
						fleet->hosts[index].domain;
		break;
	case 6: /* partition of a single host */
		fleet->hosts[index].group = 100 + index;
		break;
	case 7:
		for (i = 0; i < fleet->host_count; i++)
			fleet->hosts[i].group =
				(uint32_t)bw_random_below(&fleet->random, 2);
		break;
	default:
		for (i = 0; i < fleet->host_count; i++)
			fleet->hosts[i].group = 0;
		break;
	}
}

static void run_until_(struct fleet *fleet, int64_t end_ms,
		       uint32_t commit_spacing_ms)
{
	int64_t next_commit_ms = fleet->now.ms;

	while (fleet->now.ms < end_ms) {
		fleet_run(fleet, FLEET_TICK_MS);
		confirm_(fleet);
		if (!commit_spacing_ms || fleet->now.ms < next_commit_ms)
			continue;
		commit_(fleet);
		next_commit_ms = fleet->now.ms + 1 +
				 (int64_t)bw_random_below(
					 &fleet->random, 2 * commit_spacing_ms);
	}
}

static void check_agreement_(struct fleet *fleet, uint64_t seed)
{
	struct reference *reference = fleet->context;
	struct fleet_host *host;
	const struct bw_summary *row;
	char text[256] = "";
	char domain[16];
	uint32_t i;
	uint32_t j;

	if (reference->violated)
		fail_msg("seed %llu: %s", (unsigned long long)seed,
			 reference->violation);
	if (!fleet_has_converged(fleet, text))
		fail_msg("seed %llu: %s", (unsigned long long)seed, text);
	for (i = 0; i < fleet->host_count; i++) {
		host = &fleet->hosts[i];
		if (!host->running)
			continue;
		for (j = 0; j < BW_DOCUMENT_COUNT; j++) {
			if (bw_distribute_number(&host->distribute,
						 (enum bw_document)j) !=
			    reference->newest[j])
				fail_msg("seed %llu: %s has %s %llu not %llu",
					 (unsigned long long)seed, host->name,
					 bw_document_string[j],
					 (unsigned long long)
						 bw_distribute_number(
							 &host->distribute,
							 (enum bw_document)j),
					 (unsigned long long)
						 reference->newest[j]);
		}
		if (bw_distribute_is_stale(&host->distribute, fleet->now))
			fail_msg("seed %llu: %s is stale",
				 (unsigned long long)seed, host->name);
		for (j = 0; j < DOMAINS; j++) {
			snprintf(domain, sizeof(domain), "d%u", j);
			row = bw_aggregator_find(&host->aggregator, domain);
			if (!row ||
			    bw_summary_age_ms(row, fleet->now) > ROW_AGE_MAX_MS)
				fail_msg("seed %llu: %s: row of %s is %lld ms "
					 "old",
					 (unsigned long long)seed, host->name,
					 domain,
					 row ? (long long)bw_summary_age_ms(
						       row, fleet->now)
					     : -1);
		}
	}
}

static void run_seed_(uint64_t seed, struct reference *total)
{
	struct reference *reference = calloc(1, sizeof(*reference));
	struct fleet fleet;
	int64_t end_ms;
	uint32_t count;
	uint32_t spacing;
	uint32_t i;
	uint32_t j;

	assert_non_null(reference);
	fleet_init(&fleet, seed, DOMAINS);
	fleet.context = reference;
	fleet.after_event = after_event_;
	for (i = 0; i < CONTROLS; i++)
		fleet_add(&fleet, i, true, true);
	count = 3 + (uint32_t)bw_random_below(&fleet.random, 9);
	for (i = 0; i < count; i++)
		fleet_add(&fleet, i % DOMAINS, false, i < DOMAINS);
	for (i = 0; i < fleet.host_count; i++)
		fleet_start(&fleet, i, 0);
	reference->max_bytes = 4000;
	if (!bw_random_below(&fleet.random, 10))
		reference->max_bytes = 200000;
	spacing = 100 + (uint32_t)bw_random_below(&fleet.random, 2000);
	fleet.drop_percent = (uint32_t)bw_random_below(&fleet.random, 25);
	fleet.duplicate_percent = (uint32_t)bw_random_below(&fleet.random, 20);
	fleet.corrupt_per_mille = (uint32_t)bw_random_below(&fleet.random, 20);
	fleet.delay_max_ms =
		20 + (uint32_t)bw_random_below(&fleet.random, 1000);
	end_ms = fleet.now.ms + FAULT_MS;
	while (fleet.now.ms < end_ms) {
		run_until_(&fleet,
			   fleet.now.ms + 50 +
				   (int64_t)bw_random_below(&fleet.random,
							    4000),
			   spacing);
		inject_fault_(&fleet);
	}
	fleet_clear_faults(&fleet);
	for (i = 0; i < CONTROLS + DOMAINS; i++) {
		if (!fleet.hosts[i].running)
			restart_host_(&fleet, i);
	}
	run_until_(&fleet, fleet.now.ms + CONVERGENCE_TICKS * FLEET_TICK_MS, 0);
	check_agreement_(&fleet, seed);
	total->events += reference->events;
	total->ticks += reference->ticks;
	total->stale_ticks += reference->stale_ticks;
	for (i = 0; i < fleet.host_count; i++) {
		if (!fleet.hosts[i].running)
			continue;
		total->deltas +=
			fleet.hosts[i].distribute.stats.delta_applied_count;
		total->fulls +=
			fleet.hosts[i].distribute.stats.full_applied_count;
	}
	for (i = 0; i < BW_DOCUMENT_COUNT; i++) {
		for (j = 0; j < NUMBERS_MAX; j++)
			free(reference->published[i][j].bytes);
	}
	free(reference);
	fleet_finish(&fleet);
}

/* Guards against a host that returns to a lower number, also when it restarts,
 * applies a version that
 * was never published, lacks the newest one after faults have ended, or is not
 * stale with an outdated one. Crashes, partitions, lost, delayed, duplicate and
 * corrupt packets are injected at random. */
static void test_random_faults(void **state)
{
	struct reference *total = calloc(1, sizeof(*total));
	uint64_t count = fleet_seed_count(DEFAULT_SEEDS);
	uint64_t first = fleet_first_seed();
	uint64_t seed;

	(void)state;
	assert_non_null(total);
	for (seed = first; seed < first + count; seed++)
		run_seed_(seed, total);
	printf("distribute: %llu seeds, %llu documents put in force, by "
	       "surviving processes: %llu as deltas, %llu as full copies; "
	       "stale %.1f %% of the time\n",
	       (unsigned long long)count, (unsigned long long)total->events,
	       (unsigned long long)total->deltas,
	       (unsigned long long)total->fulls,
	       100.0 * (double)total->stale_ticks / (double)total->ticks);
	free(total);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_faults),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
