#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "fleet.h"
#include "private/aggregator.h"

#define SETTLE_MS 20000
#define MEASURE_MS 60000
#define CHANGE_SPACING_MS (60000 / 35)
#define DOCUMENT_BYTES 20000
#define SAMPLES_MAX 20000

/** Measured durations in virtual ms. */
struct samples {
	int64_t ms[SAMPLES_MAX];
	uint32_t count;
};

/** State and measurements of one run. */
struct run {
	int64_t published_ms[64];
	uint64_t newest;
	struct samples propagation;
	uint32_t crashed; /**< host index + 1 */
	int64_t crashed_ms;
	struct samples detection;
	uint8_t document[DOCUMENT_BYTES];
};

static void add_sample_(struct samples *samples, int64_t ms)
{
	if (samples->count < SAMPLES_MAX)
		samples->ms[samples->count++] = ms;
}

static int compare_ms_(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static long long quantile_(struct samples *samples, uint32_t percent)
{
	if (!samples->count)
		return -1;
	qsort(samples->ms, samples->count, sizeof(*samples->ms), compare_ms_);
	return samples->ms[(uint64_t)(samples->count - 1) * percent / 100];
}

static void after_event_(struct fleet *fleet, uint32_t index)
{
	struct run *run = fleet->context;
	struct fleet_host *host = &fleet->hosts[index];
	struct bw_distribute_event document;
	struct bw_member_event event;

	while (bw_member_next_event(&host->member, &event)) {
		if (event.kind == BW_MEMBER_EVENT_FAILED && run->crashed &&
		    fleet_find(fleet, event.record.host.name) ==
			    run->crashed - 1)
			add_sample_(&run->detection,
				    fleet->now.ms - run->crashed_ms);
	}
	while (bw_distribute_next_event(&host->distribute, &document)) {
		if (document.kind == BW_DISTRIBUTE_EVENT_DOCUMENT && index != 0)
			add_sample_(&run->propagation,
				    fleet->now.ms -
					    run->published_ms[document.number]);
	}
	bw_member_set_document_numbers(&host->member, 1,
				       bw_distribute_number(&host->distribute,
							    BW_DOCUMENT_PLAN),
				       fleet->now);
	if (index == 0)
		bw_distribute_confirm(&host->distribute, fleet->now);
}

static void publish_(struct fleet *fleet, struct run *run)
{
	uint32_t i;

	for (i = 0; i < 100; i++)
		run->document[1000 + i] =
			(uint8_t)bw_random_next(&fleet->random);
	run->newest++;
	run->published_ms[run->newest] = fleet->now.ms;
	bw_distribute_publish(&fleet->hosts[0].distribute, BW_DOCUMENT_PLAN,
			      run->newest, run->document, DOCUMENT_BYTES,
			      fleet->now);
}

static void print_bytes_(struct fleet *fleet, const char *label, uint32_t hosts)
{
	uint64_t sum = 0;
	uint64_t max_bytes = 0;
	uint64_t channel[BW_CHANNEL_COUNT] = { 0 };
	uint32_t i;
	uint32_t j;

	for (i = 0; i < fleet->host_count; i++) {
		struct fleet_host *host = &fleet->hosts[i];

		sum += host->sent_bytes;
		max_bytes = host->sent_bytes > max_bytes ? host->sent_bytes
							 : max_bytes;
		host->sent_bytes = 0;
		for (j = 0; j < BW_CHANNEL_COUNT; j++) {
			channel[j] += host->channel_bytes[j];
			host->channel_bytes[j] = 0;
		}
	}
	printf("%u hosts, %s: mean %llu B/s sent per host (member %llu, "
	       "summary %llu, distribute %llu), busiest host %llu B/s\n",
	       hosts, label,
	       (unsigned long long)(sum * 1000 / MEASURE_MS / hosts),
	       (unsigned long long)(channel[BW_CHANNEL_MEMBER] * 1000 /
				    MEASURE_MS / hosts),
	       (unsigned long long)(channel[BW_CHANNEL_SUMMARY] * 1000 /
				    MEASURE_MS / hosts),
	       (unsigned long long)(channel[BW_CHANNEL_DISTRIBUTE] * 1000 /
				    MEASURE_MS / hosts),
	       (unsigned long long)(max_bytes * 1000 / MEASURE_MS));
}

/* Adds the summaries of other failure domains to the control host. */
static void add_rows_(struct fleet *fleet, uint32_t count)
{
	struct bw_aggregator *aggregator = &fleet->hosts[0].aggregator;
	struct bw_summary row;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < count; i++) {
		memset(&row, 0, sizeof(row));
		snprintf(row.domain, BW_NAME_MAX, "region-%u-domain-%u", i / 4,
			 i);
		snprintf(row.region, BW_NAME_MAX, "region-%u", i / 4);
		snprintf(row.aggregator, BW_NAME_MAX, "host-%u", i);
		row.epoch = FLEET_WALL_MS;
		row.sequence = (uint64_t)fleet->now.ms;
		row.content_sequence = 1;
		row.host_count = BW_SUMMARY_HOSTS_MAX;
		for (j = 0; j < row.host_count; j++) {
			snprintf(row.hosts[j].name, BW_NAME_MAX, "host-%u-%u",
				 i, j);
			snprintf(row.hosts[j].address, BW_MEMBER_ADDRESS_MAX,
				 "10.1.%u.%u", i, j);
			row.hosts[j].port = 8080;
		}
		row.reported = fleet->now;
		aggregator_apply(aggregator, &row);
	}
}

