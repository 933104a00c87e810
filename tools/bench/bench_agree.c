#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bwagree/replica.h"

#include "bench.h"

#define HOSTS_MAX 18
#define STEP_MS 50
#define ELECTION_MS 5000
#define COMMAND_COUNT 40
#define OUTBOX_LIMIT 4096

/** A replica with its CPU time and the traffic that it sent. */
struct node {
	char name[BW_NAME_MAX];
	struct bw_storage storage;
	struct bw_replica *replica;
	double cpu_us;
	uint64_t sent_bytes;
	uint64_t sent_packets;
};

/** A group of replicas connected in memory, without network delay. */
struct group {
	struct bw_chart chart;
	char names[HOSTS_MAX][BW_NAME_MAX];
	struct node nodes[HOSTS_MAX];
	uint32_t count;
	struct bw_time now;
	struct bw_outbox queue;
	char senders[OUTBOX_LIMIT][BW_NAME_MAX];
};

static void queue_packets_(struct group *group, struct node *node,
			   struct bw_outbox *out)
{
	uint32_t i;

	for (i = 0; i < out->count; i++) {
		struct bw_packet *packet = &out->packets[i];

		node->sent_bytes += packet->size_bytes;
		node->sent_packets++;
		if (group->queue.count == OUTBOX_LIMIT)
			continue;
		bw_name_set(group->senders[group->queue.count], node->name);
		bw_outbox_add(&group->queue, packet->peer, packet->channel,
			      packet->data, packet->size_bytes);
	}
	bw_outbox_clear(out);
}

static void discard_events_(struct node *node)
{
	struct bw_replica_event event;

	while (bw_replica_next_event(node->replica, &event))
		continue;
}

static void deliver_packet_(struct group *group, struct bw_packet *packet,
			    const char *sender)
{
	struct bw_outbox out;
	struct node *node = NULL;
	double start_us;
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		if (!strcmp(group->nodes[i].name, packet->peer))
			node = &group->nodes[i];
	}
	if (!node)
		return;
	bw_name_set(packet->peer, sender);
	bw_outbox_init(&out, OUTBOX_LIMIT);
	start_us = bench_cpu_us();
	bw_replica_receive(node->replica, packet, group->now, &out);
	discard_events_(node);
	node->cpu_us += bench_cpu_us() - start_us;
	queue_packets_(group, node, &out);
	bw_outbox_finish(&out);
}

/* Delivers queued packets and the replies to them, up to 50 rounds. */
static void deliver_all_(struct group *group)
{
	struct bw_outbox batch;
	char(*senders)[BW_NAME_MAX] = malloc(sizeof(group->senders));
	uint32_t rounds = 0;
	uint32_t i;

	while (group->queue.count && rounds++ < 50) {
		batch = group->queue;
		memcpy(senders, group->senders, sizeof(group->senders));
		bw_outbox_init(&group->queue, OUTBOX_LIMIT);
		for (i = 0; i < batch.count; i++)
			deliver_packet_(group, &batch.packets[i], senders[i]);
		bw_outbox_finish(&batch);
	}
	free(senders);
}

static void step_group_(struct group *group)
{
	struct bw_outbox out;
	struct node *node;
	double start_us;
	uint32_t i;

	group->now.ms += STEP_MS;
	bw_outbox_init(&out, OUTBOX_LIMIT);
	for (i = 0; i < group->count; i++) {
		node = &group->nodes[i];
		start_us = bench_cpu_us();
		bw_replica_tick(node->replica, group->now, &out);
		bw_replica_flush(node->replica, group->now, &out);
		bw_replica_sync(node->replica, group->now, &out);
		discard_events_(node);
		node->cpu_us += bench_cpu_us() - start_us;
		queue_packets_(group, node, &out);
	}
	bw_outbox_finish(&out);
	deliver_all_(group);
}

static void run_group_(struct group *group, int64_t ms)
{
	for (; ms > 0; ms -= STEP_MS)
		step_group_(group);
}

static struct group *group_new_(uint32_t count, uint64_t seed)
{
	struct group *group = calloc(1, sizeof(*group));
	struct bw_replica_config config = { .chart = &group->chart };
	struct bw_yaml_error yaml_error;
	char error[1024] = "";
	uint32_t i;

