/**
 * @file
 * Simulation of hosts with a virtual clock and a faulty network, for the tests
 * of request keys.
 */
#ifndef KEYS_SIM_H
#define KEYS_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/random.h"
#include "bwsteer/keys.h"

#define HOSTS 5
#define KEYS_MAX 96
#define RUNS_MAX 4096
#define QUEUE_MAX 8192
#define PROCESSES_MAX 256
#define STEP_MS 10
#define SIMULATION_MS 24000
#define WALL_MS INT64_C(1796000000000)
#define BODY_MAX_BYTES 300

/* State of a key in the reference model. */
enum ref_state { REF_NEW, REF_RUNNING, REF_DONE, REF_UNKNOWN };

struct test_key {
	char text[BW_KEYS_TEXT_MAX]; /* "" for a key supplied by a caller */
	struct bw_key key;
	enum ref_state ref;
	uint8_t digest; /* of the run, valid unless REF_NEW */
	uint32_t executions;
	uint32_t run; /* index of the latest run */
	uint32_t body_bytes;
	bool kept;
	uint8_t body_seed;
};

struct run {
	uint32_t key;
	uint32_t process; /* index into processes */
	uint64_t handle; /* from bw_keys_begin */
	bool ready, dispatched, executed, finished, joined, notified;
	int64_t execute_ms; /* -1: never */
	int64_t finish_ms;
	int64_t begun_ms;
	enum bw_keys_outcome outcome;
};

/* One process of a host; its incarnation is its index + 1000. */
struct process {
	uint32_t host;
	int64_t started_ms;
	int64_t wall_ms; /* wall clock at start */
	uint32_t owner; /* process that owns its keys now */
	bool ended;
};

struct host {
	struct bw_keys keys;
	bool up, leaving;
	uint32_t process;
	int64_t offset_ms; /* of the monotonic clock */
	int64_t restart_ms; /* time of the next start while down */
	int64_t leave_deadline_ms;
};

struct delivery {
	int64_t due_ms;
	uint32_t host;
	bool is_attempt; /* an attempt of a request, not a packet */
	struct bw_packet packet;
	uint32_t key, hops; /* attempt */
	uint8_t digest;
};

struct stats {
	uint64_t decisions[BW_KEYS_DECISION_COUNT];
	uint64_t unknown[BW_KEYS_REASON_COUNT];
	uint64_t backup[BW_KEYS_DECISION_COUNT];
	uint64_t reported_not_run, reported_unknown, executions, crashes;
	uint64_t adopted, handed_over, ready_unacknowledged, dropped;
	uint64_t joins_ended, packets;
};

struct sim {
	uint64_t seed;
	struct bw_random random;
	int64_t now_ms;
	const struct bw_chart *chart;
	bool faults, crashes, small_stores, clock_skew;
	struct host hosts[HOSTS];
	struct process processes[PROCESSES_MAX];
	uint32_t process_count;
	struct test_key keys[KEYS_MAX];
	uint32_t key_count;
	struct run runs[RUNS_MAX];
	uint32_t run_count, first_run;
	struct delivery queue[QUEUE_MAX];
	uint32_t queue_count;
	uint32_t partition[HOSTS];
	int64_t heal_ms; /* end of the latest partition */
	struct bw_outbox out;
	struct stats *stats;
};

uint32_t sim_random_below(struct sim *sim, uint32_t bound);
struct bw_time sim_host_now(const struct sim *sim, uint32_t host);
int64_t sim_process_wall_ms(const struct sim *sim, uint32_t process);
bool sim_reachable(const struct sim *sim, uint32_t a, uint32_t b);
uint32_t sim_host_index(const char *name);
void sim_host_name(uint32_t host, char name[BW_NAME_MAX]);
struct delivery *sim_enqueue(struct sim *sim, uint32_t host, int64_t delay_ms);
void sim_enqueue_attempt(struct sim *sim, uint32_t host, uint32_t key,
			 uint8_t digest, uint32_t hops);
void sim_send(struct sim *sim, uint32_t from);
void sim_start_host(struct sim *sim, uint32_t index);
/* Stops a host; the outcomes of its unfinished runs become unknown. */
void sim_stop_host(struct sim *sim, uint32_t index, bool crash);
void sim_new_key(struct sim *sim);
/* Sets a random backup of a host, or none. */
void sim_choose_backup(struct sim *sim, uint32_t index);
/* Seals a host, with a random other host as successor if that one is up. */
void sim_seal(struct sim *sim, uint32_t index);

#endif
