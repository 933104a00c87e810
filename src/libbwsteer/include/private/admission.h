/**
 * @file
 * Queues and claims of admission control.
 */
#ifndef PRIVATE_ADMISSION_H
#define PRIVATE_ADMISSION_H

#include "bwsteer/admission.h"

/** A queued request. */
struct bw_admission_entry {
	struct bw_admission_request request;
	uint64_t order; /**< of arrival */
	uint32_t previous;
	uint32_t next;
	bool expired;
};

/** A service and rank that may start a request. */
struct bw_admission_candidate {
	bool found;
	uint32_t service;
	uint32_t rank;
	uint32_t claim;
	uint64_t order;
};

/** Returns the queue of a service and rank. */
struct bw_admission_queue *bw_admission_queue_of(struct bw_admission *admission,
						 uint32_t service,
						 uint32_t rank);

/** Finds a queued or expired request; BW_ADMISSION_NONE if there is none. */
uint32_t bw_admission_find(const struct bw_admission *admission, uint64_t id);

/** Adds a request to its queue; there must be room. */
void bw_admission_enqueue(struct bw_admission *admission,
			  const struct bw_admission_request *request);

/** Takes an entry out of its queue and keeps its memory. */
void bw_admission_dequeue(struct bw_admission *admission, uint32_t position);

/** Frees the memory of an entry that is in no queue. */
void bw_admission_release(struct bw_admission *admission, uint32_t position);

/** Returns whether a request started now would end after its deadline. */
bool bw_admission_is_late(const struct bw_admission *admission,
			  const struct bw_admission_request *request,
			  struct bw_time now);

/** Moves requests that would end late to the list of expired ones. */
void bw_admission_expire_queue(struct bw_admission *admission, uint32_t service,
			       uint32_t rank, struct bw_time now);

/** Chooses the service and rank that starts a request next. */
void bw_admission_choose(const struct bw_admission *admission, uint32_t first,
			 uint32_t count, const uint32_t *free_slots,
			 bool host_bound, struct bw_admission_candidate *best);

/**
 * Returns the least part of the grants that a rank gets while a number of its
 * requests wait: its minimum share, and more while it catches up.
 */
double bw_admission_least_share(const struct bw_admission *admission,
				const struct bw_admission_queue *queue,
				uint32_t rank, double queued);

/** Updates the claims of all waiting ranks for one grant. */
void bw_admission_update_claims(struct bw_admission *admission,
				uint32_t service, uint32_t rank,
				bool host_bound);

#endif
