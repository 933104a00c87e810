#include <stdio.h>
#include <stdlib.h>

#include "bwsteer/keys.h"

#include "bench.h"

#define START_MS 1000
#define WALL_MS INT64_C(1796000000000)
#define RECORDS_PER_MS 10

/** A key owner and its backup, connected in memory. */
struct pair {
	struct bw_keys owner;
	struct bw_keys backup;
	struct bw_outbox out;
	struct bw_outbox replies;
};

static void init_keys_(struct bw_keys *keys, const struct bw_chart *chart,
		       const char *host, uint64_t incarnation)
{
	struct bw_keys_config config;
	struct bw_time now = { START_MS };

	bw_keys_config_default(&config);
	bw_name_set(config.host, host);
	config.incarnation = incarnation;
	config.chart = chart;
	config.wall_ms = WALL_MS;
	config.backup_bytes_per_s = UINT32_MAX;
	if (bw_keys_init(keys, &config, now) != BW_OK)
		abort();
}

static void deliver_packets_(struct pair *pair, struct bw_time now)
{
	struct bw_packet *packet;

	while (pair->out.count) {
		packet = &pair->out.packets[--pair->out.count];
		bw_name_set(packet->peer, "khomas-a-1");
		packet->incarnation = pair->owner.config.incarnation;
		bw_keys_receive(&pair->backup, packet, now, &pair->replies);
		free(packet->data);
	}
	bw_outbox_clear(&pair->replies);
}

static void run_request_(struct pair *pair, struct bw_time now)
{
	struct bw_keys_decision decision;
	struct bw_keys_response response = { .status = 200 };
	struct bw_key key;
	char text[BW_KEYS_TEXT_MAX];
	uint8_t digest[BW_KEYS_ID_BYTES] = { 1 };

	bw_keys_mint(&pair->backup, "khomas-a-1",
		     pair->owner.config.incarnation, WALL_MS, text);
	bw_keys_parse(&pair->owner, text, WALL_MS, &key);
	bw_keys_begin(&pair->owner, &key, digest, now, &pair->out, &decision);
	if (decision.kind == BW_KEYS_RUN)
		bw_keys_finish_run(&pair->owner, &key, decision.run,
				   BW_KEYS_OUTCOME_DONE, &response, now,
				   &pair->out);
	deliver_packets_(pair, now);
}

static void measure_records_(struct bench *bench, const struct bw_chart *chart,
			     uint32_t records)
{
	struct pair *pair = calloc(1, sizeof(*pair));
	struct bw_time now = { START_MS };
	double start_heap_bytes;
	double start_us;
	uint32_t i;

	init_keys_(&pair->owner, chart, "khomas-a-1", 0x9123456789abcdef);
	init_keys_(&pair->backup, chart, "khomas-b-1", 0x8123456789abcdef);
	bw_outbox_init(&pair->out, 1000);
	bw_outbox_init(&pair->replies, 1000);
	bw_keys_set_backup(&pair->owner, "khomas-b-1",
			   pair->backup.config.incarnation, now);
	start_heap_bytes = bench_heap_bytes();
	start_us = bench_cpu_us();
	for (i = 0; i < records; i++) {
		now.ms = START_MS + i / RECORDS_PER_MS;
		run_request_(pair, now);
	}
	bench_add(bench, "keys.rate", "records/s",
		  records * 1e6 / (bench_cpu_us() - start_us),
		  json_pack("{s:i}", "records", (int)records));
	bench_add(bench, "keys.record_heap", "bytes",
		  (bench_heap_bytes() - start_heap_bytes) /
			  (pair->owner.owned_pool.records +
			   pair->backup.backup_pool.records),
		  json_pack("{s:i}", "records", (int)records));
	bench_add(bench, "keys.wire_to_backup", "bytes",
		  (double)pair->owner.counts.bytes_sent / records,
		  json_pack("{s:i}", "records", (int)records));
	bench_add(bench, "keys.wire_back", "bytes",
		  (double)pair->backup.counts.bytes_sent / records,
		  json_pack("{s:i}", "records", (int)records));
	bw_outbox_finish(&pair->out);
	bw_outbox_finish(&pair->replies);
	bw_keys_finish(&pair->owner);
	bw_keys_finish(&pair->backup);
	free(pair);
}

void bench_keys(struct bench *bench)
{
	static const uint32_t records[] = { 1000, 5000, 20000 };
	struct bw_keys_config config;
	struct bw_chart chart;
	size_t i;

	bw_keys_config_default(&config);
	bench_add(bench, "keys.records_max", "records", config.records_max,
		  json_object());
	bench_add(bench, "keys.validity", "ms", (double)config.validity_ms,
		  json_object());
	bench_load_chart(&chart, "charts/request_key.yaml",
			 &bw_keys_chart_names);
	for (i = 0; i < 3; i++)
		measure_records_(bench, &chart, records[i]);
}
