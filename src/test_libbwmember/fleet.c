#include "fleet.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void send_(struct fleet *fleet, uint32_t from, struct bw_outbox *out);
static void enqueue_(struct fleet *fleet, uint32_t from, uint32_t to,
		     const struct bw_packet *packet);
static void deliver_(struct fleet *fleet);
static void receive_(struct fleet *fleet, uint32_t host,
		     const struct bw_packet *packet);
static void tick_(struct fleet *fleet, uint32_t host);

void fleet_init(struct fleet *fleet, uint64_t seed, uint32_t domain_count)
{
	memset(fleet, 0, sizeof(*fleet));
	bw_random_init(&fleet->random, seed);
	fleet->now.ms = 1000;
	fleet->domain_count = domain_count;
	fleet->hosts = calloc(FLEET_HOSTS_MAX, sizeof(*fleet->hosts));
	assert(fleet->hosts);
	fleet->delay_min_ms = 10;
	fleet->delay_max_ms = 20;
}

void fleet_finish(struct fleet *fleet)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < fleet->host_count; i++)
		fleet_crash(fleet, i);
	for (i = 0; i < FLEET_RING_SLOTS; i++) {
		for (j = 0; j < fleet->ring[i].count; j++)
			free(fleet->ring[i].packets[j].data);
		free(fleet->ring[i].packets);
		free(fleet->ring[i].targets);
	}
	free(fleet->hosts);
}

uint32_t fleet_add(struct fleet *fleet, uint32_t domain, bool is_control,
		   bool is_seed)
{
	uint32_t index = fleet->host_count++;
	struct fleet_host *host = &fleet->hosts[index];
	struct bw_member_seed *seed;

	assert(index < FLEET_HOSTS_MAX);
	snprintf(host->name, BW_NAME_MAX, "d%u-h%03u", domain, index);
	host->domain = domain;
	host->is_control = is_control;
	if (!is_seed)
		return index;
	seed = &fleet->seeds[fleet->seed_count++];
	bw_name_set(seed->name, host->name);
	snprintf(seed->domain, BW_NAME_MAX, "d%u", domain);
	snprintf(seed->address, BW_MEMBER_ADDRESS_MAX, "10.0.%u.%u:7000",
		 domain, index);
	seed->is_control = is_control;
	return index;
}

void fleet_start(struct fleet *fleet, uint32_t index, int64_t skew_ms)
{
	struct fleet_host *host = &fleet->hosts[index];
	struct bw_member_config config = { .seed_count = fleet->seed_count };
	struct bw_aggregator_config aggregator = { .member = &host->member };
	struct bw_distribute_config distribute = { .member = &host->member };

	assert(!host->running);
	host->incarnation = bw_random_next(&fleet->random) | 1;
	host->start_wall_ms = FLEET_WALL_MS + fleet->now.ms + skew_ms;
	host->phase_ms =
		(uint32_t)bw_random_below(&fleet->random,
					  FLEET_TICK_MS / FLEET_STEP_MS) *
		FLEET_STEP_MS;
	host->running = true;
	bw_name_set(config.self.name, host->name);
	snprintf(config.self.domain, BW_NAME_MAX, "d%u", host->domain);
	bw_name_set(config.self.region, "region");
	snprintf(config.self.address, BW_MEMBER_ADDRESS_MAX, "10.0.%u.%u:7000",
		 host->domain, index);
	snprintf(config.self.entry_address, BW_MEMBER_ADDRESS_MAX, "10.0.%u.%u",
		 host->domain, index);
	config.self.entry_port = 8080;
	config.self.operator_port = 8081;
	config.self.incarnation = host->incarnation;
	config.self.start_wall_ms = host->start_wall_ms;
	config.self.is_control = host->is_control;
	config.seeds = fleet->seeds;
	config.random_seed = bw_random_next(&fleet->random) | 1;
	aggregator.random_seed = config.random_seed + 2;
	aggregator.wall_ms = host->start_wall_ms;
	distribute.aggregator = &host->aggregator;
	distribute.random_seed = config.random_seed + 4;
	if (bw_member_init(&host->member, &config, fleet->now) != BW_OK ||
	    bw_aggregator_init(&host->aggregator, &aggregator, fleet->now) !=
		    BW_OK ||
	    bw_distribute_init(&host->distribute, &distribute, fleet->now) !=
		    BW_OK)
		abort();
}

