/*
 * Transfers of large documents over narrow links, from sources that fall
 * silent or lose their disk while changes go on. Guards against transfers that
 * starve heartbeats or never end, and against mixed or older content.
 */
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
#include "bwmember/fetch.h"

#include "route_text.h"

#define SOURCE_COUNT 3
#define LINK_BYTES_PER_S 250000
#define TICK_MS 40
#define HEARTBEAT_MS 250
#define HEARTBEAT_BYTES 200
#define HEARTBEAT_WAIT_MAX_MS 100
#define SILENT_AFTER_MS 1750
#define PACKETS_MAX 4096
#define VERSIONS_MAX 64
#define SEEDS 24

/** A packet on its way to the receiver or to a source. */
struct packet {
	struct bw_time arrival;
	struct bw_time sent;
	uint32_t source;
	bool to_source;
	uint64_t heartbeat_number; /**< of a heartbeat; else 0 */
	uint8_t *data; /**< NULL for a heartbeat */
	uint32_t size_bytes;
};

struct source {
	char name[BW_NAME_MAX];
	struct bw_distribute distribute;
	uint32_t delay_ms;
	struct bw_time silent_until;
	struct bw_time heard; /**< by the receiver */
	uint64_t offered; /**< number in the last heartbeat received */
	struct bw_time next_heartbeat;
};

/** What the run measured. */
struct results {
	int64_t heartbeat_wait_max_ms;
	uint64_t second_bytes_max; /**< of pieces, in one second */
	int64_t late_ms; /**< from the last change to in force; -1: never */
	uint64_t pieces_bytes;
	uint32_t regressions;
	uint32_t mixed;
};

/** Settings of a run. */
struct run {
	uint64_t seed;
	uint32_t change_count;
	uint32_t change_interval_ms;
	bool faults;
	uint32_t piece_bytes;
	uint32_t receive_bytes_per_s;
	uint32_t routes_added; /**< by a change */
	uint32_t delay_max_ms; /**< of the path to a source */
};

static struct source sources[SOURCE_COUNT];
static struct bw_distribute receiver;
static struct bw_fetch fetch;
static struct bw_outbox out;
static struct packet packets[PACKETS_MAX];
static uint32_t packet_count;
static struct bw_time link_free;
static struct bw_random random_numbers;
static struct bw_buffer versions[VERSIONS_MAX];
static uint64_t newest;
static uint64_t second_bytes;
static struct results results;

/* The next version has more routes than the last one, or another digit. */
static void publish_next_(uint32_t routes_added, struct bw_time now)
{
	struct bw_buffer *text = &versions[newest + 1];
	struct bw_buffer *last = &versions[newest];
	uint32_t i;

	bw_buffer_init(text);
	if (newest)
		bw_buffer_append(text, last->data, last->size_bytes);
	if (!newest || bw_random_below(&random_numbers, 2))
		route_text_add(text, routes_added, &random_numbers);
	else
		text->data[text->size_bytes / 2] ^= 1;
	newest++;
	for (i = 0; i < SOURCE_COUNT; i++)
		assert_int_equal(bw_distribute_publish(&sources[i].distribute,
						       BW_DOCUMENT_SHEET,
						       newest, text->data,
						       text->size_bytes, now),
				 BW_OK);
}

static void start_source_(struct source *source, struct bw_time now)
{
	struct bw_distribute_config config = {
		.random_seed = bw_random_next(&random_numbers) | 1,
		.bytes_per_s = 8 * 1024 * 1024,
		.history_bytes = 8 * 1024 * 1024,
	};

	assert_int_equal(bw_distribute_init(&source->distribute, &config, now),
			 BW_OK);
}

/* Puts a packet on its way; those to the receiver share its link. */
static void send_(uint32_t source, bool to_source, uint64_t heartbeat_number,
		  const struct bw_packet *packet, struct bw_time now)
{
	struct packet *sent = &packets[packet_count++];
	uint32_t size = packet ? packet->size_bytes : HEARTBEAT_BYTES;

	assert_true(packet_count < PACKETS_MAX);
	memset(sent, 0, sizeof(*sent));
	sent->sent = now;
	sent->source = source;
	sent->to_source = to_source;
	sent->heartbeat_number = heartbeat_number;
	sent->size_bytes = size;
	sent->arrival = bw_time_add(now, sources[source].delay_ms);
	if (packet) {
		sent->data = malloc(size);
		memcpy(sent->data, packet->data, size);
	}
	if (to_source)
		return;
	if (bw_time_reached(link_free, sent->arrival))
		sent->arrival = link_free;
	sent->arrival = bw_time_add(sent->arrival,
				    1 + size * 1000LL / LINK_BYTES_PER_S);
	link_free = sent->arrival;
}

