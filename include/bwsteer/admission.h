/**
 * @file
 * Admission control of one entry host: a bounded queue per service and rank.
 */
#ifndef BWSTEER_ADMISSION_H
#define BWSTEER_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "bwbase/clock.h"
#include "bwbase/packet.h"
#include "bwbase/random.h"
#include "bwbase/status.h"
#include "bwsteer/sheet.h"

/** Value of a link that refers to no request. */
#define BW_ADMISSION_NONE UINT32_MAX

/** Settings of one rank; index 0 is the most urgent. */
struct bw_admission_rank {
	/**
	 * In any run of n grants during which the rank waits, it gets at
	 * least n * min_share_percent / 100, rounded down, less one. What it
	 * did not use while others waited is kept for a bounded time.
	 */
	uint32_t min_share_percent;
	uint32_t target_latency_ms; /**< 0: only the deadline counts */
};

/** Settings; bw_admission_config_default gives usual values. */
struct bw_admission_config {
	struct bw_admission_rank rank[BW_SHEET_RANKS_MAX];
	uint32_t ranks_count;
	uint32_t services_max;
	uint32_t queue_max; /**< requests per service and rank */
	uint64_t queue_max_bytes; /**< bytes per service and rank */
	uint32_t total_max; /**< requests on this host, split evenly by rank */
	uint64_t total_max_bytes; /**< bytes on this host, split evenly */
	uint32_t host_slots; /**< requests running on this host; 0: no limit */
	int64_t window_ms; /**< sliding window of the load estimate */
	uint32_t service_time_us; /**< assumed until measured */
};

/** Decision on an offered request. */
enum bw_admission_outcome {
	BW_ADMISSION_ADMITTED, /**< start now; counts as running */
	BW_ADMISSION_QUEUED,
	BW_ADMISSION_REFUSED, /**< certainly not run */
	BW_ADMISSION_OUTCOME_COUNT
};

/** Stable names of enum bw_admission_outcome. */
extern const char
	*const bw_admission_outcome_string[BW_ADMISSION_OUTCOME_COUNT];

/** Why a request was refused. */
enum bw_admission_reason {
	BW_ADMISSION_NO_REASON,
	BW_ADMISSION_QUEUE_FULL, /**< number of the service and rank */
	BW_ADMISSION_QUEUE_BYTES, /**< bytes of the service and rank */
	BW_ADMISSION_HOST_FULL, /**< number or bytes of the rank on the host */
	BW_ADMISSION_DEADLINE, /**< passes before the request could end */
	BW_ADMISSION_WAIT, /**< expected wait passes deadline or target */
	BW_ADMISSION_INVALID, /**< unknown service or rank, or id in use */
	BW_ADMISSION_REASON_COUNT
};

/** Stable names of enum bw_admission_reason. */
extern const char *const bw_admission_reason_string[BW_ADMISSION_REASON_COUNT];

/** A request as admission control sees it. */
struct bw_admission_request {
	uint64_t id; /**< opaque; unique among queued requests */
	uint32_t service; /**< from bw_admission_service */
	uint32_t rank;
	uint32_t size_bytes; /**< memory held while it waits */
	struct bw_time deadline;
};

/** Result of an offer. */
struct bw_admission_result {
	enum bw_admission_outcome outcome;
	enum bw_admission_reason reason; /**< when refused */
	uint32_t retry_after_ms; /**< when refused; jittered */
	int64_t wait_ms; /**< expected wait */
};

/** Intervals of the sliding window. */
#define BW_ADMISSION_BUCKETS 10

/** Requests started in the sliding window, for the expected wait. */
struct bw_admission_window {
	uint32_t started[BW_ADMISSION_BUCKETS];
	uint32_t sum;
	int64_t bucket; /**< index of the newest interval */
};

/** A queue and its counters. */
struct bw_admission_queue {
	uint32_t head;
	uint32_t tail;
	uint32_t count;
	uint64_t bytes;
	uint32_t running;
	int64_t earliest_deadline_ms; /**< not later than any queued one */
	/**
	 * Grows by the minimum share with every grant of the service while
	 * this rank waits, and falls by 100 with each own grant; 100 entitles
	 * to the next grant. Zero whenever the rank does not wait, so that an
	 * idle rank collects no claim on later slots.
	 */
	uint32_t claim_percent;
	/**
	 * Minimum share of grants that were made while this rank did not wait.
	 * It is added to the claim in parts once the rank waits again: a
	 * few callers that stay with one host for the lifetime of an answer
	 * bring all work of a rank to a few hosts at a time, and the share has
	 * to hold over all hosts of the service.
	 */
	uint32_t saved_percent;
	struct bw_admission_window window;
	double service_time_us; /**< moving average; 0: not measured */
	uint64_t admitted_count;
	uint64_t refused_count[BW_ADMISSION_REASON_COUNT];
	uint64_t expired_count;
	uint64_t removed_count;
};

