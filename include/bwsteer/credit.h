/**
 * @file
 * Slot leases of the hosts of one failure domain.
 *
 * Every host of the domain owns a fixed fallback share of each service's
 * capacity (capacity / hosts, rounded down). A host commits itself to one
 * aggregator at a time, for one lease. The aggregator moves slots only between
 * hosts that are committed to it, and each move ends before the commitment
 * that backs it, so that the sum of all slots in use does not exceed
 * the capacity with any number of aggregators and any order, loss, delay or
 * duplication of messages. Only an aggregator with commitments from a
 * majority of the hosts grants the slots left over by rounding. Clock rates
 * may differ by up to 1 %.
 */
#ifndef BWSTEER_CREDIT_H
#define BWSTEER_CREDIT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "bwbase/clock.h"
#include "bwbase/packet.h"
#include "bwbase/status.h"

/** Length of a lease and of a host's commitment. */
#define BW_CREDIT_LEASE_MS 2000

/** Time between two requests of a host. */
#define BW_CREDIT_RENEW_MS 500

/** Most services and hosts of one failure domain. */
#define BW_CREDIT_SERVICES_MAX 256
#define BW_CREDIT_HOSTS_MAX 64

/** Configuration of a host. */
struct bw_credit_config {
	char self[BW_NAME_MAX];
	char domain[BW_NAME_MAX];
	uint64_t incarnation; /**< of this process, not 0 */
	/** Hosts that the domain may have at most, at least 1; the same on
	 *  all of them. More hosts than this would exceed the capacity. */
	uint32_t host_count;
};

/** Capacity of a service in the domain, as told by the caller. */
struct bw_credit_capacity {
	char service[BW_NAME_MAX];
	uint32_t slots; /**< concurrent requests, with headroom deducted */
	uint32_t demand; /**< slots that this host wants now */
};

/** A service as this host sees it. */
struct bw_credit_service {
	char name[BW_NAME_MAX];
	uint32_t slots; /**< capacity of the domain */
	uint32_t demand; /**< slots wanted by this host */
	bool changed; /**< the capacity changed since the last tick */
	struct bw_time
		rest_from; /**< rounding remainder is granted from then */
	bool granted; /**< the grant in force names this service */
	uint32_t grant; /**< slots */
};

/** One service of one host, as the aggregator accounts for it. */
struct bw_credit_account {
	char name[BW_NAME_MAX];
	uint32_t demand;
	uint32_t fallback; /**< the host's fallback share */
	bool committed; /**< the commitment covers this service */
	uint32_t acked; /**< latest grant that the host confirmed */
	uint32_t pending; /**< largest grant not confirmed yet */
	uint32_t latest; /**< in the latest grant sent */
	bool listed; /**< the latest grant names this service */
};

/** A host as its aggregator accounts for it. */
struct bw_credit_host {
	char name[BW_NAME_MAX];
	uint64_t incarnation;
	uint64_t seq; /**< number of the latest grant sent */
	uint64_t acked_seq; /**< number of the latest grant confirmed */
	struct bw_time sent; /**< when the latest grant was sent */
	struct bw_time use_end; /**< no grant is used after this time */
	struct bw_time commit_end; /**< the host is committed until then */
	struct bw_credit_account *accounts;
	uint32_t account_count;
};

/** Credit state of one host; it is also the aggregator's when selected. */
struct bw_credit {
	struct bw_credit_config config;
	struct bw_time started;
	uint32_t living_count; /**< living hosts of the domain */
	char aggregator[BW_NAME_MAX]; /**< "" while none is known */
	struct bw_credit_service *services;
	uint32_t service_count;

	uint64_t nonce; /**< number of the latest request */
	struct bw_time nonce_sent[8]; /**< by nonce modulo 8 */
	struct bw_time next_request;
	char committed_to[BW_NAME_MAX];
	uint64_t committed_incarnation;
	uint64_t applied_seq; /**< grant in force */
	struct bw_time use_until;
	struct bw_time commit_until;

	struct bw_credit_host *hosts; /**< as aggregator */
	uint32_t host_count;
	uint64_t rejected_count; /**< malformed or outdated packets */
};

/**
 * Initialises the state of a host. It uses no slots during its first lease,
 * because an earlier process may have committed them to other hosts.
 */
enum bw_status bw_credit_init(struct bw_credit *credit,
			      const struct bw_credit_config *config,
			      struct bw_time now);

/** Frees the state. */
void bw_credit_finish(struct bw_credit *credit);

/**
 * Sets the aggregator and the number of living hosts of the domain.
 * @param aggregator host name, or "" when none is known
 */
void bw_credit_set_domain(struct bw_credit *credit, const char *aggregator,
			  uint32_t living_count);

/**
 * Sets services, capacities and this host's demand. A smaller capacity is in
 * force on every host at the latest one lease after all hosts were told.
 * While hosts have different capacities, each may use one slot too many.
 * @param services at most BW_CREDIT_SERVICES_MAX, unique names
 * @return BW_OK, BW_EINVAL or BW_ENOMEM (state unchanged)
 */
enum bw_status bw_credit_set_services(struct bw_credit *credit,
				      const struct bw_credit_capacity *services,
				      uint32_t count);

/**
 * Sets this host's demand for a service.
 * @return BW_OK or BW_ENOTFOUND
 */
enum bw_status bw_credit_set_demand(struct bw_credit *credit,
				    const char *service, uint32_t demand);

/** Returns the concurrent slots of a service that this host may use now. */
uint32_t bw_credit_available(const struct bw_credit *credit,
			     const char *service, struct bw_time now);

/**
 * Handles a packet of BW_CHANNEL_CREDIT.
 * @return BW_OK; BW_EINVAL or BW_EVERSION when the packet was rejected;
 *	BW_ESTALE when it is outdated; BW_ENOMEM
 */
enum bw_status bw_credit_receive(struct bw_credit *credit,
				 const struct bw_packet *packet,
				 struct bw_time now, struct bw_outbox *out);

/** Sends a request when one is due; to be called every 50 ms. */
enum bw_status bw_credit_tick(struct bw_credit *credit, struct bw_time now,
			      struct bw_outbox *out);

/** Adds the state to a dump. */
enum bw_status bw_credit_dump(const struct bw_credit *credit, json_t *into);

#endif
