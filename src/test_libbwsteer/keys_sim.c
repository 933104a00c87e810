#include "keys_sim.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

uint32_t sim_random_below(struct sim *sim, uint32_t bound)
{
	return (uint32_t)bw_random_below(&sim->random, bound);
}

struct bw_time sim_host_now(const struct sim *sim, uint32_t host)
{
	struct bw_time now = { sim->now_ms + sim->hosts[host].offset_ms };

	return now;
}

int64_t sim_process_wall_ms(const struct sim *sim, uint32_t process)
{
	const struct process *p = &sim->processes[process];

	return p->wall_ms + sim->now_ms - p->started_ms;
}

bool sim_reachable(const struct sim *sim, uint32_t a, uint32_t b)
{
	return sim->partition[a] == sim->partition[b];
}

uint32_t sim_host_index(const char *name)
{
	return (uint32_t)(name[1] - '0');
}

void sim_host_name(uint32_t host, char name[BW_NAME_MAX])
{
	snprintf(name, BW_NAME_MAX, "h%u", host);
}

struct delivery *sim_enqueue(struct sim *sim, uint32_t host, int64_t delay_ms)
{
	struct delivery *delivery;

	if (sim->queue_count == QUEUE_MAX)
		return NULL;
	delivery = &sim->queue[sim->queue_count++];
	memset(delivery, 0, sizeof(*delivery));
	delivery->due_ms = sim->now_ms + delay_ms;
	delivery->host = host;
	return delivery;
}

void sim_enqueue_attempt(struct sim *sim, uint32_t host, uint32_t key,
			 uint8_t digest, uint32_t hops)
{
	struct delivery *delivery =
		sim_enqueue(sim, host, 1 + sim_random_below(sim, 40));

	if (!delivery)
		return;
	delivery->is_attempt = true;
	delivery->key = key;
	delivery->digest = digest;
	delivery->hops = hops;
}

/* Sends the packets of the outbox. Faults delay, duplicate or drop them. */
void sim_send(struct sim *sim, uint32_t from)
{
	struct delivery *delivery;
	struct bw_packet *packet;
	uint32_t copies;
	uint32_t i;
	uint32_t to;

	for (i = 0; i < sim->out.count; i++) {
		packet = &sim->out.packets[i];
		to = sim_host_index(packet->peer);
		copies = 1;
		sim->stats->packets++;
		if (sim->faults && sim_random_below(sim, 100) < 8)
			copies = sim_random_below(sim, 3);
		if (!sim_reachable(sim, from, to))
			copies = 0;
		while (copies--) {
			delivery = sim_enqueue(sim, to,
					       1 + sim_random_below(sim, 30));
			if (!delivery)
				break;
			if (sim->faults && sim_random_below(sim, 50) == 0)
				delivery->due_ms += sim_random_below(sim, 6000);
			delivery->packet = *packet;
			sim_host_name(from, delivery->packet.peer);
			delivery->packet.incarnation =
				1000 + sim->hosts[from].process;
			delivery->packet.data = malloc(packet->size_bytes);
			memcpy(delivery->packet.data, packet->data,
			       packet->size_bytes);
		}
	}
	bw_outbox_clear(&sim->out);
}

void sim_start_host(struct sim *sim, uint32_t index)
{
	struct host *host = &sim->hosts[index];
	struct process *process = &sim->processes[sim->process_count];
	struct bw_keys_config config;

	assert_true(sim->process_count < PROCESSES_MAX);
	host->process = sim->process_count++;
	host->up = true;
	host->leaving = false;
	host->offset_ms = sim_random_below(sim, 1000000);
	process->host = index;
	process->started_ms = sim->now_ms;
	process->wall_ms = WALL_MS + sim->now_ms;
	if (sim->clock_skew)
		process->wall_ms += (int64_t)sim_random_below(sim, 8000) - 4000;
	process->owner = host->process;
	bw_keys_config_default(&config);
	sim_host_name(index, config.host);
	config.incarnation = 1000 + host->process;
	memset(config.secret, 7, sizeof(config.secret));
	config.chart = sim->chart;
	config.wall_ms = process->wall_ms;
	config.validity_ms = 6000;
	config.horizon_ms = 12000;
	config.bound_horizon_ms = 15000;
	config.handover_idle_timeout_ms = 2000;
	config.packet_bytes = 200 + sim_random_below(sim, 1000);
	if (sim->small_stores) {
		config.records_max = 6 + sim_random_below(sim, 20);
		config.responses_max_bytes = 400 + sim_random_below(sim, 2000);
		config.backup_records_max = 4 + sim_random_below(sim, 30);
		config.backup_records_per_owner_max =
			3 + sim_random_below(sim, 10);
		config.backup_responses_max_bytes =
			300 + sim_random_below(sim, 2000);
		config.backup_bytes_per_s = 2000;
	}
	assert_int_equal(bw_keys_init(&host->keys, &config,
				      sim_host_now(sim, index)),
			 BW_OK);
}

