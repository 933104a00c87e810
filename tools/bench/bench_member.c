#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "private/aggregator.h"

#include "bench.h"

#define SETTLE_MS 40000
#define MEASURE_MS 30000
#define CHANGE_SPACING_MS (60000 / 35)
#define DOCUMENT_BYTES 20000
#define SAMPLES_MAX 20000
#define DETECT_MS 15000
#define SINGLE_CRASHES 6

/** Documents, delays and detection times of one run. */
struct run {
	uint8_t *document;
	uint32_t document_bytes;
	uint64_t newest_number;
	int64_t published_ms[64];
	int64_t delay_ms[SAMPLES_MAX];
	uint32_t delay_count;
	int64_t detected_ms[SAMPLES_MAX];
	uint32_t detection_count;
	int64_t crashed_ms;
	uint32_t load_bytes;
	bool load_changes;
};

static json_t *fleet_sizes_(uint32_t hosts, uint32_t rows)
{
	return json_pack("{s:i, s:i}", "hosts", (int)hosts, "rows", (int)rows);
}

static void after_event_(struct fleet *fleet, uint32_t index)
{
	struct run *run = fleet->context;
	struct fleet_host *host = &fleet->hosts[index];
	struct bw_distribute_event document;
	struct bw_member_event event;

	while (bw_member_next_event(&host->member, &event)) {
		if (event.kind == BW_MEMBER_EVENT_FAILED && run->crashed_ms &&
		    run->detection_count < SAMPLES_MAX)
			run->detected_ms[run->detection_count++] =
				fleet->now.ms - run->crashed_ms;
	}
	while (bw_distribute_next_event(&host->distribute, &document)) {
		if (document.kind == BW_DISTRIBUTE_EVENT_DOCUMENT && index &&
		    run->delay_count < SAMPLES_MAX)
			run->delay_ms[run->delay_count++] =
				fleet->now.ms -
				run->published_ms[document.number];
	}
	bw_member_set_document_numbers(&host->member, 1,
				       bw_distribute_number(&host->distribute,
							    BW_DOCUMENT_PLAN),
				       fleet->now);
	if (index == 0)
		bw_distribute_confirm(&host->distribute, fleet->now);
}

static void publish_document_(struct fleet *fleet, struct run *run)
{
	uint32_t i;

	for (i = 0; i < 100; i++)
		run->document[1000 + i] =
			(uint8_t)bw_random_next(&fleet->random);
	run->newest_number++;
	run->published_ms[run->newest_number] = fleet->now.ms;
	bw_distribute_publish(&fleet->hosts[0].distribute, BW_DOCUMENT_PLAN,
			      run->newest_number, run->document,
			      run->document_bytes, fleet->now);
}

static void fill_row_(struct bw_summary *row, uint32_t index)
{
	uint32_t j;

	memset(row, 0, sizeof(*row));
	snprintf(row->domain, BW_NAME_MAX, "r%u-domain-%u", index / 4, index);
	snprintf(row->region, BW_NAME_MAX, "region-%u", index / 4);
	snprintf(row->aggregator, BW_NAME_MAX, "host-%u", index);
	row->epoch = FLEET_WALL_MS;
	row->content_sequence = 1;
	row->up_count = 28;
	row->host_count = BW_SUMMARY_HOSTS_MAX;
	for (j = 0; j < row->host_count; j++) {
		snprintf(row->hosts[j].name, BW_NAME_MAX, "host-%u-%u", index,
			 j);
		snprintf(row->hosts[j].address, BW_MEMBER_ADDRESS_MAX,
			 "10.1.%u.%u", index, j);
		row->hosts[j].port = 8080;
	}
}

