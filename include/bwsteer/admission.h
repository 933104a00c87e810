/**
 * @file
 * Admission control of an entry host, with a bounded queue for each service and
 * rank.
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

/** Index value that stands for no entry. */
#define BW_ADMISSION_NONE UINT32_MAX

/** Settings of one rank; rank 0 is the most urgent. */
struct bw_admission_rank {
	/**
	 * Guaranteed share of the grants. Of any n consecutive grants made
	 * while requests of the rank wait, the rank gets at least
	 * floor(n * min_share_percent / 100) - 1. Share that it did not use
	 * while other ranks waited is kept for a bounded number of grants.
	 */
	uint32_t min_share_percent;
	uint32_t target_latency_ms; /**< 0: limited by the deadline only */
};

/** Configuration; see bw_admission_config_default for the defaults. */
struct bw_admission_config {
	struct bw_admission_rank rank[BW_SHEET_RANKS_MAX];
	uint32_t ranks_count;
	uint32_t services_max;
	uint32_t queue_max; /**< queued requests per service and rank */
	uint64_t queue_max_bytes; /**< queued bytes per service and rank */
	uint32_t total_max; /**< queued on the host, split evenly by rank */
	uint64_t total_max_bytes; /**< queued on the host, split by rank */
	uint32_t host_slots; /**< running requests on the host; 0: no limit */
	int64_t window_ms; /**< sliding window of the start rates */
	uint32_t service_time_us; /**< assumed until one is measured */
};

/** Decision on an offered request. */
enum bw_admission_outcome {
	BW_ADMISSION_ADMITTED, /**< start it now; it counts as running */
	BW_ADMISSION_QUEUED,
	BW_ADMISSION_REFUSED, /**< it was not run */
	BW_ADMISSION_OUTCOME_COUNT
};

/** Stable names of enum bw_admission_outcome. */
extern const char
	*const bw_admission_outcome_string[BW_ADMISSION_OUTCOME_COUNT];

/** Why a request was refused. */
enum bw_admission_reason {
	BW_ADMISSION_NO_REASON,
	BW_ADMISSION_QUEUE_FULL, /**< too many requests in the queue */
	BW_ADMISSION_QUEUE_BYTES, /**< too many bytes in the queue */
	BW_ADMISSION_HOST_FULL, /**< limit of the rank on the host reached */
	BW_ADMISSION_DEADLINE, /**< missed even if started now */
	BW_ADMISSION_WAIT, /**< expected wait misses deadline or target */
	BW_ADMISSION_INVALID, /**< unknown service or rank, or id in use */
	BW_ADMISSION_REASON_COUNT
};

/** Stable names of enum bw_admission_reason. */
extern const char *const bw_admission_reason_string[BW_ADMISSION_REASON_COUNT];

/** A request to be admitted. */
struct bw_admission_request {
	uint64_t id; /**< chosen by the caller; unique among queued requests */
	uint32_t service; /**< index from bw_admission_service */
	uint32_t rank;
	uint32_t size_bytes; /**< memory held while queued */
	struct bw_time deadline;
};

/** Result of an offer. */
struct bw_admission_result {
	enum bw_admission_outcome outcome;
	enum bw_admission_reason reason; /**< only when refused */
	uint32_t retry_after_ms; /**< only when refused; jittered */
	int64_t wait_ms; /**< expected time in the queue */
};

/** Number of intervals of the sliding window. */
#define BW_ADMISSION_BUCKETS 10

/** Number of requests started in a sliding window. */
struct bw_admission_window {
	uint32_t started[BW_ADMISSION_BUCKETS]; /**< per interval */
	uint32_t sum; /**< over all intervals */
	int64_t bucket; /**< number of the newest interval */
};

/** Queue of one service and rank, with its counters. */
struct bw_admission_queue {
	uint32_t head; /**< index of the oldest entry */
	uint32_t tail; /**< index of the newest entry */
	uint32_t count; /**< queued requests */
	uint64_t bytes; /**< sum of size_bytes of the queued requests */
	uint32_t running;
	int64_t earliest_deadline_ms; /**< lower bound of queued deadlines */
	/**
	 * Scheduling credit. Each grant of the service adds the minimum share
	 * while requests of this rank wait, and each grant to this rank takes
	 * 100. A credit of 100 entitles the rank to the next grant. The
	 * credit is zero while the queue is empty, so that an idle rank gains
	 * no priority for later slots.
	 */
	uint32_t credit_percent;
	/**
	 * Minimum share of the grants made while the queue was empty. It is
	 * added to the credit in parts once requests of the rank wait again.
	 * Callers keep using one host for the lifetime of a look-up answer.
	 * With few callers the requests of a rank therefore reach only a few
	 * hosts at a time, but the share must hold over all hosts of the
	 * service.
	 */
	uint32_t saved_credit_percent;
	struct bw_admission_window window;
	double service_time_us; /**< moving average; 0: none measured */
	uint64_t admitted_count; /**< requests started, also from the queue */
	uint64_t refused_count[BW_ADMISSION_REASON_COUNT];
	uint64_t expired_count;
	uint64_t removed_count; /**< by bw_admission_remove */
};