	group->count = count;
	group->now.ms = 1000;
	bw_outbox_init(&group->queue, OUTBOX_LIMIT);
	if (bw_replica_chart_load(&group->chart, BW_REPLICA_CHART,
				  &yaml_error) != BW_OK)
		abort();
	for (i = 0; i < count; i++)
		snprintf(group->names[i], BW_NAME_MAX, "host-%02u", i);
	config.initial_hosts = (const char(*)[BW_NAME_MAX])group->names;
	config.initial_count = count;
	for (i = 0; i < count; i++) {
		struct node *node = &group->nodes[i];

		bw_name_set(node->name, group->names[i]);
		bw_name_set(config.host, group->names[i]);
		bw_storage_init_memory(&node->storage);
		config.storage = &node->storage;
		config.seed = seed + i + 1;
		if (bw_replica_new(&node->replica, &config, group->now,
				   error) != BW_OK) {
			fprintf(stderr, "replica: %s\n", error);
			exit(EXIT_FAILURE);
		}
	}
	run_group_(group, ELECTION_MS);
	return group;
}

static void group_free_(struct group *group)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		bw_replica_free(group->nodes[i].replica);
		bw_storage_finish(&group->nodes[i].storage);
	}
	bw_outbox_finish(&group->queue);
	free(group);
}

static struct node *find_leader_(struct group *group)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		if (bw_replica_has_lease(group->nodes[i].replica, group->now))
			return &group->nodes[i];
	}
	fprintf(stderr, "replica: none of %u hosts has the lease\n",
		group->count);
	exit(EXIT_FAILURE);
}

static void reset_counters_(struct group *group)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		group->nodes[i].cpu_us = 0;
		group->nodes[i].sent_bytes = 0;
		group->nodes[i].sent_packets = 0;
		group->nodes[i].storage.bytes_written = 0;
	}
}

static double followers_cpu_us_(const struct group *group,
				const struct node *leader)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		if (&group->nodes[i] != leader)
			sum += group->nodes[i].cpu_us;
	}
	return sum / (group->count - 1);
}

static void measure_idle_(struct bench *bench, struct group *group)
{
	struct node *leader = find_leader_(group);
	int hosts = (int)group->count;

	reset_counters_(group);
	run_group_(group, 10000);
	bench_add(bench, "replica.idle_leader", "B/s",
		  (double)leader->sent_bytes / 10,
		  json_pack("{s:i}", "hosts", hosts));
	bench_add(bench, "replica.idle_leader_cpu", "us/s", leader->cpu_us / 10,
		  json_pack("{s:i}", "hosts", hosts));
	bench_add(bench, "replica.idle_follower_cpu", "us/s",
		  followers_cpu_us_(group, leader) / 10,
		  json_pack("{s:i}", "hosts", hosts));
}

static void propose_submission_(struct group *group, uint64_t revision,
				const uint8_t *text, size_t text_bytes)
{
	struct bw_submit submit = { .revision = revision,
				    .text = text,
				    .text_size_bytes = text_bytes };
	struct bw_buffer command;
	uint64_t index;

	snprintf(submit.id, sizeof(submit.id), "submission-%llu",
		 (unsigned long long)revision);
	memcpy(submit.hash, &revision, sizeof(revision));
	bw_buffer_init(&command);
	bw_command_submit(&command, &submit);
	if (bw_replica_propose(find_leader_(group)->replica, command.data,
			       command.size_bytes, group->now, &index) != BW_OK)
		abort();
	bw_buffer_finish(&command);
}

static void measure_commands_(struct bench *bench, uint32_t hosts,
			      uint32_t text_bytes)
{
	struct group *group = group_new_(hosts, bench->seed);
	uint8_t *text = calloc(1, text_bytes);
	struct node *leader;
	json_t *sizes = json_pack("{s:i, s:i}", "hosts", (int)hosts, "text",
				  (int)text_bytes);
	uint32_t i;

	measure_idle_(bench, group);
	reset_counters_(group);
	for (i = 0; i < COMMAND_COUNT; i++) {
		memcpy(text, &i, sizeof(i));
		propose_submission_(group, i + 1, text, text_bytes);
		run_group_(group, 2 * STEP_MS);
	}
	run_group_(group, 1000);
	leader = find_leader_(group);
	if (bw_replica_state(leader->replica)->revision != COMMAND_COUNT)
		fprintf(stderr, "replica: not all commands are applied\n");
	bench_add(bench, "replica.command_leader_cpu", "us",
		  leader->cpu_us / COMMAND_COUNT, json_incref(sizes));
	bench_add(bench, "replica.command_follower_cpu", "us",
		  followers_cpu_us_(group, leader) / COMMAND_COUNT,
		  json_incref(sizes));
	bench_add(bench, "replica.command_wire", "bytes",
		  (double)leader->sent_bytes / COMMAND_COUNT / (hosts - 1),
		  json_incref(sizes));
	bench_add(bench, "replica.command_disk", "bytes",
		  (double)leader->storage.bytes_written / COMMAND_COUNT, sizes);
	free(text);
	group_free_(group);
}