/** Queues of one service. */
struct bw_admission_service {
	char name[BW_NAME_MAX];
	struct bw_admission_queue queue[BW_SHEET_RANKS_MAX];
	uint32_t queued; /**< over all ranks */
	uint32_t running;
	uint32_t slots; /**< running plus free, as last told */
	double service_time_us; /**< moving average over all ranks */
};

struct bw_admission_entry; /* private */
struct bw_index; /* private */

/** Admission control of one host. */
struct bw_admission {
	struct bw_admission_config config;
	struct bw_admission_service *services;
	uint32_t services_count;
	struct bw_admission_entry *entries; /**< total_max entries */
	uint32_t free_head;
	struct bw_index *by_id;
	uint32_t rank_count[BW_SHEET_RANKS_MAX]; /**< queued, all services */
	uint64_t rank_bytes[BW_SHEET_RANKS_MAX];
	uint32_t host_claim_percent[BW_SHEET_RANKS_MAX];
	uint32_t running;
	uint64_t order; /**< arrivals queued so far */
	uint32_t expired_head; /**< taken from queues, to be reported */
};

/** Fills in the defaults: one rank, 64 services, 256 requests and 4 MiB per
 * queue, 4096 requests and 16 MiB per host, window 2 s, 10 ms service time. */
void bw_admission_config_default(struct bw_admission_config *config);

/**
 * Initialises; all memory is allocated here.
 * @return BW_OK, BW_ENOMEM, or BW_EINVAL (bounds of zero, more ranks than
 *	BW_SHEET_RANKS_MAX, minimum shares over 100 %)
 */
enum bw_status bw_admission_init(struct bw_admission *admission,
				 const struct bw_admission_config *config,
				 struct bw_time now);

/** Frees the memory. Queued requests are forgotten. */
void bw_admission_finish(struct bw_admission *admission);

/**
 * Puts the ranks and host slots of a new sheet in force; the other settings
 * keep their first values. Requests of ranks that no longer exist stay queued
 * without a minimum share.
 * @return BW_OK or BW_EINVAL
 */
enum bw_status bw_admission_configure(struct bw_admission *admission,
				      const struct bw_admission_config *config);

/**
 * Finds or adds a service. Indices stay valid until finish.
 * @return BW_OK, BW_EFULL, or BW_EINVAL for a name that is too long
 */
enum bw_status bw_admission_service(struct bw_admission *admission,
				    const char *name, uint32_t *service);

/**
 * Offers a request. It is admitted at once only when nothing waits before it.
 * @param free_slots requests the service could start now, without the
 *	running ones
 */
void bw_admission_offer(struct bw_admission *admission,
			const struct bw_admission_request *request,
			uint32_t free_slots, struct bw_time now,
			struct bw_random *random,
			struct bw_admission_result *result);

/**
 * Takes the queued request of a service that is to start now; it counts as
 * running. Requests that can no longer end before their deadline are left to
 * bw_admission_expire.
 * @param free_slots as in bw_admission_offer
 * @return BW_OK, or BW_EAGAIN when none may start
 */
enum bw_status bw_admission_next(struct bw_admission *admission,
				 uint32_t service, uint32_t free_slots,
				 struct bw_time now,
				 struct bw_admission_request *request);

/**
 * As bw_admission_next, over all services, so that minimum shares also hold
 * when the host's slots are the bottleneck.
 * @param free_slots one value per service, services_count values
 */
enum bw_status bw_admission_next_any(struct bw_admission *admission,
				     const uint32_t *free_slots,
				     struct bw_time now,
				     struct bw_admission_request *request);

/**
 * Ends a running request.
 * @param service_time_us time from start to end; 0 when it says nothing about
 *	the service time (refused, cancelled)
 */
void bw_admission_done(struct bw_admission *admission, uint32_t service,
		       uint32_t rank, uint64_t service_time_us);

/**
 * Removes one queued request that can no longer end before its deadline.
 * Call until it returns BW_EAGAIN, at least every 50 ms.
 * @return BW_OK or BW_EAGAIN
 */
enum bw_status bw_admission_expire(struct bw_admission *admission,
				   struct bw_time now,
				   struct bw_admission_request *request);

/**
 * Removes a queued request whose caller went away.
 * @return BW_OK, or BW_ENOTFOUND when it is not queued
 */
enum bw_status bw_admission_remove(struct bw_admission *admission, uint64_t id);

/** Returns the expected wait of a new request in milliseconds. */
int64_t bw_admission_wait_ms(const struct bw_admission *admission,
			     uint32_t service, uint32_t rank);

/** Returns a jittered time to retry after a refusal or expiry, in ms. */
uint32_t bw_admission_retry_after_ms(const struct bw_admission *admission,
				     uint32_t service, uint32_t rank,
				     struct bw_random *random);

/**
 * Writes the state dump.
 * @param into JSON object that receives the members
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status bw_admission_dump(const struct bw_admission *admission,
				 json_t *into);

#endif
