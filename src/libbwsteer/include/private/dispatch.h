/**
 * @file
 * Internal interface of the dispatcher: placement of jobs on backend servers
 * and statistics from their results.
 */
#ifndef BWSTEER_PRIVATE_DISPATCH_H
#define BWSTEER_PRIVATE_DISPATCH_H

#include "bwsteer/dispatch.h"

/** Number of entries of the table of warm objects; a power of two. */
#define DISPATCH_WARM_ENTRIES 16384

/**
 * Chooses a backend server with a free slot.
 * @return whether job->target was set
 */
bool dispatch_place(struct bw_dispatch *dispatch, struct bw_job *job,
		    struct bw_time now);

/** Servers that may run an object's requests, best first. */
struct dispatch_candidates {
	struct bw_target *target[BW_JOB_CANDIDATES_MAX + 1];
	uint32_t count;
};

/** Finds the servers that the object of a job prefers. */
void dispatch_find_candidates(const struct bw_dispatch *dispatch,
			      struct bw_job *job, struct bw_time now,
			      struct dispatch_candidates *found);

/**
 * Places a job with an object on the server that is expected to end it first,
 * among its home and those that its object prefers next and that have it in
 * memory. Others are used only while that server can't get the job and they
 * have spare slots. A job that would run past its deadline is not placed.
 * @return whether job->target was set
 */
bool dispatch_place_by_end(struct bw_dispatch *dispatch, struct bw_job *job,
			   struct bw_time now);

/**
 * Returns whether no server is expected to end a job before its deadline, even
 * if it is sent at once. False where the servers do not tell their speed.
 */
bool dispatch_ends_late(struct bw_dispatch *dispatch, struct bw_job *job,
			struct bw_time now);

/**
 * Returns the time that a job is expected to run at its home at the usual
 * speed; 0 if its service does not tell its speed or nothing is known.
 */
double dispatch_run_ms(const struct bw_dispatch *dispatch,
		       const struct bw_job *job);

/** Notes the speed that a server told in an answer. */
void dispatch_note_speed(struct bw_target *target,
			 const struct bw_load_report *load, struct bw_time now);

/** Records the work of an answered job and how the server kept its word. */
void dispatch_record_work(struct bw_dispatch *dispatch,
			  struct bw_target *target, const struct bw_job *job,
			  const struct bw_load_report *load, double elapsed_ms);

/** Returns whether a server may get one more request now. */
bool dispatch_can_send(struct bw_dispatch *dispatch, struct bw_target *target,
		       struct bw_time now);

/** Returns whether a server has free slots for objects of other servers. */
bool dispatch_has_spare(const struct bw_target *target, struct bw_time now);

/** Returns whether a server may run a job if it has a free slot. */
bool dispatch_is_eligible(const struct bw_job *job,
			  const struct bw_target *target, struct bw_time now);

/** Assigns a server to a job. */
void dispatch_set_target(struct bw_dispatch *dispatch, struct bw_job *job,
			 struct bw_target *target, struct bw_time now);

/** Returns the free slots of a server; negative if requests queue there. */
double dispatch_free_slots(const struct bw_target *target, struct bw_time now);

/** Returns whether a server has a free slot, or may be overcommitted. */
bool dispatch_has_slot(const struct bw_target *target, struct bw_time now);

/** Returns the expected number of requests of other hosts at a server. */
double dispatch_other_requests(const struct bw_target *target,
			       struct bw_time now);

/**
 * Returns the expected number of requests at a server of a service that tells
 * its speed; with the age of its report it returns to the mean of the service.
 */
double dispatch_busy(const struct bw_target *target, struct bw_time now);

/** Returns whether this host sent a job's object to a server recently. */
bool dispatch_is_warm(const struct bw_dispatch *dispatch,
		      const struct bw_job *job, const struct bw_target *target,
		      struct bw_time now);

/**
 * Sets job->home to the server that rendezvous hashing prefers for the object.
 */
void dispatch_find_home(struct bw_job *job, struct bw_time now);

/**
 * Returns the expected wait at a server with ahead queued jobs of this host.
 */
double dispatch_wait_ms(const struct bw_target *target, uint32_t ahead);

/** Returns the number of requests at a server divided by its slots. */
double dispatch_load(const struct bw_target *target, struct bw_time now);

/**
 * Moves the request fractions of all servers of a service towards the planned
 * spread.
 */
void dispatch_adapt_fractions(struct bw_dispatch *dispatch,
			      struct bw_dispatch_service *service,
			      struct bw_time now);

/**
 * Sets the share of this host in the limits of the servers of a service, by the
 * planned flow of requests from its domain to theirs.
 */
void dispatch_share_limits(struct bw_dispatch *dispatch,
			   struct bw_dispatch_service *service,
			   struct bw_time now);

/**
 * Returns the expected wait of a job for a token when all servers that may run
 * it are limited; else 0.
 * @param ahead jobs of the service that go before it, and itself
 */
double dispatch_limits_wait_ms(const struct bw_job *job, uint32_t ahead);

/**
 * Returns the time that a request takes at a server: the measured one, or one
 * that follows from the latency objective.
 */
double dispatch_assumed_service_ms(const struct bw_dispatch_service *service);

/**
 * Returns whether this host still learns the servers of a service and already
 * has its share of their slots in use.
 */
bool dispatch_start_is_full(const struct bw_dispatch *dispatch,
			    const struct bw_dispatch_service *service,
			    struct bw_time now);

/** Returns the expected wait of a job for a slot of that share; else 0. */
double dispatch_start_wait_ms(const struct bw_dispatch *dispatch,
			      const struct bw_job *job, struct bw_time now);