/* Adds summaries of other domains, as a control host receives them. */
static void add_rows_(struct fleet *fleet, uint32_t count)
{
	struct run *run = fleet->context;
	struct bw_summary row;
	uint32_t i;

	for (i = 0; i < count; i++) {
		fill_row_(&row, i);
		row.sequence = (uint64_t)fleet->now.ms;
		if (run->load_changes)
			row.content_sequence = row.sequence;
		row.reported = fleet->now;
		if (run->load_bytes) {
			row.load = malloc(run->load_bytes);
			memset(row.load,
			       run->load_changes ? (int)(fleet->now.ms / 1000)
						 : 1,
			       run->load_bytes);
			row.load_bytes = run->load_bytes;
		}
		aggregator_apply(&fleet->hosts[0].aggregator, &row);
	}
}

static void start_fleet_(struct fleet *fleet, struct run *run, uint32_t hosts,
			 uint64_t seed, uint32_t document_bytes)
{
	uint32_t i;

	memset(run, 0, sizeof(*run));
	run->document_bytes = document_bytes;
	run->document = calloc(1, document_bytes);
	fleet_init(fleet, seed, 1);
	fleet->context = run;
	fleet->after_event = after_event_;
	for (i = 0; i < hosts; i++)
		fleet_add(fleet, 0, i == 0, i < 3);
	for (i = 0; i < hosts; i++)
		fleet_start(fleet, i, 0);
	publish_document_(fleet, run);
}

static void run_with_rows_(struct fleet *fleet, uint32_t rows, int64_t ms)
{
	for (; ms > 0; ms -= 1000) {
		add_rows_(fleet, rows);
		fleet_run(fleet, 1000);
	}
}

static void reset_byte_counts_(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->host_count; i++) {
		fleet->hosts[i].sent_bytes = 0;
		memset(fleet->hosts[i].channel_bytes, 0,
		       sizeof(fleet->hosts[i].channel_bytes));
	}
}

static void add_traffic_(struct bench *bench, const struct fleet *fleet,
			 const char *suffix, uint32_t rows, double seconds)
{
	static const struct {
		enum bw_channel channel;
		const char *name;
	} channels[] = { { BW_CHANNEL_MEMBER, "member" },
			 { BW_CHANNEL_SUMMARY, "summary" },
			 { BW_CHANNEL_DISTRIBUTE, "distribute" } };
	uint32_t hosts = fleet->host_count;
	uint64_t sum;
	uint64_t max_bytes = 0;
	char name[64];
	uint32_t c;
	uint32_t i;

	for (c = 0; c < 3; c++) {
		for (i = 0, sum = 0; i < hosts; i++)
			sum += fleet->hosts[i]
				       .channel_bytes[channels[c].channel];
		snprintf(name, sizeof(name), "%s.%s", channels[c].name, suffix);
		bench_add(bench, name, "B/s", (double)sum / seconds / hosts,
			  fleet_sizes_(hosts, rows));
	}
	for (i = 1; i < hosts; i++) {
		if (fleet->hosts[i].sent_bytes > max_bytes)
			max_bytes = fleet->hosts[i].sent_bytes;
	}
	snprintf(name, sizeof(name), "busiest_host.%s", suffix);
	bench_add(bench, name, "B/s", (double)max_bytes / seconds,
		  fleet_sizes_(hosts, rows));
	snprintf(name, sizeof(name), "aggregator.%s", suffix);
	bench_add(bench, name, "B/s",
		  (double)fleet->hosts[0].sent_bytes / seconds,
		  fleet_sizes_(hosts, rows));
}

