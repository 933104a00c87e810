#include <stdio.h>
#include <stdlib.h>

#include "bwbase/random.h"
#include "bwsteer/blocks.h"
#include "bwsteer/plan.h"
#include "sheet_builder.h"

#include "bench.h"

#define LOOKUP_COUNT 4000000
#define UPDATE_COUNT 20000
#define REGION_COUNT 57
#define GROUP_COUNT 171

/* Returns the next prefix. Prefixes are clustered like announced address space:
 * 19 of 20 are /24. */
static uint32_t next_prefix_(struct bw_random *random, uint32_t *next_address,
			     uint32_t *bits)
{
	uint32_t prefix;

	*bits = 24;
	if (bw_random_below(random, 20) == 0)
		*bits = 20 + (uint32_t)bw_random_below(random, 9);
	prefix = *next_address & UINT32_MAX << (32 - *bits);
	*next_address += 0x100 * (1 + (uint32_t)bw_random_below(random, 7));
	return prefix;
}

static void insert_blocks_(struct bw_blocks *blocks, struct bw_random *random,
			   uint32_t count)
{
	uint32_t next_address = 0x01000000;
	uint32_t bits;
	uint32_t prefix;

	while (blocks->count < count) {
		prefix = next_prefix_(random, &next_address, &bits);
		if (bw_blocks_insert(blocks, prefix, bits,
				     next_address % GROUP_COUNT) != BW_OK)
			abort();
	}
}

static void measure_lookups_(struct bench *bench,
			     const struct bw_blocks *blocks,
			     struct bw_random *random, uint32_t count)
{
	uint32_t checksum = 0;
	double start_us = bench_cpu_us();
	uint32_t i;

	for (i = 0; i < LOOKUP_COUNT; i++)
		checksum += bw_blocks_find(blocks,
					   (uint32_t)bw_random_next(random));
	bench_add(bench, "blocks.lookups", "1/s",
		  LOOKUP_COUNT * 1e6 / (bench_cpu_us() - start_us),
		  json_pack("{s:i}", "blocks", (int)count));
	/* Uses the results, so that the compiler keeps the look-ups. */
	if (checksum == 1)
		printf("checksum %u\n", checksum);
}

static void measure_updates_(struct bench *bench, struct bw_blocks *blocks,
			     struct bw_random *random, uint32_t count)
{
	double start_us = bench_cpu_us();
	uint32_t i;
	uint32_t prefix;

	for (i = 0; i < UPDATE_COUNT; i++) {
		prefix = (uint32_t)bw_random_next(random) & 0xffffff00;
		bw_blocks_insert(blocks, prefix, 24, i % GROUP_COUNT);
	}
	bench_add(bench, "blocks.update", "us",
		  (bench_cpu_us() - start_us) / UPDATE_COUNT,
		  json_pack("{s:i}", "blocks", (int)count));
}

void bench_blocks(struct bench *bench)
{
	static const uint32_t counts[] = { 330000, 1100000, 3300000 };
	struct bw_blocks blocks;
	struct bw_random random;
	double start_us;
	double start_heap_bytes;
	size_t i;

	for (i = 0; i < 3; i++) {
		bw_random_init(&random, bench->seed);
		start_heap_bytes = bench_heap_bytes();
		if (bw_blocks_init(&blocks) != BW_OK)
			abort();
		start_us = bench_cpu_us();
		insert_blocks_(&blocks, &random, counts[i]);
		bench_add(bench, "blocks.build", "ms",
			  (bench_cpu_us() - start_us) / 1e3,
			  json_pack("{s:i}", "blocks", (int)counts[i]));
		bench_add(bench, "blocks.heap", "bytes",
			  bench_heap_bytes() - start_heap_bytes,
			  json_pack("{s:i}", "blocks", (int)counts[i]));
		bench_add(bench, "blocks.heap_per_block", "bytes",
			  (bench_heap_bytes() - start_heap_bytes) / counts[i],
			  json_pack("{s:i}", "blocks", (int)counts[i]));
		measure_lookups_(bench, &blocks, &random, counts[i]);
		measure_updates_(bench, &blocks, &random, counts[i]);
		bw_blocks_finish(&blocks);
	}
}

/* Writes a small valid sheet with count client blocks. */
static void write_sheet_(struct bw_buffer *out, uint32_t count)
{
	uint32_t i;

	bw_buffer_printf(
		out, "revision: 1\ndeployment: bench\nregions:\n"
		     "  - name: north\n    failure_domains: [north-a]\n"
		     "    max_load_percent: 85\n"
		     "shift: {cap_percent: 20, window_s: 30, answer_ttl_s: 5}\n"
		     "ranks:\n  - {name: urgent, target_latency_ms: 200, "
		     "worth: 100, min_share_percent: 20}\n"
		     "services:\n  - name: desk\n    mean_answer_kb: 16\n"
		     "    placements:\n      - {failure_domain: north-a, "
		     "targets: 2, slots_per_target: 3, "
		     "connections_per_target: 360}\n"
		     "    kinds:\n      - {name: read, method: GET, path: /, "
		     "rank: urgent, idempotent: true}\n"
		     "client_blocks:\n");
	for (i = 0; i < count; i++)
		bw_buffer_printf(out,
				 "  - {block: %u.%u.%u.0/24, region: north}\n",
				 1 + i / 65536, i / 256 % 256, i % 256);
}

