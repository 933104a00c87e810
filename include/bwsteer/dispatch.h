/**
 * @file
 * Queueing, load shedding and placement of requests on one entry host. It
 * handles overload, when a service has fewer free slots than requests: requests
 * that can still meet their latency objective go first, by rank and arrival;
 * late ones use the remaining slots; a request that cannot be answered before
 * its deadline is rejected at once. Requests for an object are placed by
 * weighted rendezvous hashing, so that all hosts send an object to the same few
 * backend servers, which have it in memory (warm). Jobs with customers of one
 * rank are ordered by the shares of their customers (bwcustomer/fair_share.h),
 * so that the load of one leaves room for the others. The module reads no clock
 * and opens no sockets.
 */
#ifndef BWSTEER_DISPATCH_H
#define BWSTEER_DISPATCH_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "bwbase/clock.h"
#include "bwbase/random.h"
#include "bwcustomer/fair_share.h"
#include "bwsteer/registry.h"
#include "bwsteer/server_limit.h"
#include "bwsteer/server_notice.h"
#include "bwsteer/routing.h"
#include "bwsteer/spread.h"
#include "bwwork/speed.h"
#include "bwwork/work.h"

/** Maximum number of backend servers that are considered for one object. */
#define BW_JOB_CANDIDATES_MAX 3

/** Maximum number of backend servers that one request excludes. */
#define BW_JOB_TRIED_MAX 4

/** How far a backend server is from this host. */
enum bw_distance {
	BW_DISTANCE_DOMAIN, /**< same failure domain */
	BW_DISTANCE_REGION, /**< same region */
	BW_DISTANCE_FAR, /**< another region */
	BW_DISTANCE_COUNT
};

/** Texts of enum bw_distance, which appear in output. */
extern const char *const bw_distance_string[BW_DISTANCE_COUNT];

/** Smoothed response times of a service at one distance. */
struct bw_dispatch_times {
	double warm_ms; /**< for objects that ran there recently; 0 if unknown
			 */
	double cold_ms; /**< for other objects; 0 if unknown */
};

/** A service as this host uses it. */
struct bw_dispatch_service {
	char name[BW_SERVER_TEXT_MAX];
	struct bw_dispatch_times times[BW_DISTANCE_COUNT];
	GQueue waiting; /**< struct bw_job, by rank, share of the customer and
			   arrival */
	GPtrArray *targets; /**< struct bw_target */
	uint32_t target_latency_ms; /**< lowest of its routes; 0 if unknown */
	double service_time_ms; /**< smoothed response time of requests that did
				   not queue at the server; 0 if unknown */
	double completions_per_s; /**< smoothed */
	struct bw_time rate_window_start;
	uint32_t rate_window_count; /**< completions in the current window */
	struct bw_time
		next_wait_check; /**< time of the next check whether waiting
				    jobs can meet their deadlines */
	uint32_t wait_check_count; /**< jobs without a home that the current
				      check has counted */
	uint32_t in_flight;
	bool tells_speed; /**< its servers say how long work takes there at this
			     moment; requests are then placed by their expected
			     end */
	double mean_load; /**< smoothed number of requests of all hosts at a
			     server, divided by its slots, from reports */
	double arrivals_per_s; /**< at this host, smoothed */
	uint32_t arrival_count; /**< arrivals in the current window */
	uint32_t arrival_windows; /**< windows since the first arrival */
	struct bw_time arrival_window_start;
	double demand_per_s[BW_SPREAD_DOMAINS_MAX]; /**< reported arrival rate
						       of each failure domain */
	double planned_demand_per_s
		[BW_SPREAD_DOMAINS_MAX]; /**< demand_per_s with a bounded rate
					    of decrease, used for planning */
	struct bw_time planned_demand_at;
	struct bw_time learning_until; /**< until then the fractions follow the
					  plan without steps */
	uint32_t cold_start_ms; /**< warm-up time of a server */
	double cold_requests_per_s; /**< maximum request rate of a cold server;
				       0 if unlimited */
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
	uint32_t wait_check_count; /**< waiting jobs that the current check has
				      counted */
	double fraction; /**< fraction of the requests of this host's failure
			    domain that go to this server; negative until it is
			    set */
	double planned_fraction; /**< fraction according to the plan; the
				    fraction approaches it */
	double correction; /**< factor on the fraction that corrects for the
			      observed load */
	struct bw_time
		adapted_at; /**< last update of fraction and correction */
	uint32_t domain; /**< index of its failure domain */
	uint32_t peer_hosts; /**< other hosts in the failure domain of this host
			      */
	double other_requests; /**< smoothed number of requests of other hosts
				  at this server, from load reports */
	struct bw_time reported_at; /**< last load report, from the server or
				       another host */
	struct bw_time direct_report_at; /**< last load report in an answer to
					    this host */
	uint32_t reported_requests; /**< running and waiting requests in that
				       report */
	bool load_report_pending; /**< the report was not yet sent to other
				     hosts */
	double slowness; /**< smoothed ratio of measured to average response
			    time */
	struct bw_speed speed; /**< used when its service tells its speed */
	struct bw_time unreadable_logged_at; /**< last log line about a speed
						that could not be read */
	double failure_rate; /**< smoothed fraction of failed requests */
	uint32_t consecutive_failures;
	struct bw_time failed_at; /**< latest failure */
	struct bw_time ejected_until;
	struct bw_time cold_until; /**< the server is cold until then */
	double cold_tokens; /**< token bucket of this host for a cold server;
			       one request takes one token */
	struct bw_time cold_refilled; /**< last refill of cold_tokens */
	struct bw_server_limit limit; /**< named by the server */
	struct bw_server_notice notice; /**< what it said in answers */
	bool accepts; /**< may get new requests */
	bool in_update; /**< included in the update in progress */
	uint32_t references; /**< number of jobs that use this target; a removed
				target is freed when it reaches 0 */
	bool removed;
};