/** Queues and load of one service. */
struct bw_admission_service {
	char name[BW_NAME_MAX];
	struct bw_admission_queue queue[BW_SHEET_RANKS_MAX];
	uint32_t queued; /**< over all ranks */
	uint32_t running; /**< over all ranks */
	uint32_t slots; /**< running plus free slots, as of the last call */
	double service_time_us; /**< moving average over all ranks */
};

struct bw_admission_entry; /* private */
struct bw_index; /* private */

/** Admission control of one host. */
struct bw_admission {
	struct bw_admission_config config;
	struct bw_admission_service *services;
	uint32_t services_count;
	struct bw_admission_entry *entries; /**< pool of total_max entries */
	uint32_t free_head; /**< list of unused entries */
	struct bw_index *by_id; /**< request id to entry index */
	uint32_t rank_queued[BW_SHEET_RANKS_MAX]; /**< over all services */
	uint64_t rank_queued_bytes[BW_SHEET_RANKS_MAX];
	/** Credit of each rank for grants limited by the host's slots. */
	uint32_t host_credit_percent[BW_SHEET_RANKS_MAX];
	uint32_t running;
	uint64_t last_arrival_number; /**< of the newest queued request */
	uint32_t expired_head; /**< list of expired entries to be reported */
};

/**
 * Fills in the defaults: one rank, 64 services, 256 requests and 4 MiB per
 * queue, 4096 requests and 16 MiB per host, a window of 2 s and a service time
 * of 10 ms.
 */
void bw_admission_config_default(struct bw_admission_config *config);

/**
 * Initialises admission control and allocates all of its memory.
 * @return BW_OK, BW_ENOMEM, or BW_EINVAL (a limit of zero, more ranks than
 *	BW_SHEET_RANKS_MAX, or minimum shares that add up to more than 100 %)
 */
enum bw_status bw_admission_init(struct bw_admission *admission,
				 const struct bw_admission_config *config,
				 struct bw_time now);

/** Frees the memory. Queued requests are discarded. */
void bw_admission_finish(struct bw_admission *admission);

/**
 * Applies the ranks and host slots of a new sheet; the other settings keep
 * their initial values. Requests of ranks that no longer exist stay queued
 * without a minimum share.
 * @return BW_OK or BW_EINVAL
 */
enum bw_status bw_admission_configure(struct bw_admission *admission,
				      const struct bw_admission_config *config);

/**
 * Finds or adds a service. Its index stays valid until bw_admission_finish.
 * @param service receives the index
 * @return BW_OK, BW_EFULL, or BW_EINVAL for a name that is too long
 */
enum bw_status bw_admission_service(struct bw_admission *admission,
				    const char *name, uint32_t *service);

/**
 * Offers a new request. It is admitted at once only when no request of the
 * service is queued.
 * @param free_slots number of further requests that the service can start now
 */
void bw_admission_offer(struct bw_admission *admission,
			const struct bw_admission_request *request,
			uint32_t free_slots, struct bw_time now,
			struct bw_random *random,
			struct bw_admission_result *result);

/**
 * Takes the next queued request of a service from its queue; it then counts as
 * running. Requests that can no longer end before their deadline are skipped
 * and returned by bw_admission_expire.
 * @param free_slots as in bw_admission_offer
 * @return BW_OK, or BW_EAGAIN when no request may start
 */
enum bw_status bw_admission_next(struct bw_admission *admission,
				 uint32_t service, uint32_t free_slots,
				 struct bw_time now,
				 struct bw_admission_request *request);

/**
 * Like bw_admission_next, but chooses among all services, so that minimum
 * shares also hold when the host's slots are the bottleneck.
 * @param free_slots free slots of each service; services_count values
 */
enum bw_status bw_admission_next_any(struct bw_admission *admission,
				     const uint32_t *free_slots,
				     struct bw_time now,
				     struct bw_admission_request *request);

/**
 * Records the end of a running request.
 * @param service_time_us time from start to end; 0 if refused or cancelled
 */
void bw_admission_done(struct bw_admission *admission, uint32_t service,
		       uint32_t rank, uint64_t service_time_us);

/**
 * Removes one queued request that can no longer end before its deadline. The
 * caller repeats this until it returns BW_EAGAIN, at least every 50 ms.
 * @return BW_OK or BW_EAGAIN
 */
enum bw_status bw_admission_expire(struct bw_admission *admission,
				   struct bw_time now,
				   struct bw_admission_request *request);

/**
 * Removes a queued request whose caller has closed its connection.
 * @return BW_OK, or BW_ENOTFOUND when it is not queued
 */
enum bw_status bw_admission_remove(struct bw_admission *admission, uint64_t id);

/** Returns the expected time in the queue of a new request. */
int64_t bw_admission_wait_ms(const struct bw_admission *admission,
			     uint32_t service, uint32_t rank);

/** Returns the jittered delay after which a refused or expired request may be
 * retried. */
uint32_t bw_admission_retry_after_ms(const struct bw_admission *admission,
				     uint32_t service, uint32_t rank,
				     struct bw_random *random);

/**
 * Adds the state to a dump.
 * @param into JSON object that receives the members
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status bw_admission_dump(const struct bw_admission *admission,
				 json_t *into);

#endif
