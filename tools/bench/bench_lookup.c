#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private/aggregator.h"
#include "sheet_builder.h"

#include "../../src/boragewingd/interface/host.h"
#include "../../src/boragewingd/interface/lookup.h"
#include "../../src/boragewingd/interface/report.h"

#include "bench.h"

#define WALL_MS INT64_C(1796000000000)
#define LOOKUP_COUNT 200000
#define REPETITIONS 200
#define START_MS 100000
#define REGIONS_MAX 57

/** A host with a directory and a plan, but without sockets. */
struct fixture {
	struct host host;
	struct settings settings;
	struct bw_chart shift_chart;
};

/* Fills a load report as the aggregator of a failure domain sends it. */
static void fill_report_(struct report_domain *report, uint32_t services,
			 uint32_t regions, uint32_t hosts)
{
	uint32_t i;
	uint32_t r;

	memset(report, 0, sizeof(*report));
	report->regions_count = regions;
	report->services_count = services;
	report->hosts_count = hosts;
	for (i = 0; i < services; i++) {
		struct report_service *service = &report->services[i];

		snprintf(service->total.service, BW_NAME_MAX, "service-%u", i);
		service->total.in_use = 300;
		service->total.mean_run_us = 15000;
		service->healthy_slots = 4000;
		for (r = 0; r < regions; r++)
			service->total.milli_slots[r] = r % 8 ? 0 : 20000 + r;
	}
	for (i = 0; i < hosts; i++) {
		snprintf(report->hosts[i].name, BW_NAME_MAX, "host-%u", i);
		report->hosts[i].incarnation = 0x9123456789abcd00 + i;
		report->hosts[i].revision = 50000;
		report->hosts[i].since_wall_ms = WALL_MS;
		report->hosts[i].plan_version = 100000;
	}
}

static void measure_report_(struct bench *bench, uint32_t services,
			    uint32_t regions, uint32_t hosts)
{
	struct report_domain *report = malloc(sizeof(*report));
	struct bw_buffer body;
	json_t *sizes = json_pack("{s:i, s:i, s:i}", "services", (int)services,
				  "regions", (int)regions, "hosts", (int)hosts);
	double start_us;
	uint32_t i;

	bw_buffer_init(&body);
	fill_report_(report, services, regions, hosts);
	report_domain_encode(report, &body);
	bench_add(bench, "report.domain", "bytes", (double)body.size_bytes,
		  json_incref(sizes));
	start_us = bench_cpu_us();
	for (i = 0; i < REPETITIONS; i++)
		report_domain_decode(body.data, body.size_bytes, report);
	bench_add(bench, "report.decode", "us",
		  (bench_cpu_us() - start_us) / REPETITIONS, sizes);
	bw_buffer_finish(&body);
	free(report);
}

static void init_member_(struct fixture *fixture)
{
	struct bw_time now = { START_MS };
	struct bw_member_config member = { .random_seed = 1 };
	struct bw_aggregator_config aggregator = {
		.member = &fixture->host.member,
		.random_seed = 2,
		.wall_ms = WALL_MS
	};

	bw_name_set(member.self.name, "host-0-0");
	bw_name_set(member.self.domain, "own");
	bw_name_set(member.self.region, "region-0");
	snprintf(member.self.address, BW_MEMBER_ADDRESS_MAX, "10.0.0.1:7000");
	snprintf(member.self.entry_address, BW_MEMBER_ADDRESS_MAX, "10.0.0.1");
	member.self.entry_port = 8080;
	member.self.incarnation = 7;
	member.self.start_wall_ms = WALL_MS;
	if (bw_member_init(&fixture->host.member, &member, now) != BW_OK ||
	    bw_aggregator_init(&fixture->host.aggregator, &aggregator, now) !=
		    BW_OK)
		abort();
}

static void add_rows_(struct fixture *fixture, const struct bw_sheet *sheet)
{
	struct report_domain *report = malloc(sizeof(*report));
	struct bw_summary row;
	struct bw_buffer body;
	uint32_t i;
	uint32_t j;

	bw_buffer_init(&body);
	fill_report_(report, 3, 6, 28);
	report_domain_encode(report, &body);
	for (i = 0; i < sheet->domains_count; i++) {
		memset(&row, 0, sizeof(row));
		bw_name_set(row.domain, sheet->domains[i].name);
		bw_name_set(row.region,
			    sheet->regions[sheet->domains[i].region].name);
		row.epoch = WALL_MS;
		row.sequence = 1;
		row.content_sequence = 1;
		row.up_count = 28;
		row.host_count = BW_SUMMARY_HOSTS_MAX;
		for (j = 0; j < row.host_count; j++) {
			snprintf(row.hosts[j].name, BW_NAME_MAX, "host-%u", j);
			snprintf(row.hosts[j].address, BW_MEMBER_ADDRESS_MAX,
				 "10.1.%u.%u", i, j);
			row.hosts[j].port = 8080;
		}
		row.reported = (struct bw_time){ START_MS };
		row.load = malloc(body.size_bytes);
		memcpy(row.load, body.data, body.size_bytes);
		row.load_bytes = (uint32_t)body.size_bytes;
		aggregator_apply(&fixture->host.aggregator, &row);
	}
	bw_buffer_finish(&body);
	free(report);
}

