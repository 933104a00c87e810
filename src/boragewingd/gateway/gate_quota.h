/**
 * @file
 * Quotas of customers at an entry host: admits requests, and asks the control
 * hosts for leases. Does nothing for customers without a quota.
 */
#ifndef BORAGEWINGD_GATE_QUOTA_H
#define BORAGEWINGD_GATE_QUOTA_H

#include "bwcustomer/quota_shares.h"
#include "gate_node.h"

struct gate_entry;
struct gate_request;

/** Quotas at an entry host. */
struct gate_quota {
	struct bw_quota_shares shares;
	uint64_t applied_ms; /**< sent_ms of the last demand whose grants came
			      */
	struct bw_time next_send;
	struct bw_metric *refused;
	struct bw_metric *given_back;
	struct bw_metric *demands;
};

/** What a request has used of a quota. */
struct gate_quota_use {
	uint64_t customer_hash; /**< 0: nothing */
	struct bw_time admitted_at;
};

/** Initialises the quotas of a host that starts. */
void gate_quota_init(struct gate_quota *quota, struct gate_node *node);

/** Frees them. */
void gate_quota_finish(struct gate_quota *quota);

/** Sends the demands that are due to the control host of the feed. */
void gate_quota_tick(struct gate_entry *entry, struct bw_time now);

/** Handles GATE_QUOTA_GRANT. */
void gate_quota_receive(struct gate_entry *entry, struct bw_reader *reader,
			struct bw_time now);

/**
 * Admits a request within the quota of its customer.
 * @param retry_after_ms receives the time until there is room, when refused
 */
bool gate_quota_admit(struct gate_request *request, uint32_t *retry_after_ms);

/** Logs and counts a request that is refused. */
void gate_quota_note_refused(const struct gate_request *request,
			     uint32_t retry_after_ms);

/** Gives back what a request has used that has not run. */
void gate_quota_give_back(struct gate_request *request);

#endif
