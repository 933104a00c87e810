/**
 * @file
 * Placement of jobs on backend servers, and what is learned from results.
 */
#ifndef BWSTEER_PRIVATE_DISPATCH_H
#define BWSTEER_PRIVATE_DISPATCH_H

#include "bwsteer/dispatch.h"

/** Entries of the table of warm objects; a power of two. */
#define DISPATCH_WARM_ENTRIES 16384

/**
 * Chooses a backend server with a free slot.
 * @return whether job->target was set
 */
bool dispatch_place(struct bw_dispatch *dispatch, struct bw_job *job,
		    struct bw_time now);

/** Sets job->home to the server to which the object of a job belongs. */
void dispatch_find_home(struct bw_dispatch *dispatch, struct bw_job *job,
			struct bw_time now);

/** Returns the wait for a server behind some jobs of this host. */
double dispatch_wait_ms(const struct bw_target *target, uint32_t ahead);

/** Returns the requests at a server over its slots. */
double dispatch_load(const struct bw_target *target, struct bw_time now);

/** Moves the parts of all servers of a service towards the spread. */
void dispatch_adapt(struct bw_dispatch *dispatch,
		    struct bw_dispatch_service *service, struct bw_time now);

/**
 * Returns whether one more request may run in a region: the share of a region
 * grows by a bounded step from one window to the next.
 */
bool dispatch_region_allowed(struct bw_dispatch *dispatch, uint32_t region,
			     struct bw_time now);

/** Counts a request that runs in a region. */
void dispatch_region_count(struct bw_dispatch *dispatch, uint32_t region,
			   struct bw_time now);

/** Returns whether a server may get a job, regardless of its load. */
bool dispatch_is_allowed(const struct bw_job *job,
			 const struct bw_target *target);

/** Returns whether any server of a service has a free slot. */
bool dispatch_has_room(const struct bw_dispatch_service *service,
		       struct bw_time now);

/** Returns the response time to expect of a job at its home. */
double dispatch_needed_ms(const struct bw_job *job);

/** Returns the response time to expect of a service, 0 when unknown. */
double dispatch_expected_ms(const struct bw_dispatch_service *service);

/** Notes that the object of a job is warm at its server. */
void dispatch_remember(struct bw_dispatch *dispatch, const struct bw_job *job,
		       struct bw_time now);

/** Drops the note of dispatch_remember. */
void dispatch_forget(struct bw_dispatch *dispatch, const struct bw_job *job,
		     const struct bw_target *target);

/** Updates times, load and health of a server from a result. */
void dispatch_learn(struct bw_target *target, const struct bw_job *job,
		    enum bw_job_result result,
		    const struct bw_load_report *load, struct bw_time now);

#endif