/**
 * Returns whether the failure domains of a region share the servers of a
 * service, so that each object is kept on one server of the region.
 */
bool dispatch_shares_region(const struct bw_dispatch_service *service);

/**
 * Computes where the requests of one failure domain go; the parameters are
 * those of bw_spread().
 */
void dispatch_spread(const struct bw_dispatch *dispatch,
		     const struct bw_dispatch_service *service,
		     const struct bw_spread_domain *domains, uint32_t own,
		     double *fractions);

/** Fills in the capacity and the planned demand of all domains. */
void dispatch_fill_domains(const struct bw_dispatch *dispatch,
			   const struct bw_dispatch_service *service,
			   struct bw_spread_domain *domains);

/**
 * Returns whether a server reported to this host itself so recently that
 * reports of other hosts are ignored.
 */
bool dispatch_has_own_report(const struct bw_target *target,
			     struct bw_time now);

/** Returns the slots of a server that its limit lets all hosts fill. */
double dispatch_usable_slots(const struct bw_target *target);

/**
 * Returns whether one more request may be sent to a region. The share of a
 * region may grow only by a limited step from one window to the next.
 */
bool dispatch_region_allowed(struct bw_dispatch *dispatch, uint32_t region,
			     struct bw_time now);

/** Counts a request that is sent to a region. */
void dispatch_region_count(struct bw_dispatch *dispatch, uint32_t region,
			   struct bw_time now);

/** Returns whether a server may run a job, regardless of its load. */
bool dispatch_is_allowed(const struct bw_job *job,
			 const struct bw_target *target);

/** The same, regardless also of whether the server has said that it leaves. */
bool dispatch_may_run(const struct bw_job *job, const struct bw_target *target);

/** Returns whether any server may run a job, regardless of its load. */
bool dispatch_has_server(const struct bw_job *job);

/** Returns the reason to reject a job that no server may run. */
enum bw_reject dispatch_no_server_reason(const struct bw_job *job);

/** Returns the reason to reject a job whose expected wait is too long. */
enum bw_reject dispatch_overload_reason(const struct bw_job *job,
					struct bw_time now);

/**
 * Returns whether all servers that may run a job want no requests until after
 * its deadline. The client may return when the first pause ends.
 */
bool dispatch_is_paused(const struct bw_job *job, struct bw_time now,
			struct bw_rejection *rejection);

/**
 * Returns the time until a response is of use: until the deadline of a job, or
 * until this host stops.
 */
double dispatch_left_ms(const struct bw_dispatch *dispatch,
			const struct bw_job *job, struct bw_time now);

/** Returns whether the stop of this host comes before the deadline of a job. */
bool dispatch_stop_is_first(const struct bw_dispatch *dispatch,
			    const struct bw_job *job);

/**
 * Returns whether this host stops before a job that is sent now is expected to
 * end.
 */
bool dispatch_stop_is_near(const struct bw_dispatch *dispatch,
			   const struct bw_job *job, struct bw_time now);

/** Fills in a rejection whose client may return after about wait_ms. */
void dispatch_reject(struct bw_dispatch *dispatch, enum bw_reject reason,
		     double wait_ms, struct bw_rejection *rejection);

/** Returns whether any server of a service has a free slot. */
bool dispatch_has_free_slot(const struct bw_dispatch_service *service,
			    struct bw_time now);

/** Returns the expected response time of a job at its home server. */
double dispatch_job_response_ms(const struct bw_job *job);

/**
 * Returns the lowest warm response time of a service over all distances; 0 if
 * unknown.
 */
double dispatch_service_response_ms(const struct bw_dispatch_service *service);

/** Marks the object of a job as warm at its server. */
void dispatch_mark_warm(struct bw_dispatch *dispatch, const struct bw_job *job,
			struct bw_time now);

/** Reverts dispatch_mark_warm. */
void dispatch_mark_cold(struct bw_dispatch *dispatch, const struct bw_job *job,
			const struct bw_target *target);

/** Updates response times, load and health of a server from a result. */
void dispatch_record_result(struct bw_dispatch *dispatch,
			    struct bw_target *target, const struct bw_job *job,
			    enum bw_job_result result,
			    const struct bw_load_report *load,
			    struct bw_time now);

/** Adds a job to the queue of its service. */
void dispatch_enqueue(struct bw_dispatch *dispatch, struct bw_job *job);

/**
 * Rejects a job that is not expected to run in time here. While this host
 * stops, the client need not wait before it asks another one.
 */
void dispatch_reject_late(struct bw_dispatch *dispatch,
			  const struct bw_job *job, double wait_ms,
			  struct bw_time now, struct bw_rejection *rejection);

/** Returns the least time that a job needs once a server runs it. */
double dispatch_least_response_ms(const struct bw_dispatch *dispatch,
				  const struct bw_job *job);

/** Returns the expected wait of a job that is not queued. */
double dispatch_job_wait_ms(const struct bw_job *job);

/**
 * Returns the number of jobs that wait for the same server and go before this
 * one.
 */
uint32_t dispatch_count_ahead(const struct bw_job *job);

/**
 * Removes the next job of a service that can be placed or has to be rejected;
 * see bw_dispatch_next. Jobs that can still meet their objective go first; late
 * ones use the remaining slots.
 */
struct bw_job *dispatch_next_of_service(struct bw_dispatch *dispatch,
					struct bw_dispatch_service *service,
					struct bw_time now,
					enum bw_verdict *verdict,
					struct bw_rejection *rejection);

/**
 * Returns whether a job leaves the free slots to jobs of other hosts, whose
 * customers are below their share.
 */
bool dispatch_gives_way(struct bw_dispatch *dispatch, const struct bw_job *job,
			struct bw_time now);

#endif
