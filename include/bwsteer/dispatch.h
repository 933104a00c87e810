/**
 * @file
 * Queueing, rejection and placement of requests on one entry host. The module
 * answers the load in which a service has fewer free slots than requests:
 * requests that can still be on time go first, by rank and arrival; late ones
 * use what is left; a request that cannot be answered before its deadline is
 * rejected at once. Objects are placed by rendezvous hashing, so that all
 * hosts send an object to the same few backend servers, where it is warm.
 * The module has no clock and no sockets.
 */
#ifndef BWSTEER_DISPATCH_H
#define BWSTEER_DISPATCH_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "bwbase/clock.h"
#include "bwbase/random.h"
#include "bwsteer/registry.h"
#include "bwsteer/routing.h"
#include "bwsteer/spread.h"

/** Most backend servers that one request excludes. */
#define BW_JOB_TRIED_MAX 4

/** How far a backend server is from this host. */
enum bw_distance {
	BW_DISTANCE_DOMAIN, /**< same failure domain */
	BW_DISTANCE_REGION, /**< same region */
	BW_DISTANCE_FAR, /**< another region */
	BW_DISTANCE_COUNT
};

/** Stable names of enum bw_distance. */
extern const char *const bw_distance_string[BW_DISTANCE_COUNT];

/** Smoothed response times of a service at one distance. */
struct bw_dispatch_times {
	double warm_ms; /**< of objects that ran there before; 0 unknown */
	double cold_ms; /**< of other objects; 0 unknown */
};

/** A service as this host uses it. */
struct bw_dispatch_service {
	char name[BW_SERVER_TEXT_MAX];
	struct bw_dispatch_times times[BW_DISTANCE_COUNT];
	GQueue waiting; /**< struct bw_job, by rank and arrival */
	GPtrArray *targets; /**< struct bw_target */
	uint32_t target_latency_ms; /**< least one of its routes; 0 unknown */
	double work_ms; /**< smoothed time of answers that had no queue at their
			     server; 0 unknown */
	double completions_per_s; /**< smoothed */
	struct bw_time rate_at;
	uint32_t rate_count; /**< completions since rate_at */
	struct bw_time review_at; /**< next estimate for waiting jobs */
	uint32_t reviewed; /**< jobs without a home, seen by the review */
	uint32_t in_flight;
	double arrivals_per_s; /**< at this host, smoothed */
	uint32_t arrival_count; /**< since arrivals_at */
	uint32_t arrival_windows; /**< since the first arrival */
	struct bw_time arrivals_at;
	double demand_per_s[BW_SPREAD_DOMAINS_MAX]; /**< by domain, reported */
	double demand_held[BW_SPREAD_DOMAINS_MAX]; /**< falls slowly */
	struct bw_time held_at;
	double cold_requests_per_s; /**< that a cold server bears */
};

/** A backend server as this host uses it. */
struct bw_target {
	char id[BW_SERVER_ID_MAX];
	char address[BW_SERVER_TEXT_MAX];
	uint64_t id_hash;
	int64_t started_wall_ms;
	struct bw_dispatch_service *service;
	enum bw_distance distance;
	uint32_t region; /**< index of its region; see bw_job.regions */
	uint32_t slots;
	uint32_t in_flight; /**< requests of this host */
	uint32_t waiting; /**< jobs in the queue that are placed there */
	uint32_t reviewed; /**< of them, seen by the review in progress */
	double fraction; /**< of the requests of this host's domain, planned */
	double planned; /**< part towards which it moves */
	double correction; /**< of the part, by the load that it shows */
	struct bw_time adapted; /**< last change of part and correction */
	uint32_t place; /**< index of its failure domain */
	uint32_t peers; /**< other hosts of the failure domain of this one */
	double other_requests; /**< smoothed requests of other hosts, as
				  reported */
	struct bw_time reported_at; /**< last report, direct or passed on */
	struct bw_time seen; /**< last report in an answer to this host */
	uint32_t reported_requests; /**< requests in that report */
	bool load_report_pending; /**< it was not yet passed on */
	double slowness; /**< smoothed response time over the expected one */
	double failure_rate; /**< smoothed share of failed requests */
	uint32_t consecutive_failures;
	struct bw_time failed_at; /**< latest failure */
	struct bw_time ejected_until;
	struct bw_time cold_until;
	double cold_tokens;
	struct bw_time cold_refilled;
	bool accepts; /**< may get new requests */
	bool present; /**< named in the update in progress */
	uint32_t references; /**< jobs in flight keep a removed target */
	bool removed;
};

/** Reasons of a rejection. */
enum bw_reject {
	BW_REJECT_NONE,
	BW_REJECT_NO_SERVER, /**< no backend server may get the request */
	BW_REJECT_OVERLOAD, /**< the wait would exceed the deadline, as
				 estimated on arrival or while it waited */
	BW_REJECT_DEADLINE, /**< the deadline came while it waited */
	BW_REJECT_CRASHES, /**< requests like it crashed backend servers */
	BW_REJECT_COUNT
};

/** Stable names of enum bw_reject. */
extern const char *const bw_reject_string[BW_REJECT_COUNT];

/** One request; owned by the caller. */
struct bw_job {
	void *owner;
	struct bw_dispatch_service *service;
	uint32_t rank;
	uint64_t object; /**< hash of the object; 0 when it has none */
	uint32_t regions; /**< bit set of allowed regions; 0 means any */
	struct bw_time arrived;
	struct bw_time objective; /**< an answer by then is on time */
	struct bw_time deadline; /**< an answer after it is useless */
	uint64_t tried[BW_JOB_TRIED_MAX]; /**< id hashes to avoid */
	uint32_t tried_count;
	bool queued;
	bool hopeless; /**< its turn comes after its deadline */
	struct bw_target *home; /**< where its object belongs; may be NULL */
	struct bw_target *target; /**< set while it is in flight */
	struct bw_time sent;
	bool warm; /**< the object was expected to be warm */
	double expected_ms; /**< response time that was expected */
};