void bench_sheet(struct bench *bench)
{
	static const uint32_t counts[] = { 100, 4000, 16000 };
	struct bw_sheet_errors errors;
	struct bw_buffer text;
	struct bw_sheet *sheet;
	double start_us;
	double start_heap_bytes;
	size_t i;

	for (i = 0; i < 3; i++) {
		bw_buffer_init(&text);
		write_sheet_(&text, counts[i]);
		bw_sheet_errors_init(&errors);
		start_heap_bytes = bench_heap_bytes();
		start_us = bench_cpu_us();
		if (bw_sheet_load(text.data, text.size_bytes, &sheet,
				  &errors) != BW_OK) {
			fprintf(stderr, "sheet: line %u: %s\n",
				errors.count ? errors.items[0].line : 0,
				errors.count ? errors.items[0].text : "");
			exit(EXIT_FAILURE);
		}
		bench_add(bench, "sheet.load", "ms",
			  (bench_cpu_us() - start_us) / 1e3,
			  json_pack("{s:i}", "blocks", (int)counts[i]));
		bench_add(bench, "sheet.heap", "bytes",
			  bench_heap_bytes() - start_heap_bytes,
			  json_pack("{s:i}", "blocks", (int)counts[i]));
		bench_add(bench, "sheet.text", "bytes", (double)text.size_bytes,
			  json_pack("{s:i}", "blocks", (int)counts[i]));
		bw_sheet_free(sheet);
		bw_sheet_errors_finish(&errors);
		bw_buffer_finish(&text);
	}
}

static json_t *plan_sizes_(const struct sheet_size *size)
{
	return json_pack("{s:i, s:i, s:i}", "sites",
			 (int)(size->services * size->placements_per_service),
			 "regions", (int)size->regions, "services",
			 (int)size->services);
}

static void measure_plan_(struct bench *bench, const struct sheet_size *size,
			  const struct bw_sheet *sheet,
			  struct bw_plan_report *reports)
{
	struct bw_chart chart;
	struct bw_buffer buffer;
	struct bw_plan plan;
	double start_heap_bytes = bench_heap_bytes();
	double start_us;
	bool changed;

	bench_load_chart(&chart, "charts/shift.yaml", &bw_shift_chart_names);
	bw_plan_init(&plan, &chart);
	bw_buffer_init(&buffer);
	bw_plan_step(&plan, sheet, reports, 1000000, &changed);
	bench_add(bench, "plan.heap", "bytes",
		  bench_heap_bytes() - start_heap_bytes, plan_sizes_(size));
	reports[0].draining = true;
	start_us = bench_cpu_us();
	bw_plan_step(&plan, sheet, reports, 1010000, &changed);
	bench_add(bench, "plan.step", "ms", (bench_cpu_us() - start_us) / 1e3,
		  plan_sizes_(size));
	bw_plan_encode(&plan, &buffer);
	bench_add(bench, "plan.encoded", "bytes", (double)buffer.size_bytes,
		  plan_sizes_(size));
	start_us = bench_cpu_us();
	if (bw_plan_decode(&plan, buffer.data, buffer.size_bytes) != BW_OK)
		abort();
	bench_add(bench, "plan.decode", "ms", (bench_cpu_us() - start_us) / 1e3,
		  plan_sizes_(size));
	bw_buffer_finish(&buffer);
	bw_plan_finish(&plan);
}

void bench_plan(struct bench *bench)
{
	static const struct sheet_size sizes[] = {
		{ 3, 2, 2, 5, 12, 7, 4000 },
		{ 10, 2, 10, 10, 12, 7, 4000 },
		{ 57, 4, 50, 20, 12, 7, 4000 },
		{ 57, 4, 100, 28, 12, 7, 4000 },
	};
	uint32_t demand[REGION_COUNT];
	uint32_t i;
	uint32_t k;

	for (k = 0; k < REGION_COUNT; k++)
		demand[k] = k % 7 * 20;
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		struct bw_sheet *sheet = sheet_build(&sizes[i]);
		struct bw_plan_service_report *service_reports =
			calloc(sheet->services_count, sizeof(*service_reports));
		struct bw_plan_report *reports =
			calloc(sheet->domains_count, sizeof(*reports));

		for (k = 0; k < sheet->services_count; k++) {
			service_reports[k].healthy_slots = 84;
			service_reports[k].demand = demand;
		}
		for (k = 0; k < sheet->domains_count; k++) {
			reports[k].known = true;
			reports[k].services = service_reports;
		}
		measure_plan_(bench, &sizes[i], sheet, reports);
		free(reports);
		free(service_reports);
		sheet_destroy(sheet);
	}
}
