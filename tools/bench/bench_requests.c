#include <stdio.h>
#include <stdlib.h>

#include "bwbase/random.h"
#include "bwsteer/admission.h"
#include "bwsteer/backend.h"

#include "bench.h"

#define SELECTION_COUNT 400000
#define REQUEST_COUNT 400000
#define GOSSIP_ENTRIES 16
#define START_MS 1000000
#define SLOTS 7

static json_t *server_sizes_(uint32_t servers)
{
	return json_pack("{s:i}", "servers", (int)servers);
}

static void announce_servers_(struct bw_backend_table *table, uint32_t servers)
{
	struct bw_backend_announcement server = { .port = 8080,
						  .slots = SLOTS,
						  .connections = 360 };
	struct bw_time now = { START_MS };
	uint32_t i;

	for (i = 0; i < servers; i++) {
		snprintf(server.id, sizeof(server.id), "certdesk-%u", i);
		bw_name_set(server.service, "certdesk");
		bw_name_set(server.failure_domain, "khomas-a");
		snprintf(server.address, sizeof(server.address), "10.0.%u.%u",
			 i / 256, i % 256);
		server.incarnation = i + 1;
		if (bw_backend_announce(table, &server, now) != BW_OK)
			abort();
		bw_backend_heartbeat(table, server.id, server.incarnation, 0, 0,
				     now);
	}
}

static void measure_selection_(struct bench *bench,
			       struct bw_backend_table *table, uint32_t servers)
{
	struct bw_time now = { START_MS + 1000 };
	struct bw_backend_choice choice;
	struct bw_random random;
	uint32_t selected_count = 0;
	double start_us;
	uint32_t i;

	bw_random_init(&random, bench->seed);
	start_us = bench_cpu_us();
	for (i = 0; i < SELECTION_COUNT; i++) {
		if (bw_backend_pick(table, "certdesk", now, &random, NULL, 0,
				    &choice) != BW_OK)
			continue;
		bw_backend_request_start(table, choice.handle, now);
		bw_backend_request_end(table, choice.handle, BW_BACKEND_OK,
				       5000, now);
		selected_count++;
	}
	bench_add(bench, "backend.request", "ns",
		  (bench_cpu_us() - start_us) * 1e3 / SELECTION_COUNT,
		  server_sizes_(servers));
	if (selected_count != SELECTION_COUNT)
		fprintf(stderr, "backend: %u of %u selections succeeded\n",
			selected_count, SELECTION_COUNT);
}

/* Encodes and decodes all entries, as a host sends them to each other host of
 * its domain. */
static void measure_gossip_(struct bench *bench, struct bw_backend_table *table,
			    struct bw_backend_table *receiver, uint32_t servers)
{
	struct bw_time now = { START_MS + 1000 };
	struct bw_buffer body;
	uint32_t cursor = 0;
	uint64_t bytes = 0;
	double encode_us = 0;
	double decode_us = 0;
	double start_us;

	bw_buffer_init(&body);
	do {
		bw_buffer_clear(&body);
		start_us = bench_cpu_us();
		bw_backend_encode(table, now, &cursor, GOSSIP_ENTRIES, &body);
		encode_us += bench_cpu_us() - start_us;
		bytes += body.size_bytes;
		start_us = bench_cpu_us();
		bw_backend_decode(receiver, body.data, body.size_bytes, now);
		decode_us += bench_cpu_us() - start_us;
	} while (cursor);
	bw_buffer_finish(&body);
	bench_add(bench, "backend.gossip_bytes", "bytes", (double)bytes,
		  server_sizes_(servers));
	bench_add(bench, "backend.gossip_encode", "us", encode_us,
		  server_sizes_(servers));
	bench_add(bench, "backend.gossip_decode", "us", decode_us,
		  server_sizes_(servers));
}

static void measure_backend_(struct bench *bench, const struct bw_chart *chart,
			     uint32_t servers)
{
	struct bw_backend_config config;
	struct bw_backend_table table;
	struct bw_backend_table receiver;
	struct bw_time now = { START_MS + 1000 };
	double start_heap_bytes = bench_heap_bytes();
	double start_us;

	bw_backend_config_default(&config, chart);
	if (bw_backend_init(&table, &config) != BW_OK ||
	    bw_backend_init(&receiver, &config) != BW_OK)
		abort();
	bench_add(bench, "backend.heap", "bytes",
		  (bench_heap_bytes() - start_heap_bytes) / 2,
		  server_sizes_(servers));
	announce_servers_(&table, servers);
	measure_selection_(bench, &table, servers);
	measure_gossip_(bench, &table, &receiver, servers);
	start_us = bench_cpu_us();
	bw_backend_tick(&table, now);
	bench_add(bench, "backend.tick", "us", bench_cpu_us() - start_us,
		  server_sizes_(servers));
	bw_backend_finish(&receiver);
	bw_backend_finish(&table);
}

/*
 * Every second request is offered without a free slot and so is queued. The
 * others are admitted only while no request of their service is queued: the
 * queues fill up, and later offers are refused.
 */
static void measure_admission_(struct bench *bench, uint32_t services)
{
	struct bw_admission_config config;
	struct bw_admission admission;
	struct bw_admission_request request = { .size_bytes = 1000 };
	struct bw_admission_request next_request;
	struct bw_admission_result result;
	struct bw_random random;
	struct bw_time now = { START_MS };
	char name[BW_NAME_MAX];
	uint32_t service;
	double start_us;
	uint32_t i;

	bw_random_init(&random, bench->seed);
	bw_admission_config_default(&config);
	config.ranks_count = 3;
	bw_admission_init(&admission, &config, now);
	for (i = 0; i < services; i++) {
		snprintf(name, sizeof(name), "service-%u", i);
		bw_admission_service(&admission, name, &service);
	}
	start_us = bench_cpu_us();
	for (i = 0; i < REQUEST_COUNT; i++) {
		now.ms = START_MS + i / 10;
		request.id = i + 1;
		request.service = i / 2 % services;
		request.rank = i % 3;
		request.deadline = bw_time_add(now, 5000);
		bw_admission_offer(&admission, &request, i % 2, now, &random,
				   &result);
		if (result.outcome != BW_ADMISSION_ADMITTED)
			continue;
		bw_admission_done(&admission, request.service, request.rank,
				  5000);
		if (bw_admission_next(&admission, request.service, 1, now,
				      &next_request) == BW_OK)
			bw_admission_done(&admission, next_request.service,
					  next_request.rank, 5000);
	}
	bench_add(bench, "admission.request", "ns",
		  (bench_cpu_us() - start_us) * 1e3 / REQUEST_COUNT,
		  json_pack("{s:i}", "services", (int)services));
	bw_admission_finish(&admission);
}

void bench_requests(struct bench *bench)
{
	static const uint32_t servers[] = { 12, 160, 1600 };
	static const uint32_t services[] = { 3, 13, 50 };
	struct bw_chart chart;
	size_t i;

	bench_load_chart(&chart, "charts/backend.yaml",
			 &bw_backend_chart_names);
	for (i = 0; i < 3; i++)
		measure_backend_(bench, &chart, servers[i]);
	for (i = 0; i < 3; i++)
		measure_admission_(bench, services[i]);
}
