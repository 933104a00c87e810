/**
 * @file
 * Queues and scheduling credits of admission control.
 */
#ifndef PRIVATE_ADMISSION_H
#define PRIVATE_ADMISSION_H

#include "bwsteer/admission.h"

/** A queued or expired request. */
struct bw_admission_entry {
	struct bw_admission_request request;
	uint64_t arrival_number; /**< increases with each queued request */
	uint32_t previous; /**< in the queue */
	uint32_t next; /**< in the queue, expired list or free list */
	bool expired; /**< in the list of expired entries */
};

/** A service and rank that may start a request. */
struct bw_admission_candidate {
	bool found; /**< false: no candidate, other members unset */
	uint32_t service;
	uint32_t rank;
	uint32_t credit_percent; /**< 0 if not enough for a grant */
	uint64_t arrival_number; /**< of the first request in the queue */
};

/** Returns the queue of a service and rank. */
struct bw_admission_queue *bw_admission_queue_of(struct bw_admission *admission,
						 uint32_t service,
						 uint32_t rank);

/** Finds the entry of a request; BW_ADMISSION_NONE if there is none. */
uint32_t bw_admission_find(const struct bw_admission *admission, uint64_t id);

/** Appends a request to its queue; there must be a free entry. */
void bw_admission_enqueue(struct bw_admission *admission,
			  const struct bw_admission_request *request);

/** Takes an entry out of its queue without releasing it. */
void bw_admission_dequeue(struct bw_admission *admission, uint32_t index);

/** Returns an entry that is in no queue to the free list. */
void bw_admission_release(struct bw_admission *admission, uint32_t index);

/** Returns whether a request started now would end after its deadline. */
bool bw_admission_misses_deadline(const struct bw_admission *admission,
				  const struct bw_admission_request *request,
				  struct bw_time now);

/** Moves requests that would miss their deadline to the list of expired ones.
 */
void bw_admission_expire_queue(struct bw_admission *admission, uint32_t service,
			       uint32_t rank, struct bw_time now);

/**
 * Chooses the service and rank whose first request starts next.
 * @param first index of the first service to choose from
 * @param count number of services
 * @param free_slots free slots of each of these services
 * @param host_limited whether the host has fewer free slots than the services
 * @param best receives the choice; found must be false
 */
void bw_admission_choose(const struct bw_admission *admission, uint32_t first,
			 uint32_t count, const uint32_t *free_slots,
			 bool host_limited,
			 struct bw_admission_candidate *best);

/**
 * Returns the fraction of the grants that a rank gets at least: its minimum
 * share, and more while its saved credit lasts.
 * @param queued number of requests of the rank to be served at this share
 */
double bw_admission_guaranteed_share(const struct bw_admission *admission,
				     const struct bw_admission_queue *queue,
				     uint32_t rank, double queued);

/** Updates the credits of all ranks of a service after a grant to one rank. */
void bw_admission_update_credits(struct bw_admission *admission,
				 uint32_t service, uint32_t rank,
				 bool host_limited);

#endif