static void flush_(uint32_t source, bool to_source, struct bw_time now)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < out.count; i++) {
		if (to_source) {
			for (k = 0; k < SOURCE_COUNT; k++) {
				if (!strcmp(sources[k].name,
					    out.packets[i].peer))
					source = k;
			}
		}
		send_(source, to_source, 0, &out.packets[i], now);
	}
	bw_outbox_clear(&out);
}

static void note_version_(uint64_t before)
{
	struct bw_distribute_event event;

	while (bw_distribute_next_event(&receiver, &event)) {
		results.regressions += event.number <= before;
		results.mixed +=
			event.size_bytes != versions[event.number].size_bytes ||
			memcmp(event.bytes, versions[event.number].data,
			       event.size_bytes) != 0;
	}
}

static void arrive_(struct packet *arrived, struct bw_time now)
{
	struct source *source = &sources[arrived->source];
	struct bw_packet packet = { .channel = BW_CHANNEL_DISTRIBUTE,
				    .data = arrived->data,
				    .size_bytes = arrived->size_bytes };
	uint64_t before = bw_distribute_number(&receiver, BW_DOCUMENT_SHEET);
	int64_t wait_ms =
		bw_time_diff_ms(now, arrived->sent) - (int64_t)source->delay_ms;

	if (arrived->to_source) {
		bw_name_set(packet.peer, "receiver");
		if (bw_time_reached(now, source->silent_until))
			bw_distribute_receive(&source->distribute, &packet, now,
					      &out);
		flush_(arrived->source, false, now);
		return;
	}
	source->heard = now;
	if (!arrived->data) {
		source->offered = arrived->heartbeat_number;
		if (wait_ms > results.heartbeat_wait_max_ms)
			results.heartbeat_wait_max_ms = wait_ms;
		return;
	}
	bw_name_set(packet.peer, source->name);
	second_bytes += arrived->size_bytes;
	bw_distribute_receive(&receiver, &packet, now, &out);
	bw_fetch_progressed(&fetch, now);
	if (bw_distribute_number(&receiver, BW_DOCUMENT_SHEET) > before)
		bw_fetch_received(&fetch, true, now);
	note_version_(before);
	flush_(0, true, now);
}

static void deliver_(struct bw_time now)
{
	uint32_t i = 0;

	while (i < packet_count) {
		struct packet arrived = packets[i];

		if (!bw_time_reached(now, arrived.arrival)) {
			i++;
			continue;
		}
		memmove(packets + i, packets + i + 1,
			(--packet_count - i) * sizeof(packets[0]));
		arrive_(&arrived, now);
		free(arrived.data);
	}
}

static void tick_receiver_(struct bw_time now)
{
	struct bw_fetch_peer peers[SOURCE_COUNT];
	const struct bw_fetch_peer *peer;
	uint32_t i;

	for (i = 0; i < SOURCE_COUNT; i++) {
		peers[i].name = sources[i].name;
		peers[i].distance = (enum bw_feed_distance)i;
		peers[i].feed = i == 0;
		peers[i].alive = bw_time_diff_ms(now, sources[i].heard) <
				 SILENT_AFTER_MS;
		peers[i].version = sources[i].offered;
	}
	peer = bw_fetch_next(&fetch, peers, SOURCE_COUNT,
			     bw_distribute_number(&receiver, BW_DOCUMENT_SHEET),
			     now);
	if (peer)
		bw_distribute_request(&receiver, BW_DOCUMENT_SHEET, peer->name,
				      now, &out);
	bw_distribute_tick(&receiver, now, &out);
	flush_(0, true, now);
}

static void tick_sources_(struct bw_time now)
{
	uint32_t i;

	for (i = 0; i < SOURCE_COUNT; i++) {
		struct source *source = &sources[i];

		if (!bw_time_reached(now, source->silent_until))
			continue;
		bw_distribute_tick(&source->distribute, now, &out);
		flush_(i, false, now);
		if (!bw_time_reached(now, source->next_heartbeat))
			continue;
		source->next_heartbeat = bw_time_add(now, HEARTBEAT_MS);
		send_(i, false,
		      bw_distribute_number(&source->distribute,
					   BW_DOCUMENT_SHEET),
		      NULL, now);
	}
}