static void make_plan_(struct fixture *fixture, const struct bw_sheet *sheet)
{
	struct bw_plan_service_report *service_reports =
		calloc(sheet->services_count, sizeof(*service_reports));
	struct bw_plan_report *reports =
		calloc(sheet->domains_count, sizeof(*reports));
	uint32_t demand[REGIONS_MAX];
	uint32_t k;
	bool changed;

	for (k = 0; k < REGIONS_MAX; k++)
		demand[k] = 20 + k;
	for (k = 0; k < sheet->services_count; k++) {
		service_reports[k].healthy_slots = 84;
		service_reports[k].demand = demand;
	}
	for (k = 0; k < sheet->domains_count; k++) {
		reports[k].known = true;
		reports[k].services = service_reports;
	}
	bw_plan_init(&fixture->host.steering.plan, &fixture->shift_chart);
	bw_plan_step(&fixture->host.steering.plan, sheet, reports, WALL_MS,
		     &changed);
	free(reports);
	free(service_reports);
}

/* If changed is true, each rebuild treats all rows as changed. */
static void measure_directory_(struct bench *bench, struct directory *directory,
			       const char *name, bool changed, int rows)
{
	struct bw_time now = { START_MS };
	double start_us = bench_cpu_us();
	uint32_t i;
	uint32_t j;

	for (i = 0; i < REPETITIONS; i++) {
		for (j = 0; changed && j < directory->domains_count; j++)
			directory->domains[j].summary_tag = 0;
		directory->next_rebuild = now;
		directory_tick(directory, now);
	}
	bench_add(bench, name, "us", (bench_cpu_us() - start_us) / REPETITIONS,
		  json_pack("{s:i}", "rows", rows));
}

static void measure_lookups_(struct bench *bench, const struct sheet_size *size)
{
	struct fixture *fixture = calloc(1, sizeof(*fixture));
	struct host *host = &fixture->host;
	struct bw_sheet *sheet = sheet_build(size);
	struct lookup_result result;
	int rows = (int)sheet->domains_count;
	double start_us;
	char service[BW_NAME_MAX];
	uint32_t i;

	host->settings = &fixture->settings;
	fixture->settings.host.name = "host-0-0";
	fixture->settings.host.region = "region-0";
	fixture->settings.host.failure_domain = "own";
	bench_load_chart(&fixture->shift_chart, "charts/shift.yaml",
			 &bw_shift_chart_names);
	init_member_(fixture);
	add_rows_(fixture, sheet);
	make_plan_(fixture, sheet);
	host->steering.sheet = sheet;
	directory_init(&host->directory, host);
	measure_directory_(bench, &host->directory, "directory.rebuild_new",
			   true, rows);
	measure_directory_(bench, &host->directory, "directory.rebuild", false,
			   rows);
	start_us = bench_cpu_us();
	for (i = 0; i < LOOKUP_COUNT; i++) {
		result.count = 0;
		snprintf(service, sizeof(service), "service-%u",
			 i % size->services);
		lookup_choose(host, service, i % size->regions, &result);
	}
	bench_add(bench, "lookup.choose", "ns",
		  (bench_cpu_us() - start_us) * 1e3 / LOOKUP_COUNT,
		  json_pack("{s:i, s:i}", "rows", rows, "services",
			    (int)size->services));
	if (!result.count)
		fprintf(stderr, "lookup: no host chosen\n");
	directory_finish(&host->directory);
	bw_plan_finish(&host->steering.plan);
	bw_aggregator_finish(&host->aggregator);
	bw_member_finish(&host->member);
	sheet_destroy(sheet);
	free(fixture);
}

void bench_lookup(struct bench *bench)
{
	static const struct sheet_size sizes[] = {
		{ 3, 2, 3, 5, 12, 7, 4000 },
		{ 14, 4, 14, 10, 12, 7, 4000 },
		{ 54, 4, 50, 28, 12, 7, 4000 },
	};
	size_t i;

	measure_report_(bench, 3, 3, 2);
	measure_report_(bench, 3, 57, 28);
	measure_report_(bench, 13, 57, 28);
	measure_report_(bench, 50, 57, 28);
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		measure_lookups_(bench, &sizes[i]);
}