static int compare_samples_(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static double quantile_(int64_t *samples, uint32_t count, uint32_t percent)
{
	uint64_t index;

	if (!count)
		return -1;
	qsort(samples, count, sizeof(*samples), compare_samples_);
	index = (uint64_t)(count - 1) * percent / 100;
	return (double)samples[index];
}

/* Crashes the last count running hosts at once and runs for DETECT_MS. */
static void crash_hosts_(struct fleet *fleet, uint32_t count)
{
	struct run *run = fleet->context;
	uint32_t i = fleet->host_count;

	run->crashed_ms = fleet->now.ms;
	while (count && i--) {
		if (!fleet->hosts[i].running)
			continue;
		fleet_crash(fleet, i);
		count--;
	}
	fleet_run(fleet, DETECT_MS);
}

static void add_detection_time_(struct bench *bench, const char *name,
				uint32_t hosts, uint32_t crashed,
				struct run *run)
{
	bench_add(bench, name, "ms",
		  quantile_(run->detected_ms, run->detection_count, 99),
		  json_pack("{s:i, s:i, s:i}", "hosts", (int)hosts, "crashed",
			    (int)crashed, "samples",
			    (int)run->detection_count));
	run->detection_count = 0;
}

/* Crashes single hosts in turn, then a fifth of the domain (a rack). */
static void measure_crashes_(struct bench *bench, struct fleet *fleet)
{
	struct run *run = fleet->context;
	uint32_t hosts = fleet->host_count;
	uint32_t i;

	run->detection_count = 0;
	for (i = 0; i < SINGLE_CRASHES; i++)
		crash_hosts_(fleet, 1);
	add_detection_time_(bench, "member.detect_host_p99", hosts, 1, run);
	crash_hosts_(fleet, hosts / 5);
	add_detection_time_(bench, "member.detect_rack_p99", hosts, hosts / 5,
			    run);
}

static void measure_fleet_(struct bench *bench, uint32_t hosts, uint32_t rows)
{
	struct run *run = calloc(1, sizeof(*run));
	struct fleet fleet;
	double start_heap_bytes = bench_heap_bytes();
	double start_us;
	int64_t end_ms;

	start_fleet_(&fleet, run, hosts, bench->seed + 10, DOCUMENT_BYTES);
	run_with_rows_(&fleet, rows, SETTLE_MS);
	reset_byte_counts_(&fleet);
	bench_add(bench, "member.heap_per_host", "bytes",
		  (bench_heap_bytes() - start_heap_bytes) / hosts,
		  fleet_sizes_(hosts, rows));
	start_us = bench_cpu_us();
	run_with_rows_(&fleet, rows, MEASURE_MS);
	bench_add(bench, "member.cpu_idle", "us/s",
		  (bench_cpu_us() - start_us) * 1000 / MEASURE_MS / hosts,
		  fleet_sizes_(hosts, rows));
	add_traffic_(bench, &fleet, "idle", rows, MEASURE_MS / 1000.0);
	reset_byte_counts_(&fleet);
	run->delay_count = 0;
	end_ms = fleet.now.ms + MEASURE_MS;
	start_us = bench_cpu_us();
	while (fleet.now.ms < end_ms) {
		publish_document_(&fleet, run);
		add_rows_(&fleet, rows);
		fleet_run(&fleet, CHANGE_SPACING_MS);
	}
	bench_add(bench, "member.cpu_changes", "us/s",
		  (bench_cpu_us() - start_us) * 1000 / MEASURE_MS / hosts,
		  fleet_sizes_(hosts, rows));
	add_traffic_(bench, &fleet, "changes", rows, MEASURE_MS / 1000.0);
	bench_add(bench, "distribute.delay_p99", "ms",
		  quantile_(run->delay_ms, run->delay_count, 99),
		  fleet_sizes_(hosts, rows));
	if (!rows)
		measure_crashes_(bench, &fleet);
	fleet_finish(&fleet);
	free(run->document);
	free(run);
}

/* Changes the load reports of all domains once a second. */
static void measure_load_(struct bench *bench, uint32_t rows,
			  uint32_t load_bytes)
{
	struct run *run = calloc(1, sizeof(*run));
	struct fleet fleet;
	const struct bw_summary *row;
	uint64_t sum = 0;
	double age_ms = 0;
	uint32_t i;

	start_fleet_(&fleet, run, 28, bench->seed + 20, DOCUMENT_BYTES);
	run->load_bytes = load_bytes;
	run->load_changes = true;
	run_with_rows_(&fleet, rows, 30000);
	reset_byte_counts_(&fleet);
	run_with_rows_(&fleet, rows, MEASURE_MS);
	for (i = 0; i < 28; i++)
		sum += fleet.hosts[i].channel_bytes[BW_CHANNEL_SUMMARY];
	bench_add(bench, "summary.load_changes", "B/s",
		  (double)sum * 1000 / MEASURE_MS / 28,
		  json_pack("{s:i, s:i}", "rows", (int)rows, "load_bytes",
			    (int)load_bytes));
	for (i = 0; i < bw_aggregator_count(&fleet.hosts[27].aggregator); i++) {
		row = bw_aggregator_at(&fleet.hosts[27].aggregator, i);
		if (bw_summary_age_ms(row, fleet.now) > age_ms)
			age_ms = (double)bw_summary_age_ms(row, fleet.now);
	}
	bench_add(bench, "summary.rows_known", "rows",
		  bw_aggregator_count(&fleet.hosts[27].aggregator),
		  json_pack("{s:i, s:i}", "rows", (int)rows, "load_bytes",
			    (int)load_bytes));
	bench_add(bench, "summary.oldest_row", "ms", age_ms,
		  json_pack("{s:i, s:i}", "rows", (int)rows, "load_bytes",
			    (int)load_bytes));
	fleet_finish(&fleet);
	free(run->document);
	free(run);
}

/* Restarts all hosts but the control host at once; they fetch full copies. */
static void measure_restart_(struct bench *bench, uint32_t hosts,
			     uint32_t document_bytes)
{
	struct run *run = calloc(1, sizeof(*run));
	struct fleet fleet;
	json_t *sizes = json_pack("{s:i, s:i}", "hosts", (int)hosts, "document",
				  (int)document_bytes);
	uint64_t sum = 0;
	int64_t start_ms;
	uint32_t missing_count = 1;
	uint32_t i;

	start_fleet_(&fleet, run, hosts, bench->seed + 30, document_bytes);
	fleet_run(&fleet, 10000);
	for (i = 1; i < hosts; i++) {
		fleet_crash(&fleet, i);
		fleet_start(&fleet, i, 0);
	}
	reset_byte_counts_(&fleet);
	start_ms = fleet.now.ms;
	while (missing_count && fleet.now.ms < start_ms + 120000) {
		fleet_run(&fleet, 100);
		for (i = 1, missing_count = 0; i < hosts; i++)
			missing_count += !bw_distribute_number(
				&fleet.hosts[i].distribute, BW_DOCUMENT_PLAN);
	}
	for (i = 0; i < hosts; i++)
		sum += fleet.hosts[i].channel_bytes[BW_CHANNEL_DISTRIBUTE];
	bench_add(bench, "distribute.restart_time", "ms",
		  missing_count ? -1 : (double)(fleet.now.ms - start_ms),
		  json_incref(sizes));
	bench_add(bench, "distribute.full_copy", "bytes",
		  (double)sum / (hosts - 1), json_incref(sizes));
	bench_add(bench, "distribute.control_bytes", "bytes",
		  (double)fleet.hosts[0].channel_bytes[BW_CHANNEL_DISTRIBUTE],
		  sizes);
	fleet_finish(&fleet);
	free(run->document);
	free(run);
}

void bench_member(struct bench *bench)
{
	static const uint32_t hosts[] = { 10, 28, 50 };
	static const uint32_t rows[] = { 6, 54, 216 };
	static const uint32_t documents[] = { 20000, 200000, 700000 };
	uint32_t i;

	for (i = 0; i < 3; i++)
		measure_fleet_(bench, hosts[i], 0);
	for (i = 0; i < 3; i++)
		measure_fleet_(bench, 28, rows[i]);
	measure_fleet_(bench, 10, 216);
	measure_fleet_(bench, 50, 216);
	for (i = 0; i < 3; i++)
		measure_load_(bench, rows[i], 200);
	measure_load_(bench, 216, 1000);
	for (i = 0; i < 3; i++)
		measure_restart_(bench, 28, documents[i]);
}