/* A source falls silent, or restarts without its disk and learns the newest
 * version at once, but has no earlier ones. */
static void fail_source_(struct bw_time now)
{
	struct source *source =
		&sources[bw_random_below(&random_numbers, SOURCE_COUNT)];

	source->silent_until = bw_time_add(
		now, 300 + (int64_t)bw_random_below(&random_numbers, 3000));
	if (bw_random_below(&random_numbers, 2))
		return;
	bw_distribute_finish(&source->distribute);
	start_source_(source, now);
	bw_distribute_publish(&source->distribute, BW_DOCUMENT_SHEET, newest,
			      versions[newest].data,
			      versions[newest].size_bytes, now);
}

static void set_up_run_(const struct run *run, struct bw_time now)
{
	struct bw_distribute_config config = {
		.receives_only = true,
		.random_seed = run->seed,
		.receive_bytes_per_s = run->receive_bytes_per_s,
		.piece_bytes = run->piece_bytes,
	};
	uint32_t i;

	memset(&results, 0, sizeof(results));
	results.late_ms = -1;
	newest = 0;
	packet_count = 0;
	second_bytes = 0;
	link_free = now;
	bw_random_init(&random_numbers, run->seed);
	bw_outbox_init(&out, PACKETS_MAX);
	bw_fetch_init(&fetch, "receiver");
	assert_int_equal(bw_distribute_init(&receiver, &config, now), BW_OK);
	for (i = 0; i < SOURCE_COUNT; i++) {
		memset(&sources[i], 0, sizeof(sources[i]));
		snprintf(sources[i].name, BW_NAME_MAX, "source-%u", i);
		start_source_(&sources[i], now);
		sources[i].delay_ms =
			1 + (uint32_t)bw_random_below(&random_numbers,
						      run->delay_max_ms);
		sources[i].heard = now;
	}
}

static void finish_run_(void)
{
	uint32_t i;

	while (packet_count)
		free(packets[--packet_count].data);
	for (i = 0; i <= newest; i++)
		bw_buffer_finish(&versions[i]);
	for (i = 0; i < SOURCE_COUNT; i++)
		bw_distribute_finish(&sources[i].distribute);
	results.pieces_bytes = receiver.stats.piece_received_bytes;
	bw_distribute_finish(&receiver);
	bw_outbox_finish(&out);
}

static void run_(const struct run *run)
{
	struct bw_time now = { 50000 };
	struct bw_time last_change = now;
	struct bw_time end;
	int64_t ms;

	set_up_run_(run, now);
	end = bw_time_add(now, run->change_count * run->change_interval_ms +
				       20000LL);
	for (ms = 0; !bw_time_reached(now, end); ms++) {
		now = bw_time_add(now, 1);
		if (ms % run->change_interval_ms == 0 &&
		    newest < run->change_count) {
			publish_next_(run->routes_added, now);
			last_change = now;
		}
		if (run->faults && newest < run->change_count &&
		    !bw_random_below(&random_numbers, 1500))
			fail_source_(now);
		if (ms % TICK_MS == 0) {
			tick_sources_(now);
			tick_receiver_(now);
		}
		deliver_(now);
		if (ms % 1000 == 0) {
			if (second_bytes > results.second_bytes_max)
				results.second_bytes_max = second_bytes;
			second_bytes = 0;
		}
		if (results.late_ms < 0 && newest == run->change_count &&
		    bw_distribute_number(&receiver, BW_DOCUMENT_SHEET) ==
			    newest)
			results.late_ms = bw_time_diff_ms(now, last_change);
	}
	finish_run_();
}

static struct run narrow_link_(uint64_t seed)
{
	struct run run = { .seed = seed,
			   .change_count = 2,
			   .change_interval_ms = 5000,
			   .piece_bytes = 8192,
			   .routes_added = 1400,
			   .delay_max_ms = 40,
			   .receive_bytes_per_s = LINK_BYTES_PER_S / 2 };

	return run;
}

static void test_large_change_does_not_delay_heartbeats(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		struct run run = narrow_link_(seed);

		run_(&run);
		assert_true(results.late_ms >= 0 && results.late_ms < 1000);
		assert_true(results.heartbeat_wait_max_ms <=
			    HEARTBEAT_WAIT_MAX_MS);
		assert_true(results.second_bytes_max <=
			    LINK_BYTES_PER_S / 2 + 2 * run.piece_bytes);
	}
}