void fleet_crash(struct fleet *fleet, uint32_t index)
{
	struct fleet_host *host = &fleet->hosts[index];

	if (!host->running)
		return;
	host->running = false;
	bw_distribute_finish(&host->distribute);
	bw_aggregator_finish(&host->aggregator);
	bw_member_finish(&host->member);
}

bool fleet_reaches(const struct fleet *fleet, uint32_t a, uint32_t b)
{
	return fleet->hosts[a].group == fleet->hosts[b].group &&
	       fleet->hosts[a].blocked_peer != b + 1 &&
	       fleet->hosts[b].blocked_peer != a + 1;
}

void fleet_clear_faults(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->host_count; i++) {
		fleet->hosts[i].group = 0;
		fleet->hosts[i].blocked_peer = 0;
	}
	fleet->drop_percent = 0;
	fleet->duplicate_percent = 0;
	fleet->corrupt_per_mille = 0;
	fleet->delay_min_ms = 10;
	fleet->delay_max_ms = 20;
}

void fleet_run(struct fleet *fleet, int64_t ms)
{
	int64_t end_ms = fleet->now.ms + ms;
	uint32_t i;

	while (fleet->now.ms < end_ms) {
		fleet->now.ms += FLEET_STEP_MS;
		deliver_(fleet);
		for (i = 0; i < fleet->host_count; i++) {
			if (fleet->hosts[i].running &&
			    fleet->now.ms % FLEET_TICK_MS ==
				    fleet->hosts[i].phase_ms)
				tick_(fleet, i);
		}
	}
}

uint32_t fleet_find(const struct fleet *fleet, const char *name)
{
	uint32_t i;

	for (i = 0; i < fleet->host_count; i++) {
		if (!strcmp(fleet->hosts[i].name, name))
			return i;
	}
	return FLEET_HOSTS_MAX;
}

uint64_t fleet_seed_count(uint64_t default_value)
{
	const char *text = getenv("BW_SEEDS");

	return text ? strtoull(text, NULL, 10) : default_value;
}

uint64_t fleet_first_seed(void)
{
	const char *text = getenv("BW_FIRST_SEED");

	return text ? strtoull(text, NULL, 10) : 1;
}

bool fleet_has_converged(struct fleet *fleet, char text[256])
{
	const struct bw_member_record *record;
	struct fleet_host *viewer;
	struct fleet_host *host;
	bool up;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < fleet->host_count; i++) {
		viewer = &fleet->hosts[i];
		if (!viewer->running)
			continue;
		for (j = 0; j < fleet->host_count; j++) {
			host = &fleet->hosts[j];
			if (host->domain != viewer->domain)
				continue;
			record = bw_member_find(&viewer->member, host->name);
			up = record && (record->state == BW_MEMBER_ALIVE ||
					record->state == BW_MEMBER_LEAVING);
			if (up == host->running &&
			    (!up ||
			     record->host.incarnation == host->incarnation))
				continue;
			snprintf(text, 256, "%s sees %s as %s, running=%d",
				 viewer->name, host->name,
				 record ? bw_member_state_string[record->state]
					: "unknown",
				 host->running);
			return false;
		}
	}
	return true;
}

static void send_(struct fleet *fleet, uint32_t from, struct bw_outbox *out)
{
	struct fleet_host *sender = &fleet->hosts[from];
	uint32_t to;
	uint32_t i;

	for (i = 0; i < out->count; i++) {
		assert(out->packets[i].channel != BW_CHANNEL_MEMBER ||
		       out->packets[i].size_bytes <=
			       BW_MEMBER_PACKET_MAX_BYTES);
		sender->sent_bytes += out->packets[i].size_bytes;
		sender->channel_bytes[out->packets[i].channel] +=
			out->packets[i].size_bytes;
		sender->sent_packets++;
		to = fleet_find(fleet, out->packets[i].peer);
		if (to == FLEET_HOSTS_MAX || !fleet_reaches(fleet, from, to) ||
		    (fleet->filter &&
		     !fleet->filter(fleet, from, to, &out->packets[i])))
			continue;
		if (bw_random_below(&fleet->random, 100) >= fleet->drop_percent)
			enqueue_(fleet, from, to, &out->packets[i]);
		if (bw_random_below(&fleet->random, 100) <
		    fleet->duplicate_percent)
			enqueue_(fleet, from, to, &out->packets[i]);
	}
	bw_outbox_clear(out);
}

