/*
 * A change that all hosts fetch at once, each over its own narrow link. Guards
 * against a change whose cost or time grows with the number of hosts.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwbase/random.h"
#include "bwmember/distribute.h"

#include "route_text.h"

#define SEED 7
#define SOURCE_COUNT 6
#define HOSTS_MAX 1000
#define HOST_BYTES_PER_S 250000
#define SOURCE_BYTES_PER_S 125000000
#define SOURCE_BUDGET_BYTES_PER_S (8 * 1024 * 1024)
#define HISTORY_BYTES (8 * 1024 * 1024)
#define PIECE_BYTES 8192
#define TICK_MS 40
#define DELAY_MAX_MS 40
#define ASK_WITHIN_MS 100
#define RUN_MS 20000
#define ROUTES_BEFORE 1400
#define ROUTES_ADDED 1400
#define HOST_BYTES_MAX 100000
#define LAST_MAX_MS 1000

/** Packets of one millisecond. */
struct slot {
	struct packet *first;
	struct packet *last;
};

/** A packet on its way. */
struct packet {
	struct packet *next;
	uint32_t source;
	uint32_t host;
	bool to_source;
	uint8_t *data;
	uint32_t size_bytes;
};

/** One end of a link; bytes go over it one after the other. */
struct node {
	char name[BW_NAME_MAX];
	struct bw_distribute distribute;
	double link_free_ms;
	uint32_t delay_ms;
	bool asked;
	int64_t ask_ms;
	int64_t done_ms; /**< 0: not yet */
};

/** What a run measured. */
struct results {
	uint64_t bytes_max; /**< that a host received */
	int64_t last_ms; /**< until the last host had the change; -1: never */
};

static struct node sources[SOURCE_COUNT];
static struct node hosts[HOSTS_MAX];
static struct slot slots[RUN_MS + 1];
static struct bw_outbox out;
static struct bw_random random_numbers;

static void publish_(struct node *node, uint64_t number,
		     const struct bw_buffer *text, struct bw_time now)
{
	assert_int_equal(bw_distribute_publish(
				 &node->distribute, BW_DOCUMENT_SHEET, number,
				 text->data, text->size_bytes, now),
			 BW_OK);
}

/* Puts a packet on its way over the links of the source and of the host. */
static void send_(uint32_t source, uint32_t host, bool to_source,
		  const struct bw_packet *packet, int64_t now_ms)
{
	struct packet *sent = calloc(1, sizeof(*sent));
	double at_ms = (double)now_ms;
	int64_t slot;

	sent->source = source;
	sent->host = host;
	sent->to_source = to_source;
	sent->size_bytes = packet->size_bytes;
	sent->data = malloc(packet->size_bytes);
	memcpy(sent->data, packet->data, packet->size_bytes);
	if (!to_source) {
		at_ms = fmax(at_ms, sources[source].link_free_ms) +
			packet->size_bytes * 1000.0 / SOURCE_BYTES_PER_S;
		sources[source].link_free_ms = at_ms;
	}
	at_ms += hosts[host].delay_ms;
	if (!to_source) {
		at_ms = fmax(at_ms, hosts[host].link_free_ms) +
			packet->size_bytes * 1000.0 / HOST_BYTES_PER_S;
		hosts[host].link_free_ms = at_ms;
	}
	slot = (int64_t)ceil(fmax(at_ms, (double)(now_ms + 1)));
	assert_true(slot <= RUN_MS);
	if (slots[slot].last)
		slots[slot].last->next = sent;
	else
		slots[slot].first = sent;
	slots[slot].last = sent;
}

static void flush_host_(uint32_t host, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < out.count; i++)
		send_((uint32_t)atoi(out.packets[i].peer), host, true,
		      &out.packets[i], now_ms);
	bw_outbox_clear(&out);
}

static void flush_source_(uint32_t source, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < out.count; i++)
		send_(source, (uint32_t)atoi(out.packets[i].peer), false,
		      &out.packets[i], now_ms);
	bw_outbox_clear(&out);
}

static void arrive_(const struct packet *arrived, int64_t now_ms)
{
	struct node *source = &sources[arrived->source];
	struct node *host = &hosts[arrived->host];
	struct bw_packet packet = { .channel = BW_CHANNEL_DISTRIBUTE,
				    .data = arrived->data,
				    .size_bytes = arrived->size_bytes };
	struct bw_time now = { now_ms };

	bw_name_set(packet.peer,
		    arrived->to_source ? host->name : source->name);
	if (arrived->to_source) {
		bw_distribute_receive(&source->distribute, &packet, now, &out);
		flush_source_(arrived->source, now_ms);
		return;
	}
	bw_distribute_receive(&host->distribute, &packet, now, &out);
	flush_host_(arrived->host, now_ms);
	if (!host->done_ms &&
	    bw_distribute_number(&host->distribute, BW_DOCUMENT_SHEET) == 2)
		host->done_ms = now_ms;
}

static void deliver_(int64_t now_ms)
{
	struct packet *packet;

	while ((packet = slots[now_ms].first)) {
		slots[now_ms].first = packet->next;
		arrive_(packet, now_ms);
		free(packet->data);
		free(packet);
	}
	slots[now_ms].last = NULL;
}

