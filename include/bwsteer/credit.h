/**
 * @file
 * Slot leases of the hosts of one failure domain.
 *
 * Every host of the domain owns a fixed fallback share of each service's
 * capacity (capacity / hosts, rounded down). A host commits itself to one
 * aggregator at a time, for one lease. The aggregator redistributes slots only
 * among hosts that are committed to it, and every grant ends before the
 * commitments that back it. The slots in use therefore never exceed the
 * capacity, with any number of aggregators and with messages that are lost,
 * delayed, reordered or duplicated. Only an aggregator with commitments from a
 * majority of the hosts grants the remainder left by rounding. Clock rates may
 * differ by up to 1 %.
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

/** Interval between requests of a host. */
#define BW_CREDIT_RENEW_MS 500

/** Maximum numbers of services and hosts in one failure domain. */
#define BW_CREDIT_SERVICES_MAX 256
#define BW_CREDIT_HOSTS_MAX 64

/** Configuration of a host. */
struct bw_credit_config {
	char self[BW_NAME_MAX];
	char domain[BW_NAME_MAX];
	uint64_t incarnation; /**< of this process; not 0 */
	/** Maximum number of hosts in the domain, at least 1; the same on
	 *  every host. With more hosts, the slots in use could exceed the
	 *  capacity. */
	uint32_t host_count;
};

/** Capacity of a service in the domain, and this host's demand. */
struct bw_credit_capacity {
	char service[BW_NAME_MAX];
	uint32_t slots; /**< concurrent requests, with headroom deducted */
	uint32_t demand; /**< slots that this host needs now */
};

/** State of a service on this host. */
struct bw_credit_service {
	char name[BW_NAME_MAX];
	uint32_t slots; /**< capacity of the domain */
	uint32_t demand; /**< slots that this host needs */
	bool changed; /**< the capacity changed since the last tick */
	/** The remainder left by rounding may be granted from then. */
	struct bw_time remainder_from;
	bool granted; /**< slots are limited by grant while committed */
	uint32_t grant; /**< slots granted to this host */
};

/** The aggregator's account of one service of one host. */
struct bw_credit_account {
	char name[BW_NAME_MAX];
	uint32_t demand;
	uint32_t fallback; /**< the host's fallback share */
	bool committed; /**< the commitment covers this service */
	uint32_t confirmed_slots; /**< in the latest confirmed grant */
	uint32_t pending_slots; /**< most slots in any unconfirmed grant */
	uint32_t latest_slots; /**< in the latest grant sent */
	bool in_latest_grant; /**< the latest grant lists this service */
};

/** The aggregator's account of one host. */
struct bw_credit_host {
	char name[BW_NAME_MAX];
	uint64_t incarnation;
	uint64_t seq; /**< number of the latest grant sent */
	uint64_t confirmed_seq; /**< number of the latest grant confirmed */
	struct bw_time grant_sent; /**< when the latest grant was sent */
	/** After this the host uses at most its fallback share. */
	struct bw_time grant_end;
	struct bw_time commit_end; /**< the host is committed until then */
	struct bw_credit_account *accounts;
	uint32_t account_count;
};

/** Slot leases of one host, and its accounts while it is the aggregator. */
struct bw_credit {
	struct bw_credit_config config;
	struct bw_time started;
	uint32_t live_host_count; /**< largest reported number of live hosts */
	char aggregator[BW_NAME_MAX]; /**< "" while none is known */
	struct bw_credit_service *services;
	uint32_t service_count;

	uint64_t request_seq; /**< number of the latest request sent */
	/** Send times of the latest requests, by request_seq modulo 8. */
	struct bw_time request_sent[8];
	struct bw_time next_request;
	char committed_to[BW_NAME_MAX]; /**< aggregator; "": none yet */
	uint64_t committed_incarnation; /**< of that aggregator */
	uint64_t applied_seq; /**< number of the grant in force; 0: none */
	struct bw_time grant_until; /**< no more than fallback after that */
	struct bw_time commit_until; /**< end of the commitment */

	struct bw_credit_host *hosts; /**< accounts, as aggregator */
	uint32_t host_count;
	uint64_t rejected_count; /**< packets that were not accepted */
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
 * Sets the aggregator and the number of live hosts of the domain.
 * @param aggregator host name, or "" when none is known
 */
void bw_credit_set_domain(struct bw_credit *credit, const char *aggregator,
			  uint32_t live_host_count);

/**
 * Sets services, capacities and this host's demand. A reduced capacity is in
 * force on every host within one lease of this call on the last host. While
 * hosts have different capacities, each host may exceed its share by one slot.
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

/** Returns the number of slots of a service that this host may use now. */
uint32_t bw_credit_available(const struct bw_credit *credit,
			     const char *service, struct bw_time now);

/**
 * Handles a packet of BW_CHANNEL_CREDIT.
 * @return BW_OK; BW_EINVAL or BW_EVERSION when the packet is invalid;
 *	BW_ESTALE when it is outdated; BW_EFULL or BW_ENOMEM
 */
enum bw_status bw_credit_receive(struct bw_credit *credit,
				 const struct bw_packet *packet,
				 struct bw_time now, struct bw_outbox *out);

/** Sends a request when one is due; called every 50 ms. */
enum bw_status bw_credit_tick(struct bw_credit *credit, struct bw_time now,
			      struct bw_outbox *out);

/** Adds the state to a dump. */
enum bw_status bw_credit_dump(const struct bw_credit *credit, json_t *into);

#endif
