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
#define SLOTS 3
#define DURATION_MS 8000
#define FLOOD_FROM_MS 2000
#define FLOOD_TO_MS 6000
#define REQUESTS_MAX 65536
#define ATTEMPTS_MAX 256
#define INNOCENT_KEYS 200
#define RETRIES_MAX 2
#define NAIVE_RETRIES_MAX 10

struct request {
	uint32_t rank;
	uint32_t key; /* 0: poison; fingerprint otherwise */
	bool idempotent;
	struct bw_time arrival;
	struct bw_time deadline;
	struct bw_time due; /* of the next offer */
	uint32_t service_ms;
	uint32_t attempts;
	uint32_t executed; /* runs that a server began */
	bool queued;
	bool refused; /* told that it was not run */
	bool waiting; /* for its retry delay */
	uint64_t exclude;
};

struct server {
	char id[BW_NAME_MAX];
	uint64_t incarnation;
	bool up;
	bool crashing;
	struct bw_time crash_at;
	struct bw_time restart_at;
	struct bw_time slot_free[SLOTS];
	uint32_t in_flight;
	uint32_t served;
	uint32_t slow;
	bool fails_fast;
	bool draining;
};

struct attempt {
	uint32_t request;
	uint32_t server;
	uint64_t incarnation;
	uint64_t handle;
	uint32_t in_flight;
	struct bw_time start;
	struct bw_time end;
	enum bw_backend_outcome outcome;
};

struct model {
	enum traffic_scenario scenario;
	uint64_t seed;
	bool naive;
	struct traffic_result *result;
	struct bw_random random; /* arrivals; equal for both versions */
	struct bw_random choices; /* of the version */
	struct bw_time now;
	struct bw_time begin;
	struct request *requests;
	uint32_t requests_count;
	uint32_t retry_from;
	struct attempt attempts[ATTEMPTS_MAX];
	uint32_t attempts_count;
	struct server servers[SERVERS];
	struct bw_backend_table table;
	struct bw_admission admission;
	struct bw_retry retry;
	struct bw_poison poison;
	uint32_t service;
	uint32_t *fifo;
	uint32_t fifo_head;
	uint32_t fifo_tail;
	uint32_t cursor;
	uint32_t queued[TRAFFIC_RANKS];
	uint32_t grants[TRAFFIC_RANKS]; /* while the rank waits */
	uint32_t own_grants[TRAFFIC_RANKS];
	uint32_t overtakes; /* grants to others while urgent waits */
	bool innocent_rejected[INNOCENT_KEYS + 1];
	uint64_t crashes;
	uint64_t retries;
	uint64_t firsts;
};

/** Fails the test when a rule is broken, except for the naive version. */
void traffic_check(const struct model *model, bool holds, const char *rule);

/** Starts a server and announces it. */
void traffic_announce(struct model *model, uint32_t index);

/** Sends the heartbeats of this millisecond, as the scenario allows. */
void traffic_heartbeats(struct model *model);

/** Carries out the faults of this millisecond. */
void traffic_faults(struct model *model);

/** Stops a server and breaks the connections of its requests. */
void traffic_crash(struct model *model, uint32_t index);

/** Decides what the server does with a request that reaches it now. */
void traffic_serve(struct model *model, struct attempt *attempt);

/** Returns whether the attempt certainly did not run. */
bool traffic_is_not_run(const struct attempt *attempt);

#endif
