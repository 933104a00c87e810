/**
 * @file
 * Deterministic group of replicas with a virtual clock, a faulty network and
 * memory disks. Every state that it passes through is checked against a naive
 * single-copy reference; the first violation is kept.
 */
#ifndef SIM_H
#define SIM_H

#include <stdbool.h>
#include <stdint.h>

#include "bwagree/replica.h"

#define SIM_HOSTS_MAX 18
#define SIM_INDEX_MAX 8192
#define SIM_SUBMISSIONS_MAX 2048
#define SIM_ERROR_BYTES 256
#define SIM_TICK_MS 50

/** One packet under way. */
struct sim_packet {
	int64_t at_ms;
	uint64_t order;
	int from;
	int to;
	uint8_t *data;
	uint32_t size_bytes;
};

/** One host. */
struct sim_host {
	char name[BW_NAME_MAX];
	struct bw_storage storage;
	struct bw_replica *replica; /**< NULL while it is down */
	int64_t tick_ms;
	uint64_t applied_index; /**< of this process */
	uint64_t revision; /**< of this process */
	uint32_t group_changes; /**< seen by this process */
};

/** What the reference knows of one log index. */
struct sim_applied {
	uint64_t term;
	uint64_t content; /**< hash of the command */
	uint64_t state; /**< hash of the state after it; 0 unknown */
	struct bw_outcome outcome;
};

/** One submission as its sender sees it. */
struct sim_submission {
	char id[BW_SUBMISSION_ID_MAX];
	uint64_t revision;
	uint8_t hash[BW_HASH_BYTES];
	bool answered;
	struct bw_outcome answer; /**< first answer given to the sender */
	bool reference_decided; /**< by the reference */
	struct bw_outcome first; /**< first outcome by the reference */
	/* newest proposal that is waiting for its answer */
	int host;
	uint64_t index;
	uint64_t term;
};

/** The group. */
struct sim {
	struct bw_chart chart;
	struct bw_random random;
	struct bw_replica_config config;
	char names[SIM_HOSTS_MAX][BW_NAME_MAX];
	struct sim_host hosts[SIM_HOSTS_MAX];
	int host_count;
	int64_t now_ms;
	uint64_t starts;

	struct sim_packet *packets; /**< binary heap by (at_ms, order) */
	uint32_t packet_count;
	uint32_t packet_capacity;
	uint64_t order;
	uint32_t drop_percent;
	uint32_t duplicate_percent;
	int64_t delay_min_ms;
	int64_t delay_max_ms;
	bool blocked[SIM_HOSTS_MAX][SIM_HOSTS_MAX]; /**< from, to */

	struct sim_applied *applied; /**< by index */
	uint64_t applied_max;
	struct bw_group group; /**< newest committed */
	uint64_t revision; /**< of the reference */
	uint8_t hash[BW_HASH_BYTES];
	struct sim_submission *submissions;
	uint32_t submission_count;
	uint64_t answered_revision; /**< highest answered as accepted */
	char error[SIM_ERROR_BYTES]; /**< first violation, or empty */

	uint64_t accepted_count;
	uint64_t leader_changes;
	uint64_t disks_lost;
	uint64_t crashes;
	uint64_t storage_failures;
	uint64_t snapshots_installed;
	uint64_t repeated_answers;
	uint64_t lease_checks; /**< states with a valid lease */
};

/** Prepares host_count hosts, a..., of which initial_count form the group. */
void sim_init(struct sim *sim, uint64_t seed, int host_count,
	      int initial_count);
void sim_finish(struct sim *sim);

/** Starts a host that is down. */
void sim_start(struct sim *sim, int host);
/** Ends a host's process; unsynced data is lost, or torn. */
void sim_crash(struct sim *sim, int host, bool torn);
/** Ends a host's process and empties its disk. */
void sim_lose_disk(struct sim *sim, int host);

/** Lets time pass. */
void sim_run(struct sim *sim, int64_t ms);

/** Returns the host that holds a valid lease, or -1. */
int sim_leader(const struct sim *sim);

/**
 * Submits to a host; a known id is sent again unchanged.
 * @return the submission, or NULL when the host is no leader
 */
struct sim_submission *sim_submit(struct sim *sim, int host, const char *id,
				  uint64_t revision, uint8_t content);

/** Returns hosts whose present disk is no voter of the committed group. */
int sim_missing_voters(const struct sim *sim, int voters_expected);

/** Returns whether all hosts run, agree and the first count are voters. */
bool sim_converged(const struct sim *sim, int count);

/** Checks at the end that no answer was lost. */
void sim_check_end(struct sim *sim);

#endif
