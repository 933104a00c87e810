/**
 * @file
 * Deterministic simulator of a replica group with a virtual clock, a faulty
 * network and in-memory disks. Every applied entry and state is checked against
 * a simple reference model with one copy; the first violation is recorded.
 */
#ifndef SIM_H
#define SIM_H

#include <stdbool.h>
#include <stdint.h>

#include "bwagree/replica.h"

#define SIM_HOSTS_MAX 60
#define SIM_INDEX_MAX 8192
#define SIM_SUBMISSIONS_MAX 2048
#define SIM_ERROR_BYTES 256
#define SIM_TICK_MS 50

/** A packet in flight. */
struct sim_packet {
	int64_t deliver_ms;
	uint64_t sequence; /**< breaks ties of deliver_ms */
	int from;
	int to;
	uint8_t *data;
	uint32_t size_bytes;
};

/** A simulated host. */
struct sim_host {
	char name[BW_NAME_MAX];
	struct bw_storage storage;
	struct bw_replica *replica; /**< NULL while the host is down */
	int64_t next_tick_ms;
	uint64_t applied_index; /**< last one reported since the start */
	uint64_t revision; /**< last one reported since the start */
	uint32_t group_changes; /**< member changes reported */
};

/** Reference for one log index. */
struct sim_applied {
	uint64_t term;
	uint64_t command_hash;
	uint64_t state_hash; /**< after this index; 0 unknown */
	struct bw_outcome outcome;
};

/** A submission and the answers to its sender. */
struct sim_submission {
	char id[BW_SUBMISSION_ID_MAX];
	uint64_t revision;
	uint8_t hash[BW_HASH_BYTES];
	bool answered;
	struct bw_outcome answer; /**< newest answer to the sender */
	bool reference_decided;
	struct bw_outcome reference_outcome;
	/* newest proposal */
	int host;
	uint64_t index;
	uint64_t term;
};

/** The simulated group. */
struct sim {
	struct bw_chart chart;
	struct bw_random random;
	struct bw_replica_config config;
	char names[SIM_HOSTS_MAX][BW_NAME_MAX];
	struct sim_host hosts[SIM_HOSTS_MAX];
	int host_count;
	int64_t now_ms;
	uint64_t starts;

	struct sim_packet *packets; /**< heap by deliver_ms, sequence */
	uint32_t packet_count;
	uint32_t packet_capacity;
	uint64_t sequence;
	uint32_t drop_percent;
	uint32_t duplicate_percent;
	int64_t delay_min_ms;
	int64_t delay_max_ms;
	bool blocked[SIM_HOSTS_MAX][SIM_HOSTS_MAX]; /**< [from][to] */

	struct sim_applied *applied; /**< by log index */
	uint64_t applied_max;
	struct bw_group group; /**< newest committed */
	uint64_t revision; /**< of the reference */
	uint8_t hash[BW_HASH_BYTES];
	struct sim_submission *submissions;
	uint32_t submission_count;
	uint64_t answered_revision; /**< highest acknowledged as accepted */
	char error[SIM_ERROR_BYTES]; /**< first violation, or empty */

	uint64_t accepted_count;
	uint64_t leader_changes;
	uint64_t disks_lost;
	uint64_t crashes;
	uint64_t storage_failures;
	uint64_t storage_reopened; /**< without a restart */
	uint64_t snapshots_installed;
	uint64_t repeated_answers;
	uint64_t lease_checks; /**< checks that found a valid lease */
};

/** Creates hosts a, b, ..., A, B, ...; the first initial_count form the group.
 */
void sim_init(struct sim *sim, uint64_t seed, int host_count,
	      int initial_count);
void sim_finish(struct sim *sim);

/** Starts a host that is down. */
void sim_start(struct sim *sim, int host);
/** Crashes a host; unsynced data is lost, or partly written if torn. */
void sim_crash(struct sim *sim, int host, bool torn);
/** Crashes a host and erases its disk. */
void sim_lose_disk(struct sim *sim, int host);

/** Advances the virtual clock in steps of 1 ms. */
void sim_run(struct sim *sim, int64_t ms);

/** Returns the index of the host with a valid lease, or -1. */
int sim_leader(const struct sim *sim);

/**
 * Submits to a host; a known id is resent with its first content.
 * @return the submission, or NULL when the host does not accept the proposal
 */
struct sim_submission *sim_submit(struct sim *sim, int host, const char *id,
				  uint64_t revision, uint8_t content);

/** Returns how many of the expected voters are missing from the group. */
int sim_missing_voters(const struct sim *sim, int voters_expected);

/**
 * Returns whether a lease is valid, count hosts are voters, and all hosts run
 * and have applied the same entries.
 */
bool sim_converged(const struct sim *sim, int count);

/** Checks after convergence that no answer was lost or changed. */
void sim_check_end(struct sim *sim);

#endif