/** Reasons of a rejection. */
enum bw_reject {
	BW_REJECT_NONE,
	BW_REJECT_NO_SERVER, /**< no backend server may get the request */
	BW_REJECT_OVERLOAD, /**< the expected wait exceeds the deadline, on
			       arrival or while the request waits */
	BW_REJECT_DEADLINE, /**< the deadline passed while the request waited */
	BW_REJECT_CRASHES, /**< similar requests crashed backend servers */
	BW_REJECT_PAUSED, /**< all backend servers want no requests until after
			       its deadline */
	BW_REJECT_LEAVING, /**< all backend servers that may get the request
			      have said that they leave */
	BW_REJECT_LIMITED, /**< as BW_REJECT_OVERLOAD, while all backend servers
			      are at the limits that they named */
	BW_REJECT_BEHIND, /**< its route has been changed or removed by a
			     configuration that is not here yet */
	BW_REJECT_NO_ROUTE, /**< its route was removed while it waited */
	BW_REJECT_NO_KEY, /**< its key was withdrawn while it waited */
	BW_REJECT_STOPPING, /**< the host stops before the response could
			       arrive */
	BW_REJECT_SHARE, /**< as BW_REJECT_OVERLOAD, for a customer beyond its
			    share of the room */
	BW_REJECT_COUNT
};

/** Texts of enum bw_reject, which appear in output. */
extern const char *const bw_reject_string[BW_REJECT_COUNT];

/** In bw_job.regions: no region is allowed. */
#define BW_REGIONS_NONE (1ULL << 63)

/** One request; owned by the caller. */
struct bw_job {
	void *owner;
	struct bw_dispatch_service *service;
	uint32_t rank;
	uint64_t object; /**< hash of the object; 0 when it has none */
	uint64_t regions; /**< bit set of allowed regions; 0 means any */
	uint64_t customer_hash; /**< 0: none */
	struct bw_fair_ticket share; /**< position among its rank */
	struct bw_time arrived;
	struct bw_time
		objective; /**< an answer by then meets the latency objective */
	struct bw_time deadline; /**< an answer after this time is of no use */
	uint64_t tried[BW_JOB_TRIED_MAX]; /**< id hashes to avoid */
	uint32_t tried_count;
	bool queued;
	bool misses_deadline; /**< it is not expected to run before its deadline
			       */
	struct bw_target
		*home; /**< preferred server of its object; NULL if none */
	uint64_t candidates[BW_JOB_CANDIDATES_MAX]; /**< id hashes of the
						       servers that its object
						       prefers, best first */
	uint32_t candidate_count;
	struct bw_time candidates_at; /**< when they were found */
	uint64_t work_key; /**< hash of its route and service; 0: unknown */
	enum bw_familiarity familiarity; /**< of the server with its object */
	struct bw_target *target; /**< server to which it was assigned; NULL
				     while it waits */
	struct bw_time sent;
	bool warm; /**< the object was expected to be warm */
	double expected_ms; /**< response time that was expected */
	double time_told; /**< factor on its time by what the server had said;
			     0: not known */
	double expected_wait_ms; /**< part of it before the server begins the
				    work; 0 unless its service tells its speed
				    */
};