static void measure_(uint32_t hosts, uint32_t rows)
{
	struct run *run = calloc(1, sizeof(*run));
	struct fleet fleet;
	int64_t end_ms;
	uint32_t i;

	assert_non_null(run);
	fleet_init(&fleet, 11, 1);
	fleet.context = run;
	fleet.after_event = after_event_;
	for (i = 0; i < hosts; i++)
		fleet_add(&fleet, 0, i == 0, i < 3);
	for (i = 0; i < hosts; i++)
		fleet_start(&fleet, i, 0);
	publish_(&fleet, run);
	for (i = 0; i < 2 * SETTLE_MS / 1000; i++) {
		add_rows_(&fleet, rows);
		fleet_run(&fleet, 1000);
	}
	for (i = 0; i < hosts; i++)
		assert_int_equal(
			bw_distribute_number(&fleet.hosts[i].distribute,
					     BW_DOCUMENT_PLAN),
			1);
	for (i = 0; i < fleet.host_count; i++) {
		fleet.hosts[i].sent_bytes = 0;
		memset(fleet.hosts[i].channel_bytes, 0,
		       sizeof(fleet.hosts[i].channel_bytes));
	}
	for (i = 0; i < MEASURE_MS / 1000; i++) {
		add_rows_(&fleet, rows);
		fleet_run(&fleet, 1000);
	}
	print_bytes_(&fleet, rows ? "216 domains, idle" : "idle", hosts);
	run->propagation.count = 0;
	end_ms = fleet.now.ms + MEASURE_MS;
	while (fleet.now.ms + CHANGE_SPACING_MS <= end_ms) {
		publish_(&fleet, run);
		add_rows_(&fleet, rows);
		fleet_run(&fleet, CHANGE_SPACING_MS);
	}
	print_bytes_(&fleet, "35 changes a minute", hosts);
	for (i = 0; i < 8; i++) {
		run->crashed = hosts - i;
		run->crashed_ms = fleet.now.ms;
		fleet_crash(&fleet, hosts - 1 - i);
		fleet_run(&fleet, 10000);
	}
	printf("%u hosts: change in force after p50 %lld, p99 %lld ms; "
	       "crash seen after p50 %lld, p99 %lld ms by each host\n",
	       hosts, quantile_(&run->propagation, 50),
	       quantile_(&run->propagation, 99), quantile_(&run->detection, 50),
	       quantile_(&run->detection, 99));
	fleet_finish(&fleet);
	free(run);
}

/* Prints traffic and delays; guards against hosts that never receive the
 * first document. */
static void test_rates(void **state)
{
	(void)state;
	measure_(10, 0);
	measure_(50, 0);
	measure_(200, 0);
	measure_(28, 215);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rates),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