void sim_stop_host(struct sim *sim, uint32_t index, bool crash)
{
	struct host *host = &sim->hosts[index];
	struct bw_keys_counts *counts = &host->keys.counts;
	struct run *run;
	uint32_t i;

	sim->stats->crashes += crash;
	sim->stats->ready_unacknowledged += counts->ready_unacknowledged;
	sim->stats->dropped += counts->responses_dropped;
	bw_keys_finish(&host->keys);
	host->up = false;
	host->restart_ms = sim->now_ms + 100 + sim_random_below(sim, 1500);
	sim->processes[host->process].ended = true;
	for (i = sim->first_run; i < sim->run_count; i++) {
		run = &sim->runs[i];
		if (run->finished || run->process != host->process)
			continue;
		run->finished = true;
		/* A dispatched request may still be executed. */
		if (!run->dispatched)
			run->execute_ms = -1;
		sim->keys[run->key].ref = REF_UNKNOWN;
	}
}

void sim_new_key(struct sim *sim)
{
	struct test_key *key = &sim->keys[sim->key_count];
	uint32_t minter = sim_random_below(sim, HOSTS);
	uint32_t owner = sim_random_below(sim, HOSTS);
	struct host *host = &sim->hosts[minter];
	char name[BW_NAME_MAX];
	char caller_key[16];
	uint64_t incarnation = 1000 + sim->hosts[owner].process;
	int64_t wall_ms;
	uint8_t id[BW_KEYS_ID_BYTES];

	if (!host->up || sim->key_count == KEYS_MAX)
		return;
	memset(key, 0, sizeof(*key));
	sim_host_name(owner, name);
	wall_ms = bw_keys_wall_ms(&host->keys, sim_host_now(sim, minter));
	if (sim->clock_skew && sim_random_below(sim, 20) == 0)
		wall_ms += 20000;
	if (sim_random_below(sim, 5)) {
		assert_int_equal(bw_keys_mint(&host->keys, name, incarnation,
					      wall_ms, key->text),
				 BW_OK);
		assert_int_equal(bw_keys_parse(&host->keys, key->text, 0,
					       &key->key),
				 BW_OK);
	} else {
		snprintf(caller_key, sizeof(caller_key), "c%u", sim->key_count);
		assert_int_equal(bw_keys_hash_caller_key(&host->keys, "s",
							 caller_key, id),
				 BW_OK);
		assert_int_equal(bw_keys_from_binding(id, name, incarnation,
						      wall_ms + 8000,
						      &key->key),
				 BW_OK);
	}
	sim->key_count++;
}

void sim_choose_backup(struct sim *sim, uint32_t index)
{
	uint32_t other = sim_random_below(sim, HOSTS + 1);
	char name[BW_NAME_MAX] = "";

	if (other == index)
		return;
	if (other < HOSTS)
		sim_host_name(other, name);
	bw_keys_set_backup(&sim->hosts[index].keys, name,
			   other < HOSTS ? 1000 + sim->hosts[other].process : 0,
			   sim_host_now(sim, index));
}

void sim_seal(struct sim *sim, uint32_t index)
{
	uint32_t other = sim_random_below(sim, HOSTS);
	char name[BW_NAME_MAX];

	if (other == index || !sim->hosts[other].up)
		return;
	sim_host_name(other, name);
	bw_keys_seal(&sim->hosts[index].keys, name,
		     1000 + sim->hosts[other].process);
	if (!sim->hosts[index].leaving)
		sim->hosts[index].leave_deadline_ms =
			sim->now_ms + 500 + sim_random_below(sim, 4000);
	sim->hosts[index].leaving = true;
}