/** Placement decision for a job. */
enum bw_verdict {
	BW_VERDICT_SEND, /**< send it to job->target */
	BW_VERDICT_WAIT, /**< it was added to the queue */
	BW_VERDICT_REJECT
};

/** Result of one request as seen by this host. */
enum bw_job_result {
	BW_JOB_ANSWERED, /**< a useful answer */
	BW_JOB_FAILED, /**< server error or broken connection */
	BW_JOB_EXPIRED, /**< the server answered that the deadline has passed */
	BW_JOB_REFUSED, /**< the server rejected it without running it */
	BW_JOB_UNREACHABLE, /**< no connection */
	BW_JOB_CANCELLED /**< cancelled by this host or the client */
};

/** Load that a backend server reports. */
struct bw_load_report {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t time_percent; /**< time that work takes there at this moment,
				  100: as usual; 0: not told */
	bool time_unreadable; /**< it was told and could not be read */
};

/** Rejection of one job. */
struct bw_rejection {
	enum bw_reject reason;
	uint32_t retry_after_ms; /**< delay after which the client should retry
				  */
};

/** Maximum number of regions; the last index stands for unknown regions. */
#define BW_REGIONS_MAX 32

/** Requests that this host sent to one region. */
struct bw_region_use {
	uint32_t count; /**< requests in the current window */
	double share; /**< fraction of all requests in the previous window */
	double smoothed_share; /**< exponential moving average of share */
};

/** State of the dispatcher. */
struct bw_dispatch {
	GHashTable *services; /**< name -> struct bw_dispatch_service */
	GHashTable *targets; /**< id hash -> struct bw_target */
	uint32_t *warm_at; /**< milliseconds of the last use, by hash of object
			      and server; 0 if never */
	struct bw_work work; /**< of the routes, where servers tell their speed
			      */
	struct bw_random random;
	struct bw_fair_shares shares; /**< of customers in the room */
	uint32_t peer_count; /**< hosts in this failure domain including this
				one; 0 if unknown */
	uint32_t host_count; /**< hosts in all domains; 0 if unknown */
	uint32_t own_domain; /**< index of the failure domain of this host */
	uint32_t domain_count;
	uint32_t domain_region[BW_SPREAD_DOMAINS_MAX];
	uint32_t own_region; /**< index of the region of this host */
	struct bw_region_use regions[BW_REGIONS_MAX];
	double region_step_max; /**< maximum change of a region's share per
				   window; 0 if unlimited */
	uint32_t region_window_ms;
	struct bw_time region_window_at;
	uint32_t region_total; /**< requests in the current window */
	bool regions_known; /**< a complete window has been measured */
	uint32_t cold_hosts_max; /**< number of hosts that may use the same cold
				    server */
	struct bw_time stops_at; /**< no response is relayed after this time;
				    0 ms: the host does not stop */
	struct bw_time clients_gone_at; /**< clients that still come later have
					   not heard of the stop */
};

/** State of one backend server in an update. */
struct bw_target_update {
	const struct bw_server *server;
	enum bw_distance distance;
	uint32_t region;
	uint32_t domain; /**< index of its failure domain */
	bool accepts;
	bool cold_allowed; /**< this host may use the server before it has
			      warmed up */
	struct bw_time reinstated_at; /**< end of the last evacuation of its
					 failure domain, if news that it is cold
					 may be lost; otherwise 0 ms */
};

/** Initialises the module. */
void bw_dispatch_init(struct bw_dispatch *dispatch, uint64_t seed);

/** Frees the module. No job may be queued or in flight. */
void bw_dispatch_finish(struct bw_dispatch *dispatch);

/** Returns the smoothed arrival rate of requests for a service at this host. */
double bw_dispatch_arrivals_per_s(struct bw_dispatch_service *service,
				  struct bw_time now);

/** Finds or adds a service. */
struct bw_dispatch_service *bw_dispatch_service(struct bw_dispatch *dispatch,
						const char *name);

/**
 * Begins an update; the caller then passes every known backend server to
 * bw_dispatch_update.
 */
void bw_dispatch_begin_update(struct bw_dispatch *dispatch);

/**
 * Notes the limit that a server named in an answer.
 * @param limit_per_s requests per second from all hosts together; 0: none
 * @return whether it has changed
 */