static void fill_state_(struct bw_state *state, uint32_t submissions,
			uint32_t bindings)
{
	struct bw_submit submit = { .text = (const uint8_t *)"x",
				    .text_size_bytes = 1 };
	struct bw_bind_key bind = { .owner = "khomas-a-1",
				    .owner_incarnation = 0x9123456789abcdef,
				    .expiry_wall_ms = INT64_C(1796000600000),
				    .now_wall_ms = INT64_C(1796000000000) };
	struct bw_outcome outcome;
	struct bw_buffer command;
	uint32_t i;

	bw_buffer_init(&command);
	for (i = 1; i <= submissions; i++) {
		submit.revision = i;
		snprintf(submit.id, sizeof(submit.id),
			 "6f1c2a9e-5b7d-4c1e-9a3f-%012u", i);
		bw_buffer_clear(&command);
		bw_command_submit(&command, &submit);
		bw_state_apply(state, i, command.data, command.size_bytes,
			       &outcome);
	}
	for (i = 1; i <= bindings; i++) {
		memcpy(bind.key, &i, sizeof(i));
		bw_buffer_clear(&command);
		bw_command_bind_key(&command, &bind);
		bw_state_apply(state, submissions + i, command.data,
			       command.size_bytes, &outcome);
	}
	bw_buffer_finish(&command);
}

static void measure_state_(struct bench *bench, const char *kind,
			   uint32_t submissions, uint32_t bindings)
{
	struct bw_state *state = calloc(1, sizeof(*state));
	struct bw_buffer out;
	double start_heap_bytes = bench_heap_bytes();
	int count = (int)(submissions + bindings);
	double start_us = bench_cpu_us();
	char name[64];

	bw_state_init(state, BW_SUBMISSIONS_MAX, BW_BINDINGS_MAX);
	fill_state_(state, submissions, bindings);
	snprintf(name, sizeof(name), "state.%s_apply", kind);
	bench_add(bench, name, "us", (bench_cpu_us() - start_us) / count,
		  json_pack("{s:i}", kind, count));
	snprintf(name, sizeof(name), "state.%s_heap", kind);
	bench_add(bench, name, "bytes",
		  (bench_heap_bytes() - start_heap_bytes) / count,
		  json_pack("{s:i}", kind, count));
	bw_buffer_init(&out);
	start_us = bench_cpu_us();
	bw_state_save(state, &out);
	snprintf(name, sizeof(name), "state.%s_save", kind);
	bench_add(bench, name, "ms", (bench_cpu_us() - start_us) / 1e3,
		  json_pack("{s:i}", kind, count));
	snprintf(name, sizeof(name), "state.%s_snapshot", kind);
	bench_add(bench, name, "bytes", (double)out.size_bytes / count,
		  json_pack("{s:i}", kind, count));
	bw_buffer_finish(&out);
	bw_state_finish(state);
	free(state);
}

void bench_agree(struct bench *bench)
{
	static const uint32_t hosts[] = { 3, 5, 9, 18 };
	uint32_t i;

	for (i = 0; i < 4; i++)
		measure_commands_(bench, hosts[i], 20000);
	measure_commands_(bench, 5, 200);
	measure_commands_(bench, 5, 200000);
	measure_commands_(bench, 5, 700000);
	measure_state_(bench, "submissions", 1000, 0);
	measure_state_(bench, "submissions", 10000, 0);
	measure_state_(bench, "submissions", 50000, 0);
	measure_state_(bench, "bindings", 0, 1000);
	measure_state_(bench, "bindings", 0, 10000);
	measure_state_(bench, "bindings", 0, 50000);
}