static void enqueue_(struct fleet *fleet, uint32_t from, uint32_t to,
		     const struct bw_packet *packet)
{
	uint32_t range = fleet->delay_max_ms - fleet->delay_min_ms + 1;
	uint32_t delay = fleet->delay_min_ms +
			 (uint32_t)bw_random_below(&fleet->random, range);
	uint32_t steps = (delay + FLEET_STEP_MS - 1) / FLEET_STEP_MS;
	struct fleet_slot *slot;
	struct bw_packet *copy;

	assert(steps < FLEET_RING_SLOTS);
	slot = &fleet->ring[(fleet->now.ms / FLEET_STEP_MS + steps +
			     (steps == 0)) %
			    FLEET_RING_SLOTS];
	if (slot->count == slot->capacity) {
		slot->capacity = slot->capacity ? slot->capacity * 2 : 16;
		slot->packets = realloc(
			slot->packets, slot->capacity * sizeof(*slot->packets));
		slot->targets = realloc(
			slot->targets, slot->capacity * sizeof(*slot->targets));
		assert(slot->packets && slot->targets);
	}
	slot->targets[slot->count] = to;
	copy = &slot->packets[slot->count++];
	*copy = *packet;
	bw_name_set(copy->peer, fleet->hosts[from].name);
	copy->incarnation = fleet->hosts[from].incarnation;
	copy->data = malloc(packet->size_bytes + 1);
	assert(copy->data);
	memcpy(copy->data, packet->data, packet->size_bytes);
	if (packet->size_bytes &&
	    bw_random_below(&fleet->random, 1000) < fleet->corrupt_per_mille)
		copy->size_bytes = (uint32_t)bw_random_below(
			&fleet->random, packet->size_bytes);
}

static void deliver_(struct fleet *fleet)
{
	struct fleet_slot *slot =
		&fleet->ring[fleet->now.ms / FLEET_STEP_MS % FLEET_RING_SLOTS];
	uint32_t i;

	for (i = 0; i < slot->count; i++) {
		if (fleet->hosts[slot->targets[i]].running)
			receive_(fleet, slot->targets[i], &slot->packets[i]);
		free(slot->packets[i].data);
	}
	slot->count = 0;
}

static void receive_(struct fleet *fleet, uint32_t index,
		     const struct bw_packet *packet)
{
	struct fleet_host *host = &fleet->hosts[index];
	struct bw_outbox out;

	bw_outbox_init(&out, 4096);
	if (packet->channel == BW_CHANNEL_MEMBER)
		bw_member_receive(&host->member, packet, fleet->now, &out);
	else if (packet->channel == BW_CHANNEL_SUMMARY)
		bw_aggregator_receive(&host->aggregator, packet, fleet->now,
				      &out);
	else
		bw_distribute_receive(&host->distribute, packet, fleet->now,
				      &out);
	send_(fleet, index, &out);
	bw_outbox_finish(&out);
	if (fleet->after_event)
		fleet->after_event(fleet, index);
}

static void tick_(struct fleet *fleet, uint32_t index)
{
	struct fleet_host *host = &fleet->hosts[index];
	struct bw_outbox out;

	fleet->ticks++;
	bw_outbox_init(&out, 4096);
	bw_member_tick(&host->member, fleet->now, &out);
	if (!fleet->member_only) {
		bw_aggregator_tick(&host->aggregator, fleet->now, &out);
		bw_distribute_tick(&host->distribute, fleet->now, &out);
	}
	send_(fleet, index, &out);
	bw_outbox_finish(&out);
	if (fleet->after_event)
		fleet->after_event(fleet, index);
}