bool bw_dispatch_note_limit(struct bw_dispatch *dispatch,
			    struct bw_target *target, double limit_per_s,
			    struct bw_time now);

/**
 * Notes that a server wants no requests from this host for some time. That is
 * no failure of the server.
 */
void bw_dispatch_note_pause(struct bw_dispatch *dispatch,
			    struct bw_target *target, int64_t pause_ms,
			    struct bw_time now);

/**
 * Notes that a server said in an answer that it leaves; it then gets no new
 * requests.
 * @return whether that is new
 */
bool bw_dispatch_note_leaving(struct bw_target *target);

/**
 * Notes a leave that another host has read in an answer.
 * @param started_wall_ms start of the server that leaves
 * @return whether it is known and new
 */
bool bw_dispatch_note_shared_leave(struct bw_dispatch *dispatch,
				   uint64_t id_hash, int64_t started_wall_ms);

/** Notes a limit that another host reports. */
bool bw_dispatch_note_shared_limit(struct bw_dispatch *dispatch,
				   uint64_t id_hash, double limit_per_s,
				   struct bw_time now);

/** Adds or updates one backend server. */
void bw_dispatch_update(struct bw_dispatch *dispatch,
			const struct bw_target_update *update,
			struct bw_time now);

/**
 * Ends an update. Removes the servers that were not in it and moves the request
 * fractions of the others towards the spread of the demand over all failure
 * domains.
 */
void bw_dispatch_end_update(struct bw_dispatch *dispatch, struct bw_time now);

/**
 * Returns the failure domains to whose servers this host sends requests by
 * plan, or still does, as a bit set of their indices.
 */
uint64_t bw_dispatch_used_domains(const struct bw_dispatch *dispatch);

/**
 * Moves the request fractions of the servers towards the spread of the demand.
 */
void bw_dispatch_adapt(struct bw_dispatch *dispatch, struct bw_time now);

/**
 * Places a new job, or one that another server rejected: assigns a server,
 * queues the job or rejects it.
 * @param rejection filled for BW_VERDICT_REJECT
 */
enum bw_verdict bw_dispatch_offer(struct bw_dispatch *dispatch,
				  struct bw_job *job, struct bw_time now,
				  struct bw_rejection *rejection);

/**
 * Removes from the queues the next job that can be placed or has to be
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
 * Records the load of a server that another host measured. Ignored when this
 * host received a report from the server itself recently.
 * @param busy running and waiting requests at the server, from all hosts
 */
void bw_dispatch_note_load(struct bw_dispatch *dispatch, uint64_t id_hash,
			   uint32_t busy, struct bw_time now);

/**
 * Notes the speed of a server that another host has read in an answer.
 * @param time_percent time that work takes there; 0: as usual, if the service
 *	tells its speed at all
 */
void bw_dispatch_note_shared_speed(struct bw_dispatch *dispatch,
				   uint64_t id_hash, uint32_t time_percent,
				   struct bw_time now);

/**
 * Returns the time that work takes at a server by its last word, in percent; 0
 * if that is about as usual or not told.
 */
uint32_t bw_dispatch_unusual_percent(const struct bw_target *target);

/**
 * Begins the stop of the host. From now on, jobs that are not expected to end
 * in time are rejected on arrival and while they wait.
 * @param clients_gone_at when clients should have gone to other hosts. From
 *	then on, jobs are rejected unless their deadline ends them in time: how
 *	long one takes is known on average only, and one that is cut off has
 *	run.
 * @param at when the last response can be relayed
 */
void bw_dispatch_stop(struct bw_dispatch *dispatch,
		      struct bw_time clients_gone_at, struct bw_time at);

/** Removes a waiting job. */
void bw_dispatch_remove(struct bw_dispatch *dispatch, struct bw_job *job);

/** Returns the hash of an object of a service; never 0. */
uint64_t bw_dispatch_object_hash(const char *service, const char *key);

/** Returns the number of waiting jobs of all services. */
uint32_t bw_dispatch_waiting(const struct bw_dispatch *dispatch);

/**
 * Returns the number of services for which jobs wait while customers share the
 * room.
 */
uint32_t bw_dispatch_contended(struct bw_dispatch *dispatch,
			       struct bw_time now);

/** Writes services and backend servers to a state dump. */
void bw_dispatch_dump(const struct bw_dispatch *dispatch, struct bw_time now,
		      json_t *into);

#endif
