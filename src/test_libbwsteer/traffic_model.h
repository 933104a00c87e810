/**
 * @file
 * State of the traffic model, shared by its source files.
 */
#ifndef TRAFFIC_MODEL_H
#define TRAFFIC_MODEL_H

#include "bwsteer/admission.h"
#include "bwsteer/backend.h"
#include "bwsteer/poison.h"
#include "bwsteer/retry.h"
#include "traffic.h"

#define SERVICE "certdesk"
#define SERVERS 6
#define SLOTS_PER_SERVER 3
#define DURATION_MS 8000
#define FLOOD_START_MS 2000
#define FLOOD_END_MS 6000
#define REQUESTS_MAX 65536
#define ATTEMPTS_MAX 256
#define LOOKUP_KEYS 200
#define RETRIES_MAX 2
#define BASELINE_RETRIES_MAX 10

struct request {
	uint32_t rank;
	uint32_t key; /* of the fingerprint; 0: poison request */
	bool idempotent;
	struct bw_time arrival;
	struct bw_time deadline;
	struct bw_time due; /* time of the next offer while waiting */
	uint32_t service_ms;
	uint32_t attempts;
	uint32_t executed; /* attempts that ran on a server */
	bool queued;
	bool refused; /* reported to the caller as not run */
	bool waiting; /* for the next offer after a retry delay */
	uint64_t exclude; /* handle of the last server; 0: none */
};

struct server {
	char id[BW_NAME_MAX];
	uint64_t incarnation;
	bool up;
	bool crashing;
	struct bw_time crash_at;
	struct bw_time restart_at;
	struct bw_time slot_free[SLOTS_PER_SERVER];
	uint32_t in_flight;
	uint32_t served; /* requests since the start; sets the warm-up */
	uint32_t slowdown; /* factor of the service time */
	bool fails_fast;
	bool draining;
};

struct attempt {
	uint32_t request;
	uint32_t server;
	uint64_t incarnation;
	uint64_t handle;
	uint32_t in_flight; /* on the server, with this attempt */
	struct bw_time start;
	struct bw_time end;
	enum bw_backend_outcome outcome;
};

struct model {
	enum traffic_scenario scenario;
	uint64_t seed;
	bool baseline;
	struct traffic_result *result;
	struct bw_random random; /* arrivals; the same for the baseline */
	struct bw_random choices; /* all other random decisions */
	struct bw_time now;
	struct bw_time begin; /* of the arrivals */
	struct request *requests;
	uint32_t requests_count;
	uint32_t retry_scan_start; /* first request that may still be retried */
	struct attempt attempts[ATTEMPTS_MAX];
	uint32_t attempts_count;
	struct server servers[SERVERS];
	struct bw_backend_table table;
	struct bw_admission admission;
	struct bw_retry retry;
	struct bw_poison poison;
	uint32_t service;
	uint32_t *fifo; /* queue of the baseline */
	uint32_t fifo_head;
	uint32_t fifo_tail;
	uint32_t cursor; /* round-robin position of the baseline */
	uint32_t queued[TRAFFIC_RANKS];
	uint32_t grants[TRAFFIC_RANKS]; /* all, while the rank waits */
	uint32_t own_grants[TRAFFIC_RANKS]; /* to the rank, meanwhile */
	uint32_t grants_before_urgent; /* while rank 0 waits */
	bool harmless_rejected[LOOKUP_KEYS + 1];
	uint64_t crashes;
	uint64_t retries;
	uint64_t first_attempts;
};

/** Fails the test if an invariant is violated, except for the baseline. */
void traffic_check_invariant(const struct model *model, bool holds,
			     const char *invariant);

/** Starts a server and announces it. */
void traffic_announce(struct model *model, uint32_t index);

/** Sends the heartbeats of this millisecond, unless the scenario drops them. */
void traffic_heartbeats(struct model *model);

/** Injects the faults of this millisecond. */
void traffic_faults(struct model *model);

/** Stops a server and closes the connections of its requests. */
void traffic_crash(struct model *model, uint32_t index);

/** Sets the end and outcome of an attempt that reaches its server now. */
void traffic_serve(struct model *model, struct attempt *attempt);

/** Returns whether the outcome proves that the attempt did not run. */
bool traffic_is_not_run(const struct attempt *attempt);

#endif
