/**
 * @file
 * Simulates hosts that run member, aggregator and distribute on a virtual
 * clock over a network with injected faults. A seed determines the whole run.
 */
#ifndef TEST_FLEET_H
#define TEST_FLEET_H

#include "bwmember/aggregator.h"
#include "bwmember/distribute.h"
#include "bwmember/member.h"

#define FLEET_HOSTS_MAX 260
#define FLEET_STEP_MS 10
#define FLEET_TICK_MS 50

/** Slots of one step each; bounds the delay of a packet. */
#define FLEET_RING_SLOTS 512

/** Wall clock time at virtual time 0. */
#define FLEET_WALL_MS 1700000000000

struct fleet_host {
	char name[BW_NAME_MAX];
	uint32_t domain;
	bool is_control;
	bool running;
	uint32_t group; /**< partition; packets pass only inside one */
	uint32_t blocked_peer; /**< index + 1 of an unreachable host; 0: none */
	uint64_t incarnation;
	int64_t start_wall_ms;
	uint32_t phase_ms; /**< offset of its ticks */
	uint64_t sent_bytes;
	uint64_t sent_packets;
	uint64_t channel_bytes[BW_CHANNEL_COUNT];
	struct bw_member member;
	struct bw_aggregator aggregator;
	struct bw_distribute distribute;
};

/** Packets that arrive in one step. */
struct fleet_slot {
	struct bw_packet *packets; /**< peer is the sender */
	uint32_t *targets; /**< index of the receiver of each packet */
	uint32_t count;
	uint32_t capacity;
};

struct fleet {
	struct bw_random random;
	struct bw_time now;
	struct fleet_host *hosts;
	uint32_t host_count;
	uint32_t domain_count;
	struct bw_member_seed seeds[16];
	uint32_t seed_count;
	bool member_only;
	uint32_t drop_percent;
	uint32_t duplicate_percent;
	uint32_t corrupt_per_mille;
	uint32_t delay_min_ms;
	uint32_t delay_max_ms;
	uint64_t ticks;
	struct fleet_slot ring[FLEET_RING_SLOTS];
	void (*after_event)(struct fleet *fleet, uint32_t host);
	/** Called for each packet before it is sent; false drops it. */
	bool (*filter)(struct fleet *fleet, uint32_t from, uint32_t to,
		       const struct bw_packet *packet);
	void *context;
};

/** Initialises a fleet without hosts. */
void fleet_init(struct fleet *fleet, uint64_t seed, uint32_t domain_count);
void fleet_finish(struct fleet *fleet);

/** Adds a stopped host; returns its index. */
uint32_t fleet_add(struct fleet *fleet, uint32_t domain, bool is_control,
		   bool is_seed);

/** Starts a host as a new incarnation; skew_ms shifts its wall clock. */
void fleet_start(struct fleet *fleet, uint32_t host, int64_t skew_ms);

/** Stops a host without a leave. */
void fleet_crash(struct fleet *fleet, uint32_t host);

/** Returns whether packets pass from a to b. */
bool fleet_reaches(const struct fleet *fleet, uint32_t a, uint32_t b);

/** Removes all partitions and network faults. */
void fleet_clear_faults(struct fleet *fleet);

/** Advances the virtual clock, with deliveries and ticks. */
void fleet_run(struct fleet *fleet, int64_t ms);

/** Finds a host by name; FLEET_HOSTS_MAX if there is none. */
uint32_t fleet_find(const struct fleet *fleet, const char *name);

/** Reads the number of seeds from BW_SEEDS; default_value without it. */
uint64_t fleet_seed_count(uint64_t default_value);

/** Reads the first seed from BW_FIRST_SEED; 1 without it. */
uint64_t fleet_first_seed(void);

/**
 * Compares the views of all running hosts with the set of running hosts.
 * @return whether they match; otherwise text describes the first difference
 */
bool fleet_has_converged(struct fleet *fleet, char text[256]);

#endif
