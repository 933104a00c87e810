/**
 * @file
 * Internals of slot leases shared by the host and the aggregator.
 */
#ifndef BWSTEER_PRIVATE_CREDIT_INTERNAL_H
#define BWSTEER_PRIVATE_CREDIT_INTERNAL_H

#include "bwbase/codec.h"
#include "bwsteer/credit.h"

/** Version of the packets. */
#define BW_CREDIT_VERSION 1

/** Types of packet. */
enum bw_credit_type {
	BW_CREDIT_REQUEST = 1, /**< host to aggregator */
	BW_CREDIT_GRANT = 2 /**< aggregator to host */
};

/** A host's request for one service. */
struct bw_credit_want {
	char name[BW_NAME_MAX];
	uint32_t demand;
	uint32_t fallback; /**< what the host may use without a grant */
};

/** A request; it also confirms the grant in force. */
struct bw_credit_request {
	uint64_t nonce;
	uint64_t aggregator_incarnation; /**< of the grant; 0: none */
	uint64_t applied_seq; /**< number of the grant; 0: none */
	uint32_t count;
	struct bw_credit_want wants[BW_CREDIT_SERVICES_MAX];
};

/** Slots granted for one service. */
struct bw_credit_slots {
	char name[BW_NAME_MAX];
	uint32_t slots;
};

/** A grant; it answers one request. */
struct bw_credit_grant {
	uint64_t nonce; /**< of the request */
	uint64_t host_incarnation; /**< that the grant is for */
	uint64_t seq;
	uint32_t use_ms; /**< from the request, by the host's clock */
	uint32_t count;
	struct bw_credit_slots slots[BW_CREDIT_SERVICES_MAX];
};

/** Increases a duration by the maximum clock drift. */
int64_t bw_credit_longer(int64_t ms);

/** Reduces a duration by the maximum clock drift. */
int64_t bw_credit_shorter(int64_t ms);

/** Returns the fallback share of a capacity. */
uint32_t bw_credit_fallback(const struct bw_credit *credit, uint32_t slots);

/** Finds a service by name; NULL if there is none. */
struct bw_credit_service *bw_credit_find(const struct bw_credit *credit,
					 const char *service);

/**
 * Accounts for a request and fills the grant that answers it.
 * @return BW_OK; BW_ESTALE when an earlier incarnation of the host still
 *	holds an account; BW_EFULL or BW_ENOMEM
 */
enum bw_status bw_credit_answer(struct bw_credit *credit, const char *host,
				uint64_t incarnation,
				const struct bw_credit_request *request,
				struct bw_time now,
				struct bw_credit_grant *grant);

/** Handles changed capacities and frees accounts that have ended. */
void bw_credit_expire(struct bw_credit *credit, struct bw_time now);

#endif
