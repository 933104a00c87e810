/**
 * @file
 * Internals of slot leases shared by the host and the aggregator.
 */
#ifndef BWSTEER_PRIVATE_CREDIT_INTERNAL_H
#define BWSTEER_PRIVATE_CREDIT_INTERNAL_H

#include "bwbase/codec.h"
#include "bwsteer/credit.h"

/** Version of the packet format. */
#define BW_CREDIT_VERSION 1

/** Packet types. */
enum bw_credit_type {
	BW_CREDIT_REQUEST = 1, /**< host to aggregator */
	BW_CREDIT_GRANT = 2 /**< aggregator to host */
};

/** A host's request for one service. */
struct bw_credit_service_request {
	char name[BW_NAME_MAX];
	uint32_t demand;
	uint32_t fallback; /**< slots that the host may use without a grant */
};

/** A host's request, which also confirms its grant in force. */
struct bw_credit_request {
	uint64_t seq; /**< number of this request */
	/** Of the aggregator that sent the grant in force; 0: none. */
	uint64_t aggregator_incarnation;
	uint64_t applied_seq; /**< number of the grant in force; 0: none */
	uint32_t count;
	struct bw_credit_service_request services[BW_CREDIT_SERVICES_MAX];
};

/** Slots granted for one service. */
struct bw_credit_service_grant {
	char name[BW_NAME_MAX];
	uint32_t slots;
};

/** A grant, which answers one request. */
struct bw_credit_grant {
	uint64_t request_seq; /**< number of the request */
	uint64_t host_incarnation; /**< of the host that receives the grant */
	uint64_t seq; /**< number of this grant */
	/** Validity, counted by the host's clock from the request. */
	uint32_t valid_ms;
	uint32_t count;
	struct bw_credit_service_grant services[BW_CREDIT_SERVICES_MAX];
};

/** Returns a duration increased by the maximum clock drift. */
int64_t bw_credit_add_drift(int64_t ms);

/** Returns a duration reduced by the maximum clock drift. */
int64_t bw_credit_subtract_drift(int64_t ms);

/** Returns one host's fallback share of a capacity in slots. */
uint32_t bw_credit_fallback_share(const struct bw_credit *credit,
				  uint32_t slots);

/** Finds a service by name; NULL if there is none. */
struct bw_credit_service *bw_credit_find_service(const struct bw_credit *credit,
						 const char *service);

/**
 * Handles a host's request as aggregator: updates the host's accounts and
 * fills in the grant that answers it.
 * @return BW_OK; BW_ESTALE while an account of another incarnation of the host
 *	exists; BW_EINVAL; BW_EFULL or BW_ENOMEM
 */
enum bw_status bw_credit_handle_request(struct bw_credit *credit,
					const char *host, uint64_t incarnation,
					const struct bw_credit_request *request,
					struct bw_time now,
					struct bw_credit_grant *grant);

/** Handles changed capacities and frees expired accounts. */
void bw_credit_expire(struct bw_credit *credit, struct bw_time now);

#endif