/** What became of a job. */
enum bw_verdict {
	BW_VERDICT_SEND, /**< job->target is set */
	BW_VERDICT_WAIT, /**< it waits in the queue */
	BW_VERDICT_REJECT
};

/** Result of one request as the backend server or the network gave it. */
enum bw_job_result {
	BW_JOB_ANSWERED, /**< a useful answer */
	BW_JOB_FAILED, /**< an error of the server, or the connection broke */
	BW_JOB_REFUSED, /**< the server did not run it */
	BW_JOB_UNREACHABLE, /**< no connection */
	BW_JOB_CANCELLED /**< given up by this host or the client */
};

/** Load that a backend server reports. */
struct bw_load_report {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
};

/** Rejection of one job. */
struct bw_rejection {
	enum bw_reject reason;
	uint32_t retry_after_ms; /**< when there may be room */
};

/** Most regions; the last index stands for unknown ones. */
#define BW_REGIONS_MAX 32

/** Requests that run in one region. */
struct bw_region_use {
	uint32_t count; /**< in the present window */
	double share; /**< in the window before */
	double smoothed; /**< share over several windows */
};

/** State of the module. */
struct bw_dispatch {
	GHashTable *services; /**< name -> struct bw_dispatch_service */
	GHashTable *targets; /**< id hash -> struct bw_target */
	uint32_t *warm_at; /**< time of the last use, by object and server */
	struct bw_random random;
	uint32_t peer_count; /**< hosts of the failure domain with this one; 0
				  unknown */
	uint32_t own_domain; /**< index of the failure domain of this host */
	uint32_t domain_count;
	uint32_t domain_region[BW_SPREAD_DOMAINS_MAX];
	uint32_t own_region; /**< index of the region of this host */
	struct bw_region_use regions[BW_REGIONS_MAX];
	double region_step_max; /**< most that a share moves in one window */
	uint32_t region_window_ms;
	struct bw_time region_window_at;
	uint32_t region_total; /**< requests of the present window */
	bool regions_known; /**< a window has passed since the start */
	uint32_t cold_hosts_max; /**< hosts that share one cold server */
};

/** What the update says of one backend server. */
struct bw_target_update {
	const struct bw_server *server;
	enum bw_distance distance;
	uint32_t region;
	uint32_t domain; /**< index of its failure domain */
	bool accepts;
	bool cold_allowed; /**< this host may use the server while it is cold */
};

/** Initialises the module. */
void bw_dispatch_init(struct bw_dispatch *dispatch, uint64_t seed);

/** Frees the module. No job may be queued or in flight. */
void bw_dispatch_finish(struct bw_dispatch *dispatch);

/** Returns the smoothed rate of requests for a service at this host. */
double bw_dispatch_arrivals_per_s(struct bw_dispatch_service *service,
				  struct bw_time now);

/** Finds or adds a service. */
struct bw_dispatch_service *bw_dispatch_service(struct bw_dispatch *dispatch,
						const char *name);

/** Begins an update that names every known backend server. */
void bw_dispatch_begin_update(struct bw_dispatch *dispatch);

/** Adds or changes a backend server. */
void bw_dispatch_update(struct bw_dispatch *dispatch,
			const struct bw_target_update *update,
			struct bw_time now);

/**
 * Ends an update; servers that were not named are removed. The parts of the
 * others move towards the spread of the demand over all failure domains.
 */
void bw_dispatch_end_update(struct bw_dispatch *dispatch, struct bw_time now);

/**
 * Places a new job, or one that was refused elsewhere.
 * @param rejection filled for BW_VERDICT_REJECT
 */
enum bw_verdict bw_dispatch_offer(struct bw_dispatch *dispatch,
				  struct bw_job *job, struct bw_time now,
				  struct bw_rejection *rejection);

/**
 * Takes the next waiting job of any service that can be placed or has to be
 * rejected. Called until it returns NULL, after every change and every tick.
 */
struct bw_job *bw_dispatch_next(struct bw_dispatch *dispatch,
				struct bw_time now, enum bw_verdict *verdict,
				struct bw_rejection *rejection);

/** Records that a job was sent to job->target. */
void bw_dispatch_sent(struct bw_dispatch *dispatch, struct bw_job *job,
		      struct bw_time now);

/** Records the end of a job in flight. @param load may be NULL */
void bw_dispatch_ended(struct bw_dispatch *dispatch, struct bw_job *job,
		       enum bw_job_result result,
		       const struct bw_load_report *load, struct bw_time now);

/**
 * Records the load of a server that another host saw. Reports that this host
 * got itself lately go first.
 */
void bw_dispatch_note_load(struct bw_dispatch *dispatch, uint64_t id_hash,
			   uint32_t busy, struct bw_time now);

/** Removes a waiting job. */
void bw_dispatch_remove(struct bw_dispatch *dispatch, struct bw_job *job);

/** Returns the hash of an object of a service; never 0. */
uint64_t bw_dispatch_object_hash(const char *service, const char *key);

/** Returns the number of waiting jobs of all services. */
uint32_t bw_dispatch_waiting(const struct bw_dispatch *dispatch);

/** Writes services and targets for a state dump. */
void bw_dispatch_dump(const struct bw_dispatch *dispatch, struct bw_time now,
		      json_t *into);

#endif