static void tick_host_(uint32_t index, int64_t now_ms)
{
	struct node *host = &hosts[index];
	struct bw_time now = { now_ms };

	if (!host->asked && now_ms >= host->ask_ms) {
		host->asked = true;
		bw_distribute_request(&host->distribute, BW_DOCUMENT_SHEET,
				      sources[index % SOURCE_COUNT].name, now,
				      &out);
	}
	bw_distribute_tick(&host->distribute, now, &out);
	flush_host_(index, now_ms);
}

static void tick_source_(uint32_t index, int64_t now_ms)
{
	struct bw_time now = { now_ms };

	bw_distribute_tick(&sources[index].distribute, now, &out);
	flush_source_(index, now_ms);
}

static void init_nodes_(uint32_t host_count, uint32_t source_bytes_per_s,
			const struct bw_buffer *text)
{
	const struct bw_distribute_config source_config = {
		.random_seed = 1,
		.bytes_per_s = source_bytes_per_s,
		.history_bytes = HISTORY_BYTES,
	};
	const struct bw_distribute_config host_config = {
		.receives_only = true,
		.random_seed = 2,
		.receive_bytes_per_s = HOST_BYTES_PER_S / 2,
		.piece_bytes = PIECE_BYTES,
	};
	struct bw_time now = { 0 };
	uint32_t i;

	for (i = 0; i < SOURCE_COUNT; i++) {
		memset(&sources[i], 0, sizeof(sources[i]));
		snprintf(sources[i].name, BW_NAME_MAX, "%u", i);
		bw_distribute_init(&sources[i].distribute, &source_config, now);
		publish_(&sources[i], 1, text, now);
	}
	for (i = 0; i < host_count; i++) {
		memset(&hosts[i], 0, sizeof(hosts[i]));
		snprintf(hosts[i].name, BW_NAME_MAX, "%u", i);
		bw_distribute_init(&hosts[i].distribute, &host_config, now);
		publish_(&hosts[i], 1, text, now);
		hosts[i].delay_ms = 1 + (uint32_t)bw_random_below(
						&random_numbers, DELAY_MAX_MS);
		hosts[i].ask_ms = 1 + (int64_t)bw_random_below(&random_numbers,
							       ASK_WITHIN_MS);
	}
}

static void finish_(uint32_t host_count, struct results *results)
{
	uint32_t i;

	results->bytes_max = 0;
	results->last_ms = 0;
	for (i = 0; i < host_count; i++) {
		uint64_t bytes = hosts[i].distribute.stats.piece_received_bytes;

		if (bytes > results->bytes_max)
			results->bytes_max = bytes;
		if (!hosts[i].done_ms || results->last_ms < 0)
			results->last_ms = -1;
		else if (hosts[i].done_ms > results->last_ms)
			results->last_ms = hosts[i].done_ms;
		bw_distribute_finish(&hosts[i].distribute);
	}
	for (i = 0; i < SOURCE_COUNT; i++)
		bw_distribute_finish(&sources[i].distribute);
}

static struct results run_(uint32_t host_count, uint32_t source_bytes_per_s)
{
	struct results results;
	struct bw_buffer text;
	int64_t ms;
	uint32_t i;

	bw_random_init(&random_numbers, SEED);
	bw_outbox_init(&out, 65536);
	bw_buffer_init(&text);
	route_text_add(&text, ROUTES_BEFORE, &random_numbers);
	init_nodes_(host_count, source_bytes_per_s, &text);
	route_text_add(&text, ROUTES_ADDED, &random_numbers);
	for (i = 0; i < SOURCE_COUNT; i++)
		publish_(&sources[i], 2, &text, (struct bw_time){ 0 });
	for (ms = 1; ms <= RUN_MS; ms++) {
		for (i = 0; i < host_count; i++) {
			if ((ms + i) % TICK_MS == 0)
				tick_host_(i, ms);
		}
		for (i = 0; i < SOURCE_COUNT; i++) {
			if ((ms + i) % TICK_MS == 0)
				tick_source_(i, ms);
		}
		deliver_(ms);
	}
	finish_(host_count, &results);
	bw_buffer_finish(&text);
	bw_outbox_finish(&out);
	return results;
}

static void test_cost_does_not_grow_with_hosts(void **state)
{
	static const uint32_t counts[] = { 30, 100, 300, HOSTS_MAX };
	struct results first = { 0 };
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		struct results results =
			run_(counts[i], SOURCE_BUDGET_BYTES_PER_S);
		double growth = log(counts[i]) / log(counts[0]);

		printf("# %u hosts: %llu bytes a host, last after %lld ms\n",
		       (unsigned int)counts[i],
		       (unsigned long long)results.bytes_max,
		       (long long)results.last_ms);
		if (!i)
			first = results;
		assert_true(results.last_ms > 0);
		assert_true(results.last_ms < LAST_MAX_MS);
		assert_true((double)results.last_ms <=
			    growth * (double)first.last_ms);
		assert_true(results.bytes_max < HOST_BYTES_MAX);
		assert_true((double)results.bytes_max <=
			    1.01 * (double)first.bytes_max);
	}
}

static void test_checks_notice_slow_sources(void **state)
{
	struct results few = run_(30, SOURCE_BUDGET_BYTES_PER_S / 32);
	struct results many = run_(300, SOURCE_BUDGET_BYTES_PER_S / 32);

	(void)state;
	assert_true((double)many.last_ms >
		    log(300) / log(30) * (double)few.last_ms);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cost_does_not_grow_with_hosts),
		cmocka_unit_test(test_checks_notice_slow_sources),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