static void test_checks_notice_large_or_unpaced_pieces(void **state)
{
	struct run large = narrow_link_(1);
	struct run unpaced = narrow_link_(1);

	(void)state;
	large.routes_added = 10000;
	large.piece_bytes = BW_DOCUMENT_CHUNK_MAX_BYTES;
	run_(&large);
	assert_true(results.heartbeat_wait_max_ms > HEARTBEAT_WAIT_MAX_MS);
	unpaced.receive_bytes_per_s = 0;
	unpaced.routes_added = 10000;
	unpaced.delay_max_ms = 2;
	run_(&unpaced);
	assert_true(results.second_bytes_max >
		    LINK_BYTES_PER_S / 2 + 2 * unpaced.piece_bytes);
}

static void test_receiver_catches_up_with_failing_sources(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		struct run run = narrow_link_(seed);

		run.faults = true;
		run.change_count = 12;
		run.change_interval_ms = 100 + 300 * (uint32_t)(seed % 6);
		run_(&run);
		assert_true(results.late_ms >= 0);
		assert_int_equal(results.regressions, 0);
		assert_int_equal(results.mixed, 0);
		assert_true(results.heartbeat_wait_max_ms <=
			    HEARTBEAT_WAIT_MAX_MS);
	}
}

static void test_changes_cost_what_they_change(void **state)
{
	struct run run = narrow_link_(3);

	(void)state;
	run.change_count = 12;
	run.change_interval_ms = 2000;
	run_(&run);
	assert_true(results.late_ms >= 0);
	assert_true(results.pieces_bytes < 12 * 100000);
}

/* Passes all packets between the receiver and source 0 until none is left. */
static void exchange_(struct bw_time now)
{
	struct bw_outbox replies;
	uint32_t i;

	bw_outbox_init(&replies, PACKETS_MAX);
	while (out.count) {
		for (i = 0; i < out.count; i++) {
			bw_name_set(out.packets[i].peer, "receiver");
			bw_distribute_receive(&sources[0].distribute,
					      &out.packets[i], now, &replies);
		}
		bw_outbox_clear(&out);
		for (i = 0; i < replies.count; i++) {
			bw_name_set(replies.packets[i].peer, sources[0].name);
			bw_distribute_receive(&receiver, &replies.packets[i],
					      now, &out);
		}
		bw_outbox_clear(&replies);
	}
	bw_outbox_finish(&replies);
}

/* Guards against a host that stays behind because the difference that it
 * received is for a version that it no longer has. */
static void test_misfit_is_replaced_by_a_whole_copy(void **state)
{
	struct run run = narrow_link_(4);
	struct bw_time now = { 50000 };
	static const char other[] = "from a host of an earlier version";

	(void)state;
	run.receive_bytes_per_s = 0;
	set_up_run_(&run, now);
	publish_next_(run.routes_added, now);
	bw_distribute_request(&receiver, BW_DOCUMENT_SHEET, sources[0].name,
			      now, &out);
	exchange_(now);
	assert_int_equal(bw_distribute_number(&receiver, BW_DOCUMENT_SHEET), 1);
	newest = 2;
	route_text_add(&versions[2], run.routes_added, &random_numbers);
	newest = 3;
	bw_buffer_append(&versions[3], versions[1].data,
			 versions[1].size_bytes);
	route_text_add(&versions[3], 1, &random_numbers);
	bw_distribute_publish(&sources[0].distribute, BW_DOCUMENT_SHEET, 3,
			      versions[3].data, versions[3].size_bytes, now);
	/* The answer is on its way while another version comes into force. */
	bw_distribute_request(&receiver, BW_DOCUMENT_SHEET, sources[0].name,
			      now, &out);
	bw_distribute_publish(&receiver, BW_DOCUMENT_SHEET, 2, other,
			      sizeof(other), now);
	bw_distribute_request(&receiver, BW_DOCUMENT_SHEET, sources[0].name,
			      now, &out);
	exchange_(now);
	assert_int_equal(bw_distribute_number(&receiver, BW_DOCUMENT_SHEET), 3);
	assert_true(receiver.stats.difference_misfit_count > 0);
	assert_true(receiver.stats.full_applied_count == 2);
	note_version_(2);
	assert_int_equal(results.mixed, 0);
	finish_run_();
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_large_change_does_not_delay_heartbeats),
		cmocka_unit_test(test_checks_notice_large_or_unpaced_pieces),
		cmocka_unit_test(test_receiver_catches_up_with_failing_sources),
		cmocka_unit_test(test_changes_cost_what_they_change),
		cmocka_unit_test(test_misfit_is_replaced_by_a_whole_copy),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
